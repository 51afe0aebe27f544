#include "link_relay.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace docklift::test {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t kPieceBytes = 16384;

}  // namespace

// One connection: two sockets, and what is on its way from each to the other.
struct LinkRelay::Pipe : std::enable_shared_from_this<Pipe> {
  Pipe(LinkRelay& owner, Socket from)
      : relay(&owner), ends{std::move(from), Socket(owner.io_.get_executor())} {}

  // Goes on where a cut or an ended piece has left off.
  void proceed() {
    if (ended) return;
    if (!connected) return connect();
    for (std::size_t direction = 0; direction < ends.size(); ++direction) pump(direction);
  }
  // A connection comes up only where both directions pass.
  void connect() {
    if (connecting || relay->cut_[0] || relay->cut_[1]) return;
    connecting = true;
    ends[1].async_connect(relay->to_, [self = shared_from_this()](const error_code& failed) {
      if (failed || self->ended) return self->end();
      self->connected = true;
      error_code ignored;
      for (auto& one : self->ends) one.set_option(Tcp::no_delay(true), ignored);
      self->proceed();
    });
  }
  void pump(std::size_t direction) {
    if (ended || busy[direction] || relay->cut_[direction]) return;
    busy[direction] = true;
    if (waiting[direction] > 0) return write(direction);
    ends[direction].async_read_some(
        asio::buffer(pieces[direction]),
        [self = shared_from_this(), direction](const error_code& failed, std::size_t bytes) {
          self->busy[direction] = false;
          if (failed) return self->end();
          self->waiting[direction] = bytes;
          self->pump(direction);  // what came just as it was cut waits here
        });
  }
  void write(std::size_t direction) {
    asio::async_write(ends[1 - direction], asio::buffer(pieces[direction], waiting[direction]),
                      [self = shared_from_this(), direction](const error_code& failed, std::size_t) {
                        self->busy[direction] = false;
                        self->waiting[direction] = 0;
                        if (failed) return self->end();
                        self->pump(direction);
                      });
  }
  void end() {
    ended = true;
    for (auto& one : ends) snowknot::close_now(one);
  }

  LinkRelay* relay;  // null: it has ended
  std::array<Socket, 2> ends;
  std::array<std::array<char, kPieceBytes>, 2> pieces{};
  std::array<std::size_t, 2> waiting{};
  std::array<bool, 2> busy{};
  bool connecting = false;
  bool connected = false;
  bool ended = false;
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
  for (const auto& pipe : pipes_) {
    pipe->relay = nullptr;
    pipe->end();
  }
}

void LinkRelay::cut(std::size_t direction, bool on) {
  cut_.at(direction) = on;
  if (on) return;
  const auto pipes = pipes_;
  for (const auto& pipe : pipes) pipe->proceed();
}

void LinkRelay::accept() {
  acceptor_.async_accept([this](const error_code& failed, Socket from) {
    if (failed == asio::error::operation_aborted) return;
    if (!failed) {
      const auto pipe = std::make_shared<Pipe>(*this, std::move(from));
      std::erase_if(pipes_, [](const auto& one) { return one->ended; });
      pipes_.push_back(pipe);
      pipe->proceed();
    }
    accept();
  });
}

}  // namespace docklift::test
