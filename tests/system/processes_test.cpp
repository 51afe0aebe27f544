// The system's programs as processes: what the operator is told while machines are lost, replaced and cut off.
#include <boost/test/unit_test.hpp>

#include "core_fleet.hpp"
#include "process_fleet.hpp"
#include "system/base/settings.hpp"

namespace docklift::test {
namespace {

constexpr Duration
    kStartLimit = 15s;              // for the first order; processes of a loaded machine take long to start
constexpr Duration kAckLimit = 8s;  // ack_ms of the operators' pages: an order in one settled stretch
constexpr Duration kSyncTime = 4s;  // sync_s: so long after its start a new machine counts as lost
constexpr Duration kCutTime = 20s;
constexpr Duration kAgreeLimit = 10s;  // contact_ms, twice
constexpr Duration kBetweenOrders = 500ms;
constexpr int kProxy = 8;

// The path of a configuration's one route has its version in it.
std::string path_of(std::uint64_t version) { return "/v" + std::to_string(version) + "/"; }

std::string body_of(std::uint64_t version, std::uint64_t parent, const std::string& service = "alpha") {
  const std::string path = "/a/";
  auto body = config_body(version, parent, service);
  return body.replace(body.find(path), path.size(), path_of(version));
}

// An operator's configurations, each on top of the last that was taken.
class Operator {
 public:
  explicit Operator(ProcessFleet& fleet) : fleet_(fleet) {}

  // The next version, at these machines in turn; whether it was acknowledged in time.
  bool next(const std::vector<int>& machines, Duration limit = kAckLimit) {
    const auto answer = fleet_.order_until_clear(machines, "/Config.Replace", body_of(version + 1, version),
                                                 limit);
    if (answer.status != 200) return false;
    ++version;
    return true;
  }
  // The last version that was taken, once more.
  int again(int machine) {
    return fleet_.order_until_clear({machine}, "/Config.Replace", body_of(version, version - 1), kAckLimit)
        .status;
  }
  std::uint64_t version = 0;

 private:
  ProcessFleet& fleet_;
};

void check_newest(ProcessFleet& fleet, const std::vector<int>& machines, std::uint64_t version) {
  for (const int machine : machines)
    BOOST_TEST(fleet.until([&] { return fleet.version_at(machine) == version; }, kAgreeLimit),
               "machine " << machine << " does not read version " << version << ":\n"
                          << fleet.log(machine));
}

// A proxy answers by the newest configuration: 503, as the route's service has no server, and 404 on the route before.
void check_proxy(ProcessFleet& fleet, std::uint64_t version) {
  const auto has_newest = [&] {
    return fleet.ask(kProxy, path_of(version) + "x").status == 503 &&
           fleet.ask(kProxy, path_of(version - 1) + "x").status == 404;
  };
  BOOST_TEST(fleet.until(has_newest, kAgreeLimit), "the proxy does not have version " << version << ":\n"
                                                                                      << fleet.log(kProxy));
}

// Three core machines and a proxy at their first start, with the first configuration.
struct Started {
  Started() {
    for (const int machine : {1, 2, 3}) fleet.start_core(machine);
    fleet.start_proxy(kProxy);
    BOOST_TEST_REQUIRE(operators.next({1, 2, 3}, kStartLimit), fleet.log(1));
  }
  // Kills a machine for good; an empty one in its zone takes its place, and has its time while orders go on.
  void replace(int lost, int fresh, const std::vector<int>& left) {
    fleet.kill(lost);
    fleet.start_replacement(fresh, lost);
    const auto end = std::chrono::steady_clock::now() + kSyncTime;
    while (std::chrono::steady_clock::now() < end) {
      BOOST_TEST(operators.next(left),
                 "an order after the loss of machine " << lost << " is not acknowledged");
      fleet.until([] { return false; }, kBetweenOrders);
    }
  }
  // A machine is cut off for twenty seconds by `cut`; orders go to both sides. None of the machine's own is taken.
  void orders_on_both_sides(int alone, const std::vector<int>& majority,
                            const std::function<void(bool on)>& cut) {
    cut(true);
    const auto end = std::chrono::steady_clock::now() + kCutTime;
    std::string refused;
    while (std::chrono::steady_clock::now() < end) {
      refused = body_of(operators.version + 1, operators.version, "beta");
      const auto answer = fleet.order(alone, "/Config.Replace", refused);
      BOOST_TEST((answer.status < 200 || answer.status >= 300),
                 "the machine alone has acknowledged " << refused);
      BOOST_TEST(operators.next(majority), "the majority does not acknowledge " << operators.version + 1);
      fleet.until([] { return false; }, kBetweenOrders);
    }
    cut(false);
    check_newest(fleet, {1, 2, 3}, operators.version);
    const auto late = fleet.order_until_clear({alone}, "/Config.Replace", refused, kAckLimit);
    BOOST_TEST(late.status == 412);
    BOOST_TEST(operators.again(alone) == 200);
    check_newest(fleet, {1, 2, 3}, operators.version);
    check_proxy(fleet, operators.version);
  }

