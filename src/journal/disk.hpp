// Carries out commits on real files with blocking POSIX calls, for use on a separate thread rather than an event loop.
#pragma once

#include <filesystem>
#include <map>
#include <string>

#include "journal/journal.hpp"

namespace docklift::journal {

// Performs the steps of the commit. False if one failed; which steps have taken effect is then not known.
bool perform(const std::filesystem::path& folder, const Commit& commit);

// The journal's files in a folder, by name. An unreadable file is returned as empty.
std::map<std::string, std::string> read_files(const std::filesystem::path& folder);

}  // namespace docklift::journal
