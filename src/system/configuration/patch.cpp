#include "system/configuration/patch.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "system/configuration/document_fields.hpp"

namespace docklift::configuration {
namespace {

using Json = nlohmann::json;

bool has_name(const Json& item, const std::string& name) {
  return item.is_object() && member_or_null(item, "name") == name;
}

// Adds items to a list, or replaces those of the same name.
void upsert(Json& into, const Json& items) {
  if (!into.is_array()) into = Json::array();
  for (const auto& item : items) {
    const auto name = required_string(item, "name");
    const auto it = std::ranges::find_if(into, [&](const Json& old) { return has_name(old, name); });
    if (it != into.end()) {
      *it = item;
    } else {
      into.push_back(item);
    }
  }
}

void remove_route(Json& listeners, const std::string& name) {
  for (auto l = listeners.begin(); l != listeners.end();) {
    auto& rules = (*l)["policy"];
    if (rules.is_array()) {
      const auto removed = std::ranges::find_if(rules, [&](const Json& r) { return has_name(r, name); });
      if (removed != rules.end()) rules.erase(removed);
    }
    l = rules.empty() ? listeners.erase(l) : std::next(l);
  }
}

void upsert_routes(Json& listeners, const Json& changed) {
  if (!listeners.is_array()) listeners = Json::array();
  for (const auto& l : changed) {
    const auto host = required_string(l, "vhost");
    for (const auto& rule : array_or_empty(l, "policy")) {
      const auto name = required_string(rule, "name");
      auto at = std::ranges::find_if(listeners,
                                     [&](const Json& o) { return member_or_null(o, "vhost") == host; });
      if (at != listeners.end()) {
        auto& rules = (*at)["policy"];
        const auto old = std::ranges::find_if(rules, [&](const Json& r) { return has_name(r, name); });
        if (old != rules.end()) {
          *old = rule;
          continue;
        }
      }
      remove_route(listeners, name);  // it may exist under another host
      at = std::ranges::find_if(listeners, [&](const Json& o) { return member_or_null(o, "vhost") == host; });
      if (at == listeners.end()) {
        auto fresh = l;
        fresh["policy"] = Json::array();
        listeners.push_back(std::move(fresh));
        at = std::prev(listeners.end());
      }
      (*at)["policy"].push_back(rule);
    }
  }
}

}  // namespace

Json apply_patch(const Json& document, const Json& patch) {
  Json next = document;
  next["gen"] = patch.at("gen"), next["parent"] = patch.at("parent");
  if (const auto& set = member_or_null(patch, "upsert"); set.is_object()) {
    for (const auto& [key, items] : set.items()) {
      if (key == "listeners") {
        upsert_routes(next["listeners"], items);
      } else if (items.is_array()) {
        upsert(next[key == "svcs" ? "clusters" : key], items);
      } else {
        next[key] = items;  // limits
      }
    }
  } else if (!set.is_null()) {
    fail_field("upsert", "is no object");
  }
  if (const auto& drop = member_or_null(patch, "remove"); drop.is_object()) {
    for (const auto& [key, names] : drop.items()) {
      if (!names.is_array()) fail_field("remove", "holds what is no list");
      for (const auto& name : names) {
        if (!name.is_string()) fail_field("remove", "holds what is no name");
        if (key == "routing" || key == "listeners") {
          if (next["listeners"].is_array()) remove_route(next["listeners"], name.get<std::string>());
        } else if (auto& all = next[key == "svcs" ? "clusters" : key]; all.is_array()) {
          const auto removed = std::ranges::find_if(
              all, [&](const Json& o) { return has_name(o, name.get<std::string>()); });
          if (removed != all.end()) all.erase(removed);
        }
      }
    }
  } else if (!drop.is_null()) {
    fail_field("remove", "is no object");
  }
  return next;
}

}  // namespace docklift::configuration
