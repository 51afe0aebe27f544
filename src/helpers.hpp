// Time arithmetic, hashing and table look-ups for the decision module.
#pragma once

#include "snowknot/gateway.hpp"

namespace snowknot {

inline double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
inline Duration from_seconds(double s) { return Duration(static_cast<Duration::rep>(s * 1e9)); }
inline Duration scaled(Duration d, double f) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(d.count()) * f));
}

inline std::uint64_t mix(std::uint64_t x) {  // splitmix64: a hash that is equal at all gateways
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

// The element at an index of an enum type.
template <class Table, class Index>
auto& at(Table& table, Index i) {
  return table[static_cast<std::size_t>(i)];
}

// The value of a key, or null.
template <class Table, class Key>
auto* find(Table& table, const Key& key) {
  const auto it = table.find(key);
  return it == table.end() ? nullptr : &it->second;
}

}  // namespace snowknot
