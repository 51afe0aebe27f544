// build/rigs/streaming [--short] [--transfers N] [--megabytes M] [--seed N] [--compare]
//
// One real node with [stream], four app servers and N clients at once: half of them send long bodies (with a length and in
// chunks), half fetch them, at speeds that differ by a hundred, with pauses; some clients leave half-way and some servers reset in
// the middle of an answer. Every byte is compared at its end. Beside them small requests go the usual way, and before them
// alone. --short: fewer and smaller, of the same shape.
//
// --compare measures instead, in turn, uploads of 1, 16 and 64 KiB with and without [stream], and long ones against a plain relay of
// two sockets: megabytes a second, and CPU for each.
//
// The last line is one JSON object. Exit 0 only if no byte was wrong, every transfer that was not cut on purpose ended with its
// one answer, nothing came behind an answer, and the node's memory stayed under what it states at its start beside what it
// holds at rest.
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <cstring>
#include <iostream>
#include <random>
#include <thread>

#include "async.hpp"
#include "discovery.hpp"
#include "platform.hpp"
#include "process.hpp"
#include "stream/front.hpp"

namespace {

using namespace docklift::rigs;
using namespace docklift::async;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using docklift::standins::Platform;
using nlohmann::json;
using snowknot::error_code;

constexpr std::size_t kServers = 4, kPiece = 64 * 1024, kPattern = 1'048'573, kMostTries = 40;
constexpr double kMiB = 1024 * 1024;

struct Options {
  std::size_t transfers = 1000, megabytes = 50, memory_mb = 64;
  double slowest = 0.2, fastest = 20;  // MB a second of a client
  double small_rate = 100, alone_s = 4;
  std::uint64_t seed = 1;
};

struct Totals {
  std::uint64_t ended = 0, bytes = 0, paused = 0, aborted = 0, cut = 0, corrupt = 0, unanswered = 0, twice = 0, refused = 0, failed = 0;
  std::vector<std::string> faults;
  void fault(const std::string& text) {
    if (faults.size() < 8) faults.push_back(text);
  }
};

double p99(std::vector<double> all) {
  if (all.empty()) return 0;
  std::ranges::sort(all);
  return all[std::min(all.size() - 1, all.size() * 99 / 100)];
}

// The bytes of a body: those of one pattern from a place on that its number tells.
class Pattern {
 public:
  Pattern() : bytes_(kPattern + kPiece, '\0') {
    std::mt19937 random(7);
    for (auto& c : bytes_) c = static_cast<char>(random());
    std::copy_n(bytes_.begin(), kPiece, bytes_.begin() + kPattern);
  }
  const char* at(std::uint64_t number, std::uint64_t offset) const {
    return bytes_.data() + (number * 7919 + offset) % kPattern;
  }
  bool same(std::uint64_t number, std::uint64_t offset, const char* data, std::size_t n) const {
    for (; n > 0;) {
      const auto part = std::min(n, kPiece);
      if (std::memcmp(at(number, offset), data, part) != 0) return false;
      offset += part, data += part, n -= part;
    }
    return true;
  }

