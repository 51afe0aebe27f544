// The proxy's links to registries. Over them it renews its lease, follows the change log, receives servers
// and members, and requests quota units from the lease holder. Updates are passed to a single listener, which
// recognizes repeated or late ones by their log position.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "system/base/log.hpp"
#include "system/base/send_times.hpp"
#include "system/base/settings.hpp"
#include "system/decisions/units.hpp"
#include "system/fleet/change_log.hpp"
#include "system/fleet/confirmation.hpp"
#include "system/fleet/members.hpp"
#include "system/fleet/record_requests.hpp"
#include "system/net/link.hpp"
#include "system/transfer/change_follower.hpp"

namespace docklift::proxy {

class ControlClient {
 public:
  // Receives updates on the io_context's thread.
  struct Listener {
    virtual ~Listener() = default;
    virtual void on_changes(const fleet::ChangeLog& changes) = 0;
    // `all_known`: at least one registry has sent its full list of servers.
    virtual void on_servers(const std::vector<fleet::Server>& changed, bool all_known) = 0;
    virtual void on_proxies(const std::vector<std::string>& zone_and_id) = 0;
    // The local configuration was the newest as of `at`.
    virtual void on_confirmed(Time at) = 0;
    // Whether the local configuration is known to lack a committed change.
    virtual void on_lagging(bool lagging) = 0;
    // Whether the link to the lease holder is up.
    virtual void on_holder_reachable(bool reachable) = 0;
    virtual void on_new_holder(std::uint64_t term) = 0;
    virtual void on_grants(const decisions::UnitResponse& answer) = 0;
    virtual void on_grants_failed() = 0;
  };
  ControlClient(boost::asio::io_context& io, const SystemSettings& settings, const snowknot::Clock& clock,
                Listener& listener);
  ~ControlClient();
  void start();
  void stop();
  // Sets the state that registries receive for this proxy, at once and with each renewal.
  void set_state(bool ready, bool leaving);
  // Sends unit requests to the lease holder; fails at once if it is unreachable.
  void request_units(const std::vector<decisions::UnitRequest>& requests);
  const fleet::ChangeLog& changes() const { return changes_; }

 private:
  void connect_to(const std::string& ip);
  void sort_registries();
  void choose_registries();
  std::size_t healthy_links() const;
  bool has_failed(const std::string& ip) const;
  void drop_failed_links();
  void on_frame(const std::string& ip, wire::Frame::Reader frame);
  void apply_servers(const std::string& ip, wire::Fleet::Reader fleet_state);
  void request_records(const fleet::RecordRequests::Registries& registries);
  bool apply_members(const std::string& ip, wire::Fleet::Reader fleet_state);
  void on_fleet(const std::string& ip, wire::Fleet::Reader fleet_state);
  void on_unit_grants(const std::string& ip, wire::UnitGrants::Reader answer);
  void on_confirmed(wire::Confirmed::Reader confirmed);
  void on_log_advanced();
  void notify_confirmed();
  void notify_lag();
  std::uint64_t new_confirm_token();
  void request_confirmation(Link& link, std::uint64_t token);
  void send_to(const std::string& ip, fleet::Outgoing& out);
  void renew();
  void tick();
  void update_holder_reachability();

  boost::asio::io_context& io_;
  SystemSettings settings_;
  const snowknot::Clock& clock_;
  Listener& listener_;
  Log log_;
  transfer::ChangeFollower follower_;
  const fleet::ChangeLog& changes_ = follower_.changes();
  fleet::Node self_;
  std::map<std::string, std::shared_ptr<Dialer>> links_;  // by IP address
  std::map<std::string, Time> failing_since_;             // first failure since the last frame
  std::vector<std::string> registries_;                   // in order of preference
  fleet::MemberViews proxies_;                            // live proxies, by registry
  fleet::KnownRecords records_;                           // server records received
  fleet::RecordRequests record_requests_;
  std::string holder_;
  std::uint64_t term_ = 0;
  SendTimes confirm_tokens_, unit_requests_;
  fleet::Confirmation confirmation_;
  bool holder_reachable_ = false, confirmed_once_ = false;
  Timer timer_;
  bool stopped_ = false;
};

}  // namespace docklift::proxy
