// Freshness of configurations counted at the asker: a store, a registry and a proxy in virtual time, whose links
// stall and whose processes stand still.
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

constexpr Duration kRenewal = 600ms, kBarrier = 500ms;  // as the proxy and the registry have them

// Frames arrive in order; one that is held up holds up those behind it.
class Pipe {
 public:
  Duration trip = 55ms;
  Time stalled_until{};
  void send(Time now, std::function<void()> arrives) {
    last_ = std::max({last_, now + trip, stalled_until});
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

struct Chain {
  explicit Chain(std::uint64_t seed) : random(seed) {}
  void run(Duration span) {
    for (const Time until = now + span; now < until; now += 10ms) step();
  }
  void step() {
    const auto since = now.time_since_epoch();
    if (since % 1700ms == Duration{}) {  // a change is acknowledged; it comes to the proxy as the rest does
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
    if (now >= registry_stands_until) {
      from_proxy.deliver(now);
      if (since % kBarrier == Duration{}) barrier();
    }
    if (now < proxy_stands_until) return;
    to_proxy.deliver(now);
    if (since % kRenewal == Duration{}) {
      from_proxy.send(now, [this, token = tokens.sent(now)] { requests.received(now, token); });
    }
    check();
  }
  void barrier() {
    to_store.send(now, [this, begun = now] {
      to_registry.send(now, [this, begun, told = position] {
        const auto token = requests.answerable(begun);
        if (!token) return;
        to_proxy.send(now, [this, token, told] {
          if (const auto sent = tokens.of(*token)) proxy.answered(*sent, told, proxy_position);
        });
      });
    });
  }
  // What was acknowledged before the moment as of which the proxy counts itself fresh is in its copy.
  void check() {
    if (!proxy.at()) return;
    const auto after = acknowledged.lower_bound(*proxy.at());
    const auto due = after == acknowledged.begin() ? 0 : std::prev(after)->second;
    if (proxy_position < due) ++wrong;
    oldest = std::max(oldest, now - *proxy.at());
  }

  std::mt19937_64 random;
  Time now{1h};
  Pipe to_store, to_registry, to_proxy, from_proxy;
  Time registry_stands_until{}, proxy_stands_until{};
  std::map<Time, std::uint64_t> acknowledged;
  std::uint64_t position = 0, registry_position = 0, proxy_position = 0;
  SendTimes tokens{64};
  fleet::ConfirmRequests requests;
  fleet::Confirmation proxy;
  std::size_t wrong = 0;
  Duration oldest{};
};

BOOST_AUTO_TEST_SUITE(contact)

BOOST_AUTO_TEST_CASE(
    given_calm_links_between_regions_when_a_proxy_asks_then_it_is_fresh_to_a_second_and_a_half) {
  Chain chain(1);
  chain.run(3s);
  chain.oldest = {};
  chain.run(60s);
  BOOST_TEST(millis(chain.oldest) < 1500u);
  BOOST_TEST(chain.wrong == 0u);
}

BOOST_AUTO_TEST_CASE(
    given_links_that_stall_and_processes_that_stand_still_when_old_frames_are_read_then_none_is_taken_for_fresh) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Chain chain(seed);
    for (int i = 0; i < 20; ++i) {
      const auto until = chain.now + std::chrono::milliseconds(chain.random() % 8000);
      switch (chain.random() % 5) {
        case 0: chain.to_proxy.stalled_until = until; break;
        case 1: chain.from_proxy.stalled_until = until; break;
        case 2: chain.to_registry.stalled_until = until; break;
        case 3: chain.registry_stands_until = until; break;
        default: chain.proxy_stands_until = until; break;
      }
      chain.run(3s);
    }
    BOOST_TEST(chain.wrong == 0u, "seed " << seed);
    chain.run(10s);
    BOOST_TEST(millis(chain.now - *chain.proxy.at()) < 1500u, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(
    given_an_answer_for_a_place_that_has_not_come_when_the_log_comes_then_it_counts_from_its_question) {
  fleet::Confirmation copy;
  const Time sent{1h};
  copy.answered(sent, 7, 6);
  BOOST_TEST(!copy.at().has_value());
  copy.advanced(6);
  BOOST_TEST(!copy.at().has_value());
  copy.advanced(7);
  BOOST_TEST((copy.at() == sent));
  copy.answered(sent - 1s, 7, 7);  // an older question, answered late
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

BOOST_AUTO_TEST_CASE(given_a_core_that_stands_before_a_copy_when_it_was_asked_then_nothing_is_confirmed) {
  fleet::Confirmation copy;
  const Time start{1h};
  copy.asked(start, 8);
  BOOST_TEST(!copy.answered(start, 7, 8));
  BOOST_TEST(!copy.at().has_value());
  // What has come here only after the question may lie beyond the answer.
  copy.asked(start + 1s, 8);
  BOOST_TEST(copy.answered(start + 1s, 8, 9));
  BOOST_TEST((copy.at() == start + 1s));
  // A copy that was given up after the question says nothing against the core.
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

BOOST_AUTO_TEST_CASE(given_a_copy_when_the_core_tells_more_than_it_holds_then_it_is_behind_until_it_has_it) {
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
  lag.reported(start + 3s, 8, 7);  // an answer of another registry, late
  BOOST_TEST((lag.lagging_since(start + 3s) == start + 2s));
  lag.advanced(9);
  BOOST_TEST(!lag.lagging_since(start + 3s));
}

BOOST_AUTO_TEST_CASE(given_a_core_that_tells_no_more_of_a_change_then_the_copy_does_not_lack_it_for_ever) {
  fleet::CopyLag lag;
  const Time start{1h};
  lag.reported(start, 9, 5);
  BOOST_TEST((lag.lagging_since(start + 3s) == start));
  lag.reported(start + 3s, 6, 6);  // what was told before is lost
  BOOST_TEST(!lag.lagging_since(start + 4s));
  lag.reported(start + 5s, 9, 6);  // or it is there after all
  BOOST_TEST((lag.lagging_since(start + 5s) == start));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
