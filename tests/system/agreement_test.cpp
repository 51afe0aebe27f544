// Stores that agree: stories over a core in memory, and plays of random faults by seed whose history is held
// against what operators were told.
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

BOOST_AUTO_TEST_CASE(given_two_operators_when_both_build_on_one_version_then_one_is_taken) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CoreFleet core(kTwoZones, seed);
    BOOST_TEST(core.put(0, 5, 0) == 200);
    const auto a = core.propose(0, ChangeKind::replace, config_body(7, 5, "one"));
    const auto b = core.propose(2, ChangeKind::replace, config_body(8, 5, "two"));
    const int first = core.settled(a), second = core.settled(b);
    BOOST_TEST(((first == 200 && second == 412) || (first == 412 && second == 200)),
               "seed " << seed << ": " << first << ' ' << second);
  }
}

BOOST_AUTO_TEST_CASE(
    given_a_taken_configuration_when_it_is_sent_again_elsewhere_then_it_is_acknowledged_once_more) {
  CoreFleet core(kTwoZones, 3);
  BOOST_TEST(core.put(0, 5, 0) == 200);
  BOOST_TEST(core.put(0, 9, 5) == 200);
  const auto places = core.history.size();
  BOOST_TEST(core.put(2, 5, 0) == 200);
  BOOST_TEST(core.put(1, 9, 5) == 200);
  BOOST_TEST(core.history.size() == places);
  BOOST_TEST(core.put(1, 12, 5) == 412);
  BOOST_TEST(core.put(1, 9, 9) == 400);
}

BOOST_AUTO_TEST_CASE(
    given_a_store_that_is_behind_when_it_is_sent_what_builds_on_the_newest_then_it_does_not_refuse) {
  CoreFleet core(kTwoZones, 4);
  BOOST_TEST(core.put(0, 5, 0) == 200);
  core.run(1s);
  core.cut(0, 2), core.cut(1, 2);
  BOOST_TEST(core.put(0, 6, 5) == 200);
  core.heal();
  BOOST_TEST(core.put(2, 7, 6) == 200);
}

BOOST_AUTO_TEST_CASE(given_a_minority_when_it_is_asked_to_change_something_then_it_acknowledges_nothing) {
  CoreFleet core(kTwoZones, 5);
  BOOST_TEST(core.put(0, 5, 0) == 200);
  core.cut(0, 2), core.cut(1, 2);
  const auto lonely = core.propose(2, ChangeKind::replace, config_body(8, 5, "lonely"));
  BOOST_TEST(core.put(1, 6, 5) == 200);
  BOOST_TEST(core.settled(lonely) == 503);
  core.heal();
  core.run(2s);
  for (std::size_t i = 0; i < 3; ++i) BOOST_TEST(core.state(i).version() == 6u);
}

BOOST_AUTO_TEST_CASE(
    given_an_evacuation_held_by_a_store_that_was_cut_off_when_it_was_ended_meanwhile_then_it_does_not_start_again) {
  CoreFleet core(kTwoZones, 11);
  BOOST_TEST(core.put(0, 5, 0) == 200);
  core.run(1s);
  const auto base = core.state(2).position;
  core.cut(0, 2), core.cut(1, 2);
  const auto held = core.propose(2, ChangeKind::evacuate, zone_order("z", base));
  // The operator hears nothing and sends it again elsewhere; later the evacuation is ended.
  BOOST_TEST(core.settled(core.propose(0, ChangeKind::evacuate, zone_order("z", base))) == 200);
  BOOST_TEST(core.settled(core.propose(1, ChangeKind::readmit, zone_order("z", core.state(1).position))) ==
             200);
  core.heal();
  BOOST_TEST(core.settled(held) == 503);
  core.run(6s);
  for (std::size_t i = 0; i < 3; ++i) BOOST_TEST(core.state(i).evacuated.empty());
  // Asked anew it is taken.
  BOOST_TEST(core.settled(core.propose(2, ChangeKind::evacuate, zone_order("z", core.state(2).position))) ==
             200);
}

