// Which requests run with which keys, while accounts are taken away: the configuration, the decisions of a
// proxy, and a fleet on loopback sockets.
#include <boost/test/unit_test.hpp>

#include "decisions_world.hpp"
#include "serving_fleet.hpp"

namespace docklift::test {
namespace {

using nlohmann::json;

BOOST_AUTO_TEST_SUITE(keys)

// An empty list of accounts counted as none, and each route as public.
BOOST_AUTO_TEST_CASE(given_a_list_of_accounts_when_it_is_empty_then_keys_are_required_all_the_same) {
  auto document = json::parse(config_body(1, 0));
  const auto requires_keys = [&] {
    const auto read = configuration::read(document);
    BOOST_REQUIRE(!failed(read));
    return std::get<0>(read)->requires_keys();
  };
  BOOST_TEST(requires_keys());
  document["accts"][0]["apikeys"] = json::array();
  BOOST_TEST(requires_keys());
  document["accts"] = json::array();
  BOOST_TEST(requires_keys());
  document["accts"] = nullptr;  // by an earlier version of this program
  BOOST_TEST(!requires_keys());
  document.erase("accts");
  BOOST_TEST(!requires_keys());
}

// With the last key no bound held any more: a request that waited was sent without an expiry.
BOOST_AUTO_TEST_CASE(
    given_strict_revocation_when_the_last_account_goes_then_nothing_outlives_the_confirmation) {
  ProxyFixture f({.strict = true});
  const Time confirmed = f.now;
  f.report_server("one", "a1");
  for (int i = 0; i < 10; ++i) f.server_of(f.only(f.request()));  // 2.5 times its slots
  BOOST_TEST(f.request().empty());                                // waits for a slot
  f.d.configure(f.now, configured({.strict = true, .has_account = false}));
  f.now += 10ms;
  const auto actions = f.d.on_attempt_ended(f.now, 1, Outcome::ok, 50ms, true);
  BOOST_REQUIRE(actions.size() == 2u);
  const auto sent = std::get<Send>(actions[1]);
  BOOST_TEST((sent.valid_until > confirmed + 4s && sent.valid_until < confirmed + 5s));
  f.now += 4400ms;
  const auto refused = f.only(f.d.on_request(f.now, {++f.id, &f.c->routes[0], nullptr, 1s}));
  BOOST_TEST(std::get<Refuse>(refused).status == 503);
}

BOOST_AUTO_TEST_CASE(given_requests_that_wait_for_units_when_their_account_goes_then_they_are_refused) {
  ProxyFixture f({.per_s = 10, .strict = true});
  f.report_server("one", "a1");
  f.d.set_holder_reachable(f.now, true);
  const auto asked = f.only(f.request());
  BOOST_TEST(std::holds_alternative<RequestUnits>(asked));
  const auto refused = std::get<Refuse>(
      f.only(f.d.configure(f.now, configured({.strict = true, .has_account = false}))));
  BOOST_TEST(refused.status == 429);
  BOOST_TEST((refused.retry_after > Duration{}));
  // With the same quota again nothing is left of what it held.
  BOOST_TEST(f.d.configure(f.now, f.c).empty());
  BOOST_TEST(std::holds_alternative<RequestUnits>(f.only(f.request())));
}

// A configuration of two accounts, changed by the tests; each body builds on the one before.
class Accounts {
 public:
  explicit Accounts(ServingFleet& fleet) : fleet_(fleet) {}
  void replace(const json& accounts) {
    auto body = json::parse(high_quota_config(version_ + 1, version_));
    body.erase("accts");
    if (!accounts.is_null()) body["accts"] = accounts;
    send("/Config.Replace", body);
  }
  void remove(const std::vector<std::string>& names) {
    send("/Config.Patch", {{"gen", configuration::format_version(version_ + 1)},
                           {"parent", configuration::format_version(version_)},
                           {"remove", {{"accts", names}}}});
  }

