// Peer health reports on servers, without I/O: each node reports the servers that serve it clearly worse than the others, disputes
// others' reports of servers that serve it well, and withdraws a report once it has no recent attempts to support it. A node that starts
// gets the median of the live nodes' reports. See docs/design/beliefs.md.
//
// Times are nanoseconds of the fleet's clock; only durations measured on this node are compared.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "replica/replica.hpp"
#include "replica/values.hpp"

namespace docklift::replica {

struct BeliefLimits {
  Instant decay{std::chrono::seconds(5)};  // an attempt weighs e^-1 after this
  double min_weight = 0.5;                 // of attempts, for a report: low, so that a single failure is reported at once
  double prior = 1;                        // assumed successful attempts, against which old failures fade
  Instant hold{std::chrono::seconds(15)};  // a report holds so long without attempts: a failing server is seldom tried
  double report_below = 0.8;               // fraction of the median success, below which a server is reported
  std::size_t max_servers = 4096;
  Instant keep_withdrawn{std::chrono::minutes(1)};  // so that every node receives the withdrawal
};

// Collects this node's attempts, publishes its reports and aggregates those of the other nodes.
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
    std::size_t met = 0, complaints = 0;  // servers observed; complaints of this node in force
  };

  Beliefs(Replica& records, BeliefLimits limits) : records_(records), limits_(limits) {}

  // Records the outcome of an attempt.
  void record_attempt(Instant now, Server server, bool good);
  // Updates this node's reports. True if any changed.
  bool write(Instant now);
  // The median success of each server reported by at least two of these origins, for the worst servers, at most half of those given.
  std::vector<Report> aggregate(const std::vector<Server>& servers, const std::vector<Origin>& alive) const;
  Figures figures() const;

 private:
  // Decayed sums of the attempts at one server.
  struct Observations {
    std::uint64_t start = 0;
    double good = 0, all = 0;
    Instant at{};
    std::uint8_t reported = ServerHealth::kWithdrawn;
  };
  double decay_factor(const Observations& s, Instant now) const;
  double success(const Observations& s, Instant now) const;
  bool disputed(std::uint32_t id, std::uint64_t start) const;
  bool publish(Instant now, std::uint32_t id, Observations& s, std::uint8_t tenths);

  Replica& records_;
  BeliefLimits limits_;
  std::map<std::uint32_t, Observations> observed_{};
  Figures figures_;
};

}  // namespace docklift::replica