BOOST_AUTO_TEST_CASE(
    given_a_store_that_is_behind_when_a_wish_holds_there_that_was_taken_back_then_it_is_not_acknowledged) {
  CoreFleet core(kTwoZones, 12);
  BOOST_TEST(core.settled(core.propose(0, ChangeKind::evacuate, zone_order("z", 0))) == 200);
  core.run(1s);
  const auto base = core.state(2).position;
  core.cut(0, 2), core.cut(1, 2);
  BOOST_TEST(core.settled(core.propose(0, ChangeKind::readmit, zone_order("z", base))) == 200);
  const auto behind = core.propose(2, ChangeKind::evacuate, zone_order("z", base));
  core.run(500ms);
  BOOST_TEST(core.answers[behind].status == 0);  // evacuated as far as this store knows
  core.heal();
  BOOST_TEST(core.settled(behind) == 503);
  BOOST_TEST(core.state(0).evacuated.empty());
}

BOOST_AUTO_TEST_CASE(given_an_acknowledged_change_when_all_lose_power_then_it_is_in_force_after) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    CoreFleet core(kTwoZones, seed);
    BOOST_TEST(core.put(seed % 3, 5, 0) == 200);
    BOOST_TEST(core.settled(core.propose(0, ChangeKind::evacuate, zone_order("a", 1))) == 200);
    for (std::size_t i = 0; i < 3; ++i) core.lose_power(i);
    core.run(1s);
    for (std::size_t i = 0; i < 3; ++i) core.start(i);
    BOOST_TEST(core.settled(core.propose(1, ChangeKind::noop, "")) == 200);
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
    BOOST_TEST(core.settled(core.propose(0, ChangeKind::noop, "")) == 200, "seed " << seed);
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
  BOOST_TEST(core.settled(call) == 503);
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
  BOOST_TEST(core.put(3, 6, 5) == 200);  // it proposes as any store does
}

BOOST_AUTO_TEST_CASE(given_five_machines_when_two_may_be_lost_then_all_five_get_a_vote) {
  CoreFleet core({"a", "a", "a", "b", "b"}, 9, 2);
  BOOST_TEST(core.run_until([&] { return core.state(0).voters.size() == 5; }, 5s));
  BOOST_TEST(core.put(0, 5, 0) == 200);
  core.kill(0), core.kill(3);
  core.run(3s);
  BOOST_TEST(core.put(4, 6, 5) == 200);
}

