#include "replica/counts.hpp"

#include <algorithm>
#include <utility>

namespace docklift::replica {
namespace {

using snowknot::CountAnswer;
using snowknot::CountName;
using snowknot::CountOutcome;

constexpr std::int64_t kRoundingTolerance = 2;  // thousandths: totals are rounded
constexpr Instant kSweep = std::chrono::milliseconds(500);
constexpr std::uint64_t kUnanswered = ~0ULL;  // in place of a write number: the call has no answer yet

std::string key_of(CountName name) { return number_key(static_cast<std::uint64_t>(name)); }

}  // namespace

Use& Counts::use_of(Ledger& b, std::uint64_t epoch) {
  for (auto& u : b.uses)
    if (u.epoch == epoch) return u;
  b.uses.push_back({.epoch = epoch});
  return b.uses.back();
}

Counts::Out Counts::add(Instant now, CountName name, double amount, snowknot::Duration lifetime) {
  Out out;
  // Until all nodes have ended the lost epoch the value of a count is not known. Adds are refused at once.
  const auto refused = [&] {
    ++figures_.refused;
    out.answers.push_back({name, CountOutcome::refused, 0, {}});
  };
  if (settling_ || held_) return refused(), out;
  const bool has_capacity = ledgers_.size() < limits_.most_counts || ledgers_.contains(name);
  if (limits_.ahead && !has_capacity) return refused(), out;  // it could not be recorded
  if (has_capacity) {
    auto& b = ledgers_[name];
    if (b.ends == Instant{}) b.ends = now + lifetime + limits_.margin, b.began = now - lifetime - limits_.margin;
    if (lifetime > longest_) longest_ = lifetime, out.longest = lifetime;
    if (amount < 0) amount = -remove_units(b, -amount);
    if (limits_.ahead) {
      const auto units = thousandths(std::abs(amount));
      if (amount > 0 && !fits_undurable_limit(b, units)) {
        ++figures_.undurable;
        if (units > most_undurable()) out.largest = units;
        return refused(), out;
      }
      auto& use = use_of(b, epoch_);
      (amount > 0 ? use.added_max : use.removed_max) += units;
      write_one(now, name, b);
      ++writes_;
      if (amount > 0) b.undurable.emplace_back(kUnanswered, units);
    }
    b.out.push_back({amount, epoch_, false, corrected_epoch_ != 0 ? sums(name).restored : 0});
  } else {
    overflowed_ = now;
  }
  out.adds.push_back({name, amount, lifetime, false});
  return out;
}

bool Counts::fits_undurable_limit(Ledger& b, std::uint64_t units) {
  std::uint64_t sum = units;
  while (!b.undurable.empty() && b.undurable.front().first <= durable_) b.undurable.pop_front();
  for (const auto& u : b.undurable) sum += u.second;
  return sum <= most_undurable();
}

// If counts from before the last loss are open, this incarnation settles the epoch for itself, as every node
// does at its start.
Counts::Out Counts::release(Instant now, std::optional<Instant> shut) {
  Out out;
  if (!std::exchange(held_, false)) return out;
  if (shut) ++figures_.fallen_back, out.lost = snowknot::CountsLost{snowknot::Time(*shut)};
  if (epoch_ == 0 || !has_open_counts_of_earlier_epochs(now)) return out;
  settling_ = now;
  epoch_end_published_ = false;
  copies_complete_ = fleet_.caught_up();
  check_settled(now, out);
  return out;
}

bool Counts::has_open_counts_of_earlier_epochs(Instant now) const {
  bool open = false;
  for (const auto& key : records_.keys(Kind::use))
    records_.each(Kind::use, key, [&](const Origin&, const Record& r) {
      if (r.ends <= now) return;
      for (const auto& u : parse_uses(r.value)) open = open || (u.epoch < epoch_ && u.most() > 0);
    });
  return open;
}

// Lower bound of what ended incarnations have added in the current epoch: a store whose total is below has lost counts. (One that is still alive
// behind a network partition may remove some: a loss is then assumed wrongly, which costs units but does not
// exceed the ceiling.)
std::int64_t Counts::added_min_of_ended(CountName name) const {
  std::int64_t sum = 0;
  if (injected(TestFault::gone_not_looked_at)) return sum;
  records_.each(Kind::use, key_of(name), [&](const Origin& o, const Record& r) {
    if (o == records_.self() || !fleet_.gone(o)) return;
    for (const auto& u : parse_uses(r.value)) sum += u.epoch == epoch_ ? u.least() : 0;
  });
  return sum;
}

// Units that were added before the store lost its counts can't be removed from it: they are removed in the records only. So what one incarnation has
// added to the store less what it removed is never negative, and a total below this node's own sum proves a loss.
double Counts::remove_units(Ledger& b, double amount) {
  auto rest = static_cast<std::int64_t>(thousandths(amount));
  std::int64_t in_store = 0;
  for (const auto& u : b.uses)
    if (u.epoch == epoch_) in_store = u.least();
  for (const auto& c : b.out)
    if (c.amount < 0 && c.epoch == epoch_ && !limits_.ahead) in_store -= static_cast<std::int64_t>(thousandths(-c.amount));
  const auto removable = std::clamp<std::int64_t>(in_store, 0, rest);
  rest -= removable;
  for (auto& u : b.uses) {
    if (u.epoch >= epoch_ || rest == 0) continue;
    const auto share = std::clamp<std::int64_t>(u.least(), 0, rest);
    u.removed_max += static_cast<std::uint64_t>(share), u.removed_min += static_cast<std::uint64_t>(share);
    rest -= share;
    b.dirty = b.dirty || share > 0;
  }
  return static_cast<double>(removable + rest) / 1000;  // the rest: of adds whose outcome is not known
}

Counts::Out Counts::answered(Instant now, const CountAnswer& answer) {
  Out out;
  const auto it = ledgers_.find(answer.name);
  if (it == ledgers_.end() || it->second.out.empty()) {
    out.answers.push_back(answer);
    return out;
  }
  auto& b = it->second;
  const Call call = b.out.front();
  b.out.pop_front();
  const bool added = answer.outcome == CountOutcome::ok || answer.outcome == CountOutcome::added;
  const bool maybe = added || answer.outcome == CountOutcome::timeout;
  const auto amount = static_cast<std::int64_t>(thousandths(std::abs(call.amount)));
  if (call.restores) {
    // Restored units belong to all nodes, and are not use of this incarnation. Only what was certainly added reduces what is missing.
    if (added && call.epoch == epoch_) {
      records_.put(Kind::restore_done, key_of(answer.name), to_text(call.epoch, static_cast<std::uint64_t>(amount)), b.ends);
      ++figures_.told;
      b.restored += amount;
      out.urgent = true;
    }
    return out;
  }
  auto& use = use_of(b, call.epoch);
  const auto units = static_cast<std::uint64_t>(amount);
  // With a disk the upper bound was recorded before the call.
  if (call.amount > 0 && limits_.ahead) use.added_max -= maybe ? 0 : units;
  if (call.amount > 0) use.added_max += maybe && !limits_.ahead ? units : 0, use.added_min += added ? units : 0;
  if (call.amount < 0 && limits_.ahead) use.removed_max -= units;
  // A removal that was in flight while the store lost its counts may have been applied to the new store: the earlier sum is not reduced.
  if (call.amount < 0) use.removed_max += maybe ? units : 0, use.removed_min += added && call.epoch == epoch_ ? units : 0;
  b.dirty = b.dirty || ((maybe || limits_.ahead) && amount != 0);
  if (limits_.ahead) {
    write_one(now, answer.name, b);
    ++writes_;
    if (call.amount > 0)
      if (const auto u = std::ranges::find(b.undurable, kUnanswered, &std::pair<std::uint64_t, std::uint64_t>::first); u != b.undurable.end()) u->first = writes_;
  }
  CountAnswer a = answer;
  if (answer.outcome == CountOutcome::ok && call.epoch == epoch_ && !settling_) {
    const auto total = static_cast<std::int64_t>(std::llround(answer.total * 1000));  // may be negative in a store that has lost counts
    const auto least = use.least() + b.restored + (limits_.ahead ? added_min_of_ended(answer.name) : 0);
    if (total + kRoundingTolerance < least && total + kRoundingTolerance + sums(answer.name).doubt < least) {
      // Other nodes only ever remove what they have added: the store has lost counts, and this call was applied to the new one. (The sum of all
      // calls applied to the new store before a node notices is not negative: otherwise one of them would have detected the loss.)
      if (call.amount < 0) use.removed_min -= units;
      begin_epoch(now, epoch_ + 1, "a total is less than this node alone has added", out);
      if (settling_) {
        a.outcome = CountOutcome::added;
        out.answers.push_back(a);
        return out;
      }
    }
    if (const auto corrected = corrected_total(call, answer.name, total); corrected != total) {
      a.total = static_cast<double>(corrected) / 1000;
      ++figures_.mended;
    }
  } else if (answer.outcome == CountOutcome::ok && call.epoch != epoch_) {
    a.outcome = CountOutcome::added;  // the old or the new store may have answered: the total is not used
  }
  out.answers.push_back(a);
  return out;
}

Counts::Out Counts::lost(Instant now, const snowknot::CountsLost&) {
  Out out;
  if (held_) return epoch_received(now, epoch_ + 1);
  if (!settling_) begin_epoch(now, epoch_ + 1, "reported by the store", out);
  return out;
}

Counts::Out Counts::epoch_received(Instant now, std::uint64_t epoch) {
  Out out;
  if (held_) {  // this incarnation has added nothing: it has ended all epochs, and settles when it is released
    if (epoch <= epoch_) return out;
    epoch_ = epoch;
    records_.put(Kind::epoch, "", number_key(epoch));
    records_.put(Kind::epoch_ended, "", number_key(epoch));
    out.urgent = true;
    return out;
  }
  if (epoch > epoch_) begin_epoch(now, epoch, "reported by another node", out);
  return out;
}

void Counts::begin_epoch(Instant now, std::uint64_t epoch, const char* why, Out& out) {
  epoch_ = epoch;
  ++figures_.losses;
  out.log.push_back("the store has lost counts (" + std::string(why) + "): epoch " + std::to_string(epoch) + " begins");
  records_.put(Kind::epoch, "", number_key(epoch));
  out.urgent = true;
  corrected_epoch_ = 0, restoring_ = false;
  for (auto& [name, b] : ledgers_) b.restoring = false, b.restored = 0;
  settling_ = now;
  epoch_end_published_ = false;
  copies_complete_ = fleet_.caught_up();  // otherwise what other nodes have added is not known here
  check_settled(now, out);
}

bool Counts::has_calls_of_earlier_epoch() const {
  for (const auto& [name, b] : ledgers_)
    for (const auto& c : b.out)
      if (c.epoch != epoch_) return true;
  return false;
}

// First publishes that this node has ended the epoch: after its last add, once no call of an earlier epoch is
// in flight. Then waits for the others.
void Counts::check_settled(Instant now, Out& out) {
  if (!epoch_end_published_ && !has_calls_of_earlier_epoch()) {
    for (auto& [name, b] : ledgers_)
      if (b.dirty) write_one(now, name, b);
    records_.put(Kind::epoch_ended, "", number_key(epoch_));
    epoch_end_published_ = true;
    out.urgent = true;
  }
  if (!settling_) return;
  bool all = epoch_end_published_;
  for (const auto& o : fleet_.alive()) {
    const auto* r = records_.find(o, Kind::epoch_ended, "");
    // All records that the origin wrote before must be here too: those it has changed again since have higher
    // numbers.
    all = all && r && number_of_key(r->value) >= epoch_ && records_.complete_at(o) >= r->number;
  }
  if (injected(TestFault::settled_too_early)) all = epoch_end_published_;
  const auto since = now - std::max(longest_, Instant(std::chrono::seconds(1))) - limits_.margin;
  const bool unknown = !copies_complete_ || fleet_.lost_since(since) || overflowed_ >= since;
  if (all && !unknown) {
    corrected_epoch_ = epoch_;
    ++figures_.settled;
    figures_.last_settle_ms = (now - *settling_).count() / 1'000'000;
    settling_.reset();
    restoring_ = true, next_restore_ = now;
    out.log.push_back("all nodes have ended the lost epoch: counts are complete again after " +
                      std::to_string(figures_.last_settle_ms) + " ms");
    return;
  }
  // Waits until every window that had begun by any clock of the fleet at the loss has begun by this node's
  // clock too.
  if (now - *settling_ < (unknown ? limits_.clocks : limits_.settle)) return;
  ++figures_.fallen_back;
  settling_.reset();
  out.lost = snowknot::CountsLost{snowknot::Time(now)};
  out.log.push_back(!copies_complete_
                        ? "this node's copies are incomplete: windows that had begun stay closed"
                    : unknown ? "a node that may have added units is missing: windows that had begun stay closed"
                              : "not all nodes have ended the lost epoch in time: windows that had begun stay closed");
}

Counts::Sums Counts::sums(CountName name) const {
  Sums sum;
  const auto key = key_of(name);
  const auto alive = injected(TestFault::use_of_the_dead_lost) ? fleet_.alive() : std::vector<Origin>{};
  // With a disk, the records of ended incarnations may have a call without its answer, and nothing is removed any more: the upper bound counts.
  const auto count = [&](const Use& u, std::int64_t times, bool most) {
    if (u.epoch < epoch_) {
      sum.before += u.most() * times;
      sum.doubt += static_cast<std::int64_t>(u.removed_max) - static_cast<std::int64_t>(u.removed_min);
    }
    if (u.epoch == epoch_) sum.since += most ? std::max(u.most(), u.least()) : u.least();
  };
  records_.each(Kind::use, key, [&](const Origin& o, const Record& r) {
    if (o == records_.self()) return;  // this node's own sums in ledgers_ are newer
    if (injected(TestFault::use_of_the_dead_lost) && std::ranges::find(alive, o) == alive.end()) return;
    const bool most = limits_.ahead && fleet_.gone(o) && !injected(TestFault::gone_not_looked_at);
    for (const auto& u : parse_uses(r.value)) count(u, injected(TestFault::use_counted_twice) ? 2 : 1, most);
  });
  if (const auto it = ledgers_.find(name); it != ledgers_.end())
    for (const auto& u : it->second.uses) count(u, 1, false);
  const auto add_restored = [&](const Origin&, const Record& r) {
    if (r.value.size() == 16 && get_number(r.value, 0) == epoch_) sum.restored += static_cast<std::int64_t>(get_number(r.value, 8));
  };
  records_.each(Kind::restore_done, key, add_restored);
  if (injected(TestFault::told_taken_off_early)) records_.each(Kind::restore_started, key, add_restored);
  if (limits_.ahead) {
    const auto it = ledgers_.find(name);
    sum.before += static_cast<std::int64_t>(fleet_.raise(it == ledgers_.end() ? Instant{} : it->second.began));
  }
  return sum;
}

// A total below the lower bound of all adds shows a loss that no node has reported yet, or a removal not yet replicated here: the larger value
// is the safe one. Units added before the epoch and not restored yet come on top; they are not known before all nodes have ended it.
std::int64_t Counts::corrected_total(const Call& call, CountName name, std::int64_t total) const {
  const auto s = sums(name);
  const auto least = std::max(total, s.since + s.restored);
  // Units restored while this call was in flight may not be in its total.
  return corrected_epoch_ == 0 ? least : least + s.before - call.restored;
}

void Counts::restore_next(Instant now, Out& out) {
  const auto alive = fleet_.alive();
  const auto nodes = static_cast<double>(alive.size() + 1);
  next_restore_ = now + std::chrono::duration_cast<Instant>(std::chrono::duration<double>(nodes / limits_.tells_per_s));
  for (const auto& key : records_.keys(Kind::use)) {
    const CountName name{number_of_key(key)};
    const auto my = ledgers_.find(name);
    if (my != ledgers_.end() && my->second.restoring) continue;
    Instant ends{};
    records_.each(Kind::use, key, [&](const Origin&, const Record& r) { ends = std::max(ends, r.ends); });
    if (ends < now + limits_.restore_min_lifetime + limits_.margin) continue;
    const auto weight = [&](const std::string& member) { return mixed(static_cast<std::uint64_t>(name), member.data(), member.size()); };
    const auto mine = weight(records_.self().name);
    const bool restorer = std::ranges::none_of(alive, [&](const Origin& o) { return weight(o.name) > mine; });
    if (!restorer && !injected(TestFault::told_by_everyone)) continue;
    bool begun = false;  // by an earlier restorer, which may have failed: whether it was added is not known, so it stays on top
    records_.each(Kind::restore_started, key, [&](const Origin&, const Record& r) {
      begun = begun || (r.value.size() == 16 && get_number(r.value, 0) == epoch_);
    });
    const auto known = sums(name);
    const auto missing = known.before - known.restored;
    if ((begun && !injected(TestFault::told_by_everyone)) || missing <= kRoundingTolerance) continue;
    auto& b = ledgers_[name];
    b.restoring = true;
    if (b.ends == Instant{}) b.ends = ends;
    records_.put(Kind::restore_started, key, to_text(epoch_, static_cast<std::uint64_t>(missing)), ends);
    b.out.push_back({static_cast<double>(missing) / 1000, epoch_, true, 0});
    out.adds.push_back({name, static_cast<double>(missing) / 1000, snowknot::Duration(ends - limits_.margin - now), true});
    out.urgent = true;
    return;
  }
  restoring_ = false;
}

Counts::Out Counts::tick(Instant now) {
  Out out;
  if (settling_ || !epoch_end_published_) check_settled(now, out);
  if (restoring_ && corrected_epoch_ != 0 && now >= next_restore_) restore_next(now, out);
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweep;
    std::erase_if(ledgers_, [&](const auto& e) { return e.second.ends <= now && e.second.out.empty(); });
  }
  return out;
}

Instant Counts::due() const {
  Instant t = next_sweep_;
  if (settling_ || !epoch_end_published_) t = Instant{};  // at each tick, as often as the caller ticks
  if (restoring_) t = std::min(t, next_restore_);
  return t;
}

void Counts::write_one(Instant now, CountName name, Ledger& b) {
  b.dirty = false;
  if (b.ends > now) records_.put(Kind::use, key_of(name), to_text(b.uses), b.ends);
}

void Counts::write(Instant now) {
  for (auto& [name, b] : ledgers_)
    if (b.dirty) write_one(now, name, b);
}

Counts::Figures Counts::figures() const {
  auto f = figures_;
  f.epoch = epoch_, f.counts = ledgers_.size(), f.settling = settling_.has_value(), f.held = held_;
  return f;
}

}  // namespace docklift::replica
