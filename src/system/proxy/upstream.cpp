#include "system/proxy/upstream.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <optional>
#include <utility>

namespace docklift::proxy {
namespace asio = boost::asio;
using boost::system::error_code;
using namespace std::chrono_literals;
using stream::BodyDecoder;

namespace {
// Two round trips to another region, plus the wait in a full accept queue.
constexpr Duration kConnectTimeout = 450ms;
// How long sent data may stay unacknowledged before the connection is considered broken.
constexpr Duration kPeerTimeout = 1500ms;
// How long an idle connection is kept if the server sends no Keep-Alive timeout.
constexpr Duration kDefaultIdleTimeout = 4s;
// Subtracted from the server's timeout, so that a request doesn't race with the server's close.
constexpr Duration kIdleMargin = 1s;
constexpr std::size_t kMaxHeadBytes = 16384, kMaxBodyBytes = 8u << 20;  // of a response
constexpr std::size_t kMaxUnmatchedResponses = 4;  // responses to other requests that are skipped per attempt
}  // namespace

// A connection to a server, with at most one attempt at a time.
struct Upstream::Connection : std::enable_shared_from_this<Connection> {
  Connection(Upstream& owner, ServerHandle to)
      : upstream(&owner), server(to), socket(owner.io_.get_executor()) {}

  void connect(const std::string& address) {
    const auto endpoint = snowknot::endpoint_of(address);
    if (!endpoint)
      return asio::post(socket.get_executor(),
                        [self = shared_from_this()] { self->fail(Outcome::connect_failed); });
    timer = upstream->timers_.after(
        std::min(kConnectTimeout, std::max<Duration>(attempt.deadline - upstream->timers_.now(), 1ms)),
        [self = shared_from_this()] {
          self->timer.reset();
          self->fail(Outcome::connect_failed);
        });
    socket.async_connect(*endpoint, [self = shared_from_this()](error_code error) {
      if (self->closed) return;
      self->upstream->timers_.cancel(self->timer);
      if (error) return self->fail(Outcome::connect_failed);
      snowknot::set_no_delay(self->socket);
      set_peer_timeout(self->socket, kPeerTimeout);
      self->send();
      self->read();
    });
  }

  void send() {
    const Time now = upstream->timers_.now();
    if (now >= attempt.deadline || now >= attempt.valid_until)
      return asio::post(socket.get_executor(),
                        [self = shared_from_this()] { self->fail(Outcome::connect_failed); });
    sent = true;
    sent_at = now;
    unmatched_count = 0;
    timer = upstream->timers_.at(attempt.deadline, [self = shared_from_this()] {
      self->timer.reset();
      self->fail(Outcome::timeout);
    });
    output = attempt.head + "\r\n";
    const auto body = attempt.body ? asio::buffer(*attempt.body) : asio::const_buffer();
    writing = true;
    asio::async_write(socket, std::array{asio::const_buffer(asio::buffer(output)), asio::const_buffer(body)},
                      [self = shared_from_this(), held = attempt.body](error_code error, std::size_t) {
                        self->writing = false;
                        // A server may respond and close before it has read the whole request; its response
                        // is read first.
                        if (error && !self->closed) self->write_failed = true;
                      });
  }

  // A read is always pending, so that data or a close on an idle connection is noticed.
  void read() {
    const auto old_size = input.size();
    input.resize(old_size + 4096);
    socket.async_read_some(asio::buffer(input.data() + old_size, 4096),
                           [self = shared_from_this(), old_size](error_code error, std::size_t bytes) {
                             if (self->closed) return;
                             self->input.resize(old_size + bytes);
                             self->on_read(error);
                           });
  }

  void on_read(error_code error) {
    if (!busy) return close();  // unexpected data or end of stream on an idle connection
    if (parse_response()) return;
    if (error) return fail(Outcome::reset);
    read();
  }

  // The body of the response at the beginning of the input, as far as it has been received.
  struct ResponseBody {
    BodyDecoder decoder;
    std::string bytes;
    std::size_t decoded_until = 0;  // offset in the input
  };

