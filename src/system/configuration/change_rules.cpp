#include "system/configuration/change_rules.hpp"

#include <algorithm>
#include <array>
#include <string>

#include "system/configuration/document_fields.hpp"

namespace docklift::configuration {
namespace {

using Json = nlohmann::json;

enum class MemberType {
  version,  // set by the order itself
  list,     // of named items, or of hosts with named rules
  object,   // replaced as a whole
};

// A member that this version knows, by the name that an order calls it.
struct MemberRule {
  std::string_view name;
  MemberType type;
  bool in_document;  // the document has a member of this name, which a Replace may hold
  bool in_upsert;
  bool in_remove;
};

constexpr std::array kMemberRules = {
    MemberRule{"gen", MemberType::version, true, false, false},
    MemberRule{"parent", MemberType::version, true, false, false},
    MemberRule{"limits", MemberType::object, true, true, false},
    MemberRule{"listeners", MemberType::list, true, true, true},
    MemberRule{"routing", MemberType::list, false, false, true},  // the routes of all listeners, by name
    MemberRule{"clusters", MemberType::list, true, true, true},
    MemberRule{"svcs", MemberType::list, false, true, true},  // clusters
    MemberRule{"accts", MemberType::list, true, true, true},
};

constexpr std::array<std::string_view, 4> kPatchMembers = {"gen", "parent", "upsert", "remove"};

const MemberRule* find_rule(std::string_view name) {
  const auto rule = std::ranges::find(kMemberRules, name, &MemberRule::name);
  return rule == kMemberRules.end() ? nullptr : &*rule;
}

void check_type(const MemberRule& rule, const Json& value) {
  const std::string name(rule.name);
  if (rule.type == MemberType::list && !value.is_array()) fail_field(name, "is no list");
  if (rule.type == MemberType::object && !value.is_object()) fail_field(name, "is no object");
}

// A patch changes the first item of a name; an account of that name left behind would keep its keys.
void check_unambiguous(const Json& document, const std::string& list, const Json& item_name) {
  if (!item_name.is_string()) return;
  const auto items = document.find(list);
  if (items == document.end() || !items->is_array()) return;
  const auto same_name = std::ranges::count_if(*items, [&](const Json& item) {
    return item.is_object() && member_or_null(item, "name") == item_name;
  });
  if (same_name > 1) fail_field(list, "holds " + item_name.dump() + " more than once");
}

void check_upsert(const Json& document, const std::string& name, const Json& value) {
  if (const auto* rule = find_rule(name)) {
    if (!rule->in_upsert) fail_field("upsert", "can't set " + name);
    check_type(*rule, value);
  } else {
    const auto current = document.find(name);
    if (current != document.end() && current->is_array() != value.is_array())
      fail_field(name, "is a list on one side alone, in the configuration or under upsert");
  }
  if (!value.is_array()) return;
  for (const auto& item : value)
    if (item.is_object()) check_unambiguous(document, name, member_or_null(item, "name"));
}

void check_remove(const Json& document, const std::string& name, const Json& item_names) {
  if (const auto* rule = find_rule(name)) {
    if (!rule->in_remove) fail_field("remove", "can't take items from " + name);
  } else {
    const auto current = document.find(name);
    if (current == document.end() || !current->is_array())
      fail_field("remove", "names no list of the configuration: " + name);
  }
  if (!item_names.is_array()) return;  // apply_patch refuses it
  for (const auto& item_name : item_names) check_unambiguous(document, name, item_name);
}

}  // namespace

bool nests_too_deeply(std::string_view text) {
  std::size_t depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') ++i;
      if (c == '"') in_string = false;
      continue;
    }
    if (c == '"') in_string = true;
    if ((c == '[' || c == '{') && ++depth > kMaxNesting) return true;
    if ((c == ']' || c == '}') && depth > 0) --depth;
  }
  return false;
}

void check_replace_members(const Json& body) {
  for (const auto& [name, value] : body.items()) {
    const auto* rule = find_rule(name);
    if (rule && rule->in_document) check_type(*rule, value);
  }
}

void check_patch_members(const Json& document, const Json& patch) {
  for (const auto& [name, value] : patch.items())
    if (std::ranges::find(kPatchMembers, name) == kPatchMembers.end())
      fail_field("the change", "has no member " + name);
  if (const auto& upsert = member_or_null(patch, "upsert"); upsert.is_object())
    for (const auto& [name, value] : upsert.items()) check_upsert(document, name, value);
  if (const auto& remove = member_or_null(patch, "remove"); remove.is_object())
    for (const auto& [name, value] : remove.items()) check_remove(document, name, value);
}

}  // namespace docklift::configuration
