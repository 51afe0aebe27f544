#include "system/agreement/membership.hpp"

#include <algorithm>
#include <set>

namespace docklift::agreement {
namespace {

using configuration::Voter;

std::size_t zones_of(const std::vector<VoterReport>& voters) {
  std::set<std::string> zones;
  for (const auto& voter : voters)
    if (!voter.zone.empty()) zones.insert(voter.zone);
  return zones.size();
}

std::size_t zones_after(std::vector<VoterReport> voters, std::size_t replaced, const ReadyLearner& by) {
  voters[replaced].zone = by.zone;
  return zones_of(voters);
}

class Planner {
 public:
  Planner(const std::vector<VoterReport>& current, std::vector<ReadyLearner> ready)
      : voters_(current), ready_(std::move(ready)) {
    std::ranges::sort(ready_, {}, &ReadyLearner::voter);
  }

  void replace_all(VoterHealth health) {
    for (std::size_t i = 0; i < voters_.size(); ++i)
      if (voters_[i].health == health) replace_voter(i);
  }

  // If all voters were in one zone, losing that zone would lose the quorum: a ready learner of another zone
  // replaces the last voter.
  void spread_over_zones() {
    const bool all_known = std::ranges::none_of(voters_,
                                                [](const VoterReport& voter) { return voter.zone.empty(); });
    if (voters_.size() < 2 || !all_known || zones_of(voters_) > 1) return;
    const auto other_zone = std::ranges::find_if(ready_, [&](const ReadyLearner& learner) {
      return learner.zone != voters_.front().zone && !shares_voter_address(learner);
    });
    if (other_zone != ready_.end()) assign(voters_.size() - 1, other_zone);
  }

  void grow(std::size_t wanted) {
    std::erase_if(ready_, [&](const ReadyLearner& learner) { return shares_voter_address(learner); });
    while (voters_.size() + 2 <= wanted && ready_.size() >= 2) {
      add_voter();
      add_voter();
    }
  }

  std::vector<Voter> result() const {
    std::vector<Voter> next;
    for (const auto& voter : voters_) next.push_back(voter.voter);
    std::ranges::sort(next);
    return next;
  }

 private:
  using Learner = std::vector<ReadyLearner>::iterator;

  void replace_voter(std::size_t index) {
    const auto& old = voters_[index];
    auto found = std::ranges::find_if(
        ready_, [&](const ReadyLearner& learner) { return learner.voter.address == old.voter.address; });
    if (found == ready_.end())
      found = std::ranges::find_if(ready_, [&](const ReadyLearner& learner) {
        return learner.zone == old.zone && !shares_voter_address(learner);
      });
    if (found == ready_.end())
      found = std::ranges::find_if(ready_, [&](const ReadyLearner& learner) {
        const bool keeps_zones = zones_after(voters_, index, learner) >= zones_of(voters_);
        return !shares_voter_address(learner) && (old.health == VoterHealth::presumed_dead || keeps_zones);
      });
    if (found != ready_.end()) assign(index, found);
  }

  // A learner at a voter's address may only succeed that voter, since no two voters share an address.
  bool shares_voter_address(const ReadyLearner& learner) const {
    return std::ranges::any_of(
        voters_, [&](const VoterReport& voter) { return voter.voter.address == learner.voter.address; });
  }

  void assign(std::size_t index, Learner learner) {
    voters_[index] = {learner->voter, learner->zone, VoterHealth::healthy};
    ready_.erase(learner);
  }

  void add_voter() {
    voters_.push_back({ready_.front().voter, ready_.front().zone, VoterHealth::healthy});
    ready_.erase(ready_.begin());
  }

  std::vector<VoterReport> voters_;
  std::vector<ReadyLearner> ready_;
};

}  // namespace

std::optional<std::vector<Voter>> next_voters(const std::vector<VoterReport>& current,
                                              std::vector<ReadyLearner> ready, std::size_t wanted) {
  Planner planner(current, std::move(ready));
  for (const auto health :
       {VoterHealth::destroyed, VoterHealth::leaving, VoterHealth::presumed_dead, VoterHealth::unresponsive})
    planner.replace_all(health);
  planner.spread_over_zones();
  planner.grow(wanted);
  std::vector<Voter> before;
  before.reserve(current.size());
  for (const auto& voter : current) before.push_back(voter.voter);
  std::ranges::sort(before);
  auto next = planner.result();
  if (next == before) return std::nullopt;
  return next;
}

}  // namespace docklift::agreement
