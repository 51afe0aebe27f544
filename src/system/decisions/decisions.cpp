#include "system/decisions/decisions.hpp"

#include <algorithm>

namespace docklift::decisions {
namespace {

using namespace std::chrono_literals;
constexpr double kDefaultTargetMs = 1000;  // latency target of a route that names none
// Fractions of the latency target. Waiting for units allows for a round trip to another region; a refusal
// after more than a quarter of the target counts as late.
constexpr double kUnitWaitFraction = 0.4;
constexpr double kSlotWaitFraction = 0.2;
constexpr double kMinRetryFraction = 0.12;        // left until the deadline, for a retry to be worth it
constexpr double kMinDrainRetryFraction = 0.5;    // left until a drain aborts open requests
constexpr std::uint32_t kMaxConnectFailures = 4;  // for one request
constexpr Duration kRevokeMargin = 700ms;         // before a revoked key ends: time for requests in flight
constexpr Duration kAbortRetryAfter = 10ms;       // a client may retry at another proxy
constexpr Duration kBodyRetryAfter = 200ms;       // by then another body may have been passed on
constexpr Duration kOverdueCheckInterval = 50ms;  // from one check of all requests' deadlines to the next

}  // namespace

Decisions::Decisions(ProxyIdentity self, std::map<std::string, std::string> regions_of_zones,
                     const Bounds& bounds, std::uint64_t random_seed)
    : bounds_(bounds),
      servers_(std::move(self), std::move(regions_of_zones), bounds, random_seed),
      units_({bounds.quota_win_s, bounds.quota_excess, bounds.quota_slack}, random_seed),
      retry_budget_(bounds),
      rng_(random_seed ^ 0x9e3779b97f4a7c15ULL) {}

Actions Decisions::configure(Time now, std::shared_ptr<const configuration::Configuration> c) {
  configuration_ = std::move(c);
  servers_.configure(*configuration_);
  std::vector<std::string> names;
  for (const auto& t : configuration_->tenants) {
    names.push_back(t.name);
    units_.set_quota(now, t.name, {t.per_s, t.burst});
  }
  units_.keep_only(names);
  process_units(now);
  return take_actions();
}

void Decisions::set_evacuated(Time now, const std::vector<std::string>& zones,
                              const std::vector<std::string>& readmitted) {
  servers_.set_evacuated(zones);
  if (!readmitted.empty()) servers_.on_readmitted(now, readmitted);
}

void Decisions::set_proxies(const std::vector<std::string>& zone_and_id) {
  servers_.set_proxies(zone_and_id);
  units_.set_proxies(zone_and_id.size());
  retry_budget_.set_proxies(zone_and_id.size());
}

Actions Decisions::set_holder_reachable(Time now, bool reachable) {
  units_.set_holder_reachable(reachable);
  process_units(now);
  return take_actions();
}

Actions Decisions::on_new_holder(Time now, std::uint64_t term) {
  units_.on_new_holder(now, term);
  return take_actions();
}

void Decisions::set_confirmed(Time at) {
  if (!confirmed_at_ || at > *confirmed_at_) confirmed_at_ = at;
}

Duration Decisions::refuse_body() {
  refusals_.count(RefusalReason::no_body_memory);
  return kBodyRetryAfter;
}

bool Decisions::may_deny(Time now) const {
  return configuration_ && confirmed_at_ && now < *confirmed_at_ + from_millis(bounds_.apply_ms);
}

bool Decisions::is_outdated(Time now) const {
  return lagging_ && (!confirmed_at_ || now >= *confirmed_at_ + from_millis(bounds_.apply_ms));
}

// Until then no acknowledged change can have revoked a key so long ago that its requests must not run.
Time Decisions::keys_valid_until() const {
  if (!bounds_.strict_revoke || !configuration_ || !configuration_->requires_keys()) return Time::max();
  if (!confirmed_at_) return Time::min();
  return *confirmed_at_ + from_millis(bounds_.revoke_ms) - kRevokeMargin;
}

Duration Decisions::retry_delay(const Request& r) {
  const double fraction = 0.1 + 0.2 * static_cast<double>(rng_() >> 11) * 0x1.0p-53;
  return snowknot::scaled(std::max<Duration>(r.target, 200ms), fraction);
}

void Decisions::refuse(RequestId id, RefusalReason reason, Duration retry_after) {
  refusals_.count(reason);
  actions_.push_back(Refuse{id, reason == RefusalReason::quota ? 429 : 503, retry_after});
  requests_.erase(id);
}

// Chooses at random by the weights of the route's split.
const std::string& Decisions::choose_service(const configuration::Route& route) {
  double draw = static_cast<double>(rng_() >> 11) * 0x1.0p-53 * route.total_weight;
  const auto* chosen = &route.targets.back();
  for (const auto& split : route.targets) {
    if (split.weight <= 0) continue;
    chosen = &split;
    if ((draw -= split.weight) < 0) break;
  }
  return configuration_->services[chosen->service].name;
}

Decisions::Request Decisions::make_request(Time now, const Arrival& arrival) {
  const auto& route = *arrival.route;
  Request r;
  r.service = choose_service(route);
  r.repeatable = route.kind != configuration::RouteKind::mutating;
  r.target = from_millis(route.target_ms > 0 ? route.target_ms : kDefaultTargetMs);
  r.arrived = now;
  Duration time_left = arrival.time_left;
  if (route.timeout_ms > 0) time_left = std::min(time_left, from_millis(route.timeout_ms));
  r.deadline = now + time_left;
  r.max_attempts = route.tries;
  r.queue_until = now + snowknot::scaled(std::min(r.target, time_left), kSlotWaitFraction);
  r.regions = route.regions;
  return r;
}

// If route and tenant are both pinned to regions, only the regions of both remain. False: there is none.
bool Decisions::restrict_regions(Request& r, const configuration::Tenant* tenant) {
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

Actions Decisions::on_request(Time now, const Arrival& arrival) {
  const auto id = arrival.request;
  Request arrived = make_request(now, arrival);
  const bool has_region = restrict_regions(arrived, arrival.tenant);
  // Revoked keys must end here too, even if this proxy is partitioned from the core.
  if (now >= keys_valid_until() || is_outdated(now)) {
    refuse(id, RefusalReason::outdated, retry_delay(arrived));
    return take_actions();
  }
  if (!has_region) {
    refuse(id, RefusalReason::no_server, retry_delay(arrived));
    return take_actions();
  }
  if (drain_ && !drain_->may_begin(now, arrived.deadline)) {
    refuse(id, RefusalReason::draining, kAbortRetryAfter);
    return take_actions();
  }
  retry_budget_.on_request(arrived.service);
  auto& request = requests_.insert_or_assign(id, std::move(arrived)).first.value();
  if (arrival.tenant) {
    request.tenant = arrival.tenant->name;
    acquire_unit(now, id, request);
    process_units(now);
  } else {
    dispatch(now, id, request);
  }
  return take_actions();
}

void Decisions::acquire_unit(Time now, RequestId id, Request& r) {
  Duration retry_after{};
  bool holder_unreachable = false;
  const auto wait = snowknot::scaled(std::min(r.target, r.deadline - now), kUnitWaitFraction);
  switch (units_.acquire(now, r.tenant, id, wait, retry_after, holder_unreachable)) {
    case Units::Admission::admitted:
      r.unit_acquired_at = now;
      dispatch(now, id, r);
      break;
    case Units::Admission::queued: break;
    case Units::Admission::rejected:
      refuse(id, holder_unreachable ? RefusalReason::no_units : RefusalReason::quota, retry_after);
      break;
  }
}

void Decisions::release_unit(Time now, const Request& r) {
  if (!r.tenant.empty()) units_.release(now, r.tenant, r.unit_acquired_at);
}

void Decisions::dispatch(Time now, RequestId id, Request& r) {
  if (now >= keys_valid_until()) {
    release_unit(now, r);
    return refuse(id, RefusalReason::outdated, retry_delay(r));
  }
  ServerHandle server = kNoServer;
  switch (servers_.choose(now, r.service, r.regions, r.tried, server)) {
    case Servers::Pick::server: return send(now, id, r, server);
    case Servers::Pick::none: {
      release_unit(now, r);
      return refuse(id, RefusalReason::no_server, retry_delay(r));
    }
    case Servers::Pick::full: break;
  }
  if (now >= r.queue_until) {
    release_unit(now, r);
    return refuse(id, RefusalReason::no_slot, retry_delay(r));
  }
  if (!std::exchange(r.queued, true)) queued_.push_back(id);
}

void Decisions::send(Time now, RequestId id, Request& r, ServerHandle server) {
  if (r.client_left_at) ++departures_.sent_after;
  servers_.on_sent(now, server);
  ++r.attempts;
  r.server = server;
  r.tried.push_back(server);
  actions_.push_back(Send{id, server, std::max<Duration>(r.deadline - now, 1ms), keys_valid_until()});
}

Actions Decisions::on_attempt_ended(Time now, RequestId id, Outcome outcome, Duration took, bool whole) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return take_actions();
  auto& r = found.value();
  servers_.on_attempt_ended(now, r.server, outcome, took);
  r.server = kNoServer;
  if (r.client_left_at) {
    count_attempt_end_after_departure(now, r, outcome);
    if (proves_not_run(outcome) && !r.may_have_run) release_unit(now, r);
    drop(id);
  } else if (r.aborted) {
    finish_aborted(now, id, r, outcome);
  } else if (outcome == Outcome::ok) {
    relay(id);
  } else {
    on_attempt_failed(now, id, r, outcome, whole);
  }
  dispatch_queued(now);
  process_units(now);
  return take_actions();
}

void Decisions::relay(RequestId id) {
  actions_.push_back(Relay{id});
  requests_.erase(id);
}

void Decisions::fail(RequestId id, int status) {
  actions_.push_back(Fail{id, status});
  requests_.erase(id);
}

void Decisions::on_attempt_failed(Time now, RequestId id, Request& r, Outcome outcome, bool whole) {
  if (outcome == Outcome::connect_failed) --r.attempts, ++r.connect_failures;
  if (!proves_not_run(outcome)) r.may_have_run = true;
  if (const auto server = choose_retry_server(now, r)) return send(now, id, r, *server);
  if (!r.may_have_run) {
    release_unit(now, r);
    return refuse(id, RefusalReason::not_run, retry_delay(r));
  }
  if (whole && outcome == Outcome::error) return relay(id);
  fail(id, outcome == Outcome::timeout ? 504 : 502);
}

std::optional<ServerHandle> Decisions::choose_retry_server(Time now, const Request& r) {
  if (!has_time_to_retry(now, r)) return std::nullopt;
  if (r.may_have_run && !r.repeatable) return std::nullopt;
  if (r.attempts >= r.max_attempts || r.connect_failures >= kMaxConnectFailures) return std::nullopt;
  ServerHandle server = kNoServer;
  if (servers_.choose(now, r.service, r.regions, r.tried, server) != Servers::Pick::server)
    return std::nullopt;
  // A retry after attempts that reached no server costs none of the budget.
  if (r.attempts > 0 && !retry_budget_.take(r.service)) return std::nullopt;
  return server;
}

// Whether enough time is left for a retry.
bool Decisions::has_time_to_retry(Time now, const Request& r) const {
  if (now >= keys_valid_until()) return false;
  if (drain_ && now + snowknot::scaled(r.target, kMinDrainRetryFraction) >= drain_->abort_at) return false;
  return now + snowknot::scaled(r.target, kMinRetryFraction) < r.deadline;
}

Actions Decisions::abort_open_requests(Time now) {
  std::vector<RequestId> all;
  all.reserve(requests_.size());
  for (const auto& [id, r] : requests_) all.push_back(id);
  for (const auto id : all) abort_request(now, id);
  return take_actions();
}

void Decisions::abort_request(Time now, RequestId id) {
  auto& r = requests_.find(id).value();
  r.aborted = true;
  if (r.server != kNoServer) {
    actions_.push_back(Cancel{id, false});
    return;
  }
  refuse_waiting(now, id, r, RefusalReason::draining);
}

// Refuses a request that is at no server, and so has not run.
void Decisions::refuse_waiting(Time now, RequestId id, Request& r, RefusalReason reason) {
  if (r.queued) {
    release_unit(now, r);
  } else {
    units_.cancel_waiting(r.tenant, id);
  }
  refuse(id, reason, kAbortRetryAfter);
}

void Decisions::refuse_overdue(Time now) {
  if (now < overdue_checked_at_ + kOverdueCheckInterval) return;
  overdue_checked_at_ = now;
  std::vector<RequestId> overdue;
  for (const auto& [id, r] : requests_)
    if (r.server == kNoServer && now >= r.deadline) overdue.push_back(id);
  for (const auto id : overdue) refuse_waiting(now, id, requests_.find(id).value(), RefusalReason::overdue);
}

void Decisions::finish_aborted(Time now, RequestId id, Request& r, Outcome outcome) {
  if (!proves_not_run(outcome) || r.may_have_run) return fail(id, 504);
  release_unit(now, r);
  refuse(id, RefusalReason::draining, kAbortRetryAfter);
}

void Decisions::count_departure(Time now, Request& r) {
  r.client_left_at = now;
  if (!r.repeatable) ++departures_.not_repeatable;
  if (r.server != kNoServer) {
    ++departures_.at_server;
  } else {
    ++(r.queued ? departures_.waited_for_slot : departures_.waited_for_units);
  }
}

void Decisions::count_attempt_end_after_departure(Time now, const Request& r, Outcome outcome) {
  if (outcome == Outcome::cancelled) ++departures_.cancelled;
  if (outcome == Outcome::cancelled_unsent) ++departures_.cancelled_unsent;
  if (now - *r.client_left_at <= kContinuedAfter) return;
  ++(r.repeatable ? departures_.continued_repeatable : departures_.continued_not_repeatable);
}

Actions Decisions::on_client_left(Time now, RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.client_left_at) return take_actions();
  auto& r = found.value();
  count_departure(now, r);
  if (r.server != kNoServer) {
    actions_.push_back(Cancel{id, !r.repeatable});
    return take_actions();
  }
  if (r.queued) {
    release_unit(now, r);
  } else {
    units_.cancel_waiting(r.tenant, id);
  }
  drop(id);
  process_units(now);
  return take_actions();
}