  ProcessFleet fleet{3};
  Operator operators{fleet};
};

BOOST_FIXTURE_TEST_SUITE(processes, Started)

BOOST_AUTO_TEST_CASE(
    given_three_machines_when_one_is_killed_then_orders_go_on_and_it_reads_the_newest_on_return) {
  fleet.kill(1);
  BOOST_TEST(operators.next({2, 3}));
  const auto lost_race = fleet.order_until_clear({3, 2}, "/Config.Replace", body_of(3, 1), kAckLimit);
  BOOST_TEST(lost_race.status == 412);
  fleet.restart(1);
  check_newest(fleet, {1, 2, 3}, operators.version);
  BOOST_TEST(operators.again(1) == 200);
  check_proxy(fleet, operators.version);
}

BOOST_AUTO_TEST_CASE(given_two_replaced_machines_when_another_is_lost_then_the_next_order_is_acknowledged) {
  replace(1, 4, {2, 3, 4});
  replace(2, 5, {3, 4, 5});
  fleet.kill(3);
  BOOST_TEST(operators.next({4, 5}), fleet.log(4) << "\n" << fleet.log(5));
  check_newest(fleet, {4, 5}, operators.version);
  check_proxy(fleet, operators.version);
}

BOOST_AUTO_TEST_CASE(given_a_machine_cut_off_when_orders_go_to_both_sides_then_only_the_majoritys_are_taken) {
  orders_on_both_sides(1, {2, 3}, [&](bool on) { fleet.cut_off(1, on); });
}

BOOST_AUTO_TEST_CASE(
    given_a_machine_that_is_not_heard_when_orders_go_to_both_sides_then_only_the_majoritys_are_taken) {
  orders_on_both_sides(1, {2, 3}, [&](bool on) {
    for (const int other : {2, 3, kProxy}) fleet.cut(1, other, on);
  });
}

// Processes were still there at the end of the grace and were killed; under sanitizers, what they leave behind shows.
BOOST_AUTO_TEST_CASE(given_processes_that_are_told_to_end_twice_then_each_ends_by_itself_within_the_grace) {
  const Duration grace = from_seconds(Bounds{}.grace_s);  // the settings name none
  check_proxy(fleet, operators.version);                  // its signal handler stands
  const auto proxy = fleet.terminate(kProxy, grace, true);
  BOOST_REQUIRE(proxy.has_value());
  BOOST_TEST(*proxy == std::vector<int>{0}, boost::test_tools::per_element());
  const auto core = fleet.terminate(1, grace, true);
  BOOST_REQUIRE(core.has_value());
  BOOST_TEST(*core == (std::vector<int>{0, 0}), boost::test_tools::per_element());
  BOOST_TEST(operators.next({2, 3}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
