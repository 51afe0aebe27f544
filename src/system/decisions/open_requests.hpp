// What is under way at a proxy at one moment, for the log. Pure.
#pragma once

#include <cstdint>
#include <string>

#include "system/base/time.hpp"

namespace docklift::decisions {

// Requests by where they stand.
struct OpenRequests {
  std::uint64_t wait_for_units = 0, wait_for_place = 0, at_server = 0;
  Duration longest_left{};  // until the last of their deadlines
};

// A part of a sentence for the log.
std::string to_string(const OpenRequests& open);

}  // namespace docklift::decisions
