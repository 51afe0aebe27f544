// Test fixture: the decision module of one proxy, with a configuration of one route, and shorthands for its
// events.
#pragma once

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "system/decisions/decisions.hpp"

namespace docklift::test {

using namespace std::chrono_literals;
using namespace decisions;
using configuration::Configuration;

inline const std::map<std::string, std::string> kZones = {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}};

// What varies between the tests.
struct Setup {
  std::string kind = "idempotent", regions = "[]", tenant_regions = "[]";
  int tries = 2;
  double cold_per_s = 10, per_s = 0;
  bool strict = false;
  bool has_account = true;  // else its list of accounts is empty
};

inline std::shared_ptr<const Configuration> configured(const Setup& s) {
  const auto account = R"({"name":"t","apikeys":["k"],"per_s":)" + std::to_string(s.per_s) +
                       R"(,"burst":10,"pin_regions":)" + s.tenant_regions + "}";
  const auto text = R"({"gen":"00000001","accts":[)" + (s.has_account ? account : "") +
                    R"(],"listeners":[{"vhost":"h","policy":[{"name":"r","kind":")" + s.kind +
                    R"(","target_ms":500,"match":{"pfx":"/a/"},"action":{"svc":"s","tmo_ms":2000,"tries":)" +
                    std::to_string(s.tries) + R"(,"pin_regions":)" + s.regions +
                    R"(}}]}],"clusters":[{"name":"s","max_conns":80,"warmup_s":3,"cold_per_s":)" +
                    std::to_string(s.cold_per_s) + "}]}";
  auto read = configuration::read(nlohmann::json::parse(text));
  BOOST_REQUIRE(!failed(read));
  return value(read);
}

// A proxy in zone a1, one of seven; `now` is advanced by the tests.
struct ProxyFixture {
  explicit ProxyFixture(const Setup& s = {}, std::uint64_t seed = 1, const std::string& name = "p1",
                        const std::string& zone = "a1")
      : c(configured(s)), d({name, zone, kZones.at(zone)}, kZones, bounds(s), seed) {
    d.configure(now, c);
    d.set_proxies({"a1/p1", "a1/p2", "a2/p3", "b1/p4", "b1/p5", "b1/p6", "b1/p7"});
    d.set_confirmed(now);
  }
  static Bounds bounds(const Setup& s) {
    Bounds b;
    b.strict_revoke = s.strict;
    return b;
  }
  // Reports the server to the proxy, with a newer record at each call.
  void report_server(const std::string& server, const std::string& zone,
                     fleet::Phase phase = fleet::Phase::READY, Duration cold = {}) {
    fleet::Server r;
    r.id = server, r.service = "s", r.address = "10.0.0.1:80", r.zone = zone, r.cap = 4, r.phase = phase,
    r.heartbeat_sequence = ++calls, r.received_at = now;
    r.cold_until = cold > Duration{} ? now + cold : Time{};
    d.update_servers(now, {r});
  }
  Action only(Actions actions) {
    BOOST_REQUIRE(actions.size() == 1);
    return actions[0];
  }
  Actions request(Duration left = 1s) {
    return d.on_request(now, {++id, &c->routes[0], &c->tenants[0], left});
  }
  std::string server_of(const Action& a) {
    const auto* s = std::get_if<Send>(&a);
    BOOST_REQUIRE(s != nullptr);
    return d.find_server(s->server)->id;
  }
  Action end_attempt(Outcome o, bool whole = true) {
    return only(d.on_attempt_ended(now, id, o, 50ms, whole));
  }

  Time now{1h};
  std::shared_ptr<const Configuration> c;
  Decisions d;
  RequestId id = 0;
  std::uint64_t calls = 0;
};

}  // namespace docklift::test
