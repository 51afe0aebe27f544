// Tests of the decision module: choice of servers, retries and refusals. Events go in, actions come out.
#include <boost/test/unit_test.hpp>
#include <deque>
#include <set>

#include "decisions_world.hpp"

namespace docklift::test {
namespace {

BOOST_AUTO_TEST_SUITE(decisions_suite)

BOOST_AUTO_TEST_CASE(given_servers_in_several_zones_when_a_request_arrives_then_it_goes_to_the_local_zone) {
  ProxyFixture f;
  f.report_server("far", "b1"), f.report_server("local", "a1"), f.report_server("next", "a2");
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(f.server_of(f.only(f.request())) == "local");
    f.end_attempt(Outcome::ok);
  }
}

BOOST_AUTO_TEST_CASE(given_a_full_server_in_the_local_zone_when_more_requests_arrive_then_others_are_used) {
  ProxyFixture f;
  f.report_server("local", "a1"), f.report_server("next", "a2"), f.report_server("far", "b1");
  std::set<std::string> used;
  for (int i = 0; i < 12; ++i) used.insert(f.server_of(f.only(f.request())));
  BOOST_TEST(used.contains("next"));
}

// Forty proxies in one zone, twelve servers in it and twelve in another region.
struct CrowdedZone : ProxyFixture {
  CrowdedZone() {
    std::vector<std::string> proxies;
    for (int i = 1; i <= 40; ++i) proxies.push_back("a1/p" + std::to_string(i));
    d.set_proxies(proxies);
    for (int i = 0; i < 12; ++i) report_server("local" + std::to_string(i), "a1");
    for (int i = 0; i < 12; ++i) report_server("far" + std::to_string(i), "b1");
  }
};

// Guards against counting a proxy's next request once for each proxy of the zone, which sent requests to idle
// servers of another region although the local ones were idle.
BOOST_AUTO_TEST_CASE(given_forty_proxies_in_a_zone_when_its_servers_are_idle_then_requests_stay_in_it) {
  CrowdedZone f;
  BOOST_TEST(f.server_of(f.only(f.request())).starts_with("local"));
}

BOOST_AUTO_TEST_CASE(given_forty_proxies_in_a_zone_when_its_servers_are_estimated_full_then_others_are_used) {
  CrowdedZone f;
  int local = 0;
  for (int i = 0; i < 12; ++i) local += f.server_of(f.only(f.request())).starts_with("local") ? 1 : 0;
  BOOST_TEST(local > 0);
  BOOST_TEST(local < 6);  // six per proxy would be 20 at each server of 4 slots
}

BOOST_AUTO_TEST_CASE(given_pinned_regions_when_they_have_no_server_then_the_request_is_refused) {
  ProxyFixture f({.regions = R"(["b"])"});
  f.report_server("local", "a1");
  const auto refused = f.only(f.request());
  BOOST_TEST(std::get<Refuse>(refused).status == 503);
  BOOST_TEST(std::get<Refuse>(refused).retry_after.count() > 0);
  f.report_server("pinned", "b1");
  BOOST_TEST(f.server_of(f.only(f.request())) == "pinned");
}

BOOST_AUTO_TEST_CASE(given_disjoint_pinned_regions_of_route_and_tenant_then_nothing_is_sent) {
  ProxyFixture f({.regions = R"(["b"])", .tenant_regions = R"(["a"])"});
  f.report_server("one", "a1"), f.report_server("two", "b1");
  BOOST_TEST(std::holds_alternative<Refuse>(f.only(f.request())));
}

BOOST_AUTO_TEST_CASE(given_a_drain_or_an_evacuation_when_it_is_reported_then_nothing_new_goes_there) {
  ProxyFixture f;
  f.report_server("one", "a1"), f.report_server("two", "a2");
  f.report_server("one", "a1", fleet::Phase::DRAINING);
  BOOST_TEST(f.server_of(f.only(f.request())) == "two");
  f.report_server("one", "a1");  // a server that drains never becomes ready again
  BOOST_TEST(f.server_of(f.only(f.request())) == "two");
  f.d.set_evacuated(f.now, {"a2"}, {});
  BOOST_TEST(std::holds_alternative<Refuse>(f.only(f.request())));
}

// Guards against a leave that is passed over: a registry that didn't know the server tells it without a number.
BOOST_AUTO_TEST_CASE(given_a_server_when_it_has_left_then_nothing_goes_there_whatever_the_records_number) {
  ProxyFixture f;
  f.report_server("one", "a1");
  fleet::Server silent;
  silent.id = "one", silent.phase = fleet::Phase::GONE;
  f.d.update_servers(f.now, {silent});  // older than the proxy's record
  BOOST_TEST(f.server_of(f.only(f.request())) == "one");
  silent.left = true;
  f.d.update_servers(f.now, {silent});
  BOOST_TEST(std::holds_alternative<Refuse>(f.only(f.request())));
}

BOOST_AUTO_TEST_CASE(given_an_outdated_record_when_it_arrives_late_then_it_changes_nothing) {
  ProxyFixture f;
  f.report_server("one", "a1");
  fleet::Server late;
  late.id = "one", late.service = "s", late.address = "10.0.0.9:80", late.zone = "a1",
  late.heartbeat_sequence = 0, late.phase = fleet::Phase::GONE;
  f.d.update_servers(f.now, {late});
  BOOST_TEST(f.server_of(f.only(f.request())) == "one");
}

BOOST_AUTO_TEST_CASE(given_a_request_that_is_not_repeatable_when_it_may_have_run_then_it_fails) {
  for (const auto o : {Outcome::reset, Outcome::invalid_response, Outcome::timeout}) {
    ProxyFixture f({.kind = "mutating"});
    f.report_server("one", "a1"), f.report_server("two", "a1");
    f.request();
    const auto last = f.end_attempt(o, false);
    BOOST_REQUIRE(std::holds_alternative<Fail>(last));
    BOOST_TEST(std::get<Fail>(last).status == (o == Outcome::timeout ? 504 : 502));
  }
}

BOOST_AUTO_TEST_CASE(
    given_a_request_that_is_not_repeatable_when_it_has_not_run_then_it_goes_elsewhere_or_is_refused) {
  for (const auto o : {Outcome::not_run, Outcome::other_instance, Outcome::connect_failed}) {
    ProxyFixture f({.kind = "mutating"});
    f.report_server("one", "a1"), f.report_server("two", "a1");
    const auto first = f.server_of(f.only(f.request()));
    const auto again = f.end_attempt(o, false);
    BOOST_TEST(f.server_of(again) != first);
    const auto last = f.end_attempt(o, false);
    BOOST_REQUIRE(std::holds_alternative<Refuse>(last));
    BOOST_TEST(std::get<Refuse>(last).status == 503);
  }
}

BOOST_AUTO_TEST_CASE(given_a_repeatable_request_when_its_server_fails_then_it_is_retried_up_to_its_limit) {
  ProxyFixture f({.tries = 2});
  for (const auto* id : {"one", "two", "three"}) f.report_server(id, "a1");
  f.request();
  BOOST_TEST(std::holds_alternative<Send>(f.end_attempt(Outcome::reset, false)));
  BOOST_TEST(std::holds_alternative<Fail>(f.end_attempt(Outcome::reset, false)));
  f.request();
  BOOST_TEST(std::holds_alternative<Send>(f.end_attempt(Outcome::error)));
  BOOST_TEST(std::holds_alternative<Relay>(f.end_attempt(Outcome::error)));  // the server's response
}

BOOST_AUTO_TEST_CASE(given_servers_that_all_fail_when_requests_go_on_then_retries_stay_within_the_budget) {
  ProxyFixture f;
  for (int i = 0; i < 30; ++i) f.report_server("s" + std::to_string(i), "a1");
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    f.now += 10ms;
    f.d.set_confirmed(f.now);
    f.request();
    if (std::holds_alternative<Send>(f.end_attempt(Outcome::reset, false)))
      ++retries, f.end_attempt(Outcome::ok);
  }
  BOOST_TEST(retries > 50);
  BOOST_TEST(retries < 0.2 * 1000 + 50.0 / 7);
}

