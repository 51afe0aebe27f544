// Tests of the replicated log on a simulated core: single scenarios, and runs with random faults by seed
// whose history is compared with the acknowledged operations.
#include <boost/test/unit_test.hpp>

#include "core_fleet.hpp"

namespace docklift::test {
namespace {

const std::vector<std::string> kTwoZones = {"a", "a", "b"};

BOOST_AUTO_TEST_SUITE(agreement)

BOOST_AUTO_TEST_CASE(given_three_stores_when_a_configuration_is_sent_to_one_then_all_have_it) {
  CoreFleet core(kTwoZones, 1);
  BOOST_TEST(core.put(1, 5, 0) == 200);
  core.run(1s);
  for (std::size_t i = 0; i < 3; ++i) BOOST_TEST(core.state(i).version() == 5u);
}

BOOST_AUTO_TEST_CASE(given_two_operators_when_both_build_on_one_version_then_one_is_accepted) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CoreFleet core(kTwoZones, seed);
    BOOST_TEST(core.put(0, 5, 0) == 200);
    const auto a = core.propose(0, ChangeKind::replace, config_body(7, 5, "one"));
    const auto b = core.propose(2, ChangeKind::replace, config_body(8, 5, "two"));
    const int first = core.wait_for_status(a), second = core.wait_for_status(b);
    BOOST_TEST(((first == 200 && second == 412) || (first == 412 && second == 200)),
               "seed " << seed << ": " << first << ' ' << second);
  }
}

BOOST_AUTO_TEST_CASE(
    given_an_accepted_configuration_when_it_is_sent_again_elsewhere_then_it_is_acknowledged_again) {
  CoreFleet core(kTwoZones, 3);
  BOOST_TEST(core.put(0, 5, 0) == 200);
  BOOST_TEST(core.put(0, 9, 5) == 200);
  const auto length_before = core.history.size();
  BOOST_TEST(core.put(2, 5, 0) == 200);
  BOOST_TEST(core.put(1, 9, 5) == 200);
  BOOST_TEST(core.history.size() == length_before);
  BOOST_TEST(core.put(1, 12, 5) == 412);
  BOOST_TEST(core.put(1, 9, 9) == 400);
}

BOOST_AUTO_TEST_CASE(
    given_a_lagging_store_when_it_is_sent_a_change_based_on_the_newest_version_then_it_is_accepted) {
  CoreFleet core(kTwoZones, 4);
  BOOST_TEST(core.put(0, 5, 0) == 200);
  core.run(1s);
  core.cut_link(0, 2), core.cut_link(1, 2);
  BOOST_TEST(core.put(0, 6, 5) == 200);
  core.heal();
  BOOST_TEST(core.put(2, 7, 6) == 200);
}

BOOST_AUTO_TEST_CASE(given_a_minority_when_it_is_asked_to_change_something_then_it_acknowledges_nothing) {
  CoreFleet core(kTwoZones, 5);
  BOOST_TEST(core.put(0, 5, 0) == 200);
  core.cut_link(0, 2), core.cut_link(1, 2);
  const auto minority_call = core.propose(2, ChangeKind::replace, config_body(8, 5, "lonely"));
  BOOST_TEST(core.put(1, 6, 5) == 200);
  BOOST_TEST(core.wait_for_status(minority_call) == 503);
  core.heal();
  core.run(2s);
  for (std::size_t i = 0; i < 3; ++i) BOOST_TEST(core.state(i).version() == 6u);
}

BOOST_AUTO_TEST_CASE(
    given_an_evacuation_pending_at_a_cut_off_store_when_it_was_ended_meanwhile_then_it_does_not_start_again) {
  CoreFleet core(kTwoZones, 11);
  BOOST_TEST(core.put(0, 5, 0) == 200);
  core.run(1s);
  const auto base = core.state(2).position;
  core.cut_link(0, 2), core.cut_link(1, 2);
  const auto delayed = core.propose(2, ChangeKind::evacuate, zone_command("z", base));
  // The operator receives no reply and sends it again to another store; later the evacuation is ended.
  BOOST_TEST(core.wait_for_status(core.propose(0, ChangeKind::evacuate, zone_command("z", base))) == 200);
  BOOST_TEST(core.wait_for_status(
                 core.propose(1, ChangeKind::readmit, zone_command("z", core.state(1).position))) == 200);
  core.heal();
  BOOST_TEST(core.wait_for_status(delayed) == 503);
  core.run(6s);
  for (std::size_t i = 0; i < 3; ++i) BOOST_TEST(core.state(i).evacuated.empty());
  // A new command is accepted.
  BOOST_TEST(core.wait_for_status(
                 core.propose(2, ChangeKind::evacuate, zone_command("z", core.state(2).position))) == 200);
}

