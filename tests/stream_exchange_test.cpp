// The state machine of a streamed request: single cases, and every ordering of up to eight events.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <string>

#include "stream/exchange.hpp"

namespace docklift::stream {
namespace {

using snowknot::Outcome;

// What a host does with the actions, and what must hold of them whatever happens.
struct Host {
  Exchange exchange;
  bool client_reads = false, client_writes = false, server_reads = false, server_writes = false;
  bool opening = false, open = false, head_came = false, answer_whole = false, request_whole = false;
  int finals = 0;      // answers that were begun, ours or a server's
  int sends = 0, ended = 0, gone = 0;
  bool out = false;    // an attempt is
  bool waits = false;  // its server, as the module knows
  bool decided = false;  // the module has had its last word, or has been told that nobody waits
  bool client_over = false, dropped = false, last_told = false, cut = false, cleared = false;
  std::uint64_t received = 0, window = 0;
  std::string wrong;
  std::vector<Action> last;

  Host(ExchangeLimits limits, BodyKind kind, bool expects, bool keep)
      : exchange(limits, kind, expects, keep), request_whole(kind.coding == Coding::none), window(limits.window) {
    carry_out(exchange.begin());
  }
  void fault(const char* what) {
    if (wrong.empty()) wrong = what;
  }
  void carry_out(std::vector<Action> actions) {
    for (const auto& a : actions) {
      switch (a.what) {
        case Do::read_client:
          if (client_reads || client_over) fault("two reads at the client, or after its end");
          client_reads = true;
          break;
        case Do::go_on:
          if (finals > 0) fault("told to go on after the answer");
          break;
        case Do::open_server:
          if (opening || open) fault("two attempts out");
          if (dropped) fault("sent again though part of the body is gone");
          if (finals > 0) fault("sent after the final answer");
          opening = out = true;
          break;
        case Do::write_head:
        case Do::write_server:
        case Do::finish_server:
          if (!open) fault("a byte of an attempt that was given up");
          if (server_writes) fault("two writes at the server");
          server_writes = true;
          break;
        case Do::read_server:
          if (!open || server_reads) fault("two reads at the server, or after its end");
          server_reads = true;
          break;
        case Do::close_server: opening = open = server_reads = server_writes = head_came = waits = false; break;
        case Do::rewind:
          if (dropped) fault("rewound to what is gone");
          break;
        case Do::drop_request: dropped = true; break;
        case Do::clear_request: cleared = true; break;
        case Do::answer_head:
        case Do::own_answer:
          if (++finals > 1) fault("two final answers");
          if (client_over) fault("an answer after the end");
          if (a.what == Do::own_answer) client_writes = true;
          break;
        case Do::write_client:
        case Do::finish_client:
          if (client_writes || client_over) fault("two writes at the client, or after its end");
          client_writes = true;
          break;
        case Do::cut_client:
        case Do::close_client:
        case Do::return_client:
          if (client_over) fault("the client's end twice");
          if (a.what != Do::cut_client && finals != 1) fault("ended without an answer");
          if (a.what == Do::return_client && !request_whole) fault("returned with a body unread");
          cut = a.what == Do::cut_client;
          client_over = true;
          client_reads = client_writes = false;
          break;
        case Do::tell_started: break;
        case Do::tell_waits:
        case Do::tell_works:
          if (!open || waits == (a.what == Do::tell_waits)) fault("told what is known, or of no attempt");
          waits = a.what == Do::tell_waits;
          break;
        case Do::tell_ended:
          if (!out) fault("an attempt's end told twice");
          out = false;
          ++ended;
          if (!cleared && dropped && !a.last) fault("not told that it can't be sent again");
          if (a.last) last_told = true;
          if (a.outcome == Outcome::ok) decided = true;
          break;
        case Do::tell_gone:
          if (++gone > 1) fault("told twice that nobody waits");
          decided = true;
          break;
      }
    }
    if (exchange.held_of_request() > window + 1 || exchange.held_of_answer() > window + 1) fault("more held than the window");
    if (exchange.over() && (out || open || opening)) fault("over with an attempt out");
    if (client_over && !open && !opening && !exchange.over()) fault("never over");
    last = std::move(actions);
  }
  bool may(Happened e) const {
    switch (e) {
      case Happened::client_bytes:
        return client_reads && !request_whole && received < 6;
      case Happened::client_end:
      case Happened::client_bad: return client_reads && !request_whole;
      case Happened::client_gone: return client_reads || client_writes;
      case Happened::send: return !decided && !out && finals == 0 && !client_over && !last_told && sends < 3;
      case Happened::refuse:
      case Happened::fail: return (!decided && !out && finals == 0 && !client_over) || (e == Happened::fail && !decided && !client_over);
      case Happened::connected:
      case Happened::connect_failed: return opening;
      case Happened::wrote:
      case Happened::write_broke: return open && server_writes;
      case Happened::server_head:
      case Happened::server_other: return open && server_reads && !head_came;
      case Happened::server_bytes:
      case Happened::server_end: return open && server_reads && head_came;
      case Happened::server_gone: return open && server_reads;
      case Happened::gave: return client_writes;
      case Happened::pressed: return client_reads;
      case Happened::client_slow: return exchange.waits_for_client_bytes() || (exchange.drains() && client_reads);
      case Happened::client_deaf: return exchange.waits_for_client_to_take();
      case Happened::server_deaf: return exchange.waits_for_server_to_take();
      case Happened::server_slow: return exchange.waits_for_answer_bytes();
      case Happened::too_late: return out;
    }
    return false;
  }
  void tell(Happened e, std::uint64_t n = 1) {
    switch (e) {
      case Happened::client_bytes: client_reads = false, received += n; break;
      case Happened::client_end: request_whole = true; break;
      case Happened::client_gone: client_reads = client_writes = false; break;
      case Happened::send: ++sends; break;
      case Happened::refuse:
      case Happened::fail: decided = true; break;
      case Happened::connected: opening = false, open = true; break;
      case Happened::wrote:
      case Happened::write_broke: server_writes = false; break;
      case Happened::server_head: head_came = true, server_reads = false; break;
      case Happened::server_bytes: server_reads = false; break;
      case Happened::gave: client_writes = false; break;
      case Happened::server_other: n = static_cast<std::uint64_t>(Outcome::error); break;
      default: break;
    }
    carry_out(exchange.handle({e, n}));
  }
  bool has(Do what) const { return std::ranges::find(last, what, &Action::what) != last.end(); }
  const Action* find(Do what) const {
    const auto it = std::ranges::find(last, what, &Action::what);
    return it == last.end() ? nullptr : &*it;
  }
};

constexpr Happened kAll[] = {
    Happened::client_bytes, Happened::client_end,  Happened::client_bad,   Happened::client_gone, Happened::send,
    Happened::refuse,       Happened::fail,        Happened::connected,    Happened::connect_failed,
    Happened::wrote,        Happened::write_broke, Happened::server_head,  Happened::server_other,
    Happened::server_bytes, Happened::server_end,  Happened::server_gone,  Happened::gave,
    Happened::pressed,      Happened::client_slow, Happened::client_deaf,  Happened::server_deaf,
    Happened::server_slow,  Happened::too_late};

struct Search {
  std::uint64_t orderings = 0;
  std::string wrong;
  std::vector<int> path;

