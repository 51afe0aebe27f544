// A stand-in for a server that only counts who connects to it.
#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <string>
#include <thread>

namespace docklift::test {

// Counts the connections made to a server's address and closes each at once, on a thread of its own, as callers
// wait for responses meanwhile.
class ConnectionCounter {
 public:
  explicit ConnectionCounter(const std::string& host)
      : acceptor_(io_, {boost::asio::ip::make_address(host), 0}), thread_([this] { io_.run(); }) {
    boost::asio::post(io_, [this] { accept(); });
  }
  ~ConnectionCounter() {
    io_.stop();
    thread_.join();
  }
  ConnectionCounter(const ConnectionCounter&) = delete;
  ConnectionCounter& operator=(const ConnectionCounter&) = delete;
  std::string address() const {
    const auto at = acceptor_.local_endpoint();
    return at.address().to_string() + ":" + std::to_string(at.port());
  }
  // Connections since the last call.
  int take() { return accepted_.exchange(0); }

 private:
  void accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error, boost::asio::ip::tcp::socket) {
      if (!error) ++accepted_;
      accept();
    });
  }
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{io_.get_executor()};
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<int> accepted_{0};
  std::thread thread_;
};

}  // namespace docklift::test
