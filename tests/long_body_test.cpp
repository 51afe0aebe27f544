// Long answers and long requests through the real program, by the platform's configuration alone.
#include "operators_fixture.hpp"

namespace snowknot::test {
namespace {

constexpr std::size_t kLong = 3'000'000;

std::string text_of(std::size_t n) {
  std::string t(n, ' ');
  for (std::size_t i = 0; i < n; ++i) t[i] = static_cast<char>('a' + (i * i + i / 7) % 26);
  return t;
}

struct LongBodyTest : OperatorsTest {
  LongBodyTest() {
    auto& grades = config["settings"]["grades"];
    auto write = grades[0];
    write["name"] = "write", write["idempotency"] = "unsafe";
    grades.push_back(write);
  }
  // What servers do with a request that has come whole; its head and body are given.
  std::function<void(Wire&, const std::string&)> respond = [](Wire& w, const std::string&) { w.send(http_answer("200 OK", "served")); };
  std::string head, body;  // of the request that came last
  Peer long_server{loop.io, [this](Wire& w) { came(w); }};

  void came(Wire& w) {
    const auto end = w.in.find("\r\n\r\n");
    if (end == std::string::npos) return;
    const auto h = w.in.substr(0, end + 4);
    std::size_t length = 0;
    const bool chunked = h.find("chunked") != std::string::npos;
    if (const auto at = h.find("Content-Length: "); at != std::string::npos) length = std::stoul(h.substr(at + 16));
    if (chunked && !w.in.ends_with("0\r\n\r\n")) return;
    if (!chunked && w.in.size() < h.size() + length) return;
    head = h, body = w.in.substr(h.size());
    w.in.clear();
    respond(w, head);
  }
  void start() {
    config["known"]["members"][0]["host_port"] = long_server.text();
    run();
    ASSERT_TRUE(ready());
  }
  std::shared_ptr<Wire> asked(const std::string& id = "a1") {
    const auto w = loop.connect(listen);
    w->send(ask(id));
    return w;
  }
  // A client that has got the first part of a long answer; `held` is its server.
  std::shared_ptr<Wire> client_of_half_an_answer() {
    respond = [this](Wire& w, const std::string&) {
      held = w.shared_from_this();
      w.send("HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n" + text_of(100'000));
    };
    start();
    const auto w = asked();
    EXPECT_TRUE(loop.until([&] { return w->in.size() > 100'000; }));
    return w;
  }
  static std::string post(const std::string& framing, const std::string& id = "u1", const std::string& timeout = "2000") {
    return "POST /write HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: " + id +
           "\r\nX-Priority-Class: write\r\nX-Plan: p\r\nCookie: client=0000000000000007\r\nX-Timeout-Ms: " + timeout +
           "\r\nX-Quota: units=1,spread=2,first=0\r\n" + framing + "\r\n";
  }
  bool pass(Duration time) {  // lets it pass
    loop.until([] { return false; }, time);
    return true;
  }
  std::size_t memory() {  // resident, in bytes; under a sanitizer it tells nothing, as what is freed is kept for a while
#ifdef __SANITIZE_ADDRESS__
    return 0;
#endif
    std::size_t whole = 0, resident = 0;
    std::ifstream("/proc/" + std::to_string(child) + "/statm") >> whole >> resident;
    return resident * 4096;
  }
};

TEST_F(LongBodyTest, ALongAnswerComesWholeAndItsConnectionsAreKept) {
  const auto text = text_of(kLong);
  respond = [&](Wire& w, const std::string&) { w.send(http_answer("200 OK", text, "Content-Type: text/x-map\r\n")); };
  start();
  const auto w = asked();
  ASSERT_TRUE(loop.until([&] { return w->in.size() > kLong && w->in.ends_with(text.substr(kLong - 100)); }));
  EXPECT_EQ(w->in.substr(w->in.find("\r\n\r\n") + 4), text);
  EXPECT_NE(w->in.find("Content-Type: text/x-map\r\n"), std::string::npos);
  w->in.clear();
  respond = [](Wire& s, const std::string&) { s.send(http_answer("200 OK", "served")); };
  w->send(ask("a2"));
  EXPECT_TRUE(served(w));
  EXPECT_EQ(long_server.wires.size(), 1u);  // one connection for both
  EXPECT_TRUE(loop.until([&] { return figure("app.answered.read=2"); })) << said;
}
TEST_F(LongBodyTest, ALongAnswerInChunksComesWhole) {
  const auto piece = text_of(50'000);
  respond = [&](Wire& w, const std::string&) {
    std::string all = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 8; ++i) all += "c350;x=1\r\n" + piece + "\r\n";
    w.send(all + "0\r\n\r\n");
  };
  start();
  const auto w = asked();
  ASSERT_TRUE(loop.until([&] { return w->in.ends_with("\r\n0\r\n\r\n"); }));
  std::string whole;
  for (auto at = w->in.find("\r\n\r\n") + 4;;) {
    const auto n = std::stoul(w->in.substr(at), nullptr, 16);
    if (n == 0) break;
    at = w->in.find("\r\n", at) + 2;
    whole += w->in.substr(at, n);
    at += n + 2;
  }
  std::string expected;
  for (int i = 0; i < 8; ++i) expected += piece;
  EXPECT_TRUE(whole == expected);
}
// A chunked answer that takes its time is on its way before it is whole.
TEST_F(LongBodyTest, AnAnswerInChunksIsNotHeldBack) {
  std::shared_ptr<Wire> out;
  respond = [&](Wire& w, const std::string&) {
    out = w.shared_from_this();
    w.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n");
  };
  start();
  const auto w = asked();
  ASSERT_TRUE(loop.until([&] { return w->in.find("first") != std::string::npos; }));
  out->send("4\r\nlast\r\n0\r\n\r\n");
  EXPECT_TRUE(loop.until([&] { return w->in.ends_with("4\r\nlast\r\n0\r\n\r\n"); }));
}
// One piece is held of it, however long it is.
TEST_F(LongBodyTest, AClientThatDoesNotReadHoldsUpItsServerAndNotTheMemory) {
  constexpr std::size_t kHuge = 32 << 20;
  // Not copied for each: the counter stands on the same loop, and must not seem slow.
  const auto text = http_answer("200 OK", text_of(kHuge));
  respond = [&](Wire& w, const std::string&) {
    asio::async_write(w.socket, asio::buffer(text), [self = w.shared_from_this()](const error_code&, std::size_t) {});
  };
  start();
  std::vector<std::shared_ptr<Wire>> all;
  std::size_t got = 0;
  for (int i = 0; i < 4; ++i) {
    Socket s(loop.io.get_executor());
    s.open(Tcp::v4());
    s.set_option(asio::socket_base::receive_buffer_size(64 * 1024));
    s.connect(listen);
    all.push_back(std::make_shared<Wire>(std::move(s)));  // does not read yet
    all.back()->send(ask("a" + std::to_string(i)));
    ASSERT_TRUE(loop.until([&] { return long_server.wires.size() == all.size(); }));
  }
  pass(300ms);
  EXPECT_LT(memory(), std::size_t{24} << 20);
  for (const auto& w : all) {
    w->came = [&](Wire& x) { got += x.in.size(), x.in.clear(); };
    w->read();
  }
  EXPECT_TRUE(loop.until([&] { return got >= 4 * kHuge; }));
  EXPECT_LT(memory(), std::size_t{24} << 20);
}
// It can't be finished: the client can tell, and nothing is sent again.
TEST_F(LongBodyTest, ALongAnswerThatBreaksIsCut) {
  const auto w = client_of_half_an_answer();
  held->reset();
  EXPECT_TRUE(loop.until([&] { return w->ended; }));
  EXPECT_LT(w->in.size(), 200'000u);
  EXPECT_TRUE(loop.until([&] { return figure("app.errored.read=1"); })) << said;
  EXPECT_NE(said.find("\napp.sends=1\n"), std::string::npos);
}
TEST_F(LongBodyTest, AClientThatLeavesEndsTheAttempt) {
  const auto w = client_of_half_an_answer();
  w->close();
  EXPECT_TRUE(loop.until([&] { return held->ended; }));
}
// Past the client's time no answer is begun, but one that has begun goes on.
TEST_F(LongBodyTest, AnAnswerThatHasBegunOutlivesItsDeadline) {
  const auto text = text_of(200'000);
  respond = [&](Wire& w, const std::string&) {
    held = w.shared_from_this();
    w.send("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + text.substr(0, 100'000));
  };
  start();
  auto request = ask();
  request.replace(request.find("2000"), 4, "300");
  const auto w = loop.connect(listen);
  w->send(request);
  ASSERT_TRUE(loop.until([&] { return w->in.size() > 90'000; }));
  pass(900ms);
  held->send(text.substr(100'000));
  EXPECT_TRUE(loop.until([&] { return w->in.ends_with(text.substr(199'900)); })) << w->in.size();
}

TEST_F(LongBodyTest, ALongRequestIsStreamedWhateverItsClass) {
  start();
  const auto text = text_of(kLong);
  const auto w = loop.connect(listen);
  w->send(post("Content-Length: " + std::to_string(kLong) + "\r\n") + text);
  ASSERT_TRUE(served(w)) << w->in;
  EXPECT_TRUE(body == text);
  EXPECT_TRUE(loop.until([&] { return figure("app.answered.write=1"); })) << said;
}
TEST_F(LongBodyTest, ARequestInChunksGoesOverOnceItIsLong) {
  start();
  const auto text = text_of(30'000);
  const auto w = loop.connect(listen);
  w->send(post("Transfer-Encoding: chunked\r\n"));
  for (int i = 0; i < 5; ++i) w->send("7530\r\n" + text + "\r\n");
  w->send("0\r\n\r\n");
  ASSERT_TRUE(served(w)) << w->in;
  EXPECT_NE(head.find("chunked"), std::string::npos);
  EXPECT_GT(body.size(), 150'000u);
  w->send(post("Content-Length: 2\r\n", "u2") + "ab");  // on the same connection
  ASSERT_TRUE(served(w)) << w->in;
  EXPECT_EQ(body, "ab");
}
// A client's time counts from its request's last byte.
TEST_F(LongBodyTest, ARequestThatTakesLongerToWriteThanItsTimeIsServed) {
  start();
  const auto whole = post("Content-Length: 2\r\n", "u1", "300") + "ab";
  const auto w = loop.connect(listen);
  w->send(whole.substr(0, 50));
  pass(500ms);
  w->send(whole.substr(50));
  EXPECT_TRUE(served(w)) << w->in;
}

}  // namespace
}  // namespace snowknot::test
