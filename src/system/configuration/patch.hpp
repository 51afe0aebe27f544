// The effect of a Config.Patch body on a configuration document. Pure.
#pragma once

#include <nlohmann/json.hpp>

namespace docklift::configuration {

// The document that results from a patch. Part of the replicated state's transition: the log of a store in
// service may hold any body that an earlier version of this program accepted, so the result for a given
// document and patch must not change between versions. Which bodies are accepted is decided in change_rules.
// Throws DocumentError and nlohmann::json::exception.
nlohmann::json apply_patch(const nlohmann::json& document, const nlohmann::json& patch);

}  // namespace docklift::configuration
