#include "graphql_input.hpp"

#include <cmath>
#include <cstdio>
#include <cstdlib>

#include "graphql/cost.hpp"
#include "graphql/introspect.hpp"
#include "graphql/request.hpp"
#include "graphql/validate.hpp"

namespace docklift::fuzz {

namespace {

using namespace docklift::graphql;

void must(bool holds, const char* what) {
  if (holds) return;
  std::fprintf(stderr, "graphql_input: %s\n", what);
  std::abort();
}

const Schema& schema() {
  static const Schema s = [] {
    std::vector<Error> errors;
    auto read = Schema::read(R"(
      directive @mark(text: String, of: [Filter!]) repeatable on FIELD | QUERY
      type Query { all(first: Int, filter: Filter): [A!]! @listSize(slicingArguments: ["first", "filter.most"], assumedSize: 5,
                     requireOneSlicingArgument: false)
                   one(id: ID!, kind: Kind = X): A node: Node thing: Thing n: Int page: Page @listSize(assumedSize: 9, sizedFields: ["items"]) }
      type Mutation { change(text: String!, list: [[Int!]]): A }
      type Subscription { told: A }
      input Filter { most: Int not: Filter kinds: [Kind!] = [X] price: Float @cost(weight: "2.5") }
      enum Kind { X Y }
      scalar Anything
      interface Node { id: ID kids(first: Int = 3): [Node] @listSize(slicingArguments: ["first"]) }
      type A implements Node { id: ID b: B any(x: Anything): Anything kids(first: Int = 3): [Node] @listSize(slicingArguments: ["first"]) }
      type B implements Node @cost(weight: "3") { id: ID a: A other: String kids(first: Int = 3): [Node] @listSize(slicingArguments: ["first"]) }
      type Page { items: [A] total: Int }
      union Thing = A | B)", errors);
    must(read.has_value(), "the schema is good");
    return std::move(*read);
  }();
  return s;
}

// A valid document's operations: costs are bounds, what is charged never passes them.
void cost(const Document& d) {
  for (const auto& o : d.operations()) {
    std::vector<Error> wrong;
    const auto variables = coerced(schema(), o, {}, wrong);
    if (!wrong.empty()) continue;
    const CostOptions options{.work = 20'000};
    const auto c = cost_of(schema(), d, o, variables, options);
    if (!c.errors.empty()) continue;
    must(std::isfinite(c.type) && c.type >= 0 && c.type <= options.most, "a type cost is a number from 0");
    must(std::isfinite(c.field) && c.field >= 0 && c.field <= options.most, "a field cost is a number from 0");
    for (const auto* answer : {R"({"data":{"all":[{"id":"1","kids":[{"id":"2"}]}],"one":{"b":{}},"thing":{}}})",
                               R"({"data":null,"errors":[{"message":"x"}],"extensions":{"cost":7}})", R"({"data":{"all":[)"}) {
      const auto shown = counted(schema(), d, o, variables, answer, options);
      for (const bool trusted : {false, true}) {
        const auto n = charged(shown, c.type, trusted);
        must(n >= 0 && n <= c.type, "what is charged is within the bound");
      }
    }
  }
}

}  // namespace

void graphql_input(std::string_view bytes) {
  if (bytes.empty()) return;
  const auto rest = bytes.substr(1);
  switch (bytes[0] % 4) {
    case 0: {  // a request's body, as a batch may have it
      const auto d = decode({"POST", "/graphql", "application/json", "", std::string(rest)});
      DocumentCache documents(schema(), {}, {}, 1 << 16);
      PersistedQueries persisted(1 << 16);
      for (const auto& call : d.calls) {
        const auto plan = plan_of(schema(), documents, persisted, call, false, {});
        must(!plan.errors.empty() || (plan.units >= 1 && std::isfinite(plan.units)), "a plan has units or errors");
        if (plan.errors.empty() && plan.only_introspection)
          must(!introspected(schema(), plan.parsed->document, *plan.operation, plan.variables, 10'000).empty(),
               "introspection has an answer");
      }
      return;
    }
    case 1: {  // a schema
      std::vector<Error> errors;
      const auto read = Schema::read(std::string(rest), errors);
      must(read.has_value() == errors.empty(), "a schema is good, or has errors");
      return;
    }
    default: {
      const auto d = Document::executable(std::string(rest));
      must(d.good() || (d.operations().empty() && d.fragments().empty()), "nothing is left of a bad document");
      if (!d.good()) return;
      const auto errors = validate(schema(), d, {.work = 20'000});
      if (errors.empty()) cost(d);
    }
  }
}

}  // namespace docklift::fuzz
