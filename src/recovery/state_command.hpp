// `docklift state show|verify DIR`: prints the contents of a node's journal without changing it.
#pragma once

#include <string>

namespace docklift::recovery {

// Prints text or JSON. `node`: the node whose journal it is; empty: taken from the file's header.
// Returns 0; with `verify` 1 if anything is damaged or missing; 66 (EX_NOINPUT) where there is no journal of that node.
int state_command(const std::string& folder, const std::string& node, bool json, bool verify);

}  // namespace docklift::recovery
