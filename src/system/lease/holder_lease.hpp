// A lease that one of several holds at a time: its holder has been granted it by a majority for a while, and
// renews. The holder names its successor when it ends in order; a majority does when it can't. Pure. Terms
// rise with each holder. Safe while clocks run at the same speed to within `margin` of `lease`: a grantor
// that has lost its memory grants nothing for a lease, unless all voters have: then whoever held it has
// restarted as well, as it is one of them.
//
// A holder counts from the moment at which it sent the round of requests that a majority has granted; a reply
// to another round says nothing of this one.
//
// The voters may change. A request names the membership number that it was made on and is granted only under
// that number, by a grantor whose own number was the newest `membership_age` ago at most. So none grants under
// a number later than that after the next one was agreed; who learns a new number grants nothing for that time
// and a lease, but renews for the holder that it has promised itself to. docs/design/control-safety.md, 2.
#pragma once

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "system/base/time.hpp"

namespace docklift::lease {

struct Timing {
  Duration duration = std::chrono::milliseconds(1200);
  Duration clock_margin = std::chrono::milliseconds(150);
  Duration renew_interval = std::chrono::milliseconds(250);
  Duration discovery_wait = std::chrono::milliseconds(
      300);  // after a start without memory: members tell the terms that they know
  Duration claim_stagger = std::chrono::milliseconds(120);  // between those that may claim it, by rank
  Duration max_membership_age = std::chrono::milliseconds(2000);
};

struct Voters {
  std::uint64_t membership = 0;  // the number of this set
  std::vector<std::string> addresses;
};
struct Request {
  std::uint64_t term = 0;
  std::string holder, successor;
  bool release = false;
  bool holds = false;  // granted by a majority before, and renewed now
  std::uint64_t
      incarnation = 0;  // of the holder: a restarted one has forgotten what it held, and renews nothing
  std::uint64_t membership = 0;
  std::uint64_t round = 0;  // of the holder's choice; told back
};
struct Reply {
  std::uint64_t term = 0;
  bool granted = false;
  bool provisional = false;      // not granted for want of memory, but promised to nobody else
  std::string holder;            // to whom it is granted now, where it was refused
  std::uint64_t membership = 0;  // the grantor's
  std::uint64_t round = 0;
};

class HolderLease {
 public:
  // `remembers`: false where this process may have granted it in an earlier life.
  HolderLease(Timing timing, std::string self, std::uint64_t life, bool remembers, Time now);

  // Who votes, and as of when that was known to be the newest set (none: not known in this life). Called
  // before each tick().
  void observe_voters(Time now, Voters voters, std::optional<Time> confirmed_at);
  // A request to be sent to every voter but this one; called at least each 100 ms. `linked`: the voters in
  // reach, this one among them; those that come first by name claim first. A first term is drawn from
  // `wall_ms` (the time of day), so that terms of two starts of everything are not the same.
  std::optional<Request> tick(Time now, std::uint64_t wall_ms, const std::vector<std::string>& linked);
  Reply on_request(Time now, const Request& request);
  void on_reply(Time now, const std::string& from, const Reply& reply);
  // A term that somebody knows of: later ones are higher, also where all voters have lost their memory.
  void observe_term(std::uint64_t term);
  // Ends holding it, for `successor` (may be empty).
  std::optional<Request> release(Time now, const std::string& successor);

  bool holds(Time now) const { return held_term_ != 0 && now < held_until_; }
  std::uint64_t held_term() const { return held_term_; }
  // Nobody knew of an earlier holder when it was claimed.
  bool is_first_holder() const { return held_first_; }
  // Who was last known to hold it, with its term: by its own word, as a claim that was granted here alone is
  // no lease.
  const std::string& holder() const { return known_holder_; }
  std::uint64_t term() const { return known_term_; }

 private:
  struct Round {  // of requests to all voters
    std::uint64_t number = 0;
    std::uint64_t term = 0;
    Time requested_at{};
    std::uint64_t membership = 0;
    std::vector<std::string> voters;
    std::set<std::string> grants, blanks;
  };
  void count(Time now, const Round& round);
  void grant(Time now, const Request& request);
  void pass_on(Time now, const Request& release);
  Reply refusal(const Request& request) const;
  Reply granted(const Request& request) const;
  Reply promised_blank(const Request& request) const;
  bool membership_is_current(Time now) const;
  std::size_t majority() const { return voters_.addresses.size() / 2 + 1; }
  Request request_now() const;

  Timing timing_;
  std::string self_;
  std::uint64_t life_;
  Voters voters_;
  bool knows_voters_ = false;
  std::optional<Time> membership_confirmed_at_;
  // As a grantor.
  Time silent_until_{};         // as it has lost its memory
  Time change_silent_until_{};  // as the voters have changed
  std::uint64_t granted_term_ = 0;
  std::string granted_to_;
  std::uint64_t granted_life_ = 0;
  Time granted_until_{};
  std::string known_holder_;
  std::uint64_t known_term_ = 0;
  // As a claimant.
  bool named_ = false;  // by who held it before
  bool held_first_ = false, claimed_first_ = false;
  std::uint64_t claimed_term_ = 0, held_term_ = 0, seen_term_ = 0;
  Time held_until_{}, next_request_{}, enough_since_ = Time::max();  // voters in reach for a claim to succeed
  std::uint64_t round_number_ = 0;
  std::deque<Round> rounds_;  // the last ones
};

}  // namespace docklift::lease
