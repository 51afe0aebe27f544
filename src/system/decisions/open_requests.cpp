#include "system/decisions/open_requests.hpp"

namespace docklift::decisions {

std::string to_string(const OpenRequests& open) {
  const auto number = [](std::uint64_t n) { return std::to_string(n); };
  return "requests: " + number(open.waiting_for_units) + " wait for units, " + number(open.waiting_for_slot) +
         " for a place, " + number(open.at_server) + " are at a server, the last ends in " +
         number(millis(open.longest_left)) + " ms at most";
}

}  // namespace docklift::decisions
