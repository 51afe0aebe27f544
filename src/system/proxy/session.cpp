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
constexpr std::size_t kMaxReadAheadBytes = std::size_t{64} * 1024;  // input buffered behind open requests
constexpr std::size_t kMaxPipelinedRequests = 16;                   // open requests per connection
constexpr Duration kWriteTimeout = std::chrono::seconds(20);
// Between the last response and the close of a connection on which the client may still send data. A close
// with unread data resets the connection, and what the client has not read yet of its responses is lost. A
// client that reads late may take until its deadline.
constexpr Duration kMinLingerTime = std::chrono::milliseconds(300);
constexpr Duration kMaxLingerTime = std::chrono::seconds(20);
constexpr Duration kDefaultClientPatience = std::chrono::seconds(10);  // of a client that names no deadline
// Between checks for a close while nothing is read from the connection.
constexpr Duration kCloseCheckInterval = std::chrono::milliseconds(250);
}  // namespace

Session::Session(Handler& handler, snowknot::Timers& timers, Socket socket)
    : handler_(&handler), timers_(timers), socket_(std::move(socket)) {}

void Session::start() {
  arm_read_timeout(handler_->limits().header_ms, false);
  read();
}

void Session::arm_read_timeout(double ms, bool idle) {
  timers_.cancel(timeout_);
  timeout_ = timers_.after(from_millis(ms), [self = shared_from_this(), idle] {
    self->timeout_.reset();
    if (self->input_.empty()) return self->close();
    // A request began just as the idle timeout expired; it gets its own timeout.
    if (idle) return self->arm_read_timeout(self->handler_->limits().header_ms, false);
    self->reject({408});
  });
}

void Session::read() {
  if (reading_ || closed_) return;
  if (!pipeline_.empty() && input_.size() > kMaxReadAheadBytes) return schedule_close_check();
  reading_ = true;
  // Not directly into input_, which is consumed while a read is pending.
  socket_.async_read_some(asio::buffer(read_buffer_),
                          [self = shared_from_this()](error_code error, std::size_t bytes) {
                            self->reading_ = false;
                            if (self->closed_) return;
                            if (error) return self->close();
                            if (!self->lingering_) self->input_.append(self->read_buffer_.data(), bytes);
                            self->read();
                            self->schedule_processing();
                          });
}

// Deferred, so that a close that arrived together with the data is seen first: requests that a client
// abandoned while this process was stalled are not started.
void Session::schedule_processing() {
  if (std::exchange(processing_scheduled_, true)) return;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->processing_scheduled_ = false;
    if (self->closed_) return;
    self->process_input();
    self->read();
  });
}

