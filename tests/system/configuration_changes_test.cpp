// Which orders for the configuration are accepted, and that every state that results can be encoded and read
// back.
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

// A patch wrote any member under upsert into the document, gen too, after the order's own gen had been
// validated.
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

// An account list of null was acknowledged and took all accounts away; a misspelled list of removals did
// nothing.
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

// ---- every state can be read back

// The state of a store, a registry's copy that follows the log, and what was accepted under each version.
class ReadBack {
 public:
  explicit ReadBack(std::uint64_t seed) : seed_(seed), random_(seed) {}

  void run() {
    for (int step = 0; step < 80; ++step) {
      submit(random_() % 4 == 0 || state_.version() == 0 ? ChangeKind::replace : ChangeKind::patch);
      if (random_() % 6 == 0)
        apply(random_() % 2 == 0 ? ChangeKind::evacuate : ChangeKind::readmit, random_zone());
      check();
    }
  }

 private:
  static constexpr const char* kMembers[] = {"gen",  "parent", "limits",   "listeners", "routing",
                                             "svcs", "accts",  "clusters", "later",     "setting"};
  template <typename T, std::size_t N>
  const T& pick(const T (&of)[N]) {
    return of[random_() % N];
  }
  std::string random_zone() {
    const std::string zones[] = {"z1", "z2", "z 3", std::string("z\0four", 6)};
    return zone_command(pick(zones), random_() % (state_.position + 1));
  }
  json random_version() { return configuration::format_version(random_() % (state_.version() + 6)); }
  json random_value() {
    const auto n = std::to_string(random_() % 4);
    switch (random_() % 9) {
      case 0: return nullptr;
      case 1: return random_() % 12;
      case 2: return random_version();
      case 3: return json::array();
      case 4: return json{{"hdr_bytes", 4096}};
      case 5: return {{{"name", "t" + n}, {"apikeys", {"k" + n}}}};
      case 6: return {{{"name", "service" + n}}};
      case 7: return {{{"vhost", "h" + n + ".example"}, {"policy", json::array()}}};
      default: return "text";
    }
  }
  json random_names() {
    json names = json::array();
    for (auto n = random_() % 3; n > 0; --n) names.push_back("t" + std::to_string(random_() % 4));
    return names;
  }
  std::string random_order(ChangeKind kind) {
    const auto current = state_.version();
    const auto parent = random_() % 10 == 0 ? random_() % (current + 2) : current;
    const auto version = random_() % 10 == 0 ? random_() % (current + 4) : current + 1 + random_() % 4;
    if (kind == ChangeKind::replace) {
      auto body = json::parse(config_body(version, parent));
      if (random_() % 3 == 0) body[pick(kMembers)] = random_value();
      return body.dump();
    }
    json body = {{"gen", configuration::format_version(version)},
                 {"parent", configuration::format_version(parent)}};
    if (random_() % 4 != 0) body["upsert"][pick(kMembers)] = random_value();
    if (random_() % 3 == 0) body["remove"][pick(kMembers)] = random_names();
    if (random_() % 20 == 0) body[pick(kMembers)] = random_value();
    return body.dump();
  }

  void submit(ChangeKind kind) {
    const auto text = random_order(kind);
    json after;
    const auto result = kind == ChangeKind::replace ? configuration::validate_replace(state_, text, &after)
                                                    : configuration::validate_patch(state_, text, &after);
    BOOST_TEST((result.status == 200 || result.status == 400 || result.status == 412), text);
    if (result.status != 200) return;
    ++accepted_orders_;
    const auto order_version = configuration::parse_version(json::parse(text)["gen"]);
    const auto before = state_.version();
    BOOST_TEST(apply(kind, text), "seed " << seed_ << ": " << text);
    BOOST_TEST(state_.version() == *order_version, "seed " << seed_ << ": " << text);
    BOOST_TEST(state_.version() > before, "seed " << seed_ << ": " << text);
    BOOST_TEST((state_.document == after));
    if (kind == ChangeKind::replace) BOOST_TEST((state_.document == json::parse(text)));
    // Sent again, it is acknowledged, not refused.
    const auto again = kind == ChangeKind::replace ? configuration::validate_replace(state_, text, nullptr)
                                                   : configuration::validate_patch(state_, text, nullptr);
    BOOST_TEST(again.already_accepted, "seed " << seed_ << ": " << text);
  }
  bool apply(ChangeKind kind, const std::string& text) {
    const bool effect = configuration::apply(state_, kind, text);
    fleet::Outgoing out;
    auto entries = out.frame().initChanges().initEntries(1);
    fleet::put(entries[0], fleet::Entry{copy_.position() + 1, fleet::change_of(kind), text});
    copy_.accept(out.frame().asReader().getChanges());
    return effect;
  }

  void check() {
    const auto bytes = bytes_of(state_);
    const auto stored = agreement::decode_state(agreement::encode_state(state_));
    BOOST_REQUIRE(stored.has_value());
    BOOST_TEST((bytes_of(*stored) == bytes), "seed " << seed_);
    const auto snapshot = transfer::decode(bytes);
    BOOST_REQUIRE(snapshot.has_value());
    BOOST_TEST((bytes_of(*snapshot) == bytes), "seed " << seed_);
    BOOST_TEST((snapshot->history == state_.history));
    BOOST_TEST((bytes_of(copy_.state()) == bytes), "seed " << seed_);
    if (state_.version() > 0) BOOST_TEST(copy_.configuration()->version == state_.version());
  }

