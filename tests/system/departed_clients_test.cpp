// What becomes of a request whose client leaves before it has its answer: in the decision module, and on sockets.
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

// A proxy that may ask the holder of the counts for units.
struct MeteredWorld : World {
  explicit MeteredWorld(const Setup& setup = {.per_s = 1000}, std::uint64_t seed = 1) : World(setup, seed) {
    d.on_new_holder(now, kTerm);
    d.set_holder_reachable(now, true);
  }
  Actions grant(std::uint32_t units, std::int64_t window = 1) {
    return d.on_grants(now, {kTerm, now, {{"t", window, units, 1000, {}, 1s, {}}}});
  }
  static constexpr std::uint64_t kTerm = 1;
};

// Requests, outcomes, grants, leaving clients and time by chance. What is out at servers is known here, as a front
// knows it.
class DeparturePlay {
 public:
  explicit DeparturePlay(std::uint64_t seed)
      : seed_(seed),
        random_(seed),
        world_({.kind = seed % 2 == 0 ? "idempotent" : "mutating", .tries = 3, .per_s = 40}, seed) {
    for (const auto* server : {"one", "two", "three"}) world_.list(server, "a1");
  }

  void run() {
    for (int step = 0; step < 400; ++step) {
      world_.now += Duration(1ms) * static_cast<int>(random_() % 20);
      world_.d.set_confirmed(world_.now);
      one_event(step / 40);
    }
    for (int step = 0; step < 1000 && !open_.empty(); ++step) {
      world_.now += 20ms;
      if (const auto id = any_open(); open_.at(*id)) end_one(*id);
      take(world_.d.tick(world_.now));
    }
    BOOST_TEST(open_.empty(), "seed " << seed_);
    BOOST_TEST(world_.d.open_count() == 0u, "seed " << seed_);
  }

 private:
  void one_event(std::int64_t window) {
    const auto id = any_open();
    switch (random_() % 5) {
      case 0:
        open_[world_.id + 1] = false;
        take(world_.ask());
        break;
      case 1:
        if (id && open_.at(*id)) end_one(*id);
        break;
      case 2:
        if (id && left_.insert(*id).second) take(world_.d.on_client_left(world_.now, *id));
        break;
      case 3:
        if (std::exchange(asked_, false))
          take(world_.grant(static_cast<std::uint32_t>(random_() % 4), window));
        break;
      default: take(world_.d.tick(world_.now));
    }
  }
  std::optional<RequestId> any_open() {
    if (open_.empty()) return std::nullopt;
    return std::next(open_.begin(), static_cast<std::ptrdiff_t>(random_() % open_.size()))->first;
  }
  void end_one(RequestId id) {
    static constexpr std::array kOutcomes = {Outcome::ok,    Outcome::ok,      Outcome::error,
                                             Outcome::reset, Outcome::not_run, Outcome::connect_failed};
    const auto outcome = kOutcomes[random_() % kOutcomes.size()];
    open_[id] = false;
    take(world_.d.on_attempt_ended(world_.now, id, outcome, 50ms, outcome == Outcome::ok));
  }
  void take(const Actions& actions) {
    for (const auto& action : actions) std::visit([&](const auto& one) { on(one); }, action);
  }
  void on(const Send& sent) {
    BOOST_TEST(!left_.contains(sent.request), "seed " << seed_);
    BOOST_TEST(!open_.at(sent.request), "seed " << seed_);
    open_[sent.request] = true;
  }
  void on(const Cancel& cancel) {
    BOOST_TEST(open_.at(cancel.request), "seed " << seed_);
    const bool unsent = random_() % 3 == 0;
    if (cancel.unsent_only && !unsent) return;
    open_[cancel.request] = false;
    const auto outcome = unsent ? Outcome::cancelled_unsent : Outcome::cancelled;
    take(world_.d.on_attempt_ended(world_.now, cancel.request, outcome, {}, false));
  }
  void on(const Drop& drop) { final_of(drop.request, true); }
  void on(const Refuse& refuse) { final_of(refuse.request, false); }
  void on(const Fail& fail) { final_of(fail.request, false); }
  void on(const Relay& relay) { final_of(relay.request, false); }
  void on(const RequestUnits&) { asked_ = true; }
  void final_of(RequestId id, bool client_left) {
    BOOST_TEST(open_.erase(id) == 1u, "seed " << seed_);
    BOOST_TEST(left_.contains(id) == client_left, "seed " << seed_);
  }

  std::uint64_t seed_;
  std::mt19937_64 random_;
  MeteredWorld world_;
  std::map<RequestId, bool> open_;  // whether an attempt is out
  std::set<RequestId> left_;
  bool asked_ = false;
};

