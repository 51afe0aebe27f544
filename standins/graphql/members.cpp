#include "members.hpp"

#include <algorithm>
#include <stdexcept>

#include "graphql/request.hpp"
#include "graphql/validate.hpp"

namespace docklift::standins {

using namespace graphql;
using nlohmann::json;

const char* members_schema() {
  return R"(
type Query {
  terminals(first: Int!): [Terminal!]! @listSize(slicingArguments: ["first"])
  terminal(code: ID!): Terminal
  search(text: String!, first: Int = 5): [Place!]! @listSize(slicingArguments: ["first"])
  plans(first: Int!): PlanConnection! @listSize(slicingArguments: ["first"], sizedFields: ["nodes"])
}
type Mutation {
  gateNotice(gate: ID!, text: String!): Gate @cost(weight: "5")
  planCorrection(plan: ID!, note: String): Plan
}
interface Place { name: String! }
type Terminal implements Place @cost(weight: "2") { id: ID! name: String! gates(first: Int!): [Gate!]! @listSize(slicingArguments: ["first"]) map: Plan }
type Gate implements Place { id: ID! name: String! level: Level! terminal: Terminal route(to: ID!): Route @cost(weight: "3") }
type Route { steps(first: Int = 10): [Step!]! @listSize(slicingArguments: ["first"]) metres: Float }
type Step { text: String! stairs: Boolean! }
type Plan { id: ID! name: String! drawing: String }
type PlanConnection { nodes: [Plan!]! total: Int! }
enum Level { DEPARTURES ARRIVALS }
)";
}

struct Members::Run {
  const Document& document;
  const Variables& variables;
  std::string id, key;
  bool mutation = false;
  json errors = json::array();
  int wait_ms = 0;
  std::size_t made = 0;
};

namespace {

constexpr std::size_t kMostObjects = 20'000, kUsualLength = 2;

struct Null {};  // of a field that may not be null: it goes up to the next that may

using Groups = std::vector<std::pair<std::string_view, std::vector<const Selection*>>>;

void collect(const Schema& s, const Document& d, const Variables& v, Selections all, const Type& type,
             std::set<std::string_view>& seen, Groups& out) {
  for (const auto& x : all) {
    if (!included(x.directives, v)) continue;
    if (x.kind == Selection::Kind::field) {
      const auto it = std::ranges::find(out, x.response_name(), &Groups::value_type::first);
      if (it == out.end())
        out.emplace_back(x.response_name(), std::vector<const Selection*>{&x});
      else
        it->second.push_back(&x);
      continue;
    }
    const auto* f = x.kind == Selection::Kind::spread ? d.fragment(x.name) : nullptr;
    if (x.kind == Selection::Kind::spread && (!f || !seen.insert(x.name).second)) continue;
    const auto on = f ? f->on : x.name;
    const auto* t = on.empty() ? &type : s.type(on);
    if (t && t->possible.contains(type.name))
      collect(s, d, v, f ? f->selections : x.selections, type, seen, out);
  }
}

json json_of(const Value& v, const Variables& variables);
json json_of(const Constant& c) {
  switch (c.kind) {
    case ValueKind::integer:
    case ValueKind::real: return json::parse(c.text);
    case ValueKind::boolean: return c.text == "true";
    case ValueKind::string:
    case ValueKind::enumeration: return c.text;
    case ValueKind::list: {
      json all = json::array();
      for (const auto& i : c.items) all.push_back(json_of(i));
      return all;
    }
    case ValueKind::object: {
      json all = json::object();
      for (const auto& [k, f] : c.fields) all[k] = json_of(f);
      return all;
    }
    default: return nullptr;
  }
}
json json_of(const Value& v, const Variables& variables) {
  if (v.kind != ValueKind::variable) return json_of(constant_of(v));
  const auto it = variables.find(v.text);
  return it == variables.end() ? json(nullptr) : json_of(it->second);
}

}  // namespace

Members::Members(std::uint64_t seed)
    : schema_([] {
        std::vector<Error> errors;
        auto s = Schema::read(members_schema(), errors);
        if (!s) throw std::logic_error(errors[0].message);
        return std::move(*s);
      }()),
      random_(seed) {}

