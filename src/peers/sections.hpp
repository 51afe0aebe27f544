// The operator's sections [peers] and [state].
#pragma once

#include <memory>

#include "config/schema.hpp"
#include "node.hpp"
#include "peers/station.hpp"

namespace docklift::peers {

Section peers_section();
Section state_section();

// None where no address is named. Throws std::runtime_error for a key file that can't be read.
std::optional<StationOptions> station_options(const Config& c, const snowknot::NodeConfig& platform);

}  // namespace docklift::peers
