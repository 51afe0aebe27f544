#include "system/agreement/ballots.hpp"

#include <algorithm>
#include <limits>

namespace docklift::agreement {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kKeptChanges = 64;     // for stores and registries that are behind a little
constexpr std::uint64_t kSnapshotEach = 32;  // changes from one snapshot on disk to the next
constexpr std::size_t kQueued = 256;         // proposals that wait; more get 503 at once
constexpr Duration kFetchGap = 100ms;        // a log that was asked for is waited for so long
constexpr Duration
    kResolveAfter = 150ms;  // whoever proposes a change that is not yet chosen is left this long to end
constexpr std::uint64_t kWhole = std::numeric_limits<std::uint64_t>::max();  // Fetch::after: a snapshot

std::vector<std::string> sorted(std::vector<std::string> v) {
  std::ranges::sort(v);
  v.erase(std::ranges::unique(v).begin(), v.end());
  return v;
}
bool holds(const std::vector<std::string>& v, const std::string& s) {
  return std::ranges::binary_search(v, s);
}

}  // namespace

Ballots::Ballots(Options options, Kept kept)
    : options_(std::move(options)), state_(std::move(kept.state)), rng_(options_.chance) {
  zones_[options_.self] = options_.zone;
  promised_ = kept.promised;
  snapshot_at_ = state_.position;
  for (auto& [slot, a] : kept.accepted) accepted_[slot] = std::move(a);
  for (const auto& entry : kept.log) {
    if (entry.slot != state_.position + 1) continue;
    configuration::apply(state_, entry.change.kind, entry.change.text);
    log_.push_back(entry);
  }
  std::erase_if(accepted_, [&](const auto& a) { return a.first <= state_.position; });
  round_ = promised_.round;
  numbers_ = rng_();
  if (kept.any) return;
  if (options_.bootstrap) {
    state_.voters = sorted(options_.seeds);
    out_.write.state = state_, out_.write.promised = promised_, out_.write.durable = true;
  } else {
    blank_ = true;
    out_.notes.push_back("the disk holds nothing: no say until the others' memory is read");
  }
}

Out Ballots::start(Time now) {
  next_confirm_ = next_status_ = now;
  return std::exchange(out_, {});
}

void Ballots::linked(const std::string& ip, const std::string& zone) { zones_[ip] = zone; }
void Ballots::unlinked(const std::string& ip) {
  if (ip != options_.self) zones_.erase(ip);
}

bool Ballots::is_voter(const std::string& ip) const { return holds(state_.voters, ip); }

void Ballots::to_voters(const Message& m) {
  for (const auto& v : state_.voters) out_.sends.push_back({v, m});
}

Duration Ballots::chance(Duration least, Duration most) {
  return least + Duration(static_cast<Duration::rep>(rng_() %
                                                     static_cast<std::uint64_t>((most - least).count() + 1)));
}

std::optional<std::vector<Chosen>> Ballots::after(std::uint64_t place) const {
  if (place >= state_.position) return std::vector<Chosen>{};
  if (log_.empty() || log_.front().slot > place + 1) return std::nullopt;
  std::vector<Chosen> out;
  for (const auto& entry : log_)
    if (entry.slot > place) out.push_back(entry);
  return out;
}

// ---- proposing -----------------------------------------------------------------------------------

Out Ballots::propose(Time now, std::uint64_t id, ChangeKind kind, std::string text) {
  if (queue_.size() >= kQueued) {
    out_.settled.push_back({id, 503, "too many changes wait"});
  } else {
    queue_.push_back({id, kind, std::move(text), now, false});
    drive(now);
  }
  return std::exchange(out_, {});
}

void Ballots::settle(int status, std::string why) {
  if (queue_.empty()) return;
  out_.settled.push_back({queue_.front().id, status, std::move(why)});
  queue_.pop_front();
}

