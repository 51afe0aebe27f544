// The counter's client over loopback sockets.
#include "counter.hpp"

#include "facts.hpp"
#include "peers.hpp"

namespace snowknot::test {
namespace {

struct CounterTest : ::testing::Test {
  void start(const Tcp::endpoint& at, Duration timeout = 50ms) {
    counter.emplace(loop.io, timers, at, timeout, [this](const CountAnswer& a) { told.push_back(a); });
    ASSERT_TRUE(loop.until([&] { return counter->tried(); }));
  }
  void call(std::uint64_t name, double amount = 2) { counter->add(CountName(name), amount, 4s); }
  bool wait_for(std::size_t n) {
    return loop.until([&] { return told.size() >= n; });
  }

  Loop loop;
  Clock clock;
  Timers timers{loop.io, clock};
  std::vector<CountAnswer> told;
  std::optional<Counter> counter;
};

// Answers each line by a script.
std::function<void(Wire&)> lines(std::function<std::string(const std::string&)> script) {
  return [script](Wire& w) {
    for (auto l = w.line(); !l.empty(); l = w.line()) w.send(script(l));
  };
}

TEST_F(CounterTest, CallIsOneLineAndOkGivesTheTotal) {
  std::string asked;
  Peer server(loop.io, lines([&](const std::string& l) { return asked = l, "ok 7.5\r\n"; }));
  start(server.at());
  counter->add(CountName(40), -2.5, 4s);
  ASSERT_TRUE(wait_for(1));
  EXPECT_EQ(asked, "incr 40 -2.5 4000");
  EXPECT_EQ(told[0].outcome, CountOutcome::ok);
  EXPECT_EQ(told[0].total, 7.5);
}
TEST_F(CounterTest, BusyAndErrorAddedNothing) {
  Peer server(loop.io, lines([](const std::string& l) {
                return l.starts_with("incr 4 ") ? std::string("busy\r\n") : std::string("error\r\n");
              }));
  start(server.at());
  call(4), call(8);
  ASSERT_TRUE(wait_for(2));
  EXPECT_EQ(told[0].outcome, CountOutcome::refused);
  EXPECT_EQ(told[1].outcome, CountOutcome::refused);
}
TEST_F(CounterTest, NothingListensIsRefused) {
  Tcp::endpoint at;
  {
    Peer gone(loop.io);
    at = gone.at();
  }
  start(at);
  call(4);
  ASSERT_TRUE(wait_for(1));
  EXPECT_EQ(told[0].outcome, CountOutcome::refused);
}
// Answers come in the order of the calls: the late answer of a call that was given up is not the next one's.
TEST_F(CounterTest, LateAnswerIsConsumed) {
  std::shared_ptr<Wire> w;
  Peer server(loop.io, [&](Wire& x) { w = x.shared_from_this(); });
  start(server.at(), 2s);
  call(4);
  ASSERT_TRUE(wait_for(1));
  EXPECT_EQ(told[0].outcome, CountOutcome::timeout);
  call(4);
  ASSERT_TRUE(loop.until([&] { return w && w->in.find("\r\nincr 4") != std::string::npos; }));
  w->send("ok 2\r\nok 4\r\n");
  ASSERT_TRUE(wait_for(2));
  EXPECT_EQ(told.size(), 2u);
  EXPECT_EQ(told[1].outcome, CountOutcome::ok);
  EXPECT_EQ(told[1].total, 4);
}
// Written and then broken: it may have been added.
TEST_F(CounterTest, ResetAfterTheCallIsNotKnown) {
  Peer server(loop.io, [](Wire& w) {
    if (!w.line().empty()) w.reset();
  });
  start(server.at(), 5s);
  call(4);
  ASSERT_TRUE(wait_for(1));
  EXPECT_EQ(told[0].outcome, CountOutcome::timeout);
}
TEST_F(CounterTest, ReconnectsAndGoesOn) {
  int lives = 0;
  Peer server(loop.io, [&](Wire& w) {
    if (w.line().empty()) return;
    if (++lives == 1) return w.reset();
    w.send("ok 2\r\n");
  });
  start(server.at(), 5s);
  ASSERT_TRUE(loop.until([&] { return server.wires.size() == facts::kCounterLinks; }));
  call(4);
  ASSERT_TRUE(wait_for(1));
  ASSERT_TRUE(loop.until([&] { return server.wires.size() > facts::kCounterLinks; }));
  ASSERT_TRUE(loop.until([&] {
    told.clear();
    call(4);
    return loop.until([&] { return !told.empty(); }) && told[0].outcome == CountOutcome::ok;
  }));
}
// A machine that vanished keeps its connections open and silent: after some time-outs a new one is tried.
TEST_F(CounterTest, SilentConnectionIsReplaced) {
  Peer server(loop.io);
  start(server.at(), 20ms);
  ASSERT_TRUE(loop.until([&] { return server.wires.size() == facts::kCounterLinks; }));
  call(4);
  EXPECT_TRUE(loop.until([&] { return server.wires.size() > facts::kCounterLinks; }));
  ASSERT_EQ(told.size(), 1u);
  EXPECT_EQ(told[0].outcome, CountOutcome::timeout);
}
TEST_F(CounterTest, NonsenseEndsTheConnection) {
  Peer server(loop.io, lines([](const std::string&) { return std::string("ok seven\r\n"); }));
  start(server.at(), 5s);
  call(4);
  ASSERT_TRUE(wait_for(1));
  EXPECT_EQ(told[0].outcome, CountOutcome::added);
  EXPECT_TRUE(
      loop.until([&] { return std::ranges::any_of(server.wires, [](const auto& w) { return w->ended; }); }));
}
TEST_F(CounterTest, EndlessLineEndsTheConnection) {
  Peer server(loop.io, [](Wire& w) { w.in.clear(), w.send(std::string(10000, '7')); });
  start(server.at(), 5s);
  call(4);
  ASSERT_TRUE(wait_for(1));
  EXPECT_EQ(told[0].outcome, CountOutcome::timeout);
}
TEST_F(CounterTest, OneNameKeepsToOneConnectionInOrder) {
  std::vector<std::string> asked;
  Peer server(loop.io, lines([&](const std::string& l) {
                asked.push_back(l);
                return "ok " + std::to_string(asked.size()) + "\r\n";
              }));
  start(server.at());
  for (int i = 1; i <= 20; ++i) call(4, i);
  ASSERT_TRUE(wait_for(20));
  for (std::size_t i = 0; i < 20; ++i) {
    EXPECT_EQ(asked[i], "incr 4 " + std::to_string(i + 1) + " 4000");
    EXPECT_EQ(told[i].total, static_cast<double>(i + 1));
  }
}
// ---- The counter moves -------------------------------------------------------------------------------------

struct CounterMoves : CounterTest {
  std::vector<std::shared_ptr<Wire>> asked;  // connections of the old one with a call that is not answered
  std::size_t new_calls = 0;
  Peer old{loop.io, [this](Wire& w) {
             if (!w.line().empty()) asked.push_back(w.shared_from_this());
           }};
  Peer next{loop.io, lines([this](const std::string&) { return ++new_calls, std::string("ok 9\r\n"); })};
};
// What was written to the old address is settled there, once; what comes later goes to the new one.
TEST_F(CounterMoves, CallsInFlightAreSettledOnce) {
  start(old.at(), 10s);
  call(4);
  ASSERT_TRUE(loop.until([&] { return !asked.empty(); }));
  counter->move_to(next.at());
  ASSERT_TRUE(loop.until([&] { return next.wires.size() == facts::kCounterLinks; }));
  ASSERT_TRUE(loop.until([&] {
    told.clear();
    call(8);
    return loop.until([&] { return !told.empty(); }) && told[0].total == 9;
  }));
  told.clear();
  asked[0]->send("ok 5\r\n");
  ASSERT_TRUE(wait_for(1));
  EXPECT_EQ(told[0].name, CountName(4));
  EXPECT_EQ(told[0].total, 5);
  EXPECT_TRUE(loop.until([&] { return asked[0]->ended; }));  // of no more use
  EXPECT_EQ(told.size(), 1u);
}
TEST_F(CounterMoves, OldAddressServesUntilTheNewOneIsUp) {
  Peer silent(loop.io, {}, false);
  std::vector<std::shared_ptr<Wire>> fill;
  for (int i = 0; i < 3; ++i) {
    fill.push_back(std::make_shared<Wire>(Socket(loop.io.get_executor())));
    fill.back()->socket.async_connect(silent.at(), [](const error_code&) {});
  }
  start(old.at(), 10s);
  counter->move_to(silent.at());
  call(4);
  ASSERT_TRUE(loop.until([&] { return !asked.empty(); }));
  asked[0]->send("ok 5\r\n");
  ASSERT_TRUE(wait_for(1));
  EXPECT_EQ(told[0].outcome, CountOutcome::ok);
  counter->move_to(next.at());  // and the one that never came up is forgotten
  for (const auto& w : old.wires) w->reset();
  ASSERT_TRUE(loop.until([&] {
    told.clear();
    call(4);
    return loop.until([&] { return !told.empty(); }) && told[0].total == 9;
  }));
}
TEST_F(CounterMoves, OldConnectionThatEndsSettlesItsCallsAsNotKnown) {
  start(old.at(), 10s);
  call(4);
  ASSERT_TRUE(loop.until([&] { return !asked.empty(); }));
  counter->move_to(next.at());
  ASSERT_TRUE(loop.until([&] { return next.wires.size() == facts::kCounterLinks; }));
  asked[0]->close();
  ASSERT_TRUE(wait_for(1));
  EXPECT_EQ(told[0].outcome, CountOutcome::timeout);
  EXPECT_EQ(new_calls, 0u);  // it is not made again
}

// ---- Spoilt answers ----------------------------------------------------------------------------------------

// The counter answers what it has done: a line without a number means added. What waits behind it is not known.
TEST_F(CounterTest, SpoiltAnswerWasAddedAndEndsTheConnection) {
  for (const std::string spoilt :
       {"ok", "ok ", "ok inf", "ok -nan", "ok 1e300", "ok 0x10", "ok 7 8", "\x01\x02"}) {
    std::shared_ptr<Wire> w;
    Peer server(loop.io, [&](Wire& x) { w = x.shared_from_this(); });
    told.clear();
    start(server.at(), 10s);
    call(4), call(4, 3);
    ASSERT_TRUE(loop.until([&] { return w && std::ranges::count(w->in, '\n') == 2; }));
    w->send(spoilt + "\r\nok 5\r\n");
    ASSERT_TRUE(wait_for(2));
    EXPECT_EQ(told[0].outcome, CountOutcome::added) << spoilt;
    EXPECT_EQ(told[1].outcome, CountOutcome::timeout) << spoilt;
    EXPECT_TRUE(loop.until([&] { return w->ended; })) << spoilt;
    counter.reset();
  }
}
// A connection that has answered and breaks is replaced at once: no call is refused for that.
TEST_F(CounterTest, CallsWaitForTheConnectionThatReplacesABrokenOne) {
  Peer server(loop.io, lines([](const std::string& l) {
                return l.starts_with("incr 8 ") ? std::string("ok ?\r\n") : std::string("ok 2\r\n");
              }));
  start(server.at(), 10s);
  call(16);
  ASSERT_TRUE(wait_for(1));
  call(8);
  ASSERT_TRUE(wait_for(2));
  EXPECT_EQ(told[1].outcome, CountOutcome::added);
  call(16);
  ASSERT_TRUE(wait_for(3));
  EXPECT_EQ(told[2].outcome, CountOutcome::ok);
}
// The counter may have been emptied before something was handed back: a total below 0 is a total.
TEST_F(CounterTest, TotalBelowNothingIsATotal) {
  Peer server(loop.io, lines([](const std::string&) { return std::string("ok -2.5\r\n"); }));
  start(server.at());
  call(4);
  ASSERT_TRUE(wait_for(1));
  EXPECT_EQ(told[0].outcome, CountOutcome::ok);
  EXPECT_EQ(told[0].total, -2.5);
}

// The counter closes a connection that idles for about 10 s.
TEST_F(CounterTest, PingKeepsAnIdleConnection) {
  std::size_t pings = 0;
  Peer server(loop.io, lines([&](const std::string& l) {
                pings += l == "ping";
                return l == "ping" ? std::string("pong\r\n") : std::string("ok 1\r\n");
              }));
  start(server.at());
  ASSERT_TRUE(loop.until([&] { return pings >= facts::kCounterLinks; }));
  call(4);
  ASSERT_TRUE(wait_for(1));
  EXPECT_EQ(told[0].outcome, CountOutcome::ok);
  EXPECT_EQ(server.wires.size(), facts::kCounterLinks);
}

}  // namespace
}  // namespace snowknot::test
