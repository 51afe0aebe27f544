#include "system/fleet/copy_lag.hpp"

#include <algorithm>

namespace docklift::fleet {
namespace {
constexpr std::size_t kMaxMissing = 64;  // positions tracked; newer ones count from the last of them
// A reachable core reports its position every 500 ms. A position that it no longer reports is not known to
// exist: the core may have lost it or be unreachable.
constexpr Duration kReportValidity = std::chrono::seconds(3);
}  // namespace

void CopyLag::reported(Time now, std::uint64_t position, std::uint64_t own_position) {
  newest_ = std::max(newest_, position);
  for (auto& missing : missing_)
    if (missing.position <= position) missing.last_reported = now;
  if (position <= own_position) return;
  if (!missing_.empty() && position <= missing_.back().position) return;
  if (missing_.size() == kMaxMissing) {
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
    if (now - missing.last_reported <= kReportValidity) return missing.first_reported;
  return std::nullopt;
}

}  // namespace docklift::fleet
