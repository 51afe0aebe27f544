#include "system/net/link.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <random>

namespace docklift {
namespace {
constexpr std::size_t kReadChunkBytes = 32u << 10;  // 0.13 s at 2 Mbit/s
}  // namespace
namespace asio = boost::asio;
using boost::system::error_code;

Result<Tcp::endpoint> parse_endpoint(const std::string& text) {
  const auto at = snowknot::endpoint_of(text);
  if (!at || at->port() == 0) return Failure{"read address", text, "expected IP:PORT"};
  return *at;
}

void set_peer_timeout(Socket& socket, Duration timeout) {
  const int ms = static_cast<int>(millis(timeout));
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
}

Link::Link(Socket socket, std::string peer, LinkLimits limits)
    : socket_(std::move(socket)), timer_(socket_.get_executor()), peer_(std::move(peer)), limits_(limits) {
  error_code ignored;
  socket_.set_option(Tcp::no_delay(true), ignored);
  set_peer_timeout(socket_, limits_.receive_timeout);
}

Link::~Link() = default;

void Link::start(OnFrame on_frame, OnClosed on_closed) {
  on_frame_ = std::move(on_frame), on_closed_ = std::move(on_closed);
  last_receive_ = last_send_ = std::chrono::steady_clock::now();
  read_header();
  schedule_keepalive();
}

void Link::send(const EncodedFramePtr& frame) {
  if (!open_) return;
  const std::string_view bytes = compresses_ ? frame->shortest() : frame->plain();
  if (queued_bytes_ + bytes.size() > limits_.max_queued_bytes)
    return fail("send", "the send queue is full: the peer does not read");
  queued_bytes_ += bytes.size();
  send_queue_.push_back({frame, bytes});
  if (writing_) return;
  // Frames sent in the same iteration of the event loop are written together.
  writing_ = true;
  asio::post(socket_.get_executor(), [self = shared_from_this()] { self->write(); });
}

void Link::write() {
  if (!open_) return;
  if (send_queue_.empty()) return void(writing_ = false);
  sending_.assign(std::make_move_iterator(send_queue_.begin()), std::make_move_iterator(send_queue_.end()));
  send_queue_.clear();
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(sending_.size());
  for (const auto& queued : sending_) buffers.push_back(asio::buffer(queued.bytes));
  asio::async_write(socket_, buffers, [self = shared_from_this()](error_code failed, std::size_t sent) {
    self->queued_bytes_ -= std::min(self->queued_bytes_, sent);
    if (failed) return self->fail("write", failed.message());
    self->last_send_ = std::chrono::steady_clock::now();
    self->write();
  });
}

void Link::read_header() {
  asio::async_read(socket_, asio::buffer(header_),
                   [self = shared_from_this()](error_code failed, std::size_t) {
                     if (failed) return self->fail("read", failed.message());
                     const auto header = read_frame_header(self->header_);
                     const bool whole_words = header.compressed || header.bytes % sizeof(capnp::word) == 0;
                     if (header.bytes == 0 || !whole_words || header.bytes > self->limits_.max_frame_bytes)
                       return self->fail("read", "invalid frame length");
                     self->read_body(header);
                   });
}

void Link::read_body(FrameHeader header) {
  if (!open_) return;
  body_compressed_ = header.compressed;
  body_bytes_ = header.bytes;
  body_.resize((body_bytes_ + sizeof(capnp::word) - 1) / sizeof(capnp::word));
  read_chunk(0);
}

// Each chunk resets the receive timeout: on a slow path a whole frame can take longer than that.
void Link::read_chunk(std::size_t offset) {
  const auto chunk = std::min(kReadChunkBytes, body_bytes_ - offset);
  auto* const bytes = reinterpret_cast<unsigned char*>(body_.data());
  asio::async_read(socket_, asio::buffer(bytes + offset, chunk),
                   [self = shared_from_this(), next = offset + chunk](error_code failed, std::size_t) {
                     if (failed) return self->fail("read", failed.message());
                     if (!self->open_) return;
                     self->last_receive_ = std::chrono::steady_clock::now();
                     if (next < self->body_bytes_) return self->read_chunk(next);
                     self->decode_body();
                   });
}

void Link::decode_body() {
  if (body_compressed_) {
    auto words = decompress({reinterpret_cast<const char*>(body_.data()), body_bytes_},
                            limits_.max_frame_bytes);
    if (!words) return fail("read", "invalid compressed frame");
    body_ = std::move(*words);
  }
  dispatch_frame();
}

void Link::dispatch_frame() {
  try {
    capnp::ReaderOptions options;
    options.traversalLimitInWords = 64u << 20;
    capnp::FlatArrayMessageReader reader(kj::arrayPtr(body_.data(), body_.size()), options);
    const auto frame = reader.getRoot<wire::Frame>();
    if (!frame.isAlive()) on_frame_(frame);
  } catch (const kj::Exception& x) {
    return fail("read", x.getDescription().cStr());
  }
  if (body_.capacity() > (1u << 16)) std::vector<capnp::word>().swap(body_);
  if (open_) read_header();
}

void Link::schedule_keepalive() {
  if (!open_) return;
  timer_.expires_after(limits_.keepalive_interval / 2);
  timer_.async_wait([self = shared_from_this()](error_code failed) {
    if (failed || !self->open_) return;
    const auto now = std::chrono::steady_clock::now();
    if (now - self->last_receive_ > self->limits_.receive_timeout) return self->fail("read", "silence");
    if (!self->writing_ && now - self->last_send_ >= self->limits_.keepalive_interval) {
      capnp::MallocMessageBuilder message(8);
      message.initRoot<wire::Frame>().setAlive();
      self->send(message);
    }
    self->schedule_keepalive();
  });
}

void Link::fail(const char* step, const std::string& what) {
  if (!open_) return;
  const auto self = shared_from_this();
  const auto on_closed = std::move(on_closed_);
  close();
  if (on_closed) on_closed(Failure{step, peer_, what});
}

void Link::close() {
  if (!std::exchange(open_, false)) return;
  error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
  // Deferred, because one of these callbacks may be running now.
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->on_frame_ = nullptr, self->on_closed_ = nullptr;
    self->send_queue_.clear();
  });
}

