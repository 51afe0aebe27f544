// The registry on its sockets: keeps the records of servers and members and a copy of the configuration,
// exchanges them with stores and other registries, and sends them to proxies. HTTP requests are served by the
// handlers (handlers.hpp).
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "system/base/lifetime.hpp"
#include "system/base/log.hpp"
#include "system/base/settings.hpp"
#include "system/counts/counts.hpp"
#include "system/disk/record_cache.hpp"
#include "system/fleet/change_log.hpp"
#include "system/fleet/confirmation.hpp"
#include "system/fleet/departure_receipts.hpp"
#include "system/fleet/members.hpp"
#include "system/fleet/record_requests.hpp"
#include "system/fleet/records.hpp"
#include "system/lease/holder_lease.hpp"
#include "system/net/link.hpp"
#include "system/transfer/change_feed.hpp"
#include "system/transfer/change_follower.hpp"

namespace docklift {

// One registry node. Runs on the io_context's thread.
class Registry {
 public:
  // `record_cache` keeps server records across restarts. If it is null, nothing is kept, and departures are
  // confirmed to other registries only if the settings name no disk.
  Registry(boost::asio::io_context& io, const SystemSettings& settings,
           std::unique_ptr<RecordCache> record_cache);
  ~Registry();  // closes all links
  void start();
  // Releases the lease to a successor, announces the departure, and calls `ended` once when both have been
  // sent and every accepted request has been answered.
  void stop(std::function<void()> ended);
  // Whether stop() was called: no new request may be started.
  bool stopping() const { return stopped_; }

  // ---- for the handlers
  const SystemSettings& settings() const { return settings_; }
  const fleet::ChangeLog& changes() const { return changes_; }
  const fleet::Servers& servers() const { return servers_; }
  const fleet::Nodes& nodes() const { return nodes_; }
  Time now() const { return clock_.now(); }
  // Whether a majority has confirmed the copy of the configuration since the start: only then may it be sent
  // on.
  bool confirmed_once() const { return confirmation_.at().has_value(); }
  // Whether a majority of the voters' registries is connected.
  bool reaches_majority() const;
  // Whether the fleet's members are known well enough to direct clients to them.
  bool knows_members() const;
  // Merges a heartbeat of a server that is ready, and forwards what changed.
  void on_heartbeat(const fleet::Server& server);
  // Merges and forwards the report of a server that it drains or leaves. Calls `done(true)` once a majority of
  // the voters' registries has confirmed to have it on disk, `done(false)` if that takes too long or no
  // majority is connected.
  void on_departure(const fleet::Server& server, std::function<void(bool)> done);
  // Receives the verdict's status, reason and log position; 503 if no store answers in time.
  using Done = std::function<void(int status, const std::string& why, std::uint64_t position)>;
  // Proposes a change to the stores. `client_disconnected` (may be null) tells whether the caller has closed its
  // connection. An evacuation command is not sent or resent to a store once its caller has disconnected or
  // must have retried at another node.
  void propose(configuration::ChangeKind kind, const std::string& text, Done done,
               std::shared_ptr<const bool> client_disconnected = nullptr);
  // Calls `done(true)` once the configuration here has reached the position, `done(false)` if that takes too
  // long.
  void when_applied(std::uint64_t position, std::function<void(bool)> done);

 private:
  // Members that have not renewed for this long are dropped.
  static constexpr Duration kMemberLease = std::chrono::milliseconds(2500);
  static constexpr std::size_t kDigestRanges = 64;  // of server ids, for gossip