// The next proposal: what can be answered is answered, what changes something gets a ballot. A refusal
// because of the present state is given only when a majority has been asked whether that state is the newest.
void Ballots::drive(Time now) {
  while (phase_ == Phase::idle && !queue_.empty() && !blank_ && !state_.voters.empty()) {
    auto& p = queue_.front();
    bool change = true, needs_sure = true;
    configuration::Judgement j;
    switch (p.kind) {
      case ChangeKind::replace: j = configuration::judge_replace(state_, p.text, nullptr); break;
      case ChangeKind::patch: j = configuration::judge_patch(state_, p.text, nullptr); break;
      case ChangeKind::evacuate: change = !holds(state_.evacuated, p.text); break;
      case ChangeKind::readmit: change = holds(state_.evacuated, p.text); break;
      case ChangeKind::join: change = !is_voter(p.text); break;
      case ChangeKind::nothing: change = false; break;
    }
    if (j.already) change = needs_sure = false;
    if (j.status == 400) needs_sure = false;  // a newer state would refuse it as well
    if (j.status == 200 && change) return begin_ballot(now);
    if (needs_sure && !p.sure) {
      phase_ = Phase::confirming, phase_since_ = now;
      if (!confirming_ || confirm_began_ < p.since) begin_confirm(now);
      return;
    }
    settle(j.status, j.why);
  }
}

void Ballots::begin_ballot(Time now) {
  slot_ = state_.position + 1;
  round_ = std::max(round_, promised_.round) + 1;
  ballot_ = {round_, options_.self};
  promises_.clear(), votes_.clear(), refusals_.clear();
  highest_.reset();
  // Its own promise first, durably: else a store that fails and comes back could offer two changes under one
  // ballot.
  promised_ = ballot_;
  out_.write.promised = promised_, out_.write.durable = true;
  phase_ = Phase::asking, phase_since_ = now;
  to_voters(Ask{slot_, ballot_});
}

void Ballots::on(Time now, const std::string& from, const Promise& m) {
  if (phase_ != Phase::asking || m.slot != slot_ || m.ballot != ballot_ || !is_voter(from)) return;
  if (m.promised != ballot_) {
    round_ = std::max(round_, m.promised.round);
    refusals_.insert(from);
    if (state_.voters.size() - refusals_.size() < majority()) pause(now);
    return;
  }
  promises_.insert(from);
  if (m.accepted && (!highest_ || highest_->ballot < m.accepted->ballot)) highest_ = m.accepted;
  if (promises_.size() >= majority()) offer(now);
}

void Ballots::offer(Time now) {
  if (highest_) {
    offered_ = highest_->change;
  } else if (queue_.empty()) {
    offered_ = {ChangeKind::nothing, "", options_.self, ++numbers_};
  } else {
    const auto& p = queue_.front();
    offered_ = {p.kind, p.text, options_.self, ++numbers_};
  }
  phase_ = Phase::offering, phase_since_ = now;
  to_voters(Offer{slot_, ballot_, offered_});
}

void Ballots::on(Time now, const std::string& from, const Vote& m) {
  const bool open = phase_ == Phase::offering || phase_ == Phase::spreading;
  if (!open || m.slot != slot_ || m.ballot != ballot_ || !is_voter(from)) return;
  if (m.promised != ballot_) {
    round_ = std::max(round_, m.promised.round);
    refusals_.insert(from);
    if (phase_ == Phase::offering && state_.voters.size() - refusals_.size() < majority()) pause(now);
    return;
  }
  votes_.insert(from);
  if (votes_.size() < majority()) return;
  if (spans_zones(votes_)) return on_vote_won(now);
  if (phase_ == Phase::offering) phase_ = Phase::spreading, spread_since_ = now;
}

// Whether the loss of one zone would leave the change on a disk; true where no voter of another zone is in
// reach.
bool Ballots::spans_zones(const std::set<std::string>& voters) const {
  std::set<std::string> reached, here;
  for (const auto& v : state_.voters) {
    const auto zone = zones_.find(v);
    if (zone == zones_.end()) continue;
    here.insert(zone->second);
    if (voters.contains(v)) reached.insert(zone->second);
  }
  return reached.size() > 1 || here.size() < 2;
}

