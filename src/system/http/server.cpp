#include "system/http/server.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace docklift::http {
namespace asio = boost::asio;
using boost::system::error_code;

struct Server::Session : std::enable_shared_from_this<Session> {
  Session(Server& owner, Socket s) : server(&owner), socket(std::move(s)), timer(socket.get_executor()) {}

  // The next call, of which nothing or a part has been read.
  void read() {
    arm(in.empty() ? server->limits_.idle : server->limits_.whole);
    const auto had = in.size();
    in.resize(had + (want > had ? std::min<std::size_t>(want - had, 1u << 20) : 4096));
    socket.async_read_some(asio::buffer(in.data() + had, in.size() - had),
                           [self = shared_from_this(), had](error_code failed, std::size_t n) {
                             self->in.resize(had + n);
                             if (failed || !self->server) return self->end();
                             self->take();
                           });
  }

  // One whole call of what was read.
  void take() {
    Head head;
    const auto r = parse_request_head(in, server->limits_.head_bytes, head);
    if (r.status == ParseStatus::incomplete) return read();
    if (r.status != ParseStatus::complete)
      return answer({r.status == ParseStatus::malformed ? 400 : 431, ""}, false);
    const auto kind = request_body_kind(head);
    if (!kind) return answer({400, ""}, false);
    if (kind->coding == stream::Coding::length && kind->length > server->limits_.body_bytes)
      return answer({413, ""}, false);
    Request call{std::string(head.method), std::string(head.target), "", client_disconnected};
    stream::BodyDecoder decoder(*kind);
    std::string_view rest = std::string_view(in).substr(r.used);
    if (kind->coding == stream::Coding::length && rest.size() < kind->length) {
      want = r.used + kind->length;
      return read();
    }
    while (!decoder.done()) {
      const auto step = decoder.next(rest);
      if (step.status == stream::BodyDecoder::Status::bad) return answer({400, ""}, false);
      call.body.append(step.data);
      rest.remove_prefix(step.used);
      if (call.body.size() > server->limits_.body_bytes) return answer({413, ""}, false);
      if (step.status == stream::BodyDecoder::Status::more) return read();
    }
    const bool keep = head.keeps_alive();
    in.erase(0, in.size() - rest.size());
    want = 0;
    timer.cancel();
    answering = true;
    watch_caller();
    // In a turn of its own: a close that came with the call is seen before.
    asio::post(socket.get_executor(), [self = shared_from_this(), call = std::move(call), keep] {
      if (self->server) self->hand_over(call, keep);
    });
  }

  void hand_over(const Request& call, bool keep) {
    server->handle_(call, [weak = weak_from_this(), keep, done = false](const Response& a) mutable {
      if (std::exchange(done, true)) return;
      if (const auto self = weak.lock(); self && self->server) self->answer(a, keep);
    });
  }

  // The read for the next call begins before the answer to this one: it shows a caller that goes.
  void watch_caller() {
    if (!in.empty()) return;  // a further call waits; it is taken behind the answer
    watching = true;
    socket.async_read_some(asio::buffer(ahead),
                           [self = shared_from_this()](error_code failed, std::size_t n) {
                             self->watching = false;
                             if (!self->server) return;
                             self->in.append(self->ahead.data(), n);
                             if (failed) *self->client_disconnected = true;
                             if (!self->answering) self->next();
                           });
  }

  // After an answer.
  void next() {
    if (watching) return arm(server->limits_.idle);
    if (*client_disconnected) return end();
    if (in.empty()) return read();
    take();
  }

  void answer(const Response& a, bool keep) {
    out = "HTTP/1.1 " + std::to_string(a.status) + " " + std::string(reason(a.status)) + "\r\n";
    if (!a.body.empty()) out += "Content-Type: application/json\r\n";
    if (a.retry_after_s > 0) out += "Retry-After: " + std::to_string(a.retry_after_s).substr(0, 5) + "\r\n";
    if (!keep) out += "Connection: close\r\n";
    out += "Content-Length: " + std::to_string(a.body.size()) + "\r\n\r\n" + a.body;
    arm(server->limits_.whole);
    asio::async_write(socket, asio::buffer(out),
                      [self = shared_from_this(), keep](error_code failed, std::size_t) {
                        if (failed || !keep || !self->server) return self->end();
                        self->answering = false;
                        self->next();
                      });
  }

  void arm(Duration limit) {
    timer.expires_after(limit);
    timer.async_wait([weak = weak_from_this()](error_code failed) {
      if (const auto self = weak.lock(); self && !failed) self->end();
    });
  }

  void end() {
    error_code ignored;
    socket.shutdown(Tcp::socket::shutdown_send, ignored);
    socket.close(ignored);
    timer.cancel();
    if (auto* s = std::exchange(server, nullptr)) s->sessions_.erase(shared_from_this());
  }

  Server* server;
  Socket socket;
  Timer timer;
  std::string in, out;
  std::array<char, 4096> ahead;  // bytes behind the call that is being answered
  bool watching = false;         // a read into `ahead` is under way
  bool answering = false;
  std::shared_ptr<bool> client_disconnected = std::make_shared<bool>(false);
  std::size_t want = 0;  // bytes of the message being read, where known
};

Server::Server(asio::io_context& io, const Tcp::endpoint& at, ServerLimits limits, Handler handle)
    : acceptor_(io.get_executor()), limits_(limits), handle_(std::move(handle)) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(Acceptor::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen();
  accept();
}

Server::~Server() { close(); }

void Server::close() {
  closed_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  const auto all = std::exchange(sessions_, {});
  for (const auto& s : all) {
    s->server = nullptr;
    s->timer.cancel();
    s->socket.close(ignored);
  }
}

void Server::accept() {
  acceptor_.async_accept([this](error_code failed, Socket socket) {
    if (failed == asio::error::operation_aborted || closed_) return;
    if (!failed && sessions_.size() < limits_.connections) {
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
