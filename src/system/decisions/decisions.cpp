#include "system/decisions/decisions.hpp"

#include <algorithm>

namespace docklift::decisions {
namespace {

using namespace std::chrono_literals;
constexpr double kDefaultTargetMs = 1000;  // the aim of a route that names none
constexpr double
    kUnitsWait = 0.4;  // of the aim that a request waits for units: a round trip to another region
constexpr double kPlaceWait = 0.2;  // of the aim that it waits for a place at a server; a refusal later than
                                    // a quarter costs
constexpr std::uint32_t kMisses = 4;  // servers that could not be connected to for one request
constexpr Duration
    kRevokeMargin = 700ms;  // of the time in which a removed key must end: what is under way must arrive
constexpr double kLeastLeft = 0.12;  // of the aim that must be left for a further try to be worth a place
constexpr double kLeastLeftInDrain = 0.5;  // of the aim, until this process gives up what is open
constexpr Duration kOtherProxy = 10ms;  // until a client may come to another proxy, when this one is to end

}  // namespace

Decisions::Decisions(Place self, std::map<std::string, std::string> regions_of_zones, const Bounds& bounds,
                     std::uint64_t chance)
    : bounds_(bounds),
      servers_(std::move(self), std::move(regions_of_zones), bounds, chance),
      units_({bounds.quota_win_s, bounds.quota_excess, bounds.quota_slack}, chance),
      repeats_(bounds),
      rng_(chance ^ 0x9e3779b97f4a7c15ULL) {}

void Decisions::configure(Time, std::shared_ptr<const configuration::Configuration> c) {
  configuration_ = std::move(c);
  servers_.configure(*configuration_);
  std::vector<std::string> names;
  for (const auto& t : configuration_->tenants) {
    names.push_back(t.name);
    units_.set_quota(t.name, {t.per_s, t.burst});
  }
  units_.keep_only(names);
}

void Decisions::set_evacuated(Time now, const std::vector<std::string>& zones,
                              const std::vector<std::string>& readmitted) {
  servers_.set_evacuated(zones);
  if (!readmitted.empty()) servers_.readmitted(now, readmitted);
}

void Decisions::proxies(const std::vector<std::string>& zone_and_id) {
  servers_.set_proxies(zone_and_id);
  units_.set_proxies(zone_and_id.size());
  repeats_.set_proxies(zone_and_id.size());
}

Actions Decisions::holder(Time now, bool reachable) {
  units_.set_holder(reachable);
  after_units(now);
  return done();
}

Actions Decisions::new_holder(Time now, std::uint64_t term) {
  units_.new_holder(now, term);
  return done();
}

void Decisions::confirmed(Time at) {
  if (!confirmed_at_ || at > *confirmed_at_) confirmed_at_ = at;
}

bool Decisions::may_deny(Time now) const {
  return configuration_ && confirmed_at_ && now < *confirmed_at_ + from_millis(bounds_.apply_ms);
}

bool Decisions::is_outdated(Time now) const {
  return behind_ && (!confirmed_at_ || now >= *confirmed_at_ + from_millis(bounds_.apply_ms));
}

// Until then no acknowledged change can have taken a key away for so long that its requests must not run.
Time Decisions::keys_valid_until() const {
  if (!bounds_.strict_revoke || !configuration_ || !configuration_->has_tenants()) return Time::max();
  if (!confirmed_at_) return Time::min();
  return *confirmed_at_ + from_millis(bounds_.revoke_ms) - kRevokeMargin;
}

Duration Decisions::back_off(const Request& r) {
  const double part = 0.1 + 0.2 * static_cast<double>(rng_() >> 11) * 0x1.0p-53;
  return snowknot::scaled(std::max<Duration>(r.target, 200ms), part);
}

void Decisions::refuse(RequestId id, RefusalReason reason, Duration retry_after) {
  refusals_.count(reason);
  out_.push_back(Refuse{id, reason == RefusalReason::quota ? 429 : 503, retry_after});
  requests_.erase(id);
}

// By the weights of the route's parts.
const std::string& Decisions::choose_service(const configuration::Route& route) {
  double lot = static_cast<double>(rng_() >> 11) * 0x1.0p-53 * route.total_weight;
  const auto* chosen = &route.targets.back();
  for (const auto& part : route.targets) {
    if (part.weight <= 0) continue;
    chosen = &part;
    if ((lot -= part.weight) < 0) break;
  }
  return configuration_->services[chosen->service].name;
}

Decisions::Request Decisions::request_of(Time now, const Arrival& arrival) {
  const auto& route = *arrival.route;
  Request r;
  r.service = choose_service(route);
  r.repeatable = route.kind != configuration::RouteKind::mutating;
  r.target = from_millis(route.target_ms > 0 ? route.target_ms : kDefaultTargetMs);
  r.arrived = now;
  Duration held = arrival.time_left;
  if (route.timeout_ms > 0) held = std::min(held, from_millis(route.timeout_ms));
  r.deadline = now + held;
  r.tries = route.tries;
  r.place_until = now + snowknot::scaled(std::min(r.target, held), kPlaceWait);
  r.regions = route.regions;
  return r;
}

// Where route and tenant both have homes, both bind. False: no region is a home of both.
bool Decisions::bind_to_homes(Request& r, const configuration::Tenant* tenant) {
  if (!tenant || tenant->regions.empty()) return true;
  if (r.regions.empty()) {
    r.regions = tenant->regions;
    return true;
  }
  std::erase_if(r.regions, [&](const auto& region) {
    return std::ranges::find(tenant->regions, region) == tenant->regions.end();
  });
  return !r.regions.empty();
}

Actions Decisions::arrive(Time now, const Arrival& arrival) {
  const auto id = arrival.request;
  Request arrived = request_of(now, arrival);
  const bool has_home = bind_to_homes(arrived, arrival.tenant);
  // Keys that were taken away must end here too, also where this proxy is cut off from the core.
  if (now >= keys_valid_until() || is_outdated(now)) {
    refuse(id, RefusalReason::outdated, back_off(arrived));
    return done();
  }
  if (!has_home) {
    refuse(id, RefusalReason::no_server, back_off(arrived));
    return done();
  }
  if (drain_ && !drain_->may_begin(now, arrived.deadline)) {
    refuse(id, RefusalReason::draining, kOtherProxy);
    return done();
  }
  repeats_.request(arrived.service);
  auto& kept = requests_.insert_or_assign(id, std::move(arrived)).first.value();
  if (arrival.tenant) {
    kept.tenant = arrival.tenant->name;
    take_unit(now, id, kept);
    after_units(now);
  } else {
    send_on(now, id, kept);
  }
  return done();
}

void Decisions::take_unit(Time now, RequestId id, Request& r) {
  Duration retry_after{};
  bool holder_lost = false;
  const auto wait = snowknot::scaled(std::min(r.target, r.deadline - now), kUnitsWait);
  switch (units_.take(now, r.tenant, id, wait, retry_after, holder_lost)) {
    case Units::Take::passed:
      r.unit_taken = now;
      send_on(now, id, r);
      break;
    case Units::Take::waits: break;
    case Units::Take::refused:
      refuse(id, holder_lost ? RefusalReason::no_units : RefusalReason::quota, retry_after);
      break;
  }
}

void Decisions::give_unit_back(Time now, const Request& r) {
  if (!r.tenant.empty()) units_.give_back(now, r.tenant, r.unit_taken);
}

void Decisions::send_on(Time now, RequestId id, Request& r) {
  if (now >= keys_valid_until()) {
    give_unit_back(now, r);
    return refuse(id, RefusalReason::outdated, back_off(r));
  }
  ServerHandle server = kNoServer;
  switch (servers_.choose(now, r.service, r.regions, r.tried, server)) {
    case Servers::Pick::server: return send(now, id, r, server);
    case Servers::Pick::none: {
      give_unit_back(now, r);
      return refuse(id, RefusalReason::no_server, back_off(r));
    }
    case Servers::Pick::full: break;
  }
  if (now >= r.place_until) {
    give_unit_back(now, r);
    return refuse(id, RefusalReason::no_place, back_off(r));
  }
  if (!std::exchange(r.parked, true)) parked_.push_back(id);
}

void Decisions::send(Time now, RequestId id, Request& r, ServerHandle server) {
  if (r.client_left) ++departures_.sent_after;
  servers_.sent(now, server);
  ++r.sends;
  r.at = server;
  r.tried.push_back(server);
  out_.push_back(Send{id, server, std::max<Duration>(r.deadline - now, 1ms), keys_valid_until()});
}

Actions Decisions::ended(Time now, RequestId id, Outcome outcome, Duration took, bool whole) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return done();
  auto& r = found.value();
  servers_.ended(now, r.at, outcome, took);
  r.at = kNoServer;
  if (r.client_left) {
    note_end_after_departure(now, r, outcome);
    if (proves_not_run(outcome) && !r.may_have_run) give_unit_back(now, r);
    drop(id);
  } else if (r.given_up) {
    end_given_up(now, id, r, outcome);
  } else if (outcome == Outcome::ok) {
    relay(id);
  } else {
    end_failed_try(now, id, r, outcome, whole);
  }
  serve_parked(now);
  after_units(now);
  return done();
}

