#include "system/decisions/units.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace docklift::decisions {
namespace {

using namespace std::chrono_literals;
constexpr double kUseGain = 0.35;  // EWMA gain of the mean use per window: three windows show a change
// Less than the mean use is leased ahead, by this many square roots of it: units left unspent here are lost
// to other proxies, and of a low use only little is sure to be needed.
constexpr double kAheadReduction = 0.5;
constexpr double kAheadFrom = 0.3;       // fraction of a window after which units of the next ones are leased
constexpr double kTopUpFraction = 0.3;   // of the expected use, missing when a lease is topped up
constexpr double kScarceFraction = 0.2;  // of a window's limit left at the holder: surplus is handed back
constexpr double kReturnAfter = 0.5;     // fraction of a window after which that is done
constexpr Duration kAheadLead = 120ms;   // last top-up before a window begins, on top of a round trip
constexpr double kMaxQuantum = 4;        // units requested at once, unless more requests wait
constexpr Duration kCallTimeout = 1500ms;
constexpr Duration kNoHolderRetryAfter = 400ms;
constexpr Duration kSweepInterval = 20ms;   // from one check of all tenants for timeouts to the next
constexpr double kMinAheadUse = 0.25;       // requests per window below which nothing is leased ahead
constexpr Duration kWindowEndMargin = 3ms;  // a unit spent later would arrive at the server after its window

// Grants are sent in milliseconds; the lengths of windows differ by far more.
constexpr Duration kLengthTolerance = 5ms;

bool is_of_window(const UnitGrant& g, const counts::Window& window) {
  const Duration length = g.ends - g.starts;
  return window.length > Duration{} && length > window.length - kLengthTolerance &&
         length < window.length + kLengthTolerance;
}

}  // namespace

void Units::set_quota(Time now, const std::string& tenant, const counts::Quota& quota) {
  auto& t = tenants_[tenant];
  const auto window = counts::window_of(quota, tolerance_);
  if (window.length != t.window.length || window.limit < t.window.limit)
    t.leases.clear(), t.has_origin = false, t.previous_held = 0, t.window_set_at = now;
  if (window.length != t.window.length) t.call_in_flight = false;  // it was for another window
  t.quota = quota, t.window = window;
  if (window.length == Duration{}) admit_waiting(t);
}

void Units::admit_waiting(TenantUnits& t) {
  for (const auto& w : std::exchange(t.waiting, {})) admitted_.push_back(w.request);
}

void Units::keep_only(const std::vector<std::string>& tenants) {
  const std::set<std::string> kept(tenants.begin(), tenants.end());
  for (auto it = tenants_.begin(); it != tenants_.end();) {
    if (kept.contains(it->first)) {
      ++it;
      continue;
    }
    for (const auto& w : it->second.waiting) rejected_.push_back({w.request, kNoHolderRetryAfter, false});
    it = tenants_.erase(it);
  }
}

void Units::set_holder_reachable(bool reachable) {
  if (holder_reachable_ == reachable) return;
  holder_reachable_ = reachable;
  on_call_failed();
}

void Units::on_call_failed() {
  for (auto it = tenants_.begin(); it != tenants_.end(); ++it) {
    auto& t = it.value();
    t.call_in_flight = false;
    for (auto& [window, lease] : t.leases) lease.requested_at = {};
    if (holder_reachable_) {
      if (!t.waiting.empty()) mark_dirty(it.key(), t);
      continue;
    }
    for (const auto& w : t.waiting) rejected_.push_back({w.request, kNoHolderRetryAfter, true});
    t.waiting.clear();
  }
}

Time Units::start_of(const TenantUnits& t, std::int64_t window) const {
  return t.origin_start + t.window.length * (window - t.origin);
}

void Units::on_new_holder(Time now, std::uint64_t term) {
  if (term <= term_) return;
  term_ = term;
  for (auto it = tenants_.begin(); it != tenants_.end(); ++it) {
    auto& t = it.value();
    advance_window(now, t);
    if (t.has_origin) {
      t.previous_held = t.leases[t.current].held, t.previous_ends = start_of(t, t.current + 1);
    }
    t.leases.clear();
    t.has_origin = false;
  }
}

// Moves to the window at `now` and drops the leases of past ones. The current window ends kWindowEndMargin
// early.
void Units::advance_window(Time now, TenantUnits& t) {
  if (!t.has_origin) return;
  const auto elapsed = now + kWindowEndMargin - t.origin_start;
  auto steps = elapsed / t.window.length;
  if (elapsed < Duration{}) steps = 0;
  const auto current = t.origin + steps;
  if (current <= t.current) return;
  t.mean_used += kUseGain * (t.used - t.mean_used);
  if (current > t.current + 1)
    t.mean_used *= std::pow(1 - kUseGain, std::min<double>(20, static_cast<double>(current - t.current - 1)));
  t.used = 0;
  t.current = current;
  t.leases.erase(t.leases.begin(), t.leases.lower_bound(current));
}

