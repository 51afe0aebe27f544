#include "stream/front.hpp"

#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <deque>

#include "stream/slab_queue.hpp"

namespace docklift::stream {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace facts = snowknot::facts;
using snowknot::Answer;
using snowknot::Errand;
using snowknot::error_code;
using snowknot::Outcome;
using snowknot::Socket;

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kHead = facts::kMostHeader;
constexpr std::size_t kStateBytes = 24 * 1024;  // of one stream at worst: heads, trailers, sockets and the machine
constexpr std::size_t kScratch = 64 * 1024;
constexpr Nanos kTick = 10ms;
constexpr int kNotSent = 16 * 1024;  // bytes that wait in a socket's buffer before it counts as full

// A socket whose buffers are bounded, and which tells of progress while it still has some.
void set_buffers(Socket& socket, std::size_t bytes) {
  error_code ignored;
  if (bytes > 0) {
    socket.set_option(asio::socket_base::send_buffer_size(static_cast<int>(bytes)), ignored);
    socket.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(bytes)), ignored);
  }
  const int low = kNotSent;
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &low, sizeof low);
  socket.non_blocking(true, ignored);
}

void reset(Socket& socket) {
  error_code ignored;
  if (!socket.is_open()) return;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

std::vector<std::string_view> values(const http::fields& f, http::field name) {
  std::vector<std::string_view> all;
  const auto [first, last] = f.equal_range(name);
  for (auto it = first; it != last; ++it) all.emplace_back(it->value().data(), it->value().size());
  return all;
}

Outcome outcome_of(const http::response_header<>& r) {
  const bool turned_away =
      r.result() == http::status::service_unavailable || r.result() == http::status::gateway_timeout;
  return turned_away && r["X-Not-Processed"] == "1" ? Outcome::full : Outcome::error;
}

// Bytes that go out one write at a time: a head or a chunk's line, some of the body, and what ends the chunk.
struct Out {
  std::string before;
  std::span<const char> body{};
  std::string after;
  std::size_t done = 0;

  std::size_t size() const { return before.size() + body.size() + after.size(); }
  std::array<asio::const_buffer, 3> left() const {
    std::array<asio::const_buffer, 3> all{asio::buffer(before), asio::const_buffer(body.data(), body.size()),
                                          asio::buffer(after)};
    auto skip = done;
    for (auto& b : all) {
      const auto n = std::min(skip, b.size());
      b += n;
      skip -= n;
    }
    return all;
  }
};

}  // namespace

StreamOptions platform_options(std::size_t memory) {
  constexpr std::size_t kPart = 6;  // of the memory, for bodies; the state of streams takes as much again at most
  StreamOptions o;
  o.any_class = true;
  o.memory = std::max<std::size_t>(memory / kPart, 4 * kSlabBytes);
  o.most_streams = std::max<std::size_t>(1, std::min<std::size_t>(o.memory / (2 * kSlabBytes), 400));
  o.limits.window = 64 << 10, o.limits.low = 32 << 10, o.limits.prefix = 32 << 10;
  o.limits.most_request = o.limits.most_answer = 64 << 20;
  o.request = {.least_rate = 32 << 10, .window = 6s, .stall = 4s};  // of a client that sends 64 KB a second
  o.answer = o.take = {.least_rate = 0, .window = 10s, .stall = 10s};
  return o;
}

std::size_t memory_bound(const StreamOptions& o) { return o.memory + o.most_streams * kStateBytes + kScratch; }

// ---- One stream -------------------------------------------------------------------------------------------

