// The platform's configuration file (DEPLOY's GW_CONFIG).
#pragma once

#include <string>

#include "node.hpp"

namespace snowknot {

// The path in $GW_CONFIG. Throws reading::FieldError if it is not set.
std::string platform_file();

// Throws std::exception (reading::FieldError, std::invalid_argument), naming the field.
NodeConfig read_node_config(const std::string& path);

}  // namespace snowknot
