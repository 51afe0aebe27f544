// The fleet's members by name, told as a whole once and as changes from then on: with hundreds of members a whole list to
// each of them at each change would fill their links. Pure.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace docklift::fleet {

struct MemberChange {
  std::vector<std::string> joined, left;
  bool empty() const { return joined.empty() && left.empty(); }
};

// The sender's side: the members as they were told last.
class SentMembers {
 public:
  // What has changed since the last call.
  MemberChange update(std::set<std::string> members);
  const std::set<std::string>& all() const { return all_; }

 private:
  std::set<std::string> all_;
};

// The receiver's side: who is a member for any of the sources that are followed. A source that is lost is forgotten,
// but for the last one: what it told is better than nothing.
class MemberViews {
 public:
  // Each returns whether all() has changed.
  bool replace(const std::string& source, std::set<std::string> members);
  bool change(const std::string& source, const MemberChange& change);  // passed over before a whole list
  bool forget(const std::string& source);
  std::vector<std::string> all() const;  // sorted

 private:
  bool add(const std::string& member);
  bool remove(const std::string& member);
  std::map<std::string, std::set<std::string>> views_;  // by source
  std::map<std::string, std::size_t> views_with_;       // by member
  std::string lost_;                                    // the last source, lost and still held; empty: none
};

// Names in an order of the member's own (rendezvous hashing): members that take the first few spread evenly, and one name
// more or less moves few of them.
std::vector<std::string> rendezvous_order(const std::string& member, std::vector<std::string> names);

}  // namespace docklift::fleet
