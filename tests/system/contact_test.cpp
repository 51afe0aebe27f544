// Freshness of configurations measured at the requester: a store, a registry and a proxy in virtual time,
// whose links stall and whose processes are suspended.
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <random>

#include "system/base/send_times.hpp"
#include "system/fleet/confirmation.hpp"
#include "system/fleet/copy_lag.hpp"

namespace docklift::test {
namespace {

using namespace std::chrono_literals;

constexpr Duration kRenewal = 600ms, kBarrier = 500ms;  // same values as in the proxy and the registry

// Delivers frames in order; a delayed frame delays those behind it.
class Pipe {
 public:
  Duration delay = 55ms;
  Time stalled_until{};
  void send(Time now, std::function<void()> arrives) {
    last_ = std::max({last_, now + delay, stalled_until});
    frames_.emplace(last_, std::move(arrives));
  }
  void deliver(Time now) {
    while (!frames_.empty() && frames_.begin()->first <= now) {
      const auto arrives = std::move(frames_.begin()->second);
      frames_.erase(frames_.begin());
      arrives();
    }
  }

 private:
  Time last_{};
  std::multimap<Time, std::function<void()>> frames_;
};

struct Simulation {
  explicit Simulation(std::uint64_t seed) : random(seed) {}
  void run(Duration span) {
    for (const Time until = now + span; now < until; now += 10ms) step();
  }
  void step() {
    const auto since = now.time_since_epoch();
    if (since % 1700ms == Duration{}) {  // a change is acknowledged, then sent to the proxy over these links
      acknowledged[now] = ++position;
      to_registry.send(now, [this, at = position] {
        registry_position = at;
        to_proxy.send(now, [this, at] {
          proxy_position = at;
          proxy.advanced(at);
        });
      });
    }
    to_store.deliver(now);
    to_registry.deliver(now);
    if (now >= registry_suspended_until) {
      from_proxy.deliver(now);
      if (since % kBarrier == Duration{}) barrier();
    }
    if (now < proxy_suspended_until) return;
    to_proxy.deliver(now);
    if (since % kRenewal == Duration{}) {
      from_proxy.send(now, [this, token = tokens.sent(now)] { requests.received(now, token); });
    }
    check();
  }
  void barrier() {
    to_store.send(now, [this, begun = now] {
      to_registry.send(now, [this, begun, position_at_barrier = position] {
        const auto token = requests.answerable(begun);
        if (!token) return;
        to_proxy.send(now, [this, token, position_at_barrier] {
          if (const auto sent = tokens.of(*token)) proxy.answered(*sent, position_at_barrier, proxy_position);
        });
      });
    });
  }
  // The proxy's copy must hold every change acknowledged before the time as of which it is considered fresh.
  void check() {
    if (!proxy.at()) return;
    const auto after = acknowledged.lower_bound(*proxy.at());
    const auto expected = after == acknowledged.begin() ? 0 : std::prev(after)->second;
    if (proxy_position < expected) ++violations;
    oldest = std::max(oldest, now - *proxy.at());
  }

