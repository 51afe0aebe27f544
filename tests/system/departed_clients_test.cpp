// Tests of requests whose client disconnects before it is answered: in the decision module, and on sockets.
#include <array>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <random>
#include <set>

#include "decisions_world.hpp"
#include "play_settings.hpp"
#include "serving_fleet.hpp"

namespace docklift::test {
namespace {

std::size_t count_of_sends(const Actions& actions) {
  return static_cast<std::size_t>(
      std::ranges::count_if(actions, [](const Action& a) { return std::holds_alternative<Send>(a); }));
}

template <class Wanted>
bool holds_one(const Actions& actions) {
  return actions.size() == 1 && std::holds_alternative<Wanted>(actions[0]);
}

// A proxy that reaches the holder of the counts and may request units.
struct MeteredProxy : ProxyFixture {
  explicit MeteredProxy(const Setup& setup = {.per_s = 1000}, std::uint64_t seed = 1)
      : ProxyFixture(setup, seed) {
    d.on_new_holder(now, kTerm);
    d.set_holder_reachable(now, true);
  }
  Actions grant(std::uint32_t units, std::int64_t window = 1) {
    return d.on_grants(now, {kTerm, now, {{"t", window, units, 1000, {}, window_length(), {}}}});
  }
  // As the holder of the counts computes it.
  Duration window_length() const {
    const auto& tenant = c->tenants[0];
    const Bounds b = bounds({});
    return counts::window_of({tenant.per_s, tenant.burst}, {b.quota_win_s, b.quota_excess, b.quota_slack})
        .length;
  }
  static constexpr std::uint64_t kTerm = 1;
};

// A random sequence of requests, outcomes, grants, disconnects and time steps. Like the proxy, it tracks
// which attempts are in flight.
class DepartureScenario {
 public:
  explicit DepartureScenario(std::uint64_t seed)
      : seed_(seed),
        random_(seed),
        proxy_({.kind = seed % 2 == 0 ? "idempotent" : "mutating", .tries = 3, .per_s = 40}, seed) {
    for (const auto* server : {"one", "two", "three"}) proxy_.report_server(server, "a1");
  }

  void run() {
    for (int step = 0; step < 400; ++step) {
      proxy_.now += Duration(1ms) * static_cast<int>(random_() % 20);
      proxy_.d.set_confirmed(proxy_.now);
      random_event(step / 40);
    }
    for (int step = 0; step < 1000 && !open_.empty(); ++step) {
      proxy_.now += 20ms;
      if (const auto id = random_open(); open_.at(*id)) end_attempt(*id);
      apply(proxy_.d.tick(proxy_.now));
    }
    BOOST_TEST(open_.empty(), "seed " << seed_);
    BOOST_TEST(proxy_.d.open_count() == 0u, "seed " << seed_);
  }

