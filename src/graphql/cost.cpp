#include "graphql/cost.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <unordered_map>

#include "graphql/validate.hpp"

namespace docklift::graphql {

namespace {

// What a value is once variables are put in; none: not given at all.
std::optional<Constant> resolved(const Value& v, const Variables& variables) {
  if (v.kind == ValueKind::variable) {
    const auto it = variables.find(v.text);
    return it == variables.end() ? std::nullopt : std::optional(it->second);
  }
  Constant c{v.kind, std::string(v.text), {}, {}};
  for (const auto& i : v.items) c.items.push_back(resolved(i, variables).value_or(Constant{}));
  for (const auto& f : v.fields)
    if (auto x = resolved(f.value, variables)) c.fields.emplace_back(std::string(f.name), std::move(*x));
  return c;
}

class Counter {
 public:
  Counter(const Schema& s, const Document& d, const Variables& v, const CostOptions& o)
      : s_(s), variables_(v), o_(o) {
    for (const auto& f : d.fragments()) fragments_.emplace(f.name, &f);
  }

  using Merged = std::vector<Selections>;  // selections that are executed as one
  static std::span<const Selections> alone(const Selections& all) { return {&all, 1}; }
  using Several = std::span<const Selections>;

  // The fields of an object of that type, or of any possible one, by response name; kept.
  struct Fields {
    struct One {
      const Field* field = nullptr;
      const Selection* first = nullptr;
      Merged inner;
    };
    std::map<std::string, One, std::less<>> by_name;
    double own = 0;  // their weights with those of their arguments
  };
  const Fields& fields_of(const Type& type, const Merged& selections) {
    std::vector<const void*> key{&type};
    for (const auto& x : selections) key.push_back(x.data());
    auto& f = fields_[key];
    if (f) return *f;
    f = std::make_unique<Fields>();
    for (const auto* possible : type.objects) {
      const auto& object = *possible;
      Collected all;
      for (const auto& x : selections) collect(x, object, all, 0);
      double own = 0;
      for (const auto& [response, fields] : all.groups) {
        const auto* field = object.field(fields.front()->name, fields.front()->hash);
        if (!field) continue;
        own = bounded(own + bounded(own_weight(*field, *fields.front())));
        auto& one = f->by_name[std::string(response)];
        if (one.field) continue;
        one.field = field, one.first = fields.front();
        for (const auto* x : fields) one.inner.push_back(x->selections);
      }
      f->own = std::max(f->own, own);
    }
    return *f;
  }
  double element_weight(const Type& returned) const {
    if (!returned.composite() || returned.weight || returned.kind == TypeKind::object)
      return weight_of(returned);
    double most = 0;
    for (const auto* t : returned.objects) most = std::max(most, weight_of(*t));
    return most;
  }
  const Type& root(const Operation& o) const { return *s_.root(o.kind); }
  double bounded(double n) const { return std::isnan(n) ? o_.most : std::clamp(n, 0.0, o_.most); }

  struct TooMuch {
    std::string why, code;
    Location at;
  };

  Cost run(const Operation& operation) {
    Cost c;
    try {
      const auto& root = *s_.root(operation.kind);
      const auto sum = of(alone(operation.selections), root, {}, 0, true);
      c.type = bounded(weight_of(root) + sum.type);
      c.field = sum.field;
    } catch (const TooMuch& x) {
      c.errors.push_back(
          {x.why, x.at.line == 0 ? std::vector<Location>{} : std::vector<Location>{x.at}, {}, x.code});
    }
    return c;
  }

 private:
  struct Sum {
    double type = 0, field = 0;
  };
  using Sizes = std::map<std::string_view, double>;  // that a field has told for lists below it

  void work(std::size_t steps) {
    if ((work_ += steps) > o_.work)
      throw TooMuch{"The query is too complex for its cost to be told.", "LIMIT_EXCEEDED", {}};
  }
  static double weight_of(const Type& t) {
    return t.weight.value_or(t.composite() || t.kind == TypeKind::input ? 1 : 0);
  }

  using Groups = std::vector<std::pair<std::string_view, std::vector<const Selection*>>>;
  struct Collected {
    Groups groups;
    std::unordered_map<std::string_view, std::size_t> index;
    std::set<std::string_view> spread;
  };

