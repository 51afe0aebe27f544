// GraphQL documents as the specification of October 2021 has them: tokens, the tree of a document, and the parser for
// executable documents and for the type system's language. No I/O. Nodes lie in the document's arena and point into its
// own copy of the text; they live as long as the document.
#pragma once

#include <cstdint>
#include <memory>
#include <memory_resource>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace docklift::graphql {

struct Location {
  std::uint32_t line = 0, column = 0;  // from 1, the column in characters
  bool operator==(const Location&) const = default;
};

// As in the specification's chapter on responses; `code` goes to extensions.
struct Error {
  std::string message;
  std::vector<Location> locations;
  std::vector<std::string> path;  // of response names
  std::string code;
};

// All of them hold while parsing: what passes one is refused there.
struct Limits {
  std::size_t bytes = 256 * 1024;  // of the text
  std::size_t tokens = 20'000;
  std::size_t depth = 64;  // of selections, values and types in each other
  std::size_t aliases = 200;
  std::size_t directives = 200;
  std::size_t breadth = 1'000;  // of one list: selections, arguments, values, definitions
};

// FNV-1a, of names: they are compared by it before they are compared by their letters.
constexpr std::uint32_t kHashBegin = 2166136261U;
constexpr std::uint32_t hashed(std::uint32_t so_far, char c) {
  return (so_far ^ static_cast<unsigned char>(c)) * 16777619U;
}
constexpr std::uint32_t name_hash(std::string_view name) {
  auto h = kHashBegin;
  for (const char c : name) h = hashed(h, c);
  return h;
}

// ---- Tokens ----------------------------------------------------------------------------------------------------

enum class TokenKind { end, punctuator, name, integer, real, string, block_string, wrong };

struct Token {
  TokenKind kind = TokenKind::end;
  std::string_view text;  // as it stands, without the quotes of a string
  Location at;
  std::uint32_t hash = 0;  // of a name
};

// Tokens of a text, one by one; ignored ones are passed over: byte-order mark, white space, line ends, comments, commas.
class Lexer {
 public:
  explicit Lexer(std::string_view text) : text_(text) {}
  Token next();
  // What was wrong with a token of that kind.
  const std::string& why() const { return why_; }

 private:
  Token wrong(Location at, std::string why);
  Token number(Location at);
  Token string(Location at);
  Token block_string(Location at);
  void skip_ignored();
  void advance(std::size_t bytes);
  Location here() const { return {line_, column_}; }
  char peek(std::size_t ahead = 0) const { return at_ + ahead < text_.size() ? text_[at_ + ahead] : '\0'; }

  std::string_view text_;
  std::size_t at_ = 0;
  std::uint32_t line_ = 1, column_ = 1;
  std::string why_;
};

// The value of a string token: escapes resolved, as UTF-8. False, with why: an escape that is none, a lone surrogate.
bool unescape(std::string_view text, std::string& value, std::string& why);
// The value of a block string: common indentation and blank first and last lines taken away, \""" resolved.
std::string block_value(std::string_view text);
bool valid_utf8(std::string_view text);

// ---- The tree -------------------------------------------------------------------------------------------------------

enum class ValueKind { variable, integer, real, string, boolean, null, enumeration, list, object };

struct ObjectField;
struct Value {
  ValueKind kind = ValueKind::null;
  Location at;
  std::string_view text;  // a name, a number as written, a string's value, "true" or "false"
  std::span<Value> items;
  std::span<ObjectField> fields;
};
struct ObjectField {
  std::string_view name;
  Location at;
  Value value;
};
struct Argument {
  std::string_view name;
  Location at;
  Value value;
};
struct Directive {
  std::string_view name;
  Location at;
  std::span<Argument> arguments;
};
struct TypeRef {
  std::string_view name;  // of a named type; of a list empty
  TypeRef* of = nullptr;  // of a list
  bool non_null = false;
  Location at;
};

