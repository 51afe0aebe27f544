// When each of the last requests of one kind was sent, by the asker's own clock. An answer counts from that
// moment, whatever time it took and wherever it waited. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "system/base/time.hpp"

namespace docklift {

class SendTimes {
 public:
  // Remembers at most `limit` requests; an answer to an older one is an answer to an unknown one.
  explicit SendTimes(std::size_t limit) : limit_(limit) {}

  // A number for a request that is sent now.
  std::uint64_t sent(Time now) {
    if (times_.size() == limit_) {
      times_.pop_front();
      ++first_;
    }
    times_.push_back(now);
    return first_ + times_.size() - 1;
  }
  // When the request with that number was sent; none: it is not known, or no longer.
  std::optional<Time> of(std::uint64_t number) const {
    if (number < first_ || number - first_ >= times_.size()) return std::nullopt;
    return times_[number - first_];
  }

 private:
  std::size_t limit_;
  std::uint64_t first_ = 1;
  std::deque<Time> times_;
};

}  // namespace docklift
