#include "control_fleet.hpp"

#include <algorithm>

namespace docklift::test {

using namespace std::chrono_literals;

namespace {

constexpr Duration kTick = 50ms;
constexpr Duration kLinkWatch = 100ms;
constexpr Duration kLastWords = 100ms;      // of a member that leaves
constexpr Duration kLongestWait = 3s;       // of a message in a connection that is cut
constexpr Duration kRetransmit = 200ms;     // in such a connection
constexpr std::size_t kWritesWaiting = 64;  // then a store takes nothing in
constexpr std::size_t kSeeds = 3;

std::string shown(const agreement::Ballot& ballot) {
  return std::to_string(ballot.round) + "/" + ballot.address;
}

std::string shown(const agreement::Envelope& envelope) {
  struct Words {
    std::string operator()(const agreement::Prepare& m) const {
      return "prepare " + std::to_string(m.slot) + " " + shown(m.ballot);
    }
    std::string operator()(const agreement::Promise& m) const {
      return "promise " + std::to_string(m.slot) + " " + shown(m.ballot) + " promised " + shown(m.promised);
    }
    std::string operator()(const agreement::Accept& m) const {
      return "accept " + std::to_string(m.slot) + " " + shown(m.ballot);
    }
    std::string operator()(const agreement::Accepted& m) const {
      return "accepted " + std::to_string(m.slot) + " " + shown(m.ballot) + " promised " + shown(m.promised);
    }
    std::string operator()(const agreement::LogEntry& m) const { return "entry " + std::to_string(m.slot); }
    std::string operator()(const agreement::StatusRequest& m) const {
      return "status request " + std::to_string(m.round);
    }
    std::string operator()(const agreement::Status& m) const {
      return "status " + std::to_string(m.round) + " position " + std::to_string(m.position) + " accepted " +
             std::to_string(m.accepted.size());
    }
    std::string operator()(const agreement::Fetch& m) const {
      return "fetch after " + std::to_string(m.after);
    }
    std::string operator()(const agreement::Log& m) const {
      return "log of " + std::to_string(m.entries.size());
    }
  };
  return std::visit(Words{}, envelope.message) + " [membership " +
         std::to_string(envelope.sender.membership) + "]";
}

}  // namespace

// ---- disk ----------------------------------------------------------------------------------------

SimulatedDisk::SimulatedDisk(DiskKind kind) : kind_(kind) {
  if (kind != DiskKind::records) files_ = std::make_unique<StoreFiles>(kind == DiskKind::files);
}

void SimulatedDisk::submit(agreement::Write write, bool wants_completion) {
  submitted_.push_back({std::move(write), wants_completion});
}

bool SimulatedDisk::complete_first() {
  auto first = std::move(submitted_.front());
  submitted_.pop_front();
  if (files_) {
    files_->write(first.write);
    return first.wants_completion;
  }
  const bool durable = first.write.durable;
  written_.push_back(std::move(first.write));
  if (durable) {
    for (const auto& write : written_) apply(write);
    written_.clear();
  }
  return first.wants_completion;
}

std::size_t SimulatedDisk::draw_handed_over(std::mt19937_64& random) const {
  return random() % (submitted_.size() + 1);
}

void SimulatedDisk::hand_over(std::size_t count) {
  for (; count > 0; --count) complete_first();
  submitted_.clear();
}

void SimulatedDisk::kill(std::mt19937_64& random) {
  hand_over(draw_handed_over(random));
  if (files_) files_->close();
}

void SimulatedDisk::lose_power(std::mt19937_64& random) {
  const auto handed_over = draw_handed_over(random);
  if (files_) files_->lose_power_within(handed_over, random);
  hand_over(handed_over);
  if (files_) return files_->lose_power(random);
  const auto kept = random() % (written_.size() + 1);
  for (std::size_t i = 0; i < kept; ++i) apply(written_[i]);
  written_.clear();
}

void SimulatedDisk::wipe() { *this = SimulatedDisk(kind_); }

Result<agreement::DurableState> SimulatedDisk::open(std::mt19937_64& random) {
  if (files_) return files_->open(random);
  for (const auto& write : written_) apply(write);
  written_.clear();
  auto kept = kept_;
  kept.accepted.assign(accepted_.begin(), accepted_.end());
  for (const auto& [slot, entry] : log_) kept.log.push_back(entry);
  return kept;
}

void SimulatedDisk::apply(const agreement::Write& write) {
  if (write.disk) kept_.disk = *write.disk;
  kept_.zones.insert(kept_.zones.end(), write.zones.begin(), write.zones.end());
  kept_.destroyed.insert(kept_.destroyed.end(), write.destroyed.begin(), write.destroyed.end());
  if (write.state) {
    kept_.state = *write.state;
    kept_.has_state = true;
  }
  if (write.promised) kept_.promised = *write.promised;
  std::erase_if(accepted_, [&](const auto& entry) { return entry.first <= write.trim_accepted_through; });
  std::erase_if(log_, [&](const auto& entry) { return entry.first <= write.trim_log_through; });
  for (const auto& [slot, change] : write.accepted) accepted_[slot] = change;
  for (const auto& entry : write.log) log_[entry.slot] = entry;
}

// ---- time ----------------------------------------------------------------------------------------

ControlFleet::ControlFleet(FleetOptions options) : options_(std::move(options)), random_(options_.seed) {
  for (const auto& zone : options_.zones) add(zone);
  for (auto& member : members_) {
    member.seeds.clear();
    for (MemberIndex i = 0; i < std::min(kSeeds, members_.size()); ++i)
      member.seeds.push_back(members_[i].address);
  }
  for (MemberIndex i = 0; i < members_.size(); ++i)
    later(drawn(0ms, 300ms), [this, i] {
      if (!is_up(i)) boot(i, true);
    });
  watch_links();
}

void ControlFleet::later(Duration delay, std::function<void()> action) {
  events_.push({now_ + delay, ++event_order_, std::move(action)});
}

void ControlFleet::run(Duration span) {
  const Time until = now_ + span;
  while (!events_.empty() && events_.top().at <= until) {
    const auto event = events_.top();
    events_.pop();
    now_ = event.at;
    event.action();
  }
  now_ = until;
}

bool ControlFleet::run_until(const std::function<bool()>& done, Duration limit) {
  const Time until = now_ + limit;
  while (!done()) {
    if (now_ >= until) return false;
    run(5ms);
  }
  return true;
}

Duration ControlFleet::drawn(Duration least, Duration most) {
  const auto span = static_cast<std::uint64_t>((most - least).count() + 1);
  return least + Duration(static_cast<Duration::rep>(random_() % span));
}

void ControlFleet::trace(const std::string& line) const {
  if (!on_trace) return;
  const auto since_start = std::chrono::duration_cast<std::chrono::milliseconds>(now_ - Time{1h}).count();
  on_trace(std::to_string(since_start) + " ms: " + line);
}

// ---- members -------------------------------------------------------------------------------------

std::optional<MemberIndex> ControlFleet::index_of(const std::string& address) const {
  for (MemberIndex i = 0; i < members_.size(); ++i)
    if (members_[i].address == address) return i;
  return std::nullopt;
}

void ControlFleet::at_member(MemberIndex index, std::uint64_t incarnation, std::function<void()> input) {
  auto& member = members_[index];
  if (!member.replica || member.incarnation != incarnation) return;
  if (member.frozen) {
    member.held.push_back(std::move(input));
  } else {
    input();
  }
}

void ControlFleet::end(MemberIndex index) {
  auto& member = members_[index];
  member.replica.reset();
  ++member.incarnation;
  member.frozen = false;
  member.leaving = false;
  member.held.clear();
  member.writes_out = 0;
  member.releases.clear();
  member.known.clear();
  for (MemberIndex other = 0; other < members_.size(); ++other) {
    set_link(index, other, false);
    set_link(other, index, false);
  }
}

void ControlFleet::kill(MemberIndex index) {
  trace("kill " + members_[index].address);
  end(index);
  members_[index].disk.kill(random_);
}

void ControlFleet::lose_power(MemberIndex index) {
  trace("power loss " + members_[index].address);
  end(index);
  members_[index].disk.lose_power(random_);
}

void ControlFleet::lose_disk(MemberIndex index) {
  trace("disk loss " + members_[index].address);
  end(index);
  members_[index].disk.wipe();
}

void ControlFleet::start(MemberIndex index) {
  auto& member = members_[index];
  if (member.replica || member.removed) return;
  trace("start " + member.address);
  member.seeds.clear();
  std::vector<MemberIndex> others;
  for (MemberIndex i = 0; i < members_.size(); ++i)
    if (!members_[i].removed) others.push_back(i);
  std::ranges::shuffle(others, random_);
  for (std::size_t i = 0; i < std::min(kSeeds, others.size()); ++i)
    member.seeds.push_back(members_[others[i]].address);
  boot(index, false);
}

void ControlFleet::boot(MemberIndex index, bool bootstrap) {
  auto& member = members_[index];
  agreement::Options options;
  options.self = member.address;
  options.zone = member.zone;
  options.bootstrap = bootstrap;
  options.seeds = member.seeds;
  options.tolerated_failures = options_.tolerated;
  options.random_seed = random_();
  options.new_disk = std::max<std::uint64_t>(random_(), configuration::kBootstrapDisk + 1);
  if (on_options) on_options(index, options);
  auto kept = read_disk(index);
  if (on_read_disk) on_read_disk(index, kept);
  ++member.incarnation;
  member.disk_busy = false;
  member.known.clear();
  for (const auto& seed : member.seeds) member.known.insert(seed);
  member.replica = std::make_unique<agreement::Replica>(options, std::move(kept));
  carry_out(index, member.replica->start(now_));
  tick(index, member.incarnation);
}

// A disk that lacks something counts as lost, as the store takes it; no play asks for that.
agreement::DurableState ControlFleet::read_disk(MemberIndex index) {
  auto& member = members_[index];
  auto kept = member.disk.open(random_);
  if (!failed(kept)) return std::move(value(kept));
  contradictions_.push_back("the disk of " + member.address + " is damaged: " + failure(kept).to_string());
  trace(contradictions_.back());
  member.disk.wipe();
  kept = member.disk.open(random_);
  return std::move(value(kept));
}

void ControlFleet::tick(MemberIndex index, std::uint64_t incarnation) {
  later(kTick, [this, index, incarnation] {
    at_member(index, incarnation, [this, index, incarnation] {
      auto& member = members_[index];
      if (member.disk.waiting() <= kWritesWaiting) carry_out(index, member.replica->tick(now_));
      tick(index, incarnation);
    });
  });
}

void ControlFleet::freeze(MemberIndex index) {
  if (!is_up(index)) return;
  trace("freeze " + members_[index].address);
  members_[index].frozen = true;
}

void ControlFleet::thaw(MemberIndex index) {
  auto& member = members_[index];
  if (!member.frozen) return;
  trace("thaw " + member.address);
  member.frozen = false;
  const auto incarnation = member.incarnation;
  for (auto& input : std::exchange(member.held, {})) at_member(index, incarnation, std::move(input));
}

MemberIndex ControlFleet::add(const std::string& zone) {
  const MemberIndex index = members_.size();
  Member member;
  member.address = "10.0.0." + std::to_string(index + 1);
  member.zone = zone;
  member.sync_time = options_.sync_time;
  member.disk = SimulatedDisk(options_.disks);
  members_.push_back(std::move(member));
  return index;
}

void ControlFleet::remove(MemberIndex index) {
  trace("removed for good: " + members_[index].address);
  if (is_up(index)) end(index);
  members_[index].disk.wipe();
  members_[index].removed = true;
}

void ControlFleet::leave(MemberIndex index) {
  auto& member = members_[index];
  if (!member.replica || member.leaving) return;
  trace("leave " + member.address);
  member.leaving = true;
  watch_leave(index, member.incarnation);
}

void ControlFleet::watch_leave(MemberIndex index, std::uint64_t incarnation) {
  at_member(index, incarnation, [this, index, incarnation] {
    carry_out(index, members_[index].replica->leave(now_));
    const bool ends = members_[index].replica->may_stop(now_);
    later(ends ? kLastWords : kTick, [this, index, incarnation, ends] {
      if (!members_[index].replica || members_[index].incarnation != incarnation) return;
      if (ends) return at_member(index, incarnation, [this, index] { remove(index); });
      watch_leave(index, incarnation);
    });
  });
}

// ---- steps of a member ---------------------------------------------------------------------------

bool ControlFleet::propose(MemberIndex at, configuration::ChangeKind kind, const std::string& text,
                           Settle settle) {
  auto& member = members_[at];
  if (!member.replica) return false;
  if (on_proposal) on_proposal(at, kind, text);
  const auto id = ++next_call_;
  calls_[id] = std::move(settle);
  at_member(at, member.incarnation, [this, at, id, kind, text] {
    carry_out(at, members_[at].replica->propose(now_, id, kind, text));
  });
  return true;
}

void ControlFleet::note_log(MemberIndex index, const agreement::Actions& out) {
  for (const auto& entry : out.chosen) {
    const auto [known, is_first] = log_.try_emplace(entry.slot, entry.change);
    if (is_first)
      trace(members_[index].address + " decides place " + std::to_string(entry.slot) + " kind " +
            std::to_string(static_cast<int>(entry.change.kind)) + " by " + entry.change.author +
            (entry.change.kind == configuration::ChangeKind::membership ? " " + entry.change.text : ""));
    if (is_first || (known->second.kind == entry.change.kind && known->second.text == entry.change.text))
      continue;
    contradictions_.push_back("place " + std::to_string(entry.slot) + " holds two changes");
    trace("CONTRADICTION at place " + std::to_string(entry.slot) + " told by " + members_[index].address);
  }
}

void ControlFleet::carry_out(MemberIndex index, agreement::Actions out) {
  auto& member = members_[index];
  note_log(index, out);
  for (const auto& note : out.log_lines) trace(member.address + ": " + note);
  for (const auto& now_sent : std::exchange(out.immediate_sends, {})) send(index, now_sent);
  for (const auto& voter : member.replica->state().voters) member.known.insert(voter.address);
  const bool waits = out.write.durable || member.writes_out > 0;
  if (out.write.empty() && !waits) return release(index, std::move(out));
  auto write = std::exchange(out.write, {});
  if (on_write) on_write(index, write);
  member.disk.submit(std::move(write), waits);
  if (!waits) {
    work_disk(index);
    return release(index, std::move(out));
  }
  ++member.writes_out;
  member.releases.push_back(std::move(out));
  work_disk(index);
}

// One write at a time; the disk goes on while the process is frozen.
void ControlFleet::work_disk(MemberIndex index) {
  auto& member = members_[index];
  if (member.disk_busy || member.disk.waiting() == 0) return;
  member.disk_busy = true;
  const Duration takes = member.disk.first().write.durable ? member.sync_time : Duration(20us);
  const Duration stalled = std::max(Duration::zero(), member.disk_stalled_until - now_);
  const auto incarnation = member.incarnation;
  later(takes + stalled, [this, index, incarnation] {
    auto& at = members_[index];
    if (!at.replica || at.incarnation != incarnation) return;
    at.disk_busy = false;
    if (at.disk.complete_first())
      at_member(index, incarnation, [this, index] {
        auto& done = members_[index];
        --done.writes_out;
        auto out = std::move(done.releases.front());
        done.releases.pop_front();
        release(index, std::move(out));
      });
    if (members_[index].incarnation == incarnation) work_disk(index);
  });
}

void ControlFleet::release(MemberIndex index, agreement::Actions out) {
  const auto incarnation = members_[index].incarnation;
  for (const auto& settled : out.completions) {
    const auto call = calls_.extract(settled.id);
    if (call) call.mapped()(settled.status, members_[index].replica->state());
    if (members_[index].incarnation != incarnation) return;  // the answer brought a fault about
  }
  for (const auto& later_sent : out.sends) send(index, later_sent);
  for (const auto& need : out.snapshot_requests) send_snapshot(index, need);
}

// ---- network -------------------------------------------------------------------------------------

void ControlFleet::send(MemberIndex from, const agreement::Send& message) {
  const auto to = index_of(message.to);
  if (!to) return;
  const auto incarnation = members_[from].incarnation;
  Packet packet{from, *to, message.envelope};
  if (options_.trace_messages)
    trace(members_[from].address + " -> " + message.to + " " + shown(message.envelope));
  if (on_packet) on_packet(packet);
  if (packet.drop) return;
  if (packet.from == packet.to) return transmit(packet, incarnation, 1us, now_);
  transmit_to_peer(packet, incarnation);
}

// Whole; how it goes in parts is transfer_test's.
void ControlFleet::send_snapshot(MemberIndex from, const agreement::SnapshotRequest& need) {
  const auto to = index_of(need.to);
  if (!to || *to == from) return;
  Packet packet;
  packet.from = from;
  packet.to = *to;
  packet.snapshot = transfer::encode(members_[from].replica->state());
  transmit_to_peer(packet, members_[from].incarnation);
}

void ControlFleet::transmit_to_peer(const Packet& packet, std::uint64_t incarnation) {
  if (!links_[{packet.from, packet.to}].up || chance(options_.loss)) return;
  const int copies = chance(options_.duplicate) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const bool late = chance(options_.duplicate);
    const auto delay = drawn(options_.least_delay, options_.most_delay) + (late ? drawn(0ms, 400ms) : 0ms);
    transmit(packet, incarnation, delay, now_ + kLongestWait);
  }
}

