// The request-routing decisions of a proxy: which server a request goes to, whether it is retried, and what
// is refused. The proxy itself only moves bytes. No I/O and no clock: events come in with their time, actions
// come out, and the same seed and events give the same actions. Each request that arrives gets exactly one
// final action (Refuse, Fail, Relay or Drop); each Send is followed by one on_attempt_ended(). A request that is
// at no server is refused when its deadline passes, whatever it waits for.
#pragma once

#include <tsl/robin_map.h>

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "system/decisions/departures.hpp"
#include "system/decisions/drain_schedule.hpp"
#include "system/decisions/open_requests.hpp"
#include "system/decisions/refusals.hpp"
#include "system/decisions/repeats.hpp"
#include "system/decisions/servers.hpp"
#include "system/decisions/units.hpp"

namespace docklift::decisions {

// A request as read from a client.
struct Arrival {
  RequestId request{};
  const configuration::Route* route = nullptr;    // used during the call only
  const configuration::Tenant* tenant = nullptr;  // null: none
  Duration time_left{};                           // until the client times out
};

// Send the request to a server.
struct Send {
  RequestId request{};
  ServerHandle server = kNoServer;
  Duration timeout{};
  Time valid_until = Time::max();  // must not be written later: its API key may have been revoked
};
// Answer with an error; the request has not run and never will.
struct Refuse {
  RequestId request{};
  int status = 503;
  Duration retry_after{};
};
// Answer with an error; the request may have run.
struct Fail {
  RequestId request{};
  int status = 502;
};
// Forward the last response of a server unchanged.
struct Relay {
  RequestId request{};
};
// Forget the request: its client has disconnected.
struct Drop {
  RequestId request{};
};
// Cancel the attempt in flight, with `unsent_only` only if not a byte of it was written. If it was cancelled,
// on_attempt_ended() follows at once, with an outcome that says whether it had been sent.
struct Cancel {
  RequestId request{};
  bool unsent_only = false;
};
// Ask the holder of the counts for quota units.
struct RequestUnits {
  std::vector<UnitRequest> requests;
};
using Action = std::variant<Send, Refuse, Fail, Relay, Drop, Cancel, RequestUnits>;
using Actions = std::vector<Action>;

namespace detail {  // robin_map needs complete types
struct Request {
  std::string service, tenant;
  std::vector<std::string> regions;
  bool repeatable = false, may_have_run = false;
  Duration target{};
  Time arrived{}, deadline{}, queue_until{}, unit_acquired_at{};
  std::optional<Time> client_left_at;
  std::uint32_t max_attempts = 1, attempts = 0, connect_failures = 0;
  bool queued = false, aborted = false;  // queued: for a slot at a server
  std::vector<ServerHandle> tried;
  ServerHandle server = kNoServer;  // that the attempt in flight was sent to
};
}  // namespace detail

// The state of all requests of one proxy, and of what is known about servers and quota units.
class Decisions {
 public:
  Decisions(ProxyIdentity self, std::map<std::string, std::string> regions_of_zones, const Bounds& bounds,
            std::uint64_t random_seed);

  // ---- updates from the registries
  Actions configure(Time now, std::shared_ptr<const configuration::Configuration> c);
  void set_evacuated(Time now, const std::vector<std::string>& zones,
                     const std::vector<std::string>& readmitted);
  void update_servers(Time now, const std::vector<fleet::Server>& changed) { servers_.update(now, changed); }
  void set_proxies(const std::vector<std::string>& zone_and_id);
  Actions set_holder_reachable(Time now, bool reachable);
  Actions on_new_holder(Time now, std::uint64_t term);
  // As of `at`, a majority of the core knew of no newer configuration than the local one.
  void set_confirmed(Time at);
  // Whether the local configuration is known to lack a committed change.
  void set_lagging(bool lagging) { lagging_ = lagging; }

  // ---- shutdown
  // From now on, requests are begun only as the schedule allows, and retried only if they can still finish.
  void begin_drain(const DrainSchedule& schedule) { drain_ = schedule; }
  // Ends all open requests: those at no server are refused, the others have their attempt cancelled and fail.
  Actions abort_open_requests(Time now);

