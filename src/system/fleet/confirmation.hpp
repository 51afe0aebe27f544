// How fresh a copy of the configuration is known to be, counted at the asker: an answer counts from the moment
// at which its question was sent, so neither a process that stood still nor a link that stalled makes an old
// answer look new. Pure.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "system/base/time.hpp"

namespace docklift::fleet {

// A registry's copy is confirmed by read barriers at its store, a proxy's by the registries.
class Confirmation {
 public:
  // A question is sent now, while the copy stands at `own_position`.
  void asked(Time sent, std::uint64_t own_position);
  // A question sent at `sent` was answered: nothing beyond `position` had been acknowledged by then. Counts as
  // soon as the copy has come to that position. False, and nothing counts: the core stands before what was here when it
  // was asked, so that it has lost something that had been agreed.
  bool answered(Time sent, std::uint64_t position, std::uint64_t own_position);
  // The copy has come to `own_position`.
  void advanced(std::uint64_t own_position);
  // As of this moment the copy held all that was acknowledged; none: not known in this life.
  std::optional<Time> at() const { return at_; }

 private:
  struct Pending {  // a question, and a position
    Time sent{};
    std::uint64_t position = 0;
  };
  std::deque<Pending> pending_;
  std::deque<Pending> asked_;  // where the copy stood
  std::optional<Time> at_;
};

// The requests of one proxy that its registry has not answered yet.
class ConfirmRequests {
 public:
  void received(Time now, std::uint64_t token);
  // A read barrier that was begun at `begun` has ended: the token of the newest request that had come by then,
  // which answers all before it too; none: no request had.
  std::optional<std::uint64_t> answerable(Time begun);

 private:
  struct Request {
    Time received{};
    std::uint64_t token = 0;
  };
  std::deque<Request> requests_;
};

}  // namespace docklift::fleet