void ControlFleet::transmit(const Packet& packet, std::uint64_t from_incarnation, Duration delay,
                            Time waits_until) {
  later(delay, [this, packet, from_incarnation, waits_until] {
    const bool own = packet.from == packet.to;
    if (own && members_[packet.to].incarnation != from_incarnation) return;
    if (!own && !reaches(packet.from, packet.to)) {
      if (now_ < waits_until) transmit(packet, from_incarnation, kRetransmit, waits_until);
      return;
    }
    const auto incarnation = members_[packet.to].incarnation;
    at_member(packet.to, incarnation, [this, packet] {
      auto& member = members_[packet.to];
      if (packet.from != packet.to && member.disk.waiting() > kWritesWaiting) return;
      // Through the encoding, as on the wire.
      if (packet.snapshot) {
        const auto state = transfer::decode(packet.snapshot->bytes);
        if (!state) return contradictions_.push_back("a snapshot can't be read");
        return carry_out(packet.to, member.replica->receive_snapshot(now_, *state));
      }
      const auto envelope = agreement::decode(agreement::encode(packet.envelope));
      if (!envelope) return contradictions_.push_back("a message can't be read");
      carry_out(packet.to, member.replica->receive(now_, members_[packet.from].address, *envelope));
    });
  });
}

void ControlFleet::cut(MemberIndex from, MemberIndex to) {
  if (from == to) return;
  trace("cut " + members_[from].address + " -> " + members_[to].address);
  cuts_.insert({from, to});
}

