// A relay of TCP connections from one machine of a test to another. Each direction can be cut: what is sent then
// waits, as on a link that drops every packet, and new connections get no answer. One io_context, one thread.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

#include "system/net/link.hpp"

namespace docklift::test {

class LinkRelay {
 public:
  // Listens at `at` and passes each connection on to `to`. Throws boost::system::system_error where it can't listen.
  LinkRelay(boost::asio::io_context& io, const Tcp::endpoint& at, const Tcp::endpoint& to);
  ~LinkRelay();
  LinkRelay(const LinkRelay&) = delete;
  LinkRelay& operator=(const LinkRelay&) = delete;

  // Direction 0 is from those who connect, direction 1 to them. True: nothing passes until it is set to false.
  void cut(std::size_t direction, bool on);

 private:
  struct Pipe;
  void accept();

  boost::asio::io_context& io_;
  Tcp::endpoint to_;
  Acceptor acceptor_;
  std::vector<std::shared_ptr<Pipe>> pipes_;  // ended ones are dropped with the next connection
  std::array<bool, 2> cut_{};
};

}  // namespace docklift::test
