#include "replica/replica.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace docklift::replica {
namespace {

constexpr std::size_t kRecordBytes = 24;  // of a record on the wire beside key and value
constexpr std::size_t kMostConflicts = 64;

std::size_t bytes_of(const Record& r) { return r.key.size() + r.value.size() + kRecordBytes; }

std::uint64_t hash_of(const std::string& text, std::uint64_t seed) { return XXH64(text.data(), text.size(), seed); }

}  // namespace

void Out::add(Out&& other) {
  std::ranges::move(other.sends, std::back_inserter(sends));
  std::ranges::move(other.changed, std::back_inserter(changed));
  std::ranges::move(other.conflicts, std::back_inserter(conflicts));
}

Replica::Replica(Origin self, Limits limits, std::uint64_t seed) : self_(std::move(self)), limits_(limits), random_(seed) {
  origins_[self_];
  budget_ = limits_.bytes_per_s;
}

void Replica::put(Kind kind, const std::string& key, std::string value, Instant ends) {
  auto& s = origins_[self_];
  const auto it = s.records.find({kind, key});
  if (it != s.records.end() && it->second.value == value && it->second.ends == ends) return;
  store(self_, s, {++s.number, kind, key, std::move(value), ends});
}

void Replica::store(const Origin& origin, State& s, Record r) {
  const Key key{r.kind, r.key};
  if (collects_changes_) changes_.records.insert({origin, key}), changes_.origins.insert(origin);
  const auto [it, fresh] = s.records.try_emplace(key);
  if (fresh) {
    ++records_;
    origins_by_key_[key].insert(origin);
  } else {
    s.by_number.erase(it->second.number);
  }
  s.by_number[r.number] = key;
  it->second = std::move(r);
}

void Replica::forget(const Origin& origin, State& s, const Key& key) {
  const auto it = s.records.find(key);
  if (it == s.records.end()) return;
  if (collects_changes_) changes_.records.insert({origin, key});
  s.by_number.erase(it->second.number);
  s.records.erase(it);
  --records_;
  const auto w = origins_by_key_.find(key);
  if (w != origins_by_key_.end() && (w->second.erase(origin), w->second.empty())) origins_by_key_.erase(w);
}

void Replica::conflict(const Origin& origin, std::string what, Out& out) {
  auto text = origin.name + ": " + what;
  if (conflicts_.size() >= kMostConflicts || !reported_.insert(std::move(text)).second) return;
  conflicts_.push_back({origin, what});
  out.conflicts.push_back({origin, std::move(what)});
}

// ---- Rounds -------------------------------------------------------------------------------------------------

Instant Replica::due() const { return send_soon_ ? Instant{} : std::min(next_round_, next_repair_); }

Out Replica::tick(Instant now, const std::vector<std::string>& peers) {
  Out out;
  const bool round = send_soon_ || now >= next_round_;
  if (round) {
    send_soon_ = false;
    next_round_ = now + limits_.round;
    // What is new here, this node's records and those just received, goes to a few peers, which pass it on.
    std::vector<Entry> fresh;
    auto& mine = origins_[self_];
    if (mine.number > pushed_) fresh.push_back({self_, pushed_});
    for (auto& [o, s] : origins_)
      if (std::exchange(s.changed, false) && o != self_) fresh.push_back({o, s.number});
    if (!fresh.empty() && !peers.empty()) {
      auto to = peers;
      random_.shuffle(to);
      if (to.size() > limits_.fanout) to.resize(limits_.fanout);
      std::vector<Message> messages;
      if (fresh.front().origin == self_) {
        messages = pages_above({fresh.front()}, limits_.pages_for_want);
        pushed_ = mine.number;
      }
      // Of other origins only the numbers are sent: a peer that lacks the records requests them from this
      // node, which has them.
      Message v{.kind = Message::Kind::vector};
      for (const auto& e : fresh) {
        v.entries.push_back({e.origin, origins_.at(e.origin).number});
        if (v.entries.size() == limits_.most_entries) {
          messages.push_back(v);
          v.entries.clear();
        }
      }
      if (!v.entries.empty()) messages.push_back(std::move(v));
      for (const auto& p : to)
        for (const auto& m : messages)
          if (consume_budget(now, m)) out.sends.push_back({p, m});
    }
  }
  if (now >= next_repair_) {
    next_repair_ = now + limits_.repair;
    if (!peers.empty()) out.sends.push_back({peers[random_.below(peers.size())], {.kind = Message::Kind::sums, .sums = sums()}});
  }
  return out;
}

