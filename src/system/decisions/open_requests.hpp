// A snapshot, for the log, of the requests that are open at a proxy.
#pragma once

#include <cstdint>
#include <string>

#include "system/base/time.hpp"

namespace docklift::decisions {

// Open requests by what they wait for.
struct OpenRequests {
  std::uint64_t waiting_for_units = 0, waiting_for_slot = 0, at_server = 0;
  Duration longest_left{};  // until the latest of their deadlines
};

// Part of a line for the log.
std::string to_string(const OpenRequests& open);

}  // namespace docklift::decisions
