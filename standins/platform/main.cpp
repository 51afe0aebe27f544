// build/standins/platform --listen 127.0.0.1:PORT: the platform's stand-in as a program. PORT is its control port:
//   GET  /addresses                       where discovery, the counter and the app servers listen
//   GET  /config?index=0&nodes=3&listen=127.0.0.1:7070   a node's configuration
//   GET  /ledger                          what reached the app servers, in sums
//   POST /servers/0/faults?slow=200&error=0.1&reset=0.1&turn_away=0.1   (milliseconds, parts; what is not named: none)
//   POST /servers/0/drain | serve | remove | restart?down=500
//   POST /counter/faults?slow=100&busy=0.1&drop=0.1 | restart
//   POST /discovery/break
#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <iostream>
#include <sstream>

#include "discovery.hpp"
#include "platform.hpp"

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using docklift::standins::Milliseconds;
using docklift::standins::Platform;
using nlohmann::json;
using snowknot::error_code;

struct Command {
  std::vector<std::string> path;
  std::map<std::string, std::string> values;

  explicit Command(const std::string& target) {
    const auto question = target.find('?');
    std::istringstream parts(target.substr(0, question));
    for (std::string p; std::getline(parts, p, '/');)
      if (!p.empty()) path.push_back(p);
    if (question == std::string::npos) return;
    std::istringstream pairs(target.substr(question + 1));
    for (std::string p; std::getline(pairs, p, '&');)
      if (const auto eq = p.find('='); eq != std::string::npos) values[p.substr(0, eq)] = p.substr(eq + 1);
  }
  double number(const std::string& name) const {
    const auto it = values.find(name);
    return it == values.end() ? 0 : std::stod(it->second);
  }
  Milliseconds time(const std::string& name) const { return Milliseconds(static_cast<std::int64_t>(number(name))); }
};

json ledger(const Platform& p) {
  json sums{{"came", 0}, {"ran", 0}, {"safe", 0}, {"keyed", 0}, {"unsafe", 0}};
  std::uint64_t came = 0, ran = 0, safe = 0, keyed = 0, unsafe = 0;
  for (const auto& [id, e] : p.ledger()) {
    came += e.came, ran += e.ran;
    ++(e.effect == 's' ? safe : e.effect == 'k' ? keyed : unsafe);
  }
  json servers = json::array();
  for (std::size_t i = 0; i < p.servers(); ++i) servers.push_back(p.came_to(i));
  return {{"requests", p.ledger().size()}, {"came", came}, {"ran", ran}, {"safe", safe}, {"keyed", keyed},
          {"unsafe", unsafe}, {"unsafe_twice", p.unsafe_twice()}, {"by_server", servers},
          {"counter_calls", p.counter_calls()}, {"units_leased", p.units_leased()}};
}

// The answer to a command; throws std::exception for one that makes no sense.
json run(Platform& p, http::verb method, const Command& c) {
  const auto is = [&](std::size_t i, const char* word) { return c.path.size() > i && c.path[i] == word; };
  if (method == http::verb::get && is(0, "ledger")) return ledger(p);
  if (method == http::verb::get && is(0, "config"))
    return p.node_config(static_cast<std::size_t>(c.number("index")), static_cast<std::size_t>(c.number("nodes")),
                         c.values.at("listen"));
  if (method == http::verb::get && is(0, "addresses")) {
    json servers = json::array();
    for (std::size_t i = 0; i < p.servers(); ++i) servers.push_back(p.server_address(i));
    return {{"discovery", p.discovery_address()}, {"counter", p.counter_address()}, {"servers", servers}};
  }
  if (method != http::verb::post) throw std::invalid_argument("no such command");
  if (is(0, "servers") && c.path.size() == 3) {
    const std::size_t i = std::stoul(c.path[1]);
    if (i >= p.servers()) throw std::out_of_range("no such server");
    if (is(2, "faults"))
      p.faults(i) = {c.time("slow"), c.number("error"), c.number("reset"), c.number("turn_away")};
    else if (is(2, "drain"))
      p.drain(i);
    else if (is(2, "serve"))
      p.serve(i);
    else if (is(2, "remove"))
      p.remove(i);
    else if (is(2, "restart"))
      p.restart(i, c.time("down"));
    else
      throw std::invalid_argument("no such command");
  } else if (is(0, "counter") && is(1, "faults")) {
    p.counter_faults() = {c.time("slow"), c.number("busy"), c.number("drop")};
  } else if (is(0, "counter") && is(1, "restart")) {
    p.restart_counter();
  } else if (is(0, "discovery") && is(1, "break")) {
    p.break_watches();
  } else {
    throw std::invalid_argument("no such command");
  }
  return {{"done", true}};
}

