// The sections of the operator's file that the daemon itself is configured by.
#pragma once

#include "config/schema.hpp"
#include "daemon/lifecycle.hpp"

namespace docklift {

Section daemon_section();
Section listen_section();
Section upgrade_section();
Section admin_section();

LifeLimits life_limits(const Config& config);

}  // namespace docklift