 private:
  void send(const std::string& path, const json& body) {
    BOOST_REQUIRE(fleet_.post(fleet_.ctl(1), path, body.dump()).status == 200);
    ++version_;
    for (auto& registry : fleet_.registries)
      BOOST_REQUIRE(fleet_.until([&] { return registry->changes().state().version() == version_; }));
  }
  ServingFleet& fleet_;
  std::uint64_t version_ = 3;
};

json account(const std::string& name, const std::vector<std::string>& keys) {
  return {{"name", name}, {"apikeys", keys}, {"per_s", 5000}, {"burst", 5000}};
}

// Requests ran with revoked and with unknown keys once the last account was taken away (review/6).
BOOST_AUTO_TEST_CASE(given_accounts_when_the_last_one_is_taken_away_in_any_way_then_no_key_runs) {
  ServingFleet f;
  Accounts accounts(f);
  const json both = {account("t1", {"k1"}), account("t2", {"k2"})};
  const auto gets = [&](const std::string& key, int status) {
    return f.until([&] { return f.send_request(4, "/a/x", key).status == status; });
  };
  const std::vector<std::pair<const char*, std::function<void()>>> ways = {
      {"an empty list", [&] { accounts.replace(json::array()); }},
      {"a patch of both",
       [&] {
         accounts.remove({"t1", "t2"});
       }},
      {"a patch each", [&] { accounts.remove({"t1"}), accounts.remove({"t2"}); }},
      {"accounts without keys",
       [&] {
         accounts.replace({account("t1", {}), account("t2", {})});
       }},
      {"no list", [&] { accounts.replace(nullptr); }},
  };
  for (const auto& [way, take_away] : ways) {
    accounts.replace(both);
    BOOST_TEST(gets("k1", 200), way);
    BOOST_TEST(gets("k2", 200), way);
    take_away();
    BOOST_TEST(gets("k1", 401), way);
    const auto ran = f.server.requests().size();
    for (const auto* key : {"k1", "k2", "never", ""})
      BOOST_TEST(f.send_request(4, "/a/x", key).status == 401, way << " " << key);
    BOOST_TEST(f.send_request(4, "/a/x", "k1", "Key: k2\r\n").status == 401, way);
    BOOST_TEST(f.server.requests().size() == ran, way);
  }
}

BOOST_AUTO_TEST_CASE(given_two_accounts_when_one_is_taken_away_then_the_other_keeps_its_key) {
  ServingFleet f;
  Accounts accounts(f);
  accounts.replace({account("t1", {"k1"}), account("t2", {"k2"})});
  BOOST_TEST(f.until([&] { return f.send_request(4, "/a/x", "k2").status == 200; }));
  accounts.remove({"t1"});
  BOOST_TEST(f.until([&] { return f.send_request(4, "/a/x", "k1").status == 401; }));
  BOOST_TEST(f.send_request(4, "/a/x", "k2").status == 200);
  BOOST_TEST(f.server.requests().back().field("Tenant") == "t2");
}

// Its client's Tenant is no tenant's name, whether or not the configuration asks for keys.
BOOST_AUTO_TEST_CASE(given_no_list_of_accounts_when_a_request_has_no_key_then_it_runs_without_a_tenant) {
  ServingFleet f;
  Accounts accounts(f);
  const auto without_key = [&] {
    return f
        .exchange(f.http(4),
                  "GET /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: bare\r\nDeadline: 9000\r\n"
                  "Tenant: forged\r\n\r\n")
        .status;
  };
  BOOST_TEST(f.until([&] { return without_key() == 401; }));
  accounts.replace(nullptr);
  BOOST_TEST(f.until([&] { return without_key() == 200; }));
  BOOST_TEST(f.server.requests().back().field("Tenant") == "");
}

// A connection that is kept open, and a proxy that starts after it.
BOOST_AUTO_TEST_CASE(
    given_an_open_connection_and_a_new_proxy_when_the_last_account_is_gone_then_both_refuse) {
  ServingFleet f;
  Accounts accounts(f);
  Client client(f, 4, request_to("/a/x", "before"));
  client.start_reading();
  BOOST_TEST(f.until([&] { return client.received_answer_to("before"); }));
  accounts.replace(json::array());
  BOOST_TEST(f.until([&] { return f.send_request(4, "/a/x").status == 401; }));
  const auto ran = f.server.requests().size();
  client.send(request_to("/a/x", "after"));
  BOOST_TEST(f.until([&] { return client.received().find(" 401 ") != std::string::npos; }));
  BOOST_TEST(!client.closed());
  f.proxies.pop_back();
  f.start_proxy(5);
  BOOST_TEST(f.until([&] { return f.send_request(5, "/a/x").status == 401; }));
  BOOST_TEST(f.server.requests().size() == ran);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