constexpr Duration kSoon = 3s;  // far below the time that the requests have

BOOST_AUTO_TEST_SUITE(departed_clients)

BOOST_AUTO_TEST_CASE(
    given_a_request_that_waits_for_a_place_when_its_client_leaves_then_it_goes_to_no_server) {
  World w;
  w.list("one", "a1");
  for (int i = 0; i < 10; ++i) w.one(w.ask());  // 2.5 times its slots
  BOOST_TEST(w.ask().empty());                  // it waits for a place
  BOOST_TEST(holds_one<Drop>(w.d.on_client_left(w.now, w.id)));
  BOOST_TEST(count_of_sends(w.d.on_attempt_ended(w.now, 1, Outcome::ok, 50ms, true)) == 0u);
  BOOST_TEST(w.d.open_count() == 9u);
}

BOOST_AUTO_TEST_CASE(given_a_request_that_waits_for_units_when_its_client_leaves_then_the_next_has_them) {
  MeteredWorld w;
  w.list("one", "a1");
  BOOST_TEST(holds_one<RequestUnits>(w.ask()));
  BOOST_TEST(holds_one<Drop>(w.d.on_client_left(w.now, w.id)));
  BOOST_TEST(count_of_sends(w.grant(1)) == 0u);
  BOOST_TEST(count_of_sends(w.ask()) == 1u);
}

BOOST_AUTO_TEST_CASE(
    given_a_request_with_a_unit_when_its_client_leaves_before_it_is_sent_then_the_unit_is_left) {
  MeteredWorld w;
  w.list("one", "a1");
  w.ask();
  w.grant(11);
  for (int i = 0; i < 9; ++i) BOOST_TEST(count_of_sends(w.ask()) == 1u);
  BOOST_TEST(count_of_sends(w.ask()) == 0u);  // it has the eleventh unit, and waits for a place
  w.d.on_client_left(w.now, w.id);
  w.d.on_attempt_ended(w.now, 1, Outcome::ok, 50ms, true);
  BOOST_TEST(count_of_sends(w.ask()) == 1u);
  // Likewise one whose connection had not come up.
  BOOST_TEST(holds_one<Cancel>(w.d.on_client_left(w.now, w.id)));
  w.d.on_attempt_ended(w.now, w.id, Outcome::cancelled_unsent, {}, false);
  BOOST_TEST(count_of_sends(w.ask()) == 1u);
}

BOOST_AUTO_TEST_CASE(given_a_repeatable_request_at_a_server_when_its_client_leaves_then_it_is_ended) {
  World w;
  w.list("one", "a1"), w.list("two", "a1");
  w.ask();
  const auto told = w.one(w.d.on_client_left(w.now, w.id));
  BOOST_REQUIRE(std::holds_alternative<Cancel>(told));
  BOOST_TEST(!std::get<Cancel>(told).unsent_only);
  BOOST_TEST(w.d.on_client_left(w.now, w.id).empty());  // once
  BOOST_TEST(holds_one<Drop>(w.d.on_attempt_ended(w.now, w.id, Outcome::cancelled, {}, false)));
  BOOST_TEST(w.d.open_count() == 0u);
}

BOOST_AUTO_TEST_CASE(
    given_a_request_that_may_not_repeat_when_its_client_leaves_then_its_server_ends_the_work) {
  for (const auto outcome : {Outcome::ok, Outcome::error, Outcome::reset, Outcome::not_run,
                             Outcome::connect_failed, Outcome::cancelled_unsent}) {
    World w({.kind = "mutating"});
    w.list("one", "a1"), w.list("two", "a1");
    w.ask();
    const auto told = w.one(w.d.on_client_left(w.now, w.id));
    BOOST_REQUIRE(std::holds_alternative<Cancel>(told));
    BOOST_TEST(std::get<Cancel>(told).unsent_only);
    // Whatever comes of it, it is neither answered nor sent again.
    BOOST_TEST(holds_one<Drop>(w.d.on_attempt_ended(w.now, w.id, outcome, 50ms, outcome == Outcome::ok)));
  }
}

BOOST_AUTO_TEST_CASE(given_clients_that_leave_quickly_when_their_server_is_sound_then_it_is_used_on) {
  World w;
  w.list("near", "a1"), w.list("far", "b1");
  for (int i = 0; i < 100; ++i) {
    BOOST_TEST(w.server_of(w.one(w.ask())) == "near");
    w.now += 5ms;
    w.d.on_client_left(w.now, w.id);
    w.d.on_attempt_ended(w.now, w.id, Outcome::cancelled, {}, false);
    w.one(w.ask());
    w.now += 50ms;
    w.end(Outcome::ok);
  }
}

