// The type system of an operator's schema file, with the cost directives of IBM's specification. No I/O; immutable once
// read, and shared by all requests.
#pragma once

#include <cstdint>
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
  Constant();
  Constant(ValueKind kind_, std::string text_, std::vector<Constant> items_,
           std::vector<std::pair<std::string, Constant>> fields_);
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

struct Type;

struct Input {
  std::string name;
  TypeUse type;
  std::optional<Constant> fallback;
  std::optional<double> weight;  // @cost
  const Type* of = nullptr;      // the named type
};

struct Field {
  std::string name;
  TypeUse type;
  std::vector<Input> arguments;
  std::optional<double> weight;
  std::optional<ListSize> list_size;
  std::uint32_t hash = 0;               // of its name
  const Type* returns = nullptr;        // the named type
  bool arguments_may_weigh = false;     // one of them, or something in it, does
  const Input* argument(std::string_view argument_name) const;
};

// The scalars of the specification; `own`: one of the schema's.
enum class Scalar { own, integer, real, string, boolean, id };

struct Type {
  TypeKind kind = TypeKind::scalar;
  std::string name;
  std::map<std::string, Field, std::less<>> fields;
  std::vector<Input> inputs;                    // of an input object
  std::set<std::string, std::less<>> values;    // of an enumeration
  std::set<std::string, std::less<>> possible;  // object types that may stand here; an object's own name
  std::vector<std::string> interfaces;
  std::optional<double> weight;
  std::vector<const Type*> objects;  // as `possible` has them
  Scalar scalar = Scalar::own;
  // A field by its name and the name's hash.
  const Field* field(std::string_view field_name, std::uint32_t hash) const;
  bool composite() const {
    return kind == TypeKind::object || kind == TypeKind::interface || kind == TypeKind::union_type;
  }
  bool is_input() const {
    return kind == TypeKind::scalar || kind == TypeKind::enumeration || kind == TypeKind::input;
  }
  const Input* input(std::string_view input_name) const;

 private:
  friend class SchemaReader;
  std::vector<const Field*> by_hash_;  // open addressing; of a power of two, half of it empty at least
};

struct DirectiveUse {
  std::vector<Input> arguments;
  std::set<std::string, std::less<>> locations;
  bool repeatable = false;
};

class Schema {
 public:
  Schema(Schema&&) = default;  // what points at a type stays good
  Schema& operator=(Schema&&) = default;
  // Reads the schema's text. Mistakes go to `errors`, all that are found; none: it is good.
  static std::optional<Schema> read(const std::string& text, std::vector<Error>& errors);

  const Type* type(std::string_view name) const;
  const Type* root(OperationKind kind) const;
  const DirectiveUse* directive(std::string_view name) const;
  // A field that may be asked of a composite type, with __typename, and __schema and __type of the query's root.
  const Field* field(const Type& parent, std::string_view name, std::uint32_t hash) const;
  const std::map<std::string, Type, std::less<>>& types() const { return types_; }
  const std::map<std::string, DirectiveUse, std::less<>>& directives() const { return directives_; }
  // A value of one type may stand where the other is wanted in a selection.
  static bool overlap(const Type& a, const Type& b);

 private:
  friend class SchemaReader;
  Schema() = default;
  std::map<std::string, Type, std::less<>> types_;
  Field typename_, schema_, type_;  // that every schema has
  std::map<std::string, DirectiveUse, std::less<>> directives_;
  std::string query_ = "Query", mutation_ = "Mutation", subscription_ = "Subscription";
};

}  // namespace docklift::graphql
