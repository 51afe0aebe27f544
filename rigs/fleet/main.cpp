// build/rigs/fleet [--short] [--nodes N] [--seconds S] [--seed N] [--stall] [--pair BINARY]
//
// Starts N real docklift processes against the platform's stand-in, sends a mixed load through them, and at random
// stops, kills, reloads (good files, bad files, two at once) and upgrades them (good programs, ones that exit at once,
// ones that are killed on the way). Every accepted request is tracked by id at both ends. --stall measures instead the
// longest gap in the answers of one node around a reload and around an upgrade, against neither. --pair measures the
// CPU time for each request without an operator's file, of this build and of another in turn, under the same load.
//
// The last line is one JSON object. Exit 0 only if: every accepted request of a node that was not killed had exactly
// one final answer in time, no unsafe request was taken by a server twice (one that was turned away, never begun, may be
// sent on: unsafe_sent_on), no connection was refused or reset by a node that
// should have been there, every process ended as it was told, and (over 300 s and more) neither memory nor
// descriptors grew.
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "async.hpp"
#include "discovery.hpp"
#include "load.hpp"
#include "platform.hpp"
#include "process.hpp"

namespace {

using namespace docklift::rigs;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using docklift::standins::Platform;
using snowknot::error_code;
using namespace docklift::async;

struct Options {
  std::size_t nodes = 20;
  double seconds = 600, rate = 1000;
  std::uint64_t seed = 1;
  bool short_run = false, stall = false;
  std::string pair;  // another build's program
};

struct Doings {
  std::uint64_t reloads = 0, reloads_refused = 0, upgrades = 0, upgrades_failed = 0, kills = 0, stops = 0,
                bad_exits = 0, not_ready = 0, server_faults = 0;
  std::vector<std::string> faults;
};

struct Node {
  Node(NodeProcess p, Load l) : process(std::move(p)), load(std::move(l)) {}
  NodeProcess process;
  Load load;
  bool busy = false;                 // something is being done to it
  std::optional<int> exit_status;    // of the process that was current, when it has ended
  std::vector<pid_t> expected_ends;  // successors that are meant to fail, predecessors that have handed over
};

class Fleet {
 public:
  Fleet(asio::io_context& io, Options options, std::filesystem::path home)
      : io_(io), options_(options), platform_(io, {.servers = 6, .seed = options.seed}), random_(options.seed),
        children_(io.get_executor(), SIGCHLD) {
    for (std::size_t i = 0; i < options.nodes; ++i) {
      const auto at = own_address(i);
      nodes_.push_back(std::make_unique<Node>(
          NodeProcess(home / ("n" + std::to_string(i)), at, platform_.node_config(i, options.nodes, at)),
          Load(io, platform_, at, figures_, options.seed * 1000 + i)));
    }
    reap_on_signal();
  }

