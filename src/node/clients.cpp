#include "clients.hpp"

#include <algorithm>
#include <boost/beast/http/write.hpp>
#include <cstdio>

#include <sys/socket.h>
#include <unistd.h>

#include "facts.hpp"
#include "request_reader.hpp"

namespace snowknot {
namespace {

using std::string_view;

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
  if (std::exchange(offered_, false) && (!failed || failed == asio::error::operation_aborted)) {
    buffer_.commit(bytes);
    if (bytes > 0 && reading()) parse();
    if (reading()) pass_to_heir();  // else its answer is under way, and it is offered again after that
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
    continued_ = false;
    parser_->header_limit(facts::kMostHeader);
    parser_->body_limit(facts::kMostBody);
    if (clients_.streams_) parser_->body_limit(boost::none);  // until it is known whether it is streamed
    parser_->eager(!clients_.streams_);
    began_ = clients_.timers_.now();
  }
  error_code failed;
  const bool in_body = parser_->is_header_done();
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
      head_bytes_ = partial_.size() + all.size() - buffer_.size();
      if (clients_.streams_ && pass_on()) return;
      if (boost::beast::iequals(head[http::field::expect], "100-continue") && !parser_->is_done()) {
        // Small enough for any socket's buffer; if it is lost the client sends its body after a while.
        static constexpr string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
        error_code ignored;
        socket_.non_blocking(true, ignored);
        socket_.write_some(asio::buffer(go_on.data(), go_on.size()), ignored);
        continued_ = true;
      }
    }
    if (failed == http::error::need_more) break;
  }
  if (parser_->is_done()) return take_request();
  // Head and body have a time each.
  if (stage_ != Stage::coming || in_body != parser_->is_header_done()) enter(Stage::coming);
  heard_ = clients_.timers_.now();
  if (clients_.keeps_partial_) partial_ += all.substr(0, all.size() - buffer_.size());
  if (clients_.streams_ && parser_->get().body().size() > facts::kMostBody && pass_on_late()) return;
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
    const bool is_long = parser_->content_length().value_or(0) > facts::kMostBody;
    if (is_long && streams.takes_long()) return pass_to_streams(true, rest(), false);
    parser_->eager(true);
    // One in chunks goes over when it has become long.
    if (!streams.takes_long() || !clients_.keeps_partial_) parser_->body_limit(facts::kMostBody);
    if (!is_long) return false;
    reject(http::status::payload_too_large, "the body is too large");
    return true;
  }
  return pass_to_streams(false, rest(), false);
}

// With all that has come of its body.
bool ClientSession::pass_on_late() {
  return pass_to_streams(true, partial_.substr(head_bytes_) + rest(), continued_);
}

std::string ClientSession::rest() const {
  return {static_cast<const char*>(buffer_.data().data()), buffer_.size()};
}

// True: the connection is theirs, or its request is answered.
bool ClientSession::pass_to_streams(bool by_platform, std::string rest, bool continued) {
  auto& streams = *clients_.streams_;
  auto& head = parser_->get();
  StreamHead out;
  out.body.coding = parser_->chunked() ? docklift::stream::Coding::chunked
                    : parser_->content_length().value_or(0) > 0 ? docklift::stream::Coding::length
                                                                : docklift::stream::Coding::none;
  out.body.length = parser_->content_length().value_or(0);
  out.keep_alive = parser_->keep_alive() && !clients_.leaving();
  out.old_client = head.version() == 10;
  const auto expects = head[http::field::expect];
  out.expects_continue = boost::beast::iequals(expects, "100-continue") && !continued;
  const auto& settings = clients_.settings_;
  try {
    if (!expects.empty() && !boost::beast::iequals(expects, "100-continue")) throw BadRequest(http::status::expectation_failed, "Expect");
    const Time now = clients_.timers_.now();
    if (by_platform) {
      out.request = read_request(head, settings, now);
      out.patience = out.request.deadline - now;
      out.request.deadline = now + streams.longest();
    } else {
      out.request = read_request(head, settings, began_, streams.longest());
    }
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
  a.time_left = out.patience ? *out.patience + streams.allowance(length) : out.request.deadline - clients_.timers_.now();
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
  old_client_ = message.version() == 10;
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
    // Its client's time counts from the last byte: it may have taken seconds to write.
    auto request = read_request(message, clients_.settings_, clients_.timers_.now());
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

// What is told to be long is on its way from the first byte on, and its time is that of that byte.
bool ClientSession::begin(const LongHead& head, std::shared_ptr<AnswerSource> source) {
  if (stage_ != Stage::waiting) return false;
  enter(Stage::writing);
  if (clients_.leaving()) keep_alive_ = false;
  chunked_out_ = !head.length && !old_client_;
  if (!head.length && old_client_) keep_alive_ = false;  // it ends with its connection
  out_ = "HTTP/1.1 200 OK\r\n";
  if (!head.content_type.empty()) out_ += "Content-Type: " + head.content_type + "\r\n";
  if (head.length) out_ += "Content-Length: " + std::to_string(*head.length) + "\r\n";
  if (chunked_out_) out_ += "Transfer-Encoding: chunked\r\n";
  if (!keep_alive_) out_ += "Connection: close\r\n";
  else if (old_client_) out_ += "Connection: keep-alive\r\n";
  out_ += "\r\n";
  source_ = std::move(source);
  source_->want();
  return true;
}

void ClientSession::piece(string_view bytes, bool last) {
  if (closed() || !source_) return;
  if (chunked_out_ && !bytes.empty()) out_ += docklift::stream::chunk_head(bytes.size());
  out_ += bytes;
  if (chunked_out_ && !bytes.empty()) out_ += "\r\n";
  if (chunked_out_ && last) out_ += docklift::stream::last_chunk();
  if (last) source_.reset();
  asio::async_write(socket_, asio::buffer(out_), [self = shared_from_this(), last](const error_code& failed, std::size_t) {
    self->on_piece_written(failed, last);
  });
}

void ClientSession::on_piece_written(const error_code& failed, bool last) {
  out_.clear();
  if (closed()) return;
  if (failed) return close();
  if (!last) {
    enter(Stage::writing);  // its time counts anew with each piece
    if (source_) source_->want();
    return;
  }
  out_.shrink_to_fit();
  finished(static_cast<int>(http::status::ok));
}

// With a reset, so that the client can tell that it is not whole.
void ClientSession::cut() {
  if (closed()) return;
  request_ = 0;
  source_.reset();
  if (class_) clients_.tally_.ended(static_cast<std::size_t>(*class_), static_cast<int>(http::status::bad_gateway));
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  close();
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
  finished(static_cast<int>(status));
}

// The last byte of an answer of that status is written.
void ClientSession::finished(int status) {
  if (const auto cls = std::exchange(class_, std::nullopt)) clients_.tally_.ended(static_cast<std::size_t>(*cls), status);
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
  if (const auto source = std::exchange(source_, nullptr)) source->drop();
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
  for (const auto stage : {Stage::idle, Stage::fresh})
    if (waits(stage, {})) return close_first(stage);
  // Of those that have begun, the one that has said nothing for longest: who writes slowly says something now and then.
  const auto& begun = at(Stage::coming);
  const auto stalled = std::ranges::min_element(begun, {}, [](const auto& s) { return s->heard_; });
  if (stalled != begun.end()) std::shared_ptr(*stalled)->close();
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
