// A registry's records of servers and members: what it hears, what it tells other registries and proxies, and what
// outlives a restart.
#include <capnp/serialize.h>

#include <algorithm>
#include <cstring>

#include "system/registry/registry.hpp"

namespace docklift {
namespace {

using namespace std::chrono_literals;
constexpr Duration kNewsDelay = 20ms;

void put(capnp::List<capnp::Text>::Builder to, const auto& texts) {
  unsigned i = 0;
  for (const std::string& text : texts) to.set(i++, text);
}

}  // namespace

using fleet::MergeResult;

void Registry::heard(const fleet::Server& server) {
  const auto merged = servers_.merge(server);
  const auto* s = servers_.find(server.id);
  if (!s) return;
  if (merged == MergeResult::changed) {
    gossip({*s}, {});
    tell_servers({*s});
  } else if (merged == MergeResult::refreshed) {
    heard_servers_[s->id] = *s;
    if (retold_.erase(s->id) > 0) tell_servers({*s});
  }
}

void Registry::on_gossip(wire::Gossip::Reader g, const std::shared_ptr<Link>& answer_on) {
  const Time now = clock_.now();
  std::vector<fleet::Server> changed;
  for (const auto r : g.getServers()) {
    const auto s = fleet::get(r, now);
    const auto merged = servers_.merge(s);
    if (merged == MergeResult::changed || (merged == MergeResult::refreshed && retold_.erase(s.id) > 0))
      if (const auto* known = servers_.find(s.id)) changed.push_back(*known);
  }
  for (const auto r : g.getNodes()) {
    const auto n = fleet::get(r, now);
    if (n.role == fleet::Role::PROXY) merged_members_ = true;
    if (now - n.received_at <= kLease && nodes_.merge(n) == MergeResult::changed) {
      members_changed_ = true;
      if (n.role == fleet::Role::REGISTRY) dial(n.address);
    }
  }
  if (!changed.empty()) tell_servers(changed);
  if (const auto digests = g.getDigests(); digests.size() == kRanges && answer_on) {
    const auto own = servers_.digests(kRanges);
    std::vector<const fleet::Server*> differ;
    for (const auto& [id, s] : servers_.all())
      if (const auto range = fleet::Servers::range_of(id, kRanges);
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

// To a registry: all that was heard. What only the cache tells may be long gone.
void Registry::send_all_records(Link& link) {
  fleet::Outgoing out;
  auto g = out.frame().initGossip();
  std::vector<const fleet::Server*> heard;
  for (const auto& [id, s] : servers_.all())
    if (!s.from_cache) heard.push_back(&s);
  auto servers = g.initServers(static_cast<unsigned>(heard.size()));
  unsigned i = 0;
  for (const auto* s : heard) fleet::put(servers[i++], *s, clock_.now());
  auto nodes = g.initNodes(static_cast<unsigned>(nodes_.all().size()));
  i = 0;
  for (const auto& [id, n] : nodes_.all()) fleet::put(nodes[i++], n, clock_.now());
  link.send(out.message());
}

void Registry::gossip_digests() {
  to_registries([&](wire::Frame::Builder& frame) {
    const auto digests = servers_.digests(kRanges);
    auto list = frame.initGossip().initDigests(static_cast<unsigned>(digests.size()));
    for (unsigned i = 0; i < list.size(); ++i) list.set(i, digests[i]);
  });
}

// ---- what proxies are told -----------------------------------------------------------------------

void Registry::fill(wire::Fleet::Builder to) {
  to.setHolder(lease_.holder());
  to.setTerm(lease_.term());
  to.setPosition(confirmed_once() ? changes_.position() : 0);
}

// What changes within kNewsDelay goes out as one message.
void Registry::tell_servers(const std::vector<fleet::Server>& changed) {
  servers_changed_ = true;
  const bool due = !server_news_.empty();
  for (const auto& server : changed) server_news_.insert_or_assign(server.id, server);
  if (due || server_news_.empty()) return;
  news_timer_.expires_after(kNewsDelay);
  news_timer_.async_wait(lifetime_.bind([this](boost::system::error_code failed_wait) {
    if (!failed_wait) send_server_news();
  }));
}

void Registry::send_server_news() {
  const Time now = clock_.now();
  const auto news = std::exchange(server_news_, {});
  fleet::Outgoing out;
  auto f = out.frame().initFleet();
  fill(f);
  auto list = f.initServers(static_cast<unsigned>(news.size()));
  unsigned i = 0;
  for (const auto& [id, server] : news) fleet::put(list[i++], server, now);
  const auto frame = std::make_shared<EncodedFrame>(out.message());
  for (auto& [link, p] : proxies_) p.link->send(frame);
}

// All servers of the ranges in which what is known here differs from `digests`; of all where these are none.
void Registry::tell_servers_that_differ(Proxy& p, capnp::List<std::uint64_t>::Reader digests) {
  fleet::RecordDigests own;
  for (const auto& [id, s] : servers_.all())
    if (s.phase != fleet::Phase::GONE) own.toggle(id, s.address, s.phase);
  const auto differs = [&](const std::string& id) {
    const auto range = fleet::Servers::range_of(id, fleet::kRecordRanges);
    return digests.size() != fleet::kRecordRanges ||
           own.all()[range] != digests[static_cast<unsigned>(range)];
  };
  std::vector<const fleet::Server*> told;
  for (const auto& [id, s] : servers_.all())
    if (differs(id)) told.push_back(&s);
  fleet::Outgoing out;
  auto f = out.frame().initFleet();
  fill(f);
  f.setComplete(true);
  auto list = f.initServers(static_cast<unsigned>(told.size()));
  for (unsigned i = 0; i < list.size(); ++i) fleet::put(list[i], *told[i], clock_.now());
  p.link->send(out.message());
}

void Registry::tell_members() {
  std::set<std::string> proxies;
  std::vector<std::string> registries{settings_.bind_ip};
  for (const auto& [id, n] : nodes_.all()) {
    if (n.role == fleet::Role::PROXY) proxies.insert(n.zone + "/" + id);
    if (n.role == fleet::Role::REGISTRY && !n.leaving && n.address != settings_.bind_ip)
      registries.push_back(n.address);
  }
  const auto change = told_proxies_.update(std::move(proxies));
  const bool registries_changed = std::exchange(told_registries_, registries) != registries;
  if (!change.empty() || registries_changed) send_member_change(change);
  send_all_members();
}

void Registry::send_member_change(const fleet::MemberChange& change) {
  fleet::Outgoing out;
  auto f = out.frame().initFleet();
  fill(f);
  put(f.initProxiesJoined(static_cast<unsigned>(change.joined.size())), change.joined);
  put(f.initProxiesLeft(static_cast<unsigned>(change.left.size())), change.left);
  put(f.initRegistries(static_cast<unsigned>(told_registries_.size())), told_registries_);
  const auto frame = std::make_shared<EncodedFrame>(out.message());
  for (auto& [link, p] : proxies_)
    if (p.knows_members) p.link->send(frame);
}

// To those that have not been told yet.
void Registry::send_all_members() {
  if (std::ranges::all_of(proxies_, [](const auto& p) { return p.second.knows_members; })) return;
  fleet::Outgoing out;
  auto f = out.frame().initFleet();
  fill(f);
  put(f.initProxies(static_cast<unsigned>(told_proxies_.all().size())), told_proxies_.all());
  put(f.initRegistries(static_cast<unsigned>(told_registries_.size())), told_registries_);
  const auto frame = std::make_shared<EncodedFrame>(out.message());
  for (auto& [link, p] : proxies_)
    if (!std::exchange(p.knows_members, true)) p.link->send(frame);
}

// Servers as they are known now, for this registry's next life. Their beats come anew within seconds; until
// then these are tried.
void Registry::save_records() {
  if (!record_cache_ || !std::exchange(servers_changed_, false)) return;
  fleet::Outgoing out;
  auto list = out.frame().initGossip().initServers(static_cast<unsigned>(servers_.all().size()));
  unsigned i = 0;
  for (const auto& [id, s] : servers_.all()) fleet::put(list[i++], s, clock_.now());
  const auto words = capnp::messageToFlatArray(out.message());
  const auto bytes = words.asBytes();
  record_cache_->put("servers", std::string(reinterpret_cast<const char*>(bytes.begin()), bytes.size()));
}

void Registry::load_records() {
  const auto text = record_cache_ ? record_cache_->get("servers") : std::nullopt;
  if (!text || text->empty() || text->size() % sizeof(capnp::word) != 0) return;
  std::vector<capnp::word> words(text->size() / sizeof(capnp::word));
  std::memcpy(words.data(), text->data(), text->size());
  try {
    capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), words.size()));
    for (const auto r : reader.getRoot<wire::Frame>().getGossip().getServers()) {
      auto s = fleet::get(r, clock_.now());
      s.received_at = clock_.now(), s.from_cache = true;
      servers_.merge(s);
    }
  } catch (const kj::Exception& x) {
    log_.warn(std::string("the record cache is passed over: ") + x.getDescription().cStr());
  }
  log_.info(std::to_string(servers_.all().size()) + " servers are known from before");
}

void Registry::flush() {
  std::vector<fleet::Server> servers;
  std::vector<fleet::Node> nodes;
  for (auto& [id, s] : heard_servers_) servers.push_back(std::move(s));
  for (auto& [id, n] : heard_nodes_) nodes.push_back(std::move(n));
  heard_servers_.clear(), heard_nodes_.clear();
  self_.stamp++, self_.received_at = clock_.now();
  nodes_.merge(self_);
  nodes.push_back(self_);
  gossip(servers, nodes);
}

}  // namespace docklift
