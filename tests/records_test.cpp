// Unit tests of members, records, server phases, datagrams and fault schedules: merging in every order, conflicts, limits and invalid input.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <set>

#include "daemon/fleet_command.hpp"
#include "members/members.hpp"
#include "peers/peer.hpp"
#include "peers/wire.hpp"
#include "replica/replica.hpp"
#include "replica/words.hpp"
#include "schedule.hpp"

namespace docklift {
namespace {

using namespace std::chrono_literals;
using replica::Instant;
using replica::Kind;
using replica::Origin;
using replica::Page;
using replica::Record;
using replica::Replica;

constexpr Instant kNow = 1000s;

replica::Message pages(std::vector<Page> all) {
  replica::Message m;
  m.kind = replica::Message::Kind::pages;
  m.pages = std::move(all);
  return m;
}
Record record(std::uint64_t number, Kind kind, const std::string& key, const std::string& value, Instant ends = {}) {
  return {number, kind, key, value, ends};
}
const Origin kA{"a", 1}, kB{"b", 2}, kC{"c", 3};

// ---- Merging ------------------------------------------------------------------------------------------------

// Every order of the pages of two origins, each repeated: a page that came too early is requested and arrives again.
TEST(Records, EveryOrderOfPagesGivesTheSameCopies) {
  const std::vector<Page> all{{kA, 0, 2, true, {record(1, Kind::server_status, "s", "1"), record(2, Kind::use, "u", "1")}},
                              {kA, 2, 3, true, {record(3, Kind::server_status, "s", "2")}},
                              {kA, 3, 5, false, {record(5, Kind::use, "u", "2")}},
                              {kB, 0, 1, false, {record(1, Kind::server_status, "s", "9")}},
                              {kB, 1, 4, false, {record(4, Kind::server_status, "t", "3")}},
                              {kA, 0, 5, false, {record(3, Kind::server_status, "s", "2"), record(5, Kind::use, "u", "2")}}};
  std::vector<std::size_t> order(all.size());
  std::iota(order.begin(), order.end(), 0);
  std::size_t orders = 0;
  std::uint64_t digest = 0;
  do {
    ++orders;
    Replica r(kC, {}, 1);
    for (int turn = 0; turn < 2; ++turn)  // pages rejected because of a gap are requested and arrive again
      for (const auto i : order) r.received(kNow, "x", pages({all[i]}));
    for (const auto i : order) r.received(kNow, "x", pages({all[i]}));
    if (digest == 0) digest = r.digest();
    ASSERT_EQ(r.digest(), digest);
    ASSERT_EQ(r.find(kA, Kind::server_status, "s")->value, "2");
    ASSERT_EQ(r.find(kA, Kind::use, "u")->value, "2");
    ASSERT_EQ(r.vector().at(kA), 5U);
    ASSERT_TRUE(r.conflicts().empty());
  } while (std::next_permutation(order.begin(), order.end()));
  EXPECT_EQ(orders, 720U);
}

TEST(Records, GapBeforeAPageIsRequested) {
  Replica r(kC, {}, 1);
  const auto out = r.received(kNow, "x", pages({{kA, 7, 9, false, {record(9, Kind::use, "u", "1")}}}));
  EXPECT_EQ(r.find(kA, Kind::use, "u"), nullptr);
  ASSERT_EQ(out.sends.size(), 1U);
  EXPECT_EQ(out.sends[0].message.kind, replica::Message::Kind::want);
  EXPECT_EQ(out.sends[0].message.entries[0].number, 0U);
}

// A key that was changed again has a number above the one a copy has reached, and its former record no longer exists: here the copy has the first page but
// not the second.
TEST(Records, CopyIsCompleteOnlyWithTheKeysChangedAgain) {
  Replica a(kA, {.page_bytes = 60}, 1), b(kB, {}, 2);
  a.put(Kind::use, "u", "21");
  a.put(Kind::epoch_ended, "", "1");
  a.put(Kind::use, "u", "21, and 4 since");
  const auto all = a.all_pages();
  ASSERT_EQ(all.size(), 2U);
  b.received(kNow, "a", all[0]);
  ASSERT_NE(b.find(kA, Kind::epoch_ended, ""), nullptr);
  EXPECT_EQ(b.find(kA, Kind::use, "u"), nullptr);
  EXPECT_EQ(b.complete_at(kA), 0U);
  // A copy of the copy is as complete, and no more.
  Replica c(kC, {}, 3);
  for (const auto& m : b.all_pages()) c.received(kNow, "b", m);
  EXPECT_EQ(c.number_of(kA), 2U);
  EXPECT_EQ(c.complete_at(kA), 0U);
  b.received(kNow, "a", all[1]);
  EXPECT_EQ(b.complete_at(kA), 3U);
  EXPECT_EQ(b.find(kA, Kind::use, "u")->value, "21, and 4 since");
}

// A node returns to many origins with many records: each response leads to the next request without any delay.
TEST(Records, ManyOriginsAreCaughtUpWithoutDelay) {
  Replica old({"old", 1}, {}, 1), fresh({"fresh", 2}, {}, 2);
  constexpr std::size_t kOrigins = 20;
  for (std::size_t o = 0; o < kOrigins; ++o) {
    Replica r({"o" + std::to_string(o), 9}, {}, 1);
    for (int i = 0; i < 100; ++i) r.put(Kind::use, "key" + std::to_string(i), std::string(120, 'x'), kNow + 60s);
    for (const auto& m : r.all_pages()) old.received(kNow, "o", m);
  }
  std::vector<replica::Message> to_old{Replica::ask()};
  std::size_t messages = 0;
  while (!to_old.empty() && messages < 5000) {
    std::vector<replica::Message> to_fresh;
    for (const auto& m : to_old)
      for (auto& s : old.received(kNow, "fresh", m).sends) to_fresh.push_back(std::move(s.message));
    to_old.clear();
    for (const auto& m : to_fresh)
      for (auto& s : fresh.received(kNow, "old", m).sends) to_old.push_back(std::move(s.message));
    messages += to_fresh.size();
  }
  EXPECT_EQ(fresh.figures().records, kOrigins * 100);
  // A record has 134 bytes, a message 900: not many more messages than needed.
  EXPECT_LT(messages, kOrigins * 100 / 5);
}

// A node that is far behind: the sender fails in the middle, and another peer continues from there.
TEST(Records, SnapshotContinuesFromAnotherPeerAfterTheFirstFails) {
  Replica a(kA, {}, 1), b(kB, {}, 2), c(kC, {}, 3);
  for (int i = 0; i < 2000; ++i) a.put(Kind::use, "u" + std::to_string(i), std::string(40, 'v'));
  const auto feed = [](Replica& to, Replica& from, const std::string& name, std::size_t most) {
    // Exchanges requests and responses until nothing more is requested or the sender fails.
    std::vector<replica::Message> asked{Replica::ask()};
    std::size_t sent = 0;
    while (!asked.empty()) {
      auto m = asked.front();
      asked.erase(asked.begin());
      for (auto& answer : from.received(kNow + Instant(sent * 1000000), "me", m).sends) {
        if (++sent > most) return;
        for (auto& w : to.received(kNow + Instant(sent * 1000000), name, answer.message).sends) asked.push_back(w.message);
      }
    }
  };
  feed(b, a, "a", 1000);  // a page holds about 15 records: no duplicates are sent
  ASSERT_EQ(b.vector().at(kA), 2000U);
  feed(c, a, "a", 20);
  const auto half = c.vector().at(kA);
  EXPECT_GT(half, 0U);
  EXPECT_LT(half, 2000U);
  feed(c, b, "b", 1000);
  EXPECT_EQ(c.vector().at(kA), 2000U);
  EXPECT_EQ(c.digest(), b.digest());
}

TEST(Records, ExpiredRecordsAreRemovedAndDoNotReturn) {
  Replica r(kC, {}, 1);
  r.received(kNow, "x", pages({{kA, 0, 1, false, {record(1, Kind::use, "u", "1", kNow + 1s)}}}));
  ASSERT_NE(r.find(kA, Kind::use, "u"), nullptr);
  r.sweep(kNow + 2s, [](const Origin&) { return true; });
  EXPECT_EQ(r.find(kA, Kind::use, "u"), nullptr);
  r.received(kNow + 2s, "x", pages({{kA, 0, 1, false, {record(1, Kind::use, "u", "1", kNow + 1s)}}}));
  EXPECT_EQ(r.find(kA, Kind::use, "u"), nullptr);
  EXPECT_EQ(r.vector().at(kA), 1U);
}

TEST(Records, FinalUpdatesGoToTwiceAsManyPeersAsARound) {
  Replica r(kA, {}, 1);
  std::vector<std::string> peers;
  for (int i = 0; i < 20; ++i) peers.push_back("n" + std::to_string(i));
  r.put(Kind::node, "", "l");
  const auto out = r.final_updates(kNow, peers);
  ASSERT_EQ(out.sends.size(), 6U);
  std::set<std::string> to;
  for (const auto& s : out.sends) {
    to.insert(s.to);
    ASSERT_EQ(s.message.pages.size(), 1U);
    EXPECT_EQ(s.message.pages[0].records[0].value, "l");
  }
  EXPECT_EQ(to.size(), 6U);
}

// ---- Conflicts ----------------------------------------------------------------------------------------------

TEST(Records, TwoContentsOfOneNumberAreReportedOnceAndTheSaferIsKept) {
  for (const bool careful_first : {true, false}) {
    Replica r(kC, {}, 1);
    const auto drain = replica::to_text(replica::ServerStatus{1, 5, replica::ServerPhase::draining});
    const auto ready = replica::to_text(replica::ServerStatus{1, 5, replica::ServerPhase::ready});
    r.received(kNow, "x", pages({{kA, 0, 1, false, {record(1, Kind::server_status, "s", careful_first ? drain : ready)}}}));
    std::size_t named = 0;
    for (int i = 0; i < 3; ++i)
      named += r.received(kNow, "x", pages({{kA, 0, 1, false, {record(1, Kind::server_status, "s", careful_first ? ready : drain)}}})).conflicts.size();
    EXPECT_EQ(named, 1U);
    EXPECT_EQ(r.find(kA, Kind::server_status, "s")->value, drain);
  }
}

TEST(Records, ForeignChangesInTheOwnNameAreReportedAndNumberedAbove) {
  Replica r(kC, {}, 1);
  r.put(Kind::server_status, "s", "mine");
  const auto out = r.received(kNow, "x", pages({{kC, 0, 40, false, {record(40, Kind::server_status, "s", "not mine")}}}));
  EXPECT_EQ(out.conflicts.size(), 1U);
  EXPECT_EQ(r.find(kC, Kind::server_status, "s")->value, "mine");
  EXPECT_GT(r.find(kC, Kind::server_status, "s")->number, 40U);
}

TEST(Records, EvictionAboveTheLimitNeverRemovesDrainsOrUse) {
  replica::Limits limits;
  limits.most_records = 100;
  Replica r(kC, limits, 1);
  std::vector<Record> all;
  for (std::uint64_t i = 1; i <= 200; ++i)
    all.push_back(record(i, i % 4 == 0 ? Kind::server_status : i % 4 == 1 ? Kind::use : Kind::server_health, "k" + std::to_string(i), "v"));
  r.received(kNow, "x", pages({{kA, 0, 200, false, all}}));
  EXPECT_EQ(r.keys(Kind::server_status).size(), 50U);
  EXPECT_EQ(r.keys(Kind::use).size(), 50U);
  EXPECT_LE(r.figures().records, 100U);
  EXPECT_GT(r.figures().dropped, 0U);
  EXPECT_EQ(r.vector().at(kA), 200U);  // and is not requested again
}

TEST(Records, OriginWithTooManyRecordsIsFenced) {
  replica::Limits limits;
  limits.most_of_origin = 50;
  Replica r(kC, limits, 1);
  std::vector<Record> all;
  for (std::uint64_t i = 1; i <= 60; ++i)
    all.push_back(record(i, Kind::server_status, "k" + std::to_string(i), "v"));
  EXPECT_EQ(r.received(kNow, "x", pages({{kA, 0, 60, false, all}})).conflicts.size(), 1U);
  r.received(kNow, "x", pages({{kA, 60, 61, false, {record(61, Kind::server_status, "more", "v")}}}));
  EXPECT_EQ(r.find(kA, Kind::server_status, "more"), nullptr);
}

// ---- Server phases ------------------------------------------------------------------------------------------

struct StatusCase {
  const char* what;
  replica::ServerStatus others;
  std::uint64_t own_start, own_revision;
  bool drained;
};

TEST(Words, NewestStartThenHighestRevisionThenDrainWins) {
  using replica::ServerPhase;
  const std::vector<StatusCase> cases{
      {"list older than the drain", {1, 5, ServerPhase::draining}, 1, 4, true},
      {"list of the drain's own revision", {1, 5, ServerPhase::draining}, 1, 5, true},
      {"list newer than the drain", {1, 5, ServerPhase::draining}, 1, 6, false},
      {"server started anew since", {1, 5, ServerPhase::draining}, 2, 4, false},
      {"a later start is drained", {2, 5, ServerPhase::draining}, 1, 9, true},
      {"gone is drained", {1, 5, ServerPhase::gone}, 1, 4, true},
      {"ready says nothing", {1, 5, ServerPhase::ready}, 1, 4, false},
  };
  for (const auto& c : cases)
    for (const bool list_first : {true, false}) {
      Replica r(kC, {}, 1);
      replica::ServerPhases words(r);
      bool fresh = false;
      const auto key = replica::number_key(7);
      const auto list = [&] { words.listed(kNow, true, c.own_revision, {{7, c.own_start, ServerPhase::ready}}, fresh); };
      if (list_first) list();
      r.received(kNow, "x", pages({{kA, 0, 1, false, {record(1, Kind::server_status, key, replica::to_text(c.others))}}}));
      words.record_received(key);
      if (!list_first) list();
      EXPECT_EQ(words.held(7), c.drained) << c.what << (list_first ? ", list first" : ", record first");
    }
}

TEST(Words, ServerRemovedFromTheListIsGoneForOlderLists) {
  Replica r(kC, {}, 1);
  replica::ServerPhases words(r);
  bool fresh = false;
  words.listed(kNow, true, 4, {{7, 1, replica::ServerPhase::ready}, {8, 1, replica::ServerPhase::ready}}, fresh);
  EXPECT_FALSE(fresh);
  words.listed(kNow, true, 5, {{8, 1, replica::ServerPhase::ready}}, fresh);
  EXPECT_TRUE(fresh);
  EXPECT_EQ(words.newest(7)->phase, replica::ServerPhase::gone);
  EXPECT_FALSE(words.newest(8).has_value());
}

// ---- Members ------------------------------------------------------------------------------------------------

// Members connected by a network without faults, simulated in steps of 10 ms.
struct Cluster {
  std::map<std::string, members::Members*> at;  // by address
  members::Instant now = 1000s;
  std::vector<std::string> log{};
  std::vector<std::pair<std::string, members::Message>> in_flight{};
  void take(members::Actions out) {
    for (auto& s : out.sends) in_flight.emplace_back(s.address, std::move(s.message));
    for (auto& l : out.log) log.push_back(l);
  }
  void run(members::Instant time) {
    for (const auto end = now + time; now < end; now += 10ms) {
      for (auto& [address, m] : std::exchange(in_flight, {}))
        if (const auto it = at.find(address); it != at.end()) take(it->second->received(now, m));
      for (auto& [address, m] : at)
        if (m->due() <= now) take(m->tick(now));
    }
  }
  std::size_t logged(const std::string& text) const {
    return static_cast<std::size_t>(std::ranges::count_if(log, [&](const auto& l) { return l.find(text) != std::string::npos; }));
  }
};

TEST(Members, TwoNodesUnderOneNameAreReportedAndStopRaisingTheirStart) {
  members::Members a({"a", 10, 1, "A", ""}, {}, 1), one({"x", 10, 2, "X1", ""}, {}, 2), two({"x", 10, 3, "X2", ""}, {}, 3);
  Cluster c{.at = {{"A", &a}, {"X1", &one}, {"X2", &two}}};
  for (auto* m : {&a, &one, &two}) c.take(m->begin(c.now, {"A"}));
  c.run(20s);
  EXPECT_TRUE(one.duplicate() || two.duplicate());
  EXPECT_GE(c.logged("another process lives under the name x"), 1U);
  const auto starts = std::pair(one.self().start, two.self().start);
  c.run(20s);
  EXPECT_EQ(std::pair(one.self().start, two.self().start), starts);
  EXPECT_NE(a.find("x")->conflicting_incarnation, 0U);
}

TEST(Members, StartIsHigherThanTheFormerOneAlsoAfterAClockStepBack) {
  members::Members a({"a", 10, 1, "A", ""}, {}, 1), old({"x", 5000, 2, "X", ""}, {}, 2), next({"x", 70, 3, "X", ""}, {}, 3);
  Cluster c{.at = {{"A", &a}, {"X", &old}}};
  for (auto* m : {&a, &old}) c.take(m->begin(c.now, {"A"}));
  c.run(2s);
  c.at["X"] = &next;
  c.take(next.begin(c.now, {"A"}));
  c.run(2s);
  EXPECT_GT(next.self().start, 5000U);
  EXPECT_EQ(a.find("x")->incarnation.number, 3U);
  EXPECT_EQ(a.find("x")->state, members::State::alive);
  EXPECT_FALSE(next.duplicate());
}

TEST(Members, NodeThatWasSuspendedSuspectsNoOneForThatTime) {
  members::Members a({"a", 10, 1, "A", ""}, {}, 1), b({"b", 10, 2, "B", ""}, {}, 2);
  Cluster c{.at = {{"A", &a}, {"B", &b}}};
  for (auto* m : {&a, &b}) c.take(m->begin(c.now, {"A"}));
  c.run(2s);
  c.now += 60s;  // both at once, as on a machine that was suspended
  c.run(300ms);
  EXPECT_EQ(a.find("b")->state, members::State::alive);
  EXPECT_EQ(b.find("a")->state, members::State::alive);
  EXPECT_GE(c.logged("stood still"), 1U);
}

TEST(Members, NodeThatLeftIsNeitherDeadNorAlive) {
  members::Members a({"a", 10, 1, "A", ""}, {}, 1), b({"b", 10, 2, "B", ""}, {}, 2);
  Cluster c{.at = {{"A", &a}, {"B", &b}}};
  for (auto* m : {&a, &b}) c.take(m->begin(c.now, {"A"}));
  c.run(2s);
  c.take(b.leave());
  c.at.erase("B");
  c.run(30s);
  EXPECT_EQ(a.find("b")->state, members::State::left);
}

// ---- A successor ---------------------------------------------------------------------------------------------

peers::PeerOptions options_of_incarnation(std::uint64_t life) {
  peers::PeerOptions o;
  o.self = {"n0", 100 + life, life, "A", ""};
  o.fleet_size = 2;
  o.seeds = {"A", "B"};
  return o;
}

struct Successor : ::testing::Test {
  void SetUp() override {
    predecessor.begin(kNow);
    predecessor.add(kNow, name, 7, 10s);
    predecessor.store_answered(kNow, {name, snowknot::CountOutcome::ok, 7, {}});
    predecessor.tick(kNow + 1s);
  }
  // The number of answers that a call made by the successor gets at once.
  std::size_t refused_at_once() {
    next.inherit(kNow + 1s, predecessor.copies());
    const auto out = next.add(kNow + 1s, name, 1, 9s);
    EXPECT_EQ(out.adds.size() + out.answers.size(), 1U);
    return out.answers.size();
  }
  const snowknot::CountName name{5};
  peers::Peer predecessor{options_of_incarnation(1), 1}, next{options_of_incarnation(2), 2};
};

TEST_F(Successor, HasThePredecessorsRecordsAndIsReadyAtOnce) {
  EXPECT_EQ(refused_at_once(), 0U);
  EXPECT_TRUE(next.warm(kNow + 1s));
  EXPECT_NE(next.records().find({"n0", 1}, Kind::use, replica::number_key(5)), nullptr);
}

// Units added before the loss are missing in the store: its total must not be used before all nodes have ended the lost epoch.
TEST_F(Successor, UsesNoTotalOfACountThatWasOpenAtALoss) {
  predecessor.store_lost(kNow + 1s, {});
  EXPECT_EQ(refused_at_once(), 1U);
}

TEST_F(Successor, IgnoresUnreadableCopies) {
  auto copies = predecessor.copies();
  for (std::size_t n = 0; n < copies.size(); ++n) {
    peers::Peer p(options_of_incarnation(3), 3);
    auto bad = copies.substr(0, n);
    p.inherit(kNow, bad);
    EXPECT_TRUE(p.warm(kNow));
    bad = copies;
    bad[n] = static_cast<char>(bad[n] ^ 0x55);
    peers::Peer q(options_of_incarnation(3), 3);
    q.inherit(kNow, bad);
  }
}

// ---- Datagrams ----------------------------------------------------------------------------------------------

peers::Datagram example() {
  replica::Message m = pages({{kA, 3, 9, true, {record(9, Kind::use, std::string("\0\xff", 2), "v", 5s)}}});
  m.entries.push_back({kB, 1ULL << 60U});
  m.sums = {1, ~0ULL};
  return {"fleet", "n1", ~0ULL, 7, m};
}

TEST(Wire, RoundTrip) {
  const auto d = peers::decode(peers::encode(example()));
  ASSERT_TRUE(d);
  const auto& m = std::get<replica::Message>(d->body);
  EXPECT_EQ(d->life, ~0ULL);
  EXPECT_EQ(m.pages[0].records[0].key, std::string("\0\xff", 2));
  EXPECT_EQ(m.pages[0].records[0].ends, 5s);
  EXPECT_TRUE(m.pages[0].more);
  EXPECT_EQ(m.entries[0].number, 1ULL << 60U);
  EXPECT_EQ(m.sums[1], ~0ULL);
}

TEST(Wire, InvalidBytesAreRejected) {
  Random random(7);
  const auto good = peers::encode(example());
  std::size_t read = 0;
  for (int i = 0; i < 20'000; ++i) {
    auto bytes = good;
    for (std::size_t n = 1 + random.below(4); n > 0; --n) bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
    if (random.chance(0.3)) bytes.resize(random.below(bytes.size()));
    read += peers::decode(bytes).has_value();  // some are other valid messages; none may crash the process
  }
  EXPECT_LT(read, 20'000U);
  EXPECT_FALSE(peers::decode(""));
  EXPECT_FALSE(peers::decode(std::string(65'000, '\x93')));
}

TEST(Wire, RecordKindOfALaterVersionIsIgnoredButItsNumberCounts) {
  replica::Message m = pages({{kA, 0, 2, false, {record(1, static_cast<Kind>(200), "new", "?"), record(2, Kind::use, "u", "1")}}});
  const auto d = peers::decode(peers::encode({"fleet", "n1", 1, 1, m}));
  ASSERT_TRUE(d);
  Replica r(kC, {}, 1);
  r.received(kNow, "x", std::get<replica::Message>(d->body));
  EXPECT_EQ(r.vector().at(kA), 2U);
  EXPECT_NE(r.find(kA, Kind::use, "u"), nullptr);
}

TEST(Wire, OnlyTheRightKeyOpensAndEachCounterIsAcceptedOnce) {
  const auto key = peers::key_of("one"), other = peers::key_of("other");
  auto bytes = peers::add_mac(key, "text");
  EXPECT_TRUE(peers::verify_mac(key, bytes));
  EXPECT_FALSE(peers::verify_mac(other, bytes));
  bytes.back() = 'x';
  EXPECT_FALSE(peers::verify_mac(key, bytes));
  EXPECT_FALSE(peers::verify_mac(key, "short"));
  peers::ReplayFilter replay_filter(2);
  EXPECT_TRUE(replay_filter.accept("a", 1, 5));
  EXPECT_FALSE(replay_filter.accept("a", 1, 5));
  EXPECT_TRUE(replay_filter.accept("a", 1, 4));  // out of order
  EXPECT_TRUE(replay_filter.accept("a", 1, 5000));
  EXPECT_FALSE(replay_filter.accept("a", 1, 6));  // too old to be checked for a replay
  EXPECT_TRUE(replay_filter.accept("a", 1, 4999));
  EXPECT_FALSE(replay_filter.accept("a", 1, 4999));
  EXPECT_TRUE(replay_filter.accept("a", 2, 5));  // another incarnation
}

// ---- Schedules ----------------------------------------------------------------------------------------------

TEST(Schedules, RoundTrip) {
  for (std::uint64_t seed = 1; seed < 50; ++seed) {
    const auto s = faults::random_schedule(seed, 5);
    const auto read = faults::schedule_of(faults::to_toml(s));
    EXPECT_EQ(read.nodes, 5U);
    EXPECT_TRUE(read.faults == s.faults) << faults::to_toml(s);
  }
}

TEST(Schedules, InvalidOnesAreRejectedWithLineAndField) {
  const auto why = [](const std::string& text) {
    try {
      faults::schedule_of(text);
    } catch (const std::invalid_argument& x) {
      return std::string(x.what());
    }
    return std::string("it is good");
  };
  EXPECT_EQ(why("nodes = 3\nseed = 1\n[[fault]]\nkind = \"cut\"\nwhom = [3]\n"), "line 5: whom: there is no such node");
  EXPECT_EQ(why("nodes = 3\nseed = 1\n[[fault]]\nkind = \"burn\"\n"), "line 3: kind: is no fault that there is");
  EXPECT_EQ(why("nodes = 3\nseed = 1\n[[fault]]\nkind = \"cut\"\nat = -1\n"), "line 5: at: is not a number from 0");
  EXPECT_NE(why("nodes = 0\nseed = 1\n").find("nodes"), std::string::npos);
  EXPECT_NE(why("nodes = ").find("line 1"), std::string::npos);
}

TEST(Schedules, FailingOnesAreMinimized) {
  const auto s = faults::random_schedule(3, 6, {.least = 12, .most = 12, .span = 10, .kinds = {}});
  ASSERT_EQ(s.faults.size(), 12U);
  const auto wanted = s.faults[7];
  const auto small = faults::shrunk(s, [&](const faults::Schedule& c) {
    return std::ranges::any_of(c.faults, [&](const auto& f) { return f.kind == wanted.kind && f.at == wanted.at; });
  });
  ASSERT_EQ(small.faults.size(), 1U);
  EXPECT_EQ(small.faults[0].at, wanted.at);
  EXPECT_LE(small.faults[0].length, 0.2);
}

// ---- Operator output ----------------------------------------------------------------------------------------

TEST(FleetTable, ListsMembersStatesAndConflicts) {
  peers::PeerOptions o;
  o.self = {"n0", 10, 1, "127.0.0.1:1", ""};
  o.fleet_size = 2;
  peers::Peer peer(o, 1);
  peer.begin(kNow);
  auto j = peer.fleet(kNow + 5s);
  j["conflicts"].push_back({{"origin", "n1/7"}, {"what", "two contents"}});
  const auto text = fleet_table(j);
  EXPECT_NE(text.find("n0*"), std::string::npos);
  EXPECT_NE(text.find("starting"), std::string::npos);
  EXPECT_NE(text.find("CONFLICT n1/7: two contents"), std::string::npos);
}

}  // namespace
}  // namespace docklift
