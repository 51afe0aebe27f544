#include "graphql/schema.hpp"

#include <algorithm>
#include <bit>
#include <charconv>
#include <cmath>

namespace docklift::graphql {

std::string TypeUse::text() const {
  std::string all;
  for (std::size_t i = 0; i + 1 < non_null.size(); ++i) all += '[';
  all += name;
  for (std::size_t i = non_null.size(); i-- > 0;) {
    if (non_null[i]) all += '!';
    if (i > 0) all += ']';
  }
  return all;
}

TypeUse use_of(const TypeRef& type) {
  TypeUse use;
  const auto* t = &type;
  for (; t->of; t = t->of) use.non_null.push_back(t->non_null);
  use.non_null.push_back(t->non_null);
  use.name = t->name;
  return use;
}

// Not in the class: there a constant holds vectors of what is not complete yet, and clang looks into them.
Constant::Constant() = default;
Constant::Constant(ValueKind kind_, std::string text_, std::vector<Constant> items_,
                   std::vector<std::pair<std::string, Constant>> fields_)
    : kind(kind_), text(std::move(text_)), items(std::move(items_)), fields(std::move(fields_)) {}

Constant constant_of(const Value& v) {
  Constant c{v.kind, std::string(v.text), {}, {}};
  for (const auto& i : v.items) c.items.push_back(constant_of(i));
  for (const auto& f : v.fields) c.fields.emplace_back(std::string(f.name), constant_of(f.value));
  return c;
}

const Input* Field::argument(std::string_view argument_name) const {
  const auto it = std::ranges::find(arguments, argument_name, &Input::name);
  return it == arguments.end() ? nullptr : &*it;
}
const Input* Type::input(std::string_view input_name) const {
  const auto it = std::ranges::find(inputs, input_name, &Input::name);
  return it == inputs.end() ? nullptr : &*it;
}
const Field* Type::field(std::string_view field_name, std::uint32_t hash) const {
  if (by_hash_.empty()) return nullptr;
  for (auto at = hash & (by_hash_.size() - 1); by_hash_[at] != nullptr; at = (at + 1) & (by_hash_.size() - 1))
    if (by_hash_[at]->hash == hash && by_hash_[at]->name == field_name) return by_hash_[at];
  return nullptr;
}
const Field* Schema::field(const Type& parent, std::string_view name, std::uint32_t hash) const {
  if (const auto* f = parent.field(name, hash)) return f;
  if (!name.starts_with("__")) return nullptr;
  if (name == typename_.name) return &typename_;
  if (root(OperationKind::query) != &parent) return nullptr;
  return name == schema_.name ? &schema_ : name == type_.name ? &type_ : nullptr;
}
const Type* Schema::type(std::string_view name) const {
  const auto it = types_.find(name);
  return it == types_.end() ? nullptr : &it->second;
}
const DirectiveUse* Schema::directive(std::string_view name) const {
  const auto it = directives_.find(name);
  return it == directives_.end() ? nullptr : &it->second;
}
const Type* Schema::root(OperationKind kind) const {
  const auto* t = type(kind == OperationKind::query      ? query_
                       : kind == OperationKind::mutation ? mutation_
                                                         : subscription_);
  return t && t->kind == TypeKind::object ? t : nullptr;
}
bool Schema::overlap(const Type& a, const Type& b) {
  if (&a == &b) return !a.possible.empty();
  return std::ranges::any_of(a.possible, [&](const auto& name) { return b.possible.contains(name); });
}

// What the specification gives every schema, and IBM's directives with it.
constexpr const char* kBuiltIn = R"(
scalar Int scalar Float scalar String scalar Boolean scalar ID
directive @skip(if: Boolean!) on FIELD | FRAGMENT_SPREAD | INLINE_FRAGMENT
directive @include(if: Boolean!) on FIELD | FRAGMENT_SPREAD | INLINE_FRAGMENT
directive @deprecated(reason: String = "No longer supported") on FIELD_DEFINITION | ARGUMENT_DEFINITION | INPUT_FIELD_DEFINITION | ENUM_VALUE
directive @specifiedBy(url: String!) on SCALAR
directive @cost(weight: String!) on ARGUMENT_DEFINITION | ENUM | FIELD_DEFINITION | INPUT_FIELD_DEFINITION | OBJECT | SCALAR
directive @listSize(assumedSize: Int, slicingArguments: [String!], sizedFields: [String!], requireOneSlicingArgument: Boolean = true) on FIELD_DEFINITION
type __Schema { description: String types: [__Type!]! queryType: __Type! mutationType: __Type subscriptionType: __Type directives: [__Directive!]! }
type __Type { kind: __TypeKind! name: String description: String fields(includeDeprecated: Boolean = false): [__Field!]
  interfaces: [__Type!] possibleTypes: [__Type!] enumValues(includeDeprecated: Boolean = false): [__EnumValue!]
  inputFields(includeDeprecated: Boolean = false): [__InputValue!] ofType: __Type specifiedByURL: String }
type __Field { name: String! description: String args(includeDeprecated: Boolean = false): [__InputValue!]! type: __Type! isDeprecated: Boolean! deprecationReason: String }
type __InputValue { name: String! description: String type: __Type! defaultValue: String isDeprecated: Boolean! deprecationReason: String }
type __EnumValue { name: String! description: String isDeprecated: Boolean! deprecationReason: String }
enum __TypeKind { SCALAR OBJECT INTERFACE UNION ENUM INPUT_OBJECT LIST NON_NULL }
type __Directive { name: String! description: String locations: [__DirectiveLocation!]! args(includeDeprecated: Boolean = false): [__InputValue!]! isRepeatable: Boolean! }
enum __DirectiveLocation { QUERY MUTATION SUBSCRIPTION FIELD FRAGMENT_DEFINITION FRAGMENT_SPREAD INLINE_FRAGMENT VARIABLE_DEFINITION SCHEMA SCALAR OBJECT FIELD_DEFINITION ARGUMENT_DEFINITION INTERFACE UNION ENUM ENUM_VALUE INPUT_OBJECT INPUT_FIELD_DEFINITION }
)";

