// Selection of the registries that a proxy asks for server records, and digests of the records that differ.
#include "system/fleet/record_requests.hpp"

#include <boost/test/unit_test.hpp>
#include <random>

namespace docklift::test {
namespace {

using namespace std::chrono_literals;
using fleet::KnownRecords;
using fleet::Phase;
using fleet::RecordDigests;
using fleet::RecordRequests;
using Names = RecordRequests::Registries;

const Time kNow{1h};

fleet::Server server(const std::string& id, std::uint64_t sequence, Phase phase = Phase::READY) {
  fleet::Server s;
  s.id = id, s.address = "10.0.0.1:" + id.substr(2), s.heartbeat_sequence = sequence, s.phase = phase;
  return s;
}

bool equal(const Names& asked, const Names& expected) { return asked == expected; }

BOOST_AUTO_TEST_SUITE(record_requests)

BOOST_AUTO_TEST_CASE(
    given_three_registries_when_the_first_has_sent_all_then_the_others_are_asked_for_the_rest) {
  RecordRequests requests;
  const Time now = Time{} + 10s;
  BOOST_TEST(equal(requests.linked(now, "r1"), {"r1"}));
  BOOST_TEST(requests.linked(now, "r2").empty());
  BOOST_TEST(requests.linked(now, "r3").empty());
  BOOST_TEST(requests.tick(now + 500ms).empty());
  BOOST_TEST(!requests.complete());
  BOOST_TEST(equal(requests.answered("r1"), {"r2", "r3"}));
  BOOST_TEST(requests.complete());
  BOOST_TEST(requests.answered("r2").empty());
  BOOST_TEST(requests.tick(now + 5s).empty());
  BOOST_TEST(equal(requests.linked(now + 6s, "r1"), {"r1"}));  // again after its link was lost
}

BOOST_AUTO_TEST_CASE(given_a_registry_that_is_late_or_lost_when_another_is_linked_then_that_one_is_asked) {
  RecordRequests requests;
  const Time now = Time{} + 10s;
  requests.linked(now, "r1"), requests.linked(now, "r2"), requests.linked(now, "r3");
  BOOST_TEST(equal(requests.tick(now + 700ms), {"r2"}));
  BOOST_TEST(equal(requests.lost(now + 800ms, "r2"), {"r3"}));
  BOOST_TEST(requests.lost(now + 900ms, "r3").empty());
  BOOST_TEST(equal(requests.linked(now + 1s, "r2"), {"r2"}));
  BOOST_TEST(requests.answered("r1").empty());  // the late answer counts as well
  BOOST_TEST(requests.complete());
}

BOOST_AUTO_TEST_CASE(
    given_the_only_registry_lost_before_its_answer_when_it_is_linked_again_then_it_is_asked) {
  RecordRequests requests;
  const Time now = Time{} + 10s;
  requests.linked(now, "r1");
  BOOST_TEST(requests.lost(now, "r1").empty());
  BOOST_TEST(equal(requests.linked(now + 1s, "r1"), {"r1"}));
}

BOOST_AUTO_TEST_CASE(
    given_records_that_are_older_draining_or_gone_when_they_arrive_then_digests_follow_the_newest) {
  KnownRecords known;
  const auto digests_of = [](const std::vector<fleet::Server>& servers) {
    RecordDigests digests;
    for (const auto& s : servers) digests.toggle(s.id, s.address, s.phase);
    return digests.all();
  };
  known.update(kNow, server("i-1", 5));
  known.update(kNow, server("i-2", 1));
  known.update(kNow, server("i-1", 4, Phase::DRAINING));  // older
  BOOST_TEST((known.digests() == digests_of({server("i-1", 5), server("i-2", 1)})));
  known.update(kNow, server("i-1", 6, Phase::DRAINING));
  known.update(kNow, server("i-1", 7));
  BOOST_TEST((known.digests() == digests_of({server("i-1", 7, Phase::DRAINING), server("i-2", 1)})));
  known.update(kNow, server("i-1", 7, Phase::GONE));
  known.update(kNow, server("i-3", 7, Phase::GONE));
  BOOST_TEST((known.digests() == digests_of({server("i-2", 1)})));
  BOOST_TEST(known.size() == 1u);
}

// Guards against a proxy that takes back a server that has left, from a registry that has not heard of it.
BOOST_AUTO_TEST_CASE(given_a_server_that_has_left_when_other_records_of_it_arrive_then_they_are_not_used) {
  KnownRecords known;
  known.update(kNow, server("i-1", 5));
  auto leave = server("i-1", 0, Phase::GONE);  // of a registry that didn't know the server
  leave.left = true;
  BOOST_TEST(known.update(kNow + 1s, leave));
  BOOST_TEST(known.size() == 0u);
  BOOST_TEST(!known.update(kNow + 2s, server("i-1", 9)));
  auto unknown = server("i-2", 0, Phase::GONE);
  unknown.left = true;
  BOOST_TEST(known.update(kNow + 2s, unknown));
  BOOST_TEST(!known.update(kNow + 3s, server("i-2", 1)));
  BOOST_TEST(known.update(kNow + 3s, server("i-3", 1, Phase::GONE)));  // only silent
  BOOST_TEST(known.update(kNow + 4s, server("i-3", 2)));
  BOOST_TEST(known.size() == 1u);
  leave.id = "i-4";  // later departures end the memory of former ones
  known.update(kNow + 2s + fleet::kDepartedRetention, leave);
  BOOST_TEST(known.update(kNow + 3s + fleet::kDepartedRetention, server("i-1", 10)));
}

// Two registries with different records: after one exchange with each, a proxy has the records of both.
BOOST_AUTO_TEST_CASE(given_registries_that_differ_when_ranges_that_differ_are_sent_then_nothing_is_missing) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 random(seed);
    KnownRecords proxy;
    std::map<std::string, fleet::Server> first;
    std::map<std::string, fleet::Server> second;
    for (int i = 0; i < 300; ++i) {
      const auto id = "i-" + std::to_string(i);
      first[id] = server(id, 1 + random() % 3);
      second[id] = first[id];
      if (random() % 20 == 0) second[id] = server(id, first[id].heartbeat_sequence + 1, Phase::DRAINING);
      if (random() % 20 == 0) second.erase(id);
      if (random() % 20 == 0) first.erase(id);
    }
    for (const auto& [id, s] : first) proxy.update(kNow, s);
    RecordDigests of_second;
    for (const auto& [id, s] : second) of_second.toggle(id, s.address, s.phase);
    const auto before = proxy.digests();
    std::size_t received = 0;
    for (const auto& [id, s] : second) {
      const auto range = fleet::Servers::range_of(id, fleet::kRecordRanges);
      if (before[range] == of_second.all()[range]) continue;
      proxy.update(kNow, s);
      ++received;
    }
    RecordDigests expected;
    auto both = first;
    for (const auto& [id, s] : second) both[id] = s;
    for (const auto& [id, s] : both) expected.toggle(id, s.address, s.phase);
    BOOST_TEST((proxy.digests() == expected.all()), "seed " << seed);
    BOOST_TEST(received < second.size());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