  int run() {
    int code = 1;
    asio::co_spawn(io_.get_executor(), options_.stall ? stall() : options_.pair.empty() ? chaos() : pair(), [&](std::exception_ptr failed, int c) {
      if (failed) std::cerr << "fleet: a coroutine failed\n";
      code = c;
      io_.stop();
    });
    io_.run();
    // Nothing that was started is left behind.
    for (const auto& n : nodes_)
      for (const pid_t pid : {n->process.pid(), n->process.pid_in_file()})
        if (pid > 0) ::kill(pid, SIGKILL);
    for (int i = 0; i < 100 && ::waitpid(-1, nullptr, WNOHANG) >= 0; ++i) ::usleep(20'000);
    return code;
  }

 private:
  // ---- Processes --------------------------------------------------------------------------------------
  void reap_on_signal() {
    children_.async_wait([this](const error_code& failed, int) {
      if (failed) return;
      reap_on_signal();
      int status = 0;
      for (pid_t pid = 0; (pid = ::waitpid(-1, &status, WNOHANG)) > 0;) ended(pid, status);
    });
  }
  void ended(pid_t pid, int status) {
    for (const auto& n : nodes_) {
      if (std::erase(n->expected_ends, pid) > 0) return;
      if (n->process.pid() == pid) {
        n->exit_status = status;
        return;
      }
    }
    // Nobody's current process: a successor that was meant to fail, or a predecessor after its handover.
    if (WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL) fault("a process ended by signal " + std::to_string(WTERMSIG(status)));
  }
  void fault(std::string text) {
    ++doings_.bad_exits;
    if (doings_.faults.size() < 8) doings_.faults.push_back(std::move(text));
  }

  Task<void> pause(std::chrono::nanoseconds time) { return docklift::async::pause(io_, time); }
  Task<bool> until(std::function<bool()> so, std::chrono::nanoseconds limit) {
    const auto end = Steady::now() + limit;
    while (!so()) {
      if (Steady::now() > end) co_return false;
      co_await pause(5ms);
    }
    co_return true;
  }
  Task<bool> answers_ready(const Node& node) {
    snowknot::Socket socket(io_.get_executor());
    error_code failed;
    co_await socket.async_connect(*snowknot::endpoint_of(node.process.listen()), into(failed));
    if (failed) co_return false;
    const std::string ask = "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(ask), into(failed));
    std::array<char, 256> space{};
    const auto n = failed ? 0 : co_await socket.async_read_some(asio::buffer(space), into(failed));
    co_return n > 12 && std::string_view(space.data() + 9, 3) == "200";
  }
  Task<void> come_up(Node& node) {
    node.exit_status.reset();
    node.process.start();
    for (int i = 0; i < 500; ++i) {
      if (co_await answers_ready(node)) {
        node.load.node_is(true);
        co_return;
      }
      if (node.exit_status) break;
      co_await pause(20ms);
    }
    ++doings_.not_ready;
    if (doings_.faults.size() < 8) doings_.faults.push_back("not ready: " + node.process.log());
  }

  // ---- What is done to a node -----------------------------------------------------------------------------
  double part() { return std::uniform_real_distribution<>(0, 1)(random_); }

  Task<void> stop(Node& node) {
    ++doings_.stops;
    node.process.signal(SIGTERM);
    if (part() < 0.2) {
      co_await pause(50ms);
      node.process.signal(SIGTERM);
    }
    // The front notices after a while.
    co_await pause(std::chrono::milliseconds(200 + static_cast<int>(200 * part())));
    node.load.node_is(false);
    if (!co_await until([&] { return node.exit_status.has_value(); }, 10s)) {
      fault("a node did not end on SIGTERM");
      node.process.signal(SIGKILL);
      co_await until([&] { return node.exit_status.has_value(); }, 5s);
    } else if (!WIFEXITED(*node.exit_status) || (WEXITSTATUS(*node.exit_status) != 0 && WEXITSTATUS(*node.exit_status) != 76)) {
      fault("a node ended badly on SIGTERM: " + std::to_string(*node.exit_status) + "\n" + node.process.log());
    }
    co_await come_up(node);
  }
  Task<void> kill(Node& node) {
    ++doings_.kills;
    node.load.node_is(false);
    node.load.killed();
    node.process.signal(SIGKILL);
    co_await until([&] { return node.exit_status.has_value(); }, 5s);
    co_await pause(100ms);
    co_await come_up(node);
  }
  Task<void> reload(Node& node) {
    const double kind = part();
    ++doings_.reloads;
    if (kind < 0.5) {
      node.process.write_good(kind < 0.25 ? "hurry_limit = \"300ms\"\n" : "retry_after = \"2s\"\n");
      node.process.signal(SIGHUP);
    } else if (kind < 0.75) {
      ++doings_.reloads_refused;
      node.process.write_bad();
      node.process.signal(SIGHUP);
      co_await pause(1500ms);  // it tries again for 0.8 s
    } else {
      ++doings_.reloads, ++doings_.reloads_refused;
      node.process.write_bad();
      node.process.signal(SIGHUP);
      co_await pause(std::chrono::microseconds(static_cast<int>(3000 * part())));
      node.process.write_good();
      node.process.signal(SIGHUP);
    }
    co_await pause(300ms);
    node.process.write_good();
    if (node.exit_status) {
      fault("a node ended on SIGHUP: " + node.process.log());
      co_await come_up(node);
    }
  }
  Task<void> upgrade(Node& node) {
    const double kind = part();
    const pid_t before = node.process.pid();
    if (kind < 0.25) {
      // A program that exits at once, one that never gets ready: this process serves on.
      ++doings_.upgrades_failed;
      node.process.write_good(std::string("[upgrade]\nready_limit = \"500ms\"\nbinary = \"") +
                              (kind < 0.15 ? "/bin/false" : "/bin/cat") + "\"\n");
      node.process.signal(SIGHUP);
      co_await pause(400ms);
      node.process.signal(SIGUSR2);
      co_await pause(1200ms);
      node.process.write_good();
      node.process.signal(SIGHUP);
      co_await pause(400ms);
      if (node.exit_status || node.process.pid_in_file() != before) fault("a failed upgrade did not leave the old process");
      co_return;
    }
    node.expected_ends.push_back(before);
    node.process.signal(SIGUSR2);
    if (kind < 0.4) {  // both ask for it: a stop that meets an upgrade
      co_await pause(std::chrono::microseconds(static_cast<int>(40'000 * part())));
      std::erase(node.expected_ends, before);
      const pid_t now = node.process.pid_in_file();
      if (now != before) node.process.set_pid(now), node.expected_ends.push_back(before);
      co_return co_await stop(node);
    }
    const bool over = co_await until([&] { return node.process.pid_in_file() != before; }, 15s);
    if (!over || node.exit_status) {
      std::erase(node.expected_ends, before);
      fault("an upgrade did not come about: " + node.process.log());
      co_return;
    }
    ++doings_.upgrades;
    node.process.set_pid(node.process.pid_in_file());
    if (!co_await until([&] { return std::ranges::find(node.expected_ends, before) == node.expected_ends.end(); }, 10s))
      fault("a predecessor did not end");
  }

  Task<void> trouble(Node& node) {
    node.busy = true;
    const double kind = part();
    if (kind < 0.25)
      co_await stop(node);
    else if (kind < 0.35)
      co_await kill(node);
    else if (kind < 0.7)
      co_await reload(node);
    else
      co_await upgrade(node);
    node.busy = false;
    --troubled_;
  }

  // App servers, discovery and the counter have their troubles too.
  Task<void> platform_trouble() {
    while (running_) {
      co_await pause(700ms);
      const auto i = std::uniform_int_distribution<std::size_t>(0, platform_.servers() - 1)(random_);
      const double kind = part();
      ++doings_.server_faults;
      if (kind < 0.3) {
        platform_.faults(i) = {std::chrono::milliseconds(static_cast<int>(150 * part())), 0.1 * part(), 0.05 * part(), 0.1 * part()};
        co_await pause(600ms);
        platform_.faults(i) = {};
      } else if (kind < 0.5) {
        platform_.drain(i);
        co_await pause(800ms);
        platform_.serve(i);
      } else if (kind < 0.7) {
        platform_.drain(i);
        co_await pause(2500ms);
        platform_.restart(i, 300ms);
        co_await pause(400ms);
        platform_.serve(i);
      } else if (kind < 0.8) {
        platform_.break_watches();
      } else if (kind < 0.9) {
        platform_.counter_faults() = {20ms, 0.05, 0.01};
        co_await pause(500ms);
        platform_.counter_faults() = {};
      } else {
        platform_.restart_counter();
      }
    }
  }

  struct Sample {
    double at = 0, rss = 0, descriptors = 0;
  };
  Task<void> sample(Steady::time_point began) {
    while (running_) {
      co_await pause(1s);
      for (const auto& n : nodes_) {
        if (n->busy) continue;
        if (const auto held = held_by(n->process.pid()))
          samples_.push_back({std::chrono::duration<double>(Steady::now() - began).count(), held->rss_mb, held->descriptors});
      }
    }
  }
  Sample mean(double from, double to) const {
    Sample m;
    std::size_t n = 0;
    for (const auto& s : samples_)
      if (s.at >= from && s.at < to) m.rss += s.rss, m.descriptors += s.descriptors, ++n;
    if (n > 0) m.rss /= static_cast<double>(n), m.descriptors /= static_cast<double>(n);
    return m;
  }

  Task<void> start_all() {
    for (const auto& n : nodes_) co_await come_up(*n);
    for (const auto& n : nodes_) n->load.run();
  }
  Task<bool> stop_all() {
    running_ = false;
    co_await until([&] { return troubled_ == 0; }, 30s);
    for (const auto& n : nodes_) n->load.set_rate(0);
    const bool quiet = co_await until(
        [&] { return std::ranges::all_of(nodes_, [](const auto& n) { return n->load.open() == 0; }); }, 5s);
    for (const auto& n : nodes_) n->load.stop(), n->process.signal(SIGTERM);
    for (const auto& n : nodes_)
      if (!co_await until([&] { return n->exit_status.has_value(); }, 10s)) fault("a node did not end");
    for (const auto& n : nodes_) n->process.set_pid(0);
    co_return quiet;
  }

  Task<int> chaos() {
    co_await start_all();
    const auto began = Steady::now();
    for (const auto& n : nodes_) n->load.set_rate(options_.rate / static_cast<double>(nodes_.size()));
    asio::co_spawn(io_.get_executor(), platform_trouble(), asio::detached);
    asio::co_spawn(io_.get_executor(), sample(began), asio::detached);
    const auto length = std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(options_.seconds));
    while (Steady::now() - began < length) {
      co_await pause(std::chrono::milliseconds(100 + static_cast<int>(400 * part())));
      const auto i = std::uniform_int_distribution<std::size_t>(0, nodes_.size() - 1)(random_);
      if (nodes_[i]->busy || troubled_ * 3 >= nodes_.size()) continue;
      ++troubled_;
      asio::co_spawn(io_.get_executor(), trouble(*nodes_[i]), asio::detached);
    }
    const bool quiet = co_await stop_all();

    const double span = std::min(60.0, options_.seconds / 3);
    const auto first = mean(std::min(5.0, span / 2), span), last = mean(options_.seconds - span, options_.seconds);
    const auto twice = platform_.unsafe_twice();
    const auto& f = figures_;
    const bool adds_up = quiet && f.accepted == f.answered + f.unanswered + f.to_kills;
    // Over half a minute the start itself is what grows.
    const bool grew = options_.seconds >= 300 &&
                      (last.rss > first.rss * 1.15 + 1.5 || last.descriptors > first.descriptors * 1.25 + 4);
    const bool good = f.unanswered == 0 && twice == 0 && f.refused_connects == 0 && doings_.bad_exits == 0 &&
                      doings_.not_ready == 0 && adds_up && !grew && f.answered > 0 && doings_.upgrades > 0;
    for (const auto& t : f.faults) std::cout << "fault: " << t << '\n';
    for (const auto& t : doings_.faults) std::cout << "fault: " << t << '\n';
    std::cout << nlohmann::ordered_json{{"nodes", options_.nodes}, {"seconds", options_.seconds}, {"seed", options_.seed},
                     {"accepted", f.accepted}, {"answered", f.answered}, {"unanswered", f.unanswered}, {"twice", twice},
                     {"refused_connects", f.refused_connects}, {"reloads", doings_.reloads},
                     {"reloads_refused", doings_.reloads_refused}, {"upgrades", doings_.upgrades},
                     {"upgrades_failed", doings_.upgrades_failed}, {"kills", doings_.kills}, {"stops", doings_.stops},
                     {"served", f.served}, {"refused", f.refused}, {"failed", f.failed}, {"other", f.other},
                     {"to_kills", f.to_kills}, {"unsafe_sent_on", platform_.unsafe_sent_on()}, {"resent", f.resent}, {"bad_exits", doings_.bad_exits},
                     {"not_ready", doings_.not_ready}, {"server_faults", doings_.server_faults},
                     {"rss_mb_first", first.rss}, {"rss_mb_last", last.rss}, {"descriptors_first", first.descriptors},
                     {"descriptors_last", last.descriptors}, {"good", good}}.dump()
              << std::endl;
    co_return good ? 0 : 1;
  }

  // ---- Stall ------------------------------------------------------------------------------------------
  Task<int> stall() {
    co_await start_all();
    auto& node = *nodes_.front();
    node.load.set_rate(options_.rate);
    co_await pause(2s);
    std::array<std::vector<double>, 3> gaps;
    const int rounds = options_.short_run ? 6 : 15;
    for (int i = 0; i < 3 * rounds; ++i) {
      const auto kind = static_cast<std::size_t>(i % 3);
      const pid_t before = node.process.pid();
      figures_.last_answer = {};
      figures_.longest_gap = {};
      co_await pause(200ms);
      if (kind == 1) {
        node.process.write_good(i % 2 == 0 ? "retry_after = \"2s\"\n" : "");
        node.process.signal(SIGHUP);
      } else if (kind == 2) {
        node.expected_ends.push_back(before);
        node.process.signal(SIGUSR2);
        if (co_await until([&] { return node.process.pid_in_file() != before; }, 15s))
          node.process.set_pid(node.process.pid_in_file()), ++doings_.upgrades;
      }
      co_await pause(800ms);
      gaps[kind].push_back(std::chrono::duration<double, std::milli>(figures_.longest_gap).count());
    }
    const bool quiet = co_await stop_all();
    const auto median = [](std::vector<double> v) {
      std::ranges::nth_element(v, v.begin() + static_cast<std::ptrdiff_t>(v.size() / 2));
      return v[v.size() / 2];
    };
    const auto& f = figures_;
    const bool good = quiet && f.unanswered == 0 && f.refused_connects == 0 && platform_.unsafe_twice() == 0 &&
                      doings_.upgrades == static_cast<std::uint64_t>(rounds);
    for (const auto& t : f.faults) std::cout << "fault: " << t << '\n';
    for (const auto& t : doings_.faults) std::cout << "fault: " << t << '\n';
    std::cout << nlohmann::ordered_json{{"rate", options_.rate}, {"rounds", rounds}, {"accepted", f.accepted},
                     {"answered", f.answered}, {"unanswered", f.unanswered}, {"refused_connects", f.refused_connects},
                     {"resent", f.resent}, {"upgrades", doings_.upgrades}, {"gap_ms_none", median(gaps[0])}, {"gap_ms_reload", median(gaps[1])},
                     {"gap_ms_upgrade", median(gaps[2])}, {"gap_ms_none_most", std::ranges::max(gaps[0])},
                     {"gap_ms_reload_most", std::ranges::max(gaps[1])},
                     {"gap_ms_upgrade_most", std::ranges::max(gaps[2])}, {"good", good}}.dump()
              << std::endl;
    co_return good ? 0 : 1;
  }

  // ---- CPU for each request, against another build --------------------------------------------------------
  Task<int> pair() {
    for (std::size_t i = 0; i < 2; ++i) {
      nodes_[i]->process.start_plain(i == 0 ? DOCKLIFT : options_.pair);
      while (!co_await answers_ready(*nodes_[i])) co_await pause(20ms);
      nodes_[i]->load.run();
    }
    std::array<std::vector<double>, 2> costs;  // microseconds a request
    std::vector<double> ratios;
    const int rounds = options_.short_run ? 5 : 20;
    for (int round = -1; round < rounds; ++round) {  // the first warms up
      for (std::size_t side = 0; side < 2; ++side) {
        auto& node = *nodes_[(side + static_cast<std::size_t>(round + 1)) % 2];
        const auto which = &node == nodes_[0].get() ? 0U : 1U;
        const auto answered = figures_.answered;
        const double before = held_by(node.process.pid())->cpu_seconds;
        node.load.set_rate(options_.rate);
        co_await pause(2s);
        node.load.set_rate(0);
        co_await until([&] { return node.load.open() == 0; }, 3s);
        const double used = held_by(node.process.pid())->cpu_seconds - before;
        if (round >= 0) costs[which].push_back(1e6 * used / static_cast<double>(figures_.answered - answered));
      }
      if (round >= 0) ratios.push_back(costs[0].back() / costs[1].back());
    }
    co_await stop_all();
    const auto median = [](std::vector<double> v) {
      std::ranges::sort(v);
      return v[v.size() / 2];
    };
    const bool good = figures_.unanswered == 0 && figures_.answered == figures_.accepted;
    std::cout << nlohmann::ordered_json{{"rate", options_.rate}, {"rounds", rounds}, {"answered", figures_.answered},
                     {"cpu_us_this", median(costs[0])}, {"cpu_us_other", median(costs[1])},
                     {"ratio_median", median(ratios)}, {"ratio_least", std::ranges::min(ratios)},
                     {"ratio_most", std::ranges::max(ratios)}, {"good", good}}.dump()
              << std::endl;
    co_return good ? 0 : 1;
  }

  asio::io_context& io_;
  Options options_;
  Platform platform_;
  std::mt19937_64 random_;
  asio::basic_signal_set<snowknot::Executor> children_;
  Figures figures_;
  Doings doings_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<Sample> samples_;
  std::size_t troubled_ = 0;
  bool running_ = true;
};

}  // namespace

int main(int argc, char** argv) {
  Options o;
  CLI::App app("A fleet of docklift processes that are stopped, killed, reloaded and upgraded under load");
  app.add_flag("--short", o.short_run, "5 nodes, 30 s");
  app.add_flag("--stall", o.stall, "measure the gaps in answers around a reload and an upgrade instead");
  auto* nodes = app.add_option("--nodes", o.nodes, "processes")->capture_default_str();
  auto* seconds = app.add_option("--seconds", o.seconds, "how long")->capture_default_str();
  auto* rate = app.add_option("--rate", o.rate, "requests a second over all nodes")->capture_default_str();
  app.add_option("--seed", o.seed, "for what is done when, and to whom")->capture_default_str();
  app.add_option("--pair", o.pair, "another build's program: compare the CPU time for each request");
  CLI11_PARSE(app, argc, argv);
  if (o.short_run && nodes->count() == 0) o.nodes = 5;
  if (o.short_run && seconds->count() == 0) o.seconds = 30;
  if (o.stall) o.nodes = 1;
  if (!o.pair.empty()) o.nodes = 2;
  if ((o.stall || !o.pair.empty()) && rate->count() == 0) o.rate = 2000;
  std::signal(SIGPIPE, SIG_IGN);
  ::prctl(PR_SET_CHILD_SUBREAPER, 1);  // successors outlive the process that started them
  std::string home = (std::filesystem::temp_directory_path() / "docklift-fleet-XXXXXX").string();
  if (::mkdtemp(home.data()) == nullptr) return 1;
  int code = 1;
  try {
    asio::io_context io(1);
    Fleet fleet(io, o, home);
    code = fleet.run();
  } catch (const std::exception& x) {
    std::cerr << "fleet: " << x.what() << '\n';
  }
  std::error_code ignored;
  std::filesystem::remove_all(home, ignored);
  return code;
}
