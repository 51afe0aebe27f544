// A stand-in for the platform that edge nodes live on: app servers, discovery and the counter, in one event loop on
// 127.0.0.1, speaking PROTOCOL's messages, with faults on command. As a library for tests and rigs, and as the
// program build/standins/platform. It keeps a ledger of every request that reached an app server.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/net.hpp"

namespace docklift::standins {

namespace asio = boost::asio;
using Milliseconds = std::chrono::milliseconds;

struct PlatformOptions {
  std::size_t servers = 4;
  std::uint64_t seed = 1;
  Milliseconds work{3};  // mean of the time that a request takes, exponentially distributed
  std::size_t most_at_once = 64;  // requests at one app server; more are turned away
};

// What an app server does beside its work.
struct ServerFaults {
  Milliseconds slow{0};    // longer for each request
  double error = 0;        // part of the requests that run and are answered 500
  double reset = 0;        // part of the requests after whose last byte the connection is reset; half of them ran
  double turn_away = 0;    // part answered 503 with X-Not-Processed
};

struct CounterFaults {
  Milliseconds slow{0};
  double busy = 0;   // part of the calls turned away, nothing added
  double drop = 0;   // part of the calls added, and then the connection is reset
};

class Platform {
 public:
  Platform(asio::io_context& io, PlatformOptions options);
  ~Platform();
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;

  std::string discovery_address() const;
  std::string counter_address() const;
  std::string server_address(std::size_t i) const;
  std::size_t servers() const { return servers_.size(); }
  // The lists name another address for it, a relay's, say. Before the first list is given.
  void show_server_at(std::size_t i, const std::string& address) { servers_.at(i)->shown_at = address; }

  // The configuration (DEPLOY's GW_CONFIG) of one of `nodes` edge nodes: classes route (safe), notice-keyed (keyed)
  // and gate-notice (unsafe), plans basic and premium.
  nlohmann::json node_config(std::size_t index, std::size_t nodes, const std::string& listen) const;

  // ---- Faults ---------------------------------------------------------------------------------------------
  ServerFaults& faults(std::size_t server) { return servers_.at(server)->faults; }
  CounterFaults& counter_faults() { return counter_faults_; }
  void drain(std::size_t server);   // told DRAINING; goes on answering
  void serve(std::size_t server);   // told SERVING
  void remove(std::size_t server);  // told DELETED, and its process ends
  // Its process dies, and another listens at its address after `down`.
  void restart(std::size_t server, Milliseconds down);
  void restart_counter();  // empty, all connections reset
  void break_watches();    // all connections to discovery

  // ---- What was seen --------------------------------------------------------------------------------------
  struct Entry {
    char effect = 's';       // s, k, u
    std::uint32_t came = 0;  // how often its last byte came to an app server
    std::uint32_t ran = 0;   // and how often it had its effect
    std::uint32_t turned_away = 0;  // how often it was answered 503 with X-Not-Processed: never begun, free to be sent on
  };
  const std::unordered_map<std::string, Entry>& ledger() const { return ledger_; }
  std::uint64_t came_to(std::size_t server) const { return servers_.at(server)->came; }
  // Called with the id of each request whose last byte has come to an app server.
  std::function<void(const std::string&)> on_arrival;
  // Unsafe requests that an app server took more than once, and those that were sent on after being turned away.
  std::uint64_t unsafe_twice() const;
  std::uint64_t unsafe_sent_on() const;  // unsafe requests that came more than once
  std::uint64_t counter_calls() const { return counter_calls_; }
  double units_leased() const { return units_leased_; }

 private:
  template <class T>
  using Task = asio::awaitable<T, snowknot::Executor>;
  using Acceptor = asio::basic_socket_acceptor<snowknot::Tcp, snowknot::Executor>;
  using SocketPtr = std::shared_ptr<snowknot::Socket>;

  struct Server {
    explicit Server(Acceptor a) : acceptor(std::move(a)), at(acceptor.local_endpoint()) {}
    Acceptor acceptor;
    snowknot::Tcp::endpoint at;
    std::string id, phase = "SERVING", shown_at{};
    std::int64_t up_since_ms = 0;
    std::size_t busy = 0, life = 0;
    std::uint64_t came = 0;
    ServerFaults faults;
    std::vector<std::weak_ptr<snowknot::Socket>> sockets;
    std::unordered_map<std::string, bool> keys;  // keyed requests that ran: repeats are dropped
  };
  struct Count {
    double total = 0;
    std::chrono::steady_clock::time_point ends;
  };
  struct Watcher {
    SocketPtr socket;
    std::shared_ptr<asio::basic_waitable_timer<std::chrono::steady_clock,
                                               asio::wait_traits<std::chrono::steady_clock>, snowknot::Executor>> wake;
  };

  Acceptor listener(std::uint16_t port = 0);
  Task<void> accept(Acceptor& acceptor, std::function<void(SocketPtr)> took);
  void open_server(Server& server);
  Task<void> serve_app(Server& server, SocketPtr socket);
  Task<void> serve_counter(SocketPtr socket);
  Task<void> serve_discovery(SocketPtr socket);
  Task<void> watch(SocketPtr socket, std::uint64_t from);
  void changed(Server& server);
  nlohmann::json member(const Server& server) const;
  nlohmann::json list() const;
  bool chance(double part) { return part > 0 && std::uniform_real_distribution<>(0, 1)(random_) < part; }
  template <class Body>
  void spawn(Body body);

  asio::io_context& io_;
  PlatformOptions options_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Server>> servers_;
  Acceptor discovery_, counter_;
  CounterFaults counter_faults_;
  std::unordered_map<std::string, Count> counts_;
  std::vector<std::weak_ptr<snowknot::Socket>> counter_sockets_, watch_sockets_;
  std::uint64_t revision_ = 1, counter_calls_ = 0;
  std::vector<std::pair<std::uint64_t, nlohmann::json>> changes_;  // by revision
  std::vector<Watcher> watchers_;
  std::unordered_map<std::string, Entry> ledger_;
  double units_leased_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace docklift::standins
