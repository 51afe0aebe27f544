#include "clients.hpp"

#include <algorithm>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <cstdio>
#include <stdexcept>

#include <sys/socket.h>
#include <unistd.h>

#include "facts.hpp"

namespace snowknot {
namespace {

using std::string_view;

struct BadRequest : std::runtime_error {
  BadRequest(http::status s, const std::string& why) : std::runtime_error(why), status(s) {}
  http::status status;
};
[[noreturn]] void bad(const std::string& what) { throw BadRequest(http::status::bad_request, what); }

template <class Number>
Number whole(string_view text, const char* what, int base = 10) {
  Number n{};
  const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), n, base);
  if (failed != std::errc{} || end != text.data() + text.size()) bad(std::string(what) + " is not a number");
  return n;
}

// Digits and at most one point: no sign, no exponent, no name of a number.
double decimal(string_view text, const char* what) {
  double n = 0;
  const auto plain = text.find_first_not_of("0123456789.") == string_view::npos;
  const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), n,
                                             std::chars_format::fixed);
  if (!plain || failed != std::errc{} || end != text.data() + text.size())
    bad(std::string(what) + " is not a number");
  return n;
}

bool visible(string_view text) {
  return std::ranges::all_of(text, [](char c) { return c > ' ' && c <= '~'; });
}

string_view trimmed(string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
  return s;
}

// The value under a key in a list of key=value pairs.
std::optional<string_view> pair_value(string_view list, char separator, string_view key) {
  while (!list.empty()) {
    const auto part = trimmed(list.substr(0, list.find(separator)));
    list.remove_prefix(std::min(list.size(), list.find(separator)));
    if (!list.empty()) list.remove_prefix(1);
    if (const auto eq = part.find('='); eq != string_view::npos && part.substr(0, eq) == key)
      return part.substr(eq + 1);
  }
  return std::nullopt;
}

using Fields = http::request<http::string_body>;

string_view header(const Fields& f, string_view name) {
  const auto [first, last] = f.equal_range({name.data(), name.size()});
  if (first == last) bad(std::string(name) + " is missing");
  if (std::next(first) != last) bad(std::string(name) + " stands there twice");
  const auto v = first->value();
  if (v.empty()) bad(std::string(name) + " is empty");
  return {v.data(), v.size()};
}

template <class Named>
std::uint32_t index_of(const std::vector<Named>& all, string_view name, const char* what) {
  const auto it = std::ranges::find(all, name, &Named::name);
  if (it == all.end()) bad(std::string(what) + " is unknown");
  return static_cast<std::uint32_t>(it - all.begin());
}

CustomerId customer(const Fields& f) {
  const auto value = pair_value(header(f, "Cookie"), ';', "client");
  if (!value || value->size() != facts::kCustomerDigits) bad("the cookie names no client");
  const auto n = whole<std::uint64_t>(*value, "the cookie's client", 16);
  if (n >= facts::kCustomersBelow) bad("the cookie's client is out of range");
  return CustomerId(n);
}

void read_quota(const Fields& f, const Settings& s, Arrival& a) {
  const auto list = header(f, "X-Quota");
  const auto part = [&](const char* key) {
    const auto value = pair_value(list, ',', key);
    if (!value) bad(std::string("X-Quota has no ") + key);
    return *value;
  };
  a.units = decimal(part("units"), "X-Quota units");
  if (!(a.units > 0 && a.units <= s.max_units)) bad("X-Quota units is out of range");
  a.gateways = whole<std::uint32_t>(part("spread"), "X-Quota spread");
  if (a.gateways == 0 || a.gateways > s.fleet_size) bad("X-Quota spread is out of range");
  if (whole<std::uint32_t>(part("first"), "X-Quota first") >= s.fleet_size) bad("X-Quota first");
}

string_view first_part(string_view target) {
  if (target.empty() || target.front() != '/') return {};
  target.remove_prefix(1);
  return target.substr(0, target.find_first_of("/?"));
}

