#include "system/proxy/proxy.hpp"

#include <random>

namespace docklift::proxy {
namespace {
using namespace std::chrono_literals;
constexpr Duration kTick = 20ms;  // while requests are open, or connections in a drain
constexpr Duration
    kNoConfiguration = 300ms;        // until a client may come back where none is here, or an old one
constexpr Duration kReport = 10s;    // from one line of figures to the next, where they have changed
constexpr double kClientPart = 0.6;  // of the descriptors
std::uint64_t drawn() { return (std::uint64_t(std::random_device{}()) << 32) | std::random_device{}(); }
}  // namespace

Proxy::Proxy(boost::asio::io_context& io, const SystemSettings& settings)
    : io_(io),
      settings_(settings),
      timers_(io, clock_),
      log_("proxy"),
      decisions_({settings.hostname, settings.zone, settings.region}, settings.zones, settings.bounds,
                 drawn()),
      upstream_(io, timers_),
      control_client_(io, settings_, clock_, *this),
      acceptor_(io.get_executor()) {}

Proxy::~Proxy() {
  const auto all = sessions_;
  for (const auto& s : all) s->close();
}

Result<std::monostate> Proxy::start() {
  const auto http = settings_.listen.find("http");
  const auto ready = settings_.listen.find("readyz");
  if (http == settings_.listen.end()) return Failure{"read settings", "listen.http", "is missing"};
  auto at = endpoint_of(http->second);
  if (failed(at)) return failure(at);
  acceptor_.open(value(at).protocol());
  acceptor_.set_option(Acceptor::reuse_address(true));
  acceptor_.bind(value(at));
  acceptor_.listen(1024);
  accept();
  if (ready != settings_.listen.end()) {
    auto where = endpoint_of(ready->second);
    if (failed(where)) return failure(where);
    readyz_ = std::make_unique<http::Server>(
        io_, value(where), http::ServerLimits{},
        [this](const http::Call& call, const http::Server::Respond& respond) {
          if (call.path() != "/readyz") return respond({404, ""});
          respond({serves() ? 200 : 503, ""});
        });
  }
  control_client_.start();
  report();
  return std::monostate{};
}

configuration::Limits Proxy::limits() const {
  return configuration_ ? configuration_->limits : configuration::Limits{};
}

OwnAnswer Proxy::denial(int status) const {
  if (decisions_.may_deny(clock_.now())) return {status};
  return {503, kNoConfiguration};
}

void Proxy::accept() {
  acceptor_.async_accept([this](boost::system::error_code failed_accept, Socket socket) {
    if (failed_accept == boost::asio::error::operation_aborted) return;
    if (!failed_accept &&
        static_cast<double>(sessions_.size()) < kClientPart * static_cast<double>(settings_.descriptors)) {
      snowknot::set_no_delay(socket);
      const auto session = std::make_shared<Session>(*this, timers_, std::move(socket));
      sessions_.insert(session);
      session->start();
    }
    accept();
  });
}

void Proxy::on_ended(const std::shared_ptr<Session>& session) {
  sessions_.erase(session);
  if (!session->has_requests()) return;
  std::vector<decisions::RequestId> left;
  for (const auto& [id, exchange] : exchanges_)
    if (exchange.session == session) left.push_back(id);
  for (const auto id : left) carry_out(decisions_.client_left(clock_.now(), id));
}

bool Proxy::is_repeatable(const Request& request) const {
  const auto* route = configuration_ ? configuration_->find_route(request.host, request.target) : nullptr;
  return route && route->kind != configuration::RouteKind::mutating;
}

void Proxy::on_request(const std::shared_ptr<Session>& session, std::uint64_t number, Request request) {
  const Time now = clock_.now();
  if (!configuration_) {
    decisions_.refused_without_configuration();
    return session->answer(number, {503, kNoConfiguration});
  }
  const auto* route = configuration_->find_route(request.host, request.target);
  if (!route) return session->answer(number, denial(404));
  const auto* tenant = request.key.empty() ? nullptr : configuration_->find_tenant(request.key);
  if (configuration_->has_tenants() && !route->is_public && !tenant)
    return session->answer(number, denial(401));
  const auto id = ++last_id_;
  const Duration left = from_millis(
      request.deadline_ms.value_or(route->timeout_ms > 0 ? route->timeout_ms : 10000));
  auto& x = exchanges_[id];
  x.session = session, x.number = number, x.request = std::move(request), x.deadline = now + left;
  if (tenant) x.tenant = tenant->name;
  carry_out(decisions_.arrive(now, {id, route, tenant, left}));
  if (!ticking_ && decisions_.open() > 0) tick();
}

void Proxy::carry_out(decisions::Actions actions) {
  for (auto& action : actions) {
    if (const auto* s = std::get_if<decisions::Send>(&action)) {
      send(*s);
    } else if (const auto* request = std::get_if<decisions::RequestUnits>(&action)) {
      control_client_.request_units(request->orders);
    } else if (const auto* r = std::get_if<decisions::Refuse>(&action)) {
      if (const auto x = exchanges_.extract(r->request))
        x.mapped().session->answer(x.mapped().number, {r->status, r->retry_after});
    } else if (const auto* f = std::get_if<decisions::Fail>(&action)) {
      if (const auto x = exchanges_.extract(f->request))
        x.mapped().session->answer(x.mapped().number, {f->status});
    } else if (const auto* drop = std::get_if<decisions::Drop>(&action)) {
      exchanges_.erase(drop->request);
    } else if (const auto* attempt = std::get_if<decisions::Cancel>(&action)) {
      cancel(*attempt);
    } else if (const auto* relay = std::get_if<decisions::Relay>(&action)) {
      if (auto x = exchanges_.extract(relay->request))
        x.mapped().session->answer(x.mapped().number, std::move(x.mapped().last.reply),
                                   x.mapped().last.body_at);
    }
  }
}

void Proxy::send(const decisions::Send& s) {
  const auto it = exchanges_.find(s.request);
  const auto* server = decisions_.known(s.server);
  if (it == exchanges_.end() || !server) return;
  auto& x = it->second;
  Attempt a;
  a.server = s.server, a.address = server->address, a.method = x.request.method,
  a.attempt_id = x.request.attempt_id;
  a.body = x.request.body;
  a.deadline = clock_.now() + s.timeout;
  a.valid_until = s.valid_until;
  a.head = x.request.head;
  a.head += "Deadline: " + std::to_string(std::max(1u, millis(s.timeout))) +
            "\r\nWant-Instance: " + server->id + "\r\n";
  if (!x.tenant.empty()) a.head += "Tenant: " + x.tenant + "\r\n";
  x.attempt = upstream_.start(std::move(a), [this, id = s.request](Answered answered) {
    const auto open = exchanges_.find(id);
    if (open == exchanges_.end()) return;
    const auto outcome = answered.outcome;
    const auto took = answered.took;
    const bool whole = answered.status != 0;
    open->second.last = std::move(answered);
    end_attempt(id, outcome, took, whole);
  });
}

void Proxy::cancel(const decisions::Cancel& attempt) {
  const auto open = exchanges_.find(attempt.request);
  if (open == exchanges_.end()) return;
  const auto outcome = upstream_.cancel(open->second.attempt, attempt.unsent_only);
  if (outcome) end_attempt(attempt.request, *outcome, {}, false);
}

void Proxy::end_attempt(decisions::RequestId id, decisions::Outcome outcome, Duration took, bool whole) {
  carry_out(decisions_.ended(clock_.now(), id, outcome, took, whole));
  for (const auto h : decisions_.dropped()) upstream_.forget(h);
}

void Proxy::tick() {
  ticking_ = true;
  timers_.after(kTick, [this] {
    carry_out(decisions_.tick(clock_.now()));
    if (decisions_.open() > 0) return tick();
    ticking_ = false;
  });
}

// Figures for operators, in the log.
void Proxy::report() {
  timers_.after(kReport, [this] {
    const auto& departures = decisions_.departures();
    if (departures != reported_departures_) log_.info(decisions::shown(departures));
    reported_departures_ = departures;
    const auto& refusals = decisions_.refusals();
    if (refusals != reported_refusals_) log_.info(decisions::shown(refusals));
    reported_refusals_ = refusals;
    report();
  });
}

// With a configuration that was confirmed in this life and is not known to be old.
bool Proxy::serves() const {
  return configuration_ && confirmed_ && heard_servers_ && !drain_ && !decisions_.is_outdated(clock_.now());
}

void Proxy::check_ready() { control_client_.set_state(serves(), draining()); }

void Proxy::on_confirmed(Time at) {
  confirmed_ = true;
  decisions_.confirmed(at);
  check_ready();
}

void Proxy::on_behind(bool behind) {
  decisions_.set_behind(behind);
  check_ready();
}

void Proxy::on_changes(const fleet::ChangeLog& changes) {
  const Time now = clock_.now();
  if (const auto& c = changes.configuration(); c && c != configuration_) {
    configuration_ = c;
    decisions_.configure(now, c);
    log_.info("version " + configuration::format_version(c->version) + " is in force, change " +
              std::to_string(changes.position()));
  }
  decisions_.set_evacuated(now, changes.state().evacuated, changes.readmitted());
  check_ready();
}

void Proxy::on_servers(const std::vector<fleet::Server>& changed, bool all_known) {
  heard_servers_ = all_known;
  decisions_.servers(clock_.now(), changed);
  for (const auto h : decisions_.dropped()) upstream_.forget(h);
  check_ready();
}

void Proxy::on_proxies(const std::vector<std::string>& zone_and_id) { decisions_.proxies(zone_and_id); }

void Proxy::on_holder(bool reachable) { carry_out(decisions_.holder(clock_.now(), reachable)); }

void Proxy::on_new_holder(std::uint64_t term) { carry_out(decisions_.new_holder(clock_.now(), term)); }

void Proxy::on_grants(const decisions::UnitAnswer& answer) {
  carry_out(decisions_.granted(clock_.now(), answer));
}

void Proxy::on_grants_failed() { carry_out(decisions_.grants_failed(clock_.now())); }

void Proxy::drain(std::function<void()> ended) {
  if (drain_) return;
  drained_ = std::move(ended);
  drain_.emplace(clock_.now(), from_seconds(settings_.bounds.grace_s));
  decisions_.begin_drain(*drain_);
  check_ready();
  log_drain("begins");
  timers_.at(drain_->accepts_until, [this] { stop_accepting(); });
  timers_.at(drain_->gives_up, [this] { give_up(); });
}

void Proxy::stop_accepting() {
  log_drain("accepts no more");
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  end_when_closed();
}

void Proxy::give_up() {
  if (!drained_) return;
  log_drain("gives up what is open");
  carry_out(decisions_.give_up(clock_.now()));
  const auto all = sessions_;
  for (const auto& session : all) session->take_no_more();
}

// A request that crosses the close has not been read; its client sends it to another proxy.
void Proxy::end_when_closed() {
  const auto all = sessions_;
  for (const auto& session : all) session->close_if_idle();
  const bool closed = sessions_.empty() && exchanges_.empty();
  if (!closed && clock_.now() < drain_->ends)
    return void(timers_.after(kTick, [this] { end_when_closed(); }));
  log_drain("ends");
  log_.info(decisions::shown(decisions_.refusals()));
  control_client_.stop();
  std::exchange(drained_, nullptr)();
}

void Proxy::log_drain(const std::string& step) const {
  std::size_t idle = 0;
  std::size_t held = 0;
  for (const auto& session : sessions_) {
    if (!session->has_requests()) ++idle;
    held += session->answers_held();
  }
  log_.info("drain " + step + ", " + std::to_string(millis(clock_.now() - drain_->began)) +
            " ms after SIGTERM: " + std::to_string(sessions_.size()) + " connections, " +
            std::to_string(idle) + " without a request; " +
            decisions::shown(decisions_.open_requests(clock_.now())) + "; " + std::to_string(held) +
            " answers wait behind others");
}

}  // namespace docklift::proxy
