// Time of the system's pure parts: the node's own steady clock, handed in with each event; types and
// arithmetic are the edge node's. Nothing compares times of two machines: what crosses a link is an age or
// what is left.
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

inline std::uint32_t millis(Duration d) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
  return ms < 0 ? 0 : ms > 0xffffffffLL ? 0xffffffffU : static_cast<std::uint32_t>(ms);
}
inline Duration from_millis(double ms) { return Duration(static_cast<Duration::rep>(ms * 1e6)); }

}  // namespace docklift
