// A peer of the test's own among processes: it has the fleet's key and speaks as they do, and says what the test wants, true or not.
#pragma once

#include <array>
#include <boost/asio/basic_datagram_socket.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "net/net.hpp"
#include "peers/peer.hpp"

namespace docklift::test {

class ScriptedPeer {
 public:
  ScriptedPeer(snowknot::asio::io_context& io, const std::string& name, const std::string& secret, std::vector<std::string> seeds)
      : socket_(io.get_executor(), Udp::endpoint(snowknot::asio::ip::make_address_v4("127.1.3.1"), 0)),
        timer_(io.get_executor()),
        peer_(options(name, secret, std::move(seeds)), 77) {
    receive();
    carry_out(peer_.begin(now()));
    tick();
  }
  ~ScriptedPeer() { *alive_ = false; }
  ScriptedPeer(const ScriptedPeer&) = delete;
  ScriptedPeer& operator=(const ScriptedPeer&) = delete;

  // It knows these servers, of one start; and says of attempts at them.
  void knows(const std::vector<replica::ServerPhases::Entry>& servers) { carry_out(peer_.listed(now(), true, 1, servers)); }
  void seen(std::uint32_t server, bool good) { peer_.record_attempt(now(), server, good); }
  const peers::Peer& peer() const { return peer_; }

 private:
  using Udp = snowknot::asio::ip::udp;
  static peers::Instant now() { return std::chrono::system_clock::now().time_since_epoch(); }
  peers::PeerOptions options(const std::string& name, const std::string& secret, std::vector<std::string> seeds) const {
    peers::PeerOptions o;
    const auto at = socket_.local_endpoint();
    o.self = {name, static_cast<std::uint64_t>(now().count() / 1'000'000), 7, at.address().to_string() + ":" + std::to_string(at.port()), ""};
    o.key = peers::key_of(secret);
    o.seeds = std::move(seeds);
    o.members.interval = std::chrono::milliseconds(100);
    o.members.timeout = o.members.interval * 3 / 10;
    o.records.round = std::chrono::milliseconds(50);
    return o;
  }
  void carry_out(const peers::Actions& out) {
    for (const auto& d : out.datagrams) {
      const auto to = snowknot::endpoint_of(d.to);
      snowknot::error_code ignored;
      if (to) socket_.send_to(snowknot::asio::buffer(d.bytes), {to->address(), to->port()}, 0, ignored);
    }
  }
  void receive() {
    socket_.async_receive_from(snowknot::asio::buffer(space_), from_, [this, alive = alive_](const snowknot::error_code& failed, std::size_t n) {
      if (!*alive || failed == snowknot::asio::error::operation_aborted) return;
      if (!failed) carry_out(peer_.datagram(now(), {space_.data(), n}));
      receive();
    });
  }
  void tick() {
    timer_.expires_after(std::chrono::milliseconds(5));
    timer_.async_wait([this, alive = alive_](const snowknot::error_code& failed) {
      if (!*alive || failed) return;
      carry_out(peer_.tick(now()));
      tick();
    });
  }

  snowknot::asio::basic_datagram_socket<Udp, snowknot::Executor> socket_;
  snowknot::asio::basic_waitable_timer<std::chrono::steady_clock, snowknot::asio::wait_traits<std::chrono::steady_clock>, snowknot::Executor> timer_;
  Udp::endpoint from_;
  std::array<char, 4096> space_{};
  peers::Peer peer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace docklift::test