void Ballots::on_vote_won(Time now) {
  const auto change = offered_;
  const auto slot = slot_;
  for (const auto& [ip, zone] : zones_)
    if (ip != options_.self) out_.sends.push_back({ip, Chosen{slot, change}});
  phase_ = Phase::idle;
  choose(now, slot, change);
}

void Ballots::pause(Time now) {
  phase_ = Phase::pausing;
  resume_at_ = now + chance(10ms, 120ms);
}

// ---- learning ------------------------------------------------------------------------------------

void Ballots::choose(Time now, std::uint64_t slot, const Change& change) {
  if (slot != state_.position + 1) return;
  configuration::apply(state_, change.kind, change.text);
  log_.push_back({slot, change});
  if (log_.size() > kKeptChanges) log_.pop_front();
  std::erase_if(accepted_, [&](const auto& a) { return a.first <= slot; });
  out_.chosen.push_back({slot, change});
  if (!blank_) {
    out_.write.log.push_back({slot, change});
    out_.write.forget_accepted = slot;
    if (state_.position >= snapshot_at_ + kSnapshotEach) {
      snapshot_at_ = state_.position;
      out_.write.state = state_, out_.write.forget_log = state_.position, out_.write.log.clear();
    }
  }
  if (change.author == options_.self && change.number == offered_.number && offered_.number != 0 &&
      !queue_.empty() && queue_.front().kind == change.kind && queue_.front().text == change.text)
    settle(200, "");
  if (phase_ == Phase::asking || phase_ == Phase::offering || phase_ == Phase::spreading)
    phase_ = Phase::idle;
  if (confirming_ && target_ && state_.position >= *target_) end_confirm(now);
  drive(now);
}

void Ballots::on(Time now, const std::string& from, const Chosen& m) {
  if (m.slot > state_.position + 1 && now >= fetched_at_ + kFetchGap) {
    fetched_at_ = now;
    out_.sends.push_back({from, Fetch{state_.position}});
  }
  choose(now, m.slot, m.change);
}

void Ballots::on(Time, const std::string& from, const Fetch& m) {
  if (blank_) return;
  Log answer;
  if (auto entries = m.after == kWhole ? std::nullopt : after(m.after)) {
    answer.entries = std::move(*entries);
  } else {
    answer.snapshot = state_;
  }
  out_.sends.push_back({from, std::move(answer)});
}

void Ballots::on(Time now, const std::string&, const Log& m) {
  fetched_at_ = {};
  const bool first = blank_ && state_.voters.empty();
  if (m.snapshot && (m.snapshot->position > state_.position || first)) {
    state_ = *m.snapshot;
    log_.clear();
    std::erase_if(accepted_, [&](const auto& a) { return a.first <= state_.position; });
    out_.snapshot = true;
    snapshot_at_ = state_.position;
    if (!blank_) {
      out_.write.state = state_, out_.write.forget_log = state_.position, out_.write.log.clear();
      out_.write.forget_accepted = state_.position;
    }
    if (phase_ == Phase::asking || phase_ == Phase::offering || phase_ == Phase::spreading)
      phase_ = Phase::idle;
  }
  for (const auto& entry : m.entries) choose(now, entry.slot, entry.change);
  if (confirming_ && target_ && state_.position >= *target_) end_confirm(now);
  if (blank_) recover(now);
  drive(now);
}

// ---- accepting -----------------------------------------------------------------------------------

void Ballots::on(Time now, const std::string& from, const Ask& m) {
  if (blank_) return;
  if (m.slot <= state_.position) return on(now, from, Fetch{m.slot - 1});
  if (m.ballot > promised_) {
    promised_ = m.ballot;
    out_.write.promised = promised_, out_.write.durable = true;
  }
  Promise answer{m.slot, m.ballot, promised_, std::nullopt};
  if (const auto it = accepted_.find(m.slot); it != accepted_.end()) answer.accepted = it->second;
  out_.sends.push_back({from, std::move(answer)});
}

