#include "members/members.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace docklift::members {
namespace {

constexpr unsigned kRaises = 2;  // a start is raised so often against one other life: then both live

// A rumour is news to an entry: a later start, or of one life a later word, or a worse state of the same word.
bool newer(const MemberUpdate& r, const Members::Member& m) {
  if (injected(TestFault::dead_life_believed) && r.who.number != m.incarnation.number && r.state == State::alive) return true;
  if (r.who.number != m.incarnation.number) return std::pair(r.who.start, r.who.number) > std::pair(m.incarnation.start, m.incarnation.number);
  if (r.who.start != m.incarnation.start) return r.who.start > m.incarnation.start;
  if (r.refutes != m.refutes) return r.refutes > m.refutes;
  return r.state > m.state;
}

}  // namespace

const char* name_of(State state) {
  switch (state) {
    case State::alive: return "alive";
    case State::suspect: return "suspect";
    case State::dead: return "dead";
    case State::left: return "left";
  }
  return "?";
}

Members::Members(Incarnation self, Limits limits, std::uint64_t seed)
    : self_(std::move(self)), limits_(limits), random_(seed) {}

Actions Members::begin(Instant now, std::vector<std::string> seeds) {
  Actions out;
  begun_ = true;
  seeds_ = std::move(seeds);
  last_tick_ = now;
  // Fleets that start together do not probe together.
  next_probe_ = now + std::chrono::duration_cast<Instant>(limits_.interval * random_.fraction());
  next_rejoin_ = now + limits_.interval;
  for (const auto& s : seeds_)
    if (s != self_.address) send(out, s, message(Message::Kind::join));
  return out;
}

Instant Members::due() const {
  if (!begun_) return Instant::max();
  Instant t = std::min(next_probe_, next_rejoin_);
  if (probe_) t = std::min(t, probe_->helped ? probe_->ends : probe_->asked_at + stretched(limits_.timeout));
  for (const auto& [n, f] : favours_)
    if (!f.nacked) t = std::min(t, f.nack_at);
  for (const auto& [n, m] : members_)
    if (m.state == State::suspect) t = std::min(t, m.deadline);
  return t;
}

Actions Members::tick(Instant now) {
  Actions out;
  if (!begun_) return out;
  // This process was stopped, or its machine was: what came meanwhile is not read yet, so nobody is doubted for that time.
  const auto late = now - last_tick_;
  if (late > 4 * limits_.interval) {
    for (auto& [name, m] : members_)
      if (m.state == State::suspect) m.deadline += late;
    if (probe_) probe_.reset();
    favours_.clear();
    next_probe_ = now + limits_.interval;
    slower(+1);
    out.log.push_back("stood still for " + std::to_string(late.count() / 1'000'000) + " ms");
  }
  last_tick_ = now;
  for (auto it = favours_.begin(); it != favours_.end();) {
    auto& f = it->second;
    if (!f.nacked && now >= f.nack_at) {
      f.nacked = true;
      send(out, f.for_address, message(Message::Kind::nack, f.their_number));
    }
    it = now >= f.nack_at + 4 * limits_.interval ? favours_.erase(it) : std::next(it);
  }
  if (probe_ && !probe_->helped && now >= probe_->asked_at + stretched(limits_.timeout)) {
    probe_->helped = true;
    std::vector<const Member*> helpers;
    for (const auto& [n, m] : members_)
      if (n != probe_->name && m.state == State::alive) helpers.push_back(&m);
    random_.shuffle(helpers);
    for (const auto* h : helpers) {
      if (probe_->asked == limits_.helpers) break;
      auto m = message(Message::Kind::ping_for, probe_->number);
      m.to = h->incarnation.name;
      m.target = probe_->name;
      m.address = address_of(probe_->name);
      send(out, h->incarnation.address, std::move(m));
      ++probe_->asked;
    }
  }
  if (probe_ && now >= probe_->ends) end_probe(now, out);
  if (now >= next_probe_) start_probe(now, out);
  for (auto& [name, m] : members_)
    if (m.state == State::suspect && now >= m.deadline) {
      set_state(now, m, State::dead, out);
      spread(name);
    }
  if (now >= next_rejoin_) look_for_the_lost(now, out);
  return out;
}

