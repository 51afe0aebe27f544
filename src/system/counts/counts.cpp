#include "system/counts/counts.hpp"

#include <algorithm>
#include <cmath>

namespace docklift::counts {
namespace {
constexpr int kFewestParts = 2, kMostParts = 10;  // of the span: windows of 0.5 to 2.5 s where it is 5 s
constexpr Duration kEdge = std::chrono::milliseconds(
    120);                               // by which two machines may differ on where a window begins
constexpr double kMoreThanRate = 1.08;  // of the rate that a window's limit should give
constexpr double
    kMarginPart = 0.3;  // of excess and slack left alone: requests are judged when they arrive at servers
constexpr double
    kPressed = 0.95;  // of the limit, that all proxies together must want for each to be kept to its part
constexpr double
    kSharedFor = 0.6;  // part of a window for which that is so: then who comes first has what is left
constexpr Duration kShareKept = std::chrono::seconds(6);
}  // namespace

Window window_of(const Quota& q, const Judged& judged) {
  if (q.per_s <= 0) return {};
  const double told = q.per_s * judged.span_s + q.burst;
  const double allowed = told + (told * judged.excess + judged.slack) * (1 - kMarginPart);
  for (int parts = kFewestParts;; ++parts) {
    const double length = judged.span_s / parts;
    const double limit = std::max(1.0, std::floor(allowed / (parts + 1)));
    if (parts == kMostParts || limit >= kMoreThanRate * q.per_s * length)
      return {from_seconds(length), limit};
  }
}

void Counts::begin(Time now, bool first) {
  counts_.clear();
  begun_ = now, first_ = first;
}

Counts::Count& Counts::at(Time now, const std::string& tenant, std::int64_t present) {
  auto [it, fresh] = counts_.try_emplace(tenant);
  auto& c = it.value();
  c.at = now;
  if (!fresh && c.window == present) return c;
  // Also back in time by no more than that: the clock does not go backwards, but a quota's window may have
  // changed.
  const auto step = fresh ? kAhead + 1 : present - c.window;
  const auto shift = [step](double(&of)[kAhead + 1]) {
    for (int i = 0; i <= kAhead; ++i) of[i] = step > 0 && i + step <= kAhead ? of[i + step] : 0;
  };
  shift(c.used);
  c.demand = 0;
  for (auto share = c.shares.begin(); share != c.shares.end();) {
    if (now - share->second.at > kShareKept) {
      share = c.shares.erase(share);
      continue;
    }
    shift(share.value().granted);
    c.demand += share->second.demand;
    ++share;
  }
  c.window = present;
  return c;
}

Grant Counts::add(Time now, const std::string& tenant, const Quota& quota, int ahead, std::uint32_t units,
                  const std::string& proxy, double demand) {
  const auto w = window_of(quota, judged_);
  Grant g;
  if (w.length == Duration{}) return g;
  const std::int64_t now_in = now.time_since_epoch() / w.length;
  auto& c = at(now, tenant, now_in);
  ahead = std::clamp(ahead, 0, kAhead);
  auto& used = c.used[ahead];
  // Of a window that began before this holder did, others have granted; proxies see its edges a little off.
  const Time starts(w.length * (now_in + ahead));
  double limit = w.limit;
  if (starts < begun_ + kEdge)
    limit = first_
                ? std::floor(w.limit * std::clamp(1 - seconds(begun_ - starts) / seconds(w.length), 0.0, 1.0))
                : 0;
  const double room = std::max(0.0, limit - used);
  double most = room;
  if (!proxy.empty()) {
    auto& share = c.shares[proxy];
    c.demand += demand - share.demand;
    share.demand = demand, share.at = now;
    const double gone = seconds(now - Time(w.length * now_in)) / seconds(w.length);
    if (c.demand > kPressed * w.limit && (ahead > 0 || gone < kSharedFor)) {
      const double part = std::ceil(w.limit * std::max(demand, 1.0) / std::max(c.demand, 1.0));
      most = std::clamp(part - share.granted[ahead], 0.0, room);
    }
    share.granted[ahead] += std::min<double>(units, std::floor(most + 1e-9));
  }
  g.units = static_cast<std::uint32_t>(std::min<double>(units, std::floor(most + 1e-9)));
  used += g.units;
  g.remaining = static_cast<std::uint32_t>(std::max(0.0, std::floor(room - g.units + 1e-9)));
  g.window = now_in + ahead;
  g.starts = Time(w.length * g.window) - now;
  g.ends = g.starts + w.length;
  if (g.remaining == 0) {
    g.exhausted_for = g.ends;
  } else if (g.units < units) {  // its part is granted: what others leave can be had later
    g.exhausted_for = std::max<Duration>(g.starts + snowknot::scaled(w.length, kSharedFor),
                                         std::chrono::milliseconds(1));
  }
  return g;
}

void Counts::hand_back(Time now, const std::string& tenant, const Quota& quota, std::int64_t window,
                       std::uint32_t units) {
  const auto w = window_of(quota, judged_);
  if (w.length == Duration{}) return;
  const std::int64_t now_in = now.time_since_epoch() / w.length;
  if (window < now_in || window > now_in + kAhead) return;
  auto& used = at(now, tenant, now_in).used[window - now_in];
  used = std::max(0.0, used - units);
}

void Counts::sweep(Time now) {
  for (auto it = counts_.begin(); it != counts_.end();)
    it = now - it->second.at > std::chrono::seconds(20) ? counts_.erase(it) : std::next(it);
}

}  // namespace docklift::counts
