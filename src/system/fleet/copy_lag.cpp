#include "system/fleet/copy_lag.hpp"

#include <algorithm>

namespace docklift::fleet {
namespace {
constexpr std::size_t kMostMissing = 64;  // that are told apart; what is newer counts from the last of them
// A core that is in reach tells its position each half second. What it doesn't tell any more is not known to be there:
// the core may have lost it, or be out of reach.
constexpr Duration kToldFor = std::chrono::seconds(3);
}  // namespace

void CopyLag::reported(Time now, std::uint64_t position, std::uint64_t own_position) {
  newest_ = std::max(newest_, position);
  for (auto& missing : missing_)
    if (missing.position <= position) missing.last_told = now;
  if (position <= own_position) return;
  if (!missing_.empty() && position <= missing_.back().position) return;
  if (missing_.size() == kMostMissing) {
    missing_.back().position = position;
  } else {
    missing_.push_back({position, now, now});
  }
}

void CopyLag::advanced(std::uint64_t own_position) {
  while (!missing_.empty() && missing_.front().position <= own_position) missing_.pop_front();
}

std::optional<Time> CopyLag::lagging_since(Time now) const {
  for (const auto& missing : missing_)
    if (now - missing.last_told <= kToldFor) return missing.first_told;
  return std::nullopt;
}

}  // namespace docklift::fleet
