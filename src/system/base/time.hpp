// Time types for logic without I/O, shared with the edge node. Times are those of the local steady clock and
// are passed in with each event. Times of two machines are never compared: messages carry ages or remaining
// durations.
#pragma once

#include <chrono>
#include <cstdint>

#include "helpers.hpp"
#include "snowknot/gateway.hpp"

namespace docklift {

using snowknot::Duration;
using snowknot::from_seconds;
using snowknot::mix;
using snowknot::seconds;
using snowknot::Time;

// Clamped to the range of the result.
inline std::uint32_t millis(Duration d) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
  return ms < 0 ? 0 : ms > 0xffffffffLL ? 0xffffffffU : static_cast<std::uint32_t>(ms);
}
inline Duration from_millis(double ms) { return Duration(static_cast<Duration::rep>(ms * 1e6)); }

}  // namespace docklift
