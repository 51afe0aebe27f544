// What becomes of requests at a proxy that is to end (SIGTERM): in the decision module, and on sockets.
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

// Proxies with a shorter time from SIGTERM to SIGKILL, so that a story takes seconds.
constexpr Duration kGrace = 4s;
struct DrainingFleet : ServingFleet {
  DrainingFleet() : ServingFleet("bounds.grace_s=4\n") {}

  void begin_drain() {
    began = std::chrono::steady_clock::now();
    proxies.front()->drain([this] { ended = true; });
  }
  // Runs the loop until so long after the drain began.
  void run_until(Duration after) {
    until([&] { return gone() >= after; }, after + 1s);
  }
  bool ends_within_grace() {
    return until([&] { return ended; }, kGrace - gone());
  }
  Duration gone() const { return std::chrono::steady_clock::now() - began; }  // since the drain began
  std::chrono::steady_clock::time_point began;
  bool ended = false;
};

// Requests, outcomes and time by chance at a proxy that drains at a moment by chance. What is out at servers is known
// here, as a front knows it.
class DrainPlay {
 public:
  explicit DrainPlay(std::uint64_t seed)
      : seed_(seed),
        random_(seed),
        world_({.kind = seed % 2 == 0 ? "idempotent" : "mutating", .tries = 3}, seed) {
    for (const auto* server : {"one", "two"}) world_.list(server, "a1");
  }

  void run() {
    const Time begins = world_.now + Duration(1ms) * static_cast<int>(random_() % 1000);
    const DrainSchedule schedule(begins, 6s);
    while (world_.now < schedule.abort_at) {
      world_.now += Duration(1ms) * static_cast<int>(random_() % 40);
      world_.d.set_confirmed(world_.now);
      if (!schedule_ && world_.now >= begins) world_.d.begin_drain(schedule_.emplace(schedule));
      one_event();
    }
    giving_up_ = true;
    take(world_.d.abort_open_requests(world_.now));
    BOOST_TEST(open_.empty(), "seed " << seed_);
    BOOST_TEST(world_.d.open_count() == 0u, "seed " << seed_);
    take(world_.d.on_request(world_.now, arrival(5s)));
    BOOST_TEST(open_.empty(), "seed " << seed_);  // refused
  }

 private:
  struct Open {
    bool at_server = false, may_have_run = false;
    Time deadline{};
  };
  Arrival arrival(Duration left) {
    open_[++world_.id].deadline = world_.now + std::min<Duration>(left, 2s);  // the route's time
    return {world_.id, &world_.c->routes[0], &world_.c->tenants[0], left};
  }
  void one_event() {
    if (random_() % 3 != 0)
      return take(world_.d.on_request(world_.now, arrival(random_() % 2 == 0 ? 5s : 1s)));
    if (open_.empty()) return take(world_.d.tick(world_.now));
    const auto id = std::next(open_.begin(), static_cast<std::ptrdiff_t>(random_() % open_.size()))->first;
    if (open_[id].at_server) end(id);
  }
  void end(RequestId id) {
    static constexpr std::array kOutcomes = {Outcome::ok, Outcome::error, Outcome::reset, Outcome::not_run,
                                             Outcome::connect_failed};
    const auto outcome = kOutcomes[random_() % kOutcomes.size()];
    note_end(id, outcome);
    take(world_.d.on_attempt_ended(world_.now, id, outcome, 50ms, outcome == Outcome::ok));
  }
  void note_end(RequestId id, Outcome outcome) {
    auto& open = open_.at(id);
    open.at_server = false;
    open.may_have_run = open.may_have_run || !proves_not_run(outcome);
  }
  void take(const Actions& actions) {
    for (const auto& action : actions) std::visit([&](const auto& one) { on(one); }, action);
  }
  void on(const Send& sent) {
    auto& open = open_.at(sent.request);
    BOOST_TEST(!giving_up_, "seed " << seed_);
    if (schedule_) BOOST_TEST(schedule_->may_begin(world_.now, open.deadline), "seed " << seed_);
    open.at_server = true;
  }
  void on(const Cancel& cancel) {
    BOOST_TEST(open_.at(cancel.request).at_server, "seed " << seed_);
    const auto outcome = random_() % 2 == 0 ? Outcome::cancelled : Outcome::cancelled_unsent;
    note_end(cancel.request, outcome);
    take(world_.d.on_attempt_ended(world_.now, cancel.request, outcome, {}, false));
  }
  void on(const Refuse& refuse) {
    BOOST_TEST(!open_.at(refuse.request).may_have_run, "seed " << seed_);
    final_of(refuse.request);
  }
  void on(const Fail& fail) { final_of(fail.request); }
  void on(const Relay& relay) { final_of(relay.request); }
  void on(const Drop& drop) { final_of(drop.request); }
  void on(const RequestUnits&) {}
  void final_of(RequestId id) { BOOST_TEST(open_.erase(id) == 1u, "seed " << seed_); }

