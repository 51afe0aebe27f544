#include "cluster.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace docklift::standins {

namespace {

std::string upper(std::string text) {
  std::ranges::transform(text, text.begin(),
                         [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
  return text;
}
std::string line(char kind, std::size_t n) {
  std::string text(1, kind);
  return text.append(std::to_string(n)).append("\r\n");
}
std::string integer(std::size_t n) { return line(':', n); }
std::string bulk(const std::string& text) { return line('$', text.size()).append(text).append("\r\n"); }
std::string array(const std::vector<std::string>& items, char kind = '*') {
  std::string all = line(kind, kind == '%' ? items.size() / 2 : items.size());
  for (const auto& i : items) all += i;
  return all;
}
std::string map(const Client& c, const std::vector<std::string>& items) {
  return array(items, c.protocol == 3 ? '%' : '*');
}

}  // namespace

std::uint16_t Cluster::slot_of(const std::string& key) {
  auto begin = key.find('{');
  auto end = begin == std::string::npos ? begin : key.find('}', begin + 1);
  if (end == std::string::npos || end == begin + 1)
    begin = 0, end = key.size();
  else
    ++begin;
  // CRC16-CCITT (XMODEM): polynomial 1021, begun with 0, bit by bit.
  unsigned crc = 0;
  for (std::size_t i = begin; i < end; ++i) {
    for (int bit = 7; bit >= 0; --bit) {
      const unsigned in = (static_cast<unsigned char>(key[i]) >> bit) & 1U;
      const unsigned top = (crc >> 15U) & 1U;
      crc = (crc << 1U) & 0xffffU;
      if ((in ^ top) != 0) crc ^= 0x1021U;
    }
  }
  return static_cast<std::uint16_t>(crc % 16384);
}

std::size_t Cluster::add(Member m) {
  if (m.master) m.position = members_.at(*m.master).database->log_end();
  m.history = m.master ? members_.at(*m.master).history : ++histories_;
  members_.push_back(std::move(m));
  members_.back().database->join(this, members_.size() - 1);
  return members_.size() - 1;
}

void Cluster::own(std::uint16_t first, std::uint16_t last, std::size_t member) {
  for (std::size_t s = first; s <= last; ++s) owners_.at(s) = member;
}

void Cluster::begin_migration(std::uint16_t slot, std::size_t to) {
  migrations_[slot] = {*owners_.at(slot), to};
}

void Cluster::move_some(std::uint16_t slot, std::size_t most, std::int64_t now) {
  const auto& m = migrations_.at(slot);
  auto& from = *members_[m.from].database;
  for (const auto& key : from.keys_in_slot(slot, now)) {
    if (most-- == 0) return;
    from.move_key(key, *members_[m.to].database, now);
  }
}

void Cluster::finish_migration(std::uint16_t slot, std::int64_t now) {
  move_some(slot, SIZE_MAX, now);
  owners_[slot] = migrations_.at(slot).to;
  migrations_.erase(slot);
}

bool Cluster::is_replica(std::size_t member) const { return members_.at(member).master.has_value(); }

std::optional<std::size_t> Cluster::cut_sentinel() const {
  const auto it = std::ranges::find_if(members_, [](const auto& m) { return m.sentinel; });
  const auto all = std::ranges::count_if(members_, [](const auto& m) { return m.sentinel; });
  if (split_.empty() || all < 2) return std::nullopt;
  return static_cast<std::size_t>(it - members_.begin());
}

std::size_t Cluster::master_by(std::size_t sentinel) const {
  if (cut_sentinel() == sentinel) return split_.front().first;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const auto old = std::ranges::any_of(split_, [&](const auto& s) { return s.first == i; });
    if (!members_[i].master && !members_[i].sentinel && !old) return i;
  }
  return 0;
}

void Cluster::catch_up(std::size_t replica, std::int64_t until) {
  auto& m = members_[replica];
  auto& source = *members_[*m.master].database;
  m.position = std::max(m.position, source.log_begin());
  for (; m.position < source.log_end(); ++m.position) {
    const auto& change = source.log()[m.position - source.log_begin()];
    if (change.at > until) break;
    m.database->apply(change);
  }
}

void Cluster::logged(std::size_t member, std::int64_t now) {
  auto& source = *members_[member].database;
  std::uint64_t needed = source.log_end();
  for (std::size_t i = 0; i < members_.size(); ++i)
    if (members_[i].master == member) {
      catch_up(i, now - std::max<std::int64_t>(members_[i].lag_ms, 1));
      needed = std::min(needed, members_[i].position);
    }
  source.forget_log(needed);
}

bool Cluster::fail_over(std::size_t master, std::int64_t now, bool split) {
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (members_[i].master != master || !members_[i].alive) continue;
    catch_up(i, now - members_[i].lag_ms);
    members_[i].master.reset();
    members_[i].history = ++histories_;
    for (auto& o : owners_)
      if (o == master) o = i;
    for (auto& [slot, m] : migrations_) {
      if (m.from == master) m.from = i;
      if (m.to == master) m.to = i;
    }
    const auto follow = [&](std::size_t who) {
      members_[who].database->copy_data(*members_[i].database);
      members_[who].master = i;
      members_[who].history = members_[i].history;
      members_[who].position = members_[i].database->log_end();
    };
    for (std::size_t o = 0; o < members_.size(); ++o)
      if (members_[o].master == master) follow(o);
    if (split)
      split_.emplace_back(master, i);
    else
      follow(master);
    if (publish)
      for (std::size_t s = 0; s < members_.size(); ++s)
        if (members_[s].sentinel && s != cut_sentinel())
          publish(s, "+switch-master",
                  name_ + " " + members_[master].host + " " + std::to_string(members_[master].port) + " " +
                      members_[i].host + " " + std::to_string(members_[i].port));
    return true;
  }
  return false;
}

