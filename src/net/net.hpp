// What all sockets of the edge node share: types, the fleet's clock and one queue of timers.
#pragma once

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

#include "snowknot/gateway.hpp"

namespace snowknot {

namespace asio = boost::asio;
using boost::system::error_code;
using Tcp = asio::ip::tcp;
using Executor = asio::io_context::executor_type;
using Socket = asio::basic_stream_socket<Tcp, Executor>;

inline void note(std::string_view text) { std::cerr << text << '\n'; }

// ADDRESS:PORT as configurations have it.
inline std::string shown(const Tcp::endpoint& at) {
  std::ostringstream text;
  text << at;
  return text.str();
}

// The address in a text of address and port, or none.
std::optional<Tcp::endpoint> endpoint_of(std::string_view text);

// Closes at once; what the peer has not read yet may be lost.
inline void close_now(Socket& socket) {
  error_code ignored;
  socket.close(ignored);
}

// Small messages go out at once.
inline void set_no_delay(Socket& socket) {
  error_code ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
}

// Unix time, read once and advanced by the steady clock: the nodes agree on it and it never goes backwards.
class Clock {
 public:
  using Steady = std::chrono::steady_clock;
  Time now() const { return Time(unix_ + (Steady::now() - steady_)); }
  Steady::time_point steady(Time t) const { return steady_ + (t.time_since_epoch() - unix_); }

 private:
  Duration unix_ = std::chrono::system_clock::now().time_since_epoch();
  Steady::time_point steady_ = Steady::now();
};

// All timers of the process on one operating-system timer: a time-out that is set and dropped costs no call.
class Timers {
 public:
  using Queue = std::multimap<Time, std::function<void()>>;
  using Handle = std::optional<Queue::iterator>;

  Timers(asio::io_context& io, const Clock& clock) : clock_(clock), timer_(io.get_executor()) {}

  Time now() const { return clock_.now(); }

  Handle at(Time when, std::function<void()> what) {
    const auto it = queue_.emplace(when, std::move(what));
    if (when < armed_) arm();
    return it;
  }
  Handle after(Duration delay, std::function<void()> what) { return at(now() + delay, std::move(what)); }

  void cancel(Handle& handle) {
    if (const auto it = std::exchange(handle, std::nullopt)) queue_.erase(*it);
  }

 private:
  void arm() {
    armed_ = queue_.begin()->first;
    timer_.expires_at(clock_.steady(armed_));
    timer_.async_wait([this](const error_code& failed) {
      if (!failed) run_due();
    });
  }
  void run_due() {
    armed_ = Time::max();
    const Time until = now();
    while (!queue_.empty() && queue_.begin()->first <= until) {
      const auto due = queue_.extract(queue_.begin());
      try {
        due.mapped()();
      } catch (const std::exception& x) {
        note(std::string("a timer failed: ") + x.what());
      }
    }
    if (!queue_.empty() && queue_.begin()->first < armed_) arm();
  }

  const Clock& clock_;
  asio::basic_waitable_timer<Clock::Steady, asio::wait_traits<Clock::Steady>, Executor> timer_;
  Queue queue_;
  Time armed_ = Time::max();
};

}  // namespace snowknot
