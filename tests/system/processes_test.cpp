// Tests of the system's programs as processes: responses to the operator while machines are lost, replaced
// and partitioned.
#include <boost/test/unit_test.hpp>

#include "core_fleet.hpp"
#include "process_fleet.hpp"
#include "system/base/settings.hpp"

namespace docklift::test {
namespace {

constexpr Duration kStartTimeout = 15s;  // for the first command; processes start slowly on a loaded machine
constexpr Duration kAckTimeout = 8s;     // ack_ms of the operators' specification, for a stable quorum
constexpr Duration kSyncTime = 4s;       // sync_s: time after the start from which a new machine may be lost
constexpr Duration kPartitionTime = 20s;
constexpr Duration kConvergenceTimeout = 10s;  // twice contact_ms
constexpr Duration kCommandInterval = 500ms;
constexpr int kProxy = 8;

// The path prefix of a configuration's single route contains its version.
std::string route_prefix(std::uint64_t version) { return "/v" + std::to_string(version) + "/"; }

std::string config_of_version(std::uint64_t version, std::uint64_t parent,
                              const std::string& service = "alpha") {
  const std::string path = "/a/";
  auto body = config_body(version, parent, service);
  return body.replace(body.find(path), path.size(), route_prefix(version));
}

// An operator who sends configurations, each based on the last accepted one.
class Operator {
 public:
  explicit Operator(ProcessFleet& fleet) : fleet_(fleet) {}

  // Sends the next version to these machines in turn. Returns whether it was acknowledged in time.
  bool commit_next(const std::vector<int>& machines, Duration limit = kAckTimeout) {
    const auto response = fleet_.send_command_until_definite(machines, "/Config.Replace",
                                                             config_of_version(version + 1, version), limit);
    if (response.status != 200) return false;
    ++version;
    return true;
  }
  // Sends the last accepted version again. Returns the status.
  int repeat_last(int machine) {
    return fleet_
        .send_command_until_definite({machine}, "/Config.Replace", config_of_version(version, version - 1),
                                     kAckTimeout)
        .status;
  }
  std::uint64_t version = 0;

 private:
  ProcessFleet& fleet_;
};

void check_newest(ProcessFleet& fleet, const std::vector<int>& machines, std::uint64_t version) {
  for (const int machine : machines)
    BOOST_TEST(fleet.until([&] { return fleet.version_at(machine) == version; }, kConvergenceTimeout),
               "machine " << machine << " does not read version " << version << ":\n"
                          << fleet.log(machine));
}

// Checks that the proxy uses the newest configuration: 503, as the route's service has no server, and 404 for
// the previous route.
void check_proxy(ProcessFleet& fleet, std::uint64_t version) {
  const auto uses_newest = [&] {
    return fleet.send_request(kProxy, route_prefix(version) + "x").status == 503 &&
           fleet.send_request(kProxy, route_prefix(version - 1) + "x").status == 404;
  };
  BOOST_TEST(fleet.until(uses_newest, kConvergenceTimeout), "the proxy does not have version "
                                                                << version << ":\n"
                                                                << fleet.log(kProxy));
}

// Three core machines and a proxy after their first start, with the first configuration.
struct StartedFleet {
  StartedFleet() {
    for (const int machine : {1, 2, 3}) fleet.start_core(machine);
    fleet.start_proxy(kProxy);
    BOOST_TEST_REQUIRE(operators.commit_next({1, 2, 3}, kStartTimeout), fleet.log(1));
  }
  // Kills a machine permanently and replaces it by an empty one in its zone, which gets its sync time while
  // commands continue.
  void replace(int lost, int replacement, const std::vector<int>& remaining) {
    fleet.kill(lost);
    fleet.start_replacement(replacement, lost);
    const auto end = std::chrono::steady_clock::now() + kSyncTime;
    while (std::chrono::steady_clock::now() < end) {
      BOOST_TEST(operators.commit_next(remaining),
                 "a command after the loss of machine " << lost << " is not acknowledged");
      fleet.until([] { return false; }, kCommandInterval);
    }
  }
  // Partitions a machine for twenty seconds and sends commands to both sides. None of those to the isolated
  // machine may be accepted.
  void send_commands_to_both_sides(int isolated, const std::vector<int>& majority,
                                   const std::function<void(bool blocked)>& partition) {
    partition(true);
    const auto end = std::chrono::steady_clock::now() + kPartitionTime;
    std::string rejected;
    while (std::chrono::steady_clock::now() < end) {
      rejected = config_of_version(operators.version + 1, operators.version, "beta");
      const auto response = fleet.send_command(isolated, "/Config.Replace", rejected);
      BOOST_TEST((response.status < 200 || response.status >= 300),
                 "the isolated machine has acknowledged " << rejected);
      BOOST_TEST(operators.commit_next(majority),
                 "the majority does not acknowledge " << operators.version + 1);
      fleet.until([] { return false; }, kCommandInterval);
    }
    partition(false);
    check_newest(fleet, {1, 2, 3}, operators.version);
    const auto repeated = fleet.send_command_until_definite({isolated}, "/Config.Replace", rejected,
                                                            kAckTimeout);
    BOOST_TEST(repeated.status == 412);
    BOOST_TEST(operators.repeat_last(isolated) == 200);
    check_newest(fleet, {1, 2, 3}, operators.version);
    check_proxy(fleet, operators.version);
  }

