#include "members/members.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace docklift::members {
namespace {

// Raises of the start against one other incarnation; if it still answers with a higher one, both processes
// are running.
constexpr unsigned kMaxStartRaises = 2;

// Whether the update replaces the entry: a later start, or more refutations of the same start, or a worse
// state with the same number of refutations.
bool supersedes(const MemberUpdate& r, const Members::Member& m) {
  if (injected(TestFault::dead_life_believed) && r.who.number != m.incarnation.number &&
      r.state == State::alive)
    return true;
  if (r.who.number != m.incarnation.number)
    return std::pair(r.who.start, r.who.number) > std::pair(m.incarnation.start, m.incarnation.number);
  if (r.who.start != m.incarnation.start) return r.who.start > m.incarnation.start;
  if (r.refutations != m.refutations) return r.refutations > m.refutations;
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
  started_ = true;
  seeds_ = std::move(seeds);
  last_tick_ = now;
  // A random delay keeps nodes that start together from probing in step.
  next_probe_ = now + std::chrono::duration_cast<Instant>(limits_.interval * random_.fraction());
  next_rejoin_ = now + limits_.interval;
  for (const auto& s : seeds_)
    if (s != self_.address) send(out, s, message(Message::Kind::join));
  return out;
}

Instant Members::due() const {
  if (!started_) return Instant::max();
  Instant t = std::min(next_probe_, next_rejoin_);
  if (probe_) t = std::min(t, probe_->indirect ? probe_->ends_at : probe_->sent_at + scaled(limits_.timeout));
  for (const auto& [n, f] : relayed_probes_)
    if (!f.nack_sent) t = std::min(t, f.nack_at);
  for (const auto& [n, m] : members_)
    if (m.state == State::suspect) t = std::min(t, m.deadline);
  return t;
}

Actions Members::tick(Instant now) {
  Actions out;
  if (!started_) return out;
  // This process or its machine was suspended. Datagrams of that time are still unread, so it doesn't count
  // towards any timeout.
  const auto stall = now - last_tick_;
  if (stall > 4 * limits_.interval) {
    for (auto& [name, m] : members_)
      if (m.state == State::suspect) m.deadline += stall;
    if (probe_) probe_.reset();
    relayed_probes_.clear();
    next_probe_ = now + limits_.interval;
    adjust_slowness(+1);
    out.log.push_back("stood still for " + std::to_string(stall.count() / 1'000'000) + " ms");
  }
  last_tick_ = now;
  for (auto it = relayed_probes_.begin(); it != relayed_probes_.end();) {
    auto& f = it->second;
    if (!f.nack_sent && now >= f.nack_at) {
      f.nack_sent = true;
      send(out, f.requester_address, message(Message::Kind::nack, f.requester_number));
    }
    it = now >= f.nack_at + 4 * limits_.interval ? relayed_probes_.erase(it) : std::next(it);
  }
  if (probe_ && !probe_->indirect && now >= probe_->sent_at + scaled(limits_.timeout)) {
    probe_->indirect = true;
    std::vector<const Member*> helpers;
    for (const auto& [n, m] : members_)
      if (n != probe_->name && m.state == State::alive) helpers.push_back(&m);
    random_.shuffle(helpers);
    for (const auto* h : helpers) {
      if (probe_->helpers_asked == limits_.helpers) break;
      auto m = message(Message::Kind::ping_req, probe_->number);
      m.to = h->incarnation.name;
      m.target = probe_->name;
      m.address = address_of(probe_->name);
      send(out, h->incarnation.address, std::move(m));
      ++probe_->helpers_asked;
    }
  }
  if (probe_ && now >= probe_->ends_at) end_probe(now, out);
  if (now >= next_probe_) start_probe(now, out);
  for (auto& [name, m] : members_)
    if (m.state == State::suspect && now >= m.deadline) {
      set_state(now, m, State::dead, out);
      queue_update(name);
    }
  if (now >= next_rejoin_) rejoin_lost_members(now, out);
  return out;
}

std::optional<std::string> Members::next_probe_target() {
  for (std::size_t attempt = 0; attempt <= probe_order_.size(); ++attempt) {
    if (probe_index_ >= probe_order_.size()) {
      probe_order_.clear(), probe_index_ = 0;
      for (const auto& [n, m] : members_)
        if (m.state <= State::suspect) probe_order_.push_back(n);
      random_.shuffle(probe_order_);
      if (probe_order_.empty()) return std::nullopt;
    }
    const auto& name = probe_order_[probe_index_++];
    const auto* m = find(name);
    if (m && m->state <= State::suspect) return name;
  }
  return std::nullopt;
}

void Members::start_probe(Instant now, Actions& out) {
  next_probe_ = now + scaled(limits_.interval);
  if (probe_) end_probe(now, out);
  const auto name = next_probe_target();
  if (!name) return;
  probe_ = Probe{*name, ++number_, now, now + scaled(limits_.interval)};
  auto m = message(Message::Kind::ping, probe_->number);
  m.to = *name;
  send(out, address_of(*name), std::move(m));
}

void Members::end_probe(Instant now, Actions& out) {
  const auto p = std::exchange(probe_, std::nullopt);
  if (p->acked) return;
  // Helpers that sent neither an ack nor a nack suggest that it is this node that is slow or unreachable.
  adjust_slowness(
      p->helpers_asked == 0 ? +1 : static_cast<int>(p->helpers_asked - std::min(p->helpers_asked, p->nacks)));
  const auto it = members_.find(p->name);
  if (it != members_.end()) suspect(now, it->second, self_.name, out);
}

void Members::adjust_slowness(int by) {
  slowness_ = static_cast<unsigned>(
      std::clamp(static_cast<int>(slowness_) + by, 0, static_cast<int>(limits_.max_slowness)));
}

Instant Members::suspicion_timeout(std::size_t suspecters) const {
  const double size = static_cast<double>(alive_ + 1);
  const double least = limits_.suspicion_factor * std::max(1.0, std::log10(size)) *
                       static_cast<double>(limits_.interval.count());
  const double most = limits_.suspicion_max_multiple * least;
  const double needed = static_cast<double>(std::min(limits_.helpers, alive_ > 1 ? alive_ - 1 : 0));
  double time = most;
  if (needed > 0)
    time = std::max(least,
                    most - (most - least) * std::log(static_cast<double>(suspecters)) / std::log(needed + 1));
  else
    time = least;  // no other member could confirm or refute
  return Instant(static_cast<std::int64_t>(time)) * (1 + slowness_);
}

// The timeout counts from the first suspicion; each further suspecter shortens it.
void Members::suspect(Instant now, Member& m, const std::string& by, Actions& out) {
  if (m.state > State::suspect) return;
  const bool first = m.state == State::alive;
  if (first) {
    set_state(now, m, State::suspect, out);
    m.suspected_by.clear();
  }
  if (!m.suspected_by.insert(by).second) return;
  m.deadline = m.since + suspicion_timeout(m.suspected_by.size());
  if (first || m.suspected_by.size() <= limits_.helpers + 1) queue_update(m.incarnation.name);
}

void Members::set_state(Instant now, Member& m, State state, Actions& out) {
  if (m.state == state) return;
  if (m.state <= State::suspect && state > State::suspect) --alive_;
  if (m.state > State::suspect && state <= State::suspect) ++alive_;
  m.state = state, m.since = now;
  out.changes.push_back({m.incarnation.name, state, false});
  out.log.push_back(m.incarnation.name + " is " + name_of(state));
}

void Members::queue_update(const std::string& name) { pending_updates_[name] = 0; }

unsigned Members::retransmit_limit() const {
  const double size = static_cast<double>(alive_ + 1);
  return static_cast<unsigned>(std::ceil(limits_.retransmit_factor * std::max(1.0, std::log10(size))));
}

Message Members::message(Message::Kind kind, std::uint32_t number) const {
  Message m;
  m.kind = kind, m.number = number;
  m.from = self_update();
  return m;
}

// Adds pending updates, least transmitted first; each is sent retransmit_limit() times.
void Members::piggyback_updates(Message& m) {
  if (m.kind == Message::Kind::table) return;
  std::vector<std::pair<unsigned, std::string>> all;
  for (const auto& [name, times] : pending_updates_) all.emplace_back(times, name);
  std::sort(all.begin(), all.end());
  const auto limit = retransmit_limit();
  for (const auto& [sent, name] : all) {
    if (m.updates.size() >= limits_.max_updates) break;
    if (std::ranges::any_of(m.updates, [&](const auto& r) { return r.who.name == name; })) continue;
    if (const auto* k = find(name)) m.updates.push_back({k->incarnation, k->refutations, k->state});
    if (++pending_updates_[name] >= limit) pending_updates_.erase(name);
  }
}

void Members::send(Actions& out, const std::string& address, Message m) {
  if (address.empty()) return;
  // A member that is not considered alive is told so with each message to it, so that it can refute.
  for (const auto& [name, k] : members_)
    if (k.incarnation.address == address && k.state != State::alive && (m.to.empty() || m.to == name))
      m.updates.insert(m.updates.begin(), {k.incarnation, k.refutations, k.state});
  piggyback_updates(m);
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

// ---- Received messages -----------------------------------------------------------------------------------

Actions Members::received(Instant now, const Message& m) {
  Actions out;
  if (!started_) return out;
  using Kind = Message::Kind;
  if (!m.to.empty() && m.to != self_.name) return out;  // for the node that had this address before
  if (m.from.who.name == self_.name) {
    if (m.from.who.number == self_.number) return out;  // its own message, looped back
    handle_self_update(m.from, true, out);
  } else {
    apply(now, m.from, m.from.who.name, out);
  }
  for (const auto& r : m.updates)
    r.who.name == self_.name ? handle_self_update(r, false, out) : apply(now, r, m.from.who.name, out);
  const auto& back = m.from.who.address;
  switch (m.kind) {
    case Kind::ping: {
      auto a = message(Kind::ack, m.number);
      a.to = m.from.who.name;
      send(out, back, std::move(a));
      break;
    }
    case Kind::ping_req: {
      auto p = message(Kind::ping, ++number_);
      p.to = m.target;
      relayed_probes_[number_] = {back, m.number, now + limits_.timeout * 8 / 10, false};
      send(out, m.address, std::move(p));
      break;
    }
    case Kind::ack:
      if (const auto it = relayed_probes_.find(m.number); it != relayed_probes_.end()) {
        auto a = message(Kind::ack, it->second.requester_number);
        send(out, it->second.requester_address, std::move(a));
        relayed_probes_.erase(it);
      } else if (probe_ && probe_->number == m.number && !probe_->acked) {
        probe_->acked = true;
        adjust_slowness(-1);
      }
      joined_ = true;
      break;
    case Kind::nack:
      if (probe_ && probe_->number == m.number) ++probe_->nacks;
      break;
    case Kind::join: {
      // The entry of the joining node's own name goes first: its start has to be higher than that one.
      auto t = message(Kind::table);
      t.to = m.from.who.name;
      const auto flush = [&] {
        send(out, back, t);
        t.updates.clear();
      };
      if (const auto* known = find(m.from.who.name))
        t.updates.push_back({known->incarnation, known->refutations, known->state});
      for (const auto& [n, k] : members_) {
        if (n == m.from.who.name) continue;
        t.updates.push_back({k.incarnation, k.refutations, k.state});
        if (t.updates.size() >= limits_.max_updates) flush();
      }
      flush();
      break;
    }
    case Kind::table: joined_ = true; break;
  }
  return out;
}

void Members::apply(Instant now, const MemberUpdate& r, const std::string& reporter, Actions& out) {
  auto it = members_.find(r.who.name);
  if (it == members_.end()) {
    if (members_.size() >= limits_.max_members || r.who.name.empty()) return;
    it = members_
             .emplace(
                 r.who.name,
                 Member{
                     .incarnation = r.who, .refutations = r.refutations, .state = State::dead, .since = now})
             .first;
    probe_order_.insert(
        probe_order_.begin() +
            static_cast<std::ptrdiff_t>(probe_index_ + random_.below(probe_order_.size() - probe_index_ + 1)),
        r.who.name);
    auto& m = it->second;
    if (r.state == State::suspect) {
      set_state(now, m, State::alive, out);
      suspect(now, m, reporter, out);
    } else if (r.state != State::dead) {
      set_state(now, m, r.state, out);
    }
    queue_update(r.who.name);
    return;
  }
  auto& m = it->second;
  const bool other = r.who.number != m.incarnation.number;
  if (other && r.state <= State::suspect && m.state <= State::suspect && reporter == r.who.name &&
      !supersedes(r, m))
    m.conflicting_incarnation = r.who.number;  // sent by itself, but not the incarnation on record
  if (!supersedes(r, m)) {
    const bool same_version = !other && r.who.start == m.incarnation.start && r.refutations == m.refutations;
    if (same_version && r.state == State::suspect && m.state == State::suspect)
      suspect(now, m, reporter, out);
    return;
  }
  if (m.state == State::left && !other && r.state < State::left && r.refutations <= m.refutations) return;
  m.incarnation = r.who, m.refutations = r.refutations;
  if (other) out.changes.push_back({r.who.name, r.state, true});
  if (r.state == State::suspect) {
    if (m.state != State::alive) set_state(now, m, State::alive, out);
    suspect(now, m, reporter, out);
  } else {
    set_state(now, m, r.state, out);
  }
  queue_update(r.who.name);
}

void Members::handle_self_update(const MemberUpdate& r, bool direct, Actions& out) {
  if (r.who.number == self_.number) {
    if (r.state == State::alive || r.refutations < refutations_ || leaving_) return;
    if (injected(TestFault::no_refutation)) return;
    refutations_ = r.refutations + 1;
    adjust_slowness(+1);
    out.log.push_back(std::string("reported as ") + name_of(r.state) + ", refuted");
    // All later messages carry the refutation in `from`; some are sent now, before the suspicion times out.
    for (const auto* k : with(State::alive)) {
      if (out.sends.size() >= limits_.helpers) break;
      auto m = message(Message::Kind::ping, ++number_);
      m.to = k->incarnation.name;
      send(out, k->incarnation.address, std::move(m));
    }
    return;
  }
  if (direct && r.state <= State::suspect && duplicate_ == 0 &&
      start_raises_[r.who.number] >= kMaxStartRaises) {
    duplicate_ = r.who.number;
    out.log.push_back("another process lives under the name " + self_.name + ", at " + r.who.address);
  }
  if (r.who.start < self_.start || duplicate_ != 0 || injected(TestFault::restart_keeps_start)) return;
  if (start_raises_.size() > 64) start_raises_.clear();
  if (++start_raises_[r.who.number] > kMaxStartRaises) {
    duplicate_ = r.who.number;
    out.log.push_back("another process lives under the name " + self_.name + ", at " + r.who.address);
    return;
  }
  self_.start = r.who.start + 1;
}

// Sends a join to one dead member or unknown seed at random, so that the sides of a healed network partition,
// and seeds that were down at the start, are found again.
void Members::rejoin_lost_members(Instant now, Actions& out) {
  next_rejoin_ = now + (joined_ ? limits_.rejoin_interval : limits_.interval);
  std::erase_if(members_, [&](const auto& e) {
    return e.second.state > State::suspect && now - e.second.since > limits_.dead_retention;
  });
  std::vector<std::pair<std::string, std::string>> lost;  // address, name
  for (const auto* m : with(State::dead)) lost.emplace_back(m->incarnation.address, m->incarnation.name);
  for (const auto& s : seeds_) {
    const bool known = s == self_.address || std::ranges::any_of(members_, [&](const auto& e) {
                         return e.second.incarnation.address == s;
                       });
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
  started_ = false;
  return out;
}

}  // namespace docklift::members
