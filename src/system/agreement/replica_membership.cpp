// The change of voters: who is to be replaced by whom, and whose turn it is to propose that.
#include <algorithm>

#include "system/agreement/replica.hpp"

namespace docklift::agreement {
namespace {

using namespace std::chrono_literals;

constexpr Duration kHandOverAfter = 400ms;  // which is when the lease has been passed on
constexpr Duration kVotersFirst = 1000ms;   // calls wait so long for the successors of lost disks
constexpr Duration kTogether = 300ms;       // a successor that lacks a change yet is waited for
constexpr Duration kTurn = 400ms;           // between the voters that may propose a change of voters, by rank

}  // namespace

// The vote goes once the machine's registry has passed its lease on.
bool Replica::hands_over() const { return leaving_ && now_ >= leaving_since_ + kHandOverAfter; }

VoterHealth Replica::health_of(Time now, const Voter& voter) const {
  if (is_destroyed(voter)) return VoterHealth::destroyed;
  if (voter.address == options_.self) return hands_over() ? VoterHealth::leaving : VoterHealth::well;
  if (lost_for(now, voter.address, options_.gone)) return VoterHealth::gone;
  if (lost_for(now, voter.address, options_.silence)) return VoterHealth::silent;
  const auto peer = peers_.find(voter.address);
  const bool leaving = peer != peers_.end() && peer->second.told && peer->second.status.leaving;
  return leaving ? VoterHealth::leaving : VoterHealth::well;
}

std::vector<VoterReport> Replica::voter_reports(Time now) const {
  std::vector<VoterReport> reports;
  for (const auto& voter : state_.voters)
    reports.push_back({voter, zone_of(voter.address), health_of(now, voter)});
  return reports;
}

std::vector<ReadyLearner> Replica::ready_learners() const {
  std::vector<ReadyLearner> ready;
  const auto add = [&](const Voter& voter, const std::string& zone) {
    if (!is_voter(voter)) ready.push_back({voter, zone});
  };
  if (options_.can_vote && !leaving_) add({options_.self, disk_}, options_.zone);
  for (const auto& [address, peer] : peers_) {
    if (address == options_.self || !peer.told || !heard_recently(peer)) continue;
    const auto& status = peer.status;
    const bool stands_ready = status.has_state && status.position >= state_.position;
    if (stands_ready && status.eligible && !status.leaving) add({address, peer.disk}, peer.zone);
  }
  return ready;
}

// Whose turn it is to propose a change of voters: the voters in contact by address, then the learners, which
// may be the only ones to have seen that a disk is destroyed. Who leaves looks after itself first.
std::size_t Replica::rank(Time now) const {
  if (leaving_) return 0;
  const auto well_voters = std::ranges::count_if(state_.voters, [&](const Voter& voter) {
    return (!votes() || voter.address < options_.self) && health_of(now, voter) == VoterHealth::well;
  });
  if (votes()) return static_cast<std::size_t>(well_voters);
  const auto learners = ready_learners();
  const auto earlier_learners = std::ranges::count_if(
      learners, [&](const ReadyLearner& learner) { return learner.voter.address < options_.self; });
  return static_cast<std::size_t>(well_voters + earlier_learners);
}

void Replica::propose_membership(Time now) {
  if (!has_state()) return;
  const auto next = next_voters(voter_reports(now), ready_learners(), 2 * options_.tolerated_failures + 1);
  if (!may_have_quorum()) {
    withdraw_membership();
    successors_since_.reset();  // calls wait once more as soon as the change of voters can be decided
  }
  if (!next || !may_have_quorum()) {
    change_needed_since_.reset();
    return;
  }
  if (!change_needed_since_) change_needed_since_ = now;
  const Time turn = *change_needed_since_ + kTurn * static_cast<int>(rank(now));
  const bool one_too_few = std::ranges::any_of(*next,
                                               [&](const Voter& voter) { return is_replaceable(voter); });
  if (now < (one_too_few ? turn + kTogether : turn)) return;
  const auto text = configuration::encode(configuration::MembershipChange{state_.membership, *next});
  const auto waiting = std::ranges::find(queue_, ChangeKind::membership, &Proposal::kind);
  if (waiting == queue_.end()) {
    out_.log_lines.push_back("proposes membership " + std::to_string(state_.membership + 1));
    queue_.push_front({0, ChangeKind::membership, text, now, false});
  } else if (phase_ != Phase::accepting) {
    waiting->text = text;  // what is known by now; nobody has been offered the earlier one in this ballot
  }
}

// Another disk at the voter's address, whose store has the others' state and may vote.
bool Replica::has_successor(const Voter& voter) const {
  if (voter.address == options_.self) return options_.can_vote && !leaving_;
  const auto peer = peers_.find(voter.address);
  if (peer == peers_.end() || !peer->second.told || peer->second.disk == voter.disk) return false;
  return peer->second.status.has_state && peer->second.status.eligible;
}

bool Replica::is_replaceable(const Voter& voter) const { return is_destroyed(voter) && has_successor(voter); }

// The successors of lost disks get their votes before anything else is decided, as until then the next loss may be one
// too many. Each other change would also put off the moment at which they have all that is decided.
bool Replica::waits_for_voters(Time now) {
  const bool to_replace = std::ranges::any_of(state_.voters,
                                              [&](const Voter& voter) { return is_replaceable(voter); });
  if (!to_replace || !may_have_quorum()) return false;
  if (!successors_since_) successors_since_ = now;
  return now < *successors_since_ + kVotersFirst;
}

// A proposal of a change that is not needed any more, or can't be decided yet; unless it has been offered.
void Replica::withdraw_membership() {
  if (phase_ == Phase::accepting || queue_.empty() || queue_.front().kind != ChangeKind::membership) return;
  queue_.pop_front();
  ballot_for_first_ = false;
}

bool Replica::may_stop(Time now) const {
  if (!votes() || now >= leaving_since_ + options_.leave_limit) return true;
  return std::ranges::none_of(peers_, [&](const auto& entry) {
    const auto& [address, peer] = entry;
    if (address == options_.self || !peer.told || !heard_recently(peer)) return false;
    return peer.status.eligible && !peer.status.leaving && !is_voter({address, peer.disk});
  });
}

}  // namespace docklift::agreement
