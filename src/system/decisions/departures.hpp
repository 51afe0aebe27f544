// Counters, for the log, of requests whose client disconnected before it was answered.
#pragma once

#include <cstdint>
#include <string>

#include "system/base/time.hpp"

namespace docklift::decisions {

// An attempt that is still in flight so long after its client disconnected is counted as continued.
inline constexpr Duration kContinuedAfter = std::chrono::milliseconds(500);

// Counts since the start of the process.
struct DepartureCounts {
  // Requests by what they waited for when their client disconnected.
  std::uint64_t waited_for_units = 0, waited_for_slot = 0, at_server = 0;
  std::uint64_t not_repeatable = 0;  // of these
  // Attempts that were cancelled because of it: before a byte of the request was written, and after.
  std::uint64_t cancelled_unsent = 0, cancelled = 0;
  std::uint64_t sent_after = 0;  // attempts that were begun after the client had disconnected
  // Attempts that ended later than kContinuedAfter after the client disconnected.
  std::uint64_t continued_repeatable = 0, continued_not_repeatable = 0;

  bool operator==(const DepartureCounts&) const = default;
};

// One line for the log.
std::string to_string(const DepartureCounts& counts);

}  // namespace docklift::decisions
