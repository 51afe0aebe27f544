#include "link_relay.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace docklift::test {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t kBufferBytes = 16384;

}  // namespace

// One relayed connection: both sockets, and the data in transit in each direction.
struct LinkRelay::Connection : std::enable_shared_from_this<Connection> {
  Connection(LinkRelay& owner, Socket from)
      : relay(&owner), sockets{std::move(from), Socket(owner.io_.get_executor())} {}

  // Resumes whatever was blocked.
  void resume() {
    if (closed) return;
    if (!connected) return connect();
    for (std::size_t direction = 0; direction < sockets.size(); ++direction) relay_data(direction);
  }
  // Establishes the onward connection, which needs both directions to be unblocked.
  void connect() {
    if (connecting || relay->blocked_[0] || relay->blocked_[1]) return;
    connecting = true;
    sockets[1].async_connect(relay->to_, [self = shared_from_this()](const error_code& failed) {
      if (failed || self->closed) return self->close();
      self->connected = true;
      error_code ignored;
      for (auto& socket : self->sockets) socket.set_option(Tcp::no_delay(true), ignored);
      self->resume();
    });
  }
  void relay_data(std::size_t direction) {
    if (closed || busy[direction] || relay->blocked_[direction]) return;
    busy[direction] = true;
    if (buffered_bytes[direction] > 0) return write(direction);
    sockets[direction].async_read_some(
        asio::buffer(buffers[direction]),
        [self = shared_from_this(), direction](const error_code& failed, std::size_t bytes) {
          self->busy[direction] = false;
          if (failed) return self->close();
          self->buffered_bytes[direction] = bytes;
          self->relay_data(direction);  // holds the data back if the direction was blocked meanwhile
        });
  }
  void write(std::size_t direction) {
    asio::async_write(sockets[1 - direction], asio::buffer(buffers[direction], buffered_bytes[direction]),
                      [self = shared_from_this(), direction](const error_code& failed, std::size_t) {
                        self->busy[direction] = false;
                        self->buffered_bytes[direction] = 0;
                        if (failed) return self->close();
                        self->relay_data(direction);
                      });
  }
  void close() {
    closed = true;
    for (auto& socket : sockets) snowknot::close_now(socket);
  }

  LinkRelay* relay;  // null once the relay is destroyed
  std::array<Socket, 2> sockets;
  std::array<std::array<char, kBufferBytes>, 2> buffers{};
  std::array<std::size_t, 2> buffered_bytes{};
  std::array<bool, 2> busy{};
  bool connecting = false;
  bool connected = false;
  bool closed = false;
};

LinkRelay::LinkRelay(asio::io_context& io, const Tcp::endpoint& at, const Tcp::endpoint& to)
    : io_(io), to_(to), acceptor_(io.get_executor()) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(Acceptor::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen();
  accept();
}

LinkRelay::~LinkRelay() {
  for (const auto& connection : connections_) {
    connection->relay = nullptr;
    connection->close();
  }
}

void LinkRelay::cut(std::size_t direction, bool blocked) {
  blocked_.at(direction) = blocked;
  if (blocked) return;
  const auto connections = connections_;
  for (const auto& connection : connections) connection->resume();
}

void LinkRelay::accept() {
  acceptor_.async_accept(lifetime_.bind([this](const error_code& failed, Socket from) {
    if (!failed) {
      const auto connection = std::make_shared<Connection>(*this, std::move(from));
      std::erase_if(connections_, [](const auto& existing) { return existing->closed; });
      connections_.push_back(connection);
      connection->resume();
    }
    accept();
  }));
}

}  // namespace docklift::test