// One machine after another is gone for good and an empty one comes at another address: the voters follow, so
// that each next loss is the only one.
BOOST_AUTO_TEST_CASE(given_replaced_machines_when_each_next_one_is_lost_then_orders_are_still_taken) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CoreFleet core(kTwoZones, seed);
    BOOST_TEST(core.put(0, 5, 0) == 200);
    std::uint64_t version = 5;
    for (std::size_t gone = 0; gone < 3; ++gone) {
      core.lose_disk(gone);
      core.run(1s);
      const auto fresh = core.add(core.members[gone].zone);
      BOOST_TEST(core.run_until([&] { return core.votes(fresh); }, 4s), "seed " << seed << " " << gone);
      BOOST_TEST(core.put(fresh, version + 1, version) == 200, "seed " << seed);
      ++version;
    }
    BOOST_TEST(core.state(3).voters.size() == 3u);
    core.run(500ms);
    for (std::size_t i = 3; i < 6; ++i) core.lose_power(i);
    core.run(500ms);
    for (std::size_t i = 3; i < 6; ++i) core.start(i);
    BOOST_TEST(core.settled(core.propose(4, ChangeKind::noop, "")) == 200, "seed " << seed);
    BOOST_TEST(core.state(4).version() == version, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(given_a_voter_that_is_asked_to_end_when_a_learner_stands_ready_then_it_hands_over) {
  CoreFleet core(kTwoZones, 11);
  BOOST_TEST(core.put(0, 5, 0) == 200);
  const auto fresh = core.add("a");
  core.run(2s);
  BOOST_TEST(!core.votes(fresh));
  core.leave(0);
  BOOST_TEST(!core.members[0].replica->may_end(core.now));
  BOOST_TEST(
      core.run_until([&] { return core.votes(fresh) && core.members[0].replica->may_end(core.now); }, 1s));
  BOOST_TEST(!core.votes(0));
  core.lose_disk(0);
  core.kill(1);
  core.run(1s);
  core.start(1);
  BOOST_TEST(core.put(1, 6, 5) == 200);
}

BOOST_AUTO_TEST_CASE(given_a_voter_that_is_asked_to_end_when_nobody_can_take_its_vote_then_it_ends_at_once) {
  CoreFleet core(kTwoZones, 12);
  core.run(1s);
  core.leave(1);
  BOOST_TEST(core.members[1].replica->may_end(core.now));
  BOOST_TEST(core.votes(1));
}

BOOST_AUTO_TEST_CASE(given_a_voter_that_is_cut_off_when_it_was_replaced_then_it_comes_back_as_a_learner) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CoreFleet core({"a", "a", "b", "b"}, seed);
    BOOST_TEST(core.put(0, 5, 0) == 200);
    core.run(1s);
    core.cut(2, 0), core.cut(2, 1), core.cut(2, 3);
    BOOST_TEST(core.run_until([&] { return core.votes(3); }, 5s));
    const auto lonely = core.propose(2, ChangeKind::replace, config_body(8, 5, "lonely"));
    BOOST_TEST(core.put(3, 6, 5) == 200);
    core.run(3s);
    core.heal();
    core.run(2s);
    BOOST_TEST(!core.votes(2));
    BOOST_TEST(core.state(2).version() == 6u, "seed " << seed);
    BOOST_TEST(core.answers[lonely].status != 200);
  }
}

BOOST_AUTO_TEST_CASE(given_a_cut_of_twenty_seconds_when_no_learner_stands_ready_then_the_voters_stay) {
  CoreFleet core(kTwoZones, 13);
  BOOST_TEST(core.put(0, 5, 0) == 200);
  core.cut(2, 0), core.cut(2, 1);
  core.run(20s);
  BOOST_TEST(core.put(1, 6, 5) == 200);
  core.heal();
  core.run(1s);
  BOOST_TEST(core.state(0).membership == 0u);
  BOOST_TEST(core.votes(2));
  BOOST_TEST(core.state(2).version() == 6u);
}

// The voters of a zone were replaced while a former voter was cut off; then that zone loses its disks. To the
// former voter it looks as if it were the only survivor.
BOOST_AUTO_TEST_CASE(given_a_former_voter_when_a_zone_loses_its_disks_then_it_decides_nothing_alone) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CoreFleet core({"a", "a", "b", "b"}, seed);
    BOOST_TEST(core.put(0, 5, 0) == 200);
    core.run(1s);
    for (const std::size_t other : {0, 1, 3}) core.cut(2, other);
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
    for (const auto& wrong : core.wrongs) BOOST_TEST(false, "seed " << seed << ": " << wrong);
    BOOST_TEST(core.put(0, 9, 6) == 200, "seed " << seed);
  }
}

// A machine of a zone is gone, nobody knows whether with its disk, and before another one has taken its vote the
// other one of the zone loses its disk: what was acknowledged may lie on the first one's disk alone.
BOOST_AUTO_TEST_CASE(
    given_a_machine_gone_when_the_rest_of_its_zone_loses_its_disk_then_its_disk_is_waited_for) {
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
    BOOST_TEST(core.settled(core.propose(2, ChangeKind::replace, config_body(6, 5)), 6s) == 503);
    // Either way it is known now what became of the disk.
    const bool disk_is_lost = seed % 2 == 0;
    if (disk_is_lost) core.lose_disk(1);
    core.start(1);
    BOOST_TEST(core.run_until([&] { return core.votes(0); }, 8s), "seed " << seed);
    core.run(1s);
    BOOST_TEST(core.put(0, 7, core.state(0).version()) == 200, "seed " << seed);
    for (const auto& wrong : core.wrongs) BOOST_TEST(false, "seed " << seed << ": " << wrong);
  }
}

