#include "system/proxy/control_client.hpp"

#include <algorithm>

#include "system/program/program.hpp"

namespace docklift::proxy {
namespace {
using namespace std::chrono_literals;
constexpr Duration kRenew = 600ms;
constexpr std::size_t kTokens = 64;      // that may still be answered: some half a minute's
constexpr std::size_t kUnitCalls = 256;  // at once; an answer to an older one is void
constexpr std::size_t kLinks = 3;        // registries that one proxy is linked to
constexpr Duration kGivenUp = 2000ms;    // without a link for so long: another registry is linked instead
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
      confirm_tokens_(kTokens),
      unit_calls_(kUnitCalls),
      timer_(io.get_executor()) {
  self_.id = settings.hostname, self_.zone = settings.zone, self_.role = fleet::Role::PROXY;
  self_.life = draw_life();
  if (const auto http = settings.listen.find("http"); http != settings.listen.end())
    self_.address = http->second;
}

ControlClient::~ControlClient() { stop(); }

void ControlClient::start() {
  registries_ = settings_.seed_ips();
  order_registries();
  choose_registries();
  tick();
}

void ControlClient::stop() {
  stopped_ = true;
  timer_.cancel();
  for (auto& [ip, d] : links_) d->stop();
}

// Each proxy has an order of its own, so that they spread over the registries.
void ControlClient::order_registries() {
  registries_ = fleet::rendezvous_order(settings_.hostname, std::move(registries_));
}

// Links stay where they are; missing ones are made up for, the holder of the counts is always linked. One that has
// failed for long counts as missing, and is left when enough others stand.
void ControlClient::choose_registries() {
  for (const auto& ip : registries_)
    if (standing_links() < kLinks) dial(ip);
  if (!holder_.empty()) dial(holder_);
  leave_failing();
}

std::size_t ControlClient::standing_links() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(links_, [&](const auto& link) { return !fails_for_long(link.first); }));
}

bool ControlClient::fails_for_long(const std::string& ip) const {
  const auto since = failing_since_.find(ip);
  return since != failing_since_.end() && clock_.now() - since->second >= kGivenUp;
}

void ControlClient::leave_failing() {
  if (standing_links() < kLinks) return;
  for (const auto& ip : registries_) {
    const auto link = links_.find(ip);
    if (link == links_.end() || ip == holder_ || !fails_for_long(ip)) continue;
    link->second->stop();
    links_.erase(link);
    failing_since_.erase(ip);
  }
}

void ControlClient::dial(const std::string& ip) {
  if (links_.contains(ip) || stopped_) return;
  const Tcp::endpoint to(boost::asio::ip::make_address(ip),
                         static_cast<std::uint16_t>(settings_.first_port + kRegistryPort));
  const auto dialer = std::make_shared<Dialer>(
      io_, to, LinkLimits{}, [this, ip](wire::Frame::Reader frame) { on_frame(ip, frame); },
      [this, ip](const std::shared_ptr<Link>& link) {
        fleet::Outgoing out;
        self_.stamp++, self_.heard = clock_.now();
        fleet::put_hello(out, self_, clock_.now());
        link->send(out.message());
        follower_.on_linked(ip);
        request_confirmation(*link, new_confirm_token());
        request_records(record_requests_.linked(clock_.now(), ip));
        check_holder();
      },
      [this, ip](const Failure& why) {
        log_.debug(why.shown());
        follower_.on_lost(clock_.now(), ip);
        failing_since_.try_emplace(ip, clock_.now());
        if (proxies_.forget(ip)) listener_.on_proxies(proxies_.all());
        request_records(record_requests_.lost(clock_.now(), ip));
        check_holder();
      });
  links_[ip] = dialer;
  dialer->start();
}

void ControlClient::send_to(const std::string& ip, fleet::Outgoing& out) {
  const auto d = links_.find(ip);
  if (d != links_.end() && d->second->up()) d->second->link()->send(out.message());
}

void ControlClient::set_state(bool ready, bool leaving) {
  if (self_.ready == ready && self_.leaving == leaving) return;
  self_.ready = ready, self_.leaving = leaving;
  renew();
}

