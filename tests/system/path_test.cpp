// End-to-end tests on loopback sockets in one event loop: three stores, three registries, two proxies and a
// stand-in server. Tests wait for events with a time limit and never sleep.
#include <boost/test/unit_test.hpp>

#include "path_fleet.hpp"

namespace docklift::test {
namespace {

BOOST_AUTO_TEST_SUITE(path)

BOOST_AUTO_TEST_CASE(
    given_a_fleet_when_it_is_configured_and_a_server_sends_heartbeats_then_requests_are_served) {
  Fleet f;
  BOOST_TEST(f.send_request(4, "/a/x").status == 503);  // no configuration yet
  BOOST_TEST(
      f.until([&] { return f.post(f.ctl(1), "/Config.Replace", high_quota_config(3, 0)).status == 200; }));
  const auto read = f.get(f.ctl(2), "/Config.Read");
  BOOST_TEST(read.status == 200);
  BOOST_TEST((nlohmann::json::parse(read.body) == nlohmann::json::parse(high_quota_config(3, 0))));
  BOOST_TEST(f.post(f.ctl(3), "/Config.Replace", high_quota_config(4, 1)).status == 412);
  BOOST_TEST(f.post(f.ctl(3), "/Config.Replace", "{").status == 400);

  bool sent_other = false;
  std::uint64_t split_connection = 0;
  standin::Server server(
      f.io, f.server(0), [&](const standin::ReceivedRequest& request) -> standin::ScriptedResponse {
        if (request.target() ==
            "/a/split") {  // followed by the start of another response; /a/next sends the rest
          split_connection = request.connection;
          auto response = standin::ok_response(request, "whole");
          response.bytes += "HTTP/1.1 200 OK\r\nContent-Le";
          return response;
        }
        if (request.target() == "/a/next" && request.connection == split_connection) {
          auto response = standin::ok_response(request, "next");
          response.bytes.insert(0, "ngth: 4\r\n\r\njunk");
          return response;
        }
        if (request.target() == "/a/extra") {
          auto response = standin::ok_response(request, "whole");
          response.bytes += "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\njunk";
          return response;
        }
        if (request.target() == "/a/other" && !sent_other) {
          sent_other = true;
          return {"HTTP/1.1 200 OK\r\nAttempt-Id: another\r\nSeal: s\r\nContent-Length: 5\r\n\r\nwrong" +
                      standin::ok_response(request, "right").bytes,
                  false, false};
        }
        if (request.target() == "/a/encoded")
          return {"HTTP/1.1 200 OK\r\nAttempt-Id: " + request.field("Attempt-Id") +
                      "\r\nSeal: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nzz",
                  false, false};
        if (request.target() == "/a/short")
          return {"HTTP/1.1 200 OK\r\nAttempt-Id: " + request.field("Attempt-Id") +
                      "\r\nSeal: s\r\nContent-Length: 20\r\n\r\ncut",
                  true, false};
        auto response = standin::ok_response(request, "hello");
        response.hold = request.target() == "/a/hold";
        return response;
      });
  BOOST_TEST(f.heartbeat("i-1", 0).status == 200);
  ClientResponse served;
  BOOST_TEST(f.until([&] { return (served = f.send_request(4, "/a/x")).status == 200; }));
  BOOST_TEST(served.body == "hello");
  BOOST_TEST(served.text.find("Seal: s1") != std::string::npos);
  const auto& forwarded = server.requests().back();
  BOOST_TEST(forwarded.field("Want-Instance") == "i-1");
  BOOST_TEST(forwarded.field("Tenant") == "t1");  // not the client's own value
  BOOST_TEST(forwarded.field("Key") == "");
  BOOST_TEST(http::parse_decimal(forwarded.field("Deadline")).value_or(0) > 0);
  BOOST_TEST(f.send_request(5, "/a/x").status == 200);

  // Requests that the configuration rejects.
  BOOST_TEST(f.until([&] { return f.send_request(4, "/a/x", "nobody").status == 401; }));
  BOOST_TEST(f.until([&] { return f.send_request(4, "/b/x").status == 404; }));
  BOOST_TEST(
      f.exchange(f.http(4),
                 "GET /a/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n")
          .status == 400);

  // Responses that don't belong to the request or are incomplete.
  BOOST_TEST(f.send_request(4, "/a/extra").body == "whole");
  BOOST_TEST(f.send_request(4, "/a/x").body == "hello");
  BOOST_TEST(f.send_request(4, "/a/split").body == "whole");
  const auto requests = server.requests().size();
  BOOST_TEST(f.send_request(4, "/a/next").status == 200);
  BOOST_TEST(server.requests().size() == requests + 1);  // on another connection, at the first attempt
  BOOST_TEST(f.send_request(4, "/a/other").body == "right");
  BOOST_TEST(f.send_request(4, "/a/encoded").status == 502);
  BOOST_TEST(f.send_request(4, "/a/short").status == 502);

  // Pipelined requests are answered in order.
  const auto held_request = [&](const char* id, const char* extra) {
    return std::string("GET /a/hold HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: ") + id +
           "\r\nDeadline: 9000\r\nKey: k1\r\n" + extra + "\r\n";
  };
  const auto before = server.requests().size();
  bool concurrent = false;
  const auto last = f.exchange(f.http(4),
                               held_request("p1", "") + held_request("p2", "Connection: close\r\n"), 2, [&] {
                                 if (server.requests().size() == before + 2)
                                   concurrent = true, server.release();
                               });
  BOOST_TEST(concurrent);  // both are open at the same time
  BOOST_TEST(last.status == 200);
  BOOST_TEST(last.text.find("Attempt-Id: p1") < last.text.find("Attempt-Id: p2"));

  // The endpoints that clients are given.
  ClientResponse where;
  BOOST_TEST(f.until([&] {
    where = f.get(f.dir(2), "/resolve?name=h.example&rgn=r1&az=z1");
    return where.status == 200 && nlohmann::json::parse(where.body)["endpoints"].size() == 2;
  }));

  // A key is revoked, then the zone is evacuated, then the server drains.
  const std::string
      patch = R"({"gen":"00000009","parent":"00000003","upsert":{"accts":[{"name":"t1","apikeys":["k2"],)"
              R"("per_s":5000,"burst":5000}]}})";
  BOOST_TEST(f.post(f.ctl(2), "/Config.Patch", patch).status == 200);
  BOOST_TEST(f.post(f.ctl(1), "/Config.Patch", patch).status == 200);  // repeating the same change succeeds
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

BOOST_AUTO_TEST_CASE(
    given_clients_when_one_closes_right_after_its_request_then_the_handler_sees_the_disconnect) {
  asio::io_context io{1};
  std::vector<bool> disconnected;
  const auto endpoint = *snowknot::endpoint_of(ip(1) + ":" + std::to_string(20000 + ::getpid() % 20000));
  http::Server server(io, endpoint, http::ServerLimits{},
                      [&](const http::Request& request, const http::Server::Respond& respond) {
                        disconnected.push_back(*request.client_disconnected);
                        respond({200, "{}"});
                      });
  const auto send_request = [&](bool close) {
    Socket client(io.get_executor());
    client.connect(endpoint);
    asio::write(client, asio::buffer(std::string("POST /Evac.Start/z HTTP/1.1\r\nHost: x\r\n\r\n")));
    if (close) client.close();
    for (const auto before = disconnected.size(); disconnected.size() == before;)
      io.run_one_for(std::chrono::milliseconds(20));
  };
  send_request(false);
  send_request(true);
  BOOST_TEST((disconnected == std::vector<bool>{false, true}));
}

BOOST_AUTO_TEST_CASE(
    given_an_evacuation_command_when_its_client_has_disconnected_then_it_is_sent_to_no_store) {
  Fleet f;
  BOOST_TEST(
      f.until([&] { return f.post(f.ctl(1), "/Config.Replace", high_quota_config(3, 0)).status == 200; }));
  auto& registry = *f.registries[0];
  int status = 0;
  registry.propose(
      ChangeKind::evacuate, zone_command("z1", registry.changes().position()),
      [&](int answered, const std::string&, std::uint64_t) { status = answered; },
      std::make_shared<const bool>(true));
  BOOST_TEST(f.until([&] { return status != 0; }));
  BOOST_TEST(status == 503);
  // A later committed change shows that the command was not in flight.
  BOOST_TEST(f.post(f.ctl(1), "/Config.Replace", high_quota_config(4, 3)).status == 200);
  BOOST_TEST(f.until([&] { return registry.changes().state().version() == 4; }));
  BOOST_TEST(registry.changes().state().evacuated.empty());
}

BOOST_AUTO_TEST_CASE(
    given_a_proxy_that_is_stopped_when_a_request_is_open_then_it_is_answered_before_the_proxy_exits) {
  Fleet f;
  BOOST_TEST(
      f.until([&] { return f.post(f.ctl(1), "/Config.Replace", high_quota_config(3, 0)).status == 200; }));
  standin::Server server(f.io, f.server(0), [&](const standin::ReceivedRequest& request) {
    return standin::ok_response(request, "last");
  });
  f.heartbeat("i-1", 0);
  BOOST_TEST(f.until([&] { return f.send_request(5, "/a/x").status == 200; }));
  bool ended = false;
  f.proxies[1]->drain([&] { ended = true; });
  const auto last = f.send_request(5, "/a/x");
  BOOST_TEST(last.status == 200);
  BOOST_TEST(last.text.find("Connection: close") != std::string::npos);
  ClientResponse where;
  BOOST_TEST(f.until([&] {
    where = f.get(f.dir(1), "/resolve?name=h.example&rgn=r1&az=z1");
    return where.status == 200 && nlohmann::json::parse(where.body)["endpoints"].size() == 1;
  }));
  BOOST_TEST(f.until([&] { return ended; }));
}

// A proxy that is partitioned from the core can't know whether a route or key was added in the meantime.
BOOST_AUTO_TEST_CASE(given_a_proxy_without_a_core_when_a_route_or_key_is_unknown_then_it_responds_503) {
  Fleet f;
  const std::string large_field = "More: " + std::string(20000, 'm') + "\r\n";
  BOOST_TEST(f.send_request(4, "/a/x", "k1", large_field).status == 503);  // no limits are known yet
  BOOST_TEST(
      f.until([&] { return f.post(f.ctl(1), "/Config.Replace", high_quota_config(3, 0)).status == 200; }));
  BOOST_TEST(f.until([&] { return f.send_request(4, "/b/x").status == 404; }));
  BOOST_TEST(f.until([&] { return f.send_request(4, "/a/x", "nobody").status == 401; }));
  BOOST_TEST(f.until([&] { return f.send_request(4, "/a/x", "k1", large_field).status == 431; }));
  f.http_servers.clear(), f.registries.clear();
  for (auto& store : f.stores) store->stop();
  BOOST_TEST(f.until([&] { return f.send_request(4, "/b/x").status == 503; }));
  const auto route = f.send_request(4, "/b/x");
  BOOST_TEST(route.status == 503);
  BOOST_TEST(route.text.find("Retry-After") != std::string::npos);
  BOOST_TEST(f.send_request(4, "/a/x", "nobody").status == 503);
  BOOST_TEST(f.send_request(4, "/a/x", "k1", large_field).status == 503);
}

// A configuration with this many routes under /b/N/, about 1,000 bytes each.
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
    given_a_configuration_of_many_chunks_when_proxies_serve_and_a_core_machine_joins_then_all_have_it) {
  Fleet f;
  BOOST_TEST(
      f.until([&] { return f.post(f.ctl(1), "/Config.Replace", high_quota_config(3, 0)).status == 200; }));
  BOOST_TEST(f.post(f.ctl(2), "/Config.Replace", many_routes(4, 3, 1000)).status == 200);
  const auto last_route = [&](int proxy) { return f.send_request(proxy, "/b/999/x").status; };
  for (const int proxy : {4, 5})
    BOOST_TEST(f.until([&] { return last_route(proxy) == 503; }));  // the route is known but has no server
  f.join_core(6);
  auto& joined = *f.stores.back();
  BOOST_TEST(f.until([&] { return joined.state().version() == 4; }));
  BOOST_TEST((joined.state().document == f.stores.front()->state().document));
  BOOST_TEST(f.until([&] { return f.registries.back()->changes().state().version() == 4; }));
}

BOOST_AUTO_TEST_CASE(
    given_one_core_machine_of_three_when_all_restart_then_it_serves_nothing_before_a_majority_is_back) {
  Fleet f;
  BOOST_TEST(
      f.until([&] { return f.post(f.ctl(1), "/Config.Replace", high_quota_config(3, 0)).status == 200; }));
  BOOST_TEST(f.until([&] { return f.send_request(4, "/b/x").status == 404; }));
  // The promise for the second log index is on its proposer's disk, and so is the change at the first index.
  BOOST_TEST(f.post(f.ctl(1), "/Config.Replace", high_quota_config(4, 3)).status == 200);
  f.stop_all();

  f.start_core(1);
  f.start_proxy(4);
  auto& registry = *f.registries[0];
  BOOST_TEST(f.until([&] { return registry.changes().position() > 0 && registry.nodes().all().size() > 1; }));
  BOOST_TEST(!registry.confirmed_once());
  BOOST_TEST(f.send_request(4, "/b/x").status == 503);  // the proxy has not received the configuration
  BOOST_TEST(f.get(f.dir(1), "/resolve?name=h.example&rgn=r1&az=z1").status == 503);
  // Heartbeats are accepted, but a drain or leave is not, as proxies linked to other registries could not be
  // notified of it.
  const auto heartbeat = [&](const char* phase, int calls) {
    return f.post(f.ctl(1), "/Instances.Heartbeat/i-1",
                  R"({"svc":"alpha","addr":")" + f.server(0) + R"(","az":"z1","cap":4,"phase":")" + phase +
                      R"(","calls":)" + std::to_string(calls) + "}");
  };
  BOOST_TEST(heartbeat("ready", 1).status == 200);
  BOOST_TEST(heartbeat("draining", 2).status == 503);
  BOOST_TEST(f.post(f.ctl(1), "/Instances.Leave/i-1", "").status == 503);

  f.start_core(2);
  BOOST_TEST(f.until([&] { return f.send_request(4, "/b/x").status == 404; }));
  BOOST_TEST(f.until([&] { return f.post(f.ctl(1), "/Instances.Leave/i-1", "").status == 200; }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
