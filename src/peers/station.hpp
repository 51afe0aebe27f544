// One node among its peers, on sockets: the I/O layer around Peer, run by the node's event loop. It passes
// datagrams, the list of servers and calls to the counter store to Peer and carries out what Peer decides.
#pragma once

#include <boost/asio/basic_datagram_socket.hpp>
#include <boost/asio/ip/udp.hpp>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/net.hpp"
#include "node.hpp"
#include "peers/peer.hpp"
#include "recovery/keeper.hpp"
#include "store/count_store.hpp"

namespace docklift::peers {

struct StationOptions {
  snowknot::Tcp::endpoint listen;  // UDP
  PeerOptions peer{};
  std::optional<recovery::JournalWriterOptions> disk{};
};

// Owns the UDP socket, the disk and the timers of a Peer and carries out its actions.
class Station : public snowknot::ListView {
 public:
  // `timers` must outlive the station. start() binds the socket.
  Station(snowknot::asio::io_context& io, snowknot::Timers& timers, StationOptions options, std::uint64_t seed);
  ~Station() override;

  // Wraps a store factory so that the calls to its store, and the answers, pass through this station, which
  // must outlive the store.
  snowknot::StoreFactory wrapped(snowknot::StoreFactory inner);
  // Sets the node that receives drains and server health. Not owned.
  void serve(snowknot::Node& node) { node_ = &node; }
  // Binds the socket, and retries while another process holds the address, such as a predecessor in a hot
  // upgrade.
  void start();
  void state(NodeState state) { carry_out(peer_.state(now(), state)); }
  // Announces the departure and closes the socket.
  void leave();
  void set_seeds(const std::vector<std::string>& seeds) { peer_.set_seeds(seeds); }
  bool warm() const { return (bound_ || inherited_) && peer_.warm(now()); }
  // State for a successor process; the successor calls inherit() before start(), since the predecessor holds
  // the address until the successor is ready.
  std::string copies() const { return peer_.copies(); }
  void inherit(std::string_view copies) { inherited_ = true, carry_out(peer_.inherit(now(), copies)); }
  std::string fleet() const { return peer_.fleet(now()).dump(2) + "\n"; }

  void listed(snowknot::ListKind kind, std::uint64_t revision, std::vector<snowknot::Discovery::Entry>& entries) override;
  void ended(snowknot::ServerId server, snowknot::Outcome outcome) override;

 private:
  class InterceptingStore;
  using Udp = snowknot::asio::ip::udp;

  Instant now() const { return timers_.now().time_since_epoch(); }
  void open_disk();
  void write_to_disk();
  void bind();
  void receive();
  void carry_out(Actions out);
  void execute(Actions& out);
  void arm();
  void apply_override(const replica::ServerPhases::Override& change, std::vector<snowknot::Discovery::Entry>& entries);
  std::optional<Udp::endpoint> endpoint_of(const std::string& address);

  snowknot::asio::io_context& io_;
  snowknot::Timers& timers_;
  StationOptions options_;
  Peer peer_;
  snowknot::asio::basic_datagram_socket<Udp, snowknot::Executor> socket_;
  Udp::endpoint sender_;
  std::array<char, 4096> receive_buffer_{};
  std::unordered_map<std::string, Udp::endpoint> endpoints_;
  snowknot::Node* node_ = nullptr;
  InterceptingStore* store_ = nullptr;
  std::unordered_map<snowknot::ServerId, snowknot::Discovery::Entry> servers_;  // as in this node's own list
  std::deque<Actions> pending_actions_;
  bool executing_ = false, bound_ = false, left_ = false, bind_error_logged_ = false, inherited_ = false;
  snowknot::Timers::Handle tick_timer_, bind_retry_;
  std::optional<Instant> armed_for_;
  std::unique_ptr<recovery::JournalWriter> keeper_;
};

}  // namespace docklift::peers
