#include <algorithm>
#include <bit>
#include <cstring>
#include <tuple>
#include <utility>

#include "graphql/document.hpp"

namespace docklift::graphql {

namespace {

// What is taken for the tree at first: enough for most documents.
constexpr std::size_t kArenaPerByte = 8, kArenaLeast = 1024;

}  // namespace

// Recursive descent with a depth that is counted, one token ahead. The first mistake ends it.
class Parser {
 public:
  Parser(Document& document, const Limits& limits)
      : doc_(document), limits_(limits), lexer_(document.text()) {}

  void executable() {
    open();
    do {
      if (at('{')) {
        Operation o;
        o.at = token_.at;
        o.selections = selections();
        doc_.operations_.push_back(o);
      } else if (at_name("query") || at_name("mutation") || at_name("subscription")) {
        operation();
      } else if (at_name("fragment")) {
        fragment();
      } else {
        unexpected();
      }
      check_count(doc_.operations_.size() + doc_.fragments_.size());
    } while (token_.kind != TokenKind::end);
  }

  void type_system() {
    open();
    do {
      if (token_.kind == TokenKind::string || token_.kind == TokenKind::block_string)
        shift();  // a description
      const auto begun = token_.at;
      bool extends = false;
      if (at_name("extend")) shift(), extends = true;
      if (at_name("schema"))
        schema();
      else if (at_name("directive") && !extends)
        directive_definition();
      else
        type(begun, extends);
    } while (token_.kind != TokenKind::end);
  }

 private:
  struct Stop {};  // the first mistake

  // ---- Tokens ---------------------------------------------------------------------------------------------

  [[noreturn]] void fail(std::string message, Location where, std::string code = "GRAPHQL_PARSE_FAILED") {
    doc_.errors_.push_back({std::move(message), {where}, {}, std::move(code)});
    throw Stop{};
  }
  [[noreturn]] void over(const char* what, std::size_t most) {
    fail(std::string("The document has more than ") + std::to_string(most) + " " + what, token_.at,
         "LIMIT_EXCEEDED");
  }
  [[noreturn]] void unexpected() {
    std::string message = "Syntax Error: Unexpected ";
    if (token_.kind == TokenKind::end)
      message += "<EOF>";
    else
      message.append("\"").append(token_.text.substr(0, 40)).append("\"");
    fail(std::move(message), token_.at);
  }
  void open() {
    if (doc_.text().size() > limits_.bytes) over("bytes", limits_.bytes);
    if (!valid_utf8(doc_.text())) fail("Syntax Error: The document is not UTF-8", {1, 1});
    shift();
    if (token_.kind == TokenKind::end) unexpected();
  }
  void shift() {
    token_ = lexer_.next();
    if (token_.kind == TokenKind::wrong) fail("Syntax Error: " + lexer_.why(), token_.at);
    if (++tokens_ > limits_.tokens) over("tokens", limits_.tokens);
  }
  // Each punctuator has a first character of its own.
  bool at(char punctuator) const {
    return token_.kind == TokenKind::punctuator && token_.text.front() == punctuator;
  }
  bool at_name(std::string_view name) const { return token_.kind == TokenKind::name && token_.text == name; }
  bool take(char punctuator) {
    if (!at(punctuator)) return false;
    shift();
    return true;
  }
  void expect(char punctuator) {
    if (!take(punctuator)) unexpected();
  }
  void expect_name(std::string_view name) {
    if (!at_name(name)) unexpected();
    shift();
  }
  std::string_view name() {
    if (token_.kind != TokenKind::name) unexpected();
    const auto text = token_.text;
    name_hash_ = token_.hash;
    shift();
    return text;
  }
  void check_count(std::size_t n) {
    if (n > limits_.breadth) over("items in one list", limits_.breadth);
  }

  struct Deeper {
    explicit Deeper(Parser& p) : parser(p) {
      if (++parser.depth_ > parser.limits_.depth) parser.over("levels", parser.limits_.depth);
    }
    ~Deeper() { --parser.depth_; }
    Deeper(const Deeper&) = delete;
    Deeper& operator=(const Deeper&) = delete;
    Parser& parser;
  };

  // ---- The arena --------------------------------------------------------------------------------------------

