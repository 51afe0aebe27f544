// A fleet on loopback sockets that serves, with a server whose answers a test may hold, and clients' connections to it.
#pragma once

#include <algorithm>
#include <array>
#include <string>

#include "path_fleet.hpp"

namespace docklift::test {

// A client's connection with requests on it. What comes back is collected until the connection ends.
class Client {
 public:
  Client(Fleet& fleet, int proxy, const std::string& requests) : socket_(fleet.io.get_executor()) {
    socket_.connect(*snowknot::endpoint_of(fleet.http(proxy)));
    send(requests);
  }
  void send(const std::string& requests) {
    boost::system::error_code broken;  // the proxy may have closed
    asio::write(socket_, asio::buffer(requests), broken);
  }
  void disconnect() { snowknot::close_now(socket_); }
  // From here on, answers are read; the client must outlive the loop's turns.
  void start_reading() {
    socket_.async_read_some(asio::buffer(chunk_), [this](boost::system::error_code failed, std::size_t n) {
      received_.append(chunk_.data(), n);
      if (failed) return void(closed_ = true);
      start_reading();
    });
  }
  const std::string& received() const { return received_; }
  bool closed() const { return closed_; }  // by the proxy
  bool received_answer_to(const std::string& id) const {
    return received_.find("Attempt-Id: " + id + "\r\n") != std::string::npos;
  }

 private:
  Socket socket_;
  std::array<char, 4096> chunk_{};
  std::string received_;
  bool closed_ = false;
};

inline std::string request_to(const std::string& path, const std::string& id) {
  return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id +
         "\r\nDeadline: 9000\r\nKey: k1\r\n\r\n";
}

// A fleet that serves, with a stand-in for a server that holds its answers to what ends in "hold".
struct ServingFleet : Fleet {
  explicit ServingFleet(const std::string& proxy_settings = "")
      : Fleet(proxy_settings), server(io, Fleet::server(0), [](const standin::Seen& seen) {
          auto reply = standin::good(seen, "hello");
          reply.hold = seen.target().ends_with("hold");
          return reply;
        }) {
    BOOST_REQUIRE(
        until([&] { return post(ctl(1), "/Config.Replace", high_quota_config(3, 0)).status == 200; }));
    BOOST_REQUIRE(heartbeat("i-1", 0).status == 200);
    BOOST_REQUIRE(until([&] { return send_request(4, "/a/x").status == 200; }));
  }
  bool reaches_server(const std::string& path) {
    return until([&] { return has_reached_server(path); });
  }
  bool has_reached_server(const std::string& path) {
    return std::ranges::any_of(server.requests(), [&](const auto& seen) { return seen.target() == path; });
  }
  standin::Server server;
};

}  // namespace docklift::test
