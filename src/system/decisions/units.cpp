#include "system/decisions/units.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace docklift::decisions {
namespace {

using namespace std::chrono_literals;
// Tuned values, each with its reason.
constexpr double kUsualGain = 0.35;         // of the last window's use in what is usual: three windows show a change
constexpr double kAheadPart = 0.85;         // of the usual use is leased ahead: what lies here unspent is lost to others
constexpr double kScarce = 0.2;             // of a window's limit left at the holder: what is not needed here is handed back
constexpr double kBackAfter = 0.5;          // part of a window after which that is done
constexpr Duration kAheadLead = 120ms;      // and how long before a window begins, on top of a round trip
constexpr double kFewRequests = 4;          // "a few requests' units" in one quantum
constexpr Duration kLateCall = 1500ms;      // a call without an answer counts as refused after it
constexpr Duration kNoHolder = 400ms;       // advice while nobody can be asked
constexpr Duration kSweep = 20ms;           // how often tenants are looked at for time alone
constexpr double kLeastUsual = 0.25;        // requests a window below which nothing is leased ahead
constexpr Duration kEnds = 3ms;             // a unit is not spent so shortly before its window ends: it arrives after it

}  // namespace

void Units::set_quota(const std::string& tenant, const counts::Quota& quota) {
  auto& t = tenants_[tenant];
  const auto window = counts::window_of(quota, judged_);
  if (window.length != t.window.length || window.limit < t.window.limit) t.now = t.next = {};
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

void Units::set_holder(Time now, bool reachable) {
  if (reachable_ == reachable) return;
  reachable_ = reachable;
  call_failed(now);
}

void Units::call_failed(Time now) {
  for (auto it = tenants_.begin(); it != tenants_.end(); ++it) {
    auto& t = it.value();
    t.call_out = t.ahead_out = false;
    if (reachable_) {
      if (!t.waiting.empty()) mark(it.key(), t);
      continue;
    }
    for (const auto& w : t.waiting) turned_.push_back({w.request, kNoHolder, true});
    t.waiting.clear();
  }
  next_ = now;
}

void Units::new_holder(Time now) {
  for (auto it = tenants_.begin(); it != tenants_.end(); ++it) {
    roll(now, it.value());
    it.value().next = {};
  }
}

void Units::roll(Time now, Tenant& t) {
  if (t.now.window >= 0 && now + kEnds >= t.now.ends) {
    t.usual += kUsualGain * (t.used - t.usual);
    t.used = 0;
    t.now = {};
  }
  if (t.next.window >= 0 && now >= t.next.starts && t.now.window < 0) {
    t.now = std::exchange(t.next, {});
    if (now + kEnds >= t.now.ends) t.now = {};
  }
}

void Units::mark(const std::string& name, Tenant& t) {
  if (!std::exchange(t.dirty, true)) dirty_.push_back(name);
}

Units::Take Units::take(Time now, const std::string& tenant, RequestId request, Duration wait_limit, Duration& retry_after,
                        bool& holder_lost) {
  const auto found = tenants_.find(tenant);
  if (found == tenants_.end() || found->second.window.length == Duration{}) return Take::passed;
  auto& t = found.value();
  roll(now, t);
  t.used += 1;
  holder_lost = false;
  if (t.waiting.empty() && t.now.held >= 1) {
    t.now.held -= 1;
    if (t.now.held < 1) mark(tenant, t);
    return Take::passed;
  }
  if (!reachable_) {
    retry_after = kNoHolder, holder_lost = true;
    return Take::refused;
  }
  if (t.now.spent) {
    retry_after = t.now.ends - now;
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

void Units::give_back(Time now, const std::string& tenant) {
  const auto found = tenants_.find(tenant);
  if (found == tenants_.end()) return;
  auto& t = found.value();
  roll(now, t);
  if (t.now.window >= 0) t.now.held += 1;
  settle(now, t);
}

void Units::granted(Time now, std::uint64_t term, const Granted& g) {
  if (term < term_) return;
  term_ = term;
  const auto found = tenants_.find(g.tenant);
  if (found == tenants_.end()) return;
  auto& t = found.value();
  roll(now, t);
  const bool ahead = t.ahead_out && g.starts > Duration{};
  (ahead ? t.ahead_out : t.call_out) = false;
  if (t.called_at != Time{}) {
    const auto took = now - t.called_at;
    trip_ += (took - trip_) / 8;
  }
  const Time starts = now + g.starts, ends = now + g.ends;
  auto& lease = g.starts > Duration{} ? t.next : t.now;
  if (now + kEnds < ends) {
    if (lease.window != g.window) lease = {g.window, 0, starts, ends, false, false};
    lease.held += g.units;
    lease.starts = std::min(lease.starts, starts), lease.ends = std::min(lease.ends, ends);
    if (g.left == 0) lease.spent = true;
    lease.scarce = g.left < kScarce * t.window.limit;
  }
  settle(now, t);
  if (!t.waiting.empty()) mark(g.tenant, t);
}

// Whoever fits passes in order of arrival; where the window is spent the others are refused.
void Units::settle(Time now, Tenant& t) {
  while (!t.waiting.empty() && t.now.held >= 1) {
    t.now.held -= 1;
    passed_.push_back(t.waiting.front().request);
    t.waiting.pop_front();
  }
  if (t.waiting.empty() || !t.now.spent || t.call_out) return;
  for (const auto& w : t.waiting) turned_.push_back({w.request, t.now.ends - now, false});
  t.waiting.clear();
}

std::vector<Add> Units::adds(Time now) {
  std::vector<Add> out;
  if (now >= swept_ + kSweep) {
    swept_ = now;
    for (auto it = tenants_.begin(); it != tenants_.end(); ++it) {
      auto& t = it.value();
      if (t.window.length == Duration{}) continue;
      roll(now, t);
      if ((t.call_out || t.ahead_out) && now >= t.called_at + kLateCall) t.call_out = t.ahead_out = false;
      while (!t.waiting.empty() && now >= t.waiting.front().until) {
        turned_.push_back({t.waiting.front().request, std::max<Duration>(trip_, 50ms), false});
        t.waiting.pop_front();
      }
      settle(now, t);
      const bool begins_soon = t.now.window >= 0 && now + kAheadLead + trip_ >= t.now.ends;
      const double usual = std::max(t.usual, begins_soon ? t.usual + kUsualGain * (t.used - t.usual) : 0.0);
      if (reachable_ && begins_soon && t.next.window < 0 && !t.ahead_out && usual >= kLeastUsual) {
        // A part of a unit is asked for by chance, so that all proxies together ask for no more than is used.
        const double lot = static_cast<double>(rng_() % 1024) / 1024;
        const auto units = std::min(std::floor(kAheadPart * usual + lot), t.window.limit);
        t.ahead_out = units >= 1;
        if (t.ahead_out) out.push_back({it.key(), true, static_cast<std::uint32_t>(units), -1}), t.called_at = now;
      }
      // Units that lie here while others are short of them.
      if (reachable_ && t.now.scarce && t.now.held >= 1 && now < t.now.ends) {
        const double gone = seconds(now - t.now.starts) / seconds(t.window.length);
        const double needed = std::ceil(t.usual * (1 - gone));
        if (gone > kBackAfter && t.now.held > needed + 1) {
          const double back = std::floor(t.now.held - needed);
          t.now.held -= back;
          out.push_back({it.key(), false, static_cast<std::uint32_t>(back), t.now.window});
        }
      }
      if (!t.waiting.empty()) mark(it.key(), t);
    }
  }
  for (const auto& name : std::exchange(dirty_, {})) {
    const auto found = tenants_.find(name);
    if (found == tenants_.end()) continue;
    auto& t = found.value();
    t.dirty = false;
    if (!reachable_ || t.call_out || t.now.spent) continue;
    const double waiting = static_cast<double>(t.waiting.size());
    // A quantum is a few requests' units, at most burst over twice the proxies, at least what waits.
    const double most = std::max(1.0, std::floor(t.window.limit / (2.0 * static_cast<double>(proxies_))));
    const double few = std::clamp(t.usual - t.used, 1.0, kFewRequests);
    if (waiting == 0 && (t.now.held >= 1 || t.now.window < 0 || t.used >= t.usual)) continue;  // none is expected
    const double units = std::max(waiting, std::min(few, most));
    out.push_back({name, false, static_cast<std::uint32_t>(units), -1});
    t.call_out = true, t.called_at = now;
  }
  next_ = now + kSweep;
  return out;
}

std::vector<Turned> Units::turned(Time) { return std::exchange(turned_, {}); }

}  // namespace docklift::decisions
