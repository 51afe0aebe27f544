#include "graphql/validate.hpp"

#include <algorithm>
#include <charconv>
#include <map>
#include <set>
#include <unordered_map>

namespace docklift::graphql {

namespace {

std::string in_quotes(std::string_view text) {
  std::string all = "\"";
  return all.append(text.substr(0, 80)).append("\"");
}

const std::pair<std::string, Constant>& named(const std::pair<std::string, Constant>& f) { return f; }
std::pair<std::string_view, const Value&> named(const ObjectField& f) { return {f.name, f.value}; }

// Of a constant, or of a value in a document; variables fit here, their places are looked at elsewhere.
template <class Given>
std::optional<std::string> misfit_at(const Schema& s, const Given& v, const TypeUse& type, const Type* t,
                                     std::size_t level, bool json) {
  if (v.kind == ValueKind::variable) return std::nullopt;
  const auto wanted = [&](const std::string& what) {
    return std::optional("Expected value of type " + in_quotes(type.text()) + ", found " + what + ".");
  };
  if (v.kind == ValueKind::null) return type.non_null.at(level) ? wanted("null") : std::nullopt;
  if (level < type.lists()) {
    if (v.kind != ValueKind::list) return misfit_at(s, v, type, t, level + 1, json);  // one item for the list
    for (const auto& i : v.items)
      if (auto why = misfit_at(s, i, type, t, level + 1, json)) return why;
    return std::nullopt;
  }
  if (!t) return wanted("a value of an unknown type");
  if (v.kind == ValueKind::list) return wanted("a list");
  if (t->kind == TypeKind::enumeration) {
    if (v.kind == (json ? ValueKind::string : ValueKind::enumeration) && t->values.contains(v.text))
      return std::nullopt;
    return "Value " + in_quotes(v.text) + " does not exist in " + in_quotes(t->name) + " enum.";
  }
  if (t->kind == TypeKind::input) {
    if (v.kind != ValueKind::object) return wanted(in_quotes(v.text));
    std::set<std::string_view> seen;
    for (const auto& f : v.fields) {
      const auto& [name, field] = named(f);
      const auto* input = t->input(name);
      if (!input) return "Field " + in_quotes(name) + " is not defined by type " + in_quotes(t->name) + ".";
      if (!seen.insert(name).second)
        return "There can be only one input field named " + in_quotes(name) + ".";
      if (auto why = misfit_at(s, field, input->type, input->of, 0, json)) return why;
    }
    for (const auto& i : t->inputs)
      if (i.type.non_null.at(0) && !i.fallback && !seen.contains(i.name))
        return "Field " + in_quotes(t->name + "." + i.name) + " of required type " +
               in_quotes(i.type.text()) + " was not provided.";
    return std::nullopt;
  }
  bool good = true;
  switch (t->scalar) {
    case Scalar::own: return std::nullopt;  // it may hold anything
    case Scalar::integer: {
      std::int32_t n = 0;
      const auto [at, failed] = std::from_chars(v.text.data(), v.text.data() + v.text.size(), n);
      if (v.kind == ValueKind::integer && failed == std::errc::result_out_of_range)
        return "Int cannot represent non 32-bit signed integer value: " + std::string(v.text.substr(0, 40));
      good = v.kind == ValueKind::integer && failed == std::errc{} && at == v.text.data() + v.text.size();
      break;
    }
    case Scalar::real: good = v.kind == ValueKind::integer || v.kind == ValueKind::real; break;
    case Scalar::string: good = v.kind == ValueKind::string; break;
    case Scalar::boolean: good = v.kind == ValueKind::boolean; break;
    case Scalar::id: good = v.kind == ValueKind::string || v.kind == ValueKind::integer; break;
  }
  if (good) return std::nullopt;
  return wanted(v.kind == ValueKind::object ? "an object" : in_quotes(v.text));
}

class Validator {
 public:
  Validator(const Schema& s, const Document& d, const ValidationLimits& limits)
      : s_(s), d_(d), limits_(limits) {}

  std::vector<Error> run() {
    try {
      for (const auto& f : d_.fragments()) by_name_.emplace(f.name, &f);
      checked_.resize(d_.selections());
      unique_names();
      cycles();
      if (errors_.empty()) {  // what follows walks through fragments
        for (const auto& f : d_.fragments()) fragment(f);
        for (const auto& o : d_.operations()) operation(o);
      }
      if (errors_.empty()) merging();
    } catch (const TooMuch&) {}
    return std::move(errors_);
  }

