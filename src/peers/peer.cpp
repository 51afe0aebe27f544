#include "peers/peer.hpp"

#include <algorithm>
#include <cstdio>

namespace docklift::peers {
namespace {

using replica::Kind;
using replica::Origin;

constexpr std::size_t kAsked = 2;              // peers whose copies make a start warm
constexpr Instant kSweep = std::chrono::seconds(1), kAskAgain = std::chrono::milliseconds(200);
constexpr Instant kLongestUnknown = std::chrono::minutes(1);  // of a count, where the disk does not tell
constexpr Instant kLongAgo = std::chrono::minutes(5);  // no window of a count is as long

constexpr std::size_t kClosedSize = 24;  // up to which number, thousandths beside, when
const std::string kNoDisk = "disk";  // key of a node's word that its disk refuses
const std::string kLost = "lost";    // and until when windows that had begun were left shut

std::string hex(std::uint64_t n) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(n));
  return text.data();
}

std::string node_text(NodeState s, const std::string& version) { return static_cast<char>(s) + version; }

}  // namespace

const char* name_of(NodeState state) {
  switch (state) {
    case NodeState::starting: return "starting";
    case NodeState::serving: return "serving";
    case NodeState::draining: return "draining";
    case NodeState::left: return "left";
  }
  return "?";
}

Peer::Peer(PeerOptions options, std::uint64_t seed)
    : options_(std::move(options)),
      members_(options_.self, options_.members, mixed(seed)),
      records_(Origin{options_.self.name, options_.self.number}, options_.records, mixed(seed + 1)),
      counts_(records_, *this, options_.count_limits),
      words_(records_),
      beliefs_(records_, options_.belief_limits),
      stages_(options_.stages, options_.disk) {
  if (!options_.disk) return;
  records_.note_changes();
  counts_.hold();
}

std::string Peer::copies() const {
  std::string all(1, caught_up_ ? '1' : '0');
  for (auto& m : records_.all_pages()) {
    const auto text = encode({options_.cluster, options_.self.name, options_.self.number, 0, std::move(m)});
    replica::put_number(all, text.size());
    all += text;
  }
  return all;
}

Actions Peer::inherit(Instant now, std::string_view copies) {
  Actions out;
  heir_ = true;
  now_ = std::max(now_, now);
  if (copies.empty()) return out;
  const bool whole = copies.front() == '1';
  std::uint64_t epoch = 0;
  copies.remove_prefix(1);
  while (copies.size() >= 8) {
    const auto size = replica::get_number(copies, 0);
    if (size > copies.size() - 8) return out;
    const auto d = decode(copies.substr(8, size));
    copies.remove_prefix(8 + size);
    if (!d || !std::holds_alternative<replica::Message>(d->body)) return out;
    for (const auto& [origin, r] : records_.received(now_, d->name, std::get<replica::Message>(d->body)).changed)
      if (r.kind == Kind::epoch) epoch = std::max(epoch, replica::number_of_key(r.value));
  }
  caught_up_ = whole;
  if (epoch == 0 || !options_.counts) return out;
  // Where counts of before the last loss are still open, this life has to settle it for itself, as any that starts; else there is nothing to mend.
  bool open = false;
  for (const auto& key : records_.keys(Kind::use))
    records_.each(Kind::use, key, [&](const Origin&, const replica::Record& r) {
      for (const auto& u : replica::uses_of(r.value)) open = open || (u.epoch < epoch && u.most() > 0);
    });
  if (open) take(counts_.epoch_heard(now_, epoch), out);
  else counts_.epoch_known(epoch);
  return out;
}

// ---- A disk -------------------------------------------------------------------------------------------------

