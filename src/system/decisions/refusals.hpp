// Requests that a proxy has turned away, by reason: counted for the log. Pure.
#pragma once

#include <array>
#include <cstdint>
#include <string>

namespace docklift::decisions {

enum class RefusalReason : std::uint8_t {
  no_configuration,  // none here
  outdated,          // the one here, or its keys, may have ended
  draining,          // this process ends before the request may
  no_server,         // none that may take it
  no_place,          // all servers were full for too long
  not_run,           // no try has run, and there is none left
  no_units,          // none came in time, or nobody could be asked for any
  quota,             // 429
  count_of_reasons,
};

class RefusalCounts {
 public:
  void count(RefusalReason reason) { ++counts_[static_cast<std::size_t>(reason)]; }
  std::uint64_t of(RefusalReason reason) const { return counts_[static_cast<std::size_t>(reason)]; }
  bool operator==(const RefusalCounts&) const = default;

 private:
  std::array<std::uint64_t, static_cast<std::size_t>(RefusalReason::count_of_reasons)> counts_{};
};

// A sentence for the log.
std::string to_string(const RefusalCounts& counts);

}  // namespace docklift::decisions
