// Servers that come and leave while the core is in trouble, for soaks of processes.
#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "connection_counter.hpp"
#include "started_fleet.hpp"
#include "system/base/settings.hpp"

namespace docklift::test {

// Troubles of three core machines that overlap: one of them is isolated, killed or told to end, and a link between
// two is cut.
class Troubles {
 public:
  Troubles(ProcessFleet& fleet, std::mt19937_64& random) : fleet_(fleet), random_(random) {}

  void change() {
    change_machine();
    if (random_() % 8 == 0) set_link(!cut_);
  }
  void end() {
    end_machine();
    if (cut_) set_link(false);
  }
  // The machines that run and are not isolated.
  std::vector<int> reachable() const {
    std::vector<int> machines{1, 2, 3};
    if (trouble_ != Trouble::none) std::erase(machines, troubled_);
    return machines;
  }

 private:
  enum class Trouble { none, isolated, ended };
  void change_machine() {
    if (trouble_ != Trouble::none) {
      if (random_() % 5 == 0) end_machine();
      return;
    }
    if (random_() % 3 != 0) return;
    troubled_ = 1 + static_cast<int>(random_() % 3);
    const auto kind = random_() % 3;
    if (kind == 0) fleet_.isolate(troubled_, true);
    if (kind == 1) fleet_.kill(troubled_);
    if (kind == 2) fleet_.terminate(troubled_, from_seconds(Bounds{}.grace_s));
    trouble_ = kind == 0 ? Trouble::isolated : Trouble::ended;
  }
  void end_machine() {
    if (trouble_ == Trouble::isolated) fleet_.isolate(troubled_, false);
    if (trouble_ == Trouble::ended) fleet_.restart(troubled_);
    trouble_ = Trouble::none;
  }
  void set_link(bool blocked) {
    if (blocked) from_ = 1 + static_cast<int>(random_() % 3);
    const int to = from_ % 3 + 1;
    cut_ = blocked;
    fleet_.cut(from_, to, blocked);
    fleet_.cut(to, from_, blocked);
  }

  ProcessFleet& fleet_;
  std::mt19937_64& random_;
  Trouble trouble_ = Trouble::none;
  int troubled_ = 1, from_ = 1;
  bool cut_ = false;
};

// Servers that come, drain and leave while one core machine after another is isolated, killed or told to end, and
// links between two of them are cut: no acknowledged departure may be followed by a request later than drain_ms.
class DepartureSoak {
 public:
  DepartureSoak(ProcessFleet& fleet, std::uint64_t seed) : fleet_(fleet), random_(seed) {}

  // `between` is called after each step; it may be empty.
  void run(Duration span, const std::string& path, const std::function<void()>& between = {}) {
    const auto end = std::chrono::steady_clock::now() + span;
    while (std::chrono::steady_clock::now() < end) {
      troubles_.change();
      change_servers();
      for (int i = 0; i < 3; ++i) fleet_.send_request(kProxy, path);
      check_departed();
      if (between) between();
      fleet_.until([] { return false; }, std::chrono::milliseconds(20 + random_() % 200));
    }
    troubles_.end();
  }
  const Troubles& troubles() const { return troubles_; }
  int acknowledged = 0, unacknowledged = 0, arrived = 0, late = 0;

 private:
  struct Server {
    std::string id;
    std::unique_ptr<ConnectionCounter> connections;
    int calls = 0;
    std::chrono::steady_clock::time_point last_heartbeat{};
    std::chrono::steady_clock::time_point drained_at{};  // from then on no request may arrive
    bool drained = false;
  };
  void change_servers() {
    while (serving_.size() < 4) {
      Server server;
      server.id = "i-" + std::to_string(++last_id_);
      server.connections = std::make_unique<ConnectionCounter>("127.0.0.1");
      serving_.push_back(std::move(server));
    }
    for (auto& server : serving_)
      if (std::chrono::steady_clock::now() - server.last_heartbeat > 1s) report(server, "ready");
    if (random_() % 2 == 0) depart(random_() % serving_.size());
  }
  void depart(std::size_t index) {
    auto server = std::move(serving_[index]);
    serving_.erase(serving_.begin() + static_cast<std::ptrdiff_t>(index));
    if (!report(server, random_() % 2 == 0 ? "draining" : "")) return void(++unacknowledged);
    ++acknowledged;
    server.drained_at = std::chrono::steady_clock::now() + from_millis(Bounds{}.drain_ms);
    departed_.push_back(std::move(server));
  }
  // Calls the core machines in a random order until one acknowledges. Without a phase: a leave.
  bool report(Server& server, const std::string& phase) {
    server.last_heartbeat = std::chrono::steady_clock::now();
    const std::string path = phase.empty() ? "/Instances.Leave/" : "/Instances.Heartbeat/";
    const auto body = R"({"svc":"alpha","addr":")" + server.connections->address() +
                      R"(","az":"z1","cap":4,"phase":")" + phase + R"(","calls":)" +
                      std::to_string(++server.calls) + "}";
    std::vector<int> machines{1, 2, 3};
    std::ranges::shuffle(machines, random_);
    const Duration limit = phase == "ready" ? 200ms : 1s;  // others may follow at once
    return std::ranges::any_of(machines, [&](int machine) {
      return fleet_.exchange(fleet_.ctl(machine), "POST", path + server.id, phase.empty() ? "" : body, limit)
                 .status == 200;
    });
  }
  void check_departed() {
    for (auto& server : serving_) arrived += server.connections->take();
    for (auto& server : departed_) {
      const bool after = server.drained;
      server.drained = std::chrono::steady_clock::now() >= server.drained_at;
      const int connections = server.connections->take();
      if (after) late += connections;
    }
  }

  ProcessFleet& fleet_;
  std::mt19937_64 random_;
  Troubles troubles_{fleet_, random_};
  std::vector<Server> serving_, departed_;
  int last_id_ = 0;
};

}  // namespace docklift::test
