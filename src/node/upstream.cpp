#include "upstream.hpp"

#include <algorithm>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <cmath>

#include "facts.hpp"

namespace snowknot {
namespace {

Outcome outcome_of(const http::response<http::string_body>& r) {
  if (r.result() == http::status::ok) return Outcome::ok;
  const bool turned_away = r.result() == http::status::service_unavailable ||
                           r.result() == http::status::gateway_timeout;
  if (turned_away && r["X-Not-Processed"] == "1") return Outcome::full;
  return Outcome::error;
}

// The server's own word of what a request has used.
std::optional<double> units_charged(const http::response<http::string_body>& r) {
  const auto text = r["X-Units-Charged"];
  double n = 0;
  const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (text.empty() || failed != std::errc{} || end != text.data() + text.size() || !std::isfinite(n) || n < 0)
    return std::nullopt;
  return n;
}

}  // namespace

// ---- What is known of connections that idled ---------------------------------------------------------------

// Each span is twice as long as the one before it.
std::size_t ReuseRecord::span_of(Duration idled) {
  std::size_t n = 0;
  for (auto up_to = facts::kReuseFirstSpan; idled >= up_to && n + 1 < facts::kReuseSpans; up_to *= 2) ++n;
  return n;
}

double ReuseRecord::kept(const Span& span, Time now) {
  const std::chrono::duration<double> since = now - span.at, memory = facts::kReuseMemory;
  return std::exp(-since / memory);
}

double ReuseRecord::broken_part(const Span& span, Time now) {
  const double part = kept(span, now);
  return span.broke * part / ((span.fine + span.broke) * part + facts::kReusePrior);
}

// What breaks whether or not it idled says nothing against using connections again.
bool ReuseRecord::trusts(Time now, Duration idled, bool may_repeat) const {
  const double usual = std::min(broken_part(spans_.front(), now), facts::kReuseUsual);
  const double more = may_repeat ? facts::kReuseBroken : facts::kReuseBrokenOnce;
  return broken_part(spans_[span_of(idled)], now) <= usual + more;
}

void ReuseRecord::learn(Time now, Duration idled, bool broke) {
  auto& span = spans_[span_of(idled)];
  const double part = kept(span, now);
  span.at = now;
  span.fine = span.fine * part + (broke ? 0 : 1);
  span.broke = span.broke * part + (broke ? 1 : 0);
}

// ---- A connection ---------------------------------------------------------------------------------------

ServerConnection::ServerConnection(Upstream& upstream, asio::io_context& io, ServerId server)
    : upstream_(upstream), socket_(io.get_executor()), server_(server) {}

void ServerConnection::open(const Tcp::endpoint& to, Errand errand) {
  errand_ = std::move(errand);
  // Until the connection is up the errand may take no longer than a connect may; then it has its own time.
  const auto until = errand_->began + upstream_.connect_timeout_;
  limit_ = upstream_.timers_.at(std::min(until, errand_->deadline),
                                [self = shared_from_this(), late = errand_->deadline < until] {
                                  self->limit_.reset();
                                  // Its own time ran out first: that says nothing of the server.
                                  if (late) return self->close(Outcome::never_sent);
                                  // Nothing comes up there: the connections that idle are dead as well.
                                  self->upstream_.drop_idle(self->server_);
                                  self->close(Outcome::connect_failed);
                                });
  socket_.async_connect(to, [self = shared_from_this()](const error_code& failed) {
    if (self->stage_ == Stage::closed) return;
    if (failed == asio::error::no_descriptors)
      return self->close(Outcome::never_sent);  // not the server's fault
    if (failed) return self->close(Outcome::connect_failed);
    set_no_delay(self->socket_);
    self->upstream_.timers_.cancel(self->limit_);
    self->start();
    self->read();
  });
}

void ServerConnection::take(Errand errand) {
  errand_ = std::move(errand);
  idled_ = upstream_.timers_.now() - since_;
  start();
}

// The moment of the first byte. While the connection came up the client may have gone, the time run out or
// the server been told to drain: then nothing is written, and the connection is kept for others.
void ServerConnection::start() {
  if (!upstream_.may_start(*errand_)) return end(Outcome::never_sent, {});
  const Time now = upstream_.timers_.now();
  limit_ = upstream_.timers_.at(errand_->deadline, [self = shared_from_this()] {
    self->limit_.reset();
    self->close(Outcome::timeout);
  });
  request_ = {};
  request_.version(11);
  if (const auto& m = errand_->message) {
    request_.method(m->method);
    request_.target(m->target);
    request_.set("X-Request-ID", m->id);
    if (!m->key.empty()) request_.set("Idempotency-Key", m->key);
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(errand_->deadline - now).count();
    request_.set("X-Timeout-Ms", std::to_string(left));
    if (!m->content_type.empty()) request_.set(http::field::content_type, m->content_type);
    request_.body() = {m->body.data(), m->body.size()};
  } else {
    request_.method(http::verb::get);
    request_.target("/-/healthy");
  }
  request_.set(http::field::host, "app.svc");
  request_.prepare_payload();
  expect_answer();
  interim_ = 0;
  stage_ = Stage::writing;
  broken_ = parked_ = false;
  http::async_write(socket_, request_, [self = shared_from_this()](const error_code& failed, std::size_t) {
    if (self->stage_ != Stage::writing) return;
    if (failed) return self->close(Outcome::connect_failed);  // it broke before the last byte was written
    self->stage_ = Stage::waiting;
    if (self->errand_ && self->errand_->message) self->upstream_.owner_.attempt_written();
    if (self->broken_) return self->broke();
    if (std::exchange(self->parked_, false)) self->parse();
  });
}

void ServerConnection::expect_answer() {
  parser_.emplace();
  parser_->header_limit(facts::kMostHeader);
  parser_->body_limit(facts::kMostBody);
  parser_->eager(true);
  if (!upstream_.relays_ || !errand_ || !errand_->message) return;
  parser_->eager(false);  // whether it is long shows in its head
  parser_->body_limit(boost::none);
}

bool ServerConnection::quiet() {
  char byte = 0;
  error_code failed;
  socket_.non_blocking(true, failed);
  if (!failed) socket_.receive(asio::buffer(&byte, 1), Socket::message_peek, failed);
  return failed == asio::error::would_block;
}

void ServerConnection::read() {
  if (stage_ == Stage::closed || std::exchange(reads_, true)) return;
  const auto most = stage_ == Stage::relaying ? facts::kPiece : facts::kReadSize;
  socket_.async_read_some(buffer_.prepare(most),
                          [self = shared_from_this()](const error_code& failed, std::size_t bytes) {
                            self->on_read(failed, bytes);
                          });
}

void ServerConnection::on_read(const error_code& failed, std::size_t bytes) {
  reads_ = false;
  if (stage_ == Stage::closed) return;
  // On a connection that idles there is nothing to read but its end.
  if (stage_ == Stage::idle) return close(Outcome::reset);
  if (failed) return broke();
  buffer_.commit(bytes);
  if (stage_ == Stage::relaying) return deliver();
  // Looked at when the write has ended: it may be long, and be answered by then.
  if (upstream_.relays_ && stage_ == Stage::writing) return void(parked_ = true);
  parse();
}

void ServerConnection::parse() {
  error_code wrong;
  while (!parser_->is_done() && buffer_.size() > 0) {
    const bool had_head = parser_->is_header_done();
    buffer_.consume(parser_->put(buffer_.data(), wrong));
    const bool short_of_bytes = wrong == http::error::need_more;
    if (short_of_bytes) wrong = {};
    // Where an answer would end with its connection, nobody can tell whether it is whole.
    if (wrong || (parser_->is_header_done() && parser_->need_eof())) return broke();
    if (!had_head && parser_->is_header_done()) parser_->eager(true);
    // An interim answer (1xx) is followed by the final one.
    if (parser_->is_done() &&
        http::to_status_class(parser_->get().result()) == http::status_class::informational) {
      if (++interim_ > facts::kMostInterim) return broke();
      expect_answer();
    } else if (upstream_.relays_ && parser_->is_header_done() && is_long()) {
      return relay();
    }
    if (short_of_bytes) break;
  }
  if (!parser_->is_done()) return read();
  // What was answered before it was asked is not the answer. The request may be written by now all the same.
  if (stage_ == Stage::writing || !beyond_doubt()) return broke();
  finish();
}

// Past what is held whole; of a probe, or of an answer that is no good, only the head counts.
bool ServerConnection::is_long() {
  if (parser_->is_done() || !errand_ || !errand_->message || stage_ != Stage::waiting) return false;
  if (!parser_->chunked()) return parser_->content_length().value_or(0) > facts::kMostBody;
  if (!hold_)
    hold_ = upstream_.timers_.after(facts::kHoldAnswer, [self = shared_from_this()] {
      self->hold_.reset();
      if (self->stage_ == Stage::waiting && self->parser_ && !self->parser_->is_done()) self->relay();
    });
  return parser_->get().body().size() > facts::kMostBody;
}

// From here on the answer is on its way, and can't be another's any more.
void ServerConnection::relay() {
  const auto& head = parser_->get();
  upstream_.timers_.cancel(hold_);
  if (head.result() != http::status::ok) {  // what it says is all in its head
    const auto outcome = outcome_of(head);
    return close(outcome);
  }
  stage_ = Stage::relaying;
  upstream_.timers_.cancel(limit_);
  left_.reset();
  if (!parser_->chunked()) left_ = *parser_->content_length();
  errand_->took = upstream_.timers_.now() - errand_->began;
  wanted_ = false, delivers_ = true;
  const auto type = head[http::field::content_type];
  if (!upstream_.owner_.answer_begins(*errand_, {{type.data(), type.size()}, left_}, shared_from_this())) return close(Outcome::cancelled);
  delivers_ = false;
  if (wanted_) deliver();
}

void ServerConnection::want() {
  if (stage_ != Stage::relaying || std::exchange(wanted_, true)) return;
  if (!delivers_) deliver();
}

void ServerConnection::limit_pause() {
  upstream_.timers_.cancel(limit_);
  limit_ = upstream_.timers_.after(facts::kServerPause, [self = shared_from_this()] {
    self->limit_.reset();
    self->upstream_.owner_.answer_cut(*self->errand_);
    self->close(Outcome::timeout);
  });
}

// What has been read goes on, if it is wanted; else it waits, and nothing more is read. While a read is pending the buffer stays as it
// is: then nothing but what the parser holds goes.
void ServerConnection::deliver() {
  if (!wanted_) return;
  upstream_.timers_.cancel(limit_);
  std::string bytes;
  bool last = false;
  if (left_) {
    const auto n = static_cast<std::size_t>(std::min<std::uint64_t>(*left_, buffer_.size()));
    bytes.assign(static_cast<const char*>(buffer_.data().data()), n);
    buffer_.consume(n);
    *left_ -= n;
    last = *left_ == 0;
  } else {
    error_code wrong;
    while (!reads_ && !parser_->is_done() && buffer_.size() > 0) {
      buffer_.consume(parser_->put(buffer_.data(), wrong));
      if (wrong == http::error::need_more) break;
      if (wrong) return broke();
    }
    bytes = std::exchange(parser_->get().body(), {});
    last = parser_->is_done();
  }
  if (last && !beyond_doubt()) return broke();
  if (bytes.empty() && !last) {
    limit_pause();
    return read();
  }
  wanted_ = false;
  delivers_ = true;
  upstream_.owner_.answer_piece(*errand_, bytes, last);
  delivers_ = false;
  if (last && stage_ == Stage::relaying) {
    const bool keep = parser_->get().keep_alive() && buffer_.size() == 0;
    if (!keep) {
      stage_ = Stage::closed;
      close_now(socket_);
    }
    end(Outcome::ok, {http::status::ok, {}, {}, {}, {}});
    return read();
  }
  if (wanted_) deliver();
}

// Bytes behind an answer are either more of the server's (a second copy) or the rest of a body whose length was
// told too short. Only what begins like an answer shows that the body before it was whole.
bool ServerConnection::beyond_doubt() const {
  static constexpr std::string_view start = "HTTP/1.";
  const std::string_view rest(static_cast<const char*>(buffer_.data().data()), buffer_.size());
  return rest.substr(0, start.size()) == start.substr(0, rest.size());
}

// The connection is of no more use while a request is out on it. If its last byte was written it may have run.
void ServerConnection::broke() {
  if (stage_ == Stage::writing) {
    // How much was written shows when the write ends.
    broken_ = true;
    error_code ignored;
    socket_.cancel(ignored);
    return;
  }
  if (stage_ == Stage::relaying) upstream_.owner_.answer_cut(*errand_);
  close(Outcome::reset);
}

void ServerConnection::finish() {
  auto response = parser_->release();
  const bool keep = response.keep_alive() && buffer_.size() == 0;
  const auto outcome = outcome_of(response);
  Answer answer{
      response.result(), std::move(response.body()), std::string(response[http::field::content_type]), {}};
  if (errand_ && errand_->message && errand_->message->true_units) answer.units_charged = units_charged(response);
  if (!keep) {
    stage_ = Stage::closed;
    close_now(socket_);
  }
  end(outcome, std::move(answer));
  read();
}

// The connection goes first and the outcome after it, so that two attempts are never out at once.
void ServerConnection::close(Outcome outcome) {
  if (stage_ == Stage::closed) return;
  stage_ = Stage::closed;
  close_now(socket_);
  end(outcome, {});
}

void ServerConnection::end(Outcome outcome, Answer answer) {
  const auto self = shared_from_this();
  upstream_.timers_.cancel(limit_);
  upstream_.timers_.cancel(hold_);
  if (const auto idled = std::exchange(idled_, std::nullopt)) {
    const bool broke = (outcome == Outcome::reset || outcome == Outcome::connect_failed) &&
                       !parser_->got_some();
    const bool fine = outcome == Outcome::ok || outcome == Outcome::error || outcome == Outcome::full;
    if (broke || fine) upstream_.reuse_.learn(upstream_.timers_.now(), *idled, broke);
  }
  const auto errand = std::exchange(errand_, std::nullopt);
  if (stage_ == Stage::closed) {
    upstream_.forget(self);
  } else {
    stage_ = Stage::idle;
    since_ = upstream_.timers_.now();
    upstream_.rest(self);
  }
  if (errand) upstream_.report(*errand, outcome, std::move(answer));
}

// ---- The pools ------------------------------------------------------------------------------------------

Upstream::Upstream(asio::io_context& io, Timers& timers, Duration connect_timeout, Duration keep_alive,
                   std::size_t most_connections, Owner& owner)
    : io_(io),
      timers_(timers),
      connect_timeout_(connect_timeout),
      keep_alive_(keep_alive),
      most_connections_(most_connections),
      owner_(owner) {
  timers_.after(facts::kSweep, [this] { sweep(); });
}

void Upstream::update(ServerId server, const Tcp::endpoint& address, bool takes_work) {
  auto& p = pools_[server];
  const bool moved = p.address != address;
  p.address = address;
  p.takes_work = takes_work;
  if (moved || !takes_work) drop_idle(server);
}

void Upstream::retain(const std::vector<ServerInfo>& listed) {
  for (auto& [id, p] : pools_) {
    if (std::ranges::find(listed, id, &ServerInfo::id) != listed.end()) continue;
    p.takes_work = false;
    drop_idle(id);
  }
}

void Upstream::send(Errand errand) { run(std::move(errand)); }

void Upstream::probe(ServerId server) {
  const Time now = timers_.now();
  run({{}, 0, server, now, now + connect_timeout_, nullptr});
}

void Upstream::run(Errand errand) {
  const auto it = pools_.find(errand.server);
  if (it == pools_.end() || !may_start(errand)) return report(errand, Outcome::never_sent, {});
  auto& p = it->second;
  if (errand.message && errand.message->streamed) {
    const auto carrier = errand.message->carrier.lock();
    if (!carrier || (connections_ >= most_connections_ && !make_room())) return report(errand, Outcome::never_sent, {});
    ++connections_;
    return carrier->send(errand, p.address);
  }
  while (!p.idle.empty()) {
    const auto c = p.idle.back();
    const Time now = timers_.now();
    const bool may_repeat = !errand.message || errand.message->repeatable();
    if (!c->quiet() || !reuse_.trusts(now, now - c->since(), may_repeat)) {
      c->close(Outcome::reset);
      continue;
    }
    p.idle.pop_back();
    p.busy.push_back(c);
    return c->take(std::move(errand));
  }
  if (connections_ >= most_connections_ && !make_room()) return report(errand, Outcome::never_sent, {});
  ++connections_;
  const auto c = std::make_shared<ServerConnection>(*this, io_, errand.server);
  p.busy.push_back(c);
  c->open(p.address, std::move(errand));
}

void Upstream::carried(const Errand& errand, Outcome outcome) {
  --connections_;
  Answer answer;
  answer.status = http::status::ok;  // where that is the outcome; the answer itself has passed
  report(errand, outcome, std::move(answer));
}

bool Upstream::may_start(const Errand& e) const {
  const auto it = pools_.find(e.server);
  if (it == pools_.end() || !it->second.takes_work || timers_.now() >= e.deadline) return false;
  return !e.message || owner_.still_wanted(e.request);
}

void Upstream::report(const Errand& errand, Outcome outcome, Answer answer) {
  if (errand.message) return owner_.attempt_ended(errand, outcome, std::move(answer));
  owner_.probe_ended(errand, outcome);
}

void Upstream::cancel(RequestId request, std::uint32_t attempt) {
  for (auto& [id, p] : pools_) {
    for (const auto& c : p.busy) {
      const auto& e = c->errand();
      if (!e || !e->message || e->request != request || e->attempt != attempt) continue;
      const auto found = c;
      return found->close(Outcome::cancelled);
    }
  }
}

void Upstream::rest(const Connection& c) {
  auto& p = pools_.at(c->server());
  std::erase(p.busy, c);
  p.idle.push_back(c);
  if (!p.takes_work) drop_idle(c->server());
}

void Upstream::forget(const Connection& c) {
  auto& p = pools_.at(c->server());
  connections_ -= std::erase(p.busy, c) + std::erase(p.idle, c);
}

void Upstream::drop_idle(ServerId server) {
  const auto idle = std::exchange(pools_.at(server).idle, {});
  connections_ -= idle.size();
  for (const auto& c : idle) c->close(Outcome::reset);
}

void Upstream::set_most(std::size_t connections) {
  most_connections_ = connections;
  while (connections_ > most_connections_ && make_room()) {
  }
}

void Upstream::drop_all_idle() {
  for (auto& [id, p] : pools_) drop_idle(id);
}

// Gives up the connection that has idled longest, at whatever server.
bool Upstream::make_room() {
  Pool* at = nullptr;
  for (auto& [id, p] : pools_)
    if (!p.idle.empty() && (!at || p.idle.front()->since() < at->idle.front()->since())) at = &p;
  if (!at) return false;
  const auto c = at->idle.front();
  c->close(Outcome::reset);
  return true;
}

// A server may close a connection that has idled for the time in the settings, and what is written to it from
// then on is lost: the pool lets it go well before.
void Upstream::sweep() {
  const Time now = timers_.now();
  const auto limit = Duration(
      static_cast<Duration::rep>(facts::kIdlePart * static_cast<double>(keep_alive_.count())));
  for (auto& [id, p] : pools_) {
    while (!p.idle.empty() && now - p.idle.front()->since() >= limit) {
      const auto c = p.idle.front();
      c->close(Outcome::reset);
    }
  }
  std::erase_if(pools_, [](const auto& e) {
    return !e.second.takes_work && e.second.idle.empty() && e.second.busy.empty();
  });
  timers_.after(facts::kSweep, [this] { sweep(); });
}

}  // namespace snowknot
