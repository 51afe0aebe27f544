// The parts of streaming without I/O: framing, the memory's shares, slabs, the timing wheel, progress.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <numeric>
#include <set>
#include <string>

#include "framing_input.hpp"
#include "stream/budget.hpp"
#include "framing/framing.hpp"
#include "stream/progress.hpp"
#include "stream/slab_queue.hpp"
#include "stream/wheel.hpp"

namespace docklift::stream {
namespace {

using namespace std::chrono_literals;
using Status = BodyDecoder::Status;

struct Decoded {
  std::string body, rest;
  Status status = Status::more;
  Trailers trailers;
};
// Fed in pieces of a size.
Decoded decode(BodyKind kind, const std::string& text, std::size_t piece, FramingLimits limits = {}) {
  BodyDecoder d(kind, limits);
  Decoded r;
  std::size_t at = 0;
  while (at < text.size() || r.status != Status::more) {
    const auto part = std::string_view(text).substr(at, piece);
    std::string_view left = part;
    for (;;) {
      const auto step = d.next(left);
      left.remove_prefix(step.used);
      r.body += step.data;
      r.status = step.status;
      if (step.status != Status::data) break;
    }
    at += part.size() - left.size();
    if (r.status != Status::more) break;
    if (part.empty()) break;
  }
  r.rest = text.substr(at);
  r.trailers = d.trailers();
  return r;
}

constexpr BodyKind kChunked{Coding::chunked, 0};

TEST(StreamFraming, ChunksAtEverySplit) {
  const std::string text = "5\r\nhello\r\n1a;name=value\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\nX-Sum: 1 \r\n\r\nGET /";
  for (std::size_t piece = 1; piece <= text.size(); ++piece) {
    const auto d = decode(kChunked, text, piece);
    EXPECT_EQ(d.status, Status::done) << piece;
    EXPECT_EQ(d.body, "helloabcdefghijklmnopqrstuvwxyz");
    EXPECT_EQ(d.rest, "GET /");
    EXPECT_EQ(d.trailers, (Trailers{{"x-sum", "1"}}));
  }
}

TEST(StreamFraming, WhatIsInDoubtIsRefused) {
  const std::string big(200, 'a');
  for (const std::string text :
       {"5\nhello\r\n0\r\n\r\n", "5\r\nhello\n0\r\n\r\n", "5\r\nhelloX\r\n", " 5\r\nhello\r\n", "5 \r\nhello\r\n", "+5\r\n", "-1\r\n",
        "0x5\r\nhello\r\n", "\r\n", "g\r\n", "10000000000000000\r\n", "5;\x01\r\nhello\r\n", "5\r\nhello\r\n0\r\nno colon\r\n\r\n",
        "5\r\nhello\r\n0\r\n: nameless\r\n\r\n", "5\r\nhello\r\n0\r\na b: c\r\n\r\n", "5\r\nhello\r\n0\r\nfolded: a\r\n b\r\n\r\n",
        "5\rXhello"}) {
    for (const std::size_t piece : {1, 3, 1000}) EXPECT_EQ(decode(kChunked, text, piece).status, Status::bad) << text;
  }
  EXPECT_EQ(decode(kChunked, "5;" + big, 7).status, Status::bad) << "a chunk's line without end";
  EXPECT_EQ(decode(kChunked, "0\r\nx: " + big, 7, {.trailer = 100}).status, Status::bad);
  std::string many = "0\r\n";
  for (int i = 0; i < 40; ++i) many += "a: b\r\n";
  EXPECT_EQ(decode(kChunked, many + "\r\n", 7).status, Status::bad);
}

TEST(StreamFraming, TheLargestSizeIsReadAndOneMoreIsNot) {
  EXPECT_EQ(decode(kChunked, "ffffffffffffffff\r\nab", 1).status, Status::more);
  EXPECT_EQ(decode(kChunked, "ffffffffffffffff\r\nab", 1).body, "ab");
  EXPECT_EQ(decode(kChunked, "1ffffffffffffffff\r\n", 1).status, Status::bad);
}

TEST(StreamFraming, ALengthTakesItsBytesAndNoMore) {
  EXPECT_EQ(decode({Coding::length, 3}, "abcdef", 2).rest, "def");
  EXPECT_EQ(decode({Coding::length, 3}, "ab", 2).status, Status::more);
  EXPECT_EQ(decode({Coding::length, 0}, "ab", 2).rest, "ab");
  EXPECT_EQ(decode({}, "ab", 2).rest, "ab");
}

TEST(StreamFraming, HeadsInDoubt) {
  EXPECT_FALSE(body_kind({"3", "3"}, {}));
  EXPECT_FALSE(body_kind({"3"}, {"chunked"}));
  EXPECT_FALSE(body_kind({}, {"gzip, chunked"}));
  EXPECT_FALSE(body_kind({}, {"chunked", "chunked"}));
  EXPECT_FALSE(body_kind({"+3"}, {}));
  EXPECT_FALSE(body_kind({"3, 3"}, {}));
  EXPECT_FALSE(body_kind({"18446744073709551616"}, {}));
  EXPECT_EQ(body_kind({"18446744073709551615"}, {})->length, 18446744073709551615ULL);
  EXPECT_EQ(body_kind({}, {"Chunked"})->coding, Coding::chunked);
  EXPECT_EQ(body_kind({}, {})->coding, Coding::none);
}

TEST(StreamFraming, OnlyNamedTrailersPass) {
  EXPECT_EQ(last_chunk({{"x-sum", "1"}, {"content-length", "9"}}, {"x-sum"}), "0\r\nx-sum: 1\r\n\r\n");
}

RC_GTEST_PROP(StreamFramingProperty, WhatIsEncodedIsDecoded, (const std::vector<std::string>& parts, std::uint8_t size)) {
  std::string text, body;
  for (const auto& p : parts) {
    if (p.empty()) continue;
    text += chunk_head(p.size()) + p + "\r\n";
    body += p;
  }
  text += last_chunk();
  const auto d = decode(kChunked, text + "rest", 1U + size);
  RC_ASSERT(d.status == Status::done);
  RC_ASSERT(d.body == body);
  RC_ASSERT(d.rest == "rest");
}

// Bytes of the kind that framing is made of, as the fuzzer would find them.
RC_GTEST_PROP(StreamFramingProperty, HoldsForAnyBytes, (const std::vector<std::uint8_t>& draws)) {
  static constexpr std::string_view alphabet = "0123456789abcdefF\r\n\r\n\r\n;: xX-+\t";
  std::string text;
  for (const auto d : draws) text.push_back(d < 250 ? alphabet[d % alphabet.size()] : static_cast<char>(d));
  fuzz::check_framing(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
}

// ---- Memory -----------------------------------------------------------------------------------------------

constexpr PipeId id(std::uint64_t n) { return PipeId{n}; }

TEST(StreamBudget, AFloorIsThereForEachThatWasAdmitted) {
  Budget b(5, 1, 5);
  ASSERT_TRUE(b.admit(id(1)));
  ASSERT_TRUE(b.admit(id(2)));
  std::vector<SlabPtr> first;
  while (auto s = b.take(id(1))) first.push_back(std::move(s));
  EXPECT_EQ(first.size(), 4U) << "one is kept for the other";
  EXPECT_TRUE(b.take(id(2)));
  EXPECT_FALSE(b.admit(id(3))) << "its floor can't be kept";
}

TEST(StreamBudget, ThoseThatCameFirstDoNotKeepOutThoseThatAreExpected) {
  Budget b(6, 1, 6, 4);
  ASSERT_TRUE(b.admit(id(1)));
  std::vector<SlabPtr> first;
  while (auto s = b.take(id(1))) first.push_back(std::move(s));
  EXPECT_EQ(first.size(), 3U);
  for (const auto n : {2, 3, 4}) {
    ASSERT_TRUE(b.admit(id(n)));
    EXPECT_TRUE(b.take(id(n)));
  }
  EXPECT_FALSE(b.admit(id(5)));
}

TEST(StreamBudget, WhatIsGivenBackGoesToWhoStandsInLine) {
  Budget b(4, 1, 4);
  for (const auto n : {1, 2, 3}) ASSERT_TRUE(b.admit(id(n)));
  std::vector<SlabPtr> first;
  for (int i = 0; i < 2; ++i) first.push_back(b.take(id(1)));
  auto second = b.take(id(2));
  auto third = b.take(id(3));
  EXPECT_FALSE(b.take(id(2)));
  EXPECT_FALSE(b.take(id(3)));
  b.give(id(1), std::move(first.back()));
  EXPECT_EQ(b.turns(), std::vector<PipeId>{id(2)});
  EXPECT_FALSE(b.take(id(1))) << "what was granted to another is not there to be taken";
  EXPECT_TRUE(b.take(id(2)));
}

TEST(StreamBudget, WhoStandsInLineAndGivesItsFloorBackMayTakeItAgain) {
  Budget b(2, 1, 2);
  ASSERT_TRUE(b.admit(id(1)));
  ASSERT_TRUE(b.admit(id(2)));
  auto slab = b.take(id(1));
  EXPECT_FALSE(b.take(id(1)));
  b.give(id(1), std::move(slab));
  EXPECT_EQ(b.turns(), std::vector<PipeId>{id(1)}) << "else it would wait for ever";
  EXPECT_EQ(b.waiting(), 0U);
  EXPECT_TRUE(b.take(id(1)));
}

TEST(StreamBudget, WhoAsksForMuchAtOnceGetsNoMoreThanOthers) {
  Budget b(12, 1, 12);
  ASSERT_TRUE(b.admit(id(1)));
  ASSERT_TRUE(b.admit(id(2)));
  ASSERT_TRUE(b.admit(id(9)));
  std::map<int, std::vector<SlabPtr>> held;
  while (auto s = b.take(id(9))) held[9].push_back(std::move(s));
  held[1].push_back(b.take(id(1)));
  held[2].push_back(b.take(id(2)));
  EXPECT_FALSE(b.take(id(1), 4));
  EXPECT_FALSE(b.take(id(2), 1));
  std::map<int, int> got;
  for (int round = 0; round < 2000; ++round) {
    if (held[9].empty()) {  // the one that held all takes back what the others give
      for (int n : {1, 2})
        while (held[n].size() > 1) b.give(id(n), std::move(held[n].back())), held[n].pop_back(), held[9].emplace_back();
      held[9].clear();
      while (auto s = b.take(id(9))) held[9].push_back(std::move(s));
      if (held[9].empty()) break;
    }
    b.give(id(9), std::move(held[9].back()));
    held[9].pop_back();
    for (const auto turn : b.turns()) {
      const int n = static_cast<int>(turn);
      if (n == 9) continue;
      while (auto s = b.take(turn, n == 1 ? 4 : 1)) held[n].push_back(std::move(s)), ++got[n];
    }
  }
  EXPECT_GT(got[1], 0);
  EXPECT_GT(got[2], 0);
  EXPECT_LE(got[1], 2 * got[2] + 4);
}

RC_GTEST_PROP(StreamBudgetProperty, NeverMoreThanThereIsAndAlwaysTheFloor, (const std::vector<std::uint16_t>& steps)) {
  constexpr std::size_t kAll = 9, kMost = 5;
  Budget b(kAll, 2, kMost);
  std::map<std::uint64_t, std::vector<SlabPtr>> held;
  for (const auto step : steps) {
    const std::uint64_t n = step % 6;
    switch ((step / 6) % 5) {
      case 0:
        if (!held.contains(n) && b.admit(id(n))) held[n];
        break;
      case 1:
      case 2:
        if (!held.contains(n)) break;
        if (auto s = b.take(id(n), 1 + step % 3))
          held[n].push_back(std::move(s));
        else
          RC_ASSERT(held[n].size() >= 2U);
        break;
      case 3:
        if (!held.contains(n) || held[n].empty()) break;
        b.give(id(n), std::move(held[n].back()));
        held[n].pop_back();
        break;
      default:
        if (!held.contains(n)) break;
        if (step % 2) {
          b.decline(id(n));
          break;
        }
        for (auto& s : held[n]) b.give(id(n), std::move(s));
        held.erase(n);
        b.release(id(n));
    }
    std::size_t out = 0;
    for (const auto& [k, v] : held) {
      out += v.size();
      RC_ASSERT(v.size() <= kMost);
    }
    RC_ASSERT(out == b.out());
    RC_ASSERT(out <= kAll);
  }
  // Whoever is in can take its floor now, all of them together.
  for (auto& [k, v] : held)
    while (v.size() < 2) {
      auto s = b.take(id(k));
      RC_ASSERT(s != nullptr);
      v.push_back(std::move(s));
    }
}

RC_GTEST_PROP(StreamSlabProperty, BytesComeOutAsTheyWentIn, (const std::vector<std::uint16_t>& steps, bool keeps)) {
  SlabQueue q;
  std::size_t given = 0, added = 0;
  const auto give = [&](SlabPtr) { ++given; };
  std::uint64_t in = 0, out = 0;
  for (const auto step : steps) {
    if (step % 3 != 0) {
      if (q.space().empty()) q.add(std::make_unique<Slab>()), ++added;
      const auto space = q.space();
      const auto n = std::min<std::size_t>(space.size(), 1U + step % 20'000);
      for (std::size_t i = 0; i < n; ++i) space[i] = static_cast<char>((in + i) * 31 % 251);
      q.commit(n);
      in += n;
    } else {
      const auto next = q.next();
      const auto n = std::min<std::size_t>(next.size(), 1U + step % 30'000);
      for (std::size_t i = 0; i < n; ++i) RC_ASSERT(next[i] == static_cast<char>((out + i) * 31 % 251));
      q.sent(n);
      out += n;
      if (!keeps) q.drop_sent(give);
      if (keeps && step % 7 == 0) q.rewind(), out = 0;
    }
    RC_ASSERT(q.unsent() == in - out);
    RC_ASSERT(q.slabs() * kSlabBytes >= q.held());
    if (!keeps) RC_ASSERT(q.slabs() <= q.held() / kSlabBytes + 2);
  }
  q.clear(give);
  RC_ASSERT(given == added);
}

// ---- Time -------------------------------------------------------------------------------------------------

TEST(StreamWheel, DueAtTheirTickAcrossLevels) {
  for (const std::uint64_t start : {0, 1, 63, 64, 4095, 262143}) {
    for (const std::uint64_t span : {1, 2, 63, 64, 65, 4095, 4096, 4097, 262144, 16'777'215, 16'777'216, 20'000'000}) {
      Wheel w;
      w.advance(start, [](auto) {});
      w.set(0, start + span);
      std::uint64_t at = 0;
      w.advance(start + span - 1, [&](auto) { at = w.now(); });
      EXPECT_EQ(at, 0U) << start << " " << span;
      w.advance(start + span, [&](auto) { at = w.now(); });
      EXPECT_EQ(at, start + span);
      EXPECT_EQ(w.size(), 0U);
    }
  }
}

RC_GTEST_PROP(StreamWheelProperty, AgreesWithAPlainOrderedMap, (const std::vector<std::uint32_t>& steps)) {
  Wheel w;
  std::map<std::uint32_t, std::uint64_t> plain;
  for (const auto step : steps) {
    const std::uint32_t n = step % 23;
    switch ((step / 23) % 4) {
      case 0:
      case 1: {
        const auto when = w.now() + 1 + (step / 92) % (step % 5 == 0 ? 300'000 : 200);
        w.set(n, when);
        plain[n] = when;
        break;
      }
      case 2:
        w.drop(n);
        plain.erase(n);
        break;
      default: {
        const auto to = w.now() + (step / 92) % (step % 7 == 0 ? 100'000 : 90);
        std::set<std::uint32_t> due, expected;
        for (const auto& [k, when] : plain)
          if (when <= to) expected.insert(k);
        w.advance(to, [&](std::uint32_t k) {
          due.insert(k);
          RC_ASSERT(plain.at(k) == w.now());
        });
        RC_ASSERT(due == expected);
        for (const auto k : due) plain.erase(k);
      }
    }
    RC_ASSERT(w.size() == plain.size());
  }
}

TEST(StreamWheel, LimitsSetAndDroppedWhileOthersAreDue) {
  Wheel w;
  for (std::uint32_t n = 0; n < 4; ++n) w.set(n, 70);
  int calls = 0;
  w.advance(200, [&](std::uint32_t n) {
    ++calls;
    for (std::uint32_t other = 0; other < 4; ++other) w.drop(other);
    if (n != 9) w.set(9, w.now() + 1);
  });
  EXPECT_EQ(calls, 2);
}

ProgressLimits limits() { return {.least_rate = 100, .window = 10s, .stall = 3s}; }

TEST(StreamProgress, APeerThatStopsIsStalled) {
  Progress p(limits());
  p.wait(0s);
  EXPECT_EQ(*p.due(), 3s);
  p.moved(2s, 1);
  EXPECT_EQ(p.state(4s), Progress::State::fine);
  EXPECT_EQ(p.state(5s), Progress::State::stalled);
}

TEST(StreamProgress, ATrickleIsSlowThoughItNeverStops) {
  Progress p(limits());
  p.wait(0s);
  for (int i = 1; i < 10; ++i) p.moved(std::chrono::seconds(i), 50);
  EXPECT_EQ(p.state(9900ms), Progress::State::fine);
  EXPECT_EQ(p.state(10s), Progress::State::slow);
}

TEST(StreamProgress, EnoughBytesBeginAnotherWindow) {
  Progress p(limits());
  p.wait(0s);
  for (int i = 1; i <= 30; ++i) {
    EXPECT_EQ(p.state(std::chrono::seconds(i)), Progress::State::fine) << i;
    p.moved(std::chrono::seconds(i), 120);
  }
}

TEST(StreamProgress, NobodyPaysForTheOtherSide) {
  Progress p(limits());
  for (int i = 0; i < 100; ++i) {  // a second of its own, an hour of the other's
    const auto at = std::chrono::hours(i);
    p.wait(at);
    EXPECT_EQ(p.state(at + 1s), Progress::State::fine) << i;
    p.moved(at + 1s, 150);
    p.rest(at + 1s);
    EXPECT_FALSE(p.due());
  }
}

TEST(StreamProgress, PausesOfOthersDoNotEndAStall) {
  Progress p(limits());
  p.wait(0s);
  p.rest(2s);
  p.wait(10s);
  EXPECT_EQ(p.state(11500ms), Progress::State::fine) << "waited for anew: a stall is one wait without a byte";
  EXPECT_EQ(p.state(13s), Progress::State::stalled);
}

}  // namespace
}  // namespace docklift::stream
