#include "graphql/sections.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "config/options.hpp"

namespace docklift::graphql {

namespace {

using namespace options;

std::string whole(const std::string& path, const char* key) {
  std::ifstream in(path);
  std::stringstream all;
  if (!in || !(all << in.rdbuf())) throw std::runtime_error(std::string(key) + ": can't read " + path);
  return all.str();
}

}  // namespace

Section graphql_section() {
  Section s{.name = "graphql", .doc = "GraphQL with a cost for each query, on a path of its own."};
  s.options = {
      text("path", docklift::Type::text, "", "Where it is answered, `/graphql` say; empty: nowhere."),
      text("upstream_path", docklift::Type::text, "/graphql",
           "Where the app servers answer it (POST, application/json)."),
      text("schema", docklift::Type::path, "", "The members' schema (SDL), with @cost and @listSize."),
      text("query_class", docklift::Type::text, "",
           "Class of queries, one of the platform's that is safe to repeat."),
      text("keyed_class", docklift::Type::text, "",
           "Class of mutations that drop repeats by their Idempotency-Key; empty: none do."),
      text("mutation_class", docklift::Type::text, "",
           "Class of all other mutations, one that is unsafe to repeat."),
      text("keyed_fields", docklift::Type::text, "",
           "Root fields of mutations that drop repeats, with spaces between."),
      text("allow_list", docklift::Type::path, "",
           "JSON object of SHA-256 and text: only these are answered. Empty: all are."),
      {.key = "units",
       .type = docklift::Type::choice,
       .fallback = std::string("type"),
       .doc = "What counts: type cost or field cost.",
       .reloadable = false,
       .choices = {"type", "field"}},
      number("points_per_unit", 1, 1, 1'000'000, "Points of cost for one unit of quota."),
      number("list_size", 10, 1, 1'000'000, "Of a list that nothing is said of."),
      flag(
          "trust_server", false,
          "An app server's own word (extensions.cost, X-Units-Charged) is what is charged, up to the bound."),
      flag("introspection", true,
           "Whether __schema and __type are answered (by the node itself, from the schema)."),
      number("most_batch", 20, 1, 1'000, "Operations of one request."),
      number("most_tokens", 20'000, 100, 1'000'000, "Of one document."),
      number("most_depth", 64, 4, 128, "Of selections, values and types in each other."),
      number("most_aliases", 200, 0, 100'000, "Of one document."),
      number("most_directives", 200, 0, 100'000, "Of one document."),
  };
  s.check = [](const Config& c, const Section::Wrong& wrong) {
    const auto& path = c.text("graphql.path");
    if (path.empty()) return;
    if (path[0] != '/' || path.find_first_of("?# ") != std::string::npos) wrong("path", "is no path");
    if (path.starts_with("/-/")) wrong("path", "is kept for the node itself");
    for (const auto* key : {"schema", "query_class", "mutation_class"})
      if (c.text(std::string("graphql.") + key).empty()) wrong(key, "is needed where path is named");
    if (!c.text("graphql.keyed_fields").empty() && c.text("graphql.keyed_class").empty())
      wrong("keyed_fields", "needs keyed_class");
    if (!c.text("graphql.allow_list").empty() && !sha256(""))
      wrong("allow_list", "this build has no library for hashes");
  };
  return s;
}

std::unique_ptr<GraphqlFront> front_of(const Config& c, snowknot::Node& node) {
  if (c.text("graphql.path").empty()) return nullptr;
  std::vector<Error> errors;
  auto schema = Schema::read(whole(c.text("graphql.schema"), "graphql.schema"), errors);
  if (!schema) {
    std::string all;
    for (const auto& e : errors) {
      all.append(all.empty() ? "" : "\n").append("graphql.schema: ");
      if (!e.locations.empty()) all.append("line ").append(std::to_string(e.locations[0].line)).append(": ");
      all += e.message;
    }
    throw std::runtime_error(all);
  }
  FrontOptions o;
  o.path = c.text("graphql.path"), o.upstream_path = c.text("graphql.upstream_path");
  const auto cls = [&](const char* key, snowknot::Effect effect) {
    const auto& name = c.text(std::string("graphql.") + key);
    const auto& classes = node.settings().classes;
    const auto it = std::ranges::find(classes, name, &snowknot::RequestClass::name);
    if (it == classes.end())
      throw std::runtime_error(std::string("graphql.") + key + ": the platform has no class " + name);
    const auto index = static_cast<std::size_t>(it - classes.begin());
    if (it->effect != effect)
      throw std::runtime_error(std::string("graphql.") + key + ": class " + name + " has another effect");
    return snowknot::ClassIndex(index);
  };
  o.query = cls("query_class", snowknot::Effect::safe);
  o.mutation = cls("mutation_class", snowknot::Effect::unsafe);
  o.keyed = o.mutation;
  if (!c.text("graphql.keyed_class").empty()) o.keyed = cls("keyed_class", snowknot::Effect::keyed);
  std::istringstream names(c.text("graphql.keyed_fields"));
  for (std::string name; names >> name;) o.plan.keyed.push_back(name);
  o.trust_server = c.boolean("graphql.trust_server");
  o.plan.introspection = c.boolean("graphql.introspection");
  o.plan.by_field_cost = c.text("graphql.units") == "field";
  o.plan.units_each = 1 / static_cast<double>(c.whole("graphql.points_per_unit"));
  o.plan.cost.list_size = static_cast<double>(c.whole("graphql.list_size"));
  o.request.batch = static_cast<std::size_t>(c.whole("graphql.most_batch"));
  o.limits.tokens = static_cast<std::size_t>(c.whole("graphql.most_tokens"));
  o.limits.depth = static_cast<std::size_t>(c.whole("graphql.most_depth"));
  o.limits.aliases = static_cast<std::size_t>(c.whole("graphql.most_aliases"));
  o.limits.directives = static_cast<std::size_t>(c.whole("graphql.most_directives"));
  auto front = std::make_unique<GraphqlFront>(node, std::move(*schema), std::move(o));
  if (const auto& list = c.text("graphql.allow_list"); !list.empty()) {
    std::string why;
    if (!front->allow_only(whole(list, "graphql.allow_list"), why))
      throw std::runtime_error("graphql.allow_list: " + why);
  }
  return front;
}

}  // namespace docklift::graphql
