// Scripted peers over loopback sockets, all on the test's own event loop: a test acts, then runs the loop until
// what it waits for has happened.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/net.hpp"

namespace snowknot::test {

using namespace std::chrono_literals;

// One connection, of either side: `in` is all that has come and was not taken.
class Wire : public std::enable_shared_from_this<Wire> {
 public:
  explicit Wire(Socket s) : socket(std::move(s)) {}

  void read() {
    socket.async_read_some(asio::buffer(space_),
                           [self = shared_from_this()](const error_code& failed, std::size_t n) {
                             self->in.append(self->space_.data(), n);
                             if (failed) self->ended = true;
                             if (self->came) self->came(*self);
                             if (!failed) self->read();
                           });
  }
  void send(std::string text) {
    const auto kept = std::make_shared<std::string>(std::move(text));
    asio::async_write(socket, asio::buffer(*kept),
                      [self = shared_from_this(), kept](const error_code&, std::size_t) {});
  }
  void close() { close_now(socket); }
  void reset() {  // the other side sees a broken connection, as when the process dies
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    close_now(socket);
  }
  // Takes the next whole HTTP message, or "".
  std::string message() {
    const auto head = in.find("\r\n\r\n");
    if (head == std::string::npos) return {};
    std::size_t length = 0;
    if (const auto at = in.find("Content-Length: "); at < head) length = std::stoul(in.substr(at + 16));
    if (in.size() < head + 4 + length) return {};
    auto whole = in.substr(0, head + 4 + length);
    in.erase(0, whole.size());
    return whole;
  }
  // Takes the next line, or "".
  std::string line() {
    const auto end = in.find("\r\n");
    if (end == std::string::npos) return {};
    auto whole = in.substr(0, end);
    in.erase(0, end + 2);
    return whole;
  }

  Socket socket;
  std::string in;
  bool ended = false;
  std::function<void(Wire&)> came;

 private:
  std::array<char, 16 * 1024> space_{};
};

// A listening peer on a port of the system's choice; `on` handles what comes in on each connection.
class Peer {
 public:
  Peer(asio::io_context& io, std::function<void(Wire&)> on = {}, bool accepts = true)
      : acceptor_(io.get_executor()), on_(std::move(on)) {
    const Tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
    acceptor_.open(any.protocol());
    acceptor_.bind(any);
    acceptor_.listen(accepts ? 100 : 0);
    at_ = acceptor_.local_endpoint();
    if (accepts) accept();
  }
  ~Peer() { stop(); }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  void accept() {
    acceptor_.async_accept([this](const error_code& failed, Socket s) {
      if (failed) return;
      wires.push_back(std::make_shared<Wire>(std::move(s)));
      wires.back()->came = on_;
      wires.back()->read();
      accept();
    });
  }
  void stop() {  // as a process that dies: nothing listens, every connection breaks
    error_code ignored;
    acceptor_.close(ignored);
    for (const auto& w : wires) w->came = {}, w->reset();
  }
  Tcp::endpoint at() const { return at_; }
  std::string text() const { return "127.0.0.1:" + std::to_string(at_.port()); }

  std::vector<std::shared_ptr<Wire>> wires;

 private:
  asio::basic_socket_acceptor<Tcp, Executor> acceptor_;
  std::function<void(Wire&)> on_;
  Tcp::endpoint at_;
};

struct Loop {
  asio::io_context io{1};

  // Runs the loop until something is so; false if it never came to be.
  bool until(const std::function<bool()>& so, Duration limit = 30s) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!so()) {
      if (std::chrono::steady_clock::now() > end) return false;
      io.restart();
      io.run_one_for(50ms);
    }
    return true;
  }
  std::shared_ptr<Wire> connect(const Tcp::endpoint& to) {
    Socket s(io.get_executor());
    s.connect(to);
    const auto w = std::make_shared<Wire>(std::move(s));
    w->read();
    return w;
  }
};

inline std::string http_answer(const std::string& status, const std::string& body = "",
                               const std::string& headers = "") {
  return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace snowknot::test
