// Whom a proxy asks for the records of servers, and what it tells of those that it knows: of the registries that it is
// linked to one tells all records, each other one what differs from them. A list that each of them told would fill an
// edge link when hundreds of proxies start. Pure.
#pragma once

#include <tsl/robin_map.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "system/base/time.hpp"
#include "system/fleet/records.hpp"

namespace docklift::fleet {

inline constexpr std::size_t kRecordRanges = 64;  // of servers' ids

// One digest for each range of ids, over the servers that are not gone: equal where the records are the same in what
// proxies go by.
class RecordDigests {
 public:
  RecordDigests() : digests_(kRecordRanges) {}
  // Adds a record, or takes out one that was added.
  void toggle(const std::string& id, const std::string& address, Phase phase);
  const std::vector<std::uint64_t>& all() const { return digests_; }

 private:
  std::vector<std::uint64_t> digests_;
};

// The records as they were told last.
class KnownRecords {
 public:
  void update(const Server& told);  // an older record is passed over
  const std::vector<std::uint64_t>& digests() const { return digests_.all(); }
  std::size_t size() const { return records_.size(); }

 private:
  struct Record {
    std::string address;
    Phase phase = Phase::READY;
    std::uint64_t heartbeat_sequence = 0;
  };
  tsl::robin_map<std::string, Record> records_;  // by id, without those that are gone
  RecordDigests digests_;
};

// Each call returns the registries to ask now. Until one has answered, one is asked at a time, and another one where it
// is lost or late; then all that are linked are told what is known and asked for the rest.
class RecordRequests {
 public:
  using Registries = std::vector<std::string>;
  Registries linked(Time now, const std::string& registry);
  Registries lost(Time now, const std::string& registry);
  Registries answered(const std::string& registry);
  Registries tick(Time now);
  // All records of one registry have come.
  bool complete() const { return complete_; }

 private:
  Registries ask_next(Time now);
  bool complete_ = false;
  std::set<std::string> waiting_;  // linked, and not asked yet
  std::string asked_;              // whose answer is awaited; empty: nobody's
  Time asked_at_{};
};

}  // namespace docklift::fleet