void Decisions::relay(RequestId id) {
  out_.push_back(Relay{id});
  requests_.erase(id);
}

void Decisions::fail(RequestId id, int status) {
  out_.push_back(Fail{id, status});
  requests_.erase(id);
}

void Decisions::end_failed_try(Time now, RequestId id, Request& r, Outcome outcome, bool whole) {
  if (outcome == Outcome::connect_failed) --r.sends, ++r.misses;
  if (!proves_not_run(outcome)) r.may_have_run = true;
  if (const auto server = server_for_further_try(now, r)) return send(now, id, r, *server);
  if (!r.may_have_run) {
    give_unit_back(now, r);
    return refuse(id, RefusalReason::not_run, back_off(r));
  }
  if (whole && outcome == Outcome::error) return relay(id);
  fail(id, outcome == Outcome::timeout ? 504 : 502);
}

std::optional<ServerHandle> Decisions::server_for_further_try(Time now, const Request& r) {
  if (!may_try_again(now, r)) return std::nullopt;
  if (r.may_have_run && !r.repeatable) return std::nullopt;
  if (r.sends >= r.tries || r.misses >= kMisses) return std::nullopt;
  ServerHandle server = kNoServer;
  if (servers_.choose(now, r.service, r.regions, r.tried, server) != Servers::Pick::server)
    return std::nullopt;
  // A try that reached no server has arrived nowhere, and needs none of the budget.
  if (r.sends > 0 && !repeats_.take(r.service)) return std::nullopt;
  return server;
}

