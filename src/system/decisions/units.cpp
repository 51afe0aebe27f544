#include "system/decisions/units.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace docklift::decisions {
namespace {

using namespace std::chrono_literals;
// Tuned values, each with its reason.
constexpr double kUsualGain = 0.35;  // of the last window's use in what is usual: three windows show a change
constexpr double
    kAheadLess = 0.5;  // of the root of the usual use, by which less than it is leased ahead: what lies here
                       // unspent is lost to others, and of little use little is sure to be spent
constexpr double kAheadFrom = 0.3;  // part of a window after which the ones to come are leased of
constexpr double kTopUp = 0.3;      // of the usual use that must be missing of a lease for it to be added to
constexpr double
    kScarce = 0.2;  // of a window's limit left at the holder: what is not needed here is handed back
constexpr double kBackAfter = 0.5;      // part of a window after which that is done
constexpr Duration kAheadLead = 120ms;  // and how long before a window begins, on top of a round trip
constexpr double kFewRequests = 4;      // "a few requests' units" in one quantum
constexpr Duration kLateCall = 1500ms;  // a call without an answer counts as refused after it
constexpr Duration kNoHolder = 400ms;   // advice while nobody can be asked
constexpr Duration kSweep = 20ms;       // how often tenants are looked at for time alone
constexpr double kLeastUsual = 0.25;    // requests a window below which nothing is leased ahead
constexpr Duration kEnds = 3ms;  // a unit is not spent so shortly before its window ends: it arrives after it

}  // namespace

void Units::set_quota(const std::string& tenant, const counts::Quota& quota) {
  auto& t = tenants_[tenant];
  const auto window = counts::window_of(quota, judged_);
  if (window.length != t.window.length || window.limit < t.window.limit) t.leases.clear(), t.anchored = false;
  t.quota = quota, t.window = window;
}

void Units::keep_only(const std::vector<std::string>& tenants) {
  const std::set<std::string> kept(tenants.begin(), tenants.end());
  for (auto it = tenants_.begin(); it != tenants_.end();) {
    if (kept.contains(it->first)) {
      ++it;
      continue;
    }
    for (const auto& w : it->second.waiting) turned_.push_back({w.request, kNoHolder, false});
    it = tenants_.erase(it);
  }
}

void Units::set_holder(bool reachable) {
  if (reachable_ == reachable) return;
  reachable_ = reachable;
  call_failed();
}

void Units::call_failed() {
  for (auto it = tenants_.begin(); it != tenants_.end(); ++it) {
    auto& t = it.value();
    t.call_out = false;
    for (auto& [window, lease] : t.leases) lease.asked_at = {};
    if (reachable_) {
      if (!t.waiting.empty()) mark(it.key(), t);
      continue;
    }
    for (const auto& w : t.waiting) turned_.push_back({w.request, kNoHolder, true});
    t.waiting.clear();
  }
}

Time Units::start_of(const Tenant& t, std::int64_t window) const {
  return t.anchor_start + t.window.length * (window - t.anchor);
}

void Units::new_holder(Time now, std::uint64_t term) {
  if (term <= term_) return;
  term_ = term;
  for (auto it = tenants_.begin(); it != tenants_.end(); ++it) {
    auto& t = it.value();
    roll(now, t);
    if (t.anchored) {
      t.old_held = t.leases[t.present].held, t.old_ends = start_of(t, t.present + 1);
    }
    t.leases.clear();
    t.anchored = false;
  }
}

// Forgets windows that are over. A unit is not spent so shortly before its window ends that it would arrive
// after it.
void Units::roll(Time now, Tenant& t) {
  if (!t.anchored) return;
  const auto gone = now + kEnds - t.anchor_start;
  auto steps = gone / t.window.length;
  if (gone < Duration{}) steps = 0;
  const auto present = t.anchor + steps;
  if (present <= t.present) return;
  t.usual += kUsualGain * (t.used - t.usual);
  if (present > t.present + 1)
    t.usual *= std::pow(1 - kUsualGain, std::min<double>(20, static_cast<double>(present - t.present - 1)));
  t.used = 0;
  t.present = present;
  t.leases.erase(t.leases.begin(), t.leases.lower_bound(present));
}

