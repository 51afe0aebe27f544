#include "peers/peer.hpp"

#include <algorithm>
#include <cstdio>

namespace docklift::peers {
namespace {

using replica::Kind;
using replica::Origin;

constexpr std::size_t kCopySources = 2;  // nodes to fetch copies from at a start
constexpr Instant kSweep = std::chrono::seconds(1), kRequestInterval = std::chrono::milliseconds(200);
// Assumed as the longest lifetime of a count if the disk doesn't hold it.
constexpr Instant kDefaultCountLifetime = std::chrono::minutes(1);
constexpr Instant kReplacedRetention = std::chrono::minutes(5);  // longer than the window of any count

// Value of a record that closes an incarnation: its last record number, the thousandths of a unit that it may
// have used without reporting, and the time.
constexpr std::size_t kClosedRecordBytes = 24;
// Keys of records of the kind that closes windows: the node's disk has failed; and until when windows that
// had begun were kept closed after a loss.
const std::string kDiskFailedKey = "disk";
const std::string kLossKey = "lost";

std::string hex(std::uint64_t n) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(n));
  return text.data();
}

std::string encode_node_state(NodeState s, const std::string& version) {
  return static_cast<char>(s) + version;
}

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
  inherited_ = true;
  now_ = std::max(now_, now);
  if (copies.empty()) return out;
  const bool complete = copies.front() == '1';
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
  caught_up_ = complete;
  if (epoch == 0 || !options_.counts) return out;
  // If counts from before the last loss are still open, this incarnation settles the loss itself, as after
  // any start; otherwise there is nothing to repair.
  bool has_open_counts = false;
  for (const auto& key : records_.keys(Kind::use))
    records_.each(Kind::use, key, [&](const Origin&, const replica::Record& r) {
      for (const auto& u : replica::parse_uses(r.value))
        has_open_counts = has_open_counts || (u.epoch < epoch && u.most() > 0);
    });
  if (has_open_counts) collect(counts_.epoch_received(now_, epoch), out);
  else counts_.epoch_known(epoch);
  return out;
}

// ---- The disk ---------------------------------------------------------------------------------------------

Actions Peer::remember(Instant now, const recovery::RestoredState& found) {
  Actions out;
  now_ = std::max(now_, now);
  disk_read_ = true;
  if (!injected(TestFault::start_forgotten)) members_.raise_start_above(found.start);
  pending_changes_.push_back(recovery::start_of(members_.self().start));
  counts_.longest_was(found.longest);
  counts_.largest_is(found.largest);
  counts_.epoch_known(found.epoch);
  for (const auto& p : found.pages) known_from_disk_.insert(p.origin);
  if (!injected(TestFault::disk_forgotten))
    records_.received(now_, options_.self.name,
                      {.kind = replica::Message::Kind::pages, .pages = found.pages});
  for (const auto& w : found.words) records_.put(w.kind, w.key, w.value, w.ends);
  // Earlier incarnations of this name have ended. The disk holds everything of them except what had not been
  // synced, which is bounded by most_undurable().
  const auto longest = found.longest.count() > 0 ? found.longest : kDefaultCountLifetime;
  for (const auto& f : found.former) {
    if (f.life == options_.self.number) continue;
    const auto unreported = f.left ? 0 : counts_.most_undurable();
    records_.put(Kind::incarnation_closed, replica::number_key(f.life),
                 replica::to_text(f.number, found.damaged ? ~0ULL : unreported) +
                     replica::number_key(static_cast<std::uint64_t>(now_.count())),
                 now_ + longest + options_.count_limits.margin);
  }
  out.log.push_back({"recovery", found.empty()
                                     ? "the disk knows nothing of this node"
                                     : "the disk holds " + std::to_string(found.pages.size()) +
                                           " incarnations, " + std::to_string(found.former.size()) +
                                           " of this name" + (found.damaged ? "; it is DAMAGED" : "")});
  recompute_unreported_units();
  return out;
}