// Where that machine never comes back, the operators say so to a survivor.
BOOST_AUTO_TEST_CASE(given_a_machine_gone_for_good_when_the_operators_say_so_then_orders_go_on) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CoreFleet core(kTwoZones, seed);
    BOOST_TEST(core.put(0, 5, 0) == 200);
    core.run(1s);
    core.lose_disk(1);
    core.run(1s);
    const auto fresh = core.add("a");
    core.lose_disk(0);
    core.run(500ms);
    core.start(0);
    core.run(5s);
    BOOST_TEST(!core.votes(0));
    BOOST_TEST(!core.votes(fresh));
    core.kill(2);
    core.members[2].lost_voters = {core.members[1].ip};
    core.start(2);
    BOOST_TEST(core.run_until([&] { return core.votes(0) && core.votes(fresh); }, 8s), "seed " << seed);
    BOOST_TEST(core.put(2, 6, 5) == 200, "seed " << seed);
    for (const auto& wrong : core.wrongs) BOOST_TEST(false, "seed " << seed << ": " << wrong);
  }
}

// One zone is cut off and misses what the other one acknowledges; then one machine that has it loses its disk and the
// other one is dark, as the cut heals. That one's disk is whole: nothing may be decided without it.
BOOST_AUTO_TEST_CASE(
    given_a_zone_behind_when_of_the_other_one_disk_is_lost_and_one_dark_then_it_is_waited_for) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CoreFleet core(kTwoZones, seed);
    BOOST_TEST(core.put(0, 5, 0) == 200);
    core.run(1s);
    core.cut(0, 2), core.cut(1, 2);
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
    BOOST_TEST(core.settled(core.propose(2, ChangeKind::noop, "")) == 200, "seed " << seed);
    BOOST_TEST(core.state(2).version() == 6u, "seed " << seed);
    for (const auto& wrong : core.wrongs) BOOST_TEST(false, "seed " << seed << ": " << wrong);
    BOOST_TEST(core.put(0, 9, 6) == 200, "seed " << seed);
  }
}

// The next voters must be known after a loss of power, also where they are not a majority of the former ones.
BOOST_AUTO_TEST_CASE(given_a_disk_lost_and_replaced_when_another_is_lost_with_all_power_then_orders_go_on) {
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

// What a store has seen of zones and lost disks outlives its process.
BOOST_AUTO_TEST_CASE(given_a_zone_that_lost_its_disks_when_the_survivor_restarts_alone_then_orders_go_on) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CoreFleet core(kTwoZones, seed);
    BOOST_TEST(core.put(0, 5, 0) == 200);
    core.run(1s);
    core.lose_disk(0), core.lose_disk(1);
    core.run(500ms);
    core.start(0), core.start(1);
    core.run(1s);
    // The machines with the lost disks are gone for good as well; another one comes at an address of its own.
    core.lose_disk(0), core.lose_disk(1);
    core.lose_power(2);
    core.run(500ms);
    core.start(2);
    const auto fresh = core.add("a");
    BOOST_TEST(core.run_until([&] { return core.votes(fresh); }, 8s), "seed " << seed);
    BOOST_TEST(core.put(2, 6, 5) == 200, "seed " << seed);
  }
}

