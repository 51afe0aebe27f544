// Links between processes that can fail. A UDP relay stands before each node: the others are told its address, so every datagram between two
// nodes passes through the one of its receiver. A TCP relay stands between one node and one outside system.
#pragma once

#include <array>
#include <boost/asio/basic_datagram_socket.hpp>
#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/net.hpp"

namespace docklift::faults {

class UdpRelay {
 public:
  using Udp = boost::asio::ip::udp;
  // Seconds after which a datagram from a sender goes on, each time that it does.
  using Ways = std::function<std::vector<double>(const Udp::endpoint& from)>;

  // Listens at a port of the system's choice on 127.0.0.1: ports of `to`'s address are its owner's.
  UdpRelay(boost::asio::io_context& io, const Udp::endpoint& to, Ways ways);
  std::string address() const;
  std::uint64_t passed() const { return passed_; }
  std::uint64_t lost() const { return lost_; }

 private:
  void receive();

  boost::asio::io_context& io_;
  Udp::endpoint to_, from_;
  Ways ways_;
  boost::asio::basic_datagram_socket<Udp, snowknot::Executor> socket_;
  std::array<char, 4096> space_{};
  std::uint64_t passed_ = 0, lost_ = 0;
};

class TcpRelay {
 public:
  TcpRelay(boost::asio::io_context& io, const snowknot::Tcp::endpoint& to);
  ~TcpRelay();
  std::string address() const;
  // Connections stay and come up, and nothing passes: as with a machine that is cut off.
  void silence(bool on);
  void reset_all();
  // One way only: what the outside system sends is held up by so much.
  void delay_back(std::chrono::nanoseconds by) { delay_ = by; }

 private:
  struct Pipe;
  void accept();

  boost::asio::io_context& io_;
  snowknot::Tcp::endpoint to_;
  boost::asio::basic_socket_acceptor<snowknot::Tcp, snowknot::Executor> acceptor_;
  std::vector<std::weak_ptr<Pipe>> pipes_;
  bool silent_ = false;
  std::chrono::nanoseconds delay_{};
};

}  // namespace docklift::faults
