// Digests of a log of changes, chained over its places: two logs have the same digest at a place only if they hold the
// same changes up to it. Against lost disks and mistakes, not against forgery: links are inside the fleet. Pure.
#pragma once

#include <cstdint>
#include <deque>
#include <string_view>

namespace docklift::configuration {

inline constexpr std::uint64_t kUnknownDigest = 0;  // of a state that an earlier version has written
inline constexpr std::uint64_t kEmptyLogDigest = 1;

// The digest after a change at the place after those that `before` covers; not known where that is not.
std::uint64_t digest_after(std::uint64_t before, std::uint8_t kind, std::string_view text);

// Of the last places of one log.
class LogDigests {
 public:
  static constexpr std::size_t kMaxDigests = 1024;

  // The place after the last one, or one that a snapshot has led to.
  void record(std::uint64_t position, std::uint64_t digest);
  std::uint64_t at(std::uint64_t position) const;
  // Whether a log with this digest at a place holds other changes than this one. False where either is not known.
  bool contradicts(std::uint64_t position, std::uint64_t digest) const;

 private:
  std::uint64_t first_ = 0;  // position of the first digest
  std::deque<std::uint64_t> digests_;
};

}  // namespace docklift::configuration
