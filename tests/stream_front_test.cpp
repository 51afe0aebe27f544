// Streaming through the whole node over loopback sockets: slow, silent, lying and breaking peers on either side.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <sstream>

#include "host.hpp"
#include "node.hpp"
#include "peers.hpp"
#include "stream/front.hpp"
#include "stream/sections.hpp"

namespace docklift::stream {
namespace {

using namespace snowknot::test;
using snowknot::NodeConfig;
using snowknot::Tcp;
namespace asio = boost::asio;

struct Ask {
  std::string method = "POST", path = "/keyed", cls = "keyed", id = "u1", plan = "plain", timeout = "20000", more{}, framing{};
  std::string head() const {
    return method + " " + path + " HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: " + id + "\r\nX-Priority-Class: " + cls +
           "\r\nX-Plan: " + plan + "\r\nCookie: client=0000000000000007\r\nX-Timeout-Ms: " + timeout +
           "\r\nX-Quota: units=1,spread=2,first=1\r\n" + (cls == "keyed" ? "Idempotency-Key: k1\r\n" : "") + more + framing +
           "\r\n";
  }
};
Ask get() { return {.method = "GET", .path = "/safe", .cls = "safe"}; }
Ask upload(std::size_t length) { return {.framing = "Content-Length: " + std::to_string(length) + "\r\n"}; }
Ask chunks() { return {.framing = "Transfer-Encoding: chunked\r\n"}; }

std::string bytes(std::size_t n, unsigned seed = 1) {
  std::string s(n, '\0');
  for (auto& c : s) c = static_cast<char>('a' + (seed = seed * 1103515245U + 12345U) / 65536U % 26U);
  return s;
}

struct StreamTest : ::testing::Test {
  StreamTest() {
    options.classes = {"safe", "keyed", "unsafe"};
    options.limits = {.window = 64 * 1024, .low = 32 * 1024, .prefix = 16 * 1024, .most_request = 8 << 20,
                      .most_answer = 64 << 20, .drain = 256 * 1024};
    options.memory = 4 << 20;
    options.most_streams = 64;
    options.socket_buffer = 16 * 1024;
    options.request = options.answer = options.take = {.least_rate = 0, .window = 10s, .stall = 300ms};
  }
  void start() {
    NodeConfig c;
    c.listen = Tcp::endpoint(asio::ip::address_v4::loopback(), 0);
    c.discovery = agent.at(), c.discovery_host = agent.text(), c.counter = counter.at();
    c.descriptors = 1024, c.memory = 192UL << 20U, c.seed = 1, c.keep_alive = 30s;
    c.named.settings = settings();
    c.named.settings.connect_timeout = 250ms, c.named.settings.retry_after = true, c.named.settings.settled_after = true;
    for (auto& k : c.named.settings.classes) k.aim = k.deadline = 20s;
    c.named.names.zones = {{"a", 0}};
    nlohmann::json members = nlohmann::json::array();
    for (const auto* s : {&server, &second}) {
      members.push_back({{"id", s == &server ? "s-00000001" : "s-00000002"},
                         {"host_port", s->text()},
                         {"locality", "a"},
                         {"cell", 1},
                         {"phase", "SERVING"},
                         {"up_since_ms", 0}});
      if (one_server) break;
    }
    c.known = {{"revision", 1}, {"complete", true}, {"members", members}};
    node.emplace(loop.io, std::move(c));
    front.emplace(loop.io, *node, options);
    node->serve_streams(&*front);
    node->start();
    const auto probe = client();
    ASSERT_TRUE(loop.until([&] {
      probe->send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
      loop.until([&] { return !(answer = probe->message()).empty(); });
      return answer.starts_with("HTTP/1.1 200");
    }));
  }
  std::shared_ptr<Wire> client() { return loop.connect(node->listens_at()); }
  // One that doesn't read until it is told to, with a small buffer.
  std::shared_ptr<Wire> deaf() {
    snowknot::Socket s(loop.io.get_executor());
    s.open(Tcp::v4());
    s.set_option(asio::socket_base::receive_buffer_size(8 * 1024));
    s.connect(node->listens_at());
    return std::make_shared<Wire>(std::move(s));
  }
  int status(const std::shared_ptr<Wire>& w) {
    loop.until([&] { return !(answer = w->message()).empty() || w->ended; });
    return answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0;
  }
  bool until_in(const std::shared_ptr<Wire>& w, const std::string& text) {
    return loop.until([&] { return w->in.find(text) != std::string::npos || w->ended; }) &&
           w->in.find(text) != std::string::npos;
  }
  // Waits for a request's head at a server; `held` is its connection, whose `in` goes on growing.
  bool arrived() {
    return loop.until([&] { return held && held->in.find("\r\n\r\n") != std::string::npos; });
  }
  std::string body_at_server() const { return held->in.substr(held->in.find("\r\n\r\n") + 4); }
  bool all_over() {
    return loop.until([&] { return front->open() == 0 && node->open_requests() == 0; }) && front->budget().out() == 0 &&
           front->budget().pipes() == 0;
  }
  void came(Wire& w) {
    if (w.in.starts_with("GET /-/healthy")) {
      if (!w.message().empty()) w.send(http_answer("200 OK"));
      return;
    }
    if (w.in.empty() || w.ended) return;
    if (!known.contains(&w) && w.in.find("\r\n\r\n") != std::string::npos) {
      held = w.shared_from_this();
      known.insert(&w);
      ++heads;
    }
    if (react) react(w);
  }

