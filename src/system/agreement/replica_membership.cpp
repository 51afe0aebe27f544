// Membership changes: which voter is replaced by which learner, and which store proposes the change.
#include <algorithm>

#include "system/agreement/replica.hpp"

namespace docklift::agreement {
namespace {

using namespace std::chrono_literals;

constexpr Duration kHandoverDelay = 400ms;   // the lease has been released by then
constexpr Duration kSuccessorWait = 1000ms;  // how long proposals wait for the successors of lost disks
constexpr Duration kReplacementBatchDelay = 300ms;  // wait for a successor that still lacks a change
constexpr Duration kProposerStagger = 400ms;  // delay per rank before a store proposes a membership change

}  // namespace

// The vote is handed over only after the machine's registry has released its lease.
bool Replica::is_handing_over() const { return leaving_ && now_ >= leaving_since_ + kHandoverDelay; }

VoterHealth Replica::health_of(Time now, const Voter& voter) const {
  if (is_destroyed(voter)) return VoterHealth::destroyed;
  if (voter.address == options_.self) return is_handing_over() ? VoterHealth::leaving : VoterHealth::healthy;
  if (unresponsive_for(now, voter.address, options_.presumed_dead_after)) return VoterHealth::presumed_dead;
  if (unresponsive_for(now, voter.address, options_.unresponsive_after)) return VoterHealth::unresponsive;
  const auto peer = peers_.find(voter.address);
  const bool leaving = peer != peers_.end() && peer->second.has_status && peer->second.status.leaving;
  return leaving ? VoterHealth::leaving : VoterHealth::healthy;
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
    if (address == options_.self || !peer.has_status || !is_in_contact(peer)) continue;
    const auto& status = peer.status;
    const bool is_caught_up = status.has_state && status.position >= state_.position;
    if (is_caught_up && status.eligible && !status.leaving) add({address, peer.disk}, peer.zone);
  }
  return ready;
}

// The order in which stores propose a membership change: the healthy voters by address, then the learners,
// which may be the only ones to have seen that a disk is destroyed. A leaving store comes first.
std::size_t Replica::proposer_rank(Time now) const {
  if (leaving_) return 0;
  const auto healthy_voters = std::ranges::count_if(state_.voters, [&](const Voter& voter) {
    return (!votes() || voter.address < options_.self) && health_of(now, voter) == VoterHealth::healthy;
  });
  if (votes()) return static_cast<std::size_t>(healthy_voters);
  const auto learners = ready_learners();
  const auto earlier_learners = std::ranges::count_if(
      learners, [&](const ReadyLearner& learner) { return learner.voter.address < options_.self; });
  return static_cast<std::size_t>(healthy_voters + earlier_learners);
}

void Replica::propose_membership(Time now) {
  if (!has_state()) return;
  const auto next = next_voters(voter_reports(now), ready_learners(), 2 * options_.tolerated_failures + 1);
  if (!can_form_quorum()) {
    withdraw_membership();
    successors_seen_since_.reset();  // proposals wait again as soon as a membership change can be decided
  }
  if (!next || !can_form_quorum()) {
    change_needed_since_.reset();
    return;
  }
  if (!change_needed_since_) change_needed_since_ = now;
  const Time turn = *change_needed_since_ + kProposerStagger * static_cast<int>(proposer_rank(now));
  const bool has_replaceable_voter = std::ranges::any_of(
      *next, [&](const Voter& voter) { return is_replaceable(voter); });
  if (now < (has_replaceable_voter ? turn + kReplacementBatchDelay : turn)) return;
  const auto text = configuration::encode(configuration::MembershipChange{state_.membership, *next});
  const auto queued = std::ranges::find(queue_, ChangeKind::membership, &Proposal::kind);
  if (queued == queue_.end()) {
    actions_.log_lines.push_back("proposes membership " + std::to_string(state_.membership + 1));
    queue_.push_front({0, ChangeKind::membership, text, now, false});
  } else if (phase_ != Phase::accepting) {
    queued->text = text;  // updated to the latest plan: the earlier one was not yet proposed in this ballot
  }
}

// Whether the voter's address has another disk, whose store has the others' state and may vote.
bool Replica::has_successor(const Voter& voter) const {
  if (voter.address == options_.self) return options_.can_vote && !leaving_;
  const auto peer = peers_.find(voter.address);
  if (peer == peers_.end() || !peer->second.has_status || peer->second.disk == voter.disk) return false;
  return peer->second.status.has_state && peer->second.status.eligible;
}

bool Replica::is_replaceable(const Voter& voter) const { return is_destroyed(voter) && has_successor(voter); }

// The successors of lost disks get their votes before anything else is decided, as until then one further
// loss may exceed the tolerated ones. Every other change would also delay the moment at which they have
// caught up.
bool Replica::waits_for_successors(Time now) {
  const bool to_replace = std::ranges::any_of(state_.voters,
                                              [&](const Voter& voter) { return is_replaceable(voter); });
  if (!to_replace || !can_form_quorum()) return false;
  if (!successors_seen_since_) successors_seen_since_ = now;
  return now < *successors_seen_since_ + kSuccessorWait;
}

// Withdraws a membership proposal that is no longer needed or can't be decided yet, unless it is already in
// phase 2.
void Replica::withdraw_membership() {
  if (phase_ == Phase::accepting || queue_.empty() || queue_.front().kind != ChangeKind::membership) return;
  queue_.pop_front();
  ballot_for_first_proposal_ = false;
}

bool Replica::may_stop(Time now) const {
  if (!votes() || now >= leaving_since_ + options_.handover_timeout) return true;
  return std::ranges::none_of(peers_, [&](const auto& entry) {
    const auto& [address, peer] = entry;
    if (address == options_.self || !peer.has_status || !is_in_contact(peer)) return false;
    return peer.status.eligible && !peer.status.leaving && !is_voter({address, peer.disk});
  });
}

}  // namespace docklift::agreement
