// Server phases from the service lists of all nodes, without I/O: a server that any node's list shows as draining is drained here too, until
// this node's own list is newer. See docs/design/replication.md.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "replica/replica.hpp"
#include "replica/values.hpp"

namespace docklift::replica {

// Publishes the phases in this node's list and applies newer ones of other nodes.
class ServerPhases {
 public:
  struct Entry {
    std::uint32_t id = 0;
    std::uint64_t start = 0;  // Unix ms; 0: not known, long ago
    ServerPhase phase = ServerPhase::ready;
  };
  // A phase that differs from the one in this node's list, or the end of such a difference.
  struct Override {
    std::uint32_t id = 0;
    bool draining = false;  // false: as in this node's list
  };
  struct Figures {
    std::uint64_t published = 0, learnt = 0, undone = 0;
    std::size_t held = 0;  // servers drained here only because of other nodes' records
  };

  explicit ServerPhases(Replica& records) : records_(records) {}

  // Takes this node's list, whole or its changes, and returns the overrides that apply. `fresh` is set if records were written, which
  // other nodes wait for.
  std::vector<Override> listed(Instant now, bool whole, std::uint64_t revision, const std::vector<Entry>& entries, bool& fresh);
  // Handles a record received from another node.
  std::vector<Override> record_received(const std::string& key);
  bool held(std::uint32_t id) const { return held_.contains(id); }
  // The newest status of a server among all records.
  std::optional<ServerStatus> newest(std::uint32_t id) const;
  Figures figures() const;

 private:
  bool drained_by_others(std::uint32_t id) const;
  bool publish(Instant now, std::uint32_t id, const ServerStatus& status,
               std::optional<std::uint64_t> ready_as_of);

  Replica& records_;
  std::map<std::uint32_t, Entry> list_{};
  std::set<std::uint32_t> held_{};
  std::uint64_t revision_ = 0;
  Figures figures_;
};

}  // namespace docklift::replica