  template <class T>
  T* make(T value) {
    static_assert(std::is_trivially_destructible_v<T>);
    return new (doc_.arena_->allocate(sizeof(T), alignof(T))) T(std::move(value));
  }
  template <class T>
  std::span<T> keep(std::span<const T> items) {
    static_assert(std::is_trivially_copyable_v<T>);
    if (items.empty()) return {};
    auto* to = static_cast<T*>(doc_.arena_->allocate(items.size() * sizeof(T), alignof(T)));
    std::uninitialized_copy(items.begin(), items.end(), to);
    return {to, items.size()};
  }
  std::string_view keep(const std::string& text) {
    if (text.empty()) return {};
    auto* to = static_cast<char*>(doc_.arena_->allocate(text.size(), 1));
    std::memcpy(to, text.data(), text.size());
    return {to, text.size()};
  }

  // The items of all lists that are being read, the innermost last: one vector for all lists of a kind.
  template <class T>
  std::vector<T>& open_items() {
    return std::get<std::vector<T>>(open_);
  }
  template <class T>
  std::span<T> close_items(std::size_t base) {
    auto& all = open_items<T>();
    const auto kept = keep(std::span<const T>(all).subspan(base));
    all.resize(base);
    return kept;
  }
  template <class T>
  void add_item(std::size_t base, T item) {
    open_items<T>().push_back(std::move(item));
    check_count(open_items<T>().size() - base);
  }
  // Items between two punctuators, at least one.
  template <class T, class Read>
  std::span<T> list(char open, char close, Read read) {
    expect(open);
    const auto base = open_items<T>().size();
    do add_item<T>(base, read());
    while (!at(close));
    shift();
    return close_items<T>(base);
  }

  // ---- Executable documents ------------------------------------------------------------------------------------

