#include "system/decisions/servers.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "system/base/hash.hpp"

namespace docklift::decisions {
namespace {

using namespace std::chrono_literals;
// Tuned values, each with its reason.
constexpr double kUsualGain = 0.03;   // EWMA gain of a service's usual answer: work varies a lot
constexpr double kSlowGain = 0.1;     // of one server against that
constexpr double kHealthGain = 0.25;  // of success: three failures in a row eject
constexpr double kSickBelow = 0.45;
constexpr Duration kFirstEjection = 400ms;  // doubles while it goes on failing
constexpr Duration kLongestEjection = 5s;
constexpr double kSameRegion = 0.012;  // seconds that another zone is dearer: its price in worth, and the way
constexpr double kOtherRegion = 0.19;  // and another region
constexpr double kQueueFrom = 0.7;     // part of its slots from which more of the own load counts as queue
constexpr double kFull = 2.5;          // times its slots, as estimated, from which a server gets no more
constexpr double kSilent = 6;  // times the usual answer without a word, with requests out: it is avoided
constexpr Duration kSilentLeast = 700ms;
constexpr Duration kSilenceKept = 2s;    // that it was silent to requests that were cancelled is remembered
constexpr std::size_t kColdSharers = 5;  // proxies that may use a server while it is cold
constexpr double kColdPart = 0.85;       // of its told rate that is used
constexpr double kConnPart = 0.9;        // of max_conns that all proxies together may hold
constexpr Duration kUnsure = 4s;  // a taken-back zone's server that tells nothing counts as cold for so long
constexpr double kFirstUsual = 0.1;  // seconds, before the first answer

}  // namespace

bool proves_not_run(Outcome o) {
  return o == Outcome::not_run || o == Outcome::other_instance || o == Outcome::connect_failed ||
         o == Outcome::cancelled_unsent;
}

Servers::Servers(Place self, std::map<std::string, std::string> regions_of_zones, const Bounds& bounds,
                 std::uint64_t chance)
    : self_(std::move(self)), regions_(std::move(regions_of_zones)), bounds_(bounds), rng_(chance) {
  set_proxies({});
}

void Servers::configure(const configuration::Configuration& c) {
  for (const auto& s : c.services) {
    auto& service = services_[s.name];
    service.cold_per_s = s.cold_per_s, service.max_conns = s.max_conns;
  }
}

void Servers::set_proxies(const std::vector<std::string>& zone_and_id) {
  proxies_.clear(), proxies_in_.clear();
  for (const auto& name : zone_and_id) {
    const auto slash = name.find('/');
    if (slash == std::string::npos) continue;
    const auto id = name.substr(slash + 1);
    proxies_.push_back({name.substr(0, slash), hash_of(id)});
  }
  if (std::ranges::find(proxies_, hash_of(self_.id), &ProxyMember::hash) == proxies_.end())
    proxies_.push_back({self_.zone, hash_of(self_.id)});
  for (const auto& proxy : proxies_) ++proxies_in_[proxy.zone];
  ++proxies_generation_;
}

// Whether this proxy is one of those that use a server while it is cold: rendezvous hashing, those of the server's own
// zone first. Ranked when it is asked for: of all servers few are cold, and the members change often.
bool Servers::shares_cold(Server& s) const {
  if (s.ranked_generation == proxies_generation_) return s.sharer;
  const auto server = hash_of(s.known.id);
  const auto score = [&](const ProxyMember& p) {
    return std::pair(p.zone != s.known.zone, mix(server ^ p.hash));
  };
  const auto own = score({self_.zone, hash_of(self_.id)});
  const auto before = std::ranges::count_if(proxies_, [&](const auto& p) { return score(p) < own; });
  s.sharer = static_cast<std::size_t>(before) < kColdSharers;
  s.ranked_generation = proxies_generation_;
  return s.sharer;
}

// Requests that this proxy may have at one server of the service at once.
double Servers::connections_allowed(const Service& service) const {
  if (service.max_conns == 0) return std::numeric_limits<double>::infinity();
  return std::max(1.0, std::floor(kConnPart * service.max_conns / static_cast<double>(proxies_.size())));
}

void Servers::set_evacuated(const std::vector<std::string>& zones) { evacuated_ = zones; }

void Servers::readmitted(Time now, const std::vector<std::string>& zones) {
  for (auto& s : servers_)
    if (s.used && std::ranges::find(zones, s.known.zone) != zones.end()) {
      s.unsure_since = now;
      s.credit = 0, s.credit_at = now;
    }
}

void Servers::news(Time now, const std::vector<fleet::Server>& changed) {
  for (const auto& r : changed) {
    const auto found = by_id_.find(r.id);
    if (r.phase == fleet::Phase::GONE) {
      if (found != by_id_.end() && r.calls >= servers_[found->second].calls) unlist(found->second);
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
      s.used = true, s.known.listed = true;
      s.known.id = r.id, s.known.service = r.service, s.known.zone = r.zone, s.known.address = r.address;
      const auto region = regions_.find(r.zone);
      s.region = region == regions_.end() ? "" : region->second;
      s.credit = static_cast<double>(rng_() >> 11) * 0x1.0p-53, s.credit_at = now;
      by_id_[r.id] = h;
      services_[r.service].servers.push_back(h);
    } else {
      h = found->second;
      if (r.calls < servers_[h].calls) continue;
    }
    auto& s = servers_[h];
    if (r.calls > s.calls && r.heard > s.unsure_since) s.unsure_since = {};
    const bool was_cold = is_cold(now, s);
    s.known.address = r.address, s.calls = r.calls, s.heard = r.heard;
    s.cap = std::max(1u, r.cap), s.cold_until = r.cold_until;
    // A drain is not taken back.
    if (s.phase != fleet::Phase::DRAINING) s.phase = r.phase;
    if (!was_cold && is_cold(now, s)) {
      s.credit = static_cast<double>(rng_() >> 11) * 0x1.0p-53, s.credit_at = now;
      s.success = s.slowness = 1;
    }
  }
}

void Servers::unlist(ServerHandle h) {
  auto& s = servers_[h];
  if (!s.known.listed) return;
  s.known.listed = false;
  by_id_.erase(s.known.id);
  std::erase(services_[s.known.service].servers, h);
  release_if_unlisted(h);
}

const Servers::Known* Servers::find(ServerHandle server) const {
  return server < servers_.size() && servers_[server].used ? &servers_[server].known : nullptr;
}

bool Servers::is_cold(Time now, const Server& s) const {
  return now < s.cold_until || (s.unsure_since != Time{} && now < s.unsure_since + kUnsure);
}

// Guards a cold server over all proxies: of them kColdSharers have a part of its rate each, and save up one
// request at most.
bool Servers::may_take_cold(Time now, Server& s, const Service& service) {
  if (service.cold_per_s <= 0) return true;
  if (!shares_cold(s)) return false;
  const double sharers = static_cast<double>(std::min(kColdSharers, proxies_.size()));
  const double rate = kColdPart * service.cold_per_s / sharers;
  s.credit = std::min(1.0, s.credit + rate * seconds(now - s.credit_at));
  s.credit_at = now;
  return s.credit >= 1;
}

// How long requests have waited there without a word of it. Those of clients that left count as well: a server that
// is dark would otherwise look idle as soon as its clients give up.
Duration Servers::silence(Time now, const Server& s) {
  const bool remembered = now - s.cancelled_at <= kSilenceKept;
  return (remembered ? s.silent_before : Duration{}) + (s.in_flight > 0 ? now - s.silent_since : Duration{});
}

void Servers::note_cancelled(Time now, Server& s) {
  if (s.in_flight > 0) return;
  s.silent_before = now - s.cancelled_at <= kSilenceKept ? s.silent_before : Duration{};
  s.silent_before += now - s.silent_since;
  s.cancelled_at = now;
}

// What the other proxies of this zone have at each server of it, by the own mean: they serve like clients.
double Servers::load_by_others(const Service& service) const {
  double in_flight = 0;
  double in_zone = 0;
  for (const auto h : service.servers) {
    const auto& s = servers_[h];
    if (s.known.zone != self_.zone || s.phase != fleet::Phase::READY) continue;
    in_flight += s.in_flight;
    ++in_zone;
  }
  const auto proxies = proxies_in_.find(self_.zone);
  if (in_zone == 0 || proxies == proxies_in_.end()) return 0;
  return in_flight / in_zone * static_cast<double>(proxies->second - 1);
}

// Seconds that a request to it is expected to take, with the price of the way in seconds.
double Servers::cost(Time now, const Server& s, const Service& service, double by_others) {
  const double usual = service.usual > 0 ? service.usual : kFirstUsual;
  const double load = (s.in_flight + 1 + (s.known.zone == self_.zone ? by_others : 0)) / s.cap;
  double c = usual * s.slowness * (1 + 0.1 * load + std::max(0.0, load - kQueueFrom));
  c /= std::max(0.1, s.success);
  if (seconds(silence(now, s)) > std::max(kSilent * usual, seconds(kSilentLeast))) c *= 10;
  if (s.known.zone != self_.zone) c += s.region == self_.region ? kSameRegion : kOtherRegion;
  return c * (1 + 0.05 * static_cast<double>(rng_() >> 11) * 0x1.0p-53);
}

Servers::Pick Servers::choose(Time now, const std::string& name, const std::vector<std::string>& regions,
                              const std::vector<ServerHandle>& tried, ServerHandle& chosen) {
  const auto found = services_.find(name);
  if (found == services_.end()) return Pick::none;
  const auto& service = found->second;
  const double connections = connections_allowed(service);
  const double by_others = load_by_others(service);
  bool any = false;
  double best = std::numeric_limits<double>::infinity();
  double best_bad = best;
  ServerHandle bad = kNoServer;
  chosen = kNoServer;
  for (const auto h : service.servers) {
    auto& s = servers_[h];
    if (s.phase != fleet::Phase::READY) continue;
    if (std::ranges::find(evacuated_, s.known.zone) != evacuated_.end()) continue;
    if (!regions.empty() && std::ranges::find(regions, s.region) == regions.end()) continue;
    if (std::ranges::find(tried, h) != tried.end()) continue;
    any = true;
    if (is_cold(now, s) && !may_take_cold(now, s, service)) continue;
    if (s.in_flight >= connections) continue;
    if (s.in_flight >= kFull * s.cap) continue;
    const double c = cost(now, s, service, by_others);
    if (now < s.ejected_until) {
      if (c < best_bad) best_bad = c, bad = h;
      continue;
    }
    if (c < best) best = c, chosen = h;
  }
  if (chosen == kNoServer) chosen = bad;  // when all look bad they are used rather than none
  if (chosen == kNoServer) return any ? Pick::full : Pick::none;
  return Pick::server;
}

void Servers::sent(Time now, ServerHandle server) {
  auto& s = servers_[server];
  if (is_cold(now, s)) s.credit -= 1;
  if (s.in_flight++ == 0) s.silent_since = now;
}

void Servers::ended(Time now, ServerHandle server, Outcome outcome, Duration took) {
  if (server >= servers_.size() || !servers_[server].used) return;
  auto& s = servers_[server];
  if (s.in_flight > 0) --s.in_flight;
  if (outcome == Outcome::cancelled || outcome == Outcome::cancelled_unsent) {
    note_cancelled(now, s);
    return release_if_unlisted(server);
  }
  auto& service = services_[s.known.service];
  const bool good = outcome == Outcome::ok;
  const bool answered = good || outcome == Outcome::error || outcome == Outcome::not_run;
  if (answered) s.silent_since = now, s.silent_before = {};
  if (good) {
    const double t = seconds(took);
    service.usual += (service.usual == 0 ? 1 : kUsualGain) * (t - service.usual);
    s.slowness += kSlowGain * (std::clamp(t / service.usual, 0.2, 5.0) - s.slowness);
    s.ejection = {};
  }
  if (outcome != Outcome::timeout) s.success += kHealthGain * ((good ? 1.0 : 0.0) - s.success);
  const bool eject = outcome == Outcome::connect_failed || outcome == Outcome::other_instance ||
                     (!good && s.success < kSickBelow);
  if (eject && now >= s.ejected_until) {
    s.ejection = std::clamp(s.ejection * 2, kFirstEjection, kLongestEjection);
    s.ejected_until = now + s.ejection;
  }
  // Its address belongs to another: it ended without a word. A later beat of its own would list it again.
  if (outcome == Outcome::other_instance) unlist(server);
  release_if_unlisted(server);
}

void Servers::release_if_unlisted(ServerHandle server) {
  auto& s = servers_[server];
  if (!s.known.listed && s.in_flight == 0 && s.used)
    s.used = false, dropped_.push_back(server), free_.push_back(server);
}

}  // namespace docklift::decisions