// Of the requests that are counted: those for the path of a class.
std::optional<ClassIndex> class_of(string_view target, const Settings& s) {
  const auto it = std::ranges::find(s.classes, first_part(target), &RequestClass::name);
  if (it == s.classes.end()) return std::nullopt;
  return ClassIndex(static_cast<std::uint32_t>(it - s.classes.begin()));
}

// Of a request for another protocol's path: who asks, and until when.
FrontRequest read_front_request(Fields& f, const Settings& s, Time began) {
  FrontRequest r;
  r.target = f.target();
  r.plan = PlanIndex(index_of(s.plans, header(f, "X-Plan"), "the plan"));
  r.customer = customer(f);
  const auto timeout = whole<std::uint64_t>(header(f, "X-Timeout-Ms"), "X-Timeout-Ms");
  if (timeout == 0 || timeout > facts::kMostTimeoutMs) bad("X-Timeout-Ms is out of range");
  r.began = began, r.deadline = began + std::chrono::milliseconds(timeout);
  if (f.count("X-Quota") > 0) {
    const auto spread = pair_value(header(f, "X-Quota"), ',', "spread");
    if (!spread) bad("X-Quota has no spread");
    r.gateways = whole<std::uint32_t>(*spread, "X-Quota spread");
    if (r.gateways == 0 || r.gateways > s.fleet_size) bad("X-Quota spread is out of range");
  }
  if (f.count("X-Retried") > 0) {
    if (header(f, "X-Retried") != "1") bad("X-Retried is not 1");
    r.is_retry = true;
  }
  r.id = header(f, "X-Request-ID");
  if (r.id.size() > facts::kMostId || !visible(r.id)) bad("X-Request-ID is too long or can't be read");
  if (f.count("Idempotency-Key") > 0) r.key = header(f, "Idempotency-Key");
  if (r.key.size() > facts::kMostId || !visible(r.key)) bad("Idempotency-Key is too long or can't be read");
  if (f.count("X-Docklift-Cost") > 0) {
    if (header(f, "X-Docklift-Cost") != "dry-run") bad("X-Docklift-Cost is not dry-run");
    r.dry_run = true;
  }
  r.method = f.method();
  r.content_type = f[http::field::content_type];
  r.accept = f[http::field::accept];
  r.body = std::move(f.body());
  return r;
}

// `longest`: for one that is streamed, in place of its class's deadline.
ClientRequest read_request(Fields& f, const Settings& s, Time began, std::optional<Duration> longest = std::nullopt) {
  ClientRequest r;
  const string_view target(f.target().data(), f.target().size());
  const auto path_class = first_part(target);
  if (std::ranges::find(s.classes, path_class, &RequestClass::name) == s.classes.end())
    throw BadRequest(http::status::not_found, "no such path");
  auto& a = r.arrival;
  const auto cls = index_of(s.classes, header(f, "X-Priority-Class"), "the class");
  if (s.classes[cls].name != path_class) bad("the path and X-Priority-Class differ");
  a.request_class = ClassIndex(cls);
  a.plan = PlanIndex(index_of(s.plans, header(f, "X-Plan"), "the plan"));
  a.customer = customer(f);
  const auto timeout = whole<std::uint64_t>(header(f, "X-Timeout-Ms"), "X-Timeout-Ms");
  if (timeout == 0 || timeout > facts::kMostTimeoutMs) bad("X-Timeout-Ms is out of range");
  const Duration wait = std::chrono::milliseconds(timeout);
  r.deadline = began + std::min(wait, longest.value_or(s.classes[cls].deadline));  // nobody waits longer than that
  read_quota(f, s, a);
  if (f.count("X-Retried") > 0) {
    if (header(f, "X-Retried") != "1") bad("X-Retried is not 1");
    a.is_retry = true;
  }
  r.id = header(f, "X-Request-ID");
  if (r.id.size() > facts::kMostId || !visible(r.id)) bad("X-Request-ID is too long or can't be read");
  const auto effect = s.classes[cls].effect;
  const bool keyed = f.count("Idempotency-Key") > 0;
  if (f.method() != (effect == Effect::safe ? http::verb::get : http::verb::post))
    throw BadRequest(http::status::method_not_allowed, "the method does not go with the class");
  if (keyed != (effect == Effect::keyed)) bad("Idempotency-Key does not go with the class");
  if (keyed) r.key = header(f, "Idempotency-Key");
  if (r.key.size() > facts::kMostId || !visible(r.key)) bad("Idempotency-Key is too long or can't be read");
  if (effect == Effect::safe && !f.body().empty()) bad("a body does not go with the class");
  r.method = f.method();
  r.target = target;
  if (const auto it = f.find(http::field::content_type); it != f.end()) r.content_type = it->value();
  r.body = std::move(f.body());
  return r;
}