BOOST_AUTO_TEST_CASE(
    given_a_lagging_store_when_it_still_has_a_revoked_state_then_a_repeated_command_is_not_acknowledged) {
  CoreFleet core(kTwoZones, 12);
  BOOST_TEST(core.wait_for_status(core.propose(0, ChangeKind::evacuate, zone_command("z", 0))) == 200);
  core.run(1s);
  const auto base = core.state(2).position;
  core.cut_link(0, 2), core.cut_link(1, 2);
  BOOST_TEST(core.wait_for_status(core.propose(0, ChangeKind::readmit, zone_command("z", base))) == 200);
  const auto lagging = core.propose(2, ChangeKind::evacuate, zone_command("z", base));
  core.run(500ms);
  BOOST_TEST(core.answers[lagging].status == 0);  // evacuated as far as this store knows
  core.heal();
  BOOST_TEST(core.wait_for_status(lagging) == 503);
  BOOST_TEST(core.state(0).evacuated.empty());
}

BOOST_AUTO_TEST_CASE(given_an_acknowledged_change_when_all_lose_power_then_it_is_in_force_after) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    CoreFleet core(kTwoZones, seed);
    BOOST_TEST(core.put(seed % 3, 5, 0) == 200);
    BOOST_TEST(core.wait_for_status(core.propose(0, ChangeKind::evacuate, zone_command("a", 1))) == 200);
    for (std::size_t i = 0; i < 3; ++i) core.lose_power(i);
    core.run(1s);
    for (std::size_t i = 0; i < 3; ++i) core.start(i);
    BOOST_TEST(core.wait_for_status(core.propose(1, ChangeKind::noop, "")) == 200);
    BOOST_TEST(core.state(1).version() == 5u, "seed " << seed);
    BOOST_TEST(core.state(1).evacuated.size() == 1u, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(
    given_an_acknowledged_change_when_a_whole_zone_loses_its_disks_then_it_is_in_force_after) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    CoreFleet core(kTwoZones, seed);
    BOOST_TEST(core.put(seed % 3, 5, 0) == 200);
    core.lose_disk(0), core.lose_disk(1), core.lose_power(2);
    core.run(600ms);
    for (std::size_t i = 0; i < 3; ++i) core.start(i);
    BOOST_TEST(core.wait_for_status(core.propose(0, ChangeKind::noop, "")) == 200, "seed " << seed);
    BOOST_TEST(core.state(0).version() == 5u, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(given_a_store_without_its_disk_when_only_one_other_is_up_then_it_has_no_vote) {
  CoreFleet core(kTwoZones, 7);
  BOOST_TEST(core.put(0, 5, 0) == 200);
  core.kill(2);
  core.lose_disk(1);
  core.start(1);
  core.run(4s);
  BOOST_TEST(!core.votes(1));
  const auto call = core.propose(0, ChangeKind::replace, config_body(6, 5));
  BOOST_TEST(core.wait_for_status(call) == 503);
  core.start(2);
  BOOST_TEST(core.run_until([&] { return core.votes(1); }, 3s));
  core.run(1s);
  BOOST_TEST(core.put(1, 9, core.state(1).version()) == 200);
}

BOOST_AUTO_TEST_CASE(given_a_fourth_core_machine_when_it_starts_then_it_learns_without_a_vote) {
  CoreFleet core({"a", "a", "b", "b"}, 8);
  BOOST_TEST(core.put(0, 5, 0) == 200);
  core.run(5s);
  BOOST_TEST(core.state(0).voters.size() == 3u);
  BOOST_TEST(!core.votes(3));
  BOOST_TEST(core.state(3).version() == 5u);
  BOOST_TEST(core.put(3, 6, 5) == 200);  // a learner proposes as any store does
}

BOOST_AUTO_TEST_CASE(given_five_machines_when_two_may_be_lost_then_all_five_get_a_vote) {
  CoreFleet core({"a", "a", "a", "b", "b"}, 9, 2);
  BOOST_TEST(core.run_until([&] { return core.state(0).voters.size() == 5; }, 5s));
  BOOST_TEST(core.put(0, 5, 0) == 200);
  core.kill(0), core.kill(3);
  core.run(3s);
  BOOST_TEST(core.put(4, 6, 5) == 200);
}

// One machine after another is lost for good and replaced by an empty one at another address. The voters must
// follow, so that no more than one voter is missing at a time.
BOOST_AUTO_TEST_CASE(given_replaced_machines_when_each_next_one_is_lost_then_changes_are_still_accepted) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CoreFleet core(kTwoZones, seed);
    BOOST_TEST(core.put(0, 5, 0) == 200);
    std::uint64_t version = 5;
    for (std::size_t lost = 0; lost < 3; ++lost) {
      core.lose_disk(lost);
      core.run(1s);
      const auto replacement = core.add(core.members[lost].zone);
      BOOST_TEST(core.run_until([&] { return core.votes(replacement); }, 4s), "seed " << seed << " " << lost);
      BOOST_TEST(core.put(replacement, version + 1, version) == 200, "seed " << seed);
      ++version;
    }
    BOOST_TEST(core.state(3).voters.size() == 3u);
    core.run(500ms);
    for (std::size_t i = 3; i < 6; ++i) core.lose_power(i);
    core.run(500ms);
    for (std::size_t i = 3; i < 6; ++i) core.start(i);
    BOOST_TEST(core.wait_for_status(core.propose(4, ChangeKind::noop, "")) == 200, "seed " << seed);
    BOOST_TEST(core.state(4).version() == version, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(given_a_voter_that_shuts_down_when_a_learner_is_ready_then_it_hands_its_vote_over) {
  CoreFleet core(kTwoZones, 11);
  BOOST_TEST(core.put(0, 5, 0) == 200);
  const auto replacement = core.add("a");
  core.run(2s);
  BOOST_TEST(!core.votes(replacement));
  core.leave(0);
  BOOST_TEST(!core.members[0].replica->may_stop(core.now));
  BOOST_TEST(core.run_until(
      [&] { return core.votes(replacement) && core.members[0].replica->may_stop(core.now); }, 1s));
  BOOST_TEST(!core.votes(0));
  core.lose_disk(0);
  core.kill(1);
  core.run(1s);
  core.start(1);
  BOOST_TEST(core.put(1, 6, 5) == 200);
}

BOOST_AUTO_TEST_CASE(
    given_a_voter_that_shuts_down_when_no_learner_can_take_its_vote_then_it_may_stop_at_once) {
  CoreFleet core(kTwoZones, 12);
  core.run(1s);
  core.leave(1);
  BOOST_TEST(core.members[1].replica->may_stop(core.now));
  BOOST_TEST(core.votes(1));
}

BOOST_AUTO_TEST_CASE(given_a_voter_that_is_cut_off_when_it_was_replaced_then_it_comes_back_as_a_learner) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CoreFleet core({"a", "a", "b", "b"}, seed);
    BOOST_TEST(core.put(0, 5, 0) == 200);
    core.run(1s);
    core.cut_link(2, 0), core.cut_link(2, 1), core.cut_link(2, 3);
    BOOST_TEST(core.run_until([&] { return core.votes(3); }, 5s));
    const auto minority_call = core.propose(2, ChangeKind::replace, config_body(8, 5, "lonely"));
    BOOST_TEST(core.put(3, 6, 5) == 200);
    core.run(3s);
    core.heal();
    core.run(2s);
    BOOST_TEST(!core.votes(2));
    BOOST_TEST(core.state(2).version() == 6u, "seed " << seed);
    BOOST_TEST(core.answers[minority_call].status != 200);
  }
}

BOOST_AUTO_TEST_CASE(given_a_cut_of_twenty_seconds_when_no_learner_is_ready_then_the_voters_stay) {
  CoreFleet core(kTwoZones, 13);
  BOOST_TEST(core.put(0, 5, 0) == 200);
  core.cut_link(2, 0), core.cut_link(2, 1);
  core.run(20s);
  BOOST_TEST(core.put(1, 6, 5) == 200);
  core.heal();
  core.run(1s);
  BOOST_TEST(core.state(0).membership == 0u);
  BOOST_TEST(core.votes(2));
  BOOST_TEST(core.state(2).version() == 6u);
}

// A voter was replaced while it was cut off; then the other zone loses its disks. The former voter, which
// lags the membership, must not take itself for the only survivor and decide alone.
BOOST_AUTO_TEST_CASE(given_a_former_voter_when_a_zone_loses_its_disks_then_it_decides_nothing_alone) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CoreFleet core({"a", "a", "b", "b"}, seed);
    BOOST_TEST(core.put(0, 5, 0) == 200);
    core.run(1s);
    for (const std::size_t other : {0, 1, 3}) core.cut_link(2, other);
    BOOST_TEST(core.run_until([&] { return core.votes(3); }, 5s));
    BOOST_TEST(core.put(0, 6, 5) == 200);
    core.run(200ms);
    core.lose_disk(0), core.lose_disk(1);
    core.run(300ms);
    core.heal();
    core.start(0), core.start(1);
    const auto stale = core.propose(2, ChangeKind::replace, config_body(7, 5, "stale"));
    core.run(12s);
    BOOST_TEST(core.answers[stale].status != 200, "seed " << seed);
    for (const auto& violation : core.violations) BOOST_TEST(false, "seed " << seed << ": " << violation);
    BOOST_TEST(core.put(0, 9, 6) == 200, "seed " << seed);
  }
}

