// The fleet's members, told by several registries as changes.
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

BOOST_AUTO_TEST_CASE(given_members_told_before_when_some_come_and_go_then_only_those_are_told) {
  SentMembers told;
  const auto first = told.update({"a", "b"});
  BOOST_TEST(first.joined == (NameList{"a", "b"}), boost::test_tools::per_element());
  const auto second = told.update({"b", "c"});
  BOOST_TEST(second.joined == NameList{"c"}, boost::test_tools::per_element());
  BOOST_TEST(second.left == NameList{"a"}, boost::test_tools::per_element());
  BOOST_TEST(told.update({"b", "c"}).empty());
}

BOOST_AUTO_TEST_CASE(given_two_sources_when_one_has_lost_a_member_then_it_is_one_until_both_have) {
  MemberViews views;
  BOOST_TEST(views.replace("r1", {"a", "b"}));
  BOOST_TEST(!views.replace("r2", {"a", "b"}));
  BOOST_TEST(!views.change("r1", {{}, {"a"}}));
  BOOST_TEST(views.change("r2", {{}, {"a"}}));
  BOOST_TEST(views.all() == NameList{"b"}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(given_a_source_that_is_lost_when_another_one_is_there_then_it_counts_no_more) {
  MemberViews views;
  views.replace("r1", {"a"}), views.replace("r2", {"b"});
  BOOST_TEST(views.forget("r1"));
  BOOST_TEST(views.all() == NameList{"b"}, boost::test_tools::per_element());
  BOOST_TEST(!views.change("r1", {{"c"}, {}}));  // before it has told all
}

BOOST_AUTO_TEST_CASE(given_the_only_source_lost_when_another_one_tells_then_it_takes_its_place) {
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

// Registries and a proxy that is linked to some of them, beside a model that is told whole lists.
BOOST_AUTO_TEST_CASE(given_any_course_of_changes_and_losses_then_all_are_the_members_of_the_linked_sources) {
  constexpr int kSources = 4;
  constexpr int kSteps = 400;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    std::mt19937_64 random(seed);
    std::map<std::string, SentMembers> registries;
    std::map<std::string, Names> linked;
    MemberViews views;
    NameList told;  // as the last change of all() left it
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
      BOOST_TEST(changed == (all != told), "seed " << seed << ", step " << step);
      told = all;
    }
  }
}

// What a member hears while 130 of 300 restart in turn: two names each, and no list.
BOOST_AUTO_TEST_CASE(given_three_hundred_members_when_130_restart_then_each_is_told_260_names) {
  Names members;
  for (int i = 0; i < 300; ++i) members.insert("zone-1/edge-" + std::to_string(i));
  SentMembers told;
  told.update(members);
  std::size_t names = 0;
  const auto tell = [&] {
    const auto change = told.update(members);
    names += change.joined.size() + change.left.size();
  };
  for (int i = 0; i < 130; ++i) {
    const auto name = "zone-1/edge-" + std::to_string(i);
    members.erase(name), tell();
    members.insert(name), tell();
  }
  BOOST_TEST(names == 260u);
}

BOOST_AUTO_TEST_CASE(given_300_members_and_five_names_when_each_takes_three_then_they_spread_and_few_move) {
  const NameList names{"10.4.1.1", "10.4.1.2", "10.4.2.1", "10.4.2.2", "10.4.3.1"};
  const NameList fewer(names.begin(), names.end() - 1);
  std::map<std::string, int> taken;
  int moved = 0;
  for (int i = 0; i < 300; ++i) {
    const auto member = "edge-" + std::to_string(i);
    const auto order = fleet::rendezvous_order(member, names);
    const auto order_of_fewer = fleet::rendezvous_order(member, fewer);
    for (int place = 0; place < 3; ++place) ++taken[order[static_cast<std::size_t>(place)]];
    const Names first_three(order.begin(), order.begin() + 3);
    const Names of_fewer(order_of_fewer.begin(), order_of_fewer.begin() + 3);
    moved += first_three != of_fewer;
  }
  for (const auto& name : names) {
    BOOST_TEST(taken[name] > 150, name);
    BOOST_TEST(taken[name] < 210, name);
  }
  BOOST_TEST(moved == taken[names.back()]);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
