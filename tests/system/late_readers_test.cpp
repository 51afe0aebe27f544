// Clients that read their responses late, on connections with several requests.
#include <sys/socket.h>

#include <boost/test/unit_test.hpp>

#include "serving_fleet.hpp"

namespace docklift::test {
namespace {

constexpr std::size_t kLargeBody = 540'000;
constexpr int kPipelinedRequests = 11;
constexpr int kReceiveBuffer = 16 * 1024;

standin::ScriptedResponse respond_with_large_body(const standin::ReceivedRequest& request) {
  if (!request.target().starts_with("/a/large")) return respond_or_hold(request);
  auto response = standin::ok_response(request, std::string(kLargeBody, 'b'));
  response.hold = request.target().ends_with("hold");
  return response;
}

std::string put_head(const std::string& id, const std::string& path = "/a/put") {
  return "PUT " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id +
         "\r\nDeadline: 9000\r\nKey: k1\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n";
}

// A connection whose client reads only when told to.
class LateReader {
 public:
  LateReader(ServingFleet& fleet, int proxy) : fleet_(fleet), socket_(fleet.io.get_executor()) {
    const auto endpoint = *snowknot::endpoint_of(fleet.http(proxy));
    socket_.open(endpoint.protocol());
    socket_.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer));
    socket_.connect(endpoint);
    socket_.non_blocking(true);
  }
  void send(const std::string& text) { asio::write(socket_, asio::buffer(text)); }
  // Reads what is there until `done` or the end of the connection.
  bool read_until(const std::function<bool()>& done) {
    return fleet_.until([&] {
      read_available();
      return done() || ended_;
    });
  }
  // Shrinks the buffer of the proxy's side, which runs in this process, so that what is in it leaves no room.
  // A kernel that is short of memory does the same. False: the connection was not found.
  bool leave_no_room() {
    const auto own = socket_.local_endpoint();
    constexpr int kMaxDescriptors = 1024;
    constexpr int kSmallest = 1;  // rounded up by the kernel
    for (int descriptor = 0; descriptor < kMaxDescriptors; ++descriptor) {
      Tcp::endpoint peer;
      socklen_t length = static_cast<socklen_t>(peer.capacity());
      if (::getpeername(descriptor, peer.data(), &length) != 0 || peer != own) continue;
      return ::setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &kSmallest, sizeof kSmallest) == 0;
    }
    return false;
  }
  // The next response: its status, and its body in `body`. Status 0: there is none yet.
  int take_response(std::string& body) {
    http::Head head;
    const auto parsed = http::parse_response_head(received_, 65536, head);
    if (parsed.status != http::ParseStatus::complete) return 0;
    const auto length = static_cast<std::size_t>(
        http::parse_decimal(head.unique("Content-Length").value_or("0")).value_or(0));
    if (received_.size() < parsed.consumed + length) return 0;
    body = received_.substr(parsed.consumed, length);
    received_.erase(0, parsed.consumed + length);
    return head.status;
  }
  int next_response(std::string& body) {
    int status = 0;
    read_until([&] { return (status = take_response(body)) != 0; });
    return status != 0 ? status : take_response(body);
  }
  bool was_reset() const { return reset_; }
  void close() { snowknot::close_now(socket_); }

 private:
  void read_available() {
    char chunk[65536];
    boost::system::error_code error;
    while (!error) received_.append(chunk, socket_.read_some(asio::buffer(chunk), error));
    if (error == asio::error::would_block) return;
    ended_ = true;
    reset_ = error != asio::error::eof;
  }
  ServingFleet& fleet_;
  Socket socket_;
  std::string received_;
  bool ended_ = false, reset_ = false;
};

// Lets the proxy write as much as the connection takes.
void let_run(ServingFleet& fleet, Duration time = 300ms) {
  fleet.until([] { return false; }, time);
}

std::string large_requests() {
  std::string requests;
  for (int i = 0; i < kPipelinedRequests; ++i)
    requests += request_to("/a/large" + std::to_string(i), "large" + std::to_string(i));
  return requests;
}

BOOST_AUTO_TEST_SUITE(late_readers)

