// Acknowledgement of departures of servers. A server that reports that it drains or leaves counts on receiving
// no more requests, so its call is answered with success only once a majority of the voters' registries has
// confirmed to have the record. An open link is no such confirmation: it takes seconds to notice a partition.
// Performs no I/O; callers pass the time.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "system/fleet/records.hpp"

namespace docklift::fleet {

// A server in its last phases.
struct Departure {
  std::string server;  // id
  Phase phase = Phase::DRAINING;
};

// A request to the other registries for receipts of these departures. `number` is unique within this process.
struct ReceiptRound {
  std::uint64_t number = 0;
  std::vector<std::string> servers;  // ids
};

// A call of a server that is to be answered now.
struct DepartureVerdict {
  std::uint64_t call = 0;
  bool acknowledged = false;
};

// The departures reported to one registry, with the registries that have confirmed each.
class DepartureReceipts {
 public:
  // A call reports a departure; its verdict comes by `deadline`. Receipts for an earlier phase don't count.
  void await(std::uint64_t call, const Departure& departure, Time deadline);
  // The departures whose receipts have not been requested yet; none if there are none.
  std::optional<ReceiptRound> begin_round();
  // All departures that calls wait for, for a registry that has just been connected; none if there are none.
  std::optional<ReceiptRound> repeat_round();
  // A registry confirms to have all departures of a round. Receipts for unknown rounds are ignored.
  void on_receipt(std::uint64_t round, const std::string& registry);
  // The calls whose departures a majority of `voters` has confirmed, and those past their deadline.
  std::vector<DepartureVerdict> take_verdicts(Time now, const std::vector<std::string>& voters);
  // Drops the departures of servers that `is_known` denies, unless calls wait for them.
  void keep_known(const std::function<bool(const std::string& server)>& is_known);

 private:
  struct Call {
    std::uint64_t id = 0;
    Time deadline{};
  };
  struct State {
    Phase phase = Phase::DRAINING;
    std::set<std::string> receipts;  // addresses of registries
    bool requested = false;
    std::vector<Call> calls;  // not answered yet
  };
  struct Round {
    std::uint64_t number = 0;
    std::vector<Departure> departures;
  };
  std::optional<ReceiptRound> start_round(std::vector<Departure> departures);

  std::map<std::string, State> departures_;  // by server
  std::set<std::string> awaited_;            // servers with unanswered calls
  std::deque<Round> rounds_;                 // the most recent ones, by number
  std::uint64_t last_round_ = 0;
};

}  // namespace docklift::fleet
