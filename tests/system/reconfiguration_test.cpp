// Requests at one proxy while its configuration changes under them: limits that are lifted, set and moved,
// tenants that are removed, windows of other lengths, late and lost grants, servers that come and go.
#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <map>

#include "decisions_world.hpp"

namespace docklift::test {
namespace {

constexpr Duration kTickInterval = 20ms;
constexpr Duration kRefusalTolerance = 100ms;  // from a deadline to its refusal: two ticks and two checks

// A proxy whose every action is carried out: attempts end, calls for units are answered, and the final actions
// of each request are counted.
struct ReconfiguredProxy {
  explicit ReconfiguredProxy(std::uint64_t seed)
      : random(seed), d({"p1", "a1", "a"}, kZones, ProxyFixture::bounds({}), seed) {
    d.set_proxies({"a1/p1"});
    d.set_confirmed(now);
    configure();
    d.set_holder_reachable(now, true);
    d.on_new_holder(now, 1);
  }

  // Tenants t0 to t2, each with a limit of its own or none, or removed.
  void configure() {
    nlohmann::json tenants = nlohmann::json::array();
    for (int i = 0; i < 3; ++i) {
      if (i > 0 && random() % 6 == 0) continue;
      static constexpr double kRates[] = {0, 0, 3, 40, 40, 2000};
      const double per_s = kRates[random() % std::size(kRates)];
      const double burst = random() % 2 == 0 ? per_s : 6 * per_s;
      const auto name = "t" + std::to_string(i);
      tenants.push_back({{"name", name}, {"apikeys", {"k" + name}}, {"per_s", per_s}, {"burst", burst}});
    }
    auto document = nlohmann::json::parse(
        R"({"gen":"00000001","listeners":[{"vhost":"h","policy":[{"name":"r","kind":"idempotent",)"
        R"("target_ms":500,"match":{"pfx":"/a/"},"action":{"svc":"s","tmo_ms":1500,"tries":2}}]}],)"
        R"("clusters":[{"name":"s","max_conns":40,"warmup_s":3,"cold_per_s":10}]})");
    document["accts"] = tenants;
    document["listeners"][0]["policy"][0]["target_ms"] = 200 + random() % 3000;
    auto read = configuration::read(document);
    BOOST_REQUIRE(!failed(read));
    c = value(read);
    execute(d.configure(now, c));
  }
  void arrive() {
    const auto& tenant = c->tenants[random() % c->tenants.size()];
    const auto left = std::chrono::milliseconds(50 + random() % 2500);
    deadlines[++last_id] = now + std::min<Duration>(left, from_millis(c->routes[0].timeout_ms));
    execute(d.on_request(now, {last_id, &c->routes[0], &tenant, left}));
  }
  void change_server() {
    fleet::Server s;
    s.id = "i-" + std::to_string(random() % 3), s.service = "s", s.address = "10.0.0.1:80", s.zone = "a1";
    s.cap = 4, s.heartbeat_sequence = ++heartbeats, s.received_at = now;
    s.phase = random() % 4 == 0 ? fleet::Phase::GONE : fleet::Phase::READY;
    d.update_servers(now, {s});
  }
  void execute(const Actions& actions) {
    for (const auto& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        end_attempt(*send);
      } else if (const auto* units = std::get_if<RequestUnits>(&action)) {
        answer(units->requests);
      } else if (const auto* refusal = std::get_if<Refuse>(&action)) {
        finish(refusal->request);
      } else if (const auto* failure = std::get_if<Fail>(&action)) {
        finish(failure->request);
      } else if (const auto* relay = std::get_if<Relay>(&action)) {
        finish(relay->request);
      }
    }
  }
  void end_attempt(const Send& send) {
    const Duration took = std::min<Duration>(send.timeout, std::chrono::milliseconds(random() % 300));
    const auto outcome = random() % 4 == 0 ? Outcome::not_run : Outcome::ok;
    events.emplace(now + took, [this, id = send.request, outcome, took] {
      execute(d.on_attempt_ended(now, id, outcome, took, true));
    });
  }
  // One call in eight is lost; the others are answered by the configuration of when they arrive, or by one of
  // before.
  void answer(const std::vector<decisions::UnitRequest>& requests) {
    if (random() % 8 == 0) return;
    const Time sent = now;
    const auto delay = std::chrono::milliseconds(1 + random() % 250);
    const auto by = random() % 2 == 0 ? c : nullptr;
    events.emplace(now + delay, [this, requests, sent, by] {
      decisions::UnitResponse response{1, sent, {}};
      for (const auto& a : requests) {
        const auto& tenants = (by ? by : c)->tenants;
        const auto known = std::ranges::find(tenants, a.tenant, &configuration::Tenant::name);
        const counts::Quota quota = known == tenants.end() ? counts::Quota{}
                                                           : counts::Quota{known->per_s, known->burst};
        if (a.returned_window >= 0) continue;
        const auto g = holder.add(now, a.tenant, quota, a.ahead, a.units, "p1", a.demand);
        response.grants.push_back(
            {a.tenant, g.window, g.units, g.remaining, g.starts, g.ends, g.exhausted_for});
      }
      execute(d.on_grants(now, response));
    });
  }
  void finish(RequestId id) {
    ++finals[id];
    BOOST_TEST((now <= deadlines[id] + kRefusalTolerance), "request " << id << " is answered late");
  }
  void run(Duration span) {
    for (const Time until = now + span; now < until; now += kTickInterval) {
      while (!events.empty() && events.begin()->first <= now) {
        const auto event = events.extract(events.begin());
        event.mapped()();
      }
      execute(d.tick(now));
    }
  }

  std::mt19937_64 random;
  Time now{1h};
  std::shared_ptr<const Configuration> c;
  Decisions d;
  counts::Counts holder{{5, 0.1, 20}};
  std::multimap<Time, std::function<void()>> events;
  std::map<RequestId, Time> deadlines;
  std::map<RequestId, int> finals;
  RequestId last_id = 0;
  std::uint64_t heartbeats = 0;
};

BOOST_AUTO_TEST_SUITE(reconfiguration)

// Guards against requests that nobody wakes up after a change: each has exactly one final action, by its
// deadline.
BOOST_AUTO_TEST_CASE(
    given_random_changes_and_arrivals_when_all_is_played_then_each_request_is_answered_once_in_time) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    ReconfiguredProxy p(seed);
    p.holder.begin(p.now, true);
    for (int step = 0; step < 400; ++step) {
      p.run(kTickInterval * (1 + p.random() % 3));
      const auto arrivals = p.random() % 8;
      for (std::uint64_t i = 0; i < arrivals; ++i) p.arrive();
      if (p.random() % 6 == 0) p.configure();
      if (p.random() % 5 == 0) p.change_server();
      if (p.random() % 60 == 0) {
        p.execute(p.d.set_holder_reachable(p.now, false));
        p.run(100ms);
        p.execute(p.d.set_holder_reachable(p.now, true));
      }
    }
    p.run(4s);
    BOOST_TEST(p.d.open_count() == 0u, "seed " << seed);
    for (const auto& [id, deadline] : p.deadlines)
      BOOST_TEST(p.finals[id] == 1, "seed " << seed << ", request " << id << ": " << p.finals[id]);
    // The last resort hides no request that should have been woken up earlier.
    BOOST_TEST(p.d.refusals().of(RefusalReason::overdue) == 0u, "seed " << seed);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
