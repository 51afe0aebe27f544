// Replacement of the process, without sockets: both machines joined by channels that hold words back, through every order of what
// can happen, and the words themselves.
#include "succession/succession.hpp"

#include <gtest/gtest.h>

#include <deque>

namespace docklift::succession {
namespace {

constexpr std::size_t kLimit = 384;

TEST(Words, AreReadAsTheyWereWritten) {
  EXPECT_EQ(read_word(hello()).kind, Word::Kind::hello);
  EXPECT_EQ(read_word(hello()).number, kVersion);
  EXPECT_EQ(read_word(listener(300)).number, 300u);
  EXPECT_EQ(read_word(promise(120)).kind, Word::Kind::promise);
  EXPECT_EQ(read_word(serving()).kind, Word::Kind::serving);
  const auto packet = client("GET / HTTP/1.1\r\nX: \n");
  EXPECT_EQ(read_word(packet).kind, Word::Kind::client);
  EXPECT_EQ(read_word(packet).bytes, "GET / HTTP/1.1\r\nX: \n");
}
TEST(Words, WhatIsNoneIsUnknown) {
  for (const std::string_view text : {"", "docklift 1", "docklift\n", "docklift x\n", "listener \n", "promise 1 2\n", "client \n", "serving 1\n"})
    EXPECT_EQ(read_word(text).kind, Word::Kind::unknown) << text;
}
TEST(Incumbent, HelpsOneAtATimeAndOnlyOneThatItUnderstands) {
  Incumbent i(kLimit);
  EXPECT_EQ(i.asked(kVersion + 1), std::vector{Incumbency::refuse});
  EXPECT_EQ(i.asked(kVersion), std::vector{Incumbency::give_listener});
  EXPECT_EQ(i.asked(kVersion), std::vector{Incumbency::refuse});
  EXPECT_LT(i.promised(), kLimit);
  EXPECT_EQ(i.successor_ended(), std::vector{Incumbency::take_back});  // it never served: nothing else was stopped
  EXPECT_EQ(i.promised(), kLimit);
  EXPECT_EQ(i.asked(kVersion), std::vector{Incumbency::give_listener});
}
TEST(Successor, ServesAtOnceWhereNobodyRuns) {
  Successor s(kLimit);
  const auto all = s.nobody_there();
  EXPECT_EQ(all.front(), Succession::bind);
  EXPECT_TRUE(s.serves());
  EXPECT_EQ(s.share(), kLimit);
}
TEST(Successor, BesideOneThatDoesNotAnswerItTakesHalf) {
  Successor s(kLimit);
  s.overdue();
  EXPECT_TRUE(s.serves());
  EXPECT_EQ(s.share(), kLimit / 2);
  EXPECT_TRUE(s.came_listener(300).empty());  // too late
  s.incumbent_ended();
}

// Both, and the words under way between them.
struct Pair {
  Incumbent old{kLimit};
  Successor fresh{kLimit};
  std::deque<std::string> to_old, to_fresh;
  bool old_lives = true, fresh_lives = true, told = false, fresh_ready = false;
  bool old_accepts = true, fresh_accepts = false, fresh_has_listener = false, passes = false;
  std::size_t old_holds = 150, fresh_share = 0;

  Pair() { to_old.push_back(hello()); }

  void old_does(const std::vector<Incumbency>& all) {
    for (const auto a : all) {
      if (a == Incumbency::give_listener) to_fresh.push_back(listener(old.promised()));
      if (a == Incumbency::stop_accepting) old_accepts = false, passes = true;
      if (a == Incumbency::accept_again) old_accepts = true, passes = false;
      if (a == Incumbency::promise) to_fresh.push_back(promise(old.promised()));
    }
  }
  void fresh_does(const std::vector<Succession>& all) {
    for (const auto a : all) {
      if (a == Succession::adopt || a == Succession::bind) fresh_has_listener = true;
      if (a == Succession::share) fresh_share = fresh.share();
      if (a == Succession::accept) fresh_accepts = true;
      if (a == Succession::tell_serving && old_lives) to_old.push_back(serving());
    }
  }
  static constexpr int kSteps = 8;
  // False: it can't happen now.
  bool step(int n) {
    switch (n) {
      case 0: {  // a word comes to the old one
        if (!old_lives || to_old.empty()) return false;
        const auto w = read_word(to_old.front());
        old_does(w.kind == Word::Kind::hello ? old.asked(w.number) : old.successor_serves());
        to_old.pop_front();
        return true;
      }
      case 1: {  // a word comes to the new one
        if (!fresh_lives || to_fresh.empty()) return false;
        const auto w = read_word(to_fresh.front());
        fresh_does(w.kind == Word::Kind::listener ? fresh.came_listener(w.number) : fresh.came_promise(w.number));
        to_fresh.pop_front();
        return true;
      }
      case 2:
        if (!fresh_lives || std::exchange(fresh_ready, true)) return false;
        fresh_does(fresh.ready());
        return true;
      case 3:  // the old one has passed some on
        if (!old_lives || !passes || old_holds < 60) return false;
        old_holds -= 40;
        old_does(old.holds(old_holds));
        return true;
      case 4:
        return old_lives && !std::exchange(told, true);
      case 5:  // the old one ends; what it had sent still comes
        if (!old_lives || !told || (passes && old_holds > 60)) return false;
        old_lives = old_accepts = passes = false;
        return true;
      case 6:  // the new one sees that
        if (old_lives || !fresh_lives || !to_fresh.empty() || seen_) return false;
        seen_ = true;
        fresh_does(fresh.incumbent_ended());
        return true;
      default:  // the new one dies
        if (!fresh_lives || !old_lives) return false;
        fresh_lives = fresh_accepts = false;
        to_fresh.clear(), to_old.clear();
        old_does(old.successor_ended());
        return true;
    }
  }
  void check() const {
    const bool new_will = fresh_lives && (fresh_accepts || !old_lives);
    ASSERT_TRUE(old_accepts || new_will || !(old_lives || fresh_lives)) << "nobody accepts";
    ASSERT_FALSE(passes && !(fresh_lives && fresh_accepts)) << "passed on to one that does not serve";
    ASSERT_TRUE(!old_lives || !fresh_lives || old.promised() + fresh_share <= kLimit);
    ASSERT_TRUE(!fresh_accepts || fresh_has_listener);
  }

 private:
  bool seen_ = false;
};

void walk(const Pair& from, int depth, std::uint64_t& orders) {
  ++orders;
  if (depth == 0) return;
  for (int n = 0; n < Pair::kSteps; ++n) {
    Pair next = from;
    if (!next.step(n)) continue;
    ASSERT_NO_FATAL_FAILURE(next.check()) << "step " << n;
    ASSERT_NO_FATAL_FAILURE(walk(next, depth - 1, orders));
  }
}
TEST(Succession, HoldsInEveryOrder) {
  std::uint64_t orders = 0;
  walk(Pair(), 12, orders);
  EXPECT_GT(orders, 1000u);
}
TEST(Succession, EndsWithTheNewOneAloneAndAllOfTheLimit) {
  Pair p;
  for (const int n : {0, 1, 2, 0, 3, 1, 3, 1, 4, 3, 1, 5, 6}) p.step(n);
  EXPECT_TRUE(p.fresh_accepts);
  EXPECT_FALSE(p.old_lives);
  EXPECT_EQ(p.fresh_share, kLimit);
}

}  // namespace
}  // namespace docklift::succession
