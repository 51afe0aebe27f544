// How long seeded plays are: a short run in CI, longer ones by hand, told by environment variables.
#pragma once

#include <cstdint>
#include <cstdlib>

namespace docklift::test {

inline std::uint64_t setting(const char* name, std::uint64_t otherwise) {
  const char* value = std::getenv(name);
  return value ? std::strtoull(value, nullptr, 10) : otherwise;
}

// Of a suite that plays seeds 1 to this one.
inline std::uint64_t last_seed(std::uint64_t in_ci) { return setting("DOCKLIFT_LAST_SEED", in_ci); }

}  // namespace docklift::test
