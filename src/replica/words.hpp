// What lists said of servers, one's own and the others', without I/O: a server that any node's list calls draining is drained here too, until one's
// own list has a newer word. docs/design/replication.md has the rule.
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

class ServerPhases {
 public:
  struct Entry {
    std::uint32_t id = 0;
    std::uint64_t start = 0;  // Unix ms; 0: long ago
    ServerPhase phase = ServerPhase::ready;
  };
  struct Override {
    std::uint32_t id = 0;
    bool draining = false;  // else: as one's own list has it
  };
  struct Figures {
    std::uint64_t published = 0, learnt = 0, undone = 0;
    std::size_t held = 0;  // servers drained here by others' word alone
  };

  explicit ServerPhases(Replica& records) : records_(records) {}

  // One's own list, whole or what changed of it. Returns what is to be told otherwise than the list has it. `fresh`: records were
  // written that others wait for.
  std::vector<Override> listed(Instant now, bool whole, std::uint64_t revision, const std::vector<Entry>& entries, bool& fresh);
  // A record of another's has come.
  std::vector<Override> record_received(const std::string& key);
  bool held(std::uint32_t id) const { return held_.contains(id); }
  // The newest word on a server among all records.
  std::optional<ServerStatus> newest(std::uint32_t id) const;
  Figures figures() const;

 private:
  bool drained_by_others(std::uint32_t id) const;
  bool publish(Instant now, std::uint32_t id, const ServerStatus& word, std::optional<std::uint64_t> ready_as_of);

  Replica& records_;
  std::map<std::uint32_t, Entry> list_{};
  std::set<std::uint32_t> held_{};
  std::uint64_t revision_ = 0;
  Figures figures_;
};

}  // namespace docklift::replica
