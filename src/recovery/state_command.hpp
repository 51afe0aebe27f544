// `docklift state show|verify DIR`: what a node's disk says, without changing it.
#pragma once

#include <string>

namespace docklift::recovery {

// As people read it, or JSON. `node`: whose disk it is; empty: as the file's header has it.
// Returns 0; with `verify` 1 if anything is damaged or missing; 66 (EX_NOINPUT) where there is no journal of that node.
int state_command(const std::string& folder, const std::string& node, bool json, bool verify);

}  // namespace docklift::recovery