BOOST_AUTO_TEST_CASE(given_a_dark_server_when_clients_leave_before_it_shows_then_others_are_used) {
  World w;
  w.list("dark", "a1"), w.list("sound", "a1");
  int to_dark = 0;
  for (int i = 0; i < 200; ++i) {
    w.d.set_confirmed(w.now);
    if (w.server_of(w.one(w.ask())) == "dark") {
      ++to_dark;
      w.now += 300ms;
      w.d.on_client_left(w.now, w.id);
      w.d.on_attempt_ended(w.now, w.id, Outcome::cancelled, {}, false);
    } else {
      w.now += 50ms;
      w.end(Outcome::ok);
    }
  }
  BOOST_TEST(to_dark < 40);  // about half, if nothing were kept of its silence
}

BOOST_AUTO_TEST_CASE(given_clients_that_leave_at_any_moment_when_all_has_ended_then_nothing_is_left_behind) {
  for (std::uint64_t seed = 1; seed <= last_seed(200); ++seed) DeparturePlay(seed).run();
}

BOOST_AUTO_TEST_CASE(given_a_repeatable_request_at_a_server_when_its_client_leaves_then_the_server_is_told) {
  ServingFleet f;
  Client client(f, 4, request_to("/a/hold", "left"));
  BOOST_REQUIRE(f.reaches_server("/a/hold"));
  client.leave();
  BOOST_TEST(f.until([&] { return f.server.left() == 1; }, kSoon));
  BOOST_TEST(f.ask(4, "/a/x").status == 200);
}

BOOST_AUTO_TEST_CASE(given_requests_behind_each_other_when_their_client_leaves_then_all_are_ended) {
  ServingFleet f;
  Client client(f, 4, request_to("/a/1/hold", "p1") + request_to("/a/2/hold", "p2"));
  BOOST_REQUIRE(f.reaches_server("/a/1/hold"));
  BOOST_REQUIRE(f.reaches_server("/a/2/hold"));
  client.leave();
  BOOST_TEST(f.until([&] { return f.server.left() == 2; }, kSoon));
}

BOOST_AUTO_TEST_CASE(given_work_that_may_not_repeat_at_a_server_when_its_client_leaves_then_it_goes_on) {
  ServingFleet f;
  const std::string patch =
      R"({"gen":"00000004","parent":"00000003","upsert":{"listeners":[{"vhost":"h.example","policy":[)"
      R"({"name":"r2","kind":"mutating","target_ms":20000,"match":{"pfx":"/m/"},)"
      R"("action":{"svc":"alpha","tmo_ms":20000,"tries":2}}]}]}})";
  BOOST_REQUIRE(f.post(f.ctl(1), "/Config.Patch", patch).status == 200);
  BOOST_REQUIRE(f.until([&] { return f.ask(4, "/m/x").status == 200; }));
  Client client(f, 4, request_to("/m/hold", "goes-on"));
  BOOST_REQUIRE(f.reaches_server("/m/hold"));
  client.leave();
  BOOST_TEST(f.ask(4, "/a/x").status == 200);  // the close was there before this request
  BOOST_TEST(f.server.left() == 0u);
  f.server.release();
  BOOST_TEST(f.ask(4, "/m/x").status == 200);
  BOOST_TEST(f.server.left() == 0u);
}

BOOST_AUTO_TEST_CASE(given_a_close_right_behind_a_request_when_both_are_read_late_then_no_server_sees_it) {
  ServingFleet f;
  // Some of them have a unit at once. The proxy does not run meanwhile.
  for (int i = 0; i < 20; ++i) Client(f, 4, request_to("/a/late", "late" + std::to_string(i))).leave();
  for (int i = 0; i < 5; ++i) BOOST_TEST(f.ask(4, "/a/x").status == 200);
  BOOST_TEST(!f.has_reached_server("/a/late"));
}

BOOST_AUTO_TEST_CASE(given_more_behind_requests_than_is_read_ahead_when_their_client_leaves_then_it_shows) {
  ServingFleet f;
  std::string requests;
  for (int i = 0; requests.size() < std::size_t{100} * 1024; ++i)
    requests += request_to("/a/hold", "b" + std::to_string(i));
  Client client(f, 4, requests);
  const auto held = [&] {
    return std::ranges::count_if(f.server.seen(),
                                 [](const auto& seen) { return seen.target() == "/a/hold"; });
  };
  BOOST_REQUIRE(f.until([&] { return held() == 10; }));  // 2.5 times its slots; others wait for a place
  client.leave();
  BOOST_TEST(f.until([&] { return f.server.left() == 10; }, kSoon));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
