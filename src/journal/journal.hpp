// What a node writes down so that it outlives a loss of power, without I/O: keys and values come in, commits to a disk go out one at a time, and how
// each ended comes back. While one is under way what is new gathers for the next (group commit). docs/design/journal.md has what may be lost.
//
// Times are nanoseconds of any clock that does not go back.
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
  Instant commit{std::chrono::milliseconds(20)};  // what is new waits so long at most for company
  Instant again{std::chrono::seconds(5)};         // after a disk refused a new file
  double grow = 4;                                // a new generation at so many times the snapshot's size
  std::size_t least_bytes = 64UL << 10U;          // but not below this
  std::size_t most_bytes = 64UL << 20U;           // and at this
  std::size_t most_waiting = 8UL << 20U;          // behind a slow commit: past it a new generation is due instead
};

// To be done in this order, and none behind it begun before it has ended: the file is made, or opened; the bytes are written at its end; it is synced, and
// its folder where it was made; the others are removed. It ends well only if all but the removals did.
struct Commit {
  std::uint64_t id = 0;
  std::string file{};
  bool create = false;
  std::string bytes{};
  std::vector<std::string> remove{};
};

class Journal {
 public:
  struct Figures {
    std::uint64_t commits = 0, failed = 0, generations = 0, bytes = 0, records = 0;
    std::size_t keys = 0, waiting = 0;  // bytes
    bool broken = false;                // the disk refuses: nothing new is durable
  };

  Journal(std::string node, Limits limits) : node_(std::move(node)), limits_(limits) {}

  // With what the disk had. All of it goes into a new generation.
  std::optional<Commit> begin(Instant now, const Recovered& found);
  std::optional<Commit> put(Instant now, const std::string& key, std::string value);
  std::optional<Commit> erase(Instant now, const std::string& key);
  std::optional<Commit> done(Instant now, std::uint64_t id, bool ok);
  std::optional<Commit> tick(Instant now) { return next(now); }
  // At a planned end, once what is under way has been carried out: what is left, whatever came of that.
  std::optional<Commit> last();
  // When tick() is wanted.
  std::optional<Instant> due() const;

  const std::map<std::string, std::string>& state() const { return state_; }
  // Of the last record; and up to which all are on the disk.
  std::uint64_t number() const { return number_; }
  std::uint64_t durable() const { return durable_; }
  Figures figures() const;

 private:
  struct Under {
    std::uint64_t id = 0, upto = 0;
    bool create = false;
  };

  void add(Instant now, Record r);
  std::optional<Commit> next(Instant now);
  Commit new_generation();
  std::size_t roll_at() const;

  std::string node_;
  Limits limits_;
  std::map<std::string, std::string> state_{};
  std::uint64_t number_ = 0, durable_ = 0, ids_ = 0;
  std::uint64_t generation_ = 0, whole_ = 0;  // the newest; and the newest whose snapshot is known to be whole
  std::vector<std::uint64_t> old_{};                            // files there are, to be removed in time
  std::size_t file_bytes_ = 0, snapshot_bytes_ = 0;
  std::string waiting_{};
  Instant waiting_since_{};
  bool begun_ = false, roll_ = false;    // roll: the file in use is not to be written any more
  std::optional<Instant> not_before_{};  // a new generation
  std::optional<Under> under_way_{};
  unsigned failures_ = 0;                // one behind the other
  Figures figures_;
};

}  // namespace docklift::journal