// Where a message ends must not be in doubt: what is passed on could hide another request. Beast refuses most
// of that itself; these are the forms that it lets through.
void check_framing(const Fields& f) {
  const auto codings = f.count(http::field::transfer_encoding),
             lengths = f.count(http::field::content_length);
  if (codings > 0 && lengths > 0) bad("Content-Length and Transfer-Encoding");
  if (codings > 1 || (codings == 1 && !boost::beast::iequals(f[http::field::transfer_encoding], "chunked")))
    bad("Transfer-Encoding is not chunked");
  const auto length = f[http::field::content_length];
  if (lengths > 1 || length.find_first_not_of("0123456789") != string_view::npos ||
      lengths != !length.empty())
    bad("Content-Length is not a number");
  if (f.version() != 11 && (f.version() != 10 || codings > 0)) bad("the version of HTTP");
}

Duration limit_of(ClientSession::Stage stage) {
  using Stage = ClientSession::Stage;
  switch (stage) {
    case Stage::fresh:
    case Stage::coming: return facts::kSlowRequest;
    case Stage::idle: return facts::kIdleClient;
    case Stage::writing: return facts::kSlowReader;
    case Stage::lingering: return facts::kLinger;
    default: return Duration::max();
  }
}

}  // namespace

// ---- A session ------------------------------------------------------------------------------------------

ClientSession::ClientSession(Clients& clients, Socket socket)
    : clients_(clients), socket_(std::move(socket)) {}

void ClientSession::start() {
  set_no_delay(socket_);
  read();
}

void ClientSession::enter(Stage stage) {
  since_ = clients_.timers_.now();
  clients_.move(*this, std::exchange(stage_, stage), stage);
}

void ClientSession::read() {
  if (reads_ || closed() || dropped_ > facts::kMostDropped) return;
  // What has come before an answer is written is parsed then, and no read may be pending while that takes bytes
  // from the buffer.
  if (stage_ == Stage::writing && buffer_.size() > 0) return;
  reads_ = true;
  socket_.async_read_some(buffer_.prepare(facts::kReadSize),
                          [self = shared_from_this()](const error_code& failed, std::size_t bytes) {
                            self->on_read(failed, bytes);
                          });
}

void ClientSession::on_read(const error_code& failed, std::size_t bytes) {
  reads_ = false;
  if (closed()) return;
  if (std::exchange(offered_, false) && reading() && (!failed || failed == asio::error::operation_aborted)) {
    buffer_.commit(bytes);
    if (bytes > 0) parse();
    if (reading()) pass_to_heir();
    return read();
  }
  if (failed) return close();
  buffer_.commit(bytes);
  if (reading()) {
    parse();
  } else if (stage_ != Stage::writing || !keep_alive_) {
    // While an answer is being written the client may have it already: then this is its next request.
    drop_rest();
    if (stage_ == Stage::lingering && dropped_ > facts::kMostDropped) return close();
  }
  slim();
  read();
}

