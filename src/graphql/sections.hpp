// The section of the operator's file for GraphQL, and the front that it describes.
#pragma once

#include <memory>

#include "config/schema.hpp"
#include "graphql/front.hpp"

namespace docklift::graphql {

Section graphql_section();  // [graphql]

// None where no path is named. Throws std::runtime_error, naming the key and the reason, if the schema or the list can't be
// read, or a class is none of the platform's.
std::unique_ptr<GraphqlFront> front_of(const Config& config, snowknot::Node& node);

}  // namespace docklift::graphql
