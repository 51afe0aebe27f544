// What a step of the system gives back: a value, or a failure that names its step and the peer at which it
// arose. Pure; nothing here throws but std::bad_alloc.
#pragma once

#include <string>
#include <utility>
#include <variant>

namespace docklift {

struct Failure {
  std::string step;  // what was being done: "connect", "read settings"
  std::string peer;  // where: an address, a file, a field; empty: here
  std::string what;  // why, in a short sentence
  std::string to_string() const { return step + (peer.empty() ? "" : " at " + peer) + ": " + what; }
};

template <class T>
using Result = std::variant<T, Failure>;

template <class T>
bool failed(const Result<T>& r) {
  return std::holds_alternative<Failure>(r);
}
template <class T>
const Failure& failure(const Result<T>& r) {
  return std::get<Failure>(r);
}
template <class T>
T& value(Result<T>& r) {
  return std::get<T>(r);
}

}  // namespace docklift
