// Tests of long bodies of requests and responses at a proxy, on sockets.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <list>
#include <string>

#include "serving_fleet.hpp"

namespace docklift::test {
namespace {

constexpr std::size_t kMegabyte = std::size_t{1} << 20;
constexpr std::size_t kBodyBytes = 3 * kMegabyte;

// Proxies that may hold 8 MB of bodies: 0.4 of their memory. Two long bodies fit in it, a third one doesn't.
struct LowMemoryFleet : ServingFleet {
  LowMemoryFleet() : ServingFleet("limits.mem_mb=20\n") {}
  // The callbacks of the clients run while these exist.
  ~LowMemoryFleet() {
    for (auto& client : clients) client.disconnect();
    io.restart();
    io.poll();
  }
  LowMemoryFleet(const LowMemoryFleet&) = delete;
  LowMemoryFleet& operator=(const LowMemoryFleet&) = delete;

  // Begins a request with a long body, and sends the first bytes of that.
  Client& begin_upload(const std::string& id, const std::string& framing, std::size_t sent_bytes) {
    clients.emplace_back(*this, 4,
                         "POST /a/" + id + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id +
                             "\r\nDeadline: 9000\r\nKey: k1\r\n" + framing + "\r\n\r\n" +
                             std::string(sent_bytes, 'x'));
    clients.back().start_reading();
    return clients.back();
  }
  Client& begin_upload_with_length(const std::string& id) {
    return begin_upload(id, "Content-Length: " + std::to_string(kBodyBytes), 1000);
  }
  bool is_refused(const Client& client) {
    return until([&] { return client.received().starts_with("HTTP/1.1 503 "); }, kRefusalLimit) &&
           client.received().find("Retry-After: ") != std::string::npos;
  }
  // Whether a request whose body is short is served.
  bool serves_short_body() {
    return exchange(http(4),
                    "POST /a/short HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: short\r\nDeadline: 9000\r\n"
                    "Key: k1\r\nContent-Length: 1000\r\n\r\n" +
                        std::string(1000, 'x'))
               .status == 200;
  }
  std::size_t longest_body_at_server() {
    std::size_t longest = 0;
    for (const auto& request : server.requests()) longest = std::max(longest, request.body.size());
    return longest;
  }

  static constexpr Duration kRefusalLimit = 1s;
  std::list<Client> clients;
};

BOOST_FIXTURE_TEST_SUITE(long_bodies, LowMemoryFleet)

// Guards against a proxy that holds all long bodies that clients send at once, and is killed for its memory.
BOOST_AUTO_TEST_CASE(
    given_long_bodies_that_fill_the_memory_when_another_one_comes_then_it_is_refused_at_once) {
  auto& first = begin_upload_with_length("first");
  auto& second = begin_upload_with_length("second");
  BOOST_TEST(serves_short_body());
  auto& third = begin_upload_with_length("third");
  BOOST_TEST(is_refused(third));
  BOOST_TEST(until([&] { return third.closed(); }));
  BOOST_TEST(serves_short_body());
  BOOST_TEST(first.received().empty());
  BOOST_TEST(second.received().empty());

  // What a client that has left took is available again.
  first.disconnect();
  auto& fourth = begin_upload_with_length("fourth");
  BOOST_TEST(!is_refused(fourth));
  fourth.start_sending(std::string(kBodyBytes - 1000, 'x'));
  BOOST_TEST(until([&] { return fourth.received_answer_to("fourth"); }));
  BOOST_TEST(longest_body_at_server() == kBodyBytes);

  // So is what an answered request took, though its connections stay open.
  auto& fifth = begin_upload_with_length("fifth");
  BOOST_TEST(!is_refused(fifth));
}

// The same for bodies whose length isn't told beforehand.
BOOST_AUTO_TEST_CASE(given_a_chunked_body_when_it_outgrows_the_memory_then_it_is_refused_at_once) {
  auto& chunked = begin_upload("chunked", "Transfer-Encoding: chunked", 0);
  std::string chunks;
  while (chunks.size() < 10 * kMegabyte) chunks += "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
  chunked.start_sending(std::move(chunks));
  BOOST_TEST(is_refused(chunked));
  BOOST_TEST(longest_body_at_server() == 0u);
  BOOST_TEST(!is_refused(begin_upload_with_length("first")));
  BOOST_TEST(!is_refused(begin_upload_with_length("second")));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(long_responses)

constexpr std::size_t kResponseBytes = 7 * kMegabyte;

// Responds to paths ending in "chunked" in chunks, and to others with a length.
standin::ScriptedResponse respond_at_length(const standin::ReceivedRequest& request) {
  auto response = standin::ok_response(request, std::string(kResponseBytes, 'x'));
  if (!request.target().ends_with("chunked")) return response;
  constexpr std::size_t kChunkBytes = 0x4000;
  response.bytes = "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.field("Attempt-Id") +
                   "\r\nSeal: s1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (std::size_t sent = 0; sent < kResponseBytes; sent += kChunkBytes)
    response.bytes += "4000\r\n" + std::string(kChunkBytes, 'x') + "\r\n";
  response.bytes += "0\r\n\r\n";
  return response;
}

struct LongResponsesFleet : ServingFleet {
  LongResponsesFleet() : ServingFleet("", respond_at_length) {}
  // The time until the whole response has come.
  Duration time_of(const std::string& path) {
    const auto began = std::chrono::steady_clock::now();
    Client client(*this, 4, request_to(path, path.substr(3)));
    client.start_reading();
    BOOST_TEST(until([&] { return client.received().size() > kResponseBytes; }, 60s));
    client.disconnect();
    io.poll();
    return std::chrono::steady_clock::now() - began;
  }
};

// Guards against a response that is decoded from its beginning each time that more of it arrives.
BOOST_FIXTURE_TEST_CASE(
    given_a_long_chunked_response_when_it_is_read_then_it_takes_about_as_long_as_any_other,
    LongResponsesFleet) {
  const auto with_length = time_of("/a/whole");
  const auto chunked = time_of("/a/chunked");
  BOOST_TEST(seconds(chunked) < 4 * seconds(with_length) + 0.5,
             "chunked: " << seconds(chunked) << " s, with a length: " << seconds(with_length) << " s");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
