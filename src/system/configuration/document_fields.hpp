// Access to the fields of a configuration document, with a failure that names the field. Used inside this
// module only: DocumentError does not leave it. Pure.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace docklift::configuration {

// Thrown where validation stops: at the first invalid field.
struct DocumentError {
  std::string field, what;
};

[[noreturn]] void fail_field(const std::string& field, const std::string& what);

// A null value if there is no such member.
const nlohmann::json& member_or_null(const nlohmann::json& of, const char* key);
// A text that is not empty.
std::string required_string(const nlohmann::json& of, const char* key);
// A number of at least 0; `fallback` if the member is missing or null.
double number_or(const nlohmann::json& of, const char* key, double fallback);
std::uint32_t count_or(const nlohmann::json& of, const char* key, std::uint32_t fallback);
// A list; an empty one if the member is missing or null.
const nlohmann::json& array_or_empty(const nlohmann::json& of, const char* key);
std::vector<std::string> string_array(const nlohmann::json& of, const char* key);

}  // namespace docklift::configuration
