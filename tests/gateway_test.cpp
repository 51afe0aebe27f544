// Tests of a single gateway: leases, caps, retries, final answers and the choice of servers.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <set>

#include "host.hpp"

namespace snowknot::test {
namespace {

// ---- Settings ---------------------------------------------------------------------------------------

TEST(Settings, InvalidValuesThrowAndNameTheField) {
  const auto message = [](auto change) -> std::string {
    auto s = settings();
    change(s);
    try {
      Gateway g(s, 1);
    } catch (const std::invalid_argument& e) {
      return e.what();
    }
    return "";
  };
  EXPECT_NE(message([](auto& s) { s.plans[0].rate = -1; }).find("rate"), std::string::npos);
  EXPECT_NE(message([](auto& s) { s.fleet_size = 0; }).find("fleet_size"), std::string::npos);
  EXPECT_NE(message([](auto& s) { s.classes[0].effect = static_cast<Effect>(9); }).find("effect"),
            std::string::npos);
  EXPECT_NE(message([](auto& s) { s.plans[1].ceiling_burst = 0; }).find("ceiling_burst"), std::string::npos);
  EXPECT_EQ(message([](auto&) {}), "");
}

// ---- Leases -----------------------------------------------------------------------------------------

TEST(Leases, RequestWaitsForItsLeaseAndLaterRequestsSpendIt) {
  Host h;
  h.list_servers(2);
  const auto id = h.request();
  ASSERT_EQ(h.actions<AddToCount>().size(), 1u);
  EXPECT_FALSE(h.has<Send>());
  const auto call = h.actions<AddToCount>()[0];
  EXPECT_GT(call.amount, 1);
  EXPECT_LE(call.amount, 5);  // burst / (2 * gateways)
  h.answer_count(call, call.amount);
  ASSERT_EQ(h.actions<Send>().size(), 1u);
  EXPECT_EQ(h.actions<Send>()[0].request, id);
  h.request();
  EXPECT_TRUE(h.has<Send>());
  for (const auto& c : h.actions<AddToCount>()) EXPECT_NE(c.name, call.name);  // reserves of later windows
}

TEST(Leases, RequestsShareTheCallInFlight) {
  Host h;
  h.list_servers(2);
  h.request();
  const auto call = h.actions<AddToCount>().at(0);
  h.request();
  EXPECT_FALSE(h.has<AddToCount>());
  h.answer_count(call, call.amount);
  EXPECT_EQ(h.actions<Send>().size(), 2u);
}

// ---- Retries of requests whose duplicates are detected for a limited time ---------------------------

// A connect may take up to its timeout: a retry that could be written after the memory span is not sent.
TEST(Repeats, NoRetryIsSentThatMayArriveAfterTheMemorySpan) {
  for (const auto& [took, again] : {std::pair{200ms, true}, {300ms, false}, {600ms, false}}) {
    auto s = settings();
    s.classes[1].memory_span = 500ms;
    s.connect_timeout = 250ms;
    Host h(s);
    h.list_servers(2);
    const auto sent = h.request_granted(1, 1);
    ASSERT_TRUE(sent);
    h.now += took;
    h.end_attempt(*sent, Outcome::reset, false, took);
    EXPECT_EQ(h.has<Send>(), again) << took.count();
    EXPECT_EQ(h.has<Fail>(), !again) << took.count();
  }
}

// ---- A cap on open attempts --------------------------------------------------------------------------

Settings capped(std::uint32_t max_open) {
  auto s = settings();
  s.plans[0].max_open = max_open;
  return s;
}

// Two of the four slots belong to this gateway: the customer uses two gateways.
TEST(Cap, RequestsWaitingForOneLeaseDoNotExceedTheCapTogether) {
  Host h(capped(4));
  h.list_servers(2);
  h.request();
  const auto call = h.actions<AddToCount>().at(0);
  for (int i = 0; i < 3; ++i) h.request();
  h.answer_count(call, 4);
  auto sends = h.actions<Send>();
  ASSERT_EQ(sends.size(), 2u);
  h.now += 20ms;
  h.end_attempt(sends[0], Outcome::ok, true);  // the next waiting request gets its slot
  ASSERT_EQ(h.actions<Send>().size(), 1u);
  EXPECT_EQ(h.actions<Send>()[0].request, RequestId(3));
  EXPECT_FALSE(h.has<Refuse>());
  h.deliver(ClientGone{sends[1].request});
  ASSERT_EQ(h.actions<Send>().size(), 1u);
  EXPECT_EQ(h.actions<Send>()[0].request, RequestId(4));
}

TEST(Cap, RequestWithoutASlotInTimeIsRefusedWithRetryAfter) {
  Host h(capped(2));
  h.list_servers(2);
  ASSERT_TRUE(h.request_granted());
  const auto id = h.request();
  EXPECT_FALSE(h.has<Send>() || h.has<Refuse>());
  h.now += 300ms;  // past the fraction of its aim that it may wait
  h.deliver(TimerDue{});
  ASSERT_EQ(h.actions<Refuse>().size(), 1u);
  EXPECT_EQ(h.actions<Refuse>()[0].request, id);
  EXPECT_GT(h.actions<Refuse>()[0].retry_after, 0ns);
}

// A request does not wait for a slot that can't be released in time: it would be refused anyway.
TEST(Cap, RequestsThatCannotGetASlotInTimeAreRefusedAtOnce) {
  Host h(capped(2));
  h.list_servers(2);
  ASSERT_TRUE(h.request_granted());
  int waiting = 0, refused = 0;
  for (int i = 0; i < 10; ++i) {
    h.request();
    (h.has<Refuse>() ? refused : waiting)++;
  }
  EXPECT_GE(waiting, 1);
  EXPECT_LE(waiting, 3);
  EXPECT_EQ(waiting + refused, 10);
}

TEST(Cap, AppliesToAPlanWithoutARate) {
  auto s = capped(2);
  s.plans[0].rate = s.plans[0].burst = 0;
  Host h(s);
  h.list_servers(2);
  h.request();
  const auto sent = h.actions<Send>().at(0);
  h.request();
  EXPECT_TRUE(h.has<Refuse>());
  h.end_attempt(sent, Outcome::ok, true);
  h.request();
  EXPECT_TRUE(h.has<Send>());
}

TEST(Leases, ExcessIsReturnedAndTheGrantedShareKept) {
  Host h;
  h.list_servers(2);
  h.request(1, 0, 1, 1);
  const auto call = h.actions<AddToCount>().at(0);
  h.answer_count(call, 16 + call.amount - 1);  // one unit was left of the maximum under this ceiling
  EXPECT_TRUE(h.has<Send>());
  ASSERT_TRUE(h.has<AddToCount>());
  EXPECT_DOUBLE_EQ(h.actions<AddToCount>()[0].amount, -(call.amount - 1));
  h.request(1, 0, 1, 1);  // known empty: refused without a call, with the time when units are available
  EXPECT_FALSE(h.has<AddToCount>());
  ASSERT_TRUE(h.has<Refuse>());
  EXPECT_GT(h.actions<Refuse>()[0].retry_after, 0ns);
  EXPECT_LE(h.actions<Refuse>()[0].retry_after, 2s);  // a window is burst / rate
  h.now += h.actions<Refuse>()[0].retry_after;
  h.request(1, 0, 1, 1);
  EXPECT_TRUE(h.has<AddToCount>());
}

// A bucket that was full at a window's start grants its refill as well, by the time elapsed in the window.
TEST(Leases, FullBucketGrantsItsRefillToo) {
  int sent = 0, refused = 0;
  for (int i = 0; i < 20; ++i) {
    Host h;
    h.now += i * 100ms;  // over a whole window
    h.list_servers(2);
    h.request();
    const auto call = h.actions<AddToCount>().at(0);
    h.answer_count(call, 34);  // the bucket holds 20 and gets 20 in a window
    sent += h.has<Send>(), refused += h.has<Refuse>();
  }
  EXPECT_GE(sent, 5);
  EXPECT_GE(refused, 8);
  EXPECT_EQ(sent + refused, 20);
}
// A bucket that was emptied in the previous window grants only its refill since.
TEST(Leases, EmptyBucketFillsEvenlyInTheNextWindow) {
  Host h;
  h.list_servers(2);
  h.request();
  const auto first = h.actions<AddToCount>().at(0);
  h.answer_count(first, 40 + first.amount);
  ASSERT_TRUE(h.has<Refuse>());
  h.now += h.actions<Refuse>()[0].retry_after;  // no more in this window
  h.request();
  const auto next = h.actions<AddToCount>().back();  // earlier calls are for reserves
  h.answer_count(next, 10 + next.amount);            // well below the limit, but the window has just begun
  ASSERT_TRUE(h.has<Refuse>());
  EXPECT_GE(h.actions<Refuse>()[0].retry_after, 1100ms);  // 11 of 20 units in a window of 2 s
  EXPECT_LE(h.actions<Refuse>()[0].retry_after, 1110ms);
  // A fully refused amount is taken off at the next call, without a call of its own.
  h.now += h.actions<Refuse>()[0].retry_after;
  h.request();
  ASSERT_TRUE(h.has<AddToCount>());
  EXPECT_EQ(h.actions<AddToCount>().back().amount, 0);
  h.answer_count(h.actions<AddToCount>().back(), 10 + next.amount);
  EXPECT_TRUE(h.has<Send>());
}

// Sends a request and answers all calls like a counter; returns the number of sends.
struct Counted : Host {
  using Host::Host;
  std::map<CountName, double> counts;
  std::size_t calls = 0;   // of the last request, without reserves
  Duration retry_after{};  // of the last refusal

