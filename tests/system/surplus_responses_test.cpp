// Responses of a server that answer no request, or that promise what the server does not confirm, on loopback
// sockets. A client may send a request again after 408, 421, 429 or 503: these say that it has not run.
#include <boost/test/unit_test.hpp>

#include "path_fleet.hpp"

namespace docklift::test {
namespace {

constexpr auto kTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n";
constexpr auto
    kNotRunResponse = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

// A fleet with one server. It answers by path: what it sends is set by the test.
struct SurplusFleet {
  SurplusFleet() {
    BOOST_TEST_REQUIRE(fleet.until(
        [&] { return fleet.post(fleet.ctl(1), "/Config.Replace", high_quota_config(3, 0)).status == 200; }));
    BOOST_TEST(fleet.heartbeat("i-1", 0).status == 200);
    BOOST_TEST_REQUIRE(fleet.until([&] { return fleet.send_request(4, "/a/ready").status == 200; }));
  }
  standin::ScriptedResponse respond(const standin::ReceivedRequest& request) const {
    auto response = standin::ok_response(request, "own");
    const auto target = request.target();
    if (target == "/a/after-timeout") response.bytes.insert(0, kTimeoutResponse);
    if (target == "/a/after-not-run") response.bytes.insert(0, kNotRunResponse);
    if (target == "/a/closing") response.close = true;
    if (target == "/a/only-timeout") response.bytes = kTimeoutResponse;
    if (target == "/a/unconfirmed")
      response.bytes = "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + request.field("Attempt-Id") +
                       "\r\nContent-Length: 0\r\n\r\n";
    if (target == "/a/own-error")
      response.bytes = "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: " + request.field("Attempt-Id") +
                       "\r\nContent-Length: 0\r\n\r\n";
    return response;
  }

  Fleet fleet;
  standin::Server server{fleet.io, fleet.server(0),
                         [this](const standin::ReceivedRequest& request) { return respond(request); }};
};

BOOST_FIXTURE_TEST_SUITE(surplus_responses, SurplusFleet)

// Guards against a client that is told that its request has not run while a server runs it.
BOOST_AUTO_TEST_CASE(given_a_response_without_an_id_on_a_used_connection_then_the_own_response_is_relayed) {
  for (const auto* path : {"/a/after-timeout", "/a/after-not-run"}) {
    BOOST_TEST(fleet.send_request(4, "/a/ready").status == 200);  // leaves a connection
    const auto sent = server.requests().size();
    const auto response = fleet.send_request(4, path);
    BOOST_TEST(response.status == 200, path << ": " << response.text);
    BOOST_TEST(response.body == "own");
    BOOST_TEST(server.requests().size() == sent + 1);  // it is not sent again
  }
}

BOOST_AUTO_TEST_CASE(given_a_response_without_an_id_on_a_new_connection_then_nothing_is_promised) {
  BOOST_TEST(fleet.send_request(4, "/a/closing").status == 200);
  BOOST_TEST(fleet.send_request(4, "/a/only-timeout").status == 502);
}

// Guards against a refusal that is passed on although only Not-Run says that the server did not run the request.
BOOST_AUTO_TEST_CASE(given_a_refusal_without_not_run_when_it_is_the_own_response_then_nothing_is_promised) {
  BOOST_TEST(fleet.send_request(4, "/a/unconfirmed").status == 502);
  BOOST_TEST(fleet.send_request(4, "/a/own-error").status == 500);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
