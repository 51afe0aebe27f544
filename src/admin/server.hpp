// The door on sockets: one call to a connection, in the node's event loop.
#pragma once

#include <boost/asio/basic_socket_acceptor.hpp>
#include <list>
#include <memory>

#include "admin/door.hpp"
#include "net/net.hpp"

namespace docklift::admin {

struct ServerLimits {
  std::size_t most_callers = 16;  // at once; past that the oldest one without its answer goes
  snowknot::Duration call{std::chrono::seconds(5)};    // for a call to come whole: then 408
  snowknot::Duration linger{std::chrono::seconds(1)};  // for its answer to be taken
  std::size_t head = 8 * 1024, body = 64 * 1024;       // bytes; more is answered 431 and 413
};

class Server {
 public:
  // Binds and listens. Throws boost::system::system_error. `process` is not owned.
  Server(boost::asio::io_context& io, snowknot::Timers& timers, const snowknot::Tcp::endpoint& at, Process& process,
         ServerLimits limits = {});
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  snowknot::Tcp::endpoint at() const { return acceptor_.local_endpoint(); }
  std::size_t callers() const { return callers_.size(); }

 private:
  class Caller;
  using Callers = std::list<std::shared_ptr<Caller>>;

  void accept();

  boost::asio::io_context& io_;
  snowknot::Timers& timers_;
  Process& process_;
  ServerLimits limits_;
  boost::asio::basic_socket_acceptor<snowknot::Tcp, snowknot::Executor> acceptor_;
  snowknot::Timers::Handle again_;
  Callers callers_;  // who came first stands first
};

}  // namespace docklift::admin
