// The operators' door, the drain and the replacement of the process, on the real program among scripted peers.
#include "admin/door.hpp"
#include "operators_fixture.hpp"

namespace snowknot::test {
namespace {

using docklift::admin::asked;
using docklift::admin::Call;

TEST(Door, KnowsItsCalls) {
  EXPECT_EQ(asked("GET", "/_ready").status, 0);
  EXPECT_EQ(asked("POST", "/_lameduck/off").call, Call::resume);
  EXPECT_EQ(asked("GET", "/_vars?x=1").call, Call::figures);
  EXPECT_EQ(asked("GET", "/_lameduck/on").status, 405);
  EXPECT_EQ(asked("POST", "/_vars").status, 405);
  EXPECT_EQ(asked("GET", "/").status, 404);
}
TEST(Door, FiguresStandOneALine) {
  docklift::admin::Figures f;
  f.classes = {{"read", 3, 2, 1}};
  f.sends = 4, f.current = 5, f.cluster_size = 6, f.cluster_unhealthy = 7;
  EXPECT_EQ(shown(f),
            "app.answered.read=3\napp.deferred.read=2\napp.errored.read=1\napp.sends=4\napp.current=5\n"
            "app.cluster_size=6\napp.cluster_unhealthy=7\n");
}

TEST_F(OperatorsTest, FiguresCountWhatBecameOfRequests) {
  run();
  ASSERT_TRUE(ready());
  const auto w = loop.connect(listen);
  for (const auto* id : {"a1", "a2"}) {
    w->send(ask(id));
    ASSERT_TRUE(served(w));
  }
  auto wrong = ask("a3");
  wrong.replace(wrong.find("units=1"), 7, "units=x");
  w->send(wrong);
  ASSERT_TRUE(loop.until([&] { return !w->message().empty(); }));
  ASSERT_TRUE(loop.until([&] { return figure("app.errored.read=1"); }));
  EXPECT_NE(said.find("app.answered.read=2\n"), std::string::npos) << said;
  EXPECT_NE(said.find("\napp.sends=2\n"), std::string::npos);
  EXPECT_NE(said.find("\napp.cluster_size=1\napp.cluster_unhealthy=0\n"), std::string::npos);
  answers = false;
  w->send(ask("a4"));
  ASSERT_TRUE(loop.until([&] { return held != nullptr; }));
  EXPECT_TRUE(figure("app.current=1")) << said;
}
TEST_F(OperatorsTest, WhatIsNoCallIsAnsweredNo) {
  run();
  ASSERT_TRUE(ready());
  EXPECT_EQ(call("GET /_nothing"), 404);
  EXPECT_EQ(call("GET /_lameduck/on"), 405);
  EXPECT_EQ(call("NONSENSE"), 400);
  EXPECT_EQ(call("GET /" + std::string(10'000, 'x')), 431);
  EXPECT_EQ(front(), 200);
}
// Who connects and finishes no call holds up nobody, however many there are.
TEST_F(OperatorsTest, CallersThatFinishNothingAreInNobodysWay) {
  run();
  ASSERT_TRUE(ready());
  std::vector<std::shared_ptr<Wire>> slow;
  for (int i = 0; i < 40; ++i) {
    slow.push_back(loop.connect(door));
    slow.back()->send("GET /_re");
  }
  EXPECT_EQ(call("GET /_ready"), 200);
  EXPECT_TRUE(loop.until([&] { return slow.front()->ended; }));  // the oldest made room
}
// No new clients, no kept connections, but all that comes is served; and back.
TEST_F(OperatorsTest, DrainEndsConnectionsAndCanBeEnded) {
  run();
  ASSERT_TRUE(ready());
  const auto idle = loop.connect(listen), used = loop.connect(listen);
  used->send(ask("a1"));
  ASSERT_TRUE(served(used));
  EXPECT_EQ(call("POST /_lameduck/on"), 200);
  EXPECT_EQ(front(), 503);
  used->send(ask("a2"));  // the connection is still there, and is told that it ends
  ASSERT_TRUE(loop.until([&] { return used->ended; }));
  EXPECT_NE(used->in.find("Connection: close"), std::string::npos) << used->in;
  EXPECT_TRUE(used->in.starts_with("HTTP/1.1 200 "));
  const auto late = loop.connect(listen);
  late->send(ask("a3"));
  EXPECT_TRUE(served(late));
  ASSERT_TRUE(loop.until([&] { return idle->ended; }, 4s));
  EXPECT_EQ(call("POST /_lameduck/off"), 200);
  EXPECT_EQ(front(), 200);
  const auto kept = loop.connect(listen);
  for (const auto* id : {"a4", "a5"}) {
    kept->send(ask(id));
    EXPECT_TRUE(served(kept));
  }
}

TEST_F(OperatorsTest, ASecondProcessServesOnWithoutALostConnection) {
  run();
  ASSERT_TRUE(ready());
  const auto kept = loop.connect(listen), half = loop.connect(listen), out = loop.connect(listen);
  kept->send(ask("a1"));
  ASSERT_TRUE(served(kept));
  const auto text = ask("a2");
  half->send(text.substr(0, 60));
  ASSERT_EQ(front(), 200);  // by now that has been read
  answers = false;
  out->send(ask("a3"));
  ASSERT_TRUE(loop.until([&] { return held != nullptr; }));
  run_second();
  ASSERT_TRUE(ready());
  answers = true;
  const auto fresh = loop.connect(listen);
  fresh->send(ask("a4"));
  EXPECT_TRUE(served(fresh));
  kill(first, SIGTERM);
  kept->send(ask("a5"));
  EXPECT_TRUE(served(kept)) << kept->in;
  half->send(text.substr(60));
  EXPECT_TRUE(served(half)) << half->in;
  held->send(http_answer("200 OK", "served"));
  EXPECT_TRUE(served(out));
  EXPECT_EQ(end_first(), 0);
  for (const auto& w : {kept, half, out, fresh}) {
    w->send(ask("b" + std::to_string(w->socket.native_handle())));
    EXPECT_TRUE(served(w)) << w->in;
  }
  EXPECT_EQ(call("GET /_ready"), 200);
}
// Guards against a signal that comes after the handlers are destroyed: it killed the process, with its exit code lost.
TEST_F(OperatorsTest, SignalsWhileItEndsDoNotKillIt) {
  for (int round = 0; round < 5; ++round) {
    run();
    ASSERT_TRUE(ready());
    EXPECT_EQ(exit_status_under_repeated_signals(), 0);
  }
}
TEST_F(OperatorsTest, TheFirstServesOnWhereTheSecondEnds) {
  run();
  ASSERT_TRUE(ready());
  run_second();
  ASSERT_TRUE(ready());
  kill(child, SIGKILL);
  EXPECT_EQ(exit_status(), -2);
  const auto w = loop.connect(listen);
  w->send(ask());
  EXPECT_TRUE(served(w));
}
TEST_F(OperatorsTest, AThirdFollowsTheSecond) {
  run();
  ASSERT_TRUE(ready());
  const auto w = loop.connect(listen);
  for (int i = 0; i < 2; ++i) {
    run_second();
    ASSERT_TRUE(ready());
    EXPECT_EQ(end_first(), 0);
    w->send(ask("a" + std::to_string(i)));
    EXPECT_TRUE(served(w));
  }
}

}  // namespace
}  // namespace snowknot::test
