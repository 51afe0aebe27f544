#include "system/proxy/session.hpp"

#include <poll.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace docklift::proxy {
namespace asio = boost::asio;
using boost::system::error_code;
using stream::BodyDecoder;

namespace {
constexpr std::size_t kAhead = std::size_t{64} * 1024;  // bytes read behind requests that are under way
constexpr std::size_t kTogether = 16;                   // requests of one connection under way
constexpr Duration kWrite = std::chrono::seconds(20);
// A connection that the client may still have sent on, after the last answer: closed at once it would be reset, and the
// answer perhaps be lost with it.
constexpr Duration kLinger = std::chrono::milliseconds(300);
constexpr Duration kCloseWatch = std::chrono::milliseconds(250);  // of a connection that is not read
}  // namespace

Session::Session(Host& host, snowknot::Timers& timers, Socket socket)
    : host_(&host), timers_(timers), socket_(std::move(socket)) {}

void Session::start() {
  wait_for(host_->limits().header_ms, false);
  read();
}

void Session::wait_for(double ms, bool idle) {
  timers_.cancel(limit_);
  limit_ = timers_.after(from_millis(ms), [self = shared_from_this(), idle] {
    self->limit_.reset();
    if (self->in_.empty()) return self->close();
    // A request has begun as the idle time ended; it has its own time.
    if (idle) return self->wait_for(self->host_->limits().header_ms, false);
    self->refuse({408});
  });
}

void Session::read() {
  if (reading_ || closed_) return;
  if (!slots_.empty() && in_.size() > kAhead) return watch_for_close();
  reading_ = true;
  // Not into in_ itself: what is behind a request is taken from it while a read is out.
  socket_.async_read_some(asio::buffer(chunk_),
                          [self = shared_from_this()](error_code failed, std::size_t n) {
                            self->reading_ = false;
                            if (self->closed_) return;
                            if (failed) return self->close();
                            if (!self->lingering_) self->in_.append(self->chunk_.data(), n);
                            self->read();
                            self->take_in_next_turn();
                          });
}

// A close that came with the bytes is seen before: what a client has given up while this process stood still is not
// begun.
void Session::take_in_next_turn() {
  if (std::exchange(taking_, true)) return;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->taking_ = false;
    if (self->closed_) return;
    self->take();
    self->read();
  });
}

