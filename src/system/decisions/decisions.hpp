// Every decision of a proxy: which server a request goes to, whether it is sent again, what is refused.
// Fronts carry bytes. Pure: events with their time go in, actions come out; the same seed and events give the
// same actions. An arrived request gets exactly one final action (Refuse, Fail, Relay or Drop); each Send is
// followed by one ended().
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

struct Arrival {
  RequestId request{};
  const configuration::Route* route = nullptr;    // used during the call only
  const configuration::Tenant* tenant = nullptr;  // null: none
  Duration time_left{};                           // until the client gives up
};

struct Send {  // to a server; `first`: nothing was sent for it before
  RequestId request{};
  ServerHandle server = kNoServer;
  Duration timeout{};
  Time valid_until = Time::max();  // not to be written later: its key may have been taken away
};
struct Refuse {  // it has not run and never will
  RequestId request{};
  int status = 503;
  Duration retry_after{};
};
struct Fail {  // no promise about what ran
  RequestId request{};
  int status = 502;
};
struct Relay {  // the last answer of a server, as it is
  RequestId request{};
};
struct Drop {  // its client has left: there is nobody to answer
  RequestId request{};
};
// The attempt that is out is to be ended, `unsent_only`: if not a byte of it was written. ended() follows at once
// where it was, with an outcome that says whether it had been sent.
struct Cancel {
  RequestId request{};
  bool unsent_only = false;
};
struct RequestUnits {  // units, of the holder of the counts
  std::vector<UnitRequest> requests;
};
using Action = std::variant<Send, Refuse, Fail, Relay, Drop, Cancel, RequestUnits>;
using Actions = std::vector<Action>;

namespace flow {  // complete before the tables of them
struct Request {
  std::string service, tenant;
  std::vector<std::string> regions;
  bool repeatable = false, may_have_run = false;
  Duration target{};
  Time arrived{}, deadline{}, place_until{}, unit_taken{};
  std::optional<Time> client_left;  // since when there is nobody to answer
  std::uint32_t tries = 1, sends = 0, misses = 0;
  bool parked = false, given_up = false;
  std::vector<ServerHandle> tried;
  ServerHandle at = kNoServer;
};
}  // namespace flow

class Decisions {
 public:
  Decisions(Place self, std::map<std::string, std::string> regions_of_zones, const Bounds& bounds,
            std::uint64_t chance);

  // ---- news
  void configure(Time now, std::shared_ptr<const configuration::Configuration> c);
  void set_evacuated(Time now, const std::vector<std::string>& zones,
                     const std::vector<std::string>& readmitted);
  void update_servers(Time now, const std::vector<fleet::Server>& changed) { servers_.news(now, changed); }
  void set_proxies(const std::vector<std::string>& zone_and_id);
  Actions set_holder_reachable(Time now, bool reachable);
  Actions on_new_holder(Time now, std::uint64_t term);
  // As of `at`, a majority of the core knew of no configuration that is not here.
  void set_confirmed(Time at);
  // Whether the configuration here is known to lack a change that was agreed.
  void set_lagging(bool lagging) { lagging_ = lagging; }

  // ---- the end of this process
  // From here on, requests are begun only as the schedule allows, and sent again only where they can still end.
  void begin_drain(const DrainSchedule& schedule) { drain_ = schedule; }
  // All that is open gets its end: refused where no server has it, else its attempt is cancelled and it fails.
  Actions abort_open_requests(Time now);

  // ---- requests
  // One was turned away because there is no configuration here yet: counted only.
  void count_refusal_without_configuration() { refusals_.count(RefusalReason::no_configuration); }
  Actions on_request(Time now, const Arrival& arrival);
  // `whole`: an answer of the server is at hand that can be relayed.
  Actions on_attempt_ended(Time now, RequestId id, Outcome outcome, Duration took, bool whole);
  // The client has closed its connection, or it was closed on it: nobody waits for the answer any more. What may run
  // again ends wherever it is; what may not is still sent to nobody, and ends where a server is at work on it.
  Actions on_client_left(Time now, RequestId id);
  Actions on_grants(Time now, const UnitResponse& answer);
  Actions on_grants_failed(Time now);
  Actions tick(Time now);  // at least each 20 ms while something is open

  // Whether "not allowed" may be told by the configuration here: only where it was the newest `apply_ms` ago at most.
  // A change that was acknowledged before allows what is asked for, perhaps.
  bool may_deny(Time now) const;
  // The configuration here lacks a change that may have been acknowledged `apply_ms` ago: nothing is to be handled by
  // it. One that only could not be confirmed, as the core is out of reach, is used on.
  bool is_outdated(Time now) const;

  const Servers::Known* find_server(ServerHandle server) const { return servers_.find(server); }
  std::vector<ServerHandle> take_released_servers() { return servers_.take_released(); }
  std::size_t open_count() const { return requests_.size(); }
  OpenRequests open_requests(Time now) const;
  const DepartureCounts& departures() const { return departures_; }
  const RefusalCounts& refusals() const { return refusals_; }

 private:
  using Request = flow::Request;
  const std::string& choose_service(const configuration::Route& route);
  Request request_of(Time now, const Arrival& arrival);
  static bool bind_to_homes(Request& r, const configuration::Tenant* tenant);
  void take_unit(Time now, RequestId id, Request& r);
  void relay(RequestId id);
  void fail(RequestId id, int status);
  void end_failed_try(Time now, RequestId id, Request& r, Outcome outcome, bool whole);
  std::optional<ServerHandle> server_for_further_try(Time now, const Request& r);
  void send_on(Time now, RequestId id, Request& r);
  void send(Time now, RequestId id, Request& r, ServerHandle server);
  void refuse(RequestId id, RefusalReason reason, Duration retry_after);
  void note_departure(Time now, Request& r);
  void note_end_after_departure(Time now, const Request& r, Outcome outcome);
  void give_unit_back(Time now, const Request& r);
  void drop(RequestId id);
  void give_up(Time now, RequestId id);
  void end_given_up(Time now, RequestId id, Request& r, Outcome outcome);
  bool may_try_again(Time now, const Request& r) const;
  void after_units(Time now);
  void serve_parked(Time now);
  Time keys_valid_until() const;
  Duration back_off(const Request& r);
  Actions done() { return std::exchange(out_, {}); }

  Bounds bounds_;
  std::shared_ptr<const configuration::Configuration> configuration_;
  Servers servers_;
  Units units_;
  Repeats repeats_;
  std::mt19937_64 rng_;
  tsl::robin_map<RequestId, Request> requests_;
  std::vector<RequestId> parked_;
  std::optional<Time> confirmed_at_;
  std::optional<DrainSchedule> drain_;
  bool lagging_ = false;
  DepartureCounts departures_;
  RefusalCounts refusals_;
  Actions out_;
};

}  // namespace docklift::decisions
