// Single stories of the core's safety over ControlFleet; docs/design/control-safety.md names them.
#include <boost/test/unit_test.hpp>

#include "control_fleet.hpp"

namespace docklift::test {
namespace {

using namespace std::chrono_literals;
using configuration::ChangeKind;

const std::vector<std::string> kTwoZones = {"a", "a", "b"};

ControlFleet fleet_of(std::vector<std::string> zones, std::uint64_t seed) {
  FleetOptions options;
  options.zones = std::move(zones);
  options.seed = seed;
  return ControlFleet(options);
}

// The answer of a call, or 0 if there is none in time.
int answer(ControlFleet& fleet, MemberIndex at, ChangeKind kind, const std::string& text,
           Duration limit = 5s) {
  const auto status = std::make_shared<int>(0);
  if (!fleet.propose(at, kind, text, [status](int told, const auto&) { *status = told; })) return 0;
  fleet.run_until([&] { return *status != 0; }, limit);
  return *status;
}

int put(ControlFleet& fleet, MemberIndex at, std::uint64_t version, std::uint64_t parent,
        Duration limit = 5s) {
  return answer(fleet, at, ChangeKind::replace,
                configuration_body(version, parent, "s" + std::to_string(version)), limit);
}

template <class Message>
bool holds(const Packet& packet) {
  return std::holds_alternative<Message>(packet.envelope.message);
}

BOOST_AUTO_TEST_SUITE(control_stories)

BOOST_AUTO_TEST_CASE(given_a_half_decided_change_when_an_order_builds_on_it_then_both_are_decided_soon) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    auto fleet = fleet_of(kTwoZones, seed);
    fleet.run(1s);
    BOOST_TEST(put(fleet, 0, 5, 0) == 200);
    // The proposer never hears that the change was accepted, and ends.
    fleet.on_packet = [](Packet& packet) {
      packet.drop = holds<agreement::Accepted>(packet) && packet.to == 0;
    };
    BOOST_TEST(put(fleet, 0, 6, 5, 200ms) == 0);
    fleet.on_packet = nullptr;
    fleet.lose_power(0);
    // Orders wait at all that are left.
    fleet.propose(2, ChangeKind::replace, configuration_body(7, 6, "s7"), [](int, const auto&) {});
    BOOST_TEST(put(fleet, 1, 7, 6, 2s) == 200, "seed " << seed);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