  struct Proxy {
    std::shared_ptr<Link> link;
    std::string id;
    transfer::ChangeFeed::Follower changes{};
    fleet::ConfirmRequests confirm_requests;
    bool confirm_requested = false;
    bool members_sent = false;  // has received the complete membership
  };
  struct PendingProposal {
    configuration::ChangeKind kind{};
    std::string text;
    Done done;
    Time deadline{};
    std::string store;  // ip of the store it was sent to; empty: not sent
    Time received_at{};
    std::shared_ptr<const bool> client_disconnected;  // null: unknown
  };
  void accepted(const std::shared_ptr<Link>& link);
  void on_frame(const std::shared_ptr<Link>& link, wire::Frame::Reader frame);
  void on_hello(const std::shared_ptr<Link>& link, wire::Node::Reader hello);
  void on_lease_request(Link& link, wire::LeaseRequest::Reader request);
  void on_store_frame(const std::string& ip, wire::Frame::Reader frame);
  void on_peer_frame(const std::string& ip, wire::Frame::Reader frame);
  void on_gossip(wire::Gossip::Reader g, const std::shared_ptr<Link>& answer_on);
  void schedule_receipt_round();
  void begin_receipt_round();
  void repeat_receipt_round(Link& link);
  void confirm_own(const fleet::ReceiptRound& round);
  void put_receipt_request(wire::Gossip::Builder to, const fleet::ReceiptRound& round);
  void answer_receipt_request(wire::Gossip::Reader request, const std::shared_ptr<Link>& answer_on);
  void on_receipt(const std::string& registry, std::uint64_t round);
  void relay_departures(const std::vector<fleet::Server>& changed);
  // Writes the departures among these servers; `done(true)` once all of them are durable.
  void persist_departures(const std::vector<std::string>& servers, std::function<void(bool)> done);
  void load_departures();
  void forget_departures();
  void answer_departures(Time now);
  void on_unit_request(Proxy& p, wire::UnitRequest::Reader request);
  void on_update_applied(fleet::ChangeLog::Outcome update);
  void send_changes(Proxy& proxy);
  void send_to_store(const std::string& ip, fleet::Outgoing& out);
  void dial(const std::string& ip);
  void dial_all();
  void dial_store(const std::string& ip);
  void dial_registry(const std::string& ip);
  Tcp::endpoint inner_endpoint(const std::string& ip, std::uint16_t offset) const;
  void send_hello(Link& link);
  void send_all_records(Link& link);
  void begin_read_barrier();
  void end_read_barrier(Time started, std::uint64_t position);
  void on_confirm(Proxy& p, std::uint64_t token);
  void send_pending(std::uint64_t call, PendingProposal& p);
  bool is_abandoned(const PendingProposal& p) const;
  void queue_server_updates(const std::vector<fleet::Server>& changed);
  void send_differing_servers(Proxy& p, capnp::List<std::uint64_t>::Reader digests);
  void send_server_updates();
  void update_members();
  void send_member_change(const fleet::MemberChange& change);
  void send_all_members();
  void send_changes_to_proxies();
  void on_first_confirmation();
  void fill_fleet_header(wire::Fleet::Builder to);
  void gossip(const std::vector<fleet::Server>& servers, const std::vector<fleet::Node>& nodes);
  void send_lease_request(const lease::Request& request);
  void check_lease();
  void tick();
  void on_tick(Time now);
  void keep_lease(Time now);
  bool is_isolated() const;
  void expire_servers(Time now);
  void expire_members(Time now);
  void expire_calls(Time now);
  void fail_expired_calls(Time now, const std::string& why);
  void finish_stop(const std::function<void()>& ended);
  void gossip_digests();
  std::string encode_records(const std::vector<const fleet::Server*>& records);
  std::vector<fleet::Server> decode_records(const std::string& text);
  void flush();
  void save_records();
  void load_records();
  std::vector<std::string> core_ips() const;
  std::vector<std::string> voter_ips() const;
  std::vector<std::string> linked_voters() const;
  // Sends a frame, filled by `fill`, to all connected registries.
  template <class Fill>
  void to_registries(Fill fill) {
    fleet::Outgoing out;
    fill(out.frame());
    const auto frame = std::make_shared<EncodedFrame>(out.message());
    for (auto& [ip, d] : registries_)
      if (d->is_connected()) d->link()->send(frame);
  }

  boost::asio::io_context& io_;
  SystemSettings settings_;
  snowknot::Clock clock_;
  Log log_;
  Time last_isolated_{};  // last time at which a registry was not connected
  std::unique_ptr<LinkListener> listener_;
  std::map<std::string, std::shared_ptr<Dialer>> registries_, stores_;  // by ip
  std::map<Link*, std::string> peers_;  // registries that connected to this one, by link
  std::map<Link*, Proxy> proxies_;
  fleet::Servers servers_;
  fleet::Nodes nodes_;
  // Records that were renewed without a change; gossiped with the next flush.
  std::map<std::string, fleet::Server> refreshed_servers_;
  std::map<std::string, fleet::Node> refreshed_nodes_;
  // Servers of readmitted zones: their next heartbeat is sent to the proxies even if it changes nothing.
  std::set<std::string> resend_on_heartbeat_;
  transfer::ChangeFollower follower_;  // of the stores' log
  const fleet::ChangeLog& changes_ = follower_.changes();
  transfer::ChangeFeed feed_;  // to the proxies
  fleet::Confirmation confirmation_;
  bool reached_majority_ = false, received_members_ = false;
  std::optional<Time> first_proxy_at_;  // since the start
  lease::HolderLease lease_;
  counts::Counts counts_;
  std::uint64_t counting_term_ = 0;
  std::uint64_t announced_term_ = 0;
  fleet::DepartureReceipts receipts_;
  std::map<std::string, fleet::Phase> durable_departures_;              // by server
  std::map<std::uint64_t, std::function<void(bool)>> departure_calls_;  // not answered yet
  std::uint64_t last_departure_call_ = 0;
  bool receipt_round_scheduled_ = false;
  bool members_changed_ = false, servers_changed_ = false;
  fleet::SentMembers announced_proxies_;
  std::vector<std::string> announced_registries_;
  std::map<std::string, fleet::Server> server_updates_;  // by id, to be sent to the proxies
  std::unique_ptr<RecordCache> record_cache_;
  std::map<std::uint64_t, PendingProposal> pending_;
  std::uint64_t last_call_ = 0;
  std::vector<std::tuple<std::uint64_t, Time, std::function<void(bool)>>> position_waiters_;
  Timer update_timer_, receipt_timer_, timer_;
  std::uint64_t ticks_ = 0;
  fleet::Node self_;
  bool stopped_ = false;
  Lifetime lifetime_;
};

}  // namespace docklift
