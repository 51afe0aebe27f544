#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <set>

#include "host.hpp"

namespace snowknot::test {
namespace {

// ---- Settings ---------------------------------------------------------------------------------------

TEST(Settings, NonsenseThrowsAndNamesTheField) {
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

TEST(Leases, ARequestWaitsForItsQuantumAndFollowersSpendIt) {
  Host h;
  h.list_servers(2);
  const auto id = h.request();
  ASSERT_EQ(h.actions<AddToCount>().size(), 1u);
  EXPECT_FALSE(h.has<Send>());
  const auto call = h.actions<AddToCount>()[0];
  EXPECT_GT(call.amount, 1);
  EXPECT_LE(call.amount, 5);  // burst over twice the gateways
  h.answer_count(call, call.amount);
  ASSERT_EQ(h.actions<Send>().size(), 1u);
  EXPECT_EQ(h.actions<Send>()[0].request, id);
  h.request();
  EXPECT_TRUE(h.has<Send>());
  for (const auto& c : h.actions<AddToCount>()) EXPECT_NE(c.name, call.name);  // for windows to come
}

TEST(Leases, OneCallOutAndOthersJoin) {
  Host h;
  h.list_servers(2);
  h.request();
  const auto call = h.actions<AddToCount>().at(0);
  h.request();
  EXPECT_FALSE(h.has<AddToCount>());
  h.answer_count(call, call.amount);
  EXPECT_EQ(h.actions<Send>().size(), 2u);
}

// ---- Repeats that are dropped for a while only -------------------------------------------------------

// A connection may come up as late as its limit: a repeat that could be written behind the span is not sent.
TEST(Repeats, NoneIsSentThatMayComeWhenItsServersHaveForgotten) {
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

// ---- A cap on attempts out at once -------------------------------------------------------------------

Settings capped(std::uint32_t most) {
  auto s = settings();
  s.plans[0].max_open = most;
  return s;
}

// Two of four places are this gateway's: the customer comes through two.
TEST(Cap, ThoseThatWaitForOneLeaseDoNotPassItTogether) {
  Host h(capped(4));
  h.list_servers(2);
  h.request();
  const auto call = h.actions<AddToCount>().at(0);
  for (int i = 0; i < 3; ++i) h.request();
  h.answer_count(call, 4);
  auto sends = h.actions<Send>();
  ASSERT_EQ(sends.size(), 2u);
  h.now += 20ms;
  h.end_attempt(sends[0], Outcome::ok, true);  // the next one in line has its place
  ASSERT_EQ(h.actions<Send>().size(), 1u);
  EXPECT_EQ(h.actions<Send>()[0].request, RequestId(3));
  EXPECT_FALSE(h.has<Refuse>());
  h.deliver(ClientGone{sends[1].request});
  ASSERT_EQ(h.actions<Send>().size(), 1u);
  EXPECT_EQ(h.actions<Send>()[0].request, RequestId(4));
}

TEST(Cap, OneThatGetsNoPlaceInTimeIsRefusedWithATimeToComeBack) {
  Host h(capped(2));
  h.list_servers(2);
  ASSERT_TRUE(h.request_granted());
  const auto id = h.request();
  EXPECT_FALSE(h.has<Send>() || h.has<Refuse>());
  h.now += 300ms;  // past the part of its aim that it may wait
  h.deliver(TimerDue{});
  ASSERT_EQ(h.actions<Refuse>().size(), 1u);
  EXPECT_EQ(h.actions<Refuse>()[0].request, id);
  EXPECT_GT(h.actions<Refuse>()[0].retry_after, 0ns);
}

// Nobody waits for a place that can't come free in time: it is given up, so it is answered at once.
TEST(Cap, MoreThanCanBeServedInTimeAreRefusedAtOnce) {
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

TEST(Cap, HoldsForAPlanWithoutARateToo) {
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

TEST(Leases, ExcessIsHandedBackAndThePartKept) {
  Host h;
  h.list_servers(2);
  h.request(1, 0, 1, 1);
  const auto call = h.actions<AddToCount>().at(0);
  h.answer_count(call, 16 + call.amount - 1);  // one unit of the most under this ceiling was left
  EXPECT_TRUE(h.has<Send>());
  ASSERT_TRUE(h.has<AddToCount>());
  EXPECT_DOUBLE_EQ(h.actions<AddToCount>()[0].amount, -(call.amount - 1));
  h.request(1, 0, 1, 1);  // known empty: at once, without a call, told when units can be had
  EXPECT_FALSE(h.has<AddToCount>());
  ASSERT_TRUE(h.has<Refuse>());
  EXPECT_GT(h.actions<Refuse>()[0].retry_after, 0ns);
  EXPECT_LE(h.actions<Refuse>()[0].retry_after, 2s);  // a window is burst over rate
  h.now += h.actions<Refuse>()[0].retry_after;
  h.request(1, 0, 1, 1);
  EXPECT_TRUE(h.has<AddToCount>());
}

// A store that was full at a window's start grants what flows in as well: how much depends on the time in it.
TEST(Leases, FullStoreGrantsWhatFlowsInToo) {
  int sent = 0, refused = 0;
  for (int i = 0; i < 20; ++i) {
    Host h;
    h.now += i * 100ms;  // over the whole of a window
    h.list_servers(2);
    h.request();
    const auto call = h.actions<AddToCount>().at(0);
    h.answer_count(call, 34);  // the store holds 20 and gets 20 in a window
    sent += h.has<Send>(), refused += h.has<Refuse>();
  }
  EXPECT_GE(sent, 5);
  EXPECT_GE(refused, 8);
  EXPECT_EQ(sent + refused, 20);
}
// One that was spent in the window before grants only what has flowed in since.
TEST(Leases, SpentStoreFillsEvenlyInTheNextWindow) {
  Host h;
  h.list_servers(2);
  h.request();
  const auto first = h.actions<AddToCount>().at(0);
  h.answer_count(first, 40 + first.amount);
  ASSERT_TRUE(h.has<Refuse>());
  h.now += h.actions<Refuse>()[0].retry_after;  // no more in this window
  h.request();
  const auto next = h.actions<AddToCount>().back();  // before it, some is leased ahead
  h.answer_count(next, 10 + next.amount);            // well inside the limit, but the window has only begun
  ASSERT_TRUE(h.has<Refuse>());
  EXPECT_GE(h.actions<Refuse>()[0].retry_after, 1100ms);  // 11 of 20 units in a window of 2 s
  EXPECT_LE(h.actions<Refuse>()[0].retry_after, 1110ms);
  // What was wholly refused is owed: it is taken off at the next call, without one of its own.
  h.now += h.actions<Refuse>()[0].retry_after;
  h.request();
  ASSERT_TRUE(h.has<AddToCount>());
  EXPECT_EQ(h.actions<AddToCount>().back().amount, 0);
  h.answer_count(h.actions<AddToCount>().back(), 10 + next.amount);
  EXPECT_TRUE(h.has<Send>());
}

// Asks, and answers all calls as a counter that keeps count; returns what was sent on.
struct Counted : Host {
  using Host::Host;
  std::map<CountName, double> counts;
  std::size_t calls = 0;  // that the last request made, but for reserves
  Duration opens{};       // what the last refusal said

  std::size_t request_counted(double units = 1) {
    now += 10ms;  // calls are few and far between
    request(1, 0, units);
    std::size_t sent = 0;
    calls = 0;
    std::deque<AddToCount> out;
    const auto take = [&] {
      sent += actions<Send>().size();
      for (const auto& r : actions<Refuse>()) opens = r.retry_after;
      for (const auto& c : actions<AddToCount>()) out.push_back(c);
    };
    for (take(); !out.empty(); take()) {
      const auto call = out.front();
      out.pop_front();
      calls += call.lifetime < 2500ms;  // the present window's, of 2 s
      answer_count(call, counts[call.name] += call.amount);
    }
    return sent;
  }
};

// One that was full and unused for most of a window holds its limit then, not that and all that flowed in: a burst
// late in the window is granted no more than one early in it.
TEST(Leases, AFullStoreThatWasNotUsedGrantsItsLimitAtOnceAndNoMore) {
  for (const auto late : {0ms, 500ms, 1000ms, 1500ms, 1900ms}) {
    Counted h;
    h.now += late;
    h.list_servers(10);
    std::size_t sent = 0;
    for (int i = 0; i < 60; ++i) sent += h.request_counted();
    EXPECT_GE(sent, 24u) << late.count();
    EXPECT_LE(sent, 26u) << late.count();  // and what flows in meanwhile
  }
}

// A request that is refused for its size leaves those alone that would fit.
TEST(Leases, ALargeRequestThatIsRefusedDoesNotShutOutSmallerOnes) {
  auto s = settings();
  s.max_units = 4;
  Counted h(s);
  h.list_servers(10);
  for (int i = 0; i < 5; ++i) EXPECT_EQ(h.request_counted(4), 1u);
  EXPECT_EQ(h.request_counted(4), 0u);
  EXPECT_GT(h.opens, 300ms);  // 4 units at 10 a second, of which some have flowed in
  EXPECT_LE(h.opens, 400ms);
  h.now += 250ms;
  EXPECT_EQ(h.request_counted(4), 0u);
  EXPECT_EQ(h.calls, 0u);  // nor is it asked for again
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

TEST(Leases, WhatATotalLacksOfATimedOutAddIsAddedAgain) {
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
    h.request(1, 0, 8);  // more than is held
    const auto third = h.actions<AddToCount>();
    ASSERT_FALSE(third.empty());
    h.answer_count(third.back(), total + third.back().amount);
    EXPECT_TRUE(h.has<Send>());
    EXPECT_GE(total + third.back().amount, 1 + 8);  // what was spent
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

// Under a ceiling too: what is known to be in the count is not leased a second time, and the counter is well.
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
TEST(Leases, CounterDownRefusesEarlyAndIsTriedAgain) {
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

TEST(Leases, WordOfLostCountsClosesCeilingWindowsBegunBefore) {
  Host h;
  h.list_servers(2);
  h.request(1, 0, 1, 1);
  const auto call = h.actions<AddToCount>().at(0);
  h.deliver(CountsLost{h.now});
  h.answer_count(call, call.amount);  // it may be of a count that began anew
  EXPECT_FALSE(h.has<Send>());
  ASSERT_TRUE(h.has<Refuse>());
  const auto wait = h.actions<Refuse>()[0].retry_after;
  h.request(1, 0, 1, 1);
  EXPECT_FALSE(h.has<AddToCount>());
  EXPECT_TRUE(h.has<Refuse>());
  h.request(2);  // no ceiling: it goes on
  EXPECT_TRUE(h.has<AddToCount>());
  h.now += wait;
  h.request(1, 0, 1, 1);
  ASSERT_TRUE(h.has<AddToCount>());                  // the next window
  const auto next = h.actions<AddToCount>().back();  // before it, some is leased ahead
  h.deliver(CountsLost{h.now - wait});               // told late, of what is known
  h.answer_count(next, next.amount);
  EXPECT_TRUE(h.has<Send>());
}
TEST(Leases, WordOfALossLongAgoClosesNothing) {
  Host h;
  h.now += 5h;
  h.list_servers(2);
  h.deliver(CountsLost{h.now - 2h});
  h.request(1, 0, 1, 1);
  ASSERT_TRUE(h.has<AddToCount>());
}
TEST(Leases, ACounterThatLostItsCountsClosesACeilingWindow) {
  Host h;
  h.list_servers(2);
  h.request(1, 0, 8, 1);
  h.answer_count(h.actions<AddToCount>().at(0), 8);
  ASSERT_TRUE(h.has<Send>());
  h.request(1, 0, 4, 1);
  h.answer_count(h.actions<AddToCount>().at(0), 4);  // less than this gateway itself added
  EXPECT_FALSE(h.has<Send>());
  EXPECT_TRUE(h.has<Refuse>());
}

TEST(Leases, CustomersSeenOnceAreDropped) {
  Host h;
  h.list_servers(2);
  for (std::uint64_t c = 1; c <= 500; ++c) h.request_granted(c);
  EXPECT_GE(h.gateway.sizes().customers, 500u);
  for (int i = 0; i < 100; ++i) {  // their use is remembered for some 20 s
    h.now += 300ms;
    h.deliver(TimerDue{TimerId{1}});
  }
  EXPECT_EQ(h.gateway.sizes().customers, 0u);
}

TEST(Leases, AnswerForADroppedWindowIsPassedOver) {
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

TEST(Leases, ASteadyCustomerIsCarriedOverACounterThatIsDown) {
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

TEST(Leases, NothingIsLeasedAheadForACustomerSeenOnce) {
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
  h.answer_count(h.actions<AddToCount>().at(0), 7);  // this one comes elsewhere too
  h.now += 100ms;
  h.request(6);
  EXPECT_TRUE(h.has<AddToCount>());
}

// A counter that keeps its counts until they are taken away, and one customer under a ceiling.
struct Reserve {
  Host h;
  std::map<CountName, double> counts;
  bool up = true;
  int sent = 0;

  Reserve() { h.list_servers(4); }
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
  // How many of so many requests were sent, one every 100 ms.
  int sent_of(int requests) {
    sent = 0;
    for (int i = 0; i < requests; ++i) h.now += 100ms, request();
    return sent;
  }
};

TEST(Leases, UnderACeilingAReserveIsSpentOnlyWhileTheCounterIsDown) {
  Reserve r;
  EXPECT_GE(r.sent_of(20), 18);
  for (const auto& [name, total] : r.counts) EXPECT_LE(total, 32 / 2);  // half of the ceiling's burst
  r.up = false;
  EXPECT_GE(r.sent_of(60), 16);  // with units of the present window alone it would be 4 at most
}

// A loss that is noticed again, with each count that went with it, shuts nothing begun since.
TEST(Leases, ALossThatIsKnownShutsNoWindowThatBeganAfterIt) {
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
  grant(1, 4, 1);  // its total lacks what the first one added
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

// A fleet that shares one small counter, which takes calls in turn and gives each up after its time-out.
struct Fleet {
  std::vector<Host> hosts;
  std::map<CountName, double> counts;
  struct Out {
    std::size_t host;
    AddToCount call;
    Time made;
  };
  std::deque<Out> line;
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
      if (const auto* c = std::get_if<AddToCount>(&a)) line.push_back({i, *c, now});
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
  void step(double calls) {  // one millisecond, in which the counter takes so many calls
    now += 1ms;
    for (credit += calls; credit >= 1 && !line.empty(); credit -= 1) {
      const auto o = line.front();
      line.pop_front();
      const double total = counts[o.call.name] += o.call.amount;
      const bool in_time = now - o.made < 50ms;
      ++(in_time ? answered : late);
      auto& h = hosts[o.host];
      h.now = now;
      h.deliver(CountAnswer{o.call.name, in_time ? CountOutcome::ok : CountOutcome::timeout, total,
                            std::min<Duration>(now - o.made, 50ms)});
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

TEST(Leases, AFleetThatOutgrewItsCounterKeepsCallsAnswered) {
  Fleet f(200);
  std::mt19937_64 rng(7);
  for (int ms = 0; ms < 12000; ++ms) {
    if (ms == 6000) f.answered = f.late = 0;   // settled by then
    f.request(rng() % 200, 1 + rng() % 2000);  // 1000 requests a second, mostly a call each; it takes 400
    f.step(0.4);
  }
  EXPECT_GT(f.answered, 1200);    // half of what it can take
  EXPECT_LT(f.late, f.answered);  // a bound of one call out a gateway leaves hardly any answered in time
}

TEST(Leases, WhileCallsAreShortOneRequestOfACalmCustomerPassesOnCreditAndIsOwed) {
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
  EXPECT_FALSE(h.has<Send>());  // once for a customer and window
  h.now += 1900ms;              // a window lasts 2 s; this customer's may have rolled
  h.deliver(Arrival{RequestId{51}, ClassIndex{0}, PlanIndex{0}, CustomerId{10}, 1s, 1, 200, false});
  EXPECT_FALSE(h.has<Send>());  // comes more often than to a gateway with an even part
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

TEST(Streams, OnlyWhatAServerWorksOnCountsAsItsLoad) {
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
  const auto most = sent.size();  // the next ones wait for a place
  ASSERT_GE(most, 2U);
  std::size_t more = 0;
  for (int twice = 0; twice < 2; ++twice)  // told twice it counts once
    for (std::size_t i = 0; i < most; ++i) {
      h.deliver(AttemptWaits{sent[i].request, 0, true});
      more += h.actions<Send>().size();
    }
  EXPECT_GE(more, 1U) << "who waited for a place has one";
  for (std::size_t i = 0; i < most; ++i) h.deliver(AttemptWaits{sent[i].request, 0, false});
  const auto before = sent.size();
  request(++c);
  EXPECT_EQ(sent.size(), before) << "with all of them worked on there is none";
}

TEST(Streams, WhatCannotBeSentAgainIsNot) {
  for (const bool last : {false, true}) {
    Host h;
    h.list_servers(4);
    const auto s = h.request_granted(1, 2);
    ASSERT_TRUE(s);
    AttemptEnded e{s->request, 0, s->server, Outcome::connect_failed, 1ms, false, 0, std::nullopt};
    e.last = last;
    h.deliver(e);
    EXPECT_EQ(h.has<Send>(), !last);
    EXPECT_EQ(h.has<Refuse>(), last) << "it never ran: trying again does no harm";
  }
}

TEST(Leases, WhatACallIsWorthDecidesWhoGetsTheNextOne) {
  auto s = settings();
  s.classes[2].worth = 5;
  s.fleet_size = 400;
  Host h(s);
  h.list_servers(8);
  for (std::uint64_t c = 100; c < 104; ++c) {
    h.request(c, 0, 1, 1);
    EXPECT_FALSE(h.has<AddToCount>());  // the first call is left to what is worth more
  }
  h.request(200, 2, 1, 1);
  EXPECT_TRUE(h.has<AddToCount>());
}

TEST(Leases, NothingIsLeasedAheadWhereOneRequestIsMoreThanAnEvenPart) {
  auto s = settings();
  s.plans[0].burst = 3;
  s.max_units = 4;
  Host h(s);
  h.list_servers(4);
  for (int i = 0; i < 60; ++i) {
    h.now += 100ms;
    h.request(1, 0, 2);  // of 3, at two gateways
    EXPECT_LE(h.actions<AddToCount>().size(), 1u);
    for (const auto& c : h.actions<AddToCount>()) h.answer_count(c, c.amount);
    for (const auto& send : h.actions<Send>()) h.end_attempt(send, Outcome::ok, true);
  }
}

TEST(Leases, WaitingForTheCounterEndsEarlyEnoughToTryAgain) {
  Host h;
  h.list_servers(2);
  h.request();
  h.now += 300ms;  // of an aim of 800 ms
  h.deliver(TimerDue{TimerId{1}});
  EXPECT_TRUE(h.has<Refuse>());
}

// ---- Final answers and rule 2 -----------------------------------------------------------------------

TEST(Answers, NoServersMeansAPromptRefusalWithAdvice) {
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

TEST(Answers, ATimerThatComesAHairEarlyIsSetAgain) {
  Host h;
  h.list_servers(2);
  auto timers = h.actions<SetTimer>();
  h.request();
  if (h.has<SetTimer>()) timers = h.actions<SetTimer>();
  for (int i = 0; i < 2000 && !h.has<Refuse>(); ++i) {
    ASSERT_FALSE(timers.empty()) << "nothing would wake the gateway again";
    h.now += std::max(timers[0].delay - 1ns, 1ns);
    h.deliver(TimerDue{timers[0].timer});
    timers = h.actions<SetTimer>();
  }
  EXPECT_TRUE(h.has<Refuse>());
}

TEST(Answers, UnsafeThatMayHaveRunFails) {
  Host h;
  h.list_servers(4);
  const auto s = h.request_granted(1, 2);
  ASSERT_TRUE(s);
  h.end_attempt(*s, Outcome::reset);
  EXPECT_FALSE(h.has<Send>());
  EXPECT_FALSE(h.has<Refuse>());
  EXPECT_TRUE(h.has<Fail>());
}

TEST(Answers, NothingMoreForAFinishedRequest) {
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

TEST(Servers, DrainedOrGoneGetNothingNew) {
  Host h;
  h.list_servers(2);
  h.deliver(
      ListUpdate{ListKind::changes,
                 {{.id = ServerId{1}, .phase = Phase::draining}, {.id = ServerId{2}, .phase = Phase::gone}}});
  EXPECT_FALSE(h.request_granted());
  EXPECT_TRUE(h.has<Refuse>());
}

TEST(Servers, AColdServerGetsALittle) {
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
  EXPECT_LE(cold, 6);  // of 60, where a warm one gets 15 or more
}

TEST(Servers, AFleetOfHundredsSendsAColdServerItsShareFromTheStart) {
  auto s = settings();
  s.fleet_size = 300;
  int cold = 0, all = 0;
  for (std::uint64_t g = 0; g < 300; ++g) {  // each sends some requests while the server warms up
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
  EXPECT_GE(cold, all / 200);  // a tenth would be even; its share is a fifth of that and grows
  EXPECT_LE(cold, all / 20);
}

TEST(Servers, WhenAllAreColdTheyShareWhatComesIn) {
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

TEST(Servers, ClientsWithLittleTimeLeftAreNoSignOfLoad) {
  const auto room_after = [](int impatient) {
    Host h;
    h.list_servers(2);
    for (int i = 0; i < impatient; ++i) {
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
  EXPECT_GE(room_after(30), room_after(0) - 1);
}

TEST(Servers, OneThatCannotBeReachedIsLeftOutAndProbed) {
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

TEST(Servers, WhenAllLookBadTheyAreStillUsed) {
  Host h;
  h.list_servers(2);
  for (int i = 0; i < 8; ++i) {
    h.now += 20ms;
    const auto s = h.request_granted(static_cast<std::uint64_t>(10 + i), 2);
    if (s) h.end_attempt(*s, Outcome::reset);
  }
  EXPECT_TRUE(h.request_granted(99));
}

TEST(Servers, LateAnswersShrinkWhatIsKeptAtTheServersAndTheRestIsRefusedEarly) {
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
  EXPECT_TRUE(h.has<Refuse>());  // those that waited a part of their aim
  for (std::uint64_t round = 2; round < 6; ++round) {
    for (const auto& s : std::vector(out)) h.end_attempt(s, Outcome::ok, true, 700ms);
    fill(1000 * round);
  }
  EXPECT_LT(out.size(), before);
}

TEST(Servers, OfHundredsOfGatewaysEachKeepsLessThanOneRequestAtServersThatAreLate) {
  auto settings_of_many = settings();
  settings_of_many.fleet_size = 1000;
  Host h(settings_of_many);
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
  EXPECT_LT(sent, 100);  // of 200: a share of them
  EXPECT_GT(sent, 0);
}

TEST(Servers, WhenTheBoundIsTightWhatIsWorthMostHasAPlaceFirst) {
  auto many = settings();
  many.fleet_size = 1000;
  many.classes[2].worth = 5;
  int cheap = 0, dear = 0;
  for (std::uint64_t g = 0; g < 60; ++g) {
    Host h(many, g);
    h.list_servers(20);
    for (int i = 0; i < 12; ++i) {  // late answers tighten the bound, though not to the least
      h.now += 3s;
      if (const auto s = h.request_granted(static_cast<std::uint64_t>(100 + i), 2))
        h.end_attempt(*s, Outcome::ok, true, 450ms);  // of an aim of 500 ms
      h.now += 1s;
      h.deliver(TimerDue{TimerId{1}});
    }
    h.now += 3s;
    const auto sent = h.request_granted(900, g % 2 == 0 ? 0 : 2);
    (g % 2 == 0 ? cheap : dear) += sent.has_value();
  }
  EXPECT_GT(dear, cheap + 5);
}

TEST(Servers, TimeoutsOfAllServersAreLoadNotIllness) {
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

TEST(Servers, ABrokenConnectionNowAndThenLeavesAServerInUse) {
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

TEST(Servers, OneThatTurnsWorkAwayGetsLessAndTheOthersGoOn) {
  Host h;
  h.list_servers(3);
  int to_full = 0, served = 0;
  for (int i = 0; i < 90; ++i) {
    h.now += 30ms;
    auto s = h.request_granted(static_cast<std::uint64_t>(100 + i), 2);
    std::uint32_t attempt = 0;
    while (s && s->server == ServerId{1}) {
      if (i >= 30) ++to_full;
      h.end_attempt(*s, Outcome::full, false, 1ms, attempt++);
      const auto again = h.actions<Send>();
      s = again.empty() ? std::nullopt : std::optional(again[0]);
    }
    if (s) h.end_attempt(*s, Outcome::ok, true, 20ms, attempt), ++served;
  }
  EXPECT_LE(to_full, 12);  // of 60
  EXPECT_GE(served, 80);
}

TEST(Events, UnknownAndStaleIdsDoNothing) {
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
