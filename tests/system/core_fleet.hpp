// Stores in memory: virtual time, links that delay, lose and are cut, disks that lose power or are lost. What
// operators were told is held against what is in force. By seed; nothing here sleeps.
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

// An order as a registry makes it that knows of the changes up to `base`.
inline std::string zone_order(const std::string& zone, std::uint64_t base) {
  return configuration::encode(configuration::EvacuationCommand{zone, base});
}

// What a store has on its disk: what is durable, and what was written after.
class MemoryDisk {
 public:
  void write(const agreement::Write& w) {
    pending_.push_back(w);
    if (w.durable && !lies_) sync();
  }
  void sync() {
    for (const auto& w : pending_) apply(w);
    pending_.clear();
  }
  // Each later write is there or not, but none without those before it (one log file).
  void lose_power(std::mt19937_64& random) {
    const std::size_t kept = pending_.empty() ? 0 : random() % (pending_.size() + 1);
    for (std::size_t i = 0; i < kept; ++i) apply(pending_[i]);
    pending_.clear();
  }
  void kill() { sync(); }  // files are left as they were
  void wipe() { kept_ = {}, accepted_.clear(), log_.clear(), pending_.clear(); }
  void lie() { lies_ = true; }  // a planted fault: syncs do nothing
  agreement::Kept read() const {
    auto k = kept_;
    k.accepted.assign(accepted_.begin(), accepted_.end());
    for (const auto& [slot, c] : log_) k.log.push_back(c);
    return k;
  }

 private:
  void apply(const agreement::Write& w) {
    if (w.disk) kept_.disk = *w.disk;
    kept_.zones.insert(kept_.zones.end(), w.zones.begin(), w.zones.end());
    kept_.destroyed.insert(kept_.destroyed.end(), w.destroyed.begin(), w.destroyed.end());
    if (w.state) kept_.state = *w.state, kept_.any = true;
    if (w.promised) kept_.promised = *w.promised;
    std::erase_if(accepted_, [&](const auto& a) { return a.first <= w.forget_accepted; });
    std::erase_if(log_, [&](const auto& a) { return a.first <= w.forget_log; });
    for (const auto& [slot, a] : w.accepted) accepted_[slot] = a;
    for (const auto& c : w.log) log_[c.slot] = c;
  }
  agreement::Kept kept_;
  std::map<std::uint64_t, agreement::AcceptedChange> accepted_;
  std::map<std::uint64_t, LogEntry> log_;
  std::vector<agreement::Write> pending_;
  bool lies_ = false;
};

class CoreFleet {
 public:
  struct Member {
    std::string ip, zone;
    MemoryDisk disk;
    std::unique_ptr<Replica> replica;  // null: down
    std::uint64_t life = 0;
    std::vector<std::string> lost_voters{};  // as the operators say at its next start
  };
  struct Answer {
    int status = 0;  // 0: none yet
    std::string why;
  };

  // Zones of the members, in order; their ips are 10.0.0.1, 10.0.0.2, ...
  CoreFleet(std::vector<std::string> zones, std::uint64_t seed, std::size_t machines_lost_at_once = 1)
      : random(seed), tolerated(machines_lost_at_once) {
    for (std::size_t i = 0; i < zones.size(); ++i)
      members.push_back({"10.0.0." + std::to_string(i + 1), zones[i], {}, nullptr, 0});
    for (auto& m : members) up(m, true);
  }