void ControlFleet::cut_off(MemberIndex member) {
  for (MemberIndex other = 0; other < members_.size(); ++other) {
    cut(member, other);
    cut(other, member);
  }
}

void ControlFleet::join(MemberIndex member) {
  trace("join " + members_[member].address);
  std::erase_if(cuts_, [&](const auto& pair) { return pair.first == member || pair.second == member; });
}

void ControlFleet::join_all() {
  trace("join all");
  cuts_.clear();
}

bool ControlFleet::is_cut(MemberIndex member) const {
  return std::ranges::any_of(cuts_,
                             [&](const auto& pair) { return pair.first == member || pair.second == member; });
}

void ControlFleet::reset_link(MemberIndex from, MemberIndex to) {
  trace("reset " + members_[from].address + " -> " + members_[to].address);
  set_link(from, to, false);
}

void ControlFleet::stall_disk(MemberIndex member, Duration span) {
  trace("disk stalls " + members_[member].address);
  members_[member].disk_stalled_until = now_ + span;
}

void ControlFleet::slow_disk(MemberIndex member, Duration sync_time) {
  members_[member].sync_time = sync_time;
}

void ControlFleet::watch_links() {
  update_links();
  later(kLinkWatch, [this] { watch_links(); });
}

// A connection is made soon after both ends can be reached; it ends at once with its process and some time
// after a cut.
void ControlFleet::update_links() {
  for (MemberIndex from = 0; from < members_.size(); ++from)
    for (MemberIndex to = 0; to < members_.size(); ++to) {
      if (from == to) continue;
      auto& link = links_[{from, to}];
      if (link.changing) continue;
      const auto& dialer = members_[from];
      const auto& listener = members_[to];
      const bool in_reach = reaches(from, to) && reaches(to, from);
      const bool can_dial = dialer.replica && !dialer.frozen && dialer.known.contains(listener.address) &&
                            listener.replica && !listener.frozen;
      if (!link.up && can_dial && in_reach) {
        change_link(from, to, true, drawn(1ms, 300ms));
      } else if (link.up && !in_reach) {
        change_link(from, to, false, drawn(500ms, 3s));
      }
    }
}

