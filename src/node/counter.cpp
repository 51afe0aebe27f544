#include "counter.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <charconv>
#include <cmath>
#include <cstdio>

#include "facts.hpp"

namespace snowknot {

class Counter::Link : public std::enable_shared_from_this<Link> {
 public:
  explicit Link(Counter& owner)
      : owner_(owner),
        timers_(owner.timers_),
        at_(owner.at_),
        timeout_(owner.timeout_),
        told_(owner.told_),
        socket_(owner.io_.get_executor()) {}

  bool tried() const { return tried_; }
  bool up() const { return stage_ == Stage::up; }
  bool stopped() const { return stage_ == Stage::stopped; }

  void connect() {
    stage_ = Stage::connecting;
    const auto number = ++life_;
    guard_ = timers_.after(facts::kConnectLimit, [self = shared_from_this()] {
      self->guard_.reset();
      self->lose();
    });
    socket_.async_connect(at_, [self = shared_from_this(), number](const error_code& failed) {
      if (number != self->life_ || self->stage_ != Stage::connecting) return;
      if (failed) return self->lose();
      self->tried_ = true;
      self->timers_.cancel(self->guard_);
      self->stage_ = Stage::up;
      self->text_.clear();
      self->heard_ = self->timers_.now();
      set_no_delay(self->socket_);
      self->owner_.up(*self);
      self->read();
      self->flush();
      self->watch();
    });
  }

  void stop() {
    stage_ = Stage::stopped;
    timers_.cancel(guard_);
    for (auto* calls : {&waiting_, &sent_})
      for (auto& c : *calls) timers_.cancel(c.limit);
    close_now(socket_);
  }

  // Takes nothing new and ends when all that was written is answered. What was not written goes to the heir.
  void retire(Link& heir) {
    for (auto& c : std::exchange(waiting_, {})) {
      timers_.cancel(c.limit);
      if (!c.ping) heir.take(std::move(c));
    }
    retired_ = true;
    if (stage_ != Stage::up || sent_.empty()) stop();
  }

  void add(CountName name, double amount, Duration lifetime) {
    if (stage_ == Stage::down) return told_({name, CountOutcome::refused, 0, {}});
    Call c;
    c.name = name, c.began = timers_.now();
    std::array<char, 128> line{};
    const auto life = std::chrono::ceil<std::chrono::milliseconds>(lifetime).count();
    const int n = std::snprintf(line.data(), line.size(), "incr %llu %.9g %lld\r\n",
                                static_cast<unsigned long long>(name), amount,
                                static_cast<long long>(std::max<decltype(life)>(life, 1)));
    c.line.assign(line.data(), static_cast<std::size_t>(n));
    take(std::move(c));
  }

 private:
  enum class Stage { connecting, up, down, stopped };
  struct Call {
    std::uint64_t number = 0;
    CountName name{};
    Time began{};
    std::string line;
    bool ping = false;
    bool told = false;    // its caller has an answer; what comes now is only consumed
    std::size_t end = 0;  // where its last byte stands in the text that is being written; 0: written
    Timers::Handle limit;
  };

  void take(Call c) {
    c.number = ++calls_;
    c.limit = timers_.at(c.began + timeout_,
                         [self = shared_from_this(), number = c.number] { self->overdue(number); });
    waiting_.push_back(std::move(c));
    flush();
  }

  void tell(Call& c, CountOutcome outcome, double total = 0) {
    timers_.cancel(c.limit);
    if (!std::exchange(c.told, true) && !c.ping) told_({c.name, outcome, total, timers_.now() - c.began});
  }

  // A call that was not written is taken back; of one that was, nobody knows.
  void overdue(std::uint64_t number) {
    if (const auto it = std::ranges::find(waiting_, number, &Call::number); it != waiting_.end()) {
      Call c = std::move(*it);
      waiting_.erase(it);
      c.limit.reset();
      return tell(c, CountOutcome::refused);
    }
    const auto it = std::ranges::find(sent_, number, &Call::number);
    if (it == sent_.end()) return;
    it->limit.reset();
    tell(*it, CountOutcome::timeout);
  }

  void flush() {
    if (stage_ != Stage::up || !writing_.empty() || waiting_.empty()) return;
    for (auto& c : waiting_) {
      writing_ += c.line;
      c.end = writing_.size();
      c.line.clear();
      sent_.push_back(std::move(c));
    }
    waiting_.clear();
    asio::async_write(
        socket_, asio::buffer(writing_),
        [self = shared_from_this(), number = life_](const error_code& failed, std::size_t bytes) {
          if (number != self->life_) return;
          for (auto& c : self->sent_)
            if (c.end <= bytes) c.end = 0;
          self->writing_.clear();
          if (self->stage_ != Stage::up) return;
          if (failed) return self->lose(true);
          self->flush();
        });
  }

  void read() {
    socket_.async_read_some(asio::buffer(space_), [self = shared_from_this(), number = life_](
                                                      const error_code& failed, std::size_t bytes) {
      if (number != self->life_ || self->stage_ != Stage::up) return;
      if (failed) return self->lose();
      self->text_.append(self->space_.data(), bytes);
      self->heard_ = self->timers_.now();
      if (!self->take_lines()) return self->lose();
      if (self->retired_ && self->sent_.empty()) return self->stop();
      self->read();
    });
  }

