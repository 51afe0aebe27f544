// Paces the requests of a snapshot after one that could not be read: without a pause its source and its
// receiver would send and drop it again and again. Performs no I/O.
#pragma once

#include <algorithm>
#include <optional>

#include "system/base/time.hpp"

namespace docklift::transfer {

// A pause that doubles with each consecutive failure.
class RetryPause {
 public:
  static constexpr Duration kFirst = std::chrono::milliseconds(250);
  static constexpr Duration kLongest = std::chrono::seconds(8);

  // Starts a pause and returns its length. A failure during a pause neither lengthens nor restarts it:
  // returns nothing.
  std::optional<Duration> on_failure(Time now) {
    if (until_) return std::nullopt;
    const Duration pause = next_;
    next_ = std::min(2 * next_, kLongest);
    until_ = now + pause;
    return pause;
  }
  void on_success() {
    until_.reset();
    next_ = kFirst;
  }
  bool pausing() const { return until_.has_value(); }
  // Ends the pause if it is over: the next request may be sent.
  bool ends(Time now) {
    if (!until_ || now < *until_) return false;
    until_.reset();
    return true;
  }

 private:
  std::optional<Time> until_;
  Duration next_ = kFirst;
};

}  // namespace docklift::transfer