struct Selection;
using Selections = std::span<Selection>;
struct Selection {
  enum class Kind { field, spread, inline_fragment } kind = Kind::field;
  Location at;
  std::string_view alias;  // of a field, if it has one
  std::string_view
      name;  // of a field, of the fragment that is spread, of the type an inline one is on (or empty)
  std::uint32_t hash = 0, response_hash = 0;  // of a field's name, and of its alias or name
  std::uint32_t index = 0;                    // among all selections of the document
  bool plain = false;  // of the first in a set: all of the set are fields of different response names
  std::span<Argument> arguments;
  std::span<Directive> directives;
  Selections selections;
  std::string_view response_name() const { return alias.empty() ? name : alias; }
};

struct VariableDefinition {
  std::string_view name;
  Location at;
  TypeRef* type = nullptr;
  Value* fallback = nullptr;
  std::span<Directive> directives;
};
enum class OperationKind { query, mutation, subscription };
struct Operation {
  OperationKind kind = OperationKind::query;
  std::string_view name;  // empty: anonymous
  Location at;
  std::span<VariableDefinition> variables;
  std::span<Directive> directives;
  Selections selections;
};
struct Fragment {
  std::string_view name, on;
  Location at;
  std::span<Directive> directives;
  Selections selections;
};

// The type system's language.
struct InputDefinition {  // an argument, or a field of an input object
  std::string_view name;
  Location at;
  TypeRef* type = nullptr;
  Value* fallback = nullptr;
  std::span<Directive> directives;
};
struct FieldDefinition {
  std::string_view name;
  Location at;
  std::span<InputDefinition> arguments;
  TypeRef* type = nullptr;
  std::span<Directive> directives;
};
enum class TypeKind { scalar, object, interface, union_type, enumeration, input };
struct TypeDefinition {
  TypeKind kind = TypeKind::scalar;
  bool extends = false;
  std::string_view name;
  Location at;
  std::span<std::string_view> interfaces;  // or the members of a union, or an enumeration's values
  std::span<FieldDefinition> fields;
  std::span<InputDefinition> inputs;
  std::span<Directive> directives;
};
struct DirectiveDefinition {
  std::string_view name;
  Location at;
  std::span<InputDefinition> arguments;
  bool repeatable = false;
  std::span<std::string_view> locations;
};
struct SchemaDefinition {
  Location at;
  std::string_view query, mutation, subscription;
};

class Document {
 public:
  // Executable definitions, or those of the type system. What is wrong is in errors(), and the rest then empty.
  static Document executable(std::string text, const Limits& limits = {});
  static Document type_system(std::string text, const Limits& limits = {.bytes = 4 << 20,
                                                                        .tokens = 1'000'000,
                                                                        .depth = 64,
                                                                        .aliases = 0,
                                                                        .directives = 100'000,
                                                                        .breadth = 100'000});

  bool good() const { return errors_.empty(); }
  const std::vector<Error>& errors() const { return errors_; }
  const std::vector<Operation>& operations() const { return operations_; }
  const std::vector<Fragment>& fragments() const { return fragments_; }
  const Fragment* fragment(std::string_view name) const;
  const std::vector<TypeDefinition>& types() const { return types_; }
  const std::vector<DirectiveDefinition>& directives() const { return directives_; }
  const std::vector<SchemaDefinition>& schemas() const { return schemas_; }
  std::string_view text() const { return *text_; }
  std::size_t selections() const { return selections_; }  // in all

 private:
  friend class Parser;
  Document() = default;

  std::unique_ptr<std::string> text_;
  std::unique_ptr<std::pmr::monotonic_buffer_resource> arena_;
  std::size_t selections_ = 0;
  std::vector<Error> errors_;
  std::vector<Operation> operations_;
  std::vector<Fragment> fragments_;
  std::vector<TypeDefinition> types_;
  std::vector<DirectiveDefinition> directives_;
  std::vector<SchemaDefinition> schemas_;
};

}  // namespace docklift::graphql