std::optional<std::string> Members::next_to_probe() {
  for (std::size_t turn = 0; turn <= order_.size(); ++turn) {
    if (at_ >= order_.size()) {
      order_.clear(), at_ = 0;
      for (const auto& [n, m] : members_)
        if (m.state <= State::suspect) order_.push_back(n);
      random_.shuffle(order_);
      if (order_.empty()) return std::nullopt;
    }
    const auto& name = order_[at_++];
    const auto* m = find(name);
    if (m && m->state <= State::suspect) return name;
  }
  return std::nullopt;
}

void Members::start_probe(Instant now, Actions& out) {
  next_probe_ = now + stretched(limits_.interval);
  if (probe_) end_probe(now, out);
  const auto name = next_to_probe();
  if (!name) return;
  probe_ = Probe{*name, ++number_, now, now + stretched(limits_.interval)};
  auto m = message(Message::Kind::ping, probe_->number);
  m.to = *name;
  send(out, address_of(*name), std::move(m));
}

void Members::end_probe(Instant now, Actions& out) {
  const auto p = std::exchange(probe_, std::nullopt);
  if (p->acked) return;
  // Helpers that did not even say that they heard nothing: it is rather this node that is not heard.
  slower(p->asked == 0 ? +1 : static_cast<int>(p->asked - std::min(p->asked, p->nacks)));
  const auto it = members_.find(p->name);
  if (it != members_.end()) suspect(now, it->second, self_.name, out);
}

void Members::slower(int by) {
  slowness_ = static_cast<unsigned>(std::clamp(static_cast<int>(slowness_) + by, 0, static_cast<int>(limits_.most_slowness)));
}

Instant Members::suspicion_of(std::size_t doubters) const {
  const double size = static_cast<double>(alive_ + 1);
  const double least = limits_.suspicion * std::max(1.0, std::log10(size)) * static_cast<double>(limits_.interval.count());
  const double most = limits_.suspicion_most * least;
  const double needed = static_cast<double>(std::min(limits_.helpers, alive_ > 1 ? alive_ - 1 : 0));
  double time = most;
  if (needed > 0)
    time = std::max(least, most - (most - least) * std::log(static_cast<double>(doubters)) / std::log(needed + 1));
  else
    time = least;  // nobody else could say otherwise
  return Instant(static_cast<std::int64_t>(time)) * (1 + slowness_);
}

// The time runs from the first doubt on; each further doubter shortens it.
void Members::suspect(Instant now, Member& m, const std::string& by, Actions& out) {
  if (m.state > State::suspect) return;
  const bool first = m.state == State::alive;
  if (first) {
    set_state(now, m, State::suspect, out);
    m.doubted_by.clear();
  }
  if (!m.doubted_by.insert(by).second) return;
  m.deadline = m.since + suspicion_of(m.doubted_by.size());
  if (first || m.doubted_by.size() <= limits_.helpers + 1) spread(m.incarnation.name);
}

void Members::set_state(Instant now, Member& m, State state, Actions& out) {
  if (m.state == state) return;
  if (m.state <= State::suspect && state > State::suspect) --alive_;
  if (m.state > State::suspect && state <= State::suspect) ++alive_;
  m.state = state, m.since = now;
  out.changes.push_back({m.incarnation.name, state, false});
  out.log.push_back(m.incarnation.name + " is " + name_of(state));
}

void Members::spread(const std::string& name) { pending_updates_[name] = 0; }

unsigned Members::repeats() const {
  const double size = static_cast<double>(alive_ + 1);
  return static_cast<unsigned>(std::ceil(limits_.repeats * std::max(1.0, std::log10(size))));
}

Message Members::message(Message::Kind kind, std::uint32_t number) const {
  Message m;
  m.kind = kind, m.number = number;
  m.from = me();
  return m;
}

// What has been sent least often goes first; each so often as the fleet's size asks for.
void Members::fill(Message& m) {
  if (m.kind == Message::Kind::table) return;
  std::vector<std::pair<unsigned, std::string>> all;
  for (const auto& [name, times] : pending_updates_) all.emplace_back(times, name);
  std::sort(all.begin(), all.end());
  const auto limit = repeats();
  for (const auto& [sent, name] : all) {
    if (m.updates.size() >= limits_.most_rumours) break;
    if (std::ranges::any_of(m.updates, [&](const auto& r) { return r.who.name == name; })) continue;
    if (const auto* k = find(name)) m.updates.push_back({k->incarnation, k->refutes, k->state});
    if (++pending_updates_[name] >= limit) pending_updates_.erase(name);
  }
}

