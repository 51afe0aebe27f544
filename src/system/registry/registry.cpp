#include "system/registry/registry.hpp"

#include <algorithm>

#include "system/program/program.hpp"

namespace docklift {
namespace {

using namespace std::chrono_literals;
using fleet::MergeResult;

constexpr Duration kTick = 100ms;
constexpr std::uint64_t kBarrierTicks = 5;     // between read barriers
constexpr std::uint64_t kFlushTicks = 4;       // between gossip rounds of refreshed records
constexpr std::uint64_t kSaveTicks = 10;       // between writes of changed records to the cache
constexpr std::uint64_t kDigestTicks = 50;     // between gossip rounds of digests of all records
constexpr double kMaxMissedHeartbeats = 4;     // before a server is considered unresponsive
constexpr Duration kMembersRenewal = 1s;       // from the first proxy until all have reconnected
constexpr Duration kStoreReplyGrace = 250ms;   // on stop, for replies of stores that are in flight
constexpr Duration kResponseFlushTime = 50ms;  // for responses to be written out

}  // namespace

Registry::Registry(boost::asio::io_context& io, const SystemSettings& settings,
                   std::unique_ptr<RecordCache> record_cache)
    : io_(io),
      settings_(settings),
      log_("registry"),
      follower_([this](const std::string& ip, fleet::Outgoing& out) { send_to_store(ip, out); },
                [this](const std::string& note) { log_.info(note); }),
      lease_(lease::Timing{}, settings.bind_ip, new_incarnation(), settings.bootstrap, clock_.now()),
      counts_({settings.bounds.quota_win_s, settings.bounds.quota_excess, settings.bounds.quota_slack}),
      record_cache_(std::move(record_cache)),
      update_timer_(io.get_executor()),
      receipt_timer_(io.get_executor()),
      timer_(io.get_executor()) {
  self_.id = settings.hostname, self_.zone = settings.zone, self_.address = settings.bind_ip;
  self_.role = fleet::Role::REGISTRY, self_.incarnation = new_incarnation(), self_.ready = true;
}

Registry::~Registry() {
  stopped_ = true;
  for (auto& [ip, d] : registries_) d->stop();
  for (auto& [ip, d] : stores_) d->stop();
}

std::vector<std::string> Registry::voter_ips() const {
  if (changes_.state().voters.empty()) return settings_.seed_ips();
  std::vector<std::string> addresses;
  for (const auto& voter : changes_.state().voters) addresses.push_back(voter.address);
  return addresses;
}

// Connected voters, including this node if it is one.
std::vector<std::string> Registry::linked_voters() const {
  auto linked = voter_ips();
  std::erase_if(linked, [&](const std::string& ip) {
    const auto d = registries_.find(ip);
    return ip != settings_.bind_ip && (d == registries_.end() || !d->second->is_connected());
  });
  return linked;
}

bool Registry::reaches_majority() const { return linked_voters().size() >= voter_ips().size() / 2 + 1; }

bool Registry::knows_members() const {
  const bool proxies_renewed = first_proxy_at_ && clock_.now() - *first_proxy_at_ >= kMembersRenewal;
  return reached_majority_ || received_members_ || proxies_renewed;
}

// Every known core node: voters, seeds, and registries that have announced themselves.
std::vector<std::string> Registry::core_ips() const {
  std::set<std::string> all;
  for (const auto& ip : voter_ips()) all.insert(ip);
  for (const auto& ip : settings_.seed_ips()) all.insert(ip);
  for (const auto& [id, n] : nodes_.all())
    if (n.role == fleet::Role::REGISTRY && !n.leaving) all.insert(n.address);
  all.insert(settings_.bind_ip);
  return {all.begin(), all.end()};
}

void Registry::start() {
  const auto ip = boost::asio::ip::make_address(settings_.bind_ip);
  listener_ = std::make_unique<LinkListener>(
      io_, Tcp::endpoint(ip, static_cast<std::uint16_t>(settings_.first_port + kRegistryPort)), LinkLimits{},
      [this](const std::shared_ptr<Link>& link) { accepted(link); });
  load_departures();
  load_records();
  dial_all();
  tick();
}

void Registry::dial_all() {
  for (const auto& ip : core_ips()) dial(ip);
}

void Registry::dial(const std::string& ip) {
  if (!stores_.contains(ip)) dial_store(ip);
  if (ip != settings_.bind_ip && !registries_.contains(ip)) dial_registry(ip);
}

Tcp::endpoint Registry::inner_endpoint(const std::string& ip, std::uint16_t offset) const {
  return {boost::asio::ip::make_address(ip), static_cast<std::uint16_t>(settings_.first_port + offset)};
}

void Registry::send_hello(Link& link) {
  fleet::Outgoing out;
  self_.received_at = clock_.now();
  fleet::put_hello(out, self_, clock_.now());
  link.send(out.message());
}

void Registry::dial_store(const std::string& ip) {
  const auto dialer = std::make_shared<Dialer>(
      io_, inner_endpoint(ip, kStorePort), LinkLimits{},
      [this, ip](wire::Frame::Reader frame) { on_store_frame(ip, frame); },
      [this, ip](const std::shared_ptr<Link>& link) {
        send_hello(*link);
        follower_.on_linked(ip);
        for (auto& [call, p] : pending_)
          if (p.store.empty()) send_pending(call, p);
        begin_read_barrier();
      },
      [this, ip](const Failure& why) {
        log_.debug(why.to_string());
        follower_.on_source_lost(clock_.now(), ip);
        for (auto& [call, p] : pending_)
          if (p.store == ip) p.store.clear(), send_pending(call, p);
      });
  stores_[ip] = dialer;
  dialer->start();
}

void Registry::dial_registry(const std::string& ip) {
  const auto dialer = std::make_shared<Dialer>(
      io_, inner_endpoint(ip, kRegistryPort), LinkLimits{},
      [this, ip](wire::Frame::Reader frame) { on_peer_frame(ip, frame); },
      [this](const std::shared_ptr<Link>& link) {
        send_hello(*link);
        send_all_records(*link);
        repeat_receipt_round(*link);
      },
      [this](const Failure& why) { log_.debug(why.to_string()); });
  registries_[ip] = dialer;
  dialer->start();
}

void Registry::accepted(const std::shared_ptr<Link>& link) {
  const std::weak_ptr<Link> weak = link;
  link->start(
      [this, weak](wire::Frame::Reader frame) {
        if (const auto l = weak.lock(); l && !stopped_) on_frame(l, frame);
      },
      [this, weak](const Failure&) {
        if (const auto l = weak.lock()) peers_.erase(l.get()), proxies_.erase(l.get());
      });
}

void Registry::on_frame(const std::shared_ptr<Link>& link, wire::Frame::Reader frame) {
  const Time now = clock_.now();
  switch (frame.which()) {
    case wire::Frame::HELLO: on_hello(link, frame.getHello()); break;
    case wire::Frame::FOLLOW: {
      const auto p = proxies_.find(link.get());
      if (p == proxies_.end()) break;
      feed_.on_follow(p->second.changes, frame.getFollow());
      send_changes(p->second);
      break;
    }
    case wire::Frame::SNAPSHOT_PART_REQUEST: {
      if (!confirmed_once()) break;
      fleet::Outgoing out;
      feed_.answer(now, frame.getSnapshotPartRequest(), changes_, out);
      link->send(out.message());
      break;
    }
    case wire::Frame::CONFIRM: {
      if (const auto p = proxies_.find(link.get()); p != proxies_.end())
        on_confirm(p->second, frame.getConfirm());
      break;
    }
    case wire::Frame::RECORDS_REQUEST: {
      if (const auto p = proxies_.find(link.get()); p != proxies_.end())
        send_differing_servers(p->second, frame.getRecordsRequest().getDigests());
      break;
    }
    case wire::Frame::UNIT_REQUEST: {
      if (const auto p = proxies_.find(link.get()); p != proxies_.end())
        on_unit_request(p->second, frame.getUnitRequest());
      break;
    }
    case wire::Frame::GOSSIP: on_gossip(frame.getGossip(), link); break;
    case wire::Frame::LEASE_REQUEST: on_lease_request(*link, frame.getLeaseRequest()); break;
    default: break;
  }
}

void Registry::on_hello(const std::shared_ptr<Link>& link, wire::Node::Reader hello) {
  const Time now = clock_.now();
  if (hello.getReadsCompressed()) link->compress();
  auto node = fleet::get(hello, now);
  node.received_at = now;
  lease_.observe_term(node.term);
  if (node.role == fleet::Role::PROXY && !proxies_.contains(link.get())) {
    auto& p = proxies_[link.get()] = {link, node.id, {}, {}, false, false};
    if (!hello.getRequestsRecords()) send_differing_servers(p, {});
    members_changed_ = true;
    if (!first_proxy_at_) first_proxy_at_ = now;
  }
  if (node.role == fleet::Role::REGISTRY && !peers_.contains(link.get())) {
    peers_[link.get()] = node.address;
    dial(node.address);
  }
  const auto merged = nodes_.merge(node);
  if (merged == MergeResult::changed) members_changed_ = true, gossip({}, {node});
  if (merged == MergeResult::refreshed) refreshed_nodes_[node.id] = node;
}

void Registry::on_lease_request(Link& link, wire::LeaseRequest::Reader request) {
  const auto reply = lease_.on_request(
      clock_.now(),
      {request.getTerm(), request.getHolder().cStr(), request.getSuccessor().cStr(), request.getRelease(),
       request.getHolds(), request.getLife(), request.getMembership(), request.getRound()});
  fleet::Outgoing out;
  auto to = out.frame().initLeaseReply();
  to.setTerm(reply.term), to.setGranted(reply.granted), to.setBlank(reply.provisional);
  to.setHolder(reply.holder), to.setMembership(reply.membership), to.setRound(reply.round);
  link.send(out.message());
  check_lease();
}

void Registry::on_peer_frame(const std::string& ip, wire::Frame::Reader frame) {
  if (frame.isReceipt()) return on_receipt(ip, frame.getReceipt());
  if (stopped_) return;
  if (frame.isLeaseReply()) {
    const auto a = frame.getLeaseReply();
    lease_.on_reply(
        clock_.now(), ip,
        {a.getTerm(), a.getGranted(), a.getBlank(), a.getHolder().cStr(), a.getMembership(), a.getRound()});
    check_lease();
  } else if (frame.isGossip()) {
    on_gossip(frame.getGossip(), nullptr);
  }
}

// ---- quota units ----------------------------------------------------------------------------------

void Registry::on_unit_request(Proxy& p, wire::UnitRequest::Reader request) {
  const Time now = clock_.now();
  check_lease();
  fleet::Outgoing out;
  auto to = out.frame().initUnitGrants();
  to.setCall(request.getCall());
  const auto& c = changes_.configuration();
  if (!lease_.holds(now) || !c) {  // if the lease ends from here on, the reply arrives late and is discarded
    to.setRefused(true);
    return p.link->send(out.message());
  }
  to.setTerm(lease_.held_term());
  const auto items = request.getOrders();
  auto list = to.initGrants(items.size());
  for (unsigned i = 0; i < items.size(); ++i) {
    const auto a = items[i];
    const std::string tenant = a.getTenant().cStr();
    const auto known = std::ranges::find(c->tenants, tenant, &configuration::Tenant::name);
    const counts::Quota quota = known == c->tenants.end() ? counts::Quota{}
                                                          : counts::Quota{known->per_s, known->burst};
    list[i].setTenant(tenant);
    if (a.getUnits() < 0) {
      list[i].setReturned(true);
      if (request.getTerm() == lease_.held_term())
        counts_.hand_back(now, tenant, quota, a.getWindow(), static_cast<std::uint32_t>(-a.getUnits()));
      continue;
    }
    const auto g = counts_.add(now, tenant, quota, a.getAhead(), static_cast<std::uint32_t>(a.getUnits()),
                               p.id, std::clamp<double>(a.getDemand(), 0, 1e6));
    list[i].setWindow(g.window), list[i].setUnits(g.units), list[i].setLeft(g.remaining);
    list[i].setStartsMs(
        static_cast<std::int32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(g.starts).count()));
    list[i].setEndsMs(millis(g.ends)),
        list[i].setMoreMs(millis(g.exhausted_for + std::chrono::microseconds(999)));
  }
  p.link->send(out.message());
}

