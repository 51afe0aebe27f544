#include "daemon/fleet_command.hpp"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

#include "daemon/lifecycle.hpp"
#include "net/net.hpp"

namespace docklift {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using snowknot::error_code;

constexpr std::chrono::seconds kLimit{3}, kEach{1};

// The body of one answer; throws std::runtime_error with why there is none.
std::string ask(const snowknot::Tcp::endpoint& at) {
  boost::asio::io_context io(1);
  beast::tcp_stream stream(io);
  http::request<http::empty_body> request{http::verb::get, "/_fleet", 11};
  request.set(http::field::host, snowknot::shown(at));
  request.set(http::field::connection, "close");
  http::response<http::string_body> response;
  beast::flat_buffer buffer;
  error_code result = boost::asio::error::timed_out;
  stream.expires_after(kLimit);
  stream.async_connect(at, [&](const error_code& refused) {
    if (refused) return void(result = refused);
    http::async_write(stream, request, [&](const error_code& broken, std::size_t) {
      if (broken) return void(result = broken);
      http::async_read(stream, buffer, response, [&](const error_code& failed, std::size_t) { result = failed; });
    });
  });
  io.run();
  if (result) throw std::runtime_error(result.message());
  if (response.result() != http::status::ok) throw std::runtime_error("answered " + std::to_string(response.result_int()) + ": " + response.body());
  return response.body();
}

std::string age(std::int64_t ms) {
  const auto s = ms / 1000;
  if (s < 120) return std::to_string(s) + "s";
  if (s < 7200) return std::to_string(s / 60) + "m";
  return std::to_string(s / 3600) + "h";
}

}  // namespace

std::string fleet_table(const nlohmann::json& f) {
  std::ostringstream out;
  const auto row = [&](const nlohmann::json& m, const char* mark) {
    out << std::left << std::setw(16) << (m.at("name").get<std::string>() + mark) << std::setw(9) << m.at("state").get<std::string>()
        << std::setw(10) << m.at("node").get<std::string>() << std::setw(7) << age(m.at("age_ms").get<std::int64_t>()) << std::setw(15)
        << m.at("start").get<std::uint64_t>() << std::setw(22) << m.at("address").get<std::string>() << m.at("file").get<std::string>()
        << (m.contains("second_life") ? "  SECOND LIFE" : "") << '\n';
  };
  out << "name            state    node      since  start          address               file\n";
  row(f.at("self"), "*");
  for (const auto& m : f.at("members")) row(m, "");
  const auto& d = f.at("drains");
  const auto& c = f.at("counts");
  const auto& r = f.at("records");
  const auto& g = f.at("datagrams");
  out << "copies   digest " << f.at("digest").get<std::string>() << ", " << r.at("records") << " records of " << r.at("origins")
      << " lives, " << r.at("dropped") << " dropped" << (f.at("caught_up").get<bool>() ? "" : ", NOT CAUGHT UP") << '\n'
      << "drains   " << d.at("held") << " servers held by others' word\n"
      << "counts   epoch " << c.at("epoch") << (c.at("settling").get<bool>() ? ", SETTLING" : "") << ", mended " << c.at("settled")
      << " losses, windows shut for " << c.at("fallen_back") << '\n'
      << "network  in " << g.at("in") << ", out " << g.at("out") << ", forged " << g.at("forged") << ", repeated " << g.at("replays")
      << ", of other clusters " << g.at("strangers") << '\n';
  if (f.contains("stage") && f["stage"].value("disk", "none") != "none") {
    const auto& stage = f["stage"];
    out << "service  " << stage.value("name", "") << " for " << age(stage.value("age_ms", std::int64_t{0}))
        << (stage.value("waits_for", "").empty() ? "" : ", WAITS FOR " + stage.value("waits_for", "")) << "; disk " << stage.value("disk", "") << '\n';
  }
  for (const auto& x : f.at("conflicts")) out << "CONFLICT " << x.at("origin").get<std::string>() << ": " << x.at("what").get<std::string>() << '\n';
  return out.str();
}

int fleet_command(const std::string& door, bool json, bool watch) {
  const auto at = snowknot::endpoint_of(door);
  if (!at) {
    std::cerr << "docklift: no door: neither --door nor admin.listen of the file is an address and a port\n";
    return static_cast<int>(ExitCode::usage);
  }
  for (;;) {
    try {
      const auto body = ask(*at);
      std::cout << (json ? body : fleet_table(nlohmann::json::parse(body))) << std::flush;
    } catch (const std::exception& x) {
      std::cerr << "docklift: " << door << ": " << x.what() << '\n';
      if (!watch) return static_cast<int>(ExitCode::unavailable);
    }
    if (!watch) return 0;
    std::this_thread::sleep_for(kEach);
    std::cout << '\n';
  }
}

}  // namespace docklift
