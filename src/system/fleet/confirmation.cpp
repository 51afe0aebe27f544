#include "system/fleet/confirmation.hpp"

#include <algorithm>

namespace docklift::fleet {
namespace {
constexpr std::size_t kMaxPending = 16;   // responses waiting for the copy; the oldest are reached first
constexpr std::size_t kMaxAsked = 64;     // requests that may still be answered: about half a minute's
constexpr std::size_t kMaxRequests = 16;  // of one proxy; the newest matter most
}  // namespace

void Confirmation::asked(Time sent, std::uint64_t own_position) {
  if (asked_.size() == kMaxAsked) asked_.pop_front();
  asked_.push_back({sent, own_position});
}

bool Confirmation::answered(Time sent, std::uint64_t position, std::uint64_t own_position) {
  const auto request = std::ranges::find(asked_, sent, &Pending::sent);
  // If the copy was dropped in the meantime, the core's position doesn't contradict it.
  if (request != asked_.end() && position < request->position && position < own_position) return false;
  if (at_ && sent <= *at_) return true;
  if (position <= own_position) {
    at_ = sent;
  } else if (pending_.size() < kMaxPending) {
    pending_.push_back({sent, position});
  }
  return true;
}

void Confirmation::advanced(std::uint64_t own_position) {
  std::erase_if(pending_, [&](const Pending& pending) {
    if (pending.position > own_position) return false;
    at_ = std::max(at_.value_or(pending.sent), pending.sent);
    return true;
  });
}

void ConfirmRequests::received(Time now, std::uint64_t token) {
  if (requests_.size() == kMaxRequests) requests_.pop_front();
  requests_.push_back({now, token});
}

std::optional<std::uint64_t> ConfirmRequests::answerable(Time begun) {
  std::optional<std::uint64_t> token;
  while (!requests_.empty() && requests_.front().received <= begun) {
    token = requests_.front().token;
    requests_.pop_front();
  }
  return token;
}

}  // namespace docklift::fleet
