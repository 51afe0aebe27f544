// The whole path on loopback sockets in one loop: three stores, three registries, two proxies and a stand-in
// for a server. What is waited for is an event, with a limit; nothing sleeps.
#include <boost/test/unit_test.hpp>

#include "path_fleet.hpp"

namespace docklift::test {
namespace {

BOOST_AUTO_TEST_SUITE(path)

BOOST_AUTO_TEST_CASE(given_a_fleet_when_it_is_configured_and_a_server_beats_then_requests_are_served) {
  Fleet f;
  BOOST_TEST(f.send_request(4, "/a/x").status == 503);  // no configuration yet
  BOOST_TEST(
      f.until([&] { return f.post(f.ctl(1), "/Config.Replace", high_quota_config(3, 0)).status == 200; }));
  const auto read = f.get(f.ctl(2), "/Config.Read");
  BOOST_TEST(read.status == 200);
  BOOST_TEST((nlohmann::json::parse(read.body) == nlohmann::json::parse(high_quota_config(3, 0))));
  BOOST_TEST(f.post(f.ctl(3), "/Config.Replace", high_quota_config(4, 1)).status == 412);
  BOOST_TEST(f.post(f.ctl(3), "/Config.Replace", "{").status == 400);

  bool odd = false;
  std::uint64_t split = 0;
  standin::Server server(f.io, f.server(0), [&](const standin::Seen& seen) -> standin::Reply {
    if (seen.target() == "/a/split") {  // the begin of another answer behind it; the rest comes later
      split = seen.connection;
      auto r = standin::good(seen, "whole");
      r.bytes += "HTTP/1.1 200 OK\r\nContent-Le";
      return r;
    }
    if (seen.target() == "/a/next" && seen.connection == split) {
      auto r = standin::good(seen, "next");
      r.bytes.insert(0, "ngth: 4\r\n\r\njunk");
      return r;
    }
    if (seen.target() == "/a/extra") {
      auto r = standin::good(seen, "whole");
      r.bytes += "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\njunk";
      return r;
    }
    if (seen.target() == "/a/other" && !odd) {
      odd = true;
      return {"HTTP/1.1 200 OK\r\nAttempt-Id: another\r\nSeal: s\r\nContent-Length: 5\r\n\r\nwrong" +
                  standin::good(seen, "right").bytes,
              false, false};
    }
    if (seen.target() == "/a/encoded")
      return {"HTTP/1.1 200 OK\r\nAttempt-Id: " + seen.field("Attempt-Id") +
                  "\r\nSeal: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nzz",
              false, false};
    if (seen.target() == "/a/short")
      return {"HTTP/1.1 200 OK\r\nAttempt-Id: " + seen.field("Attempt-Id") +
                  "\r\nSeal: s\r\nContent-Length: 20\r\n\r\ncut",
              true, false};
    auto r = standin::good(seen, "hello");
    r.hold = seen.target() == "/a/hold";
    return r;
  });
  BOOST_TEST(f.heartbeat("i-1", 0).status == 200);
  Call served;
  BOOST_TEST(f.until([&] { return (served = f.send_request(4, "/a/x")).status == 200; }));
  BOOST_TEST(served.body == "hello");
  BOOST_TEST(served.text.find("Seal: s1") != std::string::npos);
  const auto& seen = server.requests().back();
  BOOST_TEST(seen.field("Want-Instance") == "i-1");
  BOOST_TEST(seen.field("Tenant") == "t1");  // not what the client said
  BOOST_TEST(seen.field("Key") == "");
  BOOST_TEST(http::number(seen.field("Deadline")).value_or(0) > 0);
  BOOST_TEST(f.send_request(5, "/a/x").status == 200);

  // What configurations allow.
  BOOST_TEST(f.until([&] { return f.send_request(4, "/a/x", "nobody").status == 401; }));
  BOOST_TEST(f.until([&] { return f.send_request(4, "/b/x").status == 404; }));
  BOOST_TEST(f.call(f.http(4),
                    "GET /a/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n")
                 .status == 400);

  // What is no answer to the request.
  BOOST_TEST(f.send_request(4, "/a/extra").body == "whole");
  BOOST_TEST(f.send_request(4, "/a/x").body == "hello");
  BOOST_TEST(f.send_request(4, "/a/split").body == "whole");
  const auto requests = server.requests().size();
  BOOST_TEST(f.send_request(4, "/a/next").status == 200);
  BOOST_TEST(server.requests().size() == requests + 1);  // on another connection, at the first try
  BOOST_TEST(f.send_request(4, "/a/other").body == "right");
  BOOST_TEST(f.send_request(4, "/a/encoded").status == 502);
  BOOST_TEST(f.send_request(4, "/a/short").status == 502);

  // Requests sent behind each other are answered in order.
  const auto one = [&](const char* id, const char* more) {
    return std::string("GET /a/hold HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: ") + id +
           "\r\nDeadline: 9000\r\nKey: k1\r\n" + more + "\r\n";
  };
  const auto before = server.requests().size();
  bool together = false;
  const auto both = f.call(f.http(4), one("p1", "") + one("p2", "Connection: close\r\n"), 2, [&] {
    if (server.requests().size() == before + 2) together = true, server.release();
  });
  BOOST_TEST(together);  // and are under way together
  BOOST_TEST(both.status == 200);
  BOOST_TEST(both.text.find("Attempt-Id: p1") < both.text.find("Attempt-Id: p2"));

  // Where clients go.
  Call where;
  BOOST_TEST(f.until([&] {
    where = f.get(f.dir(2), "/resolve?name=h.example&rgn=r1&az=z1");
    return where.status == 200 && nlohmann::json::parse(where.body)["endpoints"].size() == 2;
  }));

  // A key is taken away; then the zone's servers, then the server drains.
  const std::string
      patch = R"({"gen":"00000009","parent":"00000003","upsert":{"accts":[{"name":"t1","apikeys":["k2"],)"
              R"("per_s":5000,"burst":5000}]}})";
  BOOST_TEST(f.post(f.ctl(2), "/Config.Patch", patch).status == 200);
  BOOST_TEST(f.post(f.ctl(1), "/Config.Patch", patch).status == 200);  // the same once more
  BOOST_TEST(f.until([&] { return f.send_request(4, "/a/x").status == 401; }));
  BOOST_TEST(f.send_request(4, "/a/x", "k2").status == 200);
  BOOST_TEST(f.post(f.ctl(3), "/Evac.Start/z1", "").status == 200);
  BOOST_TEST(f.until([&] { return f.send_request(4, "/a/x", "k2").status == 503; }));
  BOOST_TEST(f.post(f.ctl(3), "/Evac.Start/nowhere", "").status == 404);
  BOOST_TEST(f.post(f.ctl(1), "/Evac.Stop/z1", "").status == 200);
  f.heartbeat("i-1", 0);
  BOOST_TEST(f.until([&] { return f.send_request(4, "/a/x", "k2").status == 200; }));
  BOOST_TEST(f.heartbeat("i-1", 0, "draining").status == 200);
  BOOST_TEST(f.until([&] { return f.send_request(4, "/a/x", "k2").status == 503; }));
  BOOST_TEST(f.post(f.ctl(1), "/Instances.Leave/i-1", "").status == 200);
}

BOOST_AUTO_TEST_CASE(given_callers_when_one_has_closed_behind_its_call_then_the_handler_can_know) {
  asio::io_context io{1};
  std::vector<bool> gone;
  const auto at = *snowknot::endpoint_of(ip(1) + ":" + std::to_string(20000 + ::getpid() % 20000));
  http::Server server(io, at, http::ServerLimits{},
                      [&](const http::Request& call, const http::Server::Respond& respond) {
                        gone.push_back(*call.client_disconnected);
                        respond({200, "{}"});
                      });
  const auto call_and = [&](bool close) {
    Socket caller(io.get_executor());
    caller.connect(at);
    asio::write(caller, asio::buffer(std::string("POST /Evac.Start/z HTTP/1.1\r\nHost: x\r\n\r\n")));
    if (close) caller.close();
    for (const auto before = gone.size(); gone.size() == before;)
      io.run_one_for(std::chrono::milliseconds(20));
  };
  call_and(false);
  call_and(true);
  BOOST_TEST((gone == std::vector<bool>{false, true}));
}

BOOST_AUTO_TEST_CASE(given_an_evacuation_order_when_its_caller_has_gone_then_it_is_sent_to_no_store) {
  Fleet f;
  BOOST_TEST(
      f.until([&] { return f.post(f.ctl(1), "/Config.Replace", high_quota_config(3, 0)).status == 200; }));
  auto& registry = *f.registries[0];
  int status = 0;
  registry.propose(
      ChangeKind::evacuate, zone_order("z1", registry.changes().position()),
      [&](int answered, const std::string&, std::uint64_t) { status = answered; },
      std::make_shared<const bool>(true));
  BOOST_TEST(f.until([&] { return status != 0; }));
  BOOST_TEST(status == 503);
  // What is agreed after it shows that it was not on its way.
  BOOST_TEST(f.post(f.ctl(1), "/Config.Replace", high_quota_config(4, 3)).status == 200);
  BOOST_TEST(f.until([&] { return registry.changes().state().version() == 4; }));
  BOOST_TEST(registry.changes().state().evacuated.empty());
}

BOOST_AUTO_TEST_CASE(
    given_a_proxy_that_is_told_to_end_when_a_request_is_under_way_then_it_is_answered_before_it_leaves) {
  Fleet f;
  BOOST_TEST(
      f.until([&] { return f.post(f.ctl(1), "/Config.Replace", high_quota_config(3, 0)).status == 200; }));
  standin::Server server(f.io, f.server(0),
                         [&](const standin::Seen& seen) { return standin::good(seen, "last"); });
  f.heartbeat("i-1", 0);
  BOOST_TEST(f.until([&] { return f.send_request(5, "/a/x").status == 200; }));
  bool ended = false;
  f.proxies[1]->drain([&] { ended = true; });
  const auto last = f.send_request(5, "/a/x");
  BOOST_TEST(last.status == 200);
  BOOST_TEST(last.text.find("Connection: close") != std::string::npos);
  Call where;
  BOOST_TEST(f.until([&] {
    where = f.get(f.dir(1), "/resolve?name=h.example&rgn=r1&az=z1");
    return where.status == 200 && nlohmann::json::parse(where.body)["endpoints"].size() == 1;
  }));
  BOOST_TEST(f.until([&] { return ended; }));
}

// A proxy that is cut off from the core can't know whether a route or key was added meanwhile.
BOOST_AUTO_TEST_CASE(given_a_proxy_without_a_core_when_it_knows_no_such_route_or_key_then_it_says_503) {
  Fleet f;
  const std::string large = "More: " + std::string(20000, 'm') + "\r\n";
  BOOST_TEST(f.send_request(4, "/a/x", "k1", large).status == 503);  // by no limits yet
  BOOST_TEST(
      f.until([&] { return f.post(f.ctl(1), "/Config.Replace", high_quota_config(3, 0)).status == 200; }));
  BOOST_TEST(f.until([&] { return f.send_request(4, "/b/x").status == 404; }));
  BOOST_TEST(f.until([&] { return f.send_request(4, "/a/x", "nobody").status == 401; }));
  BOOST_TEST(f.until([&] { return f.send_request(4, "/a/x", "k1", large).status == 431; }));
  f.doors.clear(), f.registries.clear();
  for (auto& store : f.stores) store->stop();
  BOOST_TEST(f.until([&] { return f.send_request(4, "/b/x").status == 503; }));
  const auto route = f.send_request(4, "/b/x");
  BOOST_TEST(route.status == 503);
  BOOST_TEST(route.text.find("Retry-After") != std::string::npos);
  BOOST_TEST(f.send_request(4, "/a/x", "nobody").status == 503);
  BOOST_TEST(f.send_request(4, "/a/x", "k1", large).status == 503);
}

// Of so many routes under /a/N/, some 1,000 bytes each.
std::string many_routes(std::uint64_t version, std::uint64_t parent, int routes) {
  auto body = nlohmann::json::parse(high_quota_config(version, parent));
  auto& policy = body["listeners"][0]["policy"];
  const auto route = policy[0];
  for (int i = 1; i < routes; ++i) {
    policy.push_back(route);
    policy.back()["name"] = "r" + std::to_string(i) + std::string(860, 'p');
    policy.back()["match"]["pfx"] = "/b/" + std::to_string(i) + "/";
  }
  return body.dump();
}

BOOST_AUTO_TEST_CASE(
    given_a_configuration_of_many_parts_when_proxies_serve_and_a_core_machine_joins_then_all_have_it) {
  Fleet f;
  BOOST_TEST(
      f.until([&] { return f.post(f.ctl(1), "/Config.Replace", high_quota_config(3, 0)).status == 200; }));
  BOOST_TEST(f.post(f.ctl(2), "/Config.Replace", many_routes(4, 3, 1000)).status == 200);
  const auto last_route = [&](int proxy) { return f.send_request(proxy, "/b/999/x").status; };
  for (const int proxy : {4, 5})
    BOOST_TEST(f.until([&] { return last_route(proxy) == 503; }));  // known, and without a server
  f.join_core(6);
  auto& joined = *f.stores.back();
  BOOST_TEST(f.until([&] { return joined.state().version() == 4; }));
  BOOST_TEST((joined.state().document == f.stores.front()->state().document));
  BOOST_TEST(f.until([&] { return f.registries.back()->changes().state().version() == 4; }));
}

BOOST_AUTO_TEST_CASE(
    given_one_core_machine_of_three_when_all_restart_then_it_hands_nothing_on_before_a_majority_is_back) {
  Fleet f;
  BOOST_TEST(
      f.until([&] { return f.post(f.ctl(1), "/Config.Replace", high_quota_config(3, 0)).status == 200; }));
  BOOST_TEST(f.until([&] { return f.send_request(4, "/b/x").status == 404; }));
  // The promise for the second place is on the disk of its proposer, and so is the first change before it.
  BOOST_TEST(f.post(f.ctl(1), "/Config.Replace", high_quota_config(4, 3)).status == 200);
  f.end_all();

  f.start_core(1);
  f.start_proxy(4);
  auto& registry = *f.registries[0];
  BOOST_TEST(f.until([&] { return registry.changes().position() > 0 && registry.nodes().all().size() > 1; }));
  BOOST_TEST(!registry.confirmed_once());
  BOOST_TEST(f.send_request(4, "/b/x").status == 503);  // the configuration has not come to the proxy
  BOOST_TEST(f.get(f.dir(1), "/resolve?name=h.example&rgn=r1&az=z1").status == 503);
  // What a server says is heard, but its end could not be told to the proxies that are linked elsewhere.
  const auto beat = [&](const char* phase, int calls) {
    return f.post(f.ctl(1), "/Instances.Heartbeat/i-1",
                  R"({"svc":"alpha","addr":")" + f.server(0) + R"(","az":"z1","cap":4,"phase":")" + phase +
                      R"(","calls":)" + std::to_string(calls) + "}");
  };
  BOOST_TEST(beat("ready", 1).status == 200);
  BOOST_TEST(beat("draining", 2).status == 503);
  BOOST_TEST(f.post(f.ctl(1), "/Instances.Leave/i-1", "").status == 503);

  f.start_core(2);
  BOOST_TEST(f.until([&] { return f.send_request(4, "/b/x").status == 404; }));
  BOOST_TEST(f.until([&] { return f.post(f.ctl(1), "/Instances.Leave/i-1", "").status == 200; }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
