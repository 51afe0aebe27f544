#include "replica/counts.hpp"

#include <algorithm>
#include <utility>

namespace docklift::replica {
namespace {

using snowknot::CountAnswer;
using snowknot::CountName;
using snowknot::CountOutcome;

constexpr std::int64_t kSlop = 2;  // thousandths: totals are rounded
constexpr Instant kSweep = std::chrono::milliseconds(500);
constexpr std::uint64_t kUnanswered = ~0ULL;  // for a write: there is none yet

std::string key_of(CountName name) { return number_key(static_cast<std::uint64_t>(name)); }

}  // namespace

Use& Counts::use_of(Book& b, std::uint64_t epoch) {
  for (auto& u : b.uses)
    if (u.epoch == epoch) return u;
  b.uses.push_back({.epoch = epoch});
  return b.uses.back();
}

Counts::Out Counts::add(Instant now, CountName name, double amount, snowknot::Duration lifetime) {
  Out out;
  // Until all have ended the lost epoch nobody knows what a count held. Nothing is added, and that is said at once.
  const auto refused = [&] {
    ++figures_.refused;
    out.answers.push_back({name, CountOutcome::refused, 0, {}});
  };
  if (settling_ || held_) return refused(), out;
  const bool room = books_.size() < limits_.most_counts || books_.contains(name);
  if (limits_.ahead && !room) return refused(), out;  // it could not be written down
  if (room) {
    auto& b = books_[name];
    if (b.ends == Instant{}) b.ends = now + lifetime + limits_.margin, b.began = now - lifetime - limits_.margin;
    if (lifetime > longest_) longest_ = lifetime, out.longest = lifetime;
    if (amount < 0) amount = -hand_back(b, -amount);
    if (limits_.ahead) {
      const auto units = thousandths(std::abs(amount));
      if (amount > 0 && !has_room(b, units)) {
        ++figures_.undurable;
        if (units > most_undurable()) out.largest = units;
        return refused(), out;
      }
      auto& use = use_of(b, epoch_);
      (amount > 0 ? use.taken_most : use.handed_most) += units;
      write_one(now, name, b);
      ++writes_;
      if (amount > 0) b.undurable.emplace_back(kUnanswered, units);
    }
    b.out.push_back({amount, epoch_, false, mends_ != 0 ? sums(name).told : 0});
  } else {
    overflowed_ = now;
  }
  out.adds.push_back({name, amount, lifetime, false});
  return out;
}

bool Counts::has_room(Book& b, std::uint64_t units) {
  std::uint64_t sum = units;
  while (!b.undurable.empty() && b.undurable.front().first <= durable_) b.undurable.pop_front();
  for (const auto& u : b.undurable) sum += u.second;
  return sum <= most_undurable();
}

// Where counts of before the last loss are open, this life settles it for itself, as any that starts.
Counts::Out Counts::release(Instant now, std::optional<Instant> shut) {
  Out out;
  if (!std::exchange(held_, false)) return out;
  if (shut) ++figures_.fallen_back, out.lost = snowknot::CountsLost{snowknot::Time(*shut)};
  if (epoch_ == 0 || !open_before_epoch(now)) return out;
  settling_ = now;
  ended_said_ = false;
  copies_whole_ = fellows_.caught_up();
  look_whether_settled(now, out);
  return out;
}

bool Counts::open_before_epoch(Instant now) const {
  bool open = false;
  for (const auto& key : records_.keys(Kind::use))
    records_.each(Kind::use, key, [&](const Origin&, const Record& r) {
      if (r.ends <= now) return;
      for (const auto& u : uses_of(r.value)) open = open || (u.epoch < epoch_ && u.most() > 0);
    });
  return open;
}

// What lives that are over have surely added in the epoch in force: a store that has less has lost it. (One that lives on beyond a cut may take some
// back: then a loss is seen that there was not, and that costs units, not the ceiling.)
std::int64_t Counts::least_of_the_gone(CountName name) const {
  std::int64_t sum = 0;
  if (injected(TestFault::gone_not_looked_at)) return sum;
  records_.each(Kind::use, key_of(name), [&](const Origin& o, const Record& r) {
    if (o == records_.self() || !fellows_.gone(o)) return;
    for (const auto& u : uses_of(r.value)) sum += u.epoch == epoch_ ? u.least() : 0;
  });
  return sum;
}

// Units that were added before the store lost its counts are not there to be taken off: they are handed back in the records alone. So what one life
// has added to the store less what it took off is never below nothing, and a total below one's own is proof of a loss.
double Counts::hand_back(Book& b, double amount) {
  auto rest = static_cast<std::int64_t>(thousandths(amount));
  std::int64_t in_store = 0;
  for (const auto& u : b.uses)
    if (u.epoch == epoch_) in_store = u.least();
  for (const auto& c : b.out)
    if (c.amount < 0 && c.epoch == epoch_ && !limits_.ahead) in_store -= static_cast<std::int64_t>(thousandths(-c.amount));
  const auto there = std::clamp<std::int64_t>(in_store, 0, rest);
  rest -= there;
  for (auto& u : b.uses) {
    if (u.epoch >= epoch_ || rest == 0) continue;
    const auto part = std::clamp<std::int64_t>(u.least(), 0, rest);
    u.handed_most += static_cast<std::uint64_t>(part), u.handed_least += static_cast<std::uint64_t>(part);
    rest -= part;
    b.dirty = b.dirty || part > 0;
  }
  return static_cast<double>(there + rest) / 1000;  // the rest: of adds that nobody knows were carried out
}

Counts::Out Counts::answered(Instant now, const CountAnswer& answer) {
  Out out;
  const auto it = books_.find(answer.name);
  if (it == books_.end() || it->second.out.empty()) {
    out.answers.push_back(answer);
    return out;
  }
  auto& b = it->second;
  const Call call = b.out.front();
  b.out.pop_front();
  const bool added = answer.outcome == CountOutcome::ok || answer.outcome == CountOutcome::added;
  const bool maybe = added || answer.outcome == CountOutcome::timeout;
  const auto amount = static_cast<std::int64_t>(thousandths(std::abs(call.amount)));
  if (call.telling) {
    // What a teller adds belongs to all, and is no use of this life. Only what surely was added is taken off what is missing.
    if (added && call.epoch == epoch_) {
      records_.put(Kind::told, key_of(answer.name), to_text(call.epoch, static_cast<std::uint64_t>(amount)), b.ends);
      ++figures_.told;
      b.told += amount;
      out.hurry = true;
    }
    return out;
  }
  auto& use = use_of(b, call.epoch);
  const auto units = static_cast<std::uint64_t>(amount);
  // With a disk the most was written down ahead.
  if (call.amount > 0 && limits_.ahead) use.taken_most -= maybe ? 0 : units;
  if (call.amount > 0) use.taken_most += maybe && !limits_.ahead ? units : 0, use.taken_least += added ? units : 0;
  if (call.amount < 0 && limits_.ahead) use.handed_most -= units;
  // A hand-back that was out while the store lost its counts was taken off the new one, for all that is known: what it held before is not less.
  if (call.amount < 0) use.handed_most += maybe ? units : 0, use.handed_least += added && call.epoch == epoch_ ? units : 0;
  b.dirty = b.dirty || ((maybe || limits_.ahead) && amount != 0);
  if (limits_.ahead) {
    write_one(now, answer.name, b);
    ++writes_;
    if (call.amount > 0)
      if (const auto u = std::ranges::find(b.undurable, kUnanswered, &std::pair<std::uint64_t, std::uint64_t>::first); u != b.undurable.end()) u->first = writes_;
  }
  CountAnswer a = answer;
  if (answer.outcome == CountOutcome::ok && call.epoch == epoch_ && !settling_) {
    const auto total = static_cast<std::int64_t>(std::llround(answer.total * 1000));  // below nothing in a store that has lost counts
    const auto least = use.least() + b.told + (limits_.ahead ? least_of_the_gone(answer.name) : 0);
    if (total + kSlop < least && total + kSlop + sums(answer.name).doubt < least) {
      // Others only ever take back what they have added: the store has lost counts. This call is in the new one. (Of all calls in the new
      // store before a node hears of it the sum is not below nothing: else one of them would have been this call.)
      if (call.amount < 0) use.handed_least -= units;
      begin_epoch(now, epoch_ + 1, "a total is less than this node alone has added", out);
      if (settling_) {
        a.outcome = CountOutcome::added;
        out.answers.push_back(a);
        return out;
      }
    }
    if (const auto mended = mend(call, answer.name, total); mended != total) {
      a.total = static_cast<double>(mended) / 1000;
      ++figures_.mended;
    }
  } else if (answer.outcome == CountOutcome::ok && call.epoch != epoch_) {
    a.outcome = CountOutcome::added;  // in which of the stores is not known: no total to go by
  }
  out.answers.push_back(a);
  return out;
}

Counts::Out Counts::lost(Instant now, const snowknot::CountsLost&) {
  Out out;
  if (held_) return epoch_heard(now, epoch_ + 1);
  if (!settling_) begin_epoch(now, epoch_ + 1, "the store says so", out);
  return out;
}

Counts::Out Counts::epoch_heard(Instant now, std::uint64_t epoch) {
  Out out;
  if (held_) {  // nothing of this life is in any store: it has ended all epochs, and settles when it is released
    if (epoch <= epoch_) return out;
    epoch_ = epoch;
    records_.put(Kind::epoch, "", number_key(epoch));
    records_.put(Kind::ended, "", number_key(epoch));
    out.hurry = true;
    return out;
  }
  if (epoch > epoch_) begin_epoch(now, epoch, "another node says so", out);
  return out;
}

void Counts::begin_epoch(Instant now, std::uint64_t epoch, const char* why, Out& out) {
  epoch_ = epoch;
  ++figures_.losses;
  out.log.push_back("the store has lost counts (" + std::string(why) + "): epoch " + std::to_string(epoch) + " begins");
  records_.put(Kind::epoch, "", number_key(epoch));
  out.hurry = true;
  mends_ = 0, telling_ = false;
  for (auto& [name, b] : books_) b.said = false, b.told = 0;
  settling_ = now;
  ended_said_ = false;
  copies_whole_ = fellows_.caught_up();  // else nothing is known here of what others have added
  look_whether_settled(now, out);
}

bool Counts::calls_of_former_epoch() const {
  for (const auto& [name, b] : books_)
    for (const auto& c : b.out)
      if (c.epoch != epoch_) return true;
  return false;
}

// One's own word first: behind the last add, and only once no call of before is out. Then everybody else's.
void Counts::look_whether_settled(Instant now, Out& out) {
  if (!ended_said_ && !calls_of_former_epoch()) {
    for (auto& [name, b] : books_)
      if (b.dirty) write_one(now, name, b);
    records_.put(Kind::ended, "", number_key(epoch_));
    ended_said_ = true;
    out.hurry = true;
  }
  if (!settling_) return;
  bool all = ended_said_;
  for (const auto& o : fellows_.alive()) {
    const auto* r = records_.find(o, Kind::ended, "");
    // And all that was said before it: what an origin has changed again since comes behind it.
    all = all && r && number_of_key(r->value) >= epoch_ && records_.whole_at(o) >= r->number;
  }
  if (injected(TestFault::settled_too_early)) all = ended_said_;
  const auto since = now - std::max(longest_, Instant(std::chrono::seconds(1))) - limits_.margin;
  const bool unknown = !copies_whole_ || fellows_.lost_since(since) || overflowed_ >= since;
  if (all && !unknown) {
    mends_ = epoch_;
    ++figures_.settled;
    figures_.last_settle_ms = (now - *settling_).count() / 1'000'000;
    settling_.reset();
    telling_ = true, next_tell_ = now;
    out.log.push_back("all nodes have ended the lost epoch: counts are whole again after " +
                      std::to_string(figures_.last_settle_ms) + " ms");
    return;
  }
  // Not before all windows that any clock of the fleet had begun at the loss have begun by this one, too.
  if (now - *settling_ < (unknown ? limits_.clocks : limits_.settle)) return;
  ++figures_.fallen_back;
  settling_.reset();
  out.lost = snowknot::CountsLost{snowknot::Time(now)};
  out.log.push_back(!copies_whole_ ? "this node's copies are not whole yet: windows that had begun stay shut"
                    : unknown      ? "a node that may have added is not there: windows that had begun stay shut"
                                   : "not all nodes have ended the lost epoch in time: windows that had begun stay shut");
}

Counts::Sums Counts::sums(CountName name) const {
  Sums sum;
  const auto key = key_of(name);
  const auto alive = injected(TestFault::use_of_the_dead_lost) ? fellows_.alive() : std::vector<Origin>{};
  // Of lives that are over the disk may know the call and not its answer, and nobody takes anything back: with a disk what they added at most.
  const auto count = [&](const Use& u, std::int64_t times, bool most) {
    if (u.epoch < epoch_) {
      sum.before += u.most() * times;
      sum.doubt += static_cast<std::int64_t>(u.handed_most) - static_cast<std::int64_t>(u.handed_least);
    }
    if (u.epoch == epoch_) sum.since += most ? std::max(u.most(), u.least()) : u.least();
  };
  records_.each(Kind::use, key, [&](const Origin& o, const Record& r) {
    if (o == records_.self()) return;  // one's own are at hand, and newer
    if (injected(TestFault::use_of_the_dead_lost) && std::ranges::find(alive, o) == alive.end()) return;
    const bool most = limits_.ahead && fellows_.gone(o) && !injected(TestFault::gone_not_looked_at);
    for (const auto& u : uses_of(r.value)) count(u, injected(TestFault::use_counted_twice) ? 2 : 1, most);
  });
  if (const auto it = books_.find(name); it != books_.end())
    for (const auto& u : it->second.uses) count(u, 1, false);
  const auto told = [&](const Origin&, const Record& r) {
    if (r.value.size() == 16 && get_number(r.value, 0) == epoch_) sum.told += static_cast<std::int64_t>(get_number(r.value, 8));
  };
  records_.each(Kind::told, key, told);
  if (injected(TestFault::told_taken_off_early)) records_.each(Kind::telling, key, told);
  if (limits_.ahead) {
    const auto it = books_.find(name);
    sum.before += static_cast<std::int64_t>(fellows_.raise(it == books_.end() ? Instant{} : it->second.began));
  }
  return sum;
}

// A total below what all have surely added shows a loss that nobody has named yet, or a hand-back that is not told here yet: the larger is
// the safe one. On top of it comes what was added before the epoch and not told again; before all have ended that, nothing is known of it.
std::int64_t Counts::mend(const Call& call, CountName name, std::int64_t total) const {
  const auto s = sums(name);
  const auto least = std::max(total, s.since + s.told);
  // What was told again while this call was out may not be in its total.
  return mends_ == 0 ? least : least + s.before - call.told;
}

void Counts::tell_again(Instant now, Out& out) {
  const auto alive = fellows_.alive();
  const auto nodes = static_cast<double>(alive.size() + 1);
  next_tell_ = now + std::chrono::duration_cast<Instant>(std::chrono::duration<double>(nodes / limits_.tells_per_s));
  for (const auto& key : records_.keys(Kind::use)) {
    const CountName name{number_of_key(key)};
    const auto my = books_.find(name);
    if (my != books_.end() && my->second.said) continue;
    Instant ends{};
    records_.each(Kind::use, key, [&](const Origin&, const Record& r) { ends = std::max(ends, r.ends); });
    if (ends < now + limits_.tell_least + limits_.margin) continue;
    const auto weight = [&](const std::string& member) { return mixed(static_cast<std::uint64_t>(name), member.data(), member.size()); };
    const auto mine = weight(records_.self().name);
    const bool teller = std::ranges::none_of(alive, [&](const Origin& o) { return weight(o.name) > mine; });
    if (!teller && !injected(TestFault::told_by_everyone)) continue;
    bool begun = false;  // by one before, also one that has died since: if it was added is not known, so it stays on top
    records_.each(Kind::telling, key, [&](const Origin&, const Record& r) {
      begun = begun || (r.value.size() == 16 && get_number(r.value, 0) == epoch_);
    });
    const auto known = sums(name);
    const auto lacks = known.before - known.told;
    if ((begun && !injected(TestFault::told_by_everyone)) || lacks <= kSlop) continue;
    auto& b = books_[name];
    b.said = true;
    if (b.ends == Instant{}) b.ends = ends;
    records_.put(Kind::telling, key, to_text(epoch_, static_cast<std::uint64_t>(lacks)), ends);
    b.out.push_back({static_cast<double>(lacks) / 1000, epoch_, true, 0});
    out.adds.push_back({name, static_cast<double>(lacks) / 1000, snowknot::Duration(ends - limits_.margin - now), true});
    out.hurry = true;
    return;
  }
  telling_ = false;
}

Counts::Out Counts::tick(Instant now) {
  Out out;
  if (settling_ || !ended_said_) look_whether_settled(now, out);
  if (telling_ && mends_ != 0 && now >= next_tell_) tell_again(now, out);
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweep;
    std::erase_if(books_, [&](const auto& e) { return e.second.ends <= now && e.second.out.empty(); });
  }
  return out;
}

Instant Counts::due() const {
  Instant t = next_sweep_;
  if (settling_ || !ended_said_) t = Instant{};  // with each tick: the glue's pace
  if (telling_) t = std::min(t, next_tell_);
  return t;
}

void Counts::write_one(Instant now, CountName name, Book& b) {
  b.dirty = false;
  if (b.ends > now) records_.put(Kind::use, key_of(name), to_text(b.uses), b.ends);
}

void Counts::write(Instant now) {
  for (auto& [name, b] : books_)
    if (b.dirty) write_one(now, name, b);
}

Counts::Figures Counts::figures() const {
  auto f = figures_;
  f.epoch = epoch_, f.counts = books_.size(), f.settling = settling_.has_value(), f.held = held_;
  return f;
}

}  // namespace docklift::replica