json Members::value(Run& run, const Field& field, const Selection& x, const Merged& inner,
                    const TypeUse& type, std::size_t level, std::size_t length, json path) {
  if (++run.made > kMostObjects) throw std::length_error("too large an answer");
  if (level < type.lists()) {
    json all = json::array();
    for (std::size_t i = 0; i < length; ++i) {
      auto at = path;
      at.push_back(i);
      all.push_back(value(run, field, x, inner, type, level + 1, kUsualLength, std::move(at)));
    }
    return all;
  }
  const auto& t = *schema_.type(type.name);
  if (t.composite()) {
    auto it = t.possible.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(run.made % t.possible.size()));
    return object(run, *schema_.type(*it), inner, std::move(path));
  }
  if (t.kind == TypeKind::enumeration) return *t.values.begin();
  if (t.name == "Int") return run.made;
  if (t.name == "Float") return 1.5;
  if (t.name == "Boolean") return true;
  if (t.name == "ID") return std::to_string(run.made);
  return field.name + " " + std::to_string(run.made);
}

json Members::object(Run& run, const Type& type, const Merged& selections, json path) {
  std::set<std::string_view> seen;
  Groups groups;
  for (const auto& s : selections) collect(schema_, run.document, run.variables, s, type, seen, groups);
  json out = json::object();
  for (const auto& [name, fields] : groups) {
    const auto& x = *fields.front();
    const std::string response(name);
    if (x.name == "__typename") {
      out[response] = type.name;
      continue;
    }
    const auto it = type.fields.find(x.name);
    if (it == type.fields.end()) continue;
    const auto& field = it->second;
    const auto where = type.name + "." + field.name;
    auto at = path;
    at.push_back(response);
    json arguments = json::object();
    for (const auto& a : x.arguments) arguments[std::string(a.name)] = json_of(a.value, run.variables);
    if (run.mutation && path.empty() &&
        (run.key.empty() || keys_.insert(run.key + " " + field.name + arguments.dump()).second))
      effects_.push_back({field.name, run.id, run.key, arguments.dump()});
    if (const auto slow = faults_.slow_ms.find(where); slow != faults_.slow_ms.end())
      run.wait_ms += slow->second;
    try {
      if (const auto bad = faults_.errors.find(where); bad != faults_.errors.end() && chance(bad->second)) {
        run.errors.push_back({{"message", "made to fail"}, {"path", at}});
        if (field.type.non_null.front()) throw Null{};
        out[response] = nullptr;
        continue;
      }
      std::size_t length = kUsualLength;
      if (field.list_size)
        for (const auto& s : field.list_size->slicing) {
          if (arguments.contains(s) && arguments[s].is_number_integer())
            length = static_cast<std::size_t>(std::max<std::int64_t>(0, arguments[s].get<std::int64_t>()));
        }
      if (const auto hidden = faults_.lengths.find(where); hidden != faults_.lengths.end())
        length = hidden->second;
      Merged inner;
      for (const auto* f : fields) inner.push_back(f->selections);
      out[response] = value(run, field, x, inner, field.type, 0, length, at);
    } catch (const Null&) {
      if (field.type.non_null.front()) throw;
      out[response] = nullptr;
    }
  }
  return out;
}

Members::Answer Members::answer(const std::string& body, const std::string& id, const std::string& key) {
  ++requests_;
  Answer a;
  const auto d = decode({"POST", "/graphql", "application/json", "", body});
  const auto wrong = [&](const std::vector<Error>& errors) {
    a.body = error_answer(errors);
    return a;
  };
  if (d.calls.size() != 1) return a.status = 400, wrong(d.errors);
  const auto& call = d.calls[0];
  const auto document = Document::executable(call.query);
  if (!document.good()) return wrong(document.errors());
  if (const auto errors = validate(schema_, document); !errors.empty()) return wrong(errors);
  const Operation* operation = nullptr;
  for (const auto& o : document.operations())
    if (document.operations().size() == 1 || o.name == call.operation) operation = &o;
  if (!operation) return wrong({{"Unknown operation.", {}, {}, "BAD_USER_INPUT"}});
  std::vector<Error> errors;
  const auto variables = coerced(schema_, *operation, call.variables, errors);
  if (!errors.empty()) return wrong(errors);
  Run run{document, variables, id, key, operation->kind == OperationKind::mutation};
  json out;
  try {
    out["data"] = object(run, *schema_.root(operation->kind), {operation->selections}, json::array());
  } catch (const Null&) {
    out["data"] = nullptr;
  } catch (const std::length_error& x) {
    return wrong({{x.what(), {}, {}, "TOO_LARGE"}});
  }
  if (!run.errors.empty()) out["errors"] = run.errors;
  if (faults_.cost) out["extensions"]["cost"] = *faults_.cost;
  a.wait_ms = run.wait_ms;
  a.body = out.dump();
  if (chance(faults_.cut)) a.body.resize(std::min(a.body.find('"', a.body.size() / 2) + 1, a.body.size()));
  if (chance(faults_.garbage)) a.body = "<html>what?</html>";
  a.reset = chance(faults_.reset);
  if (on_answer) on_answer(id, body, a);
  return a;
}

}  // namespace docklift::standins