bool Units::spend(Time now, Tenant& t) {
  if (t.old_held >= 1 && now + kEnds < t.old_ends) return t.old_held -= 1, true;
  if (!t.anchored) return false;
  const auto lease = t.leases.find(t.present);
  if (lease == t.leases.end() || lease->second.held < 1) return false;
  lease->second.held -= 1;
  return true;
}

void Units::mark(const std::string& name, Tenant& t) {
  if (!std::exchange(t.dirty, true)) dirty_.push_back(name);
}

Units::Take Units::take(Time now, const std::string& tenant, RequestId request, Duration wait_limit,
                        Duration& retry_after, bool& holder_lost) {
  const auto found = tenants_.find(tenant);
  if (found == tenants_.end() || found->second.window.length == Duration{}) return Take::passed;
  auto& t = found.value();
  roll(now, t);
  t.used += 1;
  holder_lost = false;
  if (t.waiting.empty() && spend(now, t)) {
    mark(tenant, t);
    return Take::passed;
  }
  if (!reachable_) {
    retry_after = kNoHolder, holder_lost = true;
    return Take::refused;
  }
  if (t.anchored && now < t.leases[t.present].shut) {
    retry_after = t.leases[t.present].shut - now;
    return Take::refused;
  }
  t.waiting.push_back({request, now + wait_limit});
  mark(tenant, t);
  return Take::waits;
}

void Units::forget(const std::string& tenant, RequestId request) {
  const auto found = tenants_.find(tenant);
  if (found != tenants_.end())
    std::erase_if(found.value().waiting, [&](const Waiting& w) { return w.request == request; });
}

void Units::give_back(Time now, const std::string& tenant, Time taken) {
  const auto found = tenants_.find(tenant);
  if (found == tenants_.end()) return;
  auto& t = found.value();
  roll(now, t);
  if (t.anchored && taken >= start_of(t, t.present)) t.leases[t.present].held += 1;
  settle(now, t);
}

void Units::granted(Time now, const UnitResponse& answer) {
  if (answer.term < term_) return;
  new_holder(now, answer.term);
  const bool late = now - answer.sent > counts::kLatestGrant;
  for (const auto& grant : answer.grants) {
    if (late) {
      drop_grant(grant);
    } else {
      take_grant(now, grant);
    }
  }
}

// The units are lost to their window; whoever waits is asked for again.
void Units::drop_grant(const UnitGrant& g) {
  const auto found = tenants_.find(g.tenant);
  if (found == tenants_.end()) return;
  auto& t = found.value();
  if (g.starts <= Duration{}) {
    t.call_out = false;
  } else if (const auto lease = t.leases.find(g.window); lease != t.leases.end()) {
    lease->second.asked_at = {};
  }
  if (!t.waiting.empty()) mark(g.tenant, t);
}

void Units::take_grant(Time now, const UnitGrant& g) {
  const auto found = tenants_.find(g.tenant);
  if (found == tenants_.end()) return;
  auto& t = found.value();
  roll(now, t);
  const bool ahead = g.starts > Duration{};
  if (!ahead) {
    t.call_out = false;
    if (t.called_at != Time{}) trip_ += (now - t.called_at - trip_) / 8;
  }
  if (!t.anchored || now + g.starts < start_of(t, g.window)) {  // the earliest word is the least delayed
    const auto n = ahead ? (g.starts + t.window.length - Duration(1)) / t.window.length : 0;
    t.anchor = g.window - n, t.anchor_start = now + g.starts - t.window.length * n;
    if (!std::exchange(t.anchored, true)) t.present = t.anchor;
  }
  roll(now, t);
  if (g.window >= t.present) {
    auto& lease = t.leases[g.window];
    lease.held += g.units;
    if (g.exhausted_for > Duration{}) lease.shut = now + g.exhausted_for;
    lease.scarce = g.remaining < kScarce * t.window.limit;
  }
  settle(now, t);
  if (!t.waiting.empty()) mark(g.tenant, t);
}

