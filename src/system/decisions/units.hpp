// Units leased under tenants' names: Weighted Fair Escrow at one proxy. A request passes if a unit is held
// under its tenant's name; otherwise a quantum is added to that tenant's count at the holder of the counts
// first. Pure.
//
// Invariants: a unit is spent in the window it was leased of; at most one call is out for a tenant and
// window; units of an older term are dropped when a newer holder grants. Ours: what a proxy used in the last
// windows is leased of the next ones ahead of their begin, so that a holder far away costs no request its
// round trip, and a change of holder costs few requests.
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

struct UnitRequest {  // to be sent to the holder
  std::string tenant;
  int ahead = 0;  // of which window: 0 the present one, 1 the next, ...
  std::uint32_t units = 0;
  std::int64_t returned_window = -1;  // at least 0: they are handed back, to the count of this window
  double demand = 0;                  // requests a window that this proxy has of the tenant
};
struct UnitGrant {
  std::string tenant;
  std::int64_t window = 0;
  std::uint32_t units = 0, remaining = 0;
  Duration starts{}, ends{};  // from now
  Duration exhausted_for{};   // no more of it can be had for so long
};
struct UnitResponse {  // of the holder, to one call
  std::uint64_t term = 0;
  Time sent{};  // when the call was sent, by the clock of this process
  std::vector<UnitGrant> grants;
};
struct Turned {  // a request that waited is refused
  RequestId request{};
  Duration retry_after{};
  bool holder_lost = false;  // not for its quota: nobody could be asked
};

namespace units {  // complete before the tables of them
struct Lease {     // of one window
  double held = 0;
  Time shut{};          // until then the holder has no more of it for this proxy
  bool scarce = false;  // little is left of it
  Time asked_at{};      // when units of it were last asked for, ahead of its begin
};
struct Waiting {
  RequestId request{};
  Time until{};
};
struct Tenant {
  counts::Quota quota;
  counts::Window window;
  bool anchored = false;  // where windows lie is known
  std::int64_t anchor = 0, present = 0;
  Time anchor_start{};
  std::map<std::int64_t, Lease> leases;  // from the present window on
  double old_held = 0;                   // units of the present window that an earlier holder granted
  Time old_ends{};
  double used = 0, usual = 0;  // in this window; EWMA over windows
  bool call_out = false;
  Time called_at{};
  std::deque<Waiting> waiting;
  bool dirty = false;
};
}  // namespace units

class Units {
 public:
  Units(const counts::Judged& judged, std::uint64_t chance) : judged_(judged), rng_(chance) {}
  enum class Take { passed, waits, refused };

  void set_quota(const std::string& tenant, const counts::Quota& quota);
  void keep_only(const std::vector<std::string>& tenants);
  void set_proxies(std::size_t n) { proxies_ = n > 0 ? n : 1; }
  void set_holder(bool reachable);  // whether the holder can be asked

  // `refused`: `retry_after` tells when to come back.
  Take take(Time now, const std::string& tenant, RequestId request, Duration wait_limit,
            Duration& retry_after, bool& holder_lost);
  void forget(const std::string& tenant, RequestId request);  // it no longer waits
  // A unit that was taken at `taken` was not used: it is of use until its window ends.
  void give_back(Time now, const std::string& tenant, Time taken);

  // An answer that came too late after its call, or of an older term, brings no units and moves no window.
  void granted(Time now, const UnitResponse& answer);
  void call_failed();  // calls that are out get no answer
  // Another one holds the counts now: what was leased ahead is granted anew by it, what is of the present
  // window stays.
  void new_holder(Time now, std::uint64_t term);

  // What is to be asked now, who passes, and who is refused. Called after each of the above and with time.
  std::vector<UnitRequest> orders(Time now);
  std::vector<RequestId> passed() { return std::exchange(passed_, {}); }
  std::vector<Turned> turned(Time now);

 private:
  using Lease = units::Lease;
  using Waiting = units::Waiting;
  using Tenant = units::Tenant;
  void take_grant(Time now, const UnitGrant& g);
  void drop_grant(const UnitGrant& g);
  void roll(Time now, Tenant& t);
  bool spend(Time now, Tenant& t);
  Time start_of(const Tenant& t, std::int64_t window) const;
  void lease_ahead(Time now, const std::string& name, Tenant& t, std::vector<UnitRequest>& out);
  void mark(const std::string& name, Tenant& t);
  void settle(Time now, Tenant& t);

  tsl::robin_map<std::string, Tenant> tenants_;
  counts::Judged judged_;
  std::minstd_rand rng_;
  std::vector<std::string> dirty_;
  std::vector<RequestId> passed_;
  std::vector<Turned> turned_;
  std::size_t proxies_ = 1;
  bool reachable_ = false;
  std::uint64_t term_ = 0;
  Duration trip_ = std::chrono::milliseconds(20);  // EWMA of a call's round trip
  Time swept_{};
};

}  // namespace docklift::decisions