 private:
  struct TooMuch {};
  struct Use {  // of a variable
    std::string_view name;
    Location at;
    const TypeUse* type = nullptr;  // of the argument or input field, of the schema
    std::size_t level = 0;          // of its lists, at which the variable stands
    bool has_default = false;
  };

  void wrong(std::string message, std::vector<Location> at) {
    errors_.push_back({std::move(message), std::move(at), {}, "GRAPHQL_VALIDATION_FAILED"});
    if (errors_.size() >= limits_.errors) throw TooMuch{};
  }
  void work(std::size_t steps = 1) {
    if ((work_ += steps) <= limits_.work) return;
    errors_.assign(1, {"The document is too complex to be validated.", {}, {}, "LIMIT_EXCEEDED"});
    throw TooMuch{};
  }
  void deep(std::size_t depth) {
    if (depth <= limits_.depth) return;
    errors_.assign(1, {"The document nests more than " + std::to_string(limits_.depth) + " levels.",
                       {},
                       {},
                       "LIMIT_EXCEEDED"});
    throw TooMuch{};
  }

  // ---- Names ------------------------------------------------------------------------------------------------

  void unique_names() {
    if (d_.operations().size() == 1 && d_.fragments().empty()) {
      const auto& o = d_.operations()[0];
      if (!s_.root(o.kind)) wrong("The schema does not support this kind of operation.", {o.at});
      return;
    }
    std::map<std::string_view, Location> seen;
    for (const auto& o : d_.operations()) {
      if (o.name.empty()) {
        if (d_.operations().size() > 1)
          wrong("This anonymous operation must be the only defined operation.", {o.at});
      } else if (const auto [it, fresh] = seen.emplace(o.name, o.at); !fresh) {
        wrong("There can be only one operation named " + in_quotes(o.name) + ".", {it->second, o.at});
      }
      if (!s_.root(o.kind)) wrong("The schema does not support this kind of operation.", {o.at});
    }
    seen.clear();
    for (const auto& f : d_.fragments())
      if (const auto [it, fresh] = seen.emplace(f.name, f.at); !fresh)
        wrong("There can be only one fragment named " + in_quotes(f.name) + ".", {it->second, f.at});
  }

  const Fragment* fragment_named(std::string_view name) const {
    const auto it = by_name_.find(name);
    return it == by_name_.end() ? nullptr : it->second;
  }

  template <class Told>
  void each_spread(Selections all, Told told) {
    for (const auto& x : all) {
      work();
      if (x.kind == Selection::Kind::spread)
        told(x);
      else
        each_spread(x.selections, told);
    }
  }

  // Without recursion: a chain may be as long as there are fragments.
  void cycles() {
    if (d_.fragments().empty()) return;
    std::unordered_map<const Fragment*, std::vector<const Fragment*>> to;
    for (const auto& f : d_.fragments())
      each_spread(f.selections, [&](const Selection& x) {
        if (const auto* t = fragment_named(x.name)) to[&f].push_back(t);
      });
    std::unordered_map<const Fragment*, int> state;  // 1: open, 2: done
    for (const auto& f : d_.fragments()) {
      if (state[&f] != 0) continue;
      std::vector<std::pair<const Fragment*, std::size_t>> path{{&f, 0}};
      state[&f] = 1;
      while (!path.empty()) {
        auto& [at, next] = path.back();
        work();
        if (next == to[at].size()) {
          state[at] = 2;
          path.pop_back();
          continue;
        }
        const auto* t = to[at][next++];
        if (state[t] == 1) {
          wrong("Cannot spread fragment " + in_quotes(t->name) + " within itself.", {t->at});
        } else if (state[t] == 0) {
          state[t] = 1;
          path.emplace_back(t, 0);
        }
      }
    }
  }

  // ---- Definitions, one by one ---------------------------------------------------------------------------------

  void fragment(const Fragment& f) {
    uses_ = &fragment_uses_[&f];
    spreads_ = &fragment_spreads_[&f];
    const auto* t = s_.type(f.on);
    if (!t) return wrong("Unknown type " + in_quotes(f.on) + ".", {f.at});
    if (!t->composite())
      return wrong("Fragment " + in_quotes(f.name) + " cannot condition on non composite type " +
                       in_quotes(f.on) + ".",
                   {f.at});
    directives(f.directives, "FRAGMENT_DEFINITION");
    selections(f.selections, *t);
  }

