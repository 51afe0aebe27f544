// Unit tests of settings, HTTP heads, the configuration, records, the log of changes and the disk.
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>

#include "core_fleet.hpp"
#include "system/base/settings.hpp"
#include "system/disk/disk.hpp"
#include "system/fleet/change_log.hpp"
#include "system/http/head.hpp"

namespace docklift::test {
namespace {

using configuration::State;

BOOST_AUTO_TEST_SUITE(parts)

const char* const kSettings =
    "hostname=edge-1\nrole=proxy\nbind_ip=10.1.0.23\naz=z1\nrgn=r1\nazs.z1=r1\nazs.z2=r2\nlisten.http=10.1.0."
    "23:80\n"
    "port_range=7460,7475\nseeds=10.1.0.25:83,10.4.0.41:83\nbootstrap=true\nlimits.cpu=0.2\nbounds.drain_ms="
    "2500\n"
    "bounds.strict_revoke=true\nnot.known=7\ninvariants=base,drain\n";

BOOST_AUTO_TEST_CASE(given_a_settings_file_when_it_is_read_then_all_known_settings_are_applied) {
  auto read = parse_settings(kSettings, "x");
  BOOST_REQUIRE(!failed(read));
  const auto& s = value(read);
  BOOST_TEST(s.hostname == "edge-1");
  BOOST_TEST(s.region_of("z2") == "r2");
  BOOST_TEST(s.seed_ips().size() == 2u);
  BOOST_TEST(s.bootstrap);
  BOOST_TEST(s.bounds.drain_ms == 2500);
  BOOST_TEST(s.bounds.strict_revoke);
  BOOST_TEST(s.invariants.contains("drain"));
}

BOOST_AUTO_TEST_CASE(
    given_a_settings_file_with_errors_when_it_is_read_then_each_error_is_reported_on_a_line) {
  auto read = parse_settings("az=z\nport_range=9,9\nseeds=\nbootstrap=maybe\nbounds.drain_ms=-4\n", "x");
  BOOST_REQUIRE(failed(read));
  const auto& what = failure(read).what;
  BOOST_TEST(std::count(what.begin(), what.end(), '\n') == 4);
  for (const auto* key : {"hostname", "bind_ip", "bootstrap", "bounds.drain_ms", "port_range"})
    BOOST_TEST(what.find(key) != std::string::npos, key);
}

BOOST_AUTO_TEST_CASE(given_heads_that_allow_request_smuggling_when_they_are_parsed_then_they_are_rejected) {
  http::Head h;
  for (const auto* text :
       {"GET /a HTTP/1.1\r\nHost : x\r\n\r\n", "GET /a HTTP/1.1\r\nA: b\r\n c\r\n\r\n",
        "GET  /a HTTP/1.1\r\n\r\n", "GET /a HTTP/1.1\nHost: x\r\n\r\n", "GET a HTTP/1.1\r\n\r\n",
        "GET /a HTTP/2.0\r\n\r\n", "G\x01T /a HTTP/1.1\r\n\r\n", "GET /a HTTP/1.1\r\nA: b\rc\r\n\r\n"})
    BOOST_TEST((http::parse_request_head(text, 1000, h).status == http::ParseStatus::malformed), text);
  BOOST_TEST((http::parse_request_head("GET /a HTTP/1.1\r\nHost: x\r\n", 1000, h).status ==
              http::ParseStatus::incomplete));
  BOOST_TEST(
      (http::parse_request_head(std::string(2000, 'a'), 1000, h).status == http::ParseStatus::too_long));
  const std::string two = "GET /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n";
  BOOST_REQUIRE((http::parse_request_head(two, 1000, h).status == http::ParseStatus::complete));
  BOOST_TEST(!http::request_body_kind(h).has_value());
  const std::string both = "POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n";
  BOOST_REQUIRE((http::parse_request_head(both, 1000, h).status == http::ParseStatus::complete));
  BOOST_TEST(!http::request_body_kind(h).has_value());
  BOOST_TEST((http::parse_response_head("noise", 1000, h).status == http::ParseStatus::malformed));
  BOOST_TEST((http::parse_response_head("HTT", 1000, h).status == http::ParseStatus::incomplete));
}

BOOST_AUTO_TEST_CASE(given_a_query_when_a_value_is_looked_up_then_it_is_decoded) {
  BOOST_TEST(http::query_value("/resolve?name=a%2Eb&rgn=hu-east&az=", "name") == "a.b");
  BOOST_TEST(http::query_value("/resolve?name=a&rgn=hu-east", "rgn") == "hu-east");
  BOOST_TEST(http::query_value("/resolve?xname=a", "name") == "");
}

// ---- the configuration

BOOST_AUTO_TEST_CASE(given_invalid_bodies_when_they_are_validated_then_they_get_400) {
  State s;
  nlohmann::json after;
  BOOST_TEST(configuration::validate_replace(s, config_body(1, 0), &after).status == 200);
  const auto with = [](const char* from, const char* to) {
    auto body = config_body(1, 0);
    const auto at = body.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return body.replace(at, std::string(from).size(), to);
  };
  for (const auto& body :
       {with("}]}", "}"), with(R"("svc":"alpha")", R"("svc":"beta")"), with(R"("tries":2)", R"("tries":0)"),
        with(R"("svc":"alpha")", R"("split":[{"svc":"alpha","wt":0}])"),
        with(R"("svc":"alpha")", R"("split":[{"svc":"alpha","wt":-1},{"svc":"alpha","wt":2}])"),
        with(R"("accts":[)", R"("accts":[{"name":"t0","apikeys":["k1"]},)"),
        with(R"("gen":"00000001")", R"("gen":"00000000")"), with(R"("pfx":"/a/")", R"("pfx":"/a")"),
        with(R"("tmo_ms":1000,)", ""), with(R"("tmo_ms":1000)", R"("tmo_ms":0)"),
        with(R"("tries":2)", R"("tries":0.5)"), with(R"("tries":2)", R"("tries":1e300)"),
        with(R"("policy":[)", R"("policy":[{"name":"r0","kind":"mutating","match":{"pfx":"/a/"},)"
                              R"("action":{"svc":"alpha","tmo_ms":9,"tries":1}},)")})
    BOOST_TEST(configuration::validate_replace(s, body, nullptr).status == 400, body);
  BOOST_TEST(configuration::validate_replace(s, config_body(4, 2), nullptr).status == 412);
}

BOOST_AUTO_TEST_CASE(given_a_patch_when_it_is_applied_then_items_change_by_name_and_the_rest_stays) {
  State s;
  BOOST_REQUIRE(configuration::apply(s, configuration::ChangeKind::replace, config_body(1, 0)));
  const std::string patch =
      R"({"gen":"00000003","parent":"00000001","upsert":{"listeners":[{"vhost":"other.example",)"
      R"("policy":[{"name":"r1","kind":"mutating","match":{"pfx":"/b/"},"action":{"svc":"beta",)"
      R"("tries":1,"tmo_ms":9}},{"name":"r2","kind":"idempotent","match":{"pfx":"/a/c/"},)"
      R"("action":{"svc":"alpha","tmo_ms":9,"tries":1}}]}],"clusters":[{"name":"beta","max_conns":5}],)"
      R"("accts":[{"name":"t2","apikeys":["k2"]}]},"remove":{"routing":["gone"]}})";
  BOOST_REQUIRE(configuration::apply(s, configuration::ChangeKind::patch, patch));
  BOOST_TEST(s.version() == 3u);
  BOOST_TEST(s.document["listeners"].size() == 1u);  // r1 moved to another host; its old host is removed
  BOOST_TEST(s.document["clusters"].size() == 2u);
  BOOST_TEST(s.document["clusters"][0]["warmup_s"].is_number_float());  // as it was sent
  auto read = configuration::read(s.document);
  BOOST_REQUIRE(!failed(read));
  const auto& c = *value(read);
  BOOST_TEST((c.find_route("other.example:80", "/b/x?y=1")->kind == configuration::RouteKind::mutating));
  BOOST_TEST(c.find_route("h.example", "/a/x") == nullptr);
  BOOST_TEST(c.find_tenant("k2")->name == "t2");
  const std::string removal =
      R"({"gen":"00000004","parent":"00000003","remove":{"routing":["r1"],"accts":["t2"],"svcs":["beta"]}})";
  BOOST_REQUIRE(configuration::apply(s, configuration::ChangeKind::patch, removal));
  BOOST_TEST(s.document["clusters"].size() == 1u);
  BOOST_TEST(s.document["accts"].size() == 1u);
  // Repeating the patch changes nothing; a patch that leaves a route without its service is rejected.
  BOOST_TEST(!configuration::apply(s, configuration::ChangeKind::patch, removal));
  BOOST_TEST(configuration::validate_patch(
                 s, R"({"gen":"00000009","parent":"00000004","remove":{"svcs":["alpha"]}})", nullptr)
                 .status == 400);
}

BOOST_AUTO_TEST_CASE(given_routes_that_overlap_when_a_path_is_looked_up_then_the_longest_prefix_wins) {
  auto d = nlohmann::json::parse(config_body(1, 0));
  auto rule = d["listeners"][0]["policy"][0];
  rule["name"] = "deep", rule["match"]["pfx"] = "/a/b/";
  d["listeners"][0]["policy"].push_back(rule);
  auto read = configuration::read(d);
  BOOST_REQUIRE(!failed(read));
  BOOST_TEST(value(read)->find_route("h.example", "/a/b/c")->name == "deep");
  BOOST_TEST(value(read)->find_route("h.example", "/a/bc")->name == "r1");
  BOOST_TEST(value(read)->find_route("h.example", "/b/") == nullptr);
  BOOST_TEST(value(read)->find_route("x.example", "/a/") == nullptr);
}

// Host names are case-insensitive.
BOOST_AUTO_TEST_CASE(given_a_host_in_different_case_when_a_route_is_looked_up_then_it_is_found) {
  auto document = nlohmann::json::parse(config_body(5, 0));
  document["listeners"][0]["vhost"] = "Gates.Example";
  const auto read = configuration::read(document);
  BOOST_REQUIRE(!failed(read));
  const auto prefix = document["listeners"][0]["policy"][0]["match"]["pfx"].get<std::string>();
  for (const auto* host : {"Gates.Example", "gates.example", "GATES.EXAMPLE:8080"})
    BOOST_TEST((std::get<0>(read)->find_route(host, prefix + "x") != nullptr), host);
  BOOST_TEST((std::get<0>(read)->find_route("gate.example", prefix + "x") == nullptr));
  auto same_host_and_prefix = document;
  same_host_and_prefix["listeners"].push_back(document["listeners"][0]);
  same_host_and_prefix["listeners"][1]["vhost"] = "gates.example";
  same_host_and_prefix["listeners"][1]["policy"][0]["name"] = "another";
  BOOST_TEST(failed(configuration::read(same_host_and_prefix)));
}

BOOST_AUTO_TEST_CASE(given_many_changes_when_an_early_body_is_sent_again_then_only_that_body_is_recognized) {
  State s;
  constexpr std::uint64_t kVersions = 300;  // changes of a day
  for (std::uint64_t version = 1; version <= kVersions; ++version)
    BOOST_REQUIRE(
        configuration::apply(s, configuration::ChangeKind::replace, config_body(version, version - 1)));
  const auto repeated = configuration::validate_replace(s, config_body(3, 2), nullptr);
  BOOST_TEST(repeated.status == 200);
  BOOST_TEST(repeated.already_accepted);
  // A concurrent body that lost has the same version; the same bytes sent as a patch are a different change.
  BOOST_TEST(configuration::validate_replace(s, config_body(3, 2, "beta"), nullptr).status == 412);
  BOOST_TEST(configuration::validate_patch(s, config_body(3, 2), nullptr).status == 412);
  // Invalid whichever version is current.
  BOOST_TEST(configuration::validate_replace(s, config_body(kVersions, kVersions), nullptr).status == 400);
}

BOOST_AUTO_TEST_CASE(given_a_version_history_when_it_is_full_or_decoded_then_it_holds_the_newest_versions) {
  configuration::VersionHistory history;
  const auto most = configuration::VersionHistory::kMaxVersions;
  for (std::uint64_t version = 1; version <= most + 1; ++version)
    history.record(2 * version, {version, ~version});
  BOOST_TEST(history.size() == most);
  BOOST_TEST(!history.contains(2, {1, ~std::uint64_t{1}}));
  BOOST_TEST(history.contains(4, {2, ~std::uint64_t{2}}));
  BOOST_TEST(!history.contains(4, {2, 2}));
  BOOST_TEST(!history.contains(5, {2, ~std::uint64_t{2}}));
  const auto bytes = history.encode();
  BOOST_TEST((configuration::VersionHistory::decode(bytes) == history));
  BOOST_TEST(!configuration::VersionHistory::decode(std::string_view(bytes).substr(1)).has_value());
}

BOOST_AUTO_TEST_CASE(
    given_an_outdated_evacuation_command_when_it_is_validated_then_it_succeeds_only_if_already_in_effect) {
  State s;
  using configuration::ChangeKind;
  BOOST_TEST(configuration::apply(s, ChangeKind::evacuate, zone_command("z", 0)));
  BOOST_TEST(
      configuration::validate_evacuation(s, ChangeKind::evacuate, zone_command("z", 0)).already_in_effect);
  BOOST_TEST(configuration::validate_evacuation(s, ChangeKind::readmit, zone_command("z", 0)).status == 503);
  BOOST_TEST(!configuration::apply(s, ChangeKind::readmit, zone_command("z", 0)));
  BOOST_TEST(configuration::apply(s, ChangeKind::evacuate, zone_command("y", 0)));  // zones are independent
  BOOST_TEST(configuration::apply(s, ChangeKind::readmit, zone_command("z", 2)));
  BOOST_TEST(s.zone_changes.at("z") == 4u);
  for (const auto* text : {"", "z", "1 ", "x z", "-1 z"})
    BOOST_TEST(configuration::validate_evacuation(s, ChangeKind::evacuate, text).status == 400, text);
}

// A command abandoned by its caller may still be in a store's queue when a newer command is acknowledged.
BOOST_AUTO_TEST_CASE(
    given_a_command_already_in_effect_when_it_is_applied_then_older_opposite_commands_have_no_effect) {
  State s;
  using configuration::ChangeKind;
  configuration::apply(s, ChangeKind::evacuate, zone_command("z", 0));
  const auto abandoned = zone_command("z", 1);  // readmits; delayed
  BOOST_TEST(
      configuration::apply(s, ChangeKind::evacuate, zone_command("z", 1)));  // acknowledged: z is evacuated
  BOOST_TEST(configuration::validate_evacuation(s, ChangeKind::readmit, abandoned).status == 503);
  BOOST_TEST(!configuration::apply(s, ChangeKind::readmit, abandoned));
  BOOST_TEST(s.evacuated == std::vector<std::string>{"z"}, boost::test_tools::per_element());
  BOOST_TEST(configuration::apply(s, ChangeKind::readmit, zone_command("z", 3)));  // newer: takes effect
  BOOST_TEST(s.evacuated.empty());
  const auto abandoned_evacuation = zone_command("z", 4);  // evacuates
  BOOST_TEST(configuration::apply(s, ChangeKind::readmit, zone_command("z", 4)));
  BOOST_TEST(!configuration::apply(s, ChangeKind::evacuate, abandoned_evacuation));
}

// ---- records

fleet::Server server(const std::string& id, std::uint64_t calls, fleet::Phase phase = fleet::Phase::READY) {
  fleet::Server s;
  s.id = id, s.service = "s", s.address = "10.0.0.1:1", s.zone = "z", s.heartbeat_sequence = calls,
  s.phase = phase, s.received_at = Time{1h} + 1s * static_cast<int>(calls);
  return s;
}

BOOST_AUTO_TEST_CASE(given_records_in_any_order_when_they_are_merged_then_all_registries_agree) {
  std::mt19937_64 random(3);
  std::vector<fleet::Server> records;
  for (int i = 0; i < 8; ++i)
    for (std::uint64_t c = 1; c < 6; ++c) {
      auto s = server("i" + std::to_string(i), c,
                      c >= 4 && i % 2 == 0 ? fleet::Phase::DRAINING : fleet::Phase::READY);
      if (c == 5 && i % 4 == 0) s.phase = fleet::Phase::GONE;
      records.push_back(s);
    }
  std::vector<std::uint64_t> first;
  for (int round = 0; round < 30; ++round) {
    std::shuffle(records.begin(), records.end(), random);
    fleet::Servers table;
    for (const auto& s : records) table.merge(s);
    const auto digests = table.digests(16);
    if (first.empty()) first = digests;
    BOOST_TEST(digests == first);
    BOOST_TEST((table.find("i0")->phase == fleet::Phase::GONE));
    BOOST_TEST((table.find("i2")->phase == fleet::Phase::DRAINING));
  }
}

BOOST_AUTO_TEST_CASE(given_a_cached_record_when_one_as_recent_is_received_then_it_replaces_the_cached_one) {
  fleet::Servers table;
  auto cached = server("a", 5);
  cached.from_cache = true, cached.received_at = Time{1h};
  table.merge(cached);
  BOOST_TEST((table.digests(4) == fleet::Servers{}.digests(4)));  // cached records are not gossiped
  auto received = server("a", 5);
  received.received_at = Time{1h} - 2s;  // at another registry, before this one started
  BOOST_TEST(
      (table.merge(received) == fleet::MergeResult::refreshed));  // unchanged from what proxies were sent
  BOOST_TEST(!table.find("a")->from_cache);
  BOOST_TEST((table.find("a")->received_at == Time{1h} - 2s));
  BOOST_TEST((table.merge(cached) == fleet::MergeResult::unchanged));
  BOOST_TEST((table.digests(4) != fleet::Servers{}.digests(4)));

  // A change of the cached address, phase or warm-up time is reported at once.
  const auto merged_with_cache = [&cached](fleet::Server next) {
    fleet::Servers with_cache;
    with_cache.merge(cached);
    next.received_at = Time{1h} + 1s;
    return with_cache.merge(next);
  };
  auto moved = server("a", 6);
  moved.address = "10.0.0.99:1";
  BOOST_TEST((merged_with_cache(moved) == fleet::MergeResult::changed));
  auto cold = server("a", 6);
  cold.cold_until = Time{2h};
  BOOST_TEST((merged_with_cache(cold) == fleet::MergeResult::changed));
  BOOST_TEST((merged_with_cache(server("a", 6, fleet::Phase::DRAINING)) == fleet::MergeResult::changed));
  BOOST_TEST((merged_with_cache(server("a", 6)) == fleet::MergeResult::refreshed));

  fleet::Servers newer;
  auto draining = server("a", 9, fleet::Phase::DRAINING);
  draining.from_cache = true;
  newer.merge(draining);
  newer.merge(server("a", 8));  // older than the cached one
  BOOST_TEST((newer.find("a")->phase == fleet::Phase::DRAINING));
}

// Guards against a receipt for a drain that the merge has passed over, and against a drain that is taken back.
BOOST_AUTO_TEST_CASE(given_records_in_any_order_when_one_says_draining_then_the_merged_one_does) {
  fleet::Servers late;
  late.merge(server("a", 7));
  BOOST_TEST((late.merge(server("a", 6, fleet::Phase::DRAINING)) == fleet::MergeResult::changed));
  BOOST_TEST((late.find("a")->phase == fleet::Phase::DRAINING));
  BOOST_TEST(late.find("a")->heartbeat_sequence == 7u);
  fleet::Servers reverted;
  reverted.merge(server("a", 6, fleet::Phase::DRAINING));
  reverted.merge(server("a", 7));
  BOOST_TEST((reverted.find("a")->phase == fleet::Phase::DRAINING));
  BOOST_TEST(reverted.find("a")->heartbeat_sequence == 7u);
}

BOOST_AUTO_TEST_CASE(given_a_draining_server_when_it_is_silent_then_it_has_left_for_good) {
  fleet::Servers table;
  table.merge(server("a", 5, fleet::Phase::DRAINING));
  const auto expired = table.expire(Time{1h} + 60s, 6s, 60s);
  BOOST_REQUIRE(expired.size() == 1);
  BOOST_TEST(expired[0].left);
  BOOST_TEST((table.merge(server("a", 4)) == fleet::MergeResult::unchanged));  // a late heartbeat
  BOOST_TEST((table.find("a")->phase == fleet::Phase::GONE));
  BOOST_TEST(table.find("a")->left);
}

BOOST_AUTO_TEST_CASE(
    given_an_unresponsive_server_when_the_registry_is_not_isolated_then_it_expires_until_its_next_heartbeat) {
  fleet::Servers table;
  table.merge(server("a", 1));
  BOOST_TEST(
      table.expire(Time{1h} + 60s, Duration{}, 60s).empty());  // an isolated registry expires no server
  BOOST_TEST(table.expire(Time{1h} + 60s, 6s, 60s).size() == 1u);
  BOOST_TEST((table.merge(server("a", 2)) == fleet::MergeResult::changed));
  table.merge(server("a", 0, fleet::Phase::GONE));
  BOOST_TEST((table.merge(server("a", 9)) == fleet::MergeResult::unchanged));  // a departure is final
}

BOOST_AUTO_TEST_CASE(
    given_a_restarted_member_when_a_late_update_of_its_earlier_incarnation_arrives_then_it_is_ignored) {
  fleet::Nodes nodes;
  fleet::Node n;
  n.id = "p", n.incarnation = 5, n.stamp = 1, n.received_at = Time{1h};
  nodes.merge(n);
  auto next = n;
  next.incarnation = 6;
  BOOST_TEST((nodes.merge(next) == fleet::MergeResult::changed));
  n.stamp = 100;
  BOOST_TEST((nodes.merge(n) == fleet::MergeResult::unchanged));
  BOOST_TEST(nodes.expire(Time{1h} + 10s, 2s).size() == 1u);
  BOOST_TEST((nodes.merge(n) == fleet::MergeResult::unchanged));
  BOOST_TEST(nodes.all().empty());
}

// ---- the followers' copy of the log of changes

BOOST_AUTO_TEST_CASE(
    given_a_follower_when_a_change_is_missing_then_it_reports_a_gap_and_applies_nothing_after_it) {
  fleet::ChangeLog source, follower;
  const auto feed = [](fleet::ChangeLog& to, std::vector<fleet::Entry> entries) {
    fleet::Outgoing out;
    auto list = out.frame().initChanges().initEntries(static_cast<unsigned>(entries.size()));
    for (unsigned i = 0; i < list.size(); ++i) fleet::put(list[i], entries[i]);
    return to.accept(out.frame().asReader().getChanges());
  };
  const fleet::Entry one{1, wire::Change::REPLACE, config_body(1, 0)},
      two{2, wire::Change::EVACUATE, zone_command("z", 1)},
      three{3, wire::Change::READMIT, zone_command("z", 2)};
  BOOST_TEST((feed(source, {one, two}) == fleet::ChangeLog::Outcome::applied));
  BOOST_TEST((feed(follower, {two}) == fleet::ChangeLog::Outcome::gap));
  BOOST_TEST((feed(follower, {one, three}) == fleet::ChangeLog::Outcome::gap));
  BOOST_TEST(follower.position() == 1u);
  BOOST_TEST((feed(follower, {one, two}) == fleet::ChangeLog::Outcome::applied));
  BOOST_TEST((feed(follower, {one, two}) == fleet::ChangeLog::Outcome::unchanged));
  BOOST_TEST((feed(follower, {three}) == fleet::ChangeLog::Outcome::applied));
  BOOST_TEST((follower.readmitted() == std::vector<std::string>{"z"}));
  fleet::ChangeLog fresh;
  auto snapshot = transfer::decode(transfer::encode(source.state())->bytes);
  BOOST_REQUIRE(snapshot.has_value());
  BOOST_TEST((fresh.accept(*snapshot) == fleet::ChangeLog::Outcome::applied));
  BOOST_TEST((fresh.accept(*snapshot) == fleet::ChangeLog::Outcome::unchanged));
  BOOST_TEST(fresh.position() == 2u);
  BOOST_TEST(fresh.configuration()->version == 1u);
  BOOST_TEST(fresh.state().evacuated.size() == 1u);
  BOOST_TEST(fresh.state().zone_changes.at("z") == 2u);
}

BOOST_AUTO_TEST_CASE(
    given_two_logs_when_they_differ_at_one_position_then_their_digests_differ_from_there_on) {
  State one, other;
  configuration::LogDigests digests;
  digests.record(0, one.log_digest);
  const auto same = [&](ChangeKind kind, const std::string& text) {
    configuration::apply(one, kind, text);
    configuration::apply(other, kind, text);
    digests.record(one.position, one.log_digest);
  };
  same(ChangeKind::replace, config_body(1, 0));
  BOOST_TEST(!digests.contradicts(other.position, other.log_digest));
  configuration::apply(one, ChangeKind::noop, "");
  digests.record(one.position, one.log_digest);
  configuration::apply(other, ChangeKind::evacuate, zone_command("z", 1));
  BOOST_TEST(digests.contradicts(other.position, other.log_digest));
  same(ChangeKind::replace, config_body(2, 1));
  BOOST_TEST(digests.contradicts(other.position, other.log_digest));
  // Unknown positions and states of an earlier format contradict nothing.
  BOOST_TEST(!digests.contradicts(9, other.log_digest));
  BOOST_TEST(!digests.contradicts(2, configuration::kUnknownDigest));
  BOOST_TEST(configuration::digest_after(configuration::kUnknownDigest, 0, "x") ==
             configuration::kUnknownDigest);
  // A snapshot keeps the digest.
  const auto snapshot = transfer::decode(transfer::encode(one)->bytes);
  BOOST_REQUIRE(snapshot.has_value());
  BOOST_TEST(snapshot->log_digest == one.log_digest);
}

BOOST_AUTO_TEST_CASE(given_many_positions_when_digests_are_recorded_then_the_most_recent_ones_are_kept) {
  configuration::LogDigests digests;
  constexpr std::uint64_t kMax = configuration::LogDigests::kMaxDigests;
  for (std::uint64_t position = 1; position <= kMax + 5; ++position) digests.record(position, position + 100);
  BOOST_TEST(digests.at(5) == configuration::kUnknownDigest);
  BOOST_TEST(digests.at(6) == 106u);
  BOOST_TEST(digests.at(kMax + 5) == kMax + 105);
  digests.record(9000, 7);  // after a snapshot
  BOOST_TEST(digests.at(kMax + 5) == configuration::kUnknownDigest);
  BOOST_TEST(digests.at(9000) == 7u);
}

// ---- the disk

BOOST_AUTO_TEST_CASE(
    given_a_log_on_disk_when_it_is_as_large_as_the_state_or_slow_to_apply_then_a_snapshot_is_due) {
  const agreement::SnapshotPolicy policy;
  constexpr std::uint64_t kSmallState = 4'000, kLargeState = 5'000'000;
  BOOST_TEST(!policy.is_due({31, 100'000}, kSmallState));
  BOOST_TEST(policy.is_due({32, 100'000}, kSmallState));
  BOOST_TEST(!policy.is_due({32, 1'000}, kSmallState));
  BOOST_TEST(policy.is_due({256, 1'000}, kSmallState));
  BOOST_TEST(!policy.is_due({50, 50'000}, kLargeState));  // less often than every 32 changes
  BOOST_TEST(policy.is_due({54, 50'000}, kLargeState));   // a restart applies 54 changes to 5 MB each
  BOOST_TEST(!policy.is_due({3, 15'000'000}, kLargeState));
  BOOST_TEST(policy.is_due({4, 20'000'000}, kLargeState));  // the disk holds 256 MB
}

BOOST_AUTO_TEST_CASE(given_a_store_when_changes_are_written_to_disk_then_the_log_stays_bounded) {
  CoreFleet core({"a", "a", "b"}, 11);
  BOOST_TEST(core.put(0, 1, 0) == 200);
  std::size_t longest = 0, snapshots = 0;
  std::uint64_t last = 0;
  for (std::uint64_t version = 2; version <= 80; ++version) {
    BOOST_REQUIRE(core.put(0, version, version - 1) == 200);
    const auto kept = core.members[0].disk.read();
    longest = std::max(longest, kept.log.size());
    snapshots += kept.state.position != std::exchange(last, kept.state.position);
  }
  BOOST_TEST(longest <= 32u);
  BOOST_TEST(snapshots >= 2u);
}

struct TemporaryFolder {
  TemporaryFolder() {
    char name[] = "/tmp/docklift-disk-XXXXXX";
    path = ::mkdtemp(name);
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path); }
  std::string path;
};

BOOST_AUTO_TEST_CASE(given_a_disk_when_it_is_reopened_then_it_holds_what_was_written) {
  TemporaryFolder f;
  {
    auto disk = Disk::open(f.path + "/d");
    BOOST_REQUIRE(!failed(disk));
    BOOST_TEST(!std::get<agreement::DurableState>(value(disk)->read()).has_state);
    agreement::Write w;
    w.state = State{4, nlohmann::json::parse(config_body(1, 0)), {"z"}, {{"10.0.0.1", 1}}, 2, {}, {{"z", 3}}};
    w.state->history.record(1, {7, 70});
    w.disk = 77;
    w.zones.push_back({"10.0.0.3", "z3"});
    w.destroyed.push_back({"10.0.0.2", 5});
    w.promised = agreement::Ballot{9, "10.0.0.2", 7};
    w.accepted.emplace_back(6, agreement::AcceptedChange{{8, "x", 7}, {ChangeKind::evacuate, "z2", "x", 3}});
    w.log.push_back({5, {ChangeKind::readmit, "z", "x", 2}});
    w.durable = true;
    BOOST_TEST(!failed(value(disk)->write(w)));
  }
  auto disk = Disk::open(f.path + "/d");
  BOOST_REQUIRE(!failed(disk));
  auto kept = value(disk)->read();
  BOOST_REQUIRE(!failed(kept));
  const auto& k = value(kept);
  BOOST_TEST(k.has_state);
  BOOST_TEST(k.state.position == 4u);
  BOOST_TEST(k.state.version() == 1u);
  BOOST_TEST(k.disk == 77u);
  BOOST_REQUIRE(k.zones.size() == 1);
  BOOST_TEST(k.zones[0].address == "10.0.0.3");
  BOOST_TEST(k.zones[0].zone == "z3");
  BOOST_REQUIRE(k.destroyed.size() == 1);
  BOOST_TEST((k.destroyed[0] == configuration::Voter{"10.0.0.2", 5}));
  BOOST_TEST(k.state.membership == 2u);
  BOOST_TEST(k.state.history.contains(1, {7, 70}));
  BOOST_TEST(k.state.zone_changes.at("z") == 3u);
  BOOST_TEST(k.promised.round == 9u);
  BOOST_REQUIRE(k.accepted.size() == 1);
  BOOST_TEST(k.accepted[0].first == 6u);
  BOOST_TEST(k.accepted[0].second.change.text == "z2");
  BOOST_REQUIRE(k.log.size() == 1);
  BOOST_TEST(k.log[0].slot == 5u);
  agreement::Write forget;
  forget.trim_accepted_through = 6, forget.trim_log_through = 5;
  BOOST_TEST(!failed(value(disk)->write(forget)));
  auto after = value(disk)->read();
  BOOST_TEST(value(after).accepted.empty());
  BOOST_TEST(value(after).log.empty());
}

BOOST_AUTO_TEST_CASE(given_a_damaged_disk_when_it_is_opened_then_it_is_repaired_or_set_aside) {
  TemporaryFolder f;
  {
    auto disk = Disk::open(f.path + "/d");
    agreement::Write w;
    w.state = State{4, nullptr, {}, {{"10.0.0.1", 1}}, 2, {}, {{"z", 3}}};
    w.disk = 77;
    w.durable = true;
    BOOST_REQUIRE(!failed(value(disk)->write(w)));
  }
  std::ofstream(f.path + "/d/CURRENT") << "nonsense\n";
  auto disk = Disk::open(f.path + "/d");
  BOOST_REQUIRE(!failed(disk));
  auto kept = value(disk)->read();
  BOOST_REQUIRE(!failed(kept));
  // Either everything is restored, or nothing is and the store is treated as one that lost its disk.
  BOOST_TEST((value(kept).has_state ? value(kept).state.position == 4u : value(kept).state.position == 0u));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
