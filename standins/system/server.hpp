// A stand-in for a server of a service, after the operators' protocol specification. A script returns the raw
// bytes of each response. Runs on one io_context.
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

// A received request: the text of its head, and its body.
struct ReceivedRequest {
  std::string head, body;
  std::uint64_t connection = 0;  // number of its connection, from 1
  std::string field(std::string_view name) const {
    http::Head parsed_head;
    if (http::parse_request_head(head, head.size(), parsed_head).status != http::ParseStatus::complete)
      return {};
    return std::string(parsed_head.unique(name).value_or(""));
  }
  std::string target() const {
    http::Head parsed_head;
    return http::parse_request_head(head, head.size(), parsed_head).status == http::ParseStatus::complete
               ? std::string(parsed_head.target)
               : "";
  }
};

// What the server sends for one request.
struct ScriptedResponse {
  std::string bytes;  // head and body
  bool close = false;
  bool hold = false;  // not sent before release()
};

// A valid 200 response with Attempt-Id and Seal.
inline ScriptedResponse ok_response(const ReceivedRequest& request, const std::string& body) {
  return {"HTTP/1.1 200 OK\r\nAttempt-Id: " + request.field("Attempt-Id") +
              "\r\nSeal: s1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
          false, false};
}

class Server {
 public:
  using Script = std::function<ScriptedResponse(const ReceivedRequest&)>;
  Server(boost::asio::io_context& io, const std::string& address, Script script)
      : acceptor_(io.get_executor()), script_(std::make_shared<Script>(std::move(script))) {
    const auto endpoint = *snowknot::endpoint_of(address);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(Acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    accept();
  }
  // Held responses own their sessions, and these own the list; this breaks the cycle.
  ~Server() { const auto released = std::exchange(*held_responses_, {}); }
  std::vector<ReceivedRequest>& requests() { return *requests_; }
  // Number of clients that closed their connection while their response was held.
  std::size_t disconnected_clients() const { return *disconnected_clients_; }
  void release() {
    for (const auto& send_response : std::exchange(*held_responses_, {})) send_response();
  }

 private:
  using HeldResponses = std::vector<std::function<void()>>;
  struct Session : std::enable_shared_from_this<Session> {
    Session(Socket connection, std::shared_ptr<Script> response_script,
            std::shared_ptr<std::vector<ReceivedRequest>> received, std::shared_ptr<HeldResponses> held,
            std::shared_ptr<std::size_t> disconnected)
        : socket(std::move(connection)),
          script(std::move(response_script)),
          requests(std::move(received)),
          held_responses(std::move(held)),
          disconnected_clients(std::move(disconnected)) {}
    void read() {
      socket.async_read_some(boost::asio::buffer(chunk),
                             [self = shared_from_this()](boost::system::error_code error, std::size_t bytes) {
                               if (error) return;
                               self->input.append(self->chunk, bytes);
                               self->process_input();
                             });
    }
    void process_input() {
      http::Head parsed_head;
      const auto parsed = http::parse_request_head(input, 65536, parsed_head);
      if (parsed.status != http::ParseStatus::complete) return read();
      const auto length = static_cast<std::size_t>(
          http::parse_decimal(parsed_head.unique("Content-Length").value_or("0")).value_or(0));
      if (input.size() < parsed.consumed + length) return read();
      requests->push_back(
          {input.substr(0, parsed.consumed), input.substr(parsed.consumed, length), connection_number});
      input.erase(0, parsed.consumed + length);
      const auto response = (*script)(requests->back());
      if (!response.hold) return write(response);
      response_held = true;
      held_responses->push_back([self = shared_from_this(), response] { self->write(response); });
      watch_for_disconnect();
    }
    // A socket that is readable without data was closed by the client.
    void watch_for_disconnect() {
      socket.async_wait(Socket::wait_read, [self = shared_from_this()](boost::system::error_code error) {
        boost::system::error_code ignored;
        if (!error && self->response_held && self->socket.available(ignored) == 0)
          ++*self->disconnected_clients;
      });
    }
    void write(const ScriptedResponse& response) {
      response_held = false;
      output = response.bytes;
      boost::asio::async_write(
          socket, boost::asio::buffer(output),
          [self = shared_from_this(), response](boost::system::error_code error, std::size_t) {
            if (error || response.close) return snowknot::close_now(self->socket);
            if (self->input.empty()) return self->read();
            self->process_input();
          });
    }
    Socket socket;
    std::shared_ptr<Script> script;
    std::shared_ptr<std::vector<ReceivedRequest>> requests;
    std::shared_ptr<HeldResponses> held_responses;
    std::shared_ptr<std::size_t> disconnected_clients;
    std::string input, output;
    std::uint64_t connection_number = 0;
    bool response_held = false;
    char chunk[4096];
  };
  void accept() {
    acceptor_.async_accept(
        [this, alive = std::weak_ptr(alive_)](boost::system::error_code error, Socket socket) {
          if (error || alive.expired()) return;
          const auto session = std::make_shared<Session>(std::move(socket), script_, requests_,
                                                         held_responses_, disconnected_clients_);
          session->connection_number = ++connections_;
          session->read();
          accept();
        });
  }
  Acceptor acceptor_;
  std::uint64_t connections_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::shared_ptr<Script> script_;
  std::shared_ptr<HeldResponses> held_responses_ = std::make_shared<HeldResponses>();
  std::shared_ptr<std::size_t> disconnected_clients_ = std::make_shared<std::size_t>(0);
  std::shared_ptr<std::vector<ReceivedRequest>> requests_ = std::make_shared<std::vector<ReceivedRequest>>();
};

}  // namespace docklift::standin