  void operation(const Operation& o) {
    std::vector<Use> uses;
    std::set<const Fragment*> spreads;
    uses_ = &uses, spreads_ = &spreads;
    directives(o.directives, o.kind == OperationKind::query      ? "QUERY"
                             : o.kind == OperationKind::mutation ? "MUTATION"
                                                                 : "SUBSCRIPTION");
    std::map<std::string_view, std::pair<const VariableDefinition*, TypeUse>> variables;
    for (const auto& v : o.variables) {
      const auto use = use_of(*v.type);
      if (!variables.emplace(v.name, std::pair(&v, use)).second)
        wrong("There can be only one variable named " + in_quotes(std::string("$").append(v.name)) + ".",
              {v.at});
      const auto* t = s_.type(use.name);
      if (!t)
        wrong("Unknown type " + in_quotes(use.name) + ".", {v.type->at});
      else if (!t->is_input())
        wrong("Variable " + in_quotes(std::string("$").append(v.name)) + " cannot be non-input type " +
                  in_quotes(use.text()) + ".",
              {v.type->at});
      else if (v.fallback)
        if (const auto why = misfit_at(s_, *v.fallback, use, t, 0, false)) wrong(*why, {v.fallback->at});
      directives(v.directives, "VARIABLE_DEFINITION");
    }
    selections(o.selections, *s_.root(o.kind));
    if (o.kind == OperationKind::subscription) single_root(o);
    // With all that it reaches.
    std::set<const Fragment*> reached;
    std::vector<const Fragment*> open(spreads.begin(), spreads.end());
    while (!open.empty()) {
      const auto* f = open.back();
      open.pop_back();
      if (!reached.insert(f).second) continue;
      work();
      const auto& more = fragment_spreads_[f];
      open.insert(open.end(), more.begin(), more.end());
      const auto& its = fragment_uses_[f];
      work(its.size());
      uses.insert(uses.end(), its.begin(), its.end());
    }
    for (const auto& u : uses) {
      const auto it = variables.find(u.name);
      if (it == variables.end()) {
        wrong("Variable " + in_quotes(std::string("$").append(u.name)) + " is not defined" +
                  (o.name.empty() ? "." : " by operation " + in_quotes(o.name) + "."),
              {u.at, o.at});
        continue;
      }
      const auto& [definition, have] = it->second;
      if (s_.type(have.name) && !allowed(*definition, have, u))
        wrong("Variable " + in_quotes(std::string("$").append(u.name)) + " of type " + in_quotes(have.text()) +
                  " used in position expecting type " + in_quotes(wanted_of(u).text()) + ".",
              {definition->at, u.at});
    }
  }

  static TypeUse wanted_of(const Use& u) {
    auto type = *u.type;
    type.non_null.erase(type.non_null.begin(), type.non_null.begin() + static_cast<std::ptrdiff_t>(u.level));
    return type;
  }
  // IsVariableUsageAllowed and AreTypesCompatible.
  static bool allowed(const VariableDefinition& v, const TypeUse& have, const Use& u) {
    auto want = wanted_of(u);
    if (want.non_null.front() && !have.non_null.front()) {
      const bool default_here = v.fallback && v.fallback->kind != ValueKind::null;
      if (!default_here && !u.has_default) return false;
      want.non_null.front() = false;
    }
    if (have.name != want.name || have.lists() != want.lists()) return false;
    for (std::size_t i = 0; i < want.non_null.size(); ++i)
      if (want.non_null[i] && !have.non_null[i]) return false;
    return true;
  }

  void single_root(const Operation& o) {
    std::set<std::string_view> names;
    std::set<const Fragment*> seen;
    bool introspects = false;
    std::vector<Selections> open{o.selections};
    while (!open.empty()) {
      const auto all = open.back();
      open.pop_back();
      for (const auto& x : all) {
        work();
        if (x.kind == Selection::Kind::field) {
          names.insert(x.response_name());
          introspects = introspects || x.name.starts_with("__");
        } else if (x.kind == Selection::Kind::inline_fragment) {
          open.push_back(x.selections);
        } else if (const auto* f = fragment_named(x.name); f && seen.insert(f).second) {
          open.push_back(f->selections);
        }
      }
    }
    if (names.size() != 1) wrong("A subscription must select only one top level field.", {o.at});
    if (introspects) wrong("A subscription must not select an introspection top level field.", {o.at});
  }

