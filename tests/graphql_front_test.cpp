// GraphQL through the node, over sockets: what the module is told, what servers get, what clients read.
#include <nlohmann/json.hpp>

#include "graphql/front.hpp"
#include "graphql/sections.hpp"
#include "host.hpp"
#include "members_server.hpp"
#include "peers.hpp"

namespace docklift::graphql {
namespace {

using namespace snowknot::test;
using nlohmann::json;
using snowknot::NodeConfig;
using snowknot::Tcp;
namespace asio = boost::asio;

constexpr const char* kSchema = R"(
  type Query { gates(first: Int!): [Gate!]! @listSize(slicingArguments: ["first"]) hours: Int }
  type Mutation { gateNotice(gate: ID!): Gate planCorrection(plan: ID!): Gate }
  type Gate { name: String }
)";

struct FrontTest : ::testing::Test {
  void start(FrontOptions o = {}) {
    NodeConfig c;
    c.listen = Tcp::endpoint(asio::ip::address_v4::loopback(), 0);
    c.discovery = agent.at(), c.discovery_host = agent.text(), c.counter = counter.at();
    c.descriptors = 1024, c.memory = 192UL << 20U, c.seed = 1, c.keep_alive = 30s;
    c.named.settings = settings();
    c.named.settings.connect_timeout = 250ms, c.named.settings.retry_after = true,
    c.named.settings.settled_after = true;
    c.named.names.zones = {{"a", 0}};
    c.known = {{"revision", 1},
               {"complete", true},
               {"members",
                {{{"id", "s-00000001"},
                  {"host_port", known.empty() ? server.text() : known},
                  {"locality", "a"},
                  {"cell", 1},
                  {"phase", "SERVING"},
                  {"up_since_ms", 0}}}}};
    node.emplace(loop.io, std::move(c));
    std::vector<Error> errors;
    o.query = snowknot::ClassIndex(0), o.keyed = snowknot::ClassIndex(1),
    o.mutation = snowknot::ClassIndex(2);
    o.plan.keyed = {"planCorrection"};
    front.emplace(*node, *Schema::read(schema, errors), o);
    node->serve_front(&*front);
    node->start();
    const auto probe = client();
    ASSERT_TRUE(loop.until([&] {
      probe->send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
      return read(probe) == 200;
    }));
  }
  std::shared_ptr<Wire> client() { return loop.connect(node->listens_at()); }
  int read(const std::shared_ptr<Wire>& w) {
    loop.until([&] { return !(answer = w->message()).empty() || w->ended; });
    body = answer.find("\r\n\r\n") == std::string::npos ? "" : answer.substr(answer.find("\r\n\r\n") + 4);
    return answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0;
  }
  std::string text(const std::string& json_body, const std::string& more = "") {
    return "POST /graphql HTTP/1.1\r\nHost: x\r\nX-Request-ID: q" + std::to_string(++ids) +
           "\r\nX-Plan: plain\r\nCookie: client=0000000000000007\r\nX-Timeout-Ms: 1000\r\nContent-Type: "
           "application/json\r\n" +
           more + "Content-Length: " + std::to_string(json_body.size()) + "\r\n\r\n" + json_body;
  }
  int post(const std::string& json_body, const std::string& more = "") {
    const auto w = client();
    w->send(text(json_body, more));
    return read(w);
  }
  static std::string query(const std::string& q) { return json{{"query", q}}.dump(); }
  std::string code() {
    const auto j = json::parse(body, nullptr, false);
    return j.is_object() && j.contains("errors") ? j["errors"][0]["extensions"].value("code", "") : "";
  }
  void serve(Wire& w) {
    const auto m = w.message();
    if (m.empty()) return;
    if (m.starts_with("GET /-/healthy")) return w.send(http_answer("200 OK"));
    seen.push_back(m);
    respond(w, m);
  }