Peer::ToDisk Peer::to_disk() {
  auto changes = recovery::changes_of(records_);
  for (auto& c : std::exchange(pending_changes_, {})) changes.push_back(std::move(c));
  if (disk_failed_) count_writes_.clear();  // no call waits for the disk any more
  count_writes_[++last_batch_] = counts_.writes();
  return {std::move(changes), last_batch_};
}

Actions Peer::durable(Instant now, std::uint64_t number) {
  Actions out;
  now_ = std::max(now_, now);
  durable_batch_ = std::max(durable_batch_, number);
  for (auto it = count_writes_.begin(); it != count_writes_.end() && it->first <= number;
       it = count_writes_.erase(it))
    counts_.durable(it->second);
  if (largest_add_batch_ != 0 && number >= largest_add_batch_)
    counts_.largest_is(largest_add_), largest_add_batch_ = 0;
  update_stage(out);
  return out;
}

Actions Peer::on_disk_failure(Instant now) {
  Actions out;
  now_ = std::max(now_, now);
  if (!std::exchange(disk_failed_, true))
    out.log.push_back(
        {"recovery", "the disk refuses: this node goes on without it, and a loss of power loses its state"});
  disk_read_ = true;
  // The disk won't hold what this incarnation uses from now on, so a later one can't close it from the disk.
  records_.put(Kind::windows_closed, kDiskFailedKey, "");
  counts_.without_disk();
  update_stage(out);
  return out;
}

bool Peer::is_closed(const Origin& o) const {
  if (records_.find(o, Kind::windows_closed, kDiskFailedKey)) return false;
  bool closed = false;
  records_.each(Kind::incarnation_closed, replica::number_key(o.life), [&](const Origin& by, const replica::Record& r) {
    closed = closed || (by.name == o.name && r.value.size() == kClosedRecordBytes &&
                        records_.complete_at(o) >= replica::get_number(r.value, 0) &&
                        replica::get_number(r.value, 8) != ~0ULL);
  });
  return closed;
}

bool Peer::gone(const Origin& o) const {
  if (o.name == records_.self().name) return o != records_.self();
  const auto* m = members_.find(o.name);
  if (!m) return known_from_disk_.contains(o);  // records may arrive before membership knows their origin
  return m->incarnation.number != o.life || m->state >= members::State::dead;
}

// What closed incarnations may have used beyond what they reported. It is added to each count until all
// counts that were open at the time of closing have ended.
void Peer::recompute_unreported_units() {
  unreported_units_.clear();
  for (const auto& key : records_.keys(Kind::incarnation_closed)) {
    std::uint64_t most = 0;
    Instant when{};
    records_.each(Kind::incarnation_closed, key, [&](const Origin&, const replica::Record& r) {
      if (r.value.size() != kClosedRecordBytes || r.ends <= now_) return;
      const auto unreported = replica::get_number(r.value, 8);
      if (unreported != ~0ULL) most = std::max(most, unreported);
      when = std::max(when, Instant(static_cast<std::int64_t>(replica::get_number(r.value, 16))));
    });
    if (most > 0) unreported_units_.emplace_back(when, most);
  }
}

