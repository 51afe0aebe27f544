#include "system/proxy/control_client.hpp"

#include <algorithm>

#include "system/program/program.hpp"

namespace docklift::proxy {
namespace {
using namespace std::chrono_literals;
constexpr Duration kRenewalInterval = 600ms;
constexpr std::size_t kMaxConfirmTokens = 64;     // unanswered tokens: renewals of about half a minute
constexpr std::size_t kMaxUnitRequests = 256;     // in flight; grants for older requests are ignored
constexpr std::size_t kTargetLinks = 3;           // registries that a proxy keeps links to
constexpr Duration kLinkFailureTimeout = 2000ms;  // a link that has been down this long is replaced
}  // namespace

ControlClient::ControlClient(boost::asio::io_context& io, const SystemSettings& settings,
                             const snowknot::Clock& clock, Listener& listener)
    : io_(io),
      settings_(settings),
      clock_(clock),
      listener_(listener),
      log_("control"),
      follower_([this](const std::string& ip, fleet::Outgoing& out) { send_to(ip, out); },
                [this](const std::string& note) { log_.info(note); }),
      confirm_tokens_(kMaxConfirmTokens),
      unit_requests_(kMaxUnitRequests),
      timer_(io.get_executor()) {
  self_.id = settings.hostname, self_.zone = settings.zone, self_.role = fleet::Role::PROXY;
  self_.incarnation = new_incarnation();
  if (const auto http = settings.listen.find("http"); http != settings.listen.end())
    self_.address = http->second;
}

ControlClient::~ControlClient() { stop(); }

void ControlClient::start() {
  registries_ = settings_.seed_ips();
  sort_registries();
  choose_registries();
  tick();
}

void ControlClient::stop() {
  stopped_ = true;
  timer_.cancel();
  for (auto& [ip, dialer] : links_) dialer->stop();
}

// Rendezvous hashing gives each proxy its own preference order, which spreads proxies over the registries.
void ControlClient::sort_registries() {
  registries_ = fleet::rendezvous_order(settings_.hostname, std::move(registries_));
}

// Keeps existing links, adds links until kTargetLinks are healthy, and always links to the holder of the
// quota lease. A link that has failed counts as missing and is dropped once enough others are healthy.
void ControlClient::choose_registries() {
  for (const auto& ip : registries_)
    if (healthy_links() < kTargetLinks) connect_to(ip);
  if (!holder_.empty()) connect_to(holder_);
  drop_failed_links();
}

std::size_t ControlClient::healthy_links() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(links_, [&](const auto& link) { return !has_failed(link.first); }));
}

bool ControlClient::has_failed(const std::string& ip) const {
  const auto since = failing_since_.find(ip);
  return since != failing_since_.end() && clock_.now() - since->second >= kLinkFailureTimeout;
}

void ControlClient::drop_failed_links() {
  if (healthy_links() < kTargetLinks) return;
  for (const auto& ip : registries_) {
    const auto link = links_.find(ip);
    if (link == links_.end() || ip == holder_ || !has_failed(ip)) continue;
    link->second->stop();
    links_.erase(link);
    failing_since_.erase(ip);
  }
}

void ControlClient::connect_to(const std::string& ip) {
  if (links_.contains(ip) || stopped_) return;
  const Tcp::endpoint endpoint(boost::asio::ip::make_address(ip),
                               static_cast<std::uint16_t>(settings_.first_port + kRegistryPort));
  const auto dialer = std::make_shared<Dialer>(
      io_, endpoint, LinkLimits{}, [this, ip](wire::Frame::Reader frame) { on_frame(ip, frame); },
      [this, ip](const std::shared_ptr<Link>& link) {
        fleet::Outgoing out;
        self_.stamp++, self_.received_at = clock_.now();
        fleet::put_hello(out, self_, clock_.now());
        link->send(out.message());
        follower_.on_linked(ip);
        request_confirmation(*link, new_confirm_token());
        request_records(record_requests_.linked(clock_.now(), ip));
        update_holder_reachability();
      },
      [this, ip](const Failure& error) {
        log_.debug(error.to_string());
        follower_.on_source_lost(clock_.now(), ip);
        failing_since_.try_emplace(ip, clock_.now());
        if (proxies_.forget(ip)) listener_.on_proxies(proxies_.all());
        request_records(record_requests_.lost(clock_.now(), ip));
        update_holder_reachability();
      });
  links_[ip] = dialer;
  dialer->start();
}