Actions Peer::remember(Instant now, const recovery::Remembered& found) {
  Actions out;
  now_ = std::max(now_, now);
  remembers_ = true;
  if (!injected(TestFault::start_forgotten)) members_.raise_start_above(found.start);
  disk_.push_back(recovery::start_of(members_.self().start));
  counts_.longest_was(found.longest);
  counts_.largest_is(found.largest);
  counts_.epoch_known(found.epoch);
  for (const auto& p : found.pages) met_before_.insert(p.origin);
  if (!injected(TestFault::disk_forgotten)) records_.received(now_, options_.self.name, {.kind = replica::Message::Kind::pages, .pages = found.pages});
  for (const auto& w : found.words) records_.put(w.kind, w.key, w.value, w.ends);
  // Former lives of this name are over, and what the disk has of each is all there is but what was not on it yet.
  const auto longest = found.longest.count() > 0 ? found.longest : kLongestUnknown;
  for (const auto& f : found.former) {
    if (f.life == options_.self.number) continue;
    const auto beside = f.left ? 0 : counts_.most_undurable();
    records_.put(Kind::closed, replica::number_key(f.life), replica::to_text(f.number, found.damaged ? ~0ULL : beside) + replica::number_key(static_cast<std::uint64_t>(now_.count())),
                 now_ + longest + options_.count_limits.margin);
  }
  out.log.push_back({"recovery", found.empty() ? "the disk knows nothing of this node"
                                               : "the disk knows of " + std::to_string(found.pages.size()) + " lives, " +
                                                     std::to_string(found.former.size()) + " of this name" + (found.damaged ? "; it is DAMAGED" : "")});
  sum_raises();
  return out;
}

Peer::ToDisk Peer::to_disk() {
  auto changes = recovery::changes_of(records_);
  for (auto& c : std::exchange(disk_, {})) changes.push_back(std::move(c));
  if (disk_fails_) writes_at_.clear();  // nobody waits for it any more
  writes_at_[++disk_number_] = counts_.writes();
  return {std::move(changes), disk_number_};
}

Actions Peer::durable(Instant now, std::uint64_t number) {
  Actions out;
  now_ = std::max(now_, now);
  durable_ = std::max(durable_, number);
  for (auto it = writes_at_.begin(); it != writes_at_.end() && it->first <= number; it = writes_at_.erase(it)) counts_.durable(it->second);
  if (largest_number_ != 0 && number >= largest_number_) counts_.largest_is(largest_), largest_number_ = 0;
  look_at_stage(out);
  return out;
}

Actions Peer::disk_fails(Instant now) {
  Actions out;
  now_ = std::max(now_, now);
  if (!std::exchange(disk_fails_, true)) out.log.push_back({"recovery", "the disk refuses: this node serves without, and a loss of power finds it empty"});
  remembers_ = true;
  // What this life passes from here on its disk will not know: it can't be closed by it.
  records_.put(Kind::shut, kNoDisk, "");
  counts_.without_disk();
  look_at_stage(out);
  return out;
}

bool Peer::is_closed(const Origin& o) const {
  if (records_.find(o, Kind::shut, kNoDisk)) return false;
  bool so = false;
  records_.each(Kind::closed, replica::number_key(o.life), [&](const Origin& by, const replica::Record& r) {
    so = so || (by.name == o.name && r.value.size() == kClosedSize && records_.whole_at(o) >= replica::get_number(r.value, 0) &&
                replica::get_number(r.value, 8) != ~0ULL);
  });
  return so;
}

bool Peer::gone(const Origin& o) const {
  if (o.name == records_.self().name) return o != records_.self();
  const auto* m = members_.find(o.name);
  if (!m) return met_before_.contains(o);  // records may come before their origin is met
  return m->incarnation.number != o.life || m->state >= members::State::dead;
}

// What closed lives may have added beside what they told: counted until all counts that were open then have ended.
void Peer::sum_raises() {
  raises_.clear();
  for (const auto& key : records_.keys(Kind::closed)) {
    std::uint64_t most = 0;
    Instant when{};
    records_.each(Kind::closed, key, [&](const Origin&, const replica::Record& r) {
      if (r.value.size() != kClosedSize || r.ends <= now_) return;
      const auto beside = replica::get_number(r.value, 8);
      if (beside != ~0ULL) most = std::max(most, beside);
      when = std::max(when, Instant(static_cast<std::int64_t>(replica::get_number(r.value, 16))));
    });
    if (most > 0) raises_.emplace_back(when, most);
  }
}

