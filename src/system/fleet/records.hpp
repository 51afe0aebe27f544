// Records of servers and fleet members. Any registry may write them; merging gives the same result in any
// order. Performs no I/O.
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

// An instance of a service, as it last reported itself.
struct Server {
  std::string id, service, address, zone;
  std::uint32_t cap = 1;
  Phase phase = Phase::READY;
  std::uint64_t heartbeat_sequence = 0;
  Time received_at{}, cold_until{};
  bool from_cache = false;  // read from the registry's cache on disk; not received since the registry started
  bool left = false;        // gone for good; a server that is only silent may return
};

// A fleet member: a proxy, registry or store.
struct Node {
  std::string id, zone, address;
  std::uint64_t incarnation = 0, stamp = 0, term = 0;
  Role role = Role::PROXY;
  bool ready = false, leaving = false;
  Time received_at{};
};

// How long a server that has left is remembered: longer than any late heartbeat or older record is under way.
inline constexpr Duration kDepartedRetention = std::chrono::seconds(60);

// Effect of a merge: none; only a newer receive time; or a change that must be sent to others at once.
enum class MergeResult { unchanged, refreshed, changed };

// The known servers, including tombstones of those that left.
class Servers {
 public:
  // The record with the higher heartbeat sequence wins, of equal ones that with the later phase. Phases only
  // advance, whatever the sequence: a server that is gone never returns under its id. A cached record is
  // replaced by any that is at least as new.
  MergeResult merge(const Server& s);
  const Server* find(const std::string& id) const;
  // Drops tombstones older than `retention`, and removes and returns the servers without a heartbeat for
  // `timeout` (0: none). A draining one has left then: it leaves a tombstone.
  std::vector<Server> expire(Time now, Duration timeout, Duration retention);
  const std::map<std::string, Server>& all() const { return all_; }
  // Digests of id, phase and address for each of `ranges` ranges of ids, without cached records; equal if the
  // records are.
  std::vector<std::uint64_t> digests(std::size_t ranges) const;
  static std::size_t range_of(const std::string& id, std::size_t ranges);

 private:
  static MergeResult replace(Server& known, const Server& newer);
  std::map<std::string, Server> all_;
};

// The live fleet members.
class Nodes {
 public:
  MergeResult merge(const Node& n);
  // Drops and returns the members that have not renewed for `lease`.
  std::vector<Node> expire(Time now, Duration lease);
  const std::map<std::string, Node>& all() const { return all_; }

 private:
  std::map<std::string, Node> all_;
  // The last incarnation of dropped members, to tell a late renewal from a new process.
  std::map<std::string, std::uint64_t> ended_;
};

void put(wire::Server::Builder to, const Server& s, Time now);
Server get(wire::Server::Reader r, Time now);
void put(wire::Node::Builder to, const Node& n, Time now);
Node get(wire::Node::Reader r, Time now);

}  // namespace docklift::fleet