class StreamFront::Stream : public snowknot::Asker,
                            public snowknot::Carrier,
                            public std::enable_shared_from_this<Stream> {
 public:
  Stream(StreamFront& front, std::uint32_t place, Socket client, snowknot::StreamHead head, std::string rest)
      : front_(front),
        place_(place),
        client_(std::move(client)),
        server_(front.io_.get_executor()),
        head_(std::move(head)),
        early_(std::move(rest)),
        exchange_(front.options_.limits, head_.body, head_.expects_continue, head_.keep_alive),
        decoder_(head_.body),
        upload_(front.options_.request),
        take_answer_(front.options_.take),
        take_request_(front.options_.take),
        answer_in_(front.options_.answer) {}

  // Its budget is admitted. `number` is told by the node before anything of it is carried out.
  void begin() {
    set_buffers(client_, front_.options_.socket_buffer);
    deadline_ = head_.request.deadline;
    patience_ = head_.patience;
    class_ = static_cast<std::size_t>(head_.request.arrival.request_class);
    auto request = std::move(head_.request);
    if (front_.options_.bytes_per_unit > 0 && head_.body.coding == Coding::chunked) {
      const double told = head_.units_told;
      request.true_units = [w = weak_from_this(), told](const Answer&) {
        const auto s = w.lock();
        return s ? s->front_.units_of(told, s->came_) : 0.0;
      };
    }
    request.streamed = true;
    request.carrier = weak_from_this();
    telling_ = true;  // what the module says at once waits until the stream has begun
    carry_out(exchange_.begin());
    number_ = front_.node_.ask(std::move(request), shared_from_this());
    telling_ = false;
    if (number_ == 0) {
      answer_ = {http::status::conflict, "a request of this id is open\n", "text/plain", {}, {}};
      tell(Happened::fail);
    }
    tell_all();
  }

  // ---- From the node ----
  void answer(const Answer& a) override {
    if (a.status == http::status::ok) return;  // it is on its way by now
    answer_ = a;
    tell(a.status == http::status::too_many_requests || a.status == http::status::service_unavailable ? Happened::refuse
                                                                                                      : Happened::fail);
  }
  void send(const Errand& errand, const snowknot::Tcp::endpoint& to) override {
    errand_ = errand;
    to_ = to;
    tell(Happened::send);
  }
  void cancel(std::uint32_t attempt) override {
    if (errand_ && errand_->attempt == attempt)
      tell(Happened::server_other, static_cast<std::uint64_t>(Outcome::cancelled));
  }

  // ---- From the front ----
  void turn(bool reply) {
    if (std::exchange(reply ? reply_waits_ : request_waits_, false)) {
      reply ? read_server() : read_client();
      touch();
    }
    front_.budget_.decline(pipe(reply));  // what it needs no more: its body is being dropped by now, say
  }
  void due() {
    const auto now = front_.now();
    using State = Progress::State;
    if (upload_.state(now) != State::fine) tell(Happened::client_slow);
    if (take_answer_.state(now) != State::fine) tell(Happened::client_deaf);
    if (take_request_.state(now) != State::fine) tell(Happened::server_deaf);
    if (answer_in_.state(now) != State::fine) tell(Happened::server_slow);
    if (connecting_until_ && now >= *connecting_until_) tell(Happened::connect_failed);
    if (now >= deadline_.time_since_epoch() && !too_late_) {
      too_late_ = true;
      tell(Happened::too_late);
    }
    touch();
  }
  // The drain limit has passed, or the front ends.
  void end() { tell(Happened::fail); }
  bool over() const { return exchange_.over() && !telling_; }
  bool whole() const { return whole_; }
  PipeId pipe(bool reply) const { return PipeId{2 * std::uint64_t{place_} + (reply ? 1 : 0)}; }
  auto giver(bool reply) {
    return [this, reply](SlabPtr s) { front_.budget_.give(pipe(reply), std::move(s)); };
  }
  void let_go() {
    upload_queue_.clear(giver(false));
    reply_queue_.clear(giver(true));
  }

 private:
  void tell(Happened what, std::uint64_t n = 0) {
    events_.push_back({what, n});
    tell_all();
  }
  void tell_all() {
    if (std::exchange(telling_, true)) return;
    const auto self = shared_from_this();
    while (!events_.empty()) {
      const auto e = events_.front();
      events_.pop_front();
      carry_out(exchange_.handle(e));
    }
    telling_ = false;
    touch();
    if (exchange_.over()) front_.over_.push_back(place_);
    front_.settle();
  }

  void carry_out(const std::vector<Action>& actions) {
    for (const auto& a : actions) carry_out(a);
  }
  void carry_out(const Action& a) {
    switch (a.what) {
      case Do::read_client: return read_client();
      case Do::go_on: {
        // Small enough for any socket's buffer; if it is lost the client sends its body after a while.
        static constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
        error_code ignored;
        client_.write_some(asio::buffer(text.data(), text.size()), ignored);
        return;
      }
      case Do::open_server: return open_server();
      case Do::write_head: return write_head();
      case Do::write_server: return write_server();
      case Do::finish_server:
        to_server_ = {last_chunk(decoder_.trailers(), front_.options_.trailers), {}, {}, 0};
        return write_on_server(0);
      case Do::read_server: return read_server();
      case Do::close_server: return close_server();
      case Do::rewind: return upload_queue_.rewind();
      case Do::drop_request: return upload_queue_.drop_sent(giver(false));
      case Do::clear_request:
        if (server_writes_)
          clears_ = true;  // the bytes that are being written are still needed
        else
          upload_queue_.clear(giver(false));
        return;
      case Do::answer_head: return answer_head();
      case Do::write_client: {
        const auto bytes = reply_queue_.next();
        Out out{std::exchange(reply_head_, {}), bytes, {}, 0};
        if (reply_kind_.coding == Coding::chunked && !head_.old_client) out.before += chunk_head(bytes.size()), out.after = "\r\n";
        to_client_ = std::move(out);
        return write_on_client(bytes.size());
      }
      case Do::finish_client: {
        Out out{std::exchange(reply_head_, {}), {}, {}, 0};
        if (reply_kind_.coding == Coding::chunked && !head_.old_client)
          out.after = last_chunk(reply_decoder_.trailers(), front_.options_.trailers);
        to_client_ = std::move(out);
        return write_on_client(0);
      }
      case Do::own_answer: return own_answer(a.status);
      case Do::cut_client:
        ++front_.counts_.cut;
        reset(client_);
        if (std::exchange(answers_, false)) front_.node_.count_ended(class_, 502);
        return front_.node_.front().lost();
      case Do::close_client: return give_back(false);
      case Do::return_client: return give_back(!extra_ && !head_.old_client);
      case Do::tell_started: return front_.node_.stream_started(*errand_);
      case Do::tell_waits:
      case Do::tell_works:
        if (a.what == Do::tell_works) front_.node_.count_send();
        if (errand_) front_.node_.attempt_waits(*errand_, a.what == Do::tell_waits);
        return;
      case Do::tell_ended: {
        if (!errand_) return;
        auto errand = *std::exchange(errand_, std::nullopt);
        errand.last = a.last;
        errand.took = took();
        return front_.node_.carried(errand, a.outcome);
      }
      case Do::tell_gone: return front_.node_.abandon(number_);
    }
  }

  void give_back(bool keep) {
    front_.node_.count_ended(class_, answers_ ? 200 : static_cast<int>(answer_.status));
    error_code ignored;
    client_.cancel(ignored);
    front_.node_.front().give_back(std::move(client_), keep ? std::exchange(early_, {}) : std::string(), keep);
  }

  // What the server is to be judged by: the time from the request's last byte to its answer's first, or, where it took none
  // of ours yet, that of the connection.
  snowknot::Duration took() const {
    const auto now = front_.now();
    const auto from = asked_at_ ? *asked_at_ : opened_at_;
    const auto until = answered_at_ ? *answered_at_ : now;
    return std::max(until - from, Nanos(1));
  }

  // ---- The client's socket ----
  void read_client() {
    if (!early_.empty() && !exchange_.waits_for_client_bytes() && !exchange_.drains()) {
      if (exchange_.answer_is_whole()) return;  // read on when the answer is out
      extra_ = true;  // behind the request: one request at a time
      early_.clear();
    }
    if (!early_.empty() && !client_reads_) {  // came with the head
      client_reads_ = true;
      asio::post(front_.io_, [self = shared_from_this()] {
        self->client_reads_ = false;
        self->take_early();
      });
      return;
    }
    if (client_reads_) return;
    if (exchange_.waits_for_client_bytes() && !space(false)) return;
    client_reads_ = true;
    client_.async_wait(Socket::wait_read, [self = shared_from_this()](const error_code& failed) {
      self->client_reads_ = false;
      if (!self->client_.is_open()) return;
      self->client_readable(failed);
    });
  }
  void take_early() {
    if (!client_.is_open()) return;
    if (exchange_.waits_for_client_bytes() && !space(false)) return;
    const auto n = exchange_.waits_for_client_bytes() ? std::min(early_.size(), upload_queue_.space().size()) : early_.size();
    auto part = early_.substr(0, n);
    early_.erase(0, n);
    came(part);
  }
  void client_readable(const error_code& failed) {
    if (failed) return tell(Happened::client_gone);
    const bool holds = exchange_.waits_for_client_bytes();
    if (holds && !space(false)) return;  // all that it held was sent on meanwhile, and the slab with it given back
    const auto most = holds ? std::min(upload_queue_.space().size(), kScratch) : kScratch;
    error_code wrong;
    const auto n = client_.read_some(asio::buffer(front_.scratch_.data(), most), wrong);
    if (wrong == asio::error::would_block) return read_client();
    if (wrong) return tell(Happened::client_gone);
    came({front_.scratch_.data(), n});
  }
  // Raw bytes: decoded, kept if they are still wanted, and told of.
  void came(std::string_view raw) {
    if (!exchange_.waits_for_client_bytes() && !exchange_.drains()) {
      if (exchange_.answer_is_whole()) {
        early_ += raw;
        return;
      }
      extra_ = true;
      extra_bytes_ += raw.size();
      if (extra_bytes_ > facts::kMostDropped) return;  // nothing more is read: who sends on and on waits
      return tell(Happened::client_bytes, 0);
    }
    const bool keep = exchange_.waits_for_client_bytes();
    const auto [status, n] = decode(decoder_, raw, keep ? &upload_queue_ : nullptr);
    came_ += n;
    upload_.moved(front_.now(), n);
    early_.insert(0, raw);  // of the next message
    const auto self = shared_from_this();
    const bool was = std::exchange(telling_, true);
    events_.push_back({Happened::client_bytes, n});
    if (status == BodyDecoder::Status::done) whole_ = true;
    if (status == BodyDecoder::Status::done && patience_) deadline_ = front_.node_.timers().now() + *patience_;
    if (status == BodyDecoder::Status::done) events_.push_back({Happened::client_end, 0});
    if (status == BodyDecoder::Status::bad) events_.push_back({Happened::client_bad, 0});
    telling_ = was;
    tell_all();
  }
  // Takes what belongs to the body off `raw`; how many bytes of the body that were, and at what it is.
  static std::pair<BodyDecoder::Status, std::uint64_t> decode(BodyDecoder& decoder, std::string_view& raw, SlabQueue* keep) {
    for (std::uint64_t n = 0;;) {
      const auto step = decoder.next(raw);
      raw.remove_prefix(step.used);
      n += step.data.size();
      if (keep) put(*keep, step.data);
      if (step.status != BodyDecoder::Status::data) return {step.status, n};
    }
  }
  // Raw bytes are at least as many as those of the body in them, and no more are read than there is space for.
  static void put(SlabQueue& queue, std::string_view data) {
    while (!data.empty()) {
      const auto to = queue.space();
      const auto n = std::min(to.size(), data.size());
      if (n == 0) throw std::logic_error("no space for what was read");
      std::memcpy(to.data(), data.data(), n);
      queue.commit(n);
      data.remove_prefix(n);
    }
  }
  // Room for the next read; else the pipe stands in line for it.
  bool space(bool reply) {
    auto& queue = reply ? reply_queue_ : upload_queue_;
    if (!queue.space().empty()) return true;
    auto& budget = front_.budget_;
    auto slab = budget.take(pipe(reply));
    if (!slab && !reply) {
      carry_out(exchange_.handle({Happened::pressed, 0}));
      if (!queue.space().empty()) return true;
      slab = budget.take(pipe(reply));
    }
    if (slab) {
      queue.add(std::move(slab));
      return true;
    }
    ++front_.counts_.paused;
    (reply ? reply_waits_ : request_waits_) = true;
    return false;
  }

  void write_on_client(std::size_t body) {
    client_writes_ = true;
    client_.async_write_some(to_client_.left(), [self = shared_from_this(), body](const error_code& failed, std::size_t n) {
      self->client_writes_ = false;
      if (!self->client_.is_open()) return;
      if (failed) return self->tell(Happened::client_gone);
      self->take_answer_.moved(self->front_.now(), n);
      self->to_client_.done += n;
      if (self->to_client_.done < self->to_client_.size()) {
        self->write_on_client(body);
        return self->touch();
      }
      self->reply_queue_.sent(body);
      self->reply_queue_.drop_sent(self->giver(true));
      self->tell(Happened::gave, body);
    });
  }
  void own_answer(int status) {
    if (status != 0) {
      const auto s = static_cast<http::status>(status);
      const auto why = http::obsolete_reason(s);
      answer_ = {s, std::string(why.data(), why.size()) + "\n", "text/plain", {}, {}};
    }
    std::string text = status_line(answer_.status);
    if (!answer_.content_type.empty()) text += "Content-Type: " + answer_.content_type + "\r\n";
    if (answer_.retry_after > snowknot::Duration{}) {
      std::array<char, 48> line{};
      std::snprintf(line.data(), line.size(), "Retry-After: %.3f\r\n",
                    std::chrono::duration<double>(answer_.retry_after).count());
      text += line.data();
    }
    text += "Content-Length: " + std::to_string(answer_.body.size()) + "\r\n\r\n" + answer_.body;
    to_client_ = {std::move(text), {}, {}, 0};
    write_on_client(0);
  }
  std::string status_line(http::status s) const {
    const auto why = http::obsolete_reason(s);
    std::string text = "HTTP/1.1 " + std::to_string(static_cast<int>(s)) + " " + std::string(why.data(), why.size()) + "\r\n";
    if (!head_.keep_alive || head_.old_client) text += "Connection: close\r\n";
    return text;
  }
  void answer_head() {
    answers_ = true;
    if (patience_) deadline_ = front_.node_.timers().now() + front_.options_.longest;  // from here on only progress counts
    reply_head_ = status_line(http::status::ok);
    if (!reply_type_.empty()) reply_head_ += "Content-Type: " + reply_type_ + "\r\n";
    if (reply_kind_.coding == Coding::length || reply_kind_.coding == Coding::none)
      reply_head_ += "Content-Length: " + std::to_string(reply_kind_.length) + "\r\n";
    else if (!head_.old_client)
      reply_head_ += "Transfer-Encoding: chunked\r\n";
    reply_head_ += "\r\n";
  }

  // ---- The server's socket ----
  void open_server() {
    server_ = Socket(front_.io_.get_executor());
    ++attempt_;
    asked_at_.reset();
    answered_at_.reset();
    server_head_.clear();
    interim_ = 0;
    opened_at_ = front_.now();
    connecting_until_ = opened_at_ + front_.node_.settings().connect_timeout;
    server_.async_connect(to_, [self = shared_from_this(), n = attempt_](const error_code& failed) {
      if (n != self->attempt_ || !self->connecting_until_) return;
      if (!failed) {
        set_buffers(self->server_, self->front_.options_.socket_buffer);
        snowknot::set_no_delay(self->server_);
        self->connecting_until_.reset();
        // While it came up the client may have gone or the server been told to drain: nothing is written then.
        if (!self->errand_ || !self->front_.node_.may_start(*self->errand_))
          return self->tell(Happened::server_other, static_cast<std::uint64_t>(Outcome::never_sent));
        return self->tell(Happened::connected);
      }
      if (failed == asio::error::no_descriptors)
        return self->tell(Happened::server_other, static_cast<std::uint64_t>(Outcome::never_sent));
      self->tell(Happened::connect_failed);
    });
  }
  void close_server() {
    ++attempt_;
    connecting_until_.reset();
    server_writes_ = server_reads_ = reply_waits_ = false;
    snowknot::close_now(server_);
    if (std::exchange(clears_, false)) upload_queue_.clear(giver(false));
  }
  void write_head() {
    const auto& m = *errand_->message;
    const auto method = http::to_string(m.method);
    std::string text(method.data(), method.size());
    text += " " + m.target + " HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: " + m.id + "\r\n";
    if (!m.key.empty()) text += "Idempotency-Key: " + m.key + "\r\n";
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(errand_->deadline.time_since_epoch() - front_.now());
    text += "X-Timeout-Ms: " + std::to_string(std::max<std::int64_t>(1, left.count())) + "\r\n";
    if (!m.content_type.empty()) text += "Content-Type: " + m.content_type + "\r\n";
    if (head_.body.coding == Coding::length) text += "Content-Length: " + std::to_string(head_.body.length) + "\r\n";
    if (head_.body.coding == Coding::chunked) text += "Transfer-Encoding: chunked\r\n";
    to_server_ = {text + "\r\n", {}, {}, 0};
    if (head_.body.coding == Coding::none) asked_at_ = front_.now();
    write_on_server(0);
  }
  void write_server() {
    const auto bytes = upload_queue_.next();
    to_server_ = {{}, bytes, {}, 0};
    if (head_.body.coding == Coding::chunked) to_server_.before = chunk_head(bytes.size()), to_server_.after = "\r\n";
    write_on_server(bytes.size());
  }
  void write_on_server(std::size_t body) {
    server_writes_ = true;
    server_.async_write_some(to_server_.left(), [self = shared_from_this(), body, attempt = attempt_](
                                                    const error_code& failed, std::size_t n) {
      if (attempt != self->attempt_) return;
      self->server_writes_ = false;
      if (!failed) {
        self->take_request_.moved(self->front_.now(), n);
        self->to_server_.done += n;
        if (self->to_server_.done < self->to_server_.size() && !self->clears_) {
          self->write_on_server(body);
          return self->touch();
        }
        if (self->clears_ && self->to_server_.done < self->to_server_.size()) {  // the rest is of no use to it
          self->upload_queue_.clear(self->giver(false));
          self->clears_ = false;
          return self->tell(Happened::write_broke);
        }
        self->upload_queue_.sent(body);
        self->asked_at_ = self->front_.now();
      }
      if (std::exchange(self->clears_, false)) self->upload_queue_.clear(self->giver(false));
      failed ? self->tell(Happened::write_broke) : self->tell(Happened::wrote, body);
    });
  }
  void read_server() {
    if (server_reads_) return;
    if (exchange_.waits_for_answer_bytes() && !space(true)) return;
    server_reads_ = true;
    server_.async_wait(Socket::wait_read, [self = shared_from_this(), n = attempt_](const error_code& failed) {
      if (n != self->attempt_) return;
      self->server_reads_ = false;
      self->server_readable(failed);
    });
  }
  void server_readable(const error_code& failed) {
    const bool in_body = exchange_.waits_for_answer_bytes();
    if (in_body && !space(true)) return;
    const auto most = in_body ? std::min(reply_queue_.space().size(), kScratch) : kHead;
    error_code wrong = failed;
    const auto n = wrong ? 0 : server_.read_some(asio::buffer(front_.scratch_.data(), most), wrong);
    if (wrong == asio::error::would_block) return read_server();
    if (wrong) return tell(Happened::server_gone, server_head_.empty() ? 0 : 1);
    const std::string_view raw(front_.scratch_.data(), n);
    in_body ? reply_came(raw) : head_came(raw);
  }
  void head_came(std::string_view raw) {
    server_head_ += raw;
    const auto end = server_head_.find("\r\n\r\n");
    if (end == std::string::npos) {
      if (server_head_.size() > kHead) return tell(Happened::server_gone, 1);
      return read_server();
    }
    http::response_parser<http::empty_body> parser;
    parser.header_limit(kHead + 4);
    parser.body_limit(boost::none);
    error_code wrong;
    parser.put(asio::buffer(server_head_.data(), end + 4), wrong);
    if ((wrong && wrong != http::error::need_more) || !parser.is_header_done()) return tell(Happened::server_gone, 1);
    const auto& r = parser.get();
    auto rest = server_head_.substr(end + 4);
    if (http::to_status_class(r.result()) == http::status_class::informational) {
      if (++interim_ > facts::kMostInterim) return tell(Happened::server_gone, 1);
      server_head_.clear();
      if (rest.empty()) return read_server();
      return head_came(rest);
    }
    answered_at_ = front_.now();
    if (r.result() != http::status::ok)
      return tell(Happened::server_other, static_cast<std::uint64_t>(outcome_of(r)));
    const auto kind = body_kind(values(r, http::field::content_length), values(r, http::field::transfer_encoding));
    // Where an answer would end with its connection, nobody can tell whether it is whole.
    if (!kind || kind->coding == Coding::none || r.version() != 11) return tell(Happened::server_gone, 1);
    if (kind->coding == Coding::length && kind->length > front_.options_.limits.most_answer)
      return tell(Happened::server_other, static_cast<std::uint64_t>(Outcome::error));
    reply_kind_ = *kind;
    reply_decoder_ = BodyDecoder(*kind);
    const auto type = r[http::field::content_type];
    reply_type_.assign(type.data(), type.size());
    server_head_.assign("x");  // something of it has come
    if (!space(true)) return tell(Happened::server_gone, 1);  // the floor is always there
    const auto self = shared_from_this();
    const bool was = std::exchange(telling_, true);
    events_.push_back({Happened::server_head, 0});
    telling_ = was;
    reply_bytes(rest);
  }
  void reply_came(std::string_view raw) {
    answer_in_.moved(front_.now(), raw.size());
    reply_bytes(raw);
  }
  void reply_bytes(std::string_view raw) {
    const bool any = !raw.empty();
    const auto [status, n] = decode(reply_decoder_, raw, &reply_queue_);
    // Bytes behind an answer that don't begin like another one are the rest of a body whose length was told too short.
    static constexpr std::string_view start = "HTTP/1.";
    const bool doubt = status == BodyDecoder::Status::done && raw.substr(0, start.size()) != start.substr(0, raw.size());
    if (any) events_.push_back({Happened::server_bytes, n});
    if (status == BodyDecoder::Status::done && !doubt) events_.push_back({Happened::server_end, 0});
    if (status == BodyDecoder::Status::bad || doubt) events_.push_back({Happened::server_gone, 1});
    tell_all();
  }

  // ---- Time ----
  void touch() {
    const auto now = front_.now();
    const auto follow = [&](Progress& p, bool waits) { waits ? p.wait(now) : p.rest(now); };
    follow(upload_, (exchange_.waits_for_client_bytes() || exchange_.drains()) && client_reads_);
    follow(take_answer_, exchange_.waits_for_client_to_take());
    follow(take_request_, exchange_.waits_for_server_to_take());
    follow(answer_in_, exchange_.waits_for_answer_bytes() && server_reads_);
    std::optional<Nanos> when;
    const auto sooner = [&](std::optional<Nanos> t) {
      if (t && (!when || *t < *when)) when = t;
    };
    for (const auto* p : {&upload_, &take_answer_, &take_request_, &answer_in_}) sooner(p->due());
    sooner(connecting_until_);
    if (!too_late_) sooner(deadline_.time_since_epoch());
    if (when && !exchange_.over())
      front_.wheel_.set(place_, front_.tick_of(*when));
    else
      front_.wheel_.drop(place_);
    front_.arm();
  }

  StreamFront& front_;
  const std::uint32_t place_;
  Socket client_, server_;
  snowknot::StreamHead head_;
  std::string early_;  // bytes of the client that came with the head, or belong to the next request
  Exchange exchange_;
  BodyDecoder decoder_, reply_decoder_;
  BodyKind reply_kind_;
  Progress upload_, take_answer_, take_request_, answer_in_;
  SlabQueue upload_queue_, reply_queue_;
  std::uint64_t number_ = 0, came_ = 0;
  snowknot::Time deadline_{};
  std::optional<snowknot::Duration> patience_;
  std::string reply_head_, reply_type_, server_head_;
  std::optional<Errand> errand_;
  snowknot::Tcp::endpoint to_;
  Out to_client_, to_server_;
  Answer answer_;
  std::optional<Nanos> connecting_until_, asked_at_, answered_at_;
  Nanos opened_at_{};
  std::uint64_t attempt_ = 0;  // changes with each: what still comes of an earlier one is not heard
  std::size_t extra_bytes_ = 0;
  int interim_ = 0;
  bool client_reads_ = false, client_writes_ = false, server_reads_ = false, server_writes_ = false;
  bool request_waits_ = false, reply_waits_ = false;  // for memory
  bool clears_ = false, extra_ = false, too_late_ = false;
  bool answers_ = false, whole_ = false;  // a server's answer has begun; the request has come whole
  std::size_t class_ = 0;
  std::deque<Event> events_;
  bool telling_ = false;
};

