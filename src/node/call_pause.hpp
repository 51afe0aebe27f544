// When a node asks again for what it was not given. Alone it asks soon; a wide fleet that was turned away
// together must not come back together, nor faster than one call from each can be taken. No I/O: randomness
// by seed.
#pragma once

#include <algorithm>
#include <random>

#include "facts.hpp"
#include "snowknot/gateway.hpp"

namespace snowknot {

class CallPause {
 public:
  // `pushed`: who is asked is on the node's own machine, answers at no cost, and has what counts as told.
  CallPause(std::uint32_t fleet, std::uint64_t seed, bool pushed = false)
      : pushed_(pushed), span_(fleet > facts::kWideFleet ? fleet * facts::kCallSpan : Duration{}), rng_(seed) {}

  // After a call that was not answered as asked. Its first part is for the queue to shrink that others stand
  // in.
  Duration after_failure() {
    if (span_ == Duration{})
      return pause_ = std::clamp(2 * pause_, facts::kFirstBackoff, facts::kLongestBackoff);
    pause_ = std::clamp(2 * pause_, span_, facts::kMostSpans * span_);
    return pause_ / 2 + part(static_cast<double>(pause_.count()) / static_cast<double>(span_.count()));
  }
  // After the end of what had worked: as many may have lost it at once, but nobody waits there yet.
  Duration after_end() { return span_ == Duration{} ? after_failure() : facts::kFirstBackoff + part(1); }
  // After a call, answered or not, on which nothing came any more. Where lists are pushed nobody turned it away and nobody else is in the way:
  // what it misses counts as told soon, however many miss it.
  Duration after_silence(bool had_worked) {
    if (pushed_) return facts::kFirstBackoff;
    return had_worked ? after_end() : after_failure();
  }
  void worked() { pause_ = {}; }

 private:
  // Evenly up to so many spans.
  Duration part(double spans) {
    const double u = static_cast<double>(rng_() >> 11U) * 0x1.0p-53;
    return Duration(static_cast<Duration::rep>(u * spans * static_cast<double>(span_.count())));
  }

  bool pushed_;
  Duration span_;  // in which a call from each of the fleet is sure to be taken; 0: the fleet is small
  Duration pause_{};
  std::mt19937_64 rng_;
};

}  // namespace snowknot
