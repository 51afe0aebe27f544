// The proxy on sockets: clients' sessions, the decisions, connections to servers, news from registries.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "system/decisions/decisions.hpp"
#include "system/http/server.hpp"
#include "system/proxy/control_client.hpp"
#include "system/proxy/session.hpp"
#include "system/proxy/upstream.hpp"

namespace docklift::proxy {

class Proxy : public Session::Host, public ControlClient::Listener {
 public:
  Proxy(boost::asio::io_context& io, const SystemSettings& settings);
  ~Proxy() override;
  Result<std::monostate> start();
  // Leaves in order: is no longer given to clients, answers what is open, and calls `ended` within the grace. Once.
  void drain(std::function<void()> ended);

  configuration::Limits limits() const override;
  OwnAnswer denial(int status) const override;
  bool draining() const override { return drain_.has_value(); }
  void on_request(const std::shared_ptr<Session>& session, std::uint64_t number, Request request) override;
  bool is_repeatable(const Request& request) const override;
  void on_ended(const std::shared_ptr<Session>& session) override;

  void on_changes(const fleet::ChangeLog& changes) override;
  void on_servers(const std::vector<fleet::Server>& changed, bool all_known) override;
  void on_proxies(const std::vector<std::string>& zone_and_id) override;
  void on_confirmed(Time at) override;
  void on_behind(bool behind) override;
  void on_holder(bool reachable) override;
  void on_new_holder(std::uint64_t term) override;
  void on_grants(const decisions::UnitResponse& answer) override;
  void on_grants_failed() override;

 private:
  struct Exchange {
    std::shared_ptr<Session> session;
    std::uint64_t number = 0;  // of the request on its session
    Request request;
    std::string tenant;
    Time deadline{};
    Answered last;
    Upstream::Handle attempt;
  };
  void accept();
  void carry_out(decisions::Actions actions);
  void send(const decisions::Send& s);
  void cancel(const decisions::Cancel& attempt);
  void end_attempt(decisions::RequestId id, decisions::Outcome outcome, Duration took, bool whole);
  void tick();
  bool serves() const;
  void check_ready();
  void report();
  void stop_accepting();
  void give_up();
  void end_when_closed();
  void log_drain(const std::string& step) const;

  boost::asio::io_context& io_;
  SystemSettings settings_;
  snowknot::Clock clock_;
  snowknot::Timers timers_;
  Log log_;
  decisions::Decisions decisions_;
  Upstream upstream_;
  ControlClient control_client_;
  Acceptor acceptor_;
  std::unique_ptr<http::Server> readyz_;
  std::shared_ptr<const configuration::Configuration> configuration_;
  std::set<std::shared_ptr<Session>> sessions_;
  std::unordered_map<decisions::RequestId, Exchange> exchanges_;
  decisions::RequestId last_id_ = 0;
  decisions::DepartureCounts reported_departures_;
  decisions::RefusalCounts reported_refusals_;
  std::optional<decisions::DrainSchedule> drain_;
  std::function<void()> drained_;
  bool heard_servers_ = false, confirmed_ = false, ticking_ = false;
};

}  // namespace docklift::proxy