// A client sends one request at a time: what comes while one is out belongs to nothing that is answered here,
// and ends the connection after the answer. Empty lines behind a body are harmless.
void ClientSession::drop_rest() {
  const string_view rest(static_cast<const char*>(buffer_.data().data()), buffer_.size());
  if (rest.find_first_not_of("\r\n") != string_view::npos) keep_alive_ = false;
  dropped_ += buffer_.size();
  buffer_.clear();
}

// Most connections idle most of the time: what a large message needed isn't kept for the next. Only between
// two reads, as a pending one writes to the buffer.
void ClientSession::slim() {
  if (!reads_ && buffer_.size() == 0 && buffer_.capacity() > facts::kReadSize) buffer_.shrink_to_fit();
}

void ClientSession::parse() {
  if (buffer_.size() == 0 || closed()) return;
  if (!parser_) {
    parser_.emplace();
    partial_.clear();
    parser_->header_limit(facts::kMostHeader);
    parser_->body_limit(facts::kMostBody);
    if (clients_.streams_) parser_->body_limit(boost::none);  // until it is known whether it is streamed
    parser_->eager(!clients_.streams_);
    began_ = clients_.timers_.now();
    if (stage_ == Stage::idle) enter(Stage::coming);  // a fresh one has its limit from its accept on
  }
  error_code failed;
  const string_view all(static_cast<const char*>(buffer_.data().data()), buffer_.size());
  while (!parser_->is_done() && buffer_.size() > 0) {
    const bool had_header = parser_->is_header_done();
    buffer_.consume(parser_->put(buffer_.data(), failed));
    if (failed == http::error::header_limit)
      return reject(http::status::request_header_fields_too_large, "the header is too large");
    if (failed == http::error::body_limit)
      return reject(http::status::payload_too_large, "the body is too large");
    if (failed && failed != http::error::need_more)
      return reject(http::status::bad_request, failed.message());
    if (!had_header && parser_->is_header_done()) {
      const auto& head = parser_->get();
      try {
        check_framing(head);
      } catch (const BadRequest& x) {
        return reject(x.status, x.what());
      }
      if (clients_.streams_ && pass_on()) return;
      if (boost::beast::iequals(head[http::field::expect], "100-continue") && !parser_->is_done()) {
        // Small enough for any socket's buffer; if it is lost the client sends its body after a while.
        static constexpr string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
        error_code ignored;
        socket_.non_blocking(true, ignored);
        socket_.write_some(asio::buffer(go_on.data(), go_on.size()), ignored);
      }
    }
    if (failed == http::error::need_more) break;
  }
  if (parser_->is_done()) return take_request();
  if (clients_.keeps_partial_) partial_ += all.substr(0, all.size() - buffer_.size());
  if (buffer_.size() > facts::kMostHeader)
    reject(http::status::bad_request, "the request can't be read");  // a chunk's head without end, say
}