// A machine of a zone is down, with its disk possibly intact, and before its vote is replaced the other
// machine of the zone loses its disk: acknowledged changes may exist only on the first one's disk.
BOOST_AUTO_TEST_CASE(
    given_a_machine_down_when_the_rest_of_its_zone_loses_its_disk_then_its_disk_is_waited_for) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CoreFleet core(kTwoZones, seed);
    BOOST_TEST(core.put(0, 5, 0) == 200);
    core.run(1s);
    core.kill(1);
    core.run(1s);
    core.add("a");
    core.lose_disk(0);
    core.run(500ms);
    core.start(0);
    core.run(12s);
    BOOST_TEST(!core.votes(0), "seed " << seed);
    BOOST_TEST(core.wait_for_status(core.propose(2, ChangeKind::replace, config_body(6, 5)), 6s) == 503);
    // The machine starts again, with its disk or without: both resolve the uncertainty.
    const bool disk_is_lost = seed % 2 == 0;
    if (disk_is_lost) core.lose_disk(1);
    core.start(1);
    BOOST_TEST(core.run_until([&] { return core.votes(0); }, 8s), "seed " << seed);
    core.run(1s);
    BOOST_TEST(core.put(0, 7, core.state(0).version()) == 200, "seed " << seed);
    for (const auto& violation : core.violations) BOOST_TEST(false, "seed " << seed << ": " << violation);
  }
}