void Members::send(Actions& out, const std::string& address, Message m) {
  if (address.empty()) return;
  // Who is doubted hears it with the next message to it, and can say that it lives.
  for (const auto& [name, k] : members_)
    if (k.incarnation.address == address && k.state != State::alive && (m.to.empty() || m.to == name))
      m.updates.insert(m.updates.begin(), {k.incarnation, k.refutes, k.state});
  fill(m);
  out.sends.push_back({address, std::move(m)});
}

std::string Members::address_of(const std::string& name) const {
  const auto* m = find(name);
  return m ? m->incarnation.address : std::string();
}

const Members::Member* Members::find(const std::string& name) const {
  const auto it = members_.find(name);
  return it == members_.end() ? nullptr : &it->second;
}

std::vector<const Members::Member*> Members::with(State state) const {
  std::vector<const Member*> all;
  for (const auto& [n, m] : members_)
    if (m.state == state) all.push_back(&m);
  return all;
}

// ---- What others say ----------------------------------------------------------------------------------------

Actions Members::received(Instant now, const Message& m) {
  Actions out;
  if (!begun_) return out;
  using Kind = Message::Kind;
  if (!m.to.empty() && m.to != self_.name) return out;  // meant for who had this address before
  if (m.from.who.name == self_.name) {
    if (m.from.who.number == self_.number) return out;  // one's own, back
    about_me(m.from, true, out);
  } else {
    apply(now, m.from, m.from.who.name, out);
  }
  for (const auto& r : m.updates) r.who.name == self_.name ? about_me(r, false, out) : apply(now, r, m.from.who.name, out);
  const auto& back = m.from.who.address;
  switch (m.kind) {
    case Kind::ping: {
      auto a = message(Kind::ack, m.number);
      a.to = m.from.who.name;
      send(out, back, std::move(a));
      break;
    }
    case Kind::ping_for: {
      auto p = message(Kind::ping, ++number_);
      p.to = m.target;
      favours_[number_] = {back, m.number, now + limits_.timeout * 8 / 10, false};
      send(out, m.address, std::move(p));
      break;
    }
    case Kind::ack:
      if (const auto it = favours_.find(m.number); it != favours_.end()) {
        auto a = message(Kind::ack, it->second.their_number);
        send(out, it->second.for_address, std::move(a));
        favours_.erase(it);
      } else if (probe_ && probe_->number == m.number && !probe_->acked) {
        probe_->acked = true;
        slower(-1);
      }
      joined_ = true;
      break;
    case Kind::nack:
      if (probe_ && probe_->number == m.number) ++probe_->nacks;
      break;
    case Kind::join: {
      // First what is known of the asker's own name: its start has to be above it.
      auto t = message(Kind::table);
      t.to = m.from.who.name;
      const auto flush = [&] {
        send(out, back, t);
        t.updates.clear();
      };
      if (const auto* known = find(m.from.who.name)) t.updates.push_back({known->incarnation, known->refutes, known->state});
      for (const auto& [n, k] : members_) {
        if (n == m.from.who.name) continue;
        t.updates.push_back({k.incarnation, k.refutes, k.state});
        if (t.updates.size() >= limits_.most_rumours) flush();
      }
      flush();
      break;
    }
    case Kind::table: joined_ = true; break;
  }
  return out;
}