class SchemaReader {
 public:
  explicit SchemaReader(std::vector<Error>& errors) : errors_(errors) {}

  void read(const Document& d, bool built_in) {
    if (!d.good()) {
      errors_.insert(errors_.end(), d.errors().begin(), d.errors().end());
      return;
    }
    for (const auto& x : d.directives()) {
      // A schema may define the cost directives itself, as they are.
      if (s.directives_.contains(x.name) && x.name != "cost" && x.name != "listSize") {
        wrong("There can be only one directive named \"@" + std::string(x.name) + "\".", x.at);
        continue;
      }
      DirectiveUse use;
      use.arguments = inputs(x.arguments);
      use.repeatable = x.repeatable;
      for (const auto l : x.locations) use.locations.emplace(l);
      s.directives_[std::string(x.name)] = std::move(use);
    }
    for (const auto& t : d.types())
      if (!t.extends) define(t, built_in);
    for (const auto& t : d.types())
      if (t.extends) extend(t);
    for (const auto& x : d.schemas()) {
      if (!x.query.empty()) s.query_ = x.query;
      s.mutation_ = x.mutation;
      s.subscription_ = x.subscription;
    }
  }

  void link() {
    for (auto& [name, t] : s.types_) {
      for (const auto& [field_name, f] : t.fields) {
        known(f.type, t.name + "." + f.name, false);
        for (const auto& a : f.arguments) known(a.type, t.name + "." + f.name + "(" + a.name + ":)", true);
        if (f.list_size) check_sizes(t, f);
      }
      for (const auto& i : t.inputs) known(i.type, t.name + "." + i.name, true);
      if (t.kind == TypeKind::object) {
        t.possible.insert(t.name);
        for (const auto& i : t.interfaces) {
          const auto it = s.types_.find(i);
          if (it == s.types_.end() || it->second.kind != TypeKind::interface)
            wrong("Type " + t.name + " can't implement " + i + ": it is no interface.", {});
          else
            it->second.possible.insert(t.name);
        }
      }
      if (t.kind == TypeKind::union_type)
        for (const auto& m : t.possible) {
          const auto* member = s.type(m);
          if (!member || member->kind != TypeKind::object)
            wrong("Union " + t.name + " can't have " + m + ": it is no object type.", {});
        }
    }
    if (!s.root(OperationKind::query)) wrong("The schema has no query root type.", {});
    s.typename_ = {"__typename", {"String", {true}}, {}, {}, {}};
    s.schema_ = {"__schema", {"__Schema", {true}}, {}, {}, {}};
    s.type_ = {"__type", {"__Type", {false}}, {{"name", {"String", {true}}, {}, {}}}, {}, {}};
    for (auto* f : {&s.typename_, &s.schema_, &s.type_}) resolve(*f);
    for (auto& [name, t] : s.types_) resolve(t);
    for (auto& [name, d] : s.directives_)
      for (auto& i : d.arguments) i.of = s.type(i.type.name);
  }