BOOST_AUTO_TEST_CASE(given_an_unreachable_server_when_there_are_others_then_it_is_ejected_for_a_while) {
  ProxyFixture f;
  f.report_server("one", "a1"), f.report_server("two", "a1");
  f.request();
  const auto at = f.end_attempt(Outcome::connect_failed, false);
  const auto healthy = f.server_of(at);
  f.end_attempt(Outcome::ok);
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(f.server_of(f.only(f.request())) == healthy);
    f.end_attempt(Outcome::ok);
  }
}

BOOST_AUTO_TEST_CASE(given_an_address_that_was_reassigned_then_its_former_server_is_no_longer_used) {
  ProxyFixture f({.kind = "mutating"});
  f.report_server("one", "a1");
  f.request();
  BOOST_TEST(std::holds_alternative<Refuse>(f.end_attempt(Outcome::other_instance)));
  BOOST_TEST(f.d.take_released_servers().size() == 1u);
  BOOST_TEST(std::holds_alternative<Refuse>(f.only(f.request())));
}

BOOST_AUTO_TEST_CASE(given_a_cold_server_when_all_proxies_are_loaded_then_its_rate_stays_within_the_bound) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    // More proxies than may send one request each at the same time.
    std::vector<std::string> names;
    for (int p = 1; p <= 20; ++p)
      names.push_back(std::string(p < 3 ? "a1" : p == 3 ? "a2" : "b1") + "/p" + std::to_string(p));
    std::vector<std::unique_ptr<ProxyFixture>> proxies;
    for (int p = 1; p <= 20; ++p) {
      proxies.push_back(std::make_unique<ProxyFixture>(
          Setup{.cold_per_s = 4}, seed * 100 + static_cast<std::uint64_t>(p), "p" + std::to_string(p),
          p < 3    ? "a1"
          : p == 3 ? "a2"
                   : "b1"));
      proxies.back()->d.set_proxies(names);
      proxies.back()->report_server("cold", "b1", fleet::Phase::READY, 60s);
    }
    std::deque<Time> sent;
    std::size_t max_per_second = 0, total = 0;
    for (Duration t{}; t < 20s; t += 7ms)
      for (auto& p : proxies) {
        p->now = Time{1h} + t;
        p->d.set_confirmed(p->now);
        std::deque<Action> open;
        const auto take = [&](Actions actions) { open.insert(open.end(), actions.begin(), actions.end()); };
        take(p->request(40ms));
        take(p->d.tick(p->now));
        while (!open.empty()) {
          const auto a = open.front();
          open.pop_front();
          const auto* s = std::get_if<Send>(&a);
          if (s == nullptr) continue;
          sent.push_back(p->now), ++total;
          take(p->d.on_attempt_ended(p->now, s->request, Outcome::ok, 50ms, true));
        }
        while (!sent.empty() && sent.front() <= p->now - 1s) sent.pop_front();
        max_per_second = std::max(max_per_second, sent.size());
      }
    BOOST_TEST(max_per_second <= static_cast<std::size_t>(4 * 1.5 + 5),
               "seed " << seed << ": " << max_per_second);
    BOOST_TEST(total > 40u);  // and its rate is used
  }
}