void Cluster::heal(std::int64_t) {
  if (const auto s = cut_sentinel(); s && publish) {
    const auto& [old, now] = split_.front();
    publish(*s, "+switch-master",
            name_ + " " + members_[old].host + " " + std::to_string(members_[old].port) + " " +
                members_[now].host + " " + std::to_string(members_[now].port));
  }
  for (const auto& [old, now] : std::exchange(split_, {})) {
    members_[old].database->copy_data(*members_[now].database);
    members_[old].master = now;
    members_[old].history = members_[now].history;
    members_[old].position = members_[now].database->log_end();
  }
}

// ---- Where keys lie ----------------------------------------------------------------------------------------

bool Cluster::down() const {
  return full_coverage &&
         std::ranges::any_of(owners_, [&](const auto& o) { return !o || !members_[*o].alive; });
}

std::optional<std::string> Cluster::elsewhere(std::size_t member, const std::vector<std::string>& keys,
                                              const Client& client, bool reads, std::int64_t now) {
  if (keys.empty()) return std::nullopt;
  const auto slot = slot_of(keys.front());
  for (const auto& k : keys)
    if (slot_of(k) != slot) return "-CROSSSLOT Keys in request don't hash to the same slot\r\n";
  const auto old = std::ranges::find_if(split_, [&](const auto& s) { return s.first == member; });
  const auto& owner = owners_.at(slot);
  if (!owner) return "-CLUSTERDOWN Hash slot not served\r\n";
  if (old != split_.end() && *owner == old->second) return std::nullopt;  // it does not know of the new one
  if (down()) return "-CLUSTERDOWN The cluster is down\r\n";
  std::size_t missing = 0;
  for (const auto& k : keys) missing += !members_[member].database->has(k, now);
  const bool several = std::ranges::any_of(keys, [&](const auto& k) { return k != keys.front(); });
  const auto m = migrations_.find(slot);
  if (m != migrations_.end() && m->second.from == member && missing > 0) {
    if (missing < keys.size()) return "-TRYAGAIN Multiple keys request during rehashing of slot\r\n";
    return "-ASK " + std::to_string(slot) + " " + at(m->second.to) + "\r\n";
  }
  if (m != migrations_.end() && m->second.to == member && client.asking) {
    if (several && missing > 0) return "-TRYAGAIN Multiple keys request during rehashing of slot\r\n";
    return std::nullopt;
  }
  if (*owner == member || (reads && client.reads_here && members_[member].master == owner))
    return std::nullopt;
  return "-MOVED " + std::to_string(slot) + " " + at(*owner) + "\r\n";
}

