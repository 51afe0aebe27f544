// build/rigs/redis [--short] [--seeds N] [--seed N] [--only-floods]
//
// 1. Floods. Four real nodes that keep their counts in the Redis stand-in: by seed one server, a cluster of three shards, or
//    a master under Sentinels. Premium members come in waves at five times their ceiling, to one node and then to the next,
//    while the store is slow, drops replies, refuses, and loses counts in one of three ways: by restarts and failovers that
//    break connections; silently; by a split of which both sides answer. What the app servers got is held against each
//    member's ceiling: a bucket that drains at the ceiling's rate. Each seed has the bound that docs/design/redis.md states
//    for its way.
// 2. What a slow store adds to the wait of usual members, against the platform's counter with the same delay.
// 3. Calls a second and CPU time for a call, against the platform counter's client.
//
// The last line is one JSON object. Exit 0 only if no member was passed on beyond its ceiling and slack by more than the
// bound, every request had its one answer, and every call had its one answer.
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <thread>

#include "async.hpp"
#include "counter.hpp"
#include "discovery.hpp"
#include "load.hpp"
#include "platform.hpp"
#include "process.hpp"
#include "redis/redis_store.hpp"
#include "redis_fleet.hpp"

namespace {

using namespace docklift::rigs;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using docklift::standins::Platform;
using docklift::standins::RedisFleet;
using docklift::standins::RedisServer;
using snowknot::error_code;
using namespace docklift::async;

constexpr std::size_t kNodes = 4;
constexpr double kRate = 50, kBurst = 100, kSlack = 25;  // of the premium ceiling, in units
constexpr std::uint64_t kMembers = 3;
constexpr std::chrono::milliseconds kSplit{1500};

// How far above the ceiling a member has come: units over a bucket of burst and slack that drains at the rate.
class Ceiling {
 public:
  void pass(std::uint64_t member, double units, Steady::time_point now) {
    auto& [level, at] = members_[member];
    if (at != Steady::time_point{})
      level = std::max(0.0, level - kRate * std::chrono::duration<double>(now - at).count());
    at = now;
    level += units;
    forwarded += units;
    over_by = std::max(over_by, level - kBurst - kSlack);
  }
  double forwarded = 0, over_by = -(kBurst + kSlack);