// While nothing more is read, a close behind what was not read must show all the same.
void Session::watch_for_close() {
  if (std::exchange(watching_, true)) return;
  timers_.after(kCloseWatch, [self = shared_from_this()] {
    self->watching_ = false;
    if (self->closed_) return;
    pollfd state{self->socket_.native_handle(), POLLRDHUP, 0};
    if (::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
      return self->close();
    self->read();
  });
}

// Hands over whole requests as long as there are any and they may be under way.
void Session::take() {
  while (!closed_ && !whole_ && keep_ && slots_.size() < kTogether) {
    if (!in_body_ && !read_head()) return;
    if (!take_body()) return;
    in_body_ = false, whole_ = true;
    timers_.cancel(limit_);
    if (request_.has_body) {
      request_.head += "Content-Length: " + std::to_string(body_.size()) + "\r\n";
      request_.body = std::make_shared<const std::string>(std::move(body_));
      body_ = {};
    }
    begin();
  }
}

void Session::begin() {
  const bool repeatable = host_->is_repeatable(request_);
  // Until it is alone: in a drain as well, so that no answer is held behind a longer request at the end.
  if (!slots_.empty() && (host_->draining() || !(repeatable && repeatable_))) return;
  repeatable_ = repeatable, whole_ = false;
  const auto number = ++numbers_;
  slots_.push_back({number, false, !keep_, {}, 0});
  host_->on_request(shared_from_this(), number, std::move(request_));
}

bool Session::read_head() {
  const auto limits = host_->limits();
  http::Head head;
  const auto r = http::parse_request_head(in_, limits.header_bytes, head);
  if (r.status == http::ParseStatus::incomplete) {
    if (!in_.empty() && !limit_ && slots_.empty()) wait_for(limits.header_ms, false);
    return false;
  }
  if (r.status == http::ParseStatus::malformed) return refuse({400}), false;
  if (r.status != http::ParseStatus::complete) return refuse(host_->denial(431)), false;
  const auto kind = http::request_body_kind(head);
  const auto host = head.only("Host");
  const auto id = head.only("Attempt-Id");
  if (!kind || !host || !id || id->empty()) return refuse({400}), false;
  if (kind->coding == stream::Coding::length && kind->length > limits.body_bytes)
    return refuse(host_->denial(413)), false;
  request_ = {};
  request_.method = head.method, request_.target = head.target, request_.host = *host,
  request_.attempt_id = *id;
  if (const auto key = head.only("Key")) request_.key = *key;
  if (const auto ms = head.only("Deadline")) request_.deadline_ms = http::number(*ms);
  auto& to = request_.head;
  to.reserve(r.used + 160);
  to.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
  for (const auto& f : head.fields) {
    if (http::is_hop(f.name, head) || http::same(f.name, "Key") || http::same(f.name, "Tenant") ||
        http::same(f.name, "Deadline") || http::same(f.name, "Want-Instance"))
      continue;
    to.append(f.name).append(": ").append(f.value).append("\r\n");
  }
  keep_ = head.keeps_alive();
  request_.has_body = kind->coding != stream::Coding::none;
  const bool asks = request_.has_body && head.lists("Expect", "100-continue");
  decoder_ = BodyDecoder(*kind);
  body_.clear();
  in_body_ = true;
  in_.erase(0, r.used);
  if (asks && in_.empty()) {
    static const std::string go_on = "HTTP/1.1 100 Continue\r\n\r\n";
    error_code ignored;
    asio::write(socket_, asio::buffer(go_on), ignored);
  }
  return true;
}

bool Session::take_body() {
  std::size_t used = 0;
  const auto limit = host_->limits().body_bytes;
  while (!decoder_.done()) {
    const auto step = decoder_.next(std::string_view(in_).substr(used));
    if (step.status == BodyDecoder::Status::bad) return refuse({400}), false;
    body_.append(step.data);
    used += step.used;
    if (body_.size() > limit) return refuse(host_->denial(413)), false;
    if (step.status == BodyDecoder::Status::more) break;
  }
  in_.erase(0, used);
  return decoder_.done();
}

void Session::answer(std::uint64_t number, std::string reply, std::size_t body_at) {
  if (closed_) return;
  for (auto& slot : slots_) {
    if (slot.number != number || slot.done) continue;
    slot.done = true, slot.reply = std::move(reply), slot.body_at = body_at;
    break;
  }
  write_next();
}

void Session::answer(std::uint64_t number, const OwnAnswer& own) {
  std::string reply = "HTTP/1.1 " + std::to_string(own.status) + " " + std::string(http::reason(own.status)) +
                      "\r\n";
  reply += "Content-Length: 0\r\n";
  if (own.retry_after > Duration{}) {
    char text[32];
    std::snprintf(text, sizeof text, "Retry-After: %.3f\r\n", seconds(own.retry_after));
    reply += text;
  }
  const auto at = reply.size();
  reply += "\r\n";
  answer(number, std::move(reply), at);
}

// Of a request that can't be read: the connection ends, behind the answers to those before it.
void Session::refuse(const OwnAnswer& why) {
  if (closed_) return;
  keep_ = false;
  timers_.cancel(limit_);
  const auto number = ++numbers_;
  slots_.push_back({number, false, true, {}, 0});
  answer(number, why);
}

void Session::write_next() {
  if (writing_ || closed_ || slots_.empty() || !slots_.front().done) return;
  auto& slot = slots_.front();
  // What stands behind an answer that closes the connection counts as not read, and is sent again elsewhere.
  const bool last = slot.last || (host_->draining() && slots_.size() == 1);
  if (last) slot.reply.insert(slot.body_at, "Connection: close\r\n"), keep_ = false;
  out_ = std::move(slot.reply);
  writing_ = true;
  timers_.cancel(limit_);
  limit_ = timers_.after(kWrite, [self = shared_from_this()] { self->limit_.reset(), self->close(); });
  asio::async_write(
      socket_, asio::buffer(out_), [self = shared_from_this(), last](error_code failed, std::size_t) {
        self->writing_ = false;
        if (self->closed_) return;
        self->timers_.cancel(self->limit_);
        self->slots_.pop_front();
        self->out_ = {};
        if (failed) return self->close();
        if (last) return self->end_sending();
        if (self->whole_) self->begin();
        self->take();
        if (self->closed_) return;
        if (self->slots_.empty()) {
          const bool idle = self->in_.empty() && !self->in_body_;
          self->wait_for(idle ? self->host_->limits().idle_ms : self->host_->limits().header_ms, idle);
        }
        self->write_next();
        self->read();
      });
}

std::size_t Session::answers_held() const {
  if (slots_.empty()) return 0;
  return static_cast<std::size_t>(
      std::count_if(std::next(slots_.begin()), slots_.end(), [](const Slot& slot) { return slot.done; }));
}

// Behind the last answer. Nothing stands behind it outside a drain, but where the client has asked for the close.
void Session::end_sending() {
  error_code ignored;
  socket_.shutdown(Tcp::socket::shutdown_send, ignored);
  if (!host_->draining()) return close();
  lingering_ = true;
  in_.clear();
  limit_ = timers_.after(kLinger, [self = shared_from_this()] { self->limit_.reset(), self->close(); });
  read();
}

void Session::close_if_idle() {
  if (lingering_) return;
  if (slots_.empty() && in_.empty() && !in_body_ && !whole_) close();
}

void Session::take_no_more() {
  keep_ = false;
  if (slots_.empty() && !lingering_) close();
}

void Session::close() {
  if (std::exchange(closed_, true)) return;
  timers_.cancel(limit_);
  snowknot::close_now(socket_);
  if (auto* h = std::exchange(host_, nullptr)) h->on_ended(shared_from_this());
}

}  // namespace docklift::proxy
