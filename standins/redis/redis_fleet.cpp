#include "redis_fleet.hpp"

#include <algorithm>
#include <cstdlib>

#include "async.hpp"

namespace docklift::standins {

namespace asio = boost::asio;

RedisFleet::RedisFleet(asio::io_context& io, RedisFleetOptions o) : io_(io), cluster_(o.cluster) {
  if (!o.cluster) o.shards = 1;
  const auto make = [&](std::optional<std::size_t> master, bool sentinel) {
    auto database = o.database;
    database.identity = servers_.size() + 1;
    const auto port = static_cast<std::uint16_t>(o.first_port == 0 ? 0 : o.first_port + servers_.size());
    servers_.push_back(std::make_unique<RedisServer>(io, std::move(database), o.seed + servers_.size(),
                                                     snowknot::Tcp::endpoint(o.host, port)));
    auto& server = *servers_.back();
    server.more_faults = [this](const Words& w) { return fault(w); };
    return cluster_.add({.database = &server.database(),
                         .host = o.host.to_string(),
                         .port = server.at().port(),
                         .master = master,
                         .lag_ms = o.lag.count(),
                         .position = 0,
                         .alive = true,
                         .sentinel = sentinel});
  };
  for (std::size_t i = 0; i < o.shards; ++i) masters_.push_back(make(std::nullopt, false));
  for (std::size_t i = 0; i < o.shards; ++i)
    for (std::size_t r = 0; r < o.replicas; ++r) make(i, false);
  first_sentinel_ = servers_.size();
  for (std::size_t i = 0; i < o.sentinels; ++i) make(std::nullopt, true);
  if (o.cluster)
    for (std::size_t i = 0; i < o.shards; ++i)
      cluster_.own(static_cast<std::uint16_t>(16384 * i / o.shards),
                   static_cast<std::uint16_t>(16384 * (i + 1) / o.shards - 1), i);
  cluster_.publish = [this](std::size_t member, const std::string& channel, const std::string& text) {
    servers_.at(member)->publish(channel, text);
  };
}

RedisFleet::~RedisFleet() { *alive_ = false; }

bool RedisFleet::fail_over(std::size_t shard, bool split) {
  const auto old = masters_.at(shard);
  if (!cluster_.fail_over(old, RedisServer::now_ms(), split)) return false;
  // The new one is whom the old one follows, or the one that the slots went to.
  for (std::size_t i = 0; i < cluster_.members().size(); ++i) {
    const auto& m = cluster_.members()[i];
    if (m.sentinel || m.master || i == old) continue;
    if (std::ranges::find(masters_, i) == masters_.end() && std::ranges::find(cut_, i) == cut_.end())
      masters_[shard] = i;
  }
  if (split)
    cut_.push_back(old);
  else if (servers_[old]->listening())
    servers_[old]->stop(), servers_[old]->listen_again();
  return true;
}

void RedisFleet::heal() {
  cluster_.heal(RedisServer::now_ms());
  for (const auto old : std::exchange(cut_, {})) servers_[old]->stop(), servers_[old]->listen_again();
}

void RedisFleet::kill(std::size_t shard) {
  servers_[masters_.at(shard)]->stop();
  cluster_.set_alive(masters_[shard], false);
}

void RedisFleet::revive(std::size_t shard) {
  servers_[masters_.at(shard)]->listen_again();
  cluster_.set_alive(masters_[shard], true);
}

void RedisFleet::migrate(std::uint16_t first, std::uint16_t last, std::size_t shard,
                         std::chrono::milliseconds step) {
  ++migrating_;
  asio::co_spawn(
      io_.get_executor(),
      [](RedisFleet& fleet, std::shared_ptr<bool> alive, std::size_t from, std::size_t to, std::size_t where,
         std::chrono::milliseconds pause) -> async::Task<void> {
        for (std::size_t s = from; s <= to; ++s) {
          const auto slot = static_cast<std::uint16_t>(s);
          const auto target = fleet.masters_.at(where);
          if (fleet.cluster_.owner(slot) == target) continue;
          fleet.cluster_.begin_migration(slot, target);
          while (!fleet.cluster_.members()[*fleet.cluster_.owner(slot)]
                      .database->keys_in_slot(slot, RedisServer::now_ms())
                      .empty()) {
            co_await async::pause(fleet.io_, pause);
            if (!*alive) co_return;
            fleet.cluster_.move_some(slot, 1, RedisServer::now_ms());
          }
          if (pause.count() > 0) {
            co_await async::pause(fleet.io_, pause);
            if (!*alive) co_return;
          }
          fleet.cluster_.finish_migration(slot, RedisServer::now_ms());
        }
        --fleet.migrating_;
      }(*this, alive_, first, last, shard, step),
      asio::detached);
}

std::uint64_t RedisFleet::commands() const {
  std::uint64_t all = 0;
  for (const auto& s : servers_) all += s->database().commands();
  return all;
}

std::optional<std::string> RedisFleet::fault(const Words& w) {
  const auto word = [&](std::size_t i) {
    std::string text = i < w.size() ? w[i] : "";
    std::ranges::transform(text, text.begin(),
                           [](unsigned char c) { return static_cast<char>(std::toupper(c)); });
    return text;
  };
  const auto number = [&](std::size_t i) {
    return i < w.size() ? static_cast<std::size_t>(std::strtoul(w[i].c_str(), nullptr, 10)) : 0;
  };
  const auto what = word(2);
  const auto shard = std::min(number(3), masters_.size() - 1);
  if (what == "FAILOVER") {
    if (!fail_over(shard, word(4) == "SPLIT")) return "-ERR no replica\r\n";
  } else if (what == "HEAL") {
    heal();
  } else if (what == "KILL") {
    kill(shard);
  } else if (what == "REVIVE") {
    revive(shard);
  } else if (what == "COVERAGE") {
    cluster_.full_coverage = number(3) != 0;
  } else if (what == "MIGRATE") {
    const auto last = number(4);
    if (last >= 16384 || number(3) > last) return "-ERR no such slots\r\n";
    migrate(static_cast<std::uint16_t>(number(3)), static_cast<std::uint16_t>(last),
            std::min(number(5), masters_.size() - 1),
            std::chrono::milliseconds(word(6) == "STEP" ? number(7) : 0));
  } else {
    return std::nullopt;
  }
  return "+OK\r\n";
}

}  // namespace docklift::standins
