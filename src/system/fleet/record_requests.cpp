#include "system/fleet/record_requests.hpp"

#include <utility>

#include "system/base/hash.hpp"

namespace docklift::fleet {
namespace {

using namespace std::chrono_literals;
constexpr Duration kAnswerTimeout = 600ms;  // 0.1 MB over a 2 Mbit/s link, plus an inter-region round trip
constexpr std::uint64_t kAddressSeed = 7;

}  // namespace

void RecordDigests::toggle(const std::string& id, const std::string& address, Phase phase) {
  const auto record = hash_of(id) ^ hash_of(address, kAddressSeed) ^ static_cast<std::uint64_t>(phase);
  digests_[Servers::range_of(id, kRecordRanges)] ^= mix(record);
}

bool KnownRecords::update(Time now, const Server& received) {
  if (received.left) {
    remember_left(now, received.id);
  } else if (left_.contains(received.id)) {
    return false;
  }
  const auto found = records_.find(received.id);
  if (found != records_.end()) {
    const auto& known = found->second;
    if (!received.left && received.heartbeat_sequence < known.heartbeat_sequence) return true;
    digests_.toggle(received.id, known.address, known.phase);
  }
  if (received.phase == Phase::GONE) {
    if (found != records_.end()) records_.erase(found);
    return true;
  }
  const bool was_draining = found != records_.end() && found->second.phase == Phase::DRAINING;
  const auto phase = was_draining ? Phase::DRAINING : received.phase;  // a drain is never reverted
  records_[received.id] = {received.address, phase, received.heartbeat_sequence};
  digests_.toggle(received.id, received.address, phase);
  return true;
}

void KnownRecords::remember_left(Time now, const std::string& id) {
  while (!left_oldest_first_.empty() && left_oldest_first_.front().first <= now) {
    left_.erase(left_oldest_first_.front().second);
    left_oldest_first_.pop_front();
  }
  if (left_.insert(id).second) left_oldest_first_.emplace_back(now + kDepartedRetention, id);
}

RecordRequests::Registries RecordRequests::linked(Time now, const std::string& registry) {
  if (complete_) return {registry};
  waiting_.insert(registry);
  return asked_.empty() ? ask_next(now) : Registries{};
}

RecordRequests::Registries RecordRequests::lost(Time now, const std::string& registry) {
  waiting_.erase(registry);
  if (complete_ || asked_ != registry) return {};
  asked_.clear();
  return ask_next(now);
}

RecordRequests::Registries RecordRequests::answered(const std::string& registry) {
  if (std::exchange(complete_, true)) return {};
  waiting_.erase(registry);
  const auto waiting = std::exchange(waiting_, {});
  return {waiting.begin(), waiting.end()};
}

RecordRequests::Registries RecordRequests::tick(Time now) {
  const bool timed_out = !asked_.empty() && now - asked_at_ >= kAnswerTimeout;
  return !complete_ && timed_out ? ask_next(now) : Registries{};
}

RecordRequests::Registries RecordRequests::ask_next(Time now) {
  if (waiting_.empty()) return {};
  asked_ = waiting_.extract(waiting_.begin()).value();
  asked_at_ = now;
  return {asked_};
}

}  // namespace docklift::fleet