Out Replica::final_updates(Instant now, std::vector<std::string> peers) {
  Out out;
  random_.shuffle(peers);
  if (peers.size() > 2 * limits_.fanout) peers.resize(2 * limits_.fanout);
  const auto messages = pages_above({{self_, pushed_}}, limits_.pages_for_want);
  for (const auto& p : peers)
    for (const auto& m : messages)
      if (consume_budget(now, m)) out.sends.push_back({p, m});
  return out;
}

// Limits the bytes sent per second; peers request again what was not sent.
bool Replica::consume_budget(Instant now, const Message& m) {
  if (m.kind != Message::Kind::pages) return true;
  const double elapsed = std::chrono::duration<double>(now - budget_at_).count();
  budget_ = std::min(limits_.bytes_per_s, budget_ + std::max(0.0, elapsed) * limits_.bytes_per_s);
  budget_at_ = now;
  double bytes = 0;
  for (const auto& p : m.pages)
    for (const auto& r : p.records) bytes += static_cast<double>(bytes_of(r));
  if (budget_ < bytes) return ++figures_.held_back, false;
  budget_ -= bytes;
  return true;
}

std::size_t Replica::range_of(const Origin& o) { return hash_of(o.name, o.life) % kRanges; }

std::vector<std::uint64_t> Replica::sums() const {
  std::vector<std::uint64_t> all(kRanges);
  for (const auto& [o, s] : origins_) {
    if (s.number == 0) continue;
    all[range_of(o)] ^= mixed(hash_of(o.name, o.life) ^ mixed(s.number));  // independent of the order
  }
  return all;
}

bool Replica::append_page(const Origin& origin, std::uint64_t from, Message& m, std::size_t& bytes) const {
  const auto it = origins_.find(origin);
  if (it == origins_.end() || it->second.number <= from) return true;
  const auto& s = it->second;
  Page page{origin, from, s.number, false, {}, std::max(s.goal, s.number)};
  for (auto n = s.by_number.upper_bound(from); n != s.by_number.end(); ++n) {
    const auto& r = s.records.at(n->second);
    if (bytes + bytes_of(r) > limits_.page_bytes && !(bytes == 0 && page.records.empty())) {
      page.upto = page.records.empty() ? from : page.records.back().number;
      page.more = true;
      break;
    }
    bytes += bytes_of(r);
    page.records.push_back(r);
  }
  bytes += origin.name.size() + kRecordBytes;
  const bool whole = !page.more;
  if (whole || !page.records.empty()) m.pages.push_back(std::move(page));
  return whole;
}

std::vector<Message> Replica::all_pages() const {
  std::vector<Entry> all;
  for (const auto& [o, s] : origins_) all.push_back({o, 0});
  return pages_above(all, std::numeric_limits<std::size_t>::max());
}