recovery::Known Peer::known() const {
  recovery::Known k;
  k.read = remembers_;
  k.durable = disk_fails_ || durable_ > 0;
  k.caught_up = caught_up_;
  if (!caught_up_) return k;
  std::size_t here = 1 + members_.alive();
  bool all_here = true;
  k.nothing_lost = true;
  for (const auto& [o, number] : records_.vector()) {
    const auto* last = records_.find(o, Kind::node, "");
    if (!gone(o) || (last && !last->value.empty() && last->value[0] == static_cast<char>(NodeState::left))) continue;
    if (!is_closed(o)) all_here = false;
    k.nothing_lost = false;
  }
  // Who is back says first which lives of its name are over: what they told has to be here as well.
  for (const auto& [name, m] : members_.all()) {
    const Origin o{name, m.incarnation.number};
    if (m.state == members::State::left && !ended(o)) ++here;
    if (m.state == members::State::dead || (m.state <= members::State::suspect && !records_.find(o, Kind::node, ""))) k.nothing_lost = all_here = false;
    if (m.state > members::State::suspect) continue;
    // What the disk knew may have died with this node, and be heard of by a late datagram.
    if (met_before_.contains(o) && !met_now_.contains(o)) {
      k.nothing_lost = all_here = false;
      continue;
    }
    const auto* through = records_.find(o, Kind::shut, "");
    if (through && (met_before_.contains(o) || replica::number_of_key(through->value) > 0)) k.other_serves = true;
  }
  records_.each(Kind::shut, kLost, [&](const Origin&, const replica::Record& r) {
    k.shut = std::max(k.shut, Instant(static_cast<std::int64_t>(replica::number_of_key(r.value))));
  });
  for (const auto& key : records_.keys(Kind::closed))
    records_.each(Kind::closed, key, [&](const Origin& by, const replica::Record& r) {
      if (r.value.size() == kClosedSize && records_.whole_at({by.name, replica::number_of_key(key)}) < replica::get_number(r.value, 0)) all_here = false;
    });
  k.all_told = all_here && here >= options_.fleet_size;
  return k;
}

void Peer::look_at_stage(Actions& out) {
  if (!options_.disk || !begun_ || stages_.stage() == recovery::Stage::full) return;
  const auto before = stages_.stage();
  const auto release = stages_.look(now_, known());
  if (stages_.stage() != before) out.log.push_back({"recovery", std::string("stage ") + recovery::name_of(stages_.stage()) + (release ? ": " + release->why : "")});
  if (!release) return;
  sum_raises();
  records_.put(Kind::shut, "", replica::number_key(static_cast<std::uint64_t>(release->shut.value_or(Instant{}).count())));
  records_.hurry();
  take(counts_.release(now_, release->shut), out);
}

// Of those that the disk knew: a vector that names this life.
void Peer::ask_whether_they_live(Actions& out) {
  if (stages_.stage() != recovery::Stage::unmetered || now_ < next_ask_) return;
  next_ask_ = now_ + kAskAgain;
  std::size_t n = 0;
  for (const auto& [name, m] : members_.all()) {
    const Origin o{name, m.incarnation.number};
    if (m.state > members::State::suspect || !met_before_.contains(o) || met_now_.contains(o)) continue;
    send(m.incarnation.address, replica::Replica::ask(), out);
    if (++n >= kAsked) return;
  }
}

// ---- The network --------------------------------------------------------------------------------------------

Actions Peer::begin(Instant now) {
  Actions out;
  now_ = begun_at_ = now;
  begun_ = true;
  stages_.begin(now);
  records_.put(Kind::node, "", node_text(state_, options_.file_version));
  records_.put(Kind::ended, "", replica::number_key(0));
  take(members_.begin(now, options_.seeds), out);
  if (std::ranges::all_of(options_.seeds, [&](const auto& s) { return s == options_.self.address; })) caught_up_ = true;
  return out;
}

Instant Peer::due() const {
  if (!begun_) return Instant::max();
  auto t = std::min({members_.due(), records_.due(), next_sweep_, next_write_});
  if (!caught_up_) t = std::min(t, next_ask_);
  if (options_.beliefs && !beliefs_told_ && !starts_.empty()) t = std::min(t, begun_at_ + options_.warm_limit);
  if (beliefs_due(now_)) t = now_;
  if (const auto stage = stages_.due()) t = std::min(t, std::max(*stage, now_));
  // While all wait for the end of an epoch: a few times in a round.
  return std::min(t, std::max(counts_.due(), now_ + options_.records.round / 8));
}