// At the head of a request that is streamed the connection passes to the streams, or the head is answered; else the limits
// are those of other requests. False: it is one of those.
bool ClientSession::pass_on() {
  auto& streams = *clients_.streams_;
  auto& head = parser_->get();
  const string_view target(head.target().data(), head.target().size());
  if (!streams.takes(first_part(target))) {
    parser_->eager(true);
    parser_->body_limit(facts::kMostBody);
    if (parser_->content_length().value_or(0) <= facts::kMostBody) return false;
    reject(http::status::payload_too_large, "the body is too large");
    return true;
  }
  StreamHead out;
  out.body.coding = parser_->chunked() ? docklift::stream::Coding::chunked
                    : parser_->content_length().value_or(0) > 0 ? docklift::stream::Coding::length
                                                                : docklift::stream::Coding::none;
  out.body.length = parser_->content_length().value_or(0);
  out.keep_alive = parser_->keep_alive() && !clients_.leaving();
  out.old_client = head.version() == 10;
  const auto expects = head[http::field::expect];
  out.expects_continue = boost::beast::iequals(expects, "100-continue");
  const auto& settings = clients_.settings_;
  try {
    if (!expects.empty() && !out.expects_continue) throw BadRequest(http::status::expectation_failed, "Expect");
    out.request = read_request(head, settings, began_, streams.longest());
    const auto effect = settings.classes[static_cast<std::size_t>(out.request.arrival.request_class)].effect;
    if (effect == Effect::safe && out.body.coding != docklift::stream::Coding::none) bad("a body does not go with the class");
    if (out.body.coding == docklift::stream::Coding::chunked && streams.requires_length())
      throw BadRequest(http::status::length_required, "a length is required");
    if (out.body.length > streams.most_request()) throw BadRequest(http::status::payload_too_large, "the body is too large");
  } catch (const BadRequest& x) {
    reject(x.status, x.what());
    return true;
  }
  if (const auto away = streams.no_room()) {
    reject(http::status::service_unavailable, "no room for a long body", settings.retry_after ? *away : Duration{});
    return true;
  }
  auto& a = out.request.arrival;
  out.units_told = a.units;
  std::optional<std::uint64_t> length = out.body.length;
  if (out.body.coding == docklift::stream::Coding::chunked) length.reset();
  a.units = streams.units_of(a.units, length);
  a.time_left = out.request.deadline - clients_.timers_.now();
  std::string rest(static_cast<const char*>(buffer_.data().data()), buffer_.size());
  buffer_.clear();
  parser_.reset();
  const auto self = shared_from_this();
  clients_.at(std::exchange(stage_, Stage::closed)).erase(place_);  // counted on, as lent
  streams.take(std::move(socket_), std::move(out), std::move(rest));
  return true;
}

void ClientSession::take_request() {
  auto message = parser_->release();
  parser_.reset();
  keep_alive_ = message.keep_alive();
  dropped_ = 0;
  if (buffer_.size() > 0) {
    keep_alive_ = true;
    drop_rest();
    if (!keep_alive_) return reject(http::status::bad_request, "one request at a time");
    keep_alive_ = message.keep_alive();
  }
  enter(Stage::waiting);
  const string_view target(message.target().data(), message.target().size());
  if (target == "/-/ready") {
    const bool good = clients_.owner_.ready() && !clients_.leaving();
    return write({good ? http::status::ok : http::status::service_unavailable,
                  good ? "ready\n" : "not ready\n",
                  "text/plain",
                  {}});
  }
  try {
    if (clients_.front_ && clients_.front_->serves(target.substr(0, target.find('?')))) {
      const auto number = clients_.front_->request(read_front_request(message, clients_.settings_, began_), shared_from_this());
      if (stage_ == Stage::waiting) request_ = number;
      return;
    }
    auto request = read_request(message, clients_.settings_, began_);
    request.arrival.time_left = request.deadline - clients_.timers_.now();
    class_ = request.arrival.request_class;
    const auto number = clients_.owner_.arrived(std::move(request), shared_from_this());
    if (number == 0)
      return write({http::status::conflict, "a request of this id is open\n", "text/plain", {}});
    if (stage_ == Stage::waiting) request_ = number;
  } catch (const BadRequest& x) {
    class_ = class_of(target, clients_.settings_);
    write({x.status, std::string(x.what()) + "\n", "text/plain", {}});
  }
}

// What can't be read ends the session: where the next request would begin is not known.
void ClientSession::reject(http::status status, const std::string& why, Duration retry_after) {
  keep_alive_ = false;
  if (parser_ && parser_->is_header_done()) {
    const auto target = parser_->get().target();
    class_ = class_of({target.data(), target.size()}, clients_.settings_);
  }
  parser_.reset();
  buffer_.clear();
  write({status, why + "\n", "text/plain", retry_after});
}

void ClientSession::answer(const Answer& answer) {
  request_ = 0;
  if (stage_ == Stage::waiting) write(answer);
}

