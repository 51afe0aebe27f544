// A minimal host for tests: keeps the clock, delivers events and selects the actions by type.
#pragma once

#include <algorithm>
#include <snowknot/gateway.hpp>
#include <vector>

namespace snowknot::test {

using namespace std::chrono_literals;

inline Settings settings() {
  Settings s;
  s.classes = {{.name = "safe", .aim = 800ms, .deadline = 2s},
               {.name = "keyed",
                .aim = 800ms,
                .deadline = 2s,
                .effect = Effect::keyed,
                .group = Group::cell,
                .memory_span = 3s},
               {.name = "unsafe", .aim = 500ms, .deadline = 1s, .effect = Effect::unsafe}};
  s.plans = {{.name = "plain", .rate = 10, .burst = 20},
             {.name = "capped",
              .rate = 10,
              .burst = 20,
              .ceiling_rate = 16,
              .ceiling_burst = 32,
              .ceiling_slack = 3.2}};
  s.fleet_size = 2;
  s.max_attempts = 4;
  s.counter = true;
  s.counter_timeout = 50ms;
  s.probes = true;
  s.max_retry_after = 2s;
  s.answer_slack = 16ms;
  s.drain_grace = 250ms;
  s.fall_multiple = 2;
  s.fall_time = 3s;
  s.start_capacity = 0.2;
  s.warm_within = 10s;
  return s;
}

// A gateway with a clock and the actions of its last event.
struct Host {
  Gateway gateway;
  Time now{1h};
  std::vector<Action> last_actions;
  std::uint64_t next_request = 1;

  explicit Host(const Settings& s = settings(), std::uint64_t seed = 1) : gateway(s, seed) {}

  std::vector<Action>& deliver(const Event& e) { return last_actions = gateway.handle(now, e); }

  void list_servers(int n, std::optional<Time> started = std::nullopt) {
    ListUpdate u;
    for (int i = 0; i < n; ++i)
      u.entries.push_back({.id = ServerId(static_cast<std::uint32_t>(i + 1)),
                           .cell = static_cast<std::uint32_t>(i / 2),
                           .started = started});
    deliver(u);
  }
  RequestId request(std::uint64_t customer = 1, std::uint32_t cls = 0, double units = 1,
                    std::uint32_t plan = 0) {
    const auto id = static_cast<RequestId>(next_request++);
    deliver(Arrival{id, ClassIndex(cls), PlanIndex(plan), CustomerId(customer), 1s, units, 2, false});
    return id;
  }
  template <class T>
  std::vector<T> actions() const {
    std::vector<T> found;
    for (const auto& a : last_actions)
      if (const auto* t = std::get_if<T>(&a)) found.push_back(*t);
    return found;
  }
  template <class T>
  bool has() const {
    return !actions<T>().empty();
  }
  // Answers a counter call with the total that the counter holds after it.
  void answer_count(const AddToCount& call, double total, CountOutcome o = CountOutcome::ok) {
    deliver(CountAnswer{call.name, o, total, 1ms});
  }
  // Sends a request and grants the lease that it asks for; returns the send if there is one.
  std::optional<Send> request_granted(std::uint64_t customer = 1, std::uint32_t cls = 0) {
    request(customer, cls);
    if (const auto calls = actions<AddToCount>(); !calls.empty() && !has<Send>())
      answer_count(calls[0], calls[0].amount);
    const auto sends = actions<Send>();
    return sends.empty() ? std::nullopt : std::optional(sends[0]);
  }
  void end_attempt(const Send& s, Outcome o, bool finished = false, Duration took = 20ms,
                   std::uint32_t attempt = 0) {
    deliver(AttemptEnded{s.request, attempt, s.server, o, took, finished, 0, std::nullopt});
  }
};

}  // namespace snowknot::test
