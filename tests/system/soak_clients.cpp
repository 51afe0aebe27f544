#include "soak_clients.hpp"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "system/http/head.hpp"

namespace docklift::test {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using namespace std::chrono_literals;

constexpr Duration kPause = 30ms;        // from a response to the next request
constexpr Duration kReadWithin = 200ms;  // a proxy that runs has read a request after that: lost_slack_ms
constexpr std::size_t kMaxHeadBytes = 16384;

std::string free_address() {
  asio::io_context io;
  const Acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

standin::ScriptedResponse respond(const standin::ReceivedRequest& request) {
  return standin::ok_response(request, "hello");
}

}  // namespace

// One client: a request at a time, on one connection for as long as that lasts.
class SoakClients::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(SoakClients& owner, std::size_t number)
      : owner_(owner),
        id_("c" + std::to_string(number)),
        next_proxy_(number),
        socket_(owner.io_.get_executor()),
        limit_timer_(owner.io_.get_executor()),
        pause_timer_(owner.io_.get_executor()) {}

  void connect() {
    input_.clear();
    socket_ = Socket(owner_.io_.get_executor());
    const auto& proxies = owner_.options_.proxies;
    const auto endpoint = *snowknot::endpoint_of(proxies[next_proxy_++ % proxies.size()]);
    socket_.async_connect(endpoint, [self = shared_from_this()](error_code error) {
      if (error) return self->reconnect();
      self->send();
    });
  }

 private:
  void send() {
    input_.clear();
    request_ = "GET " + owner_.options_.path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id_ + "-" +
               std::to_string(++requests_) + "\r\nDeadline: 9000\r\nKey: k1\r\n\r\n";
    sent_at_ = std::chrono::steady_clock::now();
    limit_timer_.expires_after(owner_.options_.response_limit);
    limit_timer_.async_wait([self = shared_from_this(), request = requests_](error_code cancelled) {
      if (cancelled || request != self->requests_) return;
      ++self->owner_.counts_.unanswered;
      self->reconnect();
    });
    asio::async_write(socket_, asio::buffer(request_),
                      [self = shared_from_this(), request = requests_](error_code, std::size_t) {
                        if (request == self->requests_) self->read();
                      });
  }

  void read() {
    socket_.async_read_some(asio::buffer(buffer_), [self = shared_from_this(), request = requests_](
                                                       error_code error, std::size_t bytes) {
      if (request != self->requests_) return;
      self->input_.append(self->buffer_.data(), bytes);
      http::Head head;
      const auto parsed = http::parse_response_head(self->input_, kMaxHeadBytes, head);
      const bool has_head = parsed.status == http::ParseStatus::complete;
      const auto length = has_head ? http::parse_decimal(head.unique("Content-Length").value_or("0")) : 0.0;
      if (has_head && static_cast<double>(self->input_.size() - parsed.consumed) >= length.value_or(0))
        return self->on_response(head);
      if (error) return self->on_end();
      self->read();
    });
  }

  void on_response(const http::Head& head) {
    limit_timer_.cancel();
    ++(head.status < 300 ? owner_.counts_.served : owner_.counts_.refused);
    if (!head.keeps_alive()) return reconnect();
    pause_timer_.expires_after(kPause);
    pause_timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (!cancelled) self->send();
    });
  }

  void on_end() {
    if (std::chrono::steady_clock::now() - sent_at_ > kReadWithin) ++owner_.counts_.lost;
    reconnect();
  }

  void reconnect() {
    ++requests_;  // what is under way belongs to no request any more
    limit_timer_.cancel();
    snowknot::close_now(socket_);
    pause_timer_.expires_after(kPause);
    pause_timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (!cancelled) self->connect();
    });
  }

  SoakClients& owner_;
  std::string id_;
  std::size_t next_proxy_;
  Socket socket_;
  asio::steady_timer limit_timer_, pause_timer_;
  std::array<char, 4096> buffer_{};
  std::string request_, input_;
  std::uint64_t requests_ = 0;
  std::chrono::steady_clock::time_point sent_at_{};
};

SoakClients::SoakClients(Options options)
    : options_(std::move(options)),
      server_address_(free_address()),
      server_(std::make_unique<standin::Server>(io_, server_address_, respond)) {
  for (std::size_t i = 0; i < options_.connections; ++i)
    connections_.push_back(std::make_shared<Connection>(*this, i));
}

SoakClients::~SoakClients() {
  io_.stop();
  if (thread_.joinable()) thread_.join();
}

void SoakClients::start() {
  for (const auto& connection : connections_) asio::post(io_, [connection] { connection->connect(); });
  thread_ = std::thread([this] { io_.run(); });
}

}  // namespace docklift::test