struct Session : std::enable_shared_from_this<Session> {
  Session(snowknot::Socket s, Platform& p) : socket(std::move(s)), platform(p) {}
  void read() {
    request = {};
    http::async_read(socket, buffer, request, [self = shared_from_this()](const error_code& failed, std::size_t) {
      if (!failed) self->answer();
    });
  }
  void answer() {
    response = {http::status::ok, 11};
    response.set(http::field::content_type, "application/json");
    response.keep_alive(request.keep_alive());
    try {
      response.body() = run(platform, request.method(), Command(std::string(request.target()))).dump() + "\n";
    } catch (const std::exception& x) {
      response.result(http::status::bad_request);
      response.body() = json{{"error", x.what()}}.dump() + "\n";
    }
    response.prepare_payload();
    http::async_write(socket, response, [self = shared_from_this()](const error_code& failed, std::size_t) {
      if (!failed && self->response.keep_alive()) self->read();
    });
  }
  snowknot::Socket socket;
  Platform& platform;
  boost::beast::flat_buffer buffer;
  http::request<http::string_body> request;
  http::response<http::string_body> response;
};

using Acceptor = asio::basic_socket_acceptor<snowknot::Tcp, snowknot::Executor>;

void accept(Acceptor& acceptor, Platform& platform) {
  acceptor.async_accept([&](const error_code& failed, snowknot::Socket socket) {
    if (!failed) std::make_shared<Session>(std::move(socket), platform)->read();
    if (failed != asio::error::operation_aborted) accept(acceptor, platform);
  });
}

}  // namespace

int main(int argc, char** argv) {
  std::string listen = "127.0.0.1:7400";
  docklift::standins::PlatformOptions options;
  std::int64_t work = options.work.count();
  CLI::App app("A stand-in for the platform: app servers, discovery and the counter, on 127.0.0.1");
  app.add_option("--listen", listen, "address of the control port")->capture_default_str();
  app.add_option("--servers", options.servers, "app servers")->capture_default_str();
  app.add_option("--seed", options.seed, "for random numbers")->capture_default_str();
  app.add_option("--work-ms", work, "mean time that a request takes")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  options.work = Milliseconds(work);
  try {
    const auto at = snowknot::endpoint_of(listen);
    if (!at || !at->address().is_loopback()) throw std::invalid_argument("--listen is not a port of 127.0.0.0/8");
    asio::io_context io(1);
    Platform platform(io, options);
    Acceptor acceptor(io.get_executor());
    acceptor.open(at->protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(*at);
    acceptor.listen();
    accept(acceptor, platform);
    asio::basic_signal_set<snowknot::Executor> signals(io.get_executor(), SIGTERM, SIGINT);
    signals.async_wait([&](const error_code&, int) { io.stop(); });
    std::cout << "discovery " << platform.discovery_address() << "\ncounter " << platform.counter_address()
              << std::endl;
    io.run();
    return 0;
  } catch (const std::exception& x) {
    std::cerr << "platform: " << x.what() << '\n';
    return 1;
  }
}
