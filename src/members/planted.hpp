// Faults that a test-only build can be told to have, so that the checkers are seen to find them. In the shipped build planted() is
// false when it is compiled, and nothing of it is left.
#pragma once

#include <cstdint>

namespace docklift {

enum class TestFault : std::uint32_t {
  none,
  older_copy_wins,        // a page is taken whatever its numbers say
  moved_passed_over,      // a copy counts as whole though keys have moved behind its number
  gap_passed_over,        // a page that does not join on is taken, and counts as whole
  drain_undone,           // any list of one's own undoes what others said, also an older one
  drain_fades,            // a drain is dropped when its teller dies
  use_counted_twice,      // a life's use is added to what it told before
  use_of_the_dead_lost,   // a dead node's use is left out of the sum
  dead_life_believed,     // an older start of a name brings it back to life
  no_refutation,          // who is suspected does not say that it lives
  restart_keeps_start,    // a start takes the clock as it is
  settled_too_early,      // counts are believed before all have ended the lost epoch
  told_taken_off_early,   // telling counts as told
  told_by_everyone,       // each node tells again
  any_mark_accepted,      // the seal is not looked at
  one_voice_believed,     // of servers: one word is enough, and the worst one counts
  dead_believed,          // of servers: also of those that are dead
  gone_not_looked_at,     // a total below what lives that are over had added shows nothing
  released_at_once,       // service is full before it is known what the lost passed
  start_forgotten,        // a disk's word of the last start is not taken
  disk_forgotten,         // its copies are not read
  time_shuts_nothing,     // when time is over windows that had begun stay open
};

#ifdef DOCKLIFT_PLANTS
// Test-only: one fault for the whole process, set by a test before it begins.
inline TestFault& test_fault() {
  static TestFault chosen = TestFault::none;
  return chosen;
}
inline bool injected(TestFault fault) { return test_fault() == fault; }
#else
constexpr bool injected(TestFault) { return false; }
#endif

}  // namespace docklift
