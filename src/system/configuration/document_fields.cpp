#include "system/configuration/document_fields.hpp"

#include <limits>

namespace docklift::configuration {

using Json = nlohmann::json;

void fail_field(const std::string& field, const std::string& what) { throw DocumentError{field, what}; }

const Json& member_or_null(const Json& of, const char* key) {
  static const Json none;
  const auto it = of.find(key);
  return it == of.end() ? none : *it;
}

std::string required_string(const Json& of, const char* key) {
  const auto& v = member_or_null(of, key);
  if (!v.is_string() || v.get_ref<const std::string&>().empty()) fail_field(key, "is no text");
  return v.get<std::string>();
}

double number_or(const Json& of, const char* key, double fallback) {
  const auto& v = member_or_null(of, key);
  if (v.is_null()) return fallback;
  if (!v.is_number()) fail_field(key, "is no number");
  const double n = v.get<double>();
  if (n < 0) fail_field(key, "is below 0");
  return n;
}

std::uint32_t count_or(const Json& of, const char* key, std::uint32_t fallback) {
  const double number = number_or(of, key, fallback);
  if (number > std::numeric_limits<std::uint32_t>::max()) fail_field(key, "is too large");
  return static_cast<std::uint32_t>(number);
}

const Json& array_or_empty(const Json& of, const char* key) {
  static const Json empty = Json::array();
  const auto& v = member_or_null(of, key);
  if (v.is_null()) return empty;
  if (!v.is_array()) fail_field(key, "is no list");
  return v;
}

std::vector<std::string> string_array(const Json& of, const char* key) {
  std::vector<std::string> out;
  for (const auto& v : array_or_empty(of, key)) {
    if (!v.is_string()) fail_field(key, "holds what is no text");
    out.push_back(v.get<std::string>());
  }
  return out;
}

}  // namespace docklift::configuration
