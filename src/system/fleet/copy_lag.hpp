// How long a copy of the configuration has stood behind what the core has told. Pure.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "system/base/time.hpp"

namespace docklift::fleet {

// Positions are places in the log of changes.
class CopyLag {
 public:
  // The core has told at `now` that it stands at `position`, while the copy stands at `own_position`.
  void reported(Time now, std::uint64_t position, std::uint64_t own_position);
  // The copy has come to `own_position`.
  void advanced(std::uint64_t own_position);

  // Since when the copy has lacked something that it has been told of, also lately; none: it is not known to lack
  // anything.
  std::optional<Time> lagging_since(Time now) const;
  // The newest position that was told.
  std::uint64_t newest() const { return newest_; }

 private:
  struct Missing {
    std::uint64_t position = 0;
    Time first_told{};
    Time last_told{};  // of this position or a later one
  };
  std::deque<Missing> missing_;  // by position; the first one is what the copy has lacked longest
  std::uint64_t newest_ = 0;
};

}  // namespace docklift::fleet