// The interim response was written at once, into the middle of the response under way (review/5).
BOOST_AUTO_TEST_CASE(
    given_a_late_reader_when_it_expects_a_continue_then_that_comes_behind_earlier_responses) {
  ServingFleet f("", respond_with_large_body);
  LateReader client(f, 4);
  client.send(large_requests());
  let_run(f);
  client.send(put_head("put"));
  let_run(f);
  std::string body;
  for (int i = 0; i < kPipelinedRequests; ++i) {
    BOOST_TEST(client.next_response(body) == 200, "response " << i);
    BOOST_TEST((body == std::string(kLargeBody, 'b')), "response " << i);
  }
  BOOST_TEST(client.next_response(body) == 100);
  client.send("body");
  BOOST_TEST(client.next_response(body) == 200);
  BOOST_TEST(f.server.requests().back().body == "body");
}

// The write of the interim response waited for room, and with it all clients of the proxy (review/4).
BOOST_AUTO_TEST_CASE(given_a_connection_without_room_when_a_continue_is_due_then_others_are_served) {
  ServingFleet f("", respond_with_large_body);
  LateReader client(f, 4);
  client.send(large_requests());
  let_run(f);
  BOOST_REQUIRE(client.leave_no_room());
  client.send(put_head("put"));
  for (int i = 0; i < 5; ++i) BOOST_TEST(f.send_request(4, "/a/x").status == 200);
  std::string body;
  for (int i = 0; i < kPipelinedRequests; ++i) BOOST_TEST(client.next_response(body) == 200);
  BOOST_TEST(client.next_response(body) == 100);
}

// One that sends its body without waiting is answered without the interim response.
BOOST_AUTO_TEST_CASE(given_a_body_that_comes_at_once_when_a_continue_was_asked_for_then_one_response_comes) {
  ServingFleet f("", respond_with_large_body);
  LateReader client(f, 4);
  client.send(put_head("with") + "body");
  std::string body;
  BOOST_TEST(client.next_response(body) == 200);
  client.send(request_to("/a/hold", "held"));
  BOOST_TEST(f.reaches_server("/a/hold"));
  client.send(put_head("behind"));
  let_run(f, 50ms);
  client.send("body");
  let_run(f, 50ms);
  f.server.release();
  BOOST_TEST(client.next_response(body) == 200);
  BOOST_TEST(client.next_response(body) == 200);
  BOOST_TEST(f.server.requests().back().body == "body");
}

// In a drain the last response closes the connection; the interim one is not that.
BOOST_AUTO_TEST_CASE(given_a_drain_when_a_continue_is_due_then_the_request_is_answered) {
  ServingFleet f("", respond_with_large_body);
  LateReader client(f, 5);
  std::string body;
  client.send(request_to("/a/x", "first"));
  BOOST_TEST(client.next_response(body) == 200);
  bool ended = false;
  f.proxies[1]->drain([&] { ended = true; });
  client.send(put_head("put"));
  BOOST_TEST(client.next_response(body) == 100);
  client.send("body");
  BOOST_TEST(client.next_response(body) == 200);
  BOOST_TEST(f.until([&] { return ended; }));
}

// The connection was closed 300 ms after its last response was handed to the kernel; what the client sent
// after that reset it, and the rest of the response was lost (review/7).
BOOST_AUTO_TEST_CASE(given_a_drain_when_a_client_reads_its_last_response_late_then_it_gets_all_of_it) {
  ServingFleet f("", respond_with_large_body);
  LateReader client(f, 5);
  client.send(request_to("/a/large-hold", "first"));
  BOOST_TEST(f.reaches_server("/a/large-hold"));
  bool ended = false;
  f.proxies[1]->drain([&] { ended = true; });
  f.server.release();
  let_run(f, 500ms);
  client.send(request_to("/a/x", "second"));
  let_run(f, 300ms);
  std::string body;
  BOOST_TEST(client.next_response(body) == 200);
  BOOST_TEST((body == std::string(kLargeBody, 'b')));
  client.read_until([] { return false; });
  BOOST_TEST(!client.was_reset());
  BOOST_TEST(!ended);
  client.close();
  BOOST_TEST(f.until([&] { return ended; }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