  std::uint64_t seed_;
  std::mt19937_64 random_;
  World world_;
  std::optional<DrainSchedule> schedule_;
  std::map<RequestId, Open> open_;
  bool giving_up_ = false;
};

// Clients on kept connections that speak at moments by chance, one or two requests at a time, while their proxy drains;
// the server answers some at once and holds others, to the end or to moments by chance.
class DrainSoak {
 public:
  explicit DrainSoak(std::uint64_t seed) : seed_(seed), random_(seed) {
    for (int i = 0; i < kClients; ++i) {
      clients_.push_back({std::make_unique<Client>(fleet_, 4, request_to("/a/x", name(i, 0)))});
      clients_.back().client->listen();
    }
    BOOST_REQUIRE(fleet_.until([&] { return std::ranges::all_of(clients_, is_answered); }));
    for (auto& one : clients_) one.speaks_at = by_chance(kGrace);
  }

  void run() {
    fleet_.begin_drain();
    const bool releases = random_() % 2 == 0;
    while (!fleet_.ended && fleet_.gone() < kGrace) {
      fleet_.io.run_one_for(std::chrono::milliseconds(5));
      for (std::size_t i = 0; i < clients_.size(); ++i) speak(i);
      if (releases && random_() % 50 == 0) fleet_.server.release();
    }
    BOOST_TEST(fleet_.ended, "seed " << seed_);
    fleet_.proxies.erase(fleet_.proxies.begin());  // the process is gone, and its connections with it
    BOOST_TEST(fleet_.until([&] { return std::ranges::all_of(clients_, is_closed); }), "seed " << seed_);
    for (std::size_t i = 0; i < clients_.size(); ++i) check(i);
  }

 private:
  static constexpr int kClients = 24;
  struct One {
    std::unique_ptr<Client> client;
    Duration speaks_at{};  // after the drain began
    std::size_t sent = 1, batch_from = 0;
  };
  static std::size_t answers(const One& one) {
    std::size_t count = 0;
    for (auto at = one.client->received().find("HTTP/1.1 "); at != std::string::npos;
         at = one.client->received().find("HTTP/1.1 ", at + 1))
      ++count;
    return count;
  }
  static bool is_answered(const One& one) { return answers(one) == one.sent; }
  static bool is_closed(const One& one) { return one.client->closed(); }
  static std::string name(std::size_t client, std::size_t request) {
    return "c" + std::to_string(client) + "-" + std::to_string(request);
  }
  Duration by_chance(Duration limit) {
    return std::chrono::milliseconds(random_() %
                                     std::chrono::duration_cast<std::chrono::milliseconds>(limit).count());
  }
  void speak(std::size_t i) {
    auto& one = clients_[i];
    if (one.client->closed() || fleet_.gone() < one.speaks_at || !is_answered(one)) return;
    std::string requests;
    for (auto n = 1 + random_() % 2; n > 0; --n)
      requests += request_to(random_() % 2 == 0 ? "/a/hold" : "/a/x", name(i, one.sent++));
    one.client->send(requests);
    one.speaks_at += by_chance(1s);
  }
  // What a server has got has an answer, its own or the proxy's.
  void check(std::size_t i) {
    const auto passed_on = std::ranges::count_if(fleet_.server.seen(), [&](const auto& seen) {
      return seen.field("Attempt-Id").starts_with("c" + std::to_string(i) + "-");
    });
    BOOST_TEST(answers(clients_[i]) >= static_cast<std::size_t>(passed_on),
               "seed " << seed_ << ", client " << i);
  }

  std::uint64_t seed_;
  std::mt19937_64 random_;
  DrainingFleet fleet_;
  std::vector<One> clients_;
};

BOOST_AUTO_TEST_SUITE(drain)

BOOST_AUTO_TEST_CASE(given_a_kept_connection_when_a_request_comes_early_in_the_drain_then_it_is_served_last) {
  DrainingFleet f;
  Client client(f, 4, request_to("/a/x", "before"));
  client.listen();
  BOOST_REQUIRE(f.until([&] { return client.received_answer_to("before"); }));
  f.begin_drain();
  client.send(request_to("/a/x", "early"));
  BOOST_TEST(f.until([&] { return client.closed(); }));
  BOOST_TEST(client.received_answer_to("early"));
  BOOST_TEST(client.received().find("Connection: close\r\n") != std::string::npos);
}

