// The fleet's members, sent by several registries as changes.
#include "system/fleet/members.hpp"

#include <boost/test/unit_test.hpp>
#include <random>

namespace docklift::test {
namespace {

using fleet::MemberChange;
using fleet::MemberViews;
using fleet::SentMembers;
using Names = std::set<std::string>;
using NameList = std::vector<std::string>;

BOOST_AUTO_TEST_SUITE(members)

BOOST_AUTO_TEST_CASE(given_members_sent_before_when_some_join_and_leave_then_only_those_are_sent) {
  SentMembers sent;
  const auto first = sent.update({"a", "b"});
  BOOST_TEST(first.joined == (NameList{"a", "b"}), boost::test_tools::per_element());
  const auto second = sent.update({"b", "c"});
  BOOST_TEST(second.joined == NameList{"c"}, boost::test_tools::per_element());
  BOOST_TEST(second.left == NameList{"a"}, boost::test_tools::per_element());
  BOOST_TEST(sent.update({"b", "c"}).empty());
}

BOOST_AUTO_TEST_CASE(given_two_sources_when_one_has_lost_a_member_then_it_stays_until_both_have) {
  MemberViews views;
  BOOST_TEST(views.replace("r1", {"a", "b"}));
  BOOST_TEST(!views.replace("r2", {"a", "b"}));
  BOOST_TEST(!views.change("r1", {{}, {"a"}}));
  BOOST_TEST(views.change("r2", {{}, {"a"}}));
  BOOST_TEST(views.all() == NameList{"b"}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(given_a_source_that_is_lost_when_another_one_is_connected_then_its_list_is_dropped) {
  MemberViews views;
  views.replace("r1", {"a"}), views.replace("r2", {"b"});
  BOOST_TEST(views.forget("r1"));
  BOOST_TEST(views.all() == NameList{"b"}, boost::test_tools::per_element());
  BOOST_TEST(!views.change("r1", {{"c"}, {}}));  // before its full list
}

BOOST_AUTO_TEST_CASE(given_the_only_source_lost_when_another_one_sends_its_list_then_it_replaces_the_first) {
  MemberViews views;
  views.replace("r1", {"a"});
  BOOST_TEST(!views.forget("r1"));
  BOOST_TEST(views.all() == NameList{"a"}, boost::test_tools::per_element());
  BOOST_TEST(views.replace("r2", {"b"}));
  BOOST_TEST(views.all() == NameList{"b"}, boost::test_tools::per_element());
  BOOST_TEST(views.replace("r1", {"a"}));
  BOOST_TEST(!views.replace("r2", {"b"}));
  BOOST_TEST(views.all() == (NameList{"a", "b"}), boost::test_tools::per_element());
}

// Registries and a proxy connected to some of them, compared with a model that is given full lists.
BOOST_AUTO_TEST_CASE(given_random_changes_and_disconnections_then_all_are_the_members_of_the_linked_sources) {
  constexpr int kSources = 4;
  constexpr int kSteps = 400;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    std::mt19937_64 random(seed);
    std::map<std::string, SentMembers> registries;
    std::map<std::string, Names> linked;
    MemberViews views;
    NameList previous;  // all() after the previous step
    for (int step = 0; step < kSteps; ++step) {
      const auto source = "r" + std::to_string(random() % kSources);
      auto& registry = registries[source];
      bool changed = false;
      if (random() % 8 == 0) {
        changed = linked.size() == 1 && linked.contains(source) ? false : views.forget(source);
        if (linked.size() > 1) linked.erase(source);
      } else if (!linked.contains(source)) {
        changed = views.replace(source, registry.all());
        linked[source] = registry.all();
      } else {
        auto members = registry.all();
        const auto name = "n" + std::to_string(random() % 12);
        if (members.erase(name) == 0) members.insert(name);
        changed = views.change(source, registry.update(members));
        linked[source] = members;
      }
      Names expected;
      for (const auto& [name, members] : linked) expected.insert(members.begin(), members.end());
      const auto all = views.all();
      BOOST_TEST(all == NameList(expected.begin(), expected.end()), boost::test_tools::per_element());
      BOOST_TEST(changed == (all != previous), "seed " << seed << ", step " << step);
      previous = all;
    }
  }
}

// What a member is sent while 130 of 300 restart one by one: two names for each restart, and no full list.
BOOST_AUTO_TEST_CASE(given_three_hundred_members_when_130_restart_then_each_is_sent_260_names) {
  Names members;
  for (int i = 0; i < 300; ++i) members.insert("zone-1/edge-" + std::to_string(i));
  SentMembers sent;
  sent.update(members);
  std::size_t names = 0;
  const auto send_changes = [&] {
    const auto change = sent.update(members);
    names += change.joined.size() + change.left.size();
  };
  for (int i = 0; i < 130; ++i) {
    const auto name = "zone-1/edge-" + std::to_string(i);
    members.erase(name), send_changes();
    members.insert(name), send_changes();
  }
  BOOST_TEST(names == 260u);
}

BOOST_AUTO_TEST_CASE(
    given_300_members_and_five_names_when_each_picks_three_then_they_spread_evenly_and_few_move) {
  const NameList names{"10.4.1.1", "10.4.1.2", "10.4.2.1", "10.4.2.2", "10.4.3.1"};
  const NameList fewer(names.begin(), names.end() - 1);
  std::map<std::string, int> picks;
  int moved = 0;
  for (int i = 0; i < 300; ++i) {
    const auto member = "edge-" + std::to_string(i);
    const auto order = fleet::rendezvous_order(member, names);
    const auto order_of_fewer = fleet::rendezvous_order(member, fewer);
    for (int rank = 0; rank < 3; ++rank) ++picks[order[static_cast<std::size_t>(rank)]];
    const Names first_three(order.begin(), order.begin() + 3);
    const Names of_fewer(order_of_fewer.begin(), order_of_fewer.begin() + 3);
    moved += first_three != of_fewer;
  }
  for (const auto& name : names) {
    BOOST_TEST(picks[name] > 150, name);
    BOOST_TEST(picks[name] < 210, name);
  }
  BOOST_TEST(moved == picks[names.back()]);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
