// Fault injection for tests of the checkers: a build with DOCKLIFT_PLANTS can be given one of these faults,
// which the checkers have to detect. In the shipped build injected() is a compile-time false and no code of
// it remains.
#pragma once

#include <cstdint>

namespace docklift {

enum class TestFault : std::uint32_t {
  none,
  older_copy_wins,    // a page is applied whatever its numbers are
  moved_passed_over,  // a copy counts as complete though keys have moved past its number
  gap_passed_over,    // a page that doesn't adjoin the copy is applied, and the copy counts as complete
  drain_undone,  // any list of this node's own source undoes drains reported by others, even an older list
  drain_fades,   // a drain is dropped when the node that reported it dies
  use_counted_twice,     // an incarnation's use is added to what it reported before
  use_of_the_dead_lost,  // a dead node's use is left out of the sum
  dead_life_believed,    // an older start of a name brings it back to life
  no_refutation,         // a suspected node doesn't refute
  restart_keeps_start,   // a start takes the clock as its number without raising it
  settled_too_early,     // counts are used before all nodes have ended the lost epoch
  told_taken_off_early,  // a restore counts as done once it is started
  told_by_everyone,      // each node restores the count, not only one
  any_mark_accepted,     // the datagram's MAC is not verified
  one_voice_believed,    // server health: one report is enough, and the worst one counts
  dead_believed,         // server health: reports of dead nodes count too
  gone_not_looked_at,    // a total below what ended incarnations had added is not taken as a loss
  released_at_once,      // full service starts before it is known what the lost nodes had used
  start_forgotten,       // the start number on the disk is ignored
  disk_forgotten,        // the copies on the disk are not read
  time_shuts_nothing,    // when the time limit is reached, windows that had begun stay open
};

#ifdef DOCKLIFT_PLANTS
// The fault of this process; a test sets it before it starts.
inline TestFault& test_fault() {
  static TestFault chosen = TestFault::none;
  return chosen;
}
inline bool injected(TestFault fault) { return test_fault() == fault; }
#else
constexpr bool injected(TestFault) { return false; }
#endif

}  // namespace docklift