// If that machine never returns, the operators declare its voter lost at a survivor.
BOOST_AUTO_TEST_CASE(given_a_machine_lost_for_good_when_the_operators_declare_it_then_changes_continue) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CoreFleet core(kTwoZones, seed);
    BOOST_TEST(core.put(0, 5, 0) == 200);
    core.run(1s);
    core.lose_disk(1);
    core.run(1s);
    const auto replacement = core.add("a");
    core.lose_disk(0);
    core.run(500ms);
    core.start(0);
    core.run(5s);
    BOOST_TEST(!core.votes(0));
    BOOST_TEST(!core.votes(replacement));
    core.kill(2);
    core.members[2].lost_voters = {core.members[1].ip};
    core.start(2);
    BOOST_TEST(core.run_until([&] { return core.votes(0) && core.votes(replacement); }, 8s), "seed " << seed);
    BOOST_TEST(core.put(2, 6, 5) == 200, "seed " << seed);
    for (const auto& violation : core.violations) BOOST_TEST(false, "seed " << seed << ": " << violation);
  }
}

// One zone is cut off and misses a change that the other one acknowledges. Before the cut heals, one machine
// with the change loses its disk and the other is down. The latter's disk is intact: nothing may be decided
// without it.
BOOST_AUTO_TEST_CASE(
    given_a_lagging_zone_when_the_other_has_one_disk_lost_and_one_machine_down_then_that_one_is_waited_for) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CoreFleet core(kTwoZones, seed);
    BOOST_TEST(core.put(0, 5, 0) == 200);
    core.run(1s);
    core.cut_link(0, 2), core.cut_link(1, 2);
    BOOST_TEST(core.put(0, 6, 5) == 200);
    core.run(500ms);
    core.lose_disk(0);
    core.lose_power(1);
    core.run(500ms);
    core.heal();
    core.start(0);
    const auto stale = core.propose(2, ChangeKind::replace, config_body(7, 5, "stale"));
    core.run(12s);
    BOOST_TEST(core.answers[stale].status != 200, "seed " << seed);
    BOOST_TEST(core.state(2).version() == 5u, "seed " << seed);
    core.start(1);
    BOOST_TEST(core.wait_for_status(core.propose(2, ChangeKind::noop, "")) == 200, "seed " << seed);
    BOOST_TEST(core.state(2).version() == 6u, "seed " << seed);
    for (const auto& violation : core.violations) BOOST_TEST(false, "seed " << seed << ": " << violation);
    BOOST_TEST(core.put(0, 9, 6) == 200, "seed " << seed);
  }
}

// The new voters must be known after a power loss, even if they are not a majority of the former ones.
BOOST_AUTO_TEST_CASE(
    given_a_disk_lost_and_replaced_when_another_is_lost_with_all_power_then_changes_continue) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CoreFleet core(kTwoZones, seed);
    BOOST_TEST(core.put(0, 5, 0) == 200);
    core.run(1s);
    core.lose_disk(1);
    core.run(500ms);
    core.start(1);
    BOOST_TEST(core.run_until([&] { return core.votes(1); }, 4s), "seed " << seed);
    core.run(5s);
    core.lose_power(0), core.lose_power(1), core.lose_disk(2);
    core.run(800ms);
    for (std::size_t i = 0; i < 3; ++i) core.start(i);
    BOOST_TEST(core.run_until([&] { return core.votes(2); }, 5s), "seed " << seed);
    BOOST_TEST(core.put(2, 6, 5) == 200, "seed " << seed);
  }
}