// ---- All streams ------------------------------------------------------------------------------------------

StreamFront::StreamFront(asio::io_context& io, snowknot::Node& node, StreamOptions options)
    : io_(io),
      node_(node),
      options_(std::move(options)),
      budget_(options_.memory / kSlabBytes, 1, options_.limits.window / kSlabBytes + 1, 2 * options_.most_streams),
      wheel_began_(node.timers().now().time_since_epoch()),
      scratch_(kScratch) {}

StreamFront::~StreamFront() { node_.timers().cancel(tick_); }

Nanos StreamFront::now() const { return node_.timers().now().time_since_epoch(); }

std::uint64_t StreamFront::tick_of(Nanos t) const {
  return t <= wheel_began_ ? 0 : static_cast<std::uint64_t>((t - wheel_began_ + kTick - 1ns) / kTick);
}

bool StreamFront::takes(std::string_view name) const { return std::ranges::find(options_.classes, name) != options_.classes.end(); }

std::size_t StreamFront::current() const {
  return static_cast<std::size_t>(std::ranges::count_if(streams_, [](const auto& s) { return s.second->whole(); }));
}

std::optional<snowknot::Duration> StreamFront::no_room() const {
  if (streams_.size() < options_.most_streams && budget_.room_for(2)) return std::nullopt;
  return options_.retry_after;
}

