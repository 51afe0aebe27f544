// build/rigs/powerloss [--short] [--seed N] [--nodes N] [--losses N]
//
// Nodes of docklift under load lose their power at once, and the counter its counts: the processes are killed, of their disks what was never synced is
// taken away, some disks are damaged besides. They return one after the other within a part of a second, some links slow, the lists of some silent.
// Each loss is played with [state] and [peers] and without, on the same seed.
//
// The last line is one JSON object. Exit 0 only if no rule is broken, nobody is stuck, no start is used twice, each damage is named, and what the disks are for
// is better with them.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <numeric>

#include "load.hpp"
#include "passed.hpp"
#include "process_fleet.hpp"

namespace {

using namespace docklift::faults;
using namespace std::chrono_literals;
using nlohmann::json;
using Steady = std::chrono::steady_clock;

constexpr double kRate = 700, kCeiling = 300, kBurst = 600, kSlack = 150;  // of each premium member: requests, units, a second
constexpr double kWindow = 1;                                              // seconds: a window of the premium plan
constexpr double kReturn = 0.4;                                            // seconds in which all are back
constexpr std::uint64_t kMembers = 2, kFree = 40;

struct Options {
  std::size_t nodes = 12, losses = 8;
  std::uint64_t seed = 1;
  bool short_run = false;
};

struct Side {
  std::uint64_t requests = 0, unanswered = 0, drains_undone = 0, starts_reused = 0, damaged = 0, damage_named = 0, stuck = 0, losses = 0, seen = 0;
  std::size_t most_in_a_window = 0;  // of windows that end after the loss
  double over_by = -1e9;
  std::vector<double> ready_ms, served_90_ms;
  std::vector<std::string> broken;
};

class Play {
 public:
  Play(const Options& o, bool disks, std::uint64_t seed)
      : options_(o), disks_(disks), random_(seed),
        fleet_(std::make_unique<ProcessFleet>(io_, FleetOptions{.nodes = o.nodes, .peers = disks, .seed = seed, .ceiling = kCeiling,
                                                                .platform = {.servers = 6, .seed = seed}, .disks = disks})) {}

