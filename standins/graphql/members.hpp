// A stand-in for a member's GraphQL server, without I/O: it answers any query of its schema with made-up data, and keeps a
// record of what its mutations did.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "graphql/cost.hpp"
#include "graphql/schema.hpp"

namespace docklift::standins {

// The members' schema: terminals, gates, routes, floor plans; gateNotice and planCorrection.
const char* members_schema();

struct MembersFaults {
  // By "Type.field".
  std::map<std::string, std::size_t> lengths{};  // of lists, whatever was asked for: hidden ones
  std::map<std::string, int> slow_ms{};
  std::map<std::string, double> errors{};  // part of the times: null, and an error with its path
  double cut = 0;                          // part of the answers that end inside a string
  double reset = 0;    // part of the requests whose connection ends after the last byte, once they have run
  double garbage = 0;  // part of the answers that are no JSON
  std::optional<double> cost{};  // extensions.cost and X-Units-Charged, true or not
};

class Members {
 public:
  struct Effect {
    std::string field, id, key, arguments;
  };
  struct Answer {
    int status = 200;
    std::string body;
    int wait_ms = 0;
    bool reset = false;
  };

  explicit Members(std::uint64_t seed = 1);

  // The body of a POST; `id` and `key`: of its header fields.
  Answer answer(const std::string& body, const std::string& id, const std::string& key);
  MembersFaults& faults() { return faults_; }
  const std::vector<Effect>& effects() const { return effects_; }
  std::uint64_t requests() const { return requests_; }
  // Told of each request once it has run.
  std::function<void(const std::string& id, const std::string& body, const Answer& answer)> on_answer;

 private:
  struct Run;
  using Merged = std::vector<graphql::Selections>;
  nlohmann::json object(Run& run, const graphql::Type& type, const Merged& selections, nlohmann::json path);
  nlohmann::json value(Run& run, const graphql::Field& field, const graphql::Selection& selection,
                       const Merged& inner, const graphql::TypeUse& type, std::size_t level,
                       std::size_t length, nlohmann::json path);
  bool chance(double part) { return part > 0 && std::uniform_real_distribution<>(0, 1)(random_) < part; }

  graphql::Schema schema_;
  MembersFaults faults_;
  std::mt19937_64 random_;
  std::vector<Effect> effects_;
  std::set<std::string> keys_;
  std::uint64_t requests_ = 0;
};

}  // namespace docklift::standins
