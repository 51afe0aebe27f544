// Soaks of the system's programs as processes: troubles, departures and changes in overlapping series, drawn from a
// seed. SOAK_SEED plays another seed than the one of CI.
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>

#include "departure_soak.hpp"
#include "soak_clients.hpp"

namespace docklift::test {
namespace {

std::uint64_t soak_seed(std::uint64_t in_ci) {
  const char* seed = std::getenv("SOAK_SEED");
  return seed ? std::stoull(seed) : in_ci;
}

constexpr Duration kSoakTime = 20s;
constexpr int kSecondProxy = 9;

// Changes the limit of the only tenant again and again: none, a low one, and one with other windows.
class LimitChanges {
 public:
  LimitChanges(StartedFleet& fleet, std::uint64_t seed) : fleet_(fleet), random_(seed) {}

  static constexpr double kTimeoutMs = 3000;  // tmo_ms of the route
  static constexpr const char* kPath = "/a/x";

  // Sends one to these machines in turn; whether it was acknowledged in time.
  bool change(const std::vector<int>& machines, Duration limit = 2s) {
    auto& version = fleet_.operators.version;
    const auto response = fleet_.fleet.send_command_until_definite(machines, "/Config.Replace",
                                                                   next_configuration(version), limit);
    if (response.status == 200) return ++version, ++acknowledged, true;
    // It may be in force all the same.
    for (const int machine : machines) version = std::max(version, fleet_.fleet.version_at(machine));
    return false;
  }
  void maybe_change(const std::vector<int>& machines) {
    if (random_() % 2 == 0) change(machines);
  }
  int acknowledged = 0;

 private:
  std::string next_configuration(std::uint64_t version) {
    auto text = config_body(version + 1, version);
    const std::vector<std::string> limits{R"("per_s":0,"burst":0)", R"("per_s":40,"burst":40)",
                                          R"("per_s":40,"burst":60)"};
    replace(text, R"("per_s":10,"burst":10)", limits[random_() % limits.size()]);
    replace(text, R"("target_ms":500)", R"("target_ms":2500)");
    replace(text, R"("tmo_ms":1000)", R"("tmo_ms":3000)");
    return text;
  }
  static void replace(std::string& text, const std::string& from, const std::string& to) {
    text.replace(text.find(from), from.size(), to);
  }

  StartedFleet& fleet_;
  std::mt19937_64 random_;
};

BOOST_FIXTURE_TEST_SUITE(processes, StartedFleet)

// Guards against departures that are lost while machines come and go.
BOOST_AUTO_TEST_CASE(given_troubles_in_overlapping_series_when_servers_leave_then_no_request_follows_them) {
  DepartureSoak soak(fleet, soak_seed(4));
  soak.run(kSoakTime, route_prefix(operators.version) + "x");
  BOOST_TEST(soak.late == 0);
  BOOST_TEST(soak.acknowledged > 0);
  BOOST_TEST(soak.arrived > 0);
  BOOST_TEST_MESSAGE(soak.acknowledged << " departures acknowledged, " << soak.unacknowledged << " not; "
                                       << soak.arrived << " connections, " << soak.late << " late");
}

// Guards against requests that wait for units and are never answered, as limits are lifted and set, while servers leave
// and core machines come and go.
BOOST_AUTO_TEST_CASE(
    given_limits_and_servers_that_change_in_overlapping_series_then_each_request_is_answered) {
  fleet.start_proxy(kSecondProxy);
  LimitChanges limits(*this, soak_seed(3));
  BOOST_TEST_REQUIRE(limits.change({1, 2, 3}, kStartTimeout));
  SoakClients clients({.proxies = {fleet.http(kProxy), fleet.http(kSecondProxy)},
                       .path = LimitChanges::kPath,
                       .response_limit = from_millis(LimitChanges::kTimeoutMs + 500)});
  std::uint64_t calls = 0;
  const auto report_server = [&](const std::vector<int>& machines) {
    const auto heartbeat = R"({"svc":"alpha","addr":")" + clients.server_address() +
                           R"(","az":"z1","cap":64,"phase":"ready","calls":)" + std::to_string(++calls) + "}";
    for (const int machine : machines)
      if (fleet.exchange(fleet.ctl(machine), "POST", "/Instances.Heartbeat/i-0", heartbeat, 200ms).status ==
          200)
        return;
  };
  report_server({1, 2, 3});
  clients.start();
  BOOST_TEST(fleet.until([&] { return clients.counts().served > 0; }, kConvergenceTimeout),
             fleet.log(kProxy));
  DepartureSoak soak(fleet, soak_seed(3));
  soak.run(kSoakTime, LimitChanges::kPath, [&] {
    report_server(soak.troubles().reachable());
    limits.maybe_change(soak.troubles().reachable());
  });
  fleet.until([] { return false; }, from_millis(LimitChanges::kTimeoutMs + 500));
  const auto& counts = clients.counts();
  BOOST_TEST(counts.unanswered == 0);
  BOOST_TEST(counts.lost == 0);
  BOOST_TEST(soak.late == 0);
  BOOST_TEST(limits.acknowledged > 0);
  BOOST_TEST(counts.served > 0);
  BOOST_TEST(counts.refused > 0);
  BOOST_TEST_MESSAGE(limits.acknowledged << " changes of limits acknowledged; " << counts.served
                                         << " requests served, " << counts.refused << " refused, "
                                         << counts.unanswered << " unanswered, " << counts.lost << " lost; "
                                         << soak.acknowledged << " departures, " << soak.late
                                         << " late connections");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
