// Redis as the store: the protocol, the calls, a session without sockets, the store against the stand-in.
#include <cmath>
#include <random>

#include "database.hpp"
#include "counter.hpp"
#include "discovery.hpp"
#include "peers.hpp"
#include "platform.hpp"
#include "redis/redis_store.hpp"
#include "redis/sections.hpp"
#include "redis_fleet.hpp"
#include "store/moving_store.hpp"

namespace docklift::redis {
namespace {

using namespace std::chrono_literals;
using namespace snowknot::test;
using snowknot::CountAnswer;
using snowknot::CountName;
using snowknot::CountOutcome;
using snowknot::Time;

// ---- The protocol -----------------------------------------------------------------------------------------

std::vector<Reply> all_of(RespReader& r) {
  std::vector<Reply> all;
  while (auto reply = r.next()) all.push_back(std::move(*reply));
  return all;
}
bool same(const Reply& a, const Reply& b) {
  return a.kind == b.kind && a.text == b.text && a.integer == b.integer &&
         std::ranges::equal(a.items, b.items, same);
}

const std::string kEveryType =
    "+OK\r\n-ERR no\r\n:-7\r\n$3\r\na\r\n\r\n$0\r\n\r\n$-1\r\n*-1\r\n_\r\n#t\r\n,1.5\r\n(123456789012345678901\r\n"
    "=7\r\ntxt:abc\r\n%2\r\n+a\r\n:1\r\n+b\r\n*2\r\n$1\r\nx\r\n:2\r\n~1\r\n:3\r\n>2\r\n+message\r\n+hi\r\n|1\r\n+ttl\r\n:5\r\n:9\r\n"
    "*0\r\n";

TEST(Resp, EveryType) {
  RespReader r;
  r.feed(kEveryType);
  const auto all = all_of(r);
  ASSERT_EQ(all.size(), 17U) << r.why();
  EXPECT_EQ(all[1].text, "ERR no");
  EXPECT_EQ(all[2].integer, -7);
  EXPECT_EQ(all[3].text, "a\r\n");
  EXPECT_EQ(all[5].kind, Reply::Kind::null);
  EXPECT_EQ(all[11].text, "abc");
  EXPECT_EQ(all[12].items.size(), 4U);
  EXPECT_EQ(all[14].kind, Reply::Kind::push);
  EXPECT_EQ(all[15].integer, 9);  // the attribute before it is passed over
  EXPECT_EQ(r.buffered(), 0U);
}
TEST(Resp, SplitAtEveryByteAndInEveryPair) {
  RespReader whole;
  whole.feed(kEveryType);
  const auto wanted = all_of(whole);
  for (std::size_t cut = 0; cut <= kEveryType.size(); ++cut) {
    RespReader r;
    r.feed(kEveryType.substr(0, cut));
    auto got = all_of(r);
    r.feed(kEveryType.substr(cut));
    std::ranges::move(all_of(r), std::back_inserter(got));
    ASSERT_TRUE(std::ranges::equal(got, wanted, same)) << cut;
  }
  RespReader one;
  std::vector<Reply> got;
  for (const char c : kEveryType) {
    one.feed({&c, 1});
    std::ranges::move(all_of(one), std::back_inserter(got));
  }
  EXPECT_TRUE(std::ranges::equal(got, wanted, same));
}
TEST(Resp, WhatBreaksItIsFinal) {
  for (const std::string bad : {"?x\r\n", "\r\n", ":\r\n", ":1x\r\n", "$3\r\nabcd\r\n", "$-2\r\n", "$x\r\n", "#y\r\n", "_x\r\n", "+a\rb\r\n",
                                "+a\n", "*-2\r\n", "%-1\r\n", "=2\r\nab\r\n", "$99999999999\r\n", "*99999999\r\n", "$18446744073709551616\r\n"}) {
    RespReader r;
    r.feed(bad);
    EXPECT_FALSE(r.next()) << bad;
    EXPECT_TRUE(r.failed()) << bad;
    r.feed("+OK\r\n");
    EXPECT_FALSE(r.next()) << bad;
  }
}
TEST(Resp, LimitsHoldWhileReading) {
  RespReader deep;
  for (int i = 0; i < 20; ++i) deep.feed("*1\r\n");
  EXPECT_FALSE(deep.next());
  EXPECT_TRUE(deep.failed());
  RespReader line({.line = 16, .bulk = 8, .items = 4, .depth = 2});
  line.feed("+" + std::string(40, 'x'));
  EXPECT_FALSE(line.next());
  EXPECT_TRUE(line.failed());
  RespReader items({.line = 16, .bulk = 8, .items = 4, .depth = 2});
  items.feed("*3\r\n*3\r\n");  // more over all levels than there may be
  EXPECT_FALSE(items.next());
  EXPECT_TRUE(items.failed());
}
TEST(Resp, NoiseNeverDoesHarm) {
  std::mt19937 random(7);
  const std::string alphabet = "+-:$*%~>|_#,(=!?\r\n019a";
  for (int i = 0; i < 20'000; ++i) {
    RespReader r;
    std::string text;
    for (int n = 0; n < 40; ++n) text += alphabet[random() % alphabet.size()];
    r.feed(text.substr(0, 20));
    while (r.next()) {
    }
    r.feed(text.substr(20));
    while (r.next()) {
    }
  }
}
TEST(Resp, CommandsAreArraysOfBulks) {
  EXPECT_EQ(command({"GET", "a b"}), "*2\r\n$3\r\nGET\r\n$3\r\na b\r\n");
}

// ---- Counts -----------------------------------------------------------------------------------------------

TEST(Counts, FixedPointIsExactAndRefusesWhatIsNoAmount) {
  EXPECT_EQ(to_parts(0.1), 100'000);
  EXPECT_EQ(to_parts(-2.5), -2'500'000);
  EXPECT_EQ(to_parts(1e9), 1'000'000'000'000'000);
  for (const double bad : {std::nan(""), HUGE_VAL, -HUGE_VAL, 1.1e9}) EXPECT_FALSE(to_parts(bad));
  std::int64_t sum = 0;
  for (int i = 0; i < 1'000'000; ++i) sum += *to_parts(0.1);
  EXPECT_EQ(from_parts(sum), 100'000.0);  // where doubles are off by 1.3e-6
}
// Values of the cluster specification, and of common clients' own tests.
TEST(Counts, SlotsOfKeysAndHashTags) {
  EXPECT_EQ(slot_of("123456789"), 0x31C3 % 16384);
  EXPECT_EQ(slot_of("foo"), 12182);
  EXPECT_EQ(slot_of("bar"), 5061);
  EXPECT_EQ(slot_of("{user1000}.following"), slot_of("{user1000}.followers"));
  EXPECT_EQ(slot_of("{user1000}.following"), slot_of("user1000"));
  EXPECT_EQ(slot_of("foo{}{bar}"), slot_of("foo{}{bar}"));
  EXPECT_NE(slot_of("foo{}{bar}"), slot_of("bar"));  // the first tag is empty: all of it counts
  EXPECT_EQ(slot_of("foo{{bar}}zap"), slot_of("{bar"));
  EXPECT_EQ(slot_of(""), 0);
  EXPECT_EQ(key_of("p:", CountName(0xabc)), "p:{0000000000000abc}");
}

AddReplies replies(const std::string& text) {
  RespReader r;
  r.feed(text);
  AddReplies all;
  bool last = false;
  while (auto reply = r.next()) last = all.take(*reply);
  EXPECT_TRUE(last) << text;
  return all;
}
TEST(Counts, WhatTheRepliesMean) {
  const std::string queued = "+OK\r\n+QUEUED\r\n+QUEUED\r\n";
  EXPECT_EQ(replies(queued + "*2\r\n+OK\r\n:2500000\r\n").outcome(), CountOutcome::ok);
  EXPECT_EQ(replies(queued + "*2\r\n$-1\r\n:2500000\r\n").total(), 2.5);
  EXPECT_EQ(replies(queued + "*-1\r\n").outcome(), CountOutcome::refused);
  EXPECT_EQ(replies(queued + "_\r\n").outcome(), CountOutcome::refused);
  EXPECT_EQ(replies(queued + "*2\r\n_\r\n-WRONGTYPE x\r\n").outcome(), CountOutcome::refused);
  EXPECT_EQ(replies(queued + "*2\r\n_\r\n$3\r\nNaN\r\n").outcome(), CountOutcome::added);
  EXPECT_EQ(replies(queued + "*2\r\n_\r\n-ERR increment or decrement would overflow\r\n").outcome(), CountOutcome::refused);
  EXPECT_EQ(replies(queued + "-SOMETHING new\r\n").outcome(), CountOutcome::timeout);
  EXPECT_EQ(replies(queued + "-ERR proxy timed out\r\n").outcome(), CountOutcome::timeout);
  EXPECT_EQ(replies("+OK\r\n-OOM x\r\n+QUEUED\r\n-EXECABORT x\r\n").outcome(), CountOutcome::refused);
  EXPECT_EQ(replies("+OK\r\n-OOM x\r\n+QUEUED\r\n-EXECABORT x\r\n").error(), "OOM x");
  // A MULTI that is turned away: what is behind it runs by itself, or doesn't.
  EXPECT_EQ(replies("-LOADING x\r\n-LOADING x\r\n-LOADING x\r\n-ERR EXEC without MULTI\r\n").outcome(), CountOutcome::refused);
  const auto late = replies("-LOADING x\r\n+OK\r\n:3000000\r\n-ERR EXEC without MULTI\r\n");
  EXPECT_EQ(late.outcome(), CountOutcome::ok);
  EXPECT_EQ(late.total(), 3);
}
TEST(Counts, ErrorsAreSorted) {
  for (const char* none : {"LOADING x", "READONLY", "OOM x", "NOAUTH x", "MOVED 1 1.1.1.1:1", "CLUSTERDOWN x", "BUSY x", "TRYAGAIN x"})
    EXPECT_EQ(added_after(none), Added::no) << none;
  for (const char* maybe : {"", "UNKNOWN x", "ERR proxy timed out", "loading x", "LOADINGX"}) EXPECT_EQ(added_after(maybe), Added::maybe) << maybe;
}

// ---- A session without sockets ------------------------------------------------------------------------------

struct SessionTest : ::testing::Test {
  SessionOptions options{.user = {}, .password = {}, .client_name = "n0", .call_limit = 50ms, .idle_limit = 10s,
                         .silence_limit = 500ms, .most_calls = 4};
  std::optional<Session> s;
  Time now{1s};
  void start() {
    s.emplace(options);
    s->connected(now);
  }
  void up() {
    start();
    EXPECT_EQ(s->output(), command({"HELLO", "3", "SETNAME", "n0"}));
    s->received(now, "%1\r\n+proto\r\n:3\r\n");
    ASSERT_TRUE(s->up());
  }
  void add(std::uint64_t name, double amount = 2) { s->add(now, CountName(name), amount, 4s); }
  static std::string good(int total) {
    return "+OK\r\n+QUEUED\r\n+QUEUED\r\n*2\r\n+OK\r\n:" + std::to_string(total * 1'000'000) + "\r\n";
  }
};
TEST_F(SessionTest, FallsBackToVersionTwoStepByStep) {
  options.password = "p", options.database = 3;
  start();
  EXPECT_EQ(s->output(), command({"HELLO", "3", "AUTH", "default", "p", "SETNAME", "n0"}));
  add(1);
  s->received(now, "-ERR unknown command 'HELLO'\r\n");
  EXPECT_EQ(s->output(), command({"AUTH", "p"}));
  s->received(now, "+OK\r\n");
  EXPECT_EQ(s->output(), command({"CLIENT", "SETNAME", "n0"}));
  s->received(now, "-ERR no\r\n");  // does no harm
  EXPECT_EQ(s->output(), command({"SELECT", "3"}));
  s->received(now, "+OK\r\n");
  EXPECT_TRUE(s->up());
  EXPECT_EQ(s->protocol(), 2);
  EXPECT_EQ(s->output(), add_command(key_of("docklift:", CountName(1)), 2'000'000, 4000));
}
TEST_F(SessionTest, WrongPasswordIsSaid) {
  options.password = "p";
  start();
  s->received(now, "-WRONGPASS invalid\r\n");
  EXPECT_TRUE(s->broken());
  EXPECT_EQ(s->why(), "HELLO: WRONGPASS invalid");
}
TEST_F(SessionTest, PipelinedCallsAreAnsweredInOrderWithPushesBetween) {
  up();
  add(1), add(2);
  s->received(now, "+OK\r\n+QUEUED\r\n>2\r\n+invalidate\r\n*0\r\n+QUEUED\r\n*2\r\n+OK\r\n:1000000\r\n>1\r\n+x\r\n" + good(7));
  const auto a = s->answers();
  ASSERT_EQ(a.size(), 2U);
  EXPECT_EQ(a[0].name, CountName(1));
  EXPECT_EQ(a[0].total, 1);
  EXPECT_EQ(a[1].total, 7);
}
TEST_F(SessionTest, LateReplyIsConsumedAndSaysNothing) {
  up();
  add(1);
  EXPECT_EQ(s->due(), now + 50ms);
  now += 50ms;
  s->tick(now);
  auto a = s->answers();
  ASSERT_EQ(a.size(), 1U);
  EXPECT_EQ(a[0].outcome, CountOutcome::timeout);
  add(2);
  s->received(now, good(5) + good(6));
  a = s->answers();
  ASSERT_EQ(a.size(), 1U);
  EXPECT_EQ(a[0].name, CountName(2));
  EXPECT_EQ(a[0].total, 6);
}
TEST_F(SessionTest, WhatWasNotWrittenWholeWasNotAdded) {
  up();
  const auto hello = command({"HELLO", "3", "SETNAME", "n0"}).size();
  const auto one = add_command(key_of("docklift:", CountName(1)), 2'000'000, 4000).size();
  add(1), add(2);
  s->written(hello + one + one - 1);
  s->lost(now);
  const auto a = s->answers();
  ASSERT_EQ(a.size(), 2U);
  EXPECT_EQ(a[0].outcome, CountOutcome::timeout);
  EXPECT_EQ(a[1].outcome, CountOutcome::refused);
}
TEST_F(SessionTest, QueueIsBoundedAndNonsenseRefusedAtOnce) {
  start();  // not up: they wait
  for (std::uint64_t i = 0; i < 6; ++i) add(i);
  EXPECT_EQ(s->answers().size(), 2U);
  EXPECT_EQ(s->calls(), 4U);
  now += 50ms;
  s->tick(now);
  const auto a = s->answers();
  ASSERT_EQ(a.size(), 4U);
  for (const auto& x : a) EXPECT_EQ(x.outcome, CountOutcome::refused);
  add(9, NAN);
  EXPECT_EQ(s->answers().at(0).outcome, CountOutcome::refused);
}
TEST_F(SessionTest, SilenceAndNoiseEndIt) {
  up();
  add(1);
  now += 500ms;
  s->tick(now);
  EXPECT_EQ(s->why(), "silent");
  start();
  s->received(now, "HTTP/1.1 400\r\n");
  EXPECT_TRUE(s->broken());
  up();
  s->received(now, ":5\r\n");
  EXPECT_EQ(s->why(), "a reply to nothing");
}
TEST_F(SessionTest, IdleIsKeptAlive) {
  up();
  s->output();
  now += 10s;
  EXPECT_EQ(s->due(), now);
  s->tick(now);
  EXPECT_EQ(s->output(), command({"PING"}));
  s->received(now, "+PONG\r\n");
  EXPECT_TRUE(s->answers().empty());
  EXPECT_EQ(s->calls(), 0U);
}
TEST_F(SessionTest, ReadOnlyIsLeftWhenNothingIsOwedAnyMore) {
  up();
  add(1), add(2);
  const std::string refused = "+OK\r\n-READONLY x\r\n-READONLY x\r\n-EXECABORT x\r\n";
  s->received(now, refused);
  EXPECT_FALSE(s->broken());
  add(3);  // waits for the next connection
  s->received(now, refused);
  EXPECT_TRUE(s->broken());
  for (const auto& a : s->answers()) EXPECT_EQ(a.outcome, CountOutcome::refused);
}
// Whatever bytes come, whenever it breaks: one answer for each call.
TEST_F(SessionTest, EveryCallHasOneAnswerInRandomHistories) {
  for (unsigned seed = 0; seed < 500; ++seed) {
    std::mt19937 random(seed);
    s.emplace(options);
    std::uint64_t calls = 0;
    std::map<CountName, int> answers;
    const auto collect = [&] {
      for (const auto& a : s->answers()) ++answers[a.name];
    };
    bool down = true;
    for (int i = 0; i < 200; ++i) {
      switch (random() % 9) {
        case 0:
          if (down) s->connected(now), down = false;
          break;
        case 1: s->lost(now), down = true; break;
        case 2:
        case 3: s->add(now, CountName(++calls), 1, 1s); break;
        case 4: now += std::chrono::milliseconds(random() % 60), s->tick(now); break;
        case 5: s->received(now, "%1\r\n+proto\r\n:3\r\n"); break;
        case 6: s->received(now, good(static_cast<int>(random() % 9))); break;
        case 7: s->received(now, random() % 4 == 0 ? "$5\r\nab" : "+OK\r\n"); break;
        default: s->written(random() % 2000);
      }
      collect();
      if (s->broken()) s->lost(now), down = true;
      collect();
    }
    s->lost(now);
    collect();
    ASSERT_EQ(answers.size(), calls) << seed;
    for (const auto& [name, n] : answers) ASSERT_EQ(n, 1) << seed;
  }
}

// ---- The store against the stand-in --------------------------------------------------------------------------

struct RedisStoreTest : ::testing::Test {
  void start(snowknot::Duration limit = 200ms) {
    ClientOptions o;
    o.seeds = {server->at()};
    o.session.client_name = "n0", o.session.idle_limit = 10s, o.session.password = password, o.session.resp3 = resp3;
    o.session.most_calls = 4096, o.lanes = 2, o.connect_limit = 1s, o.first_back_off = 1ms, o.longest_back_off = 20ms;
    o.epoch_interval = epoch_interval, o.epoch_life = 60s;
    store.emplace(loop.io, timers, o, limit, [this](const CountAnswer& a) { told.push_back(a); },
                  [this](const snowknot::CountsLost& l) { lost.push_back(l.at); });
    ASSERT_TRUE(loop.until([&] { return store->tried(); }));
  }
  CountAnswer call(std::uint64_t name, double amount = 2, snowknot::Duration life = 4s) {
    const auto before = told.size();
    store->add(CountName(name), amount, life);
    EXPECT_TRUE(loop.until([&] { return told.size() > before; }));
    return told.back();
  }
  Loop loop;
  snowknot::Clock clock;
  snowknot::Timers timers{loop.io, clock};
  std::string password;
  bool resp3 = true;
  std::optional<standins::RedisServer> server{std::in_place, loop.io};
  std::vector<CountAnswer> told;
  std::vector<Time> lost;
  snowknot::Duration epoch_interval{};
  std::optional<RedisStore> store;
};
TEST_F(RedisStoreTest, AddsAndGivesTheTotalInBothVersions) {
  for (const bool version3 : {true, false}) {
    resp3 = version3;
    start();
    const std::uint64_t name = version3 ? 7 : 8;
    EXPECT_EQ(call(name, 2.5).total, 2.5);
    EXPECT_EQ(call(name, -1.25).total, 1.25);
    EXPECT_EQ(server->database().value(key_of("docklift:", CountName(name)), server->now_ms()), "1250000");
    store.reset();
  }
}
TEST_F(RedisStoreTest, LifetimeIsThatOfTheFirstCall) {
  start();
  call(7, 1, 60ms);
  call(7, 1, 1h);
  EXPECT_TRUE(loop.until([&] { return call(7, 1, 60ms).total == 1; }));
}
TEST_F(RedisStoreTest, PasswordIsAsked) {
  server.emplace(loop.io, standins::DatabaseOptions{.user = "default", .password = "secret"});
  start();
  EXPECT_EQ(call(7).outcome, CountOutcome::refused);
  store.reset();
  password = "secret";
  start();
  EXPECT_TRUE(loop.until([&] { return call(7).outcome == CountOutcome::ok; }));
}
TEST_F(RedisStoreTest, StatesInWhichNothingIsAdded) {
  start();
  auto& f = server->database().faults();
  for (auto* state : {&f.oom, &f.readonly}) {
    *state = true;
    EXPECT_EQ(call(7).outcome, CountOutcome::refused);
    *state = false;
  }
  f.loading_until = server->now_ms() + 60'000;
  EXPECT_EQ(call(7).outcome, CountOutcome::refused);
  f.loading_until = 0;
  EXPECT_TRUE(loop.until([&] { return call(7).outcome == CountOutcome::ok; }));
  EXPECT_EQ(told.back().total, 2);  // all the others were not added
}
TEST_F(RedisStoreTest, AppliedAndBrokenBeforeTheReplyIsNotKnown) {
  start();
  EXPECT_EQ(call(7).outcome, CountOutcome::ok);
  server->faults().drop_after = 1;
  EXPECT_EQ(call(7).outcome, CountOutcome::timeout);
  server->faults().drop_after = 0;
  EXPECT_TRUE(loop.until([&] { return call(7, 0).outcome == CountOutcome::ok; }));
  EXPECT_EQ(told.back().total, 4);  // it had been
}
TEST_F(RedisStoreTest, LateAnswerIsATimeoutAndTheNextCallIsNotMixedUp) {
  start(60ms);
  server->faults().stalled_until = std::chrono::steady_clock::now() + 150ms;
  EXPECT_EQ(call(7).outcome, CountOutcome::timeout);
  EXPECT_TRUE(loop.until([&] { return call(9, 1).outcome == CountOutcome::ok; }));
  EXPECT_LT(told.back().total, 100);
}
TEST_F(RedisStoreTest, ServerThatSaysNothingBlocksNobody) {
  Peer mute(loop.io);
  ClientOptions o;
  o.seeds = {mute.at()}, o.lanes = 1, o.connect_limit = 1s, o.first_back_off = 1ms, o.longest_back_off = 20ms;
  store.emplace(loop.io, timers, o, 20ms, [this](const CountAnswer& a) { told.push_back(a); },
                [](const snowknot::CountsLost&) {});
  EXPECT_EQ(call(7).outcome, CountOutcome::refused);  // it was never given to the connection
  EXPECT_TRUE(loop.until([&] { return mute.wires.size() > 1; }));  // and the connection is made anew
}
TEST_F(RedisStoreTest, GarbageEndsTheConnectionAndRestartsAreFollowed) {
  start();
  server->faults().garbage = 1;
  EXPECT_EQ(call(7).outcome, CountOutcome::timeout);
  server->faults().garbage = 0;
  EXPECT_TRUE(loop.until([&] { return call(7).outcome == CountOutcome::ok; }));
  server->restart_empty();
  EXPECT_TRUE(loop.until([&] { return call(7, 1).outcome == CountOutcome::ok; }));
  EXPECT_LT(told.back().total, 4);  // the module sees it go backwards
}
TEST_F(RedisStoreTest, ManyNamesAndAHotOneStayInOrder) {
  start(10s);
  for (std::uint64_t i = 0; i < 20'000; ++i) {
    store->add(CountName(i % 2 == 0 ? 1 : 1000 + i), 1, 60s);
    if (i % 2000 == 1999) {
      ASSERT_TRUE(loop.until([&] { return told.size() == i + 1; }));
    }
  }
  double last = 0;
  for (const auto& a : told) {
    ASSERT_EQ(a.outcome, CountOutcome::ok);
    if (a.name == CountName(1)) {
      EXPECT_EQ(a.total, ++last);
    }
  }
  EXPECT_EQ(last, 10'000);
}
// ---- A cluster, and a master under Sentinels, on sockets -----------------------------------------------------------

struct RedisFleetTest : ::testing::Test {
  void start(standins::RedisFleetOptions f, snowknot::Duration limit = 1s) {
    fleet.emplace(loop.io, f);
    ClientOptions o;
    o.mode = f.cluster ? Mode::cluster : Mode::sentinel;
    if (f.cluster)
      o.seeds = {fleet->server(f.shards - 1).at()};
    else
      for (std::size_t i = 0; i < f.sentinels; ++i) o.seeds.push_back(fleet->sentinel(i).at());
    o.master = "mymaster", o.session.idle_limit = 10s, o.session.most_calls = 4096, o.lanes = 2, o.connect_limit = 1s;
    o.first_back_off = 1ms, o.longest_back_off = 20ms, o.refresh_least = 5ms, o.refresh_every = 1s;
    o.epoch_interval = 50ms, o.epoch_life = 60s, o.most_hops = 16;
    store.emplace(loop.io, timers, o, limit, [this](const CountAnswer& a) { told.push_back(a); },
                  [this](const snowknot::CountsLost& l) { lost.push_back(l.at); });
  }
  // Adds 1 to each of so many names, and waits for all answers.
  std::size_t flood(std::uint64_t names) {
    told.clear();
    for (std::uint64_t i = 0; i < names; ++i) store->add(CountName(i), 1, 60s);
    EXPECT_TRUE(loop.until([&] { return told.size() == names; }));
    return static_cast<std::size_t>(
        std::ranges::count_if(told, [](const auto& a) { return a.outcome == CountOutcome::ok; }));
  }
  bool served(std::uint64_t name) {
    told.clear();
    store->add(CountName(name), 1, 60s);
    return loop.until([&] { return !told.empty(); }) && told[0].outcome == CountOutcome::ok;
  }
  Loop loop;
  snowknot::Clock clock;
  snowknot::Timers timers{loop.io, clock};
  std::optional<standins::RedisFleet> fleet;
  std::vector<CountAnswer> told;
  std::vector<Time> lost;
  std::optional<RedisStore> store;
};
TEST_F(RedisFleetTest, ClusterIsFoundFromOneSeedAndMigrationLosesNothing) {
  start({});
  EXPECT_EQ(flood(500), 500U);  // also those that came before the topology was known
  EXPECT_EQ(store->client().servers(), 3U);
  fleet->migrate(0, 5460, 2, 0ms);  // all of the first
  int rounds = 1;
  for (; fleet->migrating() || rounds < 3; ++rounds) ASSERT_EQ(flood(500), 500U);
  for (const auto& a : told) EXPECT_EQ(a.total, rounds);
  EXPECT_TRUE(loop.until([&] { return flood(1) == 1 && store->client().servers() == 2; }));
}
TEST_F(RedisFleetTest, ShardThatFailsOverIsFollowed) {
  start({});
  EXPECT_EQ(flood(100), 100U);
  const auto before = lost.size();
  fleet->kill(0);
  ASSERT_TRUE(fleet->fail_over(0));
  EXPECT_TRUE(loop.until([&] { return flood(100) == 100; }));
  EXPECT_EQ(lost.size(), before + 1);
}
TEST_F(RedisFleetTest, SentinelsTellOfTheNewMaster) {
  start({.cluster = false, .replicas = 2, .sentinels = 3});
  EXPECT_TRUE(served(1));
  const auto before = lost.size();
  ASSERT_TRUE(fleet->fail_over(0));
  EXPECT_TRUE(loop.until([&] { return served(1); }));
  EXPECT_EQ(lost.size(), before + 1);
  EXPECT_TRUE(fleet->server(fleet->master(0)).database().value(key_of("docklift:", CountName(1)),
                                                                standins::RedisServer::now_ms()));
  EXPECT_NE(fleet->master(0), 0U);
}
TEST_F(RedisFleetTest, ReplicaIsNoPlaceForCounts) {
  fleet.emplace(loop.io, standins::RedisFleetOptions{.cluster = false, .replicas = 1, .sentinels = 0});
  ClientOptions o;
  o.seeds = {fleet->server(1).at()}, o.lanes = 1, o.connect_limit = 1s, o.first_back_off = 1ms, o.longest_back_off = 5ms;
  store.emplace(loop.io, timers, o, 30ms, [this](const CountAnswer& a) { told.push_back(a); },
                [](const snowknot::CountsLost&) {});
  store->add(CountName(1), 1, 60s);
  ASSERT_TRUE(loop.until([&] { return !told.empty(); }));
  EXPECT_EQ(told[0].outcome, CountOutcome::refused);
}

// ---- From the platform's counter to Redis ----------------------------------------------------------------------

TEST(MovingStore, BothAreAddedToAndTheNewOneTakesOver) {
  Loop loop;
  snowknot::Clock clock;
  snowknot::Timers timers{loop.io, clock};
  standins::Platform platform(loop.io, {.servers = 1, .seed = 1});
  standins::RedisServer server(loop.io);
  const auto counter_at = *snowknot::endpoint_of(platform.counter_address());
  const auto counter = [&](snowknot::asio::io_context& io, snowknot::Timers& t, snowknot::Duration limit,
                           snowknot::CountStore::Told told, const snowknot::CountStore::Lost&) {
    return std::make_unique<snowknot::Counter>(io, t, counter_at, limit, std::move(told));
  };
  const auto redis = [&](snowknot::asio::io_context& io, snowknot::Timers& t, snowknot::Duration limit,
                         snowknot::CountStore::Told told, snowknot::CountStore::Lost lost) {
    ClientOptions o;
    o.seeds = {server.at()}, o.lanes = 1, o.connect_limit = 1s, o.first_back_off = 1ms, o.longest_back_off = 5ms;
    o.session.idle_limit = 10s, o.epoch_interval = 1s, o.epoch_life = 60s;
    return std::make_unique<RedisStore>(io, t, o, limit, std::move(told), std::move(lost));
  };
  std::vector<CountAnswer> told;
  std::vector<Time> lost;
  const auto cut_over = timers.now() + 1s;
  const auto store = store::moving(counter, redis, cut_over, 10min)(
      loop.io, timers, 1s, [&](const CountAnswer& a) { told.push_back(a); },
      [&](const snowknot::CountsLost& l) { lost.push_back(l.at); });
  ASSERT_TRUE(loop.until([&] { return store->tried(); }));
  const auto call = [&](double amount) {
    const auto before = told.size();
    store->add(CountName(7), amount, 60s);
    EXPECT_TRUE(loop.until([&] { return told.size() > before; }));
    return told.back();
  };
  EXPECT_EQ(call(2).total, 2);
  EXPECT_EQ(call(3).total, 5);
  ASSERT_LT(timers.now(), cut_over) << "too slow a machine for this test's time";
  const auto in_redis = [&] {
    return server.database().value(key_of("docklift:", CountName(7)), standins::RedisServer::now_ms());
  };
  EXPECT_TRUE(loop.until([&] { return in_redis() == "5000000"; }));
  EXPECT_TRUE(lost.empty());  // the new store's own words don't count yet
  ASSERT_TRUE(loop.until([&] { return timers.now() >= cut_over; }));
  EXPECT_EQ(call(1).total, 6);  // it has all that came before
  EXPECT_EQ(in_redis(), "6000000");
  ASSERT_EQ(lost.size(), 1U);  // this node began to count in both too late to be sure
  EXPECT_LT(lost[0], cut_over);
  server.stop();
  EXPECT_NE(call(1).outcome, CountOutcome::ok);  // the old one no longer decides
}

TEST(RedisSections, WhatDoesNotGoTogetherIsRefused) {
  Schema schema;
  schema.add(store_section()).add(redis_section());
  const auto field = [&](const std::string& text) {
    const auto read = read_config_text(schema, text, "f");
    return read.mistakes.empty() ? "" : read.mistakes[0].field;
  };
  EXPECT_EQ(field(""), "");
  EXPECT_EQ(field("[store]\nkind = \"redis\"\n"), "store.kind");
  EXPECT_EQ(field("[store]\nkind = \"redis\"\n[redis]\naddress = \"127.0.0.1:6379\"\n"), "");
  EXPECT_EQ(field("[redis]\nfirst_back_off = \"2s\"\n"), "redis.first_back_off");
  EXPECT_EQ(field("[redis]\nprefix = \"{x}\"\n"), "redis.prefix");
  EXPECT_EQ(field("[redis]\nuser = \"u\"\n"), "redis.user");
  EXPECT_EQ(field("[redis]\nmode = \"cluster\"\ndatabase = 1\n"), "redis.database");
  EXPECT_EQ(field("[redis]\nrefresh_every = \"100ms\"\n"), "redis.refresh_every");
  EXPECT_EQ(field("[redis]\nepoch_interval = \"6s\"\nepoch_life = \"10s\"\n"), "redis.epoch_life");
  EXPECT_EQ(field("[redis]\nmode = \"sentinel\"\nmaster = \"a b\"\n"), "redis.master");
  const std::string cluster = "[redis]\nmode = \"cluster\"\nseeds = [\"127.0.0.1:7000\"]\n";
  EXPECT_EQ(field("[store]\nkind = \"redis\"\n" + cluster), "");
  EXPECT_EQ(field("[store]\nkind = \"redis\"\n[redis]\nmode = \"cluster\"\n"), "store.kind");
  EXPECT_EQ(field("[store]\nmove_from = \"redis\"\n" + cluster), "store.cut_over");
  EXPECT_EQ(field("[store]\nmove_from = \"redis\"\ncut_over = \"soon\"\n" + cluster), "store.cut_over");
  EXPECT_EQ(field("[store]\ncut_over = \"2026-12-24T02:30:00Z\"\n"), "store.cut_over");
  EXPECT_EQ(field("[store]\nmove_from = \"platform\"\ncut_over = \"2026-12-24T02:30:00Z\"\n"), "store.move_from");
  EXPECT_EQ(field("[store]\nmove_from = \"redis\"\ncut_over = \"2026-12-24T02:30:00Z\"\n" + cluster), "");
}

// ---- The stand-in -------------------------------------------------------------------------------------------

struct DatabaseTest : ::testing::Test {
  std::string run(const standins::Words& words) { return db.run(client, words, now); }
  standins::Database db;
  standins::Client client = db.connect();
  std::int64_t now = 1'000'000;
};
TEST_F(DatabaseTest, StringsNumbersAndExpiry) {
  EXPECT_EQ(run({"set", "a", "5", "PX", "100"}), "+OK\r\n");
  EXPECT_EQ(run({"SET", "a", "6", "NX"}), "$-1\r\n");
  EXPECT_EQ(run({"SET", "a", "6", "XX", "GET", "KEEPTTL"}), "$1\r\n5\r\n");
  EXPECT_EQ(run({"INCRBY", "a", "4"}), ":10\r\n");
  EXPECT_EQ(run({"PTTL", "a"}), ":100\r\n");
  EXPECT_EQ(run({"PEXPIRE", "a", "50", "GT"}), ":0\r\n");
  EXPECT_EQ(run({"PEXPIRE", "a", "50", "NX"}), ":0\r\n");
  now += 100;
  EXPECT_EQ(run({"GET", "a"}), "$-1\r\n");
  EXPECT_EQ(run({"PTTL", "a"}), ":-2\r\n");
  EXPECT_EQ(run({"INCRBYFLOAT", "f", "10.5"}), "$4\r\n10.5\r\n");
  EXPECT_EQ(run({"INCRBYFLOAT", "f", "-0.5"}), "$2\r\n10\r\n");
  EXPECT_EQ(run({"INCRBYFLOAT", "f", "nan"}), "-ERR value is not a valid float\r\n");
  EXPECT_EQ(run({"SET", "big", "9223372036854775807"}), "+OK\r\n");
  EXPECT_EQ(run({"INCR", "big"}), "-ERR increment or decrement would overflow\r\n");
  EXPECT_EQ(run({"HINCRBY", "h", "x", "2"}), ":2\r\n");
  EXPECT_EQ(run({"GET", "h"}).substr(0, 10), "-WRONGTYPE");
  EXPECT_EQ(run({"MGET", "f", "no"}), "*2\r\n$2\r\n10\r\n$-1\r\n");
  EXPECT_EQ(run({"DBSIZE"}), ":3\r\n");
  EXPECT_EQ(run({"SCAN", "0", "MATCH", "b*"}), "*2\r\n$1\r\n0\r\n*1\r\n$3\r\nbig\r\n");
  EXPECT_EQ(run({"FLUSHALL"}), "+OK\r\n");
  EXPECT_EQ(run({"DBSIZE"}), ":0\r\n");
  EXPECT_EQ(run({"GET"}), "-ERR wrong number of arguments for 'get' command\r\n");
}
TEST_F(DatabaseTest, Transactions) {
  EXPECT_EQ(run({"EXEC"}), "-ERR EXEC without MULTI\r\n");
  run({"MULTI"});
  EXPECT_EQ(run({"INCR", "a"}), "+QUEUED\r\n");
  EXPECT_EQ(run({"EXEC"}), "*1\r\n:1\r\n");
  run({"MULTI"}), run({"NOSUCH"});
  EXPECT_EQ(run({"EXEC"}).substr(0, 10), "-EXECABORT");
  run({"WATCH", "a"}), run({"INCR", "a"}), run({"MULTI"}), run({"INCR", "a"});
  EXPECT_EQ(run({"EXEC"}), "*-1\r\n");
  run({"MULTI"}), run({"INCR", "a"}), run({"DISCARD"});
  EXPECT_EQ(run({"GET", "a"}), "$1\r\n2\r\n");
}
TEST_F(DatabaseTest, HelloAndVersionThree) {
  EXPECT_EQ(run({"HELLO", "4"}), "-NOPROTO unsupported protocol version\r\n");
  EXPECT_TRUE(run({"HELLO", "3"}).starts_with("%7\r\n"));
  EXPECT_EQ(run({"GET", "no"}), "_\r\n");
  EXPECT_EQ(run({"HGETALL", "no"}), "%0\r\n");
}
TEST_F(DatabaseTest, RestartsEmptyOrWithOlderData) {
  run({"SET", "a", "1"});
  now += 1000;
  run({"SET", "a", "2"}), run({"SET", "b", "1"});
  const auto id = db.run_id();
  db.restart_from(now, 500);
  EXPECT_NE(db.run_id(), id);
  EXPECT_EQ(run({"GET", "a"}), "$1\r\n1\r\n");
  EXPECT_EQ(run({"GET", "b"}), "$-1\r\n");
  db.restart_empty();
  EXPECT_EQ(run({"GET", "a"}), "$-1\r\n");
}
TEST(CommandReader, ArraysInlineAndNonsense) {
  standins::CommandReader r;
  r.feed("*2\r\n$3\r\nGET\r\n$1\r");
  EXPECT_FALSE(r.next());
  r.feed("\na\r\nPING  x\r\n\r\n*x\r\n");
  EXPECT_EQ(*r.next(), (standins::Words{"GET", "a"}));
  EXPECT_EQ(*r.next(), (standins::Words{"PING", "x"}));
  EXPECT_TRUE(r.next()->empty());
  EXPECT_FALSE(r.next());
  EXPECT_TRUE(r.failed());
}

}  // namespace
}  // namespace docklift::redis