void Registry::send_lease_request(const lease::Request& request) {
  to_registries([&](wire::Frame::Builder& frame) {
    auto a = frame.initLeaseRequest();
    a.setTerm(request.term), a.setHolder(request.holder), a.setSuccessor(request.successor),
        a.setRelease(request.release);
    a.setHolds(request.holds), a.setLife(request.incarnation);
    a.setMembership(request.membership), a.setRound(request.round);
  });
}

// Starts counting units when this node acquires the lease, and announces the lease holder to the proxies.
void Registry::check_lease() {
  const Time now = clock_.now();
  if (lease_.holds(now) && counting_term_ != lease_.held_term()) {
    counting_term_ = lease_.held_term();
    counts_.begin(now, lease_.is_first_holder());
    log_.info("holds the counts, term " + std::to_string(counting_term_));
  }
  if (lease_.term() == announced_term_) return;
  announced_term_ = lease_.term();
  fleet::Outgoing out;
  fill_fleet_header(out.frame().initFleet());
  const auto frame = std::make_shared<EncodedFrame>(out.message());
  for (auto& [link, p] : proxies_) p.link->send(frame);
}

// ---- timers and shutdown --------------------------------------------------------------------------

void Registry::tick() {
  timer_.expires_after(kTick);
  timer_.async_wait(lifetime_.bind([this](boost::system::error_code failed_wait) {
    if (failed_wait || stopped_) return;
    on_tick(clock_.now());
    tick();
  }));
}

