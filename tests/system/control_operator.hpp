// An operator of a play: orders configurations and evacuations or reads them, one after another, each sent again to other
// members until there is an answer, and notes in the history what was told.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "control_fleet.hpp"
#include "history_checker.hpp"

namespace docklift::test {

// What operators share: the history and the service names that make bodies differ.
struct Records {
  OperatorHistory history;
  std::size_t bodies = 0;
  std::size_t acknowledged = 0;
  std::function<void()> on_acknowledged;  // a change of the configuration
};

// One operator: an order or read after another, each sent again to other members until there is an answer.
class Operator {
 public:
  // `zone`: whose evacuations this operator orders, one after another; empty: none's.
  Operator(ControlFleet& fleet, Records& records, std::string zone)
      : fleet_(fleet), records_(records), zone_(std::move(zone)) {}

  void start() { pause(); }
  void stop() { stopped_ = true; }

  // A change on the newest version; told when it is acknowledged.
  void change_now(std::function<void()> acknowledged);

 private:
  struct Order {
    OperatorHistory::OrderId id = 0;
    configuration::ChangeKind kind{};
    std::string text;
    std::uint64_t version = 0;
    Time since{};
  };

  void pause();
  void next();
  void new_configuration();
  void invalid_configuration();
  void zone_order();
  void send_again();
  void begin(const Order& order);
  void trace(const Order& order, const std::string& what) const;
  MemberIndex any_member();
  void attempt(const Order& order);
  // What a registry beside the member makes of an order: one for a zone gets the place that is known there.
  std::string text_at(MemberIndex at, const Order& order) const;
  void again(const Order& order, Duration after);
  void note_acknowledged(const Order& order);
  void answered(const Order& order, int status);
  void read_then(std::function<void()> then);
  void read_attempt(Time since, std::function<void()> then);

  ControlFleet& fleet_;
  Records& records_;
  std::string zone_;
  std::uint64_t believed_ = 0;
  std::uint64_t task_ = 0;  // what belongs to an earlier one is stale
  bool stopped_ = false;
  std::optional<Order> last_taken_;
  std::set<OperatorHistory::OrderId> acknowledged_;
  std::function<void()> wanted_;
};

}  // namespace docklift::test
