// One node among its peers, on sockets: a thin layer under the node's one event loop. Datagrams, the list of servers and calls to the store of
// counts pass through Peer, which decides; this carries them.
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
  std::optional<recovery::KeeperOptions> disk{};
};

class Station : public snowknot::ListView {
 public:
  // `timers` has to outlive it. The socket is bound by start().
  Station(snowknot::asio::io_context& io, snowknot::Timers& timers, StationOptions options, std::uint64_t seed);
  ~Station() override;

  // Calls and answers of the store that `inner` makes pass through this station, which has to outlive it.
  snowknot::StoreFactory wrapped(snowknot::StoreFactory inner);
  // The node whose servers are told. Not owned.
  void serve(snowknot::Node& node) { node_ = &node; }
  // Binds, and tries again while another process holds the address (a predecessor that hands over, say).
  void start();
  void state(NodeState state) { carry_out(peer_.state(now(), state)); }
  // Says good-bye and closes the socket.
  void leave();
  void set_seeds(const std::vector<std::string>& seeds) { peer_.set_seeds(seeds); }
  bool warm() const { return (open_ || heir_) && peer_.warm(now()); }
  // For a successor, and at one before start(): the predecessor holds the address until this process is ready.
  std::string copies() const { return peer_.copies(); }
  void inherit(std::string_view copies) { heir_ = true, carry_out(peer_.inherit(now(), copies)); }
  std::string fleet() const { return peer_.fleet(now()).dump(2) + "\n"; }

  void listed(snowknot::ListKind kind, std::uint64_t revision, std::vector<snowknot::Discovery::Entry>& entries) override;
  void ended(snowknot::ServerId server, snowknot::Outcome outcome) override;

 private:
  class Store;
  using Udp = snowknot::asio::ip::udp;

  Instant now() const { return timers_.now().time_since_epoch(); }
  void open_disk();
  void write_down();
  void bind();
  void receive();
  void carry_out(Actions out);
  void perform(Actions& out);
  void arm();
  void tell(const replica::Words::Told& told, std::vector<snowknot::Discovery::Entry>& entries);
  std::optional<Udp::endpoint> endpoint_of(const std::string& address);

  snowknot::asio::io_context& io_;
  snowknot::Timers& timers_;
  StationOptions options_;
  Peer peer_;
  snowknot::asio::basic_datagram_socket<Udp, snowknot::Executor> socket_;
  Udp::endpoint from_;
  std::array<char, 4096> space_{};
  std::unordered_map<std::string, Udp::endpoint> addresses_;
  snowknot::Node* node_ = nullptr;
  Store* store_ = nullptr;
  std::unordered_map<snowknot::ServerId, snowknot::Discovery::Entry> servers_;  // as one's own list has them
  std::deque<Actions> outs_;
  bool performing_ = false, open_ = false, left_ = false, said_busy_ = false, heir_ = false;
  snowknot::Timers::Handle tick_, again_;
  std::optional<Instant> armed_;
  std::unique_ptr<recovery::Keeper> keeper_;
};

}  // namespace docklift::peers