 private:
  std::map<std::uint64_t, std::pair<double, Steady::time_point>> members_;
};

enum class Shape { single, cluster, sentinel };
enum class Way { broken, silent, split };
struct Plan {
  Shape shape = Shape::single;
  Way way = Way::broken;
  std::string text() const {
    return std::string(shape == Shape::single    ? "single"
                       : shape == Shape::cluster ? "cluster"
                                                 : "sentinel") +
           (way == Way::broken   ? ", losses that break connections"
            : way == Way::silent ? ", silent losses"
                                 : ", splits");
  }
  // docs/design/redis.md: reserves, or a second store in the window; a second side for as long as it lasts.
  double bound() const {
    const double lasts = std::chrono::duration<double>(kSplit).count();
    return way == Way::split ? kBurst + kRate * lasts : kBurst / 2;
  }
};
Plan plan_of(std::uint64_t seed) {
  constexpr std::array<Plan, 6> kPlans{{{Shape::cluster, Way::broken},
                                        {Shape::sentinel, Way::split},
                                        {Shape::single, Way::broken},
                                        {Shape::cluster, Way::silent},
                                        {Shape::sentinel, Way::broken},
                                        {Shape::single, Way::silent}}};
  return kPlans[seed % kPlans.size()];
}

class Run {
 public:
  Run(std::uint64_t seed, const std::filesystem::path& home, bool redis, Shape shape, Mix mix)
      : shape_(shape), platform_(io_, {.servers = 4, .seed = seed}), random_(seed) {
    if (shape == Shape::single)
      server_.emplace(io_, docklift::standins::DatabaseOptions{}, seed);
    else
      fleet_.emplace(io_,
                     docklift::standins::RedisFleetOptions{.cluster = shape == Shape::cluster,
                                                           .replicas = 1,
                                                           .sentinels = shape == Shape::sentinel ? 2U : 0U,
                                                           .lag = std::chrono::milliseconds(random_() % 2000),
                                                           .seed = seed});
    platform_.on_arrival = [this](const std::string& id) {
      if (const auto it = members_.find(id); it != members_.end())
        ceiling_.pass(it->second, 1, Steady::now());
    };
    mix.spread = kNodes;
    mix.asked = [this](const std::string& id, std::uint64_t member) { members_[id] = member; };
    for (std::size_t i = 0; i < kNodes; ++i) {
      const auto listen = own_address(i);
      auto config = platform_.node_config(i, kNodes, listen);
      auto& premium = config["settings"]["packages"][1];
      config["settings"]["extra"]
            ["count-limit-ns"] = 250'000'000;  // so that a store of 100 ms still answers in time
      premium["units-per-s"] = kRate, premium["store-size"] = kBurst;
      premium["ceiling-rate"] = kRate, premium["cap-depth"] = kBurst, premium["tolerance"] = kSlack;
      nodes_.push_back(std::make_unique<NodeProcess>(home / ("n" + std::to_string(i)), listen, config));
      if (redis)
        nodes_.back()->write_good("[store]\nkind = \"redis\"\n[redis]\nepoch_interval = \"250ms\"\n" +
                                  where(i));
      loads_.push_back(std::make_unique<Load>(io_, platform_, listen, figures_, seed * 100 + i, mix));
    }
  }
  ~Run() {
    for (const auto& n : nodes_) n->signal(SIGKILL);
    for (const auto& n : nodes_) ::waitpid(n->pid(), nullptr, 0);
  }
  Run(const Run&) = delete;
  Run& operator=(const Run&) = delete;

  void go(std::function<Task<void>(Run&)> what) {
    asio::co_spawn(
        io_.get_executor(),
        [](Run& run, std::function<Task<void>(Run&)> body) -> Task<void> {
          for (const auto& n : run.nodes_) n->start();
          for (const auto& n : run.nodes_) co_await run.ready(*n);
          for (const auto& l : run.loads_) l->run();
          co_await body(run);
          for (const auto& l : run.loads_) l->set_rate(0), l->stop();
          co_await run.pause(2600ms);
        }(*this, std::move(what)),
        [this](std::exception_ptr failed) {
          if (failed) std::cerr << "redis: a coroutine failed\n";
          io_.stop();
        });
    io_.run();
  }

  Task<void> pause(std::chrono::nanoseconds time) { return docklift::async::pause(io_, time); }
  void rate(double all) {
    for (const auto& l : loads_) l->set_rate(all / kNodes);
  }
  void rate_at(std::size_t node, double all) {
    for (std::size_t i = 0; i < kNodes; ++i) loads_[i]->set_rate(i == node ? all : 0);
  }
  // A member that has been away has a full burst to its credit: the flood comes in waves, so that losses meet both a full
  // store and an empty one. It goes from node to node, so that losses meet nodes that know nothing of what was spent.
  Task<void> waves() {
    while (!done_) {
      auto node = random_() % kNodes;
      for (int part = 0; part < 4; ++part) {
        rate_at(node, 5 * kRate * kMembers);
        co_await pause(std::chrono::milliseconds(200 + random_() % 500));
        node = (node + 1) % kNodes;
      }
      rate(0);
      co_await pause(std::chrono::milliseconds(1200 + random_() % 1200));
    }
  }
  // One trouble after another, losses of counts some windows apart.
  Task<void> troubles(int rounds, Way way) {
    for (int i = 0; i < rounds; ++i) {
      co_await pause(std::chrono::milliseconds(300 + random_() % 700));
      const auto what = random_() % 8;
      for (auto* s : servers()) {
        auto& f = s->faults();
        auto& d = s->database().faults();
        switch (what) {
          case 0: f.delay = std::chrono::milliseconds(10 + random_() % 100); break;
          case 1: f.drop_after = 0.05; break;
          case 2: f.drop_before = 0.05; break;
          case 3: d.oom = true; break;
          case 4: d.loading_until = RedisServer::now_ms() + 500; break;
          case 5: f.stalled_until = Steady::now() + 400ms; break;
          case 6: f.garbage = 0.03; break;
          default: break;
        }
      }
      if (what == 7 && shape_ == Shape::cluster) fleet_->migrate(0, 16383, random_() % 3, 0ms);
      co_await pause(700ms);
      for (auto* s : servers()) s->faults() = {}, s->database().faults() = {};
      co_await pause(300ms);
      ++losses;
      co_await lose(way);
      co_await pause(4500ms);  // so that each loss stands by itself
    }
    done_ = true;
  }

