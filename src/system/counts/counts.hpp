// The counts of quota units that the lease holder keeps: for each tenant one for the current window and one
// for each of the kWindowsAhead next ones. Proxies lease units by adding them to a window's count, up to its
// limit, and may hand unspent ones back. No I/O; callers pass the time.
//
// Invariant: never more units of a window are granted than its limit, and a holder grants none of windows
// that began before its term. Quotas are evaluated over spans of time that are whole multiples of the window
// length: any such span of n windows touches n + 1 of them, so a limit of what may pass in the span, divided
// by n + 1, keeps each span within the quota. A window lasts about burst over rate: it is the longest one
// whose limit gives the tenant its rate and a little more, as units that are leased by one proxy and not
// spent are lost to the others. Where a changed quota changes the length, windows of both lengths lie in one
// span: what was granted in the span before is counted then, whatever the windows were.
#pragma once

#include <tsl/robin_map.h>

#include <cstdint>
#include <string>
#include <vector>

#include "system/base/time.hpp"

namespace docklift::counts {

// Of a tenant.
struct Quota {
  double per_s = 0, burst = 0;
};
struct Window {
  Duration length{};
  double limit = 0;  // units
};
// The limit that quotas are evaluated by: (per_s * span + burst) * (1 + excess) + slack requests in any span.
struct QuotaTolerance {
  double span_s = 5, excess = 0.1, slack = 20;
};
// No quota (per_s 0): length 0.
Window window_of(const Quota& q, const QuotaTolerance& tolerance);

// A response that is received later than this after its call is void. The holder wrote it between the two, so
// no proxy sees an edge of a window later than this. The margin left of excess and slack covers units that
// are spent so long after the end of their window, as long as up to 41% of the proxies are late
// (docs/design/control-safety.md, 2).
inline constexpr Duration kMaxGrantDelay = std::chrono::milliseconds(400);

// Windows of which units may be leased before they begin: they carry proxies over a change of the holder.
inline constexpr int kWindowsAhead = 3;

struct Grant {
  std::int64_t window = 0;
  std::uint32_t units = 0, remaining = 0;
  Duration starts{}, ends{};  // of the window, from now
  Duration exhausted_for{};   // no more units of it are available for so long
};

namespace detail {  // robin_map needs complete types
struct ProxyShare {
  double demand = 0;                       // requests per window
  double granted[kWindowsAhead + 1] = {};  // of the current window and those after it
  Time updated_at{};
};
// A window that is over, or that ended early with a change of the length.
struct PastWindow {
  Time ends{};
  Duration length{};
  double used = 0;
  double span_limit = 0;  // then
};
struct TenantCount {
  std::int64_t window = 0;       // the current one
  Duration length{};             // of the windows
  double span_limit = 0;         // units that may be granted in a span
  std::vector<PastWindow> past;  // of the last span
  double used[kWindowsAhead + 1] = {};
  double demand = 0;                               // of all shares
  tsl::robin_map<std::string, ProxyShare> shares;  // by proxy
  Time updated_at{};
};
}  // namespace detail

// The counts of all tenants.
class Counts {
 public:
  explicit Counts(const QuotaTolerance& tolerance = {}) : tolerance_(tolerance) {}
  // Starts a term at `now`. `first`: no proxy has units of another holder; the remaining fraction of the
  // current window is then granted.
  void begin(Time now, bool first);
  // Adds up to `units` to the count of the current window, or of the `ahead`th after it. `proxy` has about
  // `demand` requests per window: if all proxies together want more than the limit, each gets its share, and
  // shortly before the window ends what others leave.
  Grant add(Time now, const std::string& tenant, const Quota& quota, int ahead, std::uint32_t units,
            const std::string& proxy = {}, double demand = 0);
  void hand_back(Time now, const std::string& tenant, const Quota& quota, std::int64_t window,
                 std::uint32_t units);
  void sweep(Time now);  // removes counts of tenants without recent requests
  std::size_t size() const { return counts_.size(); }

 private:
  using TenantCount = detail::TenantCount;
  TenantCount& count_at(Time now, const std::string& tenant, const Quota& quota, const Window& window);
  void advance(Time now, TenantCount& c, std::int64_t current) const;
  static void change_length(Time now, TenantCount& c, Duration length);
  double left_in_spans(const TenantCount& c, int ahead) const;
  double left_in_span(const TenantCount& c, int last) const;
  tsl::robin_map<std::string, TenantCount> counts_;
  QuotaTolerance tolerance_;
  Time began_{};
  bool first_ = false;
};

}  // namespace docklift::counts