// A reset connection is no loss of a machine, so the disks of the near zone may still be lost.
BOOST_AUTO_TEST_CASE(given_a_zone_whose_link_is_reset_when_a_change_is_decided_then_its_vote_is_waited_for) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CoreFleet core(kTwoZones, seed);
    BOOST_TEST(core.put(0, 5, 0) == 200);
    core.run(1s);
    core.cut(0, 2), core.cut(1, 2);
    core.run(200ms);
    const auto call = core.propose(0, ChangeKind::replace, config_body(6, 5));
    core.run(1500ms);
    BOOST_TEST(core.answers[call].status == 0);
    core.heal();
    BOOST_TEST(core.settled(call) == 200);
    core.lose_disk(0), core.lose_disk(1), core.lose_power(2);
    core.run(300ms);
    for (std::size_t i = 0; i < 3; ++i) core.start(i);
    BOOST_TEST(core.settled(core.propose(2, ChangeKind::noop, "")) == 200);
    BOOST_TEST(core.state(2).version() == 6u, "seed " << seed);
  }
}

// A zone that was lost while a change was acknowledged without it has the change on its disk soon after.
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
    BOOST_TEST(core.settled(core.propose(2, ChangeKind::noop, "")) == 200);
    BOOST_TEST(core.state(2).version() == 6u, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(given_a_zone_that_is_slow_when_a_majority_lies_in_the_other_then_it_is_waited_for) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CoreFleet core(kTwoZones, seed);
    core.far[2] = 80ms;
    core.run(500ms);
    BOOST_TEST(core.put(0, 5, 0) == 200);
    // At the moment of the answer both disks of the near zone may be lost.
    core.lose_disk(0), core.lose_disk(1), core.lose_power(2);
    core.run(300ms);
    for (std::size_t i = 0; i < 3; ++i) core.start(i);
    BOOST_TEST(core.settled(core.propose(1, ChangeKind::noop, "")) == 200);
    BOOST_TEST(core.state(1).version() == 5u, "seed " << seed);
  }
}

// A disk holds another change than the others at a place that was decided, by a fault that nothing else shows.
BOOST_AUTO_TEST_CASE(given_a_store_of_another_history_when_it_is_back_then_neither_side_counts_the_other) {
  for (const std::size_t odd : {0, 2}) {
    CoreFleet core(kTwoZones, 40 + odd);
    const std::size_t other = 2 - odd;
    BOOST_TEST(core.put(1, 5, 0) == 200);
    BOOST_TEST(core.put(1, 6, 5, "right") == 200);
    core.run(1s);
    core.kill(odd);
    const auto place = core.state(1).position;
    docklift::agreement::Write forged;
    forged.log.push_back({place, {ChangeKind::replace, config_body(7, 5, "wrong"), "10.0.0.9", 1}});
    core.members[odd].disk.write(forged);
    core.members[odd].disk.sync();
    core.start(odd);
    core.run(500ms);
    const auto wrong = core.propose(odd, ChangeKind::replace, config_body(8, 7));
    const auto read = core.propose(odd, ChangeKind::noop, "");
    core.run(3s);
    BOOST_TEST(core.put(other, 9, 6) == 200);
    BOOST_TEST(core.settled(wrong) == 503);
    BOOST_TEST(core.settled(read) == 503);
    for (const std::size_t right : {std::size_t{1}, other}) BOOST_TEST(core.state(right).version() == 9u);
    BOOST_TEST(core.state(odd).version() == 7u);
    // Set aside, it is one of them again.
    core.lose_disk(odd);
    core.start(odd);
    BOOST_TEST(core.run_until([&] { return core.votes(odd); }, 5s));
    BOOST_TEST(core.state(odd).version() == 9u);
  }
}

