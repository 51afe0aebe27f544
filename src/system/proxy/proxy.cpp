#include "system/proxy/proxy.hpp"

#include <random>

namespace docklift::proxy {
namespace {
using namespace std::chrono_literals;
constexpr Duration kTickInterval = 20ms;  // runs while requests are open or connections drain
// Retry-After of responses sent while there is no configuration or it may be outdated.
constexpr Duration kUnconfiguredRetryAfter = 300ms;
constexpr Duration kReportInterval = 10s;          // between log lines of statistics that have changed
constexpr double kClientDescriptorFraction = 0.6;  // of the file descriptors, for client connections
constexpr double kBodyMemoryFraction = 0.4;        // of the memory, for the bodies of requests
std::uint64_t random_seed() { return (std::uint64_t(std::random_device{}()) << 32) | std::random_device{}(); }

std::size_t body_memory(const SystemSettings& settings) {
  return static_cast<std::size_t>(kBodyMemoryFraction * static_cast<double>(settings.memory_mb << 20));
}
}  // namespace

Proxy::Proxy(boost::asio::io_context& io, const SystemSettings& settings)
    : io_(io),
      settings_(settings),
      timers_(io, clock_),
      log_("proxy"),
      decisions_({settings.hostname, settings.zone, settings.region}, settings.zones, settings.bounds,
                 random_seed()),
      upstream_(io, timers_),
      control_client_(io, settings_, clock_, *this),
      acceptor_(io.get_executor()),
      body_budget_(std::make_shared<BodyBudget>(body_memory(settings))) {}

Proxy::~Proxy() {
  const auto all = sessions_;
  for (const auto& session : all) session->close();
}

Result<std::monostate> Proxy::start() {
  const auto http = settings_.listen.find("http");
  const auto ready = settings_.listen.find("readyz");
  if (http == settings_.listen.end()) return Failure{"read settings", "listen.http", "is missing"};
  auto endpoint = parse_endpoint(http->second);
  if (failed(endpoint)) return failure(endpoint);
  acceptor_.open(value(endpoint).protocol());
  acceptor_.set_option(Acceptor::reuse_address(true));
  acceptor_.bind(value(endpoint));
  acceptor_.listen(1024);
  accept();
  if (ready != settings_.listen.end()) {
    auto ready_endpoint = parse_endpoint(ready->second);
    if (failed(ready_endpoint)) return failure(ready_endpoint);
    readyz_ = std::make_unique<http::Server>(
        io_, value(ready_endpoint), http::ServerLimits{},
        [this](const http::Request& request, const http::Server::Respond& respond) {
          if (request.path() != "/readyz") return respond({404, ""});
          respond({is_serving() ? 200 : 503, ""});
        });
  }
  control_client_.start();
  log_statistics();
  return std::monostate{};
}

configuration::Limits Proxy::limits() const {
  return configuration_ ? configuration_->limits : configuration::Limits{};
}

LocalReply Proxy::rejection(int status) const {
  if (decisions_.may_deny(clock_.now())) return {status};
  return {503, kUnconfiguredRetryAfter};
}

LocalReply Proxy::refuse_body() { return {503, decisions_.refuse_body()}; }

void Proxy::accept() {
  acceptor_.async_accept([this](boost::system::error_code error, Socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (!error && static_cast<double>(sessions_.size()) <
                      kClientDescriptorFraction * static_cast<double>(settings_.descriptors)) {
      snowknot::set_no_delay(socket);
      const auto session = std::make_shared<Session>(*this, timers_, std::move(socket));
      sessions_.insert(session);
      session->start();
    }
    accept();
  });
}

void Proxy::on_closed(const std::shared_ptr<Session>& session) {
  sessions_.erase(session);
  if (!session->has_requests()) return;
  std::vector<decisions::RequestId> abandoned;
  for (const auto& [id, exchange] : exchanges_)
    if (exchange.session == session) abandoned.push_back(id);
  for (const auto id : abandoned) execute(decisions_.on_client_left(clock_.now(), id));
}

bool Proxy::is_repeatable(const Request& request) const {
  const auto* route = configuration_ ? configuration_->find_route(request.host, request.target) : nullptr;
  return route && route->kind != configuration::RouteKind::mutating;
}

void Proxy::on_request(const std::shared_ptr<Session>& session, std::uint64_t number, Request request) {
  const Time now = clock_.now();
  if (!configuration_) {
    decisions_.count_refusal_without_configuration();
    return session->respond(number, {503, kUnconfiguredRetryAfter});
  }
  const auto* route = configuration_->find_route(request.host, request.target);
  if (!route) return session->respond(number, rejection(404));
  const auto* tenant = request.key ? configuration_->find_tenant(*request.key) : nullptr;
  // A key that is not known is rejected even if none is required: it may have been revoked.
  const bool needs_tenant = !route->is_public && (configuration_->requires_keys() || request.key);
  if (needs_tenant && !tenant) return session->respond(number, rejection(401));
  const auto id = ++last_id_;
  const Duration time_left = from_millis(
      request.deadline_ms.value_or(route->timeout_ms > 0 ? route->timeout_ms : 10000));
  auto& exchange = exchanges_[id];
  exchange.session = session, exchange.number = number, exchange.request = std::move(request),
  exchange.deadline = now + time_left;
  if (tenant) exchange.tenant = tenant->name;
  execute(decisions_.on_request(now, {id, route, tenant, time_left}));
  if (!ticking_ && decisions_.open_count() > 0) tick();
}

void Proxy::execute(decisions::Actions actions) {
  for (auto& action : actions) {
    if (const auto* to_send = std::get_if<decisions::Send>(&action)) {
      send(*to_send);
    } else if (const auto* units = std::get_if<decisions::RequestUnits>(&action)) {
      control_client_.request_units(units->requests);
    } else if (const auto* refusal = std::get_if<decisions::Refuse>(&action)) {
      if (const auto exchange = exchanges_.extract(refusal->request))
        exchange.mapped().session->respond(exchange.mapped().number, {refusal->status, refusal->retry_after});
    } else if (const auto* failure = std::get_if<decisions::Fail>(&action)) {
      if (const auto exchange = exchanges_.extract(failure->request))
        exchange.mapped().session->respond(exchange.mapped().number, {failure->status});
    } else if (const auto* drop = std::get_if<decisions::Drop>(&action)) {
      exchanges_.erase(drop->request);
    } else if (const auto* attempt = std::get_if<decisions::Cancel>(&action)) {
      cancel(*attempt);
    } else if (const auto* relay = std::get_if<decisions::Relay>(&action)) {
      if (auto exchange = exchanges_.extract(relay->request))
        exchange.mapped().session->respond(exchange.mapped().number,
                                           std::move(exchange.mapped().last_result.response),
                                           exchange.mapped().last_result.fields_end);
    }
  }
}

void Proxy::send(const decisions::Send& action) {
  const auto it = exchanges_.find(action.request);
  const auto* server = decisions_.find_server(action.server);
  if (it == exchanges_.end() || !server) return;
  auto& exchange = it->second;
  Attempt attempt;
  attempt.server = action.server, attempt.address = server->address, attempt.method = exchange.request.method,
  attempt.attempt_id = exchange.request.attempt_id;
  attempt.body = exchange.request.body;
  attempt.deadline = clock_.now() + action.timeout;
  attempt.valid_until = action.valid_until;
  attempt.head = exchange.request.head;
  attempt.head += "Deadline: " + std::to_string(std::max(1u, millis(action.timeout))) +
                  "\r\nWant-Instance: " + server->id + "\r\n";
  if (!exchange.tenant.empty()) attempt.head += "Tenant: " + exchange.tenant + "\r\n";
  exchange.attempt = upstream_.start(std::move(attempt), [this, id = action.request](AttemptResult result) {
    const auto open = exchanges_.find(id);
    if (open == exchanges_.end()) return;
    const auto outcome = result.outcome;
    const auto elapsed = result.elapsed;
    const bool complete = result.status != 0;
    open->second.last_result = std::move(result);
    on_attempt_ended(id, outcome, elapsed, complete);
  });
}

void Proxy::cancel(const decisions::Cancel& attempt) {
  const auto open = exchanges_.find(attempt.request);
  if (open == exchanges_.end()) return;
  const auto outcome = upstream_.cancel(open->second.attempt, attempt.unsent_only);
  if (outcome) on_attempt_ended(attempt.request, *outcome, {}, false);
}

void Proxy::on_attempt_ended(decisions::RequestId id, decisions::Outcome outcome, Duration elapsed,
                             bool complete) {
  execute(decisions_.on_attempt_ended(clock_.now(), id, outcome, elapsed, complete));
  for (const auto server : decisions_.take_released_servers()) upstream_.forget(server);
}

void Proxy::tick() {
  ticking_ = true;
  timers_.after(kTickInterval, [this] {
    execute(decisions_.tick(clock_.now()));
    if (decisions_.open_count() > 0) return tick();
    ticking_ = false;
  });
}

// Logs statistics for operators when they have changed.
void Proxy::log_statistics() {
  timers_.after(kReportInterval, [this] {
    const auto& departures = decisions_.departures();
    if (departures != reported_departures_) log_.info(decisions::to_string(departures));
    reported_departures_ = departures;
    const auto& refusals = decisions_.refusals();
    if (refusals != reported_refusals_) log_.info(decisions::to_string(refusals));
    reported_refusals_ = refusals;
    log_statistics();
  });
}

// Ready once the servers are known and the configuration was confirmed since the start and is not outdated.
bool Proxy::is_serving() const {
  return configuration_ && confirmed_ && servers_known_ && !drain_ && !decisions_.is_outdated(clock_.now());
}

void Proxy::update_ready_state() { control_client_.set_state(is_serving(), draining()); }

void Proxy::on_confirmed(Time at) {
  confirmed_ = true;
  decisions_.set_confirmed(at);
  update_ready_state();
}

void Proxy::on_lagging(bool lagging) {
  decisions_.set_lagging(lagging);
  update_ready_state();
}

void Proxy::on_changes(const fleet::ChangeLog& changes) {
  const Time now = clock_.now();
  if (const auto& newest = changes.configuration(); newest && newest != configuration_) {
    configuration_ = newest;
    execute(decisions_.configure(now, newest));
    log_.info("version " + configuration::format_version(newest->version) + " is in force, change " +
              std::to_string(changes.position()));
  }
  decisions_.set_evacuated(now, changes.state().evacuated, changes.readmitted());
  update_ready_state();
}

void Proxy::on_servers(const std::vector<fleet::Server>& changed, bool all_known) {
  servers_known_ = all_known;
  decisions_.update_servers(clock_.now(), changed);
  for (const auto server : decisions_.take_released_servers()) upstream_.forget(server);
  update_ready_state();
}

void Proxy::on_proxies(const std::vector<std::string>& zone_and_id) { decisions_.set_proxies(zone_and_id); }

void Proxy::on_holder_reachable(bool reachable) {
  execute(decisions_.set_holder_reachable(clock_.now(), reachable));
}

void Proxy::on_new_holder(std::uint64_t term) { execute(decisions_.on_new_holder(clock_.now(), term)); }

void Proxy::on_grants(const decisions::UnitResponse& answer) {
  execute(decisions_.on_grants(clock_.now(), answer));
}

void Proxy::on_grants_failed() { execute(decisions_.on_grants_failed(clock_.now())); }

void Proxy::drain(std::function<void()> on_drained) {
  if (drain_) return;
  on_drained_ = std::move(on_drained);
  drain_.emplace(clock_.now(), from_seconds(settings_.bounds.grace_s));
  decisions_.begin_drain(*drain_);
  update_ready_state();
  log_drain("begins");
  timers_.at(drain_->accepts_until, [this] { stop_accepting(); });
  timers_.at(drain_->abort_at, [this] { abort_open_requests(); });
}

void Proxy::stop_accepting() {
  log_drain("accepts no more");
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  finish_drain_when_closed();
}

void Proxy::abort_open_requests() {
  if (!on_drained_) return;
  log_drain("gives up what is open");
  execute(decisions_.abort_open_requests(clock_.now()));
  const auto all = sessions_;
  for (const auto& session : all) session->close_after_responses();
}

// A request that arrives as its connection is closed has not been read, so its client can safely send it to
// another proxy.
void Proxy::finish_drain_when_closed() {
  const auto all = sessions_;
  for (const auto& session : all) session->close_if_idle();
  const bool closed = sessions_.empty() && exchanges_.empty();
  if (!closed && clock_.now() < drain_->exit_at)
    return void(timers_.after(kTickInterval, [this] { finish_drain_when_closed(); }));
  log_drain("ends");
  log_.info(decisions::to_string(decisions_.refusals()));
  control_client_.stop();
  std::exchange(on_drained_, nullptr)();
}

void Proxy::log_drain(const std::string& step) const {
  std::size_t idle = 0;
  std::size_t blocked = 0;
  for (const auto& session : sessions_) {
    if (!session->has_requests()) ++idle;
    blocked += session->blocked_responses();
  }
  log_.info("drain " + step + ", " + std::to_string(millis(clock_.now() - drain_->started_at)) +
            " ms after SIGTERM: " + std::to_string(sessions_.size()) + " connections, " +
            std::to_string(idle) + " without a request; " +
            decisions::to_string(decisions_.open_requests(clock_.now())) + "; " + std::to_string(blocked) +
            " answers wait behind others");
}

}  // namespace docklift::proxy
