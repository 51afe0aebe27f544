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
  Planner(const std::vector<VoterReport>& present, std::vector<ReadyLearner> ready)
      : voters_(present), ready_(std::move(ready)) {
    std::ranges::sort(ready_, {}, &ReadyLearner::voter);
  }

  void replace_all(VoterHealth health) {
    for (std::size_t i = 0; i < voters_.size(); ++i)
      if (voters_[i].health == health) replace(i);
  }

  // A majority of one zone is lost with it: where a learner of another zone stands ready it takes a vote.
  void spread_over_zones() {
    const bool all_known = std::ranges::none_of(voters_,
                                                [](const VoterReport& voter) { return voter.zone.empty(); });
    if (voters_.size() < 2 || !all_known || zones_of(voters_) > 1) return;
    const auto other_zone = std::ranges::find_if(ready_, [&](const ReadyLearner& learner) {
      return learner.zone != voters_.front().zone && !is_at_voter(learner);
    });
    if (other_zone != ready_.end()) put(voters_.size() - 1, other_zone);
  }

  void grow(std::size_t wanted) {
    std::erase_if(ready_, [&](const ReadyLearner& learner) { return is_at_voter(learner); });
    while (voters_.size() + 2 <= wanted && ready_.size() >= 2) {
      add();
      add();
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

  void replace(std::size_t index) {
    const auto& old = voters_[index];
    auto found = std::ranges::find_if(
        ready_, [&](const ReadyLearner& learner) { return learner.voter.address == old.voter.address; });
    if (found == ready_.end())
      found = std::ranges::find_if(ready_, [&](const ReadyLearner& learner) {
        return learner.zone == old.zone && !is_at_voter(learner);
      });
    if (found == ready_.end())
      found = std::ranges::find_if(ready_, [&](const ReadyLearner& learner) {
        const bool keeps_zones = zones_after(voters_, index, learner) >= zones_of(voters_);
        return !is_at_voter(learner) && (old.health == VoterHealth::gone || keeps_zones);
      });
    if (found != ready_.end()) put(index, found);
  }

  // A learner at a voter's address is the successor of that one alone: no two voters have one address.
  bool is_at_voter(const ReadyLearner& learner) const {
    return std::ranges::any_of(
        voters_, [&](const VoterReport& voter) { return voter.voter.address == learner.voter.address; });
  }

  void put(std::size_t index, Learner learner) {
    voters_[index] = {learner->voter, learner->zone, VoterHealth::well};
    ready_.erase(learner);
  }

  void add() {
    voters_.push_back({ready_.front().voter, ready_.front().zone, VoterHealth::well});
    ready_.erase(ready_.begin());
  }

  std::vector<VoterReport> voters_;
  std::vector<ReadyLearner> ready_;
};

}  // namespace

std::optional<std::vector<Voter>> next_voters(const std::vector<VoterReport>& present,
                                              std::vector<ReadyLearner> ready, std::size_t wanted) {
  Planner planner(present, std::move(ready));
  for (const auto health :
       {VoterHealth::destroyed, VoterHealth::leaving, VoterHealth::gone, VoterHealth::silent})
    planner.replace_all(health);
  planner.spread_over_zones();
  planner.grow(wanted);
  std::vector<Voter> before;
  before.reserve(present.size());
  for (const auto& voter : present) before.push_back(voter.voter);
  std::ranges::sort(before);
  auto next = planner.result();
  if (next == before) return std::nullopt;
  return next;
}

}  // namespace docklift::agreement