recovery::Known Peer::known() const {
  recovery::Known k;
  k.read = disk_read_;
  k.durable = disk_failed_ || durable_batch_ > 0;
  k.caught_up = caught_up_;
  if (!caught_up_) return k;
  std::size_t present = 1 + members_.alive();
  bool all_present = true;
  k.nothing_lost = true;
  for (const auto& [o, number] : records_.vector()) {
    const auto* last = records_.find(o, Kind::node, "");
    if (!gone(o) || (last && !last->value.empty() && last->value[0] == static_cast<char>(NodeState::left))) continue;
    if (!is_closed(o)) all_present = false;
    k.nothing_lost = false;
  }
  // A node that has returned first publishes which incarnations of its name have ended; their records have to
  // be complete here too.
  for (const auto& [name, m] : members_.all()) {
    const Origin o{name, m.incarnation.number};
    if (m.state == members::State::left && !replaced(o)) ++present;
    if (m.state == members::State::dead ||
        (m.state <= members::State::suspect && !records_.find(o, Kind::node, "")))
      k.nothing_lost = all_present = false;
    if (m.state > members::State::suspect) continue;
    // An incarnation known from the disk may have ended together with this node and be reported by a delayed
    // datagram.
    if (known_from_disk_.contains(o) && !confirmed_.contains(o)) {
      k.nothing_lost = all_present = false;
      continue;
    }
    const auto* released = records_.find(o, Kind::windows_closed, "");
    if (released && (known_from_disk_.contains(o) || replica::number_of_key(released->value) > 0))
      k.other_serves = true;
  }
  records_.each(Kind::windows_closed, kLossKey, [&](const Origin&, const replica::Record& r) {
    k.shut = std::max(k.shut, Instant(static_cast<std::int64_t>(replica::number_of_key(r.value))));
  });
  for (const auto& key : records_.keys(Kind::incarnation_closed))
    records_.each(Kind::incarnation_closed, key, [&](const Origin& by, const replica::Record& r) {
      if (r.value.size() == kClosedRecordBytes &&
          records_.complete_at({by.name, replica::number_of_key(key)}) < replica::get_number(r.value, 0))
        all_present = false;
    });
  k.all_accounted_for = all_present && present >= options_.fleet_size;
  return k;
}

void Peer::update_stage(Actions& out) {
  if (!options_.disk || !started_ || stages_.stage() == recovery::Stage::full) return;
  const auto before = stages_.stage();
  const auto release = stages_.evaluate(now_, known());
  if (stages_.stage() != before) out.log.push_back({"recovery", std::string("stage ") + recovery::name_of(stages_.stage()) + (release ? ": " + release->why : "")});
  if (!release) return;
  recompute_unreported_units();
  records_.put(Kind::windows_closed, "", replica::number_key(static_cast<std::uint64_t>(release->shut.value_or(Instant{}).count())));
  records_.send_soon();
  collect(counts_.release(now_, release->shut), out);
}

// Asks the members known from the disk for a version vector that names this incarnation, which shows that
// they are running now.
void Peer::confirm_remembered_members(Actions& out) {
  if (stages_.stage() != recovery::Stage::unmetered || now_ < next_request_) return;
  next_request_ = now_ + kRequestInterval;
  std::size_t n = 0;
  for (const auto& [name, m] : members_.all()) {
    const Origin o{name, m.incarnation.number};
    if (m.state > members::State::suspect || !known_from_disk_.contains(o) || confirmed_.contains(o))
      continue;
    send(m.incarnation.address, replica::Replica::ask(), out);
    if (++n >= kCopySources) return;
  }
}

// ---- The network ------------------------------------------------------------------------------------------

Actions Peer::begin(Instant now) {
  Actions out;
  now_ = started_at_ = now;
  started_ = true;
  stages_.begin(now);
  records_.put(Kind::node, "", encode_node_state(state_, options_.file_version));
  records_.put(Kind::epoch_ended, "", replica::number_key(0));
  collect(members_.begin(now, options_.seeds), out);
  if (std::ranges::all_of(options_.seeds, [&](const auto& s) { return s == options_.self.address; })) caught_up_ = true;
  return out;
}

Instant Peer::due() const {
  if (!started_) return Instant::max();
  auto t = std::min({members_.due(), records_.due(), next_sweep_, next_write_});
  if (!caught_up_) t = std::min(t, next_request_);
  if (options_.beliefs && !beliefs_published_ && !server_starts_.empty())
    t = std::min(t, started_at_ + options_.warm_limit);
  if (beliefs_due(now_)) t = now_;
  if (const auto stage = stages_.due()) t = std::min(t, std::max(*stage, now_));
  // While an epoch is ending: several times per round.
  return std::min(t, std::max(counts_.due(), now_ + options_.records.round / 8));
}