// A peer that stood still may answer the question of an earlier life when the next one asks, with what it held between.
BOOST_AUTO_TEST_CASE(given_a_store_that_starts_again_when_it_asks_then_no_answer_to_its_former_life_counts) {
  docklift::agreement::Kept kept;
  kept.any = true;
  kept.disk = 1;
  kept.state.voters = {{"10.0.0.1", 1}, {"10.0.0.2", 1}, {"10.0.0.3", 1}};
  const auto rounds_of = [&](std::uint64_t chance) {
    docklift::agreement::Options options;
    options.self = "10.0.0.3", options.zone = "b", options.chance = chance;
    Replica store(options, kept);
    store.start(Time{1h});
    std::set<std::uint64_t> rounds;
    for (auto now = Time{1h}; now < Time{1h} + 5s; now += 50ms)
      for (const auto& send : store.tick(now).immediate)
        if (const auto* asked = std::get_if<docklift::agreement::StatusRequest>(&send.envelope.message))
          rounds.insert(asked->round);
    return rounds;
  };
  const auto former = rounds_of(1);
  BOOST_TEST(former.size() > 5u);
  for (const auto round : rounds_of(2)) BOOST_TEST(!former.contains(round));
}

// Who decided may lose its disk with the news still unsent, while its number of membership is known: without the
// change itself the survivor could never go on.
BOOST_AUTO_TEST_CASE(
    given_an_accepted_change_when_another_store_stands_behind_it_then_it_is_known_as_decided) {
  docklift::agreement::Kept kept;
  kept.any = true;
  kept.disk = 1;
  kept.state.voters = {{"10.0.0.1", 1}, {"10.0.0.2", 1}, {"10.0.0.3", 1}};
  const docklift::configuration::MembershipChange next{0,
                                                       {{"10.0.0.1", 7}, {"10.0.0.2", 1}, {"10.0.0.3", 1}}};
  const docklift::agreement::Change change{ChangeKind::membership, docklift::configuration::encode(next),
                                           "10.0.0.2", 1};
  kept.accepted = {{1, {{1, "10.0.0.2", 1}, change}}};
  auto after = kept.state;
  BOOST_REQUIRE(docklift::configuration::apply(after, change.kind, change.text));
  docklift::agreement::Options options;
  options.self = "10.0.0.3", options.zone = "b";
  const auto position_after = [&](std::uint64_t digest) {
    Replica store(options, kept);
    store.start(Time{1h});
    const docklift::agreement::Sender decider{1, after.membership, after.position, digest};
    store.receive(Time{1h} + 1ms, "10.0.0.2", {decider, docklift::agreement::StatusRequest{1}});
    return store.state().position;
  };
  BOOST_TEST(position_after(after.log_digest) == 1u);
  BOOST_TEST(position_after(after.log_digest + 1) == 0u);
}

// The stores at lost voters' addresses have 1.5 s to tell of a newer membership. What was in sight before a silence has
// told nothing in it.
BOOST_AUTO_TEST_CASE(
    given_successors_in_sight_before_a_silence_when_voters_are_lost_then_they_are_watched_anew) {
  namespace agreement = docklift::agreement;
  constexpr std::uint64_t kSuccessorDisk = 9;
  agreement::Kept kept;
  kept.any = true;
  kept.disk = 1;
  kept.state.voters = {{"10.0.0.1", 1}, {"10.0.0.2", 1}, {"10.0.0.3", 1}};
  agreement::Options options;
  options.self = "10.0.0.3", options.zone = "b";
  Replica store(options, kept);
  Time now{1h};
  store.linked("10.0.0.1", "a"), store.linked("10.0.0.2", "a");
  std::deque<agreement::Envelope> own;
  const auto keep_own = [&](const agreement::Out& out) {
    for (const auto& send : out.sends)
      if (send.to == options.self) own.push_back(send.envelope);
  };
  const auto run = [&](Duration span) {
    for (const auto until = now + span; now < until; now += 50ms) {
      keep_own(store.tick(now));
      for (; !own.empty(); own.pop_front()) keep_own(store.receive(now, options.self, own.front()));
    }
  };
  const auto successors_tell = [&] {
    agreement::Status status;
    status.has_state = true;
    status.position = store.state().position, status.membership = store.state().membership;
    const agreement::Sender sender{kSuccessorDisk, status.membership, status.position,
                                   store.state().log_digest};
    for (const auto* address : {"10.0.0.1", "10.0.0.2"})
      keep_own(store.receive(now, address, {sender, status}));
  };
  keep_own(store.start(now));
  successors_tell();
  run(5s);
  const agreement::Change change{ChangeKind::membership,
                                 docklift::configuration::encode(docklift::configuration::MembershipChange{
                                     0, {{"10.0.0.1", 8}, {"10.0.0.2", 8}, {"10.0.0.3", 1}}}),
                                 "10.0.0.1", 1};
  const agreement::Sender decider{kSuccessorDisk, 0, 0, kept.state.log_digest};
  keep_own(store.receive(now, "10.0.0.1", {decider, agreement::LogEntry{1, change}}));
  const auto place = store.state().position;
  successors_tell();
  keep_own(
      store.propose(now, 1, ChangeKind::evacuate,
                    docklift::configuration::encode(docklift::configuration::EvacuationCommand{"a", place})));
  run(1s);
  BOOST_TEST(store.state().position == place);
  run(3s);
  BOOST_TEST(store.state().position > place);
}