  asio::io_context& loop() { return io_; }
  Platform& platform() { return platform_; }
  std::vector<RedisServer*> servers() {
    if (server_) return {&*server_};
    std::vector<RedisServer*> all;
    for (std::size_t i = 0; i < fleet_->size(); ++i)
      if (!fleet_->cluster().is_sentinel(i)) all.push_back(&fleet_->server(i));
    return all;
  }
  std::uint64_t commands() { return server_ ? server_->database().commands() : fleet_->commands(); }
  Figures& figures() { return figures_; }
  const Ceiling& ceiling() const { return ceiling_; }
  std::uint64_t losses = 0;

 private:
  std::string where(std::size_t node) {
    std::ostringstream text;
    if (shape_ == Shape::single)
      text << "address = \"" << server_->at() << "\"\n";
    else if (shape_ == Shape::cluster)
      text << "mode = \"cluster\"\nseeds = [\"" << fleet_->server(0).at() << "\", \""
           << fleet_->server(1).at() << "\"]\n";
    else  // half of the nodes ask the Sentinel that is on the old master's side in a split
      text << "mode = \"sentinel\"\nseeds = [\"" << fleet_->sentinel(node % 2).at() << "\"]\n";
    return text.str();
  }

  Task<void> lose(Way way) {
    const auto shards = shape_ == Shape::cluster ? 3U : 1U;
    if (way == Way::silent) {
      for (auto* s : servers()) s->database().flush();
    } else if (way == Way::split) {
      fleet_->fail_over(0, true);
      co_await pause(kSplit);
      fleet_->heal();
    } else {
      const auto what = random_() % 3;
      const auto ago = std::chrono::milliseconds(random_() % 2000);
      if (what == 2 && fleet_) {
        for (std::size_t i = 0; i < shards; ++i) fleet_->fail_over(i);
      } else {
        for (auto* s : servers()) what == 0 ? s->restart_empty() : s->restart_from(ago);
      }
    }
  }
  Task<void> ready(const NodeProcess& node) {
    for (int i = 0; i < 500 && node.pid_in_file() != node.pid(); ++i) co_await pause(10ms);
    co_await pause(200ms);
  }

