// A TCP relay between two simulated machines. Each direction can be blocked, as by a network that drops every
// packet: data in transit is held back, and new connections are not established. Runs on the thread of one
// io_context.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

#include "system/base/lifetime.hpp"
#include "system/net/link.hpp"

namespace docklift::test {

// Forwards connections from one endpoint to another.
class LinkRelay {
 public:
  // Listens at `at` and forwards each connection to `to`. Throws boost::system::system_error if it can't
  // listen.
  LinkRelay(boost::asio::io_context& io, const Tcp::endpoint& at, const Tcp::endpoint& to);
  ~LinkRelay();
  LinkRelay(const LinkRelay&) = delete;
  LinkRelay& operator=(const LinkRelay&) = delete;

  // Blocks or unblocks a direction: 0 is from the connecting side, 1 is to it.
  void cut(std::size_t direction, bool blocked);

 private:
  struct Connection;
  void accept();

  boost::asio::io_context& io_;
  Tcp::endpoint to_;
  Acceptor acceptor_;
  // Closed ones are removed when the next connection arrives.
  std::vector<std::shared_ptr<Connection>> connections_;
  std::array<bool, 2> blocked_{};
  Lifetime lifetime_;
};

}  // namespace docklift::test