BOOST_AUTO_TEST_CASE(given_a_readmitted_zone_when_its_servers_sent_no_heartbeat_then_they_count_as_cold) {
  ProxyFixture f({.cold_per_s = 1});
  f.report_server("one", "a1");
  f.d.set_evacuated(f.now, {"a1"}, {});
  f.d.set_evacuated(f.now, {}, {"a1"});
  int sent = 0;
  for (int i = 0; i < 10; ++i)
    if (const auto a = f.request(); a.size() == 1 && std::holds_alternative<Send>(a[0]))
      ++sent, f.end_attempt(Outcome::ok);
  BOOST_TEST(sent <= 1);
  f.now += 10ms;
  f.report_server("one", "a1");  // its heartbeat says that it is warm
  BOOST_TEST(f.server_of(f.only(f.request())) == "one");
}

BOOST_AUTO_TEST_CASE(given_strict_revocation_when_a_request_is_sent_then_it_carries_an_expiry) {
  ProxyFixture f({.strict = true});
  f.report_server("one", "a1");
  f.report_server("two", "a1");
  const Time confirmed = f.now;
  f.now += 4s;  // the request may still be in progress when its key expires
  const auto first = std::get<Send>(f.only(f.request()));
  BOOST_TEST((first.valid_until > confirmed + 4s && first.valid_until < confirmed + 5s));
  // Its connection was established too late; it is not sent to another server either.
  f.now = first.valid_until;
  const auto later = f.only(f.d.on_attempt_ended(f.now, first.request, Outcome::connect_failed, 1ms, false));
  BOOST_TEST(std::get<Refuse>(later).status == 503);
}

