#include "platform.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cstdio>
#include <sstream>

#include "async.hpp"

namespace docklift::standins {

namespace http = boost::beast::http;
using snowknot::error_code;
using snowknot::shown;
using snowknot::Tcp;
using nlohmann::json;
using async::into;
using async::Steady;

namespace {


std::int64_t unix_ms() {
  return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::string chunk(const std::string& text) {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
  return size.data() + text + "\r\n";
}

}  // namespace

template <class Body>
void Platform::spawn(Body body) {
  asio::co_spawn(io_.get_executor(), std::move(body), asio::detached);
}

Platform::Platform(asio::io_context& io, PlatformOptions options)
    : io_(io), options_(options), random_(options.seed), discovery_(listener()), counter_(listener()) {
  for (std::size_t i = 0; i < options.servers; ++i) {
    servers_.push_back(std::make_unique<Server>(listener()));
    auto& s = *servers_.back();
    std::array<char, 16> id{};
    std::snprintf(id.data(), id.size(), "s-%08x", static_cast<unsigned>(i + 1));
    s.id = id.data();
    open_server(s);
  }
  spawn(accept(discovery_, [this](SocketPtr s) { spawn(serve_discovery(std::move(s))); }));
  spawn(accept(counter_, [this](SocketPtr s) {
    counter_sockets_.push_back(s);
    spawn(serve_counter(std::move(s)));
  }));
}

Platform::~Platform() { *alive_ = false; }

Platform::Acceptor Platform::listener(std::uint16_t port) {
  Acceptor a(io_.get_executor());
  const Tcp::endpoint at(asio::ip::address_v4::loopback(), port);
  a.open(at.protocol());
  a.set_option(asio::socket_base::reuse_address(true));
  a.bind(at);
  a.listen();
  return a;
}

Platform::Task<void> Platform::accept(Acceptor& acceptor, std::function<void(SocketPtr)> took) {
  for (;;) {
    error_code failed;
    auto socket = std::make_shared<snowknot::Socket>(io_.get_executor());
    co_await acceptor.async_accept(*socket, into(failed));
    if (failed == asio::error::operation_aborted || !acceptor.is_open()) co_return;
    if (failed) {
      co_await async::pause(io_, Milliseconds(20));
      continue;
    }
    snowknot::set_no_delay(*socket);
    took(std::move(socket));
  }
}

std::string Platform::discovery_address() const { return shown(discovery_.local_endpoint()); }
std::string Platform::counter_address() const { return shown(counter_.local_endpoint()); }
std::string Platform::server_address(std::size_t i) const { return shown(servers_.at(i)->at); }

// ---- App servers ----------------------------------------------------------------------------------------

void Platform::open_server(Server& server) {
  spawn(accept(server.acceptor, [this, &server](SocketPtr s) {
    std::erase_if(server.sockets, [](const auto& w) { return w.expired(); });
    server.sockets.push_back(s);
    spawn(serve_app(server, std::move(s)));
  }));
}

Platform::Task<void> Platform::serve_app(Server& server, SocketPtr socket) {
  const auto life = server.life;
  boost::beast::flat_buffer buffer;
  error_code failed;
  for (;;) {
    http::request<http::string_body> request;
    co_await http::async_read(*socket, buffer, request, into(failed));
    if (failed || life != server.life) co_return;
    http::response<http::string_body> answer;
    answer.version(11);
    answer.keep_alive(request.keep_alive());
    const std::string target(request.target());
    if (target == "/-/healthy" || target == "/-/load") {
      answer.result(http::status::ok);
    } else if (const std::string id(request["X-Request-ID"]); id.empty()) {
      answer.result(http::status::not_found);
    } else {
      const std::string key(request["Idempotency-Key"]);
      auto& entry = ledger_[id];
      entry.effect = request.method() == http::verb::get ? 's' : key.empty() ? 'u' : 'k';
      ++entry.came;
      ++server.came;
      if (on_arrival) on_arrival(id);
      const auto faults = server.faults;
      if (server.busy >= options_.most_at_once || chance(faults.turn_away)) {
        answer.result(http::status::service_unavailable);
        answer.set("X-Not-Processed", "1");
        ++entry.turned_away;
      } else if (chance(faults.reset)) {
        if (chance(0.5)) ++entry.ran;
        co_return async::reset(socket);
      } else {
        ++server.busy;
        const double mean = static_cast<double>(std::chrono::nanoseconds(options_.work).count());
        const auto work = std::chrono::nanoseconds(
            static_cast<std::int64_t>(std::exponential_distribution<>(1 / std::max(mean, 1.0))(random_)));
        co_await async::pause(io_, faults.slow + work);
        if (life != server.life) co_return;  // its process has died meanwhile
        --server.busy;
        if (key.empty() || !std::exchange(server.keys[key], true)) ++ledger_[id].ran;
        if (chance(faults.error)) {
          answer.result(http::status::internal_server_error);
        } else {
          answer.result(http::status::ok);
          answer.set(http::field::content_type, "text/plain");
          answer.body() = "answer to " + id + "\n";
        }
      }
    }
    answer.prepare_payload();
    co_await http::async_write(*socket, answer, into(failed));
    if (failed || !answer.keep_alive()) co_return;
  }
}

void Platform::drain(std::size_t i) { servers_.at(i)->phase = "DRAINING", changed(*servers_[i]); }
void Platform::serve(std::size_t i) { servers_.at(i)->phase = "SERVING", changed(*servers_[i]); }

void Platform::remove(std::size_t i) {
  auto& s = *servers_.at(i);
  s.phase = "DELETED";
  changed(s);
  ++s.life;
  error_code ignored;
  s.acceptor.close(ignored);
  for (const auto& w : std::exchange(s.sockets, {})) async::reset(w.lock());
}

void Platform::restart(std::size_t i, Milliseconds down) {
  auto& s = *servers_.at(i);
  if (!s.acceptor.is_open()) return;
  ++s.life;
  s.busy = 0;
  s.keys.clear();
  error_code ignored;
  s.acceptor.close(ignored);
  for (const auto& w : std::exchange(s.sockets, {})) async::reset(w.lock());
  spawn([](Platform& p, Server& server, Milliseconds time, std::shared_ptr<bool> alive) -> Task<void> {
    co_await async::pause(p.io_, time);
    if (!*alive) co_return;
    server.acceptor = p.listener(server.at.port());
    server.up_since_ms = unix_ms();
    p.open_server(server);
    p.changed(server);
  }(*this, s, down, alive_));
}

// ---- Discovery ------------------------------------------------------------------------------------------

json Platform::member(const Server& s) const {
  return {{"id", s.id},       {"host_port", s.shown_at.empty() ? shown(s.at) : s.shown_at}, {"locality", "a"},  {"flavor", "m2"},
          {"cell", 1},        {"phase", s.phase},         {"size", 1.0},      {"up_since_ms", s.up_since_ms}};
}

json Platform::list() const {
  json members = json::array();
  for (const auto& s : servers_)
    if (s->phase != "DELETED") members.push_back(member(*s));
  return {{"revision", revision_}, {"complete", true}, {"members", members}};
}

void Platform::changed(Server& server) {
  changes_.emplace_back(++revision_, member(server));
  for (const auto& w : watchers_) w.wake->cancel();
}

Platform::Task<void> Platform::serve_discovery(SocketPtr socket) {
  boost::beast::flat_buffer buffer;
  error_code failed;
  for (;;) {
    http::request<http::string_body> request;
    co_await http::async_read(*socket, buffer, request, into(failed));
    if (failed) co_return;
    const std::string target(request.target());
    if (target.starts_with("/api/targets?watch=1")) {
      std::uint64_t from = 0;
      if (const auto at = target.find("from="); at != std::string::npos)
        std::from_chars(target.data() + at + 5, target.data() + target.size(), from);
      watch_sockets_.push_back(socket);
      co_return co_await watch(socket, from);
    }
    http::response<http::string_body> answer(
        target == "/api/targets" ? http::status::ok : http::status::not_found, 11);
    if (answer.result() == http::status::ok) answer.body() = list().dump() + "\n";
    answer.prepare_payload();
    co_await http::async_write(*socket, answer, into(failed));
    if (failed) co_return;
  }
}

Platform::Task<void> Platform::watch(SocketPtr socket, std::uint64_t from) {
  using Timer = decltype(Watcher::wake)::element_type;
  const auto wake = std::make_shared<Timer>(io_.get_executor());
  watchers_.push_back({socket, wake});
  error_code failed;
  std::string text = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
  bool first = true;
  while (!failed && socket->is_open()) {
    if (first && (from == 0 || from > revision_)) {
      text += chunk(list().dump() + "\n");
      from = revision_;
    } else if (first || from < revision_) {
      json members = json::array();
      for (const auto& [revision, m] : changes_)
        if (revision > from) members.push_back(m);
      text += chunk(json{{"revision", revision_}, {"complete", false}, {"members", members}}.dump() + "\n");
      from = revision_;
    }
    first = false;
    if (text.empty()) text = chunk("\n");
    co_await asio::async_write(*socket, asio::buffer(text), into(failed));
    text.clear();
    if (failed || from < revision_) continue;
    wake->expires_after(std::chrono::seconds(2));
    error_code woken;
    co_await wake->async_wait(into(woken));
  }
  std::erase_if(watchers_, [&](const Watcher& w) { return w.wake == wake; });
}

void Platform::break_watches() {
  for (const auto& w : std::exchange(watch_sockets_, {})) async::reset(w.lock());
  for (const auto& w : watchers_) w.wake->cancel();
}

// ---- The counter ----------------------------------------------------------------------------------------

Platform::Task<void> Platform::serve_counter(SocketPtr socket) {
  std::string in;
  std::array<char, 4096> space{};
  error_code failed;
  for (;;) {
    const auto n = co_await socket->async_read_some(asio::buffer(space), into(failed));
    if (failed) co_return;
    in.append(space.data(), n);
    std::string out;
    bool drop = false;
    std::size_t begin = 0;
    for (auto end = in.find("\r\n"); end != std::string::npos && !drop; end = in.find("\r\n", begin)) {
      std::istringstream line(in.substr(begin, end - begin));
      begin = end + 2;
      std::string word, name;
      double amount = 0;
      std::int64_t life = 0;
      line >> word;
      if (word == "ping") {
        out += "pong\r\n";
        continue;
      }
      if (word != "incr" || !(line >> name >> amount >> life) || life < 1 || std::abs(amount) > 1e9) {
        out += "error\r\n";
        continue;
      }
      ++counter_calls_;
      if (chance(counter_faults_.busy)) {
        out += "busy\r\n";
        continue;
      }
      const auto now = Steady::now();
      auto& c = counts_[name];
      if (c.ends <= now) c = {0, now + Milliseconds(std::min<std::int64_t>(life, 60'000))};
      c.total += amount;
      units_leased_ += amount;
      drop = chance(counter_faults_.drop);
      std::array<char, 48> text{};
      std::snprintf(text.data(), text.size(), "ok %.7g\r\n", c.total);
      out += text.data();
      if (counts_.size() > 100'000) std::erase_if(counts_, [&](const auto& e) { return e.second.ends <= now; });
    }
    in.erase(0, begin);
    if (counter_faults_.slow.count() > 0) co_await async::pause(io_, counter_faults_.slow);
    if (drop) co_return async::reset(socket);
    if (out.empty()) continue;
    co_await asio::async_write(*socket, asio::buffer(out), into(failed));
    if (failed) co_return;
  }
}

void Platform::restart_counter() {
  counts_.clear();
  for (const auto& w : std::exchange(counter_sockets_, {})) async::reset(w.lock());
}

std::uint64_t Platform::unsafe_twice() const {
  return static_cast<std::uint64_t>(std::ranges::count_if(
      ledger_, [](const auto& e) { return e.second.effect == 'u' && e.second.came - e.second.turned_away > 1; }));
}

std::uint64_t Platform::unsafe_sent_on() const {
  return static_cast<std::uint64_t>(std::ranges::count_if(
      ledger_, [](const auto& e) { return e.second.effect == 'u' && e.second.turned_away > 0 && e.second.came > 1; }));
}

// ---- Configuration --------------------------------------------------------------------------------------

json Platform::node_config(std::size_t index, std::size_t nodes, const std::string& listen) const {
  const auto grade = [](const char* name, const char* effect) {
    return json{{"name", name},           {"idempotency", effect}, {"gain", 1},
                {"late-worth", 0},        {"on-time-ns", 500'000'000}, {"hard-limit-ns", 2'000'000'000},
                {"group", "all"},         {"memory-span-ns", 10'000'000'000}, {"streamed", false}};
  };
  const auto package = [](const char* name, double rate, double burst, double ceiling) {
    return json{{"name", name},
                {"units-per-s", rate},
                {"store-size", burst},
                {"ceiling-rate", ceiling},
                {"cap-depth", ceiling > 0 ? burst : 0},
                {"tolerance", ceiling > 0 ? burst / 4 : 0},
                {"max-out", 0},
                {"value-factor", 1},
                {"over-worth", 0},
                {"overrun-cost", 1}};
  };
  const json settings{
      {"az", "a"},
      {"zones", {"a"}},
      {"discovery", "push"},
      {"fleet-size", nodes},
      {"index", index},
      {"weights", "off"},
      {"ceilings",
       {{"cancel", true},
        {"connect-timeout-ns", 250'000'000},
        {"keepalive-ns", 30'000'000'000},
        {"max-attempts", 3},
        {"max-retry-after-ns", 1'000'000'000},
        {"probes", false},
        {"retry-after", true},
        {"second-copies", false}}},
      {"extra",
       {{"count-limit-ns", 100'000'000},
        {"counter", true},
        {"counter-price", 0},
        {"max-units", 4},
        {"trued-up", false}}},
      {"grades", {grade("route", "safe"), grade("notice-keyed", "keyed"), grade("gate-notice", "unsafe")}},
      {"packages", {package("basic", 200, 400, 0), package("premium", 400, 800, 800)}},
      {"prices", {{"cross-zone", 0}, {"probe", 0}}},
      {"safety",
       {{"answer-slack-ns", 50'000'000},
        {"drain-grace-ns", 250'000'000},
        {"fall-multiple", 2},
        {"fall-ns", 1'000'000'000},
        {"start-capacity", 0.5},
        {"warm-within-ns", 1'000'000'000}}}};
  std::array<char, 17> seed{};
  std::snprintf(seed.data(), seed.size(), "%016llx", static_cast<unsigned long long>(options_.seed * 1000 + index));
  return {{"name", "n" + std::to_string(index)},
          {"listen", listen},
          {"discovery", discovery_address()},
          {"counter", counter_address()},
          {"seed", seed.data()},
          {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
          {"known", list()},
          {"settings", settings}};
}

}  // namespace docklift::standins