  Loop loop;
  std::vector<std::string> seen, counted;
  std::string answer, body;
  int ids = 0;
  std::string schema = kSchema, known;  // known: the server's address, if it is not the scripted one
  std::function<void(Wire&, const std::string&)> respond = [](Wire& w, const std::string&) {
    w.send(http_answer("200 OK", R"({"data":{"gates":[]}})"));
  };
  double total = 0;
  Peer server{loop.io, [this](Wire& w) { serve(w); }};
  Peer counter{loop.io, [this](Wire& w) {
                 for (auto l = w.line(); !l.empty(); l = w.line()) {
                   if (l == "ping") {
                     w.send("pong\r\n");
                     continue;
                   }
                   counted.push_back(l);
                   std::istringstream in(l);
                   std::string word, name;
                   double amount = 0;
                   in >> word >> name >> amount;
                   std::ostringstream out;
                   out << "ok " << (totals[name] += amount) << "\r\n";
                   w.send(out.str());
                 }
               }};
  std::map<std::string, double> totals;
  Peer agent{loop.io};
  std::optional<snowknot::Node> node;
  std::optional<GraphqlFront> front;
};

TEST_F(FrontTest, QueryGoesOnAndItsAnswerComesBack) {
  start();
  respond = [](Wire& w, const std::string&) {
    w.send(http_answer("200 OK", R"({"data":{"gates":[{"name":"A1"}]}})"));
  };
  EXPECT_EQ(post(R"({"query":"query ($n: Int!) { gates(first: $n) { name } }","variables":{"n":3}})"), 200);
  EXPECT_EQ(body, R"({"data":{"gates":[{"name":"A1"}]}})");
  EXPECT_NE(answer.find("application/json; charset=utf-8"), std::string::npos);
  ASSERT_EQ(seen.size(), 1U);
  EXPECT_TRUE(seen[0].starts_with("POST /graphql HTTP/1.1"));
  EXPECT_NE(seen[0].find(R"("variables":{"n":3})"), std::string::npos);
  ASSERT_FALSE(counted.empty());
  std::istringstream in(counted[0]);
  std::string word, name;
  double amount = 0;
  in >> word >> name >> amount;
  EXPECT_GE(amount, 4);  // the root type and three gates
  EXPECT_EQ(front->open(), 0U);
}
TEST_F(FrontTest, WhatIsWrongIsAnsweredHere) {
  start();
  EXPECT_EQ(post(query("{ nothing }")), 200);
  EXPECT_EQ(code(), "GRAPHQL_VALIDATION_FAILED");
  EXPECT_EQ(post(query("{ nothing }"), "Accept: application/graphql-response+json\r\n"), 400);
  EXPECT_NE(answer.find("application/graphql-response+json"), std::string::npos);
  EXPECT_EQ(post("{"), 400);
  EXPECT_EQ(post(query("{ hours }"), "X-Docklift-Cost: maybe\r\n"), 400);
  EXPECT_EQ(post(query("{ gates(first: 3) { name } }"), "X-Docklift-Cost: dry-run\r\n"), 200);
  EXPECT_EQ(json::parse(body)["extensions"]["cost"]["typeCost"], 4);
  EXPECT_EQ(post(query("{ __schema { queryType { name } } }")), 200);
  EXPECT_EQ(body, R"({"data":{"__schema":{"queryType":{"name":"Query"}}}})");
  const auto w = client();
  w->send(
      "GET /graphql?query=mutation%7BgateNotice(gate:1)%7Bname%7D%7D HTTP/1.1\r\nHost: x\r\nX-Request-ID: "
      "g\r\nX-Plan: plain\r\n"
      "Cookie: client=0000000000000007\r\nX-Timeout-Ms: 1000\r\n\r\n");
  EXPECT_EQ(read(w), 405);
  w->send("POST /other HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(read(w), 404);
  EXPECT_TRUE(seen.empty());
  EXPECT_TRUE(counted.empty());  // and nothing of it is counted
}
TEST_F(FrontTest, TooDearIsRefusedWithCostAndLimitAndNoTimeToComeBack) {
  start();
  EXPECT_EQ(post(query("{ gates(first: 2147483647) { name } }")), 429);
  EXPECT_EQ(code(), "COST_LIMIT_EXCEEDED");
  const auto x = json::parse(body)["errors"][0]["extensions"];
  EXPECT_EQ(x["cost"], 2147483648.0);
  EXPECT_EQ(x["limit"], 20);
  EXPECT_FALSE(x.contains("retryAfter"));
  EXPECT_EQ(answer.find("Retry-After"), std::string::npos);
  EXPECT_TRUE(counted.empty());
}
TEST_F(FrontTest, WhatDidNotComeBackIsGivenBack) {
  start();
  // Each may cost 9 of a store of 20; what comes back costs 1. While one is out its bound is held.
  int served = 0;
  for (int i = 0; i < 12; ++i) served += post(query("{ gates(first: 8) { name } }")) == 200;
  EXPECT_GE(served, 8);
  // Where the answers can't be read the whole is charged: the store is soon empty.
  respond = [](Wire& w, const std::string&) {
    w.send(http_answer("200 OK", R"({"data":{"gates":[{"name":"cut)"));
  };
  served = 0;
  for (int i = 0; i < 12; ++i) served += post(query("{ gates(first: 8) { name } }")) == 200;
  EXPECT_LE(served, 5);
  EXPECT_EQ(code(), "REFUSED");
  EXPECT_TRUE(json::parse(body)["errors"][0]["extensions"].contains("retryAfter"));
  EXPECT_NE(answer.find("Retry-After"), std::string::npos);
}
TEST_F(FrontTest, ServersWordIsTakenOnlyWhereItIsTrusted) {
  FrontOptions o;
  o.trust_server = true;
  start(o);
  respond = [](Wire& w, const std::string&) {
    w.send(http_answer("200 OK", R"({"data":{"gates":[{"name":"a"}]}})", "X-Units-Charged: 1\r\n"));
  };
  int served = 0;
  for (int i = 0; i < 12; ++i) served += post(query("{ gates(first: 8) { name } }")) == 200;
  EXPECT_GE(served, 8);
  respond = [](Wire& w, const std::string&) {
    w.send(http_answer("200 OK", R"({"data":{"gates":[]},"extensions":{"cost":1e300}})",
                       "X-Units-Charged: -4\r\n"));
  };
  served = 0;
  for (int i = 0; i < 12; ++i) served += post(query("{ gates(first: 8) { name } }")) == 200;
  EXPECT_LE(served, 5);  // absurd: the bound, not more
}
TEST_F(FrontTest, MutationInABatchRunsOnceWhateverBecomesOfIt) {
  start();
  std::map<std::string, int> came;
  respond = [&](Wire& w, const std::string& m) {
    const auto id = m.substr(m.find("X-Request-ID: ") + 14,
                             m.find("\r\n", m.find("X-Request-ID: ")) - m.find("X-Request-ID: ") - 14);
    if (++came[id] == 1) return w.reset();  // after the last byte
    w.send(http_answer("200 OK", R"({"data":{"hours":1}})"));
  };
  EXPECT_EQ(
      post(
          R"([{"query":"{ hours }"},{"query":"mutation { gateNotice(gate: 1) { name } }"},{"query":"{ h: hours }"},{"query":"{ nothing }"}])"),
      200);
  const auto j = json::parse(body);
  ASSERT_EQ(j.size(), 4U);
  EXPECT_EQ(j[0]["data"]["hours"], 1);  // the look-ups were tried again
  EXPECT_EQ(j[1]["errors"][0]["extensions"]["code"], "FAILED");
  EXPECT_EQ(j[2]["data"]["hours"], 1);
  EXPECT_EQ(j[3]["errors"][0]["extensions"]["code"], "GRAPHQL_VALIDATION_FAILED");
  EXPECT_EQ(came.size(), 3U);
  for (const auto& [id, n] : came) EXPECT_EQ(n, id.ends_with("-1") ? 1 : 2) << id;
}
TEST_F(FrontTest, KeyedMutationGoesWithAKeyOfItsOwn) {
  start();
  respond = [&](Wire& w, const std::string&) { w.send(http_answer("200 OK", R"({"data":{}})")); };
  EXPECT_EQ(
      post(
          R"([{"query":"mutation { planCorrection(plan: 1) { name } }"},{"query":"mutation { planCorrection(plan: 2) { name } }"}])",
          "Idempotency-Key: k\r\n"),
      200);
  ASSERT_EQ(seen.size(), 2U);
  EXPECT_NE(seen[0].find("Idempotency-Key: k-0\r\n"), std::string::npos);
  EXPECT_NE(seen[1].find("Idempotency-Key: k-1\r\n"), std::string::npos);
  EXPECT_EQ(post(query("mutation { planCorrection(plan: 1) { name } }")), 200);  // without a key: unsafe
  EXPECT_EQ(seen[2].find("Idempotency-Key"), std::string::npos);
}
TEST_F(FrontTest, ClientThatLeavesHalfWayStopsTheRest) {
  start();
  std::shared_ptr<Wire> held;
  respond = [&](Wire& w, const std::string&) { held = w.shared_from_this(); };
  const auto w = client();
  w->send(text(
      R"([{"query":"mutation { gateNotice(gate: 1) { name } }"},{"query":"mutation { gateNotice(gate: 2) { name } }"}])"));
  ASSERT_TRUE(loop.until([&] { return held != nullptr; }));
  EXPECT_EQ(front->open(), 1U);
  w->close();
  ASSERT_TRUE(loop.until([&] { return front->open() == 0; }));
  held->send(http_answer("200 OK", R"({"data":{}})"));
  EXPECT_TRUE(loop.until([&] { return node->open_requests() == 0; }));
  EXPECT_EQ(seen.size(), 1U);  // the second mutation never began
}
TEST_F(FrontTest, RequestsOfOneIdAreNotTakenTwice) {
  start();
  std::shared_ptr<Wire> held;
  respond = [&](Wire& w, const std::string&) { held = w.shared_from_this(); };
  const auto request = text(query("{ hours }"));
  const auto first = client(), second = client();
  first->send(request);
  ASSERT_TRUE(loop.until([&] { return held != nullptr; }));
  second->send(request);
  EXPECT_EQ(read(second), 409);
  held->send(http_answer("200 OK", "{}"));
  EXPECT_EQ(read(first), 200);
}

// ---- A member's server ---------------------------------------------------------------------------------------

struct MembersTest : ::testing::Test {
  json ask(const std::string& query, const json& variables = json::object(), const std::string& key = "") {
    return json::parse(m.answer(json{{"query", query}, {"variables", variables}}.dump(), "id", key).body,
                       nullptr, false);
  }
  standins::Members m;
};
TEST_F(MembersTest, AnswersByItsSchema) {
  const auto a = ask(
      "query ($n: Int!) { t: terminals(first: $n) { __typename name gates(first: 1) { level route(to: 1) { "
      "steps { stairs } } } } }",
      {{"n", 3}});
  ASSERT_EQ(a["data"]["t"].size(), 3U) << a;
  EXPECT_EQ(a["data"]["t"][0]["__typename"], "Terminal");
  EXPECT_EQ(a["data"]["t"][2]["gates"][0]["level"], "ARRIVALS");
  EXPECT_EQ(ask("{ search(text: \"\") { name ... on Gate { level } } }")["data"]["search"].size(), 2U);
  EXPECT_TRUE(ask("{ nothing }").contains("errors"));
  m.faults().lengths["Query.terminals"] = 7;  // whatever was asked for
  EXPECT_EQ(ask("{ terminals(first: 1) { id } }")["data"]["terminals"].size(), 7U);
}
TEST_F(MembersTest, ErrorsWithPartsOfTheData) {
  m.faults().errors["Gate.route"] = 1;
  auto a = ask("{ terminals(first: 1) { gates(first: 2) { route(to: 1) { metres } } } }");
  EXPECT_EQ(a["data"]["terminals"][0]["gates"][1]["route"], nullptr);
  EXPECT_EQ(a["errors"].size(), 2U);
  EXPECT_EQ(a["errors"][1]["path"], json::parse(R"(["terminals",0,"gates",1,"route"])"));
  m.faults().errors = {{"Gate.name", 1}};  // may not be null: up to the next that may, here all
  a = ask("{ terminals(first: 1) { gates(first: 1) { name } } }");
  EXPECT_EQ(a["data"], nullptr);
}
TEST_F(MembersTest, EffectsAreKeptAndRepeatsOfAKeyDropped) {
  const std::string notice = "mutation { gateNotice(gate: 1, text: \"shut\") { name } }",
                    plan = "mutation { planCorrection(plan: 1) { id } }";
  ask(notice), ask(notice), ask(plan, json::object(), "k"), ask(plan, json::object(), "k");
  ASSERT_EQ(m.effects().size(), 3U);
  EXPECT_EQ(m.effects()[0].field, "gateNotice");
  EXPECT_EQ(m.effects()[2].key, "k");
}
TEST_F(MembersTest, BrokenAnswers) {
  m.faults().cut = 1;
  EXPECT_TRUE(ask("{ terminals(first: 3) { name } }").is_discarded());
  m.faults() = {.garbage = 1};
  EXPECT_TRUE(ask("{ terminals(first: 3) { name } }").is_discarded());
  m.faults() = {.cost = -3};
  EXPECT_EQ(ask("{ terminals(first: 3) { name } }")["extensions"]["cost"], -3);
}
// The whole way: a client, the node, a member's server that says less than it was asked for, fails, and is slow.
TEST_F(FrontTest, BatchOfLookUpsAndANoticeThroughToAMembersServer) {
  standins::MembersServer members(loop.io);
  std::vector<Error> errors;
  members.members().faults().lengths["Query.terminals"] = 1;
  schema = standins::members_schema(), known = snowknot::shown(members.at());
  start();
  EXPECT_EQ(
      post(
          R"([{"query":"{ terminals(first: 4) { name } }"},{"query":"mutation { gateNotice(gate: 7, text: \"shut\") { name } }"}])"),
      200);
  auto j = json::parse(body);
  EXPECT_EQ(j[0]["data"]["terminals"].size(), 1U);
  EXPECT_TRUE(j[1]["data"]["gateNotice"].contains("name")) << body;
  ASSERT_EQ(members.members().effects().size(), 1U);
  members.members().faults().reset = 1;  // once it has run
  EXPECT_EQ(post(query("mutation { gateNotice(gate: 8, text: \"shut\") { name } }")), 502);
  EXPECT_EQ(code(), "FAILED");
  EXPECT_EQ(members.members().effects().size(), 2U);  // and it is not sent again
}

// At the drain limit all that is open is answered. The next mutation of a batch would begin then, and nobody would answer it.
TEST_F(FrontTest, NothingMoreOfABatchBeginsOnceTheNodeAnswersAll) {
  start();
  std::shared_ptr<Wire> held;
  respond = [&](Wire& w, const std::string&) { held = w.shared_from_this(); };
  const auto w = client();
  const auto notice = query("mutation { gateNotice(gate: 1) { name } }");
  w->send(text("[" + notice + "," + notice + "]"));
  ASSERT_TRUE(loop.until([&] { return held != nullptr; }));
  bool drained = false;
  node->drain([&] { drained = true; }, 0s);
  node->answer_remaining(2s);
  ASSERT_EQ(read(w), 200) << answer;
  const auto j = json::parse(body);
  EXPECT_EQ(j[0]["errors"][0]["extensions"]["code"], "FAILED");  // it may have run
  EXPECT_EQ(j[1]["errors"][0]["extensions"]["code"], "REFUSED");
  EXPECT_EQ(j[1]["errors"][0]["extensions"]["retryAfter"], 2);
  EXPECT_TRUE(loop.until([&] { return drained; }));
  EXPECT_EQ(seen.size(), 1U);
  EXPECT_EQ(front->open(), 0U);
}

TEST(GraphqlSection, WhatDoesNotGoTogetherIsRefused) {
  docklift::Schema s;
  s.add(graphql_section());
  const auto field = [&](const std::string& text) {
    const auto read = read_config_text(s, text, "f");
    return read.mistakes.empty() ? "" : read.mistakes[0].field;
  };
  EXPECT_EQ(field(""), "");
  EXPECT_EQ(field("[graphql]\npath = \"/graphql\"\n"), "graphql.schema");
  const std::string
      good = "[graphql]\npath = \"/graphql\"\nschema = \"s\"\nquery_class = \"a\"\nmutation_class = \"b\"\n";
  EXPECT_EQ(field(good), "");
  EXPECT_EQ(field(good + "keyed_fields = \"x\"\n"), "graphql.keyed_fields");
  const std::string rest = "schema = \"s\"\nquery_class = \"a\"\nmutation_class = \"b\"\n";
  EXPECT_EQ(field("[graphql]\npath = \"graphql\"\n" + rest), "graphql.path");
  EXPECT_EQ(field("[graphql]\npath = \"/-/x\"\n" + rest), "graphql.path");
}

}  // namespace
}  // namespace docklift::graphql