  std::mt19937_64 random;
  Time now{1h};
  Pipe to_store, to_registry, to_proxy, from_proxy;
  Time registry_suspended_until{}, proxy_suspended_until{};
  std::map<Time, std::uint64_t> acknowledged;
  std::uint64_t position = 0, registry_position = 0, proxy_position = 0;
  SendTimes tokens{64};
  fleet::ConfirmRequests requests;
  fleet::Confirmation proxy;
  std::size_t violations = 0;
  Duration oldest{};
};

BOOST_AUTO_TEST_SUITE(contact)

BOOST_AUTO_TEST_CASE(
    given_stable_links_between_regions_when_a_proxy_asks_then_it_is_fresh_to_a_second_and_a_half) {
  Simulation simulation(1);
  simulation.run(3s);
  simulation.oldest = {};
  simulation.run(60s);
  BOOST_TEST(millis(simulation.oldest) < 1500u);
  BOOST_TEST(simulation.violations == 0u);
}

BOOST_AUTO_TEST_CASE(
    given_stalled_links_and_suspended_processes_when_old_frames_are_read_then_none_is_considered_fresh) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Simulation simulation(seed);
    for (int i = 0; i < 20; ++i) {
      const auto until = simulation.now + std::chrono::milliseconds(simulation.random() % 8000);
      switch (simulation.random() % 5) {
        case 0: simulation.to_proxy.stalled_until = until; break;
        case 1: simulation.from_proxy.stalled_until = until; break;
        case 2: simulation.to_registry.stalled_until = until; break;
        case 3: simulation.registry_suspended_until = until; break;
        default: simulation.proxy_suspended_until = until; break;
      }
      simulation.run(3s);
    }
    BOOST_TEST(simulation.violations == 0u, "seed " << seed);
    simulation.run(10s);
    BOOST_TEST(millis(simulation.now - *simulation.proxy.at()) < 1500u, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(
    given_an_answer_for_a_position_not_reached_when_the_log_arrives_then_it_counts_from_its_request) {
  fleet::Confirmation copy;
  const Time sent{1h};
  copy.answered(sent, 7, 6);
  BOOST_TEST(!copy.at().has_value());
  copy.advanced(6);
  BOOST_TEST(!copy.at().has_value());
  copy.advanced(7);
  BOOST_TEST((copy.at() == sent));
  copy.answered(sent - 1s, 7, 7);  // an older request, answered late
  BOOST_TEST((copy.at() == sent));
}

BOOST_AUTO_TEST_CASE(
    given_a_request_after_a_read_barrier_began_when_the_barrier_ends_then_it_is_not_answered) {
  fleet::ConfirmRequests requests;
  const Time begun{1h};
  requests.received(begun, 1);
  requests.received(begun + 1ms, 2);
  BOOST_TEST((requests.answerable(begun) == 1u));
  BOOST_TEST(!requests.answerable(begun).has_value());
  BOOST_TEST((requests.answerable(begun + 1ms) == 2u));
}

BOOST_AUTO_TEST_CASE(
    given_a_core_at_an_earlier_position_than_a_copy_when_it_is_asked_then_nothing_is_confirmed) {
  fleet::Confirmation copy;
  const Time start{1h};
  copy.asked(start, 8);
  BOOST_TEST(!copy.answered(start, 7, 8));
  BOOST_TEST(!copy.at().has_value());
  // A change received after the request may lie beyond the answer's position.
  copy.asked(start + 1s, 8);
  BOOST_TEST(copy.answered(start + 1s, 8, 9));
  BOOST_TEST((copy.at() == start + 1s));
  // A copy that was dropped after the request doesn't contradict the core.
  copy.asked(start + 2s, 9);
  BOOST_TEST(copy.answered(start + 2s, 5, 0));
}

BOOST_AUTO_TEST_CASE(given_more_requests_than_are_remembered_when_an_old_one_is_answered_then_it_is_unknown) {
  SendTimes times(2);
  const auto first = times.sent(Time{1h});
  times.sent(Time{1h} + 1s);
  BOOST_TEST(times.of(first).has_value());
  const auto third = times.sent(Time{1h} + 2s);
  BOOST_TEST(!times.of(first).has_value());
  BOOST_TEST((times.of(third) == Time{1h} + 2s));
  BOOST_TEST(!times.of(third + 1).has_value());
  BOOST_TEST(!times.of(0).has_value());
}

BOOST_AUTO_TEST_CASE(given_a_copy_when_the_core_reports_a_newer_position_then_it_lags_until_it_has_it) {
  fleet::CopyLag lag;
  const Time start{1h};
  BOOST_TEST(!lag.lagging_since(start));
  lag.reported(start, 5, 5);
  BOOST_TEST(!lag.lagging_since(start));
  lag.reported(start + 1s, 7, 5);
  lag.reported(start + 2s, 9, 5);
  BOOST_TEST((lag.lagging_since(start + 2s) == start + 1s));
  lag.advanced(7);
  BOOST_TEST((lag.lagging_since(start + 2s) == start + 2s));
  lag.reported(start + 3s, 8, 7);  // a late answer from another registry
  BOOST_TEST((lag.lagging_since(start + 3s) == start + 2s));
  lag.advanced(9);
  BOOST_TEST(!lag.lagging_since(start + 3s));
}

BOOST_AUTO_TEST_CASE(given_a_core_that_no_longer_reports_a_change_then_the_copy_does_not_lag_forever) {
  fleet::CopyLag lag;
  const Time start{1h};
  lag.reported(start, 9, 5);
  BOOST_TEST((lag.lagging_since(start + 3s) == start));
  lag.reported(start + 3s, 6, 6);  // the position reported before is lost
  BOOST_TEST(!lag.lagging_since(start + 4s));
  lag.reported(start + 5s, 9, 6);  // or it exists after all
  BOOST_TEST((lag.lagging_since(start + 5s) == start));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
