// A string hash that is the same in every process and release, for decisions that members make independently
// and that must be identical.
#pragma once

#include <cstdint>
#include <string_view>

#include "system/base/time.hpp"

namespace docklift {

// FNV-1a with a final mixing step; use different seeds for strings of different kinds.
inline std::uint64_t hash_of(std::string_view text, std::uint64_t seed = 0) {
  constexpr std::uint64_t kOffset = 0xcbf29ce484222325ULL;
  constexpr std::uint64_t kPrime = 0x100000001b3ULL;
  std::uint64_t hash = kOffset ^ seed;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  return mix(hash);
}

}  // namespace docklift
