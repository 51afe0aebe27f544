// Faults planted around the replicas (in messages, disks and settings): the plays must find each of them, so
// that a play without violations says something. Not planted here, as no wrapper reaches them: a proposer that
// counts a removed voter, a leaving member that ends with the last copy, a lease that is counted from reading.
#include <boost/test/unit_test.hpp>

#include "control_play.hpp"

namespace docklift::test {
namespace {

using namespace std::chrono_literals;
using configuration::ChangeKind;

constexpr std::uint64_t kSeeds = 300;  // that are played for each planted fault
constexpr std::uint64_t kSeedsThatHold = 40;
constexpr std::size_t kFindingSeeds = 3;  // that must find it

constexpr std::size_t kLongChanges = 200;  // of plays that need many chances
constexpr Duration kLongest = 120s;
constexpr Duration kLate = 3s;  // of an order that comes once more

// Of the first seeds, those whose play finds a violation, and none without the planted fault.
std::size_t finding_seeds(const PlayOptions& prototype) {
  std::size_t finding = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds && finding < kFindingSeeds; ++seed) {
    auto options = prototype;
    options.seed = seed;
    if (play(options).violations.empty()) continue;
    options.plant = nullptr;
    finding += play(options).violations.empty();
  }
  return finding;
}

PlayOptions options_with(std::vector<Fault> faults, std::function<void(ControlFleet&)> plant) {
  PlayOptions options;
  options.zone_orders = false;
  options.faults = std::move(faults);
  options.plant = std::move(plant);
  return options;
}

BOOST_AUTO_TEST_SUITE(planted_faults)

BOOST_AUTO_TEST_CASE(given_disks_whose_syncs_do_nothing_when_power_is_lost_then_the_plays_find_it) {
  const auto options = options_with({Fault::power_loss_all, Fault::power_loss}, [](ControlFleet& fleet) {
    fleet.on_write = [](MemberIndex, agreement::Write& write) { write.durable = false; };
  });
  BOOST_TEST(finding_seeds(options) == kFindingSeeds);
}

BOOST_AUTO_TEST_CASE(given_a_learner_that_votes_with_the_identity_of_the_lost_disk_then_the_plays_find_it) {
  const auto options = options_with({Fault::disk_loss, Fault::disk_loss, Fault::kill, Fault::cut_off},
                                    [](ControlFleet& fleet) {
                                      fleet.on_options = [](MemberIndex, agreement::Options& settings) {
                                        settings.new_disk = configuration::kBootstrapDisk;
                                      };
                                    });
  BOOST_TEST(finding_seeds(options) == kFindingSeeds);
}

BOOST_AUTO_TEST_CASE(given_acknowledgements_in_one_zone_when_its_disks_are_lost_then_the_plays_find_it) {
  const auto options = options_with(
      {Fault::zone_disk_loss, Fault::disk_loss_and_power_loss, Fault::disk_slow}, [](ControlFleet& fleet) {
        fleet.on_options = [](MemberIndex member, agreement::Options& settings) {
          settings.zone = "a zone of member " + std::to_string(member);
        };
      });
  BOOST_TEST(finding_seeds(options) == kFindingSeeds);
}

BOOST_AUTO_TEST_CASE(given_a_history_of_bodies_that_is_forgotten_at_a_start_then_the_plays_find_it) {
  const auto options = options_with({Fault::kill_all, Fault::kill}, [](ControlFleet& fleet) {
    fleet.on_read_disk = [](MemberIndex, agreement::DurableState& kept) { kept.state.history = {}; };
  });
  BOOST_TEST(finding_seeds(options) == kFindingSeeds);
}

BOOST_AUTO_TEST_CASE(given_disks_that_return_an_older_snapshot_when_all_start_then_the_plays_find_it) {
  const auto options = options_with({Fault::kill_all, Fault::power_loss_all}, [](ControlFleet& fleet) {
    const auto first = std::make_shared<std::map<MemberIndex, agreement::DurableState>>();
    fleet.on_read_disk = [first](MemberIndex member, agreement::DurableState& kept) {
      if (!kept.has_state) return;
      const auto [older, is_first] = first->try_emplace(member, kept);
      if (!is_first) kept = older->second;
    };
  });
  BOOST_TEST(finding_seeds(options) == kFindingSeeds);
}

BOOST_AUTO_TEST_CASE(given_promises_that_are_not_kept_so_that_a_ballot_is_used_twice_then_the_plays_find_it) {
  const auto options = options_with(
      {Fault::kill, Fault::kill_all, Fault::cut_one_way, Fault::cut_pair, Fault::link_reset},
      [](ControlFleet& fleet) {
        fleet.on_read_disk = [](MemberIndex, agreement::DurableState& kept) {
          kept.promised = {};
          kept.accepted.clear();
        };
      });
  BOOST_TEST(finding_seeds(options) == kFindingSeeds);
}

// A second copy of each order for a zone comes seconds later, as from a store that was cut off with it. With
// `stamped_late` it names the place at which it is proposed and not the one at which the order arrived.
PlayOptions options_with_late_copies(bool stamped_late) {
  auto options = options_with({Fault::kill, Fault::link_reset}, [stamped_late](ControlFleet& fleet) {
    fleet.on_proposal = [&fleet, stamped_late](MemberIndex at, ChangeKind kind, const std::string& text) {
      if (kind != ChangeKind::evacuate && kind != ChangeKind::readmit) return;
      fleet.later(kLate, [&fleet, at, kind, text, stamped_late] {
        if (!fleet.is_up(at)) return;
        auto order = configuration::decode_evacuation(text);
        if (stamped_late) order->base = fleet.replica(at).state().position;
        const auto hook = std::exchange(fleet.on_proposal, nullptr);
        fleet.propose(at, kind, configuration::encode(*order), [](int, const auto&) {});
        fleet.on_proposal = hook;
      });
    };
  });
  options.zone_orders = true;
  return options;
}

BOOST_AUTO_TEST_CASE(given_late_orders_for_zones_that_are_stamped_when_proposed_then_the_plays_find_it) {
  BOOST_TEST(finding_seeds(options_with_late_copies(true)) == kFindingSeeds);
}

BOOST_AUTO_TEST_CASE(given_late_orders_for_zones_that_are_stamped_at_arrival_then_none_takes_effect) {
  for (std::uint64_t seed = 1; seed <= kSeedsThatHold; ++seed) {
    auto options = options_with_late_copies(false);
    options.seed = seed;
    for (const auto& violation : play(options).violations)
      BOOST_TEST(false, "seed " << seed << ": " << violation);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