bool Units::spend(Time now, TenantUnits& t) {
  if (t.previous_held >= 1 && now + kWindowEndMargin < t.previous_ends) return t.previous_held -= 1, true;
  if (!t.has_origin) return false;
  const auto lease = t.leases.find(t.current);
  if (lease == t.leases.end() || lease->second.held < 1) return false;
  lease->second.held -= 1;
  return true;
}

void Units::mark_dirty(const std::string& name, TenantUnits& t) {
  if (!std::exchange(t.dirty, true)) dirty_.push_back(name);
}

Units::Admission Units::acquire(Time now, const std::string& tenant, RequestId request, Duration wait_limit,
                                Duration& retry_after, bool& holder_unreachable) {
  const auto found = tenants_.find(tenant);
  if (found == tenants_.end() || found->second.window.length == Duration{}) return Admission::admitted;
  auto& t = found.value();
  advance_window(now, t);
  t.used += 1;
  holder_unreachable = false;
  if (t.waiting.empty() && spend(now, t)) {
    mark_dirty(tenant, t);
    return Admission::admitted;
  }
  if (!holder_reachable_) {
    retry_after = kNoHolderRetryAfter, holder_unreachable = true;
    return Admission::rejected;
  }
  if (t.has_origin && now < t.leases[t.current].exhausted_until) {
    retry_after = t.leases[t.current].exhausted_until - now;
    return Admission::rejected;
  }
  t.waiting.push_back({request, now + wait_limit});
  mark_dirty(tenant, t);
  return Admission::queued;
}

void Units::cancel_waiting(const std::string& tenant, RequestId request) {
  const auto found = tenants_.find(tenant);
  if (found != tenants_.end())
    std::erase_if(found.value().waiting, [&](const Waiting& w) { return w.request == request; });
}

void Units::release(Time now, const std::string& tenant, Time acquired) {
  const auto found = tenants_.find(tenant);
  if (found == tenants_.end()) return;
  auto& t = found.value();
  advance_window(now, t);
  if (t.has_origin && acquired >= start_of(t, t.current) && acquired >= t.window_set_at)
    t.leases[t.current].held += 1;
  process_waiting(now, t);
}

void Units::on_grants(Time now, const UnitResponse& answer) {
  if (answer.term < term_) return;
  on_new_holder(now, answer.term);
  const bool late = now - answer.sent > counts::kMaxGrantDelay;
  for (const auto& grant : answer.grants) {
    if (late) {
      discard_grant(grant);
    } else {
      apply_grant(now, grant);
    }
  }
}

// The units can't be spent; those for waiting requests are requested again.
void Units::discard_grant(const UnitGrant& g) {
  const auto found = tenants_.find(g.tenant);
  if (found == tenants_.end()) return;
  auto& t = found.value();
  if (g.starts <= Duration{}) {
    t.call_in_flight = false;
  } else if (const auto lease = t.leases.find(g.window); lease != t.leases.end()) {
    lease->second.requested_at = {};
  }
  if (!t.waiting.empty()) mark_dirty(g.tenant, t);
}

// The holder granted it by another version of the configuration: windows of another length have other numbers
// and times. The next sweep requests units again.
void Units::discard_foreign_grant(TenantUnits& t, const UnitGrant& g) {
  if (g.starts <= Duration{}) t.call_in_flight = false;
}

void Units::apply_grant(Time now, const UnitGrant& g) {
  const auto found = tenants_.find(g.tenant);
  if (found == tenants_.end()) return;
  auto& t = found.value();
  if (!is_of_window(g, t.window)) return discard_foreign_grant(t, g);
  advance_window(now, t);
  const bool ahead = g.starts > Duration{};
  if (!ahead) {
    t.call_in_flight = false;
    if (t.called_at != Time{}) round_trip_ += (now - t.called_at - round_trip_) / 8;
  }
  if (!t.has_origin ||
      now + g.starts < start_of(t, g.window)) {  // the earliest estimate is the least delayed
    const auto n = ahead ? (g.starts + t.window.length - Duration(1)) / t.window.length : 0;
    t.origin = g.window - n, t.origin_start = now + g.starts - t.window.length * n;
    if (!std::exchange(t.has_origin, true)) t.current = t.origin;
  }
  advance_window(now, t);
  if (g.window >= t.current) {
    auto& lease = t.leases[g.window];
    lease.held += g.units;
    if (g.exhausted_for > Duration{}) lease.exhausted_until = now + g.exhausted_for;
    lease.scarce = g.remaining < kScarceFraction * t.window.limit;
  }
  process_waiting(now, t);
  if (!t.waiting.empty()) mark_dirty(g.tenant, t);
}