  void run(Side& side) {
    for (std::size_t i = 0; i < fleet_->size(); ++i) fleet_->start(i);
    if (!until([&] { return all_full(); }, 10s)) return void(side.broken.emplace_back("not all nodes got ready"));
    auto& platform = fleet_->platform();
    std::unordered_map<std::string, std::uint64_t> premium;
    platform.on_arrival = [&](const std::string& id) {
      if (const auto it = premium.find(id); it != premium.end()) passed_.of[it->second].push_back(seconds());
    };
    std::vector<docklift::rigs::Figures> figures(2 * fleet_->size());
    std::vector<std::unique_ptr<docklift::rigs::Load>> loads;  // of each node: premium members, and others
    for (std::size_t i = 0; i < 2 * fleet_->size(); ++i) {
      const auto node = i / 2;
      docklift::rigs::Mix mix{.safe = 0.7, .keyed = 0.15, .customers = i % 2 ? kFree : kMembers, .plan = i % 2 ? "basic" : "premium", .spread = fleet_->size()};
      if (i % 2 == 0) mix.asked = [&premium](const std::string& id, std::uint64_t member) { premium[id] = member; };
      loads.push_back(std::make_unique<docklift::rigs::Load>(io_, platform, fleet_->listen(node), figures[i], options_.seed * 1000 + i, std::move(mix)));
      loads.back()->set_rate((i % 2 ? 200 : kRate * kMembers) / static_cast<double>(fleet_->size()));
      loads.back()->run();
    }
    const auto served = [&] { return std::accumulate(figures.begin(), figures.end(), std::uint64_t{0}, [](auto n, const auto& f) { return n + f.served; }); };
    spin(2s);
    const auto before = served();
    spin(1s);
    const auto per_s = static_cast<double>(served() - before);

    const auto starts = starts_of_all();
    // A drain that half of the lists will never say again.
    for (std::size_t i = 1; i < fleet_->size(); i += 2) fleet_->discovery(i).silence(true);
    platform.drain(1);
    spin(500ms);
    ++side.losses;
    for (const auto& l : loads) l->node_is(false), l->killed();
    fleet_->power_cut(true);
    std::vector<std::size_t> damaged;
    if (disks_ && random_.chance(0.5) && !fleet_->process(0).damage_state().empty()) damaged.push_back(0);
    const auto cut = Steady::now();
    const double cut_s = seconds();
    std::vector<std::size_t> order(fleet_->size());
    std::iota(order.begin(), order.end(), 0);
    random_.shuffle(order);
    std::vector<double> at;
    for (std::size_t i = 0; i < order.size(); ++i) at.push_back(random_.fraction() * kReturn);
    std::sort(at.begin(), at.end());
    fleet_->fault({.kind = Kind::delay, .whom = {order[0], order[1]}, .at = fleet_->now(), .length = 2, .amount = 60});
    std::vector<bool> let_in(fleet_->size());
    const auto came = platform.came_to(1);
    const auto let = [&] {
      for (std::size_t i = 0; i < fleet_->size(); ++i)
        if (fleet_->up(i) && !let_in[i] && fleet_->ready(i)) {
          let_in[i] = true;
          side.ready_ms.push_back(ms(Steady::now() - cut));
          for (std::size_t l = 2 * i; l < 2 * i + 2; ++l) loads[l]->node_is(true);
        }
    };
    for (std::size_t i = 0; i < order.size(); ++i) {
      until([&] { return let(), ms(Steady::now() - cut) >= at[i] * 1000; }, 5s);
      fleet_->start(order[i]);
    }
    // 90% of what was served a second before, in a quarter of a second.
    auto mark = Steady::now();
    auto marked = served();
    const bool back = until([&] {
      let();
      if (Steady::now() - mark < 250ms) return false;
      const auto now = served();
      const bool enough = static_cast<double>(now - marked) >= 0.9 * per_s * std::chrono::duration<double>(Steady::now() - mark).count();
      mark = Steady::now(), marked = now;
      return enough;
    }, 12s);
    if (back) side.served_90_ms.push_back(ms(Steady::now() - cut));
    else side.broken.emplace_back("12 s after the loss of power less than 90% is served");
    spin(500ms);
    side.drains_undone += platform.came_to(1) - came;
    for (const auto& l : loads) l->stop();
    if (!until([&] { return std::ranges::all_of(loads, [](const auto& l) { return l->open() == 0; }); }, 10s)) side.broken.emplace_back("requests stayed open");
    fleet_->heal();
    if (!until([&] { return all_full(); }, 10s)) ++side.stuck;
    for (const auto& f : figures) {
      side.requests += f.accepted, side.unanswered += f.unanswered;
      for (const auto& x : f.faults) side.broken.push_back(x);
    }
    if (const auto twice = platform.unsafe_twice()) side.broken.push_back(std::to_string(twice) + " unsafe requests ran twice");
    side.over_by = std::max(side.over_by, passed_.worst_over(kCeiling, kBurst, kSlack));
    side.most_in_a_window = std::max(side.most_in_a_window, passed_.most_within(kWindow, cut_s));
    if (!disks_) return;
    const auto after = starts_of_all();
    for (std::size_t i = 0; i < after.size(); ++i) {
      side.starts_reused += after[i] <= starts[i] ? 1 : 0;
      side.seen += fleet_->fleet(i)["counts"].value("epoch", 0) > 0 ? 1 : 0;
    }
    if (std::getenv("POWERLOSS_LOGS"))
      for (std::size_t i = 0; i < fleet_->size(); ++i) std::cerr << "---- n" << i << '\n' << fleet_->process(i).log();
    side.damaged += damaged.size();
    for (const auto i : damaged) side.damage_named += fleet_->process(i).log().find("state: ") != std::string::npos ? 1 : 0;
  }

