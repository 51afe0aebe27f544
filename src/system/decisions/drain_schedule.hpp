// The times of a proxy's shutdown: until when it begins requests, and when it ends what is still open.
//
// The grace period is the time between SIGTERM and SIGKILL. By the operators' page on leaving, a request may
// be cut in the last sixth of the grace period only if it was sent within kMaxSendDelay of SIGTERM; a later
// one must be answered before the process ends.
#pragma once

#include <algorithm>

#include "system/base/time.hpp"

namespace docklift::decisions {

// The times of one shutdown, from its start and the grace period.
struct DrainSchedule {
  static constexpr Duration kMaxSendDelay = std::chrono::seconds(3);  // after SIGTERM
  // Fraction of the time in which requests may be sent; the rest allows for a signal that is handled late.
  static constexpr double kAcceptFraction = 0.9;
  // Fractions of the grace period; the rest is left to write the last responses.
  static constexpr double kAbortFraction = 0.9, kExitFraction = 0.97;

  DrainSchedule(Time now, Duration grace)
      : started_at(now),
        accepts_until(now + snowknot::scaled(std::min(kMaxSendDelay, grace / 2), kAcceptFraction)),
        abort_at(now + snowknot::scaled(grace, kAbortFraction)),
        exit_at(now + snowknot::scaled(grace, kExitFraction)) {}

  // Whether a request that arrives now and ends by `deadline` at the latest may be begun.
  bool may_begin(Time now, Time deadline) const { return now < accepts_until || deadline <= abort_at; }

  Time started_at;
  Time accepts_until;  // later requests are begun only if they end in time
  Time abort_at;       // open requests are ended
  Time exit_at;        // the process ends, even if a client has not read its response
};

}  // namespace docklift::decisions
