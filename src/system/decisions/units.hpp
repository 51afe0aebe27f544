// Quota units leased by one proxy. A request of a tenant is admitted if a unit of the tenant is held;
// otherwise the proxy first adds a few units to the tenant's count at the holder of the counts. No I/O;
// callers pass the time.
//
// Invariants: a unit is spent in the window it was leased for; at most one call is in flight for a tenant and
// window; units of an older term are discarded once a newer holder grants. The units that a proxy is expected
// to need, from its use in the last windows, are leased before a window begins: a distant holder then adds no
// round trip to a request, and a change of the holder costs few requests.
#pragma once

#include <tsl/robin_map.h>

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "system/base/time.hpp"
#include "system/counts/counts.hpp"

namespace docklift::decisions {

using RequestId = std::uint64_t;

// To be sent to the holder of the counts.
struct UnitRequest {
  std::string tenant;
  int ahead = 0;  // of which window: 0 the current one, 1 the next, ...
  std::uint32_t units = 0;
  std::int64_t returned_window = -1;  // at least 0: the units are handed back to the count of this window
  double demand = 0;                  // requests per window that this proxy has of the tenant
};
struct UnitGrant {
  std::string tenant;
  std::int64_t window = 0;
  std::uint32_t units = 0, remaining = 0;
  Duration starts{}, ends{};  // of the window, from now
  Duration exhausted_for{};   // no more units of it are available for so long
};
// The holder's response to one call.
struct UnitResponse {
  std::uint64_t term = 0;
  Time sent{};  // when the call was sent, by the clock of this process
  std::vector<UnitGrant> grants;
};
// A request that waited for a unit and is refused.
struct RejectedRequest {
  RequestId request{};
  Duration retry_after{};
  bool holder_unreachable = false;  // refused for this, not for its quota
};

namespace detail {  // robin_map needs complete types
// Units of one window.
struct Lease {
  double held = 0;
  Time exhausted_until{};  // until then the holder has no more of it for this proxy
  bool scarce = false;     // few units are left at the holder
  Time requested_at{};     // when units were last requested before the window began
};
struct Waiting {
  RequestId request{};
  Time until{};
};
struct TenantUnits {
  counts::Quota quota;
  counts::Window window;
  Time window_set_at{};                  // when the leases of the former one were dropped
  bool has_origin = false;               // the position of the windows in time is known
  std::int64_t origin = 0, current = 0;  // numbers of windows
  Time origin_start{};
  std::map<std::int64_t, Lease> leases;  // from the current window on
  double previous_held = 0;              // units of the current window that an earlier holder granted
  Time previous_ends{};
  double used = 0, mean_used = 0;  // in this window; EWMA over windows
  bool call_in_flight = false;
  Time called_at{};
  std::deque<Waiting> waiting;
  bool dirty = false;
};
}  // namespace detail

// The leases of all tenants at one proxy, and the requests that wait for units.
class Units {
 public:
  Units(const counts::QuotaTolerance& tolerance, std::uint64_t random_seed)
      : tolerance_(tolerance), rng_(random_seed) {}
  enum class Admission { admitted, queued, rejected };

  // Requests that wait when a limit is lifted are admitted, in order.
  void set_quota(Time now, const std::string& tenant, const counts::Quota& quota);
  void keep_only(const std::vector<std::string>& tenants);
  void set_proxies(std::size_t n) { proxies_ = n > 0 ? n : 1; }
  void set_holder_reachable(bool reachable);

  // Rejected: `retry_after` says when to try again.
  Admission acquire(Time now, const std::string& tenant, RequestId request, Duration wait_limit,
                    Duration& retry_after, bool& holder_unreachable);
  void cancel_waiting(const std::string& tenant, RequestId request);
  // Returns an unused unit that was acquired at `acquired`; it can be spent until its window ends. One from
  // before the last change of the tenant's window is dropped: it may not have been leased at all.
  void release(Time now, const std::string& tenant, Time acquired);

  // A response that is too late after its call, or of an older term, brings no units and moves no window.
  void on_grants(Time now, const UnitResponse& answer);
  void on_call_failed();  // calls in flight get no response
  // The counts have a new holder: it grants units of future windows anew, those of the current window are
  // kept.
  void on_new_holder(Time now, std::uint64_t term);

  // What is to be requested now, and the requests admitted and rejected since the last call. To be called
  // after each of the above and periodically.
  std::vector<UnitRequest> take_requests(Time now);
  std::vector<RequestId> take_admitted() { return std::exchange(admitted_, {}); }
  std::vector<RejectedRequest> take_rejected(Time now);

 private:
  using Lease = detail::Lease;
  using Waiting = detail::Waiting;
  using TenantUnits = detail::TenantUnits;
  void apply_grant(Time now, const UnitGrant& g);
  void discard_grant(const UnitGrant& g);
  static void discard_foreign_grant(TenantUnits& t, const UnitGrant& g);
  void advance_window(Time now, TenantUnits& t);
  bool spend(Time now, TenantUnits& t);
  Time start_of(const TenantUnits& t, std::int64_t window) const;
  void lease_ahead(Time now, const std::string& name, TenantUnits& t, std::vector<UnitRequest>& out);
  void mark_dirty(const std::string& name, TenantUnits& t);
  void process_waiting(Time now, TenantUnits& t);
  void admit_waiting(TenantUnits& t);
  void reject_overdue(Time now, TenantUnits& t);

  tsl::robin_map<std::string, TenantUnits> tenants_;
  counts::QuotaTolerance tolerance_;
  std::minstd_rand rng_;
  std::vector<std::string> dirty_;
  std::vector<RequestId> admitted_;
  std::vector<RejectedRequest> rejected_;
  std::size_t proxies_ = 1;
  bool holder_reachable_ = false;
  std::uint64_t term_ = 0;
  Duration round_trip_ = std::chrono::milliseconds(20);  // EWMA over calls
  Time last_sweep_{};
};

}  // namespace docklift::decisions
