// What became of requests whose client left before it had its answer: counted for the log. Pure.
#pragma once

#include <cstdint>
#include <string>

#include "system/base/time.hpp"

namespace docklift::decisions {

// Work for a client that has left counts as gone on after this.
inline constexpr Duration kWentOnAfter = std::chrono::milliseconds(500);

// Counts since the start of the process.
struct DepartureCounts {
  // Requests by where they stood when their client left.
  std::uint64_t waited_for_units = 0, waited_for_place = 0, at_server = 0;
  std::uint64_t not_repeatable = 0;  // of these
  // Attempts at servers that were ended because of it: before a byte of the request was written, and after.
  std::uint64_t cancelled_unsent = 0, cancelled = 0;
  std::uint64_t sent_after = 0;  // attempts that were begun after the client had left
  // Attempts that ended later than kWentOnAfter after the client had left, by whether the request was repeatable.
  std::uint64_t went_on_repeatable = 0, went_on_not_repeatable = 0;

  bool operator==(const DepartureCounts&) const = default;
};

// A sentence for the log.
std::string to_string(const DepartureCounts& counts);

}  // namespace docklift::decisions