  Schema s;

 private:
  void wrong(std::string message, Location at) {
    errors_.push_back({std::move(message),
                       at.line == 0 ? std::vector<Location>{} : std::vector<Location>{at},
                       {},
                       "SCHEMA"});
  }
  void known(const TypeUse& use, const std::string& where, bool input) {
    const auto* t = s.type(use.name);
    if (!t) return wrong("Unknown type \"" + use.name + "\" at " + where + ".", {});
    if (input ? !t->is_input() : t->kind == TypeKind::input)
      wrong("Type \"" + use.name + "\" can't be used at " + where + ".", {});
  }
  // Types by their addresses and fields by their hashes, so that nothing is looked up by name for a request's fields.
  void resolve(Type& t) {
    static constexpr std::pair<std::string_view, Scalar> kScalars[] = {{"Int", Scalar::integer},
                                                                       {"Float", Scalar::real},
                                                                       {"String", Scalar::string},
                                                                       {"Boolean", Scalar::boolean},
                                                                       {"ID", Scalar::id}};
    for (const auto& [name, scalar] : kScalars)
      if (t.name == name) t.scalar = scalar;
    for (const auto& name : t.possible)
      if (const auto* o = s.type(name)) t.objects.push_back(o);
    for (auto& i : t.inputs) i.of = s.type(i.type.name);
    if (!t.fields.empty()) t.by_hash_.assign(std::bit_ceil(2 * t.fields.size()), nullptr);
    for (auto& [name, f] : t.fields) {
      resolve(f);
      auto at = f.hash & (t.by_hash_.size() - 1);
      while (t.by_hash_[at] != nullptr) at = (at + 1) & (t.by_hash_.size() - 1);
      t.by_hash_[at] = &f;
    }
  }
  void resolve(Field& f) {
    f.hash = name_hash(f.name);
    f.returns = s.type(f.type.name);
    for (auto& i : f.arguments) {
      i.of = s.type(i.type.name);
      f.arguments_may_weigh = f.arguments_may_weigh || i.weight || !i.of || i.of->weight ||
                              i.of->kind == TypeKind::input;
    }
  }
  // Slicing arguments are integers of the field, sized fields are lists of what it returns.
  void check_sizes(const Type& t, const Field& f) {
    const auto where = t.name + "." + f.name;
    for (const auto& path : f.list_size->slicing) {
      const auto dot = path.find('.');
      if (!f.argument(path.substr(0, dot)))
        wrong("@listSize at " + where + ": no argument \"" + path + "\".", {});
    }
    const auto* of = s.type(f.type.name);
    for (const auto& name : f.list_size->sized)
      if (!of || !of->fields.contains(name))
        wrong("@listSize at " + where + ": no field \"" + name + "\".", {});
    if (f.list_size->sized.empty() && f.type.lists() == 0)
      wrong("@listSize at " + where + ": it is no list.", {});
  }