// A store keeps what it knows of zones and lost disks across restarts.
BOOST_AUTO_TEST_CASE(
    given_a_zone_that_lost_its_disks_when_the_survivor_restarts_alone_then_changes_continue) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CoreFleet core(kTwoZones, seed);
    BOOST_TEST(core.put(0, 5, 0) == 200);
    core.run(1s);
    core.lose_disk(0), core.lose_disk(1);
    core.run(500ms);
    core.start(0), core.start(1);
    core.run(1s);
    // The machines with the lost disks never return; another one starts at a new address.
    core.lose_disk(0), core.lose_disk(1);
    core.lose_power(2);
    core.run(500ms);
    core.start(2);
    const auto replacement = core.add("a");
    BOOST_TEST(core.run_until([&] { return core.votes(replacement); }, 8s), "seed " << seed);
    BOOST_TEST(core.put(2, 6, 5) == 200, "seed " << seed);
  }
}

// A reset connection does not mean that a machine is lost, so the change must still survive the loss of the
// proposer's zone.
BOOST_AUTO_TEST_CASE(given_a_zone_whose_link_is_reset_when_a_change_is_decided_then_its_vote_is_waited_for) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CoreFleet core(kTwoZones, seed);
    BOOST_TEST(core.put(0, 5, 0) == 200);
    core.run(1s);
    core.cut_link(0, 2), core.cut_link(1, 2);
    core.run(200ms);
    const auto call = core.propose(0, ChangeKind::replace, config_body(6, 5));
    core.run(1500ms);
    BOOST_TEST(core.answers[call].status == 0);
    core.heal();
    BOOST_TEST(core.wait_for_status(call) == 200);
    core.lose_disk(0), core.lose_disk(1), core.lose_power(2);
    core.run(300ms);
    for (std::size_t i = 0; i < 3; ++i) core.start(i);
    BOOST_TEST(core.wait_for_status(core.propose(2, ChangeKind::noop, "")) == 200);
    BOOST_TEST(core.state(2).version() == 6u, "seed " << seed);
  }
}

// A zone that was down while a change was acknowledged without it must have the change on its disk soon after
// its return.
BOOST_AUTO_TEST_CASE(given_a_zone_that_is_back_when_the_other_loses_its_disks_then_the_change_is_kept) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CoreFleet core(kTwoZones, seed);
    BOOST_TEST(core.put(0, 5, 0) == 200);
    core.lose_power(2);
    core.run(3s);
    BOOST_TEST(core.put(0, 6, 5) == 200);
    core.start(2);
    core.run(4s);
    core.lose_disk(0), core.lose_disk(1), core.lose_power(2);
    core.run(300ms);
    for (std::size_t i = 0; i < 3; ++i) core.start(i);
    BOOST_TEST(core.wait_for_status(core.propose(2, ChangeKind::noop, "")) == 200);
    BOOST_TEST(core.state(2).version() == 6u, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(given_a_zone_that_is_slow_when_a_majority_lies_in_the_other_then_it_is_waited_for) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CoreFleet core(kTwoZones, seed);
    core.extra_delay[2] = 80ms;
    core.run(500ms);
    BOOST_TEST(core.put(0, 5, 0) == 200);
    // Both disks of the local zone may be lost at the time of the reply.
    core.lose_disk(0), core.lose_disk(1), core.lose_power(2);
    core.run(300ms);
    for (std::size_t i = 0; i < 3; ++i) core.start(i);
    BOOST_TEST(core.wait_for_status(core.propose(1, ChangeKind::noop, "")) == 200);
    BOOST_TEST(core.state(1).version() == 5u, "seed " << seed);
  }
}