// Else one voter's successor takes another's place, and two voters have one address.
BOOST_AUTO_TEST_CASE(
    given_a_learner_at_a_lost_voters_address_when_voters_are_planned_then_it_succeeds_that_one) {
  using docklift::agreement::VoterHealth;
  const std::vector<docklift::agreement::VoterReport> present = {
      {{"10.0.0.1", 1}, "a", VoterHealth::destroyed},
      {{"10.0.0.2", 1}, "a", VoterHealth::destroyed},
      {{"10.0.0.3", 1}, "b", VoterHealth::well}};
  const auto next = docklift::agreement::next_voters(present, {{{"10.0.0.2", 9}, "a"}}, 3);
  BOOST_REQUIRE(next.has_value());
  const std::vector<docklift::configuration::Voter> expected = {
      {"10.0.0.1", 1}, {"10.0.0.2", 9}, {"10.0.0.3", 1}};
  BOOST_TEST((*next == expected));
}

BOOST_AUTO_TEST_CASE(given_a_proposer_when_it_asks_with_a_ballot_then_its_own_promise_is_durable_first) {
  // Else one that loses its power and comes back could offer another change under the same ballot.
  docklift::agreement::Kept kept;
  kept.any = true;
  kept.disk = 1;
  kept.state.voters = {{"10.0.0.1", 1}, {"10.0.0.2", 1}, {"10.0.0.3", 1}};
  docklift::agreement::Options options;
  options.self = "10.0.0.1", options.zone = "a";
  Replica store(options, kept);
  store.start(Time{1h});
  const auto out = store.propose(Time{1h}, 1, ChangeKind::replace, config_body(1, 0));
  BOOST_REQUIRE(out.sends.size() == 3);
  BOOST_REQUIRE(out.write.promised.has_value());
  BOOST_TEST(out.write.durable);
  for (const auto& s : out.sends)
    BOOST_TEST((std::get<docklift::agreement::Prepare>(s.envelope.message).ballot == *out.write.promised));
}

BOOST_AUTO_TEST_CASE(
    given_a_change_left_half_agreed_when_a_store_confirms_then_it_is_completed_or_never_was) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CoreFleet core(kTwoZones, seed);
    BOOST_TEST(core.put(0, 5, 0) == 200);
    core.propose(0, ChangeKind::replace, config_body(6, 5, "half"));
    core.run(Duration(static_cast<Duration::rep>(core.random() % 12000000)));
    core.kill(0);
    core.run(3s);
    BOOST_TEST(core.state(1).version() == core.state(2).version(), "seed " << seed);
    BOOST_TEST(core.settled(core.propose(1, ChangeKind::noop, "")) == 200, "seed " << seed);
  }
}

// Random faults within what must be borne. Every acknowledged configuration must be in the history, on its
// parent; places agree.
struct Play {
  std::vector<std::string> wrongs;
  std::uint64_t acknowledged = 0;
};