void Registry::on_tick(Time now) {
  ++ticks_;
  keep_lease(now);
  if (ticks_ % kBarrierTicks == 0) {
    follower_.check_progress(now);
    begin_read_barrier();
  }
  feed_.expire(now);
  if (ticks_ % kFlushTicks == 0) flush();
  if (ticks_ % kSaveTicks == 0) save_records();
  if (ticks_ % kDigestTicks == 0) {
    gossip_digests();
    counts_.sweep(now);
    forget_departures();
  }
  expire_servers(now);
  expire_members(now);
  expire_calls(now);
}

void Registry::keep_lease(Time now) {
  const auto linked = linked_voters();
  if (reaches_majority()) reached_majority_ = true;
  lease_.observe_voters(now, {changes_.state().membership, voter_ips()}, confirmation_.at());
  if (const auto request = lease_.tick(now, new_incarnation() / 1'000'000, linked))
    send_lease_request(*request);
  check_lease();
}

// Whether this node is not connected to a registry of the present core. Machines that were replaced are no
// part of it, though they are still dialed.
bool Registry::is_isolated() const {
  std::set<std::string> core;
  for (const auto& ip : voter_ips()) core.insert(ip);
  for (const auto& [id, n] : nodes_.all())
    if (n.role == fleet::Role::REGISTRY && !n.leaving) core.insert(n.address);
  core.erase(settings_.bind_ip);
  return std::ranges::any_of(core, [&](const std::string& ip) {
    const auto dialer = registries_.find(ip);
    return dialer == registries_.end() || !dialer->second->is_connected();
  });
}

