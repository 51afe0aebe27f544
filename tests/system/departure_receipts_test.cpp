// Acknowledgement of departures by receipts of a majority of the voters, in virtual time, and the store of records
// that receipts rely on.
#include "system/fleet/departure_receipts.hpp"

#include <stdlib.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <future>
#include <random>

#include "system/disk/record_cache.hpp"

namespace docklift::test {
namespace {

using namespace std::chrono_literals;
using fleet::DepartureReceipts;
using fleet::Phase;

const std::vector<std::string> kVoters{"a", "b", "c"};
constexpr Duration kLimit = 700ms;

// One registry at address "a", whose own record counts as soon as a round begins.
struct Reporting {
  std::uint64_t report(const std::string& server, Phase phase = Phase::GONE) {
    receipts.await(++last_call, {server, phase}, now + kLimit);
    return last_call;
  }
  std::uint64_t begin_round() {
    const auto round = receipts.begin_round();
    BOOST_REQUIRE(round.has_value());
    receipts.on_receipt(round->number, "a");
    return round->number;
  }
  // Calls answered now: the acknowledged ones as positive, the others as negative numbers.
  std::vector<std::int64_t> answered(const std::vector<std::string>& voters = kVoters) {
    std::vector<std::int64_t> calls;
    for (const auto& v : receipts.take_verdicts(now, voters)) {
      const auto call = static_cast<std::int64_t>(v.call);
      calls.push_back(v.acknowledged ? call : -call);
    }
    return calls;
  }
  DepartureReceipts receipts;
  Time now{1h};
  std::uint64_t last_call = 0;
};

bool equal(const std::vector<std::int64_t>& answered, const std::vector<std::int64_t>& expected) {
  return answered == expected;
}

BOOST_AUTO_TEST_SUITE(departure_receipts)

// Guards against an acknowledgement by the registry that was called alone.
BOOST_AUTO_TEST_CASE(
    given_a_registry_that_is_cut_off_when_no_receipt_comes_then_the_departure_is_not_acknowledged) {
  Reporting r;
  r.report("i-1");
  r.begin_round();
  BOOST_TEST(r.answered().empty());
  r.now += kLimit - 1ms;
  BOOST_TEST(r.answered().empty());
  r.now += 1ms;
  BOOST_TEST(equal(r.answered(), {-1}));
}

BOOST_AUTO_TEST_CASE(
    given_receipts_of_a_majority_when_the_rest_is_cut_off_then_the_departure_is_acknowledged) {
  Reporting r;
  r.report("i-1");
  const auto round = r.begin_round();
  r.receipts.on_receipt(round, "b");
  BOOST_TEST(equal(r.answered(), {1}));
}

BOOST_AUTO_TEST_CASE(given_a_lost_receipt_when_the_link_is_back_in_time_then_a_repeated_round_brings_it) {
  Reporting r;
  r.report("i-1");
  r.begin_round();
  BOOST_TEST(!r.receipts.begin_round().has_value());  // all are requested
  r.now += 300ms;
  const auto again = r.receipts.repeat_round();
  BOOST_REQUIRE(again.has_value());
  BOOST_TEST((again->servers == std::vector<std::string>{"i-1"}));
  r.receipts.on_receipt(again->number, "b");
  BOOST_TEST(equal(r.answered(), {1}));
  BOOST_TEST(!r.receipts.repeat_round().has_value());
}

// A second Leave after an unanswered first one changes no record, so only new receipts can acknowledge it.
BOOST_AUTO_TEST_CASE(
    given_an_unanswered_departure_when_it_is_reported_again_then_receipts_are_requested_again) {
  Reporting r;
  r.report("i-1");
  const auto first = r.begin_round();
  r.now += kLimit;
  BOOST_TEST(equal(r.answered(), {-1}));
  r.report("i-1");
  BOOST_TEST(r.answered().empty());
  r.begin_round();
  r.receipts.on_receipt(first, "c");  // late, but the record is there
  BOOST_TEST(equal(r.answered(), {2}));
  r.report("i-1");
  BOOST_TEST(equal(r.answered(), {3}));  // its receipts are known
}

BOOST_AUTO_TEST_CASE(given_receipts_for_a_drain_when_the_server_leaves_then_they_dont_count_for_that) {
  Reporting r;
  r.report("i-1", Phase::DRAINING);
  const auto drain = r.begin_round();
  r.report("i-1", Phase::GONE);
  r.receipts.on_receipt(drain, "b");
  BOOST_TEST(r.answered().empty());
  r.receipts.on_receipt(r.begin_round(), "b");
  BOOST_TEST(equal(r.answered(), {1, 2}));
}

BOOST_AUTO_TEST_CASE(given_voters_that_are_replaced_when_receipts_come_then_only_the_present_voters_count) {
  Reporting r;
  r.report("i-1");
  const auto round = r.begin_round();
  r.receipts.on_receipt(round, "learner");
  BOOST_TEST(r.answered().empty());
  r.receipts.on_receipt(round, "b");
  BOOST_TEST(r.answered({"a", "d", "e"}).empty());
  r.receipts.on_receipt(round, "e");
  BOOST_TEST(equal(r.answered({"a", "d", "e"}), {1}));
}

BOOST_AUTO_TEST_CASE(given_many_departures_at_once_when_a_round_begins_then_it_holds_them_all) {
  Reporting r;
  for (int i = 0; i < 200; ++i) r.report("i-" + std::to_string(i));
  const auto round = r.begin_round();
  BOOST_TEST(!r.receipts.begin_round().has_value());
  r.receipts.on_receipt(round, "c");
  BOOST_TEST(r.answered().size() == 200u);
}

// Calls, rounds, receipts and changes of the voters in random order: a call is acknowledged only if a majority
// of the voters has confirmed that phase, and each call has exactly one verdict by its deadline.
BOOST_AUTO_TEST_CASE(
    given_random_orders_when_calls_are_answered_then_each_is_once_and_never_without_a_majority) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    DepartureReceipts receipts;
    struct Call {
      std::string server;
      Phase phase{};
      Time deadline{};
      int verdicts = 0;
    };
    std::vector<Call> calls;
    std::map<std::string, Phase> phases;  // as last reported
    std::map<std::uint64_t, std::map<std::string, Phase>> rounds;
    std::map<std::string, std::map<std::string, Phase>> held;  // by registry: what it has confirmed
    std::vector<std::string> voters = kVoters;
    const std::vector<std::string> registries{"a", "b", "c", "d", "e"};
    Time now{1h};
    const auto on_round = [&](const std::optional<fleet::ReceiptRound>& round) {
      if (!round) return;
      for (const auto& server : round->servers) rounds[round->number][server] = phases[server];
    };
    for (int step = 0; step < 300; ++step, now += std::chrono::milliseconds(random() % 60)) {
      switch (random() % 6) {
        case 0:
        case 1: {
          const auto server = "i-" + std::to_string(random() % 4 + static_cast<unsigned>(step) / 60 * 4);
          auto& phase = phases.try_emplace(server, Phase::DRAINING).first->second;
          if (random() % 3 == 0) phase = Phase::GONE;
          receipts.await(calls.size(), {server, phase}, now + kLimit);
          calls.push_back({server, phase, now + kLimit});
          break;
        }
        case 2: on_round(receipts.begin_round()); break;
        case 3: on_round(receipts.repeat_round()); break;
        case 4: {
          if (rounds.empty()) break;
          const auto& [number, departures] = *std::next(rounds.begin(),
                                                        static_cast<long>(random() % rounds.size()));
          const auto& registry = registries[random() % registries.size()];
          for (const auto& [server, phase] : departures)
            held[registry][server] = std::max(held[registry][server], phase);
          receipts.on_receipt(number, registry);
          break;
        }
        default:
          if (random() % 10 == 0) voters[random() % voters.size()] = registries[random() % registries.size()];
      }
      for (const auto& verdict : receipts.take_verdicts(now, voters)) {
        auto& call = calls.at(verdict.call);
        ++call.verdicts;
        const auto confirmed = std::ranges::count_if(
            voters, [&](const auto& voter) { return held[voter][call.server] >= call.phase; });
        if (verdict.acknowledged) BOOST_TEST(confirmed >= 2, "seed " << seed);
      }
      for (const auto& call : calls) {
        const bool due = now >= call.deadline;
        BOOST_TEST((call.verdicts <= 1 && (!due || call.verdicts == 1)), "seed " << seed);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(given_values_written_at_once_when_the_database_is_opened_again_then_they_are_there) {
  char name[] = "/tmp/docklift-records-XXXXXX";
  const std::string folder = ::mkdtemp(name);
  const auto write = [](RecordCache& cache, RecordCache::Values values) {
    std::promise<bool> written;
    cache.write(std::move(values), [&](bool durable) { written.set_value(durable); });
    return written.get_future().get();
  };
  {
    auto opened = RecordCache::open(folder);
    BOOST_REQUIRE(!failed(opened));
    auto& cache = *value(opened);
    BOOST_TEST(write(cache, {{"departure/b", "2"}, {"departure/a", "1"}, {"servers", "3"}}));
    BOOST_TEST(write(cache, {{"departure/b", std::nullopt}, {"departure/c", "4"}}));
  }
  auto again = RecordCache::open(folder);
  BOOST_REQUIRE(!failed(again));
  BOOST_TEST((value(again)->get_all("departure/") == std::vector<std::string>{"1", "4"}));
  BOOST_TEST(value(again)->get("servers").value_or("") == "3");
  std::filesystem::remove_all(folder);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
