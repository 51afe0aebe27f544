// Links between the system's processes, on loopback sockets. What is waited for is an event, with a limit.
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

// The bytes of one frame as a link sends them, its length ahead.
std::string frame_bytes(fleet::Outgoing&& out) {
  constexpr std::size_t kLengthField = 4;
  const auto words = capnp::messageToFlatArray(out.message());
  const auto bytes = words.asBytes();
  std::string text(kLengthField, '\0');
  for (std::size_t i = 0; i < kLengthField; ++i) text[i] = static_cast<char>(bytes.size() >> (8 * i) & 0xff);
  return text.append(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
}

// A raw peer of one link that sends a text in pieces, one each `pause`.
struct PacedPeer {
  PacedPeer(asio::io_context& io, Duration between)
      : socket(io.get_executor()), timer(io.get_executor()), pause(between) {}
  void send(std::string text, std::size_t pieces) {
    rest = std::move(text);
    piece = rest.size() / pieces + 1;
    next();
  }
  void next() {
    if (rest.empty()) return;
    timer.expires_after(pause);
    timer.async_wait([this](boost::system::error_code failed) {
      if (failed) return;
      sending = rest.substr(0, piece);
      rest.erase(0, piece);
      asio::async_write(socket, asio::buffer(sending), [this](boost::system::error_code e, std::size_t) {
        if (!e) next();
      });
    });
  }
  Socket socket;
  Timer timer;
  Duration pause;
  std::string rest, sending;
  std::size_t piece = 0;
};

struct LinkAndPeer {
  LinkAndPeer(LinkLimits limits, Duration pause) : peer(io, pause) {
    acceptor.open(Tcp::v4());
    acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    acceptor.listen();
    acceptor.async_accept([this, limits](boost::system::error_code failed, Socket socket) {
      if (failed) return;
      link = std::make_shared<Link>(std::move(socket), "peer", limits);
      link->start([this](wire::Frame::Reader) { ++frames; },
                  [this](const Failure& why) { closed = why.shown(); });
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

BOOST_AUTO_TEST_SUITE(link)

BOOST_AUTO_TEST_CASE(given_a_frame_that_takes_longer_than_the_silence_when_its_bytes_arrive_then_it_is_read) {
  LinkLimits limits;
  limits.silence = 600ms;
  LinkAndPeer t(limits, 100ms);
  t.peer.send(large_frame(), 15);  // 1.5 s, two and a half times the silence
  BOOST_TEST(t.run_until([&] { return t.frames > 0 || t.closed; }));
  BOOST_TEST(t.frames == 1);
  BOOST_TEST(t.closed.value_or("") == "");
}

BOOST_AUTO_TEST_CASE(given_a_frame_that_stops_midway_when_the_silence_is_over_then_the_link_ends) {
  LinkLimits limits;
  limits.silence = 300ms;
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