  // Returns true when the attempt has ended.
  bool parse_response() {
    while (true) {
      http::Head head;
      const auto parsed = http::parse_response_head(input, kMaxHeadBytes, head);
      if (parsed.status == http::ParseStatus::incomplete) return false;
      if (parsed.status != http::ParseStatus::complete) return fail(Outcome::invalid_response), true;
      if (head.status < 200) {
        input.erase(0, parsed.consumed);
        continue;
      }
      const auto kind = http::response_body(head, attempt.method);
      if (!kind || kind->to_end ||
          (kind->kind.coding == stream::Coding::length && kind->kind.length > kMaxBodyBytes))
        return fail(Outcome::invalid_response), true;
      if (kind->kind.coding == stream::Coding::length && input.size() - parsed.consumed < kind->kind.length)
        return false;
      if (!response_body) response_body.emplace(ResponseBody{BodyDecoder(kind->kind), {}, parsed.consumed});
      const auto status = decode_body(*response_body);
      if (status == BodyDecoder::Status::bad) return fail(Outcome::invalid_response), true;
      if (status == BodyDecoder::Status::more) return false;
      const auto body = std::move(response_body->bytes);
      const auto end = response_body->decoded_until;
      response_body.reset();
      if (is_surplus(head)) {
        unmatched_response = true;
        if (++unmatched_count > kMaxUnmatchedResponses) return fail(Outcome::invalid_response), true;
        input.erase(0, end);
        if (input.empty()) return false;
        continue;
      }
      deliver_response(head, kind->kind.coding, body, end < input.size());
      return true;
    }
  }

  // Whether the response belongs to no request or to another one. Servers echo the id of an attempt; bytes
  // without one may follow the response to an earlier request on the connection.
  bool is_surplus(const http::Head& head) const {
    if (head.has("Attempt-Id")) return head.unique("Attempt-Id") != attempt.attempt_id;
    return reused;
  }

  // Decodes what has been received since the last call.
  BodyDecoder::Status decode_body(ResponseBody& body) const {
    while (!body.decoder.done()) {
      const auto step = body.decoder.next(std::string_view(input).substr(body.decoded_until));
      if (step.status == BodyDecoder::Status::bad) return step.status;
      body.bytes.append(step.data);
      body.decoded_until += step.used;
      if (body.bytes.size() > kMaxBodyBytes) return BodyDecoder::Status::bad;
      if (step.status == BodyDecoder::Status::more) return step.status;
    }
    return BodyDecoder::Status::done;
  }