void ControlFleet::change_link(MemberIndex from, MemberIndex to, bool up, Duration delay) {
  links_[{from, to}].changing = true;
  const auto from_incarnation = members_[from].incarnation;
  const auto to_incarnation = members_[to].incarnation;
  later(delay, [this, from, to, up, from_incarnation, to_incarnation] {
    links_[{from, to}].changing = false;
    if (members_[from].incarnation != from_incarnation || members_[to].incarnation != to_incarnation) return;
    const bool in_reach = reaches(from, to) && reaches(to, from);
    if (up == in_reach && (!up || (is_up(from) && is_up(to)))) set_link(from, to, up);
  });
}

void ControlFleet::set_link(MemberIndex from, MemberIndex to, bool up) {
  auto& link = links_[{from, to}];
  if (link.up == up) return;
  link.up = up;
  const auto tell = [this](MemberIndex at, MemberIndex of, bool linked) {
    at_member(at, members_[at].incarnation, [this, at, of, linked] {
      auto& replica = *members_[at].replica;
      if (linked) {
        replica.on_link_up(members_[of].address, members_[of].zone);
      } else {
        replica.on_link_down(members_[of].address);
      }
    });
  };
  if (up) members_[to].known.insert(members_[from].address);
  // A member knows the zone of another from the greeting on the link from there.
  const bool both = links_[{from, to}].up && links_[{to, from}].up;
  if (up && both) {
    tell(from, to, true);
    tell(to, from, true);
  }
  if (!up && is_up(from)) tell(from, to, false);
}

std::string configuration_body(std::uint64_t version, std::uint64_t parent, const std::string& service) {
  return R"({"gen":")" + configuration::format_version(version) + R"(","parent":")" +
         configuration::format_version(parent) +
         R"(","limits":{"hdr_bytes":16384},"accts":[{"name":"t1","apikeys":["k1"],"per_s":10,"burst":10}],)"
         R"("listeners":[{"vhost":"h.example","policy":[{"name":"r1","kind":"idempotent",)"
         R"("target_ms":500,"match":{"pfx":"/a/"},"action":{"svc":")" +
         service + R"(","tmo_ms":1000,"tries":2}}]}],"clusters":[{"name":")" + service +
         R"(","hc_path":"/healthz","max_conns":100,"warmup_s":3.0,"cold_per_s":5}]})";
}

}  // namespace docklift::test