Actions Peer::tick(Instant now) {
  Actions out;
  if (!started_) return out;
  now_ = std::max(now_, now);
  collect(members_.tick(now_), out);
  collect(counts_.tick(now_), out);
  if (now_ >= next_write_) {
    next_write_ = now_ + options_.records.round;
    counts_.write(now_);
    if (options_.beliefs) beliefs_.write(now_);
  }
  publish_beliefs(out);
  collect(records_.tick(now_, reachable()), out);
  if (!caught_up_ && now_ >= next_request_) request_copies(out);
  confirm_remembered_members(out);
  if (now_ >= next_sweep_) {
    next_sweep_ = now_ + kSweep;
    records_.sweep(now_, [this](const Origin& o) {
      const auto* m = members_.find(o.name);
      return m && m->incarnation.number == o.life;
    });
    find_replaced_incarnations();
    if (options_.disk) recompute_unreported_units();
  }
  update_stage(out);
  return out;
}

std::vector<std::string> Peer::reachable() const {
  std::vector<std::string> all;
  for (const auto& [name, m] : members_.all())
    if (m.state <= members::State::suspect) all.push_back(name);
  return all;
}

// ---- Received datagrams -----------------------------------------------------------------------------------

Actions Peer::datagram(Instant now, std::string_view bytes) {
  Actions out;
  if (!started_) return out;
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
    collect(members_.received(now_, *m), out);
    return out;
  }
  const auto& m = std::get<replica::Message>(d->body);
  collect(records_.received(now_, d->name, m), out);
  if (m.kind == replica::Message::Kind::vector) on_vector({d->name, d->life}, m);
  check_caught_up(out);
  publish_beliefs(out);
  update_stage(out);
  return out;
}

void Peer::collect(members::Actions&& from, Actions& out) {
  for (auto& s : from.sends) send(s.address, std::move(s.message), out);
  for (auto& l : from.log) out.log.push_back({"members", std::move(l)});
  for (const auto& c : from.changes) on_member_change(c, out);
}

void Peer::on_member_change(const members::Change& c, Actions& out) {
  const auto* m = members_.find(c.name);
  if (!m) return;
  find_replaced_incarnations();
  if (c.state >= members::State::dead) counts_.members_changed();
#ifdef DOCKLIFT_PLANTS
  if (c.state == members::State::dead && injected(TestFault::drain_fades)) records_.lose(c.name);
#endif
  // A returned member has missed updates, and may have some that this node has missed.
  if (c.state == members::State::alive && caught_up_)
    send(m->incarnation.address, replica::Replica::ask(), out);
  if (!caught_up_) next_request_ = std::min(next_request_, now_);
}

void Peer::collect(replica::Out&& from, Actions& out) {
  for (auto& s : from.sends)
    if (const auto* m = members_.find(s.to)) send(m->incarnation.address, std::move(s.message), out);
  for (const auto& c : from.conflicts) out.log.push_back({"records", "CONFLICT of " + c.origin.name + "/" + hex(c.origin.life) + ": " + c.what});
  for (const auto& [origin, r] : from.changed) {
    if (r.kind == Kind::server_status && options_.drains) {
      auto overrides = words_.record_received(r.key);
      if (!overrides.empty()) records_.send_soon();
      collect(std::move(overrides), out);
    }
    if (r.kind == Kind::epoch && options_.counts)
      collect(counts_.epoch_received(now_, replica::number_of_key(r.value)), out);
    if (r.kind == Kind::epoch_ended) records_.send_soon();
    if (r.kind == Kind::incarnation_closed) recompute_unreported_units(), records_.send_soon();
  }
}