  void selections(Selections all, const Type& parent) {
    for (const auto& x : all) {
      work();
      switch (x.kind) {
        case Selection::Kind::field: field(x, parent); break;
        case Selection::Kind::spread: {
          directives(x.directives, "FRAGMENT_SPREAD");
          const auto* f = fragment_named(x.name);
          if (!f) {
            wrong("Unknown fragment " + in_quotes(x.name) + ".", {x.at});
            break;
          }
          spreads_->insert(f);
          if (const auto* t = s_.type(f->on); t && t->composite() && !Schema::overlap(*t, parent))
            wrong("Fragment " + in_quotes(x.name) + " cannot be spread here as objects of type " +
                      in_quotes(parent.name) + " can never be of type " + in_quotes(t->name) + ".",
                  {x.at});
          break;
        }
        default: {
          directives(x.directives, "INLINE_FRAGMENT");
          const auto* t = x.name.empty() ? &parent : s_.type(x.name);
          if (!t) {
            wrong("Unknown type " + in_quotes(x.name) + ".", {x.at});
          } else if (!t->composite()) {
            wrong("Fragment cannot condition on non composite type " + in_quotes(x.name) + ".", {x.at});
          } else {
            if (!Schema::overlap(*t, parent))
              wrong("Fragment cannot be spread here as objects of type " + in_quotes(parent.name) +
                        " can never be of type " + in_quotes(t->name) + ".",
                    {x.at});
            selections(x.selections, *t);
          }
        }
      }
    }
  }

  void field(const Selection& x, const Type& parent) {
    directives(x.directives, "FIELD");
    const auto* f = s_.field(parent, x.name, x.hash);
    if (!f)
      return wrong("Cannot query field " + in_quotes(x.name) + " on type " + in_quotes(parent.name) + ".",
                   {x.at});
    arguments(x.arguments, f->arguments, x.at, [&] { return "field " + in_quotes(parent.name + "." + f->name); });
    const auto* t = f->returns;
    if (!t) return;
    if (t->composite() && x.selections.empty())
      wrong("Field " + in_quotes(x.name) + " of type " + in_quotes(f->type.text()) +
                " must have a selection of subfields.",
            {x.at});
    if (!t->composite() && !x.selections.empty())
      wrong("Field " + in_quotes(x.name) + " must not have a selection since type " +
                in_quotes(f->type.text()) + " has no subfields.",
            {x.at});
    else if (t->composite())
      selections(x.selections, *t);
  }

  // `where` is called for a message only.
  template <class Where>
  void arguments(std::span<Argument> given, const std::vector<Input>& known, Location at, Where where) {
    for (std::size_t n = 0; n < given.size(); ++n) {
      const auto& a = given[n];
      work(n + 1);
      for (std::size_t k = 0; k < n; ++k)
        if (given[k].name == a.name) {
          wrong("There can be only one argument named " + in_quotes(a.name) + ".", {given[k].at, a.at});
          break;
        }
      const auto it = std::ranges::find(known, a.name, &Input::name);
      if (it == known.end()) {
        wrong("Unknown argument " + in_quotes(a.name) + " on " + where() + ".", {a.at});
        continue;
      }
      value(a.value, *it, 0, it->fallback.has_value());
      if (const auto why = misfit_at(s_, a.value, it->type, it->of, 0, false)) wrong(*why, {a.value.at});
    }
    for (const auto& i : known)
      if (i.type.non_null.front() && !i.fallback && std::ranges::find(given, i.name, &Argument::name) == given.end())
        wrong("Argument " + in_quotes(i.name) + " of type " + in_quotes(i.type.text()) +
                  " is required, but it was not provided.",
              {at});
  }

  // Variables within a value, with the type that is wanted where they stand.
  void value(const Value& v, const Input& input, std::size_t level, bool has_default) {
    work();
    if (v.kind == ValueKind::variable) {
      uses_->push_back({v.text, v.at, &input.type, level, has_default});
    } else if (v.kind == ValueKind::list) {
      // Below its lists it is of a scalar that may hold anything.
      for (const auto& i : v.items) value(i, input, std::min(level + 1, input.type.lists()), false);
    } else if (v.kind == ValueKind::object && input.of) {
      for (const auto& f : v.fields)
        if (const auto* i = input.of->input(f.name)) value(f.value, *i, 0, i->fallback.has_value());
    }
  }

