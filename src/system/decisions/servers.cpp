#include "system/decisions/servers.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "system/base/hash.hpp"

namespace docklift::decisions {
namespace {

using namespace std::chrono_literals;
constexpr double kLatencyGain = 0.03;     // EWMA gain of a service's latency; low, as requests vary a lot
constexpr double kSlownessGain = 0.1;     // EWMA gain of a server's latency relative to its service's
constexpr double kSuccessGain = 0.25;     // EWMA gain of the success rate: three failures in a row eject
constexpr double kEjectBelow = 0.45;      // success rate
constexpr Duration kMinEjection = 400ms;  // doubles while the server keeps failing
constexpr Duration kMaxEjection = 5s;
constexpr double kOtherZoneCost = 0.012;   // seconds: the price of the transfer, and the network latency
constexpr double kOtherRegionCost = 0.19;  // seconds
constexpr double kQueueFrom = 0.7;         // load per slot from which more of the own load counts as queued
constexpr double kMaxLoad = 2.5;           // requests in flight per estimated slot
constexpr double kUnresponsiveFactor = 6;  // times the mean latency without a response: the server is avoided
constexpr Duration kMinUnresponsiveTime = 700ms;  // and at least so long
constexpr Duration kCancelledWaitMemory = 2s;     // how long the wait of cancelled requests is remembered
constexpr std::size_t kMaxColdSenders = 5;        // proxies that may send to a server while it is cold
constexpr double kColdRateFraction = 0.85;        // of its announced rate that is used
constexpr double kConnectionFraction = 0.9;       // of max_conns that all proxies together may hold
constexpr Duration
    kWarmthUnknownLimit = 4s;  // a readmitted zone's server without a heartbeat counts as cold so long
constexpr double kInitialLatency = 0.1;  // seconds, before the first response

}  // namespace

bool proves_not_run(Outcome o) {
  return o == Outcome::not_run || o == Outcome::other_instance || o == Outcome::connect_failed ||
         o == Outcome::cancelled_unsent;
}

Servers::Servers(ProxyIdentity self, std::map<std::string, std::string> regions_of_zones,
                 const Bounds& bounds, std::uint64_t random_seed)
    : self_(std::move(self)), regions_(std::move(regions_of_zones)), bounds_(bounds), rng_(random_seed) {
  set_proxies({});
}

void Servers::configure(const configuration::Configuration& c) {
  for (const auto& s : c.services) {
    auto& service = services_[s.name];
    service.cold_per_s = s.cold_per_s, service.max_conns = s.max_conns;
  }
}

void Servers::set_proxies(const std::vector<std::string>& zone_and_id) {
  proxies_.clear(), proxies_by_zone_.clear();
  for (const auto& name : zone_and_id) {
    const auto slash = name.find('/');
    if (slash == std::string::npos) continue;
    const auto id = name.substr(slash + 1);
    proxies_.push_back({name.substr(0, slash), hash_of(id)});
  }
  if (std::ranges::find(proxies_, hash_of(self_.id), &ProxyMember::hash) == proxies_.end())
    proxies_.push_back({self_.zone, hash_of(self_.id)});
  for (const auto& proxy : proxies_) ++proxies_by_zone_[proxy.zone];
  ++proxies_generation_;
}

// Whether this proxy is one of those that may send to a server while it is cold: rendezvous hashing, with
// proxies of the server's own zone first. Computed on demand: few servers are cold, and the proxies change
// often.
bool Servers::is_cold_sender(Server& s) const {
  if (s.ranked_generation == proxies_generation_) return s.cold_sender;
  const auto server = hash_of(s.info.id);
  const auto score = [&](const ProxyMember& p) {
    return std::pair(p.zone != s.info.zone, mix(server ^ p.hash));
  };
  const auto own = score({self_.zone, hash_of(self_.id)});
  const auto before = std::ranges::count_if(proxies_, [&](const auto& p) { return score(p) < own; });
  s.cold_sender = static_cast<std::size_t>(before) < kMaxColdSenders;
  s.ranked_generation = proxies_generation_;
  return s.cold_sender;
}

// Requests that this proxy may have in flight at one server of the service.
double Servers::max_in_flight(const Service& service) const {
  if (service.max_conns == 0) return std::numeric_limits<double>::infinity();
  return std::max(1.0,
                  std::floor(kConnectionFraction * service.max_conns / static_cast<double>(proxies_.size())));
}

void Servers::set_evacuated(const std::vector<std::string>& zones) { evacuated_ = zones; }

void Servers::on_readmitted(Time now, const std::vector<std::string>& zones) {
  for (auto& s : servers_)
    if (s.in_use && std::ranges::find(zones, s.info.zone) != zones.end()) {
      s.warmth_unknown_since = now;
      s.cold_tokens = 0, s.cold_tokens_at = now;
    }
}

void Servers::update(Time now, const std::vector<fleet::Server>& changed) {
  for (const auto& r : changed) {
    const auto found = by_id_.find(r.id);
    if (r.phase == fleet::Phase::GONE) {
      if (found != by_id_.end() && (r.left || r.heartbeat_sequence >= servers_[found->second].calls))
        unlist(found->second);
      continue;
    }
    ServerHandle h = kNoServer;
    if (found == by_id_.end()) {
      if (!free_.empty()) {
        h = free_.back(), free_.pop_back();
      } else {
        h = static_cast<ServerHandle>(servers_.size());
        servers_.emplace_back();
      }
      servers_[h] = {};
      auto& s = servers_[h];
      s.in_use = true, s.info.listed = true;
      s.info.id = r.id, s.info.service = r.service, s.info.zone = r.zone, s.info.address = r.address;
      const auto region = regions_.find(r.zone);
      s.region = region == regions_.end() ? "" : region->second;
      s.cold_tokens = static_cast<double>(rng_() >> 11) * 0x1.0p-53, s.cold_tokens_at = now;
      by_id_[r.id] = h;
      services_[r.service].servers.push_back(h);
    } else {
      h = found->second;
      if (r.heartbeat_sequence < servers_[h].calls) continue;
    }
    auto& s = servers_[h];
    if (r.heartbeat_sequence > s.calls && r.received_at > s.warmth_unknown_since) s.warmth_unknown_since = {};
    const bool was_cold = is_cold(now, s);
    s.info.address = r.address, s.calls = r.heartbeat_sequence, s.received_at = r.received_at;
    s.cap = std::max(1u, r.cap), s.cold_until = r.cold_until;
    // A server that drains never becomes ready again.
    if (s.phase != fleet::Phase::DRAINING) s.phase = r.phase;
    if (!was_cold && is_cold(now, s)) {
      s.cold_tokens = static_cast<double>(rng_() >> 11) * 0x1.0p-53, s.cold_tokens_at = now;
      s.success_rate = s.slowness = 1;
    }
  }
}

void Servers::unlist(ServerHandle h) {
  auto& s = servers_[h];
  if (!s.info.listed) return;
  s.info.listed = false;
  by_id_.erase(s.info.id);
  std::erase(services_[s.info.service].servers, h);
  release_if_unused(h);
}

const Servers::Info* Servers::find(ServerHandle server) const {
  return server < servers_.size() && servers_[server].in_use ? &servers_[server].info : nullptr;
}

bool Servers::is_cold(Time now, const Server& s) const {
  return now < s.cold_until ||
         (s.warmth_unknown_since != Time{} && now < s.warmth_unknown_since + kWarmthUnknownLimit);
}

// Token bucket of a cold server: each of its kMaxColdSenders proxies has a share of its rate, and saves up at
// most one request.
bool Servers::may_send_cold(Time now, Server& s, const Service& service) {
  if (service.cold_per_s <= 0) return true;
  if (!is_cold_sender(s)) return false;
  const double senders = static_cast<double>(std::min(kMaxColdSenders, proxies_.size()));
  const double rate = kColdRateFraction * service.cold_per_s / senders;
  s.cold_tokens = std::min(1.0, s.cold_tokens + rate * seconds(now - s.cold_tokens_at));
  s.cold_tokens_at = now;
  return s.cold_tokens >= 1;
}

// How long requests have waited without a response. Those of disconnected clients count as well: an
// unresponsive server would otherwise look idle as soon as its clients time out.
Duration Servers::unresponsive_time(Time now, const Server& s) {
  const bool remembered = now - s.cancelled_at <= kCancelledWaitMemory;
  return (remembered ? s.cancelled_wait : Duration{}) +
         (s.in_flight > 0 ? now - s.waiting_since : Duration{});
}

void Servers::on_cancelled(Time now, Server& s) {
  if (s.in_flight > 0) return;
  s.cancelled_wait = now - s.cancelled_at <= kCancelledWaitMemory ? s.cancelled_wait : Duration{};
  s.cancelled_wait += now - s.waiting_since;
  s.cancelled_at = now;
}

// Estimates the requests that the other proxies of this zone have in flight at each of its servers as the
// mean of this proxy's own, as they serve similar clients.
double Servers::load_of_other_proxies(const Service& service) const {
  double in_flight = 0;
  double servers_in_zone = 0;
  for (const auto h : service.servers) {
    const auto& s = servers_[h];
    if (s.info.zone != self_.zone || s.phase != fleet::Phase::READY) continue;
    in_flight += s.in_flight;
    ++servers_in_zone;
  }
  const auto proxies = proxies_by_zone_.find(self_.zone);
  if (servers_in_zone == 0 || proxies == proxies_by_zone_.end()) return 0;
  return in_flight / servers_in_zone * static_cast<double>(proxies->second - 1);
}

// Expected latency of a request at this server in seconds, plus the cost of the transfer.
double Servers::cost(Time now, const Server& s, const Service& service, double others_load) {
  const double latency = service.mean_latency_s > 0 ? service.mean_latency_s : kInitialLatency;
  const double load = (s.in_flight + 1 + (s.info.zone == self_.zone ? others_load : 0)) / s.cap;
  double c = latency * s.slowness * (1 + 0.1 * load + std::max(0.0, load - kQueueFrom));
  c /= std::max(0.1, s.success_rate);
  if (seconds(unresponsive_time(now, s)) >
      std::max(kUnresponsiveFactor * latency, seconds(kMinUnresponsiveTime)))
    c *= 10;
  if (s.info.zone != self_.zone) c += s.region == self_.region ? kOtherZoneCost : kOtherRegionCost;
  return c * (1 + 0.05 * static_cast<double>(rng_() >> 11) * 0x1.0p-53);
}

Servers::Pick Servers::choose(Time now, const std::string& name, const std::vector<std::string>& regions,
                              const std::vector<ServerHandle>& tried, ServerHandle& chosen) {
  const auto found = services_.find(name);
  if (found == services_.end()) return Pick::none;
  const auto& service = found->second;
  const double limit = max_in_flight(service);
  const double others_load = load_of_other_proxies(service);
  bool any_eligible = false;
  double best = std::numeric_limits<double>::infinity();
  double best_ejected = best;
  ServerHandle ejected = kNoServer;
  chosen = kNoServer;
  for (const auto h : service.servers) {
    auto& s = servers_[h];
    if (s.phase != fleet::Phase::READY) continue;
    if (std::ranges::find(evacuated_, s.info.zone) != evacuated_.end()) continue;
    if (!regions.empty() && std::ranges::find(regions, s.region) == regions.end()) continue;
    if (std::ranges::find(tried, h) != tried.end()) continue;
    any_eligible = true;
    if (is_cold(now, s) && !may_send_cold(now, s, service)) continue;
    if (s.in_flight >= limit) continue;
    if (s.in_flight >= kMaxLoad * s.cap) continue;
    const double c = cost(now, s, service, others_load);
    if (now < s.ejected_until) {
      if (c < best_ejected) best_ejected = c, ejected = h;
      continue;
    }
    if (c < best) best = c, chosen = h;
  }
  if (chosen == kNoServer) chosen = ejected;  // an ejected server rather than none
  if (chosen == kNoServer) return any_eligible ? Pick::full : Pick::none;
  return Pick::server;
}

void Servers::on_sent(Time now, ServerHandle server) {
  auto& s = servers_[server];
  if (is_cold(now, s)) s.cold_tokens -= 1;
  if (s.in_flight++ == 0) s.waiting_since = now;
}

void Servers::on_attempt_ended(Time now, ServerHandle server, Outcome outcome, Duration took) {
  if (server >= servers_.size() || !servers_[server].in_use) return;
  auto& s = servers_[server];
  if (s.in_flight > 0) --s.in_flight;
  if (outcome == Outcome::cancelled || outcome == Outcome::cancelled_unsent) {
    on_cancelled(now, s);
    return release_if_unused(server);
  }
  auto& service = services_[s.info.service];
  const bool succeeded = outcome == Outcome::ok;
  const bool answered = succeeded || outcome == Outcome::error || outcome == Outcome::not_run;
  if (answered) s.waiting_since = now, s.cancelled_wait = {};
  if (succeeded) {
    const double t = seconds(took);
    service.mean_latency_s += (service.mean_latency_s == 0 ? 1 : kLatencyGain) * (t - service.mean_latency_s);
    s.slowness += kSlownessGain * (std::clamp(t / service.mean_latency_s, 0.2, 5.0) - s.slowness);
    s.ejection = {};
  }
  if (outcome != Outcome::timeout)
    s.success_rate += kSuccessGain * ((succeeded ? 1.0 : 0.0) - s.success_rate);
  const bool eject = outcome == Outcome::connect_failed || outcome == Outcome::other_instance ||
                     (!succeeded && s.success_rate < kEjectBelow);
  if (eject && now >= s.ejected_until) {
    s.ejection = std::clamp(s.ejection * 2, kMinEjection, kMaxEjection);
    s.ejected_until = now + s.ejection;
  }
  // Its address belongs to another server, so it ended without deregistering. Its next heartbeat would list
  // it again.
  if (outcome == Outcome::other_instance) unlist(server);
  release_if_unused(server);
}

void Servers::release_if_unused(ServerHandle server) {
  auto& s = servers_[server];
  if (!s.info.listed && s.in_flight == 0 && s.in_use)
    s.in_use = false, released_.push_back(server), free_.push_back(server);
}

}  // namespace docklift::decisions
