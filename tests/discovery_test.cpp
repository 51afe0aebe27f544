// The watch on the list of servers over loopback sockets.
#include "discovery.hpp"

#include "facts.hpp"
#include "helpers.hpp"

#include "peers.hpp"

namespace snowknot::test {
namespace {

std::string chunk(const std::string& text) {
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
  return size.data() + text + "\r\n";
}
const std::string kHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string member(const std::string& id, const std::string& phase = "SERVING",
                   const std::string& port = "7070", const std::string& up = "0") {
  return R"({"id":")" + id + R"(","host_port":"127.0.0.1:)" + port +
         R"(","locality":"a","flavor":"m2","cell":3,"phase":")" + phase + R"(","size":1.0,"up_since_ms":)" +
         up + "}";
}
std::string list(int revision, bool complete, const std::string& members) {
  return R"({"revision":)" + std::to_string(revision) + R"(,"complete":)" + (complete ? "true" : "false") +
         R"(,"members":[)" + members + "]}";
}

struct DiscoveryTest : ::testing::Test {
  struct Update {
    ListKind kind;
    std::vector<Discovery::Entry> entries;
  };
  void start(const std::string& known = list(41, true, member("s-0000000a"))) {
    discovery.start(nlohmann::json::parse(known));
  }
  bool wait_for(std::size_t n) {
    return loop.until([&] { return told.size() >= n; });
  }
  // The connection of the n-th watch, once its request has come.
  std::shared_ptr<Wire> watch(std::size_t n = 1) {
    if (!loop.until([&] { return asked.size() >= n; })) return nullptr;
    return agent.wires.back();
  }

  Loop loop;
  Clock clock;
  Timers timers{loop.io, clock};
  std::vector<std::string> asked;
  std::vector<Update> told;
  Peer agent{loop.io, [this](Wire& w) {
               if (auto m = w.message(); !m.empty()) asked.push_back(m.substr(0, m.find("\r\n")));
             }};
  Discovery discovery{loop.io,    timers,
                      agent.at(), agent.text(),
                      {{"a", 0}}, [this](ListKind k, const auto& e) { told.push_back({k, e}); }};
};

