// How long a copy of the configuration has lagged behind the position reported by the core. Performs no I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "system/base/time.hpp"

namespace docklift::fleet {

// Positions are indexes in the change log.
class CopyLag {
 public:
  // The core reported at `now` that it is at `position`, while the copy is at `own_position`.
  void reported(Time now, std::uint64_t position, std::uint64_t own_position);
  // The copy has reached `own_position`.
  void advanced(std::uint64_t own_position);

  // Since when the copy has lacked a position that the core still reports (recently enough); none if it is
  // not known to lag.
  std::optional<Time> lagging_since(Time now) const;
  // The newest position reported.
  std::uint64_t newest() const { return newest_; }

 private:
  struct Missing {
    std::uint64_t position = 0;
    Time first_reported{};
    Time last_reported{};  // this position or a later one
  };
  std::deque<Missing> missing_;  // by position; the first has been missing longest
  std::uint64_t newest_ = 0;
};

}  // namespace docklift::fleet