  void directives(std::span<Directive> all, std::string_view location) {
    if (all.empty()) return;
    std::set<std::string_view> seen;
    for (const auto& d : all) {
      work();
      const auto* use = s_.directive(d.name);
      const auto shown = [&] { return in_quotes(std::string("@").append(d.name)); };
      if (!use) {
        wrong("Unknown directive " + shown() + ".", {d.at});
        continue;
      }
      if (!use->locations.contains(location))
        wrong("Directive " + shown() + " may not be used on " + std::string(location) + ".", {d.at});
      if (!seen.insert(d.name).second && !use->repeatable)
        wrong("The directive " + shown() + " can only be used once at this location.", {d.at});
      arguments(d.arguments, use->arguments, d.at, [&] { return "directive " + shown(); });
    }
  }

  // ---- Overlapping fields can be merged ---------------------------------------------------------------------------
  // Fields of one response name are taken together over all selections that are merged there, level by level (after
  // S. Adameit's form of the rule): all must give the same shape; those that can apply to one object must be the same field
  // with the same arguments. Each is compared with the first of its group, so a level costs what it holds.

  struct Found {
    const Selection* field;
    const Type* parent;
    const Field* definition;
  };
  using Level = std::vector<std::pair<Selections, const Type*>>;

  void collect(Selections all, const Type& parent, std::set<const Fragment*>& seen,
               std::map<std::string_view, std::vector<Found>>& out) {
    for (const auto& x : all) {
      work();
      if (x.kind == Selection::Kind::field) {
        if (const auto* f = s_.field(parent, x.name, x.hash)) out[x.response_name()].push_back({&x, &parent, f});
      } else if (x.kind == Selection::Kind::inline_fragment) {
        const auto* t = x.name.empty() ? &parent : s_.type(x.name);
        if (t) collect(x.selections, *t, seen, out);
      } else if (const auto* f = fragment_named(x.name); f && seen.insert(f).second) {
        if (const auto* t = s_.type(f->on)) collect(f->selections, *t, seen, out);
      }
    }
  }

  void merging() {
    for (const auto& o : d_.operations()) merge_one(o.selections, *s_.root(o.kind), 0, true);
  }

  // `same`: whether all here may apply to one object; else only shapes are compared.
  void merge(const Level& level, std::size_t depth, bool same) {
    if (level.empty()) return;
    if (level.size() == 1) return merge_one(level[0].first, *level[0].second, depth, same);
    deep(depth);
    if (!checked_together_.insert({key(level), same}).second) return;
    merge_all(level, depth, same);
  }
  // One set of selections alone. Most hold no two of one response name: nothing is to be compared there.
  void merge_one(Selections all, const Type& parent, std::size_t depth, bool same) {
    deep(depth);
    const unsigned bit = same ? 1 : 2;
    auto& checked = checked_[all.front().index];
    if ((checked & bit) != 0) return;
    checked = static_cast<std::uint8_t>(checked | bit);
    if (!all.front().plain) return merge_all({{all, &parent}}, depth, same);
    for (const auto& x : all) {
      work();
      if (x.selections.empty()) continue;
      const auto* f = s_.field(parent, x.name, x.hash);
      if (f && f->returns && f->returns->composite()) merge_one(x.selections, *f->returns, depth + 1, same);
    }
  }
  void merge_all(const Level& level, std::size_t depth, bool same) {
    std::map<std::string_view, std::vector<Found>> by_name;
    std::set<const Fragment*> seen;
    for (const auto& [selections, parent] : level) collect(selections, *parent, seen, by_name);
    for (const auto& [name, fields] : by_name) {
      work(fields.size());
      for (std::size_t i = 1; i < fields.size(); ++i)
        if (!same_shape(fields[0].definition->type, fields[i].definition->type)) {
          wrong("Fields " + in_quotes(name) + " conflict because they return conflicting types " +
                    in_quotes(fields[0].definition->type.text()) + " and " +
                    in_quotes(fields[i].definition->type.text()) +
                    ". Use different aliases on the fields to fetch both if this was intentional.",
                {fields[0].field->at, fields[i].field->at});
        }
      // Those on different object types never meet; those on abstract types meet all.
      std::map<const Type*, std::vector<const Found*>> groups;
      std::vector<const Found*> abstract;
      for (const auto& f : fields) {
        if (same && f.parent->kind == TypeKind::object)
          groups[f.parent].push_back(&f);
        else
          abstract.push_back(&f);
      }
      if (!same) {
        merge(below(abstract), depth + 1, false);
        continue;
      }
      if (groups.empty()) groups[nullptr] = {};
      for (auto& [type, group] : groups) {
        group.insert(group.end(), abstract.begin(), abstract.end());
        work(group.size());
        for (std::size_t i = 1; i < group.size(); ++i) equal(name, *group[0], *group[i]);
        merge(below(group), depth + 1, true);
      }
      if (groups.size() > 1) {
        std::vector<const Found*> all;
        for (const auto& f : fields) all.push_back(&f);
        merge(below(all), depth + 1, false);
      }
    }
  }

