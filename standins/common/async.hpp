// What coroutines of stand-ins and rigs share.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>

#include "net/net.hpp"

namespace docklift::async {

namespace asio = boost::asio;
using snowknot::error_code;
using Steady = std::chrono::steady_clock;
using Timer = asio::basic_waitable_timer<Steady, asio::wait_traits<Steady>, snowknot::Executor>;
template <class T>
using Task = asio::awaitable<T, snowknot::Executor>;
using SocketPtr = std::shared_ptr<snowknot::Socket>;

inline constexpr asio::use_awaitable_t<snowknot::Executor> kAwait;

// Awaits with the error in `failed` rather than thrown.
inline auto into(error_code& failed) { return asio::redirect_error(kAwait, failed); }

inline Task<void> pause(asio::io_context& io, std::chrono::nanoseconds time) {
  Timer timer(io.get_executor(), time);
  error_code ignored;
  co_await timer.async_wait(into(ignored));
}

// The other side sees a broken connection, as when the process dies.
inline void reset(const SocketPtr& socket) {
  if (!socket || !socket->is_open()) return;
  error_code ignored;
  socket->set_option(asio::socket_base::linger(true, 0), ignored);
  socket->close(ignored);
}

}  // namespace docklift::async
