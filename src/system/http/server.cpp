#include "system/http/server.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace docklift::http {
namespace asio = boost::asio;
using boost::system::error_code;

// A client's connection.
struct Server::Session : std::enable_shared_from_this<Session> {
  Session(Server& owner, Socket connection)
      : server(&owner), socket(std::move(connection)), timer(socket.get_executor()) {}

  // Reads more of the next request.
  void read() {
    arm_timer(input.empty() ? server->limits_.idle_timeout : server->limits_.io_timeout);
    const auto old_size = input.size();
    input.resize(old_size + (expected_size > old_size
                                 ? std::min<std::size_t>(expected_size - old_size, 1u << 20)
                                 : 4096));
    socket.async_read_some(asio::buffer(input.data() + old_size, input.size() - old_size),
                           [self = shared_from_this(), old_size](error_code error, std::size_t bytes) {
                             self->input.resize(old_size + bytes);
                             if (error || !self->server) return self->close();
                             self->process_input();
                           });
  }

  // Dispatches the next request once it has been read completely.
  void process_input() {
    Head head;
    const auto parsed = parse_request_head(input, server->limits_.max_head_bytes, head);
    if (parsed.status == ParseStatus::incomplete) return read();
    if (parsed.status != ParseStatus::complete)
      return respond({parsed.status == ParseStatus::malformed ? 400 : 431, ""}, false);
    const auto kind = request_body_kind(head);
    if (!kind) return respond({400, ""}, false);
    if (kind->coding == stream::Coding::length && kind->length > server->limits_.max_body_bytes)
      return respond({413, ""}, false);
    Request request{std::string(head.method), std::string(head.target), "", client_disconnected};
    stream::BodyDecoder decoder(*kind);
    std::string_view rest = std::string_view(input).substr(parsed.consumed);
    if (kind->coding == stream::Coding::length && rest.size() < kind->length) {
      expected_size = parsed.consumed + kind->length;
      return read();
    }
    while (!decoder.done()) {
      const auto step = decoder.next(rest);
      if (step.status == stream::BodyDecoder::Status::bad) return respond({400, ""}, false);
      request.body.append(step.data);
      rest.remove_prefix(step.used);
      if (request.body.size() > server->limits_.max_body_bytes) return respond({413, ""}, false);
      if (step.status == stream::BodyDecoder::Status::more) return read();
    }
    const bool keep_alive = head.keeps_alive();
    input.erase(0, input.size() - rest.size());
    expected_size = 0;
    timer.cancel();
    responding = true;
    watch_for_disconnect();
    // Deferred, so that a close that arrived together with the request is seen first.
    asio::post(socket.get_executor(), [self = shared_from_this(), request = std::move(request), keep_alive] {
      if (self->server) self->dispatch(request, keep_alive);
    });
  }

  void dispatch(const Request& request, bool keep_alive) {
    server->handler_(request,
                     [weak = weak_from_this(), keep_alive, done = false](const Response& response) mutable {
                       if (std::exchange(done, true)) return;
                       if (const auto self = weak.lock(); self && self->server)
                         self->respond(response, keep_alive);
                     });
  }

  // Starts the read for the next request before the response to this one, to notice a client that
  // disconnects.
  void watch_for_disconnect() {
    if (!input.empty()) return;  // another request is already buffered; it is processed after the response
    reading_ahead = true;
    socket.async_read_some(asio::buffer(read_ahead),
                           [self = shared_from_this()](error_code error, std::size_t bytes) {
                             self->reading_ahead = false;
                             if (!self->server) return;
                             self->input.append(self->read_ahead.data(), bytes);
                             if (error) *self->client_disconnected = true;
                             if (!self->responding) self->read_next();
                           });
  }

  // Continues after a response.
  void read_next() {
    if (reading_ahead) return arm_timer(server->limits_.idle_timeout);
    if (*client_disconnected) return close();
    if (input.empty()) return read();
    process_input();
  }

  void respond(const Response& response, bool keep_alive) {
    output = "HTTP/1.1 " + std::to_string(response.status) + " " +
             std::string(reason_phrase(response.status)) + "\r\n";
    if (!response.body.empty()) output += "Content-Type: application/json\r\n";
    if (response.retry_after_s > 0)
      output += "Retry-After: " + std::to_string(response.retry_after_s).substr(0, 5) + "\r\n";
    if (!keep_alive) output += "Connection: close\r\n";
    output += "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
    arm_timer(server->limits_.io_timeout);
    asio::async_write(socket, asio::buffer(output),
                      [self = shared_from_this(), keep_alive](error_code error, std::size_t) {
                        if (error || !keep_alive || !self->server) return self->close();
                        self->responding = false;
                        self->read_next();
                      });
  }

  void arm_timer(Duration limit) {
    timer.expires_after(limit);
    timer.async_wait([weak = weak_from_this()](error_code error) {
      if (const auto self = weak.lock(); self && !error) self->close();
    });
  }

  void close() {
    error_code ignored;
    socket.shutdown(Tcp::socket::shutdown_send, ignored);
    socket.close(ignored);
    timer.cancel();
    if (auto* owner = std::exchange(server, nullptr)) owner->sessions_.erase(shared_from_this());
  }

  Server* server;
  Socket socket;
  Timer timer;
  std::string input, output;
  std::array<char, 4096> read_ahead;  // data behind the current request
  bool reading_ahead = false;         // a read into `read_ahead` is pending
  bool responding = false;
  std::shared_ptr<bool> client_disconnected = std::make_shared<bool>(false);
  std::size_t expected_size = 0;  // size of the request being read; 0: unknown
};

Server::Server(asio::io_context& io, const Tcp::endpoint& endpoint, ServerLimits limits, Handler handler)
    : acceptor_(io.get_executor()), limits_(limits), handler_(std::move(handler)) {
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(Acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  accept();
}

Server::~Server() { close(); }

void Server::close() {
  closed_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  const auto all = std::exchange(sessions_, {});
  for (const auto& session : all) {
    session->server = nullptr;
    session->timer.cancel();
    session->socket.close(ignored);
  }
}

void Server::accept() {
  acceptor_.async_accept([this](error_code error, Socket socket) {
    if (error == asio::error::operation_aborted || closed_) return;
    if (!error && sessions_.size() < limits_.max_connections) {
      error_code ignored;
      socket.set_option(Tcp::no_delay(true), ignored);
      const auto session = std::make_shared<Session>(*this, std::move(socket));
      sessions_.insert(session);
      session->read();
    }
    accept();
  });
}

}  // namespace docklift::http
