// When a proxy that is to end takes its last requests, and when it ends what is still open. Pure.
//
// Between SIGTERM and SIGKILL lies the grace. By the operators' page on leaving, a request may be cut in the last sixth
// of the grace only if it was sent within kLatestSend of SIGTERM; a later one needs its answer before the process ends.
#pragma once

#include <algorithm>

#include "system/base/time.hpp"

namespace docklift::decisions {

struct DrainSchedule {
  static constexpr Duration kLatestSend = std::chrono::seconds(3);
  // Parts: of the time in which requests may be sent, so that a signal that is seen late does not matter; of the
  // grace, so that the last answers can be written.
  static constexpr double kAcceptPart = 0.9, kGiveUpPart = 0.9, kEndPart = 0.97;

  DrainSchedule(Time now, Duration grace)
      : started_at(now),
        accepts_until(now + snowknot::scaled(std::min(kLatestSend, grace / 2), kAcceptPart)),
        abort_at(now + snowknot::scaled(grace, kGiveUpPart)),
        exit_at(now + snowknot::scaled(grace, kEndPart)) {}

  // Whether a request that arrives now and ends by `deadline` at the latest may be begun.
  bool may_begin(Time now, Time deadline) const { return now < accepts_until || deadline <= abort_at; }

  Time started_at;
  Time accepts_until;  // later requests are begun only if they end in time
  Time abort_at;       // what is still open gets its end
  Time exit_at;        // the process ends, also where a client has not read its answer
};

}  // namespace docklift::decisions
