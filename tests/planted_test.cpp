// The checker finds what it is there to find: each fault that can be planted in the pure parts breaks a property of the world within some
// schedules, by the property that is meant for it.
#include <gtest/gtest.h>

#include <cmath>

#include "members/planted.hpp"
#include "replica/beliefs.hpp"
#include "schedule.hpp"
#include "world.hpp"

namespace docklift::faults {
namespace {

struct Case {
  TestFault plant;
  const char* name;
  const char* found_by;       // part of the property's words
  std::vector<Kind> kinds;    // of faults that bring it to light
  std::uint64_t from = 1;     // first schedule: a rare one is not searched for each time
  bool disks = false;
};

const std::vector<Case> kCases{
    {TestFault::older_copy_wins, "older_copy_wins", "another copy", {Kind::repeat, Kind::delay}, 1},
    {TestFault::moved_passed_over, "moved_passed_over", "that has had", {Kind::loss, Kind::delay, Kind::pause, Kind::empty_store}, 431},
    {TestFault::gap_passed_over, "gap_passed_over", "another copy", {Kind::loss, Kind::cut}, 1},
    {TestFault::drain_undone, "drain_undone", "again, drained", {Kind::drain}, 1},
    {TestFault::drain_fades, "drain_fades", "", {Kind::drain, Kind::kill}, 54},
    {TestFault::use_counted_twice, "use_counted_twice", "of a count that has had", {Kind::empty_store}, 1},
    {TestFault::use_of_the_dead_lost, "use_of_the_dead_lost", "that has had", {Kind::leave, Kind::empty_store}, 1},
    {TestFault::dead_life_believed, "dead_life_believed", "", {Kind::kill, Kind::repeat}, 1},
    {TestFault::no_refutation, "no_refutation", "has not the fleet's members", {Kind::cut, Kind::pause}, 1},
    {TestFault::restart_keeps_start, "restart_keeps_start", "has not the fleet's members", {Kind::older_clock, Kind::kill}, 1},
    {TestFault::settled_too_early, "settled_too_early", "that has had", {Kind::empty_store, Kind::delay, Kind::slow_store}, 1},
    {TestFault::told_taken_off_early, "told_taken_off_early", "that has had", {Kind::empty_store, Kind::slow_store}, 1},
    {TestFault::told_by_everyone, "told_by_everyone", "told again twice", {Kind::empty_store}, 1},
    {TestFault::gone_not_looked_at, "gone_not_looked_at", "that has had", {Kind::power}, 1, true},
    {TestFault::released_at_once, "released_at_once", "that has had", {Kind::power, Kind::loss, Kind::cut}, 75, true},
    {TestFault::start_forgotten, "start_forgotten", "again", {Kind::power, Kind::older_clock}, 1, true},
    {TestFault::disk_forgotten, "disk_forgotten", "", {Kind::power, Kind::drain}, 1, true},
    {TestFault::time_shuts_nothing, "time_shuts_nothing", "that has had", {Kind::power, Kind::cut}, 45, true},
    {TestFault::any_mark_accepted, "any_mark_accepted", "which it never did", {Kind::repeat}, 1},
};

class Planted : public ::testing::TestWithParam<Case> {};

TEST_P(Planted, IsFound) {
  const auto& c = GetParam();
  std::uint64_t found = 0;
  std::string words;
  for (std::uint64_t seed = c.from; seed < c.from + 60 && found == 0; ++seed) {
    const auto schedule = random_schedule(seed, 3 + seed % 4, {.least = 3, .most = 7, .span = 12, .kinds = c.kinds});
    test_fault() = c.plant;
    WorldOptions options;
    options.disks = c.disks;
    if (c.disks) options.window = 8;  // longer than a return takes
    if (c.plant == TestFault::older_copy_wins) options.repeats = 0.3;
    const auto verdict = play(schedule, options);
    test_fault() = TestFault::none;
    for (const auto& b : verdict.broken)
      if (b.find(c.found_by) != std::string::npos) found = seed, words = b;
    if (found != 0) {
      // The same schedule is clean without the fault: it is the fault that was found.
      const auto clean = play(schedule, options);
      EXPECT_TRUE(clean.good()) << clean.broken.front();
    }
  }
  EXPECT_NE(found, 0U) << c.name;
  RecordProperty("seed", static_cast<int>(found));
  std::cout << c.name << ": schedule " << found << ": " << words << '\n';
}

// What a start believes of servers, held against what honest nodes say: a liar among them, and one that is dead.
std::vector<std::string> wrong_beliefs(std::uint64_t seed) {
  using namespace replica;
  Random random(seed);
  Replica records({"self", 1}, {}, seed);
  const Beliefs beliefs(records, {});
  const auto say = [&](const Origin& o, std::uint8_t tenths) {
    Message m;
    m.kind = Message::Kind::pages;
    m.pages = {{o, 0, 1, false, {{1, replica::Kind::server_health, number_key(1), to_text(ServerHealth{0, tenths}), {}}}}};
    records.received(Instant(1), o.name, m);
  };
  std::vector<Origin> alive;
  std::uint8_t least = 10, most = 0;
  const auto honest = 1 + random.below(5);
  for (std::size_t i = 0; i <= honest; ++i) {
    alive.push_back({"n" + std::to_string(i), 2});
    const auto tenths = static_cast<std::uint8_t>(random.below(11));
    say(alive.back(), tenths);
    if (i > 0) least = std::min(least, tenths), most = std::max(most, tenths);  // the first one lies
  }
  say({"gone", 3}, 0), say({"gone, too", 3}, 0), say({"gone as well", 3}, 0);
  const auto told = beliefs.aggregate({{1, 0}, {2, 0}}, alive);
  const auto tenths = told.empty() ? 10 : std::lround(told[0].success * 10);
  if (tenths < least) return {"worse than any honest node says"};
  if (honest > 1 && tenths > most) return {"better than any honest node says"};
  return {};
}

TEST(PlantedBeliefs, AreFound) {
  for (const auto p : {TestFault::one_voice_believed, TestFault::dead_believed}) {
    std::uint64_t found = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
      test_fault() = p;
      const bool broken = !wrong_beliefs(seed).empty();
      test_fault() = TestFault::none;
      EXPECT_TRUE(wrong_beliefs(seed).empty()) << seed;
      if (broken && found == 0) found = seed;
    }
    EXPECT_NE(found, 0U) << static_cast<int>(p);
  }
}

INSTANTIATE_TEST_SUITE_P(Faults, Planted, ::testing::ValuesIn(kCases), [](const auto& i) { return std::string(i.param.name); });

}  // namespace
}  // namespace docklift::faults
