// Tests of the counts of quota units while the limits of tenants change.
#include <boost/test/unit_test.hpp>

#include "units_fleet.hpp"

namespace docklift::test {
namespace {

// Nearly the same limits, by windows of 1.25 and 1.67 s.
constexpr counts::Quota kShortWindows{40, 40};
constexpr counts::Quota kLongWindows{40, 60};
constexpr double kHighestSpan = (40 * 5 + 60) * 1.1 + 20;  // requests that the higher one allows in 5 s

BOOST_AUTO_TEST_SUITE(quota_changes)

// Guards against counts that begin anew with each change of the window, so that a tenant gets a window more each time.
BOOST_AUTO_TEST_CASE(given_a_flood_when_the_window_changes_again_and_again_then_no_span_exceeds_the_quota) {
  BOOST_TEST(counts::window_of(kShortWindows, kTolerance).length !=
             counts::window_of(kLongWindows, kTolerance).length);
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    UnitsFleet fleet(8, kShortWindows, seed);
    std::mt19937_64 random(seed);
    fleet.run(10s, 320);
    for (int change = 0; change < 30; ++change) {
      fleet.change_quota(change % 2 == 0 ? kLongWindows : kShortWindows, 300ms);
      fleet.run(Duration(1ms) * static_cast<int>(300 + random() % 1500), 320);
    }
    BOOST_TEST(static_cast<double>(fleet.max_in_span) <= kHighestSpan,
               "seed " << seed << ": " << fleet.max_in_span);
  }
}

// A tenant within both limits notices nothing of the changes.
BOOST_AUTO_TEST_CASE(given_a_tenant_within_its_quota_when_the_window_changes_then_few_requests_are_refused) {
  UnitsFleet fleet(8, kShortWindows, 1);
  fleet.run(10s, 25);
  fleet.requested = fleet.rejected = 0;
  for (int change = 0; change < 10; ++change) {
    fleet.change_quota(change % 2 == 0 ? kLongWindows : kShortWindows, 300ms);
    fleet.run(3s, 25);
  }
  BOOST_TEST(static_cast<double>(fleet.rejected) < 0.02 * static_cast<double>(fleet.requested),
             fleet.rejected << " of " << fleet.requested);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