 private:
  void random_event(std::int64_t window) {
    const auto id = random_open();
    switch (random_() % 5) {
      case 0:
        open_[proxy_.id + 1] = false;
        apply(proxy_.request());
        break;
      case 1:
        if (id && open_.at(*id)) end_attempt(*id);
        break;
      case 2:
        if (id && departed_.insert(*id).second) apply(proxy_.d.on_client_left(proxy_.now, *id));
        break;
      case 3:
        if (std::exchange(units_requested_, false))
          apply(proxy_.grant(static_cast<std::uint32_t>(random_() % 4), window));
        break;
      default: apply(proxy_.d.tick(proxy_.now));
    }
  }
  std::optional<RequestId> random_open() {
    if (open_.empty()) return std::nullopt;
    return std::next(open_.begin(), static_cast<std::ptrdiff_t>(random_() % open_.size()))->first;
  }
  void end_attempt(RequestId id) {
    static constexpr std::array kOutcomes = {Outcome::ok,    Outcome::ok,      Outcome::error,
                                             Outcome::reset, Outcome::not_run, Outcome::connect_failed};
    const auto outcome = kOutcomes[random_() % kOutcomes.size()];
    open_[id] = false;
    apply(proxy_.d.on_attempt_ended(proxy_.now, id, outcome, 50ms, outcome == Outcome::ok));
  }
  void apply(const Actions& actions) {
    for (const auto& action : actions) std::visit([&](const auto& one) { on(one); }, action);
  }
  void on(const Send& sent) {
    BOOST_TEST(!departed_.contains(sent.request), "seed " << seed_);
    BOOST_TEST(!open_.at(sent.request), "seed " << seed_);
    open_[sent.request] = true;
  }
  void on(const Cancel& cancel) {
    BOOST_TEST(open_.at(cancel.request), "seed " << seed_);
    const bool unsent = random_() % 3 == 0;
    if (cancel.unsent_only && !unsent) return;
    open_[cancel.request] = false;
    const auto outcome = unsent ? Outcome::cancelled_unsent : Outcome::cancelled;
    apply(proxy_.d.on_attempt_ended(proxy_.now, cancel.request, outcome, {}, false));
  }
  void on(const Drop& drop) { check_final(drop.request, true); }
  void on(const Refuse& refuse) { check_final(refuse.request, false); }
  void on(const Fail& fail) { check_final(fail.request, false); }
  void on(const Relay& relay) { check_final(relay.request, false); }
  void on(const RequestUnits&) { units_requested_ = true; }
  void check_final(RequestId id, bool client_left) {
    BOOST_TEST(open_.erase(id) == 1u, "seed " << seed_);
    BOOST_TEST(departed_.contains(id) == client_left, "seed " << seed_);
  }

