#include "system/duty/duty.hpp"

#include <algorithm>
#include <utility>

namespace docklift::duty {

Duty::Duty(Terms terms, std::string self, std::uint64_t life, bool remembers, Time now)
    : terms_(terms),
      self_(std::move(self)),
      life_(life),
      silent_until_(remembers ? now : now + terms.lease),
      granted_until_(now) {}

Answer Duty::asked(Time now, const Ask& ask) {
  if (ask.holds) seen_term_ = std::max(seen_term_, ask.term);
  if (ask.holds && ask.term > known_term_) known_term_ = ask.term, known_holder_ = ask.holder;
  if (ask.release) {
    if (ask.holder == granted_to_ && ask.term == granted_term_) {
      granted_to_ = ask.successor;
      granted_until_ = ask.successor.empty() ? now : now + terms_.lease;
      if (ask.successor == self_) next_ask_ = now, named_ = true;
    }
    return {granted_term_, false, false, granted_to_};
  }
  const bool renews = ask.holder == granted_to_ && ask.term == granted_term_ && ask.life == granted_life_;
  if (now < silent_until_ && !renews) {
    // Promised, in case all others are without memory too: to one at a time.
    const bool free = now >= granted_until_ || ask.holder == granted_to_;
    if (!free || ask.term <= granted_term_) return {granted_term_, false, false, granted_to_};
    grant(now, ask);
    return {ask.term, false, true, ask.holder};
  }
  if (now < silent_until_) {
    granted_until_ = now + terms_.lease;
    return {ask.term, false, true, ask.holder};
  }
  const bool open = now >= granted_until_ || ask.holder == granted_to_;
  if (!renews && !(open && ask.term > granted_term_)) return {granted_term_, false, false, granted_to_};
  grant(now, ask);
  return {ask.term, true, false, ask.holder};
}

void Duty::grant(Time now, const Ask& ask) {
  granted_term_ = ask.term, granted_to_ = ask.holder, granted_life_ = ask.life,
  granted_until_ = now + terms_.lease;
}

std::optional<Ask> Duty::tick(Time now, std::uint64_t wall_ms, const std::vector<std::string>& voters,
                              const std::vector<std::string>& linked) {
  majority_ = voters.size() / 2 + 1, voters_ = voters.size();
  if (held_term_ != 0 && now >= held_until_) held_term_ = 0;
  const auto rank = std::ranges::count_if(linked, [&](const auto& v) { return v < self_; });
  const bool enough = linked.size() >= (now < silent_until_ ? voters_ : majority_);
  enough_since_ = enough ? std::min(enough_since_, now) : Time::max();
  if (now < next_ask_ || std::ranges::find(voters, self_) == voters.end()) return std::nullopt;
  if (held_term_ == 0) {
    // Claims that cross would hold each other up: who has got no majority gives back what it was granted, and
    // waits by rank.
    if (asking_term_ != 0 && granted_to_ == self_ && granted_term_ == asking_term_ && !named_) {
      next_ask_ = now + terms_.stagger * static_cast<int>(rank + 1);
      const Ask back{asking_term_, self_, "", true, false, life_};
      asked(now, back);
      asking_term_ = 0;
      return back;
    }
    if (!enough) return std::nullopt;
    auto free_at = std::max(granted_until_, enough_since_) + terms_.stagger * static_cast<int>(rank);
    if (now < silent_until_) free_at += terms_.hearing;
    if (!named_ && now < free_at) return std::nullopt;
    named_ = false;
    if (seen_term_ == 0) asking_first_ = true;
    asking_term_ = std::max({seen_term_, granted_term_, asking_term_, wall_ms}) + 1;
  } else {
    asking_term_ = held_term_;
  }
  next_ask_ = now + (held_term_ == 0 ? terms_.renew / 2 : terms_.renew);
  asked_at_ = now;
  grants_.clear(), blanks_.clear();
  const Ask ask{asking_term_, self_, "", false, held_term_ != 0, life_};
  answered(now, self_, asked(now, ask));
  count(now);
  return ask;
}

void Duty::saw(std::uint64_t term) {
  seen_term_ = std::max(seen_term_, term);
  if (term != 0) asking_first_ = false;
  // What it holds would be taken for an older one's: it claims anew, which the same holder is granted.
  if (held_term_ != 0 && held_term_ < term) held_term_ = 0, named_ = true, next_ask_ = {};
}

void Duty::answered(Time now, const std::string& from, const Answer& answer) {
  if (answer.term > asking_term_) seen_term_ = std::max(seen_term_, answer.term);
  if (answer.term != asking_term_ || (!answer.granted && !answer.blank)) return;
  (answer.granted ? grants_ : blanks_).insert(from);
  count(now);
}

void Duty::count(Time now) {
  if (grants_.size() < majority_ && grants_.size() + blanks_.size() < voters_) return;
  const auto until = asked_at_ + terms_.lease - terms_.margin;
  if (now >= until) return;
  if (held_term_ != asking_term_) held_first_ = std::exchange(asking_first_, false);
  held_term_ = asking_term_, held_until_ = std::max(held_until_, until);
  if (held_term_ > known_term_) known_term_ = held_term_, known_holder_ = self_;
}

std::optional<Ask> Duty::release(Time now, const std::string& successor) {
  if (!holds(now)) return std::nullopt;
  const Ask ask{held_term_, self_, successor, true, false, life_};
  held_term_ = 0, held_until_ = now;
  asked(now, ask);
  next_ask_ = now + terms_.lease;
  return ask;
}

}  // namespace docklift::duty
