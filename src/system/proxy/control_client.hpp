// A proxy's links to registries: it renews its lease there, follows the log of changes, hears of servers and
// members, and asks the holder of the counts for units. News goes to one listener; what comes twice or late
// is told apart there by its place.
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
  struct Listener {
    virtual ~Listener() = default;
    virtual void on_changes(const fleet::ChangeLog& changes) = 0;
    // `all_known`: one registry has told all its servers, with these or before.
    virtual void on_servers(const std::vector<fleet::Server>& changed, bool all_known) = 0;
    virtual void on_proxies(const std::vector<std::string>& zone_and_id) = 0;
    // As of `at` the configuration here was the newest.
    virtual void on_confirmed(Time at) = 0;
    // Whether the configuration here is known to lack a change that was agreed.
    virtual void on_behind(bool behind) = 0;
    virtual void on_holder(bool reachable) = 0;
    virtual void on_new_holder(std::uint64_t term) = 0;
    virtual void on_grants(const decisions::UnitResponse& answer) = 0;
    virtual void on_grants_failed() = 0;
  };
  ControlClient(boost::asio::io_context& io, const SystemSettings& settings, const snowknot::Clock& clock,
                Listener& listener);
  ~ControlClient();
  void start();
  void stop();
  // What the registries are told of this proxy, at once and with each renewal.
  void set_state(bool ready, bool leaving);
  void request_units(const std::vector<decisions::UnitRequest>& orders);
  const fleet::ChangeLog& changes() const { return changes_; }

 private:
  void dial(const std::string& ip);
  void order_registries();
  void choose_registries();
  std::size_t standing_links() const;  // those that do not fail for long
  bool fails_for_long(const std::string& ip) const;
  void leave_failing();
  void on_frame(const std::string& ip, wire::Frame::Reader frame);
  void take_servers(const std::string& ip, wire::Fleet::Reader f);
  void request_records(const fleet::RecordRequests::Registries& registries);
  bool take_members(const std::string& ip, wire::Fleet::Reader f);
  void on_fleet(const std::string& ip, wire::Fleet::Reader f);
  void on_unit_grants(const std::string& ip, wire::UnitGrants::Reader answer);
  void on_confirmed(wire::Confirmed::Reader confirmed);
  void on_log_advanced();
  void tell_confirmed();
  void tell_lag();
  std::uint64_t new_confirm_token();
  void request_confirmation(Link& link, std::uint64_t token);
  void send_to(const std::string& ip, fleet::Outgoing& out);
  void renew();
  void tick();
  void check_holder();

  boost::asio::io_context& io_;
  SystemSettings settings_;
  const snowknot::Clock& clock_;
  Listener& listener_;
  Log log_;
  transfer::ChangeFollower follower_;
  const fleet::ChangeLog& changes_ = follower_.changes();
  fleet::Node self_;
  std::map<std::string, std::shared_ptr<Dialer>> links_;  // by ip
  std::map<std::string, Time> failing_since_;             // of links_: since when nothing came
  std::vector<std::string> registries_;  // as they have told, those first that are linked first
  fleet::MemberViews proxies_;           // by registry
  fleet::KnownRecords records_;          // of servers
  fleet::RecordRequests record_requests_;
  std::string holder_;
  std::uint64_t term_ = 0;
  SendTimes confirm_tokens_, unit_calls_;
  fleet::Confirmation confirmation_;
  bool reachable_ = false, confirmed_once_ = false;
  Timer timer_;
  bool stopped_ = false;
};

}  // namespace docklift::proxy
