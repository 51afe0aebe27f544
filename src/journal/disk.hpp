// Commits carried out on real files: POSIX calls that wait, for a thread of their own and not for an event loop.
#pragma once

#include <filesystem>
#include <map>
#include <string>

#include "journal/journal.hpp"

namespace docklift::journal {

// As Commit says. False if any of it failed; how far it came is not known then.
bool perform(const std::filesystem::path& folder, const Commit& commit);

// The journal's files in a folder, by name. One that can't be read is empty here, which recover() names.
std::map<std::string, std::string> read_files(const std::filesystem::path& folder);

}  // namespace docklift::journal
