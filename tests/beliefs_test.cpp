// Peer health reports: when a node publishes and withdraws a report, and how a starting node aggregates many reports.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>

#include "host.hpp"
#include "replica/beliefs.hpp"

namespace docklift::replica {
namespace {

using namespace std::chrono_literals;
using Server = Beliefs::Server;

constexpr Instant kNow = 1000s;
const Origin kSelf{"self", 1};

Origin origin(std::size_t i) { return {"n" + std::to_string(i), i + 10}; }

// Delivers another node's report as a page.
void deliver_report(Replica& records, const Origin& o, std::uint32_t id, std::uint8_t tenths,
                    std::uint64_t start = 0) {
  Message m;
  m.kind = Message::Kind::pages;
  const auto known = records.vector();
  const auto it = known.find(o);
  const auto number = it == known.end() ? 0 : it->second;
  m.pages = {{o, number, number + 1, false, {{number + 1, Kind::server_health, number_key(id), to_text(ServerHealth{start, tenths}), {}}}}};
  records.received(kNow, o.name, m);
}

struct Node {
  Replica records{kSelf, {}, 1};
  Beliefs beliefs{records, {}};
  void observe(std::uint32_t id, int good, int bad, Instant at = kNow, std::uint64_t start = 0) {
    for (int i = 0; i < good; ++i) beliefs.record_attempt(at, {id, start}, true);
    for (int i = 0; i < bad; ++i) beliefs.record_attempt(at, {id, start}, false);
  }
  std::optional<ServerHealth> own_report(std::uint32_t id) const {
    const auto* r = records.find(kSelf, Kind::server_health, number_key(id));
    return r ? parse_server_health(r->value) : std::nullopt;
  }
};

TEST(Beliefs, OnlyServersWorseThanTheOthersAreReported) {
  Node n;
  // Server 4 is within normal variation.
  n.observe(1, 20, 0), n.observe(2, 19, 1), n.observe(3, 5, 15), n.observe(4, 10, 1);
  EXPECT_TRUE(n.beliefs.write(kNow));
  EXPECT_FALSE(n.own_report(1));
  EXPECT_FALSE(n.own_report(2));
  ASSERT_TRUE(n.own_report(3));
  EXPECT_EQ(n.own_report(3)->tenths, 3);
  EXPECT_FALSE(n.own_report(4));
  EXPECT_FALSE(n.beliefs.write(kNow));  // nothing new
}

TEST(Beliefs, NoServerIsReportedIfAllFailAlike) {
  Node n;
  for (std::uint32_t id = 1; id <= 4; ++id) n.observe(id, 5, 15);
  EXPECT_FALSE(n.beliefs.write(kNow));
}

TEST(Beliefs, ReportIsWithdrawnWhenTheServerRecoversOrIsNoLongerTried) {
  Node n;
  n.observe(1, 20, 0), n.observe(2, 0, 20), n.observe(3, 20, 0);
  n.beliefs.write(kNow);
  ASSERT_EQ(n.own_report(2)->tenths, 0);
  n.observe(2, 20, 0, kNow + 20s), n.observe(1, 20, 0, kNow + 20s);
  EXPECT_TRUE(n.beliefs.write(kNow + 20s));
  EXPECT_EQ(n.own_report(2)->tenths, ServerHealth::kWithdrawn);
  n.observe(2, 0, 20, kNow + 40s), n.observe(1, 20, 0, kNow + 40s);
  n.beliefs.write(kNow + 40s);
  ASSERT_LE(n.own_report(2)->tenths, 1);
  n.beliefs.write(kNow + 50s);  // the server is avoided, and the report holds
  EXPECT_LT(n.own_report(2)->tenths, 8);
  EXPECT_TRUE(n.beliefs.write(kNow + 60s));
  EXPECT_EQ(n.own_report(2)->tenths, ServerHealth::kWithdrawn);
}

TEST(Beliefs, ComplaintIsDisputedByANodeThatIsServedWell) {
  Node n;
  n.observe(1, 20, 0), n.observe(2, 20, 0);
  EXPECT_FALSE(n.beliefs.write(kNow));
  deliver_report(n.records, origin(0), 2, 1);
  EXPECT_TRUE(n.beliefs.write(kNow));
  ASSERT_TRUE(n.own_report(2));
  EXPECT_EQ(n.own_report(2)->tenths, 10);
  EXPECT_FALSE(n.own_report(1));
}

TEST(Beliefs, RestartedServerIsEvaluatedAnew) {
  Node n;
  n.observe(1, 20, 0), n.observe(2, 0, 20), n.observe(3, 20, 0);
  n.beliefs.write(kNow);
  n.observe(2, 1, 0, kNow, 77);
  EXPECT_EQ(n.own_report(2)->tenths, ServerHealth::kWithdrawn);
  deliver_report(n.records, origin(0), 2, 0), deliver_report(n.records, origin(1), 2, 0);
  const std::vector<Origin> alive{origin(0), origin(1)};
  EXPECT_EQ(n.beliefs.aggregate({{2, 0}, {3, 0}}, alive).size(), 1U);
  EXPECT_TRUE(n.beliefs.aggregate({{2, 77}, {3, 0}}, alive).empty());
}

TEST(Beliefs, SingleReportsAndThoseOfFailedNodesAreIgnored) {
  Node n;
  const std::vector<Server> servers{{1, 0}, {2, 0}};
  deliver_report(n.records, origin(0), 1, 0);
  EXPECT_TRUE(n.beliefs.aggregate(servers, {origin(0), origin(1)}).empty());
  deliver_report(n.records, origin(1), 1, 2);
  const auto result = n.beliefs.aggregate(servers, {origin(0), origin(1)});
  ASSERT_EQ(result.size(), 1U);
  EXPECT_DOUBLE_EQ(result[0].success, 0.2);  // the better one of two
  EXPECT_TRUE(n.beliefs.aggregate(servers, {origin(0)}).empty());
}

TEST(Beliefs, AtMostHalfOfTheServersAreReportedWorstFirst) {
  Node n;
  std::vector<Server> servers;
  for (std::uint32_t id = 0; id < 7; ++id) {
    servers.push_back({id, 0});
    for (std::size_t o = 0; o < 3; ++o)
      deliver_report(n.records, origin(o), id, static_cast<std::uint8_t>(7 - id));
  }
  const auto result = n.beliefs.aggregate(servers, {origin(0), origin(1), origin(2)});
  ASSERT_EQ(result.size(), 3U);
  for (const auto& t : result) EXPECT_GE(t.id, 4U);
}

// With reports of at least two honest nodes, a single false report can't move the result outside the range of the honest ones.
RC_GTEST_PROP(Beliefs, OneFalseReportStaysWithinTheHonestReports, ()) {
  const auto honest = *rc::gen::container<std::vector<std::uint8_t>>(rc::gen::inRange<std::uint8_t>(0, 11));
  RC_PRE(honest.size() >= 2U && honest.size() < 20U);
  const auto false_report = *rc::gen::inRange<std::uint8_t>(0, 11);
  Node n;
  std::vector<Origin> alive;
  for (std::size_t i = 0; i < honest.size(); ++i) {
    alive.push_back(origin(i));
    deliver_report(n.records, origin(i), 1, honest[i]);
  }
  alive.push_back(origin(99));
  deliver_report(n.records, origin(99), 1, false_report);
  const auto result = n.beliefs.aggregate({{1, 0}, {2, 0}}, alive);
  const auto [least, most] = std::ranges::minmax(honest);
  const auto tenths = result.empty() ? 10 : static_cast<int>(std::lround(result[0].success * 10));
  RC_ASSERT(tenths >= int{least});
  RC_ASSERT(tenths <= int{most});
}

// Even if every server is reported, a starting node keeps half of them.
RC_GTEST_PROP(Beliefs, StartingNodeKeepsHalfOfItsServers, ()) {
  const auto servers_n = *rc::gen::inRange<std::uint32_t>(1, 12);
  const auto origins_n = *rc::gen::inRange<std::size_t>(0, 6);
  Node n;
  std::vector<Server> servers;
  std::vector<Origin> alive;
  for (std::size_t o = 0; o < origins_n; ++o) alive.push_back(origin(o));
  for (std::uint32_t id = 0; id < servers_n; ++id) {
    servers.push_back({id, 0});
    for (const auto& o : alive) deliver_report(n.records, o, id, *rc::gen::inRange<std::uint8_t>(0, 11));
  }
  RC_ASSERT(n.beliefs.aggregate(servers, alive).size() <= servers_n / 2);
}

TEST(Sights, RoundTripAndInvalidInputIsRejected) {
  for (const std::uint8_t t : {0, 7, 10, 255})
    EXPECT_EQ(parse_server_health(to_text(ServerHealth{123, t})), (ServerHealth{123, t}));
  EXPECT_FALSE(parse_server_health(to_text(ServerHealth{1, 11})));
  EXPECT_FALSE(parse_server_health("short"));
  EXPECT_FALSE(parse_server_health(to_text(ServerHealth{1, 1}) + "x"));
}

// ---- The decision module --------------------------------------------------------------------------------------

using snowknot::test::Host;

std::map<snowknot::ServerId, int> sends_of(Host& h, int n) {
  std::map<snowknot::ServerId, int> to;
  for (int i = 0; i < n; ++i) {
    const auto sent = h.request_granted(static_cast<std::uint64_t>(i) + 1, 1);
    if (!sent) continue;
    ++to[sent->server];
    h.end_attempt(*sent, snowknot::Outcome::ok, true, 5ms);
  }
  return to;
}

TEST(Hearsay, ServerThatFailsForPeersIsEjectedOnce) {
  Host h;
  h.list_servers(2);
  h.deliver(snowknot::ServerSeen{snowknot::ServerId{1}, 0.1});
  EXPECT_EQ(sends_of(h, 20)[snowknot::ServerId{1}], 0);
}

TEST(Hearsay, UnlistedServersAreIgnored) {
  Host h;
  h.list_servers(1);
  h.deliver(snowknot::ServerSeen{snowknot::ServerId{77}, 0});
  EXPECT_EQ(sends_of(h, 5).size(), 1U);
}

}  // namespace
}  // namespace docklift::replica
