#include "graphql/introspect.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <set>

#include "graphql/request.hpp"

namespace docklift::graphql {

namespace {

using nlohmann::ordered_json;

struct TooLarge {};

std::string literal(const Constant& c) {
  switch (c.kind) {
    case ValueKind::string:
      return ordered_json(c.text).dump(-1, ' ', false, ordered_json::error_handler_t::replace);
    case ValueKind::null: return "null";
    case ValueKind::list: {
      std::string all = "[";
      for (const auto& i : c.items) all.append(all.size() > 1 ? ", " : "").append(literal(i));
      return all.append("]");
    }
    case ValueKind::object: {
      std::string all = "{";
      for (const auto& [k, v] : c.fields)
        all.append(all.size() > 1 ? ", " : "").append(k).append(": ").append(literal(v));
      return all.append("}");
    }
    default: return c.text;
  }
}

class Introspection {
 public:
  Introspection(const Schema& s, const Document& d, const Variables& v, std::size_t most)
      : s_(s), d_(d), v_(v), most_(most) {}

  ordered_json run(const Operation& o) {
    return each({o.selections}, "Query", [&](const Selection& x, const Merged& inner) -> ordered_json {
      if (x.name == "__schema") return schema(inner);
      const auto name = argument(x, "name");
      const auto* t = name ? s_.type(name->text) : nullptr;
      return t ? type(*t, inner) : ordered_json(nullptr);
    });
  }

 private:
  using Merged = std::vector<Selections>;

  // One object: its fields in their order, each with all selections of that response name.
  template <class Resolve>
  ordered_json each(const Merged& selections, const char* type_name, Resolve resolve) {
    if (++made_ > most_) throw TooLarge{};
    std::vector<std::pair<std::string_view, std::vector<const Selection*>>> groups;
    std::set<std::string_view> spread;
    for (const auto& s : selections) collect(s, spread, groups);
    ordered_json out = ordered_json::object();
    for (const auto& [name, fields] : groups) {
      const std::string key(name);
      if (fields.front()->name == "__typename") {
        out[key] = type_name;
        continue;
      }
      Merged inner;
      for (const auto* f : fields) inner.push_back(f->selections);
      out[key] = resolve(*fields.front(), inner);
    }
    return out;
  }
  template <class Groups>
  void collect(Selections all, std::set<std::string_view>& spread, Groups& groups) {
    for (const auto& x : all) {
      if (++made_ > most_) throw TooLarge{};
      if (!included(x.directives, v_)) continue;
      if (x.kind == Selection::Kind::field) {
        const auto it = std::ranges::find(groups, x.response_name(), [](const auto& g) { return g.first; });
        if (it == groups.end())
          groups.emplace_back(x.response_name(), std::vector<const Selection*>{&x});
        else
          it->second.push_back(&x);
      } else if (x.kind == Selection::Kind::inline_fragment) {
        collect(x.selections, spread, groups);
      } else if (spread.insert(x.name).second) {
        if (const auto* f = d_.fragment(x.name)) collect(f->selections, spread, groups);
      }
    }
  }
  std::optional<Constant> argument(const Selection& x, std::string_view name) const {
    for (const auto& a : x.arguments) {
      if (a.name != name) continue;
      if (a.value.kind != ValueKind::variable) return constant_of(a.value);
      if (const auto it = v_.find(a.value.text); it != v_.end()) return it->second;
    }
    return std::nullopt;
  }
  template <class Items, class Make>
  static ordered_json list(const Items& items, Make make) {
    auto all = ordered_json::array();
    for (const auto& i : items) all.push_back(make(i));
    return all;
  }
  ordered_json named(const std::string& name, const Merged& inner) {
    const auto* t = s_.type(name);
    return t ? type(*t, inner) : ordered_json(nullptr);
  }

  ordered_json schema(const Merged& selections) {
    return each(selections, "__Schema", [&](const Selection& x, const Merged& inner) -> ordered_json {
      const auto root = [&](OperationKind kind) {
        return s_.root(kind) ? type(*s_.root(kind), inner) : ordered_json(nullptr);
      };
      if (x.name == "types") return list(s_.types(), [&](const auto& t) { return type(t.second, inner); });
      if (x.name == "queryType") return root(OperationKind::query);
      if (x.name == "mutationType") return root(OperationKind::mutation);
      if (x.name == "subscriptionType") return root(OperationKind::subscription);
      if (x.name == "directives")
        return list(s_.directives(), [&](const auto& d) { return directive(d.first, d.second, inner); });
      return nullptr;
    });
  }

