#include "system/lease/holder_lease.hpp"

#include <algorithm>
#include <utility>

namespace docklift::lease {
namespace {
constexpr std::size_t kMaxRounds = 8;  // whose replies may still arrive within a lease duration
}  // namespace

HolderLease::HolderLease(Timing timing, std::string self, std::uint64_t incarnation, bool remembers_grants,
                         Time now)
    : timing_(timing),
      self_(std::move(self)),
      incarnation_(incarnation),
      restart_hold_until_(remembers_grants ? now : now + timing.duration),
      granted_until_(now) {}

void HolderLease::observe_voters(Time now, Voters voters, std::optional<Time> confirmed_at) {
  const bool changed = knows_voters_ && voters.membership != voters_.membership;
  if (changed && !majorities_intersect(voters))
    membership_hold_until_ = now + timing_.max_membership_age + timing_.duration;
  voters_ = std::move(voters);
  knows_voters_ = true;
  membership_confirmed_at_ = confirmed_at;
}

// Whether any majority of `next` shares a grantor with any majority of the present voters, so that promises made
// under the present number bind the next one. Of a number in between nothing is known here.
bool HolderLease::majorities_intersect(const Voters& next) const {
  return next.membership == voters_.membership + 1 &&
         std::ranges::is_permutation(next.addresses, voters_.addresses);
}

bool HolderLease::membership_is_current(Time now) const {
  return membership_confirmed_at_ && now - *membership_confirmed_at_ <= timing_.max_membership_age;
}

Reply HolderLease::rejection(const Request& request) const {
  return {granted_term_, false, false, granted_to_, voters_.membership, request.round};
}

Reply HolderLease::full_grant(const Request& request) const {
  return {request.term, true, false, request.holder, voters_.membership, request.round};
}

Reply HolderLease::provisional_grant(const Request& request) const {
  return {request.term, false, true, request.holder, voters_.membership, request.round};
}

Reply HolderLease::on_request(Time now, const Request& request) {
  if (request.holds) {
    seen_term_ = std::max(seen_term_, request.term);
    if (request.term > known_term_) {
      known_term_ = request.term;
      known_holder_ = request.holder;
    }
  }
  if (request.membership != voters_.membership || !membership_is_current(now)) return rejection(request);
  if (request.release) {
    apply_release(now, request);
    return rejection(request);
  }
  const bool renews = request.holder == granted_to_ && request.term == granted_term_ &&
                      request.incarnation == granted_incarnation_;
  if (now < membership_hold_until_ && !(renews && request.holds)) return rejection(request);
  const bool is_free = now >= granted_until_ || request.holder == granted_to_;
  if (!renews && !(is_free && request.term > granted_term_)) return rejection(request);
  grant(now, request);
  // After a restart without memory a grant is only provisional, in case all voters have lost their memory,
  // and is given to one claimant at a time.
  return now < restart_hold_until_ ? provisional_grant(request) : full_grant(request);
}

void HolderLease::grant(Time now, const Request& request) {
  granted_term_ = request.term;
  granted_to_ = request.holder;
  granted_incarnation_ = request.incarnation;
  granted_until_ = now + timing_.duration;
}

void HolderLease::apply_release(Time now, const Request& release) {
  if (release.holder != granted_to_ || release.term != granted_term_) return;
  granted_to_ = release.successor;
  granted_until_ = release.successor.empty() ? now : now + timing_.duration;
  if (release.successor != self_) return;
  next_request_ = now;
  may_claim_now_ = true;
}

Request HolderLease::make_request() const {
  Request request;
  request.term = claimed_term_;
  request.holder = self_;
  request.holds = held_term_ != 0;
  request.incarnation = incarnation_;
  request.membership = voters_.membership;
  request.round = round_number_;
  return request;
}

std::optional<Request> HolderLease::tick(Time now, std::uint64_t wall_ms,
                                         const std::vector<std::string>& linked) {
  if (held_term_ != 0 && now >= held_until_) held_term_ = 0;
  const auto rank = std::ranges::count_if(linked, [&](const auto& v) { return v < self_; });
  const bool quorum_reachable = linked.size() >=
                                (now < restart_hold_until_ ? voters_.addresses.size() : majority());
  quorum_reachable_since_ = quorum_reachable ? std::min(quorum_reachable_since_, now) : Time::max();
  const bool votes = std::ranges::find(voters_.addresses, self_) != voters_.addresses.end();
  if (now < next_request_ || !votes) return std::nullopt;
  if (held_term_ == 0) {
    // Concurrent claims would block each other: a claimant without a majority returns its grants and waits by
    // rank.
    if (claimed_term_ != 0 && granted_to_ == self_ && granted_term_ == claimed_term_ && !may_claim_now_) {
      next_request_ = now + timing_.claim_stagger * static_cast<int>(rank + 1);
      Request returned = make_request();
      returned.release = true;
      apply_release(now, returned);
      claimed_term_ = 0;
      return returned;
    }
    if (!quorum_reachable || !membership_is_current(now) || now < membership_hold_until_) return std::nullopt;
    auto free_at = std::max(granted_until_, quorum_reachable_since_) +
                   timing_.claim_stagger * static_cast<int>(rank);
    if (now < restart_hold_until_) free_at += timing_.discovery_wait;
    if (!may_claim_now_ && now < free_at) return std::nullopt;
    may_claim_now_ = false;
    if (seen_term_ == 0) claims_as_first_ = true;
    claimed_term_ = std::max({seen_term_, granted_term_, claimed_term_, wall_ms}) + 1;
  } else {
    claimed_term_ = held_term_;
  }
  next_request_ = now + (held_term_ == 0 ? timing_.renew_interval / 2 : timing_.renew_interval);
  ++round_number_;
  const Request request = make_request();
  if (rounds_.size() == kMaxRounds) rounds_.pop_front();
  rounds_.push_back({round_number_, claimed_term_, now, voters_.membership, voters_.addresses, {}, {}});
  on_reply(now, self_, on_request(now, request));
  return request;
}

void HolderLease::observe_term(std::uint64_t term) {
  seen_term_ = std::max(seen_term_, term);
  if (term != 0) claims_as_first_ = false;
  if (held_term_ == 0 || held_term_ >= term) return;
  // The held term would be taken for an older holder's: claim a new term, which voters grant to the same
  // holder.
  held_term_ = claimed_term_ = 0;
  may_claim_now_ = true;
  next_request_ = {};
}

void HolderLease::on_reply(Time now, const std::string& from, const Reply& reply) {
  if (reply.term > claimed_term_) seen_term_ = std::max(seen_term_, reply.term);
  const auto round = std::ranges::find(rounds_, reply.round, &Round::number);
  if (round == rounds_.end() || reply.term != round->term || reply.membership != round->membership) return;
  if (!reply.granted && !reply.provisional) return;
  if (std::ranges::find(round->voters, from) == round->voters.end()) return;  // not a voter
  (reply.granted ? round->grants : round->provisional_grants).insert(from);
  count_grants(now, *round);
}

void HolderLease::count_grants(Time now, const Round& round) {
  if (round.term != claimed_term_) return;
  const bool by_majority = round.grants.size() >= round.voters.size() / 2 + 1;
  const bool by_all = round.grants.size() + round.provisional_grants.size() >= round.voters.size();
  if (!by_majority && !by_all) return;
  const auto until = round.requested_at + timing_.duration - timing_.clock_margin;
  if (now >= until) return;
  if (held_term_ != claimed_term_) is_first_holder_ = std::exchange(claims_as_first_, false);
  held_term_ = claimed_term_;
  held_until_ = std::max(held_until_, until);
  if (held_term_ <= known_term_) return;
  known_term_ = held_term_;
  known_holder_ = self_;
}

std::optional<Request> HolderLease::release(Time now, const std::string& successor) {
  if (!holds(now)) return std::nullopt;
  Request request = make_request();
  request.term = held_term_;
  request.successor = successor;
  request.release = true;
  request.holds = false;
  held_term_ = claimed_term_ = 0;
  held_until_ = now;
  apply_release(now, request);
  next_request_ = now + timing_.duration;
  return request;
}

}  // namespace docklift::lease
