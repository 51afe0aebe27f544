#include "history_checker.hpp"

#include <algorithm>
#include <map>
#include <optional>

#include "system/configuration/configuration.hpp"

namespace docklift::test {
namespace {

constexpr Time kNever = Time::max();
constexpr std::size_t kMostSteps = 200000;

bool is_refusal(int status) { return status == 400 || status == 404 || status == 412; }

// One operation on a zone's flag, or a read of it, that must or may be put into the sequential order.
struct ZoneOperation {
  Time begin{}, end = kNever;
  bool is_read = false;
  bool value = false;  // that is written, or was read
  bool optional = false;
};

// Looks for a sequential order of the operations (Wing and Gong's search, with the states that led nowhere
// remembered).
class ZoneSearch {
 public:
  explicit ZoneSearch(std::vector<ZoneOperation> operations)
      : operations_(std::move(operations)), done_(operations_.size(), false) {}

  enum class Outcome { found, none, given_up };
  Outcome run() {
    if (search(false)) return Outcome::found;
    return steps_ >= kMostSteps ? Outcome::given_up : Outcome::none;
  }

 private:
  bool search(bool value) {
    if (++steps_ >= kMostSteps) return false;
    Time first_end = kNever;
    bool open = false;
    for (std::size_t i = 0; i < operations_.size(); ++i) {
      if (done_[i] || operations_[i].optional) continue;
      open = true;
      first_end = std::min(first_end, operations_[i].end);
    }
    if (!open) return true;
    if (!seen_.insert({done_, value}).second) return false;
    if (const auto same = find_without_effect(value, first_end)) return search_after(*same, value);
    for (std::size_t i = 0; i < operations_.size(); ++i) {
      const auto& operation = operations_[i];
      if (done_[i] || operation.begin > first_end) continue;
      if (operation.is_read && operation.value != value) continue;
      if (operation.optional && !may_still_happen(i)) continue;
      if (search_after(i, operation.value)) return true;
    }
    return false;
  }

  bool search_after(std::size_t index, bool value) {
    done_[index] = true;
    if (search(value)) return true;
    done_[index] = false;
    return false;
  }

  // A read that may come now. Any order that has it later has it now as well, so that nothing else need be tried; unless
  // an optional operation could then no longer come before it. Not so an order whose wish holds: after another one it
  // has an effect.
  std::optional<std::size_t> find_without_effect(bool value, Time first_end) const {
    for (std::size_t i = 0; i < operations_.size(); ++i) {
      const auto& operation = operations_[i];
      if (done_[i] || !operation.is_read || operation.begin > first_end) continue;
      if (operation.value == value && !ends_an_option(operation)) return i;
    }
    return std::nullopt;
  }

  bool ends_an_option(const ZoneOperation& operation) const {
    for (std::size_t i = 0; i < operations_.size(); ++i)
      if (!done_[i] && operations_[i].optional && operations_[i].end < operation.begin) return true;
    return false;
  }

  // An optional operation has to come before whatever began after its end.
  bool may_still_happen(std::size_t index) const {
    for (std::size_t i = 0; i < operations_.size(); ++i)
      if (done_[i] && operations_[i].begin > operations_[index].end) return false;
    return true;
  }