 private:
  double seconds() const { return std::chrono::duration<double>(Steady::now() - began_).count(); }
  static double ms(Steady::duration d) { return std::chrono::duration<double, std::milli>(d).count(); }
  void spin(std::chrono::milliseconds time) {
    io_.restart();
    io_.run_for(time);
  }
  bool until(const std::function<bool()>& so, std::chrono::seconds limit) {
    const auto end = Steady::now() + limit;
    while (!so()) {
      if (Steady::now() > end) return false;
      spin(10ms);
    }
    return true;
  }
  bool all_full() const {
    for (std::size_t i = 0; i < fleet_->size(); ++i) {
      if (!fleet_->ready(i)) return false;
      if (disks_ && fleet_->fleet(i)["stage"].value("name", "") != "full") return false;
    }
    return true;
  }
  std::vector<std::uint64_t> starts_of_all() const {
    std::vector<std::uint64_t> all;
    for (std::size_t i = 0; disks_ && i < fleet_->size(); ++i) all.push_back(fleet_->fleet(i)["self"]["start"]);
    return all;
  }
  const Options& options_;
  bool disks_;
  docklift::Random random_;
  boost::asio::io_context io_{1};
  std::unique_ptr<ProcessFleet> fleet_;
  Passed passed_;
  Steady::time_point began_ = Steady::now();
};

}  // namespace

int main(int argc, char** argv) {
  Options o;
  CLI::App app("Nodes with and without a memory after losses of power");
  app.add_flag("--short", o.short_run, "40 s at most");
  app.add_option("--seed", o.seed, "of the plays")->capture_default_str();
  app.add_option("--nodes", o.nodes, "processes")->capture_default_str();
  app.add_option("--losses", o.losses, "played")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  Side with, without;
  for (std::uint64_t n = 0; n < (o.short_run ? 1 : o.losses); ++n)
    for (const bool disks : {true, false}) {
      auto& side = disks ? with : without;
      try {
        Play(o, disks, o.seed * 100 + n).run(side);
      } catch (const std::exception& x) {
        side.broken.emplace_back(x.what());
      }
    }
  for (const auto* s : {&with, &without})
    for (const auto& b : s->broken) std::cerr << (s == &with ? "with disks: " : "without: ") << b << '\n';
  // What a lost life may have passed beside what its disk knows, for each of them.
  const double bound = 20.0 * static_cast<double>(o.nodes);
  const json figures{{"losses", with.losses}, {"nodes", o.nodes}, {"requests", with.requests}, {"unanswered", with.unanswered},
                     {"rules_broken", with.broken.size() + without.broken.size()}, {"ceiling_over_by", with.over_by},
                     {"ceiling_over_by_before", without.over_by}, {"stated_bound", bound}, {"most_in_a_window", with.most_in_a_window},
                     {"most_in_a_window_before", without.most_in_a_window}, {"drains_undone", with.drains_undone},
                     {"drains_undone_before", without.drains_undone}, {"incarnations_reused", with.starts_reused}, {"losses_seen_at", with.seen},
                     {"ready_ms_p50", percentile(with.ready_ms, 0.5)}, {"ready_ms_p50_before", percentile(without.ready_ms, 0.5)},
                     {"served_90_ms", percentile(with.served_90_ms, 0.5)}, {"served_90_ms_before", percentile(without.served_90_ms, 0.5)},
                     {"disk_damaged", with.damaged}, {"damage_named", with.damage_named}, {"stuck_nodes", with.stuck}};
  std::cout << figures.dump() << '\n';
  const bool better = with.drains_undone < without.drains_undone && with.most_in_a_window <= without.most_in_a_window;
  return with.broken.empty() && without.broken.empty() && with.unanswered == 0 && with.over_by <= bound && with.starts_reused == 0 &&
                 with.damage_named == with.damaged && with.stuck == 0 && better
             ? 0
             : 1;
}
