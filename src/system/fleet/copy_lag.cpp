#include "system/fleet/copy_lag.hpp"

#include <algorithm>

namespace docklift::fleet {
namespace {
constexpr std::size_t
    kMostMissing = 64;  // positions that are told apart; what is newer counts from the last of them
}  // namespace

void CopyLag::told(Time now, std::uint64_t position, std::uint64_t own_position) {
  newest_ = std::max(newest_, position);
  if (position <= own_position) return;
  if (!missing_.empty() && position <= missing_.back().position) return;
  if (missing_.size() == kMostMissing) {
    missing_.back().position = position;
  } else {
    missing_.push_back({now, position});
  }
}

void CopyLag::advanced(std::uint64_t own_position) {
  while (!missing_.empty() && missing_.front().position <= own_position) missing_.pop_front();
}

std::optional<Time> CopyLag::behind_since() const {
  if (missing_.empty()) return std::nullopt;
  return missing_.front().at;
}

}  // namespace docklift::fleet