  std::vector<ZoneOperation> operations_;
  std::vector<bool> done_;
  std::set<std::pair<std::vector<bool>, bool>> seen_;
  std::size_t steps_ = 0;
};

}  // namespace

OperatorHistory::OrderId OperatorHistory::configuration_order(std::uint64_t version, std::uint64_t parent,
                                                              std::string content, bool valid) {
  for (OrderId id = 0; id < orders_.size(); ++id) {
    const auto& order = orders_[id];
    if (order.is_configuration && order.version == version && order.parent == parent &&
        order.content == content)
      return id;
  }
  Order order;
  order.version = version;
  order.parent = parent;
  order.content = std::move(content);
  order.valid = valid;
  orders_.push_back(std::move(order));
  return orders_.size() - 1;
}

OperatorHistory::OrderId OperatorHistory::zone_order(std::string zone, bool evacuate) {
  Order order;
  order.is_configuration = false;
  order.zone = std::move(zone);
  order.evacuate = evacuate;
  orders_.push_back(std::move(order));
  return orders_.size() - 1;
}

OperatorHistory::AttemptId OperatorHistory::send(OrderId order, Time at) {
  attempts_.push_back({order, at, std::nullopt, 0});
  return attempts_.size() - 1;
}

void OperatorHistory::answer(AttemptId attempt, Time at, int status) {
  attempts_[attempt].answered = at;
  attempts_[attempt].status = status;
}

OperatorHistory::ReadId OperatorHistory::begin_read(Time at) {
  reads_.push_back({at, std::nullopt, {}});
  return reads_.size() - 1;
}

void OperatorHistory::end_read(ReadId read, Time at, ReadResult result) {
  reads_[read].ended = at;
  reads_[read].result = std::move(result);
}

std::string OperatorHistory::name(OrderId id) const {
  const auto& order = orders_[id];
  if (!order.is_configuration) return (order.evacuate ? "evacuation of " : "readmission of ") + order.zone;
  return "version " + configuration::format_version(order.version) + " on " +
         configuration::format_version(order.parent) + " (order " + std::to_string(id) + ")";
}

std::vector<OperatorHistory::Outcome> OperatorHistory::outcomes() const {
  std::vector<Outcome> all(orders_.size());
  for (const auto& attempt : attempts_) {
    auto& outcome = all[attempt.order];
    if (!outcome.first_sent || attempt.sent < *outcome.first_sent) outcome.first_sent = attempt.sent;
    if (!attempt.answered) continue;
    if (attempt.status == 200 && (!outcome.acknowledged || *attempt.answered < *outcome.acknowledged))
      outcome.acknowledged = attempt.answered;
    if (is_refusal(attempt.status)) outcome.refused = true;
  }
  return all;
}

std::size_t OperatorHistory::acknowledged() const {
  std::size_t count = 0;
  for (const auto& outcome : outcomes()) count += outcome.acknowledged.has_value();
  return count;
}

std::vector<std::string> OperatorHistory::violations() const {
  std::vector<std::string> violations;
  const auto all = outcomes();
  check_answers(all, violations);
  check_configuration(all, violations);
  std::set<std::string> zones;
  for (const auto& order : orders_)
    if (!order.is_configuration) zones.insert(order.zone);
  for (const auto& read : reads_) zones.insert(read.result.evacuated.begin(), read.result.evacuated.end());
  for (const auto& zone : zones) check_zone(zone, all, violations);
  return violations;
}

// What each order was told, by itself and against the others of its parent.
void OperatorHistory::check_answers(const std::vector<Outcome>& all,
                                    std::vector<std::string>& violations) const {
  std::map<std::uint64_t, OrderId> taken_on;  // parent -> order
  for (OrderId id = 0; id < orders_.size(); ++id) {
    const auto& order = orders_[id];
    const auto& outcome = all[id];
    if (outcome.acknowledged && outcome.refused)
      violations.push_back(name(id) + " was acknowledged and refused");
    if (!order.is_configuration) continue;
    if (outcome.acknowledged && !order.valid)
      violations.push_back(name(id) + " is invalid, yet acknowledged");
    if (!outcome.acknowledged) continue;
    const auto [other, is_first] = taken_on.try_emplace(order.parent, id);
    if (!is_first) violations.push_back(name(id) + " and " + name(other->second) + " were both acknowledged");
  }
  for (const auto& attempt : attempts_)
    if (attempt.status == 400 && orders_[attempt.order].is_configuration && orders_[attempt.order].valid)
      violations.push_back(name(attempt.order) + " is valid, yet refused as invalid");
}

// The order whose configuration a read returned.
std::optional<OperatorHistory::OrderId> OperatorHistory::order_read(const Read& read,
                                                                    const std::vector<Outcome>& all) const {
  std::optional<OrderId> found;
  for (OrderId id = 0; id < orders_.size(); ++id) {
    const auto& order = orders_[id];
    if (!order.is_configuration || order.version != read.result.version || !all[id].first_sent) continue;
    if (!read.result.content.empty() && order.content != read.result.content) continue;
    if (!found || all[id].acknowledged) found = id;
  }
  return found;
}

// Orders that must be in the history: they were acknowledged, or their configuration was read.
std::vector<OperatorHistory::OrderId> OperatorHistory::required_orders(
    const std::vector<Outcome>& all, std::vector<std::string>& violations) const {
  std::set<OrderId> required;
  for (OrderId id = 0; id < orders_.size(); ++id)
    if (orders_[id].is_configuration && all[id].acknowledged) required.insert(id);
  for (const auto& read : reads_) {
    if (!read.ended || read.result.version == 0) continue;
    if (const auto order = order_read(read, all)) {
      required.insert(*order);
    } else {
      violations.push_back("a read returned version " + configuration::format_version(read.result.version) +
                           " with a content that nobody sent");
    }
  }
  return {required.begin(), required.end()};
}

void OperatorHistory::check_configuration(const std::vector<Outcome>& all,
                                          std::vector<std::string>& violations) const {
  const auto required = required_orders(all, violations);
  bool refused_in_history = false;
  for (const auto id : required) {
    if (!all[id].refused || all[id].acknowledged) continue;
    refused_in_history = true;
    violations.push_back(name(id) + " was refused, yet it was in force");
  }
  if (refused_in_history) return;
  std::vector<OrderId> chain;
  if (const auto why = find_chain(all, {required.begin(), required.end()}, chain)) violations.push_back(*why);
}

// Walks from the newest required order back to version 0; where nobody was told which order had a number,
// each that was sent is tried. Fills `chain`, oldest first; or says what stands against every chain.
std::optional<std::string> OperatorHistory::find_chain(const std::vector<Outcome>& all,
                                                       const std::set<OrderId>& required,
                                                       std::vector<OrderId>& chain) const {
  if (chain.empty()) {
    if (required.empty()) return explain_times(all, chain);
    chain.push_back(*std::ranges::max_element(
        required, [&](OrderId a, OrderId b) { return orders_[a].version < orders_[b].version; }));
  }
  // `chain` is built newest first.
  const auto& oldest = orders_[chain.back()];
  if (oldest.parent == 0) {
    for (const auto id : required)
      if (std::ranges::find(chain, id) == chain.end())
        return name(id) + " was acknowledged or read, but is not in the history of the newest version";
    std::vector<OrderId> oldest_first(chain.rbegin(), chain.rend());
    return explain_times(all, oldest_first);
  }
  std::vector<OrderId> candidates;
  bool is_certain = false;
  for (OrderId id = 0; id < orders_.size(); ++id) {
    const auto& order = orders_[id];
    if (!order.is_configuration || order.version != oldest.parent || order.version >= oldest.version)
      continue;
    if (!all[id].first_sent || all[id].refused || !order.valid) continue;
    if (required.contains(id) && !std::exchange(is_certain, true)) candidates.clear();
    if (!is_certain || required.contains(id)) candidates.push_back(id);
  }
  std::optional<std::string> why = name(chain.back()) + " builds on a version that was never in force";
  for (const auto id : candidates) {
    chain.push_back(id);
    why = find_chain(all, required, chain);
    if (!why) return std::nullopt;
    chain.pop_back();
  }
  return why;
}

// Whether an order without a clear answer may have been taken instead of the one of this attempt.
bool OperatorHistory::has_open_rival(const std::vector<Outcome>& all, const Attempt& refused) const {
  for (OrderId id = 0; id < orders_.size(); ++id) {
    const auto& order = orders_[id];
    if (!order.is_configuration || !order.valid || order.parent != orders_[refused.order].parent) continue;
    if (all[id].first_sent && !all[id].refused && *all[id].first_sent <= *refused.answered) return true;
  }
  return false;
}

// Gives each order of the chain the earliest moment at which it can have taken effect.
std::optional<std::string> OperatorHistory::explain_times(const std::vector<Outcome>& all,
                                                          const std::vector<OrderId>& chain) const {
  struct Span {
    Time earliest{}, latest = kNever;
  };
  std::vector<Span> spans(chain.size());
  for (std::size_t i = 0; i < chain.size(); ++i) {
    spans[i].earliest = *all[chain[i]].first_sent;
    if (all[chain[i]].acknowledged) spans[i].latest = *all[chain[i]].acknowledged;
  }
  for (const auto& read : reads_) {
    if (!read.ended) continue;
    std::size_t next = 0;  // index of the order after the one that was read
    if (read.result.version != 0) {
      const auto order = order_read(read, all);
      const auto at = order ? std::ranges::find(chain, *order) : chain.end();
      if (at == chain.end()) continue;
      const auto index = static_cast<std::size_t>(at - chain.begin());
      spans[index].latest = std::min(spans[index].latest, *read.ended);
      next = index + 1;
    }
    if (next < chain.size()) spans[next].earliest = std::max(spans[next].earliest, read.began);
  }
  for (std::size_t i = 0; i < chain.size(); ++i) {
    if (i > 0) spans[i].earliest = std::max(spans[i].earliest, spans[i - 1].earliest);
    if (spans[i].earliest > spans[i].latest)
      return name(chain[i]) + " must have been in force before it can have been: a read was stale or early";
  }
  for (std::size_t i = chain.size(); i-- > 1;)
    spans[i - 1].latest = std::min(spans[i - 1].latest, spans[i].latest);
  for (const auto& attempt : attempts_) {
    const auto& order = orders_[attempt.order];
    if (attempt.status != 412 || !order.is_configuration || !order.valid) continue;
    const auto successor = std::ranges::find_if(
        chain, [&](OrderId id) { return orders_[id].parent == order.parent; });
    const auto parent = std::ranges::find_if(chain,
                                             [&](OrderId id) { return orders_[id].version == order.parent; });
    const bool parent_is_known = order.parent == 0 || parent != chain.end();
    if (!parent_is_known) continue;
    const auto span_of = [&](auto at) { return spans[static_cast<std::size_t>(at - chain.begin())]; };
    if (successor != chain.end() && span_of(successor).earliest <= *attempt.answered) continue;
    if (parent != chain.end() && span_of(parent).latest >= attempt.sent) continue;
    if (successor == chain.end() && has_open_rival(all, attempt)) continue;
    return name(attempt.order) + " was refused while its parent was the current version";
  }
  return std::nullopt;
}

void OperatorHistory::check_zone(const std::string& zone, const std::vector<Outcome>& all,
                                 std::vector<std::string>& violations) const {
  std::vector<ZoneOperation> operations;
  for (OrderId id = 0; id < orders_.size(); ++id) {
    const auto& order = orders_[id];
    const auto& outcome = all[id];
    if (order.is_configuration || order.zone != zone || !outcome.first_sent) continue;
    if (outcome.refused && !outcome.acknowledged) continue;
    ZoneOperation operation{*outcome.first_sent, kNever, false, order.evacuate, !outcome.acknowledged};
    if (outcome.acknowledged) operation.end = *outcome.acknowledged;
    if (operation.optional)
      for (OrderId later = id + 1; later < orders_.size(); ++later)
        if (!orders_[later].is_configuration && orders_[later].zone == zone && all[later].acknowledged &&
            *all[later].first_sent > operation.begin)
          operation.end = std::min(operation.end, *all[later].acknowledged);
    operations.push_back(operation);
  }
  for (const auto& read : reads_)
    if (read.ended)
      operations.push_back({read.began, *read.ended, true, read.result.evacuated.contains(zone), false});
  switch (ZoneSearch(std::move(operations)).run()) {
    case ZoneSearch::Outcome::found: break;
    case ZoneSearch::Outcome::none:
      violations.push_back("zone " + zone + ": no order of its changes explains what was told and read");
      break;
    case ZoneSearch::Outcome::given_up:
      violations.push_back("zone " + zone + ": the search for an order of its changes was given up");
      break;
  }
}

}  // namespace docklift::test
