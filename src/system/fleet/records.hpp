// Which servers and members there are: records that any registry may write and that merge the same way in any
// order. Pure.
#pragma once

#include <tsl/robin_map.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "system/base/time.hpp"
#include "system/wire/fleet.capnp.h"

namespace docklift::fleet {

using wire::Phase;
using wire::Role;

struct Server {
  std::string id, service, address, zone;
  std::uint32_t cap = 1;
  Phase phase = Phase::READY;
  std::uint64_t heartbeat_sequence = 0;
  Time received_at{}, cold_until{};
  bool from_cache = false;  // known from an earlier life of this registry; nothing was heard in this one
};

struct Node {
  std::string id, zone, address;
  std::uint64_t incarnation = 0, stamp = 0, term = 0;
  Role role = Role::PROXY;
  bool ready = false, leaving = false;
  Time received_at{};
};

// What a merge has changed: nothing; only that it was heard again; or what others must know at once.
enum class MergeResult { unchanged, refreshed, changed };

class Servers {
 public:
  // The record with the higher `calls` holds, of equal ones the later phase; a server that is gone never
  // comes back under its id. A record from the cache yields to any that is as new.
  MergeResult merge(const Server& s);
  const Server* find(const std::string& id) const;
  // Forgets servers that were gone for `kept`, and calls gone those not heard of for `silence` (0: none);
  // these are returned.
  std::vector<Server> expire(Time now, Duration silence, Duration kept);
  const std::map<std::string, Server>& all() const { return all_; }
  // Digests over `ranges` ranges of ids, without those from the cache, of id, calls' phase and address; equal where the records are.
  std::vector<std::uint64_t> digests(std::size_t ranges) const;
  static std::size_t range_of(const std::string& id, std::size_t ranges);

 private:
  std::map<std::string, Server> all_;
};

class Nodes {
 public:
  MergeResult merge(const Node& n);
  // Members that have not renewed for `lease` are dropped; these are returned.
  std::vector<Node> expire(Time now, Duration lease);
  const std::map<std::string, Node>& all() const { return all_; }

 private:
  std::map<std::string, Node> all_;
  std::map<std::string, std::uint64_t>
      ended_;  // the last life of who was dropped, to tell a late word from a new one
};

void put(wire::Server::Builder to, const Server& s, Time now);
Server get(wire::Server::Reader r, Time now);
void put(wire::Node::Builder to, const Node& n, Time now);
Node get(wire::Node::Reader r, Time now);

}  // namespace docklift::fleet
