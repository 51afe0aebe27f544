// Read barriers, detection of diverged logs, and quorums.
#include <algorithm>

#include "system/agreement/replica.hpp"

namespace docklift::agreement {
namespace {

using namespace std::chrono_literals;

constexpr Duration kContactTimeout = 1200ms;  // two rounds of statuses
// A store with a new disk has received the others' membership by then.
constexpr Duration kSuccessorGracePeriod = 1500ms;
constexpr std::uint64_t kUnsolicitedRound = 0;  // of a status sent without a request

}  // namespace

// ---- peers ---------------------------------------------------------------------------------------

void Replica::on_link_up(const std::string& address, const std::string& zone) {
  auto& peer = peers_[address];
  const bool was_linked = std::exchange(peer.linked, true);
  if (!was_linked) request_missing_status(address);
  if (peer.zone == zone) return;
  peer.zone = zone;
  actions_.write.zones.push_back({address, zone});
}

// A status request of the present round that was sent before the link was up is lost, so it is sent again. A
// later reply counts as well, since it states the position at a time after the round began.
void Replica::request_missing_status(const std::string& address) {
  const bool awaits_statuses = barrier_running_ || !has_state();
  if (awaits_statuses && !statuses_.contains(address))
    send_immediately(address, StatusRequest{status_round_});
}

void Replica::on_link_down(const std::string& address) {
  if (const auto peer = peers_.find(address); peer != peers_.end()) peer->second.linked = false;
}

bool Replica::is_in_contact(const Peer& peer) const { return now_ - peer.last_received <= kContactTimeout; }

std::string Replica::zone_of(const std::string& address) const {
  if (address == options_.self) return options_.zone;
  const auto peer = peers_.find(address);
  return peer == peers_.end() ? std::string() : peer->second.zone;
}

// Missing messages count only for the time that this store was running and in contact with a majority itself.
bool Replica::unresponsive_for(Time now, const std::string& address, Duration limit) const {
  if (address == options_.self) return false;
  const auto peer = peers_.find(address);
  const auto last_received = peer == peers_.end() ? Time{} : peer->second.last_received;
  return now - std::max(last_received, contact_since_) > limit;
}

void Replica::update_contact(Time now) {
  const auto in_contact = [&](const Voter& voter) {
    if (voter.address == options_.self) return true;
    const auto peer = peers_.find(voter.address);
    return peer != peers_.end() && is_in_contact(peer->second);
  };
  std::size_t survivors = 0;
  std::size_t survivors_in_contact = 0;
  for (const auto& voter : state_.voters) {
    if (is_destroyed(voter)) continue;
    ++survivors;
    if (in_contact(voter)) ++survivors_in_contact;
  }
  const bool majority = survivors_in_contact * 2 > state_.voters.size();
  // Lost disks may leave less than a majority: then contact with all surviving voters suffices.
  const bool all_survivors = survivors > 0 && survivors_in_contact == survivors;
  if (!majority && !all_survivors) contact_since_ = now;
}

// ---- read barriers -------------------------------------------------------------------------------

Status Replica::status(std::uint64_t round) const {
  Status status;
  status.round = round;
  status.position = state_.position;
  status.has_state = has_state();
  status.eligible = options_.can_vote;
  status.leaving = is_handing_over();
  status.membership = state_.membership;
  for (const auto& [slot, accepted] : accepted_)
    if (slot > state_.position) status.accepted.emplace_back(slot, accepted);
  return status;
}

// A voter replies from memory without waiting for its disk: a change that it would forget in a power loss was
// not acknowledged on the strength of this reply. A learner's reported position is taken to be durable, so
// its reply waits for the disk.
void Replica::on(Time, const std::string& from, const Sender&, const StatusRequest& m) {
  if (votes()) {
    send_immediately(from, status(m.round));
  } else {
    send(from, status(m.round));
  }
}

// Sent to all linked stores, so that they know at once that a disk was lost at this address or a learner is
// ready.
void Replica::announce_status() {
  for (const auto& [address, peer] : peers_)
    if (peer.linked && address != options_.self) send(address, status(kUnsolicitedRound));
}

void Replica::request_statuses() {
  ++status_round_;
  statuses_.clear();
  std::set<std::string> asked(options_.seeds.begin(), options_.seeds.end());
  for (const auto& voter : state_.voters) asked.insert(voter.address);
  for (const auto& [address, peer] : peers_)
    if (peer.linked) asked.insert(address);
  for (const auto& address : asked) send_immediately(address, StatusRequest{status_round_});
}

void Replica::begin_read_barrier(Time now) {
  barrier_running_ = true;
  barrier_began_ = now;
  barrier_membership_ = state_.membership;
  barrier_target_.reset();
  request_statuses();
}

void Replica::on(Time now, const std::string& from, const Sender& sender, const Status& m) {
  auto& peer = peers_[from];
  peer.has_status = true;
  if (peer.disk != sender.disk) peer.has_state_since.reset();
  if (m.has_state && !peer.has_state_since) peer.has_state_since = now;
  peer.disk = sender.disk;
  peer.status = m;
  peer.status.accepted.clear();
  detect_destroyed(now, from, sender, m);
  if (m.round != status_round_) return;
  if (!has_state()) {
    if (m.has_state) fetch_from(now, from);
    return;
  }
  if (!barrier_running_) return;
  if (is_voter({from, sender.disk})) statuses_[from] = m;
  count_barrier_statuses(now);
  if (barrier_running_ && m.has_state && m.position > state_.position) fetch_from(now, from);
}

void Replica::count_barrier_statuses(Time now) {
  if (!barrier_target_) {
    std::set<Voter> answered;
    std::uint64_t target = 0;
    for (const auto& voter : state_.voters) {
      const auto it = statuses_.find(voter.address);
      if (it == statuses_.end()) continue;
      answered.insert(voter);
      target = std::max(target, it->second.position);
      for (const auto& [slot, accepted] : it->second.accepted) target = std::max(target, slot);
    }
    if (!is_quorum(answered)) return;
    barrier_target_ = target;
  }
  if (state_.position >= *barrier_target_) end_read_barrier(now);
}

// The voters of the next slot must be those that were asked: if they have changed meanwhile, the former
// voters may know nothing of what the present ones have decided, and the barrier is repeated.
void Replica::end_read_barrier(Time now) {
  barrier_running_ = false;
  if (state_.membership != barrier_membership_) {
    begin_read_barrier(now);
    return;
  }
  if (!std::exchange(first_barrier_passed_, true))
    actions_.log_lines.push_back("a majority stands at " + position_and_digest() +
                                 ", first read barrier since the start");
  const auto began = barrier_began_;
  for (auto& proposal : queue_)
    if (proposal.received_at <= began) proposal.confirmed = true;
  std::erase_if(reads_, [&](const Read& read) {
    if (read.received_at > began) return false;
    actions_.completions.push_back({read.id, 200, ""});
    return true;
  });
  if (!reads_.empty()) begin_read_barrier(now);
  advance_queue(now);
}

// ---- diverged logs -------------------------------------------------------------------------------

// Messages of a store whose log holds other changes than this one at the same positions are ignored: no
// quorum has members of two histories, so that neither side acknowledges on top of what the other one has
// lost. Such a store counts as unresponsive. The store that is ahead makes the comparison, since it knows the
// digest of the other one's position.
void Replica::compare_history(const std::string& from, const Sender& sender) {
  if (!has_state() || sender.position > state_.position || from == options_.self) return;
  if (digests_.contradicts(sender.position, sender.log_digest))
    return record_divergence(from, sender.disk, sender.position);
  const auto peer = peers_.find(from);
  if (peer != peers_.end() && peer->second.diverged_disk == sender.disk &&
      digests_.at(sender.position) != configuration::kUnknownDigest)
    peer->second.diverged_disk.reset();
}

bool Replica::has_diverged(const std::string& from, const Sender& sender) const {
  const auto peer = peers_.find(from);
  return peer != peers_.end() && peer->second.diverged_disk == sender.disk;
}

void Replica::record_divergence(const std::string& from, std::uint64_t disk, std::uint64_t position) {
  auto& peer = peers_[from];
  if (peer.diverged_disk == disk) return;
  peer.diverged_disk = disk;
  actions_.log_lines.push_back(
      "the log of " + from + " up to change " + std::to_string(position) +
      " is another one than here: agreed changes were lost; its messages are ignored");
}

// ---- quorums -------------------------------------------------------------------------------------

bool Replica::is_voter(const Voter& voter) const { return std::ranges::binary_search(state_.voters, voter); }

// A store that knows the present voters and runs at the address of one of them with another disk is a later
// one than that voter, which will never answer again. An earlier store at the address can't know of the
// present voters.
void Replica::detect_destroyed(Time now, const std::string& from, const Sender& sender,
                               const Status& status) {
  if (!status.has_state || status.membership < state_.membership) return;
  for (const auto& voter : state_.voters) {
    if (voter.address != from || voter.disk == sender.disk) continue;
    mark_destroyed(peers_[from].has_state_since.value_or(now), voter, "is lost");
  }
}

void Replica::mark_destroyed(Time seen_since, const Voter& voter, const std::string& why) {
  if (!destroyed_.try_emplace(voter, seen_since).second) return;
  actions_.write.destroyed.push_back(voter);
  actions_.write.durable = true;
  actions_.log_lines.push_back("the disk of voter " + voter.address + " " + why);
}

bool Replica::is_destroyed(const Voter& voter) const { return destroyed_.contains(voter); }

bool Replica::is_quorum(const std::set<Voter>& voters) const {
  return voters.size() * 2 > state_.voters.size() || is_survivor_quorum(voters);
}

// If only disks of one zone are lost, all voters whose disks are not lost form a quorum. Every acknowledged
// change has an acceptor among them, as its acceptors lie in two zones, and no other quorum can be formed
// without one of them. An unresponsive voter does not count as lost: its disk may hold what no other one has.
// A store that is known to lag the latest membership can't form such a quorum: the others may have been
// replaced without it. The stores at the destroyed voters' addresses are given time to learn of a newer
// membership.
bool Replica::is_survivor_quorum(const std::set<Voter>& voters) const {
  if (highest_seen_membership_ > state_.membership || voters.empty()) return false;
  std::set<std::string> lost_zones;
  for (const auto& voter : state_.voters) {
    if (voters.contains(voter)) continue;
    const auto destroyed = destroyed_.find(voter);
    if (destroyed == destroyed_.end() || now_ < destroyed->second + kSuccessorGracePeriod) return false;
    lost_zones.insert(zone_of(voter.address));
  }
  return lost_zones.size() == 1 && !lost_zones.contains("");
}

// Whether the voters whose disks are not lost form a quorum. A membership change that was started earlier is
// still accepted by them and keeps its content, even if more disks are found lost and more learners become
// ready before it can be decided.
bool Replica::can_form_quorum() const {
  std::set<Voter> survivors;
  for (const auto& voter : state_.voters)
    if (!is_destroyed(voter)) survivors.insert(voter);
  return is_quorum(survivors);
}

// Whether the change would remain on another disk after the loss of one zone's disks. A zone whose voters are
// all unresponsive counts as lost already.
bool Replica::survives_zone_loss(Time now, const std::set<Voter>& acceptors) const {
  std::set<std::string> zones;
  for (const auto& voter : acceptors) zones.insert(zone_of(voter.address));
  if (zones.size() > 1) return true;
  return std::ranges::all_of(state_.voters, [&](const Voter& voter) {
    if (acceptors.contains(voter) || is_destroyed(voter)) return true;
    const auto zone = zone_of(voter.address);
    if (!zone.empty() && zones.contains(zone)) return true;
    return unresponsive_for(now, voter.address, options_.unresponsive_after);
  });
}

}  // namespace docklift::agreement
