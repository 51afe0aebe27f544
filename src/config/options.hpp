// Options of a section in one line each. Unless it is said, a change needs a restart.
#pragma once

#include "config/schema.hpp"

namespace docklift::options {

inline constexpr std::int64_t kMs = 1'000'000, kS = 1'000 * kMs, kMinute = 60 * kS;  // nanoseconds

// `type`: text, path or choice (then `choices` is to be set).
inline Option text(std::string key, Type type, std::string fallback, std::string doc) {
  return {.key = std::move(key), .type = type, .fallback = std::move(fallback), .doc = std::move(doc), .reloadable = false};
}
inline Option number(std::string key, std::int64_t fallback, std::int64_t least, std::int64_t most, std::string doc) {
  return {.key = std::move(key),
          .type = Type::whole,
          .fallback = fallback,
          .doc = std::move(doc),
          .reloadable = false,
          .least = least,
          .most = most};
}
inline Option flag(std::string key, bool fallback, std::string doc) {
  return {.key = std::move(key), .type = Type::boolean, .fallback = fallback, .doc = std::move(doc), .reloadable = false};
}
inline Option span(std::string key, std::int64_t fallback, std::int64_t least, std::int64_t most, std::string doc,
                   bool reloadable = false) {
  return {.key = std::move(key),
          .type = Type::duration,
          .fallback = fallback,
          .doc = std::move(doc),
          .reloadable = reloadable,
          .least = least,
          .most = most};
}

}  // namespace docklift::options