  ordered_json type(const Type& t, const Merged& selections) {
    return each(selections, "__Type", [&](const Selection& x, const Merged& inner) -> ordered_json {
      static constexpr std::array kKinds{"SCALAR", "OBJECT", "INTERFACE", "UNION", "ENUM", "INPUT_OBJECT"};
      const bool fields = t.kind == TypeKind::object || t.kind == TypeKind::interface;
      if (x.name == "kind") return kKinds.at(static_cast<std::size_t>(t.kind));
      if (x.name == "name") return t.name;
      if (x.name == "fields" && fields) {
        auto all = ordered_json::array();
        for (const auto& [name, f] : t.fields) all.push_back(field(f, inner));
        return all;
      }
      if (x.name == "interfaces" && fields)
        return list(t.interfaces, [&](const auto& i) { return named(i, inner); });
      if (x.name == "possibleTypes" && (t.kind == TypeKind::interface || t.kind == TypeKind::union_type))
        return list(t.possible, [&](const auto& p) { return named(p, inner); });
      if (x.name == "enumValues" && t.kind == TypeKind::enumeration)
        return list(t.values, [&](const auto& v) {
          return each(inner, "__EnumValue", [&](const Selection& y, const Merged&) -> ordered_json {
            if (y.name == "name") return v;
            if (y.name == "isDeprecated") return false;
            return nullptr;
          });
        });
      if (x.name == "inputFields" && t.kind == TypeKind::input)
        return list(t.inputs, [&](const auto& i) { return input(i, inner); });
      return nullptr;
    });
  }
  // A use of a type from its wrapping `level` on; `non_null_seen`: that wrapping has been told already.
  ordered_json use(const TypeUse& u, std::size_t level, bool non_null_seen, const Merged& selections) {
    const bool non_null = u.non_null.at(level) && !non_null_seen;
    if (!non_null && level == u.lists()) return named(u.name, selections);
    return each(selections, "__Type", [&](const Selection& x, const Merged& inner) -> ordered_json {
      if (x.name == "kind") return non_null ? "NON_NULL" : "LIST";
      if (x.name == "ofType") return non_null ? use(u, level, true, inner) : use(u, level + 1, false, inner);
      return nullptr;
    });
  }
  ordered_json field(const Field& f, const Merged& selections) {
    return each(selections, "__Field", [&](const Selection& x, const Merged& inner) -> ordered_json {
      if (x.name == "name") return f.name;
      if (x.name == "args") return list(f.arguments, [&](const auto& i) { return input(i, inner); });
      if (x.name == "type") return use(f.type, 0, false, inner);
      if (x.name == "isDeprecated") return false;
      return nullptr;
    });
  }
  ordered_json input(const Input& i, const Merged& selections) {
    return each(selections, "__InputValue", [&](const Selection& x, const Merged& inner) -> ordered_json {
      if (x.name == "name") return i.name;
      if (x.name == "type") return use(i.type, 0, false, inner);
      if (x.name == "defaultValue" && i.fallback) return literal(*i.fallback);
      if (x.name == "isDeprecated") return false;
      return nullptr;
    });
  }
  ordered_json directive(const std::string& name, const DirectiveUse& d, const Merged& selections) {
    return each(selections, "__Directive", [&](const Selection& x, const Merged& inner) -> ordered_json {
      if (x.name == "name") return name;
      if (x.name == "locations") return list(d.locations, [](const auto& l) { return ordered_json(l); });
      if (x.name == "args") return list(d.arguments, [&](const auto& i) { return input(i, inner); });
      if (x.name == "isRepeatable") return d.repeatable;
      return nullptr;
    });
  }

  const Schema& s_;
  const Document& d_;
  const Variables& v_;
  std::size_t most_, made_ = 0;
};

}  // namespace

std::string introspected(const Schema& schema, const Document& document, const Operation& operation,
                         const Variables& variables, std::size_t most) {
  try {
    return ordered_json{{"data", Introspection(schema, document, variables, most).run(operation)}}.dump(
        -1, ' ', false, ordered_json::error_handler_t::replace);
  } catch (const TooLarge&) {
    return error_answer({{"The answer would be too large.", {}, {}, "LIMIT_EXCEEDED"}});
  }
}

}  // namespace docklift::graphql
