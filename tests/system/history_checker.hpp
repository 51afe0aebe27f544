// What operators sent and were told, held against a sequential model: a register for the configuration that
// is changed by compare and set on the version, and one flag for each zone. Pure.
//
// An order is one body (or one wish for a zone), however often it is sent; each sending is an attempt. An
// order takes effect once at most, between its first sending and its first acknowledgement.
//
// Limits:
// - The configuration and each zone are checked by themselves; an order of changes across them is not.
// - A refusal (412) is checked against the earliest history that explains all acknowledgements and reads;
//   where a refusal could be explained only by a parent that came later, several such refusals are not
//   checked together.
// - Of versions that nobody read and nobody acknowledged, the history may hold any that was sent.
// - The search for an order of zone changes stops after kMostSteps; it then says so among the violations.
// - An order without an acknowledgement that is followed by an acknowledged later order for the same zone
//   must take effect before that acknowledgement or never: a late evacuation is a violation.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "system/base/time.hpp"

namespace docklift::test {

// What a read answered with.
struct ReadResult {
  std::uint64_t version = 0;
  std::string content;  // of the configuration; empty: not compared
  std::set<std::string> evacuated;
};

class OperatorHistory {
 public:
  using OrderId = std::size_t;
  using AttemptId = std::size_t;
  using ReadId = std::size_t;

  // An order of the same version, parent and content is the same order: the earlier id is returned.
  // `content`: what a read returns once it is in force. `valid`: false where the system must refuse it.
  OrderId configuration_order(std::uint64_t version, std::uint64_t parent, std::string content,
                              bool valid = true);
  OrderId zone_order(std::string zone, bool evacuate);

  AttemptId send(OrderId order, Time at);
  // 200: acknowledged. 400, 404, 412: refused. Others: no clear answer.
  void answer(AttemptId attempt, Time at, int status);

  ReadId begin_read(Time at);
  void end_read(ReadId read, Time at, ReadResult result);

  // One line each; empty: some sequential history explains all that was told.
  std::vector<std::string> violations() const;

  std::size_t acknowledged() const;  // orders

 private:
  struct Order {
    bool is_configuration = true;
    std::uint64_t version = 0, parent = 0;
    std::string content;
    bool valid = true;
    std::string zone;
    bool evacuate = false;
  };
  struct Attempt {
    OrderId order = 0;
    Time sent{};
    std::optional<Time> answered;
    int status = 0;
  };
  struct Read {
    Time began{};
    std::optional<Time> ended;
    ReadResult result;
  };
  // What all attempts of an order say together.
  struct Outcome {
    std::optional<Time> first_sent, acknowledged;
    bool refused = false;
  };

  std::vector<Outcome> outcomes() const;
  void check_answers(const std::vector<Outcome>& outcomes, std::vector<std::string>& violations) const;
  void check_configuration(const std::vector<Outcome>& outcomes, std::vector<std::string>& violations) const;
  void check_zone(const std::string& zone, const std::vector<Outcome>& outcomes,
                  std::vector<std::string>& violations) const;
  std::vector<OrderId> required_orders(const std::vector<Outcome>& outcomes,
                                       std::vector<std::string>& violations) const;
  std::optional<OrderId> order_read(const Read& read, const std::vector<Outcome>& outcomes) const;
  std::optional<std::string> find_chain(const std::vector<Outcome>& outcomes,
                                        const std::set<OrderId>& required, std::vector<OrderId>& chain) const;
  std::optional<std::string> explain_times(const std::vector<Outcome>& outcomes,
                                           const std::vector<OrderId>& chain) const;
  bool has_open_rival(const std::vector<Outcome>& outcomes, const Attempt& refused) const;
  std::string name(OrderId order) const;

  std::vector<Order> orders_;
  std::vector<Attempt> attempts_;
  std::vector<Read> reads_;
};

}  // namespace docklift::test