  // ---- requests
  // Counts a request that was rejected because no configuration has been received yet.
  void count_refusal_without_configuration() { refusals_.count(RefusalReason::no_configuration); }
  // Counts a request that is refused while it is received, as there is no memory for its body. Returns after
  // what time to send it again.
  Duration refuse_body();
  Actions on_request(Time now, const Arrival& arrival);
  // `whole`: a complete response of the server is available and can be relayed.
  Actions on_attempt_ended(Time now, RequestId id, Outcome outcome, Duration took, bool whole);
  // The client's connection was closed, by the client or by the proxy; nobody waits for the response.
  // Repeatable requests end wherever they are. Others are not sent any more, but finish if a server already
  // works on them.
  Actions on_client_left(Time now, RequestId id);
  Actions on_grants(Time now, const UnitResponse& answer);
  Actions on_grants_failed(Time now);
  Actions tick(Time now);  // at least every 20 ms while requests are open

  // Whether a request may be rejected as not allowed by the local configuration: only if that was confirmed
  // as the newest within the last `apply_ms`. Otherwise an acknowledged change may allow the request.
  bool may_deny(Time now) const;
  // Whether the local configuration lacks a change that may have been acknowledged `apply_ms` ago; no request
  // may be handled by it then. One that merely could not be confirmed, as the core is unreachable, remains in
  // use.
  bool is_outdated(Time now) const;

  const Servers::Info* find_server(ServerHandle server) const { return servers_.find(server); }
  std::vector<ServerHandle> take_released_servers() { return servers_.take_released(); }
  std::size_t open_count() const { return requests_.size(); }
  OpenRequests open_requests(Time now) const;
  const DepartureCounts& departures() const { return departures_; }
  const RefusalCounts& refusals() const { return refusals_; }

 private:
  using Request = detail::Request;
  const std::string& choose_service(const configuration::Route& route);
  Request make_request(Time now, const Arrival& arrival);
  static bool restrict_regions(Request& r, const configuration::Tenant* tenant);
  void acquire_unit(Time now, RequestId id, Request& r);
  void relay(RequestId id);
  void fail(RequestId id, int status);
  void on_attempt_failed(Time now, RequestId id, Request& r, Outcome outcome, bool whole);
  std::optional<ServerHandle> choose_retry_server(Time now, const Request& r);
  void dispatch(Time now, RequestId id, Request& r);
  void send(Time now, RequestId id, Request& r, ServerHandle server);
  void refuse(RequestId id, RefusalReason reason, Duration retry_after);
  void count_departure(Time now, Request& r);
  void count_attempt_end_after_departure(Time now, const Request& r, Outcome outcome);
  void release_unit(Time now, const Request& r);
  void drop(RequestId id);
  void abort_request(Time now, RequestId id);
  void refuse_waiting(Time now, RequestId id, Request& r, RefusalReason reason);
  void refuse_overdue(Time now);
  void finish_aborted(Time now, RequestId id, Request& r, Outcome outcome);
  bool has_time_to_retry(Time now, const Request& r) const;
  void process_units(Time now);
  void dispatch_queued(Time now);
  Time keys_valid_until() const;
  Duration retry_delay(const Request& r);
  Actions take_actions() { return std::exchange(actions_, {}); }

  Bounds bounds_;
  std::shared_ptr<const configuration::Configuration> configuration_;
  Servers servers_;
  Units units_;
  RetryBudget retry_budget_;
  std::mt19937_64 rng_;
  tsl::robin_map<RequestId, Request> requests_;
  std::vector<RequestId> queued_;  // for a slot at a server
  Time overdue_checked_at_{};
  std::optional<Time> confirmed_at_;
  std::optional<DrainSchedule> drain_;
  bool lagging_ = false;
  DepartureCounts departures_;
  RefusalCounts refusals_;
  Actions actions_;
};

}  // namespace docklift::decisions