void Peer::collect(replica::Counts::Out&& from, Actions& out) {
  std::ranges::move(from.adds, std::back_inserter(out.adds));
  std::ranges::move(from.answers, std::back_inserter(out.answers));
  if (from.lost) {
    out.lost = from.lost;
    if (options_.disk)
      records_.put(Kind::windows_closed, kLossKey,
                   replica::number_key(static_cast<std::uint64_t>(from.lost->at.time_since_epoch().count())));
  }
  for (auto& l : from.log) out.log.push_back({"counts", std::move(l)});
  if (from.urgent) records_.send_soon();
  if (from.longest) pending_changes_.push_back(recovery::longest_count(*from.longest));
  if (from.largest && options_.disk && *from.largest > largest_add_) {
    largest_add_ = *from.largest, largest_add_batch_ = last_batch_ + 1;
    pending_changes_.push_back(recovery::largest_add(largest_add_));
  }
}

void Peer::collect(std::vector<replica::ServerPhases::Override>&& overrides, Actions& out) {
  for (const auto& t : overrides)
    out.log.push_back({"drains", "server " + std::to_string(t.id) +
                                     (t.draining ? " is drained by another node"
                                                 : " serves again according to this node's list")});
  std::ranges::move(overrides, std::back_inserter(out.servers));
}

std::string Peer::frame(Body body) {
  return add_mac(options_.key, encode({options_.cluster, options_.self.name, options_.self.number, ++counter_,
                                       std::move(body)}));
}

void Peer::send(const std::string& address, Body body, Actions& out) {
  auto bytes = frame(std::move(body));
  if (bytes.size() > kMaxDatagramBytes) {
    // A very long name or address. Counted, since the content may not reach the other node.
    ++figures_.too_long;
  }
  ++figures_.datagrams_out, figures_.bytes_out += bytes.size();
  out.datagrams.push_back({address, std::move(bytes)});
}

// ---- Start-up ---------------------------------------------------------------------------------------------

void Peer::request_copies(Actions& out) {
  next_request_ = now_ + kRequestInterval;
  std::size_t n = 0;
  for (const auto& name : reachable()) {
    auto& a = copy_sources_[name];
    if (!a.answered || a.named.size() < a.origins) {
      send(members_.find(name)->incarnation.address, replica::Replica::ask(), out);
      if (++n >= kCopySources) break;
    }
  }
  check_caught_up(out);
}

void Peer::on_vector(const Origin& from, const replica::Message& m) {
  if (options_.disk &&
      std::ranges::any_of(m.entries, [&](const auto& e) { return e.origin == records_.self(); }))
    confirmed_.insert(from);
  if (caught_up_) return;
  auto& a = copy_sources_[from.name];
  a.answered = true;
  a.origins = std::max(a.origins, m.origins);
  for (const auto& e : m.entries) {
    a.named.insert(e.origin);
    auto& n = a.numbers[e.origin];
    n = std::max(n, e.number);
  }
}

void Peer::check_caught_up(Actions& out) {
  if (caught_up_ || copy_sources_.empty()) return;
  std::size_t complete = 0;
  for (const auto& [name, a] : copy_sources_) {
    if (!a.answered || a.named.size() < a.origins) continue;
    complete += std::ranges::all_of(a.numbers, [&](const auto& e) {
      // No complete copy may be left of an incarnation that has ended.
      return e.first == records_.self() || (gone(e.first) ? records_.number_of(e.first) : records_.complete_at(e.first)) >= e.second;
    });
  }
  const std::size_t others = warm_limit_reached() ? members_.alive() : options_.fleet_size - 1;
  if (complete == 0 || complete < std::min(kCopySources, others)) return;
  caught_up_ = true;
  copy_sources_.clear();
  out.log.push_back({"records", "copies of " + std::to_string(complete) + " nodes received within " +
                                    std::to_string((now_ - started_at_).count() / 1'000'000) + " ms"});
}

