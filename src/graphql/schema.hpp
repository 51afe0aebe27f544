// The type system of an operator's schema file, with the cost directives of IBM's specification. No I/O; immutable once
// read, and shared by all requests.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "graphql/document.hpp"

namespace docklift::graphql {

// A type reference of the schema: the named type, and the lists and non-nulls around it, the outermost first.
struct TypeUse {
  std::string name;
  std::vector<bool> non_null;  // of each list from the outermost on, then of the named type
  std::size_t lists() const { return non_null.size() - 1; }
  std::string text() const;
  bool operator==(const TypeUse&) const = default;
};
TypeUse use_of(const TypeRef& type);

// A constant of the schema or the value of a variable. Kept apart from the tree, which lives only as long as its document.
struct Constant {
  ValueKind kind = ValueKind::null;
  std::string text;
  std::vector<Constant> items;
  std::vector<std::pair<std::string, Constant>> fields;
};
Constant constant_of(const Value& value);

// @listSize of a field.
struct ListSize {
  std::optional<double> assumed;
  std::vector<std::string> slicing;  // names of arguments, with dots into input objects
  std::vector<std::string> sized;    // fields of the answer whose lists have that size
  bool require_one = true;
};

struct Input {
  std::string name;
  TypeUse type;
  std::optional<Constant> fallback;
  std::optional<double> weight;  // @cost
};

struct Field {
  std::string name;
  TypeUse type;
  std::vector<Input> arguments;
  std::optional<double> weight;
  std::optional<ListSize> list_size;
  const Input* argument(std::string_view argument_name) const;
};

struct Type {
  TypeKind kind = TypeKind::scalar;
  std::string name;
  std::map<std::string, Field, std::less<>> fields;
  std::vector<Input> inputs;                    // of an input object
  std::set<std::string, std::less<>> values;    // of an enumeration
  std::set<std::string, std::less<>> possible;  // object types that may stand here; an object's own name
  std::vector<std::string> interfaces;
  std::optional<double> weight;
  bool composite() const {
    return kind == TypeKind::object || kind == TypeKind::interface || kind == TypeKind::union_type;
  }
  bool is_input() const {
    return kind == TypeKind::scalar || kind == TypeKind::enumeration || kind == TypeKind::input;
  }
  const Input* input(std::string_view input_name) const;
};

struct DirectiveUse {
  std::vector<Input> arguments;
  std::set<std::string, std::less<>> locations;
  bool repeatable = false;
};

class Schema {
 public:
  // Reads the schema's text. Mistakes go to `errors`, all that are found; none: it is good.
  static std::optional<Schema> read(const std::string& text, std::vector<Error>& errors);

  const Type* type(std::string_view name) const;
  const Type* root(OperationKind kind) const;
  const DirectiveUse* directive(std::string_view name) const;
  const std::map<std::string, Type, std::less<>>& types() const { return types_; }
  const std::map<std::string, DirectiveUse, std::less<>>& directives() const { return directives_; }
  // A value of one type may stand where the other is wanted in a selection.
  static bool overlap(const Type& a, const Type& b);

 private:
  friend class SchemaReader;
  std::map<std::string, Type, std::less<>> types_;
  std::map<std::string, DirectiveUse, std::less<>> directives_;
  std::string query_ = "Query", mutation_ = "Mutation", subscription_ = "Subscription";
};

}  // namespace docklift::graphql
