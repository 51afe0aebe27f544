#include "control_operator.hpp"

namespace docklift::test {

using namespace std::chrono_literals;
using configuration::ChangeKind;

namespace {

constexpr Duration kSilence = 1s;  // after which an operator tries another member
constexpr Duration kGiveUp = 8s;   // of an order or read
constexpr double kAnswersLost = 0.03;

std::string content_of(const configuration::State& state) {
  return state.document.is_null() ? std::string() : state.document.dump();
}

}  // namespace

void Operator::change_now(std::function<void()> acknowledged) {
  stopped_ = false;
  ++task_;
  wanted_ = std::move(acknowledged);
  read_then([this] { new_configuration(); });
}

void Operator::pause() {
  const auto task = ++task_;
  fleet_.later(fleet_.drawn(0ms, 150ms), [this, task] {
    if (task == task_ && !stopped_) next();
  });
}

void Operator::next() {
  const auto choice = fleet_.drawn(20);
  if (choice < 11) return new_configuration();
  if (choice < 14) return read_then([this] { pause(); });
  if (choice < 17 && !zone_.empty()) return zone_order();
  if (choice < 19 && last_taken_) return send_again();
  invalid_configuration();
}

void Operator::new_configuration() {
  const auto version = believed_ + 1 + fleet_.drawn(2);
  const auto text = configuration_body(version, believed_, "s" + std::to_string(++records_.bodies));
  const auto content = nlohmann::json::parse(text).dump();
  begin({records_.history.configuration_order(version, believed_, content), ChangeKind::replace, text,
         version, fleet_.now()});
}

void Operator::invalid_configuration() {
  const auto text = configuration_body(believed_, believed_, "invalid");
  const auto content = nlohmann::json::parse(text).dump() + std::to_string(++records_.bodies);
  begin({records_.history.configuration_order(believed_, believed_, content, false), ChangeKind::replace,
         text, believed_, fleet_.now()});
}

void Operator::zone_order() {
  const bool evacuate = fleet_.drawn(2) == 0;
  begin({records_.history.zone_order(zone_, evacuate), evacuate ? ChangeKind::evacuate : ChangeKind::readmit,
         zone_, 0, fleet_.now()});
}

void Operator::send_again() {
  auto order = *last_taken_;
  order.since = fleet_.now();
  begin(order);
}

void Operator::begin(const Order& order) {
  ++task_;
  attempt(order);
}

void Operator::trace(const Order& order, const std::string& what) const {
  if (!fleet_.on_trace) return;
  const auto subject = order.kind == ChangeKind::replace    ? "version " + std::to_string(order.version)
                       : order.kind == ChangeKind::evacuate ? "evacuation of " + order.text
                                                            : "readmission of " + order.text;
  fleet_.trace("  order " + std::to_string(order.id) + " (" + subject + ") " + what);
}

MemberIndex Operator::any_member() {
  MemberIndex member = 0;
  do {
    member = fleet_.drawn(fleet_.size());
  } while (fleet_.member(member).removed);
  return member;
}

void Operator::attempt(const Order& order) {
  const auto task = task_;
  if (fleet_.now() >= order.since + kGiveUp) return read_then([this] { pause(); });
  const auto at = any_member();
  const auto sent = records_.history.send(order.id, fleet_.now());
  trace(order, "sent to " + fleet_.member(at).address);
  fleet_.later(fleet_.drawn(0ms, 3ms), [this, order, at, sent, task] {
    const bool listens = fleet_.propose(at, order.kind, text_at(at, order),
                                        [this, order, sent, task](int status, const auto&) {
                                          if (fleet_.chance(kAnswersLost)) return;
                                          // An order for a zone has no identity: what comes after the operator has gone on is told to nobody.
                                          if (task != task_ && order.kind != ChangeKind::replace) return;
                                          records_.history.answer(sent, fleet_.now(), status);
                                          trace(order, "answered " + std::to_string(status));
                                          if (status == 200 && order.kind == ChangeKind::replace)
                                            note_acknowledged(order);
                                          if (task == task_) answered(order, status);
                                        });
    if (!listens && task == task_) again(order, fleet_.drawn(20ms, 200ms));
  });
  fleet_.later(kSilence, [this, order, task] {
    if (task == task_) again(order, fleet_.drawn(20ms, 200ms));
  });
}

std::string Operator::text_at(MemberIndex at, const Order& order) const {
  if (order.kind == ChangeKind::replace) return order.text;
  const auto& replica = fleet_.member(at).replica;
  return configuration::encode({order.text, replica ? replica->state().position : 0});
}

void Operator::again(const Order& order, Duration after) {
  const auto task = ++task_;
  fleet_.later(after, [this, order, task] {
    if (task == task_) attempt(order);
  });
}

void Operator::note_acknowledged(const Order& order) {
  if (!acknowledged_.insert(order.id).second) return;
  ++records_.acknowledged;
  last_taken_ = order;
  if (records_.on_acknowledged) records_.on_acknowledged();
}

void Operator::answered(const Order& order, int status) {
  if (status == 200 && order.kind == ChangeKind::replace) {
    believed_ = std::max(believed_, order.version);
    if (wanted_) std::exchange(wanted_, nullptr)();
  }
  if (status == 503) return again(order, fleet_.drawn(20ms, 200ms));
  ++task_;
  if (status == 200) return pause();
  const bool is_wanted = wanted_ != nullptr;
  read_then([this, is_wanted] { is_wanted ? new_configuration() : pause(); });
}

void Operator::read_then(std::function<void()> then) {
  ++task_;
  read_attempt(fleet_.now(), std::move(then));
}

void Operator::read_attempt(Time since, std::function<void()> then) {
  const auto task = task_;
  if (fleet_.now() >= since + kGiveUp) return then();
  const auto at = any_member();
  const auto read = records_.history.begin_read(fleet_.now());
  const auto retry = [this, since, then, task](Duration after) {
    if (task != task_) return;
    const auto next_task = ++task_;
    fleet_.later(after, [this, since, then, next_task] {
      if (next_task == task_) read_attempt(since, then);
    });
  };
  fleet_.later(fleet_.drawn(0ms, 3ms), [this, at, read, then, task, retry] {
    const bool listens = fleet_.propose(
        at, ChangeKind::noop, "", [this, at, read, then, task, retry](int status, const auto& state) {
          if (status != 200) return retry(fleet_.drawn(20ms, 200ms));
          records_.history.end_read(
              read, fleet_.now(),
              {state.version(), content_of(state), {state.evacuated.begin(), state.evacuated.end()}});
          believed_ = std::max(believed_, state.version());
          if (fleet_.on_trace)
            fleet_.trace("  read at " + fleet_.member(at).address + ": position " +
                         std::to_string(state.position));
          if (task != task_) return;
          ++task_;
          then();
        });
    if (!listens) retry(fleet_.drawn(20ms, 200ms));
  });
  fleet_.later(kSilence, [retry] { retry(20ms); });
}

}  // namespace docklift::test
