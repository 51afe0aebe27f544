#include "redis/redis_store.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>

namespace docklift::redis {

using snowknot::Duration;
using snowknot::error_code;
using snowknot::note;

namespace {

constexpr int kSilentCalls = 10;  // time-outs without a byte: the connection is dead

}  // namespace

class RedisStore::Links : public std::enable_shared_from_this<Links> {
 public:
  Links(snowknot::asio::io_context& io, snowknot::Timers& timers, ClientOptions options, Told told, Lost lost)
      : io_(io),
        timers_(timers),
        client_(std::move(options), timers.now()),
        told_(std::move(told)),
        lost_(std::move(lost)) {}

  Client& client() { return client_; }
  snowknot::Time now() const { return timers_.now(); }

  // After each event: what the client wants is done, and its timer is set. Answers may bring on calls, whose actions are
  // carried out by the same loop.
  void settle() {
    if (std::exchange(settling_, true)) return;
    for (auto all = client_.actions(); !all.empty() && !stopped_; all = client_.actions())
      for (auto& a : all) {
        if (stopped_) break;
        std::visit([this](auto& x) { carry_out(x); }, a);
      }
    settling_ = false;
    if (!stopped_) arm();
  }

  void stop() {
    stopped_ = true;
    timers_.cancel(tick_);
    for (auto& [id, l] : links_) snowknot::close_now(l->socket);
    links_.clear();
  }

 private:
  struct Link {
    explicit Link(snowknot::asio::io_context& io) : socket(io.get_executor()) {}
    snowknot::Socket socket;
    std::array<char, 16 * 1024> space{};
    std::string out, writing;
    std::size_t written = 0;
    bool open = true;
  };
  using LinkPtr = std::shared_ptr<Link>;

  void carry_out(const Open& a) {
    const auto l = std::make_shared<Link>(io_);
    links_[a.link] = l;
    l->socket.async_connect(a.to, [self = shared_from_this(), l, id = a.link](const error_code& failed) {
      if (!l->open) return;
      if (failed) return self->ended(id, failed);
      snowknot::set_no_delay(l->socket);
      self->client_.opened(self->now(), id);
      self->settle();
      self->read(id, l);
    });
  }
  void carry_out(const Close& a) {
    const auto it = links_.find(a.link);
    if (it == links_.end()) return;
    it->second->open = false;
    snowknot::close_now(it->second->socket);
    links_.erase(it);
  }
  void carry_out(const Write& a) {
    const auto it = links_.find(a.link);
    if (it == links_.end()) return;
    it->second->out += a.text;
    write(a.link, it->second);
  }
  void carry_out(const Note& a) { note(a.text); }
  void carry_out(const snowknot::CountAnswer& a) { told_(a); }
  void carry_out(const snowknot::CountsLost& a) { lost_(a); }

  void write(LinkId id, const LinkPtr& l) {
    if (!l->writing.empty() || l->out.empty()) return;
    l->writing.swap(l->out);
    snowknot::asio::async_write(l->socket, snowknot::asio::buffer(l->writing),
                                [self = shared_from_this(), l, id](const error_code& failed, std::size_t n) {
                                  if (!l->open) return;
                                  l->written += n;
                                  l->writing.clear();
                                  self->client_.written(self->now(), id, l->written);
                                  if (failed) return self->ended(id, failed);
                                  self->write(id, l);
                                  self->settle();
                                });
  }

  void read(LinkId id, const LinkPtr& l) {
    if (!l->open) return;
    l->socket.async_read_some(snowknot::asio::buffer(l->space),
                              [self = shared_from_this(), l, id](const error_code& failed, std::size_t n) {
                                if (!l->open) return;
                                if (failed) return self->ended(id, failed);
                                self->client_.received(self->now(), id, {l->space.data(), n});
                                self->settle();
                                self->read(id, l);
                              });
  }

  void ended(LinkId id, const error_code& why) {
    client_.ended(now(), id, why.message());
    settle();
  }

  void arm() {
    const auto due = client_.due();
    if (due == armed_ && tick_) return;
    timers_.cancel(tick_);
    armed_ = due;
    if (due)
      tick_ = timers_.at(*due, [self = shared_from_this()] {
        self->tick_.reset();
        self->client_.tick(self->now());
        self->settle();
      });
  }

  snowknot::asio::io_context& io_;
  snowknot::Timers& timers_;
  Client client_;
  Told told_;
  Lost lost_;
  std::map<LinkId, LinkPtr> links_;
  snowknot::Timers::Handle tick_;
  std::optional<snowknot::Time> armed_;
  bool settling_ = false, stopped_ = false;
};

RedisStore::RedisStore(snowknot::asio::io_context& io, snowknot::Timers& timers, ClientOptions options,
                       Duration call_limit, Told told, Lost lost) {
  options.session.call_limit = call_limit;
  options.session.silence_limit = kSilentCalls * call_limit;
  links_ = std::make_shared<Links>(io, timers, std::move(options), std::move(told), std::move(lost));
  links_->settle();
}

RedisStore::~RedisStore() { links_->stop(); }

void RedisStore::add(snowknot::CountName name, double amount, Duration lifetime) {
  links_->client().add(links_->now(), name, amount, lifetime);
  links_->settle();
}

bool RedisStore::tried() const { return links_->client().tried(); }
const Client& RedisStore::client() const { return links_->client(); }

}  // namespace docklift::redis
