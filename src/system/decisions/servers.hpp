// What one proxy holds of the servers, and which of them a request goes to. Pure.
//
// Invariants: a server that drains, is gone or stands in an evacuated zone is never chosen; a request with
// homes goes to no other region; over all proxies a cold server gets at most its told rate and one request
// more for each of kColdSharers proxies.
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

enum class Outcome {
  ok,                // a whole answer of the server
  error,             // a whole answer that says that it failed; it ran
  not_run,           // an answer that says it has not run
  other_instance,    // another server has the address; not run
  connect_failed,    // never sent
  reset,             // the connection ended or was silent; it may have run
  invalid_response,  // no answer to this request; it may have run
  timeout,           // its time was up
  // Ended here, as its client had left: says nothing of the server.
  cancelled_unsent,  // before a byte of it was written; not run
  cancelled,         // it may have run
};
bool proves_not_run(Outcome o);

struct Place {
  std::string id, zone, region;
};

struct Known {
  std::string id, address, service, zone;
  bool listed = false;
};

namespace servers {  // complete before the tables of them
struct Server {
  Known known;
  std::string region;
  fleet::Phase phase = fleet::Phase::READY;
  std::uint64_t calls = 0;
  std::uint32_t cap = 1, in_flight = 0;
  Time heard{}, cold_until{}, unsure_since{};
  double success = 1, slowness = 1;
  Time ejected_until{};
  Time silent_since{};       // with requests out: the last word of it, or when the first of them was sent
  Duration silent_before{};  // it was silent so long to requests that were cancelled, since its last word
  Time cancelled_at{};       // when the last of them was
  Duration ejection{};
  double credit = 0;
  Time credit_at{};
  bool sharer = false;                  // may send to it while it is cold
  std::uint64_t ranked_generation = 0;  // of the proxies, as of which `sharer` holds; 0: none
  bool used = false;                    // the slot
};
struct Service {
  std::vector<ServerHandle> servers;
  double usual = 0;  // seconds: EWMA of answers
  double cold_per_s = 0;
  std::uint32_t max_conns = 0;  // at each server, of all proxies together; 0: no bound
};
struct ProxyMember {
  std::string zone;
  std::uint64_t hash = 0;  // of its id
};
}  // namespace servers

class Servers {
 public:
  using Known = decisions::Known;
  Servers(Place self, std::map<std::string, std::string> regions_of_zones, const Bounds& bounds,
          std::uint64_t chance);

  void configure(const configuration::Configuration& c);
  // Records as registries tell them; what is older than what is known is passed over.
  void news(Time now, const std::vector<fleet::Server>& changed);
  void set_proxies(const std::vector<std::string>& zone_and_id);
  void set_evacuated(const std::vector<std::string>& zones);
  // Their servers may have turned cold: they count as cold until they have told anew.
  void readmitted(Time now, const std::vector<std::string>& zones);

  enum class Pick {
    server,
    full,
    none
  };  // full: all that could take it have enough; none: there is no server for it
  // `tried`: servers that it was sent to before.
  Pick choose(Time now, const std::string& name, const std::vector<std::string>& regions,
              const std::vector<ServerHandle>& tried, ServerHandle& chosen);
  void sent(Time now, ServerHandle server);
  void ended(Time now, ServerHandle server, Outcome outcome, Duration took);

  const Known* find(ServerHandle server) const;
  // Handles of servers that are no longer listed and at which nothing is out, since the last call.
  std::vector<ServerHandle> take_released() { return std::exchange(dropped_, {}); }
  std::size_t size() const { return by_id_.size(); }

 private:
  using Server = servers::Server;
  using Service = servers::Service;
  using ProxyMember = servers::ProxyMember;
  bool is_cold(Time now, const Server& s) const;
  bool may_take_cold(Time now, Server& s, const Service& service);
  bool shares_cold(Server& s) const;
  double connections_allowed(const Service& service) const;
  double load_by_others(const Service& service) const;
  double cost(Time now, const Server& s, const Service& service, double by_others);
  static Duration silence(Time now, const Server& s);
  static void note_cancelled(Time now, Server& s);
  void unlist(ServerHandle h);
  void release_if_unlisted(ServerHandle server);  // as soon as nothing is out there

  Place self_;
  std::map<std::string, std::string> regions_;
  Bounds bounds_;
  std::mt19937_64 rng_;
  std::vector<Server> servers_;
  std::vector<ServerHandle> free_, dropped_;
  tsl::robin_map<std::string, ServerHandle> by_id_;
  tsl::robin_map<std::string, Service> services_;
  std::vector<ProxyMember> proxies_;
  std::uint64_t proxies_generation_ = 0;  // how often they were told
  std::map<std::string, std::size_t> proxies_in_;
  std::vector<std::string> evacuated_;
};

}  // namespace docklift::decisions
