// A serving fleet on loopback sockets, with a server whose responses a test can hold, and client connections
// to it.
#pragma once

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <utility>

#include "path_fleet.hpp"
#include "system/base/lifetime.hpp"

namespace docklift::test {

// A client connection that sends requests and collects the received data until the connection ends.
class Client {
 public:
  Client(Fleet& fleet, int proxy, const std::string& requests) : socket_(fleet.io.get_executor()) {
    socket_.connect(*snowknot::endpoint_of(fleet.http(proxy)));
    send(requests);
  }
  void send(const std::string& requests) {
    boost::system::error_code ignored;  // the proxy may have closed
    asio::write(socket_, asio::buffer(requests), ignored);
  }
  // Sends while the event loop runs, as much as the proxy reads.
  void start_sending(std::string text) {
    const auto sent = std::make_shared<const std::string>(std::move(text));
    asio::async_write(socket_, asio::buffer(*sent), [sent](boost::system::error_code, std::size_t) {});
  }
  void disconnect() { snowknot::close_now(socket_); }
  // Reads everything received from now on, until the client is destroyed.
  void start_reading() {
    socket_.async_read_some(asio::buffer(read_buffer_),
                            lifetime_.bind([this](boost::system::error_code error, std::size_t bytes) {
                              received_.append(read_buffer_.data(), bytes);
                              if (error) return void(closed_ = true);
                              start_reading();
                            }));
  }
  const std::string& received() const { return received_; }
  bool closed() const { return closed_; }  // by the proxy
  bool received_answer_to(const std::string& id) const {
    return received_.find("Attempt-Id: " + id + "\r\n") != std::string::npos;
  }

 private:
  Socket socket_;
  std::array<char, 4096> read_buffer_{};
  std::string received_;
  bool closed_ = false;
  Lifetime lifetime_;
};

inline std::string request_to(const std::string& path, const std::string& id) {
  return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id +
         "\r\nDeadline: 9000\r\nKey: k1\r\n\r\n";
}

// Holds the responses to paths ending in "hold".
inline standin::ScriptedResponse respond_or_hold(const standin::ReceivedRequest& request) {
  auto response = standin::ok_response(request, "hello");
  response.hold = request.target().ends_with("hold");
  return response;
}

// A fleet that serves, with a stand-in server.
struct ServingFleet : Fleet {
  explicit ServingFleet(const std::string& proxy_settings = "",
                        standin::Server::Script script = respond_or_hold)
      : Fleet(proxy_settings), server(io, Fleet::server(0), std::move(script)) {
    BOOST_REQUIRE(
        until([&] { return post(ctl(1), "/Config.Replace", high_quota_config(3, 0)).status == 200; }));
    BOOST_REQUIRE(heartbeat("i-1", 0).status == 200);
    BOOST_REQUIRE(until([&] { return send_request(4, "/a/x").status == 200; }));
  }
  // Waits until a request with this path has reached the server.
  bool reaches_server(const std::string& path) {
    return until([&] { return has_reached_server(path); });
  }
  bool has_reached_server(const std::string& path) {
    return std::ranges::any_of(server.requests(),
                               [&](const auto& request) { return request.target() == path; });
  }
  standin::Server server;
};

}  // namespace docklift::test