Actions Peer::tick(Instant now) {
  Actions out;
  if (!begun_) return out;
  now_ = std::max(now_, now);
  take(members_.tick(now_), out);
  take(counts_.tick(now_), out);
  if (now_ >= next_write_) {
    next_write_ = now_ + options_.records.round;
    counts_.write(now_);
    if (options_.beliefs) beliefs_.write(now_);
  }
  tell_beliefs(out);
  take(records_.tick(now_, reachable()), out);
  if (!caught_up_ && now_ >= next_ask_) ask_some(out);
  ask_whether_they_live(out);
  if (now_ >= next_sweep_) {
    next_sweep_ = now_ + kSweep;
    records_.sweep(now_, [this](const Origin& o) {
      const auto* m = members_.find(o.name);
      return m && m->incarnation.number == o.life;
    });
    look_for_ended_lives();
    if (options_.disk) sum_raises();
  }
  look_at_stage(out);
  return out;
}

std::vector<std::string> Peer::reachable() const {
  std::vector<std::string> all;
  for (const auto& [name, m] : members_.all())
    if (m.state <= members::State::suspect) all.push_back(name);
  return all;
}

// ---- What comes in ------------------------------------------------------------------------------------------

Actions Peer::datagram(Instant now, std::string_view bytes) {
  Actions out;
  if (!begun_) return out;
  now_ = std::max(now_, now);
  ++figures_.datagrams_in, figures_.bytes_in += bytes.size();
  const auto inside = verify_mac(options_.key, bytes);
  if (!inside) return ++figures_.forged, out;
  const auto d = decode(*inside);
  if (!d) return ++figures_.unreadable, out;
  if (d->cluster != options_.cluster) return ++figures_.strangers, out;
  if (d->name == options_.self.name && d->life == options_.self.number) return out;
  if (!replay_filter_.accept(d->name, d->life, d->counter)) return ++figures_.replays, out;
  if (const auto* m = std::get_if<members::Message>(&d->body)) {
    if (m->from.who.name != d->name || m->from.who.number != d->life) return ++figures_.unreadable, out;
    take(members_.received(now_, *m), out);
    return out;
  }
  const auto& m = std::get<replica::Message>(d->body);
  take(records_.received(now_, d->name, m), out);
  if (m.kind == replica::Message::Kind::vector) learn_vector({d->name, d->life}, m);
  look_whether_caught_up(out);
  tell_beliefs(out);
  look_at_stage(out);
  return out;
}

void Peer::take(members::Actions&& from, Actions& out) {
  for (auto& s : from.sends) send(s.address, std::move(s.message), out);
  for (auto& l : from.log) out.log.push_back({"members", std::move(l)});
  for (const auto& c : from.changes) changed(c, out);
}

void Peer::changed(const members::Change& c, Actions& out) {
  const auto* m = members_.find(c.name);
  if (!m) return;
  look_for_ended_lives();
  if (c.state >= members::State::dead) counts_.fellows_changed();
#ifdef DOCKLIFT_PLANTS
  if (c.state == members::State::dead && injected(TestFault::drain_fades)) records_.lose(c.name);
#endif
  // Who is back has missed something, and has something that was missed here.
  if (c.state == members::State::alive && caught_up_) send(m->incarnation.address, replica::Replica::ask(), out);
  if (!caught_up_) next_ask_ = std::min(next_ask_, now_);
}

void Peer::take(replica::Out&& from, Actions& out) {
  for (auto& s : from.sends)
    if (const auto* m = members_.find(s.to)) send(m->incarnation.address, std::move(s.message), out);
  for (const auto& c : from.conflicts) out.log.push_back({"records", "CONFLICT of " + c.origin.name + "/" + hex(c.origin.life) + ": " + c.what});
  for (const auto& [origin, r] : from.changed) {
    if (r.kind == Kind::word && options_.drains) {
      auto told = words_.heard(r.key);
      if (!told.empty()) records_.hurry();
      take(std::move(told), out);
    }
    if (r.kind == Kind::epoch && options_.counts) take(counts_.epoch_heard(now_, replica::number_of_key(r.value)), out);
    if (r.kind == Kind::ended) records_.hurry();
    if (r.kind == Kind::closed) sum_raises(), records_.hurry();
  }
}

void Peer::take(replica::Counts::Out&& from, Actions& out) {
  std::ranges::move(from.adds, std::back_inserter(out.adds));
  std::ranges::move(from.answers, std::back_inserter(out.answers));
  if (from.lost) {
    out.lost = from.lost;
    if (options_.disk) records_.put(Kind::shut, kLost, replica::number_key(static_cast<std::uint64_t>(from.lost->at.time_since_epoch().count())));
  }
  for (auto& l : from.log) out.log.push_back({"counts", std::move(l)});
  if (from.hurry) records_.hurry();
  if (from.longest) disk_.push_back(recovery::longest_count(*from.longest));
  if (from.largest && options_.disk && *from.largest > largest_) {
    largest_ = *from.largest, largest_number_ = disk_number_ + 1;
    disk_.push_back(recovery::largest_add(largest_));
  }
}

