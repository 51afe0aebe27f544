// Tests links between processes over loopback sockets. Each wait is for an event, with a time limit.
#include "system/net/link.hpp"

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>

#include "system/fleet/frames.hpp"

namespace docklift::test {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;

// The plain encoding of one frame, including its length field.
std::string frame_bytes(fleet::Outgoing&& out) { return EncodedFrame(out.message()).plain(); }

// A raw TCP peer of a link that sends bytes in chunks, one every `pause`.
struct PacedPeer {
  PacedPeer(asio::io_context& io, Duration between)
      : socket(io.get_executor()), timer(io.get_executor()), pause(between) {}
  void send(std::string bytes, std::size_t chunks) {
    unsent = std::move(bytes);
    chunk_bytes = unsent.size() / chunks + 1;
    send_next();
  }
  void send_next() {
    if (unsent.empty()) return;
    timer.expires_after(pause);
    timer.async_wait([this](boost::system::error_code failed) {
      if (failed) return;
      sending = unsent.substr(0, chunk_bytes);
      unsent.erase(0, chunk_bytes);
      asio::async_write(socket, asio::buffer(sending), [this](boost::system::error_code e, std::size_t) {
        if (!e) send_next();
      });
    });
  }
  Socket socket;
  Timer timer;
  Duration pause;
  std::string unsent, sending;
  std::size_t chunk_bytes = 0;
};

// An accepted link and the raw peer at its other end.
struct LinkAndPeer {
  LinkAndPeer(LinkLimits limits, Duration pause) : peer(io, pause) {
    acceptor.open(Tcp::v4());
    acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    acceptor.listen();
    acceptor.async_accept([this, limits](boost::system::error_code failed, Socket socket) {
      if (failed) return;
      link = std::make_shared<Link>(std::move(socket), "peer", limits);
      link->start([this](wire::Frame::Reader) { ++frames; },
                  [this](const Failure& why) { closed = why.to_string(); });
    });
    peer.socket.async_connect(acceptor.local_endpoint(), [](boost::system::error_code) {});
    run_until([this] { return link != nullptr; });
  }
  ~LinkAndPeer() {
    if (link) link->close();
    peer.timer.cancel();
    io.poll();
  }
  bool run_until(const std::function<bool()>& done, Duration limit = 10s) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!done() && std::chrono::steady_clock::now() < end) io.run_one_for(20ms);
    return done();
  }

  asio::io_context io{1};
  Acceptor acceptor{io.get_executor()};
  PacedPeer peer;
  std::shared_ptr<Link> link;
  int frames = 0;
  std::optional<std::string> closed;
};

