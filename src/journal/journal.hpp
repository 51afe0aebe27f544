// A journal of keys and values that survives a loss of power, without I/O: changes are the input, commits to a disk the output, one at a time, and the
// result of each is reported back. Changes made during a commit are collected for the next (group commit). See docs/design/journal.md for what may be
// lost.
//
// Times are nanoseconds of any monotonic clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "journal/format.hpp"

namespace docklift::journal {

using Instant = std::chrono::nanoseconds;

struct Limits {
  Instant commit{std::chrono::milliseconds(20)};  // longest delay of a change for a group commit
  Instant again{std::chrono::seconds(5)};         // delay before the next attempt after a new file failed
  double grow = 4;                                // a new generation at this multiple of the snapshot's size
  std::size_t least_bytes = 64UL << 10U;          // but not below this size
  std::size_t most_bytes = 64UL << 20U;           // and always at this size
  std::size_t most_waiting = 8UL << 20U;          // pending bytes during a slow commit; above it a new generation replaces them
};

// Steps to perform in this order, completely before the next commit begins: create or open the file; append the bytes; sync the file, and its folder if
// the file was created; remove the other files. The commit succeeds if all steps but the removals do.
struct Commit {
  std::uint64_t id = 0;
  std::string file{};
  bool create = false;
  std::string bytes{};
  std::vector<std::string> remove{};
};

// Holds the state and decides what is written when.
class Journal {
 public:
  struct Figures {
    std::uint64_t commits = 0, failed = 0, generations = 0, bytes = 0, records = 0;
    std::size_t keys = 0, waiting = 0;  // bytes
    bool broken = false;                // the disk fails repeatedly: nothing new is durable
  };

  Journal(std::string node, Limits limits) : node_(std::move(node)), limits_(limits) {}

  // Starts with the state found on the disk, which is written to a new generation.
  std::optional<Commit> begin(Instant now, const Recovered& found);
  std::optional<Commit> put(Instant now, const std::string& key, std::string value);
  std::optional<Commit> erase(Instant now, const std::string& key);
  std::optional<Commit> done(Instant now, std::uint64_t id, bool ok);
  std::optional<Commit> tick(Instant now) { return next(now); }
  // The last commit at a planned shutdown, after the one in progress has ended, successfully or not.
  std::optional<Commit> last();
  // When tick() has to be called.
  std::optional<Instant> due() const;

  const std::map<std::string, std::string>& state() const { return state_; }
  // The last record's number, and the number up to which all are on the disk.
  std::uint64_t number() const { return number_; }
  std::uint64_t durable() const { return durable_; }
  Figures figures() const;

 private:
  struct InFlight {
    std::uint64_t id = 0, upto = 0;
    bool create = false;
  };

  void add(Instant now, Record r);
  std::optional<Commit> next(Instant now);
  Commit new_generation();
  std::size_t roll_size() const;

  std::string node_;
  Limits limits_;
  std::map<std::string, std::string> state_{};
  std::uint64_t number_ = 0, durable_ = 0, ids_ = 0;
  std::uint64_t generation_ = 0, whole_ = 0;  // the newest; and the newest whose snapshot is known to be complete
  std::vector<std::uint64_t> old_files_{};                            // existing files, to be removed later
  std::size_t file_bytes_ = 0, snapshot_bytes_ = 0;
  std::string pending_{};
  Instant pending_since_{};
  bool started_ = false, roll_ = false;    // roll: the current file must not be written any more
  std::optional<Instant> not_before_{};  // the earliest time for a new generation
  std::optional<InFlight> in_flight_{};
  unsigned failures_ = 0;                // consecutive
  Figures figures_;
};

}  // namespace docklift::journal