BOOST_AUTO_TEST_CASE(
    given_strict_revocation_when_no_majority_has_confirmed_for_long_then_requests_are_refused) {
  ProxyFixture f({.strict = true});
  f.report_server("one", "a1");
  BOOST_TEST(std::holds_alternative<Send>(f.only(f.request())));
  f.now += 4s;
  BOOST_TEST(std::holds_alternative<Send>(f.only(f.request())));
  f.now += 400ms;
  const auto refused = f.only(f.request());
  BOOST_REQUIRE(std::holds_alternative<Refuse>(refused));
  BOOST_TEST(std::get<Refuse>(refused).status == 503);
  f.d.set_confirmed(f.now);
  BOOST_TEST(std::holds_alternative<Send>(f.only(f.request())));
}

BOOST_AUTO_TEST_CASE(
    given_a_configuration_that_may_be_outdated_when_it_does_not_allow_a_request_then_it_denies_none) {
  ProxyFixture f;
  const Time confirmed = f.now;
  const Duration bound = 2500ms;  // apply_ms
  BOOST_TEST(f.d.may_deny(confirmed));
  BOOST_TEST(f.d.may_deny(confirmed + bound - 1ms));
  BOOST_TEST(!f.d.may_deny(confirmed + bound));
  f.d.set_confirmed(confirmed + 1s);
  BOOST_TEST(f.d.may_deny(confirmed + bound));
  Decisions none({"p", "z", "r"}, {}, Bounds{}, 1);
  BOOST_TEST(!none.may_deny(confirmed));
}

BOOST_AUTO_TEST_CASE(
    given_servers_that_are_all_full_when_a_request_waits_then_it_is_refused_within_a_quarter_of_its_target) {
  ProxyFixture f;
  f.report_server("one", "a1");
  for (int i = 0; i < 10; ++i) f.server_of(f.only(f.request()));  // 2.5 times its slots
  const auto actions = f.request();
  BOOST_TEST(actions.empty());  // it waits for a slot
  f.now += 90ms;
  BOOST_TEST(f.d.tick(f.now).empty());
  f.now += 20ms;
  BOOST_TEST(std::holds_alternative<Refuse>(f.only(f.d.tick(f.now))));
}

BOOST_AUTO_TEST_CASE(
    given_a_lagging_configuration_when_it_may_be_outdated_for_long_then_requests_are_refused) {
  ProxyFixture f;
  f.report_server("one", "a1");
  const Time confirmed = f.now;
  const Duration bound = 2500ms;  // apply_ms
  f.d.set_lagging(true);
  f.now = confirmed + bound - 1ms;
  BOOST_TEST(std::holds_alternative<Send>(f.only(f.request())));
  f.now = confirmed + bound;
  BOOST_TEST(std::get<Refuse>(f.only(f.request())).status == 503);
  // Not confirmed for as long, but not known to be outdated: the core is unreachable.
  f.d.set_lagging(false);
  BOOST_TEST(std::holds_alternative<Send>(f.only(f.request())));
  f.d.set_lagging(true);
  f.d.set_confirmed(f.now - 1s);
  BOOST_TEST(std::holds_alternative<Send>(f.only(f.request())));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