bool Peer::warm(Instant now) const {
  if (inherited_ && !started_) return true;  // the predecessor holds the address until this process is ready
  if (!stages_.ready()) return false;
  return (caught_up_ || now - started_at_ >= options_.warm_limit) && !beliefs_due(now);
}
// Server health is published once, when there are a list of servers and copies, or when the time limit for
// copies has passed.
bool Peer::beliefs_due(Instant now) const {
  return options_.beliefs && !beliefs_published_ && !server_starts_.empty() &&
         (caught_up_ || now - started_at_ >= options_.warm_limit);
}
void Peer::publish_beliefs(Actions& out) {
  if (!beliefs_due(now_)) return;
  beliefs_published_ = true;
  std::vector<replica::Beliefs::Server> servers;
  for (const auto& [id, start] : server_starts_) servers.push_back({id, start});
  std::vector<Origin> alive_origins;
  for (const auto& [name, m] : members_.all())
    if (m.state == members::State::alive) alive_origins.push_back({name, m.incarnation.number});
  for (auto& t : beliefs_.aggregate(servers, alive_origins)) {
    ++published_beliefs_;
    out.log.push_back({"beliefs", "server " + std::to_string(t.id) + " fails for other nodes: " +
                                      std::to_string(static_cast<int>(t.success * 10)) +
                                      " of 10 attempts succeed"});
    out.beliefs.push_back(t);
  }
}
bool Peer::warm_limit_reached() const { return now_ - started_at_ >= options_.warm_limit; }

// Whether a later incarnation has taken over the name and this one didn't announce a departure.
bool Peer::replaced(const Origin& o) const {
  if (o == records_.self()) return false;
  const auto* m = members_.find(o.name);
  if (o.name != records_.self().name && (!m || m->incarnation.number == o.life)) return false;
  const auto* last = records_.find(o, Kind::node, "");
  return !last || last->value.empty() || last->value[0] != static_cast<char>(NodeState::left);
}

void Peer::find_replaced_incarnations() {
  for (const auto& [o, number] : records_.vector())
    if (replaced(o)) replaced_incarnations_.emplace(o, now_);
  std::erase_if(replaced_incarnations_, [&](const auto& e) {
    return now_ - e.second > kReplacedRetention && !records_.has(e.first);
  });
}

// ---- View of the fleet for the counts ---------------------------------------------------------------------

std::vector<Origin> Peer::alive() const {
  std::vector<Origin> all;
  for (const auto& [name, m] : members_.all())
    if (m.state <= members::State::suspect) all.push_back({name, m.incarnation.number});
  return all;
}

// A node considered dead, or never met, may be running on the other side of a network partition; its
// additions are not received here.
bool Peer::lost_since(Instant since) const {
  std::size_t accounted = 1;
  for (const auto& [name, m] : members_.all()) {
    if (m.conflicting_incarnation != 0 && !(options_.disk && is_closed({name, m.conflicting_incarnation})))
      return true;
    if (m.state == members::State::dead) return true;
    if (m.state == members::State::left) {
      const auto* r = records_.find({name, m.incarnation.number}, Kind::node, "");
      if ((!r || r->value.empty() || r->value[0] != static_cast<char>(NodeState::left)) && m.since >= since) return true;
    }
    ++accounted;
  }
  if (members_.duplicate() || accounted < options_.fleet_size) return true;
  // An incarnation that was replaced without announcing a departure may have added units that it didn't
  // report.
  for (const auto& [o, number] : records_.vector()) {
    if (!replaced(o) || is_closed(o)) continue;
    const auto it = replaced_incarnations_.find(o);
    if (it == replaced_incarnations_.end() || it->second >= since) return true;
  }
  return false;
}

// ---- The node ---------------------------------------------------------------------------------------------

Actions Peer::state(Instant now, NodeState state) {
  Actions out;
  now_ = std::max(now_, now);
  state_ = state;
  records_.put(Kind::node, "", encode_node_state(state, options_.file_version));
  return out;
}

Actions Peer::leave(Instant now) {
  Actions out;
  if (!started_) return out;
  now_ = std::max(now_, now);
  counts_.write(now_);
  records_.put(Kind::epoch_ended, "", replica::number_key(counts_.figures().epoch));
  state_ = NodeState::left;
  records_.put(Kind::node, "", encode_node_state(state_, options_.file_version));
  collect(records_.final_updates(now_, reachable()), out);
  collect(members_.leave(), out);
  started_ = false;
  return out;
}

