// The last changes of a log, kept for who follows it a little behind. Bounded in number and in bytes; who is
// behind further needs a snapshot. Pure.
#pragma once

#include <cstdint>
#include <deque>
#include <iterator>
#include <vector>

namespace docklift::fleet {

struct RecentChangesLimits {
  std::size_t changes = 1024;
  std::size_t bytes = 4u << 20;            // of all changes that are kept
  std::size_t largest_change = 64u << 10;  // a larger one is not kept: a snapshot carries it, in parts
};

// `Change` has `position_of(change)` and `bytes_of(change)`, found by its namespace.
template <class Change>
class RecentChanges {
 public:
  explicit RecentChanges(RecentChangesLimits limits = {}) : limits_(limits) {}

  // The change at the place after the last one that was pushed.
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

  // Whether all changes after a place, up to the last one pushed, are here; false if there are none.
  bool covers(std::uint64_t place) const {
    return !changes_.empty() && position_of(changes_.front()) <= place + 1 &&
           place < position_of(changes_.back());
  }
  // The changes after a place, as many as have `batch_bytes` together, one at least; empty unless it covers it.
  std::vector<Change> after(std::uint64_t place, std::size_t batch_bytes) const {
    if (!covers(place)) return {};
    std::vector<Change> batch;
    std::size_t bytes = 0;
    const auto skipped = static_cast<std::ptrdiff_t>(place + 1 - position_of(changes_.front()));
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