void Members::apply(Instant now, const MemberUpdate& r, const std::string& told_by, Actions& out) {
  auto it = members_.find(r.who.name);
  if (it == members_.end()) {
    if (members_.size() >= limits_.most_members || r.who.name.empty()) return;
    it = members_.emplace(r.who.name, Member{.incarnation = r.who, .refutes = r.refutes, .state = State::dead, .since = now}).first;
    order_.insert(order_.begin() + static_cast<std::ptrdiff_t>(at_ + random_.below(order_.size() - at_ + 1)), r.who.name);
    auto& m = it->second;
    if (r.state == State::suspect) {
      set_state(now, m, State::alive, out);
      suspect(now, m, told_by, out);
    } else if (r.state != State::dead) {
      set_state(now, m, r.state, out);
    }
    spread(r.who.name);
    return;
  }
  auto& m = it->second;
  const bool other = r.who.number != m.incarnation.number;
  if (other && r.state <= State::suspect && m.state <= State::suspect && told_by == r.who.name && !newer(r, m))
    m.conflicting_incarnation = r.who.number;  // it speaks itself, and is not the one that is believed
  if (!newer(r, m)) {
    const bool same_word = !other && r.who.start == m.incarnation.start && r.refutes == m.refutes;
    if (same_word && r.state == State::suspect && m.state == State::suspect) suspect(now, m, told_by, out);
    return;
  }
  if (m.state == State::left && !other && r.state < State::left && r.refutes <= m.refutes) return;
  m.incarnation = r.who, m.refutes = r.refutes;
  if (other) out.changes.push_back({r.who.name, r.state, true});
  if (r.state == State::suspect) {
    if (m.state != State::alive) set_state(now, m, State::alive, out);
    suspect(now, m, told_by, out);
  } else {
    set_state(now, m, r.state, out);
  }
  spread(r.who.name);
}

void Members::about_me(const MemberUpdate& r, bool direct, Actions& out) {
  if (r.who.number == self_.number) {
    if (r.state == State::alive || r.refutes < refutes_ || leaving_) return;
    if (injected(TestFault::no_refutation)) return;
    refutes_ = r.refutes + 1;
    slower(+1);
    out.log.push_back(std::string("held for ") + name_of(r.state) + ", and refutes it");
    // The next messages carry it in `from`; some go out at once, as a suspicion has an end.
    for (const auto* k : with(State::alive)) {
      if (out.sends.size() >= limits_.helpers) break;
      auto m = message(Message::Kind::ping, ++number_);
      m.to = k->incarnation.name;
      send(out, k->incarnation.address, std::move(m));
    }
    return;
  }
  if (direct && r.state <= State::suspect && duplicate_ == 0 && raised_against_[r.who.number] >= kRaises) {
    duplicate_ = r.who.number;
    out.log.push_back("another process lives under the name " + self_.name + ", at " + r.who.address);
  }
  if (r.who.start < self_.start || duplicate_ != 0 || injected(TestFault::restart_keeps_start)) return;
  if (raised_against_.size() > 64) raised_against_.clear();
  if (++raised_against_[r.who.number] > kRaises) {
    duplicate_ = r.who.number;
    out.log.push_back("another process lives under the name " + self_.name + ", at " + r.who.address);
    return;
  }
  self_.start = r.who.start + 1;
}

// Halves of a cut that hold each other for dead, and seeds that were away at the start, are found again.
void Members::look_for_the_lost(Instant now, Actions& out) {
  next_rejoin_ = now + (joined_ ? limits_.rejoin : limits_.interval);
  std::erase_if(members_, [&](const auto& e) {
    return e.second.state > State::suspect && now - e.second.since > limits_.keep_dead;
  });
  std::vector<std::pair<std::string, std::string>> lost;  // address, name
  for (const auto* m : with(State::dead)) lost.emplace_back(m->incarnation.address, m->incarnation.name);
  for (const auto& s : seeds_) {
    const bool known = s == self_.address ||
                       std::ranges::any_of(members_, [&](const auto& e) { return e.second.incarnation.address == s; });
    if (!known) lost.emplace_back(s, "");
  }
  if (lost.empty()) return;
  const auto& [address, name] = lost[random_.below(lost.size())];
  auto m = message(Message::Kind::join);
  m.to = name;
  send(out, address, std::move(m));
}

Actions Members::leave() {
  Actions out;
  leaving_ = true;
  auto peers = with(State::alive);
  random_.shuffle(peers);
  const std::size_t most = std::max<std::size_t>(limits_.helpers * 2, 8);
  for (std::size_t i = 0; i < peers.size() && i < most; ++i) {
    auto m = message(Message::Kind::ping, ++number_);
    m.to = peers[i]->incarnation.name;
    send(out, peers[i]->incarnation.address, std::move(m));
  }
  begun_ = false;
  return out;
}

}  // namespace docklift::members
