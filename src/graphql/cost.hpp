// What a query costs at most, before it is sent: type cost and field cost as IBM's GraphQL Cost Directives specification
// has them, with variables and defaults applied. No I/O.
//
// A field's own weight, with those of its arguments, counts once for each object it is asked of; what it returns counts once
// for each element of its list. Weights: as @cost has them, else 1 for composite types, input objects and fields that
// return composite types, 0 for the others. The root operation type counts once. Fields of one response name are one
// field, as in execution, so the same field under two fragments counts once; an alias is a field of its own. Where an
// abstract type is returned, the dearest of the possible types counts.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "graphql/document.hpp"
#include "graphql/schema.hpp"

namespace docklift::graphql {

using Variables = std::map<std::string, Constant, std::less<>>;

struct CostOptions {
  double list_size = 10;       // of a list that nothing is said of
  double most = 1e15;          // where sums and products end
  std::size_t work = 200'000;  // steps; what takes more is refused
  std::size_t depth = 128;
};

struct Cost {
  double type = 0, field = 0;
  std::vector<Error> errors;  // no cost then
};

// The variables of an operation: those given, else their defaults. Mistakes as the specification has them for requests.
Variables coerced(const Schema& schema, const Operation& operation, const Variables& given,
                  std::vector<Error>& errors);

// The document must be valid, the variables coerced.
Cost cost_of(const Schema& schema, const Document& document, const Operation& operation,
             const Variables& variables, const CostOptions& options = {});

// What an answer shows to have run.
struct Counted {
  bool whole = false;  // it is one JSON object, read to its end; else nothing else here is to be relied on
  bool has_data = false, has_errors = false;
  Cost cost;  // by the objects and lists that came back in `data`
  std::optional<double>
      told;  // extensions.cost: a number, or an object with `actual` or `typeCost`; finite and not below 0
};

// Read once from front to end; no tree is built of it. Of an abstract type the dearest possible type counts.
Counted counted(const Schema& schema, const Document& document, const Operation& operation,
                const Variables& variables, std::string_view answer, const CostOptions& options = {});

// What is charged: by the server's own word or the answer's shape, never more than the bound; all of the bound where the
// answer doesn't show what ran.
double charged(const Counted& answer, double bound, bool trust_server);

// Whether @skip and @include let it in.
bool included(std::span<const Directive> directives, const Variables& variables);

}  // namespace docklift::graphql
