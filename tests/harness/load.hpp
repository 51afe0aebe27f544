// Clients of one edge node: a mixed load of safe, keyed and unsafe requests over kept connections, each tracked by
// id from its last byte to its answer.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "net/net.hpp"
#include "platform.hpp"

namespace docklift::rigs {

struct Figures {
  std::uint64_t accepted = 0;    // requests whose last byte went to a connection that the node's machine accepted
  std::uint64_t answered = 0;    // with a whole answer
  std::uint64_t served = 0, refused = 0, failed = 0, other = 0;  // of those: 200; 429 and 503; 502; the rest
  std::uint64_t unanswered = 0;  // neither an answer nor a killed node: what must not be
  std::uint64_t to_kills = 0;    // on connections of a node that was killed
  std::uint64_t resent = 0;      // crossed the close of an idle connection, and were sent again on a new one
  std::uint64_t refused_connects = 0;  // to a node that should have been there
  std::chrono::steady_clock::time_point last_answer{};
  std::vector<double> waits_ms;  // of what was served, if keep_waits
  bool keep_waits = false;
  std::chrono::nanoseconds longest_gap{};  // between two answers, since it was last set to 0
  std::vector<std::string> faults;         // what was unanswered, in words (the first few)
};

// What is asked for, and by whom.
struct Mix {
  double safe = 0.6, keyed = 0.2;  // parts; the rest is unsafe
  std::uint64_t first_customer = 1, customers = 400;
  std::string plan;      // empty: premium for even customers, basic for odd ones
  std::size_t spread = 1;  // nodes that a customer comes to
  // Told of each request before it is sent.
  std::function<void(const std::string& id, std::uint64_t customer)> asked{};
};

class Load {
 public:
  Load(boost::asio::io_context& io, const standins::Platform& platform, const std::string& node, Figures& figures,
       std::uint64_t seed, Mix mix = {});

  // Requests a second, evenly; 0: none. What is out goes on.
  void set_rate(double per_second);
  void run();  // until stop()
  void stop() { running_ = false; }
  // New requests use new connections from now on, and none is made to a node that is known to be away.
  void node_is(bool up) { up_ = up; }
  // The node was killed: what is open there is lost, and nobody's fault.
  void killed();
  std::size_t open() const { return open_; }

 private:
  template <class T>
  using Task = boost::asio::awaitable<T, snowknot::Executor>;
  struct Link {
    explicit Link(snowknot::Socket s) : socket(std::move(s)) {}
    snowknot::Socket socket;
    bool used = false;
    bool killed = false;
  };
  using LinkPtr = std::shared_ptr<Link>;
  struct Request {
    std::string id, text;
    char effect = 's';
  };

  Task<void> pace();
  Task<void> ask(Request request);
  Task<LinkPtr> link(bool fresh);
  Request next();

  boost::asio::io_context& io_;
  const standins::Platform& platform_;
  snowknot::Tcp::endpoint node_;
  Figures& figures_;
  std::mt19937_64 random_;
  Mix mix_;
  std::uint64_t seed_, number_ = 0, kills_ = 0;
  double rate_ = 0;
  bool running_ = true, up_ = true;
  std::size_t open_ = 0;
  std::deque<LinkPtr> idle_;
  std::vector<std::weak_ptr<Link>> all_;
};

}  // namespace docklift::rigs