std::string large_frame() {
  fleet::Outgoing out;
  out.frame().initProposal().setText(fleet::data_of(std::string(200'000, 'x')));
  return frame_bytes(std::move(out));
}

// Server records as a registry sends them: service and zone names repeat, ids and addresses differ.
EncodedFrame server_list(unsigned servers) {
  fleet::Outgoing out;
  auto list = out.frame().initFleet().initServers(servers);
  for (unsigned i = 0; i < servers; ++i) {
    fleet::Server server;
    std::uint64_t id = mix(i);
    server.id = "i-" + std::to_string(id % 10'000'000'000),
    server.service = "service-" + std::to_string(i % 3);
    server.address = "10.4." + std::to_string(id % 256) + "." + std::to_string(i % 256) + ":8421";
    server.zone = "zone-" + std::to_string(i % 9), server.cap = 6, server.heartbeat_sequence = i;
    fleet::put(list[i], server, Time{});
  }
  return EncodedFrame(out.message());
}

std::string frame_body(const std::string& frame) { return frame.substr(kFrameHeaderBytes); }

BOOST_AUTO_TEST_SUITE(link)

BOOST_AUTO_TEST_CASE(
    given_a_list_of_800_servers_when_it_is_compressed_then_it_shrinks_to_a_third_and_decodes_equal) {
  const auto frame = server_list(800);
  const auto& compressed = frame.shortest();
  BOOST_TEST(compressed.size() * 3 < frame.plain().size());
  const auto words = decompress(frame_body(compressed), 1u << 20);
  BOOST_REQUIRE(words.has_value());
  const std::string text(reinterpret_cast<const char*>(words->data()), words->size() * sizeof(capnp::word));
  BOOST_TEST((text == frame_body(frame.plain())));
}

BOOST_AUTO_TEST_CASE(given_a_short_frame_or_one_without_repeats_when_it_is_sent_then_it_is_not_compressed) {
  fleet::Outgoing alive;
  alive.frame().setAlive();
  const EncodedFrame short_frame(alive.message());
  BOOST_TEST(short_frame.shortest() == short_frame.plain());
  std::string noise;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    const auto word = mix(i);
    noise.append(reinterpret_cast<const char*>(&word), sizeof word);
  }
  fleet::Outgoing random;
  random.frame().initProposal().setText(fleet::data_of(noise));
  const EncodedFrame random_frame(random.message());
  BOOST_TEST((random_frame.shortest() == random_frame.plain()));
}

BOOST_AUTO_TEST_CASE(given_a_compressed_body_that_is_truncated_invalid_or_too_large_then_it_is_rejected) {
  const auto body = frame_body(server_list(100).shortest());
  BOOST_TEST(decompress(body, 1u << 20).has_value());
  for (std::size_t size = 0; size < body.size(); size += 7)
    BOOST_TEST(!decompress(body.substr(0, size), 1u << 20).has_value());
  BOOST_TEST(!decompress(body, 1000).has_value());
  BOOST_TEST(!decompress(std::string(200, 'x'), 1u << 20).has_value());
}

BOOST_AUTO_TEST_CASE(
    given_a_peer_that_sends_compressed_frames_when_they_arrive_in_chunks_then_they_are_read) {
  LinkAndPeer t(LinkLimits{}, 5ms);
  const auto frame = server_list(400);
  BOOST_TEST((frame.shortest() != frame.plain()));
  t.peer.send(frame.shortest() + frame.plain() + frame.shortest(), 12);
  BOOST_TEST(t.run_until([&] { return t.frames == 3 || t.closed; }));
  BOOST_TEST(t.frames == 3);
  BOOST_TEST(t.closed.value_or("") == "");
}

BOOST_AUTO_TEST_CASE(given_a_corrupt_compressed_frame_when_it_is_read_then_the_link_closes) {
  LinkAndPeer t(LinkLimits{}, 5ms);
  auto frame = server_list(400).shortest();
  for (std::size_t i = kFrameHeaderBytes; i < frame.size(); i += 3) frame[i] = 'x';
  t.peer.send(frame, 2);
  BOOST_TEST(t.run_until([&] { return t.closed.has_value(); }, 5s));
  BOOST_TEST(t.closed.value_or("").find("invalid compressed frame") != std::string::npos);
  BOOST_TEST(t.frames == 0);
}

BOOST_AUTO_TEST_CASE(
    given_a_frame_slower_than_the_receive_timeout_when_its_bytes_keep_arriving_then_it_is_read) {
  LinkLimits limits;
  limits.receive_timeout = 600ms;
  LinkAndPeer t(limits, 100ms);
  t.peer.send(large_frame(), 15);  // 1.5 s, 2.5 times the receive timeout
  BOOST_TEST(t.run_until([&] { return t.frames > 0 || t.closed; }));
  BOOST_TEST(t.frames == 1);
  BOOST_TEST(t.closed.value_or("") == "");
}

BOOST_AUTO_TEST_CASE(given_a_frame_that_stops_midway_when_the_receive_timeout_expires_then_the_link_closes) {
  LinkLimits limits;
  limits.receive_timeout = 300ms;
  LinkAndPeer t(limits, 10ms);
  const auto whole = large_frame();
  t.peer.send(whole.substr(0, whole.size() / 2), 2);
  BOOST_TEST(t.run_until([&] { return t.closed.has_value(); }, 5s));
  BOOST_TEST(t.closed.value_or("").find("silence") != std::string::npos);
  BOOST_TEST(t.frames == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
