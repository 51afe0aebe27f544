// Which body was taken as which version, so that the same order sent again can be told from another one with
// the same number. Pure. Part of the replicated state: equal on all stores that have applied the same changes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace docklift::configuration {

// 128 bits over a body and the call that it came with (XXH3). Two bodies are compared only if they also name
// the same version.
struct BodyDigest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  bool operator==(const BodyDigest&) const = default;
};

// The call with which a body was sent: the same bytes mean different changes under different calls.
enum class BodyOperation : std::uint8_t { replace, patch };

BodyDigest digest_of(BodyOperation call, std::string_view body);

struct AcceptedVersion {
  std::uint64_t version = 0;
  BodyDigest digest;
  bool operator==(const AcceptedVersion&) const = default;
};

// The versions that were taken, oldest first; their numbers rise strictly.
class VersionHistory {
 public:
  // Versions that are remembered: more than a day of the most changes that are asked for (9,100). A body whose
  // version was forgotten is refused as stale (412). 24 bytes each in a snapshot, 240 KB at most.
  static constexpr std::size_t kMaxVersions = 10'000;

  // `version` must be above all that were recorded before.
  void record(std::uint64_t version, const BodyDigest& digest);
  // Whether exactly this body was taken as this version.
  bool contains(std::uint64_t version, const BodyDigest& digest) const;

  std::size_t size() const { return taken_.size(); }
  bool operator==(const VersionHistory&) const = default;

  // 24 bytes a version: version, high, low; little-endian.
  std::string encode() const;
  // None for bytes that are no history: cut short, or versions that do not rise.
  static std::optional<VersionHistory> decode(std::string_view bytes);

 private:
  std::vector<AcceptedVersion> taken_;
};

}  // namespace docklift::configuration
