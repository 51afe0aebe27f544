#include "succession/replacement.hpp"

#include <fcntl.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <cstring>

namespace docklift::succession {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using snowknot::error_code;
using snowknot::note;

namespace {

constexpr std::size_t kMostPacket = 96 * 1024;  // bytes: a head and a body that is held whole, and a word
constexpr snowknot::Duration kAnswerLimit = 1s, kReadyPoll = 5ms, kHoldingsPoll = 50ms;

sockaddr_un address_of(const std::string& path) {
  sockaddr_un a{};
  a.sun_family = AF_UNIX;
  std::memcpy(a.sun_path, path.data(), std::min(path.size(), sizeof a.sun_path - 1));
  return a;
}

int packet_socket() { return ::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC | SOCK_NONBLOCK, 0); }

// Only a process of the same user is spoken with.
bool same_user(int fd) {
  ucred who{};
  socklen_t length = sizeof who;
  return ::getsockopt(fd, SOL_SOCKET, SO_PEERCRED, &who, &length) == 0 && who.uid == ::geteuid();
}

}  // namespace

std::string meeting_place(const snowknot::Tcp::endpoint& listens) {
  const char* folder = std::getenv("TMPDIR");
  if (folder == nullptr || *folder == '\0') return {};
  const auto path = std::string(folder) + "/docklift-" + snowknot::shown(listens);
  // A longer one while the name is moved over.
  return path.size() + 8 < sizeof(sockaddr_un{}.sun_path) ? path : std::string();
}

// Packets, some with a descriptor. What can't be sent at once is not sent.
class Replacement::Channel : public std::enable_shared_from_this<Channel> {
 public:
  using Came = std::function<void(std::string_view, int)>;  // the descriptor is the callee's; -1: none came
  Channel(asio::io_context& io, int fd) : stream_(io.get_executor(), fd), space_(kMostPacket) {}

  void start(Came came, std::function<void()> ended) {
    came_ = std::move(came), ended_ = std::move(ended);
    wait();
  }
  bool send(std::string_view packet, int descriptor = -1) {
    iovec part{const_cast<char*>(packet.data()), packet.size()};
    alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
    msghdr message{};
    message.msg_iov = &part, message.msg_iovlen = 1;
    if (descriptor >= 0) {
      message.msg_control = control.data(), message.msg_controllen = control.size();
      auto* c = CMSG_FIRSTHDR(&message);
      c->cmsg_level = SOL_SOCKET, c->cmsg_type = SCM_RIGHTS, c->cmsg_len = CMSG_LEN(sizeof descriptor);
      std::memcpy(CMSG_DATA(c), &descriptor, sizeof descriptor);
    }
    return stream_.is_open() && ::sendmsg(stream_.native_handle(), &message, MSG_NOSIGNAL | MSG_DONTWAIT) >= 0;
  }
  void close() {
    came_ = nullptr, ended_ = nullptr;
    error_code ignored;
    stream_.close(ignored);
  }

 private:
  void wait() {
    stream_.async_wait(Descriptor::wait_read, [self = shared_from_this()](const error_code& failed) {
      if (!failed && self->came_) self->read();
    });
  }
  // A few at a time, so that others have their turn.
  void read() {
    for (int n = 0; n < 16; ++n) {
      iovec part{space_.data(), space_.size()};
      alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
      msghdr message{};
      message.msg_iov = &part, message.msg_iovlen = 1;
      message.msg_control = control.data(), message.msg_controllen = control.size();
      const auto got = ::recvmsg(stream_.native_handle(), &message, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
      if (got < 0 && (errno == EAGAIN || errno == EINTR)) break;
      if (got <= 0) {
        const auto ended = std::exchange(ended_, nullptr);
        close();
        return ended();
      }
      int descriptor = -1;
      if (const auto* c = CMSG_FIRSTHDR(&message); c != nullptr && c->cmsg_type == SCM_RIGHTS)
        std::memcpy(&descriptor, CMSG_DATA(c), sizeof descriptor);
      const auto came = came_;
      came({space_.data(), static_cast<std::size_t>(got)}, descriptor);
      if (!came_) return;
    }
    wait();
  }

  Descriptor stream_;
  std::vector<char> space_;
  Came came_;
  std::function<void()> ended_;
};

Replacement::Replacement(asio::io_context& io, snowknot::Node& node, snowknot::Tcp::endpoint listen, std::size_t descriptors,
                         std::string place)
    : io_(io), node_(node), listen_(listen), place_(std::move(place)), new_(descriptors), old_(descriptors) {
  node_.front().share_address();
  node_.front().keep_partial();
}

Replacement::~Replacement() {
  for (auto* t : {&overdue_, &ready_, &holdings_}) node_.timers().cancel(*t);
  for (const auto& c : {incumbent_, successor_})
    if (c) c->close();
}

void Replacement::start() {
  if (const int fd = place_.empty() ? -1 : packet_socket(); fd >= 0) {
    const auto at = address_of(place_);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0 && same_user(fd)) {
      incumbent_ = std::make_shared<Channel>(io_, fd);
      incumbent_->start([this](std::string_view packet, int descriptor) { from_incumbent(packet, descriptor); },
                        [this] {
                          incumbent_.reset();
                          carry_out(new_.incumbent_ended());
                        });
      incumbent_->send(hello());
      overdue_ = node_.timers().after(kAnswerLimit, [this] {
        overdue_.reset();
        carry_out(new_.overdue());
      });
    } else {
      ::close(fd);
    }
  }
  node_.begin();
  if (!incumbent_) carry_out(new_.nobody_there());
  watch_ready();
}

