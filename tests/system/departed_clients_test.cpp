// What becomes of a request whose client leaves before it has its answer: in the decision module, and on sockets.
#include <boost/test/unit_test.hpp>

#include "decisions_world.hpp"
#include "path_fleet.hpp"

namespace docklift::test {
namespace {

std::size_t count_of_sends(const Actions& actions) {
  return static_cast<std::size_t>(
      std::ranges::count_if(actions, [](const Action& a) { return std::holds_alternative<Send>(a); }));
}

// A client's connection with one request on it.
class Client {
 public:
  Client(Fleet& fleet, int proxy, const std::string& request) : socket_(fleet.io.get_executor()) {
    socket_.connect(*snowknot::endpoint_of(fleet.http(proxy)));
    asio::write(socket_, asio::buffer(request));
  }
  void leave() { snowknot::close_now(socket_); }

 private:
  Socket socket_;
};

std::string request_to(const std::string& path, const std::string& id) {
  return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id +
         "\r\nDeadline: 9000\r\nKey: k1\r\n\r\n";
}

// A fleet that serves, with a stand-in for a server that holds its answers to what ends in "hold".
struct ServingFleet : Fleet {
  ServingFleet()
      : server(io, Fleet::server(0), [](const standin::Seen& seen) {
          auto reply = standin::good(seen, "hello");
          reply.hold = seen.target().ends_with("hold");
          return reply;
        }) {
    BOOST_REQUIRE(until([&] { return post(ctl(1), "/Config.Replace", wide_body(3, 0)).status == 200; }));
    BOOST_REQUIRE(beat("i-1", 0).status == 200);
    BOOST_REQUIRE(until([&] { return ask(4, "/a/x").status == 200; }));
  }
  bool reaches_server(const std::string& path) {
    return until([&] { return !server.seen().empty() && server.seen().back().target() == path; });
  }
  standin::Server server;
};

constexpr Duration kSoon = 3s;  // far below the time that the request has

BOOST_AUTO_TEST_SUITE(departed_clients)

BOOST_AUTO_TEST_CASE(
    given_a_request_that_waits_for_a_place_when_its_client_leaves_then_it_goes_to_no_server) {
  World w;
  w.list("one", "a1");
  for (int i = 0; i < 10; ++i) w.one(w.ask());  // 2.5 times its slots
  BOOST_TEST(w.ask().empty());                  // it waits for a place
  w.d.client_left(w.now, w.id);
  BOOST_TEST(count_of_sends(w.d.ended(w.now, 1, Outcome::ok, 50ms, true)) == 0u);
}

BOOST_AUTO_TEST_CASE(given_a_repeatable_request_at_a_server_when_its_client_leaves_then_the_server_is_told) {
  ServingFleet f;
  Client client(f, 4, request_to("/a/hold", "left"));
  BOOST_REQUIRE(f.reaches_server("/a/hold"));
  client.leave();
  BOOST_TEST(f.until([&] { return f.server.left() == 1; }, kSoon));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
