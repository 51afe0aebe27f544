// Tests of requests at a proxy that shuts down (SIGTERM): in the decision module, and on sockets.
#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "decisions_world.hpp"
#include "play_settings.hpp"
#include "serving_fleet.hpp"

namespace docklift::test {
namespace {

// Proxies with a shorter time from SIGTERM to SIGKILL, so that a test takes seconds.
constexpr Duration kGrace = 4s;
struct DrainingFleet : ServingFleet {
  DrainingFleet() : ServingFleet("bounds.grace_s=4\n") {}

  void begin_drain() {
    began = std::chrono::steady_clock::now();
    proxies.front()->drain([this] { ended = true; });
  }
  // Runs the event loop until `after` the start of the drain.
  void run_until(Duration after) {
    until([&] { return elapsed() >= after; }, after + 1s);
  }
  bool ends_within_grace() {
    return until([&] { return ended; }, kGrace - elapsed());
  }
  // Since the start of the drain.
  Duration elapsed() const { return std::chrono::steady_clock::now() - began; }
  std::chrono::steady_clock::time_point began;
  bool ended = false;
};

// A random sequence of requests, outcomes and time steps at a proxy that starts to drain at a random time.
// Like the proxy, it tracks which attempts are in flight.
class DrainScenario {
 public:
  explicit DrainScenario(std::uint64_t seed)
      : seed_(seed),
        random_(seed),
        proxy_({.kind = seed % 2 == 0 ? "idempotent" : "mutating", .tries = 3}, seed) {
    for (const auto* server : {"one", "two"}) proxy_.report_server(server, "a1");
  }

  void run() {
    const Time begins = proxy_.now + Duration(1ms) * static_cast<int>(random_() % 1000);
    const DrainSchedule schedule(begins, 6s);
    while (proxy_.now < schedule.abort_at) {
      proxy_.now += Duration(1ms) * static_cast<int>(random_() % 40);
      proxy_.d.set_confirmed(proxy_.now);
      if (!schedule_ && proxy_.now >= begins) proxy_.d.begin_drain(schedule_.emplace(schedule));
      random_event();
    }
    aborting_ = true;
    apply(proxy_.d.abort_open_requests(proxy_.now));
    BOOST_TEST(open_.empty(), "seed " << seed_);
    BOOST_TEST(proxy_.d.open_count() == 0u, "seed " << seed_);
    apply(proxy_.d.on_request(proxy_.now, arrival(5s)));
    BOOST_TEST(open_.empty(), "seed " << seed_);  // refused
  }

 private:
  struct Open {
    bool at_server = false, may_have_run = false;
    Time deadline{};
  };
  Arrival arrival(Duration left) {
    open_[++proxy_.id].deadline = proxy_.now + std::min<Duration>(left, 2s);  // the route's timeout
    return {proxy_.id, &proxy_.c->routes[0], &proxy_.c->tenants[0], left};
  }
  void random_event() {
    if (random_() % 3 != 0)
      return apply(proxy_.d.on_request(proxy_.now, arrival(random_() % 2 == 0 ? 5s : 1s)));
    if (open_.empty()) return apply(proxy_.d.tick(proxy_.now));
    const auto id = std::next(open_.begin(), static_cast<std::ptrdiff_t>(random_() % open_.size()))->first;
    if (open_[id].at_server) end(id);
  }
  void end(RequestId id) {
    static constexpr std::array kOutcomes = {Outcome::ok, Outcome::error, Outcome::reset, Outcome::not_run,
                                             Outcome::connect_failed};
    const auto outcome = kOutcomes[random_() % kOutcomes.size()];
    record_end(id, outcome);
    apply(proxy_.d.on_attempt_ended(proxy_.now, id, outcome, 50ms, outcome == Outcome::ok));
  }
  void record_end(RequestId id, Outcome outcome) {
    auto& open = open_.at(id);
    open.at_server = false;
    open.may_have_run = open.may_have_run || !proves_not_run(outcome);
  }
  void apply(const Actions& actions) {
    for (const auto& action : actions) std::visit([&](const auto& one) { on(one); }, action);
  }
  void on(const Send& sent) {
    auto& open = open_.at(sent.request);
    BOOST_TEST(!aborting_, "seed " << seed_);
    if (schedule_) BOOST_TEST(schedule_->may_begin(proxy_.now, open.deadline), "seed " << seed_);
    open.at_server = true;
  }
  void on(const Cancel& cancel) {
    BOOST_TEST(open_.at(cancel.request).at_server, "seed " << seed_);
    const auto outcome = random_() % 2 == 0 ? Outcome::cancelled : Outcome::cancelled_unsent;
    record_end(cancel.request, outcome);
    apply(proxy_.d.on_attempt_ended(proxy_.now, cancel.request, outcome, {}, false));
  }
  void on(const Refuse& refuse) {
    BOOST_TEST(!open_.at(refuse.request).may_have_run, "seed " << seed_);
    check_final(refuse.request);
  }
  void on(const Fail& fail) { check_final(fail.request); }
  void on(const Relay& relay) { check_final(relay.request); }
  void on(const Drop& drop) { check_final(drop.request); }
  void on(const RequestUnits&) {}
  void check_final(RequestId id) { BOOST_TEST(open_.erase(id) == 1u, "seed " << seed_); }

