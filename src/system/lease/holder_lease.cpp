#include "system/lease/holder_lease.hpp"

#include <algorithm>
#include <utility>

namespace docklift::lease {
namespace {
constexpr std::size_t kMostRounds = 8;  // whose replies may still come within a lease
}  // namespace

HolderLease::HolderLease(Timing timing, std::string self, std::uint64_t life, bool remembers, Time now)
    : timing_(timing),
      self_(std::move(self)),
      life_(life),
      silent_until_(remembers ? now : now + timing.duration),
      granted_until_(now) {}

void HolderLease::observe_voters(Time now, Voters voters, std::optional<Time> confirmed_at) {
  const bool changed = knows_voters_ && voters.membership != voters_.membership;
  if (changed) change_silent_until_ = now + timing_.max_membership_age + timing_.duration;
  voters_ = std::move(voters);
  knows_voters_ = true;
  membership_confirmed_at_ = confirmed_at;
}

bool HolderLease::membership_is_current(Time now) const {
  return membership_confirmed_at_ && now - *membership_confirmed_at_ <= timing_.max_membership_age;
}

Reply HolderLease::refusal(const Request& request) const {
  return {granted_term_, false, false, granted_to_, voters_.membership, request.round};
}

Reply HolderLease::granted(const Request& request) const {
  return {request.term, true, false, request.holder, voters_.membership, request.round};
}

Reply HolderLease::promised_blank(const Request& request) const {
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
  if (request.membership != voters_.membership || !membership_is_current(now)) return refusal(request);
  if (request.release) {
    pass_on(now, request);
    return refusal(request);
  }
  const bool renews = request.holder == granted_to_ && request.term == granted_term_ &&
                      request.incarnation == granted_life_;
  if (now < change_silent_until_ && !(renews && request.holds)) return refusal(request);
  const bool free = now >= granted_until_ || request.holder == granted_to_;
  if (!renews && !(free && request.term > granted_term_)) return refusal(request);
  grant(now, request);
  // Without memory it is only promised, in case all others are without it too: to one at a time.
  return now < silent_until_ ? promised_blank(request) : granted(request);
}

void HolderLease::grant(Time now, const Request& request) {
  granted_term_ = request.term;
  granted_to_ = request.holder;
  granted_life_ = request.incarnation;
  granted_until_ = now + timing_.duration;
}

void HolderLease::pass_on(Time now, const Request& release) {
  if (release.holder != granted_to_ || release.term != granted_term_) return;
  granted_to_ = release.successor;
  granted_until_ = release.successor.empty() ? now : now + timing_.duration;
  if (release.successor != self_) return;
  next_request_ = now;
  named_ = true;
}

Request HolderLease::request_now() const {
  Request request;
  request.term = claimed_term_;
  request.holder = self_;
  request.holds = held_term_ != 0;
  request.incarnation = life_;
  request.membership = voters_.membership;
  request.round = round_number_;
  return request;
}

std::optional<Request> HolderLease::tick(Time now, std::uint64_t wall_ms,
                                         const std::vector<std::string>& linked) {
  if (held_term_ != 0 && now >= held_until_) held_term_ = 0;
  const auto rank = std::ranges::count_if(linked, [&](const auto& v) { return v < self_; });
  const bool enough = linked.size() >= (now < silent_until_ ? voters_.addresses.size() : majority());
  enough_since_ = enough ? std::min(enough_since_, now) : Time::max();
  const bool votes = std::ranges::find(voters_.addresses, self_) != voters_.addresses.end();
  if (now < next_request_ || !votes) return std::nullopt;
  if (held_term_ == 0) {
    // Claims that cross would hold each other up: who has got no majority gives back what it was granted, and
    // waits by rank.
    if (claimed_term_ != 0 && granted_to_ == self_ && granted_term_ == claimed_term_ && !named_) {
      next_request_ = now + timing_.claim_stagger * static_cast<int>(rank + 1);
      Request back = request_now();
      back.release = true;
      pass_on(now, back);
      claimed_term_ = 0;
      return back;
    }
    if (!enough || !membership_is_current(now) || now < change_silent_until_) return std::nullopt;
    auto free_at = std::max(granted_until_, enough_since_) + timing_.claim_stagger * static_cast<int>(rank);
    if (now < silent_until_) free_at += timing_.discovery_wait;
    if (!named_ && now < free_at) return std::nullopt;
    named_ = false;
    if (seen_term_ == 0) claimed_first_ = true;
    claimed_term_ = std::max({seen_term_, granted_term_, claimed_term_, wall_ms}) + 1;
  } else {
    claimed_term_ = held_term_;
  }
  next_request_ = now + (held_term_ == 0 ? timing_.renew_interval / 2 : timing_.renew_interval);
  ++round_number_;
  const Request request = request_now();
  if (rounds_.size() == kMostRounds) rounds_.pop_front();
  rounds_.push_back({round_number_, claimed_term_, now, voters_.membership, voters_.addresses, {}, {}});
  on_reply(now, self_, on_request(now, request));
  return request;
}

void HolderLease::observe_term(std::uint64_t term) {
  seen_term_ = std::max(seen_term_, term);
  if (term != 0) claimed_first_ = false;
  if (held_term_ == 0 || held_term_ >= term) return;
  // What it holds would be taken for an older one's: it claims anew, which the same holder is granted.
  held_term_ = claimed_term_ = 0;
  named_ = true;
  next_request_ = {};
}

void HolderLease::on_reply(Time now, const std::string& from, const Reply& reply) {
  if (reply.term > claimed_term_) seen_term_ = std::max(seen_term_, reply.term);
  const auto round = std::ranges::find(rounds_, reply.round, &Round::number);
  if (round == rounds_.end() || reply.term != round->term || reply.membership != round->membership) return;
  if (!reply.granted && !reply.provisional) return;
  if (std::ranges::find(round->voters, from) == round->voters.end()) return;  // it has no vote
  (reply.granted ? round->grants : round->blanks).insert(from);
  count(now, *round);
}

void HolderLease::count(Time now, const Round& round) {
  if (round.term != claimed_term_) return;
  const bool by_majority = round.grants.size() >= round.voters.size() / 2 + 1;
  const bool by_all = round.grants.size() + round.blanks.size() >= round.voters.size();
  if (!by_majority && !by_all) return;
  const auto until = round.requested_at + timing_.duration - timing_.clock_margin;
  if (now >= until) return;
  if (held_term_ != claimed_term_) held_first_ = std::exchange(claimed_first_, false);
  held_term_ = claimed_term_;
  held_until_ = std::max(held_until_, until);
  if (held_term_ <= known_term_) return;
  known_term_ = held_term_;
  known_holder_ = self_;
}

std::optional<Request> HolderLease::release(Time now, const std::string& successor) {
  if (!holds(now)) return std::nullopt;
  Request request = request_now();
  request.term = held_term_;
  request.successor = successor;
  request.release = true;
  request.holds = false;
  held_term_ = claimed_term_ = 0;
  held_until_ = now;
  pass_on(now, request);
  next_request_ = now + timing_.duration;
  return request;
}

}  // namespace docklift::lease
