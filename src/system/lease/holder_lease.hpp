// A lease that at most one of several registries holds at a time. A majority of voters grants it for a
// limited time, and the holder renews it. A holder that shuts down in order names its successor; otherwise
// the majority grants the lease to another claimant once it has expired. Does no I/O. Terms rise with each
// holder. Safe while clocks run at the same speed to within `clock_margin` per `duration`: a grantor that has
// lost its memory in a restart grants nothing for one lease duration, unless all voters have: then any
// earlier holder has restarted as well, as it is one of them.
//
// A holder counts the lease from the time at which it sent the round of requests that a majority has granted;
// a reply to another round does not count for this one.
//
// The voters may change. A request names the membership number that it was made under and is granted only
// under that number, by a grantor that confirmed its own number as the newest at most `max_membership_age`
// ago. So nobody grants under a number for longer than that after its successor was agreed. A grantor that
// learns of a new number grants nothing for `max_membership_age` plus one lease duration, but still renews
// for the holder that it has granted the lease to. It need not wait if the next number has the same machines, as
// where one of them got a new disk: the lease doesn't depend on disks, and promises are kept. See docs/design/control-safety.md, section 2.
#pragma once

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "system/base/time.hpp"

namespace docklift::lease {

// Durations and intervals of the lease.
struct Timing {
  Duration duration = std::chrono::milliseconds(1200);
  // What a holder subtracts from the duration, for clocks that differ in speed.
  Duration clock_margin = std::chrono::milliseconds(150);
  Duration renew_interval = std::chrono::milliseconds(250);
  // How long a start without memory waits for members to report the terms that they know.
  Duration discovery_wait = std::chrono::milliseconds(300);
  Duration claim_stagger = std::chrono::milliseconds(120);  // delay per rank before a claim
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
  bool holds = false;  // a renewal: a majority has granted this term before
  // Of the holder's process: after a restart it no longer knows what it held, and renews nothing.
  std::uint64_t incarnation = 0;
  std::uint64_t membership = 0;
  std::uint64_t round = 0;  // chosen by the holder and returned in the reply
};
struct Reply {
  std::uint64_t term = 0;
  bool granted = false;
  // Not granted, as the grantor has lost its memory, but promised to nobody else.
  bool provisional = false;
  std::string holder;            // on a rejection, to whom the lease is granted now
  std::uint64_t membership = 0;  // the grantor's
  std::uint64_t round = 0;
};

// One registry's state of the lease, as grantor and as claimant.
class HolderLease {
 public:
  // `remembers_grants` is false if an earlier incarnation of this process may have granted the lease.
  HolderLease(Timing timing, std::string self, std::uint64_t incarnation, bool remembers_grants, Time now);

  // Sets the voters and when they were last confirmed as the newest set (none: not since this process
  // started). To be called before each tick().
  void observe_voters(Time now, Voters voters, std::optional<Time> confirmed_at);
  // Returns a request to be sent to every voter but this one; to be called at least every 100 ms. `linked`
  // are the reachable voters, including this one; the first ones by name claim first. The first term is
  // derived from `wall_ms`, the time of day, so that two starts of the whole system use different terms.
  std::optional<Request> tick(Time now, std::uint64_t wall_ms, const std::vector<std::string>& linked);
  Reply on_request(Time now, const Request& request);
  void on_reply(Time now, const std::string& from, const Reply& reply);
  // A term that another member knows: later terms are higher, even after all voters have lost their memory.
  void observe_term(std::uint64_t term);
  // Gives up the lease in favor of `successor`, which may be empty.
  std::optional<Request> release(Time now, const std::string& successor);

  bool holds(Time now) const { return held_term_ != 0 && now < held_until_; }
  std::uint64_t held_term() const { return held_term_; }
  // No earlier holder was known when the lease was claimed.
  bool is_first_holder() const { return is_first_holder_; }
  // The last known holder and its term, as stated by the holder itself: a claim that only this voter has
  // granted is not a lease.
  const std::string& holder() const { return known_holder_; }
  std::uint64_t term() const { return known_term_; }

 private:
  // A round of requests to all voters.
  struct Round {
    std::uint64_t number = 0;
    std::uint64_t term = 0;
    Time requested_at{};
    std::uint64_t membership = 0;
    std::vector<std::string> voters;
    std::set<std::string> grants, provisional_grants;
  };
  void count_grants(Time now, const Round& round);
  void grant(Time now, const Request& request);
  void apply_release(Time now, const Request& release);
  Reply rejection(const Request& request) const;
  Reply full_grant(const Request& request) const;
  Reply provisional_grant(const Request& request) const;
  bool majorities_intersect(const Voters& next) const;
  bool membership_is_current(Time now) const;
  std::size_t majority() const { return voters_.addresses.size() / 2 + 1; }
  Request make_request() const;

  Timing timing_;
  std::string self_;
  std::uint64_t incarnation_;
  Voters voters_;
  bool knows_voters_ = false;
  std::optional<Time> membership_confirmed_at_;
  // As a grantor.
  Time restart_hold_until_{};     // no full grants, as earlier grants are forgotten
  Time membership_hold_until_{};  // no grants but renewals, as the voters have changed
  std::uint64_t granted_term_ = 0;
  std::string granted_to_;
  std::uint64_t granted_incarnation_ = 0;
  Time granted_until_{};
  std::string known_holder_;
  std::uint64_t known_term_ = 0;
  // As a claimant.
  bool may_claim_now_ = false;  // named as successor by the former holder, or reclaiming its own lease
  bool is_first_holder_ = false, claims_as_first_ = false;
  std::uint64_t claimed_term_ = 0, held_term_ = 0, seen_term_ = 0;
  Time held_until_{}, next_request_{};
  Time quorum_reachable_since_ = Time::max();  // enough voters for a claim to succeed
  std::uint64_t round_number_ = 0;
  std::deque<Round> rounds_;  // the latest ones
};

}  // namespace docklift::lease