  std::uint64_t seed_;
  std::mt19937_64 random_;
  ProxyFixture proxy_;
  std::optional<DrainSchedule> schedule_;
  std::map<RequestId, Open> open_;
  bool aborting_ = false;
};

// Clients on keep-alive connections that send one or two requests at random times while their proxy drains;
// the server answers some at once and holds others, to the end or until a random time.
class DrainSoakTest {
 public:
  explicit DrainSoakTest(std::uint64_t seed) : seed_(seed), random_(seed) {
    for (int i = 0; i < kClients; ++i) {
      clients_.push_back({std::make_unique<Client>(fleet_, 4, request_to("/a/x", name(i, 0)))});
      clients_.back().client->start_reading();
    }
    BOOST_REQUIRE(fleet_.until([&] { return std::ranges::all_of(clients_, is_answered); }));
    for (auto& one : clients_) one.sends_at = random_duration(kGrace);
  }

  void run() {
    fleet_.begin_drain();
    const bool releases = random_() % 2 == 0;
    while (!fleet_.ended && fleet_.elapsed() < kGrace) {
      fleet_.io.run_one_for(std::chrono::milliseconds(5));
      for (std::size_t i = 0; i < clients_.size(); ++i) send_if_due(i);
      if (releases && random_() % 50 == 0) fleet_.server.release();
    }
    BOOST_TEST(fleet_.ended, "seed " << seed_);
    fleet_.proxies.erase(fleet_.proxies.begin());  // the process ends, and its connections with it
    BOOST_TEST(fleet_.until([&] { return std::ranges::all_of(clients_, is_closed); }), "seed " << seed_);
    for (std::size_t i = 0; i < clients_.size(); ++i) check(i);
  }

 private:
  static constexpr int kClients = 24;
  struct ClientState {
    std::unique_ptr<Client> client;
    Duration sends_at{};  // after the start of the drain
    std::size_t sent = 1, batch_from = 0;
  };
  static std::size_t answers(const ClientState& one) {
    std::size_t count = 0;
    for (auto at = one.client->received().find("HTTP/1.1 "); at != std::string::npos;
         at = one.client->received().find("HTTP/1.1 ", at + 1))
      ++count;
    return count;
  }
  static bool is_answered(const ClientState& one) { return answers(one) == one.sent; }
  static bool is_closed(const ClientState& one) { return one.client->closed(); }
  static std::string name(std::size_t client, std::size_t request) {
    return "c" + std::to_string(client) + "-" + std::to_string(request);
  }
  Duration random_duration(Duration limit) {
    return std::chrono::milliseconds(random_() %
                                     std::chrono::duration_cast<std::chrono::milliseconds>(limit).count());
  }
  void send_if_due(std::size_t i) {
    auto& one = clients_[i];
    if (one.client->closed() || fleet_.elapsed() < one.sends_at || !is_answered(one)) return;
    std::string requests;
    for (auto n = 1 + random_() % 2; n > 0; --n)
      requests += request_to(random_() % 2 == 0 ? "/a/hold" : "/a/x", name(i, one.sent++));
    one.client->send(requests);
    one.sends_at += random_duration(1s);
  }
  // Each request that a server received has a response, the server's or the proxy's.
  void check(std::size_t i) {
    const auto forwarded = std::ranges::count_if(fleet_.server.requests(), [&](const auto& seen) {
      return seen.field("Attempt-Id").starts_with("c" + std::to_string(i) + "-");
    });
    BOOST_TEST(answers(clients_[i]) >= static_cast<std::size_t>(forwarded),
               "seed " << seed_ << ", client " << i);
  }

