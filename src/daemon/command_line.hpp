// The command line: run, config check, config show, config reference.
#pragma once

#include <optional>

namespace docklift {

// The exit code, or none if the node is to run as ever: no operator's file is named.
std::optional<int> command_line(int argc, char** argv);

}  // namespace docklift