  void deliver_response(const http::Head& head, stream::Coding coding, const std::string& body,
                        bool has_more_input) {
    AttemptResult result;
    result.status = head.status;
    result.outcome = classify(head);
    result.response = "HTTP/1.1 " + std::to_string(head.status) + " " +
                      std::string(http::reason_phrase(head.status)) + "\r\n";
    for (const auto& field : head.fields) {
      if (http::is_hop_by_hop(field.name, head)) continue;
      result.response.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    if (coding != stream::Coding::none || (head.status != 204 && head.status != 304))
      result.response += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    result.fields_end = result.response.size();
    result.response += "\r\n";
    result.response += body;
    idle_timeout = kDefaultIdleTimeout;
    if (const auto keep_alive = head.unique("Keep-Alive")) {
      const auto parameter = keep_alive->find("timeout=");
      std::string_view digits = parameter == std::string_view::npos ? *keep_alive
                                                                    : keep_alive->substr(parameter + 8);
      digits = digits.substr(0, digits.find_first_not_of("0123456789"));
      if (const auto timeout_s = http::parse_decimal(digits))
        idle_timeout = std::max(Duration{}, from_seconds(*timeout_s) - kIdleMargin);
    }
    const bool reusable = head.keeps_alive() && !has_more_input && !unmatched_response && !writing &&
                          !write_failed && idle_timeout > Duration{};
    finish(std::move(result), reusable);
  }

  Outcome classify(const http::Head& head) const {
    if (!head.has("Attempt-Id")) return Outcome::invalid_response;
    if (head.status == 421) return Outcome::other_instance;
    if (head.has("Not-Run")) return Outcome::not_run;
    if (head.status >= 200 && head.status < 300) {
      const bool complete = head.has("Seal") && head.unique("Attempt-Id") == attempt.attempt_id &&
                            !head.has("Content-Encoding");
      return complete ? Outcome::ok : Outcome::invalid_response;
    }
    // To the client these promise that the request has not run, which a server confirms by Not-Run alone.
    if (head.status == 408 || head.status == 429 || head.status == 503) return Outcome::invalid_response;
    if (head.status >= 500) return Outcome::error;
    return Outcome::ok;  // the server's own response, passed on to the client
  }

  void fail(Outcome outcome) {
    if (!busy) return close();
    AttemptResult result;
    result.outcome = outcome;
    finish(std::move(result), false);
  }

  void finish(AttemptResult result, bool reusable) {
    upstream->timers_.cancel(timer);
    busy = false;
    result.elapsed = upstream->timers_.now() - sent_at;
    const auto callback = std::exchange(on_done, nullptr);
    const auto self = shared_from_this();
    if (reusable) {
      input.clear();
      response_body.reset();
      attempt.body.reset();
      upstream->pools_[server].idle.push_back(self);
      timer = upstream->timers_.after(idle_timeout, [self] {
        self->timer.reset();
        self->close();
      });
      read();
    } else {
      close();
    }
    callback(std::move(result));
  }

  void abandon() {
    busy = false;
    on_done = nullptr;
    close();
  }

  void close() {
    if (std::exchange(closed, true)) return;
    const auto self = shared_from_this();
    if (upstream) {
      upstream->timers_.cancel(timer);
      upstream->drop(self);
    }
    snowknot::close_now(socket);
  }

  Upstream* upstream;
  ServerHandle server;
  Socket socket;
  Attempt attempt;
  Done on_done;
  std::string input, output;
  std::optional<ResponseBody> response_body;
  Time sent_at{};
  Duration idle_timeout = kDefaultIdleTimeout;
  snowknot::Timers::Handle timer;
  std::uint64_t number = 0;  // of the attempt
  bool busy = true, sent = false, closed = false, unmatched_response = false, writing = false,
       write_failed = false;
  bool reused = false;  // has carried an earlier request
  std::size_t unmatched_count = 0;
};

Upstream::Upstream(asio::io_context& io, snowknot::Timers& timers) : io_(io), timers_(timers) {}

Upstream::~Upstream() {
  for (const auto& connection : std::exchange(all_, {})) {
    timers_.cancel(connection->timer);
    connection->upstream = nullptr, connection->closed = true, connection->on_done = nullptr;
    snowknot::close_now(connection->socket);
  }
}

Upstream::Handle Upstream::start(Attempt attempt, Done on_done) {
  const auto number = ++attempts_;
  auto& pool = pools_[attempt.server];
  if (pool.address != attempt.address) {
    for (const auto& connection : std::exchange(pool.idle, {})) connection->close();
    pool.address = attempt.address;
  }
  if (!pool.idle.empty()) {
    const auto connection = pool.idle.back();
    pool.idle.pop_back();
    timers_.cancel(connection->timer);
    connection->number = number;
    connection->busy = true, connection->reused = true, connection->sent = false,
    connection->attempt = std::move(attempt), connection->on_done = std::move(on_done);
    connection->send();
    return {connection, number};
  }
  const auto connection = std::make_shared<Connection>(*this, attempt.server);
  all_.insert(connection);
  ++open_;
  connection->number = number;
  connection->attempt = std::move(attempt), connection->on_done = std::move(on_done);
  connection->sent_at = timers_.now();
  connection->connect(connection->attempt.address);
  return {connection, number};
}

std::optional<Outcome> Upstream::cancel(const Handle& attempt, bool unsent_only) {
  const auto connection = attempt.connection.lock();
  if (!connection || connection->closed || !connection->busy || connection->number != attempt.number)
    return std::nullopt;
  if (unsent_only && connection->sent) return std::nullopt;
  const auto outcome = connection->sent ? Outcome::cancelled : Outcome::cancelled_unsent;
  connection->abandon();
  return outcome;
}

void Upstream::forget(ServerHandle server) {
  const auto it = pools_.find(server);
  if (it == pools_.end()) return;
  const auto idle = std::move(it->second.idle);
  pools_.erase(it);
  for (const auto& connection : idle) connection->close();
}

void Upstream::drop(const std::shared_ptr<Connection>& connection) {
  if (all_.erase(connection) > 0) --open_;
  if (const auto it = pools_.find(connection->server); it != pools_.end())
    std::erase(it->second.idle, connection);
}

}  // namespace docklift::proxy