void Ballots::on(Time now, const std::string& from, const Offer& m) {
  if (blank_) return;
  if (m.slot <= state_.position) return on(now, from, Fetch{m.slot - 1});
  if (m.ballot >= promised_) {
    promised_ = m.ballot;
    accepted_[m.slot] = {m.ballot, m.change};
    out_.write.promised = promised_, out_.write.durable = true;
    std::erase_if(out_.write.accepted, [&](const auto& a) { return a.first == m.slot; });
    out_.write.accepted.emplace_back(m.slot, accepted_[m.slot]);
  }
  out_.sends.push_back({from, Vote{m.slot, m.ballot, promised_}});
}

// ---- being sure ----------------------------------------------------------------------------------

Status Ballots::status(std::uint64_t round) const {
  Status s{round, state_.position, blank_, promised_, {}};
  for (const auto& [slot, a] : accepted_)
    if (slot > state_.position) s.accepted.emplace_back(slot, a);
  return s;
}

void Ballots::on(Time, const std::string& from, const StatusAsk& m) {
  out_.sends.push_back({from, status(m.round)});
}

void Ballots::begin_confirm(Time now) {
  confirming_ = true, confirm_began_ = now, target_.reset();
  ++status_round_;
  statuses_.clear();
  to_voters(StatusAsk{status_round_});
}

void Ballots::on(Time now, const std::string& from, const Status& m) {
  if (m.round != status_round_) return;
  statuses_[from] = m;
  if (blank_) return recover(now);
  if (!confirming_) return;
  if (!target_) {
    std::size_t have = 0;
    std::uint64_t target = 0;
    for (const auto& [ip, s] : statuses_) {
      if (s.blank || !is_voter(ip)) continue;
      ++have;
      target = std::max(target, s.chosen);
      for (const auto& [slot, a] : s.accepted) target = std::max(target, slot);
    }
    if (have < majority()) return;
    target_ = target;
  }
  if (state_.position >= *target_) return end_confirm(now);
  if (m.chosen > state_.position && now >= fetched_at_ + kFetchGap) {
    fetched_at_ = now;
    out_.sends.push_back({from, Fetch{state_.position}});
  }
}

void Ballots::end_confirm(Time now) {
  confirming_ = false;
  confirmed_at_ = confirm_began_, confirmed_position_ = state_.position;
  out_.confirmed = true;
  for (auto& p : queue_)
    if (p.since <= confirm_began_) p.sure = true;
  if (phase_ == Phase::confirming) phase_ = Phase::idle;
  drive(now);
}

// ---- a disk that was lost ------------------------------------------------------------------------

