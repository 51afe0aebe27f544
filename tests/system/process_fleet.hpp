// A fleet of the system's programs as processes on 127.0.0.0/8: machines with a store and a registry each, and proxies.
// All links between machines run through relays that can be cut. The caller is the operator. One io_context, one thread;
// what is waited for is an event with a limit.
#pragma once

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "link_relay.hpp"
#include "system/base/time.hpp"

namespace docklift::test {

struct HttpAnswer {
  int status = 0;  // 0: none came in time
  std::string body;
};

class ProcessFleet {
 public:
  // Core machines 1 to `core`, each in a zone of its own ("z1", ...), at their first start; none of them has begun.
  explicit ProcessFleet(int core);
  ~ProcessFleet();  // ends all its processes, and removes their files
  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;

  void start_core(int machine);
  // A machine with an empty disk that joins, in the zone of another.
  void start_replacement(int machine, int in_zone_of);
  void start_proxy(int machine);
  // SIGKILL to its processes, and waits for their ends. Its files stay.
  void kill(int machine);
  // SIGTERM to its processes, twice where `again`. Their exit codes when all have ended; none where that takes longer
  // than `limit`.
  std::optional<std::vector<int>> terminate(int machine, Duration limit, bool again = false);
  void restart(int machine);

  // Cuts what `from` sends to `to`, or joins it again.
  void cut(int from, int to, bool on);
  // Both directions between a machine and all others.
  void cut_off(int machine, bool on);

  // Runs the loop until `done`; false if it is not within `limit`.
  bool until(const std::function<bool()>& done, Duration limit);
  // `fields`: further lines of the head, each with its line end.
  HttpAnswer call(const std::string& address, const std::string& method, const std::string& path,
                  const std::string& body, Duration limit, const std::string& fields = "");

  // ---- The operator
  // One try at a machine, within a second.
  HttpAnswer order(int machine, const std::string& path, const std::string& body);
  // The same order to these machines in turn until one gives a clear answer: 2xx or 4xx. Status 0: none did.
  HttpAnswer order_until_clear(const std::vector<int>& machines, const std::string& path,
                               const std::string& body, Duration limit);
  // A client's request at a proxy, with a key of config_body's tenant.
  HttpAnswer ask(int proxy, const std::string& path);
  // What Config.Read of a machine gives, as version; 0 without an answer.
  std::uint64_t version_at(int machine);

  std::string ctl(int machine) const;
  std::string http(int machine) const;
  std::string ip(int machine) const;
  // The last lines that a machine's processes logged, for a failure's report.
  std::string log(int machine) const;

 private:
  struct Machine {
    std::string zone;
    bool bootstrap = false;
    bool core = true;
    std::vector<pid_t> running;
  };
  void start(int machine);
  pid_t spawn(int machine, const std::string& program);
  std::string write_settings(int machine) const;
  std::string relay_ip(int from, int to) const;
  std::string folder(int machine) const;
  void join_by_relays(int machine);

  std::uint16_t first_port_;
  std::filesystem::path folder_;
  boost::asio::io_context io_{1};
  std::map<int, Machine> machines_;
  std::uint64_t requests_ = 0;
  std::map<std::pair<int, int>, std::vector<std::unique_ptr<LinkRelay>>> relays_;  // from, to
};

}  // namespace docklift::test
