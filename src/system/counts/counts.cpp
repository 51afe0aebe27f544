#include "system/counts/counts.hpp"

#include <algorithm>
#include <cmath>

namespace docklift::counts {
namespace {
constexpr int kMinWindowsPerSpan = 2, kMaxWindowsPerSpan = 10;  // windows of 0.5 to 2.5 s in a span of 5 s
// How far the machines may differ on when a window begins.
constexpr Duration kWindowSkew = std::chrono::milliseconds(120);
constexpr double kRateFactor = 1.08;  // times the tenant's rate, that a window's limit should allow
// Of excess and slack, left unused: quotas are evaluated when requests arrive at servers.
constexpr double kMarginFraction = 0.3;
// Of the limit: if all proxies together want more, each is limited to its share.
constexpr double kContentionThreshold = 0.95;
// Of a window, for which shares hold; after it, the first to ask gets what is left.
constexpr double kSharedFraction = 0.6;
constexpr Duration kShareLifetime = std::chrono::seconds(6);  // after the proxy's last request
}  // namespace

Window window_of(const Quota& q, const QuotaTolerance& tolerance) {
  if (q.per_s <= 0) return {};
  const double nominal = q.per_s * tolerance.span_s + q.burst;
  const double allowed = nominal + (nominal * tolerance.excess + tolerance.slack) * (1 - kMarginFraction);
  for (int windows = kMinWindowsPerSpan;; ++windows) {
    const double length = tolerance.span_s / windows;
    const double limit = std::max(1.0, std::floor(allowed / (windows + 1)));
    if (windows == kMaxWindowsPerSpan || limit >= kRateFactor * q.per_s * length)
      return {from_seconds(length), limit};
  }
}

void Counts::begin(Time now, bool first) {
  counts_.clear();
  began_ = now, first_ = first;
}

Counts::TenantCount& Counts::count_at(Time now, const std::string& tenant, std::int64_t current) {
  auto [it, fresh] = counts_.try_emplace(tenant);
  auto& c = it.value();
  c.updated_at = now;
  if (!fresh && c.window == current) return c;
  // The step may be negative: the clock is monotonic, but a changed quota may have changed the window length.
  const auto step = fresh ? kWindowsAhead + 1 : current - c.window;
  const auto shift = [step](double(&of)[kWindowsAhead + 1]) {
    for (int i = 0; i <= kWindowsAhead; ++i) of[i] = step > 0 && i + step <= kWindowsAhead ? of[i + step] : 0;
  };
  shift(c.used);
  c.demand = 0;
  for (auto share = c.shares.begin(); share != c.shares.end();) {
    if (now - share->second.updated_at > kShareLifetime) {
      share = c.shares.erase(share);
      continue;
    }
    shift(share.value().granted);
    c.demand += share->second.demand;
    ++share;
  }
  c.window = current;
  return c;
}

Grant Counts::add(Time now, const std::string& tenant, const Quota& quota, int ahead, std::uint32_t units,
                  const std::string& proxy, double demand) {
  const auto w = window_of(quota, tolerance_);
  Grant g;
  if (w.length == Duration{}) return g;
  const std::int64_t current = now.time_since_epoch() / w.length;
  auto& c = count_at(now, tenant, current);
  ahead = std::clamp(ahead, 0, kWindowsAhead);
  auto& used = c.used[ahead];
  // Other holders have granted units of a window that began before this term; the clocks of proxies are
  // skewed.
  const Time starts(w.length * (current + ahead));
  double limit = w.limit;
  if (starts < began_ + kWindowSkew)
    limit = first_
                ? std::floor(w.limit * std::clamp(1 - seconds(began_ - starts) / seconds(w.length), 0.0, 1.0))
                : 0;
  const double headroom = std::max(0.0, limit - used);
  double max_units = headroom;
  if (!proxy.empty()) {
    auto& share = c.shares[proxy];
    c.demand += demand - share.demand;
    share.demand = demand, share.updated_at = now;
    const double elapsed = seconds(now - Time(w.length * current)) / seconds(w.length);
    if (c.demand > kContentionThreshold * w.limit && (ahead > 0 || elapsed < kSharedFraction)) {
      const double fair_share = std::ceil(w.limit * std::max(demand, 1.0) / std::max(c.demand, 1.0));
      max_units = std::clamp(fair_share - share.granted[ahead], 0.0, headroom);
    }
    share.granted[ahead] += std::min<double>(units, std::floor(max_units + 1e-9));
  }
  g.units = static_cast<std::uint32_t>(std::min<double>(units, std::floor(max_units + 1e-9)));
  used += g.units;
  g.remaining = static_cast<std::uint32_t>(std::max(0.0, std::floor(headroom - g.units + 1e-9)));
  g.window = current + ahead;
  g.starts = Time(w.length * g.window) - now;
  g.ends = g.starts + w.length;
  if (g.remaining == 0) {
    g.exhausted_for = g.ends;
  } else if (g.units < units) {  // its share is granted: what others leave is available later
    g.exhausted_for = std::max<Duration>(g.starts + snowknot::scaled(w.length, kSharedFraction),
                                         std::chrono::milliseconds(1));
  }
  return g;
}

void Counts::hand_back(Time now, const std::string& tenant, const Quota& quota, std::int64_t window,
                       std::uint32_t units) {
  const auto w = window_of(quota, tolerance_);
  if (w.length == Duration{}) return;
  const std::int64_t current = now.time_since_epoch() / w.length;
  if (window < current || window > current + kWindowsAhead) return;
  auto& used = count_at(now, tenant, current).used[window - current];
  used = std::max(0.0, used - units);
}

void Counts::sweep(Time now) {
  for (auto it = counts_.begin(); it != counts_.end();)
    it = now - it->second.updated_at > std::chrono::seconds(20) ? counts_.erase(it) : std::next(it);
}

}  // namespace docklift::counts