// A change that is in force was voted for by a majority; this store may have been one of it. What it forgot
// stands with the others of that majority, so it needs the memory of so many others that one of them is among
// these: n - majority + 1. Where the disks of a whole zone were lost there are not as many left; a majority
// spans zones, so then the others of that zone are passed over.
void Ballots::recover(Time now) {
  std::vector<std::string> donors;
  bool others_answered = !state_.voters.empty(), blanks_here = true;
  std::uint64_t newest = 0;
  for (const auto& [ip, s] : statuses_) {
    if (ip == options_.self || s.blank) continue;
    donors.push_back(ip);
    newest = std::max(newest, s.chosen);
  }
  if (donors.empty()) return;
  const auto behind = state_.voters.empty() || state_.position < newest;
  if (behind) {
    if (now < fetched_at_ + kFetchGap) return;
    fetched_at_ = now;
    for (const auto& ip : donors)
      if (statuses_[ip].chosen == newest) {
        out_.sends.push_back({ip, Fetch{state_.voters.empty() ? kWhole : state_.position}});
        break;
      }
    return;
  }
  std::size_t voting_donors = 0;
  for (const auto& v : state_.voters) {
    if (v == options_.self) continue;
    const auto it = statuses_.find(v);
    if (it == statuses_.end()) {
      others_answered = false;
    } else if (!it->second.blank) {
      ++voting_donors;
    } else if (const auto zone = zones_.find(v); zone == zones_.end() || zone->second != options_.zone) {
      blanks_here = false;
    }
  }
  const bool was_voter = is_voter(options_.self);
  const auto needed = state_.voters.size() - majority() + 1;
  if (was_voter && voting_donors < needed && !(others_answered && blanks_here && voting_donors > 0)) return;
  for (const auto& ip : donors) {
    const auto& s = statuses_[ip];
    promised_ = std::max(promised_, s.promised);
    for (const auto& [slot, a] : s.accepted) {
      if (slot <= state_.position) continue;
      const auto it = accepted_.find(slot);
      if (it == accepted_.end() || it->second.ballot < a.ballot) accepted_[slot] = a;
    }
  }
  blank_ = false;
  round_ = std::max(round_, promised_.round);
  out_.write = {};
  out_.write.state = state_, out_.write.promised = promised_, out_.write.durable = true;
  out_.write.forget_log = state_.position;
  out_.write.accepted.assign(accepted_.begin(), accepted_.end());
  out_.notes.push_back("the others' memory is read up to change " + std::to_string(state_.position));
  drive(now);
}

// ---- time and messages ---------------------------------------------------------------------------

Out Ballots::receive(Time now, const std::string& from, const Message& message) {
  std::visit([&](const auto& m) { on(now, from, m); }, message);
  return std::exchange(out_, {});
}

Out Ballots::tick(Time now) {
  if (blank_) {
    if (now >= next_status_) {
      next_status_ = now + options_.status_every;
      ++status_round_;
      statuses_.clear();
      std::set<std::string> asked(options_.seeds.begin(), options_.seeds.end());
      asked.insert(state_.voters.begin(), state_.voters.end());
      for (const auto& [ip, zone] : zones_) asked.insert(ip);
      asked.erase(options_.self);
      for (const auto& ip : asked) out_.sends.push_back({ip, StatusAsk{status_round_}});
    }
  } else if (now >= next_confirm_ && !state_.voters.empty()) {
    next_confirm_ = now + options_.confirm_every;
    const bool resolves = confirming_ && target_ && *target_ > state_.position &&
                          now >= confirm_began_ + kResolveAfter;
    if (resolves && phase_ == Phase::idle && queue_.empty())
      begin_ballot(now);  // of a change left half agreed
    if (!confirming_ || now >= confirm_began_ + options_.confirm_every) begin_confirm(now);
    if (!is_voter(options_.self) && options_.votes && queue_.empty() && phase_ == Phase::idle)
      queue_.push_back({0, ChangeKind::join, options_.self, now, false});
  }
  switch (phase_) {
    case Phase::asking:
    case Phase::offering:
      if (now >= phase_since_ + options_.round_limit) pause(now);
      break;
    case Phase::spreading:
      if (now >= spread_since_ + options_.spread_limit) on_vote_won(now);
      break;
    case Phase::pausing:
      if (now >= resume_at_) {
        phase_ = Phase::idle;
        if (queue_.empty() && confirming_ && target_ && *target_ > state_.position) begin_ballot(now);
      }
      break;
    case Phase::confirming:
      if (!confirming_) phase_ = Phase::idle;
      break;
    case Phase::idle: break;
  }
  // The front may be under way: it is given up between ballots only.
  while (!queue_.empty() && now >= queue_.front().since + options_.give_up &&
         (phase_ == Phase::idle || phase_ == Phase::confirming || phase_ == Phase::pausing)) {
    phase_ = Phase::idle;
    settle(503, "no majority in time");
  }
  drive(now);
  return std::exchange(out_, {});
}

}  // namespace docklift::agreement
