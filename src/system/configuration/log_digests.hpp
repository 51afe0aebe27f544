// Chained digests of the log of changes: two logs have the same digest at a position only if they hold the
// same changes up to it. Detects lost disks and operator mistakes, not forgery: peers in the fleet are
// trusted. Pure.
#pragma once

#include <cstdint>
#include <deque>
#include <string_view>

namespace docklift::configuration {

inline constexpr std::uint64_t kUnknownDigest = 0;  // of a state written by a version without digests
inline constexpr std::uint64_t kEmptyLogDigest = 1;

// Extends the digest `before` by the change at the next position. Unknown if `before` is unknown.
std::uint64_t digest_after(std::uint64_t before, std::uint8_t kind, std::string_view text);

// The digests at the most recent positions of one log.
class LogDigests {
 public:
  static constexpr std::size_t kMaxDigests = 1024;

  // `position` follows the last one recorded; after a snapshot, which may skip positions, earlier digests are
  // discarded.
  void record(std::uint64_t position, std::uint64_t digest);
  std::uint64_t at(std::uint64_t position) const;
  // Whether a log with this digest at this position holds different changes. False if either digest is
  // unknown.
  bool contradicts(std::uint64_t position, std::uint64_t digest) const;

 private:
  std::uint64_t first_ = 0;  // position of the first digest
  std::deque<std::uint64_t> digests_;
};

}  // namespace docklift::configuration
