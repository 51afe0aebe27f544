// Tests of the system's programs as processes: responses to the operator while machines are lost, replaced
// and partitioned.
#include <boost/test/unit_test.hpp>

#include "connection_counter.hpp"
#include "started_fleet.hpp"
#include "system/base/settings.hpp"

namespace docklift::test {
namespace {

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

// Guards against a core that waits for the link to a machine that was replaced: no server ever counted as silent.
BOOST_AUTO_TEST_CASE(given_a_replaced_machine_when_a_server_falls_silent_then_the_core_notices) {
  constexpr Duration kSilenceLimit = 12s;  // twice the time of four heartbeats
  replace(1, 4, {2, 3, 4});
  const auto
      heartbeat = R"({"svc":"alpha","addr":"127.0.0.1:9","az":"z1","cap":4,"phase":"ready","calls":1})";
  BOOST_TEST(fleet.exchange(fleet.ctl(2), "POST", "/Instances.Heartbeat/i-1", heartbeat, 1s).status == 200);
  for (const int machine : {2, 3, 4})
    BOOST_TEST(
        fleet.until([&] { return fleet.log(machine).find("server i-1 is silent") != std::string::npos; },
                    kSilenceLimit),
        fleet.log(machine));
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
  // All three serve and have links to each other.
  for (const int machine : {1, 2, 3})
    BOOST_TEST(
        fleet.until([&] { return report(machine, "/Instances.Leave/i-0", "") == 200; }, kStartTimeout));
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
  const auto proxy = fleet.terminate(kProxy, grace, ProcessFleet::TerminationSignals::twice);
  BOOST_REQUIRE(proxy.has_value());
  BOOST_TEST(*proxy == std::vector<int>{0}, boost::test_tools::per_element());
  const auto core = fleet.terminate(1, grace, ProcessFleet::TerminationSignals::twice);
  BOOST_REQUIRE(core.has_value());
  BOOST_TEST(*core == (std::vector<int>{0, 0}), boost::test_tools::per_element());
  BOOST_TEST(operators.commit_next({2, 3}));
}

// Guards against a signal that comes after the handlers are destroyed: it killed the process, with its exit code
// lost.
BOOST_AUTO_TEST_CASE(given_signals_until_a_process_has_ended_then_it_ends_with_its_exit_code) {
  const Duration grace = from_seconds(Bounds{}.grace_s);  // the settings don't set it
  check_proxy(fleet, operators.version);                  // its signal handler is installed
  for (const int machine : {kProxy, 1}) {
    const auto codes = fleet.terminate(machine, grace, ProcessFleet::TerminationSignals::until_ended);
    BOOST_REQUIRE(codes.has_value());
    BOOST_TEST(*codes == std::vector<int>(codes->size(), 0), boost::test_tools::per_element());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