OpenRequests Decisions::open_requests(Time now) const {
  OpenRequests open;
  for (const auto& [id, r] : requests_) {
    open.longest_left = std::max(open.longest_left, r.deadline - now);
    if (r.server != kNoServer) {
      ++open.at_server;
    } else {
      ++(r.queued ? open.waiting_for_slot : open.waiting_for_units);
    }
  }
  return open;
}

void Decisions::drop(RequestId id) {
  actions_.push_back(Drop{id});
  requests_.erase(id);
}

void Decisions::dispatch_queued(Time now) {
  if (queued_.empty()) return;
  const auto waiting = std::exchange(queued_, {});
  for (const auto id : waiting) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) continue;
    auto& r = found.value();
    r.queued = false;
    dispatch(now, id, r);
  }
}

// Carries out what the unit leases decided: admitted requests go on, rejected ones are refused, and missing
// units are requested.
void Decisions::process_units(Time now) {
  auto unit_requests = units_.take_requests(now);
  for (const auto id : units_.take_admitted())
    if (const auto found = requests_.find(id); found != requests_.end()) {
      found.value().unit_acquired_at = now;
      dispatch(now, id, found.value());
    }
  for (const auto& rejected : units_.take_rejected(now))
    if (requests_.contains(rejected.request))
      refuse(rejected.request, rejected.holder_unreachable ? RefusalReason::no_units : RefusalReason::quota,
             rejected.retry_after);
  if (!unit_requests.empty()) actions_.push_back(RequestUnits{std::move(unit_requests)});
}

Actions Decisions::on_grants(Time now, const UnitResponse& answer) {
  units_.on_grants(now, answer);
  process_units(now);
  return take_actions();
}

Actions Decisions::on_grants_failed(Time now) {
  units_.on_call_failed();
  process_units(now);
  return take_actions();
}

Actions Decisions::tick(Time now) {
  dispatch_queued(now);
  process_units(now);
  refuse_overdue(now);
  return take_actions();
}

}  // namespace docklift::decisions
