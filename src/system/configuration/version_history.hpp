// Records which body was accepted as which version, to tell a repeated request from a different one with the
// same version number. Pure. Part of the replicated state: equal on all stores that have applied the same
// changes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace docklift::configuration {

// XXH3 128-bit digest of a body and its operation. Only digests recorded for the same version are compared.
struct BodyDigest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  bool operator==(const BodyDigest&) const = default;
};

// The operation that a body was sent with: the same bytes mean different changes under different operations.
enum class BodyOperation : std::uint8_t { replace, patch };

BodyDigest digest_of(BodyOperation operation, std::string_view body);

struct AcceptedVersion {
  std::uint64_t version = 0;
  BodyDigest digest;
  bool operator==(const AcceptedVersion&) const = default;
};

// The accepted versions, in strictly ascending order; of more than kMaxVersions the highest ones.
class VersionHistory {
 public:
  // Covers more than a day at the highest required rate of change (9,100 a day). A repeated body whose
  // version has been dropped is rejected as stale (412). 24 bytes each in a snapshot, 240 KB at most.
  static constexpr std::size_t kMaxVersions = 10'000;

  // Usually above all recorded versions. A change that an earlier version of this program accepted may have
  // set a lower one; a version that is recorded again belongs to the later body.
  void record(std::uint64_t version, const BodyDigest& digest);
  // Whether exactly this body was accepted as this version.
  bool contains(std::uint64_t version, const BodyDigest& digest) const;

  std::size_t size() const { return accepted_.size(); }
  // The highest recorded version; 0: none.
  std::uint64_t newest() const { return accepted_.empty() ? 0 : accepted_.back().version; }
  bool operator==(const VersionHistory&) const = default;

  // 24 bytes a version: version, high, low; little-endian.
  std::string encode() const;
  // Versions in any order, as earlier versions of this program may have written them. Returns nothing for
  // truncated bytes.
  static std::optional<VersionHistory> decode(std::string_view bytes);

 private:
  std::vector<AcceptedVersion> accepted_;
};

}  // namespace docklift::configuration
