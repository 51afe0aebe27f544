// Simulated stores for tests: virtual time, links that delay, lose and are cut, disks that lose power or are
// lost. Tests compare the results of operations with what is in force. Deterministic by seed; nothing sleeps.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "system/agreement/replica.hpp"
#include "system/transfer/snapshot.hpp"

namespace docklift::test {

using namespace std::chrono_literals;
using agreement::LogEntry;
using agreement::Replica;
using configuration::ChangeKind;

inline std::string config_body(std::uint64_t version, std::uint64_t parent,
                               const std::string& service = "alpha") {
  return R"({"gen":")" + configuration::format_version(version) + R"(","parent":")" +
         configuration::format_version(parent) +
         R"(","limits":{"hdr_bytes":16384},"accts":[{"name":"t1","apikeys":["k1"],"per_s":10,)"
         R"("burst":10}],"listeners":[{"vhost":"h.example","policy":[{"name":"r1",)"
         R"("kind":"idempotent","target_ms":500,"match":{"pfx":"/a/"},"action":{"svc":")" +
         service + R"(","tmo_ms":1000,"tries":2}}]}],"clusters":[{"name":")" + service +
         R"(","hc_path":"/healthz","max_conns":100,"warmup_s":3.0,"cold_per_s":5}]})";
}

// The text of an evacuate or readmit command, as made by a registry that knows the changes up to `base`.
inline std::string zone_command(const std::string& zone, std::uint64_t base) {
  return configuration::encode(configuration::EvacuationCommand{zone, base});
}

// A store's disk: its durable contents, and the writes since the last sync.
class MemoryDisk {
 public:
  void write(const agreement::Write& w) {
    pending_.push_back(w);
    if (w.durable && !ignores_syncs_) sync();
  }
  void sync() {
    for (const auto& w : pending_) apply(w);
    pending_.clear();
  }
  // A random prefix of the pending writes survives, as in one log file.
  void lose_power(std::mt19937_64& random) {
    const std::size_t surviving = pending_.empty() ? 0 : random() % (pending_.size() + 1);
    for (std::size_t i = 0; i < surviving; ++i) apply(pending_[i]);
    pending_.clear();
  }
  void kill() { sync(); }  // a killed process loses none of its writes
  void wipe() { durable_ = {}, accepted_.clear(), log_.clear(), pending_.clear(); }
  void ignore_syncs() { ignores_syncs_ = true; }  // injected fault: syncs do nothing
  agreement::DurableState read() const {
    auto state = durable_;
    state.accepted.assign(accepted_.begin(), accepted_.end());
    for (const auto& [slot, entry] : log_) state.log.push_back(entry);
    return state;
  }

 private:
  void apply(const agreement::Write& w) {
    if (w.disk) durable_.disk = *w.disk;
    durable_.zones.insert(durable_.zones.end(), w.zones.begin(), w.zones.end());
    durable_.destroyed.insert(durable_.destroyed.end(), w.destroyed.begin(), w.destroyed.end());
    if (w.state) durable_.state = *w.state, durable_.has_state = true;
    if (w.promised) durable_.promised = *w.promised;
    std::erase_if(accepted_, [&](const auto& a) { return a.first <= w.trim_accepted_through; });
    std::erase_if(log_, [&](const auto& a) { return a.first <= w.trim_log_through; });
    for (const auto& [slot, a] : w.accepted) accepted_[slot] = a;
    for (const auto& c : w.log) log_[c.slot] = c;
  }
  agreement::DurableState durable_;
  std::map<std::uint64_t, agreement::AcceptedChange> accepted_;
  std::map<std::uint64_t, LogEntry> log_;
  std::vector<agreement::Write> pending_;
  bool ignores_syncs_ = false;
};

// The stores of a core, connected by simulated links.
class CoreFleet {
 public:
  struct Member {
    std::string ip, zone;
    MemoryDisk disk;
    std::unique_ptr<Replica> replica;  // null: down
    std::uint64_t incarnation = 0;
    std::vector<std::string> lost_voters{};  // declared by the operators at its next start
  };
  // The result of a call.
  struct Answer {
    int status = 0;  // 0: pending
    std::string why;
  };

