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
  void told(Time now, std::uint64_t position, std::uint64_t own_position);
  // The copy has come to `own_position`.
  void advanced(std::uint64_t own_position);

  // Since when the copy has lacked something that it had been told of; none: it lacks nothing.
  std::optional<Time> behind_since() const;
  // The newest position that was told.
  std::uint64_t newest() const { return newest_; }

 private:
  struct Told {
    Time at{};
    std::uint64_t position = 0;
  };
  std::deque<Told> missing_;  // by position; the first one is what the copy lacks longest
  std::uint64_t newest_ = 0;
};

}  // namespace docklift::fleet
