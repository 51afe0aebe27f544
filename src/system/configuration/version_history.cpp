#include "system/configuration/version_history.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace docklift::configuration {
namespace {

constexpr std::size_t kNumberBytes = 8;
constexpr std::size_t kEntryBytes = 3 * kNumberBytes;
constexpr unsigned kBitsPerByte = 8;

void append_number(std::string& to, std::uint64_t number) {
  for (std::size_t i = 0; i < kNumberBytes; ++i) {
    to.push_back(static_cast<char>(number & 0xff));
    number >>= kBitsPerByte;
  }
}

std::uint64_t number_at(std::string_view bytes, std::size_t offset) {
  std::uint64_t number = 0;
  for (std::size_t i = kNumberBytes; i > 0; --i)
    number = number << kBitsPerByte | static_cast<unsigned char>(bytes[offset + i - 1]);
  return number;
}

}  // namespace

BodyDigest digest_of(BodyOperation operation, std::string_view body) {
  const auto seed = static_cast<XXH64_hash_t>(operation);
  const XXH128_hash_t hash = XXH3_128bits_withSeed(body.data(), body.size(), seed);
  return {hash.high64, hash.low64};
}

void VersionHistory::record(std::uint64_t version, const BodyDigest& digest) {
  const auto position = std::ranges::lower_bound(accepted_, version, {}, &AcceptedVersion::version);
  if (position != accepted_.end() && position->version == version) {
    position->digest = digest;
    return;
  }
  accepted_.insert(position, {version, digest});
  if (accepted_.size() > kMaxVersions) accepted_.erase(accepted_.begin());
}

bool VersionHistory::contains(std::uint64_t version, const BodyDigest& digest) const {
  const auto found = std::ranges::lower_bound(accepted_, version, {}, &AcceptedVersion::version);
  return found != accepted_.end() && found->version == version && found->digest == digest;
}

std::string VersionHistory::encode() const {
  std::string bytes;
  bytes.reserve(accepted_.size() * kEntryBytes);
  for (const auto& entry : accepted_) {
    append_number(bytes, entry.version);
    append_number(bytes, entry.digest.high);
    append_number(bytes, entry.digest.low);
  }
  return bytes;
}

std::optional<VersionHistory> VersionHistory::decode(std::string_view bytes) {
  if (bytes.size() % kEntryBytes != 0) return std::nullopt;
  VersionHistory history;
  history.accepted_.reserve(bytes.size() / kEntryBytes);
  for (std::size_t offset = 0; offset < bytes.size(); offset += kEntryBytes) {
    const auto version = number_at(bytes, offset);
    const auto high = number_at(bytes, offset + kNumberBytes);
    const auto low = number_at(bytes, offset + 2 * kNumberBytes);
    history.record(version, {high, low});
  }
  return history;
}

}  // namespace docklift::configuration