  std::size_t request_counted(double units = 1) {
    now += 10ms;  // keeps the rate of calls low
    request(1, 0, units);
    std::size_t sent = 0;
    calls = 0;
    std::deque<AddToCount> pending;
    const auto collect = [&] {
      sent += actions<Send>().size();
      for (const auto& r : actions<Refuse>()) retry_after = r.retry_after;
      for (const auto& c : actions<AddToCount>()) pending.push_back(c);
    };
    for (collect(); !pending.empty(); collect()) {
      const auto call = pending.front();
      pending.pop_front();
      calls += call.lifetime < 2500ms;  // for the current window, of 2 s
      answer_count(call, counts[call.name] += call.amount);
    }
    return sent;
  }
};

// A bucket that was full and unused for most of a window holds its limit, not the limit and all refill: a
// burst late in the window is granted no more than an early one.
TEST(Leases, UnusedFullBucketGrantsItsLimitAtOnceAndNoMore) {
  for (const auto start : {0ms, 500ms, 1000ms, 1500ms, 1900ms}) {
    Counted h;
    h.now += start;
    h.list_servers(10);
    std::size_t sent = 0;
    for (int i = 0; i < 60; ++i) sent += h.request_counted();
    EXPECT_GE(sent, 24u) << start.count();
    EXPECT_LE(sent, 26u) << start.count();  // and the refill meanwhile
  }
}

// A request that is refused for its size does not block smaller ones that fit.
TEST(Leases, RefusedLargeRequestDoesNotBlockSmallerOnes) {
  auto s = settings();
  s.max_units = 4;
  Counted h(s);
  h.list_servers(10);
  for (int i = 0; i < 5; ++i) EXPECT_EQ(h.request_counted(4), 1u);
  EXPECT_EQ(h.request_counted(4), 0u);
  EXPECT_GT(h.retry_after, 300ms);  // 4 units at 10 a second, of which some have been refilled
  EXPECT_LE(h.retry_after, 400ms);
  h.now += 250ms;
  EXPECT_EQ(h.request_counted(4), 0u);
  EXPECT_EQ(h.calls, 0u);  // no call is made either
  EXPECT_EQ(h.request_counted(1), 1u);
}

TEST(Leases, TimedOutAddIsTakenOffAtTheNextCall) {
  Host h;
  h.list_servers(2);
  h.request();
  const auto call = h.actions<AddToCount>().at(0);
  h.answer_count(call, 0, CountOutcome::timeout);
  ASSERT_TRUE(h.has<AddToCount>());
  EXPECT_LE(h.actions<AddToCount>()[0].amount, 0.0);
  EXPECT_FALSE(h.has<Send>());
}

TEST(Leases, TimedOutAddMissingFromTheTotalIsAddedAgain) {
  for (const bool was_added : {false, true}) {
    Host h;
    h.list_servers(2);
    h.request();
    const auto call = h.actions<AddToCount>().at(0);
    h.answer_count(call, 0, CountOutcome::timeout);
    const auto second = h.actions<AddToCount>().at(0);
    const double total = (was_added ? call.amount : 0) + second.amount;
    h.answer_count(second, total);
    EXPECT_TRUE(h.has<Send>());
    h.now += 100ms;
    h.request(1, 0, 8);  // more than the lease holds
    const auto third = h.actions<AddToCount>();
    ASSERT_FALSE(third.empty());
    h.answer_count(third.back(), total + third.back().amount);
    EXPECT_TRUE(h.has<Send>());
    EXPECT_GE(total + third.back().amount, 1 + 8);  // the units spent
  }
}

TEST(Leases, TimedOutAddUnderACeilingStaysCounted) {
  Host h;
  h.list_servers(2);
  h.request(1, 0, 1, 1);
  const auto call = h.actions<AddToCount>().at(0);
  h.answer_count(call, 0, CountOutcome::timeout);
  ASSERT_TRUE(h.has<AddToCount>());
  EXPECT_GT(h.actions<AddToCount>()[0].amount, 0.0);
}

// Also under a ceiling: an amount known to be in the count is not leased twice, and the counter is healthy.
TEST(Leases, AddWithAnUnreadableTotalIsTakenOffAtTheNextCall) {
  Host h;
  h.list_servers(4);
  h.request(1, 0, 1, 1);
  const auto first = h.actions<AddToCount>();
  ASSERT_EQ(first.size(), 1u);
  h.answer_count(first[0], 0, CountOutcome::added);
  const auto again = h.actions<AddToCount>();
  ASSERT_EQ(again.size(), 1u);
  EXPECT_EQ(again[0].amount, 0);
  h.answer_count(again[0], first[0].amount);
  EXPECT_TRUE(h.has<Send>());
}
TEST(Leases, CounterDownRefusesEarlyAndIsRetried) {
  Host h;
  h.list_servers(2);
  h.request();
  for (int i = 0; i < 3; ++i)
    h.now += 2ms, h.answer_count(h.actions<AddToCount>().at(0), 0, CountOutcome::refused);
  EXPECT_TRUE(h.has<Refuse>());
  h.request(2);
  EXPECT_FALSE(h.has<AddToCount>());
  ASSERT_TRUE(h.has<Refuse>());
  EXPECT_GT(h.actions<Refuse>()[0].retry_after, 0ns);
  h.now += 200ms;
  h.request(3);
  ASSERT_TRUE(h.has<AddToCount>());
  h.answer_count(h.actions<AddToCount>()[0], 3);
  EXPECT_TRUE(h.has<Send>());
}

TEST(Leases, ReportOfLostCountsClosesEarlierCeilingWindows) {
  Host h;
  h.list_servers(2);
  h.request(1, 0, 1, 1);
  const auto call = h.actions<AddToCount>().at(0);
  h.deliver(CountsLost{h.now});
  h.answer_count(call, call.amount);  // the count may have restarted
  EXPECT_FALSE(h.has<Send>());
  ASSERT_TRUE(h.has<Refuse>());
  const auto wait = h.actions<Refuse>()[0].retry_after;
  h.request(1, 0, 1, 1);
  EXPECT_FALSE(h.has<AddToCount>());
  EXPECT_TRUE(h.has<Refuse>());
  h.request(2);  // without a ceiling leases go on
  EXPECT_TRUE(h.has<AddToCount>());
  h.now += wait;
  h.request(1, 0, 1, 1);
  ASSERT_TRUE(h.has<AddToCount>());                  // the next window
  const auto next = h.actions<AddToCount>().back();  // earlier calls are for reserves
  h.deliver(CountsLost{h.now - wait});               // a late report of a known loss
  h.answer_count(next, next.amount);
  EXPECT_TRUE(h.has<Send>());
}
TEST(Leases, ReportOfAnOldLossClosesNothing) {
  Host h;
  h.now += 5h;
  h.list_servers(2);
  h.deliver(CountsLost{h.now - 2h});
  h.request(1, 0, 1, 1);
  ASSERT_TRUE(h.has<AddToCount>());
}
TEST(Leases, CounterThatLostItsCountsClosesACeilingWindow) {
  Host h;
  h.list_servers(2);
  h.request(1, 0, 8, 1);
  h.answer_count(h.actions<AddToCount>().at(0), 8);
  ASSERT_TRUE(h.has<Send>());
  h.request(1, 0, 4, 1);
  h.answer_count(h.actions<AddToCount>().at(0), 4);  // less than this gateway added itself
  EXPECT_FALSE(h.has<Send>());
  EXPECT_TRUE(h.has<Refuse>());
}

TEST(Leases, CustomersSeenOnceAreDropped) {
  Host h;
  h.list_servers(2);
  for (std::uint64_t c = 1; c <= 500; ++c) h.request_granted(c);
  EXPECT_GE(h.gateway.sizes().customers, 500u);
  for (int i = 0; i < 100; ++i) {  // their demand is remembered for 20 s
    h.now += 300ms;
    h.deliver(TimerDue{TimerId{1}});
  }
  EXPECT_EQ(h.gateway.sizes().customers, 0u);
}

TEST(Leases, AnswerForADroppedWindowIsIgnored) {
  Host h;
  h.list_servers(2);
  h.request();
  const auto call = h.actions<AddToCount>().at(0);
  h.now += 10s;
  h.deliver(TimerDue{TimerId{1}});
  EXPECT_TRUE(h.has<Refuse>());
  h.answer_count(call, 5);
  EXPECT_FALSE(h.has<Send>());
}

TEST(Leases, ReservesServeASteadyCustomerWhileTheCounterIsDown) {
  Host h;
  h.list_servers(4);
  double total = 0;
  for (int i = 0; i < 60; ++i) {  // 4 requests a second for 15 s; a window lasts 2 s
    h.now += 250ms;
    h.request();
    const auto first = h.last_actions;
    for (const auto& s : h.actions<Send>()) h.end_attempt(s, Outcome::ok, true);
    for (const auto& a : first) {
      if (const auto* call = std::get_if<AddToCount>(&a)) {
        h.answer_count(*call, call->amount);
        for (const auto& s : h.actions<Send>()) h.end_attempt(s, Outcome::ok, true);
        total += call->amount;
      }
    }
  }
  int sent = 0;
  for (int i = 0; i < 16; ++i) {  // every call times out for 4 s
    h.now += 250ms;
    h.request();
    for (auto actions = h.last_actions; !actions.empty();) {
      std::vector<Action> next;
      for (const auto& a : actions) {
        if (const auto* s = std::get_if<Send>(&a)) ++sent, h.end_attempt(*s, Outcome::ok, true);
        if (const auto* call = std::get_if<AddToCount>(&a)) h.answer_count(*call, 0, CountOutcome::timeout);
        if (std::holds_alternative<Send>(a) || std::holds_alternative<AddToCount>(a))
          next.insert(next.end(), h.last_actions.begin(), h.last_actions.end());
      }
      actions = next;
    }
  }
  EXPECT_GE(sent, 5);
  EXPECT_GT(total, 0);
}

TEST(Leases, NoReserveForACustomerSeenOnce) {
  Host h;
  h.list_servers(4);
  h.request(5);
  const auto call = h.actions<AddToCount>();
  ASSERT_EQ(call.size(), 1u);
  h.answer_count(call[0], call[0].amount);
  EXPECT_TRUE(h.has<Send>());
  EXPECT_FALSE(h.has<AddToCount>());
  h.now += 100ms;
  h.request(6);
  h.answer_count(h.actions<AddToCount>().at(0), 7);  // this customer uses other gateways too
  h.now += 100ms;
  h.request(6);
  EXPECT_TRUE(h.has<AddToCount>());
}

// A counter that can fail, and a customer under a ceiling.
struct ReserveScenario {
  Host h;
  std::map<CountName, double> counts;
  bool up = true;
  int sent = 0;