  // False if what came is no answer to what was asked: nothing on this connection can be trusted any more.
  bool take_lines() {
    std::size_t begin = 0;
    for (auto end = text_.find("\r\n"); end != std::string::npos; end = text_.find("\r\n", begin)) {
      const std::string_view line(text_.data() + begin, end - begin);
      begin = end + 2;
      if (sent_.empty()) return false;
      backoff_ = {}, answered_ = true;  // only an answer shows that the counter is well
      Call c = std::move(sent_.front());
      sent_.pop_front();
      double total = 0;
      if (c.ping ? line == "pong" : line == "busy" || line == "error") {
        tell(c, CountOutcome::refused);
      } else if (!c.ping && line.starts_with("ok ") && number(line.substr(3), total)) {
        tell(c, CountOutcome::ok, total);
      } else {
        tell(c, CountOutcome::added);  // the counter answers what it has done, readable or not
        return false;
      }
    }
    text_.erase(0, begin);
    return text_.size() <= (sent_.empty() ? 0 : facts::kMostLine);
  }

  static bool number(std::string_view text, double& value) {
    const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), value);
    return failed == std::errc{} && end == text.data() + text.size() && std::isfinite(value) &&
           std::abs(value) <= facts::kMostTotal;
  }

  // The connection is gone or of no use. What is known not to be written whole was not added.
  void lose(bool write_ended = false) {
    if (stage_ == Stage::stopped || stage_ == Stage::down) return;
    stage_ = Stage::down;
    tried_ = true;
    ++life_;
    timers_.cancel(guard_);
    close_now(socket_);
    writing_.clear();
    auto sent = std::exchange(sent_, {});
    auto waiting = std::exchange(waiting_, {});
    // A connection that has answered is replaced at once, and what was not written waits for the next.
    const bool at_once = std::exchange(answered_, false) && !retired_;
    if (at_once) {
      std::erase_if(waiting, [](const Call& c) { return c.ping; });
      waiting_ = std::exchange(waiting, {});
      connect();
    }
    for (auto& c : sent) tell(c, write_ended && c.end > 0 ? CountOutcome::refused : CountOutcome::timeout);
    for (auto& c : waiting) tell(c, CountOutcome::refused);
    if (at_once) return;
    if (retired_) return stop();
    backoff_ = std::clamp(2 * backoff_, facts::kFirstBackoff, facts::kLongestBackoff);
    guard_ = timers_.after(backoff_, [self = shared_from_this()] {
      self->guard_.reset();
      self->connect();
    });
  }

  // Looks now and then whether the connection still lives, and keeps it from idling.
  void watch() {
    const Time now = timers_.now();
    if (!sent_.empty() && now - std::max(heard_, sent_.front().began) > facts::kCounterSilent * timeout_)
      return lose();
    if (sent_.empty() && now - heard_ > facts::kCounterIdle / 4) {
      Call c;
      c.ping = true, c.number = ++calls_, c.began = now, c.line = "ping\r\n";
      waiting_.push_back(std::move(c));
      flush();
    }
    guard_ = timers_.after(facts::kCounterSilent * timeout_ / 4, [self = shared_from_this()] {
      self->guard_.reset();
      self->watch();
    });
  }

  Counter& owner_;
  Timers& timers_;
  Tcp::endpoint at_;
  Duration timeout_;
  Told told_;
  Socket socket_;
  Stage stage_ = Stage::connecting;
  std::uint64_t life_ = 0, calls_ = 0;  // numbers of connections and of calls
  std::deque<Call> waiting_, sent_;     // not yet written; written or being written
  std::string writing_, text_;
  std::array<char, facts::kReadSize> space_{};
  Timers::Handle guard_;
  Duration backoff_{};
  Time heard_{};
  bool tried_ = false, retired_ = false, answered_ = false;
};

Counter::Counter(asio::io_context& io, Timers& timers, const Tcp::endpoint& at, Duration timeout, Told told)
    : io_(io),
      timers_(timers),
      at_(at),
      timeout_(timeout),
      told_(std::move(told)),
      lanes_(facts::kCounterLinks) {
  for (auto& lane : lanes_) lane.link = open_link();
}

Counter::~Counter() {
  for (const auto& lane : lanes_)
    for (const auto& l : {lane.link, lane.next})
      if (l) l->stop();
  for (const auto& l : former_) l->stop();
}

Counter::LinkPtr Counter::open_link() {
  const auto link = std::make_shared<Link>(*this);
  link->connect();
  return link;
}

void Counter::add(CountName name, double amount, Duration lifetime) {
  auto& lane = lanes_[static_cast<std::uint64_t>(name) % lanes_.size()];  // names are well mixed
  if (lane.next && !lane.link->up()) promote(lane);
  lane.link->add(name, amount, lifetime);
}

void Counter::move_to(const Tcp::endpoint& at) {
  if (at == at_) return;
  at_ = at;
  for (auto& lane : lanes_) {
    if (lane.next) lane.next->stop();  // it never came up, and nothing was given to it
    lane.next = open_link();
    if (!lane.link->up()) promote(lane);
  }
}

void Counter::up(const Link& link) {
  for (auto& lane : lanes_)
    if (lane.next.get() == &link) return promote(lane);
}

void Counter::promote(Lane& lane) {
  const auto old = std::exchange(lane.link, std::exchange(lane.next, nullptr));
  std::erase_if(former_, [](const auto& l) { return l->stopped(); });
  old->retire(*lane.link);
  if (!old->stopped()) former_.push_back(old);
}

bool Counter::tried() const {
  return std::ranges::all_of(lanes_, [](const auto& lane) { return lane.link->tried(); });
}

}  // namespace snowknot