  Level below(const std::vector<const Found*>& fields) {
    Level level;
    std::set<const Selection*> seen;
    for (const auto* f : fields)
      if (const auto* t = f->definition->returns;
          t && t->composite() && !f->field->selections.empty())
        if (seen.insert(f->field->selections.data()).second) level.emplace_back(f->field->selections, t);
    return level;
  }
  static std::vector<const void*> key(const Level& level) {
    std::vector<const void*> k;
    for (const auto& [selections, parent] : level) k.push_back(selections.data()), k.push_back(parent);
    return k;
  }

  void equal(std::string_view name, const Found& a, const Found& b) {
    std::string why;
    if (a.field->name != b.field->name)
      why = in_quotes(a.field->name) + " and " + in_quotes(b.field->name) + " are different fields";
    else if (!same_arguments(a.field->arguments, b.field->arguments))
      why = "they have differing arguments";
    if (!why.empty())
      wrong("Fields " + in_quotes(name) + " conflict because " + why +
                ". Use different aliases on the fields to fetch both if this was intentional.",
            {a.field->at, b.field->at});
  }
  bool same_arguments(std::span<Argument> a, std::span<Argument> b) {
    if (a.size() != b.size()) return false;
    for (const auto& x : a) {
      work();
      const auto it = std::ranges::find(b, x.name, &Argument::name);
      if (it == b.end() || !same_value(x.value, it->value)) return false;
    }
    return true;
  }
  bool same_value(const Value& a, const Value& b) {
    work();
    if (a.kind != b.kind || a.text != b.text || a.items.size() != b.items.size() ||
        a.fields.size() != b.fields.size())
      return false;
    for (std::size_t i = 0; i < a.items.size(); ++i)
      if (!same_value(a.items[i], b.items[i])) return false;
    for (const auto& f : a.fields) {
      const auto it = std::ranges::find(b.fields, f.name, &ObjectField::name);
      if (it == b.fields.end() || !same_value(f.value, it->value)) return false;
    }
    return true;
  }
  bool same_shape(const TypeUse& a, const TypeUse& b) {
    if (a.non_null != b.non_null) return false;
    if (a.name == b.name) return true;
    const auto* x = s_.type(a.name);
    const auto* y = s_.type(b.name);
    if (!x || !y) return true;
    return x->composite() && y->composite() ? true : a.name == b.name;
  }

  const Schema& s_;
  const Document& d_;
  const ValidationLimits& limits_;
  std::vector<Error> errors_;
  std::size_t work_ = 0;
  std::unordered_map<std::string_view, const Fragment*> by_name_;
  std::unordered_map<const Fragment*, std::vector<Use>> fragment_uses_;
  std::unordered_map<const Fragment*, std::set<const Fragment*>> fragment_spreads_;
  std::vector<Use>* uses_ = nullptr;
  std::set<const Fragment*>* spreads_ = nullptr;
  std::vector<std::uint8_t> checked_;  // by the index of a set's first selection: 1 as one object's, 2 as shapes
  std::set<std::pair<std::vector<const void*>, bool>> checked_together_;
};

}  // namespace

std::optional<std::string> misfit(const Schema& schema, const Constant& value, const TypeUse& type,
                                  bool json) {
  return misfit_at(schema, value, type, schema.type(type.name), 0, json);
}

std::vector<Error> validate(const Schema& schema, const Document& document, const ValidationLimits& limits) {
  return Validator(schema, document, limits).run();
}

}  // namespace docklift::graphql
