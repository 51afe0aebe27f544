// A connection between two of the system's processes: frames of Cap'n Proto with a length ahead of each (4
// bytes, little endian). A link says `alive` when it has nothing else to say, and ends when no byte has
// arrived for `silence`. All calls and callbacks are on one io_context's thread. Callbacks are not called
// after close().
#pragma once

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/net.hpp"
#include "system/base/result.hpp"
#include "system/base/time.hpp"
#include "system/net/encoded_frame.hpp"
#include "system/wire/fleet.capnp.h"

namespace docklift {

using snowknot::Socket;
using snowknot::Tcp;
using Timer = boost::asio::basic_waitable_timer<
    std::chrono::steady_clock, boost::asio::wait_traits<std::chrono::steady_clock>, snowknot::Executor>;
using Acceptor = boost::asio::basic_socket_acceptor<Tcp, snowknot::Executor>;

// ip:port as endpoint; a failure names the text.
Result<Tcp::endpoint> parse_endpoint(const std::string& text);
// Drops what is sent to a peer that says nothing, so that a cut does not hang a connection.
void set_peer_timeout(Socket& socket, Duration timeout);

struct LinkLimits {
  Duration connect = std::chrono::milliseconds(1000);
  Duration alive = std::chrono::milliseconds(500);     // how often it says something
  Duration silence = std::chrono::milliseconds(2000);  // without a byte before it ends
  std::size_t frame_bytes = 96u << 20, queued_bytes = 128u << 20;
};

class Link : public std::enable_shared_from_this<Link> {
 public:
  using OnFrame = std::function<void(wire::Frame::Reader)>;
  using OnClosed = std::function<void(const Failure&)>;

  Link(Socket socket, std::string peer, LinkLimits limits);
  ~Link();

  void start(OnFrame on_frame, OnClosed on_closed);
  void send(capnp::MessageBuilder& message) { send(std::make_shared<EncodedFrame>(message)); }
  void send(const EncodedFramePtr& frame);
  // The peer has said that it reads compressed frames: it is sent them from now on.
  void compress() { compresses_ = true; }
  void close();
  bool open() const { return open_; }
  const std::string& peer() const { return peer_; }  // its ip

 private:
  void read_header();
  void read_body(FrameHeader header);
  void read_piece(std::size_t offset);
  void take_body();
  void take_frame();
  void write();
  void tick();
  void fail(const char* step, const std::string& what);

  Socket socket_;
  Timer timer_;
  std::string peer_;
  LinkLimits limits_;
  OnFrame on_frame_;
  OnClosed on_closed_;
  bool open_ = true, writing_ = false;
  std::chrono::steady_clock::time_point heard_{}, said_{};
  unsigned char header_[kFrameHeaderBytes] = {};
  std::size_t body_bytes_ = 0;
  std::vector<capnp::word> body_;
  struct Queued {
    EncodedFramePtr frame;
    std::string_view bytes;  // of the frame, as it is sent here
  };
  std::deque<Queued> out_;
  std::vector<Queued> sending_;
  bool compresses_ = false;
  bool reads_compressed_ = false;  // the frame whose bytes are read now is compressed
  std::size_t queued_ = 0;
};

// Keeps one link to an address: connects again with growing pauses of 50 to 300 ms, by chance, until stopped.
class Dialer : public std::enable_shared_from_this<Dialer> {
 public:
  using OnOpen = std::function<void(const std::shared_ptr<Link>&)>;  // its start() has not been called
  Dialer(boost::asio::io_context& io, Tcp::endpoint to, LinkLimits limits, Link::OnFrame on_frame,
         OnOpen on_open, Link::OnClosed on_closed);
  void start();
  void stop();
  const std::shared_ptr<Link>& link() const { return link_; }  // null or closed while there is none
  bool is_connected() const { return link_ && link_->open(); }
  const Tcp::endpoint& to() const { return to_; }

 private:
  void connect();
  void again();

  boost::asio::io_context& io_;
  Tcp::endpoint to_;
  LinkLimits limits_;
  Link::OnFrame on_frame_;
  OnOpen on_open_;
  Link::OnClosed on_closed_;
  std::shared_ptr<Link> link_;
  std::shared_ptr<Socket> pending_;
  Timer timer_;
  Duration pause_{};
  bool stopped_ = false;
};

// Accepts links on an address. Throws boost::system::system_error where it can't listen.
class LinkListener {
 public:
  using OnLink = std::function<void(const std::shared_ptr<Link>&)>;  // its start() has not been called
  LinkListener(boost::asio::io_context& io, const Tcp::endpoint& at, LinkLimits limits, OnLink on_link);
  ~LinkListener();
  void close();  // and the links that were accepted

 private:
  void accept();
  std::vector<std::weak_ptr<Link>> links_;
  Acceptor acceptor_;
  LinkLimits limits_;
  OnLink on_link_;
};

}  // namespace docklift