  void operation() {
    Operation o;
    o.at = token_.at;
    o.kind = at_name("query")      ? OperationKind::query
             : at_name("mutation") ? OperationKind::mutation
                                   : OperationKind::subscription;
    shift();
    if (token_.kind == TokenKind::name) o.name = name();
    if (at('(')) o.variables = list<VariableDefinition>('(', ')', [&] { return variable(); });
    o.directives = directives(false);
    o.selections = selections();
    doc_.operations_.push_back(o);
  }
  VariableDefinition variable() {
    VariableDefinition v;
    v.at = token_.at;
    expect('$');
    v.name = name();
    expect(':');
    v.type = type_ref();
    if (take('=')) v.fallback = make(value(true));
    v.directives = directives(true);
    return v;
  }
  void fragment() {
    Fragment f;
    f.at = token_.at;
    shift();
    if (at_name("on")) unexpected();
    f.name = name();
    expect_name("on");
    f.on = name();
    f.directives = directives(false);
    f.selections = selections();
    doc_.fragments_.push_back(f);
  }
  Selections selections() {
    const Deeper deeper(*this);
    const auto all = list<Selection>('{', '}', [&] { return selection(); });
    all.front().plain = is_plain(all);
    return all;
  }
  // Two names of one hash count as one: then whoever asks takes the longer way.
  bool is_plain(Selections all) {
    for (const auto& x : all)
      if (x.kind != Selection::Kind::field) return false;
    if (all.size() <= kFewNames) {
      for (std::size_t i = 1; i < all.size(); ++i)
        for (std::size_t k = 0; k < i; ++k)
          if (all[i].response_hash == all[k].response_hash) return false;
      return true;
    }
    const auto size = std::bit_ceil(2 * all.size());
    if (names_seen_.size() < size) names_seen_.assign(size, {});
    ++round_;
    for (const auto& x : all) {
      auto at = x.response_hash & (names_seen_.size() - 1);
      for (; names_seen_[at].round == round_; at = (at + 1) & (names_seen_.size() - 1))
        if (names_seen_[at].hash == x.response_hash) return false;
      names_seen_[at] = {round_, x.response_hash};
    }
    return true;
  }
  Selection selection() {
    Selection s;
    s.at = token_.at;
    s.index = static_cast<std::uint32_t>(doc_.selections_++);
    if (take('.')) {
      if (token_.kind == TokenKind::name && token_.text != "on") {
        s.kind = Selection::Kind::spread;
        s.name = name();
        s.directives = directives(false);
        return s;
      }
      s.kind = Selection::Kind::inline_fragment;
      if (at_name("on")) shift(), s.name = name();
      s.directives = directives(false);
      s.selections = selections();
      return s;
    }
    s.name = name();
    s.hash = s.response_hash = name_hash_;
    if (take(':')) {
      if (++aliases_ > limits_.aliases) over("aliases", limits_.aliases);
      s.alias = std::exchange(s.name, name());
      s.hash = name_hash_;
    }
    s.arguments = arguments(false);
    s.directives = directives(false);
    if (at('{')) s.selections = selections();
    return s;
  }
  std::span<Argument> arguments(bool constant) {
    if (!at('(')) return {};
    return list<Argument>('(', ')', [&] {
      Argument a;
      a.at = token_.at;
      a.name = name();
      expect(':');
      a.value = value(constant);
      return a;
    });
  }
  std::span<Directive> directives(bool constant) {
    if (!at('@')) return {};
    const auto base = open_items<Directive>().size();
    while (at('@')) {
      Directive d;
      d.at = token_.at;
      shift();
      d.name = name();
      d.arguments = arguments(constant);
      add_item(base, d);
      if (++directives_ > limits_.directives) over("directives", limits_.directives);
    }
    return close_items<Directive>(base);
  }
  Value value(bool constant) {
    const Deeper deeper(*this);
    Value v;
    v.at = token_.at;
    v.text = token_.text;
    switch (token_.kind) {
      case TokenKind::integer: v.kind = ValueKind::integer; break;
      case TokenKind::real: v.kind = ValueKind::real; break;
      case TokenKind::string: {
        v.kind = ValueKind::string;
        std::string text, why;
        if (token_.text.find('\\') != std::string_view::npos) {
          if (!unescape(token_.text, text, why)) fail("Syntax Error: " + why, token_.at);
          v.text = keep(text);
        }
        break;
      }
      case TokenKind::block_string:
        v.kind = ValueKind::string;
        v.text = keep(block_value(token_.text));
        break;
      case TokenKind::name:
        v.kind = token_.text == "null"                             ? ValueKind::null
                 : token_.text == "true" || token_.text == "false" ? ValueKind::boolean
                                                                   : ValueKind::enumeration;
        break;
      default:
        if (at('$') && !constant) {
          shift();
          v.kind = ValueKind::variable;
          v.text = name();
          return v;
        }
        if (take('[')) {
          v.kind = ValueKind::list, v.text = {};
          const auto base = open_items<Value>().size();
          while (!at(']')) add_item(base, value(constant));
          shift();
          v.items = close_items<Value>(base);
          return v;
        }
        if (take('{')) {
          v.kind = ValueKind::object, v.text = {};
          const auto base = open_items<ObjectField>().size();
          while (!at('}')) {
            ObjectField f;
            f.at = token_.at;
            f.name = name();
            expect(':');
            f.value = value(constant);
            add_item(base, f);
          }
          shift();
          v.fields = close_items<ObjectField>(base);
          return v;
        }
        unexpected();
    }
    shift();
    return v;
  }
  TypeRef* type_ref() {
    const Deeper deeper(*this);
    TypeRef t;
    t.at = token_.at;
    if (take('[')) {
      t.of = type_ref();
      expect(']');
    } else {
      t.name = name();
    }
    t.non_null = take('!');
    return make(t);
  }

  // ---- The type system ------------------------------------------------------------------------------------------