void Peer::take(std::vector<replica::Words::Told>&& told, Actions& out) {
  for (const auto& t : told)
    out.log.push_back({"drains", "server " + std::to_string(t.id) + (t.draining ? " is drained by another node's word" : " serves again by this node's list")});
  std::ranges::move(told, std::back_inserter(out.servers));
}

std::string Peer::frame(Body body) {
  return add_mac(options_.key, encode({options_.cluster, options_.self.name, options_.self.number, ++counter_, std::move(body)}));
}

void Peer::send(const std::string& address, Body body, Actions& out) {
  auto bytes = frame(std::move(body));
  if (bytes.size() > kMostDatagram) {  // a name or an address of great length: said, as what is in it is missing elsewhere
    ++figures_.too_long;
  }
  ++figures_.datagrams_out, figures_.bytes_out += bytes.size();
  out.datagrams.push_back({address, std::move(bytes)});
}

// ---- A start ------------------------------------------------------------------------------------------------

void Peer::ask_some(Actions& out) {
  next_ask_ = now_ + kAskAgain;
  std::size_t n = 0;
  for (const auto& name : reachable()) {
    auto& a = asked_[name];
    if (!a.answered || a.named.size() < a.origins) {
      send(members_.find(name)->incarnation.address, replica::Replica::ask(), out);
      if (++n >= kAsked) break;
    }
  }
  look_whether_caught_up(out);
}

void Peer::learn_vector(const Origin& from, const replica::Message& m) {
  if (options_.disk && std::ranges::any_of(m.entries, [&](const auto& e) { return e.origin == records_.self(); })) met_now_.insert(from);
  if (caught_up_) return;
  auto& a = asked_[from.name];
  a.answered = true;
  a.origins = std::max(a.origins, m.origins);
  for (const auto& e : m.entries) {
    a.named.insert(e.origin);
    auto& n = a.numbers[e.origin];
    n = std::max(n, e.number);
  }
}

void Peer::look_whether_caught_up(Actions& out) {
  if (caught_up_ || asked_.empty()) return;
  std::size_t whole = 0;
  for (const auto& [name, a] : asked_) {
    if (!a.answered || a.named.size() < a.origins) continue;
    whole += std::ranges::all_of(a.numbers, [&](const auto& e) {
      // Of one that nobody lives any more there may be no whole copy left.
      return e.first == records_.self() || (gone(e.first) ? records_.number_of(e.first) : records_.whole_at(e.first)) >= e.second;
    });
  }
  const std::size_t others = warm_time_over() ? members_.alive() : options_.fleet_size - 1;
  if (whole == 0 || whole < std::min(kAsked, others)) return;
  caught_up_ = true;
  asked_.clear();
  out.log.push_back({"records", "copies of " + std::to_string(whole) + " nodes taken within " +
                                    std::to_string((now_ - begun_at_).count() / 1'000'000) + " ms"});
}

bool Peer::warm(Instant now) const {
  if (heir_ && !begun_) return true;  // its predecessor has the address until it is ready
  if (!stages_.ready()) return false;
  return (caught_up_ || now - begun_at_ >= options_.warm_limit) && !beliefs_due(now);
}
// Once, with a list and with copies, or with what there is of them when their time is over.
bool Peer::beliefs_due(Instant now) const {
  return options_.beliefs && !beliefs_told_ && !starts_.empty() && (caught_up_ || now - begun_at_ >= options_.warm_limit);
}
void Peer::tell_beliefs(Actions& out) {
  if (!beliefs_due(now_)) return;
  beliefs_told_ = true;
  std::vector<replica::Beliefs::Server> servers;
  for (const auto& [id, start] : starts_) servers.push_back({id, start});
  std::vector<Origin> living;
  for (const auto& [name, m] : members_.all())
    if (m.state == members::State::alive) living.push_back({name, m.incarnation.number});
  for (auto& t : beliefs_.believed(servers, living)) {
    ++believed_;
    out.log.push_back({"beliefs", "server " + std::to_string(t.id) + " serves others badly: " +
                                      std::to_string(static_cast<int>(t.success * 10)) + " of 10 attempts go well"});
    out.beliefs.push_back(t);
  }
}
bool Peer::warm_time_over() const { return now_ - begun_at_ >= options_.warm_limit; }

