// Replacement of the process on sockets: the Unix socket by which the second one finds the first, the descriptors that pass
// over it, and what the node does of it.
#pragma once

#include <boost/asio/posix/basic_stream_descriptor.hpp>
#include <memory>
#include <optional>
#include <string>

#include "node.hpp"
#include "succession/succession.hpp"

namespace docklift::succession {

// Where the process on a listening address is found: in $TMPDIR. Empty where that is not set or the name is too long for a
// socket: then a second process only listens beside.
std::string meeting_place(const snowknot::Tcp::endpoint& listens);

class Replacement {
 public:
  // `descriptors`: the one limit of both processes. `node` is not owned and has not begun.
  Replacement(boost::asio::io_context& io, snowknot::Node& node, snowknot::Tcp::endpoint listen, std::size_t descriptors,
              std::string place);
  ~Replacement();
  Replacement(const Replacement&) = delete;
  Replacement& operator=(const Replacement&) = delete;

  // Takes the running process' listener or binds one, and begins the node. Throws boost::system::system_error where an
  // address can't be bound and nobody helps.
  void start();
  bool serves() const { return new_.serves(); }

 private:
  class Channel;
  using ChannelPtr = std::shared_ptr<Channel>;
  using Descriptor = boost::asio::posix::basic_stream_descriptor<snowknot::Executor>;

  void carry_out(const std::vector<Succession>& actions);
  void carry_out(const std::vector<Incumbency>& actions);
  void from_incumbent(std::string_view packet, int descriptor);
  void from_successor(const ChannelPtr& channel, std::string_view packet);
  bool await_next();
  void accept_next();
  void watch_ready();
  void count_holdings();
  bool pass_on(int descriptor, std::string_view bytes);

  boost::asio::io_context& io_;
  snowknot::Node& node_;
  snowknot::Tcp::endpoint listen_;
  std::string place_;
  Successor new_;
  Incumbent old_;
  snowknot::Clients::ListenerPtr listener_;
  ChannelPtr incumbent_, successor_;
  std::optional<Descriptor> door_;  // where the next process knocks
  snowknot::Timers::Handle overdue_, ready_, holdings_;
};

}  // namespace docklift::succession
