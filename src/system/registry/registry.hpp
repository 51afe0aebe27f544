// A registry on sockets: what it knows of servers, members and the configuration, and whom it tells. The
// calls from outside are the handlers' (handlers.hpp).
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
#include "system/fleet/members.hpp"
#include "system/fleet/record_requests.hpp"
#include "system/fleet/records.hpp"
#include "system/lease/holder_lease.hpp"
#include "system/net/link.hpp"
#include "system/transfer/change_feed.hpp"
#include "system/transfer/change_follower.hpp"

namespace docklift {

class Registry {
 public:
  // `record_cache`: where records outlive a restart; may be null.
  Registry(boost::asio::io_context& io, const SystemSettings& settings,
           std::unique_ptr<RecordCache> record_cache);
  ~Registry();  // ends all links
  void start();
  // Names a successor for the counts, tells others, and calls `ended` when that is out and each call that was taken has
  // its answer. Once.
  void stop(std::function<void()> ended);
  // stop() was called: no call is to be begun here any more.
  bool ends() const { return stopped_; }

  // ---- for the handlers
  const SystemSettings& settings() const { return settings_; }
  const fleet::ChangeLog& changes() const { return changes_; }
  const fleet::Servers& servers() const { return servers_; }
  const fleet::Nodes& nodes() const { return nodes_; }
  Time now() const { return clock_.now(); }
  // A majority's word has come in this life: what is here of the configuration may be handed on.
  bool confirmed_once() const { return confirmation_.at().has_value(); }
  // Links to a majority of the core's registries stand: what is told here comes to all proxies in touch.
  bool reaches_majority() const;
  // The fleet's members are known well enough for clients to be sent to them.
  bool knows_members() const;
  void heard(const fleet::Server& server);  // a beat or a leave
  // `done` with the verdict's status, its reason and position; 503 where no store answers in time.
  using Done = std::function<void(int status, const std::string& why, std::uint64_t position)>;
  // `client_disconnected` (may be null): whether the caller has closed its connection. An evacuation order is not sent to
  // a store, nor to a further one, once its caller is known to have gone or must have gone on to another node.
  void propose(configuration::ChangeKind kind, const std::string& text, Done done,
               std::shared_ptr<const bool> client_disconnected = nullptr);
  // `done` when the configuration here is at least at that position, or (false) when it takes too long.
  void when_at(std::uint64_t position, std::function<void(bool)> done);

 private:
  static constexpr Duration kLease = std::chrono::milliseconds(
      2500);                                  // a member that has not renewed is none
  static constexpr std::size_t kRanges = 64;  // of ids, for digests

  struct Proxy {
    std::shared_ptr<Link> link;
    std::string id;
    transfer::ChangeFeed::Follower changes{};
    fleet::ConfirmRequests confirm_requests;
    bool asked_to_confirm = false;
    bool knows_members = false;  // was told all of them
  };
  struct Pending {
    configuration::ChangeKind kind{};
    std::string text;
    Done done;
    Time until{};
    std::string store;  // to which it was sent; empty: to none yet
    Time since{};
    std::shared_ptr<const bool> client_disconnected;  // null: not known
  };
  void accepted(const std::shared_ptr<Link>& link);
  void on_frame(const std::shared_ptr<Link>& link, wire::Frame::Reader frame);
  void on_hello(const std::shared_ptr<Link>& link, wire::Node::Reader hello);
  void on_lease_request(Link& link, wire::LeaseRequest::Reader request);
  void on_store_frame(const std::string& ip, wire::Frame::Reader frame);
  void on_peer_frame(const std::string& ip, wire::Frame::Reader frame);
  void on_gossip(wire::Gossip::Reader g, const std::shared_ptr<Link>& answer_on);
  void on_unit_request(Proxy& p, wire::UnitRequest::Reader request);
  void after_news(fleet::ChangeLog::News news);
  void bring_up_to_date(Proxy& proxy);
  void send_to_store(const std::string& ip, fleet::Outgoing& out);
  void dial(const std::string& ip);
  void dial_all();
  void dial_store(const std::string& ip);
  void dial_registry(const std::string& ip);
  Tcp::endpoint inner_endpoint(const std::string& ip, std::uint16_t offset) const;
  void send_hello(Link& link);
  void send_all_records(Link& link);
  void begin_read_barrier();
  void end_read_barrier(Time begun, std::uint64_t position);
  void on_confirm(Proxy& p, std::uint64_t token);
  void send_pending(std::uint64_t call, Pending& p);
  bool is_abandoned(const Pending& p) const;
  void tell_servers(const std::vector<fleet::Server>& changed);
  void tell_servers_that_differ(Proxy& p, capnp::List<std::uint64_t>::Reader digests);
  void send_server_news();
  void tell_members();
  void send_member_change(const fleet::MemberChange& change);
  void send_all_members();
  void bring_proxies_up_to_date();
  void on_first_confirmation();
  void fill(wire::Fleet::Builder to);
  void gossip(const std::vector<fleet::Server>& servers, const std::vector<fleet::Node>& nodes);
  void send_lease_request(const lease::Request& request);
  void check_lease();
  void tick();
  void on_tick(Time now);
  void keep_lease(Time now);
  void expire_servers(Time now);
  void expire_members(Time now);
  void expire_calls(Time now);
  void end_calls(Time now, const std::string& why);  // those whose time is up
  void end(const std::function<void()>& ended);
  void gossip_digests();
  void flush();
  void save_records();
  void load_records();
  std::vector<std::string> core_ips() const;
  std::vector<std::string> voter_ips() const;
  std::vector<std::string> linked_voters() const;
  // A frame, filled by `fill`, to all registries that are linked.
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
  Time alone_since_{};
  std::unique_ptr<LinkListener> listener_;
  std::map<std::string, std::shared_ptr<Dialer>> registries_, stores_;  // by ip
  std::map<Link*, std::string> peers_;                                  // registries that dialled
  std::map<Link*, Proxy> proxies_;
  fleet::Servers servers_;
  fleet::Nodes nodes_;
  std::map<std::string, fleet::Server> heard_servers_;  // to be gossiped with the next flush
  std::map<std::string, fleet::Node> heard_nodes_;
  std::set<std::string> retold_;  // servers whose next beat proxies must know, as their zone was taken back
  transfer::ChangeFollower follower_;  // of the stores
  const fleet::ChangeLog& changes_ = follower_.changes();
  transfer::ChangeFeed feed_;  // of the proxies
  fleet::Confirmation confirmation_;
  bool met_majority_ = false, merged_members_ = false;
  std::optional<Time> first_proxy_at_;  // in this life
  lease::HolderLease lease_;
  counts::Counts counts_;
  std::uint64_t counting_term_ = 0;
  std::uint64_t told_term_ = 0;
  bool members_changed_ = false, servers_changed_ = false;
  fleet::ToldMembers told_proxies_;
  std::vector<std::string> told_registries_;
  std::map<std::string, fleet::Server> server_news_;  // by id, to be told to the proxies
  std::unique_ptr<RecordCache> record_cache_;
  std::map<std::uint64_t, Pending> pending_;
  std::uint64_t calls_ = 0;
  std::vector<std::tuple<std::uint64_t, Time, std::function<void(bool)>>> waiting_;
  Timer news_timer_, timer_;
  std::uint64_t ticks_ = 0;
  fleet::Node self_;
  bool stopped_ = false;
  Lifetime lifetime_;
};

}  // namespace docklift