void ClientSession::write(const Answer& answer) {
  enter(Stage::writing);
  if (clients_.leaving()) keep_alive_ = false;
  response_.result(answer.status);
  response_.version(11);
  response_.keep_alive(keep_alive_);
  if (!answer.content_type.empty()) response_.set(http::field::content_type, answer.content_type);
  if (answer.retry_after > Duration{}) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f",
                  std::chrono::duration<double>(answer.retry_after).count());
    response_.set(http::field::retry_after, text.data());
  }
  response_.body() = answer.body;
  response_.prepare_payload();
  http::async_write(socket_, response_, [self = shared_from_this()](const error_code& failed, std::size_t) {
    self->on_written(failed);
  });
}

void ClientSession::on_written(const error_code& failed) {
  const auto status = response_.result_int();
  response_ = {};
  if (closed()) return;
  if (failed) return close();
  if (const auto cls = std::exchange(class_, std::nullopt)) clients_.tally_.ended(static_cast<std::size_t>(*cls), static_cast<int>(status));
  if (!keep_alive_) {
    // Only the sending side: a reset for bytes still unread here would take the answer with it.
    error_code ignored;
    socket_.shutdown(Socket::shutdown_send, ignored);
    buffer_.clear();
    dropped_ = 0;
    enter(Stage::lingering);
    return read();
  }
  enter(Stage::idle);
  parse();
  if (clients_.heir_ && reading()) offer();
  read();
}

void ClientSession::close() {
  if (closed()) return;
  const auto request = std::exchange(request_, 0);
  const auto self = shared_from_this();
  close_now(socket_);
  clients_.forget(*this, std::exchange(stage_, Stage::closed));
  if (request != 0) clients_.owner_.client_gone(request);
}

bool ClientSession::quiet() const {
  error_code failed;
  return idle() && socket_.available(failed) == 0;
}

void ClientSession::offer() {
  if (!reading() || offered_) return;
  if (!reads_) return pass_to_heir();
  offered_ = true;  // bytes may have been read by now that are not told of yet
  error_code ignored;
  socket_.cancel(ignored);
}

// What the heir has is a copy of the descriptor: closing this one is not seen on the connection.
void ClientSession::pass_to_heir() {
  if (!clients_.heir_) return;
  auto bytes = parser_ ? partial_ : std::string();
  bytes.append(static_cast<const char*>(buffer_.data().data()), buffer_.size());
  if (clients_.heir_(socket_.native_handle(), bytes)) close();
}

void ClientSession::overdue() {
  if (reading() && parser_) return reject(http::status::request_timeout, "the request did not come");
  close();
}

// ---- The listener ---------------------------------------------------------------------------------------

Clients::Clients(asio::io_context& io, Timers& timers, const Settings& settings, std::size_t most_sessions,
                 Owner& owner, Tally& tally)
    : io_(io),
      timers_(timers),
      settings_(settings),
      most_sessions_(most_sessions),
      owner_(owner),
      tally_(tally) {}

Clients::ListenerPtr Clients::bind(const Tcp::endpoint& at) {
  asio::basic_socket_acceptor<Tcp, Executor> acceptor(io_.get_executor());
  acceptor.open(at.protocol());
  acceptor.set_option(asio::socket_base::reuse_address(true));
  const int on = 1;
  if (shares_address_) ::setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
  acceptor.bind(at);
  acceptor.listen(asio::socket_base::max_listen_connections);
  return std::make_shared<Listener>(std::move(acceptor));
}

Clients::ListenerPtr Clients::adopt(int descriptor) {
  asio::basic_socket_acceptor<Tcp, Executor> acceptor(io_.get_executor());
  sockaddr_storage name{};
  socklen_t length = sizeof name;
  if (::getsockname(descriptor, reinterpret_cast<sockaddr*>(&name), &length) != 0) {
    const error_code failed(errno, boost::system::system_category());
    ::close(descriptor);
    throw boost::system::system_error(failed, "a listener that was handed over");
  }
  acceptor.assign(name.ss_family == AF_INET6 ? Tcp::v6() : Tcp::v4(), descriptor);
  return std::make_shared<Listener>(std::move(acceptor));
}

