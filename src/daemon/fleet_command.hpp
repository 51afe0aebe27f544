// `docklift fleet`: what a node's door says of the fleet, for people.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace docklift {

// A table of the members and a line each on drains, counts, copies and conflicts.
std::string fleet_table(const nlohmann::json& fleet);

// Asks the door at an address ("127.0.0.1:7072") and prints; again each second if `watch`. An exit code: 0, or 69 (unavailable) where the
// door does not answer, or the node has no peers.
int fleet_command(const std::string& door, bool json, bool watch);

}  // namespace docklift