// ---- What is asked about the group -----------------------------------------------------------------------------

std::string Cluster::id_of(std::size_t member) const {
  std::array<char, 48> id{};
  std::snprintf(id.data(), id.size(), "%040zx", member + 1);
  return id.data();
}

std::string Cluster::replication_id(std::size_t member) const {
  std::array<char, 48> id{};
  std::snprintf(id.data(), id.size(), "%040llx", 0xabcd0000ULL + members_.at(member).history);
  return id.data();
}

std::string Cluster::at(std::size_t member) const {
  return members_[member].host + ":" + std::to_string(members_[member].port);
}

std::vector<std::array<std::size_t, 3>> Cluster::ranges() const {
  std::vector<std::array<std::size_t, 3>> all;
  for (std::size_t s = 0; s < owners_.size(); ++s) {
    if (!owners_[s]) continue;
    if (!all.empty() && all.back()[1] + 1 == s && all.back()[2] == *owners_[s])
      all.back()[1] = s;
    else
      all.push_back({s, s, *owners_[s]});
  }
  return all;
}

std::string Cluster::slots_reply() const {
  std::vector<std::string> all;
  const auto member = [&](std::size_t i) {
    return array({bulk(members_[i].host), integer(members_[i].port), bulk(id_of(i)), array({})});
  };
  for (const auto& [first, last, owner] : ranges()) {
    std::vector<std::string> range{integer(first), integer(last), member(owner)};
    for (std::size_t i = 0; i < members_.size(); ++i)
      if (members_[i].master == owner) range.push_back(member(i));
    all.push_back(array(range));
  }
  return array(all);
}

std::string Cluster::shards_reply(const Client& c) const {
  std::vector<std::string> all;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (members_[i].master || members_[i].sentinel) continue;
    std::vector<std::string> slots, nodes;
    for (const auto& [first, last, owner] : ranges())
      if (owner == i) slots.push_back(integer(first)), slots.push_back(integer(last));
    for (std::size_t n = 0; n < members_.size(); ++n)
      if (n == i || members_[n].master == i)
        nodes.push_back(map(c, {bulk("id"), bulk(id_of(n)), bulk("port"), integer(members_[n].port),
                                bulk("ip"), bulk(members_[n].host), bulk("endpoint"), bulk(members_[n].host),
                                bulk("role"), bulk(n == i ? "master" : "replica"), bulk("replication-offset"),
                                integer(0), bulk("health"), bulk(members_[n].alive ? "online" : "failed")}));
    all.push_back(map(c, {bulk("slots"), array(slots), bulk("nodes"), array(nodes)}));
  }
  return array(all);
}

std::string Cluster::nodes_reply(std::size_t member) const {
  std::string text;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const auto& m = members_[i];
    text += id_of(i) + " " + at(i) + "@" + std::to_string(m.port + 10000) + " " +
            (i == member ? "myself," : "") + (m.master ? "slave " + id_of(*m.master) : "master -") + " 0 0 " +
            std::to_string(i + 1) + (m.alive ? " connected" : " disconnected");
    for (const auto& [first, last, owner] : ranges())
      if (owner == i) text.append(" ").append(std::to_string(first)).append("-").append(std::to_string(last));
    text += "\n";
  }
  return text;
}