// A disk holds another change than the others in a decided slot, by a fault that nothing else detects.
BOOST_AUTO_TEST_CASE(given_a_store_with_a_diverged_log_when_it_returns_then_neither_side_counts_the_other) {
  for (const std::size_t odd : {0, 2}) {
    CoreFleet core(kTwoZones, 40 + odd);
    const std::size_t other = 2 - odd;
    BOOST_TEST(core.put(1, 5, 0) == 200);
    BOOST_TEST(core.put(1, 6, 5, "right") == 200);
    core.run(1s);
    core.kill(odd);
    const auto position = core.state(1).position;
    docklift::agreement::Write forged;
    forged.log.push_back({position, {ChangeKind::replace, config_body(7, 5, "wrong"), "10.0.0.9", 1}});
    core.members[odd].disk.write(forged);
    core.members[odd].disk.sync();
    core.start(odd);
    core.run(500ms);
    const auto diverged_write = core.propose(odd, ChangeKind::replace, config_body(8, 7));
    const auto read = core.propose(odd, ChangeKind::noop, "");
    core.run(3s);
    BOOST_TEST(core.put(other, 9, 6) == 200);
    BOOST_TEST(core.wait_for_status(diverged_write) == 503);
    BOOST_TEST(core.wait_for_status(read) == 503);
    for (const std::size_t right : {std::size_t{1}, other}) BOOST_TEST(core.state(right).version() == 9u);
    BOOST_TEST(core.state(odd).version() == 7u);
    // With its disk wiped it becomes a voter again.
    core.lose_disk(odd);
    core.start(odd);
    BOOST_TEST(core.run_until([&] { return core.votes(odd); }, 5s));
    BOOST_TEST(core.state(odd).version() == 9u);
  }
}

// A suspended peer may reply to the request of an earlier incarnation while the next one waits, with a
// position from before the restart.
BOOST_AUTO_TEST_CASE(
    given_a_restarted_store_when_it_requests_statuses_then_replies_to_its_former_incarnation_do_not_count) {
  docklift::agreement::DurableState stored;
  stored.has_state = true;
  stored.disk = 1;
  stored.state.voters = {{"10.0.0.1", 1}, {"10.0.0.2", 1}, {"10.0.0.3", 1}};
  const auto rounds_with_seed = [&](std::uint64_t random_seed) {
    docklift::agreement::Options options;
    options.self = "10.0.0.3", options.zone = "b", options.random_seed = random_seed;
    Replica store(options, stored);
    store.start(Time{1h});
    std::set<std::uint64_t> rounds;
    for (auto now = Time{1h}; now < Time{1h} + 5s; now += 50ms)
      for (const auto& send : store.tick(now).immediate_sends)
        if (const auto* asked = std::get_if<docklift::agreement::StatusRequest>(&send.envelope.message))
          rounds.insert(asked->round);
    return rounds;
  };
  const auto former = rounds_with_seed(1);
  BOOST_TEST(former.size() > 5u);
  for (const auto round : rounds_with_seed(2)) BOOST_TEST(!former.contains(round));
}

// A proposer may lose its disk before it has sent its decision, while its membership number is already known:
// a survivor that can't learn the change itself would be blocked forever.
BOOST_AUTO_TEST_CASE(
    given_an_accepted_change_when_another_store_is_one_position_ahead_then_it_is_learned_as_decided) {
  docklift::agreement::DurableState stored;
  stored.has_state = true;
  stored.disk = 1;
  stored.state.voters = {{"10.0.0.1", 1}, {"10.0.0.2", 1}, {"10.0.0.3", 1}};
  const docklift::configuration::MembershipChange next{0,
                                                       {{"10.0.0.1", 7}, {"10.0.0.2", 1}, {"10.0.0.3", 1}}};
  const docklift::agreement::Change change{ChangeKind::membership, docklift::configuration::encode(next),
                                           "10.0.0.2", 1};
  stored.accepted = {{1, {{1, "10.0.0.2", 1}, change}}};
  auto after = stored.state;
  BOOST_REQUIRE(docklift::configuration::apply(after, change.kind, change.text));
  docklift::agreement::Options options;
  options.self = "10.0.0.3", options.zone = "b";
  const auto position_after = [&](std::uint64_t digest) {
    Replica store(options, stored);
    store.start(Time{1h});
    const docklift::agreement::Sender decider{1, after.membership, after.position, digest};
    store.receive(Time{1h} + 1ms, "10.0.0.2", {decider, docklift::agreement::StatusRequest{1}});
    return store.state().position;
  };
  BOOST_TEST(position_after(after.log_digest) == 1u);
  BOOST_TEST(position_after(after.log_digest + 1) == 0u);
}

