// The real program as a process: its configuration, its signals, its descriptors.
#include "process_fixture.hpp"

namespace snowknot::test {
namespace {

TEST_F(ProcessTest, ServesAndEndsOnTermWhenNothingIsOpen) {
  run();
  ASSERT_TRUE(up());
  const auto w = loop.connect(listen);
  w->send(ask());
  EXPECT_TRUE(served(w));
  kill(child, SIGTERM);
  EXPECT_EQ(exit_status(), 0);
  EXPECT_TRUE(loop.until([&] { return w->ended; }));
}
// A planned restart loses nothing: what is out gets its answer, and new connections are still served.
TEST_F(ProcessTest, TermLetsOpenRequestsFinishAndTakesNewOnes) {
  run();
  ASSERT_TRUE(up());
  answers = false;
  const auto w = loop.connect(listen), idle = loop.connect(listen);
  w->send(ask());
  ASSERT_TRUE(loop.until([&] { return held != nullptr; }));
  kill(child, SIGTERM);
  ASSERT_TRUE(loop.until([&] { return idle->ended; }));  // closed between requests
  answers = true;
  const auto late = loop.connect(listen);
  late->send(ask("a2"));
  EXPECT_TRUE(served(late));
  EXPECT_TRUE(loop.until([&] { return late->ended; }));  // it has been told to come no more
  held->send(http_answer("200 OK", "served"));
  EXPECT_TRUE(served(w));
  EXPECT_EQ(exit_status(), 0);
}
// The platform kills 0.7 s after the longest deadline, which it counts as 3 s at most: what is open by then under a
// longer one has its answer before, and the process has ended.
TEST_F(ProcessTest, TermAnswersWhatWouldOutliveTheProcess) {
  config["settings"]["grades"][0]["hard-limit-ns"] = 60'000'000'000;
  run();
  ASSERT_TRUE(up());
  answers = false;
  const auto w = loop.connect(listen);
  auto request = ask();
  request.replace(request.find("2000"), 4, "60000");
  w->send(request);
  ASSERT_TRUE(loop.until([&] { return held != nullptr; }));
  kill(child, SIGTERM);
  ASSERT_TRUE(loop.until([&] { return w->in.find("\r\n\r\n") != std::string::npos || w->ended; }));
  EXPECT_TRUE(w->message().starts_with("HTTP/1.1 502 ")) << w->in;
  EXPECT_TRUE(loop.until([&] { return held->ended; }));  // the attempt is given up
  EXPECT_EQ(exit_status(), 0);
}
// More connections than the process has descriptors for, against what it was told: it goes on serving.
TEST_F(ProcessTest, SurvivesALackOfDescriptors) {
  run(40);
  ASSERT_TRUE(up());
  std::vector<std::shared_ptr<Wire>> many;
  for (int i = 0; i < 80; ++i) many.push_back(loop.connect(listen));
  ASSERT_TRUE(loop.until([&] { return std::ranges::any_of(many, [](const auto& w) { return w->ended; }); }));
  for (const auto& w : many) w->close();
  EXPECT_TRUE(up());
  const auto w = loop.connect(listen);
  w->send(ask());
  EXPECT_TRUE(served(w));
}

// A new configuration under load: discovery and the counter move, and nothing else notices.
struct Reload : ProcessTest {
  // Two peers of the same kinds at other addresses; what comes to them is kept.
  std::vector<std::string> calls;
  std::string watched;
  Peer new_counter{loop.io, [this](Wire& w) {
                     for (auto l = w.line(); !l.empty(); l = w.line()) {
                       if (l != "ping") calls.push_back(l);
                       w.send(l == "ping" ? "pong\r\n" : "ok 1\r\n");
                     }
                   }};
  Peer new_agent{loop.io, [this](Wire& w) { watched += w.message(); }};

  void move() {
    config["discovery"] = new_agent.text(), config["counter"] = new_counter.text();
    write_config();
    hang_up();
  }
  bool asks_new_counter() {
    const auto w = loop.connect(listen);
    w->send(ask());
    return served(w) && !calls.empty();
  }
};
TEST_F(Reload, HangUpMovesDiscoveryAndCounter) {
  run();
  ASSERT_TRUE(up());
  answers = false;
  const auto w = loop.connect(listen);
  w->send(ask());
  ASSERT_TRUE(loop.until([&] { return held != nullptr; }));
  move();
  ASSERT_TRUE(loop.until([&] { return !watched.empty(); }));
  EXPECT_TRUE(watched.starts_with("GET /api/targets?watch=1&from=1 "));
  counter.stop(), agent.stop();
  held->send(http_answer("200 OK", "served"));
  EXPECT_TRUE(served(w));  // the connection and what was out on it are untouched
  answers = true;
  EXPECT_TRUE(loop.until([&] { return asks_new_counter(); }));
}
TEST_F(Reload, SecondHangUpMovesOnBeforeTheFirstIsDone) {
  run();
  ASSERT_TRUE(up());
  Peer nowhere(loop.io, {}, false);
  config["discovery"] = nowhere.text(), config["counter"] = nowhere.text();
  write_config();
  hang_up();
  ASSERT_TRUE(loop.until([&] { return log().find("read anew") != std::string::npos; }));
  move();
  ASSERT_TRUE(loop.until([&] { return !watched.empty(); }));
  EXPECT_TRUE(loop.until([&] { return asks_new_counter(); }));
}
TEST_F(Reload, ConfigurationThatCantBeReadIsPassedOver) {
  run();
  ASSERT_TRUE(up());
  std::ofstream(dir / "config.json") << "{\"name\":";
  hang_up();
  ASSERT_TRUE(loop.until([&] { return log().find("passed over") != std::string::npos; }));
  const auto good = config;
  config["discovery"] = "here";
  write_config();
  hang_up();
  ASSERT_TRUE(loop.until([&] { return log().find("'discovery'") != std::string::npos; }));
  auto w = loop.connect(listen);
  w->send(ask());
  EXPECT_TRUE(served(w));
  config = good;
  move();
  EXPECT_TRUE(loop.until([&] { return asks_new_counter(); }));
}

// Bad configuration: one line that names the field, and an exit that is not 0.
struct BadConfig : ProcessTest {
  void expect_named(const std::string& field) {
    run();
    EXPECT_GT(exit_status(), 0);
    EXPECT_NE(log().find(field), std::string::npos) << log();
    EXPECT_EQ(std::ranges::count(log(), '\n'), 1) << log();
  }
};
TEST_F(BadConfig, NoListenAddress) { config.erase("listen"), expect_named("'listen'"); }
TEST_F(BadConfig, ListenIsNoAddress) { config["listen"] = "here", expect_named("'listen'"); }
TEST_F(BadConfig, NoCounter) { config.erase("counter"), expect_named("'counter'"); }
TEST_F(BadConfig, SeedIsNoHex) { config["seed"] = "seed", expect_named("'seed'"); }
TEST_F(BadConfig, NoSockets) { config["limits"].erase("sockets"), expect_named("'sockets'"); }
TEST_F(BadConfig, ASettingOfTheWrongKind) {
  config["settings"]["fleet-size"] = "two", expect_named("'fleet-size'");
}
TEST_F(BadConfig, ASettingThatMakesNoSense) {
  config["settings"]["index"] = 7, expect_named("fleet_size or index");
}
TEST_F(BadConfig, KnownIsNoList) { config["known"] = 5, expect_named("'known'"); }
TEST_F(BadConfig, AddressIsTaken) { config["listen"] = agent.text(), expect_named("'listen'"); }

}  // namespace
}  // namespace snowknot::test