std::optional<std::string> Cluster::command(std::size_t member, Client& client, const Words& words,
                                            std::int64_t now) {
  const auto name = upper(words[0]);
  const auto& me = members_.at(member);
  if (me.master) catch_up(member, now - me.lag_ms);
  if (me.sentinel) {
    if (name == "SENTINEL") return sentinel(member, client, words);
    if (name == "SUBSCRIBE" || name == "UNSUBSCRIBE" || name == "PSUBSCRIBE") {
      std::string all;
      for (std::size_t i = 1; i < words.size(); ++i) {
        if (name == "UNSUBSCRIBE")
          client.channels.erase(words[i]);
        else
          client.channels.insert(words[i]);
        std::string lower = name;
        std::ranges::transform(lower, lower.begin(),
                               [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        all += array({bulk(lower), bulk(words[i]), integer(client.channels.size())},
                     client.protocol == 3 ? '>' : '*');
      }
      return all;
    }
    if (name == "PING" && client.protocol == 2 && !client.channels.empty())
      return array({bulk("pong"), bulk("")});
    if (name == "ROLE") return array({bulk("sentinel"), array({bulk(name_)})});
    if (name == "HELLO" || name == "PING" || name == "CLIENT" || name == "INFO" || name == "AUTH" ||
        name == "QUIT" || name == "COMMAND" || name == "RESET")
      return std::nullopt;
    return "-ERR unknown command '" + words[0] + "', with args beginning with: \r\n";
  }
  if (name == "ROLE") {
    if (!me.master) return array({bulk("master"), integer(me.database->log_end()), array({})});
    return array({bulk("slave"), bulk(members_[*me.master].host), integer(members_[*me.master].port),
                  bulk("connected"), integer(me.position)});
  }
  if (!slots_) return std::nullopt;
  if (name == "ASKING") return client.asking = true, "+OK\r\n";
  if (name == "READONLY" || name == "READWRITE") return client.reads_here = name == "READONLY", "+OK\r\n";
  if (name == "SELECT" && words.size() == 2 && words[1] != "0")
    return "-ERR SELECT is not allowed in cluster mode\r\n";
  if (name != "CLUSTER") return std::nullopt;
  const auto what = words.size() > 1 ? upper(words[1]) : "";
  if (what == "SLOTS") return slots_reply();
  if (what == "SHARDS") return shards_reply(client);
  if (what == "NODES") return bulk(nodes_reply(member));
  if (what == "MYID") return bulk(id_of(member));
  if (what == "KEYSLOT" && words.size() == 3) return integer(slot_of(words[2]));
  if (what == "INFO")
    return bulk(std::string("cluster_enabled:1\r\ncluster_state:") + (down() ? "fail" : "ok") +
                "\r\ncluster_slots_assigned:" +
                std::to_string(std::ranges::count_if(owners_, [](const auto& o) { return o.has_value(); })) +
                "\r\ncluster_known_nodes:" + std::to_string(members_.size()) + "\r\n");
  return "-ERR Unknown subcommand or wrong number of arguments for '" + what + "'. Try CLUSTER HELP.\r\n";
}

std::string Cluster::sentinel(std::size_t member, Client& c, const Words& w) {
  const auto what = w.size() > 1 ? upper(w[1]) : "";
  const auto now = master_by(member);
  const auto described = [&](std::size_t i, const std::string& flags) {
    return map(c, {bulk("name"), bulk(flags == "master" ? name_ : at(i)), bulk("ip"), bulk(members_[i].host),
                   bulk("port"), bulk(std::to_string(members_[i].port)), bulk("runid"), bulk(id_of(i)),
                   bulk("flags"), bulk(flags), bulk("num-other-sentinels"), bulk("0")});
  };
  if (what == "MASTERS") return array({described(now, "master")});
  if (w.size() < 3) return "-ERR wrong number of arguments for 'sentinel' command\r\n";
  if (w[2] != name_) {
    if (what == "GET-MASTER-ADDR-BY-NAME") return c.protocol == 3 ? "_\r\n" : "*-1\r\n";
    return "-ERR No such master with that name\r\n";
  }
  if (what == "GET-MASTER-ADDR-BY-NAME")
    return array({bulk(members_[now].host), bulk(std::to_string(members_[now].port))});
  if (what == "MASTER") return described(now, "master");
  std::vector<std::string> all;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if ((what == "REPLICAS" || what == "SLAVES") && members_[i].master == now)
      all.push_back(described(i, "slave"));
    if (what == "SENTINELS" && members_[i].sentinel && i != member) all.push_back(described(i, "sentinel"));
  }
  if (what == "REPLICAS" || what == "SLAVES" || what == "SENTINELS") return array(all);
  return "-ERR Unknown sentinel subcommand '" + w[1] + "'\r\n";
}

}  // namespace docklift::standins
