// The most recent changes of a log, kept for followers that lag slightly. Bounded in number and in bytes;
// followers that lag further need a snapshot. Performs no I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <iterator>
#include <vector>

namespace docklift::fleet {

struct RecentChangesLimits {
  std::size_t changes = 1024;
  std::size_t bytes = 4u << 20;            // of all changes kept
  std::size_t largest_change = 64u << 10;  // a larger change is not kept: it is sent in a snapshot, in parts
};

// `position_of(change)` and `bytes_of(change)` are found by argument-dependent lookup.
template <class Change>
class RecentChanges {
 public:
  explicit RecentChanges(RecentChangesLimits limits = {}) : limits_(limits) {}

  // Adds the change at the position after the last one pushed.
  void push(const Change& change) {
    if (bytes_of(change) > limits_.largest_change) return clear();
    changes_.push_back(change);
    bytes_ += bytes_of(change);
    while (changes_.size() > limits_.changes || bytes_ > limits_.bytes) drop_oldest();
  }
  void clear() {
    changes_.clear();
    bytes_ = 0;
  }

  // Whether all changes after `position`, up to the last one pushed, are kept; false if there are none.
  bool covers(std::uint64_t position) const {
    return !changes_.empty() && position_of(changes_.front()) <= position + 1 &&
           position < position_of(changes_.back());
  }
  // The changes after `position`, up to `batch_bytes` in total but at least one; empty unless
  // covers(position).
  std::vector<Change> after(std::uint64_t position, std::size_t batch_bytes) const {
    if (!covers(position)) return {};
    std::vector<Change> batch;
    std::size_t bytes = 0;
    const auto skipped = static_cast<std::ptrdiff_t>(position + 1 - position_of(changes_.front()));
    for (auto change = std::next(changes_.begin(), skipped); change != changes_.end(); ++change) {
      bytes += bytes_of(*change);
      if (!batch.empty() && bytes > batch_bytes) break;
      batch.push_back(*change);
    }
    return batch;
  }
  std::size_t size() const { return changes_.size(); }

 private:
  void drop_oldest() {
    bytes_ -= bytes_of(changes_.front());
    changes_.pop_front();
  }

  RecentChangesLimits limits_;
  std::deque<Change> changes_;
  std::size_t bytes_ = 0;
};

}  // namespace docklift::fleet
