// build/graphql_cost SCHEMA.graphql [--variables FILE] [--operation NAME] [--list-size N] < QUERY
//
// Prints one JSON object: {"valid":true,"cost":{"type":..,"field":..},"operation":".."} or {"valid":false,"errors":[..]}.
// Exit 0 if the query is valid, 1 if it is not, 2 if a file can't be read.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "graphql/request.hpp"

int main(int argc, char** argv) {
  using namespace docklift::graphql;
  using nlohmann::ordered_json;
  std::string schema_file, variables_file, operation;
  double list_size = CostOptions().list_size;
  CLI::App app("What a GraphQL query costs, by IBM's cost directives");
  app.add_option("schema", schema_file, "SDL")->required();
  app.add_option("--variables", variables_file, "JSON object");
  app.add_option("--operation", operation, "its name, where there are several");
  app.add_option("--list-size", list_size, "of a list that nothing is said of")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  const auto read = [](std::istream&& in) {
    std::stringstream all;
    all << in.rdbuf();
    return all.str();
  };
  std::ifstream file(schema_file);
  std::vector<Error> errors;
  const auto schema = file ? Schema::read(read(std::move(file)), errors) : std::nullopt;
  if (!schema) {
    std::cerr << schema_file << ": " << (errors.empty() ? "can't be read" : errors[0].message) << '\n';
    return 2;
  }
  ordered_json variables = ordered_json::object();
  if (!variables_file.empty()) {
    variables = ordered_json::parse(read(std::ifstream(variables_file)), nullptr, false);
    if (!variables.is_object()) {
      std::cerr << variables_file << ": is no JSON object\n";
      return 2;
    }
  }
  std::stringstream query;
  query << std::cin.rdbuf();
  const ordered_json body{{"query", query.str()}, {"operationName", operation}, {"variables", variables}};
  const auto decoded = decode({"POST", "/", "application/json", "",
                               body.dump(-1, ' ', false, ordered_json::error_handler_t::replace)});
  DocumentCache documents(*schema, {}, {}, 0);
  PersistedQueries persisted(0);
  PlanOptions options;
  options.cost.list_size = list_size;
  Plan plan;
  if (decoded.calls.empty())
    plan.errors = decoded.errors;
  else
    plan = plan_of(*schema, documents, persisted, decoded.calls[0], false, options);
  if (!plan.errors.empty()) {
    auto out = ordered_json::parse(error_answer(plan.errors));
    for (auto& e : out["errors"]) e.erase("extensions");
    std::cout << ordered_json{{"valid", false}, {"errors", out["errors"]}}.dump() << '\n';
    return 1;
  }
  std::cout << ordered_json{{"valid", true},
                            {"cost", {{"type", plan.cost.type}, {"field", plan.cost.field}}},
                            {"operation", std::string(plan.operation->name)}}
                   .dump()
            << '\n';
  return 0;
}