  void run(Duration for_time) {
    const Time until = now + for_time;
    while (!events_.empty() && events_.top().at <= until) {
      auto e = events_.top();
      events_.pop();
      now = e.at;
      e.what();
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
    const auto id = ++calls_;
    answers[id] = {};
    if (members[at].replica) carry_out(members[at], members[at].replica->propose(now, id, kind, text));
    return id;
  }
  // The answer of a call that is waited for.
  int settled(std::uint64_t id, Duration limit = 20s) {
    run_until([&] { return answers[id].status != 0; }, limit);
    return answers[id].status;
  }
  int put(std::size_t at, std::uint64_t version, std::uint64_t parent, const std::string& service = "alpha") {
    return settled(propose(at, ChangeKind::replace, config_body(version, parent, service)));
  }

  // Another machine, with an empty disk, at an address of its own.
  std::size_t add(const std::string& zone) {
    members.push_back({"10.0.0." + std::to_string(members.size() + 1), zone, {}, nullptr, 0});
    up(members.back(), false);
    return members.size() - 1;
  }
  void leave(std::size_t i) { carry_out(members[i], members[i].replica->leave(now)); }
  bool votes(std::size_t i) const { return members[i].replica && members[i].replica->votes(); }
  void kill(std::size_t i) { end(i), members[i].disk.kill(); }
  void lose_power(std::size_t i) { end(i), members[i].disk.lose_power(random); }
  void lose_disk(std::size_t i) { end(i), members[i].disk.wipe(); }
  void start(std::size_t i) { up(members[i], false); }
  void cut(std::size_t a, std::size_t b) { cuts_.insert({std::min(a, b), std::max(a, b)}), relink(); }
  void heal() { cuts_.clear(), relink(); }

  const configuration::State& state(std::size_t i) const { return members[i].replica->state(); }
  bool is_up(std::size_t i) const { return members[i].replica != nullptr; }

  std::deque<Member> members;
  std::mt19937_64 random;
  std::size_t tolerated = 1;  // machines that may be lost at once
  Time now{1h};
  double loss = 0;  // of messages
  Duration least = 1ms, most = 3ms;
  std::map<std::size_t, Duration> far;  // what is added to the way to and from a member
  std::map<std::uint64_t, Answer> answers;
  std::map<std::uint64_t, std::string> history;  // place -> what is in force there, as any store has told
  std::vector<std::string> wrongs;               // two stores that differ

 private:
  struct Event {
    Time at{};
    std::uint64_t order = 0;
    std::function<void()> what;
    bool operator<(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  void later(Duration d, std::function<void()> what) { events_.push({now + d, ++order_, std::move(what)}); }

  std::size_t index(const std::string& ip) const {
    for (std::size_t i = 0; i < members.size(); ++i)
      if (members[i].ip == ip) return i;
    return members.size();
  }
  bool reaches(std::size_t a, std::size_t b) const {
    return !cuts_.contains({std::min(a, b), std::max(a, b)});
  }

  void end(std::size_t i) {
    members[i].replica.reset();
    ++members[i].life;
    relink();
  }

  void up(Member& m, bool bootstrap) {
    agreement::Options o;
    o.self = m.ip, o.zone = m.zone, o.bootstrap = bootstrap, o.chance = random();
    o.new_disk = 100 + ++disks_;
    o.tolerated = tolerated;
    o.lost_voters = m.lost_voters;
    for (std::size_t i = 0; i < std::min<std::size_t>(3, members.size()); ++i)
      o.seeds.push_back(members[i].ip);
    m.replica = std::make_unique<Replica>(o, m.disk.read());
    carry_out(m, m.replica->start(now));
    relink();
    tick(m, m.life);
  }
  void relink() {
    for (std::size_t a = 0; a < members.size(); ++a)
      for (std::size_t b = 0; b < members.size(); ++b) {
        if (a == b || !members[a].replica) continue;
        if (members[b].replica && reaches(a, b)) {
          members[a].replica->linked(members[b].ip, members[b].zone);
        } else {
          members[a].replica->unlinked(members[b].ip);
        }
      }
  }
  void tick(Member& m, std::uint64_t life) {
    const auto i = index(m.ip);
    later(50ms, [this, i, life] {
      auto& at = members[i];
      if (!at.replica || at.life != life) return;
      carry_out(at, at.replica->tick(now));
      tick(at, life);
    });
  }
  void carry_out(Member& m, agreement::Out out) {
    if (!out.write.empty()) m.disk.write(out.write);
    out.sends.insert(out.sends.begin(), out.immediate.begin(), out.immediate.end());
    for (const auto& c : out.chosen) {
      const auto text = std::to_string(static_cast<int>(c.change.kind)) + c.change.text;
      const auto [it, fresh] = history.try_emplace(c.slot, text);
      if (!fresh && it->second != text)
        wrongs.push_back("place " + std::to_string(c.slot) + " holds two changes");
    }
    for (const auto& s : out.settled) answers[s.id] = {s.status, s.why};
    const auto from = index(m.ip);
    const auto life = m.life;
    for (const auto& need : out.snapshots) send_snapshot(from, index(need.to), m.replica->state());
    for (auto& s : out.sends) {
      const auto to = index(s.to);
      if (to >= members.size()) continue;
      const bool own = to == from;
      if (!own && is_lost(from, to)) continue;
      const Duration d = delay(from, to);
      // Through the encoding, as on the wire.
      later(d, [this, to, from, life, own, bytes = agreement::encode(s.envelope)] {
        if (!members[to].replica || (own && members[to].life != life) || !reaches(from, to)) return;
        const auto envelope = agreement::decode(bytes);
        if (!envelope) return wrongs.push_back("a message can't be read");
        carry_out(members[to], members[to].replica->receive(now, members[from].ip, *envelope));
      });
    }
  }

  bool is_lost(std::size_t from, std::size_t to) {
    return !reaches(from, to) || static_cast<double>(random() % 10000) < loss * 10000;
  }
  Duration delay(std::size_t from, std::size_t to) {
    const bool own = to == from;
    const auto spread = static_cast<std::uint64_t>((most - least).count() + 1);
    Duration d = own ? Duration(1us) : least + Duration(static_cast<Duration::rep>(random() % spread));
    for (const auto end : {from, to})
      if (const auto more = far.find(end); !own && more != far.end()) d += more->second;
    return d;
  }
  // Whole and at once; how it goes in parts is transfer_test's.
  void send_snapshot(std::size_t from, std::size_t to, const configuration::State& state) {
    if (to >= members.size() || is_lost(from, to)) return;
    later(delay(from, to), [this, to, from, snapshot = transfer::encode(state)] {
      if (!members[to].replica || !reaches(from, to)) return;
      const auto decoded = transfer::decode(snapshot->bytes);
      if (!decoded) return wrongs.push_back("a snapshot can't be read");
      carry_out(members[to], members[to].replica->receive_snapshot(now, *decoded));
    });
  }

  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0, calls_ = 0, disks_ = 0;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
};

}  // namespace docklift::test
