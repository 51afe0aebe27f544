// A fleet of the system's programs as processes on 127.0.0.0/8: machines with a store and a registry each,
// and proxies. All links between machines run through relays that can be cut. The caller acts as the
// operator. Runs on one io_context and one thread; waits for events with a time limit.
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

// A response that a client or operator received.
struct HttpResponse {
  int status = 0;  // 0: no response in time
  std::string body;
};

class ProcessFleet {
 public:
  // Prepares core machines 1 to `core`, each in its own zone ("z1", ...), for their first start. Starts none
  // of them.
  explicit ProcessFleet(int core);
  ~ProcessFleet();  // kills all processes and removes their files
  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;

  void start_core(int machine);
  // Starts a machine with an empty disk that joins in the zone of another.
  void start_replacement(int machine, int in_zone_of);
  void start_proxy(int machine);
  // Sends SIGKILL to its processes and waits until they have ended. Its files stay.
  void kill(int machine);
  // Sends SIGTERM to its processes as often as `signals` says. Returns their exit codes when all have ended, or
  // nullopt if that takes longer than `limit`.
  enum class TerminationSignals { once, twice, until_ended };
  std::optional<std::vector<int>> terminate(int machine, Duration limit,
                                            TerminationSignals signals = TerminationSignals::once);
  void restart(int machine);

  // Blocks what `from` sends to `to`, or lets it pass again.
  void cut(int from, int to, bool blocked);
  // Does so in both directions between a machine and all others.
  void isolate(int machine, bool blocked);

  // Runs the event loop until `done`; false if that takes longer than `limit`.
  bool until(const std::function<bool()>& done, Duration limit);
  // Sends one request. `fields`: additional lines of the head, each ending with CRLF.
  HttpResponse exchange(const std::string& address, const std::string& method, const std::string& path,
                        const std::string& body, Duration limit, const std::string& fields = "");

  // ---- The operator
  // Sends a command to a machine once, with a timeout of a second.
  HttpResponse send_command(int machine, const std::string& path, const std::string& body);
  // Sends the same command to these machines in turn until one responds definitely, with 2xx or 4xx. Status
  // 0: none did.
  HttpResponse send_command_until_definite(const std::vector<int>& machines, const std::string& path,
                                           const std::string& body, Duration limit);
  // Sends a client's request to a proxy, with a key of config_body's tenant.
  HttpResponse send_request(int proxy, const std::string& path);
  // The version that Config.Read returns at a machine; 0 without a response.
  std::uint64_t version_at(int machine);

  std::string ctl(int machine) const;
  std::string http(int machine) const;
  std::string ip(int machine) const;
  // The last lines logged by a machine's processes, for failure messages.
  std::string log(int machine) const;

 private:
  struct Machine {
    std::string zone;
    bool bootstrap = false;
    bool core = true;
    std::vector<pid_t> processes;
  };
  void start(int machine);
  pid_t spawn(int machine, const std::string& program);
  std::string write_settings(int machine) const;
  std::string relay_ip(int from, int to) const;
  std::string directory(int machine) const;
  void add_relays(int machine);

  std::uint16_t first_port_;
  std::filesystem::path directory_;
  boost::asio::io_context io_{1};
  std::map<int, Machine> machines_;
  std::uint64_t last_attempt_id_ = 0;
  std::map<std::pair<int, int>, std::vector<std::unique_ptr<LinkRelay>>> relays_;  // from, to
};

}  // namespace docklift::test