TEST_F(DiscoveryTest, StartsFromWhatWasKnown) {
  start();
  ASSERT_EQ(told.size(), 1u);  // at once, before any connection
  EXPECT_EQ(told[0].kind, ListKind::cached);
  ASSERT_EQ(told[0].entries.size(), 1u);
  EXPECT_EQ(told[0].entries[0].info.id, ServerId(10));
  EXPECT_EQ(told[0].entries[0].info.cell, 3u);
  ASSERT_NE(watch(), nullptr);
  EXPECT_EQ(asked[0], "GET /api/targets?watch=1&from=41 HTTP/1.1");
}
TEST_F(DiscoveryTest, TakesChangesAndFullLists) {
  start();
  const auto w = watch();
  w->send(kHead + chunk("\n") + chunk(list(43, false, member("s-0000000a", "DRAINING")) + "\n"));
  ASSERT_TRUE(wait_for(2));
  EXPECT_EQ(told[1].kind, ListKind::changes);
  EXPECT_EQ(told[1].entries[0].info.phase, Phase::draining);
  w->send(chunk(list(44, true, member("s-0000000b", "SERVING", "7071", "1700000000000")) + "\n"));
  ASSERT_TRUE(wait_for(3));
  EXPECT_EQ(told[2].kind, ListKind::full);
  EXPECT_EQ(told[2].entries[0].info.started, Time(std::chrono::milliseconds(1700000000000)));
  EXPECT_EQ(told[2].entries[0].address.port(), 7071);
}
TEST_F(DiscoveryTest, LineMayComeInPieces) {
  start();
  const auto text = list(43, false, member("s-0000000a", "DELETED")) + "\n";
  const auto w = watch();
  w->send(kHead + chunk(text.substr(0, 30)));
  w->send(chunk(text.substr(30)));
  ASSERT_TRUE(wait_for(2));
  EXPECT_EQ(told[1].entries[0].info.phase, Phase::gone);
}
TEST_F(DiscoveryTest, BrokenWatchGoesOnFromItsRevision) {
  start();
  watch()->send(kHead + chunk(list(50, false, member("s-0000000b")) + "\n"));
  ASSERT_TRUE(wait_for(2));
  agent.wires.back()->reset();
  ASSERT_NE(watch(2), nullptr);
  EXPECT_EQ(asked[1], "GET /api/targets?watch=1&from=50 HTTP/1.1");
}
// An agent that says nothing, not even the empty lines, may have lost the connection.
TEST_F(DiscoveryTest, SilenceIsNoticed) {
  start();
  watch()->send(kHead + chunk("\n"));
  EXPECT_NE(watch(2), nullptr);
}
TEST_F(DiscoveryTest, BadEntryIsPassedOverAndTheRestTaken) {
  start();
  watch()->send(kHead +
                chunk(list(43, false,
                           R"({"id":7},{"id":"s-0000000c","host_port":"nowhere","locality":"a","cell":1,)"
                           R"("phase":"SERVING"},)" +
                               member("s-0000000b")) +
                      "\n"));
  ASSERT_TRUE(wait_for(2));
  ASSERT_EQ(told[1].entries.size(), 1u);
  EXPECT_EQ(told[1].entries[0].info.id, ServerId(11));
}
// What a line that can't be read held is not known: the watch is begun again from before it.
TEST_F(DiscoveryTest, BadLineBeginsTheWatchAgain) {
  start();
  watch()->send(kHead + chunk("{\"revision\":60,\n"));
  ASSERT_NE(watch(2), nullptr);
  EXPECT_EQ(asked[1], "GET /api/targets?watch=1&from=41 HTTP/1.1");
  EXPECT_EQ(told.size(), 1u);
}
TEST_F(DiscoveryTest, WholeListOfRubbishDoesNotEmptyTheList) {
  start();
  watch()->send(kHead + chunk(list(60, true, R"({"id":1},{"id":2})") + "\n"));
  ASSERT_NE(watch(2), nullptr);
  EXPECT_EQ(told.size(), 1u);
}
TEST_F(DiscoveryTest, RefusalIsTriedAgain) {
  start();
  watch()->send(http_answer("500 Oops"));
  EXPECT_NE(watch(2), nullptr);
}
// Until the watch at the new address has begun, the one before it still counts; then it is closed.
TEST_F(DiscoveryTest, MovesWithoutAGap) {
  std::string moved;
  Peer next(loop.io, [&](Wire& w) { moved += w.message(); });
  start();
  const auto old = watch();
  old->send(kHead + chunk("\n"));
  old->send(chunk(list(43, false, member("s-0000000b")) + "\n"));
  ASSERT_TRUE(wait_for(2));
  discovery.move_to(next.at(), next.text());
  ASSERT_TRUE(loop.until([&] { return !moved.empty(); }));
  EXPECT_TRUE(moved.starts_with("GET /api/targets?watch=1&from=43 "));
  old->send(chunk(list(44, false, member("s-0000000c")) + "\n"));
  ASSERT_TRUE(wait_for(3));
  EXPECT_FALSE(old->ended);
  next.wires[0]->send(kHead + chunk(list(45, false, member("s-0000000d")) + "\n"));
  ASSERT_TRUE(wait_for(4));
  EXPECT_EQ(discovery.revision(), 45u);
  EXPECT_TRUE(loop.until([&] { return old->ended; }));
}
TEST_F(DiscoveryTest, WatchThatEndsAfterTheMoveIsNotBegunThere) {
  Peer next(loop.io), last(loop.io);
  start();
  watch()->send(kHead + chunk(list(43, false, member("s-0000000b")) + "\n"));
  ASSERT_TRUE(wait_for(2));
  discovery.move_to(next.at(), next.text());
  agent.wires[0]->reset();
  discovery.move_to(last.at(), last.text());  // again, before the first move is done
  ASSERT_TRUE(loop.until([&] { return !last.wires.empty() && !last.wires[0]->in.empty(); }));
  last.wires[0]->send(kHead + chunk(list(44, false, member("s-0000000c")) + "\n"));
  ASSERT_TRUE(wait_for(3));
  EXPECT_EQ(asked.size(), 1u);
}
// Ids are ever new: one that is gone leaves nothing behind.
TEST_F(DiscoveryTest, ServersThatAreGoneAreForgotten) {
  start();
  const auto w = watch();
  w->send(kHead);
  int revision = 42;
  std::size_t lines = 1;
  for (int i = 0; i < 50; ++i) {
    const auto id = "t-" + std::to_string(10000000 + i);
    w->send(chunk(list(revision++, false, member(id)) + "\n"));
    w->send(chunk(list(revision++, false, member(id, "DELETED")) + "\n"));
    lines += 2;
  }
  ASSERT_TRUE(wait_for(lines));
  EXPECT_EQ(discovery.known_ids(), 1u);
  w->send(chunk(list(revision, true, member("s-0000000b")) + "\n"));
  ASSERT_TRUE(wait_for(lines + 1));
  EXPECT_EQ(discovery.known_ids(), 1u);
}

