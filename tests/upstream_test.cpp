// Attempts over loopback sockets: every row of the protocol's table of outcomes, and the pools.
#include "upstream.hpp"

#include "peers.hpp"

namespace snowknot::test {
namespace {

struct UpstreamTest : ::testing::Test, Upstream::Owner {
  struct End {
    Errand errand;
    Outcome outcome;
    Answer answer;
    std::size_t connections;  // still held when the outcome was told
  };

  bool still_wanted(RequestId) const override { return wanted; }
  void attempt_ended(const Errand& e, Outcome o, Answer a) override {
    ends.push_back({e, o, std::move(a), upstream.size()});
  }
  bool answer_begins(const Errand&, const LongHead&, std::shared_ptr<AnswerSource> s) override {
    source = std::move(s);
    source->want();
    return true;
  }
  void answer_piece(const Errand&, std::string_view bytes, bool last) override {
    relayed += bytes.size();
    if (!last) source->want();
  }
  void probe_ended(const Errand& e, Outcome o) override { ends.push_back({e, o, {}, upstream.size()}); }

  void send(Duration timeout = 10s, std::string body = "", ServerId server = ServerId(1)) {
    auto m = std::make_shared<ClientRequest>();
    m->method = body.empty() ? http::verb::get : http::verb::post;
    m->target = "/read?x=1";
    m->id = "r" + std::to_string(++sent);
    m->body = std::move(body);
    const auto now = timers.now();
    upstream.send({RequestId(sent), 0, server, now, now + timeout, m});
  }
  // The one outcome of one attempt at a server that answers as the script says.
  End outcome(const std::function<void(Wire&)>& script, Duration timeout = 10s) {
    Peer server(loop.io, script);
    upstream.update(ServerId(1), server.at(), true);
    send(timeout);
    EXPECT_TRUE(loop.until([&] { return !ends.empty(); }));
    EXPECT_EQ(ends.size(), 1u);
    return ends.empty() ? End{} : ends.front();
  }
  static std::function<void(Wire&)> answers(std::string text) {
    return [text](Wire& w) {
      if (!w.message().empty()) w.send(text);
    };
  }