  std::optional<double> weight_of(std::span<Directive> all) {
    for (const auto& d : all) {
      if (d.name != "cost") continue;
      for (const auto& a : d.arguments)
        if (a.name == "weight" && (a.value.kind == ValueKind::string || a.value.kind == ValueKind::integer ||
                                   a.value.kind == ValueKind::real)) {
          double n = 0;
          const auto* end = a.value.text.data() + a.value.text.size();
          const auto [at, failed] = std::from_chars(a.value.text.data(), end, n);
          if (failed == std::errc{} && at == end && std::isfinite(n)) return n;
        }
      wrong("@cost needs a weight that is a number.", d.at);
    }
    return std::nullopt;
  }
  std::optional<ListSize> size_of(std::span<Directive> all) {
    for (const auto& d : all) {
      if (d.name != "listSize") continue;
      ListSize l;
      for (const auto& a : d.arguments) {
        const auto strings = [&] {
          std::vector<std::string> out;
          if (a.value.kind == ValueKind::string) out.emplace_back(a.value.text);
          for (const auto& i : a.value.items) out.emplace_back(i.text);
          return out;
        };
        if (a.name == "assumedSize" && a.value.kind == ValueKind::integer) {
          l.assumed = std::strtod(std::string(a.value.text).c_str(), nullptr);
          if (*l.assumed < 0) wrong("@listSize: assumedSize is below 0.", a.at);
        } else if (a.name == "slicingArguments") {
          l.slicing = strings();
        } else if (a.name == "sizedFields") {
          l.sized = strings();
        } else if (a.name == "requireOneSlicingArgument") {
          l.require_one = a.value.text != "false";
        } else {
          wrong("@listSize has no argument \"" + std::string(a.name) + "\" of that form.", a.at);
        }
      }
      return l;
    }
    return std::nullopt;
  }
  std::vector<Input> inputs(std::span<InputDefinition> all) {
    std::vector<Input> out;
    for (const auto& i : all) {
      if (std::ranges::find(out, i.name, &Input::name) != out.end())
        wrong("\"" + std::string(i.name) + "\" is there twice.", i.at);
      out.push_back({std::string(i.name), use_of(*i.type), std::nullopt, weight_of(i.directives)});
      if (i.fallback) out.back().fallback = constant_of(*i.fallback);
    }
    return out;
  }
  void define(const TypeDefinition& d, bool built_in) {
    if (s.types_.contains(d.name))
      return wrong("There can be only one type named \"" + std::string(d.name) + "\".", d.at);
    if (!built_in && d.name.starts_with("__"))
      return wrong("Names that begin with \"__\" are reserved: " + std::string(d.name), d.at);
    Type t;
    t.kind = d.kind, t.name = d.name;
    add(t, d);
    s.types_.emplace(t.name, std::move(t));
  }
  void extend(const TypeDefinition& d) {
    const auto it = s.types_.find(d.name);
    if (it == s.types_.end() || it->second.kind != d.kind)
      return wrong("There is no such type to extend: " + std::string(d.name), d.at);
    add(it->second, d);
  }
  void add(Type& t, const TypeDefinition& d) {
    if (const auto w = weight_of(d.directives)) t.weight = w;
    for (const auto& f : d.fields) {
      Field field{std::string(f.name), use_of(*f.type), inputs(f.arguments), weight_of(f.directives),
                  size_of(f.directives)};
      if (!t.fields.emplace(field.name, std::move(field)).second)
        wrong("Field \"" + std::string(d.name) + "." + std::string(f.name) + "\" is there twice.", f.at);
    }
    for (auto& i : inputs(d.inputs)) t.inputs.push_back(std::move(i));
    for (const auto name : d.interfaces) {
      if (d.kind == TypeKind::enumeration)
        t.values.emplace(name);
      else if (d.kind == TypeKind::union_type)
        t.possible.emplace(name);
      else
        t.interfaces.emplace_back(name);
    }
  }

  std::vector<Error>& errors_;
};

std::optional<Schema> Schema::read(const std::string& text, std::vector<Error>& errors) {
  const auto before = errors.size();
  SchemaReader r(errors);
  r.read(Document::type_system(kBuiltIn), true);
  r.read(Document::type_system(text), false);
  if (errors.size() > before) return std::nullopt;
  r.link();
  if (errors.size() > before) return std::nullopt;
  return std::move(r.s);
}

}  // namespace docklift::graphql