// The stores at lost voters' addresses have 1.5 s to report a newer membership. Contact before a gap does not
// count toward that time, as nothing was received during the gap.
BOOST_AUTO_TEST_CASE(
    given_successors_seen_before_a_gap_when_voters_are_lost_then_their_grace_period_restarts) {
  namespace agreement = docklift::agreement;
  constexpr std::uint64_t kSuccessorDisk = 9;
  agreement::DurableState stored;
  stored.has_state = true;
  stored.disk = 1;
  stored.state.voters = {{"10.0.0.1", 1}, {"10.0.0.2", 1}, {"10.0.0.3", 1}};
  agreement::Options options;
  options.self = "10.0.0.3", options.zone = "b";
  Replica store(options, stored);
  Time now{1h};
  store.on_link_up("10.0.0.1", "a"), store.on_link_up("10.0.0.2", "a");
  std::deque<agreement::Envelope> own;
  const auto queue_own_messages = [&](const agreement::Actions& out) {
    for (const auto& send : out.sends)
      if (send.to == options.self) own.push_back(send.envelope);
  };
  const auto run = [&](Duration span) {
    for (const auto until = now + span; now < until; now += 50ms) {
      queue_own_messages(store.tick(now));
      for (; !own.empty(); own.pop_front()) queue_own_messages(store.receive(now, options.self, own.front()));
    }
  };
  const auto report_successors = [&] {
    agreement::Status status;
    status.has_state = true;
    status.position = store.state().position, status.membership = store.state().membership;
    const agreement::Sender sender{kSuccessorDisk, status.membership, status.position,
                                   store.state().log_digest};
    for (const auto* address : {"10.0.0.1", "10.0.0.2"})
      queue_own_messages(store.receive(now, address, {sender, status}));
  };
  queue_own_messages(store.start(now));
  report_successors();
  run(5s);
  const agreement::Change change{ChangeKind::membership,
                                 docklift::configuration::encode(docklift::configuration::MembershipChange{
                                     0, {{"10.0.0.1", 8}, {"10.0.0.2", 8}, {"10.0.0.3", 1}}}),
                                 "10.0.0.1", 1};
  const agreement::Sender decider{kSuccessorDisk, 0, 0, stored.state.log_digest};
  queue_own_messages(store.receive(now, "10.0.0.1", {decider, agreement::LogEntry{1, change}}));
  const auto position_before = store.state().position;
  report_successors();
  queue_own_messages(store.propose(
      now, 1, ChangeKind::evacuate,
      docklift::configuration::encode(docklift::configuration::EvacuationCommand{"a", position_before})));
  run(1s);
  BOOST_TEST(store.state().position == position_before);
  run(3s);
  BOOST_TEST(store.state().position > position_before);
}

// Otherwise one voter's successor replaces another voter, and two voters share an address.
BOOST_AUTO_TEST_CASE(
    given_a_learner_at_a_lost_voters_address_when_voters_are_planned_then_it_succeeds_that_one) {
  using docklift::agreement::VoterHealth;
  const std::vector<docklift::agreement::VoterReport> present = {
      {{"10.0.0.1", 1}, "a", VoterHealth::destroyed},
      {{"10.0.0.2", 1}, "a", VoterHealth::destroyed},
      {{"10.0.0.3", 1}, "b", VoterHealth::healthy}};
  const auto next = docklift::agreement::next_voters(present, {{{"10.0.0.2", 9}, "a"}}, 3);
  BOOST_REQUIRE(next.has_value());
  const std::vector<docklift::configuration::Voter> expected = {
      {"10.0.0.1", 1}, {"10.0.0.2", 9}, {"10.0.0.3", 1}};
  BOOST_TEST((*next == expected));
}

BOOST_AUTO_TEST_CASE(given_a_proposer_when_it_sends_a_ballot_then_its_own_promise_is_durable_first) {
  // Otherwise a proposer that restarts after a power loss could propose another change under the same ballot.
  docklift::agreement::DurableState stored;
  stored.has_state = true;
  stored.disk = 1;
  stored.state.voters = {{"10.0.0.1", 1}, {"10.0.0.2", 1}, {"10.0.0.3", 1}};
  docklift::agreement::Options options;
  options.self = "10.0.0.1", options.zone = "a";
  Replica store(options, stored);
  store.start(Time{1h});
  const auto out = store.propose(Time{1h}, 1, ChangeKind::replace, config_body(1, 0));
  BOOST_REQUIRE(out.sends.size() == 3);
  BOOST_REQUIRE(out.write.promised.has_value());
  BOOST_TEST(out.write.durable);
  for (const auto& s : out.sends)
    BOOST_TEST((std::get<docklift::agreement::Prepare>(s.envelope.message).ballot == *out.write.promised));
}

BOOST_AUTO_TEST_CASE(given_an_undecided_change_when_a_read_barrier_runs_then_it_is_decided_or_discarded) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CoreFleet core(kTwoZones, seed);
    BOOST_TEST(core.put(0, 5, 0) == 200);
    core.propose(0, ChangeKind::replace, config_body(6, 5, "half"));
    core.run(Duration(static_cast<Duration::rep>(core.random() % 12000000)));
    core.kill(0);
    core.run(3s);
    BOOST_TEST(core.state(1).version() == core.state(2).version(), "seed " << seed);
    BOOST_TEST(core.wait_for_status(core.propose(1, ChangeKind::noop, "")) == 200, "seed " << seed);
  }
}