void ControlClient::send_to(const std::string& ip, fleet::Outgoing& out) {
  const auto link = links_.find(ip);
  if (link != links_.end() && link->second->is_connected()) link->second->link()->send(out.message());
}

void ControlClient::set_state(bool ready, bool leaving) {
  if (self_.ready == ready && self_.leaving == leaving) return;
  self_.ready = ready, self_.leaving = leaving;
  renew();
}

void ControlClient::renew() {
  fleet::Outgoing out;
  self_.stamp++, self_.received_at = clock_.now();
  fleet::put_hello(out, self_, clock_.now());
  const auto token = new_confirm_token();
  for (auto& [ip, dialer] : links_) {
    if (!dialer->is_connected()) continue;
    dialer->link()->send(out.message());
    request_confirmation(*dialer->link(), token);
  }
}

std::uint64_t ControlClient::new_confirm_token() {
  const Time now = clock_.now();
  confirmation_.asked(now, changes_.position());
  return confirm_tokens_.sent(now);
}

void ControlClient::request_confirmation(Link& link, std::uint64_t token) {
  fleet::Outgoing out;
  out.frame().setConfirm(token);
  link.send(out.message());
}

// The token proves that the local log was up to date when the token was sent.
void ControlClient::on_confirmed(wire::Confirmed::Reader confirmed) {
  const auto sent = confirm_tokens_.of(confirmed.getToken());
  if (!sent) return;
  const auto position = confirmed.getPosition();
  follower_.on_core_position(clock_.now(), position);
  notify_lag();
  if (!confirmation_.answered(*sent, position, changes_.position()))
    return follower_.on_core_regressed(position);
  notify_confirmed();
}

void ControlClient::on_log_advanced() {
  confirmation_.advanced(changes_.position());
  notify_lag();
  listener_.on_changes(changes_);
  notify_confirmed();
}

void ControlClient::notify_confirmed() {
  const auto confirmed_at = confirmation_.at();
  if (!confirmed_at) return;
  if (!std::exchange(confirmed_once_, true))
    log_.info("change " + std::to_string(changes_.position()) + " is confirmed as the newest of the core");
  listener_.on_confirmed(*confirmed_at);
}

void ControlClient::notify_lag() { listener_.on_lagging(follower_.lagging_since(clock_.now()).has_value()); }

void ControlClient::tick() {
  timer_.expires_after(kRenewalInterval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (error || stopped_) return;
    renew();
    choose_registries();
    follower_.check_progress(clock_.now());
    request_records(record_requests_.tick(clock_.now()));
    notify_lag();
    tick();
  });
}

void ControlClient::update_holder_reachability() {
  const auto link = links_.find(holder_);
  const bool reachable = !holder_.empty() && link != links_.end() && link->second->is_connected();
  if (std::exchange(holder_reachable_, reachable) != reachable) listener_.on_holder_reachable(reachable);
}

