// How a registry handles the records of servers and members: receiving them, exchanging them with other
// registries, sending them to proxies, and caching them across restarts.
#include <capnp/serialize.h>

#include <algorithm>
#include <cstring>

#include "system/registry/registry.hpp"

namespace docklift {
namespace {

using namespace std::chrono_literals;
constexpr Duration kUpdateBatchDelay = 20ms;

void put(capnp::List<capnp::Text>::Builder to, const auto& texts) {
  unsigned i = 0;
  for (const std::string& text : texts) to.set(i++, text);
}

}  // namespace

using fleet::MergeResult;

void Registry::on_heartbeat(const fleet::Server& server) {
  const auto merged = servers_.merge(server);
  const auto* s = servers_.find(server.id);
  if (merged == MergeResult::changed) {
    gossip({*s}, {});
    queue_server_updates({*s});
  } else if (merged == MergeResult::refreshed) {
    refreshed_servers_[s->id] = *s;
    if (resend_on_heartbeat_.erase(s->id) > 0) queue_server_updates({*s});
  }
}

void Registry::on_gossip(wire::Gossip::Reader g, const std::shared_ptr<Link>& answer_on) {
  const Time now = clock_.now();
  std::vector<fleet::Server> changed;
  for (const auto r : g.getServers()) {
    const auto s = fleet::get(r, now);
    const auto merged = servers_.merge(s);
    if (merged == MergeResult::changed ||
        (merged == MergeResult::refreshed && resend_on_heartbeat_.erase(s.id) > 0))
      changed.push_back(*servers_.find(s.id));
  }
  for (const auto r : g.getNodes()) {
    const auto n = fleet::get(r, now);
    if (n.role == fleet::Role::PROXY) received_members_ = true;
    if (now - n.received_at <= kMemberLease && nodes_.merge(n) == MergeResult::changed) {
      members_changed_ = true;
      if (n.role == fleet::Role::REGISTRY) dial(n.address);
    }
  }
  if (!changed.empty()) queue_server_updates(changed);
  relay_departures(changed);
  if (g.getReceipt() != 0 && answer_on) answer_receipt_request(g, answer_on);
  if (const auto digests = g.getDigests(); digests.size() == kDigestRanges && answer_on) {
    const auto own = servers_.digests(kDigestRanges);
    std::vector<const fleet::Server*> differ;
    for (const auto& [id, s] : servers_.all())
      if (const auto range = fleet::Servers::range_of(id, kDigestRanges);
          !s.from_cache && own[range] != digests[static_cast<unsigned>(range)])
        differ.push_back(&s);
    if (differ.empty()) return;
    fleet::Outgoing out;
    auto list = out.frame().initGossip().initServers(static_cast<unsigned>(differ.size()));
    for (unsigned i = 0; i < list.size(); ++i) fleet::put(list[i], *differ[i], now);
    answer_on->send(out.message());
  }
}

void Registry::gossip(const std::vector<fleet::Server>& servers, const std::vector<fleet::Node>& nodes) {
  const Time now = clock_.now();
  to_registries([&](wire::Frame::Builder& frame) {
    auto g = frame.initGossip();
    auto s = g.initServers(static_cast<unsigned>(servers.size()));
    for (unsigned i = 0; i < s.size(); ++i) fleet::put(s[i], servers[i], now);
    auto n = g.initNodes(static_cast<unsigned>(nodes.size()));
    for (unsigned i = 0; i < n.size(); ++i) fleet::put(n[i], nodes[i], now);
  });
}

// Sends a registry all received records. Records known only from the cache may be out of date.
void Registry::send_all_records(Link& link) {
  fleet::Outgoing out;
  auto g = out.frame().initGossip();
  std::vector<const fleet::Server*> received;
  for (const auto& [id, s] : servers_.all())
    if (!s.from_cache) received.push_back(&s);
  auto servers = g.initServers(static_cast<unsigned>(received.size()));
  unsigned i = 0;
  for (const auto* s : received) fleet::put(servers[i++], *s, clock_.now());
  auto nodes = g.initNodes(static_cast<unsigned>(nodes_.all().size()));
  i = 0;
  for (const auto& [id, n] : nodes_.all()) fleet::put(nodes[i++], n, clock_.now());
  link.send(out.message());
}

void Registry::gossip_digests() {
  to_registries([&](wire::Frame::Builder& frame) {
    const auto digests = servers_.digests(kDigestRanges);
    auto list = frame.initGossip().initDigests(static_cast<unsigned>(digests.size()));
    for (unsigned i = 0; i < list.size(); ++i) list.set(i, digests[i]);
  });
}

// ---- updates to proxies ----------------------------------------------------------------------------

void Registry::fill_fleet_header(wire::Fleet::Builder to) {
  to.setHolder(lease_.holder());
  to.setTerm(lease_.term());
  to.setPosition(confirmed_once() ? changes_.position() : 0);
}

// Updates within kUpdateBatchDelay are sent as one message.
void Registry::queue_server_updates(const std::vector<fleet::Server>& changed) {
  servers_changed_ = true;
  const bool scheduled = !server_updates_.empty();
  for (const auto& server : changed) server_updates_.insert_or_assign(server.id, server);
  if (scheduled || server_updates_.empty()) return;
  update_timer_.expires_after(kUpdateBatchDelay);
  update_timer_.async_wait(lifetime_.bind([this](boost::system::error_code failed_wait) {
    if (!failed_wait) send_server_updates();
  }));
}

void Registry::send_server_updates() {
  const Time now = clock_.now();
  const auto updates = std::exchange(server_updates_, {});
  fleet::Outgoing out;
  auto f = out.frame().initFleet();
  fill_fleet_header(f);
  auto list = f.initServers(static_cast<unsigned>(updates.size()));
  unsigned i = 0;
  for (const auto& [id, server] : updates) fleet::put(list[i++], server, now);
  const auto frame = std::make_shared<EncodedFrame>(out.message());
  for (auto& [link, p] : proxies_) p.link->send(frame);
}

// Sends all servers of the ranges whose digests here differ from `digests`; of all ranges if there are no
// digests. Digests don't hold the servers that have left, so all of these are sent: another registry may not
// know yet that they have.
void Registry::send_differing_servers(Proxy& p, capnp::List<std::uint64_t>::Reader digests) {
  fleet::RecordDigests own;
  for (const auto& [id, s] : servers_.all())
    if (s.phase != fleet::Phase::GONE) own.toggle(id, s.address, s.phase);
  const auto differs = [&](const std::string& id) {
    const auto range = fleet::Servers::range_of(id, fleet::kRecordRanges);
    return digests.size() != fleet::kRecordRanges ||
           own.all()[range] != digests[static_cast<unsigned>(range)];
  };
  std::vector<const fleet::Server*> differing;
  for (const auto& [id, s] : servers_.all())
    if (s.phase == fleet::Phase::GONE || differs(id)) differing.push_back(&s);
  fleet::Outgoing out;
  auto f = out.frame().initFleet();
  fill_fleet_header(f);
  f.setComplete(true);
  auto list = f.initServers(static_cast<unsigned>(differing.size()));
  for (unsigned i = 0; i < list.size(); ++i) fleet::put(list[i], *differing[i], clock_.now());
  p.link->send(out.message());
}

void Registry::update_members() {
  std::set<std::string> proxies;
  std::vector<std::string> registries{settings_.bind_ip};
  for (const auto& [id, n] : nodes_.all()) {
    if (n.role == fleet::Role::PROXY) proxies.insert(n.zone + "/" + id);
    if (n.role == fleet::Role::REGISTRY && !n.leaving && n.address != settings_.bind_ip)
      registries.push_back(n.address);
  }
  const auto change = announced_proxies_.update(std::move(proxies));
  const bool registries_changed = std::exchange(announced_registries_, registries) != registries;
  if (!change.empty() || registries_changed) send_member_change(change);
  send_all_members();
}

void Registry::send_member_change(const fleet::MemberChange& change) {
  fleet::Outgoing out;
  auto f = out.frame().initFleet();
  fill_fleet_header(f);
  put(f.initProxiesJoined(static_cast<unsigned>(change.joined.size())), change.joined);
  put(f.initProxiesLeft(static_cast<unsigned>(change.left.size())), change.left);
  put(f.initRegistries(static_cast<unsigned>(announced_registries_.size())), announced_registries_);
  const auto frame = std::make_shared<EncodedFrame>(out.message());
  for (auto& [link, p] : proxies_)
    if (p.members_sent) p.link->send(frame);
}

// Sends the complete membership to proxies that have not received it yet.
void Registry::send_all_members() {
  if (std::ranges::all_of(proxies_, [](const auto& p) { return p.second.members_sent; })) return;
  fleet::Outgoing out;
  auto f = out.frame().initFleet();
  fill_fleet_header(f);
  put(f.initProxies(static_cast<unsigned>(announced_proxies_.all().size())), announced_proxies_.all());
  put(f.initRegistries(static_cast<unsigned>(announced_registries_.size())), announced_registries_);
  const auto frame = std::make_shared<EncodedFrame>(out.message());
  for (auto& [link, p] : proxies_)
    if (!std::exchange(p.members_sent, true)) p.link->send(frame);
}

std::string Registry::encode_records(const std::vector<const fleet::Server*>& records) {
  fleet::Outgoing out;
  auto list = out.frame().initGossip().initServers(static_cast<unsigned>(records.size()));
  for (unsigned i = 0; i < list.size(); ++i) fleet::put(list[i], *records[i], clock_.now());
  const auto words = capnp::messageToFlatArray(out.message());
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

std::vector<fleet::Server> Registry::decode_records(const std::string& text) {
  std::vector<fleet::Server> records;
  if (text.empty() || text.size() % sizeof(capnp::word) != 0) return records;
  std::vector<capnp::word> words(text.size() / sizeof(capnp::word));
  std::memcpy(words.data(), text.data(), text.size());
  try {
    capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), words.size()));
    for (const auto r : reader.getRoot<wire::Frame>().getGossip().getServers())
      records.push_back(fleet::get(r, clock_.now()));
  } catch (const kj::Exception& x) {
    log_.warn(std::string("ignoring the record cache: ") + x.getDescription().cStr());
  }
  return records;
}

