// The result of an operation: a value, or a failure that names the operation and where it failed. Nothing
// here throws except std::bad_alloc.
#pragma once

#include <string>
#include <utility>
#include <variant>

namespace docklift {

// Why an operation failed, for logs.
struct Failure {
  std::string step;  // the operation, such as "connect" or "read settings"
  std::string peer;  // the address, file or field concerned; empty if none
  std::string what;  // the cause, in a few words
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
