// The smallest host: one server, one customer, one request; a counter that answers at once.
#include <cstdio>
#include <snowknot/gateway.hpp>

int main() {
  using namespace snowknot;
  using namespace std::chrono_literals;
  Settings settings;
  settings.classes.push_back({.name = "read", .aim = 500ms, .deadline = 2s});
  settings.plans.push_back({.name = "plan", .rate = 5, .burst = 10});
  settings.counter = true;
  settings.counter_timeout = 50ms;
  settings.warm_within = 10s;
  Gateway gateway(settings, 1);

  const Time now{1h};
  gateway.handle(now, ListUpdate{ListKind::full, {{.id = ServerId{7}}}});
  bool sent = false;
  for (const auto& action : gateway.handle(now, Arrival{.request = RequestId{1}, .time_left = 2s})) {
    if (const auto* add = std::get_if<AddToCount>(&action)) {
      for (const auto& next :
           gateway.handle(now + 1ms, CountAnswer{add->name, CountOutcome::ok, add->amount, 1ms}))
        sent = sent || std::holds_alternative<Send>(next);
    }
  }
  std::puts(sent ? "sent to server 7" : "not sent");
  return sent ? 0 : 1;
}
