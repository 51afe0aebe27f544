// A lease that one of several holds at a time: its holder has been granted it by a majority for a while, and
// renews. The holder names its successor when it ends in order; a majority does when it can't. Pure. Terms
// rise with each holder. Safe while clocks run at the same speed to within `margin` of `lease`: a grantor
// that has lost its memory grants nothing for a lease, unless all voters have: then whoever held it has
// restarted as well, as it is one of them.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "system/base/time.hpp"

namespace docklift::lease {

struct Terms {
  Duration lease = std::chrono::milliseconds(1200);
  Duration margin = std::chrono::milliseconds(150);
  Duration renew = std::chrono::milliseconds(250);
  Duration hearing = std::chrono::milliseconds(
      300);  // after a start without memory: members tell the terms that they know
  Duration stagger = std::chrono::milliseconds(120);  // between those that may claim it, by rank
};

struct Request {
  std::uint64_t term = 0;
  std::string holder, successor;
  bool release = false;
  bool holds = false;      // granted by a majority before, and renewed now
  std::uint64_t life = 0;  // of the holder: a restarted one has forgotten what it held, and renews nothing
};
struct Reply {
  std::uint64_t term = 0;
  bool granted = false;
  bool blank = false;  // not granted for want of memory, but promised to nobody else
  std::string holder;  // to whom it is granted now, where it was refused
};

class HolderLease {
 public:
  // `remembers`: false where this process may have granted it in an earlier life.
  HolderLease(Terms terms, std::string self, std::uint64_t life, bool remembers, Time now);

  // Asks to be sent to every voter but this one; called at least each 100 ms. `linked`: the voters in reach,
  // this one among them; those that come first by name claim first. A first term is drawn from `wall_ms` (the
  // time of day), so that terms of two starts of everything are not the same.
  std::optional<Request> tick(Time now, std::uint64_t wall_ms, const std::vector<std::string>& voters,
                              const std::vector<std::string>& linked);
  Reply on_request(Time now, const Request& request);
  void on_reply(Time now, const std::string& from, const Reply& answer);
  // A term that somebody knows of: later ones are higher, also where all voters have lost their memory.
  void observe_term(std::uint64_t term);
  // Ends holding it, for `successor` (may be empty).
  std::optional<Request> release(Time now, const std::string& successor);

  bool holds(Time now) const { return held_term_ != 0 && now < held_until_; }
  std::uint64_t held_term() const { return held_term_; }
  // Nobody knew of an earlier holder when it was claimed.
  bool held_first() const { return held_first_; }
  // Who was last known to hold it, with its term: by its own word, as a claim that was granted here alone is
  // no lease.
  const std::string& holder() const { return known_holder_; }
  std::uint64_t term() const { return known_term_; }

 private:
  void count(Time now);
  void grant(Time now, const Request& request);

  Terms terms_;
  std::string self_;
  std::uint64_t life_;
  // as a grantor
  Time silent_until_{};
  std::uint64_t granted_term_ = 0;
  std::string granted_to_;
  std::uint64_t granted_life_ = 0;
  Time granted_until_{};
  std::string known_holder_;
  std::uint64_t known_term_ = 0;
  // as a claimant
  bool named_ = false;  // by who held it before
  bool held_first_ = false, claimed_first_ = false;
  std::uint64_t claimed_term_ = 0, held_term_ = 0, seen_term_ = 0;
  Time requested_at_{}, held_until_{}, next_request_{},
      enough_since_ = Time::max();  // voters in reach for a claim to succeed
  std::set<std::string> grants_, blanks_;
  std::size_t majority_ = 1, voters_ = 1;
};

}  // namespace docklift::lease