std::vector<Message> Replica::pages_above(const std::vector<Entry>& from, std::size_t most) const {
  std::vector<Message> all;
  Message m{.kind = Message::Kind::pages};
  std::size_t bytes = 0;
  for (auto it = from.begin(); it != from.end(); ++it) {
    const auto& e = *it;
    auto at = e.number;
    while (!append_page(e.origin, at, m, bytes)) {
      const bool last = all.size() + 1 >= most;
      if (!m.pages.empty() && m.pages.back().origin == e.origin) {
        at = m.pages.back().upto;
        m.pages.back().more = last;  // the next page follows at once: a receiver that requested more after each one would get duplicates
      }
      all.push_back(std::exchange(m, {.kind = Message::Kind::pages}));
      bytes = 0;
      if (!last) continue;
      // For origins that did not fit, empty pages say that there is more, so that they are requested together with the rest and not later.
      auto& pages = all.back().pages;
      if (!pages.empty() && pages.back().origin == e.origin) ++it;
      for (; it != from.end() && pages.size() < limits_.most_entries; ++it)
        if (const auto o = origins_.find(it->origin); o != origins_.end() && o->second.number > it->number)
          pages.push_back({it->origin, it->number, it->number, true, {}});
      return all;
    }
  }
  if (!m.pages.empty()) all.push_back(std::move(m));
  return all;
}

// ---- Messages from peers ------------------------------------------------------------------------------------

Out Replica::received(Instant now, const std::string& from, const Message& m) {
  Out out;
  std::vector<Entry> wants;
  const auto request_if_missing = [&](const Entry& e) {
    if (e.origin == self_) return handle_own_origin(e.number, nullptr, out);
    auto& s = origins_[e.origin];
    if (s.fenced || e.number <= s.number) return;
    if (s.asked != Instant{} && now - s.asked < limits_.ask_again && now >= s.asked) return;
    s.asked = now;
    wants.push_back({e.origin, s.number});
  };
  switch (m.kind) {
    case Message::Kind::sums: {
      const auto mine = sums();
      if (m.sums.size() != kRanges) break;
      std::uint16_t ranges = 0;
      for (std::size_t i = 0; i < kRanges; ++i)
        if (mine[i] != m.sums[i]) ranges = static_cast<std::uint16_t>(ranges | 1U << i);
      if (ranges != 0) send_vector(from, ranges, out);
      break;
    }
    case Message::Kind::vector: {
      std::vector<Entry> missing_at_peer;
      std::set<Origin> named;
      for (const auto& e : m.entries) {
        request_if_missing(e);
        named.insert(e.origin);
        const auto it = origins_.find(e.origin);
        if (it != origins_.end() && it->second.number > e.number) missing_at_peer.push_back(e);
      }
      for (const auto& [o, s] : origins_)
        if ((m.ranges >> range_of(o) & 1U) && s.number > 0 && !named.contains(o))
          missing_at_peer.push_back({o, 0});
      for (auto& p : pages_above(missing_at_peer, limits_.pages_for_want))
        if (consume_budget(now, p)) out.sends.push_back({from, std::move(p)});
      break;
    }
    case Message::Kind::want:
      if (m.entries.empty()) {
        send_vector(from, 0xffff, out);
        break;
      }
      for (auto& p : pages_above(m.entries, limits_.pages_for_want))
        if (consume_budget(now, p)) out.sends.push_back({from, std::move(p)});
      break;
    case Message::Kind::pages:
      for (const auto& p : m.pages) apply_page(now, p, out, wants);
      break;
  }
  while (!wants.empty()) {
    Message w{.kind = Message::Kind::want};
    const auto n = std::min(wants.size(), limits_.most_entries);
    w.entries.assign(wants.end() - static_cast<std::ptrdiff_t>(n), wants.end());
    wants.resize(wants.size() - n);
    out.sends.push_back({from, std::move(w)});
  }
  evict();
  return out;
}

// Ranges that fit one message are marked as complete; of a longer vector a bounded number of messages is sent, in random order.
void Replica::send_vector(const std::string& to, std::uint16_t ranges, Out& out) {
  std::vector<Entry> all;
  for (const auto& [o, s] : origins_)
    if (s.number > 0 && (ranges >> range_of(o) & 1U)) all.push_back({o, s.number});
  const bool whole = all.size() <= limits_.most_entries;
  if (!whole) random_.shuffle(all);
  std::size_t sent = 0;
  do {
    Message v{.kind = Message::Kind::vector, .ranges = whole ? ranges : std::uint16_t{0}};
    for (const auto& [o, s] : origins_) v.origins += s.number > 0 ? 1 : 0;
    const auto n = std::min(all.size(), limits_.most_entries);
    v.entries.assign(all.end() - static_cast<std::ptrdiff_t>(n), all.end());
    all.resize(all.size() - n);
    out.sends.push_back({to, std::move(v)});
  } while (!all.empty() && ++sent < 4 * limits_.pages_for_want);
}

