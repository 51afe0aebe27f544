// Which orders for the configuration are accepted, and that every state that results can be encoded and read back.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

#include "core_fleet.hpp"
#include "play_settings.hpp"
#include "system/configuration/change_rules.hpp"
#include "system/configuration/configuration.hpp"
#include "system/fleet/change_log.hpp"
#include "system/transfer/snapshot.hpp"

namespace docklift::test {
namespace {

using configuration::State;
using configuration::VersionHistory;
using nlohmann::json;

int status_of(const State& state, ChangeKind kind, const std::string& body) {
  return kind == ChangeKind::replace ? configuration::validate_replace(state, body, nullptr).status
                                     : configuration::validate_patch(state, body, nullptr).status;
}

std::string patch_body(std::uint64_t version, std::uint64_t parent, const std::string& members) {
  return R"({"gen":")" + configuration::format_version(version) + R"(","parent":")" +
         configuration::format_version(parent) + R"(",)" + members + "}";
}

std::string bytes_of(const State& state) { return transfer::encode(state)->bytes; }

// A document with version 9, two accounts and members that this version does not know.
State state_at_nine() {
  State state;
  auto document = json::parse(config_body(9, 0));
  document["accts"].push_back({{"name", "t2"}, {"apikeys", {"k2"}}});
  document["later"] = {{{"name", "one"}}};
  document["setting"] = 5;
  BOOST_REQUIRE(configuration::apply(state, ChangeKind::replace, document.dump()));
  return state;
}

BOOST_AUTO_TEST_SUITE(configuration_changes)

// A patch wrote any member under upsert into the document, gen too, after the order's own gen had been validated.
BOOST_AUTO_TEST_CASE(given_a_patch_that_sets_a_version_when_it_is_validated_then_it_gets_400) {
  const auto state = state_at_nine();
  for (const auto* version : {R"("00000003")", R"("00000009")", R"("0000000a")", R"("0000000b")",
                              R"("0000000c")", "3", "300", R"("text")", "null", "[]", "{}"})
    for (const std::string member : {"gen", "parent"}) {
      const auto body = patch_body(10, 9, R"("upsert":{")" + member + R"(":)" + version + "}");
      BOOST_TEST(status_of(state, ChangeKind::patch, body) == 400, body);
    }
  for (const auto* member : {"gen", "parent", "limits"}) {
    const auto body = patch_body(10, 9, R"("remove":{")" + std::string(member) + R"(":["t1"]})");
    BOOST_TEST(status_of(state, ChangeKind::patch, body) == 400, body);
  }
}

// An account list of null was acknowledged and took all accounts away; a misspelled list of removals did nothing.
BOOST_AUTO_TEST_CASE(given_members_of_another_type_when_an_order_is_validated_then_it_gets_400) {
  const auto state = state_at_nine();
  for (const std::string list : {"accts", "listeners", "clusters"})
    for (const auto* value : {"null", "{}", R"("text")", "3", "true"}) {
      const auto patch = patch_body(10, 9, R"("upsert":{")" + list + R"(":)" + value + "}");
      BOOST_TEST(status_of(state, ChangeKind::patch, patch) == 400, patch);
      auto replacement = json::parse(config_body(10, 9));
      replacement[list] = json::parse(value);
      if (list == "clusters") replacement["listeners"] = json::array();
      BOOST_TEST(status_of(state, ChangeKind::replace, replacement.dump()) == 400, replacement.dump());
    }
  for (const auto* members :
       {R"("upsert":{"svcs":null})", R"("upsert":{"routing":[{"name":"r1"}]})", R"("upsert":{"limits":[]})",
        R"("upsert":{"limits":null})", R"("upsert":{"later":null})", R"("upsert":{"setting":[]})",
        R"("upsert":[])", R"("remove":{"acct":["t1"]})", R"("remove":{"setting":["t1"]})",
        R"("remove":{"accts":"t1"})", R"("remove":{"accts":[1]})", R"("removed":{"accts":["t1"]})",
        R"("accts":[])"}) {
    const auto body = patch_body(10, 9, members);
    BOOST_TEST(status_of(state, ChangeKind::patch, body) == 400, body);
  }
  for (const auto* members :
       {R"("upsert":{"limits":{}})", R"("upsert":{"later":[{"name":"two"}]})", R"("upsert":{"setting":6})",
        R"("upsert":{"new":null})", R"("upsert":{"accts":[]})", R"("remove":{"later":["one"]})",
        R"("remove":{"accts":["t2","t1"],"svcs":["none"]},"upsert":null)"}) {
    const auto body = patch_body(10, 9, members);
    BOOST_TEST(status_of(state, ChangeKind::patch, body) == 200, body);
  }
}

// Only the first account of a name was removed; the keys of the other one stayed valid.
BOOST_AUTO_TEST_CASE(given_two_accounts_of_one_name_when_a_patch_names_them_then_it_gets_400) {
  State state;
  auto document = json::parse(config_body(9, 0));
  document["accts"].push_back({{"name", "t1"}, {"apikeys", {"k2"}}});
  BOOST_REQUIRE(configuration::apply(state, ChangeKind::replace, document.dump()));
  for (const auto* members :
       {R"("remove":{"accts":["t1"]})", R"("upsert":{"accts":[{"name":"t1","apikeys":["k3"]}]})"}) {
    const auto body = patch_body(10, 9, members);
    BOOST_TEST(status_of(state, ChangeKind::patch, body) == 400, body);
  }
  const auto other = patch_body(10, 9, R"("upsert":{"accts":[{"name":"t2","apikeys":["k3"]}]})");
  BOOST_TEST(status_of(state, ChangeKind::patch, other) == 200);
}

// A deeply nested member was kept as an unknown field, and each store ended when it encoded its state.
BOOST_AUTO_TEST_CASE(given_a_deeply_nested_order_when_it_is_validated_then_it_gets_400) {
  const State empty;
  const auto nested = [](std::size_t depth) {
    auto body = config_body(1, 0);
    return body.insert(1,
                       R"("deep":)" + std::string(depth, '[') + R"("]}\"[")" + std::string(depth, ']') + ",");
  };
  BOOST_TEST(status_of(empty, ChangeKind::replace, nested(configuration::kMaxNesting - 1)) == 200);
  BOOST_TEST(status_of(empty, ChangeKind::replace, nested(configuration::kMaxNesting)) == 400);
  BOOST_TEST(status_of(empty, ChangeKind::replace, nested(1'000'000)) == 400);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
