// Who shall have a vote next: a pure function of the present voters, what is known of their health, and the
// learners that stand ready. Source: docs/design/control-safety.md, section 1.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "system/configuration/configuration.hpp"

namespace docklift::agreement {

enum class VoterHealth {
  well,
  silent,     // not heard for long enough to be replaced by a learner that keeps the zones as they are
  gone,       // not heard for so long that any learner is better
  leaving,    // asked to end
  destroyed,  // its address answers with another disk
};

struct VoterReport {
  configuration::Voter voter;
  std::string zone;  // empty: not known
  VoterHealth health = VoterHealth::well;
};

// A store without a vote whose copy is durable up to the proposer's position.
struct ReadyLearner {
  configuration::Voter voter;
  std::string zone;
};

// The next voters, sorted; none where the present ones shall stay. `wanted`: the number of voters to grow to,
// by two at a time. Never removes a voter without a successor.
std::optional<std::vector<configuration::Voter>> next_voters(const std::vector<VoterReport>& present,
                                                             std::vector<ReadyLearner> ready,
                                                             std::size_t wanted);

}  // namespace docklift::agreement