void Replica::apply_page(Instant now, const Page& page, Out& out, std::vector<Entry>& wants) {
  if (page.origin == self_) return handle_own_origin(page.upto, &page, out);
  auto& s = origins_[page.origin];
  if (s.fenced) return;
  s.last_page_at = now;
  if (page.from > s.number && !injected(TestFault::gap_passed_over)) {  // requests the records in between
    ++figures_.gaps;
    if (s.asked != Instant{} && now >= s.asked && now - s.asked < limits_.ask_again) return;  // already requested
    wants.push_back({page.origin, s.number});
    s.asked = now;
    return;
  }
  if (page.upto == page.from && page.more) {  // an empty page that announces more
    if (page.upto < s.number) return;
    wants.push_back({page.origin, s.number});
    s.asked = now;
    return;
  }
  ++figures_.pages_taken;
  const auto before = s.number;
  for (const auto& r : page.records) {
    if (r.key.size() > limits_.most_value || r.value.size() > limits_.most_value) continue;
    if (r.number <= s.number && !injected(TestFault::older_copy_wins)) {
      // Already held: the same number must have the same content.
      const auto held = s.by_number.find(r.number);
      if (held == s.by_number.end()) continue;
      const auto& mine = s.records.at(held->second);
      if (mine.same(r)) continue;
      conflict(page.origin, "number " + std::to_string(r.number) + " has two contents, of kinds " +
                                std::to_string(static_cast<int>(mine.kind)) + " and " + std::to_string(static_cast<int>(r.kind)),
               out);
      // The larger value wins: by the encoding (see values.hpp) it is the safer one, the higher use or the draining phase.
      if (mine.kind == r.kind && mine.key == r.key && mine.value < r.value) {
        store(page.origin, s, r);
        out.changed.emplace_back(page.origin, r);
      }
      continue;
    }
    if (r.number > page.upto) continue;
    if (r.ends != Instant{} && r.ends <= now) continue;
    store(page.origin, s, r);
    out.changed.emplace_back(page.origin, r);
  }
  if (page.upto > before) s.goal = std::max(s.goal, page.goal);
  s.number = std::max(s.number, page.upto);
  if (s.number >= s.goal || injected(TestFault::moved_passed_over)) s.whole = s.number;
  if (s.number > before) s.changed = true;
  else ++figures_.pages_late;
  if (collects_changes_ && s.number > before) changes_.origins.insert(page.origin);
  if (page.more) {
    wants.push_back({page.origin, s.number});
    s.asked = now;
  } else {
    s.asked = {};
  }
  std::size_t kept = 0;
  if (s.records.size() > limits_.most_of_origin) {
    for (const auto& [k, r] : s.records) kept += may_be_dropped(k.first) ? 0 : 1;
    if (kept > limits_.most_of_origin) {
      s.fenced = true;
      conflict(page.origin, "tells more than " + std::to_string(limits_.most_of_origin) + " records", out);
    }
  }
}

// A peer has changes in this node's name that it did not make: continue above their numbers, and send all
// records again.
void Replica::handle_own_origin(std::uint64_t upto, const Page* page, Out& out) {
  auto& s = origins_[self_];
  if (upto <= s.number) {
    if (!page) return;
    for (const auto& r : page->records) {
      const auto held = s.by_number.find(r.number);
      if (held != s.by_number.end() && !s.records.at(held->second).same(r))
        conflict(self_, "another writes in this life's name", out);
    }
    return;
  }
  conflict(self_, "changes were told in this life's name that it did not make", out);
  s.number = upto;
  auto all = std::exchange(s.records, {});
  s.by_number.clear();
  for (auto& [k, r] : all) {
    r.number = ++s.number;
    s.by_number[r.number] = k;
    s.records[k] = r;
  }
  send_soon_ = true;
}

