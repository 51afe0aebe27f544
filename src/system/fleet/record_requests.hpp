// Requests of a proxy for server records: of the registries that it is connected to, one sends all records,
// each other one only those that differ from the records the proxy has. A full list from each of them would
// saturate an edge link when hundreds of proxies start. Performs no I/O.
#pragma once

#include <tsl/robin_map.h>

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "system/base/time.hpp"
#include "system/fleet/records.hpp"

namespace docklift::fleet {

inline constexpr std::size_t kRecordRanges = 64;  // hash ranges of server ids

// One digest for each range of ids, over the servers that are not gone. Digests are equal if the records
// agree in the fields that proxies use.
class RecordDigests {
 public:
  RecordDigests() : digests_(kRecordRanges) {}
  // Adds a record, or removes one that was added.
  void toggle(const std::string& id, const std::string& address, Phase phase);
  const std::vector<std::uint64_t>& all() const { return digests_; }

 private:
  std::vector<std::uint64_t> digests_;
};

// The server records as last received. Servers that have left are remembered, as a registry that has not heard
// of it may still send their records.
class KnownRecords {
 public:
  // Ignores an older record. Returns false if the server has left before: its record must not be used.
  bool update(Time now, const Server& received);
  const std::vector<std::uint64_t>& digests() const { return digests_.all(); }
  std::size_t size() const { return records_.size(); }

 private:
  struct Record {
    std::string address;
    Phase phase = Phase::READY;
    std::uint64_t heartbeat_sequence = 0;
  };
  void remember_left(Time now, const std::string& id);
  tsl::robin_map<std::string, Record> records_;  // by id, without servers that are gone
  RecordDigests digests_;
  std::set<std::string> left_;                                  // ids
  std::deque<std::pair<Time, std::string>> left_oldest_first_;  // when they are forgotten
};

// Selects the registries to ask; each call returns those to ask now. Until the first answer, one registry is
// asked at a time, and the next if it disconnects or times out; then all connected ones are sent the digests
// of the known records and asked for the rest.
class RecordRequests {
 public:
  using Registries = std::vector<std::string>;
  Registries linked(Time now, const std::string& registry);
  Registries lost(Time now, const std::string& registry);
  Registries answered(const std::string& registry);
  Registries tick(Time now);
  // All records of one registry have been received.
  bool complete() const { return complete_; }

 private:
  Registries ask_next(Time now);
  bool complete_ = false;
  std::set<std::string> waiting_;  // connected, not asked yet
  std::string asked_;              // the registry whose answer is pending; empty: none
  Time asked_at_{};
};

}  // namespace docklift::fleet