  ReserveScenario() { h.list_servers(4); }
  void request(std::uint64_t customer = 1, std::uint32_t plan = 1) {
    h.request(customer, 0, 1, plan);
    std::deque<Action> actions(h.last_actions.begin(), h.last_actions.end());
    for (; !actions.empty(); actions.pop_front()) {
      const auto a = actions.front();
      if (const auto* s = std::get_if<Send>(&a)) ++sent, h.end_attempt(*s, Outcome::ok, true);
      if (const auto* c = std::get_if<AddToCount>(&a)) {
        if (up) counts[c->name] += c->amount;
        h.answer_count(*c, up ? counts[c->name] : 0, up ? CountOutcome::ok : CountOutcome::refused);
      }
      if (std::holds_alternative<Send>(a) || std::holds_alternative<AddToCount>(a))
        actions.insert(actions.end(), h.last_actions.begin(), h.last_actions.end());
    }
  }
  // The number of sends for `requests` requests, one every 100 ms.
  int sent_of(int requests) {
    sent = 0;
    for (int i = 0; i < requests; ++i) h.now += 100ms, request();
    return sent;
  }
};

TEST(Leases, CeilingReserveIsSpentOnlyWhileTheCounterIsDown) {
  ReserveScenario r;
  EXPECT_GE(r.sent_of(20), 18);
  for (const auto& [name, total] : r.counts) EXPECT_LE(total, 32 / 2);  // half of the ceiling's burst
  r.up = false;
  EXPECT_GE(r.sent_of(60), 16);  // units of the current window alone allow at most 4
}

// A known loss that shows again in other lost counts closes no window that began since.
TEST(Leases, KnownLossClosesNoWindowThatBeganAfterIt) {
  Host h;
  h.list_servers(4);
  std::map<std::uint64_t, CountName> seen;
  int sent = 0;
  const auto grant = [&](std::uint64_t customer, double units, std::uint32_t plan) {
    h.now += 10ms;
    h.request(customer, 0, units, plan);
    const auto calls = h.actions<AddToCount>();
    if (calls.empty()) return;
    seen.try_emplace(customer, calls.back().name);
    h.answer_count(calls.back(), calls.back().amount);
    if (const auto sends = h.actions<Send>(); !sends.empty())
      ++sent, h.end_attempt(sends[0], Outcome::ok, true);
  };
  for (std::uint64_t c = 10; c < 40; ++c) grant(c, 1, 0);
  grant(1, 4, 1);
  grant(1, 4, 1);  // its total lacks the first add
  ASSERT_TRUE(h.has<Refuse>());
  h.now += h.actions<Refuse>()[0].retry_after;
  sent = 0;
  grant(1, 1, 1);
  EXPECT_EQ(sent, 1);
  bool noticed = false;
  for (std::uint64_t c = 10; c < 40; ++c) {
    for (int i = 0; i < 5; ++i) {
      h.request(c);
      for (const auto& call : h.actions<AddToCount>()) {
        noticed = noticed || call.name == seen[c];
        h.answer_count(call, call.amount);
      }
    }
  }
  EXPECT_TRUE(noticed);
  h.now += 10ms;
  h.request(1, 0, 4, 1);
  EXPECT_TRUE(h.has<AddToCount>());
  EXPECT_FALSE(h.has<Refuse>());
}

// A fleet that shares one small counter, which processes calls in order; a call times out after 50 ms.
struct Fleet {
  std::vector<Host> hosts;
  std::map<CountName, double> counts;
  struct QueuedCall {
    std::size_t host;
    AddToCount call;
    Time sent_at;
  };
  std::deque<QueuedCall> queue;
  std::map<std::size_t, std::vector<Time>> timers;
  Time now{1h};
  int sent = 0, refused = 0, answered = 0, late = 0;

