// What several Redis stand-ins are to each other, without I/O: masters and replicas that follow with a lag, the slots of a
// cluster and their migration, a Sentinel's answers; fail-over and split. After the cluster specification and the
// documentation of replication and Sentinel.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "database.hpp"

namespace docklift::standins {

class Cluster {
 public:
  struct Member {
    Database* database = nullptr;
    std::string host;
    std::uint16_t port = 0;
    std::optional<std::size_t> master{};  // whose replica it is
    std::int64_t lag_ms = 0;              // of a replica
    std::uint64_t position = 0;           // in its master's log
    bool alive = true, sentinel = false;
    std::uint64_t history = 0;  // of its data: another one when it takes over
  };

  // `slots`: a cluster; else a group of one master, its replicas and Sentinels.
  explicit Cluster(bool slots, std::string name = "mymaster") : slots_(slots), name_(std::move(name)) {}

  std::size_t add(Member member);
  static std::uint16_t slot_of(const std::string& key);
  void own(std::uint16_t first, std::uint16_t last, std::size_t member);
  // From now on keys that are there are served there, others asked for at `to`.
  void begin_migration(std::uint16_t slot, std::size_t to);
  void move_some(std::uint16_t slot, std::size_t most, std::int64_t now_ms);  // keys
  void finish_migration(std::uint16_t slot, std::int64_t now_ms);

  // A replica of `master` takes over with what has reached it; the old one follows it from now on. With `split` the old
  // one does not know, and goes on as a master for whoever still talks to it, until heal(); of several Sentinels the first
  // is on its side. False: it has no replica.
  bool fail_over(std::size_t master, std::int64_t now_ms, bool split = false);
  void heal(std::int64_t now_ms);
  void set_alive(std::size_t member, bool alive) { members_.at(member).alive = alive; }
  bool full_coverage = true;  // all of a cluster refuses once a slot has no server that lives

  bool has_slots() const { return slots_; }
  bool is_replica(std::size_t member) const;
  bool is_sentinel(std::size_t member) const { return members_.at(member).sentinel; }
  std::string replication_id(std::size_t member) const;
  std::optional<std::size_t> owner(std::uint16_t slot) const { return owners_.at(slot); }
  const std::vector<Member>& members() const { return members_; }
  // The master of a group without slots, as the Sentinels have it.
  std::size_t master() const { return master_by(members_.size()); }

  // For Database: the reply to CLUSTER, SENTINEL, ASKING, READONLY, ROLE, SUBSCRIBE and their like; none: not one of them.
  std::optional<std::string> command(std::size_t member, Client& client, const Words& words,
                                     std::int64_t now_ms);
  std::optional<std::string> elsewhere(std::size_t member, const std::vector<std::string>& keys,
                                       const Client& client, bool reads, std::int64_t now_ms);
  void logged(std::size_t member, std::int64_t now_ms);
  // A message on a channel, for the subscribers of one member.
  std::function<void(std::size_t member, const std::string& channel, const std::string& text)> publish;

 private:
  struct Migration {
    std::size_t from = 0, to = 0;
  };
  std::size_t master_by(std::size_t sentinel) const;
  std::optional<std::size_t> cut_sentinel() const;  // in a split
  void catch_up(std::size_t replica, std::int64_t until_ms);
  std::string slots_reply() const;
  std::string shards_reply(const Client& client) const;
  std::string nodes_reply(std::size_t member) const;
  std::string id_of(std::size_t member) const;
  std::string at(std::size_t member) const;
  bool down() const;
  std::string sentinel(std::size_t member, Client& client, const Words& words);
  std::vector<std::array<std::size_t, 3>> ranges() const;  // first, last, owner

  bool slots_;
  std::string name_;
  std::vector<Member> members_;
  std::uint64_t histories_ = 0;
  std::array<std::optional<std::size_t>, 16384> owners_{};
  std::map<std::uint16_t, Migration> migrations_;
  std::vector<std::pair<std::size_t, std::size_t>> split_;  // old master, new one
};

}  // namespace docklift::standins