// Another life has this one's name now, and this one left no last word.
bool Peer::ended(const Origin& o) const {
  if (o == records_.self()) return false;
  const auto* m = members_.find(o.name);
  if (o.name != records_.self().name && (!m || m->incarnation.number == o.life)) return false;
  const auto* last = records_.find(o, Kind::node, "");
  return !last || last->value.empty() || last->value[0] != static_cast<char>(NodeState::left);
}

void Peer::look_for_ended_lives() {
  for (const auto& [o, number] : records_.vector())
    if (ended(o)) ended_lives_.emplace(o, now_);
  std::erase_if(ended_lives_, [&](const auto& e) { return now_ - e.second > kLongAgo && !records_.has(e.first); });
}

// ---- What others must have said before counts are believed --------------------------------------------------

std::vector<Origin> Peer::alive() const {
  std::vector<Origin> all;
  for (const auto& [name, m] : members_.all())
    if (m.state <= members::State::suspect) all.push_back({name, m.incarnation.number});
  return all;
}

// A node that is held for dead may live beyond a cut, and one that was never met as well: what they add is not heard of.
bool Peer::lost_since(Instant since) const {
  std::size_t accounted = 1;
  for (const auto& [name, m] : members_.all()) {
    if (m.conflicting_incarnation != 0 && !(options_.disk && is_closed({name, m.conflicting_incarnation}))) return true;
    if (m.state == members::State::dead) return true;
    if (m.state == members::State::left) {
      const auto* r = records_.find({name, m.incarnation.number}, Kind::node, "");
      if ((!r || r->value.empty() || r->value[0] != static_cast<char>(NodeState::left)) && m.since >= since) return true;
    }
    ++accounted;
  }
  if (members_.duplicate() || accounted < options_.fleet_size) return true;
  // A life that was replaced without a last word may have added what it did not tell.
  for (const auto& [o, number] : records_.vector()) {
    if (!ended(o) || is_closed(o)) continue;
    const auto it = ended_lives_.find(o);
    if (it == ended_lives_.end() || it->second >= since) return true;
  }
  return false;
}

// ---- The node -----------------------------------------------------------------------------------------------

Actions Peer::state(Instant now, NodeState state) {
  Actions out;
  now_ = std::max(now_, now);
  state_ = state;
  records_.put(Kind::node, "", node_text(state, options_.file_version));
  return out;
}

Actions Peer::leave(Instant now) {
  Actions out;
  if (!begun_) return out;
  now_ = std::max(now_, now);
  counts_.write(now_);
  records_.put(Kind::ended, "", replica::number_key(counts_.figures().epoch));
  state_ = NodeState::left;
  records_.put(Kind::node, "", node_text(state_, options_.file_version));
  take(records_.last_words(now_, reachable()), out);
  take(members_.leave(), out);
  begun_ = false;
  return out;
}

void Peer::set_seeds(std::vector<std::string> seeds) {
  options_.seeds = seeds;
  members_.set_seeds(std::move(seeds));
}

Actions Peer::listed(Instant now, bool whole, std::uint64_t revision, const std::vector<replica::Words::Entry>& entries) {
  Actions out;
  now_ = std::max(now_, now);
  if (whole) starts_.clear();
  for (const auto& e : entries) {
    if (e.phase == replica::ServerPhase::gone) starts_.erase(e.id);
    else starts_[e.id] = e.start;
  }
  if (!options_.drains) return out;
  bool fresh = false;
  take(words_.listed(now_, whole, revision, entries, fresh), out);
  if (fresh) records_.hurry();
  return out;
}

void Peer::record_attempt(Instant now, std::uint32_t server, bool good) {
  now_ = std::max(now_, now);
  if (!options_.beliefs) return;
  if (const auto it = starts_.find(server); it != starts_.end()) beliefs_.seen(now_, {server, it->second}, good);
}

Actions Peer::add(Instant now, snowknot::CountName name, double amount, snowknot::Duration lifetime) {
  Actions out;
  now_ = std::max(now_, now);
  take(counts_.add(now_, name, amount, lifetime), out);
  return out;
}