void Replica::evict() {
  if (records_ <= limits_.most_records) return;
  for (auto& [o, s] : origins_) {
    if (o == self_) continue;
    std::vector<Key> removed;
    for (const auto& [k, r] : s.records) {
      if (!may_be_dropped(k.first)) break;  // droppable kinds come first
      removed.push_back(k);
    }
    for (const auto& k : removed) {
      forget(o, s, k);
      ++figures_.dropped;
      if (records_ <= limits_.most_records * 9 / 10) return;
    }
  }
}

void Replica::sweep(Instant now, const std::function<bool(const Origin&)>& is_alive) {
  for (auto it = origins_.begin(); it != origins_.end();) {
    auto& [o, s] = *it;
    std::vector<Key> removed;
    for (const auto& [k, r] : s.records)
      if (r.ends != Instant{} && r.ends <= now) removed.push_back(k);
    for (const auto& k : removed) forget(o, s, k);
    if (s.last_page_at == Instant{}) s.last_page_at = now;
    const bool empty = o != self_ && s.records.empty() && !is_alive(o) && now - s.last_page_at > limits_.keep_empty;
    if (empty && collects_changes_) changes_.origins.insert(o);
    it = empty ? origins_.erase(it) : std::next(it);
  }
}

#ifdef DOCKLIFT_PLANTS
void Replica::lose(const std::string& name) {
  for (auto& [o, s] : origins_) {
    if (o.name != name) continue;
    std::vector<Key> removed;
    for (const auto& [k, r] : s.records) removed.push_back(k);
    for (const auto& k : removed) forget(o, s, k);
  }
}
#endif

// ---- Queries ------------------------------------------------------------------------------------------------

void Replica::each(Kind kind, const std::string& key, const std::function<void(const Origin&, const Record&)>& f) const {
  const auto w = origins_by_key_.find({kind, key});
  if (w == origins_by_key_.end()) return;
  for (const auto& o : w->second) f(o, origins_.at(o).records.at({kind, key}));
}

std::vector<std::string> Replica::keys(Kind kind) const {
  std::vector<std::string> all;
  for (auto it = origins_by_key_.lower_bound({kind, std::string()}); it != origins_by_key_.end() && it->first.first == kind; ++it)
    all.push_back(it->first.second);
  return all;
}

const Record* Replica::find(const Origin& origin, Kind kind, const std::string& key) const {
  const auto o = origins_.find(origin);
  if (o == origins_.end()) return nullptr;
  const auto r = o->second.records.find({kind, key});
  return r == o->second.records.end() ? nullptr : &r->second;
}

std::map<Origin, std::uint64_t> Replica::vector() const {
  std::map<Origin, std::uint64_t> all;
  for (const auto& [o, s] : origins_)
    if (s.number > 0) all[o] = s.number;
  return all;
}

std::uint64_t Replica::digest() const {
  std::uint64_t sum = 0;
  for (const auto& [o, s] : origins_) {
    if (s.number == 0) continue;
    sum ^= mixed(hash_of(o.name, o.life) ^ mixed(s.number));
    for (const auto& [k, r] : s.records)
      if (r.ends == Instant{} && !may_be_dropped(r.kind))
        sum ^= mixed(hash_of(r.key, o.life + r.number) ^ hash_of(r.value, static_cast<std::uint64_t>(r.kind)));
  }
  return sum;
}

Replica::Figures Replica::figures() const {
  auto f = figures_;
  f.origins = origins_.size(), f.records = records_, f.conflicts = conflicts_.size();
  return f;
}

}  // namespace docklift::replica
