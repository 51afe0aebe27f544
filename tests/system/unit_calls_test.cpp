// Tests of calls for quota units between a proxy's control client and the registries, on sockets.
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "path_fleet.hpp"
#include "system/proxy/control_client.hpp"

namespace docklift::test {
namespace {

// Keeps the responses to calls for units.
struct GrantRecorder : proxy::ControlClient::Listener {
  void on_changes(const fleet::ChangeLog& /*changes*/) override {}
  void on_servers(const std::vector<fleet::Server>& /*changed*/, bool /*all_known*/) override {}
  void on_proxies(const std::vector<std::string>& /*zone_and_id*/) override {}
  void on_confirmed(Time /*at*/) override {}
  void on_lagging(bool /*lagging*/) override {}
  void on_holder_reachable(bool reachable) override { holder_reachable = reachable; }
  void on_new_holder(std::uint64_t /*term*/) override {}
  void on_grants(const decisions::UnitResponse& response) override { answer = response; }
  void on_grants_failed() override {}

  bool holder_reachable = false;
  std::optional<decisions::UnitResponse> answer;  // the last one
};

struct CallingFleet : Fleet {
  CallingFleet() {
    BOOST_REQUIRE(
        until([&] { return post(ctl(1), "/Config.Replace", high_quota_config(3, 0)).status == 200; }));
    client.start();
    BOOST_REQUIRE(until([&] { return grants_units_of("t1"); }));
  }
  ~CallingFleet() { client.stop(); }
  CallingFleet(const CallingFleet&) = delete;
  CallingFleet& operator=(const CallingFleet&) = delete;

  // The response to a call with this request alone.
  std::vector<decisions::UnitGrant> call(const decisions::UnitRequest& request) {
    recorder.answer.reset();
    client.request_units({request});
    until([&] { return recorder.answer.has_value(); }, 1s);
    return recorder.answer ? recorder.answer->grants : std::vector<decisions::UnitGrant>{};
  }
  bool grants_units_of(const std::string& tenant) {
    if (!recorder.holder_reachable) return false;
    const auto grants = call({.tenant = tenant, .units = 1});
    return grants.size() == 1 && grants.front().units == 1;
  }

  GrantRecorder recorder;
  snowknot::Clock clock;
  proxy::ControlClient client{io, settings(6), clock, recorder};
};

BOOST_FIXTURE_TEST_SUITE(unit_calls, CallingFleet)

// Guards against a call that counts as in flight though the holder, which doesn't know the tenant yet, has responded.
BOOST_AUTO_TEST_CASE(
    given_a_tenant_that_the_holder_does_not_know_when_units_are_requested_then_the_call_ends) {
  const auto grants = call({.tenant = "unknown", .units = 1});
  BOOST_REQUIRE(grants.size() == 1u);
  BOOST_TEST(grants.front().tenant == "unknown");
  BOOST_TEST(grants.front().units == 0u);
  BOOST_TEST((grants.front().starts == grants.front().ends));  // no window
}

// The response to returned units ends no call that is in flight.
BOOST_AUTO_TEST_CASE(given_units_that_are_handed_back_when_the_holder_responds_then_that_is_no_grant) {
  const auto grants = call({.tenant = "t1", .units = 1});
  BOOST_REQUIRE(grants.size() == 1u);
  BOOST_TEST(call({.tenant = "t1", .units = 1, .returned_window = grants.front().window}).empty());
  BOOST_TEST(recorder.answer.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
