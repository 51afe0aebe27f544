// Read barriers, histories and quorums.
#include <algorithm>

#include "system/agreement/replica.hpp"

namespace docklift::agreement {
namespace {

using namespace std::chrono_literals;

constexpr Duration kRecently = 1200ms;  // two rounds of statuses: heard within it, a store is in contact
constexpr Duration kHearsay = 1500ms;   // a store with a new disk has heard the others' membership by then
constexpr std::uint64_t kUnaskedRound = 0;  // of a status that nobody asked for

}  // namespace

// ---- peers ---------------------------------------------------------------------------------------

void Replica::linked(const std::string& address, const std::string& zone) {
  auto& peer = peers_[address];
  const bool was_linked = std::exchange(peer.linked, true);
  if (!was_linked) ask_late(address);
  if (peer.zone == zone) return;
  peer.zone = zone;
  out_.write.zones.push_back({address, zone});
}

// A question of the present round that was put before the link stood was lost. What is answered later than the others
// counts as well: it was stated after the round began.
void Replica::ask_late(const std::string& address) {
  const bool asks = confirming_ || !has_state();
  if (asks && !statuses_.contains(address)) send_at_once(address, StatusRequest{status_round_});
}

void Replica::unlinked(const std::string& address) {
  if (const auto peer = peers_.find(address); peer != peers_.end()) peer->second.linked = false;
}

bool Replica::heard_recently(const Peer& peer) const { return now_ - peer.heard <= kRecently; }

std::string Replica::zone_of(const std::string& address) const {
  if (address == options_.self) return options_.zone;
  const auto peer = peers_.find(address);
  return peer == peers_.end() ? std::string() : peer->second.zone;
}

// Silence counts only while this store was running and in contact with a majority itself.
bool Replica::lost_for(Time now, const std::string& address, Duration limit) const {
  if (address == options_.self) return false;
  const auto peer = peers_.find(address);
  const auto heard = peer == peers_.end() ? Time{} : peer->second.heard;
  return now - std::max(heard, contact_since_) > limit;
}

void Replica::watch_contact(Time now) {
  const auto in_contact = [&](const Voter& voter) {
    if (voter.address == options_.self) return true;
    const auto peer = peers_.find(voter.address);
    return peer != peers_.end() && heard_recently(peer->second);
  };
  std::size_t survivors = 0;
  std::size_t survivors_in_contact = 0;
  for (const auto& voter : state_.voters) {
    if (is_destroyed(voter)) continue;
    ++survivors;
    if (in_contact(voter)) ++survivors_in_contact;
  }
  const bool majority = survivors_in_contact * 2 > state_.voters.size();
  // Lost disks may leave less than a majority: then all that are left count.
  const bool all_survivors = survivors > 0 && survivors_in_contact == survivors;
  if (!majority && !all_survivors) contact_since_ = now;
}

// ---- read barriers -------------------------------------------------------------------------------

Status Replica::status(std::uint64_t round) const {
  Status status;
  status.round = round;
  status.position = state_.position;
  status.has_state = has_state();
  status.eligible = options_.votes;
  status.leaving = hands_over();
  status.membership = state_.membership;
  for (const auto& [slot, accepted] : accepted_)
    if (slot > state_.position) status.accepted.emplace_back(slot, accepted);
  return status;
}

// What a voter says of its memory holds without its disk: a change that it forgets by a loss of power was not
// acknowledged on its word. A learner's position is believed to be durable, so its word waits for the disk.
void Replica::on(Time, const std::string& from, const Sender&, const StatusRequest& m) {
  if (votes()) {
    send_at_once(from, status(m.round));
  } else {
    send(from, status(m.round));
  }
}

// To all that can be reached: what was lost at this address, and that a learner is ready, is known at once.
void Replica::announce_status() {
  for (const auto& [address, peer] : peers_)
    if (peer.linked && address != options_.self) send(address, status(kUnaskedRound));
}

void Replica::request_statuses() {
  ++status_round_;
  statuses_.clear();
  std::set<std::string> asked(options_.seeds.begin(), options_.seeds.end());
  for (const auto& voter : state_.voters) asked.insert(voter.address);
  for (const auto& [address, peer] : peers_)
    if (peer.linked) asked.insert(address);
  for (const auto& address : asked) send_at_once(address, StatusRequest{status_round_});
}

void Replica::begin_confirm(Time now) {
  confirming_ = true;
  confirm_began_ = now;
  confirm_membership_ = state_.membership;
  target_.reset();
  request_statuses();
}

void Replica::on(Time now, const std::string& from, const Sender& sender, const Status& m) {
  auto& peer = peers_[from];
  peer.told = true;
  if (peer.disk != sender.disk) peer.has_state_since.reset();
  if (m.has_state && !peer.has_state_since) peer.has_state_since = now;
  peer.disk = sender.disk;
  peer.status = m;
  peer.status.accepted.clear();
  notice_destroyed(now, from, sender, m);
  if (m.round != status_round_) return;
  if (!has_state()) {
    if (m.has_state) fetch_from(now, from);
    return;
  }
  if (!confirming_) return;
  if (is_voter({from, sender.disk})) statuses_[from] = m;
  count_statuses(now);
  if (confirming_ && m.has_state && m.position > state_.position) fetch_from(now, from);
}

void Replica::count_statuses(Time now) {
  if (!target_) {
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
    target_ = target;
  }
  if (state_.position >= *target_) end_confirm(now);
}

// The voters of the place after this one must be those that were asked: where they have changed meanwhile,
// the former ones may know nothing of what the present ones have decided.
void Replica::end_confirm(Time now) {
  confirming_ = false;
  if (state_.membership != confirm_membership_) {
    begin_confirm(now);
    return;
  }
  if (!std::exchange(confirmed_once_, true))
    out_.notes.push_back("a majority stands at " + place_and_digest() + ", the first one of this life");
  const auto began = confirm_began_;
  for (auto& proposal : queue_)
    if (proposal.since <= began) proposal.sure = true;
  std::erase_if(reads_, [&](const Read& read) {
    if (read.since > began) return false;
    out_.settled.push_back({read.id, 200, ""});
    return true;
  });
  if (!reads_.empty()) begin_confirm(now);
  drive(now);
}

// ---- histories -----------------------------------------------------------------------------------

// A store whose log holds other changes than this one's at the same places is not listened to: no quorum has members
// of two histories, so that neither acknowledges on top of what the other one has lost. It counts as silent. Whoever
// is ahead can compare, since it knows the digest of the other one's place.
void Replica::notice_history(const std::string& from, const Sender& sender) {
  if (!has_state() || sender.position > state_.position || from == options_.self) return;
  if (digests_.contradicts(sender.position, sender.log_digest))
    return note_contradiction(from, sender.disk, sender.position);
  const auto peer = peers_.find(from);
  if (peer != peers_.end() && peer->second.contradicting_disk == sender.disk &&
      digests_.at(sender.position) != configuration::kUnknownDigest)
    peer->second.contradicting_disk.reset();
}

bool Replica::is_contradicting(const std::string& from, const Sender& sender) const {
  const auto peer = peers_.find(from);
  return peer != peers_.end() && peer->second.contradicting_disk == sender.disk;
}

void Replica::note_contradiction(const std::string& from, std::uint64_t disk, std::uint64_t position) {
  auto& peer = peers_[from];
  if (peer.contradicting_disk == disk) return;
  peer.contradicting_disk = disk;
  out_.notes.push_back("the log of " + from + " up to change " + std::to_string(position) +
                       " is another one than here: something that was agreed is lost; it is not listened to");
}

// ---- quorums -------------------------------------------------------------------------------------

bool Replica::is_voter(const Voter& voter) const { return std::ranges::binary_search(state_.voters, voter); }

// A store that knows the present voters, and lives at the address of one of them with another disk, came after
// that voter, which will never answer again. An older store at the address can't know of it.
void Replica::notice_destroyed(Time now, const std::string& from, const Sender& sender,
                               const Status& status) {
  if (!status.has_state || status.membership < state_.membership) return;
  for (const auto& voter : state_.voters) {
    if (voter.address != from || voter.disk == sender.disk) continue;
    note_destroyed(peers_[from].has_state_since.value_or(now), voter, "is lost");
  }
}

void Replica::note_destroyed(Time in_sight_since, const Voter& voter, const std::string& why) {
  if (!destroyed_.try_emplace(voter, in_sight_since).second) return;
  out_.write.destroyed.push_back(voter);
  out_.write.durable = true;
  out_.notes.push_back("the disk of voter " + voter.address + " " + why);
}

bool Replica::is_destroyed(const Voter& voter) const { return destroyed_.contains(voter); }

bool Replica::is_quorum(const std::set<Voter>& voters) const {
  return voters.size() * 2 > state_.voters.size() || is_survivor_quorum(voters);
}

// Where disks of one zone are lost: all voters whose disks are not. Every acknowledgement has an acceptor among them,
// as it lies in two zones, and no other quorum can be formed without one of them. Silence is no evidence: the disk of
// a machine that is dark may hold what no other one has. Not for a store that somebody knows to be behind the present
// membership: the others may have been replaced without it. Those at the destroyed voters' addresses are given time
// to hear of such a one.
bool Replica::is_survivor_quorum(const std::set<Voter>& voters) const {
  if (seen_membership_ > state_.membership || voters.empty()) return false;
  std::set<std::string> lost_zones;
  for (const auto& voter : state_.voters) {
    if (voters.contains(voter)) continue;
    const auto destroyed = destroyed_.find(voter);
    if (destroyed == destroyed_.end() || now_ < destroyed->second + kHearsay) return false;
    lost_zones.insert(zone_of(voter.address));
  }
  return lost_zones.size() == 1 && !lost_zones.contains("");
}

// Of the voters whose disks are not lost. A change of voters that is begun before is accepted by them all the same and
// stays as it is, though more disks are found lost and more learners ready until it can be decided.
bool Replica::may_have_quorum() const {
  std::set<Voter> survivors;
  for (const auto& voter : state_.voters)
    if (!is_destroyed(voter)) survivors.insert(voter);
  return is_quorum(survivors);
}

// Whether the loss of one zone's disks would leave the change on another disk. A zone in which no voter has
// been heard for long is lost already.
bool Replica::outlives_a_zone(Time now, const std::set<Voter>& acceptors) const {
  std::set<std::string> zones;
  for (const auto& voter : acceptors) zones.insert(zone_of(voter.address));
  if (zones.size() > 1) return true;
  return std::ranges::all_of(state_.voters, [&](const Voter& voter) {
    if (acceptors.contains(voter) || is_destroyed(voter)) return true;
    const auto zone = zone_of(voter.address);
    if (!zone.empty() && zones.contains(zone)) return true;
    return lost_for(now, voter.address, options_.silence);
  });
}

}  // namespace docklift::agreement
