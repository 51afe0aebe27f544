// Several Redis stand-ins as one cluster, or as a master with replicas and Sentinels. DEBUG STANDIN at any of them knows,
// beside the faults of one server:
//   FAILOVER shard [SPLIT] | HEAL | KILL shard | REVIVE shard | MIGRATE first last shard [STEP ms] | COVERAGE 0|1
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <vector>

#include "cluster.hpp"
#include "redis_server.hpp"

namespace docklift::standins {

struct RedisFleetOptions {
  bool cluster = true;       // slots; else one shard, watched by Sentinels
  std::size_t shards = 3;    // masters
  std::size_t replicas = 1;  // of each
  std::size_t sentinels = 0;
  std::chrono::milliseconds lag{0};  // of the replicas
  DatabaseOptions database{};
  std::uint64_t seed = 1;
  boost::asio::ip::address host = boost::asio::ip::address_v4::loopback();
  std::uint16_t first_port = 0;  // of the masters, then of each one's replicas, then the Sentinels; 0: any
};

class RedisFleet {
 public:
  RedisFleet(boost::asio::io_context& io, RedisFleetOptions options);
  ~RedisFleet();
  RedisFleet(const RedisFleet&) = delete;
  RedisFleet& operator=(const RedisFleet&) = delete;

  Cluster& cluster() { return cluster_; }
  std::size_t size() const { return servers_.size(); }
  RedisServer& server(std::size_t i) { return *servers_.at(i); }
  RedisServer& sentinel(std::size_t i) { return *servers_.at(first_sentinel_ + i); }
  // The member that is the master of a shard now.
  std::size_t master(std::size_t shard) const { return masters_.at(shard); }

  // The replica takes over; the old master's connections are reset, as the real one does when it is demoted, but not in a
  // split.
  bool fail_over(std::size_t shard, bool split = false);
  void heal();
  void kill(std::size_t shard);
  void revive(std::size_t shard);
  // Slots go one by one, key by key, with `step` between.
  void migrate(std::uint16_t first, std::uint16_t last, std::size_t shard, std::chrono::milliseconds step);
  bool migrating() const { return migrating_ > 0; }
  std::uint64_t commands() const;

 private:
  std::optional<std::string> fault(const Words& words);

  boost::asio::io_context& io_;
  Cluster cluster_;
  std::vector<std::unique_ptr<RedisServer>> servers_;
  std::vector<std::size_t> masters_, cut_;  // cut_: old masters that have not heard
  std::size_t first_sentinel_ = 0;
  int migrating_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace docklift::standins
