// Three core machines and a proxy as processes, with an operator who sends them configurations.
#pragma once

#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <vector>

#include "core_fleet.hpp"
#include "process_fleet.hpp"

namespace docklift::test {

constexpr Duration kStartTimeout = 15s;  // for the first command; processes start slowly on a loaded machine
constexpr Duration kAckTimeout = 8s;     // ack_ms of the operators' specification, for a stable quorum
constexpr Duration kSyncTime = 4s;       // sync_s: time after the start from which a new machine may be lost
constexpr Duration kPartitionTime = 20s;
constexpr Duration kConvergenceTimeout = 10s;  // twice contact_ms
constexpr Duration kCommandInterval = 500ms;
constexpr int kProxy = 8;

// The path prefix of a configuration's single route contains its version.
inline std::string route_prefix(std::uint64_t version) { return "/v" + std::to_string(version) + "/"; }

inline std::string config_of_version(std::uint64_t version, std::uint64_t parent,
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

inline void check_newest(ProcessFleet& fleet, const std::vector<int>& machines, std::uint64_t version) {
  for (const int machine : machines)
    BOOST_TEST(fleet.until([&] { return fleet.version_at(machine) == version; }, kConvergenceTimeout),
               "machine " << machine << " does not read version " << version << ":\n"
                          << fleet.log(machine));
}

// Checks that the proxy uses the newest configuration: 503, as the route's service has no server, and 404 for
// the previous route.
inline void check_proxy(ProcessFleet& fleet, std::uint64_t version) {
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
    check_newest(fleet, {1, 2, 3}, operators.version);  // all serve
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

}  // namespace docklift::test
