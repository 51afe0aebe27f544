#include "system/agreement/replica.hpp"

#include <algorithm>
#include <limits>

namespace docklift::agreement {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kLogBatchBytes = 64u << 10;  // of entries in one message; one entry may be larger
constexpr std::size_t kQueued = 256;               // proposals that wait; more get 503 at once
constexpr Duration kFetchGap = 100ms;              // a log that was asked for is waited for so long
constexpr Duration kResolveAfter = 150ms;  // a proposer of a half decided change is left so long to end it
constexpr Duration kLeastPause = 10ms, kMostPause = 120ms;  // after ballots that crossed first
constexpr unsigned kMostDoublings = 3;                      // of the longest pause, where they cross again
constexpr Duration kStoodStill = 400ms;  // a tick that is late by this: the process was stopped
constexpr std::uint64_t kWhole = std::numeric_limits<std::uint64_t>::max();  // Fetch::after: a snapshot

std::vector<Voter> bootstrap_voters(std::vector<std::string> seeds) {
  std::ranges::sort(seeds);
  seeds.erase(std::ranges::unique(seeds).begin(), seeds.end());
  std::vector<Voter> voters;
  for (auto& seed : seeds) voters.push_back({std::move(seed), configuration::kBootstrapDisk});
  return voters;
}

std::string in_hexadecimal(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

}  // namespace

Replica::Replica(Options options, Kept kept)
    : options_(std::move(options)), state_(std::move(kept.state)), rng_(options_.chance) {
  disk_ = kept.disk;
  promised_ = kept.promised;
  begin_log();
  digests_.record(state_.position, state_.log_digest);
  for (auto& [slot, accepted] : kept.accepted) accepted_[slot] = std::move(accepted);
  for (const auto& entry : kept.log) {
    if (entry.slot != state_.position + 1) continue;
    configuration::apply(state_, entry.change.kind, entry.change.text);
    digests_.record(state_.position, state_.log_digest);
    log_.push(entry);
    note_logged(entry);
  }
  std::erase_if(accepted_, [&](const auto& accepted) { return accepted.first <= state_.position; });
  for (const auto& store : kept.zones) peers_[store.address].zone = store.zone;
  for (const auto& voter : kept.destroyed) destroyed_[voter] = {};
  round_ = promised_.round;
  numbers_ = rng_();
  status_round_ = rng_();
  if (kept.any) return;
  if (options_.bootstrap) state_.voters = bootstrap_voters(options_.seeds);
  const bool is_seed = std::ranges::find(options_.seeds, options_.self) != options_.seeds.end();
  // Also where an identity is left without a state: what this disk promised is lost.
  disk_ = options_.bootstrap && is_seed ? configuration::kBootstrapDisk : options_.new_disk;
  out_.write.disk = disk_;
  out_.write.durable = true;
  if (has_state()) {
    out_.write.state = state_;
  } else {
    out_.notes.emplace_back("the disk is empty: a learner without a vote until it has the others' state");
  }
}

Out Replica::start(Time now) {
  next_confirm_ = now;
  now_ = now;
  contact_since_ = now;
  for (auto& [voter, since] : destroyed_) since = now;
  for (const auto& address : options_.lost_voters) note_lost_voter(now, address);
  out_.notes.push_back("starts with " + place_and_digest() + ", disk " + in_hexadecimal(disk_));
  return std::exchange(out_, {});
}

void Replica::note_lost_voter(Time now, const std::string& address) {
  const auto voter = std::ranges::find(state_.voters, address, &Voter::address);
  if (voter == state_.voters.end() || address == options_.self) {
    out_.notes.push_back("the operators call " + address + " lost, which is no other voter");
    return;
  }
  note_destroyed(now, *voter, "is lost, as the operators say");
}

std::string Replica::place_and_digest() const {
  return "change " + std::to_string(state_.position) + ", digest " + in_hexadecimal(state_.log_digest);
}

Sender Replica::identity() const {
  return {disk_, std::max(state_.membership, seen_membership_), state_.position, state_.log_digest};
}

void Replica::send(const std::string& to, Message message) {
  out_.sends.push_back({to, {identity(), std::move(message)}});
}

void Replica::send_at_once(const std::string& to, Message message) {
  out_.immediate.push_back({to, {identity(), std::move(message)}});
}

void Replica::to_voters(const Message& message) {
  for (const auto& voter : state_.voters) send(voter.address, message);
}

Duration Replica::chance(Duration least, Duration most) {
  const auto span = static_cast<std::uint64_t>((most - least).count() + 1);
  return least + Duration(static_cast<Duration::rep>(rng_() % span));
}

// ---- proposer ------------------------------------------------------------------------------------

Out Replica::propose(Time now, std::uint64_t id, ChangeKind kind, std::string text) {
  notice_time(now);
  if (kind == ChangeKind::noop && reads_.size() < kQueued) {
    reads_.push_back({id, now});
    if (has_state() && !confirming_) begin_confirm(now);
  } else if (kind == ChangeKind::noop || queue_.size() >= kQueued) {
    out_.settled.push_back({id, 503, "too many calls wait"});
  } else {
    queue_.push_back({id, kind, std::move(text), now, false});
    drive(now);
  }
  return std::exchange(out_, {});
}

void Replica::settle(int status, std::string why) {
  if (queue_.empty()) return;
  out_.settled.push_back({queue_.front().id, status, std::move(why)});
  queue_.pop_front();
}

// The next proposals: what can be answered is answered, what changes something gets a ballot.
void Replica::drive(Time now) {
  while (phase_ == Phase::idle && !queue_.empty() && has_state())
    if (!settle_first(now)) return;
}

// Answers the first proposal if that needs no ballot. A refusal because of the present state, and an
// acknowledgement of what holds already, are given only after a read barrier.
bool Replica::settle_first(Time now) {
  auto& proposal = queue_.front();
  bool changes = true;
  bool needs_barrier = true;
  configuration::ValidationResult judgement;
  switch (proposal.kind) {
    case ChangeKind::replace:
      judgement = configuration::validate_replace(state_, proposal.text, nullptr);
      break;
    case ChangeKind::patch: judgement = configuration::validate_patch(state_, proposal.text, nullptr); break;
    case ChangeKind::evacuate:
    case ChangeKind::readmit:
      judgement = configuration::validate_evacuation(state_, proposal.kind, proposal.text);
      break;
    case ChangeKind::membership: {
      const auto change = configuration::decode_membership(proposal.text);
      changes = change && change->number == state_.membership;
      needs_barrier = false;
      break;
    }
    case ChangeKind::noop: changes = false; break;
  }
  if (judgement.already_accepted) {
    changes = false;
    needs_barrier = false;
  }
  if (judgement.status == 400) needs_barrier = false;  // a newer state would refuse it as well
  if (judgement.status == 200 && changes) {
    if (proposal.kind != ChangeKind::membership && waits_for_voters(now)) return false;
    begin_ballot(now);
    ballot_for_first_ = true;
    return false;
  }
  if (needs_barrier && !proposal.sure) {
    if (!confirming_) begin_confirm(now);
    return false;
  }
  settle(judgement.status, judgement.why);
  return true;
}

void Replica::begin_ballot(Time now) {
  slot_ = state_.position + 1;
  round_ = std::max(round_, promised_.round) + 1;
  ballot_ = {round_, options_.self, disk_};
  promises_.clear();
  acceptances_.clear();
  refusals_.clear();
  highest_.reset();
  ballot_for_first_ = false;
  // Its own promise first, durably: else a store that fails and comes back could offer two changes under one
  // ballot.
  promised_ = ballot_;
  out_.write.promised = promised_;
  out_.write.durable = true;
  phase_ = Phase::preparing;
  phase_since_ = now;
  to_voters(Prepare{slot_, ballot_});
}

void Replica::on(Time now, const std::string& from, const Sender& sender, const Promise& m) {
  const Voter voter{from, sender.disk};
  if (phase_ != Phase::preparing || m.slot != slot_ || m.ballot != ballot_ || !is_voter(voter)) return;
  if (m.promised != ballot_) {
    round_ = std::max(round_, m.promised.round);
    refusals_.insert(voter);
    if (refusals_.size() * 2 >= state_.voters.size()) pause_after_crossing(now);
    return;
  }
  promises_.insert(voter);
  if (m.accepted && (!highest_ || highest_->ballot < m.accepted->ballot)) highest_ = m.accepted;
  if (is_quorum(promises_)) begin_accept(now);
}

void Replica::begin_accept(Time now) {
  if (highest_) {
    offered_ = highest_->change;
  } else if (queue_.empty() || !ballot_for_first_) {
    offered_ = {ChangeKind::noop, "", options_.self, ++numbers_};
  } else {
    const auto& proposal = queue_.front();
    offered_ = {proposal.kind, proposal.text, options_.self, ++numbers_};
  }
  phase_ = Phase::accepting;
  phase_since_ = now;
  accept_sent_at_ = now;
  to_voters(Accept{slot_, ballot_, offered_});
}

void Replica::on(Time now, const std::string& from, const Sender& sender, const Accepted& m) {
  const Voter voter{from, sender.disk};
  if (phase_ != Phase::accepting || m.slot != slot_ || m.ballot != ballot_ || !is_voter(voter)) return;
  if (m.promised != ballot_) {
    round_ = std::max(round_, m.promised.round);
    refusals_.insert(voter);
    if (!is_quorum(acceptances_) && refusals_.size() * 2 >= state_.voters.size()) pause_after_crossing(now);
    return;
  }
  acceptances_.insert(voter);
  try_decide(now);
}

void Replica::try_decide(Time now) {
  if (phase_ != Phase::accepting || !is_quorum(acceptances_)) return;
  if (!outlives_a_zone(now, acceptances_)) return;
  const auto decided = offered_;
  const auto slot = slot_;
  for (const auto& [address, peer] : peers_)
    if (peer.linked) send(address, LogEntry{slot, decided});
  phase_ = Phase::idle;
  choose(now, slot, decided);
}

// To voters that have said nothing yet: their link may have been reset with the message on it.
void Replica::resend_accept() {
  for (const auto& voter : state_.voters)
    if (!acceptances_.contains(voter) && !refusals_.contains(voter))
      send(voter.address, Accept{slot_, ballot_, offered_});
}

void Replica::pause(Time now, Duration most) {
  phase_ = Phase::pausing;
  resume_at_ = now + chance(kLeastPause, most);
}

// Another proposer's ballot was in the way. Longer each time at one place: with slow disks a ballot takes longer than a
// short pause, and two that come back soon cross each other for ever.
void Replica::pause_after_crossing(Time now) {
  pause(now, kMostPause * (1u << std::min(crossings_, kMostDoublings)));
  ++crossings_;
}

// A ballot under way goes on without the call that it was begun for. A call may be late behind one that is not.
void Replica::give_up_late(Time now) {
  const auto is_late = [&](const Proposal& proposal) { return now >= proposal.since + options_.give_up; };
  if (!queue_.empty() && is_late(queue_.front())) ballot_for_first_ = false;
  std::erase_if(queue_, [&](const Proposal& proposal) {
    if (!is_late(proposal)) return false;
    out_.settled.push_back({proposal.id, 503, "no majority in time"});
    return true;
  });
  std::erase_if(reads_, [&](const Read& read) {
    if (now < read.since + options_.give_up) return false;
    out_.settled.push_back({read.id, 503, "no majority in time"});
    return true;
  });
}

// ---- learner -------------------------------------------------------------------------------------

void Replica::choose(Time now, std::uint64_t slot, const Change& change) {
  if (!has_state() || slot != state_.position + 1) return;
  const auto accepted = accepted_.find(slot);
  const bool durable_here = accepted != accepted_.end() && accepted->second.change == change;
  const auto membership = state_.membership;
  const bool took_effect = configuration::apply(state_, change.kind, change.text);
  crossings_ = 0;
  digests_.record(state_.position, state_.log_digest);
  log_.push({slot, change});
  std::erase_if(accepted_, [&](const auto& entry) { return entry.first <= slot; });
  out_.chosen.push_back({slot, change});
  out_.write.log.push_back({slot, change});
  out_.write.forget_accepted = slot;
  // From an acceptance the voters of this place learn it again; the voters after it may be others.
  const bool voters_changed = state_.membership != membership;
  if (voters_changed) {
    change_needed_since_.reset();  // what is needed next is proposed in turn again
    successors_since_.reset();
    next_confirm_ = now;  // by what the others say now
  }
  if (!durable_here || voters_changed) out_.write.durable = true;
  if (!votes()) announce_status();  // a learner stands ready only with all changes
  note_logged({slot, change});
  if (snapshot_policy_.is_due(logged_, state_bytes_)) {
    begin_log();
    out_.write.state = state_;
    out_.write.forget_log = state_.position;
    out_.write.log.clear();
  }
  if (voters_changed)
    out_.notes.push_back("membership " + std::to_string(state_.membership) + ": " +
                         std::to_string(state_.voters.size()) + " voters, " +
                         (votes() ? "this store is one" : "this store is a learner"));
  const bool own = change.author == options_.self && change.number == offered_.number && offered_.number != 0;
  // What was decided without effect was begun for another call and not judged on this state: drive() judges it.
  const bool answers_first = own && !queue_.empty() && queue_.front().kind == change.kind &&
                             queue_.front().text == change.text;
  if (answers_first && took_effect) settle(200, "");
  if (ballot_runs()) phase_ = Phase::idle;
  if (confirming_ && target_ && state_.position >= *target_) end_confirm(now);
  drive(now);
}

// The state is written as a snapshot: the log on disk begins anew after it.
void Replica::begin_log() {
  logged_ = {};
  state_bytes_ = state_.document.is_null() ? 0 : state_.document.dump().size();
}

void Replica::note_logged(const LogEntry& entry) {
  ++logged_.changes;
  logged_.bytes += bytes_of(entry);
}

void Replica::fetch_from(Time now, const std::string& address) {
  if (now < fetched_at_ + kFetchGap) return;
  fetched_at_ = now;
  send(address, Fetch{has_state() ? state_.position : kWhole});
}

void Replica::on(Time now, const std::string& from, const Sender&, const LogEntry& m) {
  if (m.slot > state_.position + 1) fetch_from(now, from);
  choose(now, m.slot, m.change);
}

void Replica::on(Time, const std::string& from, const Sender&, const Fetch& m) {
  if (!has_state()) return;
  const bool up_to_date = m.after != kWhole && m.after >= state_.position;
  if (!up_to_date && (m.after == kWhole || !log_.covers(m.after))) {
    out_.snapshots.push_back({from, m.after == kWhole ? 0 : m.after});
    return;
  }
  send(from, Log{log_.after(m.after, kLogBatchBytes), state_.position, digests_.at(m.after)});
}

void Replica::take_snapshot(const State& snapshot) {
  const bool first = !has_state();
  if (snapshot.voters.empty() || (snapshot.position <= state_.position && !first)) return;
  state_ = snapshot;
  digests_.record(state_.position, state_.log_digest);
  log_.clear();
  std::erase_if(accepted_, [&](const auto& entry) { return entry.first <= state_.position; });
  out_.snapshot = true;
  begin_log();
  out_.write.state = state_;
  out_.write.forget_log = state_.position;
  out_.write.log.clear();
  out_.write.forget_accepted = state_.position;
  out_.write.durable = true;
  if (first) {
    out_.notes.push_back("the others' state is here up to change " + std::to_string(state_.position));
    announce_status();
  }
  if (ballot_runs()) phase_ = Phase::idle;
}

void Replica::on(Time now, const std::string& from, const Sender& sender, const Log& m) {
  fetched_at_ = {};
  if (!m.entries.empty() && digests_.contradicts(m.entries.front().slot - 1, m.digest_before))
    return note_contradiction(from, sender.disk, m.entries.front().slot - 1);
  const auto before = state_.position;
  for (const auto& entry : m.entries) choose(now, entry.slot, entry.change);
  if (state_.position > before && state_.position < m.newest) fetch_from(now, from);
  after_learning(now);
}

// A store that stands one place further says by its digest which change it found decided there. If that is what was
// accepted here, it need not come again; where its sender has lost its disk since, it never would.
void Replica::learn_by_digest(Time now, const Sender& sender) {
  if (!has_state() || sender.position != state_.position + 1) return;
  const auto accepted = accepted_.find(sender.position);
  if (accepted == accepted_.end()) return;
  const auto change = accepted->second.change;
  const auto digest = configuration::digest_after(state_.log_digest, static_cast<std::uint8_t>(change.kind),
                                                  change.text);
  if (digest == configuration::kUnknownDigest || digest != sender.log_digest) return;
  choose(now, sender.position, change);
}

void Replica::after_learning(Time now) {
  if (confirming_ && target_ && state_.position >= *target_) end_confirm(now);
  drive(now);
}

Out Replica::receive_snapshot(Time now, const State& snapshot) {
  notice_time(now);
  fetched_at_ = {};
  take_snapshot(snapshot);
  after_learning(now);
  return std::exchange(out_, {});
}

// ---- acceptor ------------------------------------------------------------------------------------

// A proposer whose membership is older than this one's stands at a place that is decided; a frame that says
// otherwise is not of this history.
void Replica::on(Time now, const std::string& from, const Sender& sender, const Prepare& m) {
  if (!has_state()) return;
  if (m.slot <= state_.position) return on(now, from, sender, Fetch{m.slot - 1});
  if (sender.membership < state_.membership) return;
  if (m.ballot > promised_) {
    promised_ = m.ballot;
    out_.write.promised = promised_;
    out_.write.durable = true;
  }
  Promise answer{m.slot, m.ballot, promised_, std::nullopt};
  if (const auto it = accepted_.find(m.slot); it != accepted_.end()) answer.accepted = it->second;
  send(from, std::move(answer));
}

void Replica::on(Time now, const std::string& from, const Sender& sender, const Accept& m) {
  if (!has_state()) return;
  if (m.slot <= state_.position) return on(now, from, sender, Fetch{m.slot - 1});
  if (sender.membership < state_.membership) return;
  if (m.ballot >= promised_) {
    promised_ = m.ballot;
    accepted_[m.slot] = {m.ballot, m.change};
    out_.write.promised = promised_;
    out_.write.durable = true;
    std::erase_if(out_.write.accepted, [&](const auto& entry) { return entry.first == m.slot; });
    out_.write.accepted.emplace_back(m.slot, accepted_[m.slot]);
  }
  send(from, Accepted{m.slot, m.ballot, promised_});
}

// ---- time and messages ---------------------------------------------------------------------------

Out Replica::receive(Time now, const std::string& from, const Envelope& envelope) {
  notice_time(now);
  notice_history(from, envelope.sender);
  if (is_contradicting(from, envelope.sender)) return std::exchange(out_, {});
  auto& peer = peers_[from];
  if (!heard_recently(peer)) peer.has_state_since.reset();  // what it has heard meanwhile is not known here
  peer.heard = now;
  learn_by_digest(now, envelope.sender);
  seen_membership_ = std::max(seen_membership_, envelope.sender.membership);
  std::visit([&](const auto& message) { on(now, from, envelope.sender, message); }, envelope.message);
  return std::exchange(out_, {});
}

// Ticks come often: where none came for long the process was stopped, and what it did not hear meanwhile says
// nothing of the others.
void Replica::notice_time(Time now) {
  if (now - now_ > kStoodStill) contact_since_ = now;
  now_ = now;
}

Out Replica::tick(Time now) {
  notice_time(now);
  watch_contact(now);
  if (now >= next_confirm_) {
    next_confirm_ = now + options_.confirm_every;
    if (!has_state()) {
      request_statuses();
    } else {
      const bool resolve = half_decided() && now >= confirm_began_ + kResolveAfter;
      // Calls that wait are no reason not to: they may wait for this very place.
      if (resolve && phase_ == Phase::idle) begin_ballot(now);
      if (!confirming_ || now >= confirm_began_ + options_.confirm_every) begin_confirm(now);
    }
  }
  if (phase_ == Phase::preparing && now >= phase_since_ + options_.round_limit) pause(now, kMostPause);
  const bool stuck = !is_quorum(acceptances_) || !refusals_.empty();
  if (phase_ == Phase::accepting && now >= phase_since_ + options_.round_limit && stuck)
    pause(now, kMostPause);
  if (phase_ == Phase::accepting && now >= accept_sent_at_ + options_.round_limit) {
    accept_sent_at_ = now;
    resend_accept();
  }
  try_decide(now);
  if (phase_ == Phase::pausing && now >= resume_at_) {
    phase_ = Phase::idle;
    drive(now);
    if (phase_ == Phase::idle && half_decided()) begin_ballot(now);
  }
  give_up_late(now);
  propose_membership(now);
  drive(now);
  return std::exchange(out_, {});
}

Out Replica::leave(Time now) {
  notice_time(now);
  if (!leaving_) {
    leaving_ = true;
    leaving_since_ = now;
    propose_membership(now);
    drive(now);
  }
  return std::exchange(out_, {});
}

}  // namespace docklift::agreement