  ProcessFleet fleet{3};
  Operator operators{fleet};
};

BOOST_FIXTURE_TEST_SUITE(processes, StartedFleet)

BOOST_AUTO_TEST_CASE(
    given_three_machines_when_one_is_killed_then_orders_go_on_and_it_reads_the_newest_on_return) {
  fleet.kill(1);
  BOOST_TEST(operators.commit_next({2, 3}));
  const auto outdated = fleet.send_command_until_definite({3, 2}, "/Config.Replace", config_of_version(3, 1),
                                                          kAckTimeout);
  BOOST_TEST(outdated.status == 412);
  fleet.restart(1);
  check_newest(fleet, {1, 2, 3}, operators.version);
  BOOST_TEST(operators.repeat_last(1) == 200);
  check_proxy(fleet, operators.version);
}

BOOST_AUTO_TEST_CASE(given_two_replaced_machines_when_another_is_lost_then_the_next_order_is_acknowledged) {
  replace(1, 4, {2, 3, 4});
  replace(2, 5, {3, 4, 5});
  fleet.kill(3);
  BOOST_TEST(operators.commit_next({4, 5}), fleet.log(4) << "\n" << fleet.log(5));
  check_newest(fleet, {4, 5}, operators.version);
  check_proxy(fleet, operators.version);
}

BOOST_AUTO_TEST_CASE(given_a_machine_cut_off_when_orders_go_to_both_sides_then_only_the_majoritys_are_taken) {
  send_commands_to_both_sides(1, {2, 3}, [&](bool blocked) { fleet.isolate(1, blocked); });
}

BOOST_AUTO_TEST_CASE(
    given_a_machine_that_is_not_heard_when_orders_go_to_both_sides_then_only_the_majoritys_are_taken) {
  send_commands_to_both_sides(1, {2, 3}, [&](bool blocked) {
    for (const int other : {2, 3, kProxy}) fleet.cut(1, other, blocked);
  });
}

// Guards against an acknowledged departure that no other machine has heard of: for two seconds the links of a
// machine that was cut off still look connected.
BOOST_AUTO_TEST_CASE(
    given_a_machine_just_cut_off_when_a_server_leaves_there_then_only_the_majority_acknowledges) {
  const auto report = [&](int machine, const std::string& call, const std::string& body) {
    return fleet.exchange(fleet.ctl(machine), "POST", call, body, 1s).status;
  };
  const auto heartbeat = [](const std::string& phase, int calls) {
    return R"({"svc":"alpha","addr":"127.0.0.1:9","az":"z1","cap":4,"phase":")" + phase + R"(","calls":)" +
           std::to_string(calls) + "}";
  };
  for (const std::string id : {"i-1", "i-2"})
    BOOST_TEST(report(1, "/Instances.Heartbeat/" + id, heartbeat("ready", 1)) == 200);
  fleet.isolate(1, true);
  BOOST_TEST(report(1, "/Instances.Leave/i-1", "") != 200);
  BOOST_TEST(report(1, "/Instances.Heartbeat/i-2", heartbeat("draining", 2)) != 200);
  BOOST_TEST(report(2, "/Instances.Leave/i-1", "") == 200);
  BOOST_TEST(report(2, "/Instances.Heartbeat/i-2", heartbeat("draining", 3)) == 200);
  fleet.isolate(1, false);
  const auto acknowledges = [&](const std::string& call, const std::string& body) {
    return fleet.until([&] { return report(1, call, body) == 200; }, kConvergenceTimeout);
  };
  BOOST_TEST(acknowledges("/Instances.Leave/i-1", ""));
  BOOST_TEST(acknowledges("/Instances.Heartbeat/i-2", heartbeat("draining", 4)));
}

// Counts the connections made to a server's address; each is closed at once.
class ConnectionCounter {
 public:
  explicit ConnectionCounter(const std::string& host) : acceptor_(io_) {
    acceptor_.open(boost::asio::ip::tcp::v4());
    acceptor_.bind({boost::asio::ip::make_address(host), 0});
    acceptor_.listen();
    acceptor_.non_blocking(true);
  }
  std::string address() const {
    const auto at = acceptor_.local_endpoint();
    return at.address().to_string() + ":" + std::to_string(at.port());
  }
  // Connections since the last call.
  int take() {
    int accepted = 0;
    boost::system::error_code none_left;
    while (!none_left) {
      boost::asio::ip::tcp::socket connection(io_);
      acceptor_.accept(connection, none_left);
      if (!none_left) ++accepted;
    }
    return accepted;
  }