void Replacement::watch_ready() {
  if (node_.is_ready()) return carry_out(new_.ready());
  ready_ = node_.timers().after(kReadyPoll, [this] {
    ready_.reset();
    watch_ready();
  });
}

void Replacement::from_incumbent(std::string_view packet, int descriptor) {
  const auto word = read_word(packet);
  switch (word.kind) {
    case Word::Kind::listener:
      if (descriptor < 0) break;
      node_.timers().cancel(overdue_);
      if (listener_) break;  // it came too late
      listener_ = node_.front().adopt(descriptor);
      return carry_out(new_.came_listener(word.number));
    case Word::Kind::promise: carry_out(new_.came_promise(word.number)); break;
    case Word::Kind::client:
      if (descriptor >= 0) return node_.front().take_over(descriptor, std::string(word.bytes));
      note("a client's connection was passed on and could not be taken");
      break;
    default: break;
  }
  if (descriptor >= 0) ::close(descriptor);
}

void Replacement::carry_out(const std::vector<Succession>& actions) {
  for (const auto a : actions) {
    switch (a) {
      case Succession::bind: listener_ = node_.front().bind(listen_); break;
      case Succession::adopt: note("takes the place of the process that runs"); break;
      case Succession::accept: node_.front().serve(listener_); break;
      case Succession::tell_serving:
        if (incumbent_) incumbent_->send(serving());
        break;
      case Succession::share: node_.set_descriptors(new_.share()); break;
      case Succession::await_next:
        if (!place_.empty() && !await_next()) note("can't be replaced: " + place_ + ": " + std::strerror(errno));
        break;
    }
  }
}

// ---- The running one ------------------------------------------------------------------------------------------------

// Under the name at once and whole: made under another one and moved over that of a process before.
bool Replacement::await_next() {
  const int fd = packet_socket();
  if (fd < 0) return false;
  door_.emplace(io_.get_executor(), fd);
  const auto made = place_ + "+new";
  ::unlink(made.c_str());
  const auto at = address_of(made);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, 4) != 0 ||
      std::rename(made.c_str(), place_.c_str()) != 0) {
    door_.reset();
    return false;
  }
  accept_next();
  return true;
}

void Replacement::accept_next() {
  door_->async_wait(Descriptor::wait_read, [this](const error_code& failed) {
    if (failed) return;
    const int fd = ::accept4(door_->native_handle(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (fd >= 0 && same_user(fd)) {
      const auto channel = std::make_shared<Channel>(io_, fd);
      channel->start([this, channel](std::string_view packet, int descriptor) {
        if (descriptor >= 0) ::close(descriptor);
        from_successor(channel, packet);
      },
                     [this, channel] {
                       if (channel != successor_) return;
                       successor_.reset();
                       carry_out(old_.successor_ended());
                     });
    } else if (fd >= 0) {
      ::close(fd);
    }
    accept_next();
  });
}

void Replacement::from_successor(const ChannelPtr& channel, std::string_view packet) {
  const auto word = read_word(packet);
  if (word.kind == Word::Kind::hello) {
    const auto actions = old_.asked(word.number);
    if (actions.empty() || actions.front() == Incumbency::refuse) return channel->close();
    successor_ = channel;
    return carry_out(actions);
  }
  if (channel != successor_) return channel->close();
  if (word.kind == Word::Kind::serving) carry_out(old_.successor_serves());
}

void Replacement::carry_out(const std::vector<Incumbency>& actions) {
  for (const auto a : actions) {
    switch (a) {
      case Incumbency::give_listener:
        node_.set_descriptors(old_.promised());
        if (!successor_->send(listener(old_.promised()), listener_->acceptor.native_handle())) {
          successor_->close();
          successor_.reset();
          carry_out(old_.successor_ended());
        }
        break;
      case Incumbency::refuse: break;
      case Incumbency::stop_accepting:
        note("another process serves in the place of this one");
        node_.front().pause(listener_);
        node_.front().set_heir([this](int fd, std::string_view bytes) { return pass_on(fd, bytes); });
        count_holdings();
        break;
      case Incumbency::accept_again:
        note("the process that served in the place of this one has ended");
        node_.timers().cancel(holdings_);
        node_.front().set_heir({});
        node_.front().serve(listener_);
        break;
      case Incumbency::take_back: node_.set_descriptors(old_.promised()); break;
      case Incumbency::promise:
        node_.hold_to(old_.promised());
        if (successor_) successor_->send(promise(old_.promised()));
        break;
    }
  }
}

bool Replacement::pass_on(int descriptor, std::string_view bytes) {
  return successor_ && bytes.size() + 64 < kMostPacket && successor_->send(client(bytes), descriptor);
}

void Replacement::count_holdings() {
  node_.front().offer_all();
  carry_out(old_.holds(node_.descriptors_held()));
  holdings_ = node_.timers().after(kHoldingsPoll, [this] {
    holdings_.reset();
    count_holdings();
  });
}

}  // namespace docklift::succession