// Admits waiting requests in order of arrival; once the window is exhausted, rejects the others.
void Units::process_waiting(Time now, TenantUnits& t) {
  while (!t.waiting.empty() && spend(now, t)) {
    admitted_.push_back(t.waiting.front().request);
    t.waiting.pop_front();
  }
  if (t.waiting.empty() || !t.has_origin || t.call_in_flight || now >= t.leases[t.current].exhausted_until)
    return;
  for (const auto& w : t.waiting)
    rejected_.push_back({w.request, t.leases[t.current].exhausted_until - now, false});
  t.waiting.clear();
}

// Requests for which no unit has come in time, whatever the reason.
void Units::reject_overdue(Time now, TenantUnits& t) {
  std::erase_if(t.waiting, [&](const Waiting& w) {
    if (now < w.until) return false;
    rejected_.push_back({w.request, std::max<Duration>(round_trip_, 50ms), true});
    return true;
  });
}

void Units::lease_ahead(Time now, const std::string& name, TenantUnits& t, std::vector<UnitRequest>& out) {
  const auto starts = start_of(t, t.current);
  const auto ends = start_of(t, t.current + 1);
  const double elapsed = seconds(now - starts) / seconds(t.window.length);
  const bool begins_soon = now + kAheadLead + round_trip_ >= ends;
  const double use = begins_soon ? t.mean_used + kUseGain * (t.used - t.mean_used) : t.mean_used;
  auto& lease = t.leases[t.current];
  // Hands back surplus units while other proxies are short of them.
  if (lease.scarce && elapsed > kReturnAfter) {
    const double needed = std::ceil(t.mean_used * (1 - elapsed));
    if (lease.held > needed + 1) {
      const double returned = std::floor(lease.held - needed);
      lease.held -= returned;
      out.push_back({name, 0, static_cast<std::uint32_t>(returned), t.current, use});
    }
  }
  if (use < kMinAheadUse || (elapsed < kAheadFrom && !begins_soon)) return;
  for (int ahead = 1; ahead <= counts::kWindowsAhead; ++ahead) {
    auto& next = t.leases[t.current + ahead];
    if (now < next.exhausted_until || now < next.requested_at + t.window.length / 2) continue;
    // A fraction of a unit is rounded at random, so that all proxies together request no more than is used.
    const double draw = static_cast<double>(rng_() % 1024) / 1024;
    const double expected = std::max(0.0, use - kAheadReduction * std::sqrt(use));
    const double wanted = std::min(std::floor(expected + draw), t.window.limit) - next.held;
    // A lease is topped up once, shortly before its window begins.
    const bool again = next.requested_at != Time{};
    if (again && (ahead > 1 || !begins_soon || wanted < kTopUpFraction * use)) continue;
    next.requested_at = now;
    if (wanted >= 1) out.push_back({name, ahead, static_cast<std::uint32_t>(wanted), -1, use});
  }
}

std::vector<UnitRequest> Units::take_requests(Time now) {
  std::vector<UnitRequest> out;
  if (now >= last_sweep_ + kSweepInterval) {
    last_sweep_ = now;
    for (auto it = tenants_.begin(); it != tenants_.end(); ++it) {
      auto& t = it.value();
      reject_overdue(now, t);
      if (t.window.length == Duration{}) continue;
      advance_window(now, t);
      if (t.call_in_flight && now >= t.called_at + kCallTimeout) t.call_in_flight = false;
      process_waiting(now, t);
      if (holder_reachable_ && t.has_origin) lease_ahead(now, it.key(), t, out);
      if (!t.waiting.empty()) mark_dirty(it.key(), t);
    }
  }
  for (const auto& name : std::exchange(dirty_, {})) {
    const auto found = tenants_.find(name);
    if (found == tenants_.end()) continue;
    auto& t = found.value();
    t.dirty = false;
    advance_window(now, t);
    if (!holder_reachable_ || t.call_in_flight) continue;
    const double held = t.has_origin ? t.leases[t.current].held : 0;
    if (t.has_origin && now < t.leases[t.current].exhausted_until) continue;
    const double waiting = static_cast<double>(t.waiting.size());
    // A quantum is a few units, at most the limit over twice the proxies, and at least one per waiting
    // request.
    const double max_quantum = std::max(1.0,
                                        std::floor(t.window.limit / (2.0 * static_cast<double>(proxies_))));
    const double expected = std::clamp(t.mean_used - t.used, 1.0, kMaxQuantum);
    if (waiting == 0 && (held >= 1 || !t.has_origin || t.used >= t.mean_used)) continue;  // none is expected
    const double units = std::max(waiting, std::min(expected, max_quantum));
    out.push_back({name, 0, static_cast<std::uint32_t>(units), -1, std::max(t.mean_used, t.used)});
    t.call_in_flight = true, t.called_at = now;
  }
  return out;
}

std::vector<RejectedRequest> Units::take_rejected(Time) { return std::exchange(rejected_, {}); }

}  // namespace docklift::decisions
