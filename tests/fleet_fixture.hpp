// A fleet of processes of the program on relays of ours, with clients: what the tests of processes begin with.
#pragma once

#include <gtest/gtest.h>

#include "load.hpp"
#include "peers.hpp"
#include "process_fleet.hpp"

namespace docklift::faults {

using namespace std::chrono_literals;

inline const rigs::Mix kPremium{.safe = 1, .keyed = 0, .customers = 2, .plan = "premium", .spread = 3};

struct FleetProcesses : ::testing::Test {
  void begin(std::size_t nodes, const std::string& more = {}) { begin(FleetOptions{.nodes = nodes, .more = more}, nodes); }
  void begin(const FleetOptions& options, std::size_t started) {
    fleet = std::make_unique<ProcessFleet>(loop.io, options);
    for (std::size_t i = 0; i < started; ++i) fleet->start(i);
    ASSERT_TRUE(until([&] { return fleet->converged(); })) << states();
  }
  // Requests of all kinds to a node.
  rigs::Load& load(std::size_t i, double per_second, rigs::Mix mix = {.safe = 0.5, .keyed = 0, .customers = 50, .plan = {}, .spread = 3}) {
    loads.push_back(std::make_unique<rigs::Load>(loop.io, fleet->platform(), fleet->entrance(i), figures, 10 + i, std::move(mix)));
    loads.back()->set_rate(per_second);
    loads.back()->run();
    return *loads.back();
  }
  bool end_loads() {
    for (const auto& l : loads) l->stop();
    return until([&] { return std::ranges::all_of(loads, [](const auto& l) { return l->open() == 0; }); });
  }
  nlohmann::json part(std::size_t i, const char* name) {
    const auto j = fleet->fleet(i);
    return j.contains(name) ? j[name] : nlohmann::json::object();
  }
  bool until(const std::function<bool()>& so) {
    const auto end = std::chrono::steady_clock::now() + 30s;
    while (!so()) {
      if (std::chrono::steady_clock::now() > end) return false;
      loop.io.restart();
      loop.io.run_for(10ms);
    }
    return true;
  }
  std::string states() {
    std::string s;
    for (std::size_t i = 0; i < fleet->size(); ++i) s += fleet->door(i, "/_fleet") + fleet->process(i).log() + "\n";
    return s;
  }
  std::uint64_t start_of(std::size_t who, std::size_t whom) {
    const auto j = fleet->fleet(who);
    for (const auto& m : j["members"])
      if (m["name"] == "n" + std::to_string(whom)) return m["start"];
    return 0;
  }

  snowknot::test::Loop loop;
  std::unique_ptr<ProcessFleet> fleet;
  rigs::Figures figures;
  std::vector<std::unique_ptr<rigs::Load>> loads;
};

}  // namespace docklift::faults