 private:
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

// Guards against an acknowledged departure that a kill of the whole core loses: records on disk were up to a
// second old, and a proxy took the server back from them.
BOOST_AUTO_TEST_CASE(given_the_core_killed_right_after_a_leave_when_it_is_back_then_no_request_goes_there) {
  constexpr Duration kSaveInterval = 1500ms;  // in which every registry has saved its records
  constexpr Duration kRequestInterval = 150ms;
  const Duration drain = from_millis(Bounds{}.drain_ms);  // the settings don't set it
  ConnectionCounter server("127.0.0.1");
  const auto body = R"({"svc":"alpha","addr":")" + server.address() +
                    R"(","az":"z1","cap":4,"phase":"ready","calls":1})";
  const auto request = [&] {
    fleet.send_request(kProxy, route_prefix(operators.version) + "x");
    fleet.until([] { return false; }, kRequestInterval);
    return server.take();
  };
  const auto report = [&](const std::string& call, const std::string& text) {
    return fleet.exchange(fleet.ctl(1), "POST", call, text, 1s).status;
  };
  BOOST_TEST(report("/Instances.Heartbeat/i-1", body) == 200);
  BOOST_TEST(fleet.until([&] { return request() > 0; }, kConvergenceTimeout), fleet.log(kProxy));
  fleet.until([] { return false; }, kSaveInterval);
  BOOST_TEST(report("/Instances.Leave/i-1", "") == 200);
  const auto acknowledged = std::chrono::steady_clock::now();
  for (const int machine : {1, 2, 3}) fleet.kill(machine);
  for (const int machine : {1, 2, 3}) fleet.restart(machine);
  int late = 0;
  while (std::chrono::steady_clock::now() < acknowledged + 3 * drain) {
    const bool is_late = std::chrono::steady_clock::now() > acknowledged + drain;
    const int arrived = request();
    if (is_late) late += arrived;
  }
  BOOST_TEST(late == 0);
}

// Guards against processes that outlive the grace period and have to be killed. Under sanitizers, leaks show
// as well.
BOOST_AUTO_TEST_CASE(given_processes_that_are_told_to_end_twice_then_each_ends_by_itself_within_the_grace) {
  const Duration grace = from_seconds(Bounds{}.grace_s);  // the settings don't set it
  check_proxy(fleet, operators.version);                  // its signal handler is installed
  const auto proxy = fleet.terminate(kProxy, grace, true);
  BOOST_REQUIRE(proxy.has_value());
  BOOST_TEST(*proxy == std::vector<int>{0}, boost::test_tools::per_element());
  const auto core = fleet.terminate(1, grace, true);
  BOOST_REQUIRE(core.has_value());
  BOOST_TEST(*core == (std::vector<int>{0, 0}), boost::test_tools::per_element());
  BOOST_TEST(operators.commit_next({2, 3}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
