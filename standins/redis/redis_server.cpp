#include "redis_server.hpp"

#include <algorithm>
#include <array>
#include <cstdlib>

#include "async.hpp"

namespace docklift::standins {

namespace asio = boost::asio;
using async::into;
using async::Steady;
using async::Timer;
using snowknot::error_code;

namespace {

bool same(const std::string& word, const char* name) {
  return std::ranges::equal(word, std::string_view(name),
                            [](unsigned char a, char b) { return std::toupper(a) == b; });
}

}  // namespace

RedisServer::RedisServer(asio::io_context& io, DatabaseOptions options, std::uint64_t seed,
                         const snowknot::Tcp::endpoint& at)
    : io_(io), database_(std::move(options)), random_(seed), acceptor_(io.get_executor()) {
  open(at);
}

void RedisServer::open(const snowknot::Tcp::endpoint& at) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen();
  at_ = acceptor_.local_endpoint();
  asio::co_spawn(io_.get_executor(), accept(), asio::detached);
}

void RedisServer::stop() {
  error_code ignored;
  acceptor_.close(ignored);
  reset_all();
}

void RedisServer::listen_again() {
  if (!listening()) open(at_);
}

RedisServer::~RedisServer() { stop(); }

std::int64_t RedisServer::now_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::size_t RedisServer::connections() const {
  return static_cast<std::size_t>(std::ranges::count_if(peers_, [](const auto& w) {
    const auto p = w.lock();
    return p && p->socket.is_open();
  }));
}

void RedisServer::reset_all() {
  ++life_;
  for (const auto& w : std::exchange(peers_, {}))
    if (const auto p = w.lock()) async::reset(async::SocketPtr(p, &p->socket));
}

void RedisServer::publish(const std::string& channel, const std::string& text) {
  for (const auto& w : peers_) {
    const auto p = w.lock();
    if (!p || !p->client.channels.contains(channel)) continue;
    std::string out = p->client.protocol == 3 ? ">3" : "*3";
    for (const auto& word : {std::string("message"), channel, text})
      out.append("\r\n$").append(std::to_string(word.size())).append("\r\n").append(word);
    send(p, out + "\r\n");
  }
}

void RedisServer::send(const Peer& p, const std::string& text) {
  p->out += text;
  flush(p);
}

void RedisServer::flush(const Peer& p) {
  if (!p->writing.empty() || !p->socket.is_open()) return;
  if (p->out.empty()) {
    error_code ignored;
    if (p->ends) p->socket.close(ignored);
    return;
  }
  p->writing.swap(p->out);
  asio::async_write(p->socket, asio::buffer(p->writing),
                    [this, p, life = life_](const error_code& failed, std::size_t) {
                      p->writing.clear();
                      if (!failed && p->socket.is_open() && life == life_) flush(p);
                    });
}

void RedisServer::restart_empty() {
  reset_all();
  database_.restart_empty();
}

void RedisServer::restart_from(std::chrono::milliseconds ago) {
  reset_all();
  database_.restart_from(clock(), ago.count());
}

RedisServer::Task<void> RedisServer::accept() {
  for (;;) {
    error_code failed;
    snowknot::Socket socket(io_.get_executor());
    co_await acceptor_.async_accept(socket, into(failed));
    if (failed) co_return;
    snowknot::set_no_delay(socket);
    std::erase_if(peers_, [](const auto& w) { return w.expired(); });
    auto peer = std::make_shared<Connection>(std::move(socket), database_.connect());
    peers_.push_back(peer);
    asio::co_spawn(io_.get_executor(), serve(std::move(peer)), asio::detached);
  }
}

RedisServer::Task<void> RedisServer::serve(Peer peer) {
  const auto life = life_;
  auto& client = peer->client;
  const auto cut = [&] { async::reset(async::SocketPtr(peer, &peer->socket)); };
  CommandReader reader;
  std::array<char, 16 * 1024> space{};
  error_code failed;
  Timer timer(io_.get_executor());
  while (!client.quits) {
    const auto n = co_await peer->socket.async_read_some(asio::buffer(space), into(failed));
    if (failed || life != life_) co_return;
    reader.feed({space.data(), n});
    if (chance(faults_.drop_before)) co_return cut();
    std::string out;
    while (const auto words = reader.next()) {
      const bool debugs = words->size() > 2 && same((*words)[0], "DEBUG") && same((*words)[1], "STANDIN");
      out += debugs ? debug(*words) : database_.run(client, *words, clock());
      if (life != life_) co_return;  // a restart of its own asking
      if (client.quits) break;
    }
    if (reader.failed()) out += "-ERR Protocol error: invalid multibulk length\r\n", client.quits = true;
    auto at = faults_.stalled_until;
    if (faults_.delay.count() > 0) {
      const double mean = static_cast<double>(std::chrono::nanoseconds(faults_.delay).count());
      const auto wait = std::chrono::nanoseconds(
          static_cast<std::int64_t>(std::exponential_distribution<>(1 / mean)(random_)));
      at = std::max(at, Steady::now() + (faults_.steady ? faults_.delay : wait));
    }
    if (at > Steady::now()) {
      timer.expires_at(at);
      error_code ignored;
      co_await timer.async_wait(into(ignored));
      if (life != life_) co_return;
    }
    if (!out.empty() && chance(faults_.drop_after)) co_return cut();
    if (!out.empty() && chance(faults_.garbage)) out.insert(0, "?what\r\n");
    peer->ends = client.quits;
    send(peer, out);
  }
}

std::string RedisServer::debug(const Words& w) {
  const auto& what = w[2];
  const double value = w.size() > 3 ? std::strtod(w[3].c_str(), nullptr) : 0;
  const auto ms = std::chrono::milliseconds(static_cast<std::int64_t>(value));
  if (same(what, "DELAY"))
    faults_.delay = ms, faults_.steady = w.size() > 4 && same(w[4], "STEADY");
  else if (same(what, "STALL"))
    faults_.stalled_until = Steady::now() + ms;
  else if (same(what, "DROP-AFTER"))
    faults_.drop_after = value;
  else if (same(what, "DROP-BEFORE"))
    faults_.drop_before = value;
  else if (same(what, "GARBAGE"))
    faults_.garbage = value;
  else if (same(what, "LOADING"))
    database_.faults().loading_until = now_ms() + ms.count();
  else if (same(what, "OOM"))
    database_.faults().oom = value != 0;
  else if (same(what, "READONLY"))
    database_.faults().readonly = value != 0;
  else if (same(what, "BUSY"))
    database_.faults().busy = value != 0;
  else if (same(what, "CLOCK"))
    faults_.clock = ms;
  else if (same(what, "FLUSH"))
    database_.flush();
  else if (same(what, "RESTART-EMPTY"))
    restart_empty();
  else if (same(what, "RESTART-FROM"))
    restart_from(ms);
  else if (same(what, "NONE"))
    faults_ = {}, database_.faults() = {};
  else
    return (more_faults ? more_faults(w) : std::nullopt).value_or("-ERR no such fault\r\n");
  return "+OK\r\n";
}

}  // namespace docklift::standins
