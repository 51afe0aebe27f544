// Drives the adapter as a process, on small lines written here.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "settings_json.hpp"

namespace {

using nlohmann::json;
using snowknot::test::facts;

struct Result {
  int code = 0;
  std::vector<json> replies;
  std::string errors;
};

Result run(const std::string& input) {
  char name[] = "/tmp/snowknot-adapter-XXXXXX";
  const std::filesystem::path dir = mkdtemp(name);
  std::ofstream(dir / "in") << input;
  const std::string base = dir.string();
  const int status = std::system(
      (BENCHLINK " < " + base + "/in > " + base + "/out 2> " + base + "/err").c_str());
  Result r;
  r.code = WEXITSTATUS(status);
  std::ifstream out(dir / "out");
  for (std::string line; std::getline(out, line);) r.replies.push_back(json::parse(line));
  std::stringstream err;
  err << std::ifstream(dir / "err").rdbuf();
  r.errors = err.str();
  std::filesystem::remove_all(dir);
  return r;
}

json open(const std::string& id) {
  return {{"msg", "open-instance"}, {"node-id", id}, {"salt", 18446744073709551615ULL}, {"facts", facts()}};
}
json page(int number, unsigned server) {
  return {{"msg", "register"},
          {"page", number},
          {"lines",
           {{{"server", server},
             {"cohort", 0},
             {"phase", 1},
             {"area", "z1"},
             {"class-of-host", "h"},
             {"last-start-ns", nullptr},
             {"share", 1}}}}};
}
json list(const std::string& id, int number) {
  return {{"msg", "membership"}, {"node-id", id}, {"how", 2}, {"serial", 1}, {"page", number}};
}
json ask(const std::string& id, const std::string& ticket) {
  return {{"msg", "ask"},        {"node-id", id},     {"ticket", ticket},
          {"profile", "read"},   {"package", "p"},    {"account", "ffffffffffffffff"},
          {"ttl-ns", 900000000}, {"cost-units", 1},   {"doors", 2},
          {"set-start", 0},      {"is-retry", false}, {"mutates", false}};
}
std::string batch(int n, std::int64_t now, const json& events) {
  return json{{"wall-ns", now}, {"batch", n}, {"happened", events}}.dump() + "\n";
}
std::vector<json> of(const json& reply, const std::string& kind, const std::string& node) {
  std::vector<json> found;
  for (const auto& a : reply.at("out"))
    if (a.at("msg") == kind && a.at("node-id") == node) found.push_back(a);
  return found;
}

TEST(Adapter, PagesAreResolvedInEventOrderAndIdsSurvive) {
  const std::int64_t t = 9007199254740993LL;  // not a double
  const auto first = run(
      batch(1, t,
            json::array({open("node-1"), page(0, 4294967295U), list("node-1", 0), open("node-2"), page(0, 7),
                         list("node-2", 0)})) +
      batch(2, t, json::array({ask("node-1", "fedcba9876543210"), ask("node-2", "00000000000000ab")})));
  ASSERT_EQ(first.code, 0) << first.errors;
  ASSERT_EQ(first.replies.size(), 2u);
  const auto call = of(first.replies[1], "add-and-get", "node-1").at(0);
  const auto name = call.at("tally-id").get<std::uint64_t>();
  EXPECT_LT(name, 1ULL << 63);
  EXPECT_EQ(of(first.replies[1], "add-and-get", "node-2").at(0).at("tally-id").get<std::uint64_t>(), name);
  const auto reply = [&](const std::string& id) {
    return json{{"msg", "ledger-reply"}, {"node-id", id},         {"level", 2},        {"tally-id", name},
                {"rtt-ns", 5},           {"disposition", "pass"}, {"unknown", nullptr}};
  };
  const auto r = run(
      batch(1, t,
            json::array({open("node-1"), page(0, 4294967295U), list("node-1", 0), open("node-2"), page(0, 7),
                         list("node-2", 0)})) +
      batch(2, t, json::array({ask("node-1", "fedcba9876543210"), ask("node-2", "00000000000000ab")})) +
      batch(3, t, json::array({reply("node-1"), reply("node-2")})));
  ASSERT_EQ(r.code, 0) << r.errors;
  const auto a = of(r.replies.at(2), "place", "node-1").at(0),
             b = of(r.replies.at(2), "place", "node-2").at(0);
  EXPECT_EQ(a.at("server"), 4294967295U);
  EXPECT_EQ(a.at("ticket"), "fedcba9876543210");
  EXPECT_EQ(b.at("server"), 7);
  EXPECT_EQ(b.at("ticket"), "00000000000000ab");
}

TEST(Adapter, RestartInOneBatchForgetsAll) {
  const auto r = run(batch(1, 5,
                           json::array({open("node-1"),
                                        page(0, 7),
                                        list("node-1", 0),
                                        ask("node-1", "00000000000000ab"),
                                        {{"msg", "detach"}, {"node-id", "node-1"}},
                                        open("node-1"),
                                        list("node-1", 0),
                                        ask("node-1", "00000000000000ac")})));
  ASSERT_EQ(r.code, 0) << r.errors;
  EXPECT_EQ(of(r.replies.at(0), "add-and-get", "node-1").size(), 2u);
}

TEST(Adapter, EmptyBatchIsEchoed) {
  const auto r = run(batch(42, 5, json::array()));
  ASSERT_EQ(r.code, 0);
  EXPECT_EQ(r.replies.at(0), (json{{"batch", 42}, {"out", json::array()}}));
}

TEST(Adapter, BadInputIsNamedAndEndsTheProcess) {
  auto missing = ask("node-1", "00000000000000ab");
  missing.erase("account");
  auto wrong = ask("node-1", "00000000000000ab");
  wrong["cost-units"] = "two";
  auto negative = open("node-1");
  negative["facts"]["packages"][0]["units-per-s"] = -1;
  const std::string start = batch(1, 5, json::array({open("node-1"), page(0, 7), list("node-1", 0)}));
  const std::vector<std::array<std::string, 3>> cases = {
      {start + "not json\n", "line 2", ""},
      {start + batch(2, 5, json::array({missing})), "line 2", "account"},
      {start + batch(2, 5, json::array({wrong})), "line 2", "cost-units"},
      {batch(1, 5, json::array({negative})), "line 1", "rate"}};
  for (const auto& [input, where, what] : cases) {
    const auto r = run(input);
    EXPECT_NE(r.code, 0);
    EXPECT_NE(r.errors.find(where), std::string::npos) << r.errors;
    EXPECT_NE(r.errors.find(what), std::string::npos) << r.errors;
  }
}

}  // namespace