  explicit Fleet(std::size_t gateways) {
    auto s = settings();
    s.fleet_size = static_cast<std::uint32_t>(gateways);
    for (std::size_t i = 0; i < gateways; ++i) {
      s.index = static_cast<std::uint32_t>(i);
      hosts.emplace_back(s, 100 + i);
      hosts.back().now = now;
      hosts.back().list_servers(20);
    }
  }
  void collect(std::size_t i) {
    const auto actions = hosts[i].last_actions;
    for (const auto& a : actions) {
      if (const auto* c = std::get_if<AddToCount>(&a)) queue.push_back({i, *c, now});
      if (const auto* t = std::get_if<SetTimer>(&a)) timers[i].push_back(now + t->delay);
      if (std::holds_alternative<Refuse>(a)) ++refused;
      if (const auto* send = std::get_if<Send>(&a)) {
        ++sent;
        hosts[i].end_attempt(*send, Outcome::ok, true);
        collect(i);
      }
    }
  }
  void request(std::size_t i, std::uint64_t customer, std::uint32_t plan = 0) {
    hosts[i].now = now;
    const auto id = static_cast<RequestId>(hosts[i].next_request++);
    hosts[i].deliver(Arrival{id, ClassIndex{0}, PlanIndex{plan}, CustomerId(customer), 1s, 1,
                             static_cast<std::uint32_t>(hosts.size()), false});
    collect(i);
  }
  void step(double calls) {  // one millisecond, in which the counter processes `calls` calls
    now += 1ms;
    for (credit += calls; credit >= 1 && !queue.empty(); credit -= 1) {
      const auto o = queue.front();
      queue.pop_front();
      const double total = counts[o.call.name] += o.call.amount;
      const bool in_time = now - o.sent_at < 50ms;
      ++(in_time ? answered : late);
      auto& h = hosts[o.host];
      h.now = now;
      h.deliver(CountAnswer{o.call.name, in_time ? CountOutcome::ok : CountOutcome::timeout, total,
                            std::min<Duration>(now - o.sent_at, 50ms)});
      collect(o.host);
    }
    credit = std::min(credit, 1.0);
    for (auto& [i, times] : timers) {
      if (std::erase_if(times, [&](Time t) { return t <= now; }) == 0) continue;
      hosts[i].now = now;
      hosts[i].deliver(TimerDue{TimerId{1}});
      collect(i);
    }
  }
  double credit = 0;
};

TEST(Leases, FleetThatOutgrewItsCounterKeepsCallsAnswered) {
  Fleet f(200);
  std::mt19937_64 rng(7);
  for (int ms = 0; ms < 12000; ++ms) {
    if (ms == 6000) f.answered = f.late = 0;   // the rate has converged by then
    f.request(rng() % 200, 1 + rng() % 2000);  // 1000 requests a second, mostly a call each; capacity 400
    f.step(0.4);
  }
  EXPECT_GT(f.answered, 1200);    // half of its capacity
  EXPECT_LT(f.late, f.answered);  // one call in flight per gateway would leave hardly any answered in time
}

TEST(Leases, WhileCallsAreShortOneRequestOfACustomerInsideItsQuotaIsAdmittedOnCredit) {
  auto s = settings();
  s.fleet_size = 400;
  Host h(s);
  h.list_servers(20);
  int calls = 0, sent = 0;
  for (std::uint64_t c = 1; c <= 10; ++c) {
    h.deliver(
        Arrival{static_cast<RequestId>(c), ClassIndex{0}, PlanIndex{0}, CustomerId(c), 1s, 1, 200, false});
    calls += h.has<AddToCount>();
    if (const auto sends = h.actions<Send>(); !sends.empty())
      ++sent, h.end_attempt(sends[0], Outcome::ok, true);
  }
  EXPECT_LE(calls, 3);
  EXPECT_GE(sent, 7);
  h.deliver(Arrival{RequestId{50}, ClassIndex{0}, PlanIndex{0}, CustomerId{10}, 1s, 1, 200, false});
  EXPECT_FALSE(h.has<Send>());  // once per customer and window
  h.now += 1900ms;              // a window lasts 2 s; this customer's may have ended
  h.deliver(Arrival{RequestId{51}, ClassIndex{0}, PlanIndex{0}, CustomerId{10}, 1s, 1, 200, false});
  EXPECT_FALSE(h.has<Send>());  // comes more often than an even share of its rate
}

TEST(Leases, NoCreditUnderACeilingNorWhileTheCounterFails) {
  auto s = settings();
  s.fleet_size = 400;
  Host h(s);
  h.list_servers(20);
  for (std::uint64_t c = 1; c <= 10; ++c) {
    h.deliver(
        Arrival{static_cast<RequestId>(c), ClassIndex{0}, PlanIndex{1}, CustomerId(c), 1s, 1, 200, false});
    EXPECT_FALSE(h.has<Send>());
  }
  Host down(s);
  down.list_servers(20);
  int sent = 0;
  for (std::uint64_t c = 1; c <= 40; ++c) {
    down.now += 500ms;
    down.deliver(
        Arrival{static_cast<RequestId>(c), ClassIndex{0}, PlanIndex{0}, CustomerId(c), 1s, 1, 200, false});
    for (auto again = down.actions<AddToCount>(); !again.empty(); again = down.actions<AddToCount>())
      down.answer_count(again[0], 0, CountOutcome::timeout);
    if (c > 5) sent += down.has<Send>();
  }
  EXPECT_EQ(sent, 0);
}

TEST(Streams, OnlyAttemptsBeingProcessedCountAsLoad) {
  auto free = settings();
  free.plans = {{.name = "free"}};
  free.counter = false;
  Host h(free);
  h.list_servers(1);
  std::vector<Send> sent;
  const auto request = [&](std::uint64_t customer) {
    if (const auto s = h.request_granted(customer)) sent.push_back(*s);
    return sent.size();
  };
  std::uint64_t c = 1;
  while (request(c) == c) ++c;
  const auto limit = sent.size();  // later requests wait for capacity
  ASSERT_GE(limit, 2U);
  std::size_t more_sent = 0;
  for (int twice = 0; twice < 2; ++twice)  // a repeated event counts once
    for (std::size_t i = 0; i < limit; ++i) {
      h.deliver(AttemptWaits{sent[i].request, 0, true});
      more_sent += h.actions<Send>().size();
    }
  EXPECT_GE(more_sent, 1U) << "a waiting request was sent";
  for (std::size_t i = 0; i < limit; ++i) h.deliver(AttemptWaits{sent[i].request, 0, false});
  const auto before = sent.size();
  request(++c);
  EXPECT_EQ(sent.size(), before) << "no capacity while all attempts are processed";
}

TEST(Streams, RequestThatCannotBeSentAgainIsNotRetried) {
  for (const bool last : {false, true}) {
    Host h;
    h.list_servers(4);
    const auto s = h.request_granted(1, 2);
    ASSERT_TRUE(s);
    AttemptEnded e{s->request, 0, s->server, Outcome::connect_failed, 1ms, false, 0, std::nullopt};
    e.last = last;
    h.deliver(e);
    EXPECT_EQ(h.has<Send>(), !last);
    EXPECT_EQ(h.has<Refuse>(), last) << "it never ran: a retry does no harm";
  }
}

TEST(Leases, CallOfTheHighestValueIsMadeFirst) {
  auto s = settings();
  s.classes[2].worth = 5;
  s.fleet_size = 400;
  Host h(s);
  h.list_servers(8);
  for (std::uint64_t c = 100; c < 104; ++c) {
    h.request(c, 0, 1, 1);
    EXPECT_FALSE(h.has<AddToCount>());  // the first call is reserved for a higher value
  }
  h.request(200, 2, 1, 1);
  EXPECT_TRUE(h.has<AddToCount>());
}

TEST(Leases, NoReserveWhereOneRequestExceedsAnEvenShare) {
  auto s = settings();
  s.plans[0].burst = 3;
  s.max_units = 4;
  Host h(s);
  h.list_servers(4);
  for (int i = 0; i < 60; ++i) {
    h.now += 100ms;
    h.request(1, 0, 2);  // of 3 units, at two gateways
    EXPECT_LE(h.actions<AddToCount>().size(), 1u);
    for (const auto& c : h.actions<AddToCount>()) h.answer_count(c, c.amount);
    for (const auto& send : h.actions<Send>()) h.end_attempt(send, Outcome::ok, true);
  }
}

TEST(Leases, WaitingForTheCounterEndsEarlyEnoughToRetry) {
  Host h;
  h.list_servers(2);
  h.request();
  h.now += 300ms;  // of an aim of 800 ms
  h.deliver(TimerDue{TimerId{1}});
  EXPECT_TRUE(h.has<Refuse>());
}

// ---- Final answers and retries ----------------------------------------------------------------------

TEST(Answers, NoServersMeansAPromptRefusalWithRetryAfter) {
  Host h;
  EXPECT_FALSE(h.request_granted());
  ASSERT_TRUE(h.has<Refuse>());
  EXPECT_GT(h.actions<Refuse>()[0].retry_after, 0ns);
}

TEST(Answers, OutcomeByClassSweep) {
  using enum Outcome;
  for (const auto o : {error, full, timeout, connect_failed, reset, cancelled, never_sent}) {
    const bool never_ran = o == full || o == connect_failed || o == never_sent;
    for (std::uint32_t cls = 0; cls < 3; ++cls) {
      for (const auto group : {Group::all, Group::zone, Group::cell}) {
        auto s = settings();
        s.classes[1].group = group;
        Host h(s);
        h.list_servers(6);
        const auto first = h.request_granted(1, cls);
        ASSERT_TRUE(first);
        const auto cell = (static_cast<std::uint32_t>(first->server) - 1) / 2;
        h.end_attempt(*first, o);
        if (const auto again = h.actions<Send>(); !again.empty()) {
          EXPECT_TRUE(never_ran || cls != 2);
          if (!never_ran && cls == 1 && group == Group::cell) {
            EXPECT_EQ((static_cast<std::uint32_t>(again[0].server) - 1) / 2, cell);
          }
        } else if (h.has<Refuse>()) {
          EXPECT_TRUE(never_ran || cls == 0 || (cls == 1 && group == Group::all));
        } else {
          EXPECT_TRUE(h.has<Fail>());
        }
      }
    }
  }
}

TEST(Answers, TimerThatFiresSlightlyEarlyIsSetAgain) {
  Host h;
  h.list_servers(2);
  auto timers = h.actions<SetTimer>();
  h.request();
  if (h.has<SetTimer>()) timers = h.actions<SetTimer>();
  for (int i = 0; i < 2000 && !h.has<Refuse>(); ++i) {
    ASSERT_FALSE(timers.empty()) << "no timer is set";
    h.now += std::max(timers[0].delay - 1ns, 1ns);
    h.deliver(TimerDue{timers[0].timer});
    timers = h.actions<SetTimer>();
  }
  EXPECT_TRUE(h.has<Refuse>());
}

TEST(Answers, UnsafeRequestThatMayHaveRunFails) {
  Host h;
  h.list_servers(4);
  const auto s = h.request_granted(1, 2);
  ASSERT_TRUE(s);
  h.end_attempt(*s, Outcome::reset);
  EXPECT_FALSE(h.has<Send>());
  EXPECT_FALSE(h.has<Refuse>());
  EXPECT_TRUE(h.has<Fail>());
}

TEST(Answers, FinishedRequestCausesNoMoreActions) {
  Host h;
  h.list_servers(4);
  const auto s = h.request_granted();
  ASSERT_TRUE(s);
  h.end_attempt(*s, Outcome::ok, true);
  h.deliver(ClientGone{s->request});
  h.end_attempt(*s, Outcome::error);
  EXPECT_FALSE(h.has<Send>() || h.has<Refuse>() || h.has<Fail>());
  EXPECT_EQ(h.gateway.sizes().requests, 0u);
}

// ---- Servers ----------------------------------------------------------------------------------------

TEST(Servers, DrainingOrRemovedServersGetNoRequests) {
  Host h;
  h.list_servers(2);
  h.deliver(
      ListUpdate{ListKind::changes,
                 {{.id = ServerId{1}, .phase = Phase::draining}, {.id = ServerId{2}, .phase = Phase::gone}}});
  EXPECT_FALSE(h.request_granted());
  EXPECT_TRUE(h.has<Refuse>());
}

TEST(Servers, ColdServerGetsASmallShare) {
  Host h;
  h.list_servers(4);
  for (int i = 0; i < 40; ++i) {
    h.now += 50ms;
    if (const auto s = h.request_granted(static_cast<std::uint64_t>(100 + i)))
      h.end_attempt(*s, Outcome::ok, true);
  }
  h.deliver(ListUpdate{ListKind::changes, {{.id = ServerId{1}, .started = h.now}}});
  int cold = 0;
  for (int i = 0; i < 60; ++i) {
    h.now += 50ms;
    if (const auto s = h.request_granted(static_cast<std::uint64_t>(200 + i))) {
      cold += s->server == ServerId{1};
      h.end_attempt(*s, Outcome::ok, true);
    }
  }
  EXPECT_GE(cold, 1);
  EXPECT_LE(cold, 6);  // of 60; a warm server gets at least 15
}

TEST(Servers, LargeFleetSendsAColdServerItsShareFromTheStart) {
  auto s = settings();
  s.fleet_size = 300;
  int cold = 0, all = 0;
  for (std::uint64_t g = 0; g < 300; ++g) {  // each sends a few requests while the server warms up
    Host h(s, g);
    h.list_servers(10);
    for (int i = 0; i < 6; ++i) {
      h.now += 300ms;
      if (const auto sent = h.request_granted(1000 + static_cast<std::uint64_t>(i)))
        h.end_attempt(*sent, Outcome::ok, true);
    }
    h.deliver(ListUpdate{ListKind::changes, {{.id = ServerId{1}, .started = h.now}}});
    for (int i = 0; i < 20; ++i) {
      h.now += 300ms;
      if (const auto sent = h.request_granted(2000 + static_cast<std::uint64_t>(i))) {
        ++all, cold += sent->server == ServerId{1};
        h.end_attempt(*sent, Outcome::ok, true);
      }
    }
  }
  EXPECT_GE(cold, all / 200);  // an even share is a tenth; a cold server starts at a fifth of that
  EXPECT_LE(cold, all / 20);
}

TEST(Servers, WhenAllServersAreColdTheyShareTheArrivals) {
  Host h;
  h.list_servers(4, Time{1h});
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    h.now += 50ms;
    if (const auto s = h.request_granted(static_cast<std::uint64_t>(100 + i))) {
      ++sent;
      h.end_attempt(*s, Outcome::ok, true);
    }
  }
  EXPECT_GE(sent, 10);
  EXPECT_LE(sent, 60);
}

TEST(Servers, TimeoutsOfImpatientClientsDoNotLowerTheLimit) {
  const auto sent_after = [](int impatient_clients) {
    Host h;
    h.list_servers(2);
    for (int i = 0; i < impatient_clients; ++i) {
      h.now += 20ms;
      const auto s = h.request_granted(static_cast<std::uint64_t>(100 + i), 2);
      if (s) h.end_attempt(*s, Outcome::timeout, true, 150ms);  // of an aim of 500 ms
    }
    int sent = 0;
    for (std::uint64_t i = 0; i < 40; ++i) {
      h.now += 5ms;
      sent += h.request_granted(1000 + i, 2).has_value();
    }
    return sent;
  };
  EXPECT_GE(sent_after(30), sent_after(0) - 1);
}

TEST(Servers, UnreachableServerIsEjectedAndProbed) {
  Host h;
  h.list_servers(3);
  const auto s = h.request_granted();
  ASSERT_TRUE(s);
  h.end_attempt(*s, Outcome::connect_failed);
  ASSERT_TRUE(h.has<Send>());
  EXPECT_NE(h.actions<Send>()[0].server, s->server);
  bool probed = false;
  for (int i = 0; i < 10 && !probed; ++i) {
    h.now += 300ms;
    h.deliver(TimerDue{TimerId{1}});
    for (const auto& p : h.actions<Probe>()) probed = probed || p.server == s->server;
  }
  EXPECT_TRUE(probed);
}

TEST(Servers, WhenAllServersLookBadTheyAreStillUsed) {
  Host h;
  h.list_servers(2);
  for (int i = 0; i < 8; ++i) {
    h.now += 20ms;
    const auto s = h.request_granted(static_cast<std::uint64_t>(10 + i), 2);
    if (s) h.end_attempt(*s, Outcome::reset);
  }
  EXPECT_TRUE(h.request_granted(99));
}

TEST(Servers, LateAnswersLowerTheInFlightLimitAndExcessIsRefusedEarly) {
  Host h;
  h.list_servers(2);
  std::vector<Send> out;
  const auto fill = [&](std::uint64_t base) {
    out.clear();
    for (std::uint64_t i = 0; i < 40; ++i)
      if (const auto s = h.request_granted(base + i)) out.push_back(*s);
    return out.size();
  };
  const auto before = fill(1000);
  EXPECT_LT(before, 40u);
  h.now += 700ms;
  h.deliver(TimerDue{TimerId{1}});
  EXPECT_TRUE(h.has<Refuse>());  // requests that waited for the allowed fraction of their aim
  for (std::uint64_t round = 2; round < 6; ++round) {
    for (const auto& s : std::vector(out)) h.end_attempt(s, Outcome::ok, true, 700ms);
    fill(1000 * round);
  }
  EXPECT_LT(out.size(), before);
}

TEST(Servers, LateAnswersInALargeFleetLowerTheLimitBelowOneRequest) {
  auto large_fleet = settings();
  large_fleet.fleet_size = 1000;
  Host h(large_fleet);
  h.list_servers(20);
  int sent = 0;
  for (int i = 0; i < 260; ++i) {
    h.now += 3s;
    const auto s = h.request_granted(static_cast<std::uint64_t>(100 + i));
    if (i >= 60) sent += s.has_value();
    if (s) h.end_attempt(*s, Outcome::ok, true, 700ms);  // of an aim of 800 ms
    h.now += 1s;
    h.deliver(TimerDue{TimerId{1}});
  }
  EXPECT_LT(sent, 100);  // of 200
  EXPECT_GT(sent, 0);
}

TEST(Servers, TightLimitAdmitsRequestsOfHighWorthFirst) {
  auto many = settings();
  many.fleet_size = 1000;
  many.classes[2].worth = 5;
  int low_worth = 0, high_worth = 0;
  for (std::uint64_t g = 0; g < 60; ++g) {
    Host h(many, g);
    h.list_servers(20);
    for (int i = 0; i < 12; ++i) {  // late answers lower the limit, though not to its minimum
      h.now += 3s;
      if (const auto s = h.request_granted(static_cast<std::uint64_t>(100 + i), 2))
        h.end_attempt(*s, Outcome::ok, true, 450ms);  // of an aim of 500 ms
      h.now += 1s;
      h.deliver(TimerDue{TimerId{1}});
    }
    h.now += 3s;
    const auto sent = h.request_granted(900, g % 2 == 0 ? 0 : 2);
    (g % 2 == 0 ? low_worth : high_worth) += sent.has_value();
  }
  EXPECT_GT(high_worth, low_worth + 5);
}

TEST(Servers, TimeoutsOfAllServersEjectNone) {
  Host h;
  h.list_servers(2);
  for (int i = 0; i < 20; ++i) {
    h.now += 20ms;
    if (const auto s = h.request_granted(static_cast<std::uint64_t>(10 + i), 2))
      h.end_attempt(*s, Outcome::timeout);
  }
  for (const auto& l : h.actions<Log>()) EXPECT_EQ(l.text.find("ejected"), std::string::npos);
  EXPECT_TRUE(h.request_granted(99));
}

TEST(Servers, OccasionalBrokenConnectionsLeaveAServerInUse) {
  Host h;
  h.list_servers(3);
  std::set<ServerId> used;
  for (int i = 0; i < 60; ++i) {
    h.now += 50ms;
    const auto s = h.request_granted(static_cast<std::uint64_t>(100 + i), 2);
    ASSERT_TRUE(s);
    if (i >= 30) used.insert(s->server);
    h.end_attempt(*s, i % 5 == 0 ? Outcome::reset : Outcome::ok, i % 5 != 0);
    EXPECT_FALSE(h.has<Probe>());
  }
  EXPECT_EQ(used.size(), 3u);
}

TEST(Servers, RejectingServerGetsLessAndTheOthersServe) {
  Host h;
  h.list_servers(3);
  int sent_to_full = 0, served = 0;
  for (int i = 0; i < 90; ++i) {
    h.now += 30ms;
    auto s = h.request_granted(static_cast<std::uint64_t>(100 + i), 2);
    std::uint32_t attempt = 0;
    while (s && s->server == ServerId{1}) {
      if (i >= 30) ++sent_to_full;
      h.end_attempt(*s, Outcome::full, false, 1ms, attempt++);
      const auto again = h.actions<Send>();
      s = again.empty() ? std::nullopt : std::optional(again[0]);
    }
    if (s) h.end_attempt(*s, Outcome::ok, true, 20ms, attempt), ++served;
  }
  EXPECT_LE(sent_to_full, 12);  // of 60
  EXPECT_GE(served, 80);
}

TEST(Events, UnknownAndStaleIdsAreIgnored) {
  Host h;
  h.list_servers(1);
  h.deliver(AttemptEnded{RequestId{99}, 0, ServerId{1}, Outcome::ok, 1ms, true, 0, std::nullopt});
  h.deliver(ClientGone{RequestId{99}});
  h.deliver(CountAnswer{CountName{1}, CountOutcome::ok, 1, 1ms});
  h.deliver(ProbeEnded{ServerId{77}, Outcome::ok, 1ms, std::nullopt});
  h.deliver(StreamStarted{RequestId{99}, 0});
  h.deliver(TimerDue{TimerId{12345}});
  EXPECT_FALSE(h.has<Send>() || h.has<Refuse>() || h.has<Fail>());
}

}  // namespace
}  // namespace snowknot::test