  void describe() {
    if (token_.kind == TokenKind::string || token_.kind == TokenKind::block_string) shift();
  }
  InputDefinition input() {
    describe();
    InputDefinition i;
    i.at = token_.at;
    i.name = name();
    expect(':');
    i.type = type_ref();
    if (take('=')) i.fallback = make(value(true));
    i.directives = directives(true);
    return i;
  }
  std::span<InputDefinition> inputs(char open, char close) {
    if (!at(open)) return {};
    return list<InputDefinition>(open, close, [&] { return input(); });
  }
  // Names with one punctuator between them, and perhaps one before the first.
  std::span<std::string_view> names(char between) {
    std::vector<std::string_view> all;
    take(between);
    do {
      all.push_back(name());
      check_count(all.size());
    } while (take(between));
    return keep(std::span<const std::string_view>(all));
  }
  void schema() {
    SchemaDefinition s;
    s.at = token_.at;
    shift();
    directives(true);
    if (at('{')) {
      shift();
      while (!at('}')) {
        const auto what = token_;
        const auto kind = name();
        expect(':');
        const auto type = name();
        if (kind == "query")
          s.query = type;
        else if (kind == "mutation")
          s.mutation = type;
        else if (kind == "subscription")
          s.subscription = type;
        else
          fail("Syntax Error: Unexpected root operation", what.at);
      }
      shift();
    }
    doc_.schemas_.push_back(s);
  }
  void directive_definition() {
    DirectiveDefinition d;
    d.at = token_.at;
    shift();
    expect('@');
    d.name = name();
    d.arguments = inputs('(', ')');
    if (at_name("repeatable")) shift(), d.repeatable = true;
    expect_name("on");
    d.locations = names('|');
    doc_.directives_.push_back(d);
  }
  void type(Location begun, bool extends) {
    TypeDefinition t;
    t.at = begun, t.extends = extends;
    const auto kind = token_.kind == TokenKind::name ? token_.text : std::string_view();
    if (kind == "scalar")
      t.kind = TypeKind::scalar;
    else if (kind == "type")
      t.kind = TypeKind::object;
    else if (kind == "interface")
      t.kind = TypeKind::interface;
    else if (kind == "union")
      t.kind = TypeKind::union_type;
    else if (kind == "enum")
      t.kind = TypeKind::enumeration;
    else if (kind == "input")
      t.kind = TypeKind::input;
    else
      unexpected();
    shift();
    t.name = name();
    const bool fields = t.kind == TypeKind::object || t.kind == TypeKind::interface;
    if (fields && at_name("implements")) shift(), t.interfaces = names('&');
    t.directives = directives(true);
    if (fields && at('{')) {
      t.fields = list<FieldDefinition>('{', '}', [&] {
        describe();
        FieldDefinition f;
        f.at = token_.at;
        f.name = name();
        f.arguments = inputs('(', ')');
        expect(':');
        f.type = type_ref();
        f.directives = directives(true);
        return f;
      });
    } else if (t.kind == TypeKind::union_type && take('=')) {
      t.interfaces = names('|');
    } else if (t.kind == TypeKind::enumeration && at('{')) {
      t.interfaces = list<std::string_view>('{', '}', [&] {
        describe();
        if (at_name("true") || at_name("false") || at_name("null")) unexpected();
        const auto value = name();
        directives(true);
        return value;
      });
    } else if (t.kind == TypeKind::input) {
      t.inputs = inputs('{', '}');
    }
    doc_.types_.push_back(t);
  }

 public:
  // Runs one of the two; what was read before a mistake is dropped.
  template <class What>
  void run(What what) {
    try {
      (this->*what)();
    } catch (const Stop&) {
      doc_.operations_.clear(), doc_.fragments_.clear(), doc_.types_.clear(), doc_.directives_.clear(),
          doc_.schemas_.clear();
    }
  }

 private:
  Document& doc_;
  const Limits& limits_;
  Lexer lexer_;
  Token token_;
  std::size_t tokens_ = 0, depth_ = 0, aliases_ = 0, directives_ = 0;
  std::uint32_t name_hash_ = 0;  // of the last name
  std::tuple<std::vector<Selection>, std::vector<Argument>, std::vector<Directive>, std::vector<Value>,
             std::vector<ObjectField>, std::vector<VariableDefinition>, std::vector<FieldDefinition>,
             std::vector<InputDefinition>, std::vector<std::string_view>>
      open_;
  static constexpr std::size_t kFewNames = 8;  // compared with each other; more go by a table
  struct NameSeen {
    std::uint32_t round = 0, hash = 0;
  };
  std::vector<NameSeen> names_seen_;
  std::uint32_t round_ = 0;
};

Document Document::executable(std::string text, const Limits& limits) {
  Document d;
  d.text_ = std::make_unique<std::string>(std::move(text));
  d.arena_ = std::make_unique<std::pmr::monotonic_buffer_resource>(kArenaPerByte * d.text_->size() + kArenaLeast);
  Parser(d, limits).run(&Parser::executable);
  return d;
}

Document Document::type_system(std::string text, const Limits& limits) {
  Document d;
  d.text_ = std::make_unique<std::string>(std::move(text));
  d.arena_ = std::make_unique<std::pmr::monotonic_buffer_resource>(kArenaPerByte * d.text_->size() + kArenaLeast);
  Parser(d, limits).run(&Parser::type_system);
  return d;
}

const Fragment* Document::fragment(std::string_view name) const {
  const auto it = std::ranges::find(fragments_, name, &Fragment::name);
  return it == fragments_.end() ? nullptr : &*it;
}

}  // namespace docklift::graphql