  std::uint64_t seed_;
  std::mt19937_64 random_;
  DrainingFleet fleet_;
  std::vector<ClientState> clients_;
};

BOOST_AUTO_TEST_SUITE(drain)

BOOST_AUTO_TEST_CASE(
    given_a_keep_alive_connection_when_a_request_arrives_early_in_the_drain_then_it_is_served_last) {
  DrainingFleet f;
  Client client(f, 4, request_to("/a/x", "before"));
  client.start_reading();
  BOOST_REQUIRE(f.until([&] { return client.received_answer_to("before"); }));
  f.begin_drain();
  client.send(request_to("/a/x", "early"));
  BOOST_TEST(f.until([&] { return client.closed(); }));
  BOOST_TEST(client.received_answer_to("early"));
  BOOST_TEST(client.received().find("Connection: close\r\n") != std::string::npos);
}

// A request that arrived long after SIGTERM was forwarded, and lost with the process while its server worked.
BOOST_AUTO_TEST_CASE(
    given_a_keep_alive_connection_when_a_request_arrives_late_in_the_drain_then_no_server_gets_it) {
  DrainingFleet f;
  Client client(f, 4, request_to("/a/x", "early"));
  client.start_reading();
  BOOST_REQUIRE(f.until([&] { return client.received_answer_to("early"); }));
  f.begin_drain();
  f.run_until(kGrace * 11 / 20);
  client.send(request_to("/a/late/hold", "late"));
  BOOST_TEST(f.ends_within_grace());
  BOOST_TEST(!f.has_reached_server("/a/late/hold"));
  BOOST_TEST(f.until([&] { return client.closed(); }));
}

// A response that waited behind a longer request of its connection was lost with the process.
BOOST_AUTO_TEST_CASE(
    given_a_response_queued_behind_a_longer_request_when_the_grace_ends_then_its_client_has_it) {
  DrainingFleet f;
  Client client(f, 4, request_to("/a/long/hold", "long") + request_to("/a/short", "short"));
  client.start_reading();
  BOOST_REQUIRE(f.reaches_server("/a/long/hold"));
  BOOST_REQUIRE(f.reaches_server("/a/short"));
  f.begin_drain();
  BOOST_TEST(f.ends_within_grace());
  BOOST_TEST(client.received_answer_to("short"));
  BOOST_TEST(f.until([&] { return client.closed(); }));
}

// Times that were fixed in seconds were right for one grace period only.
BOOST_AUTO_TEST_CASE(given_any_grace_then_the_times_of_a_drain_are_as_specified) {
  const Time now{1h};
  for (Duration grace = 1s; grace <= 30s; grace += 500ms) {
    const DrainSchedule schedule(now, grace);
    const Duration seen_late = std::min<Duration>(300ms, grace / 20);  // until the signal is handled
    BOOST_TEST((schedule.accepts_until + seen_late <= now + std::min<Duration>(3s, grace / 2)));
    BOOST_TEST((schedule.accepts_until < schedule.abort_at));
    BOOST_TEST((schedule.abort_at >= now + grace * 5 / 6));
    BOOST_TEST((schedule.abort_at + seen_late < schedule.exit_at));
    BOOST_TEST((schedule.exit_at < now + grace));
  }
}

// A late request was retried at another server after a failure, and lost there with the process.
BOOST_AUTO_TEST_CASE(given_a_failed_attempt_near_the_end_of_a_drain_then_the_servers_response_is_relayed) {
  ProxyFixture f({.tries = 3});
  f.report_server("one", "a1"), f.report_server("two", "a1");
  f.request(2s);
  f.d.begin_drain(DrainSchedule(f.now - 5s, 6s));
  f.now += 200ms;  // half of its target is left, its deadline is far: only the end of the process is near
  BOOST_TEST(std::holds_alternative<Relay>(f.end_attempt(Outcome::error)));
}

BOOST_AUTO_TEST_CASE(given_a_request_that_waits_for_units_when_a_drain_aborts_then_it_is_refused) {
  ProxyFixture f({.per_s = 1000});
  f.report_server("one", "a1");
  f.d.on_new_holder(f.now, 1);
  f.d.set_holder_reachable(f.now, true);
  BOOST_TEST(std::holds_alternative<RequestUnits>(f.only(f.request())));
  f.d.begin_drain(DrainSchedule(f.now, 6s));
  BOOST_TEST(std::holds_alternative<Refuse>(f.only(f.d.abort_open_requests(f.now))));
  BOOST_TEST(f.d.open_count() == 0u);
}

BOOST_AUTO_TEST_CASE(given_a_drain_when_requests_arrive_then_they_are_begun_while_they_can_still_end) {
  ProxyFixture f;
  f.report_server("one", "a1");
  f.d.begin_drain(DrainSchedule(f.now, 6s));
  f.now += 2600ms;
  BOOST_TEST(std::holds_alternative<Send>(f.only(f.request(5s))));
  f.now += 200ms;
  BOOST_TEST(std::holds_alternative<Send>(f.only(f.request(1s))));  // ends by its deadline
  const auto late = f.only(f.request(5s));  // and by its route's timeout, 2 s, which is within the rest
  BOOST_TEST(std::holds_alternative<Send>(late));
  f.now += 1s;
  const auto refused = f.only(f.request(5s));
  BOOST_REQUIRE(std::holds_alternative<Refuse>(refused));
  BOOST_TEST(std::get<Refuse>(refused).status == 503);
  BOOST_TEST((std::get<Refuse>(refused).retry_after > Duration{}));
  BOOST_TEST(f.d.refusals().of(RefusalReason::draining) == 1u);
}

BOOST_AUTO_TEST_CASE(given_attempts_in_flight_when_a_drain_aborts_then_only_what_has_not_run_is_refused) {
  for (const auto* kind : {"idempotent", "mutating"}) {
    ProxyFixture f({.kind = kind});
    f.report_server("one", "a1");
    f.d.begin_drain(DrainSchedule(f.now, 6s));
    f.request();
    const auto sent = f.id;
    f.request();
    const auto unsent = f.id;
    const auto cancels = f.d.abort_open_requests(f.now);
    BOOST_REQUIRE(cancels.size() == 2u);
    for (const auto& cancel : cancels) BOOST_TEST(!std::get<Cancel>(cancel).unsent_only);
    const auto failed_end = f.only(f.d.on_attempt_ended(f.now, sent, Outcome::cancelled, {}, false));
    BOOST_REQUIRE(std::holds_alternative<Fail>(failed_end));
    BOOST_TEST(std::get<Fail>(failed_end).status == 504);
    BOOST_TEST(std::holds_alternative<Refuse>(
        f.only(f.d.on_attempt_ended(f.now, unsent, Outcome::cancelled_unsent, {}, false))));
    BOOST_TEST(f.d.open_count() == 0u);
  }
}

BOOST_AUTO_TEST_CASE(given_drains_at_any_time_when_they_abort_then_each_request_had_one_final_action) {
  for (std::uint64_t seed = 1; seed <= last_seed(200); ++seed) DrainScenario(seed).run();
}

BOOST_AUTO_TEST_CASE(given_pipelined_requests_in_a_drain_then_the_second_is_left_to_another_proxy) {
  DrainingFleet f;
  f.begin_drain();
  Client client(f, 4, request_to("/a/1/hold", "first") + request_to("/a/2", "second"));
  client.start_reading();
  BOOST_REQUIRE(f.reaches_server("/a/1/hold"));
  f.server.release();
  BOOST_TEST(f.until([&] { return client.closed(); }));
  BOOST_TEST(client.received_answer_to("first"));
  BOOST_TEST(!f.has_reached_server("/a/2"));
}

BOOST_AUTO_TEST_CASE(given_no_open_requests_when_the_drain_accepts_no_more_then_it_ends_early) {
  DrainingFleet f;
  Client kept(f, 4, request_to("/a/x", "kept"));
  kept.start_reading();
  BOOST_REQUIRE(f.until([&] { return kept.received_answer_to("kept"); }));
  f.begin_drain();
  BOOST_TEST(f.until([&] { return f.ended; }, kGrace * 2 / 3));
  BOOST_TEST(f.until([&] { return kept.closed(); }));
}

BOOST_AUTO_TEST_CASE(
    given_a_request_in_flight_at_the_end_of_the_grace_then_its_client_is_answered_before_the_kill) {
  DrainingFleet f;
  Client client(f, 4, request_to("/a/long/hold", "long"));
  client.start_reading();
  BOOST_REQUIRE(f.reaches_server("/a/long/hold"));
  f.begin_drain();
  // An incomplete upload does not keep the process running.
  Client upload(f, 4,
                "GET /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: half\r\nContent-Length: 9\r\n\r\nhalf");
  upload.start_reading();
  BOOST_TEST(f.ends_within_grace());
  BOOST_TEST(f.until([&] { return client.closed() && upload.closed(); }));
  BOOST_TEST(client.received().starts_with("HTTP/1.1 504 "));
}

// A registry acknowledged reports after SIGTERM although its links were about to close.
BOOST_AUTO_TEST_CASE(given_a_registry_that_stops_when_a_server_reports_its_drain_then_it_is_sent_to_another) {
  ServingFleet f;
  bool ended = false;
  f.registries[0]->stop([&] { ended = true; });
  BOOST_TEST(f.heartbeat("i-1", 0, "draining").status == 503);  // at the first core machine
  BOOST_TEST(f.until([&] { return ended; }));
}

// A change in progress at SIGTERM was cut off without a response.
BOOST_AUTO_TEST_CASE(given_a_change_in_progress_when_its_registry_stops_then_it_is_answered) {
  ServingFleet f;
  bool ended = false;
  int status = 0;
  f.registries[0]->propose(configuration::ChangeKind::replace, high_quota_config(4, 3),
                           [&](int answer, const std::string&, std::uint64_t) { status = answer; });
  f.registries[0]->stop([&] { ended = true; });
  BOOST_TEST(f.until([&] { return ended; }));
  BOOST_TEST(status == 200);
}

BOOST_AUTO_TEST_CASE(given_clients_that_send_at_any_time_of_a_drain_then_forwarded_requests_are_answered) {
  for (std::uint64_t seed = 1; seed <= last_seed(2); ++seed) DrainSoakTest(seed).run();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