  bool done_ = false;
  Shape shape_;
  asio::io_context io_{1};
  Platform platform_;
  std::optional<RedisServer> server_;
  std::optional<RedisFleet> fleet_;
  std::mt19937_64 random_;
  Figures figures_;
  Ceiling ceiling_;
  std::unordered_map<std::string, std::uint64_t> members_;
  std::vector<std::unique_ptr<NodeProcess>> nodes_;
  std::vector<std::unique_ptr<Load>> loads_;
};

double quantile(std::vector<double> v, double part) {
  if (v.empty()) return 0;
  std::ranges::sort(v);
  return v[std::min(v.size() - 1, static_cast<std::size_t>(part * static_cast<double>(v.size())))];
}

double thread_cpu() {
  timespec t{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
}

struct Cost {
  double per_second = 0, cpu_us = 0;
  std::uint64_t calls = 0, unanswered = 0;
};

// A store's client on this thread, its server on another; `window` calls are always out.
template <class Make>
Cost cost_of(Make make, std::uint64_t calls, std::uint64_t window) {
  asio::io_context io(1);
  snowknot::Clock clock;
  snowknot::Timers timers(io, clock);
  std::uint64_t begun = 0, ended = 0;
  std::unique_ptr<snowknot::CountStore> store;
  const auto next = [&] {
    if (begun < calls) store->add(snowknot::CountName((++begun * 0x9E3779B97F4A7C15ULL) >> 1U), 1, 10s);
  };
  store = make(io, timers, [&](const snowknot::CountAnswer&) {
    ++ended;
    asio::post(io, next);
  });
  while (!store->tried()) io.run_one();
  const auto from = Steady::now();
  const double cpu = thread_cpu();
  for (std::uint64_t i = 0; i < window; ++i) next();
  while (ended < calls && Steady::now() < from + 30s) io.run_one_for(100ms);
  const auto took = std::chrono::duration<double>(Steady::now() - from).count();
  return {static_cast<double>(ended) / took, (thread_cpu() - cpu) / static_cast<double>(ended) * 1e6, begun,
          begun - ended};
}

std::pair<Cost, Cost> costs(std::uint64_t calls) {
  asio::io_context served(1);
  auto keep = asio::make_work_guard(served);
  Platform platform(served, {.servers = 1, .seed = 1});
  RedisServer redis(served, {}, 1);
  const auto counter_at = snowknot::endpoint_of(platform.counter_address());
  const auto redis_at = redis.at();
  std::thread other([&] { served.run(); });
  const auto counter = cost_of(
      [&](auto& io, auto& timers, auto told) -> std::unique_ptr<snowknot::CountStore> {
        return std::make_unique<snowknot::Counter>(io, timers, *counter_at, 5s, told);
      },
      calls, 16);
  const auto in_redis = cost_of(
      [&](auto& io, auto& timers, auto told) -> std::unique_ptr<snowknot::CountStore> {
        docklift::redis::ClientOptions o;
        o.seeds = {redis_at};
        o.connect_limit = 1s, o.first_back_off = 1ms, o.longest_back_off = 1s, o.epoch_interval = 1s,
        o.epoch_life = 60s;
        o.session.idle_limit = 10s, o.session.client_name = "rig";
        return std::make_unique<docklift::redis::RedisStore>(io, timers, o, 5s, told,
                                                             [](const snowknot::CountsLost&) {});
      },
      calls, 16);
  served.stop();
  other.join();
  return {counter, in_redis};
}

}  // namespace

int main(int argc, char** argv) {
  bool is_short = false, only_floods = false;
  std::uint64_t seeds = 10, first = 1;
  CLI::App app("Four nodes on the Redis stand-in under a flood of premium members, and the store's troubles");
  app.add_flag("--short", is_short, "one seed, one delay");
  app.add_flag("--only-floods", only_floods, "no waits, no costs");
  auto* given = app.add_option("--seeds", seeds, "floods")->capture_default_str();
  app.add_option("--seed", first, "of the first flood")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  if (is_short && given->count() == 0) seeds = 1;
  std::signal(SIGPIPE, SIG_IGN);
  std::string home = (std::filesystem::temp_directory_path() / "docklift-redis-XXXXXX").string();
  if (::mkdtemp(home.data()) == nullptr) return 1;

  double forwarded = 0, worst = -1e9, worst_share = -1e9, bound_there = 0;
  std::uint64_t commands = 0, losses = 0, accepted = 0, answered = 0, unanswered = 0, served = 0, refused = 0;
  bool within = true;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    const auto plan = plan_of(seed);
    Run run(seed, home, true, plan.shape,
            {.safe = 1, .keyed = 0, .first_customer = 1, .customers = kMembers, .plan = "premium"});
    run.go([&plan, is_short](Run& r) -> Task<void> {
      asio::co_spawn(r.loop().get_executor(), r.waves(), asio::detached);
      co_await r.troubles(is_short ? 2 : 3, plan.way);
    });
    const auto& f = run.figures();
    const double over = run.ceiling().over_by;
    forwarded += run.ceiling().forwarded, commands += run.commands(), losses += run.losses;
    accepted += f.accepted, answered += f.answered, unanswered += f.unanswered, served += f.served,
        refused += f.refused;
    within = within && over <= plan.bound();
    if (over / plan.bound() > worst_share)
      worst_share = over / plan.bound(), worst = over, bound_there = plan.bound();
    for (const auto& text : f.faults) std::cout << "fault, seed " << seed << ": " << text << '\n';
    std::cout << "seed " << seed << " (" << plan.text() << "): over by " << over << " of " << plan.bound()
              << " after " << run.losses << " losses" << std::endl;
  }