void Clients::serve(const ListenerPtr& listener) {
  if (std::ranges::find(listeners_, listener) == listeners_.end()) listeners_.push_back(listener);
  if (std::exchange(listener->serves, true)) return;
  if (!listener->pending) accept(listener);
  if (std::exchange(sweeps_, true)) return;
  timers_.after(facts::kSweep, [this] { sweep(); });
}

void Clients::pause(const ListenerPtr& listener) {
  listener->serves = false;
  error_code ignored;
  listener->acceptor.cancel(ignored);
}

void Clients::end(const ListenerPtr& listener) {
  pause(listener);
  error_code failed;
  listener->acceptor.non_blocking(true, failed);
  while (!failed && size_ < most_sessions_) {
    Socket socket(io_.get_executor());
    listener->acceptor.accept(socket, failed);
    if (!failed) took(std::move(socket));
  }
  leave(listener);
}

void Clients::leave(const ListenerPtr& listener) {
  pause(listener);
  error_code ignored;
  listener->acceptor.close(ignored);
  std::erase(listeners_, listener);
}

void Clients::accept(const ListenerPtr& listener) {
  if (size_ >= most_sessions_) make_room();
  listener->pending = size_ < most_sessions_;
  if (!listener->pending) {
    waits_ = true;  // goes on when a session ends
    return;
  }
  listener->acceptor.async_accept([this, listener](const error_code& failed, Socket socket) {
    listener->pending = false;
    if (failed == asio::error::operation_aborted) {
      if (listener->serves) accept(listener);  // paused, and served again before this was told
      return;
    }
    if (failed) {
      // No descriptor, say: one that idles is given up, and the next try comes after a moment.
      make_room();
      listener->pending = true;
      timers_.after(facts::kAcceptPause, [this, listener] {
        listener->pending = false;
        if (listener->serves) accept(listener);
      });
      return;
    }
    took(std::move(socket));
    if (listener->serves) accept(listener);
  });
}

void Clients::took(Socket socket) {
  last_accept_ = timers_.now();
  const auto session = std::make_shared<ClientSession>(*this, std::move(socket));
  auto& fresh = at(Stage::fresh);
  session->place_ = fresh.insert(fresh.end(), session);
  session->stage_ = Stage::fresh, session->since_ = last_accept_;
  ++size_;
  session->start();
}

// Gives up a session that holds no request that has come whole; those never are. First what has its answer,
// then who says nothing: a usual client sends as soon as it is connected, so where many do not, they make room
// for each other. Then one that idles, those that may be closed by the protocol before others. One that has
// only just come goes after all that idle: its first request would fail, while who has been served asks again
// on a new connection. It can hurt while a crowd that says nothing is still small: it pushes out who idles.
void Clients::make_room() {
  const Time now = timers_.now();
  const auto& fresh = at(Stage::fresh);
  const auto waits = [&](Stage stage, Duration least) {
    return !at(stage).empty() && now - at(stage).front()->since() >= least;
  };
  const auto close_first = [&](Stage stage) { std::shared_ptr(at(stage).front())->close(); };
  const bool crowd = static_cast<double>(fresh.size()) > facts::kCrowd * static_cast<double>(most_sessions_);
  if (waits(Stage::lingering, {})) return close_first(Stage::lingering);
  if (waits(Stage::fresh, crowd ? Duration{} : facts::kSilent)) return close_first(Stage::fresh);
  if (waits(Stage::idle, facts::kMayClose)) return close_first(Stage::idle);
  for (const auto stage : {Stage::idle, Stage::fresh, Stage::coming})
    if (waits(stage, {})) return close_first(stage);
}

void Clients::move(ClientSession& session, Stage from, Stage to) {
  at(to).splice(at(to).end(), at(from), session.place_);
}