snowknot::Duration StreamFront::allowance(const std::optional<std::uint64_t>& length) const {
  const auto rate = std::max<std::uint64_t>(1, options_.request.least_rate);
  return options_.request.stall + std::chrono::seconds(length.value_or(options_.unknown_length) / rate);
}

double StreamFront::units_of(double told, const std::optional<std::uint64_t>& length) const {
  if (options_.bytes_per_unit == 0) return told;
  const auto bytes = static_cast<double>(length.value_or(options_.unknown_length));
  return std::max(told, std::ceil(bytes / static_cast<double>(options_.bytes_per_unit)));
}

void StreamFront::take(Socket socket, snowknot::StreamHead head, std::string rest) {
  const auto place = free_.empty() ? places_++ : free_.back();
  if (!free_.empty()) free_.pop_back();
  const auto s = std::make_shared<Stream>(*this, place, std::move(socket), std::move(head), std::move(rest));
  budget_.admit(s->pipe(false));
  budget_.admit(s->pipe(true));
  ++counts_.begun;
  streams_.emplace(place, s);
  s->begin();
}

// The places of the wheel are given again only here, when nothing of the stream is being carried out.
void StreamFront::settle() {
  if (std::exchange(settling_, true)) return;
  for (bool more = true; more;) {
    more = !over_.empty();
    for (const auto p : budget_.turns()) {
      more = true;
      const auto n = static_cast<std::uint64_t>(p);
      const auto it = streams_.find(static_cast<std::uint32_t>(n / 2));
      if (it == streams_.end()) continue;
      const auto s = it->second;
      s->turn(n % 2 == 1);
    }
    for (const auto place : std::exchange(over_, {})) {
      const auto it = streams_.find(place);
      if (it == streams_.end() || !it->second->over()) continue;
      const auto s = it->second;
      s->let_go();
      budget_.release(s->pipe(false));
      budget_.release(s->pipe(true));
      wheel_.drop(place);
      streams_.erase(it);
      free_.push_back(place);
    }
  }
  settling_ = false;
}

void StreamFront::arm() {
  if (tick_ || wheel_.size() == 0) return;
  tick_ = node_.timers().after(kTick, [this] {
    tick_.reset();
    ticked();
  });
}

void StreamFront::ticked() {
  const auto to = static_cast<std::uint64_t>((now() - wheel_began_) / kTick);
  std::vector<std::uint32_t> due;
  wheel_.advance(to, [&](std::uint32_t place) { due.push_back(place); });
  for (const auto place : due) {
    const auto it = streams_.find(place);
    if (it == streams_.end()) continue;
    const auto s = it->second;
    s->due();
  }
  arm();
}

void StreamFront::end_all() {
  std::vector<std::shared_ptr<Stream>> all;
  for (const auto& [place, s] : streams_) all.push_back(s);
  for (const auto& s : all) s->end();
}

}  // namespace docklift::stream
