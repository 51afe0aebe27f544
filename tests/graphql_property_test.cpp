// Validation and cost against plain readings of their specifications, over random documents: the merging of fields in the
// specification's own wording, pair by pair, and the cost without anything kept or skipped. A failing seed is told.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>

#include "graphql/cost.hpp"
#include "graphql/validate.hpp"

namespace docklift::graphql {
namespace {

constexpr const char* kSchema = R"(
  type Query { all(first: Int = 2): [A!]! @listSize(slicingArguments: ["first"]) one: A node: Node thing: Thing n: Int }
  interface Node { id: ID name(x: Int): String kids(first: Int = 3): [Node] @listSize(slicingArguments: ["first"]) }
  type A implements Node { id: ID name(x: Int): String other: Int b: B
    kids(first: Int = 3): [Node] @listSize(slicingArguments: ["first"]) }
  type B implements Node @cost(weight: "3") { id: ID name(x: Int): String other: String a: A @cost(weight: "5")
    kids(first: Int = 3): [Node] @listSize(slicingArguments: ["first"]) }
  union Thing = A | B
)";

const Schema& schema() {
  static const Schema s = [] {
    std::vector<Error> errors;
    auto read = Schema::read(kSchema, errors);
    return std::move(*read);
  }();
  return s;
}

// Documents that are valid but for fields that may not merge.
class Writer {
 public:
  explicit Writer(std::uint64_t seed) : random_(seed) {}
  std::string document() {
    std::string text = "query ($v: Boolean = true, $n: Int = 4) " + set("Query", 0, 0);
    for (std::size_t i = 0; i < kFragments; ++i)
      text += " fragment F" + std::to_string(i) + " on " + kOn[i] + " " + set(kOn[i], 2, i + 1);
    return text;
  }

 private:
  static constexpr std::size_t kFragments = 4;
  static constexpr const char* kOn[kFragments] = {"Node", "A", "Thing", "B"};

  std::size_t upto(std::size_t n) { return random_() % n; }
  template <class T, std::size_t N>
  T any(const T (&of)[N]) {
    return of[upto(N)];
  }
  std::string set(const std::string& type, int depth, std::size_t fragments_from) {
    std::string text = "{ ";
    const auto count = upto(15) == 0 ? 10 : 1 + upto(3);
    for (std::size_t i = 0; i < count; ++i) text += one(type, depth, fragments_from) + " ";
    return text + "}";
  }
  std::string directive() {
    static constexpr const char* kAll[] = {"", "", "", "", " @include(if: $v)", " @skip(if: $v)", " @include(if: false)"};
    return any(kAll);
  }
  std::string one(const std::string& type, int depth, std::size_t from) {
    const bool leaf = depth > 2;
    if (type != "Query" && upto(6) == 0) {
      static constexpr const char* kTypes[] = {"", " on A", " on B", " on Node", " on Thing"};
      std::string on = any(kTypes);
      if ((type == "A" && on == " on B") || (type == "B" && on == " on A")) on = "";
      if (depth > 6) return "__typename";
      return "..." + on + directive() + " " + set(on.empty() ? type : on.substr(4), depth + 1, from);
    }
    if (type != "Query" && from < kFragments && upto(6) == 0) {
      const auto f = from + upto(kFragments - from);
      if (!((type == "A" && std::string(kOn[f]) == "B") || (type == "B" && std::string(kOn[f]) == "A")))
        return "...F" + std::to_string(f) + directive();
    }
    static constexpr const char* kAlias[] = {"", "", "", "", "p: ", "q: ", "id: ", "r1: ", "r2: ", "r3: "};
    std::string alias = any(kAlias);
    const auto below = [&](const std::string& field, const std::string& t) {
      return alias + field + directive() + " " + set(t, depth + 1, from);
    };
    static constexpr const char* kFirst[] = {"", "", "", "", "", "(first: 1)", "(first: 7)", "(first: $n)", "(first: 0)"};
    if (type == "Query") {
      switch (upto(5)) {
        case 0: return below(std::string("all") + any(kFirst), "A");
        case 1: return below("one", "A");
        case 2: return below("node", "Node");
        case 3: return below("thing", "Thing");
        default: return alias + "n";
      }
    }
    if (type == "Thing") return alias + "__typename";
    static constexpr const char* kName[] = {"name", "name", "name", "id", "name(x: 1)", "name(x: 2)", "name(x: $n)", "id", "__typename"};
    const auto kind = upto(leaf ? 2 : 4);
    if (kind < 2) return alias + (kind == 0 && type != "Node" ? "other" : any(kName)) + directive();
    if (kind == 2 && type == "A") return below("b", "B");
    if (kind == 2 && type == "B") return below("a", "A");
    return below(std::string("kids") + any(kFirst), "Node");
  }