  // `zones` are those of the members, in order; their addresses are 10.0.0.1, 10.0.0.2, ...
  CoreFleet(std::vector<std::string> zones, std::uint64_t seed, std::size_t machines_lost_at_once = 1)
      : random(seed), tolerated_failures(machines_lost_at_once) {
    for (std::size_t i = 0; i < zones.size(); ++i)
      members.push_back({"10.0.0." + std::to_string(i + 1), zones[i], {}, nullptr, 0});
    for (auto& m : members) boot(m, true);
  }

  void run(Duration for_time) {
    const Time until = now + for_time;
    while (!events_.empty() && events_.top().at <= until) {
      auto e = events_.top();
      events_.pop();
      now = e.at;
      e.action();
    }
    now = until;
  }
  bool run_until(const std::function<bool()>& done, Duration limit = 20s) {
    const Time until = now + limit;
    while (!done()) {
      if (now >= until) return false;
      run(5ms);
    }
    return true;
  }

  std::uint64_t propose(std::size_t at, ChangeKind kind, const std::string& text) {
    const auto id = ++last_call_;
    answers[id] = {};
    if (members[at].replica) execute(members[at], members[at].replica->propose(now, id, kind, text));
    return id;
  }
  // Waits for a call to complete and returns its status, or 0 on a timeout.
  int wait_for_status(std::uint64_t id, Duration limit = 20s) {
    run_until([&] { return answers[id].status != 0; }, limit);
    return answers[id].status;
  }
  // Replaces the configuration at one store and returns the status.
  int put(std::size_t at, std::uint64_t version, std::uint64_t parent, const std::string& service = "alpha") {
    return wait_for_status(propose(at, ChangeKind::replace, config_body(version, parent, service)));
  }

  // Adds a machine with an empty disk at a new address.
  std::size_t add(const std::string& zone) {
    members.push_back({"10.0.0." + std::to_string(members.size() + 1), zone, {}, nullptr, 0});
    boot(members.back(), false);
    return members.size() - 1;
  }
  void leave(std::size_t i) { execute(members[i], members[i].replica->leave(now)); }
  bool votes(std::size_t i) const { return members[i].replica && members[i].replica->votes(); }
  void kill(std::size_t i) { end(i), members[i].disk.kill(); }
  void lose_power(std::size_t i) { end(i), members[i].disk.lose_power(random); }
  void lose_disk(std::size_t i) { end(i), members[i].disk.wipe(); }
  void start(std::size_t i) { boot(members[i], false); }
  void cut_link(std::size_t a, std::size_t b) {
    cut_links_.insert({std::min(a, b), std::max(a, b)}), update_links();
  }
  void heal() { cut_links_.clear(), update_links(); }

  const configuration::State& state(std::size_t i) const { return members[i].replica->state(); }
  bool is_up(std::size_t i) const { return members[i].replica != nullptr; }

  std::deque<Member> members;
  std::mt19937_64 random;
  std::size_t tolerated_failures = 1;  // machines that may be lost at once
  Time now{1h};
  double loss = 0;  // fraction of messages lost
  Duration min_delay = 1ms, max_delay = 3ms;
  std::map<std::size_t, Duration> extra_delay;  // added to each message to and from a member
  std::map<std::uint64_t, Answer> answers;
  // The change in force in each slot, as reported by any store.
  std::map<std::uint64_t, std::string> history;
  // Slots at which two stores differ, and messages that can't be read.
  std::vector<std::string> violations;

 private:
  struct Event {
    Time at{};
    std::uint64_t sequence = 0;
    std::function<void()> action;
    bool operator<(const Event& o) const { return at != o.at ? at > o.at : sequence > o.sequence; }
  };
  void schedule(Duration d, std::function<void()> action) {
    events_.push({now + d, ++last_sequence_, std::move(action)});
  }

  std::size_t index(const std::string& ip) const {
    for (std::size_t i = 0; i < members.size(); ++i)
      if (members[i].ip == ip) return i;
    return members.size();
  }
  bool reaches(std::size_t a, std::size_t b) const {
    return !cut_links_.contains({std::min(a, b), std::max(a, b)});
  }

  void end(std::size_t i) {
    members[i].replica.reset();
    ++members[i].incarnation;
    update_links();
  }