void ControlClient::request_units(const std::vector<decisions::UnitRequest>& requests) {
  const auto link = links_.find(holder_);
  if (link == links_.end() || !link->second->is_connected()) return listener_.on_grants_failed();
  fleet::Outgoing out;
  auto request = out.frame().initUnitRequest();
  request.setCall(unit_requests_.sent(clock_.now())), request.setTerm(term_);
  auto list = request.initOrders(static_cast<unsigned>(requests.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setTenant(requests[i].tenant), list[i].setAhead(static_cast<std::uint8_t>(requests[i].ahead));
    const auto units = static_cast<std::int32_t>(requests[i].units);
    list[i].setUnits(requests[i].returned_window < 0 ? units : -units),
        list[i].setWindow(requests[i].returned_window);
    list[i].setDemand(static_cast<float>(requests[i].demand));
  }
  link->second->link()->send(out.message());
}

void ControlClient::on_frame(const std::string& ip, wire::Frame::Reader frame) {
  if (stopped_) return;
  failing_since_.erase(ip);  // only a received frame proves that the link works
  switch (frame.which()) {
    case wire::Frame::CHANGES:
    case wire::Frame::SNAPSHOT_PART:
      if (follower_.on_frame(clock_.now(), ip, frame) == fleet::ChangeLog::Outcome::applied)
        on_log_advanced();
      break;
    case wire::Frame::CONFIRMED: on_confirmed(frame.getConfirmed()); break;
    case wire::Frame::FLEET: on_fleet(ip, frame.getFleet()); break;
    case wire::Frame::UNIT_GRANTS: on_unit_grants(ip, frame.getUnitGrants()); break;
    default: break;
  }
}

void ControlClient::on_unit_grants(const std::string& ip, wire::UnitGrants::Reader answer) {
  const auto sent = unit_requests_.of(answer.getCall());
  if (!sent || ip != holder_) return;
  if (answer.getRefused()) return listener_.on_grants_failed();
  decisions::UnitResponse grants;
  grants.term = answer.getTerm(), grants.sent = *sent;
  for (const auto grant : answer.getGrants()) {
    if (grant.getReturned()) continue;
    grants.grants.push_back({grant.getTenant().cStr(), grant.getWindow(), grant.getUnits(), grant.getLeft(),
                             from_millis(grant.getStartsMs()), from_millis(grant.getEndsMs()),
                             from_millis(grant.getMoreMs())});
  }
  listener_.on_grants(grants);
}

void ControlClient::request_records(const fleet::RecordRequests::Registries& registries) {
  if (registries.empty()) return;
  fleet::Outgoing out;
  auto request = out.frame().initRecordsRequest();
  if (record_requests_.complete()) {
    const auto& digests = records_.digests();
    auto list = request.initDigests(static_cast<unsigned>(digests.size()));
    for (unsigned i = 0; i < list.size(); ++i) list.set(i, digests[i]);
  }
  for (const auto& ip : registries) send_to(ip, out);
}

void ControlClient::apply_servers(const std::string& ip, wire::Fleet::Reader fleet_state) {
  const Time now = clock_.now();
  std::vector<fleet::Server> changed;
  for (const auto server : fleet_state.getServers()) {
    auto record = fleet::get(server, now);
    if (records_.update(now, record)) changed.push_back(std::move(record));
  }
  fleet::RecordRequests::Registries next;
  if (fleet_state.getComplete()) next = record_requests_.answered(ip);
  const bool first_known = fleet_state.getComplete() && records_.size() > 0;
  if (!changed.empty() || first_known) listener_.on_servers(changed, record_requests_.complete());
  request_records(next);
}

// Returns whether the set of live proxies has changed.
bool ControlClient::apply_members(const std::string& ip, wire::Fleet::Reader fleet_state) {
  if (fleet_state.getProxies().size() > 0) {
    std::set<std::string> proxies;
    for (const auto proxy : fleet_state.getProxies()) proxies.emplace(proxy.cStr());
    return proxies_.replace(ip, std::move(proxies));
  }
  fleet::MemberChange change;
  for (const auto proxy : fleet_state.getProxiesJoined()) change.joined.emplace_back(proxy.cStr());
  for (const auto proxy : fleet_state.getProxiesLeft()) change.left.emplace_back(proxy.cStr());
  return !change.empty() && proxies_.change(ip, change);
}

void ControlClient::on_fleet(const std::string& ip, wire::Fleet::Reader fleet_state) {
  apply_servers(ip, fleet_state);
  if (apply_members(ip, fleet_state)) listener_.on_proxies(proxies_.all());
  for (const auto registry : fleet_state.getRegistries())
    if (std::ranges::find(registries_, registry.cStr()) == registries_.end())
      registries_.emplace_back(registry.cStr());
  if (fleet_state.getRegistries().size() > 0) sort_registries();
  if (fleet_state.getTerm() > term_) {
    term_ = self_.term = fleet_state.getTerm(), holder_ = fleet_state.getHolder().cStr();
    choose_registries();
    // Responses of the previous holder are ignored.
    if (std::exchange(holder_reachable_, false)) listener_.on_holder_reachable(false);
    listener_.on_new_holder(term_);
    update_holder_reachability();
  }
  if (fleet_state.getPosition() > changes_.position() + 1) follower_.on_newer_position(ip);
}

}  // namespace docklift::proxy