  std::mt19937_64 random_;
};

// ---- FieldsInSetCanMerge, in the specification's wording ------------------------------------------------------------

struct Standing {
  const Selection* field;
  const Type* parent;
  const Field* definition;
};

class PairByPair {
 public:
  explicit PairByPair(const Document& d) : d_(d) {}
  // None: it takes too long.
  std::optional<bool> good() {
    const bool all = merges(fields_of(d_.operations()[0].selections, *schema().root(OperationKind::query)));
    return steps_ > kMost ? std::nullopt : std::optional(all);
  }

 private:
  static constexpr std::size_t kMost = 200'000;

  std::vector<Standing> fields_of(Selections all, const Type& parent) {
    std::vector<Standing> out;
    std::set<std::string_view> seen;
    collect(all, parent, seen, out);
    return out;
  }
  void collect(Selections all, const Type& parent, std::set<std::string_view>& seen, std::vector<Standing>& out) {
    for (const auto& x : all) {
      if (x.kind == Selection::Kind::field) {
        const auto it = parent.fields.find(x.name);
        static const Field kTypename{"__typename", {"String", {true}}, {}, {}, {}};
        out.push_back({&x, &parent, it == parent.fields.end() ? &kTypename : &it->second});
      } else if (x.kind == Selection::Kind::inline_fragment) {
        collect(x.selections, x.name.empty() ? parent : *schema().type(x.name), seen, out);
      } else if (seen.insert(x.name).second) {
        const auto* f = d_.fragment(x.name);
        collect(f->selections, *schema().type(f->on), seen, out);
      }
    }
  }
  std::vector<Standing> below(const Standing& a, const Standing& b) {
    auto both = inner(a);
    const auto more = inner(b);
    both.insert(both.end(), more.begin(), more.end());
    return both;
  }
  std::vector<Standing> inner(const Standing& a) {
    if (a.field->selections.empty()) return {};
    return fields_of(a.field->selections, *schema().type(a.definition->type.name));
  }
  bool merges(const std::vector<Standing>& set) {
    for (std::size_t i = 0; i < set.size(); ++i)
      for (std::size_t k = 0; k <= i; ++k) {
        if (++steps_ > kMost) return true;
        const auto &a = set[k], &b = set[i];
        if (a.field->response_name() != b.field->response_name()) continue;
        if (i != k && !same_shape(a, b)) return false;
        const bool meet = a.parent == b.parent || a.parent->kind != TypeKind::object || b.parent->kind != TypeKind::object;
        if (!meet) continue;
        if (a.field->name != b.field->name || !same_arguments(*a.field, *b.field)) return false;
        if (!merges(i == k ? inner(a) : below(a, b))) return false;
      }
    return true;
  }
  bool same_shape(const Standing& a, const Standing& b) {
    if (++steps_ > kMost) return true;
    if (a.definition->type.non_null != b.definition->type.non_null) return false;
    const auto &x = *schema().type(a.definition->type.name), &y = *schema().type(b.definition->type.name);
    if (!x.composite() || !y.composite()) return &x == &y;
    const auto set = below(a, b);
    for (std::size_t i = 0; i < set.size(); ++i)
      for (std::size_t k = 0; k < i; ++k)
        if (set[i].field->response_name() == set[k].field->response_name() && !same_shape(set[k], set[i])) return false;
    return true;
  }
  static bool same_arguments(const Selection& a, const Selection& b) {
    if (a.arguments.size() != b.arguments.size()) return false;
    return a.arguments.empty() || (a.arguments[0].name == b.arguments[0].name &&
                                   a.arguments[0].value.kind == b.arguments[0].value.kind &&
                                   a.arguments[0].value.text == b.arguments[0].value.text);
  }

