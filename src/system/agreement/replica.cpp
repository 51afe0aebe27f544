#include "system/agreement/replica.hpp"

#include <algorithm>
#include <limits>

namespace docklift::agreement {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kLogBatchBytes = 64u << 10;  // of entries in one message; one entry may be larger
constexpr std::size_t kMaxQueued = 256;            // queued proposals; any more get 503 at once
constexpr Duration kFetchInterval = 100ms;         // minimum interval between log requests
constexpr Duration kResolveDelay = 150ms;  // time left to the proposer of an undecided change to complete it
constexpr Duration kMinBackoff = 10ms, kMaxBackoff = 120ms;  // after the first conflict of ballots
constexpr unsigned kMaxBackoffDoublings = 3;                 // of the maximum backoff, on repeated conflicts
// A longer gap between ticks means that the process was suspended.
constexpr Duration kSuspensionThreshold = 400ms;
// Value of Fetch::after that requests a snapshot.
constexpr std::uint64_t kFetchSnapshot = std::numeric_limits<std::uint64_t>::max();

std::vector<Voter> bootstrap_voters(std::vector<std::string> seeds) {
  std::ranges::sort(seeds);
  seeds.erase(std::ranges::unique(seeds).begin(), seeds.end());
  std::vector<Voter> voters;
  for (auto& seed : seeds) voters.push_back({std::move(seed), configuration::kBootstrapDisk});
  return voters;
}

// Whether the change is an order for the configuration document.
bool is_order(ChangeKind kind) { return kind == ChangeKind::replace || kind == ChangeKind::patch; }

std::string to_hex(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

}  // namespace

Replica::Replica(Options options, DurableState stored)
    : options_(std::move(options)), state_(std::move(stored.state)), rng_(options_.random_seed) {
  disk_ = stored.disk;
  promised_ = stored.promised;
  reset_log_size();
  digests_.record(state_.position, state_.log_digest);
  for (auto& [slot, accepted] : stored.accepted) accepted_[slot] = std::move(accepted);
  for (const auto& entry : stored.log) {
    if (entry.slot != state_.position + 1) continue;
    configuration::apply(state_, entry.change.kind, entry.change.text);
    digests_.record(state_.position, state_.log_digest);
    log_.push(entry);
    count_logged(entry);
  }
  std::erase_if(accepted_, [&](const auto& accepted) { return accepted.first <= state_.position; });
  for (const auto& store : stored.zones) peers_[store.address].zone = store.zone;
  for (const auto& voter : stored.destroyed) destroyed_[voter] = {};
  round_ = promised_.round;
  last_number_ = rng_();
  status_round_ = rng_();
  if (stored.has_state) return;
  if (options_.bootstrap) state_.voters = bootstrap_voters(options_.seeds);
  const bool is_seed = std::ranges::find(options_.seeds, options_.self) != options_.seeds.end();
  // Also if the disk holds an identity but no state: its earlier promises are lost.
  disk_ = options_.bootstrap && is_seed ? configuration::kBootstrapDisk : options_.new_disk;
  actions_.write.disk = disk_;
  actions_.write.durable = true;
  if (has_state()) {
    actions_.write.state = state_;
  } else {
    actions_.log_lines.emplace_back(
        "the disk is empty: this store is a learner without a vote until it has the others' state");
  }
}

Actions Replica::start(Time now) {
  next_barrier_ = now;
  now_ = now;
  contact_since_ = now;
  for (auto& [voter, since] : destroyed_) since = now;
  for (const auto& address : options_.lost_voters) mark_voter_lost(now, address);
  actions_.log_lines.push_back("starts with " + position_and_digest() + ", disk " + to_hex(disk_));
  report_lowered_version();
  return std::exchange(actions_, {});
}

void Replica::mark_voter_lost(Time now, const std::string& address) {
  const auto voter = std::ranges::find(state_.voters, address, &Voter::address);
  if (voter == state_.voters.end() || address == options_.self) {
    actions_.log_lines.push_back("the operators call " + address + " lost, which is no other voter");
    return;
  }
  mark_destroyed(now, *voter, "is lost, as the operators say");
}

// Earlier versions of this program accepted changes that set a version of their own.
void Replica::report_lowered_version() {
  const auto current = state_.version();
  const auto newest = state_.history.newest();
  if (newest <= current) return;
  actions_.log_lines.push_back(
      "version " + configuration::format_version(current) + " is in force although version " +
      configuration::format_version(newest) +
      " was accepted before: a change set its own version. Send a Config.Replace with "
      "this version as parent and a gen above " +
      configuration::format_version(newest));
}

std::string Replica::position_and_digest() const {
  return "change " + std::to_string(state_.position) + ", digest " + to_hex(state_.log_digest);
}

Sender Replica::own_sender() const {
  return {disk_, std::max(state_.membership, highest_seen_membership_), state_.position, state_.log_digest};
}

void Replica::send(const std::string& to, Message message) {
  actions_.sends.push_back({to, {own_sender(), std::move(message)}});
}

void Replica::send_immediately(const std::string& to, Message message) {
  actions_.immediate_sends.push_back({to, {own_sender(), std::move(message)}});
}

void Replica::send_to_voters(const Message& message) {
  for (const auto& voter : state_.voters) send(voter.address, message);
}

Duration Replica::random_duration(Duration min, Duration max) {
  const auto span = static_cast<std::uint64_t>((max - min).count() + 1);
  return min + Duration(static_cast<Duration::rep>(rng_() % span));
}

// ---- proposer ------------------------------------------------------------------------------------

Actions Replica::propose(Time now, std::uint64_t id, ChangeKind kind, std::string text) {
  update_clock(now);
  if (kind == ChangeKind::noop && reads_.size() < kMaxQueued) {
    reads_.push_back({id, now});
    if (has_state() && !barrier_running_) begin_read_barrier(now);
  } else if (kind == ChangeKind::noop || queue_.size() >= kMaxQueued) {
    actions_.completions.push_back({id, 503, "too many calls wait"});
  } else {
    queue_.push_back({id, kind, std::move(text), now, false});
    advance_queue(now);
  }
  return std::exchange(actions_, {});
}

void Replica::complete_first(int status, std::string why) {
  if (queue_.empty()) return;
  actions_.completions.push_back({queue_.front().id, status, std::move(why)});
  queue_.pop_front();
}

// Works off the queue: completes proposals that need no ballot and starts a ballot for the first one that
// does.
void Replica::advance_queue(Time now) {
  while (phase_ == Phase::idle && !queue_.empty() && has_state())
    if (!try_complete_first(now)) return;
}

// Completes the first proposal if that needs no ballot. A rejection because of the present state, and an
// acknowledgement of what already holds, are returned only after a read barrier.
bool Replica::try_complete_first(Time now) {
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
  if (judgement.status == 400) needs_barrier = false;  // a newer state would reject it as well
  if (judgement.status == 200 && changes) {
    if (proposal.kind != ChangeKind::membership && waits_for_successors(now)) return false;
    begin_ballot(now);
    ballot_for_first_proposal_ = true;
    return false;
  }
  if (needs_barrier && !proposal.confirmed) {
    if (!barrier_running_) begin_read_barrier(now);
    return false;
  }
  complete_first(judgement.status, judgement.why);
  return true;
}

void Replica::begin_ballot(Time now) {
  slot_ = state_.position + 1;
  round_ = std::max(round_, promised_.round) + 1;
  ballot_ = {round_, options_.self, disk_};
  promises_.clear();
  acceptances_.clear();
  rejections_.clear();
  highest_accepted_.reset();
  ballot_for_first_proposal_ = false;
  // The proposer's own promise is made durable first: otherwise a store that restarts could propose two
  // changes under one ballot.
  promised_ = ballot_;
  actions_.write.promised = promised_;
  actions_.write.durable = true;
  phase_ = Phase::preparing;
  phase_since_ = now;
  send_to_voters(Prepare{slot_, ballot_});
}

void Replica::on(Time now, const std::string& from, const Sender& sender, const Promise& m) {
  const Voter voter{from, sender.disk};
  if (phase_ != Phase::preparing || m.slot != slot_ || m.ballot != ballot_ || !is_voter(voter)) return;
  if (m.promised != ballot_) {
    round_ = std::max(round_, m.promised.round);
    rejections_.insert(voter);
    if (rejections_.size() * 2 >= state_.voters.size()) back_off_after_conflict(now);
    return;
  }
  promises_.insert(voter);
  if (m.accepted && (!highest_accepted_ || highest_accepted_->ballot < m.accepted->ballot))
    highest_accepted_ = m.accepted;
  if (is_quorum(promises_)) begin_accept(now);
}

void Replica::begin_accept(Time now) {
  if (highest_accepted_) {
    proposed_ = highest_accepted_->change;
  } else if (queue_.empty() || !ballot_for_first_proposal_) {
    proposed_ = {ChangeKind::noop, "", options_.self, ++last_number_};
  } else {
    const auto& proposal = queue_.front();
    proposed_ = {proposal.kind, proposal.text, options_.self, ++last_number_};
  }
  phase_ = Phase::accepting;
  phase_since_ = now;
  accept_sent_at_ = now;
  send_to_voters(Accept{slot_, ballot_, proposed_});
}

void Replica::on(Time now, const std::string& from, const Sender& sender, const Accepted& m) {
  const Voter voter{from, sender.disk};
  if (phase_ != Phase::accepting || m.slot != slot_ || m.ballot != ballot_ || !is_voter(voter)) return;
  if (m.promised != ballot_) {
    round_ = std::max(round_, m.promised.round);
    rejections_.insert(voter);
    if (!is_quorum(acceptances_) && rejections_.size() * 2 >= state_.voters.size())
      back_off_after_conflict(now);
    return;
  }
  acceptances_.insert(voter);
  try_decide(now);
}

void Replica::try_decide(Time now) {
  if (phase_ != Phase::accepting || !is_quorum(acceptances_)) return;
  if (!survives_zone_loss(now, acceptances_)) return;
  const auto decided = proposed_;
  const auto slot = slot_;
  for (const auto& [address, peer] : peers_)
    if (peer.linked) send(address, LogEntry{slot, decided});
  phase_ = Phase::idle;
  apply_chosen(now, slot, decided);
}

// Sends the Accept again to voters that have not replied: a link reset may have lost the message.
void Replica::resend_accept() {
  for (const auto& voter : state_.voters)
    if (!acceptances_.contains(voter) && !rejections_.contains(voter))
      send(voter.address, Accept{slot_, ballot_, proposed_});
}

void Replica::back_off(Time now, Duration max_delay) {
  phase_ = Phase::backing_off;
  retry_at_ = now + random_duration(kMinBackoff, max_delay);
}

// Backs off after a conflict with another proposer's ballot, longer each time for one slot: with slow disks a
// ballot takes longer than a short backoff, and two proposers that retry early would conflict forever.
void Replica::back_off_after_conflict(Time now) {
  back_off(now, kMaxBackoff * (1u << std::min(conflicts_, kMaxBackoffDoublings)));
  ++conflicts_;
}

// Times out proposals and reads. A running ballot goes on without the proposal that it was started for. The
// whole queue is searched, since an overdue proposal may stand behind one that is not overdue.
void Replica::expire_overdue(Time now) {
  const auto is_late = [&](const Proposal& proposal) {
    return now >= proposal.received_at + options_.proposal_timeout;
  };
  if (!queue_.empty() && is_late(queue_.front())) ballot_for_first_proposal_ = false;
  std::erase_if(queue_, [&](const Proposal& proposal) {
    if (!is_late(proposal)) return false;
    actions_.completions.push_back({proposal.id, 503, "no majority in time"});
    return true;
  });
  std::erase_if(reads_, [&](const Read& read) {
    if (now < read.received_at + options_.proposal_timeout) return false;
    actions_.completions.push_back({read.id, 503, "no majority in time"});
    return true;
  });
}

// ---- learner -------------------------------------------------------------------------------------

void Replica::apply_chosen(Time now, std::uint64_t slot, const Change& change) {
  if (!has_state() || slot != state_.position + 1) return;
  const auto accepted = accepted_.find(slot);
  const bool durable_here = accepted != accepted_.end() && accepted->second.change == change;
  const auto membership = state_.membership;
  const bool took_effect = configuration::apply(state_, change.kind, change.text);
  if (took_effect && is_order(change.kind)) report_lowered_version();
  conflicts_ = 0;
  digests_.record(state_.position, state_.log_digest);
  log_.push({slot, change});
  std::erase_if(accepted_, [&](const auto& entry) { return entry.first <= slot; });
  actions_.chosen.push_back({slot, change});
  actions_.write.log.push_back({slot, change});
  actions_.write.trim_accepted_through = slot;
  // The voters of this slot can learn the change again from a durable acceptance; the voters of the next slot
  // may be others, so a membership change is made durable.
  const bool voters_changed = state_.membership != membership;
  if (voters_changed) {
    change_needed_since_.reset();  // the next membership change is again proposed by rank
    successors_seen_since_.reset();
    next_barrier_ = now;  // to collect fresh statuses
  }
  if (!durable_here || voters_changed) actions_.write.durable = true;
  if (!votes()) announce_status();  // a learner is ready only if it has all changes
  count_logged({slot, change});
  if (snapshot_policy_.is_due(log_since_snapshot_, snapshot_bytes_)) {
    reset_log_size();
    actions_.write.state = state_;
    actions_.write.trim_log_through = state_.position;
    actions_.write.log.clear();
  }
  if (voters_changed)
    actions_.log_lines.push_back("membership " + std::to_string(state_.membership) + ": " +
                                 std::to_string(state_.voters.size()) + " voters, " +
                                 (votes() ? "this store is one" : "this store is a learner"));
  const bool own = change.author == options_.self && change.number == proposed_.number &&
                   proposed_.number != 0;
  // A change decided without effect was proposed for another call and not validated against this state; the
  // first proposal is then validated by advance_queue().
  const bool completes_first = own && !queue_.empty() && queue_.front().kind == change.kind &&
                               queue_.front().text == change.text;
  if (completes_first && took_effect) complete_first(200, "");
  if (ballot_runs()) phase_ = Phase::idle;
  if (barrier_running_ && barrier_target_ && state_.position >= *barrier_target_) end_read_barrier(now);
  advance_queue(now);
}

// Called when the state is written as a snapshot: the log on disk restarts after it.
void Replica::reset_log_size() {
  log_since_snapshot_ = {};
  snapshot_bytes_ = state_.document.is_null() ? 0 : state_.document.dump().size();
}

void Replica::count_logged(const LogEntry& entry) {
  ++log_since_snapshot_.changes;
  log_since_snapshot_.bytes += bytes_of(entry);
}

void Replica::fetch_from(Time now, const std::string& address) {
  if (now < last_fetch_at_ + kFetchInterval) return;
  last_fetch_at_ = now;
  send(address, Fetch{has_state() ? state_.position : kFetchSnapshot});
}

void Replica::on(Time now, const std::string& from, const Sender&, const LogEntry& m) {
  if (m.slot > state_.position + 1) fetch_from(now, from);
  apply_chosen(now, m.slot, m.change);
}

void Replica::on(Time, const std::string& from, const Sender&, const Fetch& m) {
  if (!has_state()) return;
  const bool up_to_date = m.after != kFetchSnapshot && m.after >= state_.position;
  if (!up_to_date && (m.after == kFetchSnapshot || !log_.covers(m.after))) {
    actions_.snapshot_requests.push_back({from, m.after == kFetchSnapshot ? 0 : m.after});
    return;
  }
  send(from, Log{log_.after(m.after, kLogBatchBytes), state_.position, digests_.at(m.after)});
}

void Replica::install_snapshot(const State& snapshot) {
  const bool first = !has_state();
  if (snapshot.voters.empty() || (snapshot.position <= state_.position && !first)) return;
  state_ = snapshot;
  digests_.record(state_.position, state_.log_digest);
  log_.clear();
  std::erase_if(accepted_, [&](const auto& entry) { return entry.first <= state_.position; });
  actions_.snapshot_installed = true;
  reset_log_size();
  actions_.write.state = state_;
  actions_.write.trim_log_through = state_.position;
  actions_.write.log.clear();
  actions_.write.trim_accepted_through = state_.position;
  actions_.write.durable = true;
  if (first) {
    actions_.log_lines.push_back("has read the others' state up to change " +
                                 std::to_string(state_.position));
    announce_status();
  }
  if (ballot_runs()) phase_ = Phase::idle;
}

void Replica::on(Time now, const std::string& from, const Sender& sender, const Log& m) {
  last_fetch_at_ = {};
  if (!m.entries.empty() && digests_.contradicts(m.entries.front().slot - 1, m.digest_before))
    return record_divergence(from, sender.disk, m.entries.front().slot - 1);
  const auto before = state_.position;
  for (const auto& entry : m.entries) apply_chosen(now, entry.slot, entry.change);
  if (state_.position > before && state_.position < m.newest) fetch_from(now, from);
  on_log_advanced(now);
}

// The log digest of a sender that is one position ahead identifies the change decided there. If it is the
// change accepted here, it need not arrive as a message; a sender that has lost its disk since would never
// send it.
void Replica::learn_by_digest(Time now, const Sender& sender) {
  if (!has_state() || sender.position != state_.position + 1) return;
  const auto accepted = accepted_.find(sender.position);
  if (accepted == accepted_.end()) return;
  const auto change = accepted->second.change;
  const auto digest = configuration::digest_after(state_.log_digest, static_cast<std::uint8_t>(change.kind),
                                                  change.text);
  if (digest == configuration::kUnknownDigest || digest != sender.log_digest) return;
  apply_chosen(now, sender.position, change);
}

void Replica::on_log_advanced(Time now) {
  if (barrier_running_ && barrier_target_ && state_.position >= *barrier_target_) end_read_barrier(now);
  advance_queue(now);
}

Actions Replica::receive_snapshot(Time now, const State& snapshot) {
  update_clock(now);
  last_fetch_at_ = {};
  install_snapshot(snapshot);
  on_log_advanced(now);
  return std::exchange(actions_, {});
}

// ---- acceptor ------------------------------------------------------------------------------------

// A proposer with an older membership than this one can only be at a slot that is already decided; a message
// that claims otherwise belongs to another history and is ignored.
void Replica::on(Time now, const std::string& from, const Sender& sender, const Prepare& m) {
  if (!has_state()) return;
  if (m.slot <= state_.position) return on(now, from, sender, Fetch{m.slot - 1});
  if (sender.membership < state_.membership) return;
  if (m.ballot > promised_) {
    promised_ = m.ballot;
    actions_.write.promised = promised_;
    actions_.write.durable = true;
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
    actions_.write.promised = promised_;
    actions_.write.durable = true;
    std::erase_if(actions_.write.accepted, [&](const auto& entry) { return entry.first == m.slot; });
    actions_.write.accepted.emplace_back(m.slot, accepted_[m.slot]);
  }
  send(from, Accepted{m.slot, m.ballot, promised_});
}

// ---- time and messages ---------------------------------------------------------------------------

Actions Replica::receive(Time now, const std::string& from, const Envelope& envelope) {
  update_clock(now);
  compare_history(from, envelope.sender);
  if (has_diverged(from, envelope.sender)) return std::exchange(actions_, {});
  auto& peer = peers_[from];
  if (!is_in_contact(peer)) peer.has_state_since.reset();  // what it received meanwhile is unknown here
  peer.last_received = now;
  learn_by_digest(now, envelope.sender);
  highest_seen_membership_ = std::max(highest_seen_membership_, envelope.sender.membership);
  std::visit([&](const auto& message) { on(now, from, envelope.sender, message); }, envelope.message);
  return std::exchange(actions_, {});
}

// Ticks are frequent: a long gap means that this process was suspended, so that messages missing from that
// time say nothing about the health of the others.
void Replica::update_clock(Time now) {
  if (now - now_ > kSuspensionThreshold) contact_since_ = now;
  now_ = now;
}

Actions Replica::tick(Time now) {
  update_clock(now);
  update_contact(now);
  if (now >= next_barrier_) {
    next_barrier_ = now + options_.barrier_interval;
    if (!has_state()) {
      request_statuses();
    } else {
      const bool resolve = has_undecided_target() && now >= barrier_began_ + kResolveDelay;
      // Also while proposals are queued: they may be waiting for this very slot.
      if (resolve && phase_ == Phase::idle) begin_ballot(now);
      if (!barrier_running_ || now >= barrier_began_ + options_.barrier_interval) begin_read_barrier(now);
    }
  }
  if (phase_ == Phase::preparing && now >= phase_since_ + options_.ballot_timeout) back_off(now, kMaxBackoff);
  const bool stuck = !is_quorum(acceptances_) || !rejections_.empty();
  if (phase_ == Phase::accepting && now >= phase_since_ + options_.ballot_timeout && stuck)
    back_off(now, kMaxBackoff);
  if (phase_ == Phase::accepting && now >= accept_sent_at_ + options_.ballot_timeout) {
    accept_sent_at_ = now;
    resend_accept();
  }
  try_decide(now);
  if (phase_ == Phase::backing_off && now >= retry_at_) {
    phase_ = Phase::idle;
    advance_queue(now);
    if (phase_ == Phase::idle && has_undecided_target()) begin_ballot(now);
  }
  expire_overdue(now);
  propose_membership(now);
  advance_queue(now);
  return std::exchange(actions_, {});
}

Actions Replica::leave(Time now) {
  update_clock(now);
  if (!leaving_) {
    leaving_ = true;
    leaving_since_ = now;
    propose_membership(now);
    advance_queue(now);
  }
  return std::exchange(actions_, {});
}

}  // namespace docklift::agreement
