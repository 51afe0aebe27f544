// GraphQL without sockets: tokens, documents, validation, cost.
#include <gtest/gtest.h>

#include <random>

#include "graphql/cost.hpp"
#include "graphql/document.hpp"
#include "graphql/introspect.hpp"
#include "graphql/request.hpp"
#include "graphql/schema.hpp"
#include "graphql/validate.hpp"

namespace docklift::graphql {
namespace {

// ---- Tokens -------------------------------------------------------------------------------------------------

std::string tokens(std::string_view text) {
  Lexer l(text);
  std::string all;
  for (auto t = l.next();; t = l.next()) {
    if (t.kind == TokenKind::end) return all;
    if (t.kind == TokenKind::wrong) return all + "WRONG " + l.why();
    all.append(t.text)
        .append("@")
        .append(std::to_string(t.at.line))
        .append(":")
        .append(std::to_string(t.at.column))
        .append(" ");
  }
}
TEST(Lexer, IgnoredTokensAndPlaces) {
  EXPECT_EQ(tokens("\xEF\xBB\xBF{ a,,b#c } \r\n\td\r}\n..."), "{@1:2 a@1:4 b@1:7 d@2:2 }@3:1 ...@4:1 ");
  EXPECT_EQ(tokens("\"\xC3\xA4\" x"), "\xC3\xA4@1:1 x@1:5 ");  // columns count characters
}
TEST(Lexer, Numbers) {
  EXPECT_EQ(tokens("0 -0 12 -1.5 1e3 1.0E-2"), "0@1:1 -0@1:3 12@1:6 -1.5@1:9 1e3@1:14 1.0E-2@1:18 ");
  for (const auto* bad : {"00", "01", "-", "1.", ".5", "1e", "1x", "1.5.6", "0xF", "+1", "1e+"})
    EXPECT_NE(tokens(bad).find("WRONG"), std::string::npos) << bad;
}
TEST(Lexer, StringsAndWhatEndsThem) {
  for (const auto* bad : {"\"", "\"a\nb\"", "\"\"\"", "\"\"\"a\"\"", "\"\x01\"", "?", "..", "'a'", "\"\\"})
    EXPECT_NE(tokens(bad).find("WRONG"), std::string::npos) << bad;
  EXPECT_EQ(tokens("\"\" \"\"\"\"\"\" \"a\\\"b\""), "@1:1 @1:4 a\\\"b@1:11 ");
}
TEST(Strings, EscapesAndSurrogates) {
  std::string v, why;
  ASSERT_TRUE(unescape("a\\n\\u00e4\\uD83C\\uDF7A\\u{1F37A}\\\\\\/", v, why));
  EXPECT_EQ(v, "a\n\xC3\xA4\xF0\x9F\x8D\xBA\xF0\x9F\x8D\xBA\\/");
  for (const auto* bad : {"\\x", "\\u12", "\\uZZZZ", "\\uD83C", "\\uD83Cx", "\\uD83C\\u0041", "\\uDF7A",
                          "\\u{}", "\\u{D800}", "\\u{110000}", "\\u{12"})
    EXPECT_FALSE(unescape(bad, v, why)) << bad;
}
TEST(Strings, BlockStringsLoseTheirCommonIndentation) {
  EXPECT_EQ(block_value("\n    Hello,\n      World!\n\n    Yours,\n      GraphQL.\n  "),
            "Hello,\n  World!\n\nYours,\n  GraphQL.");
  EXPECT_EQ(block_value("a\r\n  b\r  c"), "a\nb\nc");
  EXPECT_EQ(block_value("  \n \t \n"), "");
  EXPECT_EQ(block_value("x\\\"\"\"y"), "x\"\"\"y");
}
TEST(Strings, Utf8IsChecked) {
  for (const auto* good : {"", "a", "\xC3\xA4", "\xED\x9F\xBF", "\xEE\x80\x80", "\xF4\x8F\xBF\xBF"})
    EXPECT_TRUE(valid_utf8(good));
  for (const auto* bad : {"\x80", "\xC3", "\xC0\x80", "\xE0\x80\x80", "\xED\xA0\x80", "\xF4\x90\x80\x80",
                          "\xFF", "\xC3(", "\xF0\x80\x80\x80"})
    EXPECT_FALSE(valid_utf8(bad));
  EXPECT_FALSE(Document::executable("{ a(b: \"\xFF\") }").good());
}

// ---- Documents ----------------------------------------------------------------------------------------------

TEST(Documents, AllOfExecutableDefinitions) {
  const auto d = Document::executable(R"(
    query Q($a: [Int!]! = [1], $b: In = {x: 1.5, y: [true, null, E]} @d) @e(z: "s") {
      al: f(a: $a, b: {c: $b}) @skip(if: false) { g ... on T { h } ...F @include(if: $a) ... { i } ... @d { j } }
    }
    fragment F on T @x { on k: on }
    mutation { m } subscription S { s }
  )");
  ASSERT_TRUE(d.good()) << d.errors()[0].message;
  ASSERT_EQ(d.operations().size(), 3U);
  const auto& q = d.operations()[0];
  EXPECT_EQ(use_of(*q.variables[0].type).text(), "[Int!]!");
  EXPECT_EQ(q.variables[1].fallback->fields[1].value.items[2].kind, ValueKind::enumeration);
  const auto& f = q.selections[0];
  EXPECT_EQ(f.response_name(), "al");
  EXPECT_EQ(f.name, "f");
  EXPECT_EQ(f.selections.size(), 5U);
  EXPECT_EQ(f.selections[2].kind, Selection::Kind::spread);
  EXPECT_EQ(d.fragment("F")->selections.size(), 2U);
}
TEST(Documents, MistakesTellWhere) {
  const auto error = [](const std::string& text) {
    const auto d = Document::executable(text);
    return d.good() ? ""
                    : d.errors()[0].message + " " + std::to_string(d.errors()[0].locations[0].line) + ":" +
                          std::to_string(d.errors()[0].locations[0].column);
  };
  EXPECT_EQ(error("{ a"), "Syntax Error: Unexpected <EOF> 1:4");
  EXPECT_EQ(error("{ a\n  ? }"), "Syntax Error: Unexpected character \"?\" 2:3");
  EXPECT_EQ(error("{}"), "Syntax Error: Unexpected \"}\" 1:2");
  for (const auto* bad :
       {"", "  # only\n", "query", "{ a( }", "{ a() }", "{ a(b) }", "query ($a) { b }",
        "query ($a: Int = $b) { c }", "fragment on on T { a }", "fragment F { a }", "{ ...on }", "{ a: }",
        "{ a(b: [1) }", "{ a(b: {c}) }", "query Q { a } }", "type A { b: C }", "{ a @ }", "subscribe { a }"})
    EXPECT_NE(error(bad), "") << bad;
  EXPECT_EQ(error("{ a(b: \"\\uD800\") }"), "Syntax Error: Lone surrogate in a string 1:8");
}
TEST(Documents, LimitsHoldWhileParsing) {
  const auto code = [](const std::string& text, const Limits& l = {}) {
    const auto d = Document::executable(text, l);
    return d.good() ? "" : d.errors()[0].code;
  };
  const auto repeat = [](const std::string& text, int n) {
    std::string all;
    for (int i = 0; i < n; ++i) all += text;
    return all;
  };
  EXPECT_EQ(code("{ a(b: " + repeat("[", 10'000) + repeat("]", 10'000) + ") }"), "LIMIT_EXCEEDED");
  EXPECT_EQ(code(repeat("{a", 10'000)), "LIMIT_EXCEEDED");
  EXPECT_EQ(code("query ($a: " + repeat("[", 10'000) + "Int"), "LIMIT_EXCEEDED");
  std::string aliases = "{";
  for (int i = 0; i < 1'000'000 / 64; ++i) aliases.append("a").append(std::to_string(i)).append(":x ");
  EXPECT_EQ(code(aliases + "}"), "LIMIT_EXCEEDED");
  EXPECT_EQ(code("{ a " + repeat("@d ", 300) + "}"), "LIMIT_EXCEEDED");
  EXPECT_EQ(code("{ a(b: \"\"\"" + std::string(1 << 20, 'x') + "\"\"\") }"), "LIMIT_EXCEEDED");
  EXPECT_EQ(code("{ a(b: \"\"\"" + std::string(1 << 17, 'x') + "\"\"\") }"), "");
  EXPECT_EQ(code("{" + repeat("a ", 2'000) + "}"), "LIMIT_EXCEEDED");
  EXPECT_EQ(code("{" + repeat("a ", 100) + "}", {.tokens = 50}), "LIMIT_EXCEEDED");
}
TEST(Documents, NoiseNeverDoesHarm) {
  std::mt19937 random(5);
  const std::vector<std::string> words{"{",        "}",     "(",      ")",    "...", "on", "query",
                                       "fragment", "a",     "b:",     "$c",   "@d",  "[",  "]",
                                       "1",        "\"s\"", "\"\"\"", ":",    "=",   "!",  "|",
                                       "type",     "input", "extend", "\xFF", "\\u", "\n"};
  int good = 0;
  for (int i = 0; i < 30'000; ++i) {
    std::string text;
    for (unsigned n = random() % 20; n > 0; --n)
      text += words[random() % words.size()] + (random() % 3 == 0 ? "" : " ");
    good += Document::executable(text).good();
    good += Document::type_system(text).good();
  }
  EXPECT_GT(good, 0);
}

// ---- The members' schema ---------------------------------------------------------------------------------------

constexpr const char* kSchema = R"(
  "All there is to ask for."
  type Query {
    terminals(first: Int, last: Int): [Terminal!]! @listSize(slicingArguments: ["first", "last"], requireOneSlicingArgument: false, assumedSize: 8)
    terminal(code: ID!): Terminal
    gates(page: Page!): [Gate] @listSize(slicingArguments: ["page.size"])
    search(text: String!): [Place!]! @listSize(assumedSize: 5)
    plans(first: Int = 4): PlanConnection @listSize(slicingArguments: ["first"], sizedFields: ["nodes"])
    hours: [Int!]!
    grid: [[Gate!]!]!
  }
  type Mutation { gateNotice(gate: ID!, text: String!): Gate! @cost(weight: "5") planCorrection(plan: ID!, note: NoteInput): Plan }
  type Subscription { moved: Gate }
  interface Place { name: String! }
  type Terminal implements Place @cost(weight: "2") { name: String! gates(first: Int!): [Gate!]! @listSize(slicingArguments: ["first"]) map: Plan level: Int }
  type Gate implements Place { name: String! terminal: Terminal level: Level! route(to: ID!): Route @cost(weight: "3") }
  type Route { steps: [String!]! length: Float }
  type Plan { id: ID! big: String @cost(weight: "10") }
  type PlanConnection { nodes: [Plan!]! total: Int! }
  input Page { size: Int! from: Int = 0 }
  input NoteInput { text: String! tags: [String!] at: Page }
  enum Level { DEPARTURES ARRIVALS }
  union Thing = Gate | Route
  scalar Date
)";

const Schema& schema() {
  static const Schema s = [] {
    std::vector<Error> errors;
    auto read = Schema::read(kSchema, errors);
    if (!read) throw std::runtime_error(errors[0].message);
    return std::move(*read);
  }();
  return s;
}
std::vector<std::string> mistakes(const std::string& text) {
  const auto d = Document::executable(text);
  if (!d.good()) return {d.errors()[0].message};
  std::vector<std::string> all;
  for (const auto& e : validate(schema(), d)) all.push_back(e.message);
  return all;
}

TEST(Schemas, MistakesAreFound) {
  const auto first = [](const std::string& text) {
    std::vector<Error> errors;
    return Schema::read(text, errors) ? "" : errors[0].message;
  };
  EXPECT_EQ(first("type Query { a: Int }"), "");
  EXPECT_EQ(first("type Query { a: B }"), "Unknown type \"B\" at Query.a.");
  EXPECT_EQ(first("type A { a: Int }"), "The schema has no query root type.");
  EXPECT_EQ(first("type Query { a: Int a: Int }"), "Field \"Query.a\" is there twice.");
  EXPECT_EQ(first("type Query { a: Int } type Query { b: Int }"),
            "There can be only one type named \"Query\".");
  EXPECT_EQ(first("type Query { a(b: Query): Int }"), "Type \"Query\" can't be used at Query.a(b:).");
  EXPECT_EQ(first("type Query { a: Int @cost(weight: \"x\") }"), "@cost needs a weight that is a number.");
  EXPECT_EQ(first("type Query { a: Int @listSize(assumedSize: 3) }"), "@listSize at Query.a: it is no list.");
  EXPECT_EQ(first("type Query { a: [Int] @listSize(slicingArguments: [\"n\"]) }"),
            "@listSize at Query.a: no argument \"n\".");
  EXPECT_EQ(first("schema { query: Q } type Q { a: Int } extend type Q { b: Int }"), "");
  EXPECT_EQ(first("type Query implements I { a: Int }"), "Type Query can't implement I: it is no interface.");
  EXPECT_NE(first("type Query { a: Int"), "");
}

TEST(Validation, GoodDocuments) {
  for (const auto* good :
       {"{ terminals(first: 2) { name gates(first: 3) { name level } } }",
        "query Q($n: Int!, $g: ID!) { terminals(first: $n) { ...T } } fragment T on Terminal { name "
        "gates(first: $n) { route(to: $g) { steps } } }",
        "{ search(text: \"a\") { name ... on Gate { level } ... on Terminal { l: level } __typename } }",
        "{ gates(page: {size: 3}) { name } a: gates(page: {size: 4, from: null}) { name } }",
        "mutation { gateNotice(gate: \"1\", text: \"x\") { name } }", "subscription { moved { name } }",
        "{ __schema { types { name } } __type(name: \"Gate\") { name } }",
        "query ($p: Page = {size: 1}) { gates(page: $p) { name } }",
        "{ hours terminals { name } terminals { level } }",
        "query ($s: Int = 3) { gates(page: {size: $s}) { name } }"})
    EXPECT_EQ(mistakes(good), std::vector<std::string>{}) << good;
}
TEST(Validation, EachRule) {
  const std::vector<std::pair<std::string, std::string>> all{
      {"{ nothing }", "Cannot query field \"nothing\" on type \"Query\"."},
      {"{ terminal { name } }", "Argument \"code\" of type \"ID!\" is required, but it was not provided."},
      {"{ terminal(code: 1, kode: 2) { name } }", "Unknown argument \"kode\" on field \"Query.terminal\"."},
      {"{ terminal(code: 1, code: 2) { name } }", "There can be only one argument named \"code\"."},
      {"{ terminal(code: 1.5) { name } }", "Expected value of type \"ID!\", found \"1.5\"."},
      {"{ terminal(code: null) { name } }", "Expected value of type \"ID!\", found null."},
      {"{ terminals(first: 2147483648) { name } }",
       "Int cannot represent non 32-bit signed integer value: 2147483648"},
      {"{ gates(page: {size: 1, to: 2}) { name } }", "Field \"to\" is not defined by type \"Page\"."},
      {"{ gates(page: {from: 1}) { name } }",
       "Field \"Page.size\" of required type \"Int!\" was not provided."},
      {"{ gates(page: {size: 1, size: 1}) { name } }", "There can be only one input field named \"size\"."},
      {"{ terminals }", "Field \"terminals\" of type \"[Terminal!]!\" must have a selection of subfields."},
      {"{ hours { a } }",
       "Field \"hours\" must not have a selection since type \"[Int!]!\" has no subfields."},
      {"{ ...F }", "Unknown fragment \"F\"."},
      {"{ ...F } fragment F on Query { ...G } fragment G on Query { ...F }",
       "Cannot spread fragment \"F\" within itself."},
      {"{ hours } fragment F on Nothing { a }", "Unknown type \"Nothing\"."},
      {"{ hours } fragment F on Page { a }",
       "Fragment \"F\" cannot condition on non composite type \"Page\"."},
      {"{ ... on Gate { name } }",
       "Fragment cannot be spread here as objects of type \"Query\" can never be of type \"Gate\"."},
      {"{ hours } fragment F on Query { hours } fragment F on Query { hours }",
       "There can be only one fragment named \"F\"."},
      {"query A { hours } query A { hours }", "There can be only one operation named \"A\"."},
      {"{ hours } query A { hours }", "This anonymous operation must be the only defined operation."},
      {"query ($a: Int, $a: Int) { hours }", "There can be only one variable named \"$a\"."},
      {"query ($a: Gate) { hours }", "Variable \"$a\" cannot be non-input type \"Gate\"."},
      {"query ($a: What) { hours }", "Unknown type \"What\"."},
      {"query ($a: Int = \"x\") { hours }", "Expected value of type \"Int\", found \"x\"."},
      {"{ terminals(first: $n) { name } }", "Variable \"$n\" is not defined."},
      {"query Q { ...F } fragment F on Query { terminals(first: $n) { name } }",
       "Variable \"$n\" is not defined by operation \"Q\"."},
      {"query ($n: String) { terminals(first: $n) { name } }",
       "Variable \"$n\" of type \"String\" used in position expecting type \"Int\"."},
      {"query ($n: Int) { gates(page: {size: $n}) { name } }",
       "Variable \"$n\" of type \"Int\" used in position expecting type \"Int!\"."},
      {"query ($n: [Int]) { terminals(first: $n) { name } }",
       "Variable \"$n\" of type \"[Int]\" used in position expecting type \"Int\"."},
      {"{ hours @nope }", "Unknown directive \"@nope\"."},
      {"query @skip(if: true) { hours }", "Directive \"@skip\" may not be used on QUERY."},
      {"{ hours @skip(if: true) @skip(if: true) }",
       "The directive \"@skip\" can only be used once at this location."},
      {"{ hours @include }", "Argument \"if\" of type \"Boolean!\" is required, but it was not provided."},
      {"subscription { moved { name } other: moved { name } }",
       "A subscription must select only one top level field."},
      {"subscription { ...F } fragment F on Subscription { a: moved { name } moved { name } }",
       "A subscription must select only one top level field."},
  };
  for (const auto& [text, message] : all) {
    const auto found = mistakes(text);
    ASSERT_FALSE(found.empty()) << text;
    EXPECT_EQ(found[0], message) << text;
  }
}
TEST(Validation, OverlappingFields) {
  const auto conflict = [](const std::string& text) { return !mistakes(text).empty(); };
  EXPECT_TRUE(conflict("{ a: hours a: terminals { name } }"));
  EXPECT_TRUE(conflict("{ terminals(first: 1) { name } terminals(first: 2) { name } }"));
  EXPECT_TRUE(conflict("{ terminals { name } terminals(first: 2) { name } }"));
  EXPECT_TRUE(
      conflict("query ($a: Int, $b: Int) { terminals(first: $a) { name } terminals(first: $b) { name } }"));
  EXPECT_FALSE(conflict("query ($a: Int) { terminals(first: $a) { name } terminals(first: $a) { level } }"));
  EXPECT_TRUE(conflict("{ terminals { x: name } terminals { x: level } }"));  // deeper
  EXPECT_TRUE(conflict("{ ...F terminals { x: level } } fragment F on Query { terminals { x: name } }"));
  // On different object types the names may differ, not the shapes.
  EXPECT_FALSE(conflict("{ search(text: \"\") { ... on Gate { x: name } ... on Terminal { x: name } } }"));
  EXPECT_TRUE(conflict("{ search(text: \"\") { ... on Gate { x: name } ... on Terminal { x: level } } }"));
  EXPECT_TRUE(conflict("{ search(text: \"\") { x: name ... on Terminal { x: __typename } } }"));
  EXPECT_TRUE(
      conflict("{ search(text: \"\") { ... on Gate { x: terminal { y: name } } ... on Terminal { x: map { y: "
               "id } } } }"));  // String! and ID!
}
TEST(Validation, BombsAreRefusedOrCheap) {
  // 2^40 spreads if each were followed.
  std::string bomb = "{ ...F0 } ";
  for (int i = 0; i < 40; ++i)
    bomb += "fragment F" + std::to_string(i) + " on Query { ...F" + std::to_string(i + 1) + " ...F" +
            std::to_string(i + 1) + " } ";
  bomb += "fragment F40 on Query { hours }";
  EXPECT_EQ(mistakes(bomb), std::vector<std::string>{});
  std::string nested = "{ terminal(code: 1) { ...G0 } } ";
  for (int i = 0; i < 60; ++i)
    nested += "fragment G" + std::to_string(i) + " on Terminal { a: gates(first: 9) { terminal { ...G" +
              std::to_string(i + 1) + " } } b: gates(first: 9) { terminal { ...G" + std::to_string(i + 1) +
              " } } } ";
  nested += "fragment G60 on Terminal { name }";
  const auto d = Document::executable(nested);
  ASSERT_TRUE(d.good());
  const auto errors = validate(schema(), d, {.work = 100'000, .depth = 1000, .errors = 20});
  EXPECT_TRUE(errors.empty()) << errors[0].message;
  std::vector<Error> none;
  const auto cost = cost_of(schema(), d, d.operations()[0], {}, {.depth = 1000});
  EXPECT_TRUE(cost.errors.empty()) << cost.errors[0].message;
  EXPECT_EQ(cost.type, 1e15);  // 18^60 ends where sums end
  std::string chain = "{ ...C0 } ";
  for (int i = 0; i < 900; ++i)
    chain += "fragment C" + std::to_string(i) + " on Query { ...C" + std::to_string(i + 1) + " } ";
  chain += "fragment C900 on Query { hours }";
  EXPECT_LE(mistakes(chain).size(), 1U);
}

// ---- Cost ------------------------------------------------------------------------------------------------------

Variables variables(const std::map<std::string, Constant>& all) { return {all.begin(), all.end()}; }
Constant integer(const std::string& text) { return {ValueKind::integer, text, {}, {}}; }
Constant boolean(bool b) { return {ValueKind::boolean, b ? "true" : "false", {}, {}}; }

Cost cost(const std::string& text, const Variables& given = {}) {
  const auto d = Document::executable(text);
  EXPECT_TRUE(d.good()) << text;
  const auto wrong = validate(schema(), d);
  EXPECT_TRUE(wrong.empty()) << text << ": " << (wrong.empty() ? "" : wrong[0].message);
  Cost c;
  const auto all = coerced(schema(), d.operations()[0], given, c.errors);
  return c.errors.empty() ? cost_of(schema(), d, d.operations()[0], all) : c;
}
std::string costs(const std::string& text, const Variables& given = {}) {
  const auto c = cost(text, given);
  if (!c.errors.empty()) return c.errors[0].message;
  char shown[80];
  std::snprintf(shown, sizeof shown, "%g %g", c.type, c.field);
  return shown;
}
TEST(CostOf, TheSpecificationsOwnTerms) {
  EXPECT_EQ(costs("{ hours }"), "1 0");  // the root type; a list of scalars
  EXPECT_EQ(costs("{ terminal(code: 1) { name level } }"),
            "3 1");  // root 1, Terminal 2; one field that returns a composite type
  EXPECT_EQ(costs("{ terminals(first: 3) { name } }"), "7 1");  // 1 + 3 x 2
  EXPECT_EQ(costs("{ terminals { name } }"), "17 1");           // assumed: 8
  EXPECT_EQ(costs("{ terminals(first: 3) { gates(first: 4) { name } } }"),
            "19 4");  // 1 + 3 x (2 + 4 x 1); 1 + 3 x 1
  EXPECT_EQ(costs("{ terminals(first: 3) { gates(first: 4) { route(to: 1) { steps } } } }"),
            "31 40");                              // routes weigh 3 x 12
  EXPECT_EQ(costs("{ grid { name } }"), "101 1");  // 10 of 10, as nothing is said of it
  EXPECT_EQ(costs("mutation { gateNotice(gate: 1, text: \"\") { name } }"), "2 5");
  EXPECT_EQ(costs("mutation { planCorrection(plan: 1, note: {text: \"\", at: {size: 1}}) { id big } }"),
            "2 13");  // note 1, at 1, big 10
}
TEST(CostOf, SlicingAndSizedFields) {
  EXPECT_EQ(costs("{ gates(page: {size: 7}) { name } }"), "8 2");         // the input object weighs 1
  EXPECT_EQ(costs("{ plans(first: 5) { nodes { id } total } }"), "7 2");  // the connection 1, its nodes 5
  EXPECT_EQ(costs("{ plans { nodes { id } } }"), "6 2");                  // the argument's default: 4
  EXPECT_EQ(costs("{ terminals(first: 2, last: 5) { name } }"), "11 1");  // the larger one
  EXPECT_EQ(costs("query ($n: Int) { plans(first: $n) { nodes { id } } }", variables({{"n", {}}})),
            "Field \"plans\" must be given exactly one of its slicing arguments.");  // null
}
TEST(CostOf, VariablesThatSetSizes) {
  const std::string q = "query ($n: Int = 2) { terminals(first: $n) { name } }";
  EXPECT_EQ(costs(q), "5 1");
  EXPECT_EQ(costs(q, variables({{"n", integer("6")}})), "13 1");
  EXPECT_EQ(costs(q, variables({{"n", integer("0")}})), "1 1");
  EXPECT_EQ(costs(q, variables({{"n", {}}})), "17 1");  // null: the assumed size
  EXPECT_EQ(costs(q, variables({{"n", integer("-1")}})),
            "Field \"terminals\" can't have a slicing argument below 0.");
  EXPECT_EQ(costs(q, variables({{"n", integer("2147483647")}})), "4.29497e+09 1");
  EXPECT_EQ(
      costs(q, variables({{"n", integer("2147483648")}})),
      "Variable \"$n\" got invalid value; Int cannot represent non 32-bit signed integer value: 2147483648");
  EXPECT_EQ(costs("query ($n: Int!) { terminals(first: $n) { name } }"),
            "Variable \"$n\" of required type \"Int!\" was not provided.");
  EXPECT_EQ(costs("query ($s: Int!) { gates(page: {size: $s}) { name } }", variables({{"s", integer("9")}})),
            "10 2");
}
TEST(CostOf, FragmentsAliasesAndConditions) {
  EXPECT_EQ(costs("{ a: terminals(first: 3) { name } b: terminals(first: 3) { name } }"),
            "13 2");  // each alias
  EXPECT_EQ(
      costs(
          "{ ...F ...F terminals(first: 3) { level } } fragment F on Query { terminals(first: 3) { name } }"),
      "7 1");  // one field
  // The same field under two fragments, each let in by its own variable.
  const std::string
      q = "query ($a: Boolean!, $b: Boolean!) { ...A @include(if: $a) ...B @skip(if: $b) } fragment A on "
          "Query { terminals(first: 3) { name } } "
          "fragment B on Query { terminals(first: 3) { gates(first: 2) { name } } }";
  EXPECT_EQ(costs(q, variables({{"a", boolean(true)}, {"b", boolean(false)}})), "13 4");
  EXPECT_EQ(costs(q, variables({{"a", boolean(true)}, {"b", boolean(true)}})), "7 1");
  EXPECT_EQ(costs(q, variables({{"a", boolean(false)}, {"b", boolean(true)}})), "1 0");
  // Of an abstract type the dearest possible one: Terminals weigh 2 and have gates.
  EXPECT_EQ(costs("{ search(text: \"\") { name } }"), "11 1");
  EXPECT_EQ(
      costs("{ search(text: \"\") { ... on Terminal { gates(first: 2) { name } } ... on Gate { level } } }"),
      "21 6");
}
TEST(CostOf, NeverBelowZeroAndNeverWithoutEnd) {
  std::vector<Error> errors;
  const auto s = Schema::read(
      "type Query { a: [Query!]! @listSize(assumedSize: 2147483647) b: Int @cost(weight: \"-5\") }", errors);
  ASSERT_TRUE(s);
  std::string text = "b";
  for (int i = 0; i < 40; ++i) text = "a { " + text + " }";
  const auto d = Document::executable("{ " + text + " }");
  const auto c = cost_of(*s, d, d.operations()[0], {});
  EXPECT_EQ(c.type, 1e15);
  EXPECT_EQ(c.field, 1e15);
  const auto e = Document::executable("{ b }");
  EXPECT_EQ(cost_of(*s, e, e.operations()[0], {}).field, 0);
}

}  // namespace
}  // namespace docklift::graphql

namespace docklift::graphql {
namespace {

// ---- What an answer shows ---------------------------------------------------------------------------------------

Counted answered(const std::string& query, const std::string& answer) {
  const auto d = Document::executable(query);
  EXPECT_TRUE(d.good() && validate(schema(), d).empty()) << query;
  return counted(schema(), d, d.operations()[0], {}, answer);
}
TEST(Answers, AreCountedByWhatCameBack) {
  const std::string
      q = "{ terminals(first: 50) { n: name gates(first: 9) { name route(to: 1) { steps } } } }";
  const auto a = answered(
      q,
      R"({"data":{"terminals":[{"n":"a","gates":[{"name":"1","route":{"steps":["x","y"]}},{"name":"2","route":null}]},{"n":"b","gates":[]}]}})");
  EXPECT_TRUE(a.whole && a.has_data && !a.has_errors);
  EXPECT_EQ(a.cost.type, 1 + 2 * 2 + 2 + 1);   // root, two terminals, two gates, one route
  EXPECT_EQ(a.cost.field, 1 + 2 * 1 + 2 * 3);  // the list; each terminal's gates; each gate's route
  EXPECT_EQ(answered(q, R"({"data":{"terminals":[]}})").cost.type, 1);
  EXPECT_EQ(answered(q, R"({"data":{"terminals":null},"errors":[{"message":"no"}]})").cost.type, 1);
}
TEST(Answers, AbstractTypesCountAsTheDearest) {
  const std::string q = "{ search(text: \"\") { name ... on Terminal { gates(first: 1) { name } } } }";
  EXPECT_EQ(
      answered(q, R"({"data":{"search":[{"name":"a"},{"name":"b","gates":[{"name":"c"}]}]}})").cost.type,
      1 + 2 * 2 + 1);
}
TEST(Answers, WhatIsNotInTheQueryCountsNothing) {
  EXPECT_EQ(
      answered(
          "{ hours }",
          R"({"x":{"data":{"hours":[{}]}},"data":{"hours":[1,2],"terminals":[{},{}]},"extensions":{"data":{}}})")
          .cost.type,
      1);
}
TEST(Answers, TheServersWord) {
  EXPECT_EQ(answered("{ hours }", R"({"data":{},"extensions":{"cost":3.5}})").told, 3.5);
  EXPECT_EQ(answered("{ hours }", R"({"data":{},"extensions":{"cost":{"requested":9,"actual":4}}})").told, 4);
  EXPECT_EQ(answered("{ hours }", R"({"data":{},"extensions":{"cost":{"typeCost":2}}})").told, 2);
  for (const auto* bad :
       {R"({"extensions":{"cost":-1}})", R"({"extensions":{"cost":"4"}})",
        R"({"extensions":{"cost":{"x":{"actual":4}}}})", R"({"extensions":{"x":{"cost":4}}})",
        R"({"cost":4})", R"({"extensions":{"cost":[4]}})"})
    EXPECT_FALSE(answered("{ hours }", bad).told) << bad;
  EXPECT_FALSE(answered("{ hours }", R"({"extensions":{"cost":1e999}})").told);
}
TEST(Answers, WhatCannotBeReadIsChargedWhole) {
  const std::string whole = R"({"data":{"terminals":[{"name":"gate A"}]}})";
  const std::string q = "{ terminals(first: 50) { name } }";
  EXPECT_EQ(charged(answered(q, whole), 101, false), 3);
  for (std::size_t cut = 0; cut < whole.size(); ++cut)
    ASSERT_EQ(charged(answered(q, whole.substr(0, cut)), 101, false), 101) << cut;
  for (const auto* bad :
       {"[]", "1", "\"x\"", "{\"data\":{}}x", "{\"data\":{\"terminals\":[{\"name\":\"\xFF\"}]}}",
        "{\"errors\":[]}", "{\"data\":null}"})
    EXPECT_EQ(charged(answered(q, bad), 101, false), 101) << bad;
  std::string deep = "{\"data\":";
  for (int i = 0; i < 100'000; ++i) deep += "[";
  EXPECT_EQ(charged(answered(q, deep), 101, false), 101);
  EXPECT_EQ(charged(answered(q, R"({"data":{"terminals":[]},"extensions":{"cost":1e12}})"), 101, true),
            101);  // absurd
  EXPECT_EQ(charged(answered(q, R"({"data":{"terminals":[]},"extensions":{"cost":-7}})"), 101, true), 1);
  EXPECT_EQ(charged(answered(q, R"({"data":{"terminals":[]},"extensions":{"cost":40}})"), 101, true), 40);
  EXPECT_EQ(charged(answered(q, R"({"data":{"terminals":[]},"extensions":{"cost":40}})"), 101, false), 1);
}
// The bound that was told before is never below what an answer within it shows.
TEST(Answers, NeverAboveTheBound) {
  std::mt19937 random(3);
  for (int i = 0; i < 300; ++i) {
    const auto first = 1 + random() % 6, gates = 1 + random() % 4;
    const std::string q = "{ terminals(first: " + std::to_string(first) +
                          ") { name gates(first: " + std::to_string(gates) +
                          ") { name level } } plans(first: 3) { nodes { id } } }";
    std::string a = "{\"data\":{\"terminals\":[";
    for (auto t = random() % (first + 1), n = t; n > 0; --n) {
      a += std::string(n == t ? "" : ",") + "{\"name\":\"t\",\"gates\":[";
      for (auto g = random() % (gates + 1), m = g; m > 0; --m)
        a += std::string(m == g ? "" : ",") + "{\"name\":\"g\",\"level\":\"ARRIVALS\"}";
      a += "]}";
    }
    a += "],\"plans\":{\"nodes\":[{\"id\":1}]}}}";
    const auto shown = answered(q, a);
    ASSERT_TRUE(shown.whole) << a;
    const auto bound = cost(q);
    ASSERT_LE(shown.cost.type, bound.type);
    ASSERT_LE(shown.cost.field, bound.field);
  }
}

}  // namespace
}  // namespace docklift::graphql

namespace docklift::graphql {
namespace {

// ---- Requests over HTTP ------------------------------------------------------------------------------------------

Decoded post(const std::string& body, const std::string& type = "application/json",
             const std::string& accept = "") {
  return decode({"POST", "/graphql", type, accept, body});
}
Decoded get(const std::string& target) { return decode({"GET", target, "", "", ""}); }

TEST(Requests, PostAndGet) {
  auto d = post(
      R"({"query":"{ hours }","operationName":"A","variables":{"a":1,"b":[true,null,2.5,3.0],"c":{"d":"x"}}})");
  ASSERT_EQ(d.calls.size(), 1U);
  EXPECT_EQ(d.calls[0].operation, "A");
  EXPECT_EQ(d.calls[0].variables.at("a").kind, ValueKind::integer);
  EXPECT_EQ(d.calls[0].variables.at("b").items[2].kind, ValueKind::real);
  EXPECT_EQ(d.calls[0].variables.at("b").items[3].kind, ValueKind::integer);  // 3.0
  EXPECT_EQ(d.calls[0].variables.at("c").fields[0].second.text, "x");
  d = get(
      "/graphql?query=query%20A(%24n%3AInt)%7Bterminals(first%3A%24n)%7Bname%7D%7D&variables=%7B%22n%22%3A2%"
      "7D&operationName=A&other=1");
  ASSERT_EQ(d.calls.size(), 1U) << d.errors[0].message;
  EXPECT_EQ(d.calls[0].query, "query A($n:Int){terminals(first:$n){name}}");
  EXPECT_EQ(d.calls[0].variables.at("n").text, "2");
  EXPECT_TRUE(d.get);
}
TEST(Requests, StatusOfWhatCannotBeRead) {
  EXPECT_EQ(post("{").status, 400);
  EXPECT_EQ(post("\xEF\xBB\xBF{\"query\":\"{ hours }\"}").status, 200);  // a byte-order mark is passed over
  EXPECT_EQ(post("{\"query\":\"\xFF\"}").status, 400);
  EXPECT_EQ(post("{}").status, 400);
  EXPECT_EQ(post("1").status, 400);
  EXPECT_EQ(post("{\"query\":1}").status, 400);
  EXPECT_EQ(post("{\"query\":\"{ hours }\",\"variables\":[1]}").status, 400);
  EXPECT_EQ(post("{\"query\":\"{ hours "
                 "}\",\"extensions\":{\"persistedQuery\":{\"version\":2,\"sha256Hash\":\"a\"}}}")
                .status,
            400);
  EXPECT_EQ(post("{\"query\":\"{ hours }\"}", "text/plain").status, 415);
  EXPECT_EQ(post("{\"query\":\"{ hours }\"}", "application/json; charset=latin1").status, 415);
  EXPECT_EQ(post("{\"query\":\"{ hours }\"}", "application/json; charset=utf-8").status, 200);
  EXPECT_EQ(post("[]").status, 400);
  EXPECT_EQ(decode({"PUT", "/graphql", "", "", ""}).status, 405);
  EXPECT_EQ(get("/graphql").status, 400);
  EXPECT_EQ(get("/graphql?query=%zz").status, 400);
  EXPECT_EQ(get("/graphql?query=%7Ba%7D&variables=%7B").status, 400);
  std::string deep;
  for (int i = 0; i < 10'000; ++i) deep += "[";
  EXPECT_EQ(post("{\"query\":\"{ hours }\",\"variables\":{\"a\":" + deep).status, 400);
}
TEST(Requests, BatchesAreBounded) {
  std::string all = "[";
  for (int i = 0; i < 1000; ++i) all += std::string(i == 0 ? "" : ",") + "{\"query\":\"{ hours }\"}";
  EXPECT_EQ(post(all + "]").status, 413);
  const auto d = post(R"([{"query":"{ hours }"},{"query":1},{}])");  // what is wrong in one is that one's
  EXPECT_EQ(d.status, 200);
  ASSERT_EQ(d.calls.size(), 3U);
  EXPECT_TRUE(d.calls[0].errors.empty());
  EXPECT_FALSE(d.calls[1].errors.empty());
  EXPECT_FALSE(d.calls[2].errors.empty());
}
TEST(Requests, StatusFollowsTheMediaType) {
  const std::vector<Error> wrong{{"x", {}, {}, "GRAPHQL_VALIDATION_FAILED"}};
  EXPECT_EQ(status_of(post("{\"query\":\"{ a }\"}"), wrong), 200);
  EXPECT_EQ(
      status_of(post("{\"query\":\"{ a }\"}", "application/json", "application/graphql-response+json, */*"),
                wrong),
      400);
  EXPECT_EQ(status_of(post("{\"query\":\"{ a }\"}"), {{"x", {}, {}, "METHOD_NOT_ALLOWED"}}), 405);
  EXPECT_EQ(status_of(post("{"), wrong), 400);
  EXPECT_EQ(media_type_of(post("{}", "application/json", "application/graphql-response+json")),
            "application/graphql-response+json; charset=utf-8");
}

struct Planned {
  DocumentCache documents{schema(), {}, {}, 1 << 20};
  PersistedQueries persisted{1000};
  PlanOptions options;
  Plan plan(const Call& call, bool as_get = false) {
    return plan_of(schema(), documents, persisted, call, as_get, options);
  }
  Plan plan(const std::string& query, const std::string& operation = "") {
    return plan(Call{query, operation, "", {}, "", {}});
  }
  std::string code(const Call& call) {
    const auto p = plan(call);
    return p.errors.empty() ? "" : p.errors[0].code;
  }
};
TEST(Plans, ClassesByRootFields) {
  Planned x;
  x.options.keyed = {"planCorrection"};
  EXPECT_EQ(x.plan("{ hours }").effect, OperationEffect::safe);
  EXPECT_EQ(x.plan("mutation { planCorrection(plan: 1) { id } }").effect, OperationEffect::keyed);
  EXPECT_EQ(x.plan("mutation { gateNotice(gate: 1, text: \"\") { name } }").effect, OperationEffect::unsafe);
  EXPECT_EQ(x.plan("mutation { planCorrection(plan: 1) { id } ...F } fragment F on Mutation { "
                   "gateNotice(gate: 1, text: \"\") { name } }")
                .effect,
            OperationEffect::unsafe);  // as its worst, wherever that stands
  EXPECT_EQ(x.plan("mutation { planCorrection(plan: 1) { id } gateNotice(gate: 1, text: \"\") @skip(if: "
                   "true) { name } }")
                .effect,
            OperationEffect::keyed);
  EXPECT_EQ(
      x.plan(Call{"mutation { planCorrection(plan: 1) { id } }", "", "", {}, "", {}}, true).errors[0].code,
      "METHOD_NOT_ALLOWED");
  EXPECT_EQ(x.plan("subscription { moved { name } }").errors.size(), 1U);
}
TEST(Plans, OperationsAndUnits) {
  Planned x;
  const std::string two = "query A { hours } query B { terminals(first: 4) { name } }";
  EXPECT_EQ(x.plan(two).errors[0].message,
            "Must provide operation name if query contains multiple operations.");
  EXPECT_EQ(x.plan(two, "C").errors[0].message, "Unknown operation named \"C\".");
  EXPECT_EQ(x.plan(two, "B").units, 9);
  EXPECT_EQ(x.documents.hits(), 2U);
  x.options.by_field_cost = true, x.options.units_each = 0.5, x.options.least_units = 2;
  EXPECT_EQ(x.plan(two, "B").units, 2);
  EXPECT_TRUE(x.plan("{ __schema { types { name } } t: __typename }").only_introspection);
  EXPECT_FALSE(x.plan("{ hours __typename }").only_introspection);
  x.options.introspection = false;
  EXPECT_EQ(x.plan("{ __schema { types { name } } }").errors[0].code, "INTROSPECTION_DISABLED");
  EXPECT_TRUE(x.plan("{ hours __typename }").errors.empty());
}
TEST(Plans, PersistedQueries) {
  if (!sha256("")) GTEST_SKIP() << "no library for hashes in this build";
  EXPECT_EQ(sha256("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  Planned x;
  const std::string text = "{ hours }", hash = *sha256(text);
  EXPECT_EQ(x.code({"", "", hash, {}, "", {}}), "PERSISTED_QUERY_NOT_FOUND");
  EXPECT_EQ(x.code({"{ hours hours }", "", hash, {}, "", {}}), "PERSISTED_QUERY_HASH_MISMATCH");
  EXPECT_EQ(x.code({"", "", hash, {}, "", {}}), "PERSISTED_QUERY_NOT_FOUND");  // and is not kept
  EXPECT_EQ(x.code({text, "", hash, {}, "", {}}), "");
  EXPECT_EQ(x.code({"", "", hash, {}, "", {}}), "");
  for (int i = 0; i < 50; ++i) {  // bounded: the one used last stays
    const std::string other = "{ hours } # " + std::to_string(i);
    EXPECT_EQ(x.code({other, "", *sha256(other), {}, "", {}}), "");
    EXPECT_EQ(x.code({"", "", hash, {}, "", {}}), "");
    EXPECT_LE(x.persisted.bytes(), 1000U);
  }
  const std::string first = "{ hours } # 0";
  EXPECT_EQ(x.code({"", "", *sha256(first), {}, "", {}}), "PERSISTED_QUERY_NOT_FOUND");
  // A list: nothing else is known or taken in.
  std::string why;
  EXPECT_FALSE(x.persisted.allow_only("[]", why));
  EXPECT_FALSE(x.persisted.allow_only("{\"00\":\"{ hours }\"}", why));
  ASSERT_TRUE(x.persisted.allow_only("{\"" + hash + "\":\"{ hours }\"}", why)) << why;
  EXPECT_EQ(x.code({"", "", hash, {}, "", {}}), "");
  EXPECT_EQ(x.code({text, "", "", {}, "", {}}), "");
  EXPECT_EQ(x.code({first, "", *sha256(first), {}, "", {}}), "PERSISTED_QUERY_NOT_FOUND");
  EXPECT_EQ(x.code({first, "", "", {}, "", {}}), "PERSISTED_QUERY_NOT_IN_LIST");
}
TEST(Plans, DocumentCacheIsBounded) {
  DocumentCache c(schema(), {}, {}, 8 * 100);
  for (int i = 0; i < 100; ++i) c.get("{ hours } # " + std::to_string(i));
  EXPECT_LE(c.size(), 9U);
  EXPECT_GT(c.size(), 3U);
  const auto kept = c.get("{ hours } # 99");
  for (int i = 0; i < 100; ++i) c.get("{ hours } # " + std::to_string(i));
  EXPECT_EQ(kept->document.operations().size(), 1U);  // whoever holds one keeps it
}
TEST(Plans, WhatGoesOnToAServer) {
  Planned x;
  const Call c{"{ a: hours }", "", "", {}, "{\"x\":1}", {}};
  EXPECT_EQ(forwarded(c, x.plan(c)), "{\"query\":\"{ a: hours }\",\"variables\":{\"x\":1}}");
}
TEST(OwnAnswers, AreGraphqlErrors) {
  EXPECT_EQ(
      error_answer({{"no \"x\"", {{1, 2}}, {"a"}, "C"}}),
      R"({"errors":[{"extensions":{"code":"C"},"locations":[{"column":2,"line":1}],"message":"no \"x\"","path":["a"]}]})");
  EXPECT_EQ(
      refusal("OVER_QUOTA", "m", 9, 4, 1.5),
      R"({"errors":[{"extensions":{"code":"OVER_QUOTA","cost":9.0,"limit":4.0,"retryAfter":1.5},"message":"m"}]})");
  EXPECT_EQ(refusal("TOO_DEAR", "m", 9, 4, 0).find("retryAfter"), std::string::npos);
  Planned x;
  EXPECT_EQ(dry_run(x.plan("{ terminals(first: 4) { name } }")),
            R"({"data":null,"extensions":{"cost":{"fieldCost":1.0,"typeCost":9.0,"units":9.0}}})");
}

std::string introspect(const std::string& query, std::size_t most = 200'000) {
  const auto d = Document::executable(query);
  EXPECT_TRUE(d.good() && validate(schema(), d).empty()) << query;
  return introspected(schema(), d, d.operations()[0], {}, most);
}
TEST(Introspection, TypesFieldsAndWrappings) {
  EXPECT_EQ(
      introspect("{ __type(name: \"Terminal\") { __typename kind name interfaces { name } } nope: "
                 "__type(name: \"X\") { name } __typename }"),
      R"({"data":{"__type":{"__typename":"__Type","kind":"OBJECT","name":"Terminal","interfaces":[{"name":"Place"}]},"nope":null,"__typename":"Query"}})");
  EXPECT_EQ(
      introspect("{ __type(name: \"Query\") { fields { ...F } } } fragment F on __Field { name type { kind "
                 "ofType { kind ofType { kind ofType { name } } } } }")
          .substr(0, 131),
      R"({"data":{"__type":{"fields":[{"name":"gates","type":{"kind":"LIST","ofType":{"kind":"OBJECT","ofType":null}}},{"name":"grid","type")");
  EXPECT_EQ(
      introspect(
          "{ __type(name: \"Page\") { inputFields { name defaultValue type { kind ofType { name } } } } }"),
      R"({"data":{"__type":{"inputFields":[{"name":"size","defaultValue":null,"type":{"kind":"NON_NULL","ofType":{"name":"Int"}}},)"
      R"({"name":"from","defaultValue":"0","type":{"kind":"SCALAR","ofType":null}}]}}})");
  EXPECT_EQ(
      introspect("{ __schema { queryType { name } mutationType { name } } __type(name: \"Level\") { "
                 "enumValues { name } } t: __type(name: \"Thing\") { possibleTypes { name } } }"),
      R"({"data":{"__schema":{"queryType":{"name":"Query"},"mutationType":{"name":"Mutation"}},"__type":{"enumValues":[{"name":"ARRIVALS"},{"name":"DEPARTURES"}]},)"
      R"("t":{"possibleTypes":[{"name":"Gate"},{"name":"Route"}]}}})");
}
TEST(Introspection, IsBounded) {
  std::string all = "name";
  for (int i = 0; i < 8; ++i) all = "fields { type { possibleTypes { " + all + " } } }";
  all = "{ __schema { types { " + all + " } } }";
  EXPECT_EQ(introspect(all, 200).substr(0, 11), "{\"errors\":[");
}

TEST(Batches, QueriesSideBySideMutationsInOrder) {
  Batch b({false, true, false, true, true});
  EXPECT_EQ(b.start(), (std::vector<std::size_t>{0, 1, 2}));
  EXPECT_TRUE(b.ended(2, "{\"c\":1}").empty());
  EXPECT_EQ(b.ended(1, "{\"b\":1}"), std::vector<std::size_t>{3});
  EXPECT_TRUE(b.ended(0, "cut \"in a str").empty());
  EXPECT_TRUE(b.ended(0, "{}").empty());  // a second answer says nothing
  EXPECT_EQ(b.ended(3, "{\"d\":1}"), std::vector<std::size_t>{4});
  EXPECT_FALSE(b.done());
  b.ended(4, "{\"e\":1}");
  ASSERT_TRUE(b.done());
  EXPECT_EQ(b.answer(), "[" + error_answer({{"The server's answer can't be read.", {}, {}, "BAD_GATEWAY"}}) +
                            ",{\"b\":1},{\"c\":1},{\"d\":1},{\"e\":1}]");
}
TEST(Batches, RandomOrdersAnswerEachOnceInOrder) {
  for (unsigned seed = 1; seed <= 500; ++seed) {
    std::mt19937 random(seed);
    std::vector<bool> order(1 + random() % 12);
    for (auto&& o : order) o = random() % 2 == 0;
    Batch b(order);
    auto out = b.start();
    std::vector<int> begun(order.size());
    std::size_t last_in_order = 0, in_order_out = 0;
    for (const auto i : out) ++begun[i], in_order_out += order[i];
    ASSERT_LE(in_order_out, 1U);
    while (!out.empty()) {
      const auto at = random() % out.size();
      const auto i = out[at];
      out.erase(out.begin() + static_cast<std::ptrdiff_t>(at));
      for (const auto next : b.ended(i, std::to_string(i))) {
        ASSERT_TRUE(order[i] && order[next] && next > i && next >= last_in_order);
        last_in_order = next;
        ++begun[next];
        out.push_back(next);
      }
    }
    ASSERT_TRUE(b.done());
    std::string wanted = "[";
    for (std::size_t i = 0; i < order.size(); ++i) {
      ASSERT_EQ(begun[i], 1);
      wanted += std::string(i == 0 ? "" : ",") + std::to_string(i);
    }
    ASSERT_EQ(b.answer(), wanted + "]");
  }
}

}  // namespace
}  // namespace docklift::graphql
