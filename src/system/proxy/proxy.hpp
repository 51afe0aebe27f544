// The proxy server: connects client sessions, the decision logic, upstream connections and registry updates.
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

// Owns all client sessions and executes the actions that the decision logic returns.
class Proxy : public Session::Handler, public ControlClient::Listener {
 public:
  Proxy(boost::asio::io_context& io, const SystemSettings& settings);
  ~Proxy() override;
  Result<std::monostate> start();
  // Shuts down gracefully: stops being advertised to clients, answers open requests, and calls `on_drained`
  // within the grace period. Later calls do nothing.
  void drain(std::function<void()> on_drained);

  configuration::Limits limits() const override;
  LocalReply rejection(int status) const override;
  bool draining() const override { return drain_.has_value(); }
  void on_request(const std::shared_ptr<Session>& session, std::uint64_t number, Request request) override;
  bool is_repeatable(const Request& request) const override;
  const std::shared_ptr<BodyBudget>& body_budget() const override { return body_budget_; }
  LocalReply refuse_body() override;
  void on_closed(const std::shared_ptr<Session>& session) override;

  void on_changes(const fleet::ChangeLog& changes) override;
  void on_servers(const std::vector<fleet::Server>& changed, bool all_known) override;
  void on_proxies(const std::vector<std::string>& zone_and_id) override;
  void on_confirmed(Time at) override;
  void on_lagging(bool lagging) override;
  void on_holder_reachable(bool reachable) override;
  void on_new_holder(std::uint64_t term) override;
  void on_grants(const decisions::UnitResponse& answer) override;
  void on_grants_failed() override;

 private:
  // An open request, from its arrival to its response.
  struct Exchange {
    std::shared_ptr<Session> session;
    std::uint64_t number = 0;  // sequence number within its session
    Request request;
    std::string tenant;
    Time deadline{};
    AttemptResult last_result;
    Upstream::Handle attempt;
  };
  void accept();
  void execute(decisions::Actions actions);
  void send(const decisions::Send& action);
  void cancel(const decisions::Cancel& attempt);
  void on_attempt_ended(decisions::RequestId id, decisions::Outcome outcome, Duration elapsed, bool complete);
  void tick();
  bool is_serving() const;  // ready for new clients
  void update_ready_state();
  void log_statistics();
  void stop_accepting();
  void abort_open_requests();
  void finish_drain_when_closed();
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
  std::shared_ptr<BodyBudget> body_budget_;
  std::shared_ptr<const configuration::Configuration> configuration_;
  std::set<std::shared_ptr<Session>> sessions_;
  std::unordered_map<decisions::RequestId, Exchange> exchanges_;
  decisions::RequestId last_id_ = 0;
  decisions::DepartureCounts reported_departures_;
  decisions::RefusalCounts reported_refusals_;
  std::optional<decisions::DrainSchedule> drain_;
  std::function<void()> on_drained_;
  bool servers_known_ = false, confirmed_ = false, ticking_ = false;
};

}  // namespace docklift::proxy
