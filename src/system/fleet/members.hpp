// The fleet's member names, sent as a full list once and as changes afterwards: with hundreds of members, a
// full list to each of them on each change would saturate their links. Performs no I/O.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace docklift::fleet {

// Members added to and removed from a list.
struct MemberChange {
  std::vector<std::string> joined, left;
  bool empty() const { return joined.empty() && left.empty(); }
};

// Sending side: the members as last sent.
class SentMembers {
 public:
  // Returns the changes since the last call.
  MemberChange update(std::set<std::string> members);
  const std::set<std::string>& all() const { return sent_; }

 private:
  std::set<std::string> sent_;
};

// Receiving side: the union of the member lists of all connected sources. The list of a disconnected source
// is dropped, except that of the last source: a stale list is better than none.
class MemberViews {
 public:
  // Each call returns whether all() has changed.
  bool replace(const std::string& source, std::set<std::string> members);
  bool change(const std::string& source, const MemberChange& change);  // ignored before a full list
  bool forget(const std::string& source);
  std::vector<std::string> all() const;  // sorted

 private:
  bool add(const std::string& member);
  bool remove(const std::string& member);
  std::map<std::string, std::set<std::string>> views_;  // by source
  std::map<std::string, std::size_t> view_counts_;      // number of lists with the member
  std::string disconnected_;  // the last source, disconnected, its list still in use; empty: none
};

// Orders names for one member by rendezvous hashing: members that pick their first few names are spread
// evenly, and adding or removing a name moves few of them.
std::vector<std::string> rendezvous_order(const std::string& member, std::vector<std::string> names);

}  // namespace docklift::fleet
