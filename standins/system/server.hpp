// A stand-in for a server of a service, from the operators' protocol page: it answers with what a script
// says, raw. One io_context.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "system/http/head.hpp"
#include "system/net/link.hpp"

namespace docklift::standin {

// One request as it arrived: its head's text and its body.
struct Seen {
  std::string head, body;
  std::uint64_t connection = 0;  // 1, 2, ...: on which it came
  std::string field(std::string_view name) const {
    http::Head h;
    if (http::parse_request_head(head, head.size(), h).status != http::ParseStatus::complete) return {};
    return std::string(h.only(name).value_or(""));
  }
  std::string target() const {
    http::Head h;
    return http::parse_request_head(head, head.size(), h).status == http::ParseStatus::complete
               ? std::string(h.target)
               : "";
  }
};

struct Reply {
  std::string bytes;  // raw
  bool close = false;
  bool hold = false;  // until release()
};

// A 200 with stamp and id, as a server sends it.
inline Reply good(const Seen& seen, const std::string& body) {
  return {"HTTP/1.1 200 OK\r\nAttempt-Id: " + seen.field("Attempt-Id") +
              "\r\nSeal: s1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
          false, false};
}

class Server {
 public:
  using Script = std::function<Reply(const Seen&)>;
  Server(boost::asio::io_context& io, const std::string& address, Script script)
      : acceptor_(io.get_executor()), script_(std::make_shared<Script>(std::move(script))) {
    const auto at = *snowknot::endpoint_of(address);
    acceptor_.open(at.protocol());
    acceptor_.set_option(Acceptor::reuse_address(true));
    acceptor_.bind(at);
    acceptor_.listen();
    accept();
  }
  // Answers that are still held hold their sessions, and those this list.
  ~Server() { const auto let_go = std::exchange(*held_, {}); }
  std::vector<Seen>& requests() { return *seen_; }
  // How many callers have closed their connection while their answer was held.
  std::size_t disconnected_clients() const { return *left_; }
  void release() {
    for (const auto& go_on : std::exchange(*held_, {})) go_on();
  }

 private:
  using Held = std::vector<std::function<void()>>;
  struct Session : std::enable_shared_from_this<Session> {
    Session(Socket s, std::shared_ptr<Script> says, std::shared_ptr<std::vector<Seen>> into,
            std::shared_ptr<Held> holds, std::shared_ptr<std::size_t> leaves)
        : socket(std::move(s)),
          script(std::move(says)),
          seen(std::move(into)),
          held(std::move(holds)),
          left(std::move(leaves)) {}
    void read() {
      socket.async_read_some(boost::asio::buffer(chunk),
                             [self = shared_from_this()](boost::system::error_code failed, std::size_t n) {
                               if (failed) return;
                               self->in.append(self->chunk, n);
                               self->take();
                             });
    }
    void take() {
      http::Head h;
      const auto r = http::parse_request_head(in, 65536, h);
      if (r.status != http::ParseStatus::complete) return read();
      const auto length = static_cast<std::size_t>(
          http::number(h.only("Content-Length").value_or("0")).value_or(0));
      if (in.size() < r.used + length) return read();
      seen->push_back({in.substr(0, r.used), in.substr(r.used, length), number});
      in.erase(0, r.used + length);
      const auto reply = (*script)(seen->back());
      if (!reply.hold) return write(reply);
      holding = true;
      held->push_back([self = shared_from_this(), reply] { self->write(reply); });
      watch_caller();
    }
    // Readable without a byte to read: the caller has closed.
    void watch_caller() {
      socket.async_wait(Socket::wait_read, [self = shared_from_this()](boost::system::error_code failed) {
        boost::system::error_code broken;
        if (!failed && self->holding && self->socket.available(broken) == 0) ++*self->left;
      });
    }
    void write(const Reply& reply) {
      holding = false;
      out = reply.bytes;
      boost::asio::async_write(
          socket, boost::asio::buffer(out),
          [self = shared_from_this(), reply](boost::system::error_code failed, std::size_t) {
            if (failed || reply.close) return snowknot::close_now(self->socket);
            if (self->in.empty()) return self->read();
            self->take();
          });
    }
    Socket socket;
    std::shared_ptr<Script> script;
    std::shared_ptr<std::vector<Seen>> seen;
    std::shared_ptr<Held> held;
    std::shared_ptr<std::size_t> left;
    std::string in, out;
    std::uint64_t number = 0;
    bool holding = false;  // an answer
    char chunk[4096];
  };
  void accept() {
    acceptor_.async_accept(
        [this, alive = std::weak_ptr(alive_)](boost::system::error_code failed, Socket socket) {
          if (failed || alive.expired()) return;
          const auto session = std::make_shared<Session>(std::move(socket), script_, seen_, held_, left_);
          session->number = ++connections_;
          session->read();
          accept();
        });
  }
  Acceptor acceptor_;
  std::uint64_t connections_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::shared_ptr<Script> script_;
  std::shared_ptr<Held> held_ = std::make_shared<Held>();
  std::shared_ptr<std::size_t> left_ = std::make_shared<std::size_t>(0);
  std::shared_ptr<std::vector<Seen>> seen_ = std::make_shared<std::vector<Seen>>();
};

}  // namespace docklift::standin
