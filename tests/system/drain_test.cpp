// What becomes of requests at a proxy that is to end (SIGTERM): in the decision module, and on sockets.
#include <boost/test/unit_test.hpp>

#include "serving_fleet.hpp"

namespace docklift::test {
namespace {

// Proxies with a shorter time from SIGTERM to SIGKILL, so that a story takes seconds.
constexpr Duration kGrace = 4s;
struct DrainingFleet : ServingFleet {
  DrainingFleet() : ServingFleet("bounds.grace_s=4\n") {}

  void begin_drain() {
    began = std::chrono::steady_clock::now();
    proxies.front()->drain([this] { ended = true; });
  }
  // Runs the loop until so long after the drain began.
  void run_until(Duration after) {
    until([&] { return std::chrono::steady_clock::now() - began >= after; }, after + 1s);
  }
  bool ends_within_grace() {
    return until([&] { return ended; }, kGrace - (std::chrono::steady_clock::now() - began));
  }
  std::chrono::steady_clock::time_point began;
  bool ended = false;
};

BOOST_AUTO_TEST_SUITE(drain)

BOOST_AUTO_TEST_CASE(given_a_kept_connection_when_a_request_comes_early_in_the_drain_then_it_is_served_last) {
  DrainingFleet f;
  Client client(f, 4, request_to("/a/x", "before"));
  client.listen();
  BOOST_REQUIRE(f.until([&] { return client.received_answer_to("before"); }));
  f.begin_drain();
  client.send(request_to("/a/x", "early"));
  BOOST_TEST(f.until([&] { return client.closed(); }));
  BOOST_TEST(client.received_answer_to("early"));
  BOOST_TEST(client.received().find("Connection: close\r\n") != std::string::npos);
}

// LOST: a request that came long after SIGTERM was passed on, and killed with the process while its server worked.
BOOST_AUTO_TEST_CASE(given_a_kept_connection_when_a_request_comes_late_in_the_drain_then_no_server_gets_it) {
  DrainingFleet f;
  Client client(f, 4, request_to("/a/x", "early"));
  client.listen();
  BOOST_REQUIRE(f.until([&] { return client.received_answer_to("early"); }));
  f.begin_drain();
  f.run_until(kGrace * 11 / 20);
  client.send(request_to("/a/late/hold", "late"));
  BOOST_TEST(f.ends_within_grace());
  BOOST_TEST(!f.has_reached_server("/a/late/hold"));
  BOOST_TEST(f.until([&] { return client.closed(); }));
}

// LOST: an answer that was there stood behind a longer request of its connection, and was killed with the process.
BOOST_AUTO_TEST_CASE(given_an_answer_behind_a_longer_request_when_the_grace_ends_then_its_client_has_it) {
  DrainingFleet f;
  Client client(f, 4, request_to("/a/long/hold", "long") + request_to("/a/short", "short"));
  client.listen();
  BOOST_REQUIRE(f.reaches_server("/a/long/hold"));
  BOOST_REQUIRE(f.reaches_server("/a/short"));
  f.begin_drain();
  BOOST_TEST(f.ends_within_grace());
  BOOST_TEST(client.received_answer_to("short"));
  BOOST_TEST(f.until([&] { return client.closed(); }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
