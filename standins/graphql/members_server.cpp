#include "members_server.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "async.hpp"

namespace docklift::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using async::into;
using nlohmann::json;
using snowknot::error_code;

namespace {

bool read_faults(const std::string& body, MembersFaults& to) {
  const auto j = json::parse(body, nullptr, false);
  if (!j.is_object()) return false;
  MembersFaults f;
  try {
    for (const auto& [name, v] : j.items()) {
      if (name == "lengths")
        f.lengths = v.get<std::map<std::string, std::size_t>>();
      else if (name == "slow_ms")
        f.slow_ms = v.get<std::map<std::string, int>>();
      else if (name == "errors")
        f.errors = v.get<std::map<std::string, double>>();
      else if (name == "cut")
        f.cut = v.get<double>();
      else if (name == "reset")
        f.reset = v.get<double>();
      else if (name == "garbage")
        f.garbage = v.get<double>();
      else if (name == "cost")
        f.cost = v.get<double>();
      else
        return false;
    }
  } catch (const json::exception&) {
    return false;
  }
  to = std::move(f);
  return true;
}

}  // namespace

MembersServer::MembersServer(asio::io_context& io, std::uint64_t seed, const snowknot::Tcp::endpoint& at)
    : io_(io), members_(seed), acceptor_(io.get_executor()) {
  listen(at);
}

MembersServer::~MembersServer() { down(); }

void MembersServer::listen(const snowknot::Tcp::endpoint& at) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen();
  at_ = acceptor_.local_endpoint();
  asio::co_spawn(io_.get_executor(), accept(++life_), asio::detached);
}

void MembersServer::down() {
  error_code ignored;
  acceptor_.close(ignored);
  for (const auto& w : std::exchange(sockets_, {})) async::reset(w.lock());
}

void MembersServer::up() {
  if (!acceptor_.is_open()) listen(at_);
}

MembersServer::Task<void> MembersServer::accept(std::uint64_t life) {
  while (life == life_) {
    error_code failed;
    auto socket = std::make_shared<snowknot::Socket>(io_.get_executor());
    co_await acceptor_.async_accept(*socket, into(failed));
    if (failed) co_return;
    snowknot::set_no_delay(*socket);
    std::erase_if(sockets_, [](const auto& w) { return w.expired(); });
    sockets_.push_back(socket);
    asio::co_spawn(io_.get_executor(), serve(std::move(socket)), asio::detached);
  }
}

MembersServer::Task<void> MembersServer::serve(SocketPtr socket) {
  boost::beast::flat_buffer buffer;
  error_code failed;
  for (;;) {
    http::request<http::string_body> request;
    co_await http::async_read(*socket, buffer, request, into(failed));
    if (failed) co_return;
    http::response<http::string_body> response(http::status::ok, 11);
    response.set(http::field::content_type, "application/json");
    if (request.target() == "/-/healthy") {
      response.body() = "ok\n";
    } else if (request.target() == "/-/effects") {
      json all = json::array();
      for (const auto& e : members_.effects())
        all.push_back(
            {{"field", e.field}, {"id", e.id}, {"key", e.key}, {"arguments", json::parse(e.arguments)}});
      response.body() = all.dump();
    } else if (request.target() == "/-/faults" && request.method() == http::verb::post) {
      if (!read_faults(request.body(), members_.faults())) response.result(http::status::bad_request);
    } else if (request.target() == "/graphql" && request.method() == http::verb::post) {
      auto a = members_.answer(request.body(), std::string(request["X-Request-ID"]),
                               std::string(request["Idempotency-Key"]));
      if (a.wait_ms > 0) co_await async::pause(io_, std::chrono::milliseconds(a.wait_ms));
      if (a.reset) co_return async::reset(socket);
      response.result(static_cast<http::status>(a.status));
      if (members_.faults().cost) response.set("X-Units-Charged", json(*members_.faults().cost).dump());
      response.body() = std::move(a.body);
    } else {
      response.result(http::status::not_found);
    }
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    co_await http::async_write(*socket, response, into(failed));
    if (failed || !request.keep_alive()) co_return;
  }
}

}  // namespace docklift::standins
