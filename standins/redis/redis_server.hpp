// The Redis stand-in on sockets: a Database behind a listener on 127.0.0.1, with faults on command. Clients reach them by
//   DEBUG STANDIN DELAY ms [STEADY] | STALL ms | DROP-AFTER part | DROP-BEFORE part | GARBAGE part | LOADING ms |
//                 OOM 0|1 | READONLY 0|1 | BUSY 0|1 | CLOCK ms | FLUSH | RESTART-EMPTY | RESTART-FROM ms | NONE
// and those of a group (redis_fleet.hpp) by more words.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_socket_acceptor.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "database.hpp"
#include "net/net.hpp"

namespace docklift::standins {

struct RedisFaults {
  std::chrono::milliseconds delay{0};  // before each batch of replies
  bool steady = false;  // always that delay; else it is the mean of an exponential distribution
  std::chrono::steady_clock::time_point stalled_until{};  // no reply before
  double drop_after = 0;   // part of the batches that are applied, and then the connection is reset
  double drop_before = 0;  // part that is reset unread
  double garbage = 0;      // part that is answered by noise
  std::chrono::milliseconds clock{0};  // the server's clock is ahead by that
};

class RedisServer {
 public:
  RedisServer(boost::asio::io_context& io, DatabaseOptions options = {}, std::uint64_t seed = 1,
              const snowknot::Tcp::endpoint& at = {boost::asio::ip::address_v4::loopback(), 0});
  ~RedisServer();
  RedisServer(const RedisServer&) = delete;
  RedisServer& operator=(const RedisServer&) = delete;

  snowknot::Tcp::endpoint at() const { return at_; }
  Database& database() { return database_; }
  RedisFaults& faults() { return faults_; }
  std::size_t connections() const;
  // The process dies and starts again at once; connections are reset.
  void restart_empty();
  void restart_from(std::chrono::milliseconds ago);
  static std::int64_t now_ms();
  // Gone, with its connections, until it comes back at the same port with what it had.
  void stop();
  void listen_again();
  bool listening() const { return acceptor_.is_open(); }
  // To all that have subscribed.
  void publish(const std::string& channel, const std::string& text);
  // Further words for DEBUG STANDIN; none: not known there either.
  std::function<std::optional<std::string>(const Words&)> more_faults;

 private:
  template <class T>
  using Task = boost::asio::awaitable<T, snowknot::Executor>;
  struct Connection {
    snowknot::Socket socket;
    Client client;
    std::string out, writing;
    bool ends = false;  // once all is written
  };
  using Peer = std::shared_ptr<Connection>;

  Task<void> accept();
  Task<void> serve(Peer peer);
  void open(const snowknot::Tcp::endpoint& at);
  void send(const Peer& peer, const std::string& text);
  void flush(const Peer& peer);
  std::int64_t clock() const { return now_ms() + faults_.clock.count(); }
  std::string debug(const Words& words);
  void reset_all();
  bool chance(double part) { return part > 0 && std::uniform_real_distribution<>(0, 1)(random_) < part; }

  boost::asio::io_context& io_;
  Database database_;
  RedisFaults faults_;
  std::mt19937_64 random_;
  boost::asio::basic_socket_acceptor<snowknot::Tcp, snowknot::Executor> acceptor_;
  snowknot::Tcp::endpoint at_;
  std::vector<std::weak_ptr<Connection>> peers_;
  std::uint64_t life_ = 0;
};

}  // namespace docklift::standins