// Runs with random faults within the tolerated ones. Every acknowledged configuration must be in the history,
// on top of its parent, and all stores must agree on every slot.
struct RunResult {
  std::vector<std::string> violations;
  std::uint64_t acknowledged = 0;
};

RunResult run_random_faults(std::uint64_t seed, bool ignore_syncs) {
  CoreFleet core(kTwoZones, seed);
  core.loss = 0.05, core.max_delay = 40ms;
  if (ignore_syncs)
    for (auto& m : core.members) m.disk.ignore_syncs();
  std::map<std::uint64_t, std::pair<std::uint64_t, std::uint64_t>> sent;  // call -> version, parent
  std::uint64_t version = 1;
  core.run(500ms);
  for (int step = 0; step < 60; ++step) {
    const auto at = core.random() % 3;
    if (core.is_up(at)) {
      const auto parent = core.state(at).version();
      version += 1 + core.random() % 3;
      sent[core.propose(at, ChangeKind::replace,
                        config_body(version, parent, "s" + std::to_string(version)))] = {version, parent};
    }
    core.run(Duration(static_cast<Duration::rep>(core.random() % 400) * 1000000));
    const auto unavailable = [&] {
      std::size_t n = 0;
      for (std::size_t i = 0; i < 3; ++i) n += !core.is_up(i) || !core.votes(i);
      return n;
    };
    switch (core.random() % 8) {
      case 0:  // a machine is lost with its disk only while all are up and voting
        if (unavailable() == 0 && core.random() % 2 == 0) core.lose_disk(at);
        break;
      case 1:
        if (core.is_up(at)) core.lose_power(at);
        break;
      case 2:
        if (core.is_up(at)) core.kill(at);
        break;
      case 3: core.cut_link(core.random() % 3, core.random() % 3); break;
      case 4: core.heal(); break;
      case 5:
        for (std::size_t i = 0; i < 3; ++i)
          if (core.is_up(i)) core.lose_power(i);
        break;
      default: break;
    }
    for (std::size_t i = 0; i < 3; ++i)
      if (!core.is_up(i) && core.random() % 2 == 0) core.start(i);
    if (unavailable() == 0 && step % 6 == 0) core.heal(), core.run(2s);
  }
  core.heal(), core.loss = 0;
  for (std::size_t i = 0; i < 3; ++i)
    if (!core.is_up(i)) core.start(i);
  core.run(12s);
  RunResult result;
  result.violations = core.violations;
  if (core.wait_for_status(core.propose(0, ChangeKind::noop, "")) != 200)
    result.violations.push_back("the core does not come back");
  std::map<std::uint64_t, std::uint64_t> in_force;  // parent -> version
  for (const auto& [slot, text] : core.history) {
    if (text.front() != '0') continue;
    const auto json = nlohmann::json::parse(text.substr(1));
    in_force[*configuration::parse_version(json["parent"])] = *configuration::parse_version(json["gen"]);
  }
  for (const auto& [call, proposal] : sent) {
    if (core.answers[call].status != 200) continue;
    ++result.acknowledged;
    const auto it = in_force.find(proposal.second);
    if (it == in_force.end() || it->second != proposal.first)
      result.violations.push_back("acknowledged version " + std::to_string(proposal.first) +
                                  " is not in force");
  }
  for (std::size_t i = 1; i < 3; ++i)
    if (core.state(i).version() != core.state(0).version())
      result.violations.push_back("stores differ at the end");
  return result;
}

BOOST_AUTO_TEST_CASE(given_random_faults_when_operators_continue_then_acknowledged_changes_hold) {
  std::uint64_t acknowledged = 0;
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    const auto result = run_random_faults(seed, false);
    for (const auto& violation : result.violations) BOOST_TEST(false, "seed " << seed << ": " << violation);
    acknowledged += result.acknowledged;
  }
  BOOST_TEST(acknowledged > 1500u);  // the runs must make progress
}

BOOST_AUTO_TEST_CASE(given_disks_that_ignore_syncs_when_power_is_lost_then_the_checker_reports_it) {
  std::size_t found = 0;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) found += !run_random_faults(seed, true).violations.empty();
  BOOST_TEST(found > 10u);
}

BOOST_AUTO_TEST_CASE(given_a_store_whose_links_come_up_late_when_it_is_read_then_no_further_round_is_needed) {
  CoreFleet f({"a", "a", "b"}, 1);
  BOOST_TEST(f.put(0, 1, 0) == 200);
  f.kill(2);
  f.cut_link(0, 2), f.cut_link(1, 2);
  f.start(2);
  const auto read = f.propose(2, ChangeKind::noop, "");  // its status request reaches no store
  f.run(60ms);
  BOOST_TEST(f.answers[read].status == 0);
  f.heal();
  BOOST_TEST(f.wait_for_status(read, 200ms) == 200);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