// LOST: a request that came long after SIGTERM was passed on, and killed with the process while its server worked.
BOOST_AUTO_TEST_CASE(given_a_kept_connection_when_a_request_comes_late_in_the_drain_then_no_server_gets_it) {
  DrainingFleet f;
  Client client(f, 4, request_to("/a/x", "early"));
  client.listen();
  BOOST_REQUIRE(f.until([&] { return client.received_answer_to("early"); }));
  f.begin_drain();
  f.run_until(kGrace * 11 / 20);
  client.send(request_to("/a/late/hold", "late"));
  BOOST_TEST(f.ends_within_grace());
  BOOST_TEST(!f.has_reached_server("/a/late/hold"));
  BOOST_TEST(f.until([&] { return client.closed(); }));
}

// LOST: an answer that was there stood behind a longer request of its connection, and was killed with the process.
BOOST_AUTO_TEST_CASE(given_an_answer_behind_a_longer_request_when_the_grace_ends_then_its_client_has_it) {
  DrainingFleet f;
  Client client(f, 4, request_to("/a/long/hold", "long") + request_to("/a/short", "short"));
  client.listen();
  BOOST_REQUIRE(f.reaches_server("/a/long/hold"));
  BOOST_REQUIRE(f.reaches_server("/a/short"));
  f.begin_drain();
  BOOST_TEST(f.ends_within_grace());
  BOOST_TEST(client.received_answer_to("short"));
  BOOST_TEST(f.until([&] { return client.closed(); }));
}

// Constants of seconds held for one grace only.
BOOST_AUTO_TEST_CASE(given_any_grace_then_the_moments_of_a_drain_lie_where_the_pages_ask) {
  const Time now{1h};
  for (Duration grace = 1s; grace <= 30s; grace += 500ms) {
    const DrainSchedule schedule(now, grace);
    const Duration seen_late = std::min<Duration>(300ms, grace / 20);  // the signal, after it was sent
    BOOST_TEST((schedule.accepts_until + seen_late <= now + std::min<Duration>(3s, grace / 2)));
    BOOST_TEST((schedule.accepts_until < schedule.abort_at));
    BOOST_TEST((schedule.abort_at >= now + grace * 5 / 6));
    BOOST_TEST((schedule.abort_at + seen_late < schedule.exit_at));
    BOOST_TEST((schedule.exit_at < now + grace));
  }
}

// A failed try of a late request went on to another server, and was killed there.
BOOST_AUTO_TEST_CASE(given_a_failed_try_near_the_end_of_a_drain_then_the_servers_answer_is_passed_on) {
  World w({.tries = 3});
  w.list("one", "a1"), w.list("two", "a1");
  w.ask(2s);
  w.d.begin_drain(DrainSchedule(w.now - 5s, 6s));
  w.now += 200ms;  // half of its aim is left, its deadline is far: only the end of the process is near
  BOOST_TEST(std::holds_alternative<Relay>(w.end(Outcome::error)));
}

BOOST_AUTO_TEST_CASE(given_a_request_that_waits_for_units_when_a_drain_gives_up_then_it_is_refused) {
  World w({.per_s = 1000});
  w.list("one", "a1");
  w.d.on_new_holder(w.now, 1);
  w.d.set_holder_reachable(w.now, true);
  BOOST_TEST(std::holds_alternative<RequestUnits>(w.one(w.ask())));
  w.d.begin_drain(DrainSchedule(w.now, 6s));
  BOOST_TEST(std::holds_alternative<Refuse>(w.one(w.d.abort_open_requests(w.now))));
  BOOST_TEST(w.d.open_count() == 0u);
}

BOOST_AUTO_TEST_CASE(given_a_drain_when_requests_come_then_they_are_begun_while_they_can_still_end) {
  World w;
  w.list("one", "a1");
  w.d.begin_drain(DrainSchedule(w.now, 6s));
  w.now += 2600ms;
  BOOST_TEST(std::holds_alternative<Send>(w.one(w.ask(5s))));
  w.now += 200ms;
  BOOST_TEST(std::holds_alternative<Send>(w.one(w.ask(1s))));  // ends by its deadline
  const auto late = w.one(w.ask(5s));  // and by its route's time, 2 s, which is within the rest
  BOOST_TEST(std::holds_alternative<Send>(late));
  w.now += 1s;
  const auto refused = w.one(w.ask(5s));
  BOOST_REQUIRE(std::holds_alternative<Refuse>(refused));
  BOOST_TEST(std::get<Refuse>(refused).status == 503);
  BOOST_TEST((std::get<Refuse>(refused).retry_after > Duration{}));
  BOOST_TEST(w.d.refusals().of(RefusalReason::draining) == 1u);
}