  // CollectFields for objects of that type.
  void collect(Selections all, const Type& object, Collected& to, std::size_t depth) {
    deep(depth);
    for (const auto& x : all) {
      work(1);
      if (!included(x.directives, variables_)) continue;
      if (x.kind == Selection::Kind::field) {
        const auto [it, fresh] = to.index.emplace(x.response_name(), to.groups.size());
        if (fresh) to.groups.emplace_back(x.response_name(), std::vector<const Selection*>{});
        to.groups[it->second].second.push_back(&x);
        continue;
      }
      auto on = x.name;
      auto inner = x.selections;
      if (x.kind == Selection::Kind::spread) {
        if (!to.spread.insert(x.name).second) continue;
        const auto* f = fragments_.at(x.name);
        on = f->on, inner = f->selections;
      }
      const auto* t = on.empty() ? &object : s_.type(on);
      if (t && t->possible.contains(object.name)) collect(inner, object, to, depth + 1);
    }
  }
  void deep(std::size_t depth) const {
    if (depth > o_.depth)
      throw TooMuch{
          "The query nests more than " + std::to_string(o_.depth) + " levels.", "LIMIT_EXCEEDED", {}};
  }

  // Whether nothing but fields of different names stands there: then there is nothing to collect.
  static bool plain(Selections all) { return all.empty() || all.front().plain; }

  // `once`: the way here is the only one, so that what is found need not be kept.
  Sum of(Several selections, const Type& object, const Sizes& sizes, std::size_t depth, bool once) {
    deep(depth);
    if (once && selections.size() == 1 && plain(selections[0])) return of_plain(selections[0], object, sizes, depth);
    std::vector<const void*> key;
    for (const auto& x : selections) key.push_back(x.data());
    std::ranges::sort(key);
    key.erase(std::unique(key.begin(), key.end()), key.end());
    key.push_back(&object);
    if (sizes.empty())
      if (const auto it = known_.find(key); it != known_.end()) return it->second;
    Sum sum;
    Collected all;
    for (const auto& x : selections) collect(x, object, all, depth);
    std::vector<Selections> inner;
    for (const auto& [name, fields] : all.groups) {
      const auto& first = *fields.front();
      const auto* f = object.field(first.name, first.hash);
      if (!f) continue;  // __typename and the like: answered by whoever has the schema
      inner.clear();
      for (const auto* m : fields) inner.push_back(m->selections);
      add(sum, field(*f, first, inner, sizes, depth, false));
    }
    if (sizes.empty()) known_.emplace(std::move(key), sum);
    return sum;
  }
  Sum of_plain(Selections all, const Type& object, const Sizes& sizes, std::size_t depth) {
    Sum sum;
    work(all.size());
    for (const auto& x : all) {
      if (!included(x.directives, variables_)) continue;
      const auto* f = object.field(x.name, x.hash);
      if (f) add(sum, field(*f, x, alone(x.selections), sizes, depth, true));
    }
    return sum;
  }
  void add(Sum& sum, const Sum& one) const {
    sum.type = bounded(sum.type + one.type), sum.field = bounded(sum.field + one.field);
  }

  // A field with what is selected of it, everywhere that it stands.
  Sum field(const Field& f, const Selection& x, Several inner, const Sizes& sizes, std::size_t depth, bool once) {
    const auto& returned = *f.returns;
    Sizes below;
    const double elements = size_of(f, x, sizes, below);
    const double own = own_weight(f, x);
    Sum each;  // of one element
    if (returned.composite()) {
      const bool one = once && returned.objects.size() == 1;
      for (const auto* t : returned.objects) {
        work(1);
        const auto sum = of(inner, *t, below, depth + 1, one);
        // The abstract type's own weight, where it has one, stands for all.
        const double weight = returned.weight ? *returned.weight : weight_of(*t);
        each.type = std::max(each.type, bounded(weight + sum.type));
        each.field = std::max(each.field, sum.field);
      }
    } else {
      each.type = weight_of(returned);
    }
    return {bounded(elements * each.type), bounded(bounded(own) + elements * each.field)};
  }

  double own_weight(const Field& f, const Selection& x) {
    double own = f.weight.value_or(f.returns->composite() ? 1 : 0);
    if (!f.arguments_may_weigh) return own;
    for (const auto& i : f.arguments)
      if (const auto value = argument(i, x)) own += input_weight(i, *value, 0);
    return own;
  }

  std::optional<Constant> argument(const Input& i, const Selection& x) const {
    const auto it = std::ranges::find(x.arguments, i.name, &Argument::name);
    if (it != x.arguments.end())
      if (auto v = resolved(it->value, variables_)) return v;
    return i.fallback;
  }

  // An argument, or a field of an input object, that is given.
  double input_weight(const Input& i, const Constant& v, std::size_t depth) {
    deep(depth);
    work(1);
    return i.weight.value_or(weight_of(*i.of)) + inside(*i.of, v, depth);
  }
  double inside(const Type& t, const Constant& v, std::size_t depth) {
    double sum = 0;
    for (const auto& item : v.items) sum += inside(t, item, depth + 1);
    for (const auto& [name, value] : v.fields)
      if (const auto* i = t.input(name)) sum += input_weight(*i, value, depth + 1);
    return sum;
  }