// Numbers are the same at every node, whatever came first, and two ids never share one.
TEST_F(DiscoveryTest, NumbersComeFromTheIds) {
  start(list(1, true, member("s-0000000a") + "," + member("t-0000000a") + "," + member("odd name")));
  ASSERT_EQ(told[0].entries.size(), 3u);
  EXPECT_EQ(told[0].entries[0].info.id, ServerId(10));
  EXPECT_NE(told[0].entries[1].info.id, told[0].entries[0].info.id);
  EXPECT_NE(told[0].entries[2].info.id, told[0].entries[1].info.id);
}

// Discovery takes `rate` calls a second one behind another and gives up each that would wait past its time-out: it
// works for that one all the same. All of a fleet come at once; the share of those that have their list after `span`.
double served_in(std::uint32_t fleet, double rate, Duration span, auto pause_of) {
  constexpr double kTimeout = 2, kQueue = 3;  // seconds that a call waits at most; and that it stands in line for
  std::vector<CallPause> pauses;
  std::multimap<double, std::uint32_t> calls;
  for (std::uint32_t n = 0; n < fleet; ++n) {
    pauses.push_back(pause_of(n));
    calls.emplace(0, n);
  }
  double free_at = 0;
  std::uint32_t served = 0;
  while (!calls.empty() && calls.begin()->first < seconds(span)) {
    const auto [at, n] = *calls.begin();
    calls.erase(calls.begin());
    const double done = std::max(at, free_at) + 1 / rate;
    const bool turned_away = done - at > kTimeout * kQueue;
    if (!turned_away) free_at = done;
    if (done - at <= kTimeout) {
      ++served;
    } else {
      calls.emplace((turned_away ? at : at + kTimeout) + seconds(pauses[n].after_failure()), n);
    }
  }
  return static_cast<double>(served) / fleet;
}

TEST(CallPause, AFleetThatIsTurnedAwayTogetherHasItsListsSoonAfter) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed)
    for (const double rate : {12.5, 25.0, 50.0})
      EXPECT_GE(served_in(100, rate, 40s, [&](auto n) { return CallPause(100, seed * 1000 + n); }), 0.95)
          << rate << " seed " << seed;
  // As each would ask alone, discovery works for nobody for as long as one looks.
  EXPECT_LE(served_in(100, 12.5, 40s, [](auto n) { return CallPause(1, n); }), 0.5);
}

// A list that is pushed counts as told 6 s after its watch fell silent, which is seen 4.5 s after its last line: no time to be spread over a fleet.
TEST(CallPause, AfterSilenceAPushedListIsAskedForAtOnceWhateverTheFleet) {
  for (std::uint64_t seed = 1; seed < 100; ++seed) {
    CallPause pushed(300, seed, true), asked(300, seed, false);
    EXPECT_LE(pushed.after_silence(true), 100ms);
    EXPECT_LE(pushed.after_silence(false), 100ms);  // also where the new watch stays silent
    EXPECT_GE(pushed.after_failure(), 1s);          // who is turned away waits as before
    EXPECT_GE(asked.after_silence(false), 1s);
  }
}

TEST(CallPause, AloneANodeAsksSoonAgain) {
  CallPause p(3, 1);
  EXPECT_EQ(p.after_end(), facts::kFirstBackoff);
  EXPECT_EQ(p.after_failure(), 2 * facts::kFirstBackoff);
  for (int i = 0; i < 9; ++i) p.after_failure();
  EXPECT_EQ(p.after_failure(), facts::kLongestBackoff);
  p.worked();
  EXPECT_EQ(p.after_failure(), facts::kFirstBackoff);
}

}  // namespace
}  // namespace snowknot::test
