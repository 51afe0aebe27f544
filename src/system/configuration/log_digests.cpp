#include "system/configuration/log_digests.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace docklift::configuration {

std::uint64_t digest_after(std::uint64_t before, std::uint8_t kind, std::string_view text) {
  if (before == kUnknownDigest) return kUnknownDigest;
  // Spreads the kind over all bits, so that no kind cancels a difference in `before`.
  constexpr std::uint64_t kKindMultiplier = 0x9e3779b97f4a7c15ULL;
  const std::uint64_t seed = before ^ ((std::uint64_t{kind} + 1) * kKindMultiplier);
  const std::uint64_t digest = XXH3_64bits_withSeed(text.data(), text.size(), seed);
  return digest == kUnknownDigest ? kEmptyLogDigest : digest;
}

void LogDigests::record(std::uint64_t position, std::uint64_t digest) {
  if (digests_.empty() || position != first_ + digests_.size()) {
    digests_.clear();
    first_ = position;
  }
  digests_.push_back(digest);
  if (digests_.size() <= kMaxDigests) return;
  digests_.pop_front();
  ++first_;
}

std::uint64_t LogDigests::at(std::uint64_t position) const {
  if (position < first_ || position - first_ >= digests_.size()) return kUnknownDigest;
  return digests_[position - first_];
}

bool LogDigests::contradicts(std::uint64_t position, std::uint64_t digest) const {
  const auto own = at(position);
  return own != kUnknownDigest && digest != kUnknownDigest && own != digest;
}

}  // namespace docklift::configuration
