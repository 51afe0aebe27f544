// The counts of units that the holder of the lease keeps: for each tenant one for the present window and for
// each of the kAhead next ones. Pure. Weighted Fair Escrow: proxies add quanta to a window's count; what
// passes the window's limit is handed back.
//
// Invariant: of a window never more than its limit is granted; a holder grants nothing of windows that began
// before it did. Windows are whole parts of the span over which quotas are judged: such a span touches
// `parts` + 1 of them, so with a limit of what may pass in the span over parts + 1 no span is ever over. A
// window lasts about burst over rate: the longest one whose limit gives the tenant its rate and a little
// more, as what is leased at one proxy and not spent there is lost to the others.
#pragma once

#include <tsl/robin_map.h>

#include <cstdint>
#include <string>

#include "system/base/time.hpp"

namespace docklift::counts {

struct Quota {
  double per_s = 0, burst = 0;
};
struct Window {
  Duration length{};
  double limit = 0;  // units
};
struct Judged {  // how quotas are judged: (per_s * span + burst) * (1 + excess) + slack in any span
  double span_s = 5, excess = 0.1, slack = 20;
};
// No quota (per_s 0): length 0.
Window window_of(const Quota& q, const Judged& judged);

// An answer that came later than this after its call is void. The holder wrote it between the two, so no proxy
// sees an edge of a window later than this. The margin left of excess and slack pays for units spent so late
// after their window's end while proxies with up to 41% of them are late (docs/design/control-safety.md, 2).
inline constexpr Duration kLatestGrant = std::chrono::milliseconds(400);

inline constexpr int kAhead = 3;  // windows that may be leased of before they begin: they carry proxies over
                                  // a change of holder

struct Grant {
  std::int64_t window = 0;
  std::uint32_t units = 0, remaining = 0;
  Duration starts{}, ends{};  // from now
  Duration exhausted_for{};   // no more of it can be had for so long
};

namespace count {  // complete before the table of them
struct Share {
  double demand = 0;                // requests a window
  double granted[kAhead + 1] = {};  // of the present window and those after it
  Time at{};
};
struct Count {
  std::int64_t window = 0;  // the present one
  double used[kAhead + 1] = {};
  double demand = 0;                          // of all shares
  tsl::robin_map<std::string, Share> shares;  // by proxy
  Time at{};
};
}  // namespace count

class Counts {
 public:
  explicit Counts(const Judged& judged = {}) : judged_(judged) {}
  // Takes over at `now`. `first`: no proxy has units of another holder; of the present window it then grants
  // the part that is left.
  void begin(Time now, bool first);
  // Adds up to `units` to the count of the present window, or of the `ahead`th after it. `proxy` usually has
  // `demand` requests a window: where all proxies together want more than the limit, each has its part, and
  // what others leave shortly before the end.
  Grant add(Time now, const std::string& tenant, const Quota& quota, int ahead, std::uint32_t units,
            const std::string& proxy = {}, double demand = 0);
  void hand_back(Time now, const std::string& tenant, const Quota& quota, std::int64_t window,
                 std::uint32_t units);
  void sweep(Time now);  // forgets windows that are over
  std::size_t size() const { return counts_.size(); }

 private:
  using Count = count::Count;
  Count& at(Time now, const std::string& tenant, std::int64_t present);
  tsl::robin_map<std::string, Count> counts_;
  Judged judged_;
  Time begun_{};
  bool first_ = false;
};

}  // namespace docklift::counts
