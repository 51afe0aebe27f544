#include "system/fleet/record_requests.hpp"

#include <utility>

#include "system/base/hash.hpp"

namespace docklift::fleet {
namespace {

using namespace std::chrono_literals;
constexpr Duration kLateAnswer = 600ms;  // 0.1 MB over a link of 2 Mbit/s, and two regions' way
constexpr std::uint64_t kAddressSeed = 7;

}  // namespace

void RecordDigests::toggle(const std::string& id, const std::string& address, Phase phase) {
  const auto record = hash_of(id) ^ hash_of(address, kAddressSeed) ^ static_cast<std::uint64_t>(phase);
  digests_[Servers::range_of(id, kRecordRanges)] ^= mix(record);
}

void KnownRecords::update(const Server& told) {
  const auto found = records_.find(told.id);
  if (found != records_.end()) {
    const auto& known = found->second;
    if (told.heartbeat_sequence < known.heartbeat_sequence) return;
    digests_.toggle(told.id, known.address, known.phase);
  }
  if (told.phase == Phase::GONE) {
    if (found != records_.end()) records_.erase(found);
    return;
  }
  const bool drained = found != records_.end() && found->second.phase == Phase::DRAINING;
  const auto phase = drained ? Phase::DRAINING : told.phase;  // a drain is not taken back
  records_[told.id] = {told.address, phase, told.heartbeat_sequence};
  digests_.toggle(told.id, told.address, phase);
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
  const bool late = !asked_.empty() && now - asked_at_ >= kLateAnswer;
  return !complete_ && late ? ask_next(now) : Registries{};
}

RecordRequests::Registries RecordRequests::ask_next(Time now) {
  if (waiting_.empty()) return {};
  asked_ = waiting_.extract(waiting_.begin()).value();
  asked_at_ = now;
  return {asked_};
}

}  // namespace docklift::fleet
