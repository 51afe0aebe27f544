// Introspection answered from the schema that costs are counted by, as the specification's chapter has it. Descriptions and
// reasons of deprecation are not kept, and null. No I/O.
#pragma once

#include <string>

#include "graphql/cost.hpp"

namespace docklift::graphql {

// The whole answer of a query whose root fields are __schema, __type and __typename; errors where it would be too large.
std::string introspected(const Schema& schema, const Document& document, const Operation& operation,
                         const Variables& variables, std::size_t most_values = 200'000);

}  // namespace docklift::graphql