  Loop loop;
  StreamOptions options;
  bool one_server = true;
  std::string answer;
  std::shared_ptr<Wire> held;
  int heads = 0;
  std::set<const Wire*> known;  // whose head has come
  std::function<void(Wire&)> react;
  Peer server{loop.io, [this](Wire& w) { came(w); }};
  Peer second{loop.io, [this](Wire& w) { came(w); }};
  std::map<std::string, double> totals;
  std::vector<double> added;
  Peer counter{loop.io, [this](Wire& w) {
                 for (auto l = w.line(); !l.empty(); l = w.line()) {
                   if (l == "ping") {
                     w.send("pong\r\n");
                     continue;
                   }
                   std::istringstream in(l);
                   std::string word, name;
                   double amount = 0;
                   in >> word >> name >> amount;
                   added.push_back(amount);
                   std::ostringstream out;
                   out << "ok " << (totals[name] += amount) << "\r\n";
                   w.send(out.str());
                 }
               }};
  Peer agent{loop.io};
  std::optional<snowknot::Node> node;
  std::optional<StreamFront> front;
};

TEST_F(StreamTest, ABodyReachesTheServerWhileItIsStillBeingSent) {
  start();
  const auto w = client();
  const auto body = bytes(300'000);
  w->send(upload(body.size()).head() + body.substr(0, 1000));
  ASSERT_TRUE(arrived());
  ASSERT_TRUE(loop.until([&] { return body_at_server().size() == 1000; }));
  w->send(body.substr(1000));
  ASSERT_TRUE(loop.until([&] { return body_at_server().size() == body.size(); }));
  EXPECT_EQ(body_at_server(), body);
  EXPECT_NE(held->in.find("Content-Length: 300000"), std::string::npos);
  EXPECT_NE(held->in.find("Idempotency-Key: k1"), std::string::npos);
  held->send(http_answer("200 OK", "taken"));
  EXPECT_EQ(status(w), 200);
  EXPECT_TRUE(all_over());
}

TEST_F(StreamTest, AnAnswerPassesAsItComesAndTheConnectionIsKept) {
  start();
  const auto w = client();
  for (const std::string id : {"a", "b"}) {
    auto ask = get();
    ask.id = id;
    held = nullptr;
    w->in.clear();
    w->send(ask.head());
    ASSERT_TRUE(arrived());
    held->send("HTTP/1.1 200 OK\r\nContent-Type: x/y\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
    ASSERT_TRUE(until_in(w, "half"));
    EXPECT_NE(w->in.find("Content-Type: x/y"), std::string::npos);
    held->send("3;ext=1\r\nway\r\n0\r\nX-Sum: 1\r\n\r\n");
    ASSERT_TRUE(until_in(w, "0\r\n\r\n")) << "trailers that aren't named are dropped";
    EXPECT_FALSE(w->ended);
  }
  EXPECT_TRUE(all_over());
  auto plain = get();
  plain.id = "c";
  held = nullptr;
  w->in.clear();
  w->send(plain.head());
  ASSERT_TRUE(arrived());
  held->send(http_answer("200 OK", "last"));
  EXPECT_EQ(status(w), 200);
}

TEST_F(StreamTest, TheConnectionIsKeptBehindUploads) {
  start();
  const auto w = client();
  react = [&](Wire& at) {
    if (at.in.ends_with("last")) at.in.clear(), at.send(http_answer("200 OK", "x"));
  };
  for (const std::string id : {"a", "b", "c"}) {
    auto ask = upload(104);
    ask.id = id;
    w->send(ask.head());
    if (id == "b") w->send(bytes(50)), loop.until([&] { return front->open() == 1; });
    w->send(bytes(id == "b" ? 50 : 100) + "last");
    EXPECT_EQ(status(w), 200) << id;
  }
  EXPECT_FALSE(w->ended);
  // The next one is sent as soon as the answer is there, often before the node knows that it has been written.
  int answers = 0;
  w->came = [&](Wire& at) {
    if (at.message().empty() || ++answers == 200) return;
    auto ask = upload(4);
    ask.id = "d" + std::to_string(answers);
    at.send(ask.head() + "last");
  };
  auto ask = upload(4);
  ask.id = "d";
  w->send(ask.head() + "last");
  EXPECT_TRUE(loop.until([&] { return answers == 200 || w->ended; }));
  EXPECT_EQ(answers, 200);
}

TEST_F(StreamTest, NamedTrailersPassBothWays) {
  options.trailers = {"x-sum"};
  start();
  const auto w = client();
  w->send(chunks().head() + "3\r\nabc\r\n0\r\nX-Sum: 7\r\nX-Other: 8\r\n\r\n");
  ASSERT_TRUE(arrived());
  ASSERT_TRUE(loop.until([&] { return body_at_server().ends_with("\r\n\r\n"); }));
  EXPECT_EQ(body_at_server(), "3\r\nabc\r\n0\r\nx-sum: 7\r\n\r\n");
  held->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nz\r\n0\r\nx-sum: 9\r\n\r\n");
  EXPECT_TRUE(until_in(w, "1\r\nz\r\n0\r\nx-sum: 9\r\n\r\n"));
}

TEST_F(StreamTest, AClientThatStopsReadingHoldsUpItsServerAndNobodyElse) {
  start();
  const auto w = deaf();
  w->send(get().head());
  ASSERT_TRUE(arrived());
  const auto slow = held;
  constexpr std::size_t kLong = 8 << 20;
  std::size_t taken = 0;
  const auto part = std::make_shared<std::string>(bytes(64 * 1024));
  slow->send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kLong) + "\r\n\r\n");
  std::function<void()> more = [&] {
    slow->socket.async_write_some(asio::buffer(*part), [&, part](const snowknot::error_code& failed, std::size_t n) {
      taken += n;
      if (!failed && taken < kLong) more();
    });
  };
  more();
  ASSERT_TRUE(loop.until([&] { return front->budget().out() >= 4; }));
  // Beside it another is answered.
  const auto beside = client();
  auto ask = get();
  ask.id = "beside";
  react = [&](Wire& other) {
    if (&other != slow.get()) other.send(http_answer("200 OK", "quick")), other.in.clear();
  };
  beside->send(ask.head());
  EXPECT_EQ(status(beside), 200);
  EXPECT_LE(front->budget().out(), options.limits.window / kSlabBytes + 1);
  // It never reads on: it is cut, and its server let go.
  ASSERT_TRUE(loop.until([&] { return slow->ended || taken >= kLong; }));
  EXPECT_LT(taken, kLong);
  EXPECT_TRUE(all_over());
  EXPECT_EQ(front->counts().cut, 1U);
}

TEST_F(StreamTest, AServerThatStallsInItsAnswerIsCutSoThatTheClientCanTell) {
  start();
  const auto w = client();
  w->send(get().head());
  ASSERT_TRUE(arrived());
  held->send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
  ASSERT_TRUE(until_in(w, "half"));
  ASSERT_TRUE(loop.until([&] { return w->ended; }));
  EXPECT_TRUE(w->in.ends_with("half"));
  EXPECT_EQ(heads, 1) << "a safe request is not sent again either: its answer has begun";
  EXPECT_TRUE(all_over());
}

TEST_F(StreamTest, AnswersWhoseLengthLiesAreCut) {
  start();
  for (const std::string told : {"3", "100"}) {
    held = nullptr;
    const auto w = client();
    auto ask = get();
    ask.id = "lies" + told;
    w->send(ask.head());
    ASSERT_TRUE(arrived());
    held->send("HTTP/1.1 200 OK\r\nContent-Length: " + told + "\r\n\r\nabcdef");
    if (told == "100") held->socket.shutdown(snowknot::Socket::shutdown_send);
    ASSERT_TRUE(loop.until([&] { return w->ended; })) << told;
    EXPECT_TRUE(all_over());
  }
}

TEST_F(StreamTest, ChunksInDoubtFromAServerAreCutAndFromAClientAnswered400) {
  start();
  const auto w = client();
  w->send(get().head());
  ASSERT_TRUE(arrived());
  held->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n");
  ASSERT_TRUE(loop.until([&] { return w->ended; }));
  held = nullptr;
  const auto up = client();
  up->send(chunks().head() + "3\r\nabc\r\n");
  ASSERT_TRUE(arrived());
  up->send("3\nabc\r\n");
  EXPECT_EQ(status(up), 400);
  ASSERT_TRUE(loop.until([&] { return held->ended; })) << "the server must not take it for whole";
  EXPECT_TRUE(all_over());
}

TEST_F(StreamTest, AFinalAnswerAheadOfTheUploadsEnd) {
  start();
  const auto w = client();
  const auto body = bytes(200'000);
  w->send(upload(body.size()).head() + body.substr(0, 100));
  ASSERT_TRUE(arrived());
  held->send(http_answer("200 OK", "enough"));
  EXPECT_EQ(status(w), 200);
  EXPECT_TRUE(answer.ends_with("enough"));
  w->send(body.substr(100));  // drained
  ASSERT_TRUE(loop.until([&] { return front->open() == 0; }));
  held = nullptr;
  auto next = get();
  next.id = "next";
  w->send(next.head());
  ASSERT_TRUE(arrived()) << "the connection goes on after the rest of the body";
  held->send(http_answer("200 OK", "next"));
  EXPECT_EQ(status(w), 200);
}

TEST_F(StreamTest, ARestThatIsTooLongEndsTheConnectionWithoutLosingTheAnswer) {
  start();
  const auto w = client();
  w->send(upload(4 << 20).head() + "x");
  ASSERT_TRUE(arrived());
  held->send(http_answer("200 OK", "enough"));
  w->send(bytes((4 << 20) - 1));
  EXPECT_EQ(status(w), 200);
  EXPECT_TRUE(all_over());
  EXPECT_TRUE(loop.until([&] { return w->ended; }));
}

TEST_F(StreamTest, AServerThatResetsAfterAFullAnswerWhileTheUploadGoesOn) {
  start();
  const auto w = client();
  const auto body = bytes(2 << 20);
  w->send(upload(body.size()).head() + body.substr(0, 100));
  ASSERT_TRUE(arrived());
  const std::string text = http_answer("200 OK", "done");
  asio::write(held->socket, asio::buffer(text));
  held->close();  // with the upload unread: a reset
  w->send(body.substr(100));
  EXPECT_EQ(status(w), 200);
  EXPECT_TRUE(all_over());
}

TEST_F(StreamTest, AHeldBodyGoesToAnotherServerAndALetGoOneDoesNot) {
  one_server = false;
  start();
  for (const std::size_t size : {10'000, 60'000}) {
    const auto before = heads;
    int broken = 0;
    react = [&](Wire& w) {
      const auto in = w.in.size();
      if (broken == 0 && in > size) {  // all but the last bytes have come
        broken = 1;
        w.reset();
      } else if (broken == 1 && in > size + 500) {
        w.send(http_answer("200 OK", "second"));
        broken = 2;
      }
    };
    held = nullptr;
    const auto w = client();
    auto ask = upload(size + 600);
    ask.id = "u" + std::to_string(size);
    const auto body = bytes(size + 600);
    w->send(ask.head() + body.substr(0, size));
    ASSERT_TRUE(loop.until([&] { return broken >= 1; }));
    ASSERT_TRUE(loop.until([&] { return heads > before + 1 || !(answer = w->message()).empty(); }));
    if (size == 10'000) {
      w->send(body.substr(size));
      EXPECT_EQ(status(w), 200);
      EXPECT_EQ(heads, before + 2);
    } else {
      EXPECT_TRUE(answer.starts_with("HTTP/1.1 429")) << "it never ran, so it is refused: " << answer;
      EXPECT_NE(answer.find("Retry-After"), std::string::npos);
      EXPECT_EQ(heads, before + 1);
    }
    react = {};
    w->reset();
    EXPECT_TRUE(all_over());
  }
}

TEST_F(StreamTest, AnUnsafeOneWhoseServerResetsAfterTheLastByteIsNotSentAgain) {
  one_server = false;
  start();
  react = [&](Wire& w) {
    if (w.in.ends_with("last")) w.reset();
  };
  const auto w = client();
  auto ask = upload(104);
  ask.cls = "unsafe", ask.path = "/unsafe";
  w->send(ask.head() + bytes(100) + "last");
  EXPECT_EQ(status(w), 502) << "never worded as a refusal: it may have run";
  EXPECT_EQ(heads, 1);
  EXPECT_TRUE(all_over());
}

TEST_F(StreamTest, AKeyedOneIsSentAgainWhileItsBodyIsHeldAndFailsAfterThat) {
  one_server = false;
  start();
  for (const std::size_t size : {1'000, 100'000}) {
    const auto before = heads;
    int resets = 0;
    react = [&](Wire& w) {
      if (w.in.ends_with("last") && resets++ == 0) return w.reset();
      if (w.in.ends_with("last")) w.send(http_answer("200 OK", "again")), w.in.clear();
    };
    const auto w = client();
    auto ask = upload(size + 4);
    ask.id = "k" + std::to_string(size);
    w->send(ask.head() + bytes(size) + "last");
    EXPECT_EQ(status(w), size == 1'000 ? 200 : 502);
    EXPECT_EQ(heads - before, size == 1'000 ? 2 : 1);
    react = {};
    EXPECT_TRUE(all_over());
  }
}

TEST_F(StreamTest, TheBodyIsAskedForAndAClientThatNeverSendsItIsAnswered408) {
  start();
  const auto w = client();
  auto ask = upload(1000);
  ask.more = "Expect: 100-continue\r\n";
  w->send(ask.head());
  ASSERT_TRUE(until_in(w, "100 Continue\r\n\r\n"));
  ASSERT_TRUE(arrived());
  EXPECT_EQ(held->in.find("Expect"), std::string::npos);
  w->in.clear();
  EXPECT_EQ(status(w), 408);
  EXPECT_TRUE(loop.until([&] { return held->ended; })) << "the server's slot is free again";
  EXPECT_TRUE(all_over());
}

TEST_F(StreamTest, ATrickleIsSlowThoughItNeverStops) {
  options.request = {.least_rate = 10'000, .window = 300ms, .stall = 10s};
  start();
  const auto w = client();
  w->send(upload(100'000).head());
  ASSERT_TRUE(arrived());
  std::function<void()> drip = [&] {
    if (w->ended || !w->in.empty()) return;
    w->send("x");
    node->timers().after(20ms, drip);
  };
  drip();
  EXPECT_EQ(status(w), 408);
  EXPECT_TRUE(loop.until([&] { return held->ended; }));
  EXPECT_TRUE(all_over());
}

TEST_F(StreamTest, HeadsThatAreNotTaken) {
  options.require_length = true;
  start();
  const auto told = [&](Ask ask, const std::string& body = "") {
    const auto w = client();
    w->send(ask.head() + body);
    return status(w);
  };
  EXPECT_EQ(told(chunks()), 411);
  EXPECT_EQ(told(upload(100 << 20)), 413);
  auto ask = upload(3);
  ask.more = "Content-Length: 4\r\n";
  EXPECT_EQ(told(ask), 400);
  ask = upload(3);
  ask.more = "Transfer-Encoding: chunked\r\n";
  EXPECT_EQ(told(ask), 400);
  ask = upload(3);
  ask.more = "Expect: a-miracle\r\n";
  EXPECT_EQ(told(ask), 417);
  ask = upload(3);
  ask.plan = "nobody's";
  EXPECT_EQ(told(ask, "abc"), 400);
  ask = get();
  ask.framing = "Content-Length: 3\r\n";
  EXPECT_EQ(told(ask, "abc"), 400) << "a body does not go with the class";
  ask = upload(3);
  ask.method = "PUT";
  EXPECT_EQ(told(ask, "abc"), 405);
  ask = upload(3);
  ask.more = "X-Long: " + std::string(10'000, 'x') + "\r\n";
  EXPECT_EQ(told(ask), 431);
  EXPECT_EQ(heads, 0);
  EXPECT_TRUE(all_over());
}

TEST_F(StreamTest, AnotherPathKeepsThePlatformsLimits) {
  options.classes = {"safe"};
  start();
  const auto w = client();
  w->send(upload(65'537).head());
  EXPECT_EQ(status(w), 413);
  const auto small = client();
  auto ask = upload(3);
  react = [&](Wire& at) {
    if (at.in.ends_with("abc")) at.send(http_answer("200 OK", "whole")), at.in.clear();
  };
  small->send(ask.head() + "abc");
  EXPECT_EQ(status(small), 200);
  EXPECT_EQ(front->counts().begun, 0U);
}

TEST_F(StreamTest, WhereThereIsNoRoomNewOnesAreRefusedAndThoseTakenFinish) {
  options.most_streams = 8;
  options.memory = 8 * 2 * kSlabBytes;  // the floors and nothing else
  options.request.stall = options.take.stall = options.answer.stall = 20s;
  start();
  std::vector<std::shared_ptr<Wire>> clients;
  std::vector<std::shared_ptr<Wire>> at;
  const auto body = bytes(200'000);
  react = [&](Wire& w) {
    if (std::ranges::find(at, w.shared_from_this()) == at.end()) at.push_back(w.shared_from_this());
  };
  for (int i = 0; i < 8; ++i) {
    clients.push_back(client());
    auto ask = upload(body.size());
    ask.id = "full" + std::to_string(i);
    clients.back()->send(ask.head() + body.substr(0, 100'000));
  }
  ASSERT_TRUE(loop.until([&] { return at.size() == 8; }));
  const auto late = client();
  auto ask = upload(10);
  ask.id = "late";
  late->send(ask.head() + "0123456789");
  EXPECT_EQ(status(late), 503);
  EXPECT_NE(answer.find("Retry-After: 1.000"), std::string::npos);
  for (const auto& w : clients) w->send(body.substr(100'000));
  react = [&](Wire& w) {
    if (const auto end = w.in.find("\r\n\r\n"); end != std::string::npos && w.in.size() == end + 4 + body.size()) {
      EXPECT_EQ(w.in.substr(end + 4), body);
      w.send(http_answer("200 OK", "whole"));
      w.in.clear();
    }
  };
  for (const auto& w : at) react(*w);
  for (const auto& w : clients) EXPECT_EQ(status(w), 200);
  EXPECT_TRUE(all_over());
}

TEST_F(StreamTest, HundredsThatStallInOneSecondAreAllEndedAndGiveTheirMemoryBack) {
  constexpr int kStreams = 200;
  options.most_streams = kStreams;
  options.memory = kStreams * 4 * kSlabBytes;
  options.request.stall = 1s;
  start();
  std::vector<std::shared_ptr<Wire>> clients;
  for (int i = 0; i < kStreams; ++i) {
    clients.push_back(client());
    auto ask = upload(100'000);
    ask.id = "stall" + std::to_string(i);
    clients.back()->send(ask.head() + "x");
  }
  int timeouts = 0, refused = 0;
  for (const auto& w : clients) {
    const int s = status(w);
    timeouts += s == 408;
    refused += s == 429;
  }
  EXPECT_EQ(timeouts + refused, kStreams) << timeouts << " timed out";
  EXPECT_GT(timeouts, 0);
  EXPECT_TRUE(all_over());
}

TEST_F(StreamTest, AClientThatLeavesFreesItsServer) {
  start();
  const auto w = client();
  w->send(upload(100'000).head() + "abc");
  ASSERT_TRUE(arrived());
  w->reset();
  EXPECT_TRUE(loop.until([&] { return held->ended; }));
  EXPECT_TRUE(all_over());
}

TEST_F(StreamTest, AStopLetsWhatIsInFlightFinishAndThenEndsIt) {
  options.request.stall = options.take.stall = options.answer.stall = 20s;
  start();
  const auto w = client();
  w->send(upload(6).head() + "abc");
  ASSERT_TRUE(arrived());
  const auto at = held;
  held = nullptr;
  const auto other = client();
  auto ask = get();
  ask.id = "other";
  other->send(ask.head());
  ASSERT_TRUE(arrived());
  held->send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
  ASSERT_TRUE(until_in(other, "half"));
  held = nullptr;
  const auto third = client();
  ask = upload(6);
  ask.id = "third", ask.cls = "unsafe", ask.path = "/unsafe";
  third->send(ask.head() + "abc");
  ASSERT_TRUE(arrived());
  bool done = false;
  node->drain([&] { done = true; }, 10ms);
  w->send("def");
  ASSERT_TRUE(loop.until([&] { return at->in.ends_with("abcdef"); }));
  at->send(http_answer("200 OK", "taken"));
  EXPECT_EQ(status(w), 200);
  EXPECT_FALSE(done);
  node->answer_remaining(1s);
  EXPECT_EQ(status(third), 502);
  EXPECT_TRUE(loop.until([&] { return other->ended; }));
  EXPECT_TRUE(other->in.ends_with("half"));
  for (const auto& c : {w, other, third}) c->close();
  EXPECT_TRUE(loop.until([&] { return done; }));
  EXPECT_TRUE(all_over());
}

TEST_F(StreamTest, UnitsAreKnownBeforeTheFirstByteGoesOnAndSettledAfter) {
  options.bytes_per_unit = 1000;
  options.unknown_length = 8000;
  start();
  const auto w = client();
  const auto body = bytes(5000);
  w->send(upload(body.size()).head() + body);
  ASSERT_TRUE(arrived());
  double most = 0;
  for (const auto a : added) most = std::max(most, a);
  EXPECT_GE(most, 5.0) << "leased for the length that was told";
  held->send(http_answer("200 OK", "x"));
  EXPECT_EQ(status(w), 200);
  EXPECT_EQ(front->units_of(1, std::nullopt), 8);
  EXPECT_EQ(front->units_of(9, 1), 9);
  EXPECT_EQ(front->units_of(1, 8001), 9);
}

TEST(StreamSections, WhatCannotHoldOneStreamIsRefusedByName) {
  Schema schema;
  schema.add(stream_section());
  const auto reasons = [&](const std::string& text) {
    std::string all;
    for (const auto& m : read_config_text(schema, text, "f").mistakes) all += m.text() + "\n";
    return all;
  };
  EXPECT_EQ(reasons("[stream]\nclasses = \"a b\"\n"), "");
  EXPECT_NE(reasons("[stream]\nmemory = \"16KiB\"\nmost_streams = 1\n").find("f:2: stream.memory: holds no stream"),
            std::string::npos);
  EXPECT_NE(reasons("[stream]\nmemory = \"1MiB\"\n").find("fewer than most_streams"), std::string::npos);
  EXPECT_NE(reasons("[stream]\nprefix = \"1MiB\"\n").find("stream.prefix: is more than window"), std::string::npos);
}

}  // namespace
}  // namespace docklift::stream