  std::uint64_t seed_;
  std::mt19937_64 random_;
  MeteredProxy proxy_;
  std::map<RequestId, bool> open_;  // whether an attempt is in flight
  std::set<RequestId> departed_;
  bool units_requested_ = false;
};

constexpr Duration kWellBeforeDeadline = 3s;  // far below the timeout of the requests

BOOST_AUTO_TEST_SUITE(departed_clients)

BOOST_AUTO_TEST_CASE(given_a_request_that_waits_for_a_slot_when_its_client_leaves_then_it_goes_to_no_server) {
  ProxyFixture f;
  f.report_server("one", "a1");
  for (int i = 0; i < 10; ++i) f.only(f.request());  // 2.5 times its slots
  BOOST_TEST(f.request().empty());                   // it waits for a slot
  BOOST_TEST(holds_one<Drop>(f.d.on_client_left(f.now, f.id)));
  BOOST_TEST(count_of_sends(f.d.on_attempt_ended(f.now, 1, Outcome::ok, 50ms, true)) == 0u);
  BOOST_TEST(f.d.open_count() == 9u);
}

BOOST_AUTO_TEST_CASE(
    given_a_request_that_waits_for_units_when_its_client_leaves_then_the_next_request_gets_them) {
  MeteredProxy f;
  f.report_server("one", "a1");
  BOOST_TEST(holds_one<RequestUnits>(f.request()));
  BOOST_TEST(holds_one<Drop>(f.d.on_client_left(f.now, f.id)));
  BOOST_TEST(count_of_sends(f.grant(1)) == 0u);
  BOOST_TEST(count_of_sends(f.request()) == 1u);
}

BOOST_AUTO_TEST_CASE(
    given_a_request_with_a_unit_when_its_client_leaves_before_it_is_sent_then_the_unit_is_reused) {
  MeteredProxy f;
  f.report_server("one", "a1");
  f.request();
  f.grant(11);
  for (int i = 0; i < 9; ++i) BOOST_TEST(count_of_sends(f.request()) == 1u);
  BOOST_TEST(count_of_sends(f.request()) == 0u);  // it has the eleventh unit, and waits for a slot
  f.d.on_client_left(f.now, f.id);
  f.d.on_attempt_ended(f.now, 1, Outcome::ok, 50ms, true);
  BOOST_TEST(count_of_sends(f.request()) == 1u);
  // The same holds for one whose connection was not established.
  BOOST_TEST(holds_one<Cancel>(f.d.on_client_left(f.now, f.id)));
  f.d.on_attempt_ended(f.now, f.id, Outcome::cancelled_unsent, {}, false);
  BOOST_TEST(count_of_sends(f.request()) == 1u);
}

BOOST_AUTO_TEST_CASE(given_a_repeatable_request_at_a_server_when_its_client_leaves_then_it_is_cancelled) {
  ProxyFixture f;
  f.report_server("one", "a1"), f.report_server("two", "a1");
  f.request();
  const auto action = f.only(f.d.on_client_left(f.now, f.id));
  BOOST_REQUIRE(std::holds_alternative<Cancel>(action));
  BOOST_TEST(!std::get<Cancel>(action).unsent_only);
  BOOST_TEST(f.d.on_client_left(f.now, f.id).empty());  // once
  BOOST_TEST(holds_one<Drop>(f.d.on_attempt_ended(f.now, f.id, Outcome::cancelled, {}, false)));
  BOOST_TEST(f.d.open_count() == 0u);
}

BOOST_AUTO_TEST_CASE(
    given_a_request_that_is_not_repeatable_when_its_client_leaves_then_its_server_finishes_it) {
  for (const auto outcome : {Outcome::ok, Outcome::error, Outcome::reset, Outcome::not_run,
                             Outcome::connect_failed, Outcome::cancelled_unsent}) {
    ProxyFixture f({.kind = "mutating"});
    f.report_server("one", "a1"), f.report_server("two", "a1");
    f.request();
    const auto action = f.only(f.d.on_client_left(f.now, f.id));
    BOOST_REQUIRE(std::holds_alternative<Cancel>(action));
    BOOST_TEST(std::get<Cancel>(action).unsent_only);
    // Whatever the outcome, it is neither answered nor retried.
    BOOST_TEST(holds_one<Drop>(f.d.on_attempt_ended(f.now, f.id, outcome, 50ms, outcome == Outcome::ok)));
  }
}

BOOST_AUTO_TEST_CASE(given_clients_that_leave_quickly_when_their_server_is_healthy_then_it_remains_in_use) {
  ProxyFixture f;
  f.report_server("local", "a1"), f.report_server("far", "b1");
  for (int i = 0; i < 100; ++i) {
    BOOST_TEST(f.server_of(f.only(f.request())) == "local");
    f.now += 5ms;
    f.d.on_client_left(f.now, f.id);
    f.d.on_attempt_ended(f.now, f.id, Outcome::cancelled, {}, false);
    f.only(f.request());
    f.now += 50ms;
    f.end_attempt(Outcome::ok);
  }
}

BOOST_AUTO_TEST_CASE(
    given_an_unresponsive_server_when_clients_leave_before_it_is_noticed_then_others_are_used) {
  ProxyFixture f;
  f.report_server("unresponsive", "a1"), f.report_server("healthy", "a1");
  int to_unresponsive = 0;
  for (int i = 0; i < 200; ++i) {
    f.d.set_confirmed(f.now);
    if (f.server_of(f.only(f.request())) == "unresponsive") {
      ++to_unresponsive;
      f.now += 300ms;
      f.d.on_client_left(f.now, f.id);
      f.d.on_attempt_ended(f.now, f.id, Outcome::cancelled, {}, false);
    } else {
      f.now += 50ms;
      f.end_attempt(Outcome::ok);
    }
  }
  BOOST_TEST(to_unresponsive < 40);  // about half, if the wait of cancelled requests were forgotten
}

BOOST_AUTO_TEST_CASE(
    given_clients_that_leave_at_any_time_when_all_attempts_have_ended_then_no_request_is_open) {
  for (std::uint64_t seed = 1; seed <= last_seed(200); ++seed) DepartureScenario(seed).run();
}

BOOST_AUTO_TEST_CASE(
    given_a_repeatable_request_at_a_server_when_its_client_leaves_then_its_connection_is_closed) {
  ServingFleet f;
  Client client(f, 4, request_to("/a/hold", "left"));
  BOOST_REQUIRE(f.reaches_server("/a/hold"));
  client.disconnect();
  BOOST_TEST(f.until([&] { return f.server.disconnected_clients() == 1; }, kWellBeforeDeadline));
  BOOST_TEST(f.send_request(4, "/a/x").status == 200);
}

BOOST_AUTO_TEST_CASE(given_pipelined_requests_when_their_client_leaves_then_all_are_cancelled) {
  ServingFleet f;
  Client client(f, 4, request_to("/a/1/hold", "p1") + request_to("/a/2/hold", "p2"));
  BOOST_REQUIRE(f.reaches_server("/a/1/hold"));
  BOOST_REQUIRE(f.reaches_server("/a/2/hold"));
  client.disconnect();
  BOOST_TEST(f.until([&] { return f.server.disconnected_clients() == 2; }, kWellBeforeDeadline));
}

BOOST_AUTO_TEST_CASE(
    given_a_request_that_is_not_repeatable_at_a_server_when_its_client_leaves_then_it_goes_on) {
  ServingFleet f;
  const std::string patch =
      R"({"gen":"00000004","parent":"00000003","upsert":{"listeners":[{"vhost":"h.example","policy":[)"
      R"({"name":"r2","kind":"mutating","target_ms":20000,"match":{"pfx":"/m/"},)"
      R"("action":{"svc":"alpha","tmo_ms":20000,"tries":2}}]}]}})";
  BOOST_REQUIRE(f.post(f.ctl(1), "/Config.Patch", patch).status == 200);
  BOOST_REQUIRE(f.until([&] { return f.send_request(4, "/m/x").status == 200; }));
  Client client(f, 4, request_to("/m/hold", "goes-on"));
  BOOST_REQUIRE(f.reaches_server("/m/hold"));
  client.disconnect();
  BOOST_TEST(f.send_request(4, "/a/x").status == 200);  // the close arrived before this request
  BOOST_TEST(f.server.disconnected_clients() == 0u);
  f.server.release();
  BOOST_TEST(f.send_request(4, "/m/x").status == 200);
  BOOST_TEST(f.server.disconnected_clients() == 0u);
}

BOOST_AUTO_TEST_CASE(given_a_close_right_after_a_request_when_both_are_read_late_then_no_server_sees_it) {
  ServingFleet f;
  // Some of them get a unit at once. The proxy does not run meanwhile.
  for (int i = 0; i < 20; ++i) Client(f, 4, request_to("/a/late", "late" + std::to_string(i))).disconnect();
  for (int i = 0; i < 5; ++i) BOOST_TEST(f.send_request(4, "/a/x").status == 200);
  BOOST_TEST(!f.has_reached_server("/a/late"));
}

BOOST_AUTO_TEST_CASE(given_more_pipelined_data_than_is_read_ahead_when_the_client_leaves_then_it_is_noticed) {
  ServingFleet f;
  std::string requests;
  for (int i = 0; requests.size() < std::size_t{100} * 1024; ++i)
    requests += request_to("/a/hold", "b" + std::to_string(i));
  Client client(f, 4, requests);
  const auto held = [&] {
    return std::ranges::count_if(f.server.requests(),
                                 [](const auto& seen) { return seen.target() == "/a/hold"; });
  };
  BOOST_REQUIRE(f.until([&] { return held() == 10; }));  // 2.5 times its slots; others wait for a slot
  client.disconnect();
  BOOST_TEST(f.until([&] { return f.server.disconnected_clients() == 10; }, kWellBeforeDeadline));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