// Whoever fits passes in order of arrival; where the window is spent the others are refused.
void Units::settle(Time now, Tenant& t) {
  while (!t.waiting.empty() && spend(now, t)) {
    passed_.push_back(t.waiting.front().request);
    t.waiting.pop_front();
  }
  if (t.waiting.empty() || !t.anchored || t.call_out || now >= t.leases[t.present].shut) return;
  for (const auto& w : t.waiting) turned_.push_back({w.request, t.leases[t.present].shut - now, false});
  t.waiting.clear();
}

void Units::lease_ahead(Time now, const std::string& name, Tenant& t, std::vector<UnitRequest>& out) {
  const auto starts = start_of(t, t.present);
  const auto ends = start_of(t, t.present + 1);
  const double gone = seconds(now - starts) / seconds(t.window.length);
  const bool begins_soon = now + kAheadLead + trip_ >= ends;
  const double usual = begins_soon ? t.usual + kUsualGain * (t.used - t.usual) : t.usual;
  auto& lease = t.leases[t.present];
  // Units that lie here while others are short of them.
  if (lease.scarce && gone > kBackAfter) {
    const double needed = std::ceil(t.usual * (1 - gone));
    if (lease.held > needed + 1) {
      const double back = std::floor(lease.held - needed);
      lease.held -= back;
      out.push_back({name, 0, static_cast<std::uint32_t>(back), t.present, usual});
    }
  }
  if (usual < kLeastUsual || (gone < kAheadFrom && !begins_soon)) return;
  for (int ahead = 1; ahead <= counts::kAhead; ++ahead) {
    auto& next = t.leases[t.present + ahead];
    if (now < next.shut || now < next.asked_at + t.window.length / 2) continue;
    // A part of a unit is asked for by chance, so that all proxies together ask for no more than is used.
    const double lot = static_cast<double>(rng_() % 1024) / 1024;
    const double sure = std::max(0.0, usual - kAheadLess * std::sqrt(usual));
    const double wanted = std::min(std::floor(sure + lot), t.window.limit) - next.held;
    // What was leased before is added to once more, shortly before it is needed.
    const bool again = next.asked_at != Time{};
    if (again && (ahead > 1 || !begins_soon || wanted < kTopUp * usual)) continue;
    next.asked_at = now;
    if (wanted >= 1) out.push_back({name, ahead, static_cast<std::uint32_t>(wanted), -1, usual});
  }
}

std::vector<UnitRequest> Units::orders(Time now) {
  std::vector<UnitRequest> out;
  if (now >= swept_ + kSweep) {
    swept_ = now;
    for (auto it = tenants_.begin(); it != tenants_.end(); ++it) {
      auto& t = it.value();
      if (t.window.length == Duration{}) continue;
      roll(now, t);
      if (t.call_out && now >= t.called_at + kLateCall) t.call_out = false;
      while (!t.waiting.empty() && now >= t.waiting.front().until) {
        turned_.push_back({t.waiting.front().request, std::max<Duration>(trip_, 50ms), true});
        t.waiting.pop_front();
      }
      settle(now, t);
      if (reachable_ && t.anchored) lease_ahead(now, it.key(), t, out);
      if (!t.waiting.empty()) mark(it.key(), t);
    }
  }
  for (const auto& name : std::exchange(dirty_, {})) {
    const auto found = tenants_.find(name);
    if (found == tenants_.end()) continue;
    auto& t = found.value();
    t.dirty = false;
    roll(now, t);
    if (!reachable_ || t.call_out) continue;
    const double held = t.anchored ? t.leases[t.present].held : 0;
    if (t.anchored && now < t.leases[t.present].shut) continue;
    const double waiting = static_cast<double>(t.waiting.size());
    // A quantum is a few requests' units, at most burst over twice the proxies, at least what waits.
    const double most = std::max(1.0, std::floor(t.window.limit / (2.0 * static_cast<double>(proxies_))));
    const double few = std::clamp(t.usual - t.used, 1.0, kFewRequests);
    if (waiting == 0 && (held >= 1 || !t.anchored || t.used >= t.usual)) continue;  // none is expected
    const double units = std::max(waiting, std::min(few, most));
    out.push_back({name, 0, static_cast<std::uint32_t>(units), -1, std::max(t.usual, t.used)});
    t.call_out = true, t.called_at = now;
  }
  return out;
}

std::vector<Turned> Units::turned(Time) { return std::exchange(turned_, {}); }

}  // namespace docklift::decisions
