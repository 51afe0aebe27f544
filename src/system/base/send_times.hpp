// The send times of recent requests of one kind, by the requester's clock. The validity of a response is
// counted from the time its request was sent, however long it was delayed or queued on the way. No I/O and no
// clock of its own.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "system/base/time.hpp"

namespace docklift {

// Numbers the requests and records when each was sent.
class SendTimes {
 public:
  // Keeps at most `limit` requests; responses to older ones are treated as responses to unknown requests.
  explicit SendTimes(std::size_t limit) : limit_(limit) {}

  // Records a request that is sent now and returns its number.
  std::uint64_t sent(Time now) {
    if (times_.size() == limit_) {
      times_.pop_front();
      ++first_;
    }
    times_.push_back(now);
    return first_ + times_.size() - 1;
  }
  // When request `number` was sent; none if it is unknown or no longer recorded.
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
