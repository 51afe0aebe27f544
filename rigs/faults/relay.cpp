#include "relay.hpp"

#include <boost/asio/write.hpp>

namespace docklift::faults {

namespace asio = boost::asio;
using snowknot::error_code;
using snowknot::Executor;
using snowknot::Socket;
using Timer = asio::basic_waitable_timer<std::chrono::steady_clock, asio::wait_traits<std::chrono::steady_clock>, Executor>;

UdpRelay::UdpRelay(asio::io_context& io, const Udp::endpoint& to, Ways ways)
    : io_(io), to_(to), ways_(std::move(ways)), socket_(io.get_executor(), Udp::endpoint(asio::ip::address_v4::loopback(), 0)) {
  receive();
}

std::string UdpRelay::address() const {
  const auto at = socket_.local_endpoint();
  return at.address().to_string() + ":" + std::to_string(at.port());
}

void UdpRelay::receive() {
  socket_.async_receive_from(asio::buffer(space_), from_, [this](const error_code& failed, std::size_t bytes) {
    if (failed == asio::error::operation_aborted) return;
    if (!failed) {
      const auto all = ways_(from_);
      all.empty() ? ++lost_ : ++passed_;
      for (const auto seconds : all) {
        if (seconds <= 0) {
          error_code ignored;
          socket_.send_to(asio::buffer(space_, bytes), to_, 0, ignored);
          continue;
        }
        const auto kept = std::make_shared<std::string>(space_.data(), bytes);
        const auto timer = std::make_shared<Timer>(io_.get_executor(), std::chrono::nanoseconds(static_cast<std::int64_t>(seconds * 1e9)));
        timer->async_wait([this, kept, timer](const error_code& stopped) {
          error_code ignored;
          if (!stopped) socket_.send_to(asio::buffer(*kept), to_, 0, ignored);
        });
      }
    }
    receive();
  });
}

// Two connections; each side's bytes go to the other in order, held while there is silence.
struct TcpRelay::Pipe : std::enable_shared_from_this<Pipe> {
  Pipe(TcpRelay& r, Socket a, Socket b) : relay(r), ends{std::move(a), std::move(b)}, timers{Timer(ends[0].get_executor()), Timer(ends[1].get_executor())} {}
  void pump(std::size_t from) {
    if (relay.silent_) return wait(from, std::chrono::milliseconds(5), [self = shared_from_this(), from] { self->pump(from); });
    ends[from].async_read_some(asio::buffer(space[from]), [self = shared_from_this(), from](const error_code& failed, std::size_t n) {
      if (failed) return self->end();
      self->pass(from, n, from == 1 ? self->relay.delay_ : std::chrono::nanoseconds{});
    });
  }
  void pass(std::size_t from, std::size_t n, std::chrono::nanoseconds delay) {
    if (delay.count() > 0) return wait(from, delay, [self = shared_from_this(), from, n] { self->pass(from, n, {}); });
    if (relay.silent_) return wait(from, std::chrono::milliseconds(5), [self = shared_from_this(), from, n] { self->pass(from, n, {}); });
    asio::async_write(ends[1 - from], asio::buffer(space[from], n), [self = shared_from_this(), from](const error_code& failed, std::size_t) {
      if (failed) return self->end();
      self->pump(from);
    });
  }
  template <class F>
  void wait(std::size_t which, std::chrono::nanoseconds time, F then) {
    timers[which].expires_after(time);
    timers[which].async_wait([then = std::move(then), self = shared_from_this()](const error_code& stopped) {
      if (!stopped) then();
    });
  }
  void end() {
    for (auto& t : timers) t.cancel();
    for (auto& e : ends) snowknot::close_now(e);
  }
  void reset() {
    error_code ignored;
    for (auto& e : ends) e.set_option(asio::socket_base::linger(true, 0), ignored);
    end();
  }
  TcpRelay& relay;
  std::array<Socket, 2> ends;
  std::array<Timer, 2> timers;
  std::array<std::array<char, 16 * 1024>, 2> space{};
};

TcpRelay::TcpRelay(asio::io_context& io, const snowknot::Tcp::endpoint& to)
    : io_(io), to_(to), acceptor_(io.get_executor(), snowknot::Tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
  accept();
}

TcpRelay::~TcpRelay() {
  for (const auto& w : pipes_)
    if (const auto p = w.lock()) p->end();
}

std::string TcpRelay::address() const { return snowknot::shown(acceptor_.local_endpoint()); }

void TcpRelay::accept() {
  acceptor_.async_accept([this](const error_code& failed, Socket client) {
    if (failed == asio::error::operation_aborted) return;
    if (!failed) {
      auto server = std::make_shared<Socket>(io_.get_executor());
      auto held = std::make_shared<Socket>(std::move(client));
      server->async_connect(to_, [this, server, held](const error_code& refused) {
        if (refused) return snowknot::close_now(*held);
        snowknot::set_no_delay(*server);
        snowknot::set_no_delay(*held);
        const auto pipe = std::make_shared<Pipe>(*this, std::move(*held), std::move(*server));
        std::erase_if(pipes_, [](const auto& w) { return w.expired(); });
        pipes_.push_back(pipe);
        pipe->pump(0);
        pipe->pump(1);
      });
    }
    accept();
  });
}

void TcpRelay::silence(bool on) { silent_ = on; }

void TcpRelay::reset_all() {
  for (const auto& w : std::exchange(pipes_, {}))
    if (const auto p = w.lock()) p->reset();
}

}  // namespace docklift::faults