 private:
  std::string bytes_;
};

class Run {
 public:
  Run(Options options, const std::filesystem::path& home)
      : options_(options), platform_(io_, {.servers = 1, .seed = options.seed}), random_(options.seed) {
    json members = json::array();
    for (std::size_t i = 0; i < kServers; ++i) {
      acceptors_.emplace_back(io_.get_executor(), snowknot::Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
      asio::co_spawn(io_.get_executor(), accept(acceptors_.back()), asio::detached);
      members.push_back({{"id", "s-0000000" + std::to_string(i + 1)},
                         {"host_port", snowknot::shown(acceptors_.back().local_endpoint())},
                         {"locality", "a"},
                         {"flavor", "m2"},
                         {"cell", i},
                         {"phase", "SERVING"},
                         {"size", 1.0},
                         {"up_since_ms", 0}});
    }
    const auto listen = own_address(0);
    auto config = platform_.node_config(0, 1, listen);
    config["known"] = {{"revision", 1}, {"complete", true}, {"members", members}};
    config["discovery"] = own_address(1);  // nobody is there: the list stays as it is known
    config["limits"]["sockets"] = 16'384, config["limits"]["memory_mb"] = 8192;
    node_ = std::make_unique<NodeProcess>(home / "n", listen, config);
    node_->write_good("[stream]\nclasses = \"route notice-keyed\"\nmemory = \"" + std::to_string(options.memory_mb) +
                      "MiB\"\nmost_streams = " + std::to_string(options.transfers) +
                      "\nstall = \"20s\"\nlongest = \"20m\"\n");
    at_ = *snowknot::endpoint_of(listen);
    const auto other = own_address(2);
    config["listen"] = other;
    plain_ = std::make_unique<NodeProcess>(home / "p", other, config);
    docklift::stream::StreamOptions stated;
    stated.memory = options.memory_mb << 20U, stated.most_streams = options.transfers;
    bound_mb = static_cast<double>(docklift::stream::memory_bound(stated)) / kMiB;
  }
  ~Run() {
    for (auto* n : {node_.get(), plain_.get()}) {
      if (n->pid() == 0) continue;
      n->signal(SIGKILL);
      ::waitpid(n->pid(), nullptr, 0);
    }
  }
  Run(const Run&) = delete;
  Run& operator=(const Run&) = delete;

  void go(bool compares) {
    asio::co_spawn(io_.get_executor(), compares ? compare() : all(), [this](std::exception_ptr failed) {
      if (failed) std::cerr << "streaming: a coroutine failed\n";
      io_.stop();
    });
    io_.run();
  }

  Totals totals;
  double bound_mb = 0, rest_mb = 0, peak_mb = 0, cpu = 0, seconds = 0;
  std::vector<double> alone_ms, beside_ms;
  json compared = json::object();

 private:
  // ---- App servers ------------------------------------------------------------------------------------------
  using Acceptor = asio::basic_socket_acceptor<snowknot::Tcp, snowknot::Executor>;
  Task<void> accept(Acceptor& acceptor) {
    for (;;) {
      error_code failed;
      auto socket = std::make_shared<snowknot::Socket>(io_.get_executor());
      co_await acceptor.async_accept(*socket, into(failed));
      if (failed) co_return;
      snowknot::set_no_delay(*socket);
      socket->set_option(asio::socket_base::send_buffer_size(static_cast<int>(2 * kPiece)));
      asio::co_spawn(io_.get_executor(), serve(std::move(socket)), asio::detached);
    }
  }
  static std::uint64_t number_in(std::string_view target) {  // /class/NUMBER
    return std::stoull(std::string(target.substr(target.rfind('/') + 1)));
  }
  Task<void> serve(SocketPtr socket) {
    boost::beast::flat_buffer buffer;
    for (;;) {
      error_code failed;
      http::request_parser<http::buffer_body> parser;
      parser.body_limit(boost::none);
      co_await http::async_read_header(*socket, buffer, parser, into(failed));
      if (failed) co_return;
      const std::string target(parser.get().target());
      if (target == "/-/healthy") {
        co_await asio::async_write(*socket, asio::buffer(std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n")), into(failed));
        if (failed) co_return;
        continue;
      }
      const auto number = number_in(target);
      std::uint64_t came = 0;
      bool same = true;
      std::string space(kPiece, '\0');
      while (!parser.is_done()) {
        parser.get().body() = {space.data(), space.size(), true};
        co_await http::async_read_some(*socket, buffer, parser, into(failed));
        const auto n = space.size() - parser.get().body().size;
        same = same && pattern_.same(number, came, space.data(), n);
        came += n;
        if (failed == http::error::need_buffer) failed = {};
        if (failed) co_return;  // it has not come whole: it must not run
      }
      std::string head = "HTTP/1.1 200 OK\r\n";
      if (target.starts_with("/route/")) {
        const auto size = size_of(number);
        const bool chunked = number % 4 == 0, breaks = number % 97 == 5;
        head += chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "Content-Length: " + std::to_string(size) + "\r\n\r\n";
        co_await asio::async_write(*socket, asio::buffer(head), into(failed));
        for (std::uint64_t sent = 0; !failed && sent < size;) {
          if (breaks && sent > size / 2) co_return reset(socket);
          const auto n = std::min<std::uint64_t>(kPiece, size - sent);
          const auto began = Steady::now();
          co_await write_piece(*socket, number, sent, n, chunked, failed);
          if (Steady::now() - began > 100ms) ++totals.paused;  // held up: the client is slow
          sent += n;
        }
        if (!failed && chunked) co_await asio::async_write(*socket, asio::buffer(std::string_view("0\r\n\r\n")), into(failed));
      } else {
        const std::string body = std::to_string(came) + (same ? " same" : " differs");
        head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        co_await asio::async_write(*socket, asio::buffer(head), into(failed));
      }
      if (failed) co_return;
    }
  }
  Task<void> write_piece(snowknot::Socket& socket, std::uint64_t number, std::uint64_t offset, std::size_t n, bool chunked,
                         error_code& failed) {
    std::string before, after;
    if (chunked) {
      std::array<char, 24> line{};
      std::snprintf(line.data(), line.size(), "%zx\r\n", n);
      before = line.data(), after = "\r\n";
    }
    const std::array<asio::const_buffer, 3> all{asio::buffer(before), asio::buffer(pattern_.at(number, offset), n),
                                                asio::buffer(after)};
    co_await asio::async_write(socket, all, into(failed));
  }
  std::uint64_t size_of(std::uint64_t number) const {
    const auto most = options_.megabytes * 1'000'000;
    return number % 10 == 3 ? most / 100 : most - number % 1000;
  }

  // ---- Clients ----------------------------------------------------------------------------------------------
  std::string head_of(const std::string& method, const std::string& cls, std::uint64_t number, std::size_t tries,
                      const std::string& framing) const {
    std::array<char, 20> cookie{};
    std::snprintf(cookie.data(), cookie.size(), "%016llx", static_cast<unsigned long long>(1000 + number));
    return method + " /" + cls + "/" + std::to_string(number) + " HTTP/1.1\r\nHost: node\r\nX-Request-ID: " + cls +
           std::to_string(number) + "-" + std::to_string(tries) + "\r\nX-Priority-Class: " + cls +
           "\r\nX-Plan: basic\r\nCookie: client=" + cookie.data() +
           "\r\nX-Timeout-Ms: 1200000\r\nX-Quota: units=1,spread=1,first=0\r\n" +
           (cls == "notice-keyed" ? "Idempotency-Key: k" + std::to_string(number) + "\r\n" : std::string()) + framing + "\r\n";
  }
  Task<void> transfer(std::uint64_t number) {
    std::mt19937_64 random(options_.seed * 1'000'003 + number);
    const double speed = options_.slowest * std::pow(options_.fastest / options_.slowest,
                                                     std::uniform_real_distribution<>(0, 1)(random));
    const bool fetches = number % 2 == 0, leaves = number % 31 == 7;
    for (std::size_t tries = 0; tries < kMostTries; ++tries) {
      const auto end = fetches ? co_await fetch(number, tries, speed, leaves) : co_await send(number, tries, speed, leaves);
      if (end != End::refused) break;
      ++totals.refused;
      if (tries + 1 == kMostTries) ++totals.unanswered, totals.fault("refused to the end: " + std::to_string(number));
      co_await pause(io_, std::chrono::milliseconds(200 + random() % 800));
    }
    ++totals.ended;
    --open_;
  }
  enum class End { whole, refused, over };
  Task<void> pace(double speed, std::uint64_t number, std::uint64_t n, std::uint64_t at, Steady::time_point began) {
    const auto due = began + std::chrono::duration_cast<Steady::duration>(
                                 std::chrono::duration<double>(static_cast<double>(at) / (speed * 1e6)));
    if (number % 7 == 1 && at - n < kPiece && at >= kPiece) co_await pause(io_, 2s);  // a phone out of reach
    if (due > Steady::now()) co_await pause(io_, due - Steady::now());
  }
  Task<SocketPtr> connect() {
    auto socket = std::make_shared<snowknot::Socket>(io_.get_executor());
    error_code failed;
    socket->open(snowknot::Tcp::v4());
    socket->set_option(asio::socket_base::receive_buffer_size(static_cast<int>(2 * kPiece)));
    socket->set_option(asio::socket_base::send_buffer_size(static_cast<int>(2 * kPiece)));
    co_await socket->async_connect(at_, into(failed));
    snowknot::set_no_delay(*socket);
    co_return failed ? nullptr : socket;
  }
  // What is wrong with an end that was not meant.
  End lost(std::uint64_t number, const std::string& why) {
    ++totals.unanswered;
    totals.fault(std::to_string(number) + ": " + why);
    return End::over;
  }
  End not_served(std::uint64_t number, http::status s) {
    if (s == http::status::too_many_requests || s == http::status::service_unavailable) return End::refused;
    if (s == http::status::bad_gateway) return ++totals.failed, End::over;  // one final answer: failed
    return lost(number, "answered " + std::to_string(static_cast<int>(s)));
  }
  Task<End> fetch(std::uint64_t number, std::size_t tries, double speed, bool leaves) {
    const auto socket = co_await connect();
    if (!socket) co_return lost(number, "no connection");
    error_code failed;
    const auto text = head_of("GET", "route", number, tries, "");
    co_await asio::async_write(*socket, asio::buffer(text), into(failed));
    boost::beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    if (!failed) co_await http::async_read_header(*socket, buffer, parser, into(failed));
    if (failed) co_return lost(number, "no answer: " + failed.message());
    if (parser.get().result() != http::status::ok) co_return not_served(number, parser.get().result());
    std::string space(kPiece, '\0');
    std::uint64_t came = 0;
    const auto began = Steady::now();
    while (!parser.is_done()) {
      parser.get().body() = {space.data(), space.size(), true};
      co_await http::async_read_some(*socket, buffer, parser, into(failed));
      const auto n = space.size() - parser.get().body().size;
      if (!pattern_.same(number, came, space.data(), n)) {
        ++totals.corrupt;
        co_return End::over;
      }
      came += n, totals.bytes += n;
      if (failed == http::error::need_buffer) failed = {};
      if (failed) {
        const bool meant = number % 97 == 5 && came <= size_of(number);
        if (meant) co_return ++totals.cut, End::over;
        co_return lost(number, "cut after " + std::to_string(came) + ": " + failed.message());
      }
      if (leaves && came > size_of(number) / 3) {
        ++totals.aborted;
        reset(socket);
        co_return End::over;
      }
      co_await pace(speed, number, n, came, began);
    }
    if (came != size_of(number)) ++totals.corrupt;
    if (buffer.size() > 0 || socket->available(failed) > 0) ++totals.twice;
    co_return End::whole;
  }
  Task<End> send(std::uint64_t number, std::size_t tries, double speed, bool leaves) {
    const auto socket = co_await connect();
    if (!socket) co_return lost(number, "no connection");
    const auto size = size_of(number);
    const bool chunked = number % 4 == 1;
    error_code failed;
    const auto text = head_of("POST", "notice-keyed", number, tries,
                              chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + std::to_string(size) + "\r\n");
    co_await asio::async_write(*socket, asio::buffer(text), into(failed));
    const auto began = Steady::now();
    for (std::uint64_t sent = 0; !failed && sent < size;) {
      const auto n = std::min<std::uint64_t>(kPiece, size - sent);
      const auto before = Steady::now();
      co_await write_piece(*socket, number, sent, n, chunked, failed);
      if (Steady::now() - before > 100ms) ++totals.paused;
      sent += n;
      if (!failed) totals.bytes += n;
      if (leaves && sent > size / 3) {
        ++totals.aborted;
        reset(socket);
        co_return End::over;
      }
      if (socket->available(failed) > 0) break;  // an answer ahead of the end
      co_await pace(speed, number, n, sent, began);
    }
    if (!failed && chunked) co_await asio::async_write(*socket, asio::buffer(std::string_view("0\r\n\r\n")), into(failed));
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    co_await http::async_read(*socket, buffer, answer, into(failed));
    if (failed) co_return lost(number, "no answer to an upload: " + failed.message());
    if (answer.result() != http::status::ok) co_return not_served(number, answer.result());
    if (answer.body() != std::to_string(size) + " same") ++totals.corrupt, totals.fault(answer.body());
    if (buffer.size() > 0 || socket->available(failed) > 0) ++totals.twice;
    co_return End::whole;
  }
  // Small requests the usual way, one after the other on a kept connection.
  Task<void> small(std::vector<double>& waits, const bool& on) {
    SocketPtr socket;
    boost::beast::flat_buffer buffer;
    const auto gap = std::chrono::nanoseconds(static_cast<std::int64_t>(1e9 / options_.small_rate));
    while (on) {
      if (!socket) socket = co_await connect(), buffer.clear();
      if (!socket) co_return;
      const auto began = Steady::now();
      error_code failed;
      const auto text = head_of("POST", "gate-notice", 1'000'000 + small_++, 0, "Content-Length: 0\r\n");
      co_await asio::async_write(*socket, asio::buffer(text), into(failed));
      http::response<http::string_body> answer;
      if (!failed) co_await http::async_read(*socket, buffer, answer, into(failed));
      const auto took = Steady::now() - began;
      if (failed) {
        socket = nullptr;
      } else if (answer.result() == http::status::ok) {
        waits.push_back(std::chrono::duration<double, std::milli>(took).count());
      }
      co_await pause(io_, std::max<std::chrono::nanoseconds>(1ms, gap - took));
    }
    --smalls_;
  }
  Task<void> sample() {
    for (;;) {
      if (const auto held = held_by(node_->pid())) peak_mb = std::max(peak_mb, held->rss_mb);
      co_await pause(io_, 50ms);
    }
  }

  Task<void> up(NodeProcess& node) {
    node.start();
    for (int i = 0; i < 500 && node.pid_in_file() != node.pid(); ++i) co_await pause(io_, 10ms);
    co_await pause(io_, 300ms);
  }

  // ---- Comparison -------------------------------------------------------------------------------------------
  // Uploads one after the other on one connection; seconds taken.
  Task<double> batch(snowknot::Tcp::endpoint to, std::size_t size, std::size_t count) {
    const auto socket = std::make_shared<snowknot::Socket>(io_.get_executor());
    error_code failed;
    co_await socket->async_connect(to, into(failed));
    snowknot::set_no_delay(*socket);
    boost::beast::flat_buffer buffer;
    const auto began = Steady::now();
    for (std::size_t i = 0; i < count && !failed; ++i) {
      const auto number = 2'000'000 + small_++;
      const auto text = head_of("POST", "notice-keyed", number, 0, "Content-Length: " + std::to_string(size) + "\r\n");
      co_await asio::async_write(*socket, asio::buffer(text), into(failed));
      for (std::size_t sent = 0; !failed && sent < size; sent += kPiece)
        co_await write_piece(*socket, number, sent, std::min(kPiece, size - sent), false, failed);
      http::response<http::string_body> answer;
      if (!failed) co_await http::async_read(*socket, buffer, answer, into(failed));
      if (!failed && answer.result() == http::status::ok && answer.body() != std::to_string(size) + " same") ++totals.corrupt;
      if (failed || answer.result() != http::status::ok) ++totals.unanswered, totals.fault("a batch's request " + std::to_string(i) + " of " + std::to_string(size) + ": " + std::to_string(answer.result_int()) + " " + failed.message());
    }
    co_return std::chrono::duration<double>(Steady::now() - began).count();
  }
  // A relay that does nothing but pass bytes on, on a thread of its own; tells of the CPU time that it has used.
  class Relay {
   public:
    explicit Relay(snowknot::Tcp::endpoint to)
        : to_(to), acceptor_(io_.get_executor(), snowknot::Tcp::endpoint(asio::ip::address_v4::loopback(), 0)), at(acceptor_.local_endpoint()) {
      asio::co_spawn(io_.get_executor(), accept(), asio::detached);
      thread_ = std::thread([this] { io_.run(); });
      ::pthread_getcpuclockid(thread_.native_handle(), &clock_);
    }
    ~Relay() {
      io_.stop();
      thread_.join();
    }
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;
    double cpu() const {
      timespec t{};
      ::clock_gettime(clock_, &t);
      return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
    }

   private:
    Task<void> accept() {
      for (;;) {
        const auto a = std::make_shared<snowknot::Socket>(io_.get_executor()), b = std::make_shared<snowknot::Socket>(io_.get_executor());
        error_code failed;
        co_await acceptor_.async_accept(*a, into(failed));
        if (failed) co_return;
        co_await b->async_connect(to_, into(failed));
        asio::co_spawn(io_.get_executor(), pass(a, b), asio::detached);
        asio::co_spawn(io_.get_executor(), pass(b, a), asio::detached);
      }
    }
    static Task<void> pass(SocketPtr from, SocketPtr to) {
      std::string space(docklift::stream::kSlabBytes, '\0');
      for (error_code failed; !failed;) {
        const auto n = co_await from->async_read_some(asio::buffer(space), into(failed));
        if (!failed) co_await asio::async_write(*to, asio::buffer(space.data(), n), into(failed));
      }
      snowknot::close_now(*to);
    }
    snowknot::Tcp::endpoint to_;
    asio::io_context io_{1};
    Acceptor acceptor_;
    clockid_t clock_{};
    std::thread thread_;

   public:
    const snowknot::Tcp::endpoint at;
  };
  Task<void> compare() {
    co_await up(*node_);
    co_await up(*plain_);
    const auto plain_at = *snowknot::endpoint_of(plain_->listen());
    const auto cpu_of = [](const NodeProcess& n) {
      const auto held = held_by(n.pid());
      return held ? held->cpu_seconds : 0;
    };
    const auto note = [&](const std::string& name, double mb, double secs, double used) {
      auto& c = compared[name];
      c["mb_per_s"] = std::round(mb / secs * 10) / 10, c["cpu_ms_per_mb"] = std::round(used * 1e6 / mb) / 1000;
    };
    constexpr std::size_t kRounds = 4, kCount = 1500, kLong = 60'000'000, kLongCount = 4;
    for (const std::size_t size : {1024UL, 16'384UL, 65'536UL}) {
      double secs[2] = {}, used[2] = {};
      for (std::size_t round = 0; round < kRounds; ++round) {
        for (const int streams : {0, 1}) {
          const auto& node = streams ? *node_ : *plain_;
          const double before = cpu_of(node);
          secs[streams] += co_await batch(streams ? at_ : plain_at, size, kCount / kRounds);
          used[streams] += cpu_of(node) - before;
        }
      }
      const auto mb = static_cast<double>(size * (kCount / kRounds) * kRounds) / 1e6;
      note("whole_" + std::to_string(size / 1024) + "k", mb, secs[0], used[0]);
      note("stream_" + std::to_string(size / 1024) + "k", mb, secs[1], used[1]);
    }
    Relay relay(acceptors_.front().local_endpoint());
    double secs[2] = {}, used[2] = {};
    for (std::size_t round = 0; round < kLongCount; ++round) {
      double before = relay.cpu();
      secs[0] += co_await batch(relay.at, kLong, 1);
      used[0] += relay.cpu() - before;
      before = cpu_of(*node_);
      secs[1] += co_await batch(at_, kLong, 1);
      used[1] += cpu_of(*node_) - before;
    }
    const auto mb = static_cast<double>(kLong * kLongCount) / 1e6;
    note("relay_long", mb, secs[0], used[0]);
    note("stream_long", mb, secs[1], used[1]);
  }

  Task<void> all() {
    co_await up(*node_);
    bool on = true;
    ++smalls_;
    asio::co_spawn(io_.get_executor(), small(alone_ms, on), asio::detached);
    co_await pause(io_, std::chrono::milliseconds(static_cast<int>(options_.alone_s * 1000)));
    on = false;
    while (smalls_ > 0) co_await pause(io_, 10ms);
    const auto before = held_by(node_->pid());
    rest_mb = before ? before->rss_mb : 0;
    asio::co_spawn(io_.get_executor(), sample(), asio::detached);
    on = true;
    ++smalls_;
    asio::co_spawn(io_.get_executor(), small(beside_ms, on), asio::detached);
    const auto began = Steady::now();
    for (std::uint64_t n = 0; n < options_.transfers; ++n) {
      ++open_;
      asio::co_spawn(io_.get_executor(), transfer(n), asio::detached);
      if (n % 20 == 19) co_await pause(io_, 10ms);
    }
    while (open_ > 0) co_await pause(io_, 50ms);
    seconds = std::chrono::duration<double>(Steady::now() - began).count();
    on = false;
    while (smalls_ > 0) co_await pause(io_, 10ms);
    if (const auto after = held_by(node_->pid()); after && before) cpu = after->cpu_seconds - before->cpu_seconds;
    std::cerr << node_->log();
  }

  Options options_;
  asio::io_context io_{1};
  Platform platform_;
  std::mt19937_64 random_;
  Pattern pattern_;
  std::deque<Acceptor> acceptors_;
  std::unique_ptr<NodeProcess> node_, plain_;  // with [stream], and without
  snowknot::Tcp::endpoint at_;
  std::size_t open_ = 0, smalls_ = 0;
  std::uint64_t small_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  Options options;
  bool short_run = false, compares = false;
  CLI::App app{"long bodies through one node"};
  app.add_flag("--short", short_run);
  auto* count = app.add_option("--transfers", options.transfers);
  auto* size = app.add_option("--megabytes", options.megabytes);
  app.add_option("--seed", options.seed);
  app.add_flag("--compare", compares);
  CLI11_PARSE(app, argc, argv);
  if (short_run) {
    if (!*count) options.transfers = 120;
    if (!*size) options.megabytes = 4;
    options.slowest = 0.6, options.memory_mb = 8, options.alone_s = 2;
  }
  rlimit files{};
  ::getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &files);
  std::signal(SIGPIPE, SIG_IGN);
  const auto home = std::filesystem::temp_directory_path() / ("docklift-streaming-" + std::to_string(::getpid()));
  std::filesystem::create_directories(home);
  Run run(options, home);
  run.go(compares);
  std::filesystem::remove_all(home);
  const auto& t = run.totals;
  for (const auto& f : t.faults) std::cerr << f << '\n';
  if (compares) {
    std::cout << run.compared.dump() << '\n';
    return t.corrupt == 0 && t.unanswered == 0 ? 0 : 1;
  }
  const double bound = run.bound_mb + run.rest_mb;
  const bool good = t.corrupt == 0 && t.unanswered == 0 && t.twice == 0 && run.peak_mb <= bound && t.ended == options.transfers;
  const double mb = static_cast<double>(t.bytes) / 1e6;
  const auto ms = [](double v) { return std::round(v * 100) / 100; };
  std::cout << json{{"transfers", t.ended},
                    {"bytes", t.bytes},
                    {"seconds", ms(run.seconds)},
                    {"peak_rss_mb", ms(run.peak_mb)},
                    {"stated_bound_mb", ms(bound)},
                    {"paused", t.paused},
                    {"aborted_by_us", t.aborted},
                    {"cut_by_servers", t.cut},
                    {"refused", t.refused},
                    {"failed", t.failed},
                    {"corrupt", t.corrupt},
                    {"unanswered", t.unanswered},
                    {"answered_twice", t.twice},
                    {"cpu_ms_per_mb", ms(run.cpu * 1000 / std::max(1.0, mb))},
                    {"short_request_p99_ms", ms(p99(run.beside_ms))},
                    {"short_request_p99_ms_alone", ms(p99(run.alone_ms))}}
                   .dump()
            << '\n';
  return good ? 0 : 1;
}
