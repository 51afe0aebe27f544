// What one proxy knows about the servers, and the choice of a server for a request. No I/O; callers pass the
// time.
//
// Invariants: a server that is draining, gone or in an evacuated zone is never chosen; a request that is
// pinned to regions goes to no other region; over all proxies, a cold server gets at most the rate it
// announced, plus one request for each of kMaxColdSenders proxies.
#pragma once

#include <tsl/robin_map.h>

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "system/base/settings.hpp"
#include "system/base/time.hpp"
#include "system/configuration/configuration.hpp"
#include "system/fleet/records.hpp"

namespace docklift::decisions {

using ServerHandle = std::uint32_t;
inline constexpr ServerHandle kNoServer = 0xffffffffU;

// How an attempt at a server ended.
enum class Outcome {
  ok,                // a complete response
  error,             // a complete response that reports a failure; it ran
  not_run,           // a response that says it has not run
  other_instance,    // another server has the address; it has not run
  connect_failed,    // never sent
  reset,             // the connection ended or timed out; it may have run
  invalid_response,  // no valid response to this request; it may have run
  timeout,           // its deadline passed
  // Cancelled by this proxy, as the client disconnected or a drain aborts; says nothing about the server.
  cancelled_unsent,  // before a byte of it was written; it has not run
  cancelled,         // it may have run
};
bool proves_not_run(Outcome o);

// Identity and location of this proxy.
struct ProxyIdentity {
  std::string id, zone, region;
};

struct ServerInfo {
  std::string id, address, service, zone;
  bool listed = false;  // by the registries
};

namespace detail {  // robin_map needs complete types
struct Server {
  ServerInfo info;
  std::string region;
  fleet::Phase phase = fleet::Phase::READY;
  std::uint64_t calls = 0;  // of the newest record that was merged
  std::uint32_t cap = 1, in_flight = 0;
  Time received_at{}, cold_until{};
  Time warmth_unknown_since{};  // its zone was readmitted, and it has sent no heartbeat since
  double success_rate = 1, slowness = 1;
  Time ejected_until{};
  Time waiting_since{};  // with requests in flight: its last response, or when the first of them was sent
  Duration cancelled_wait{};            // how long cancelled requests waited in vain since its last response
  Time cancelled_at{};                  // when the last of them was cancelled
  Duration ejection{};                  // length of the last ejection
  double cold_tokens = 0;               // requests that this proxy may send to it while it is cold
  Time cold_tokens_at{};                // as of which `cold_tokens` holds
  bool cold_sender = false;             // whether this proxy may send to it while it is cold
  std::uint64_t ranked_generation = 0;  // of the proxies, as of which `cold_sender` holds; 0: none
  bool in_use = false;                  // whether this entry of the table is
};
struct Service {
  std::vector<ServerHandle> servers;
  double mean_latency_s = 0;  // EWMA; 0: no response yet
  double cold_per_s = 0;
  std::uint32_t max_conns = 0;  // at each server, of all proxies together; 0: no limit
};
struct ProxyMember {
  std::string zone;
  std::uint64_t hash = 0;  // of its id
};
}  // namespace detail

// The table of servers, with the load and health of each as seen by this proxy.
class Servers {
 public:
  using Info = ServerInfo;
  Servers(ProxyIdentity self, std::map<std::string, std::string> regions_of_zones, const Bounds& bounds,
          std::uint64_t random_seed);

  void configure(const configuration::Configuration& c);
  // Merges records as registries send them; those older than the known ones are ignored.
  void update(Time now, const std::vector<fleet::Server>& changed);
  void set_proxies(const std::vector<std::string>& zone_and_id);
  void set_evacuated(const std::vector<std::string>& zones);
  // The servers of these zones may have turned cold; they are treated as cold until their next heartbeat.
  void on_readmitted(Time now, const std::vector<std::string>& zones);

  enum class Pick {
    server,
    full,
    none
  };  // full: all eligible servers are at their limit; none: no server is eligible
  // `tried`: servers that the request was sent to before.
  Pick choose(Time now, const std::string& name, const std::vector<std::string>& regions,
              const std::vector<ServerHandle>& tried, ServerHandle& chosen);
  void on_sent(Time now, ServerHandle server);
  void on_attempt_ended(Time now, ServerHandle server, Outcome outcome, Duration took);

  const Info* find(ServerHandle server) const;
  // Handles released since the last call: of servers that are no longer listed and have nothing in flight.
  std::vector<ServerHandle> take_released() { return std::exchange(released_, {}); }
  std::size_t size() const { return by_id_.size(); }

 private:
  using Server = detail::Server;
  using Service = detail::Service;
  using ProxyMember = detail::ProxyMember;
  bool is_cold(Time now, const Server& s) const;
  bool may_send_cold(Time now, Server& s, const Service& service);
  bool is_cold_sender(Server& s) const;
  double max_in_flight(const Service& service) const;
  double load_of_other_proxies(const Service& service) const;
  double cost(Time now, const Server& s, const Service& service, double others_load);
  static Duration unresponsive_time(Time now, const Server& s);
  static void on_cancelled(Time now, Server& s);
  void unlist(ServerHandle h);
  void release_if_unused(ServerHandle server);  // once it is unlisted and nothing is in flight

  ProxyIdentity self_;
  std::map<std::string, std::string> regions_;
  Bounds bounds_;
  std::mt19937_64 rng_;
  std::vector<Server> servers_;
  std::vector<ServerHandle> free_, released_;
  tsl::robin_map<std::string, ServerHandle> by_id_;
  tsl::robin_map<std::string, Service> services_;
  std::vector<ProxyMember> proxies_;
  std::uint64_t proxies_generation_ = 0;  // how often the list was received
  std::map<std::string, std::size_t> proxies_by_zone_;
  std::vector<std::string> evacuated_;
};

}  // namespace docklift::decisions