void Clients::give_back(Socket socket, std::string rest, bool keep_alive) {
  const auto session = std::make_shared<ClientSession>(*this, std::move(socket));
  const auto stage = keep_alive && !leaving() ? Stage::idle : Stage::lingering;
  session->place_ = at(stage).insert(at(stage).end(), session);
  session->stage_ = stage, session->since_ = timers_.now();
  if (stage == Stage::lingering) {
    error_code ignored;
    session->socket_.shutdown(Socket::shutdown_send, ignored);
    return session->read();
  }
  const auto to = session->buffer_.prepare(rest.size());
  std::ranges::copy(rest, static_cast<char*>(to.data()));
  session->buffer_.commit(rest.size());
  session->parse();
  session->read();
}

void Clients::take_over(int descriptor, std::string bytes) {
  Socket socket(io_.get_executor());
  error_code failed;
  socket.assign(Tcp::v4(), descriptor, failed);
  if (failed) return void(::close(descriptor));
  ++size_;
  give_back(std::move(socket), std::move(bytes), true);
}

void Clients::set_heir(Heir heir) {
  heir_ = std::move(heir);
  offer_all();
}

void Clients::offer_all() {
  if (!heir_) return;
  for (const auto stage : {Stage::idle, Stage::fresh, Stage::coming}) {
    const Sessions all = at(stage);
    for (const auto& s : all) s->offer();
  }
}

void Clients::set_most(std::size_t sessions) {
  const bool more = sessions > most_sessions_;
  most_sessions_ = sessions;
  if (!more || !std::exchange(waits_, false)) return;
  const auto all = listeners_;
  for (const auto& l : all)
    if (l->serves && !l->pending) accept(l);
}

void Clients::lost() { one_less(); }

void Clients::forget(ClientSession& session, Stage from) {
  at(from).erase(session.place_);
  one_less();
}

void Clients::one_less() {
  --size_;
  if (!std::exchange(waits_, false)) return;
  const auto all = listeners_;
  for (const auto& l : all)
    if (l->serves && !l->pending) accept(l);
}

// Sessions stand in the order in which they came to their stage, so those whose time is up stand first.
void Clients::sweep() {
  const Time now = timers_.now();
  for (const auto stage : {Stage::fresh, Stage::idle, Stage::coming, Stage::writing, Stage::lingering})
    for (auto& all = at(stage); !all.empty() && now - all.front()->since() >= limit_of(stage);)
      std::shared_ptr(all.front())->overdue();
  if (draining_ && !heir_) close_idle(now - take_new_);
  if (aside_ && !heir_ && now - *aside_ >= facts::kAside) close_idle(now - facts::kAside);
  timers_.after(facts::kSweep, [this] { sweep(); });
}

// One whose request is in the socket already has been taken: it is read and answered, and the connection ends then.
void Clients::close_idle(Time since_before) {
  for (const auto stage : {Stage::fresh, Stage::idle}) {
    const Sessions all = at(stage);
    for (const auto& s : all)
      if (s->since() <= since_before && s->quiet()) s->close();
  }
}

// One that has only just come has its first request under way: it is closed when it has had time for that.
void Clients::drain(Duration take_new) {
  draining_ = true;
  take_new_ = take_new;
  last_accept_ = timers_.now();
  if (heir_) return offer_all();
  const Sessions all = at(Stage::idle);
  for (const auto& s : all)
    if (s->quiet()) s->close();
}

void Clients::set_aside(bool aside) {
  if (aside == aside_.has_value()) return;
  aside_.reset();
  if (aside) aside_ = timers_.now();
}

bool Clients::drained() const {
  const bool all_known = std::ranges::none_of(listeners_, &Listener::serves);
  return draining_ && size_ == 0 && (all_known || timers_.now() - last_accept_ > take_new_);
}

void Clients::end_unanswered(Duration retry_after) {
  if (streams_) streams_->end_all();
  for (const auto stage : {Stage::fresh, Stage::idle, Stage::coming}) {
    const Sessions all = at(stage);
    for (const auto& s : all) {
      if (stage != Stage::coming && s->quiet()) {
        s->close();
      } else {
        // Something of a request has come: it is told that it is too late, and harmless to send again.
        s->reject(http::status::service_unavailable, "stopping", retry_after);
      }
    }
  }
}

}  // namespace snowknot
