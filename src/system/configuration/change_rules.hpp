// Which members of the configuration document an order of the operator may set, and with which type. One
// table for Config.Replace and Config.Patch. These rules decide whether an order is accepted; they do not
// apply to changes that are already in the log, which an earlier version of this program may have accepted
// (docs/design/configuration-changes.md). Pure.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

namespace docklift::configuration {

// Nesting of arrays and objects in an order's body. Deeper documents could not be encoded on a thread's
// stack.
inline constexpr std::size_t kMaxNesting = 64;
// Whether the text nests arrays and objects deeper than kMaxNesting. Reads any bytes.
bool nests_too_deeply(std::string_view text);

// Both throw DocumentError, which names the member, at the first violation.
//
// Checks the members of a Config.Replace body.
void check_replace_members(const nlohmann::json& body);
// Checks the members under `upsert` and `remove` of a Config.Patch body. Members that this version does not
// know are compared with those of `document`, the document to be changed.
void check_patch_members(const nlohmann::json& document, const nlohmann::json& patch);

}  // namespace docklift::configuration