  const Document& d_;
  std::size_t steps_ = 0;
};

// ---- Cost, without anything kept or skipped -----------------------------------------------------------------------------

class Plainly {
 public:
  Plainly(const Document& d, const Variables& v) : d_(d), variables_(v) {}
  Cost cost() {
    auto c = of({d_.operations()[0].selections}, *schema().root(OperationKind::query));
    c.type += 1;
    return c;
  }
  bool too_long() const { return steps_ > 200'000; }

 private:
  using Groups = std::vector<std::vector<const Selection*>>;
  void collect(Selections all, const Type& object, std::set<std::string_view>& spread, Groups& out) {
    for (const auto& x : all) {
      if (!included(x.directives, variables_)) continue;
      if (x.kind == Selection::Kind::field) {
        auto it = std::ranges::find_if(out, [&](const auto& g) { return g[0]->response_name() == x.response_name(); });
        if (it == out.end()) it = out.insert(out.end(), std::vector<const Selection*>{});
        it->push_back(&x);
        continue;
      }
      const auto* f = x.kind == Selection::Kind::spread ? d_.fragment(x.name) : nullptr;
      if (f && !spread.insert(x.name).second) continue;
      const auto on = f ? f->on : x.name;
      if (on.empty() || schema().type(on)->possible.contains(object.name))
        collect(f ? f->selections : x.selections, object, spread, out);
    }
  }
  Cost of(const std::vector<Selections>& all, const Type& object) {
    Cost sum;
    if (++steps_ > 200'000) return sum;
    Groups groups;
    std::set<std::string_view> spread;
    for (const auto& x : all) collect(x, object, spread, groups);
    for (const auto& g : groups) {
      const auto it = object.fields.find(g[0]->name);
      if (it == object.fields.end()) continue;
      const auto& f = it->second;
      const auto& returned = *schema().type(f.type.name);
      double elements = 1;
      if (f.list_size) {
        elements = std::stod(f.argument("first")->fallback->text);
        if (!g[0]->arguments.empty()) {
          const auto& v = g[0]->arguments[0].value;
          elements = std::stod(v.kind == ValueKind::variable ? variables_.at(std::string(v.text)).text : std::string(v.text));
        }
      }
      Cost each;
      std::vector<Selections> inner;
      for (const auto* x : g) inner.push_back(x->selections);
      if (returned.composite())
        for (const auto& name : returned.possible) {
          const auto& t = *schema().type(name);
          const auto c = of(inner, t);
          each.type = std::max(each.type, t.weight.value_or(1) + c.type);
          each.field = std::max(each.field, c.field);
        }
      sum.type += elements * each.type;
      sum.field += f.weight.value_or(returned.composite() ? 1 : 0) + elements * each.field;
    }
    return sum;
  }

  const Document& d_;
  const Variables& variables_;
  std::size_t steps_ = 0;
};

TEST(GraphqlProperties, MergingAndCostAreWhatTheSpecificationsSay) {
  std::size_t good = 0, conflicts = 0, costed = 0;
  for (std::uint64_t seed = 1; seed <= 6000; ++seed) {
    const auto text = Writer(seed).document();
    const auto d = Document::executable(text, {.aliases = 10'000, .directives = 10'000});
    ASSERT_TRUE(d.good()) << seed << ": " << text << "\n" << d.errors()[0].message;
    const auto errors = validate(schema(), d);
    for (const auto& e : errors) {
      ASSERT_NE(e.message.find("conflict because"), std::string::npos) << seed << ": " << e.message << "\n" << text;
    }
    if (const auto wanted = PairByPair(d).good()) {
      ASSERT_EQ(errors.empty(), *wanted) << seed << ": " << text;
      ++(*wanted ? good : conflicts);
    }
    if (!errors.empty()) continue;
    std::vector<Error> wrong;
    const auto variables = coerced(schema(), d.operations()[0], {}, wrong);
    ASSERT_TRUE(wrong.empty());
    Plainly plainly(d, variables);
    const auto wanted = plainly.cost();
    if (plainly.too_long()) continue;
    const auto cost = cost_of(schema(), d, d.operations()[0], variables, {.work = 10'000'000});
    ASSERT_TRUE(cost.errors.empty()) << seed;
    ASSERT_DOUBLE_EQ(cost.type, wanted.type) << seed << ": " << text;
    ASSERT_DOUBLE_EQ(cost.field, wanted.field) << seed << ": " << text;
    ++costed;
  }
  EXPECT_GT(good, 500U);
  EXPECT_GT(conflicts, 500U);
  EXPECT_GT(costed, 500U);
}

}  // namespace
}  // namespace docklift::graphql
