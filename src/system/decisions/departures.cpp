#include "system/decisions/departures.hpp"

namespace docklift::decisions {

std::string to_string(const DepartureCounts& counts) {
  const auto left = counts.waited_for_units + counts.waited_for_slot + counts.at_server;
  const auto number = [](std::uint64_t n) { return std::to_string(n); };
  return "clients of " + number(left) + " requests left (" + number(counts.waited_for_units) +
         " waited for units, " + number(counts.waited_for_slot) + " for a place, " +
         number(counts.at_server) + " were at a server; " + number(counts.not_repeatable) +
         " not repeatable); attempts ended before they were sent " + number(counts.cancelled_unsent) +
         ", after " + number(counts.cancelled) + "; begun after the client had left " +
         number(counts.sent_after) + "; gone on for " + number(millis(kContinuedAfter)) + " ms " +
         number(counts.continued_repeatable) + " repeatable, " + number(counts.continued_not_repeatable) +
         " not";
}

}  // namespace docklift::decisions
