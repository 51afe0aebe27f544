// The messages that stores exchange, and the records that a store keeps on disk. Plain values and their
// encoding.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "system/configuration/configuration.hpp"

namespace docklift::agreement {

using configuration::ChangeKind;
using configuration::State;
using configuration::Voter;

// Ordered by round. Two proposers never share a ballot, as it names the proposer's address and disk; the
// first ballot of a disk is durable before it is sent.
struct Ballot {
  std::uint64_t round = 0;
  std::string address;  // IP address of the proposer
  std::uint64_t disk = 0;
  auto operator<=>(const Ballot&) const = default;
};

// The content of one log slot. A proposer recognizes its own changes by `author` and `number`.
struct Change {
  ChangeKind kind = ChangeKind::noop;
  std::string text, author;
  std::uint64_t number = 0;
  bool operator==(const Change&) const = default;
};

struct AcceptedChange {
  Ballot ballot;
  Change change;
};

// A decided change.
struct LogEntry {
  std::uint64_t slot = 0;
  Change change;
};

inline std::uint64_t position_of(const LogEntry& entry) { return entry.slot; }
inline std::size_t bytes_of(const LogEntry& entry) { return entry.change.text.size() + sizeof(LogEntry); }

struct Prepare {  // phase 1
  std::uint64_t slot = 0;
  Ballot ballot;
};
struct Promise {
  std::uint64_t slot = 0;
  Ballot ballot;    // of the Prepare
  Ballot promised;  // granted if equal to `ballot`
  std::optional<AcceptedChange> accepted;
};
struct Accept {  // phase 2
  std::uint64_t slot = 0;
  Ballot ballot;
  Change change;
};
struct Accepted {
  std::uint64_t slot = 0;
  Ballot ballot;    // of the Accept
  Ballot promised;  // accepted if equal to `ballot`
};
struct StatusRequest {
  std::uint64_t round = 0;
};
struct Status {
  std::uint64_t round = 0;  // of the request
  std::uint64_t position = 0;
  bool has_state = false;        // false: its disk was empty and it has not read the others' state yet
  bool eligible = false;         // may be made a voter
  bool leaving = false;          // is shutting down and hands its vote over
  std::uint64_t membership = 0;  // of its state
  std::vector<std::pair<std::uint64_t, AcceptedChange>> accepted;  // in slots beyond `position`
};
struct Fetch {
  std::uint64_t after = 0;
};
struct Log {
  std::vector<LogEntry> entries;  // in order, at most one batch
  std::uint64_t newest = 0;       // position of the sender: if beyond the batch, there is more to fetch
  std::uint64_t digest_before = configuration::kUnknownDigest;  // at the position before the first entry
};

using Message = std::variant<Prepare, Promise, Accept, Accepted, LogEntry, StatusRequest, Status, Fetch, Log>;

// The sender of a message. Together with the address of the connection it identifies the voter, if it is one.
struct Sender {
  std::uint64_t disk = 0;
  std::uint64_t membership = 0;  // the highest membership number that the sender knows
  std::uint64_t position = 0;    // of its log, and the digest there
  std::uint64_t log_digest = configuration::kUnknownDigest;
};
struct Envelope {
  Sender sender;
  Message message;
};

std::string encode(const Envelope& envelope);
std::optional<Envelope> decode(std::string_view bytes);  // none: not a message of this protocol

// The zone of a store, as reported on a link.
struct StoreZone {
  std::string address, zone;
};

// What a store reads from its disk at startup.
struct DurableState {
  std::uint64_t disk = 0;  // the disk's identity; 0: the disk is empty
  bool has_state = false;  // the disk holds a state
  State state;             // a snapshot; the reader applies `log` on top
  Ballot promised;
  std::vector<std::pair<std::uint64_t, AcceptedChange>> accepted;
  std::vector<LogEntry> log;  // after state.position, in order
  std::vector<StoreZone> zones;
  std::vector<Voter> destroyed;  // voters whose disks are known to be lost
};

// Records to be written together; `durable`: later actions wait until they are on the disk.
struct Write {
  std::optional<std::uint64_t> disk;
  std::optional<State> state;
  std::optional<Ballot> promised;
  std::vector<std::pair<std::uint64_t, AcceptedChange>> accepted;
  std::vector<LogEntry> log;
  std::vector<StoreZone> zones;
  std::vector<Voter> destroyed;
  std::uint64_t trim_accepted_through = 0;  // removes the accepted changes of slots up to this one
  std::uint64_t trim_log_through = 0;       // removes the log entries up to this one
  bool durable = false;
  bool empty() const {
    return !disk && !state && !promised && accepted.empty() && log.empty() && zones.empty() &&
           destroyed.empty() && trim_accepted_through == 0 && trim_log_through == 0;
  }
};

std::string encode_state(const State& state);
std::optional<State> decode_state(std::string_view bytes);
std::string encode_accepted(const AcceptedChange& accepted);
std::optional<AcceptedChange> decode_accepted(std::string_view bytes);
std::string encode_ballot(const Ballot& ballot);
std::optional<Ballot> decode_ballot(std::string_view bytes);
std::string encode_entry(const LogEntry& entry);
std::optional<LogEntry> decode_entry(std::string_view bytes);

}  // namespace docklift::agreement