// Whether there is time for a further try.
bool Decisions::may_try_again(Time now, const Request& r) const {
  if (now >= keys_valid_until()) return false;
  if (drain_ && now + snowknot::scaled(r.target, kLeastLeftInDrain) >= drain_->gives_up) return false;
  return now + snowknot::scaled(r.target, kLeastLeft) < r.deadline;
}

Actions Decisions::give_up(Time now) {
  std::vector<RequestId> all;
  all.reserve(requests_.size());
  for (const auto& [id, r] : requests_) all.push_back(id);
  for (const auto id : all) give_up(now, id);
  return done();
}

void Decisions::give_up(Time now, RequestId id) {
  auto& r = requests_.find(id).value();
  r.given_up = true;
  if (r.at != kNoServer) {
    out_.push_back(Cancel{id, false});
    return;
  }
  if (r.parked) {
    give_unit_back(now, r);
  } else {
    units_.forget(r.tenant, id);
  }
  refuse(id, RefusalReason::draining, kOtherProxy);
}

void Decisions::end_given_up(Time now, RequestId id, Request& r, Outcome outcome) {
  if (!proves_not_run(outcome) || r.may_have_run) return fail(id, 504);
  give_unit_back(now, r);
  refuse(id, RefusalReason::draining, kOtherProxy);
}

void Decisions::note_departure(Time now, Request& r) {
  r.client_left = now;
  if (!r.repeatable) ++departures_.not_repeatable;
  if (r.at != kNoServer) {
    ++departures_.at_server;
  } else {
    ++(r.parked ? departures_.waited_for_place : departures_.waited_for_units);
  }
}

void Decisions::note_end_after_departure(Time now, const Request& r, Outcome outcome) {
  if (outcome == Outcome::cancelled) ++departures_.cancelled;
  if (outcome == Outcome::cancelled_unsent) ++departures_.cancelled_unsent;
  if (now - *r.client_left <= kWentOnAfter) return;
  ++(r.repeatable ? departures_.went_on_repeatable : departures_.went_on_not_repeatable);
}

Actions Decisions::client_left(Time now, RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.client_left) return done();
  auto& r = found.value();
  note_departure(now, r);
  if (r.at != kNoServer) {
    out_.push_back(Cancel{id, !r.repeatable});
    return done();
  }
  if (r.parked) {
    give_unit_back(now, r);
  } else {
    units_.forget(r.tenant, id);
  }
  drop(id);
  after_units(now);
  return done();
}

OpenRequests Decisions::open_requests(Time now) const {
  OpenRequests open;
  for (const auto& [id, r] : requests_) {
    open.longest_left = std::max(open.longest_left, r.deadline - now);
    if (r.at != kNoServer) {
      ++open.at_server;
    } else {
      ++(r.parked ? open.wait_for_place : open.wait_for_units);
    }
  }
  return open;
}

void Decisions::drop(RequestId id) {
  out_.push_back(Drop{id});
  requests_.erase(id);
}

void Decisions::serve_parked(Time now) {
  if (parked_.empty()) return;
  const auto waiting = std::exchange(parked_, {});
  for (const auto id : waiting) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) continue;
    auto& r = found.value();
    r.parked = false;
    send_on(now, id, r);
  }
}

// What the lease book has settled: who passes goes on, who is turned away is refused, what is to be asked is
// asked.
void Decisions::after_units(Time now) {
  auto orders = units_.orders(now);
  for (const auto id : units_.passed())
    if (const auto found = requests_.find(id); found != requests_.end()) {
      found.value().unit_taken = now;
      send_on(now, id, found.value());
    }
  for (const auto& t : units_.turned(now))
    if (requests_.contains(t.request))
      refuse(t.request, t.holder_lost ? RefusalReason::no_units : RefusalReason::quota, t.retry_after);
  if (!orders.empty()) out_.push_back(RequestUnits{std::move(orders)});
}

Actions Decisions::granted(Time now, const UnitAnswer& answer) {
  units_.granted(now, answer);
  after_units(now);
  return done();
}

Actions Decisions::grants_failed(Time now) {
  units_.call_failed();
  after_units(now);
  return done();
}

Actions Decisions::tick(Time now) {
  serve_parked(now);
  after_units(now);
  return done();
}

}  // namespace docklift::decisions