void Peer::set_seeds(std::vector<std::string> seeds) {
  options_.seeds = seeds;
  members_.set_seeds(std::move(seeds));
}

Actions Peer::listed(Instant now, bool complete, std::uint64_t revision,
                     const std::vector<replica::ServerPhases::Entry>& entries) {
  Actions out;
  now_ = std::max(now_, now);
  if (complete) server_starts_.clear();
  for (const auto& e : entries) {
    if (e.phase == replica::ServerPhase::gone) server_starts_.erase(e.id);
    else server_starts_[e.id] = e.start;
  }
  if (!options_.drains) return out;
  bool changed = false;
  collect(words_.listed(now_, complete, revision, entries, changed), out);
  if (changed) records_.send_soon();
  return out;
}

void Peer::record_attempt(Instant now, std::uint32_t server, bool good) {
  now_ = std::max(now_, now);
  if (!options_.beliefs) return;
  if (const auto it = server_starts_.find(server); it != server_starts_.end())
    beliefs_.record_attempt(now_, {server, it->second}, good);
}

Actions Peer::add(Instant now, snowknot::CountName name, double amount, snowknot::Duration lifetime) {
  Actions out;
  now_ = std::max(now_, now);
  collect(counts_.add(now_, name, amount, lifetime), out);
  return out;
}

Actions Peer::store_answered(Instant now, const snowknot::CountAnswer& answer) {
  Actions out;
  now_ = std::max(now_, now);
  collect(counts_.answered(now_, answer), out);
  return out;
}

Actions Peer::store_lost(Instant now, const snowknot::CountsLost& lost) {
  Actions out;
  now_ = std::max(now_, now);
  collect(counts_.lost(now_, lost), out);
  return out;
}

// ---- Status for operators ---------------------------------------------------------------------------------

nlohmann::json Peer::fleet(Instant now) const {
  using nlohmann::json;
  const auto ms = [](Instant t) { return t.count() / 1'000'000; };
  json members = json::array();
  const auto entry = [&](const members::Incarnation& incarnation, std::uint32_t refutations,
                         const char* state, Instant since) {
    const auto* r = records_.find({incarnation.name, incarnation.number}, Kind::node, "");
    return json{{"name", incarnation.name},
                {"state", state},
                {"start", incarnation.start},
                {"life", hex(incarnation.number)},
                {"refutes", refutations},
                {"zone", incarnation.zone},
                {"address", incarnation.address},
                {"age_ms", ms(now - since)},
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
  return {{"self", entry(members_.self(), members_.refutations(), "alive", started_at_)},
          {"cluster", options_.cluster},
          {"fleet_size", options_.fleet_size},
          {"caught_up", caught_up_},
          {"stage", {{"name", recovery::name_of(stages_.stage())}, {"waits_for", stages_.waits_for()}, {"age_ms", ms(now - stages_.since())},
                     {"disk", !options_.disk ? "none" : disk_failed_ ? "refuses" : "good"}, {"durable", options_.disk && durable_batch_ == last_batch_ && !has_for_disk()}, {"waiting", count_writes_.size()}, {"raise", raise({})}}},
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
            {"met", b.met}, {"believed", published_beliefs_}}},
          {"records",
           {{"origins", r.origins}, {"records", r.records}, {"pages", r.pages_taken}, {"late", r.pages_late}, {"gaps", r.gaps},
            {"dropped", r.dropped}, {"held_back", r.held_back}}},
          {"datagrams",
           {{"in", figures_.datagrams_in}, {"out", figures_.datagrams_out}, {"bytes_in", figures_.bytes_in},
            {"bytes_out", figures_.bytes_out}, {"forged", figures_.forged}, {"unreadable", figures_.unreadable},
            {"strangers", figures_.strangers}, {"replays", figures_.replays}, {"too_long", figures_.too_long}}}};
}

}  // namespace docklift::peers
