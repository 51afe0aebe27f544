#include "system/proxy/upstream.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>

namespace docklift::proxy {
namespace asio = boost::asio;
using boost::system::error_code;
using namespace std::chrono_literals;
using stream::BodyDecoder;

namespace {
constexpr Duration kConnect = 450ms;  // twice the way to another region and back, and a full queue's patience
constexpr Duration kPeerTimeout = 1500ms;  // sent bytes without a word from the other machine
constexpr Duration kIdle = 4s;        // an idle connection is kept so long where the server tells nothing
constexpr Duration kIdleMargin = 1s;  // less than the server tells: a request must not cross its close
constexpr std::size_t kHead = 16384, kBody = 8u << 20;  // bytes of an answer that are held
constexpr std::size_t kSurplus = 4;                     // answers to other requests that are passed over
}  // namespace

struct Upstream::Connection : std::enable_shared_from_this<Connection> {
  Connection(Upstream& owner, ServerHandle to) : up(&owner), server(to), socket(owner.io_.get_executor()) {}

  void connect(const std::string& address) {
    const auto at = snowknot::endpoint_of(address);
    if (!at)
      return asio::post(socket.get_executor(),
                        [self = shared_from_this()] { self->end(Outcome::connect_failed); });
    limit = up->timers_.after(
        std::min(kConnect, std::max<Duration>(attempt.deadline - up->timers_.now(), 1ms)),
        [self = shared_from_this()] {
          self->limit.reset();
          self->end(Outcome::connect_failed);
        });
    socket.async_connect(*at, [self = shared_from_this()](error_code failed) {
      if (self->closed) return;
      self->up->timers_.cancel(self->limit);
      if (failed) return self->end(Outcome::connect_failed);
      snowknot::set_no_delay(self->socket);
      set_peer_timeout(self->socket, kPeerTimeout);
      self->send();
      self->read();
    });
  }

  void send() {
    const Time now = up->timers_.now();
    if (now >= attempt.deadline || now >= attempt.valid_until)
      return asio::post(socket.get_executor(),
                        [self = shared_from_this()] { self->end(Outcome::connect_failed); });
    sent = true;
    sent_at = now;
    skipped = 0;
    limit = up->timers_.at(attempt.deadline, [self = shared_from_this()] {
      self->limit.reset();
      self->end(Outcome::timeout);
    });
    out = attempt.head + "\r\n";
    if (attempt.body) out += *attempt.body;
    writing = true;
    asio::async_write(socket, asio::buffer(out), [self = shared_from_this()](error_code failed, std::size_t) {
      self->writing = false;
      // A server may answer and close before it has read all; what it said is read first.
      if (failed && !self->closed) self->write_failed = true;
    });
  }

  // One read is always out: an idle connection must show what comes on it.
  void read() {
    const auto had = in.size();
    in.resize(had + 4096);
    socket.async_read_some(asio::buffer(in.data() + had, 4096),
                           [self = shared_from_this(), had](error_code failed, std::size_t n) {
                             if (self->closed) return;
                             self->in.resize(had + n);
                             self->took_in(failed);
                           });
  }

  void took_in(error_code failed) {
    if (!busy) return close();  // bytes or an end on an idle connection
    if (take()) return;
    if (failed) return end(Outcome::reset);
    read();
  }

  // True when the attempt has ended.
  bool take() {
    while (true) {
      http::Head head;
      const auto r = http::read_answer(in, kHead, head);
      if (r.read == http::Read::more) return false;
      if (r.read != http::Read::done) return end(Outcome::invalid_response), true;
      if (head.status < 200) {
        in.erase(0, r.used);
        continue;
      }
      const auto kind = http::body_of_answer(head, attempt.method);
      if (!kind || kind->to_end || (kind->kind.coding == stream::Coding::length && kind->kind.length > kBody))
        return end(Outcome::invalid_response), true;
      std::string_view rest = std::string_view(in).substr(r.used);
      if (kind->kind.coding == stream::Coding::length && rest.size() < kind->kind.length) return false;
      BodyDecoder decoder(kind->kind);
      std::string body;
      while (!decoder.done()) {
        const auto step = decoder.next(rest);
        if (step.status == BodyDecoder::Status::bad) return end(Outcome::invalid_response), true;
        body.append(step.data);
        rest.remove_prefix(step.used);
        if (body.size() > kBody) return end(Outcome::invalid_response), true;
        if (step.status == BodyDecoder::Status::more) return false;
      }
      const auto id = head.only("Attempt-Id");
      if (id ? *id != attempt.attempt_id : head.has("Attempt-Id")) {  // an answer to another request
        surplus = true;
        if (++skipped > kSurplus) return end(Outcome::invalid_response), true;
        in.erase(0, in.size() - rest.size());
        if (in.empty()) return false;
        continue;
      }
      finish(head, kind->kind.coding, body, !rest.empty());
      return true;
    }
  }

