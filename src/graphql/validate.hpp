// The rules of the specification's chapter on validation that cost and safety rest on: known types, fields, arguments,
// fragments and directives; fragments without cycles and where they can apply; variables used, typed and in their place;
// leaf selections; overlapping fields that can be merged; single-root subscriptions; names that are unique; values of their
// types. Unused fragments and variables are let through: they cost nothing. No I/O.
#pragma once

#include <vector>

#include "graphql/document.hpp"
#include "graphql/schema.hpp"

namespace docklift::graphql {

struct ValidationLimits {
  std::size_t work = 100'000;  // steps of comparing and walking; what takes more is refused as too complex
  std::size_t depth = 128;     // of selections in each other, through fragments
  std::size_t errors = 20;     // told
};

// Empty: valid. The document must be good.
std::vector<Error> validate(const Schema& schema, const Document& document,
                            const ValidationLimits& limits = {});

// Whether a value is one of that type; otherwise why not. Variables within are passed over. `json`: it came as a variable's
// value, where an enumeration's stand as strings.
std::optional<std::string> misfit(const Schema& schema, const Constant& value, const TypeUse& type,
                                  bool json = false);

}  // namespace docklift::graphql