  // The wait that a slow store adds, against the platform's counter with the same delay.
  nlohmann::ordered_json waits;
  for (const int delay : only_floods ? std::vector<int>{}
                         : is_short  ? std::vector<int>{10}
                                     : std::vector<int>{1, 10, 100}) {
    for (const bool redis : {false, true}) {
      Run run(first, home, redis, Shape::single,
              {.safe = 1, .keyed = 0, .first_customer = 1000, .customers = 200, .plan = "basic"});
      run.platform().counter_faults().slow = std::chrono::milliseconds(delay);
      for (auto* s : run.servers())
        s->faults().delay = std::chrono::milliseconds(delay), s->faults().steady = true;
      run.figures().keep_waits = true;
      run.go([is_short](Run& r) -> Task<void> {
        r.rate(400);
        co_await r.pause(is_short ? 2s : 4s);
      });
      unanswered += run.figures().unanswered;
      const auto name = std::string(redis ? "redis_" : "counter_") + std::to_string(delay) + "ms";
      waits[name] = {{"p50", quantile(run.figures().waits_ms, 0.5)},
                     {"p99", quantile(run.figures().waits_ms, 0.99)},
                     {"served", run.figures().served},
                     {"refused", run.figures().refused}};
    }
  }
  std::error_code ignored;
  std::filesystem::remove_all(home, ignored);
  std::pair<Cost, Cost> cost;
  if (!only_floods) cost = costs(is_short ? 20'000 : 200'000);
  const auto& [counter, redis] = cost;
  const auto calls_unanswered = counter.unanswered + redis.unanswered;

  const bool good = within && unanswered == 0 && answered == accepted && calls_unanswered == 0 &&
                    losses > 0 && forwarded > 0;
  std::cout << nlohmann::ordered_json{{"nodes", kNodes},
                                      {"seeds", seeds},
                                      {"forwarded_premium", forwarded},
                                      {"ceiling", kRate},
                                      {"burst", kBurst},
                                      {"slack", kSlack},
                                      {"losses", losses},
                                      {"over_by", worst},
                                      {"stated_bound", bound_there},
                                      {"within", within},
                                      {"commands", commands},
                                      {"accepted", accepted},
                                      {"answered", answered},
                                      {"served", served},
                                      {"refused", refused},
                                      {"unanswered", unanswered},
                                      {"wait_ms", waits},
                                      {"calls", counter.calls + redis.calls},
                                      {"calls_unanswered", calls_unanswered},
                                      {"calls_per_s",
                                       {{"counter", counter.per_second}, {"redis", redis.per_second}}},
                                      {"cpu_us_per_call",
                                       {{"counter", counter.cpu_us}, {"redis", redis.cpu_us}}},
                                      {"good", good}}
                   .dump()
            << std::endl;
  return good ? 0 : 1;
}