  void from(const Host& host, int depth) {
    ++orderings;
    if (!host.wrong.empty()) {
      wrong = host.wrong + " after";
      for (const auto p : path) wrong += " " + std::to_string(p);
      return;
    }
    if (depth == 0) return;
    for (const auto e : kAll) {
      if (!host.may(e)) continue;
      Host next = host;
      path.push_back(static_cast<int>(e));
      next.tell(e);
      from(next, depth - 1);
      path.pop_back();
      if (!wrong.empty()) return;
    }
  }
};

ExchangeLimits small() { return {.window = 2, .low = 1, .prefix = 1, .most_request = 4, .most_answer = 4, .drain = 2}; }

TEST(StreamExchange, EveryOrderingOfUpToEightEvents) {
  std::uint64_t all = 0;
  struct Start {
    BodyKind kind;
    bool expects, keep, opened;
  };
  for (const auto& s : {Start{{Coding::chunked, 0}, false, true, false}, Start{{Coding::length, 3}, true, true, false},
                        Start{{Coding::none, 0}, false, false, false}, Start{{Coding::chunked, 0}, false, true, true},
                        Start{{Coding::length, 3}, false, true, true}}) {
    Host host(small(), s.kind, s.expects, s.keep);
    if (s.opened) {  // further on: eight events from the moment at which the first attempt is connected
      host.tell(Happened::send);
      host.tell(Happened::connected);
      host.tell(Happened::wrote, 0);
    }
    Search search;
    constexpr int kDepth = 8;
    search.from(host, s.opened ? kDepth - 1 : kDepth);
    EXPECT_EQ(search.wrong, "");
    all += search.orderings;
  }
  std::printf("[ counted  ] %llu orderings\n", static_cast<unsigned long long>(all));
  EXPECT_GT(all, 100'000U);
}

// Long walks reach what eight events don't.
TEST(StreamExchange, LongWalksEndWithTheSameProperties) {
  std::uint64_t state = 7;
  const auto draw = [&](std::size_t n) {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<std::size_t>((state >> 33U) % n);
  };
  int answered = 0;
  for (int walk = 0; walk < 20'000; ++walk) {
    Host host(small(), walk % 2 ? BodyKind{Coding::chunked, 0} : BodyKind{Coding::length, 3}, walk % 3 == 0, walk % 5 != 0);
    std::string path;
    for (int step = 0; step < 60 && !host.exchange.over(); ++step) {
      std::vector<Happened> open;
      for (const auto e : kAll)
        if (host.may(e)) open.push_back(e);
      if (open.empty()) break;
      const auto e = open[draw(open.size())];
      path += " " + std::to_string(static_cast<int>(e));
      host.tell(e);
      ASSERT_EQ(host.wrong, "") << path;
    }
    answered += host.finals;
  }
  EXPECT_GT(answered, 2'000);
}

ExchangeLimits usual() { return {.window = 100, .low = 50, .prefix = 40, .most_request = 1000, .most_answer = 1000, .drain = 60}; }

Host opened(BodyKind kind = {Coding::chunked, 0}, ExchangeLimits limits = usual()) {
  Host h(limits, kind, false, true);
  h.tell(Happened::send);
  h.tell(Happened::connected);
  h.tell(Happened::wrote, 0);
  return h;
}

TEST(StreamExchange, AnAttemptThatNeverRanGoesElsewhereWhileTheBodyIsHeld) {
  auto h = opened();
  h.tell(Happened::client_bytes, 30);
  h.tell(Happened::wrote, 30);
  EXPECT_FALSE(h.dropped);
  h.tell(Happened::server_gone, 0);
  ASSERT_TRUE(h.find(Do::tell_ended));
  EXPECT_EQ(h.find(Do::tell_ended)->outcome, Outcome::connect_failed);
  EXPECT_FALSE(h.find(Do::tell_ended)->last);
  h.tell(Happened::send);
  EXPECT_TRUE(h.has(Do::rewind));
  EXPECT_TRUE(h.has(Do::open_server));
}

TEST(StreamExchange, FromTheFirstByteDroppedItDoesNot) {
  auto h = opened();
  h.tell(Happened::client_bytes, 41);
  h.tell(Happened::wrote, 41);
  EXPECT_TRUE(h.dropped);
  h.tell(Happened::server_gone, 0);
  ASSERT_TRUE(h.find(Do::tell_ended));
  EXPECT_EQ(h.find(Do::tell_ended)->outcome, Outcome::connect_failed);
  EXPECT_TRUE(h.find(Do::tell_ended)->last);
  h.tell(Happened::refuse);
  EXPECT_TRUE(h.has(Do::own_answer));
}

TEST(StreamExchange, AResetAfterTheLastByteMayHaveRun) {
  auto h = opened();
  h.tell(Happened::client_bytes, 10);
  h.tell(Happened::client_end);
  h.tell(Happened::wrote, 10);
  EXPECT_TRUE(h.has(Do::finish_server));
  h.tell(Happened::wrote, 0);
  h.tell(Happened::server_gone, 0);
  EXPECT_EQ(h.find(Do::tell_ended)->outcome, Outcome::reset);
}

TEST(StreamExchange, TheServerWorksFromTheLastByteToItsAnswer) {
  auto h = opened();
  EXPECT_TRUE(h.waits);
  h.tell(Happened::client_bytes, 10);
  h.tell(Happened::client_end);
  h.tell(Happened::wrote, 10);
  EXPECT_TRUE(h.waits) << "the last chunk is still to come";
  h.tell(Happened::wrote, 0);
  EXPECT_FALSE(h.waits);
  h.tell(Happened::server_head);
  EXPECT_TRUE(h.waits);
}

TEST(StreamExchange, ReadingPausesAtTheWindowAndGoesOnBelowIt) {
  auto h = opened();
  h.tell(Happened::client_bytes, 100);
  EXPECT_FALSE(h.has(Do::read_client));
  h.tell(Happened::wrote, 40);
  EXPECT_FALSE(h.has(Do::read_client)) << "60 are held, it goes on at 50";
  h.tell(Happened::wrote, 10);
  EXPECT_TRUE(h.has(Do::read_client));
}

TEST(StreamExchange, AnEarlyAnswerIsPassedOnAndTheRestIsDrained) {
  auto h = opened();
  h.tell(Happened::client_bytes, 10);
  h.tell(Happened::server_head);
  EXPECT_TRUE(h.has(Do::answer_head));
  h.tell(Happened::server_end);
  EXPECT_EQ(h.find(Do::tell_ended)->outcome, Outcome::ok);
  EXPECT_TRUE(h.has(Do::finish_client));
  h.tell(Happened::client_bytes, 10);
  h.tell(Happened::gave, 0);
  EXPECT_FALSE(h.client_over) << "the rest of the body is still to come";
  h.tell(Happened::client_end);
  EXPECT_TRUE(h.has(Do::return_client));
}

TEST(StreamExchange, ALongRestIsNotDrainedToItsEnd) {
  auto h = opened();
  h.tell(Happened::server_head);
  h.tell(Happened::server_end);
  h.tell(Happened::gave, 0);
  h.tell(Happened::client_bytes, 61);
  EXPECT_TRUE(h.has(Do::close_client));
}

TEST(StreamExchange, AWriteThatBreaksLeavesTheAnswerToBeRead) {
  auto h = opened();
  h.tell(Happened::client_bytes, 10);
  h.tell(Happened::write_broke);
  EXPECT_FALSE(h.has(Do::close_server));
  h.tell(Happened::server_head);
  h.tell(Happened::server_bytes, 5);
  h.tell(Happened::server_end);
  EXPECT_EQ(h.find(Do::tell_ended)->outcome, Outcome::ok);
}

TEST(StreamExchange, AnAnswerThatStallsIsCutAndNotTriedAgain) {
  auto h = opened({Coding::none, 0});
  h.tell(Happened::server_head);
  h.tell(Happened::server_bytes, 5);
  h.tell(Happened::server_slow);
  EXPECT_TRUE(h.cut);
  ASSERT_GE(h.last.size(), 3U);
  EXPECT_EQ(h.last[0].what, Do::tell_gone) << "else the module would send it again";
  EXPECT_EQ(h.find(Do::tell_ended)->outcome, Outcome::timeout);
}

TEST(StreamExchange, ASlowUploadIsAnswered408AndTheServerLetGo) {
  auto h = opened();
  h.tell(Happened::client_bytes, 10);
  h.tell(Happened::client_slow);
  EXPECT_TRUE(h.has(Do::close_server));
  ASSERT_TRUE(h.find(Do::own_answer));
  EXPECT_EQ(h.find(Do::own_answer)->status, 408);
}

TEST(StreamExchange, ABodyPastTheLimitIsAnswered413) {
  auto h = opened();
  for (int i = 0; i < 11; ++i) {
    h.tell(Happened::client_bytes, 95);
    if (h.finals > 0) break;
    h.tell(Happened::wrote, 95);
  }
  ASSERT_TRUE(h.find(Do::own_answer));
  EXPECT_EQ(h.find(Do::own_answer)->status, 413);
}

TEST(StreamExchange, MemoryThatIsShortTakesTheCopyKeptForAnotherAttempt) {
  auto h = opened();
  h.tell(Happened::client_bytes, 20);
  h.tell(Happened::wrote, 20);
  h.tell(Happened::pressed);
  EXPECT_TRUE(h.has(Do::drop_request));
  h.tell(Happened::server_gone, 0);
  EXPECT_TRUE(h.find(Do::tell_ended)->last);
}

TEST(StreamExchange, MemoryThatIsShortBeforeAnythingWasSentIsNotForgotten) {
  auto h = opened();
  h.tell(Happened::client_bytes, 20);
  h.tell(Happened::pressed);
  EXPECT_FALSE(h.has(Do::drop_request));
  h.tell(Happened::wrote, 20);
  EXPECT_TRUE(h.has(Do::drop_request)) << "else nothing would ever be read again";
}

TEST(StreamExchange, TheBodyIsAskedForOnlyWhenTheModuleSends) {
  Host h(usual(), {Coding::length, 30}, true, true);
  EXPECT_FALSE(h.client_reads);
  auto refused = h;
  refused.tell(Happened::refuse);
  EXPECT_FALSE(refused.has(Do::go_on));
  refused.tell(Happened::gave, 0);
  EXPECT_TRUE(refused.has(Do::close_client)) << "whether its body comes all the same is not known";
  h.tell(Happened::send);
  EXPECT_TRUE(h.has(Do::go_on));
  EXPECT_TRUE(h.has(Do::read_client));
}

}  // namespace
}  // namespace docklift::stream
