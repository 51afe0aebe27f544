// A small HTTP/1.1 server for the system's own interfaces. It reads complete bodies and handles one request
// at a time per connection. Callbacks run on the io_context's thread.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "system/http/head.hpp"
#include "system/net/link.hpp"

namespace docklift::http {

struct Response {
  int status = 200;
  std::string body;          // JSON; may be empty
  double retry_after_s = 0;  // sent as Retry-After if above 0
};
struct Request {
  std::string method, target, body;
  // Becomes true when the client closes its connection before it has the response, also if the close arrived
  // right after the request, as when a network partition delayed both. A client that closes only its sending
  // half counts as disconnected.
  std::shared_ptr<const bool> client_disconnected;
  std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
};

struct ServerLimits {
  std::size_t max_head_bytes = 16384, max_body_bytes = 96u << 20, max_connections = 1024;
  // Between requests; for reading more of a request or writing a response.
  Duration idle_timeout = std::chrono::seconds(30), io_timeout = std::chrono::seconds(20);
};

// Accepts connections and passes requests to a handler.
class Server {
 public:
  using Respond = std::function<void(Response)>;  // called once, possibly after the handler has returned
  using Handler = std::function<void(const Request&, Respond)>;
  Server(boost::asio::io_context& io, const Tcp::endpoint& endpoint, ServerLimits limits, Handler handler);
  ~Server();
  void close();  // stops accepting and aborts open requests

 private:
  struct Session;
  void accept();
  Acceptor acceptor_;
  ServerLimits limits_;
  Handler handler_;
  std::set<std::shared_ptr<Session>> sessions_;
  bool closed_ = false;
};

}  // namespace docklift::http