  // How many elements a field's list has at most; what it says of lists below goes to `below`.
  double size_of(const Field& f, const Selection& x, const Sizes& told, Sizes& below) {
    double size = f.type.lists() > 0 ? o_.list_size : 1;
    if (f.list_size) {
      const auto& l = *f.list_size;
      std::optional<double> sliced;
      std::size_t given = 0;
      for (const auto& path : l.slicing) {
        const auto n = slice(f, x, path);
        if (!n) continue;
        ++given;
        sliced = std::max(sliced.value_or(0), *n);
      }
      if (l.require_one && !l.slicing.empty() && given != 1)
        throw TooMuch{"Field \"" + f.name + "\" must be given exactly one of its slicing arguments.",
                      "BAD_USER_INPUT", x.at};
      const auto n = sliced ? *sliced : l.assumed.value_or(o_.list_size);
      if (l.sized.empty())
        size = n;
      else
        for (const auto& name : l.sized) below[name] = n;
    }
    if (const auto it = told.find(x.name); it != told.end()) size = it->second;
    for (std::size_t more = 1; more < f.type.lists(); ++more) size = bounded(size * o_.list_size);
    return size;
  }
  std::optional<double> slice(const Field& f, const Selection& x, const std::string& path) const {
    auto dot = path.find('.');
    if (dot == std::string::npos) {  // most often a number that stands there
      const auto it = std::ranges::find(x.arguments, path, &Argument::name);
      if (it != x.arguments.end() && it->value.kind == ValueKind::integer) return slice_of(f, x, it->value.text);
    }
    const auto* input = f.argument(path.substr(0, dot));
    if (!input) return std::nullopt;
    auto v = argument(*input, x);
    while (v && dot != std::string::npos) {
      const auto next = path.find('.', dot + 1);
      const auto name = path.substr(dot + 1, next == std::string::npos ? next : next - dot - 1);
      const auto it = std::ranges::find(v->fields, name, &std::pair<std::string, Constant>::first);
      v = it == v->fields.end() ? std::nullopt : std::optional<Constant>(Constant(it->second));
      dot = next;
    }
    if (!v || v->kind != ValueKind::integer) return std::nullopt;  // null: not given
    return slice_of(f, x, v->text);
  }
  static double slice_of(const Field& f, const Selection& x, std::string_view text) {
    double n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    if (n < 0)
      throw TooMuch{"Field \"" + f.name + "\" can't have a slicing argument below 0.", "BAD_USER_INPUT",
                    x.at};
    return n;
  }

  const Schema& s_;
  const Variables& variables_;
  const CostOptions& o_;
  std::unordered_map<std::string_view, const Fragment*> fragments_;
  std::map<std::vector<const void*>, Sum> known_;
  std::map<std::vector<const void*>, std::unique_ptr<Fields>> fields_;
  std::size_t work_ = 0;
};

// Follows an answer's tokens along the selections that asked for it.
class AnswerReader : public nlohmann::json_sax<nlohmann::json> {
 public:
  AnswerReader(Counter& counter, const Operation& operation, Counted& out, std::size_t depth)
      : counter_(counter), operation_(operation), out_(out), depth_(depth) {}

  bool null() override { return scalar(true); }
  bool boolean(bool) override { return scalar(); }
  bool number_integer(std::int64_t n) override { return number(static_cast<double>(n)); }
  bool number_unsigned(std::uint64_t n) override { return number(static_cast<double>(n)); }
  bool number_float(double n, const std::string&) override { return number(n); }
  bool string(std::string&) override { return scalar(); }
  bool binary(nlohmann::json::binary_t&) override { return false; }
  bool key(std::string& name) override {
    frames_.back().key = name;
    return true;
  }
  bool start_object(std::size_t) override {
    if (frames_.size() >= depth_) return false;
    auto f = below();
    f.object = true;
    if (f.place == Place::data && f.type && f.type->composite()) {
      out_.has_data = true;
      auto& c = out_.cost;
      f.fields = &counter_.fields_of(*f.type, f.inner);
      c.type = counter_.bounded(c.type + counter_.element_weight(*f.type));
      c.field = counter_.bounded(c.field + f.fields->own);
    }
    frames_.push_back(std::move(f));
    return true;
  }
  bool start_array(std::size_t) override {
    if (frames_.empty() || frames_.size() >= depth_) return false;
    frames_.push_back(below());
    return true;
  }
  bool end_object() override { return end(); }
  bool end_array() override { return end(); }
  bool parse_error(std::size_t, const std::string&, const nlohmann::json::exception&) override {
    return false;
  }

