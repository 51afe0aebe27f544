// Plans the next set of voters: a pure function of the current voters, what is known of their health, and the
// learners that are ready to vote. Source: docs/design/control-safety.md, section 1.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "system/configuration/configuration.hpp"

namespace docklift::agreement {

enum class VoterHealth {
  healthy,
  unresponsive,   // may be replaced by a learner that preserves the spread over zones
  presumed_dead,  // unresponsive for so long that any learner is better
  leaving,        // is shutting down
  destroyed,      // its address answers with another disk
};

struct VoterReport {
  configuration::Voter voter;
  std::string zone;  // empty: not known
  VoterHealth health = VoterHealth::healthy;
};

// A store without a vote whose copy is durable up to the proposer's position.
struct ReadyLearner {
  configuration::Voter voter;
  std::string zone;
};

// Returns the next voters, sorted; none if the current ones stay. `wanted` is the number of voters to grow
// to, two at a time. Never removes a voter without a successor.
std::optional<std::vector<configuration::Voter>> next_voters(const std::vector<VoterReport>& current,
                                                             std::vector<ReadyLearner> ready,
                                                             std::size_t wanted);

}  // namespace docklift::agreement
