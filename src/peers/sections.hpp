// The sections [peers] and [state] of the operator's file, and the options made from them.
#pragma once

#include <memory>

#include "config/schema.hpp"
#include "node.hpp"
#include "peers/station.hpp"

namespace docklift::peers {

Section peers_section();
Section state_section();

// Returns nothing if peers.listen is empty. Throws std::runtime_error if the key file can't be read.
std::optional<StationOptions> station_options(const Config& c, const snowknot::NodeConfig& platform);

}  // namespace docklift::peers
