#include "system/lease/holder_lease.hpp"

#include <algorithm>
#include <utility>

namespace docklift::lease {

HolderLease::HolderLease(Terms terms, std::string self, std::uint64_t life, bool remembers, Time now)
    : terms_(terms),
      self_(std::move(self)),
      life_(life),
      silent_until_(remembers ? now : now + terms.lease),
      granted_until_(now) {}

Reply HolderLease::on_request(Time now, const Request& request) {
  if (request.holds) seen_term_ = std::max(seen_term_, request.term);
  if (request.holds && request.term > known_term_) known_term_ = request.term, known_holder_ = request.holder;
  if (request.release) {
    if (request.holder == granted_to_ && request.term == granted_term_) {
      granted_to_ = request.successor;
      granted_until_ = request.successor.empty() ? now : now + terms_.lease;
      if (request.successor == self_) next_request_ = now, named_ = true;
    }
    return {granted_term_, false, false, granted_to_};
  }
  const bool renews = request.holder == granted_to_ && request.term == granted_term_ &&
                      request.life == granted_life_;
  if (now < silent_until_ && !renews) {
    // Promised, in case all others are without memory too: to one at a time.
    const bool free = now >= granted_until_ || request.holder == granted_to_;
    if (!free || request.term <= granted_term_) return {granted_term_, false, false, granted_to_};
    grant(now, request);
    return {request.term, false, true, request.holder};
  }
  if (now < silent_until_) {
    granted_until_ = now + terms_.lease;
    return {request.term, false, true, request.holder};
  }
  const bool open = now >= granted_until_ || request.holder == granted_to_;
  if (!renews && !(open && request.term > granted_term_)) return {granted_term_, false, false, granted_to_};
  grant(now, request);
  return {request.term, true, false, request.holder};
}

void HolderLease::grant(Time now, const Request& request) {
  granted_term_ = request.term, granted_to_ = request.holder, granted_life_ = request.life,
  granted_until_ = now + terms_.lease;
}

std::optional<Request> HolderLease::tick(Time now, std::uint64_t wall_ms,
                                         const std::vector<std::string>& voters,
                                         const std::vector<std::string>& linked) {
  majority_ = voters.size() / 2 + 1, voters_ = voters.size();
  if (held_term_ != 0 && now >= held_until_) held_term_ = 0;
  const auto rank = std::ranges::count_if(linked, [&](const auto& v) { return v < self_; });
  const bool enough = linked.size() >= (now < silent_until_ ? voters_ : majority_);
  enough_since_ = enough ? std::min(enough_since_, now) : Time::max();
  if (now < next_request_ || std::ranges::find(voters, self_) == voters.end()) return std::nullopt;
  if (held_term_ == 0) {
    // Claims that cross would hold each other up: who has got no majority gives back what it was granted, and
    // waits by rank.
    if (claimed_term_ != 0 && granted_to_ == self_ && granted_term_ == claimed_term_ && !named_) {
      next_request_ = now + terms_.stagger * static_cast<int>(rank + 1);
      const Request back{claimed_term_, self_, "", true, false, life_};
      on_request(now, back);
      claimed_term_ = 0;
      return back;
    }
    if (!enough) return std::nullopt;
    auto free_at = std::max(granted_until_, enough_since_) + terms_.stagger * static_cast<int>(rank);
    if (now < silent_until_) free_at += terms_.hearing;
    if (!named_ && now < free_at) return std::nullopt;
    named_ = false;
    if (seen_term_ == 0) claimed_first_ = true;
    claimed_term_ = std::max({seen_term_, granted_term_, claimed_term_, wall_ms}) + 1;
  } else {
    claimed_term_ = held_term_;
  }
  next_request_ = now + (held_term_ == 0 ? terms_.renew / 2 : terms_.renew);
  requested_at_ = now;
  grants_.clear(), blanks_.clear();
  const Request request{claimed_term_, self_, "", false, held_term_ != 0, life_};
  on_reply(now, self_, on_request(now, request));
  count(now);
  return request;
}

void HolderLease::observe_term(std::uint64_t term) {
  seen_term_ = std::max(seen_term_, term);
  if (term != 0) claimed_first_ = false;
  // What it holds would be taken for an older one's: it claims anew, which the same holder is granted.
  if (held_term_ != 0 && held_term_ < term) held_term_ = 0, named_ = true, next_request_ = {};
}

void HolderLease::on_reply(Time now, const std::string& from, const Reply& answer) {
  if (answer.term > claimed_term_) seen_term_ = std::max(seen_term_, answer.term);
  if (answer.term != claimed_term_ || (!answer.granted && !answer.blank)) return;
  (answer.granted ? grants_ : blanks_).insert(from);
  count(now);
}

void HolderLease::count(Time now) {
  if (grants_.size() < majority_ && grants_.size() + blanks_.size() < voters_) return;
  const auto until = requested_at_ + terms_.lease - terms_.margin;
  if (now >= until) return;
  if (held_term_ != claimed_term_) held_first_ = std::exchange(claimed_first_, false);
  held_term_ = claimed_term_, held_until_ = std::max(held_until_, until);
  if (held_term_ > known_term_) known_term_ = held_term_, known_holder_ = self_;
}

std::optional<Request> HolderLease::release(Time now, const std::string& successor) {
  if (!holds(now)) return std::nullopt;
  const Request request{held_term_, self_, successor, true, false, life_};
  held_term_ = 0, held_until_ = now;
  on_request(now, request);
  next_request_ = now + terms_.lease;
  return request;
}

}  // namespace docklift::lease