BOOST_AUTO_TEST_CASE(given_work_at_servers_when_a_drain_gives_up_then_only_what_has_not_run_is_refused) {
  for (const auto* kind : {"idempotent", "mutating"}) {
    World w({.kind = kind});
    w.list("one", "a1");
    w.d.begin_drain(DrainSchedule(w.now, 6s));
    w.ask();
    const auto sent = w.id;
    w.ask();
    const auto unsent = w.id;
    const auto cancels = w.d.abort_open_requests(w.now);
    BOOST_REQUIRE(cancels.size() == 2u);
    for (const auto& cancel : cancels) BOOST_TEST(!std::get<Cancel>(cancel).unsent_only);
    const auto failed_end = w.one(w.d.on_attempt_ended(w.now, sent, Outcome::cancelled, {}, false));
    BOOST_REQUIRE(std::holds_alternative<Fail>(failed_end));
    BOOST_TEST(std::get<Fail>(failed_end).status == 504);
    BOOST_TEST(std::holds_alternative<Refuse>(
        w.one(w.d.on_attempt_ended(w.now, unsent, Outcome::cancelled_unsent, {}, false))));
    BOOST_TEST(w.d.open_count() == 0u);
  }
}

BOOST_AUTO_TEST_CASE(given_drains_at_any_moment_when_they_give_up_then_each_request_has_had_one_end) {
  for (std::uint64_t seed = 1; seed <= last_seed(200); ++seed) DrainPlay(seed).run();
}

BOOST_AUTO_TEST_CASE(given_requests_behind_each_other_in_a_drain_then_the_second_waits_for_another_proxy) {
  DrainingFleet f;
  f.begin_drain();
  Client client(f, 4, request_to("/a/1/hold", "first") + request_to("/a/2", "second"));
  client.listen();
  BOOST_REQUIRE(f.reaches_server("/a/1/hold"));
  f.server.release();
  BOOST_TEST(f.until([&] { return client.closed(); }));
  BOOST_TEST(client.received_answer_to("first"));
  BOOST_TEST(!f.has_reached_server("/a/2"));
}

BOOST_AUTO_TEST_CASE(given_nothing_open_when_the_drain_accepts_no_more_then_it_ends_early) {
  DrainingFleet f;
  Client kept(f, 4, request_to("/a/x", "kept"));
  kept.listen();
  BOOST_REQUIRE(f.until([&] { return kept.received_answer_to("kept"); }));
  f.begin_drain();
  BOOST_TEST(f.until([&] { return f.ended; }, kGrace * 2 / 3));
  BOOST_TEST(f.until([&] { return kept.closed(); }));
}

BOOST_AUTO_TEST_CASE(given_work_to_the_end_of_the_grace_then_its_client_is_told_before_the_kill) {
  DrainingFleet f;
  Client client(f, 4, request_to("/a/long/hold", "long"));
  client.listen();
  BOOST_REQUIRE(f.reaches_server("/a/long/hold"));
  f.begin_drain();
  // An upload that stays half read does not hold the process.
  Client upload(f, 4,
                "GET /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: half\r\nContent-Length: 9\r\n\r\nhalf");
  upload.listen();
  BOOST_TEST(f.ends_within_grace());
  BOOST_TEST(f.until([&] { return client.closed() && upload.closed(); }));
  BOOST_TEST(client.received().starts_with("HTTP/1.1 504 "));
}

// A registry acknowledged what it was told after SIGTERM, though its links were about to end.
BOOST_AUTO_TEST_CASE(given_a_registry_that_ends_when_a_server_says_that_it_drains_then_it_goes_to_another) {
  ServingFleet f;
  bool ended = false;
  f.registries[0]->stop([&] { ended = true; });
  BOOST_TEST(f.beat("i-1", 0, "draining").status == 503);  // at the first core machine
  BOOST_TEST(f.until([&] { return ended; }));
}

// A change that was under way at SIGTERM was cut off without a word.
BOOST_AUTO_TEST_CASE(given_a_change_under_way_when_its_registry_ends_then_it_has_its_answer) {
  ServingFleet f;
  bool ended = false;
  int status = 0;
  f.registries[0]->propose(configuration::ChangeKind::replace, wide_body(4, 3),
                           [&](int answer, const std::string&, std::uint64_t) { status = answer; });
  f.registries[0]->stop([&] { ended = true; });
  BOOST_TEST(f.until([&] { return ended; }));
  BOOST_TEST(status == 200);
}

BOOST_AUTO_TEST_CASE(given_clients_that_speak_at_any_moment_of_a_drain_then_what_was_passed_on_is_answered) {
  for (std::uint64_t seed = 1; seed <= last_seed(2); ++seed) DrainSoak(seed).run();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
