// A member's GraphQL server on a socket: POST /graphql, and GET /-/healthy as the app servers of the platform have it.
// Control: POST /-/faults with JSON of MembersFaults' names (what is not named: none), GET /-/effects.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_socket_acceptor.hpp>
#include <memory>
#include <vector>

#include "members.hpp"
#include "net/net.hpp"

namespace docklift::standins {

class MembersServer {
 public:
  MembersServer(boost::asio::io_context& io, std::uint64_t seed = 1,
                const snowknot::Tcp::endpoint& at = {boost::asio::ip::address_v4::loopback(), 0});
  ~MembersServer();
  MembersServer(const MembersServer&) = delete;
  MembersServer& operator=(const MembersServer&) = delete;

  snowknot::Tcp::endpoint at() const { return at_; }
  // Its process dies: connections are reset, new ones refused. And is back, with the record of what it did.
  void down();
  void up();
  Members& members() { return members_; }

 private:
  template <class T>
  using Task = boost::asio::awaitable<T, snowknot::Executor>;
  using SocketPtr = std::shared_ptr<snowknot::Socket>;
  Task<void> accept(std::uint64_t life);
  void listen(const snowknot::Tcp::endpoint& at);
  Task<void> serve(SocketPtr socket);

  boost::asio::io_context& io_;
  Members members_;
  boost::asio::basic_socket_acceptor<snowknot::Tcp, snowknot::Executor> acceptor_;
  snowknot::Tcp::endpoint at_;
  std::uint64_t life_ = 0;  // counts restarts
  std::vector<std::weak_ptr<snowknot::Socket>> sockets_;
};

}  // namespace docklift::standins
