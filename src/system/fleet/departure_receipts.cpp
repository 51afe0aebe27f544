#include "system/fleet/departure_receipts.hpp"

#include <algorithm>
#include <utility>

namespace docklift::fleet {
namespace {

constexpr std::size_t kMaxRounds = 256;  // of a server's call, which waits less than a second

bool is_majority(const std::set<std::string>& receipts, const std::vector<std::string>& voters) {
  const auto confirmed = std::ranges::count_if(voters, [&](const auto& v) { return receipts.contains(v); });
  return static_cast<std::size_t>(confirmed) >= voters.size() / 2 + 1;
}

}  // namespace

void DepartureReceipts::await(std::uint64_t call, const Departure& departure, Time deadline) {
  auto& state = departures_.try_emplace(departure.server, State{departure.phase, {}, false, {}})
                    .first->second;
  if (departure.phase > state.phase) {
    state.phase = departure.phase;
    state.receipts.clear();
    state.requested = false;
  }
  // The receipts of an earlier call may have been lost: they are requested again.
  if (state.calls.empty()) state.requested = false;
  state.calls.push_back({call, deadline});
  awaited_.insert(departure.server);
}

std::optional<ReceiptRound> DepartureReceipts::begin_round() {
  std::vector<Departure> departures;
  for (const auto& server : awaited_) {
    auto& state = departures_.at(server);
    if (!std::exchange(state.requested, true)) departures.push_back({server, state.phase});
  }
  return start_round(std::move(departures));
}

std::optional<ReceiptRound> DepartureReceipts::repeat_round() {
  std::vector<Departure> departures;
  for (const auto& server : awaited_) departures.push_back({server, departures_.at(server).phase});
  return start_round(std::move(departures));
}

std::optional<ReceiptRound> DepartureReceipts::start_round(std::vector<Departure> departures) {
  if (departures.empty()) return std::nullopt;
  ReceiptRound round;
  round.number = ++last_round_;
  for (const auto& departure : departures) round.servers.push_back(departure.server);
  rounds_.push_back({round.number, std::move(departures)});
  if (rounds_.size() > kMaxRounds) rounds_.pop_front();
  return round;
}

void DepartureReceipts::on_receipt(std::uint64_t round, const std::string& registry) {
  const auto found = std::ranges::lower_bound(rounds_, round, {}, &Round::number);
  if (found == rounds_.end() || found->number != round) return;
  for (const auto& departure : found->departures) {
    const auto state = departures_.find(departure.server);
    if (state != departures_.end() && state->second.phase == departure.phase)
      state->second.receipts.insert(registry);
  }
}

std::vector<DepartureVerdict> DepartureReceipts::take_verdicts(Time now,
                                                               const std::vector<std::string>& voters) {
  std::vector<DepartureVerdict> verdicts;
  for (auto server = awaited_.begin(); server != awaited_.end();) {
    auto& state = departures_.at(*server);
    const bool acknowledged = is_majority(state.receipts, voters);
    std::erase_if(state.calls, [&](const Call& call) {
      if (!acknowledged && now < call.deadline) return false;
      verdicts.push_back({call.id, acknowledged});
      return true;
    });
    server = state.calls.empty() ? awaited_.erase(server) : std::next(server);
  }
  return verdicts;
}

void DepartureReceipts::keep_known(const std::function<bool(const std::string& server)>& is_known) {
  std::erase_if(departures_,
                [&](const auto& d) { return !awaited_.contains(d.first) && !is_known(d.first); });
}

}  // namespace docklift::fleet
