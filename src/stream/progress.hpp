// Whether a peer that is waited for gets on: a least rate over a window, and a longest pause. Time counts only while it is this
// peer that is waited for, so that nobody pays for the slowness of the other side.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

namespace docklift::stream {

using Nanos = std::chrono::nanoseconds;

struct ProgressLimits {
  std::uint64_t least_rate = 0;  // bytes a second over each window; 0: any
  Nanos window{std::chrono::seconds(10)};
  Nanos stall{std::chrono::seconds(10)};
};

class Progress {
 public:
  enum class State { fine, stalled, slow };

  explicit Progress(ProgressLimits limits = {}) : limits_(limits) {}

  // Something is wanted of the peer from now on. Idempotent.
  void wait(Nanos now) {
    if (since_) return;
    since_ = from_ = now;
  }
  // Nothing is, for now.
  void rest(Nanos now) {
    if (!since_) return;
    spent_ += now - *since_;
    since_.reset();
  }
  // It took or gave that many bytes.
  void moved(Nanos now, std::size_t bytes) {
    if (since_) spent_ += now - *since_, since_ = from_ = now;
    bytes_ += bytes;
    if (spent_ >= limits_.window && enough()) spent_ = Nanos{}, bytes_ = 0;
  }
  State state(Nanos now) const {
    if (!since_) return State::fine;
    const auto on = now - *since_;
    if (now - from_ >= limits_.stall) return State::stalled;
    if (spent_ + on >= limits_.window && !enough()) return State::slow;
    return State::fine;
  }
  // When state() is to be asked next; none while nothing is waited for.
  std::optional<Nanos> due() const {
    if (!since_) return std::nullopt;
    auto when = from_ + limits_.stall;
    if (limits_.least_rate > 0 && !enough()) when = std::min(when, *since_ + std::max(Nanos{}, limits_.window - spent_));
    return when;
  }

 private:
  bool enough() const {
    const std::chrono::duration<double> window = limits_.window;
    return static_cast<double>(bytes_) >= static_cast<double>(limits_.least_rate) * window.count();
  }

  ProgressLimits limits_;
  std::optional<Nanos> since_;  // waited for since
  Nanos spent_{};               // waited for in this window, up to since_
  Nanos from_{};                // of this wait, or its last byte
  std::uint64_t bytes_ = 0;     // in this window
};

}  // namespace docklift::stream