  void finish(const http::Head& head, stream::Coding coding, const std::string& body, bool more) {
    Answered a;
    a.status = head.status;
    a.outcome = judge(head);
    a.reply = "HTTP/1.1 " + std::to_string(head.status) + " " + std::string(http::reason(head.status)) +
              "\r\n";
    for (const auto& f : head.fields) {
      if (http::is_hop(f.name, head)) continue;
      a.reply.append(f.name).append(": ").append(f.value).append("\r\n");
    }
    if (coding != stream::Coding::none || (head.status != 204 && head.status != 304))
      a.reply += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    a.body_at = a.reply.size();
    a.reply += "\r\n";
    a.reply += body;
    keep_for = kIdle;
    if (const auto told = head.only("Keep-Alive")) {
      const auto at = told->find("timeout=");
      std::string_view digits = at == std::string_view::npos ? *told : told->substr(at + 8);
      digits = digits.substr(0, digits.find_first_not_of("0123456789"));
      if (const auto s = http::number(digits))
        keep_for = std::max(Duration{}, from_seconds(*s) - kIdleMargin);
    }
    const bool reusable = head.keeps_alive() && !more && !surplus && !writing && !write_failed &&
                          keep_for > Duration{};
    done_with(std::move(a), reusable);
  }

  Outcome judge(const http::Head& head) const {
    if (head.status == 421) return Outcome::other_instance;
    if (head.has("Not-Run")) return Outcome::not_run;
    if (head.status >= 200 && head.status < 300) {
      const bool whole = head.has("Seal") && head.only("Attempt-Id") == attempt.attempt_id &&
                         !head.has("Content-Encoding");
      return whole ? Outcome::ok : Outcome::invalid_response;
    }
    if (head.status >= 500 || head.status == 429 || head.status == 408) return Outcome::error;
    return Outcome::ok;  // its own word about the request: it is passed on
  }

  void end(Outcome outcome) {
    if (!busy) return close();
    Answered a;
    a.outcome = outcome;
    done_with(std::move(a), false);
  }

  void done_with(Answered a, bool reusable) {
    up->timers_.cancel(limit);
    busy = false;
    a.took = up->timers_.now() - sent_at;
    const auto told = std::exchange(done, nullptr);
    const auto self = shared_from_this();
    if (reusable) {
      in.clear();
      up->pools_[server].idle.push_back(self);
      limit = up->timers_.after(keep_for, [self] {
        self->limit.reset();
        self->close();
      });
      read();
    } else {
      close();
    }
    told(std::move(a));
  }

  void abandon() {
    busy = false;
    done = nullptr;
    close();
  }

  void close() {
    if (std::exchange(closed, true)) return;
    const auto self = shared_from_this();
    if (up) {
      up->timers_.cancel(limit);
      up->drop(self);
    }
    snowknot::close_now(socket);
  }

  Upstream* up;
  ServerHandle server;
  Socket socket;
  Attempt attempt;
  Done done;
  std::string in, out;
  Time sent_at{};
  Duration keep_for = kIdle;
  snowknot::Timers::Handle limit;
  std::uint64_t number = 0;  // of the attempt
  bool busy = true, sent = false, closed = false, surplus = false, writing = false, write_failed = false;
  std::size_t skipped = 0;
};

Upstream::Upstream(asio::io_context& io, snowknot::Timers& timers) : io_(io), timers_(timers) {}

Upstream::~Upstream() {
  for (const auto& c : std::exchange(all_, {})) {
    timers_.cancel(c->limit);
    c->up = nullptr, c->closed = true, c->done = nullptr;
    snowknot::close_now(c->socket);
  }
}

Upstream::Handle Upstream::start(Attempt attempt, Done done) {
  const auto number = ++attempts_;
  auto& pool = pools_[attempt.server];
  if (pool.address != attempt.address) {
    for (const auto& c : std::exchange(pool.idle, {})) c->close();
    pool.address = attempt.address;
  }
  if (!pool.idle.empty()) {
    const auto c = pool.idle.back();
    pool.idle.pop_back();
    timers_.cancel(c->limit);
    c->number = number;
    c->busy = true, c->sent = false, c->attempt = std::move(attempt), c->done = std::move(done);
    c->send();
    return {c, number};
  }
  const auto c = std::make_shared<Connection>(*this, attempt.server);
  all_.insert(c);
  ++open_;
  c->number = number;
  c->attempt = std::move(attempt), c->done = std::move(done);
  c->sent_at = timers_.now();
  c->connect(c->attempt.address);
  return {c, number};
}

std::optional<Outcome> Upstream::cancel(const Handle& attempt, bool unsent_only) {
  const auto c = attempt.connection.lock();
  if (!c || c->closed || !c->busy || c->number != attempt.number) return std::nullopt;
  if (unsent_only && c->sent) return std::nullopt;
  const auto outcome = c->sent ? Outcome::cancelled : Outcome::cancelled_unsent;
  c->abandon();
  return outcome;
}

void Upstream::forget(ServerHandle server) {
  const auto it = pools_.find(server);
  if (it == pools_.end()) return;
  const auto idle = std::move(it->second.idle);
  pools_.erase(it);
  for (const auto& c : idle) c->close();
}

void Upstream::drop(const std::shared_ptr<Connection>& c) {
  if (all_.erase(c) > 0) --open_;
  if (const auto it = pools_.find(c->server); it != pools_.end()) std::erase(it->second.idle, c);
}

}  // namespace docklift::proxy
