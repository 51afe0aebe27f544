// A registry's records of servers and members: what it hears, what it tells other registries and proxies, and what
// outlives a restart.
#include <capnp/serialize.h>

#include <algorithm>
#include <cstring>

#include "system/registry/registry.hpp"

namespace docklift {

using fleet::Merged;

void Registry::heard(const fleet::Server& server) {
  const auto merged = servers_.merge(server);
  const auto* s = servers_.find(server.id);
  if (!s) return;
  if (merged == Merged::changed) {
    gossip({*s}, {});
    tell_servers({*s});
  } else if (merged == Merged::heard) {
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
    if (merged == Merged::changed || (merged == Merged::heard && retold_.erase(s.id) > 0))
      if (const auto* known = servers_.find(s.id)) changed.push_back(*known);
  }
  for (const auto r : g.getNodes()) {
    const auto n = fleet::get(r, now);
    if (n.role == fleet::Role::PROXY) merged_members_ = true;
    if (now - n.heard <= kLease && nodes_.merge(n) == Merged::changed) {
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

// ---- what proxies are told -----------------------------------------------------------------------

void Registry::fill(wire::Fleet::Builder to) {
  to.setHolder(lease_.holder());
  to.setTerm(lease_.term());
  to.setPosition(confirmed_once() ? changes_.position() : 0);
}

void Registry::tell_servers(const std::vector<fleet::Server>& changed) {
  const Time now = clock_.now();
  servers_changed_ = true;
  fleet::Outgoing out;
  auto f = out.frame().initFleet();
  fill(f);
  auto list = f.initServers(static_cast<unsigned>(changed.size()));
  for (unsigned i = 0; i < list.size(); ++i) fleet::put(list[i], changed[i], now);
  for (auto& [link, p] : proxies_) p.link->send(out.message());
}

void Registry::tell_all_servers(Proxy& p) {
  fleet::Outgoing out;
  auto f = out.frame().initFleet();
  fill(f);
  auto list = f.initServers(static_cast<unsigned>(servers_.all().size()));
  unsigned i = 0;
  for (const auto& [id, s] : servers_.all()) fleet::put(list[i++], s, clock_.now());
  p.link->send(out.message());
  members_changed_ = true;
}

void Registry::tell_members() {
  fleet::Outgoing out;
  auto f = out.frame().initFleet();
  fill(f);
  std::vector<std::string> proxies;
  std::vector<std::string> registries{settings_.bind_ip};
  for (const auto& [id, n] : nodes_.all()) {
    if (n.role == fleet::Role::PROXY) proxies.push_back(n.zone + "/" + id);
    if (n.role == fleet::Role::REGISTRY && !n.leaving && n.address != settings_.bind_ip)
      registries.push_back(n.address);
  }
  auto p = f.initProxies(static_cast<unsigned>(proxies.size()));
  for (unsigned i = 0; i < p.size(); ++i) p.set(i, proxies[i]);
  auto r = f.initRegistries(static_cast<unsigned>(registries.size()));
  for (unsigned i = 0; i < r.size(); ++i) r.set(i, registries[i]);
  for (auto& [link, proxy] : proxies_) proxy.link->send(out.message());
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
      s.heard = clock_.now(), s.from_cache = true;
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
  self_.stamp++, self_.heard = clock_.now();
  nodes_.merge(self_);
  nodes.push_back(self_);
  gossip(servers, nodes);
}

}  // namespace docklift
