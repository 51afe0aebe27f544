// A fleet of real docklift processes among our stand-ins, every link of which runs through a relay that can fail: node to node by UDP, node to the
// counter and to discovery by TCP. Faults are played from a schedule on the wall clock, or by hand.
#pragma once

#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "links.hpp"
#include "platform.hpp"
#include "process.hpp"
#include "relay.hpp"
#include "schedule.hpp"

namespace docklift::faults {

struct FleetOptions {
  std::size_t nodes = 4;
  bool peers = true;
  std::uint64_t seed = 1;
  double ceiling = 0;              // units a second of the premium plan; 0: as the stand-in has it
  std::string interval = "100ms";  // between probes
  standins::PlatformOptions platform{};
  std::string more{};              // lines for the operator's file
  std::vector<std::string> names{};       // of the first nodes, where they are not n0, n1 and so on
  std::vector<int> clocks_ms{};           // by which the clocks of the first nodes are off
  bool relays = false;                    // also before the app servers, and before the nodes for their clients
  bool disks = false;                     // [state] in the operator's files
  std::string state{};                    // lines of it
  std::vector<std::string> more_of{};     // lines for [peers] in the operator's file of one of the first nodes
};

class ProcessFleet {
 public:
  ProcessFleet(boost::asio::io_context& io, FleetOptions options);
  ~ProcessFleet();  // ends all that it has started
  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;

  standins::Platform& platform() { return platform_; }
  std::size_t size() const { return nodes_.size(); }
  // What a peer of the caller's own needs: the fleet's secret, and where a node hears the others.
  const std::string& secret() const { return secret_; }
  std::string heard_at(std::size_t i) const { return nodes_.at(i)->relay->address(); }
  const std::string& listen(std::size_t i) const { return nodes_.at(i)->process.listen(); }
  bool up(std::size_t i) const { return nodes_.at(i)->up; }
  rigs::NodeProcess& process(std::size_t i) { return nodes_.at(i)->process; }
  void start(std::size_t i);
  void kill(std::size_t i);   // SIGKILL, and waited for
  // All that are up at once, with what their disks had not synced; the store too, if it is to lose its counts.
  void power_cut(bool store_too);
  void pause(std::size_t i, bool on);
  void stop(std::size_t i);   // SIGTERM, and waited for
  // SIGUSR2, and waited for the successor to hold the pid file and the former process to end. False if it does not within `limit`.
  bool upgrade(std::size_t i, std::chrono::milliseconds limit);
  // GET of the node's operators' door; nothing if it does not answer.
  std::string door(std::size_t i, const std::string& path) const;
  nlohmann::json fleet(std::size_t i) const;  // of /_fleet; null
  bool ready(std::size_t i) const;            // GET /-/ready on its listener

  // ---- Faults on links: seconds of the play, which begins with the object ----------------------------------
  double now() const;
  void fault(Fault f) { faults_.push_back(std::move(f)); }
  void heal() { faults_.clear(); }
  TcpRelay& discovery(std::size_t i) { return *nodes_.at(i)->discovery; }
  TcpRelay& server(std::size_t i) { return *servers_.at(i); }  // with `relays`
  TcpRelay& clients(std::size_t i) { return *nodes_.at(i)->clients; }
  // Where clients come.
  std::string entrance(std::size_t i) const { return nodes_.at(i)->clients ? nodes_.at(i)->clients->address() : listen(i); }
  TcpRelay& counter(std::size_t i) { return *nodes_.at(i)->counter; }

  // All nodes that are up hold each other for alive, the others for dead or gone, and their copies are equal.
  bool converged() const;
  bool sees(std::size_t who, std::size_t whom, const std::string& state) const;

 private:
  struct Node {
    explicit Node(rigs::NodeProcess p) : process(std::move(p)) {}
    rigs::NodeProcess process;
    std::string door, peers;
    std::unique_ptr<TcpRelay> discovery, counter, clients;
    std::unique_ptr<UdpRelay> relay;
    bool up = false, paused = false;
  };

  boost::asio::io_context& io_;
  FleetOptions options_;
  standins::Platform platform_;
  std::filesystem::path home_;
  std::string secret_;
  Random random_;
  std::vector<Fault> faults_;
  std::chrono::steady_clock::time_point began_ = std::chrono::steady_clock::now();
  std::map<UdpRelay::Udp::endpoint, std::size_t> by_address_;
  std::vector<std::unique_ptr<TcpRelay>> servers_;
  std::vector<std::unique_ptr<Node>> nodes_;
};

// One answer of an HTTP server at an address, its body; nothing within `limit`. Waits: for servers of other processes.
std::string get(const std::string& address, const std::string& path, std::chrono::milliseconds limit, int* status = nullptr);

}  // namespace docklift::faults
