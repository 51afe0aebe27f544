#include "system/proxy/session.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace docklift::proxy {
namespace asio = boost::asio;
using boost::system::error_code;
using stream::BodyDecoder;

namespace {
constexpr std::size_t kAhead = 64 * 1024;  // bytes read behind a request that is under way
constexpr Duration kWrite = std::chrono::seconds(20);
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
    if (idle || self->in_.empty()) return self->close();
    self->refuse(408);
  });
}

void Session::read() {
  if (reading_ || closed_ || ended_ || (busy_ && in_.size() > kAhead)) return;
  reading_ = true;
  // Not into in_ itself: what is behind a request is taken from it while a read is out.
  socket_.async_read_some(asio::buffer(chunk_),
                          [self = shared_from_this()](error_code failed, std::size_t n) {
                            self->reading_ = false;
                            if (self->closed_) return;
                            self->in_.append(self->chunk_.data(), n);
                            if (failed) {
                              self->ended_ = true;
                              // What is under way is still answered: the client may have closed its half only.
                              if (!self->busy_ && !self->writing_) self->close();
                              return;
                            }
                            if (!self->busy_) self->take();
                            self->read();
                          });
}

void Session::take() {
  if (busy_ || closed_) return;
  if (in_body_) {
    if (!take_body()) return;
  } else {
    const auto limits = host_->limits();
    http::Head head;
    const auto r = http::read_request(in_, limits.header_bytes, head);
    if (r.read == http::Read::more) {
      if (!in_.empty() && !limit_) wait_for(limits.header_ms, false);
      return;
    }
    if (r.read != http::Read::done) return refuse(r.read == http::Read::bad ? 400 : 431);
    const auto kind = http::body_of(head);
    const auto host = head.only("Host"), id = head.only("Attempt-Id");
    if (!kind || !host || !id || id->empty()) return refuse(400);
    if (kind->coding == stream::Coding::length && kind->length > limits.body_bytes) return refuse(413);
    request_ = {};
    request_.method = head.method, request_.target = head.target, request_.host = *host, request_.attempt_id = *id;
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
    if (!take_body()) return;
  }
  in_body_ = false, busy_ = true;
  timers_.cancel(limit_);
  if (request_.has_body) {
    request_.head += "Content-Length: " + std::to_string(body_.size()) + "\r\n";
    request_.body = std::make_shared<const std::string>(std::move(body_));
    body_ = {};
  }
  host_->on_request(shared_from_this(), std::move(request_));
}

bool Session::take_body() {
  std::size_t used = 0;
  const auto limit = host_->limits().body_bytes;
  while (!decoder_.done()) {
    const auto step = decoder_.next(std::string_view(in_).substr(used));
    if (step.status == BodyDecoder::Status::bad) return refuse(400), false;
    body_.append(step.data);
    used += step.used;
    if (body_.size() > limit) return refuse(413), false;
    if (step.status == BodyDecoder::Status::more) break;
  }
  in_.erase(0, used);
  return decoder_.done();
}

void Session::answer(std::string reply, std::size_t body_at) {
  if (closed_) return;
  const bool last = !keep_ || ended_ || (host_->draining() && in_.empty());
  if (last) reply.insert(body_at, "Connection: close\r\n");
  write(std::move(reply), last);
}

void Session::answer(int status, Duration retry_after) {
  std::string reply = "HTTP/1.1 " + std::to_string(status) + " " + std::string(http::reason(status)) + "\r\n";
  reply += "Content-Length: 0\r\n";
  if (retry_after > Duration{}) {
    char text[32];
    std::snprintf(text, sizeof text, "Retry-After: %.3f\r\n", seconds(retry_after));
    reply += text;
  }
  const auto at = reply.size();
  reply += "\r\n";
  answer(std::move(reply), at);
}

void Session::refuse(int status) {
  if (closed_) return;
  keep_ = false, busy_ = true;
  timers_.cancel(limit_);
  answer(status, {});
}

void Session::write(std::string out, bool then_close) {
  out_ = std::move(out);
  writing_ = true;
  timers_.cancel(limit_);
  limit_ = timers_.after(kWrite, [self = shared_from_this()] { self->limit_.reset(), self->close(); });
  asio::async_write(socket_, asio::buffer(out_), [self = shared_from_this(), then_close](error_code failed, std::size_t) {
    self->writing_ = false;
    if (self->closed_) return;
    self->timers_.cancel(self->limit_);
    self->busy_ = false;
    self->out_ = {};
    if (failed || then_close) {
      error_code ignored;
      self->socket_.shutdown(Tcp::socket::shutdown_send, ignored);
      return self->close();
    }
    if (self->ended_ && self->in_.empty()) return self->close();
    self->wait_for(self->in_.empty() ? self->host_->limits().idle_ms : self->host_->limits().header_ms, self->in_.empty());
    if (!self->in_.empty()) self->take();
    if (!self->closed_) self->read();
  });
}

void Session::drain() {
  if (!busy_ && in_.empty() && !in_body_) close();
}

void Session::close() {
  if (std::exchange(closed_, true)) return;
  timers_.cancel(limit_);
  snowknot::close_now(socket_);
  if (auto* h = std::exchange(host_, nullptr)) h->on_ended(shared_from_this());
}

}  // namespace docklift::proxy
