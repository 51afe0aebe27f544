#include "system/fleet/members.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "system/base/hash.hpp"

namespace docklift::fleet {

MemberChange SentMembers::update(std::set<std::string> members) {
  MemberChange change;
  std::ranges::set_difference(members, sent_, std::back_inserter(change.joined));
  std::ranges::set_difference(sent_, members, std::back_inserter(change.left));
  sent_ = std::move(members);
  return change;
}

bool MemberViews::replace(const std::string& source, std::set<std::string> members) {
  auto& view = views_[source];
  const auto before = std::exchange(view, std::move(members));
  bool changed = false;
  // Adding before removing keeps members of both lists present throughout.
  for (const auto& member : view) changed |= add(member);
  for (const auto& member : before) changed |= remove(member);
  const auto lost = std::exchange(disconnected_, {});
  if (!lost.empty() && lost != source) changed |= forget(lost);
  return changed;
}

bool MemberViews::change(const std::string& source, const MemberChange& change) {
  const auto view = views_.find(source);
  if (view == views_.end()) return false;
  bool changed = false;
  for (const auto& member : change.joined)
    if (view->second.insert(member).second) changed |= add(member);
  for (const auto& member : change.left)
    if (view->second.erase(member) > 0) changed |= remove(member);
  return changed;
}

bool MemberViews::forget(const std::string& source) {
  if (views_.size() < 2) {
    if (views_.contains(source)) disconnected_ = source;
    return false;
  }
  const auto view = views_.extract(source);
  if (!view) return false;
  bool changed = false;
  for (const auto& member : view.mapped()) changed |= remove(member);
  return changed;
}

std::vector<std::string> MemberViews::all() const {
  std::vector<std::string> members;
  members.reserve(view_counts_.size());
  for (const auto& [member, views] : view_counts_) members.push_back(member);
  return members;
}

bool MemberViews::add(const std::string& member) { return ++view_counts_[member] == 1; }

bool MemberViews::remove(const std::string& member) {
  const auto views = view_counts_.find(member);
  if (--views->second > 0) return false;
  view_counts_.erase(views);
  return true;
}

std::vector<std::string> rendezvous_order(const std::string& member, std::vector<std::string> names) {
  const auto own = hash_of(member);
  std::ranges::sort(names, {}, [own](const std::string& name) { return mix(own ^ hash_of(name)); });
  return names;
}

}  // namespace docklift::fleet
