#include "system/counts/counts.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

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
constexpr Duration kShareLifetime = std::chrono::seconds(6);       // after the proxy's last request
constexpr Duration kRoundingError = std::chrono::microseconds(1);  // of a span's length in windows

// What may be granted in any span.
double span_limit_of(const Quota& q, const QuotaTolerance& tolerance) {
  const double nominal = q.per_s * tolerance.span_s + q.burst;
  return nominal + (nominal * tolerance.excess + tolerance.slack) * (1 - kMarginFraction);
}
}  // namespace

Window window_of(const Quota& q, const QuotaTolerance& tolerance) {
  if (q.per_s <= 0) return {};
  const double allowed = span_limit_of(q, tolerance);
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

Counts::TenantCount& Counts::count_at(Time now, const std::string& tenant, const Quota& quota,
                                      const Window& window) {
  auto [it, fresh] = counts_.try_emplace(tenant);
  auto& c = it.value();
  c.updated_at = now;
  if (fresh) {
    c.length = window.length, c.window = now.time_since_epoch() / c.length;
  } else {
    advance(now, c, now.time_since_epoch() / c.length);
    if (c.length != window.length) change_length(now, c, window.length);
  }
  c.span_limit = span_limit_of(quota, tolerance_);
  return c;
}

// Moves to a later window.
void Counts::advance(Time now, TenantCount& c, std::int64_t current) const {
  const auto step = current - c.window;
  if (step == 0) return;
  for (std::int64_t i = 0; i < std::min<std::int64_t>(step, kWindowsAhead + 1); ++i)
    c.past.push_back({Time(c.length * (c.window + i + 1)), c.length, c.used[i], c.span_limit});
  std::erase_if(c.past,
                [&](const detail::PastWindow& w) { return w.ends + from_seconds(tolerance_.span_s) < now; });
  const auto shift = [step](double(&of)[kWindowsAhead + 1]) {
    for (int i = 0; i <= kWindowsAhead; ++i) of[i] = i + step <= kWindowsAhead ? of[i + step] : 0;
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
}

// Proxies drop their leases with the change.
void Counts::change_length(Time now, TenantCount& c, Duration length) {
  c.past.push_back({Time(c.length * (c.window + 1)), c.length, c.used[0], c.span_limit});
  std::ranges::fill(c.used, 0);
  for (auto share = c.shares.begin(); share != c.shares.end(); ++share)
    std::ranges::fill(share.value().granted, 0);
  c.length = length, c.window = now.time_since_epoch() / length;
}

// The units that may still be granted in the span that ends with the window `last`; no bound beside the windows'
// limits while all windows of that span have one length.
double Counts::left_in_span(const TenantCount& c, int last) const {
  const Time starts = Time(c.length * (c.window + last)) - from_seconds(tolerance_.span_s);
  double used = 0;
  double limit = c.span_limit;
  bool has_other_length = false;
  for (const auto& w : c.past) {
    if (w.ends <= starts + kRoundingError) continue;
    has_other_length = has_other_length || w.length != c.length;
    used += w.used;
    limit = std::max(limit, w.span_limit);
  }
  if (!has_other_length) return std::numeric_limits<double>::infinity();
  for (int i = 0; i <= last; ++i) used += c.used[i];
  return limit - used;
}

// In all spans that hold the window `ahead`.
double Counts::left_in_spans(const TenantCount& c, int ahead) const {
  double left = std::numeric_limits<double>::infinity();
  for (int last = ahead; last <= kWindowsAhead; ++last) left = std::min(left, left_in_span(c, last));
  return left;
}

Grant Counts::add(Time now, const std::string& tenant, const Quota& quota, int ahead, std::uint32_t units,
                  const std::string& proxy, double demand) {
  const auto w = window_of(quota, tolerance_);
  Grant g;
  if (w.length == Duration{}) return g;
  auto& c = count_at(now, tenant, quota, w);
  const std::int64_t current = c.window;
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
  const double headroom = std::max(0.0, std::min(limit - used, left_in_spans(c, ahead)));
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
  auto& c = count_at(now, tenant, quota, w);
  if (window < c.window || window > c.window + kWindowsAhead) return;
  auto& used = c.used[window - c.window];
  used = std::max(0.0, used - units);
}

void Counts::sweep(Time now) {
  for (auto it = counts_.begin(); it != counts_.end();)
    it = now - it->second.updated_at > std::chrono::seconds(20) ? counts_.erase(it) : std::next(it);
}

}  // namespace docklift::counts