Actions Peer::store_answered(Instant now, const snowknot::CountAnswer& answer) {
  Actions out;
  now_ = std::max(now_, now);
  take(counts_.answered(now_, answer), out);
  return out;
}

Actions Peer::store_lost(Instant now, const snowknot::CountsLost& lost) {
  Actions out;
  now_ = std::max(now_, now);
  take(counts_.lost(now_, lost), out);
  return out;
}

// ---- For operators ------------------------------------------------------------------------------------------

nlohmann::json Peer::fleet(Instant now) const {
  using nlohmann::json;
  const auto ms = [](Instant t) { return t.count() / 1'000'000; };
  json members = json::array();
  const auto entry = [&](const members::Incarnation& life, std::uint32_t refutations, const char* state, Instant since) {
    const auto* r = records_.find({life.name, life.number}, Kind::node, "");
    return json{{"name", life.name},       {"state", state},       {"start", life.start},     {"life", hex(life.number)},
                {"refutes", refutations},  {"zone", life.zone},    {"address", life.address}, {"age_ms", ms(now - since)},
                {"node", r && !r->value.empty() ? name_of(static_cast<NodeState>(r->value[0])) : "unknown"},
                {"file", r && r->value.size() > 1 ? r->value.substr(1) : ""}};
  };
  for (const auto& [name, m] : members_.all()) {
    auto e = entry(m.incarnation, m.refutations, members::name_of(m.state), m.since);
    if (m.conflicting_incarnation != 0) e["second_life"] = hex(m.conflicting_incarnation);
    members.push_back(std::move(e));
  }
  json vector = json::object();
  for (const auto& [o, n] : records_.vector()) vector[o.name + "/" + hex(o.life)] = n;
  json conflicts = json::array();
  for (const auto& c : records_.conflicts()) conflicts.push_back({{"origin", c.origin.name + "/" + hex(c.origin.life)}, {"what", c.what}});
  if (members_.duplicate()) conflicts.push_back({{"origin", members_.self().name}, {"what", "another process lives under this name"}});
  const auto r = records_.figures();
  const auto c = counts_.figures();
  const auto w = words_.figures();
  const auto b = beliefs_.figures();
  return {{"self", entry(members_.self(), members_.refutations(), "alive", begun_at_)},
          {"cluster", options_.cluster},
          {"fleet_size", options_.fleet_size},
          {"caught_up", caught_up_},
          {"stage", {{"name", recovery::name_of(stages_.stage())}, {"waits_for", stages_.waits_for()}, {"age_ms", ms(now - stages_.since())},
                     {"disk", !options_.disk ? "none" : disk_fails_ ? "refuses" : "good"}, {"durable", options_.disk && durable_ == disk_number_ && !has_for_disk()}, {"waiting", writes_at_.size()}, {"raise", raise({})}}},
          {"slowness", members_.slowness()},
          {"members", std::move(members)},
          {"vector", std::move(vector)},
          {"digest", hex(records_.digest())},
          {"conflicts", std::move(conflicts)},
          {"counts",
           {{"epoch", c.epoch}, {"losses", c.losses}, {"settled", c.settled}, {"fallen_back", c.fallen_back}, {"settling", c.settling},
            {"last_settle_ms", c.last_settle_ms}, {"refused", c.refused}, {"told", c.told}, {"mended", c.mended}, {"counts", c.counts}, {"held", c.held}, {"undurable", c.undurable}}},
          {"drains", {{"published", w.published}, {"learnt", w.learnt}, {"undone", w.undone}, {"held", w.held}}},
          {"beliefs",
           {{"said", b.said}, {"contradicted", b.contradicted}, {"taken_back", b.taken_back}, {"complaints", b.complaints},
            {"met", b.met}, {"believed", believed_}}},
          {"records",
           {{"origins", r.origins}, {"records", r.records}, {"pages", r.pages_taken}, {"late", r.pages_late}, {"gaps", r.gaps},
            {"dropped", r.dropped}, {"held_back", r.held_back}}},
          {"datagrams",
           {{"in", figures_.datagrams_in}, {"out", figures_.datagrams_out}, {"bytes_in", figures_.bytes_in},
            {"bytes_out", figures_.bytes_out}, {"forged", figures_.forged}, {"unreadable", figures_.unreadable},
            {"strangers", figures_.strangers}, {"replays", figures_.replays}, {"too_long", figures_.too_long}}}};
}

}  // namespace docklift::peers