// Caches the known servers for the next start. Heartbeats refresh them within seconds; until then the cached
// records are used.
void Registry::save_records() {
  if (!record_cache_ || !std::exchange(servers_changed_, false)) return;
  std::vector<const fleet::Server*> records;
  for (const auto& [id, s] : servers_.all()) records.push_back(&s);
  record_cache_->put("servers", encode_records(records));
}

void Registry::load_records() {
  const auto text = record_cache_ ? record_cache_->get("servers") : std::nullopt;
  for (auto& s : decode_records(text.value_or(""))) {
    s.received_at = clock_.now(), s.from_cache = true;
    servers_.merge(s);
  }
  log_.info(std::to_string(servers_.all().size()) + " servers loaded from the record cache");
}

void Registry::flush() {
  std::vector<fleet::Server> servers;
  std::vector<fleet::Node> nodes;
  for (auto& [id, s] : refreshed_servers_) servers.push_back(std::move(s));
  for (auto& [id, n] : refreshed_nodes_) nodes.push_back(std::move(n));
  refreshed_servers_.clear(), refreshed_nodes_.clear();
  self_.stamp++, self_.received_at = clock_.now();
  nodes_.merge(self_);
  nodes.push_back(self_);
  gossip(servers, nodes);
}

}  // namespace docklift