  std::uint64_t seed_;
  std::mt19937_64 random_;
  State state_;
  fleet::ChangeLog copy_;

 public:
  std::size_t accepted_orders_ = 0;
};

// A state that was applied could hold versions that do not ascend: no snapshot of it could be read, and no
// disk.
BOOST_AUTO_TEST_CASE(given_random_orders_when_they_are_accepted_then_each_state_is_read_back_as_it_was) {
  std::size_t accepted_orders = 0;
  const auto seeds = last_seed(60);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    ReadBack play(seed);
    play.run();
    accepted_orders += play.accepted_orders_;
  }
  BOOST_TEST(accepted_orders > 20 * seeds);  // the random orders are not all refused
}

// ---- a log that an earlier version of this program has written

struct LoggedChange {
  ChangeKind kind;
  std::string text;
};

// The versions that the earlier version of this program had in force after these changes: 7, 9, 3, 13.
std::vector<LoggedChange> earlier_log() {
  return {{ChangeKind::replace, config_body(7, 0)},
          {ChangeKind::patch, patch_body(9, 7, R"("upsert":{"accts":[{"name":"t2","apikeys":["k2"]}]})")},
          {ChangeKind::patch, patch_body(11, 9, R"("upsert":{"gen":"00000003"})")},
          {ChangeKind::patch, patch_body(13, 3, R"("upsert":{"accts":[{"name":"t3","apikeys":["k3"]}]})")}};
}

// All machines must reach one state from one log, whichever version of this program applies it.
BOOST_AUTO_TEST_CASE(
    given_a_log_with_a_change_that_lowered_the_version_when_it_is_applied_then_it_has_its_former_effect) {
  State state;
  std::vector<std::uint64_t> versions;
  for (const auto& change : earlier_log()) {
    BOOST_TEST(configuration::apply(state, change.kind, change.text));
    versions.push_back(state.version());
    const auto stored = agreement::decode_state(agreement::encode_state(state));
    BOOST_REQUIRE(stored.has_value());
    BOOST_TEST((bytes_of(*stored) == bytes_of(state)));
    BOOST_REQUIRE(transfer::decode(bytes_of(state)).has_value());
  }
  BOOST_TEST(versions == (std::vector<std::uint64_t>{7, 9, 3, 13}), boost::test_tools::per_element());
  BOOST_TEST(state.document["accts"].size() == 3u);
}

// As the earlier version wrote it, in the order of acceptance. It then took its own disk for a damaged one.
BOOST_AUTO_TEST_CASE(given_a_history_that_does_not_ascend_when_it_is_read_then_it_is_that_of_the_log) {
  State state;
  std::string written;
  for (const auto& change : earlier_log()) {
    BOOST_REQUIRE(configuration::apply(state, change.kind, change.text));
    VersionHistory one;
    const auto operation = change.kind == ChangeKind::replace ? configuration::BodyOperation::replace
                                                              : configuration::BodyOperation::patch;
    one.record(state.version(), configuration::digest_of(operation, change.text));
    written += one.encode();
  }
  const auto history = VersionHistory::decode(written);
  BOOST_REQUIRE(history.has_value());
  BOOST_TEST((*history == state.history));
  // What is written now can be read by the earlier version, which wants ascending versions.
  const auto entry_bytes = written.size() / earlier_log().size();
  const auto bytes = state.history.encode();
  std::vector<std::uint64_t> versions;
  for (std::size_t at = 0; at < bytes.size(); at += entry_bytes)
    versions.push_back(static_cast<unsigned char>(bytes[at]));
  BOOST_TEST(versions == (std::vector<std::uint64_t>{3, 7, 9, 13}), boost::test_tools::per_element());
}

// The operators read what is wrong in the log, and a replacement above all versions ends it.
BOOST_AUTO_TEST_CASE(
    given_a_disk_with_a_lowered_version_when_a_store_starts_then_it_says_so_and_can_be_mended) {
  agreement::DurableState stored;
  stored.disk = 5;
  stored.has_state = true;
  stored.state.voters = {{"10.0.0.1", 5}};
  std::uint64_t slot = 0;
  for (const auto& change : earlier_log())
    if (++slot <= 3) stored.log.push_back({slot, {change.kind, change.text, "10.0.0.1", slot}});
  Replica replica({"10.0.0.1", "z1", {"10.0.0.1"}}, stored);
  BOOST_TEST(replica.state().version() == 3u);
  const auto says_so = [](const agreement::Actions& actions) {
    return std::ranges::any_of(actions.log_lines, [](const std::string& line) {
      return line.find("version 00000003 is in force although version 00000009") != std::string::npos;
    });
  };
  BOOST_TEST(says_so(replica.start(Time{1h})));
  auto state = replica.state();
  BOOST_TEST(status_of(state, ChangeKind::replace, config_body(16, 9)) == 412);
  BOOST_TEST(status_of(state, ChangeKind::replace, config_body(16, 3)) == 200);
  BOOST_REQUIRE(configuration::apply(state, ChangeKind::replace, config_body(16, 3)));
  stored.state = state;
  stored.log.clear();
  Replica mended({"10.0.0.1", "z1", {"10.0.0.1"}}, stored);
  BOOST_TEST(mended.state().version() == 16u);
  BOOST_TEST(!says_so(mended.start(Time{1h})));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