  void boot(Member& m, bool bootstrap) {
    agreement::Options o;
    o.self = m.ip, o.zone = m.zone, o.bootstrap = bootstrap, o.random_seed = random();
    o.new_disk = 100 + ++last_disk_;
    o.tolerated_failures = tolerated_failures;
    o.lost_voters = m.lost_voters;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, members.size()); ++i)
      o.seeds.push_back(members[i].ip);
    m.replica = std::make_unique<Replica>(o, m.disk.read());
    execute(m, m.replica->start(now));
    update_links();
    tick(m, m.incarnation);
  }
  void update_links() {
    for (std::size_t a = 0; a < members.size(); ++a)
      for (std::size_t b = 0; b < members.size(); ++b) {
        if (a == b || !members[a].replica) continue;
        if (members[b].replica && reaches(a, b)) {
          members[a].replica->on_link_up(members[b].ip, members[b].zone);
        } else {
          members[a].replica->on_link_down(members[b].ip);
        }
      }
  }
  void tick(Member& m, std::uint64_t incarnation) {
    const auto i = index(m.ip);
    schedule(50ms, [this, i, incarnation] {
      auto& at = members[i];
      if (!at.replica || at.incarnation != incarnation) return;
      execute(at, at.replica->tick(now));
      tick(at, incarnation);
    });
  }
  void execute(Member& m, agreement::Actions actions) {
    if (!actions.write.empty()) m.disk.write(actions.write);
    actions.sends.insert(actions.sends.begin(), actions.immediate_sends.begin(),
                         actions.immediate_sends.end());
    for (const auto& c : actions.chosen) {
      const auto text = std::to_string(static_cast<int>(c.change.kind)) + c.change.text;
      const auto [it, inserted] = history.try_emplace(c.slot, text);
      if (!inserted && it->second != text)
        violations.push_back("slot " + std::to_string(c.slot) + " holds two changes");
    }
    for (const auto& s : actions.completions) answers[s.id] = {s.status, s.why};
    const auto from = index(m.ip);
    const auto incarnation = m.incarnation;
    for (const auto& need : actions.snapshot_requests)
      send_snapshot(from, index(need.to), m.replica->state());
    for (auto& s : actions.sends) {
      const auto to = index(s.to);
      if (to >= members.size()) continue;
      const bool own = to == from;
      if (!own && is_lost(from, to)) continue;
      const Duration d = delay(from, to);
      // Encoded and decoded as on the wire.
      schedule(d, [this, to, from, incarnation, own, bytes = agreement::encode(s.envelope)] {
        if (!members[to].replica || (own && members[to].incarnation != incarnation) || !reaches(from, to))
          return;
        const auto envelope = agreement::decode(bytes);
        if (!envelope) return violations.push_back("a message can't be read");
        execute(members[to], members[to].replica->receive(now, members[from].ip, *envelope));
      });
    }
  }

  bool is_lost(std::size_t from, std::size_t to) {
    return !reaches(from, to) || static_cast<double>(random() % 10000) < loss * 10000;
  }
  Duration delay(std::size_t from, std::size_t to) {
    const bool own = to == from;
    const auto spread = static_cast<std::uint64_t>((max_delay - min_delay).count() + 1);
    Duration d = own ? Duration(1us) : min_delay + Duration(static_cast<Duration::rep>(random() % spread));
    for (const auto end : {from, to})
      if (const auto more = extra_delay.find(end); !own && more != extra_delay.end()) d += more->second;
    return d;
  }
  // Sent in one message; transfer_test covers the transfer in chunks.
  void send_snapshot(std::size_t from, std::size_t to, const configuration::State& state) {
    if (to >= members.size() || is_lost(from, to)) return;
    schedule(delay(from, to), [this, to, from, snapshot = transfer::encode(state)] {
      if (!members[to].replica || !reaches(from, to)) return;
      const auto decoded = transfer::decode(snapshot->bytes);
      if (!decoded) return violations.push_back("a snapshot can't be read");
      execute(members[to], members[to].replica->receive_snapshot(now, *decoded));
    });
  }

  std::priority_queue<Event> events_;
  std::uint64_t last_sequence_ = 0, last_call_ = 0, last_disk_ = 0;
  std::set<std::pair<std::size_t, std::size_t>> cut_links_;
};

}  // namespace docklift::test