Play play(std::uint64_t seed, bool lying_disks) {
  CoreFleet core(kTwoZones, seed);
  core.loss = 0.05, core.most = 40ms;
  if (lying_disks)
    for (auto& m : core.members) m.disk.lie();
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
    const auto down = [&] {
      std::size_t n = 0;
      for (std::size_t i = 0; i < 3; ++i) n += !core.is_up(i) || !core.votes(i);
      return n;
    };
    switch (core.random() % 8) {
      case 0:  // one machine that counts may be lost, and its disk with it
        if (down() == 0 && core.random() % 2 == 0) core.lose_disk(at);
        break;
      case 1:
        if (core.is_up(at)) core.lose_power(at);
        break;
      case 2:
        if (core.is_up(at)) core.kill(at);
        break;
      case 3: core.cut(core.random() % 3, core.random() % 3); break;
      case 4: core.heal(); break;
      case 5:
        for (std::size_t i = 0; i < 3; ++i)
          if (core.is_up(i)) core.lose_power(i);
        break;
      default: break;
    }
    for (std::size_t i = 0; i < 3; ++i)
      if (!core.is_up(i) && core.random() % 2 == 0) core.start(i);
    if (down() == 0 && step % 6 == 0) core.heal(), core.run(2s);
  }
  core.heal(), core.loss = 0;
  for (std::size_t i = 0; i < 3; ++i)
    if (!core.is_up(i)) core.start(i);
  core.run(12s);
  Play p;
  p.wrongs = core.wrongs;
  if (core.settled(core.propose(0, ChangeKind::noop, "")) != 200)
    p.wrongs.push_back("the core does not come back");
  std::map<std::uint64_t, std::uint64_t> in_force;  // parent -> version
  for (const auto& [place, text] : core.history) {
    if (text.front() != '0') continue;
    const auto json = nlohmann::json::parse(text.substr(1));
    in_force[*configuration::parse_version(json["parent"])] = *configuration::parse_version(json["gen"]);
  }
  for (const auto& [call, vp] : sent) {
    if (core.answers[call].status != 200) continue;
    ++p.acknowledged;
    const auto it = in_force.find(vp.second);
    if (it == in_force.end() || it->second != vp.first)
      p.wrongs.push_back("acknowledged version " + std::to_string(vp.first) + " is not in force");
  }
  for (std::size_t i = 1; i < 3; ++i)
    if (core.state(i).version() != core.state(0).version()) p.wrongs.push_back("stores differ at the end");
  return p;
}

BOOST_AUTO_TEST_CASE(given_random_faults_when_operators_go_on_then_what_was_acknowledged_holds) {
  std::uint64_t acknowledged = 0;
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    const auto p = play(seed, false);
    for (const auto& w : p.wrongs) BOOST_TEST(false, "seed " << seed << ": " << w);
    acknowledged += p.acknowledged;
  }
  BOOST_TEST(acknowledged > 1500u);  // the plays are about something
}

BOOST_AUTO_TEST_CASE(given_disks_that_lie_when_power_is_lost_then_the_play_finds_it) {
  std::size_t found = 0;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) found += !play(seed, true).wrongs.empty();
  BOOST_TEST(found > 10u);
}

BOOST_AUTO_TEST_CASE(
    given_a_store_whose_links_come_up_late_when_it_is_read_then_no_further_round_is_waited_for) {
  CoreFleet f({"a", "a", "b"}, 1);
  BOOST_TEST(f.put(0, 1, 0) == 200);
  f.kill(2);
  f.cut(0, 2), f.cut(1, 2);
  f.start(2);
  const auto read = f.propose(2, ChangeKind::noop, "");  // its question reaches nobody
  f.run(60ms);
  BOOST_TEST(f.answers[read].status == 0);
  f.heal();
  BOOST_TEST(f.settled(read, 200ms) == 200);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