// Only a registry that is connected to all others can distinguish an unresponsive server from its own
// isolation.
void Registry::expire_servers(Time now) {
  if (is_isolated() || last_isolated_ == Time{}) last_isolated_ = now;
  const auto server_timeout = from_millis(kMaxMissedHeartbeats * settings_.heartbeat_ms);
  auto expired = servers_.expire(now, now - last_isolated_ > server_timeout ? server_timeout : Duration{},
                                 fleet::kDepartedRetention);
  if (expired.empty()) return;
  for (auto& s : expired) s.phase = fleet::Phase::GONE, log_.info("server " + s.id + " is silent");
  queue_server_updates(expired);
}

void Registry::expire_members(Time now) {
  const auto expired = nodes_.expire(now, kMemberLease);
  for (const auto& n : expired) log_.info("member " + n.id + " has not renewed");
  if (!expired.empty()) members_changed_ = true;
  if (std::exchange(members_changed_, false)) update_members();
}

// Fails proposals that no store has answered, and calls that wait for a log position.
void Registry::expire_calls(Time now) {
  fail_expired_calls(now, "no store has answered");
  answer_departures(now);
}

void Registry::fail_expired_calls(Time now, const std::string& why) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (now < it->second.deadline) {
      ++it;
      continue;
    }
    const auto done = std::move(it->second.done);
    it = pending_.erase(it);
    done(503, why, 0);
  }
  std::vector<std::function<void(bool)>> timed_out;
  std::erase_if(position_waiters_, [&](auto& w) {
    if (now < std::get<1>(w)) return false;
    timed_out.push_back(std::move(std::get<2>(w)));
    return true;
  });
  for (const auto& done : timed_out) done(false);
}

void Registry::stop(std::function<void()> ended) {
  if (stopped_) return;
  const Time now = clock_.now();
  std::string successor;
  for (const auto& ip : voter_ips()) {
    const auto d = registries_.find(ip);
    if (successor.empty() && d != registries_.end() && d->second->is_connected()) successor = ip;
  }
  if (const auto request = lease_.release(now, successor)) send_lease_request(*request);
  self_.leaving = true, self_.ready = false;
  flush();
  update_timer_.cancel();
  if (!server_updates_.empty()) send_server_updates();
  begin_receipt_round();
  stopped_ = true;
  timer_.expires_after(kStoreReplyGrace);
  timer_.async_wait(lifetime_.bind([this, ended = std::move(ended)](boost::system::error_code) {
    fail_expired_calls(Time::max(), "this node ends");
    answer_departures(Time::max());
    finish_stop(ended);
  }));
}

// Closes all links once the last responses have been written.
void Registry::finish_stop(const std::function<void()>& ended) {
  timer_.expires_after(kResponseFlushTime);
  timer_.async_wait(lifetime_.bind([this, ended](boost::system::error_code) {
    listener_->close();
    for (auto& [ip, d] : registries_) d->stop();
    for (auto& [ip, d] : stores_) d->stop();
    for (auto& [link, p] : proxies_) p.link->close();
    ended();
  }));
}

}  // namespace docklift