 private:
  enum class Place { top, data, errors, extensions, cost, elsewhere };
  struct Frame {
    Place place = Place::top;
    bool object = false;
    std::string key;
    const Type* type = nullptr;  // of what stands here, in data
    Counter::Merged inner;
    const Counter::Fields* fields = nullptr;
  };

  // What the value that begins now is, by where it stands.
  Frame below() {
    Frame f;
    if (frames_.empty()) return f;
    const auto& up = frames_.back();
    if (!up.object) {  // an item of a list is what the list is of
      f.place = up.place, f.type = up.type, f.inner = up.inner;
      return f;
    }
    f.place = Place::elsewhere;
    if (up.place == Place::top) {
      f.place = up.key == "data"         ? Place::data
                : up.key == "errors"     ? Place::errors
                : up.key == "extensions" ? Place::extensions
                                         : Place::elsewhere;
      if (f.place == Place::errors) out_.has_errors = true;
      if (f.place == Place::data) f.type = &counter_.root(operation_), f.inner = {operation_.selections};
    } else if (up.place == Place::extensions && up.key == "cost") {
      f.place = Place::cost;
    } else if (up.place == Place::data && up.fields) {
      const auto it = up.fields->by_name.find(up.key);
      if (it == up.fields->by_name.end()) return f;
      f.place = Place::data, f.type = it->second.field->returns, f.inner = it->second.inner;
    }
    return f;
  }
  bool scalar(bool null = false) {
    if (frames_.empty()) return false;
    const auto f = below();
    if (!null && f.place == Place::data && f.type && !f.type->composite())
      out_.cost.type = counter_.bounded(out_.cost.type + counter_.element_weight(*f.type));
    return true;
  }
  bool number(double n) {
    if (frames_.empty()) return false;
    const auto& up = frames_.back();
    const bool here = (up.place == Place::extensions && up.key == "cost") ||
                      (up.place == Place::cost && up.object && (up.key == "actual" || up.key == "typeCost"));
    if (here && std::isfinite(n) && n >= 0) out_.told = n;
    return scalar();
  }
  bool end() {
    frames_.pop_back();
    return true;
  }

  Counter& counter_;
  const Operation& operation_;
  Counted& out_;
  std::size_t depth_;
  std::vector<Frame> frames_;
};

}  // namespace

Counted counted(const Schema& schema, const Document& document, const Operation& operation,
                const Variables& variables, std::string_view answer, const CostOptions& options) {
  Counted out;
  Counter counter(schema, document, variables, options);
  AnswerReader reader(counter, operation, out, options.depth);
  try {
    out.whole = valid_utf8(answer) && nlohmann::json::sax_parse(answer, &reader);
  } catch (const Counter::TooMuch&) {
    out.whole = false;
  }
  return out;
}

double charged(const Counted& a, double bound, bool trust_server) {
  if (!a.whole) return bound;
  if (trust_server && a.told) return std::min(*a.told, bound);
  // Errors without data: how far it came is not shown.
  if (!a.has_data) return bound;
  return std::min(a.cost.type, bound);
}

bool included(std::span<const Directive> directives, const Variables& variables) {
  for (const auto& d : directives) {
    if (d.name != "skip" && d.name != "include") continue;
    for (const auto& a : d.arguments) {
      if (a.name != "if") continue;
      const auto v = resolved(a.value, variables);
      if (v && v->kind == ValueKind::boolean && (v->text == "true") == (d.name == "skip")) return false;
    }
  }
  return true;
}

Variables coerced(const Schema& schema, const Operation& operation, const Variables& given,
                  std::vector<Error>& errors) {
  Variables all;
  for (const auto& v : operation.variables) {
    const auto use = use_of(*v.type);
    const std::string name(v.name);
    const auto it = given.find(name);
    if (it == given.end()) {
      if (v.fallback)
        all[name] = constant_of(*v.fallback);
      else if (use.non_null.front())
        errors.push_back(
            {"Variable \"$" + name + "\" of required type \"" + use.text() + "\" was not provided.",
             {v.at},
             {},
             "BAD_USER_INPUT"});
      continue;
    }
    if (const auto why = misfit(schema, it->second, use, true))
      errors.push_back(
          {"Variable \"$" + name + "\" got invalid value; " + *why, {v.at}, {}, "BAD_USER_INPUT"});
    else
      all[name] = it->second;
  }
  return all;
}

Cost cost_of(const Schema& schema, const Document& document, const Operation& operation,
             const Variables& variables, const CostOptions& options) {
  return Counter(schema, document, variables, options).run(operation);
}

}  // namespace docklift::graphql
