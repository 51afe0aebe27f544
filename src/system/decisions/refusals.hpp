// Counters, for the log, of requests that a proxy refused, by reason.
#pragma once

#include <array>
#include <cstdint>
#include <string>

namespace docklift::decisions {

enum class RefusalReason : std::uint8_t {
  no_configuration,  // none received yet
  no_body_memory,    // the bodies of other requests fill it
  outdated,          // the local configuration, or its API keys, may no longer be valid
  draining,          // this process ends before the request may
  no_server,         // none is eligible
  no_slot,           // all servers were full for too long
  not_run,           // no attempt has run, and none is left
  no_units,          // none arrived in time, or the holder of the counts is unreachable
  quota,             // 429
  overdue,  // its deadline passed while it waited: it was not woken up in time, a fault of this program
  count_of_reasons,
};

// Counts since the start of the process.
class RefusalCounts {
 public:
  void count(RefusalReason reason) { ++counts_[static_cast<std::size_t>(reason)]; }
  std::uint64_t of(RefusalReason reason) const { return counts_[static_cast<std::size_t>(reason)]; }
  bool operator==(const RefusalCounts&) const = default;

 private:
  std::array<std::uint64_t, static_cast<std::size_t>(RefusalReason::count_of_reasons)> counts_{};
};

// One line for the log.
std::string to_string(const RefusalCounts& counts);

}  // namespace docklift::decisions