Dialer::Dialer(asio::io_context& io, Tcp::endpoint to, LinkLimits limits, Link::OnFrame on_frame,
               OnOpen on_open, Link::OnClosed on_closed)
    : io_(io),
      to_(std::move(to)),
      limits_(limits),
      on_frame_(std::move(on_frame)),
      on_open_(std::move(on_open)),
      on_closed_(std::move(on_closed)),
      timer_(io.get_executor()) {}

void Dialer::start() { connect(); }

void Dialer::stop() {
  stopped_ = true;
  timer_.cancel();
  if (connecting_socket_) {
    error_code ignored;
    connecting_socket_->close(ignored);
  }
  // Link and dialer reference each other; once the event loop has ended, nothing else breaks the cycle.
  if (const auto link = std::exchange(link_, nullptr)) link->close();
}

void Dialer::connect() {
  if (stopped_) return;
  connecting_socket_ = std::make_shared<Socket>(io_.get_executor());
  const auto socket = connecting_socket_;
  timer_.expires_after(limits_.connect_timeout);
  timer_.async_wait([self = shared_from_this(), socket](error_code failed) {
    error_code ignored;
    if (!failed && self->connecting_socket_ == socket) socket->close(ignored);
  });
  socket->async_connect(to_, [self = shared_from_this(), socket](error_code failed) {
    self->timer_.cancel();
    self->connecting_socket_ = nullptr;
    if (self->stopped_) return;
    if (failed) {
      self->on_closed_(Failure{"connect", self->to_.address().to_string(), failed.message()});
      return self->schedule_reconnect();
    }
    self->backoff_ = {};
    self->link_ = std::make_shared<Link>(std::move(*socket), self->to_.address().to_string(), self->limits_);
    const auto link = self->link_;
    link->start(self->on_frame_, [self](const Failure& why) {
      self->on_closed_(why);
      self->schedule_reconnect();
    });
    self->on_open_(link);
  });
}

void Dialer::schedule_reconnect() {
  if (stopped_) return;
  static std::minstd_rand random(std::random_device{}());
  backoff_ = std::clamp<Duration>(backoff_ * 2, std::chrono::milliseconds(50),
                                  std::chrono::milliseconds(300));
  timer_.expires_after(backoff_ * (50 + static_cast<int>(random() % 51)) / 100);
  timer_.async_wait([self = shared_from_this()](error_code failed) {
    if (!failed) self->connect();
  });
}

LinkListener::LinkListener(asio::io_context& io, const Tcp::endpoint& at, LinkLimits limits, OnLink on_link)
    : acceptor_(io.get_executor()), limits_(limits), on_link_(std::move(on_link)) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(Acceptor::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen();
  accept();
}

LinkListener::~LinkListener() { close(); }

void LinkListener::close() {
  error_code ignored;
  acceptor_.close(ignored);
  for (const auto& weak : std::exchange(links_, {}))
    if (const auto link = weak.lock()) link->close();
}

void LinkListener::accept() {
  acceptor_.async_accept([this](error_code failed, Socket socket) {
    if (failed == asio::error::operation_aborted) return;
    if (!failed) {
      error_code disconnected;
      const auto peer = socket.remote_endpoint(disconnected);
      if (!disconnected) {
        const auto link = std::make_shared<Link>(std::move(socket), peer.address().to_string(), limits_);
        std::erase_if(links_, [](const auto& weak) { return weak.expired(); });
        links_.push_back(link);
        on_link_(link);
      }
    }
    accept();
  });
}

}  // namespace docklift
