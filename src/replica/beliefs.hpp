// What nodes see of servers, without I/O: each tells of those that serve it clearly worse than the others, contradicts where it is served
// well, and takes its word back when it has nothing to go by any more. A node that starts is told the median of what the living say.
// docs/design/beliefs.md has the rule.
//
// Times are nanoseconds of the fleet's clock; only spans of one's own are compared.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "replica/replica.hpp"
#include "replica/values.hpp"

namespace docklift::replica {

struct BeliefLimits {
  Instant memory{std::chrono::seconds(5)};  // a sighting weighs e^-1 after this
  double least = 0.5;                       // weight of sightings from which on there is a word: who fails once is avoided at once
  double prior = 1;                         // sightings of a good end that are taken for granted: old failures fade against it
  Instant stand{std::chrono::seconds(15)};  // a word stands so long without a sighting: who fails is avoided, and seldom met
  double ill = 0.8;                         // of the median server's success: below it is told
  std::size_t most_servers = 4096;
  Instant kept{std::chrono::minutes(1)};    // a word that was taken back, so that all hear of it
};

class Beliefs {
 public:
  struct Server {
    std::uint32_t id = 0;
    std::uint64_t start = 0;
  };
  struct Report {
    std::uint32_t id = 0;
    double success = 1;
  };
  struct Figures {
    std::uint64_t said = 0, contradicted = 0, taken_back = 0;
    std::size_t met = 0, complaints = 0;  // servers; complaints of one's own that stand
  };

  Beliefs(Replica& records, BeliefLimits limits) : records_(records), limits_(limits) {}

  // An attempt at a server has ended.
  void record_attempt(Instant now, Server server, bool good);
  // Words of one's own are brought up to date. True where there are new ones.
  bool write(Instant now);
  // What is to be believed of these servers by the words of these origins: half of them at most, the worst ones.
  std::vector<Report> aggregate(const std::vector<Server>& servers, const std::vector<Origin>& alive) const;
  Figures figures() const;

 private:
  struct Sightings {
    std::uint64_t start = 0;
    double good = 0, all = 0;
    Instant at{};
    std::uint8_t said = ServerHealth::kWithdrawn;
  };
  double faded(const Sightings& s, Instant now) const;
  double success(const Sightings& s, Instant now) const;
  bool disputed(std::uint32_t id, std::uint64_t start) const;
  bool say(Instant now, std::uint32_t id, Sightings& s, std::uint8_t tenths);

  Replica& records_;
  BeliefLimits limits_;
  std::map<std::uint32_t, Sightings> met_{};
  Figures figures_;
};

}  // namespace docklift::replica