  Loop loop;
  Clock clock;
  Timers timers{loop.io, clock};
  std::vector<End> ends;
  std::shared_ptr<AnswerSource> source;  // of the last long answer
  std::size_t relayed = 0;               // bytes of it
  bool wanted = true;
  std::uint64_t sent = 0;
  Upstream upstream{loop.io, timers, 250ms, 30s, 4, *this};
};

// Whose answer was passed on has nothing to do any more with the connection, which is another's by now.
TEST_F(UpstreamTest, ATakerThatGoesAfterTheLastPieceIsNobodyElsesMatter) {
  upstream.pass_on_long_answers();
  bool answering = true;
  std::shared_ptr<Wire> at;
  Peer server(loop.io, [&](Wire& w) {
    if (w.message().empty()) return;
    at = w.shared_from_this();
    if (answering) w.send(http_answer("200 OK", std::string(100'000, 'x')));
  });
  upstream.update(ServerId(1), server.at(), true);
  send();
  ASSERT_TRUE(loop.until([&] { return ends.size() == 1; }));
  EXPECT_EQ(relayed, 100'000u);
  answering = false, at.reset();
  send();
  ASSERT_TRUE(loop.until([&] { return at != nullptr; }));
  EXPECT_EQ(server.wires.size(), 1u);  // on the same connection
  source->drop();
  at->send(http_answer("200 OK", "second"));
  ASSERT_TRUE(loop.until([&] { return ends.size() == 2; }));
  EXPECT_EQ(ends[1].outcome, Outcome::ok);
}

TEST_F(UpstreamTest, OkCarriesTheBodyUnchanged) {
  const std::string body("\0\r\n\xff longish", 12);
  const auto e = outcome(answers(http_answer("200 OK", body)));
  EXPECT_EQ(e.outcome, Outcome::ok);
  EXPECT_EQ(e.answer.body, body);
}
TEST_F(UpstreamTest, InterimAnswerIsPassedOver) {
  EXPECT_EQ(outcome(answers("HTTP/1.1 102 Processing\r\n\r\n" + http_answer("200 OK", "x"))).outcome,
            Outcome::ok);
}
TEST_F(UpstreamTest, ErrorMayHaveRun) {
  EXPECT_EQ(outcome(answers(http_answer("500 Internal Server Error"))).outcome, Outcome::error);
}
TEST_F(UpstreamTest, TurnedAwayNeverRan) {
  EXPECT_EQ(outcome(answers(http_answer("503 Service Unavailable", "", "X-Not-Processed: 1\r\n"))).outcome,
            Outcome::full);
}
TEST_F(UpstreamTest, TurnedAwayWithGatewayTimeoutNeverRan) {
  EXPECT_EQ(outcome(answers(http_answer("504 Gateway Timeout", "", "X-Not-Processed: 1\r\n"))).outcome,
            Outcome::full);
}
// Guards against taking any 503 for a proof that nothing ran.
TEST_F(UpstreamTest, PlainUnavailableMayHaveRun) {
  EXPECT_EQ(outcome(answers(http_answer("503 Service Unavailable"))).outcome, Outcome::error);
}
TEST_F(UpstreamTest, NotProcessedOnAnotherStatusMayHaveRun) {
  EXPECT_EQ(outcome(answers(http_answer("500 Oops", "", "X-Not-Processed: 1\r\n"))).outcome, Outcome::error);
}
TEST_F(UpstreamTest, RefusedConnectionIsConnectFailed) {
  {
    Peer gone(loop.io);
    upstream.update(ServerId(1), gone.at(), true);
  }
  send();
  ASSERT_TRUE(loop.until([&] { return !ends.empty(); }));
  EXPECT_EQ(ends[0].outcome, Outcome::connect_failed);
  EXPECT_EQ(upstream.size(), 0u);
}
// A machine that vanished: nothing refuses, nothing answers. The connect has its own limit.
TEST_F(UpstreamTest, ConnectionThatNeverComesUpIsConnectFailed) {
  Peer silent(loop.io, {}, false);
  std::vector<std::shared_ptr<Socket>> fill;
  for (int i = 0; i < 3; ++i) {
    fill.push_back(std::make_shared<Socket>(loop.io.get_executor()));
    fill.back()->async_connect(silent.at(), [](const error_code&) {});
  }
  upstream.update(ServerId(1), silent.at(), true);
  send();
  ASSERT_TRUE(loop.until([&] { return !ends.empty(); }));
  EXPECT_EQ(ends[0].outcome, Outcome::connect_failed);
  EXPECT_EQ(upstream.size(), 0u);
}
TEST_F(UpstreamTest, BrokenBeforeTheLastByteIsConnectFailed) {
  Peer server(loop.io, [](Wire& w) { w.reset(); });  // as soon as a part has come
  upstream.update(ServerId(1), server.at(), true);
  send(10s, std::string(64UL << 20U, 'x'));  // far more than the sockets' buffers hold
  ASSERT_TRUE(loop.until([&] { return !ends.empty(); }));
  EXPECT_EQ(ends[0].outcome, Outcome::connect_failed);
}
TEST_F(UpstreamTest, BrokenAfterTheLastByteIsReset) {
  EXPECT_EQ(outcome([](Wire& w) {
              if (!w.message().empty()) w.reset();
            }).outcome,
            Outcome::reset);
}
TEST_F(UpstreamTest, EndedInsideTheAnswerIsReset) {
  EXPECT_EQ(outcome([](Wire& w) {
              if (w.message().empty()) return;
              w.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
              error_code ignored;
              w.socket.shutdown(Socket::shutdown_send, ignored);
            }).outcome,
            Outcome::reset);
}
TEST_F(UpstreamTest, WhatIsNoHttpIsReset) {
  EXPECT_EQ(outcome(answers("rubbish\r\n\r\n")).outcome, Outcome::reset);
}
TEST_F(UpstreamTest, TooLargeAnAnswerIsReset) {
  EXPECT_EQ(outcome(answers(http_answer("200 OK", std::string(65537, 'x')))).outcome, Outcome::reset);
}
TEST_F(UpstreamTest, LargestAnswerPasses) {
  EXPECT_EQ(outcome(answers(http_answer("200 OK", std::string(65536, 'x')))).answer.body.size(), 65536u);
}
// The connection is closed before the module is told, so that a further attempt is never a second copy.
TEST_F(UpstreamTest, TimeoutClosesTheConnectionFirst) {
  const auto e = outcome([](Wire&) {}, 30ms);
  EXPECT_EQ(e.outcome, Outcome::timeout);
  EXPECT_EQ(e.connections, 0u);
}
TEST_F(UpstreamTest, CancelClosesTheConnectionAndIsToldOnce) {
  Peer server(loop.io);
  upstream.update(ServerId(1), server.at(), true);
  send();
  ASSERT_TRUE(loop.until([&] { return !server.wires.empty() && !server.wires[0]->in.empty(); }));
  upstream.cancel(RequestId(1), 0);
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(ends[0].outcome, Outcome::cancelled);
  ASSERT_TRUE(loop.until([&] { return server.wires[0]->ended; }));
  upstream.cancel(RequestId(1), 0);
  EXPECT_EQ(ends.size(), 1u);
}
// A late answer must never be taken for that of the next request.
TEST_F(UpstreamTest, LateAnswerReachesNobody) {
  int asked = 0;
  std::shared_ptr<Wire> first;
  Peer server(loop.io, [&](Wire& w) {
    if (w.message().empty()) return;
    if (++asked == 1) {
      first = w.shared_from_this();
      return;
    }
    first->send(http_answer("200 OK", "late"));
    w.send(http_answer("200 OK", "own"));
  });
  upstream.update(ServerId(1), server.at(), true);
  send(30ms);
  ASSERT_TRUE(loop.until([&] { return ends.size() == 1; }));
  send();
  ASSERT_TRUE(loop.until([&] { return ends.size() == 2; }));
  EXPECT_EQ(ends[1].answer.body, "own");
}
// ---- Spoilt answers: the request has run, the connection is of no more use, and nothing doubtful is served ---

TEST_F(UpstreamTest, SpoiltAnswersAreResets) {
  const std::vector<std::string> spoilt{
      "\x9b!A\xc4\n\xe9\r\n\r\n", "ICY 200 OK\r\nContent-Length: 1\r\n\r\nx",
      "HTTP/1.1 OK 200\r\nContent-Length: 1\r\n\r\nx", "HTTP/1.1 2x0 OK\r\nContent-Length: 1\r\n\r\nx",
      "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 1\r\n\r\nx",
      "HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 1\r\n\r\nx",
      "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 3\r\n\r\nxyz",
      "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + std::string(70000, 'x'),
      "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n",
      "HTTP/1.1 200 OK\r\n" + std::string(9000, 'p'),
      // Shorter than the body: what follows is the rest of it, or could be.
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcdef",
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc\x01\xff\r\n\r\n"};
  for (const auto& text : spoilt) {
    ends.clear();
    EXPECT_EQ(outcome(answers(text)).outcome, Outcome::reset) << text.substr(0, 80);
    EXPECT_EQ(upstream.size(), 0u) << text.substr(0, 80);
  }
  std::string interim;
  for (int i = 0; i < 1000; ++i) interim += "HTTP/1.1 102 Processing\r\n\r\n";
  ends.clear();
  EXPECT_EQ(outcome(answers(interim)).outcome, Outcome::reset);
}
// An answer that ends with its connection may have been cut off anywhere.
TEST_F(UpstreamTest, AnswerWithoutALengthIsNotServed) {
  EXPECT_EQ(outcome([](Wire& w) {
              if (w.message().empty()) return;
              w.send("HTTP/1.1 200 OK\r\n\r\nhalf of it");
              error_code ignored;
              w.socket.shutdown(Socket::shutdown_send, ignored);
            }).outcome,
            Outcome::reset);
}
// A figure for others that can't be read does not spoil an answer.
TEST_F(UpstreamTest, UnreadableReportsArePassedOver) {
  for (const std::string report :
       {"X-Server-Load: {\"", "X-Server-Load: TEXT ?", "X-Quota-Used: =,=", "X-Server-Load: %%%"}) {
    ends.clear();
    EXPECT_EQ(outcome(answers(http_answer("200 OK", "x", report + "\r\n"))).outcome, Outcome::ok) << report;
  }
}
// A second copy behind a good answer: the answer counts, and the connection is not used again.
TEST_F(UpstreamTest, SecondCopyBehindAnAnswerEndsTheConnection) {
  const auto e = outcome(answers(http_answer("200 OK", "own") + http_answer("200 OK", "own")));
  EXPECT_EQ(e.outcome, Outcome::ok);
  EXPECT_EQ(e.answer.body, "own");
  EXPECT_EQ(e.connections, 0u);
}
// It may come when the connection idles already, and lie in the socket when the next request takes it.
TEST_F(UpstreamTest, WhatLiesInAnIdleConnectionIsNoAnswer) {
  Peer server(loop.io, answers(http_answer("200 OK", "own")));
  upstream.update(ServerId(1), server.at(), true);
  send();
  ASSERT_TRUE(loop.until([&] { return ends.size() == 1; }));
  const auto stray = http_answer("200 OK", "stray");
  server.wires[0]->socket.send(asio::buffer(stray));  // at once, past the loop
  send();
  ASSERT_TRUE(loop.until([&] { return ends.size() == 2; }));
  EXPECT_EQ(ends[1].outcome, Outcome::ok);
  EXPECT_EQ(ends[1].answer.body, "own");
  EXPECT_EQ(server.wires.size(), 2u);
}
// A whole answer before the request's last byte answers something else; the request has not run.
TEST_F(UpstreamTest, AnswerBeforeTheRequestIsWholeIsNotServed) {
  Peer server(loop.io, [](Wire& w) {
    if (!std::exchange(w.came, {})) return;
    w.send(http_answer("200 OK", "early"));
  });
  upstream.update(ServerId(1), server.at(), true);
  send(10s, std::string(64UL << 20U, 'x'));
  ASSERT_TRUE(loop.until([&] { return !ends.empty(); }));
  EXPECT_EQ(ends[0].outcome, Outcome::connect_failed);
}

// A server that drops what it kept open without a word: after some that broke, new connections are used.
TEST_F(UpstreamTest, ConnectionsThatBreakWhenUsedAgainAreNotUsedAgain) {
  std::vector<Wire*> used;
  Peer server(loop.io, [&](Wire& w) {
    if (w.message().empty()) return;
    if (std::ranges::count(used, &w) > 0) return w.reset();
    used.push_back(&w);
    w.send(http_answer("200 OK", "x"));
  });
  upstream.update(ServerId(1), server.at(), true);
  std::size_t broke = 0;
  for (std::size_t i = 1; i <= 60; ++i) {
    send(10s, "body");
    ASSERT_TRUE(loop.until([&] { return ends.size() == i; }));
    broke += ends.back().outcome != Outcome::ok;
  }
  EXPECT_GT(broke, 0u);
  EXPECT_LT(broke, 10u);  // every other one without the record
}
TEST(ReuseRecord, LongIdleIsAvoidedOnlyIfItBreaksMoreOften) {
  ReuseRecord r;
  const Time now{1h};
  for (int i = 0; i < 20; ++i) {
    r.learn(now, 1ms, i == 0), r.learn(now, 60ms, i == 0);  // breaks that have other causes
    r.learn(now, 500ms, i % 3 == 0);
  }
  EXPECT_TRUE(r.trusts(now, 1ms, false));
  EXPECT_TRUE(r.trusts(now, 60ms, false));
  EXPECT_FALSE(r.trusts(now, 500ms, true));
  EXPECT_TRUE(r.trusts(now, 10s, false));         // nothing is known of it
  EXPECT_TRUE(r.trusts(now + 60s, 500ms, true));  // and in the end it is tried again
}

TEST_F(UpstreamTest, ConnectionsAreUsedAgain) {
  Peer server(loop.io, answers(http_answer("200 OK", "x")));
  upstream.update(ServerId(1), server.at(), true);
  for (std::size_t i = 1; i <= 5; ++i) {
    send();
    ASSERT_TRUE(loop.until([&] { return ends.size() == i; }));
  }
  EXPECT_EQ(server.wires.size(), 1u);
}
// A read stays pending on idle connections: one that the server closed is never written to.
TEST_F(UpstreamTest, CloseOfAnIdleConnectionIsSeen) {
  Peer server(loop.io, answers(http_answer("200 OK", "x")));
  upstream.update(ServerId(1), server.at(), true);
  send();
  ASSERT_TRUE(loop.until([&] { return ends.size() == 1; }));
  server.wires[0]->close();
  ASSERT_TRUE(loop.until([&] { return upstream.size() == 0; }));
  send();
  ASSERT_TRUE(loop.until([&] { return ends.size() == 2; }));
  EXPECT_EQ(ends[1].outcome, Outcome::ok);
  EXPECT_EQ(server.wires.size(), 2u);
}
TEST_F(UpstreamTest, AnswerThatEndsItsConnectionIsServed) {
  const auto e = outcome(answers(http_answer("200 OK", "x", "Connection: close\r\n")));
  EXPECT_EQ(e.outcome, Outcome::ok);
  EXPECT_EQ(e.connections, 0u);
}
TEST_F(UpstreamTest, DrainingServerLosesIdleConnectionsAndGetsNothing) {
  Peer server(loop.io, answers(http_answer("200 OK", "x")));
  upstream.update(ServerId(1), server.at(), true);
  send();
  ASSERT_TRUE(loop.until([&] { return ends.size() == 1; }));
  upstream.update(ServerId(1), server.at(), false);
  EXPECT_EQ(upstream.size(), 0u);
  send();
  ASSERT_EQ(ends.size(), 2u);
  EXPECT_EQ(ends[1].outcome, Outcome::never_sent);
}
// Connections take time to come up: what was right when the module chose may be wrong at the first byte.
struct DuringConnect : UpstreamTest {
  void connect_slowly(Duration timeout = 10s) {
    fill.push_back(loop.connect(silent.at()));  // the accept queue is full now: the next connect has to wait
    fill.push_back(std::make_shared<Wire>(Socket(loop.io.get_executor())));
    fill.back()->socket.async_connect(silent.at(), [](const error_code&) {});
    patient.update(ServerId(1), silent.at(), true);
    auto m = std::make_shared<ClientRequest>();
    m->method = http::verb::get, m->target = "/read", m->id = "r1";
    patient.send({RequestId(1), 0, ServerId(1), timers.now(), timers.now() + timeout, m});
    loop.io.poll();
    EXPECT_TRUE(ends.empty());
  }
  void let_up() {
    silent.accept();  // the connect is tried again by the system after a second
    ASSERT_TRUE(loop.until([&] { return !ends.empty(); }));
    EXPECT_EQ(ends[0].outcome, Outcome::never_sent);
    for (const auto& w : silent.wires) EXPECT_EQ(w->in, "");
  }
  Peer silent{loop.io, {}, false};
  std::vector<std::shared_ptr<Wire>> fill;
  Upstream patient{loop.io, timers, 20s, 30s, 4, *this};
};
TEST_F(DuringConnect, DrainStopsTheSend) {
  connect_slowly();
  patient.update(ServerId(1), silent.at(), false);
  let_up();
}
TEST_F(DuringConnect, ClientThatWentStopsTheSend) {
  connect_slowly();
  wanted = false;
  let_up();
}
TEST_F(DuringConnect, ServerThatLeftTheListStopsTheSend) {
  connect_slowly();
  patient.retain({});
  let_up();
}
TEST_F(UpstreamTest, NoMoreConnectionsThanAllowed) {
  Peer server(loop.io);
  upstream.update(ServerId(1), server.at(), true);
  for (int i = 0; i < 5; ++i) send();
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(ends[0].outcome, Outcome::never_sent);  // and so free to go elsewhere, or to be refused
  EXPECT_EQ(upstream.size(), 4u);
}
TEST_F(UpstreamTest, IdleConnectionElsewhereMakesRoom) {
  Peer one(loop.io, answers(http_answer("200 OK"))), two(loop.io);
  upstream.update(ServerId(1), one.at(), true);
  upstream.update(ServerId(2), two.at(), true);
  send();
  ASSERT_TRUE(loop.until([&] { return ends.size() == 1; }));
  for (int i = 0; i < 4; ++i) send(10s, "", ServerId(2));
  EXPECT_EQ(ends.size(), 1u);
  EXPECT_EQ(upstream.size(), 4u);
}
TEST_F(UpstreamTest, ProbeAsksForHealth) {
  std::string asked;
  Peer server(loop.io, [&](Wire& w) {
    asked = w.message();
    w.send(http_answer("200 OK"));
  });
  upstream.update(ServerId(1), server.at(), true);
  upstream.probe(ServerId(1));
  ASSERT_TRUE(loop.until([&] { return ends.size() == 1; }));
  EXPECT_EQ(ends[0].outcome, Outcome::ok);
  EXPECT_TRUE(asked.starts_with("GET /-/healthy HTTP/1.1\r\n"));
}
TEST_F(UpstreamTest, UnknownServerIsNeverSent) {
  send();
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(ends[0].outcome, Outcome::never_sent);
}

}  // namespace
}  // namespace snowknot::test