void ControlClient::renew() {
  fleet::Outgoing out;
  self_.stamp++, self_.heard = clock_.now();
  fleet::put_hello(out, self_, clock_.now());
  const auto token = new_confirm_token();
  for (auto& [ip, d] : links_) {
    if (!d->up()) continue;
    d->link()->send(out.message());
    request_confirmation(*d->link(), token);
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

// As of the moment at which the token was sent, what is here was the newest.
void ControlClient::on_confirmed(wire::Confirmed::Reader confirmed) {
  const auto sent = confirm_tokens_.of(confirmed.getToken());
  if (!sent) return;
  const auto position = confirmed.getPosition();
  follower_.on_core_at(clock_.now(), position);
  tell_lag();
  if (!confirmation_.answered(*sent, position, changes_.position()))
    return follower_.on_core_behind(position);
  tell_confirmed();
}

void ControlClient::on_log_advanced() {
  confirmation_.advanced(changes_.position());
  tell_lag();
  listener_.on_changes(changes_);
  tell_confirmed();
}

void ControlClient::tell_confirmed() {
  const auto at = confirmation_.at();
  if (!at) return;
  if (!std::exchange(confirmed_once_, true))
    log_.info("change " + std::to_string(changes_.position()) + " is confirmed as the newest of the core");
  listener_.on_confirmed(*at);
}

void ControlClient::tell_lag() { listener_.on_behind(follower_.behind_since(clock_.now()).has_value()); }

void ControlClient::tick() {
  timer_.expires_after(kRenew);
  timer_.async_wait([this](boost::system::error_code failed_wait) {
    if (failed_wait || stopped_) return;
    renew();
    choose_registries();
    follower_.watch(clock_.now());
    request_records(record_requests_.tick(clock_.now()));
    tell_lag();
    tick();
  });
}

void ControlClient::check_holder() {
  const auto d = links_.find(holder_);
  const bool reachable = !holder_.empty() && d != links_.end() && d->second->up();
  if (std::exchange(reachable_, reachable) != reachable) listener_.on_holder(reachable);
}

void ControlClient::request_units(const std::vector<decisions::UnitRequest>& orders) {
  const auto d = links_.find(holder_);
  if (d == links_.end() || !d->second->up()) return listener_.on_grants_failed();
  fleet::Outgoing out;
  auto to = out.frame().initUnitRequest();
  to.setCall(unit_calls_.sent(clock_.now())), to.setTerm(term_);
  auto list = to.initOrders(static_cast<unsigned>(orders.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setTenant(orders[i].tenant), list[i].setAhead(static_cast<std::uint8_t>(orders[i].ahead));
    const auto units = static_cast<std::int32_t>(orders[i].units);
    list[i].setUnits(orders[i].returned_window < 0 ? units : -units),
        list[i].setWindow(orders[i].returned_window);
    list[i].setDemand(static_cast<float>(orders[i].demand));
  }
  d->second->link()->send(out.message());
}

void ControlClient::on_frame(const std::string& ip, wire::Frame::Reader frame) {
  if (stopped_) return;
  failing_since_.erase(ip);  // a link that only came up has shown nothing yet
  switch (frame.which()) {
    case wire::Frame::CHANGES:
    case wire::Frame::SNAPSHOT_PART:
      if (follower_.on_frame(clock_.now(), ip, frame) == fleet::ChangeLog::News::taken) on_log_advanced();
      break;
    case wire::Frame::CONFIRMED: on_confirmed(frame.getConfirmed()); break;
    case wire::Frame::FLEET: on_fleet(ip, frame.getFleet()); break;
    case wire::Frame::UNIT_GRANTS: on_unit_grants(ip, frame.getUnitGrants()); break;
    default: break;
  }
}

void ControlClient::on_unit_grants(const std::string& ip, wire::UnitGrants::Reader answer) {
  const auto sent = unit_calls_.of(answer.getCall());
  if (!sent || ip != holder_) return;
  if (answer.getRefused()) return listener_.on_grants_failed();
  decisions::UnitResponse grants;
  grants.term = answer.getTerm(), grants.sent = *sent;
  for (const auto g : answer.getGrants()) {
    if (g.getEndsMs() == 0) continue;  // a hand-back has no answer
    grants.grants.push_back({g.getTenant().cStr(), g.getWindow(), g.getUnits(), g.getLeft(),
                             from_millis(g.getStartsMs()), from_millis(g.getEndsMs()),
                             from_millis(g.getMoreMs())});
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

void ControlClient::take_servers(const std::string& ip, wire::Fleet::Reader f) {
  const Time now = clock_.now();
  std::vector<fleet::Server> changed;
  for (const auto s : f.getServers()) {
    changed.push_back(fleet::get(s, now));
    records_.take(changed.back());
  }
  fleet::RecordRequests::Registries next;
  if (f.getComplete()) next = record_requests_.answered(ip);
  const bool first_known = f.getComplete() && records_.size() > 0;
  if (!changed.empty() || first_known) listener_.on_servers(changed, record_requests_.complete());
  request_records(next);
}

// Whether the live proxies have changed.
bool ControlClient::take_members(const std::string& ip, wire::Fleet::Reader f) {
  if (f.getProxies().size() > 0) {
    std::set<std::string> proxies;
    for (const auto p : f.getProxies()) proxies.emplace(p.cStr());
    return proxies_.replace(ip, std::move(proxies));
  }
  fleet::MemberChange change;
  for (const auto p : f.getProxiesJoined()) change.joined.emplace_back(p.cStr());
  for (const auto p : f.getProxiesLeft()) change.left.emplace_back(p.cStr());
  return !change.empty() && proxies_.change(ip, change);
}

void ControlClient::on_fleet(const std::string& ip, wire::Fleet::Reader f) {
  take_servers(ip, f);
  if (take_members(ip, f)) listener_.on_proxies(proxies_.all());
  for (const auto r : f.getRegistries())
    if (std::ranges::find(registries_, r.cStr()) == registries_.end()) registries_.emplace_back(r.cStr());
  if (f.getRegistries().size() > 0) order_registries();
  if (f.getTerm() > term_) {
    term_ = self_.term = f.getTerm(), holder_ = f.getHolder().cStr();
    choose_registries();
    // What was asked of the one before gets no answer that counts.
    if (std::exchange(reachable_, false)) listener_.on_holder(false);
    listener_.on_new_holder(term_);
    check_holder();
  }
  if (f.getPosition() > changes_.position() + 1) follower_.on_newer(ip);
}

}  // namespace docklift::proxy
