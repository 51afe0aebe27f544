// Each kind of violation that the checker of operators' histories stands for is found, and proper histories
// pass.
#include "history_checker.hpp"

#include <boost/test/unit_test.hpp>

namespace docklift::test {
namespace {

using namespace std::chrono_literals;

// Times of the stories in seconds.
Time at(int second) { return Time{std::chrono::seconds(second)}; }

struct Story {
  OperatorHistory history;

  OperatorHistory::OrderId order(std::uint64_t version, std::uint64_t parent,
                                 const std::string& content = "x") {
    return history.configuration_order(version, parent, content);
  }
  void told(OperatorHistory::OrderId id, int sent, int answered, int status) {
    history.answer(history.send(id, at(sent)), at(answered), status);
  }
  void taken(std::uint64_t version, std::uint64_t parent, int sent, int answered) {
    told(order(version, parent), sent, answered, 200);
  }
  void read(int began, int ended, std::uint64_t version, std::set<std::string> evacuated = {},
            const std::string& content = "") {
    history.end_read(history.begin_read(at(began)), at(ended), {version, content, std::move(evacuated)});
  }
  bool holds() const { return history.violations().empty(); }
};

BOOST_AUTO_TEST_SUITE(history_checker)

BOOST_AUTO_TEST_CASE(given_a_chain_of_changes_and_reads_in_order_when_it_is_checked_then_it_holds) {
  Story story;
  story.read(0, 1, 0);
  story.taken(5, 0, 1, 2);
  story.told(story.order(6, 0, "late"), 2, 3, 412);
  const auto lost_answer = story.order(7, 5);
  story.history.send(lost_answer, at(3));
  story.told(lost_answer, 5, 6, 200);
  story.told(story.order(5, 0), 7, 8, 200);  // the same body again
  story.read(7, 8, 7);
  story.history.send(story.order(9, 7), at(9));  // never answered, may be in force
  story.read(9, 12, 7);
  story.read(13, 14, 9);
  BOOST_TEST(story.holds());
  BOOST_TEST(story.history.acknowledged() == 2u);
}

BOOST_AUTO_TEST_CASE(given_two_bodies_on_one_parent_when_both_are_acknowledged_then_it_is_found) {
  Story story;
  story.taken(5, 0, 1, 2);
  story.told(story.order(6, 5, "one"), 3, 4, 200);
  story.told(story.order(6, 5, "two"), 3, 4, 200);
  BOOST_TEST(!story.holds());
}

BOOST_AUTO_TEST_CASE(given_an_acknowledged_version_when_the_newest_does_not_build_on_it_then_it_is_found) {
  Story story;
  story.taken(5, 0, 1, 2);
  story.taken(6, 5, 3, 4);
  story.history.send(story.order(7, 5), at(5));
  story.read(8, 9, 7);
  BOOST_TEST(!story.holds());
}

BOOST_AUTO_TEST_CASE(given_a_refused_order_when_it_is_read_later_then_it_is_found) {
  Story story;
  story.taken(5, 0, 1, 2);
  story.told(story.order(6, 5), 3, 4, 412);
  story.read(8, 9, 6);
  BOOST_TEST(!story.holds());
}

BOOST_AUTO_TEST_CASE(given_an_order_that_was_taken_when_it_is_refused_at_its_next_sending_then_it_is_found) {
  Story story;
  story.taken(5, 0, 1, 2);
  story.told(story.order(5, 0), 3, 4, 412);
  BOOST_TEST(!story.holds());
}

BOOST_AUTO_TEST_CASE(given_an_order_on_the_current_version_when_it_is_refused_then_it_is_found) {
  Story story;
  story.taken(5, 0, 1, 2);
  story.told(story.order(6, 5), 3, 4, 412);
  BOOST_TEST(!story.holds());
  story.history.send(story.order(7, 5), at(3));  // a rival without an answer may have been first
  story.read(5, 6, 7);
  BOOST_TEST(story.holds());
}

BOOST_AUTO_TEST_CASE(given_an_order_on_an_old_version_when_its_successor_came_later_then_it_is_found) {
  Story story;
  story.taken(5, 0, 1, 2);
  story.told(story.order(6, 5, "early"), 3, 4, 412);
  story.taken(7, 5, 5, 6);
  BOOST_TEST(!story.holds());
}

BOOST_AUTO_TEST_CASE(given_an_acknowledged_version_when_a_later_read_returns_an_older_one_then_it_is_found) {
  Story story;
  story.taken(5, 0, 1, 2);
  story.taken(6, 5, 3, 4);
  story.read(5, 6, 5);
  BOOST_TEST(!story.holds());
}

BOOST_AUTO_TEST_CASE(given_a_version_that_was_read_when_a_later_read_returns_an_older_one_then_it_is_found) {
  Story story;
  story.taken(5, 0, 1, 2);
  story.history.send(story.order(6, 5), at(3));
  story.read(5, 6, 6);
  story.read(7, 8, 5);
  BOOST_TEST(!story.holds());
}

BOOST_AUTO_TEST_CASE(given_a_read_when_it_returns_what_was_sent_after_its_end_then_it_is_found) {
  Story story;
  story.taken(5, 0, 1, 2);
  story.read(3, 4, 6);
  story.taken(6, 5, 5, 6);
  BOOST_TEST(!story.holds());
}

BOOST_AUTO_TEST_CASE(given_a_read_when_its_content_is_not_what_was_sent_then_it_is_found) {
  Story story;
  story.taken(5, 0, 1, 2);
  story.read(3, 4, 5, {}, "another");
  BOOST_TEST(!story.holds());
}

BOOST_AUTO_TEST_CASE(given_an_invalid_or_a_valid_order_when_it_is_told_the_contrary_then_it_is_found) {
  Story acknowledged;
  acknowledged.told(acknowledged.history.configuration_order(5, 0, "x", false), 1, 2, 200);
  BOOST_TEST(!acknowledged.holds());
  Story refused;
  refused.told(refused.order(5, 0), 1, 2, 400);
  BOOST_TEST(!refused.holds());
  Story proper;
  proper.told(proper.history.configuration_order(5, 0, "x", false), 1, 2, 400);
  BOOST_TEST(proper.holds());
}

BOOST_AUTO_TEST_CASE(given_orders_for_a_zone_when_reads_fit_them_then_the_history_holds) {
  Story story;
  const auto start = story.history.zone_order("a", true);
  story.history.send(start, at(1));
  story.told(start, 2, 4, 200);
  story.read(1, 2, 0, {});
  story.read(3, 3, 0, {"a"});
  story.read(5, 6, 0, {"a"});
  story.told(story.history.zone_order("a", false), 7, 9, 200);
  story.read(8, 8, 0, {"a"});
  story.read(10, 11, 0, {});
  BOOST_TEST(story.holds());
}

BOOST_AUTO_TEST_CASE(given_an_ended_evacuation_when_its_first_sending_starts_it_once_more_then_it_is_found) {
  Story story;
  const auto start = story.history.zone_order("a", true);
  story.history.send(start, at(1));
  story.told(start, 2, 3, 200);
  story.told(story.history.zone_order("a", false), 4, 5, 200);
  story.read(6, 7, 0, {});
  BOOST_TEST(story.holds());
  story.read(8, 9, 0, {"a"});
  BOOST_TEST(!story.holds());
}

BOOST_AUTO_TEST_CASE(
    given_an_evacuation_without_an_answer_when_it_starts_after_a_readmission_then_it_is_found) {
  Story story;
  story.history.send(story.history.zone_order("a", true), at(1));
  story.told(story.history.zone_order("a", false), 4, 5, 200);
  story.read(6, 7, 0, {});
  BOOST_TEST(story.holds());
  story.read(8, 9, 0, {"a"});
  BOOST_TEST(!story.holds());
}

// The second evacuation's wish holds when it is sent, and no longer when it takes effect.
BOOST_AUTO_TEST_CASE(
    given_a_readmission_without_an_answer_when_it_takes_effect_during_the_next_evacuation_then_the_history_holds) {
  Story story;
  story.told(story.history.zone_order("a", true), 1, 2, 200);
  story.history.send(story.history.zone_order("a", false), at(3));
  story.told(story.history.zone_order("a", true), 6, 10, 200);
  story.read(7, 8, 0, {});
  story.read(11, 12, 0, {"a"});
  BOOST_TEST(story.holds());
}

BOOST_AUTO_TEST_CASE(
    given_a_readmission_without_an_answer_when_it_takes_effect_after_an_evacuation_whose_wish_held_then_it_is_found) {
  Story story;
  story.told(story.history.zone_order("a", true), 1, 2, 200);
  story.history.send(story.history.zone_order("a", false), at(3));
  story.told(story.history.zone_order("a", true), 4, 5, 200);
  story.read(6, 7, 0, {"a"});
  BOOST_TEST(story.holds());
  story.read(8, 9, 0, {});
  BOOST_TEST(!story.holds());
}

BOOST_AUTO_TEST_CASE(given_an_acknowledged_evacuation_when_it_is_lost_then_it_is_found) {
  Story story;
  story.told(story.history.zone_order("a", true), 1, 2, 200);
  story.read(3, 4, 0, {});
  BOOST_TEST(!story.holds());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
