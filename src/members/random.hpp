// Random choices that are the same for a seed on any platform: the engine is specified by the standard; the
// distributions, which the standard leaves open, are implemented here.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

namespace docklift {

class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t bits() { return engine_(); }
  // Uniform in [0, 1), in steps of 2^-53.
  double fraction() { return static_cast<double>(engine_() >> 11U) * 0x1p-53; }
  // True with probability `p`.
  bool chance(double p) { return p > 0 && fraction() < p; }
  // Uniform in [0, n); n > 0 and below 2^53.
  std::size_t below(std::size_t n) { return static_cast<std::size_t>(fraction() * static_cast<double>(n)); }
  template <class T>
  void shuffle(std::vector<T>& all) {
    for (std::size_t i = all.size(); i > 1; --i) std::swap(all[i - 1], all[below(i)]);
  }

 private:
  std::mt19937_64 engine_;
};

// A 64-bit mixing function (the finalizer of splitmix64), for the order of restoring nodes and the ranges of
// origins.
inline std::uint64_t mixed(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31U);
}
inline std::uint64_t mixed(std::uint64_t x, const char* text, std::size_t size) {
  for (std::size_t i = 0; i < size; ++i) x = (x ^ static_cast<unsigned char>(text[i])) * 0x100000001b3ULL;
  return mixed(x);
}

}  // namespace docklift
