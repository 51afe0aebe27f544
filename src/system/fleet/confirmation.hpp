// Freshness of a configuration copy, measured at the requester: a response counts from the time at which its
// request was sent, so neither a suspended process nor a stalled link makes an old response look new.
// Performs no I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "system/base/time.hpp"

namespace docklift::fleet {

// The time as of which a copy is confirmed. A registry's copy is confirmed by read barriers at its store, a
// proxy's by the registries.
class Confirmation {
 public:
  // A request is sent at `sent`, with the copy at `own_position`.
  void asked(Time sent, std::uint64_t own_position);
  // The request sent at `sent` was answered: nothing beyond `position` had been acknowledged by then. The
  // copy is confirmed once it has reached that position. Returns false, confirming nothing, if the core is at
  // an earlier position than the copy was when the request was sent: the core has lost committed changes.
  bool answered(Time sent, std::uint64_t position, std::uint64_t own_position);
  // The copy has reached `own_position`.
  void advanced(std::uint64_t own_position);
  // The copy held all acknowledged changes as of this time; none: not confirmed since the process started.
  std::optional<Time> at() const { return at_; }

 private:
  struct Pending {  // a request's send time, and a log position
    Time sent{};
    std::uint64_t position = 0;
  };
  std::deque<Pending> pending_;  // responses whose position the copy has not reached
  std::deque<Pending> asked_;    // requests, with the copy's position when they were sent
  std::optional<Time> at_;
};

// The confirmation requests of one proxy that its registry has not answered yet.
class ConfirmRequests {
 public:
  void received(Time now, std::uint64_t token);
  // The read barrier started at `begun` has completed. Returns the token of the newest request received by
  // then, which answers all earlier ones too; none if no request had been received.
  std::optional<std::uint64_t> answerable(Time begun);

 private:
  struct Request {
    Time received{};
    std::uint64_t token = 0;
  };
  std::deque<Request> requests_;
};

}  // namespace docklift::fleet