// Detects that the client has closed its connection while its unread data hides the end of the stream.
void Session::schedule_close_check() {
  if (std::exchange(close_check_scheduled_, true)) return;
  timers_.after(kCloseCheckInterval, [self = shared_from_this()] {
    self->close_check_scheduled_ = false;
    if (self->closed_) return;
    pollfd state{self->socket_.native_handle(), POLLRDHUP, 0};
    if (::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
      return self->close();
    self->read();
  });
}

// Dispatches complete requests while the pipeline accepts more.
void Session::process_input() {
  while (!closed_ && !request_ready_ && keep_alive_ && pipeline_.size() < kMaxPipelinedRequests) {
    if (!in_body_ && !read_head()) return;
    if (!read_body()) return;
    in_body_ = false, request_ready_ = true;
    timers_.cancel(timeout_);
    if (request_.has_body) {
      request_.head += "Content-Length: " + std::to_string(body_->bytes().size()) + "\r\n";
      request_.body = {body_, &body_->bytes()};
      body_.reset();
    }
    dispatch();
  }
}

void Session::dispatch() {
  const bool repeatable = handler_->is_repeatable(request_);
  // Waits until it is the only open request. During a drain this also keeps finished responses from being
  // blocked behind a longer request when the process ends.
  if (!pipeline_.empty() && (handler_->draining() || !(repeatable && pipeline_repeatable_))) return;
  pipeline_repeatable_ = repeatable, request_ready_ = false;
  const auto number = ++last_number_;
  pipeline_.push_back({number, false, !keep_alive_, {}, 0});
  note_patience(request_);
  handler_->on_request(shared_from_this(), number, std::move(request_));
}

void Session::note_patience(const Request& request) {
  const auto patience = request.deadline_ms ? from_millis(*request.deadline_ms) : kDefaultClientPatience;
  responses_wanted_until_ = std::max(responses_wanted_until_,
                                     timers_.now() + std::min(patience, kMaxLingerTime));
}

bool Session::read_head() {
  const auto limits = handler_->limits();
  http::Head head;
  const auto parsed = http::parse_request_head(input_, limits.header_bytes, head);
  if (parsed.status == http::ParseStatus::incomplete) {
    if (!input_.empty() && !timeout_ && pipeline_.empty()) arm_read_timeout(limits.header_ms, false);
    return false;
  }
  if (parsed.status == http::ParseStatus::malformed) return reject({400}), false;
  if (parsed.status != http::ParseStatus::complete) return reject(handler_->rejection(431)), false;
  const auto kind = http::request_body_kind(head);
  const auto host = head.unique("Host");
  const auto id = head.unique("Attempt-Id");
  if (!kind || !host || !id || id->empty()) return reject({400}), false;
  if (kind->coding == stream::Coding::length && kind->length > limits.body_bytes)
    return reject(handler_->rejection(413)), false;
  request_ = {};
  request_.has_body = kind->coding != stream::Coding::none;
  if (request_.has_body) {
    body_ = std::make_shared<RequestBody>(handler_->body_budget());
    if (!body_->expect(kind->length)) return reject(handler_->refuse_body()), false;
  }
  request_.method = head.method, request_.target = head.target, request_.host = *host,
  request_.attempt_id = *id;
  if (head.has("Key")) request_.key = head.unique("Key").value_or("");
  if (const auto ms = head.unique("Deadline")) request_.deadline_ms = http::parse_decimal(*ms);
  auto& forwarded = request_.head;
  forwarded.reserve(parsed.consumed + 160);
  forwarded.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
  for (const auto& field : head.fields) {
    if (http::is_hop_by_hop(field.name, head) || http::equals_ignore_case(field.name, "Key") ||
        http::equals_ignore_case(field.name, "Tenant") || http::equals_ignore_case(field.name, "Deadline") ||
        http::equals_ignore_case(field.name, "Want-Instance"))
      continue;
    forwarded.append(field.name).append(": ").append(field.value).append("\r\n");
  }
  keep_alive_ = head.keeps_alive();
  const bool expects_continue = request_.has_body && head.has_token("Expect", "100-continue");
  decoder_ = BodyDecoder(*kind);
  in_body_ = true;
  input_.erase(0, parsed.consumed);
  continue_due_ = expects_continue && input_.empty();
  write_next();
  return true;
}

bool Session::read_body() {
  std::size_t used = 0;
  const auto limit = handler_->limits().body_bytes;
  while (!decoder_.done()) {
    const auto step = decoder_.next(std::string_view(input_).substr(used));
    if (step.status == BodyDecoder::Status::bad) return reject({400}), false;
    used += step.used;
    if (step.used > 0) continue_due_ = false;
    if (body_->bytes().size() + step.data.size() > limit) return reject(handler_->rejection(413)), false;
    if (!body_->append(step.data)) return reject(handler_->refuse_body()), false;
    if (step.status == BodyDecoder::Status::more) break;
  }
  input_.erase(0, used);
  return decoder_.done();
}

void Session::respond(std::uint64_t number, std::string response, std::size_t fields_end) {
  if (closed_) return;
  for (auto& pipelined : pipeline_) {
    if (pipelined.number != number || pipelined.done) continue;
    pipelined.done = true, pipelined.response = std::move(response), pipelined.fields_end = fields_end;
    break;
  }
  write_next();
}

void Session::respond(std::uint64_t number, const LocalReply& reply) {
  std::string response = "HTTP/1.1 " + std::to_string(reply.status) + " " +
                         std::string(http::reason_phrase(reply.status)) + "\r\n";
  response += "Content-Length: 0\r\n";
  if (reply.retry_after > Duration{}) {
    char text[32];
    std::snprintf(text, sizeof text, "Retry-After: %.3f\r\n", seconds(reply.retry_after));
    response += text;
  }
  const auto fields_end = response.size();
  response += "\r\n";
  respond(number, std::move(response), fields_end);
}

// Replies to a request that can't be parsed or held, and closes the connection after that response.
void Session::reject(const LocalReply& reply) {
  if (closed_) return;
  keep_alive_ = false, rejected_ = true, continue_due_ = false;
  body_.reset();
  timers_.cancel(timeout_);
  const auto number = ++last_number_;
  pipeline_.push_back({number, false, true, {}, 0});
  respond(number, reply);
}

// Writes what is next on the connection, one at a time and without blocking: the responses in the order of
// their requests, and behind them the interim response that the client waits for before it sends a body.
void Session::write_next() {
  if (writing_ || closed_) return;
  if (pipeline_.empty()) {
    if (continue_due_) write_continue();
  } else if (pipeline_.front().done) {
    write_response();
  }
}

void Session::write_continue() {
  continue_due_ = false;
  output_ = "HTTP/1.1 100 Continue\r\n\r\n";
  write_output([](Session& self) {
    if (self.in_body_ && self.pipeline_.empty())
      self.arm_read_timeout(self.handler_->limits().idle_ms, false);
  });
}

// Writes output_, then calls `on_written` unless the connection has ended.
void Session::write_output(std::function<void(Session&)> on_written) {
  writing_ = true;
  timers_.cancel(timeout_);
  write_timeout_ = timers_.after(
      kWriteTimeout, [self = shared_from_this()] { self->write_timeout_.reset(), self->close(); });
  asio::async_write(
      socket_, asio::buffer(output_),
      [self = shared_from_this(), on_written = std::move(on_written)](error_code error, std::size_t) {
        self->writing_ = false;
        if (self->closed_) return;
        self->timers_.cancel(self->write_timeout_);
        self->output_ = {};
        if (error) return self->close();
        on_written(*self);
        if (self->closed_ || self->lingering_) return;
        self->write_next();
        self->read();
      });
}

void Session::write_response() {
  auto& pipelined = pipeline_.front();
  // Clients treat requests behind a response that closes the connection as unread and retry them elsewhere.
  const bool last = pipelined.last || (handler_->draining() && pipeline_.size() == 1);
  if (last) pipelined.response.insert(pipelined.fields_end, "Connection: close\r\n"), keep_alive_ = false;
  output_ = std::move(pipelined.response);
  write_output([last](Session& self) { self.on_response_written(last); });
}

void Session::on_response_written(bool last) {
  pipeline_.pop_front();
  if (last) return finish_sending();
  if (request_ready_) dispatch();
  process_input();
  if (closed_ || writing_ || !pipeline_.empty()) return;
  const bool idle = input_.empty() && !in_body_;
  arm_read_timeout(idle ? handler_->limits().idle_ms : handler_->limits().header_ms, idle);
}

std::size_t Session::blocked_responses() const {
  if (pipeline_.empty()) return 0;
  return static_cast<std::size_t>(
      std::count_if(std::next(pipeline_.begin()), pipeline_.end(),
                    [](const PipelinedRequest& pipelined) { return pipelined.done; }));
}

// Ends the connection after the last response. Outside a drain nothing can follow it, unless the client
// itself has asked for the close, but for the rest of a request that was rejected.
void Session::finish_sending() {
  error_code ignored;
  socket_.shutdown(Tcp::socket::shutdown_send, ignored);
  if (!handler_->draining() && !rejected_) return close();
  lingering_ = true;
  input_.clear();
  const Time until = std::max(responses_wanted_until_, timers_.now() + kMinLingerTime);
  timeout_ = timers_.at(until, [self = shared_from_this()] { self->timeout_.reset(), self->close(); });
  read();
}

void Session::close_if_idle() {
  if (lingering_) return;
  if (pipeline_.empty() && input_.empty() && !in_body_ && !request_ready_) close();
}

void Session::close_after_responses() {
  keep_alive_ = false;
  if (pipeline_.empty() && !lingering_) close();
}

void Session::close() {
  if (std::exchange(closed_, true)) return;
  timers_.cancel(timeout_);
  timers_.cancel(write_timeout_);
  snowknot::close_now(socket_);
  if (auto* handler = std::exchange(handler_, nullptr)) handler->on_closed(shared_from_this());
}

}  // namespace docklift::proxy
