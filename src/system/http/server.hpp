// A small HTTP/1.1 server for the system's own interfaces: whole bodies, one answer at a time on a
// connection, answers in order. Callbacks run on the io_context's thread.
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
  double retry_after_s = 0;  // told where above 0
};
struct Request {
  std::string method, target, body;
  // Becomes true when the caller closes its connection before it has the answer; also where the close came right
  // behind the call, as when a cut has held up both. A caller that closes only its sending half counts as gone.
  std::shared_ptr<const bool> client_disconnected;
  std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
};

struct ServerLimits {
  std::size_t head_bytes = 16384, body_bytes = 96u << 20, connections = 1024;
  Duration idle = std::chrono::seconds(30), whole = std::chrono::seconds(20);
};

class Server {
 public:
  using Respond = std::function<void(Response)>;  // called once, now or later
  using Handler = std::function<void(const Request&, Respond)>;
  Server(boost::asio::io_context& io, const Tcp::endpoint& at, ServerLimits limits, Handler handle);
  ~Server();
  void close();  // stops accepting; open calls end

 private:
  struct Session;
  void accept();
  Acceptor acceptor_;
  ServerLimits limits_;
  Handler handle_;
  std::set<std::shared_ptr<Session>> sessions_;
  bool closed_ = false;
};

}  // namespace docklift::http
