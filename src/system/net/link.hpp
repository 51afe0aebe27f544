// Connections between the system's processes, which exchange length-prefixed Cap'n Proto messages (see
// encoded_frame.hpp). An idle link sends `alive` frames as keepalives, and a link closes when nothing has
// been received for `receive_timeout`. All calls and callbacks run on the thread of one io_context. No
// callback runs after close().
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

// Parses IP:PORT; the port must not be 0.
Result<Tcp::endpoint> parse_endpoint(const std::string& text);
// Closes a connection whose sent data stays unacknowledged for `timeout`, so that a network partition doesn't
// leave it hanging.
void set_peer_timeout(Socket& socket, Duration timeout);

// Timeouts and size limits of a link.
struct LinkLimits {
  Duration connect_timeout = std::chrono::milliseconds(1000);
  Duration keepalive_interval = std::chrono::milliseconds(500);
  Duration receive_timeout = std::chrono::milliseconds(2000);
  std::size_t max_frame_bytes = 96u << 20, max_queued_bytes = 128u << 20;
};

// One established connection. A failure closes it and is reported once to `on_closed`.
class Link : public std::enable_shared_from_this<Link> {
 public:
  using OnFrame = std::function<void(wire::Frame::Reader)>;
  using OnClosed = std::function<void(const Failure&)>;

  Link(Socket socket, std::string peer, LinkLimits limits);
  ~Link();

  void start(OnFrame on_frame, OnClosed on_closed);
  void send(capnp::MessageBuilder& message) { send(std::make_shared<EncodedFrame>(message)); }
  void send(const EncodedFramePtr& frame);
  // Compresses frames from now on; call it once the peer has announced that it accepts compressed frames.
  void compress() { compresses_ = true; }
  void close();
  bool open() const { return open_; }
  const std::string& peer() const { return peer_; }  // IP address

 private:
  void read_header();
  void read_body(FrameHeader header);
  void read_chunk(std::size_t offset);
  void decode_body();
  void dispatch_frame();
  void write();
  void schedule_keepalive();
  void fail(const char* step, const std::string& what);

  Socket socket_;
  Timer timer_;
  std::string peer_;
  LinkLimits limits_;
  OnFrame on_frame_;
  OnClosed on_closed_;
  bool open_ = true, writing_ = false;
  std::chrono::steady_clock::time_point last_receive_{}, last_send_{};
  unsigned char header_[kFrameHeaderBytes] = {};
  std::size_t body_bytes_ = 0;
  std::vector<capnp::word> body_;
  struct QueuedFrame {
    EncodedFramePtr frame;
    std::string_view bytes;  // the encoding of `frame` that is sent on this link
  };
  std::deque<QueuedFrame> send_queue_;
  std::vector<QueuedFrame> sending_;
  bool compresses_ = false;
  bool body_compressed_ = false;  // of the frame that is being read
  std::size_t queued_bytes_ = 0;
};

// Maintains one link to an address: reconnects with jittered exponential backoff (50 to 300 ms) until
// stopped.
class Dialer : public std::enable_shared_from_this<Dialer> {
 public:
  using OnOpen = std::function<void(const std::shared_ptr<Link>&)>;  // its start() has not been called
  Dialer(boost::asio::io_context& io, Tcp::endpoint to, LinkLimits limits, Link::OnFrame on_frame,
         OnOpen on_open, Link::OnClosed on_closed);
  void start();
  void stop();
  const std::shared_ptr<Link>& link() const { return link_; }  // null or closed while disconnected
  bool is_connected() const { return link_ && link_->open(); }
  const Tcp::endpoint& to() const { return to_; }

 private:
  void connect();
  void schedule_reconnect();

  boost::asio::io_context& io_;
  Tcp::endpoint to_;
  LinkLimits limits_;
  Link::OnFrame on_frame_;
  OnOpen on_open_;
  Link::OnClosed on_closed_;
  std::shared_ptr<Link> link_;
  std::shared_ptr<Socket> connecting_socket_;
  Timer timer_;
  Duration backoff_{};
  bool stopped_ = false;
};

// Accepts links on an address. The constructor throws boost::system::system_error if it can't listen.
class LinkListener {
 public:
  using OnLink = std::function<void(const std::shared_ptr<Link>&)>;  // its start() has not been called
  LinkListener(boost::asio::io_context& io, const Tcp::endpoint& at, LinkLimits limits, OnLink on_link);
  ~LinkListener();
  void close();  // also closes the accepted links

 private:
  void accept();
  std::vector<std::weak_ptr<Link>> links_;
  Acceptor acceptor_;
  LinkLimits limits_;
  OnLink on_link_;
};

}  // namespace docklift
