// A follower whose sources send snapshots that it can't read, in virtual time.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>

#include "core_fleet.hpp"
#include "system/transfer/change_follower.hpp"

namespace docklift::test {
namespace {

using fleet::ChangeLog;
using transfer::ChangeFollower;
using transfer::Snapshot;

constexpr Duration kDelay = 1ms;            // of a frame
constexpr Duration kCheckInterval = 500ms;  // between calls of check_progress

// A snapshot whose digest is right and whose bytes are no state.
Snapshot unreadable_snapshot(std::uint64_t position) {
  const std::string bytes(64, '\x7f');
  return {{position, transfer::digest_of(bytes)}, bytes};
}

// Sources that answer each follow frame with the snapshot that they hold, in one part.
class Sources {
 public:
  void link(const std::string& name, Snapshot snapshot) {
    snapshots_[name] = std::move(snapshot);
    follower.on_linked(name);
  }
  // The source holds this one from now on.
  void mend(const std::string& name, Snapshot snapshot) { snapshots_[name] = std::move(snapshot); }
  void run(Duration time) {
    const Time until = now + time;
    while (now < until) {
      const Time next_frame = frames_.empty() ? until : frames_.front().first;
      now = std::min({next_frame, next_check_, until});
      if (now >= next_check_) {
        next_check_ = now + kCheckInterval;
        follower.on_core_position(now, 9);
        follower.check_progress(now);
      }
      if (!frames_.empty() && now >= frames_.front().first) deliver();
    }
  }

  std::map<std::string, std::size_t> asked;  // follow frames by source
  std::vector<std::string> log_messages;
  Time now{1h};
  ChangeFollower follower{[this](const std::string& to, fleet::Outgoing& out) {
                            if (!out.frame().asReader().isFollow()) return;
                            ++asked[to];
                            frames_.emplace_back(now + 2 * kDelay, to);
                          },
                          [this](const std::string& message) { log_messages.push_back(message); }};

 private:
  void deliver() {
    const auto source = frames_.front().second;
    frames_.pop_front();
    const auto& snapshot = snapshots_[source];
    fleet::Outgoing out;
    transfer::Part part;
    part.id = snapshot.id, part.total = snapshot.bytes.size(), part.bytes = snapshot.bytes;
    transfer::put(out.frame().initSnapshotPart(), part);
    follower.on_frame(now, source, out.frame().asReader());
  }

  std::map<std::string, Snapshot> snapshots_;
  std::deque<std::pair<Time, std::string>> frames_;
  Time next_check_ = now + kCheckInterval;
};

Snapshot readable_snapshot(std::uint64_t changes) {
  configuration::State state;
  for (std::uint64_t version = 1; version <= changes; ++version)
    configuration::apply(state, ChangeKind::replace, config_body(version, version - 1));
  return *transfer::encode(state);
}

BOOST_AUTO_TEST_SUITE(unreadable_snapshots)

// Each was asked for again at once: a core of the receiver and of each source was busy, for as long as it
// lasted.
BOOST_AUTO_TEST_CASE(given_unreadable_snapshots_when_time_passes_then_sources_are_asked_by_turns_and_rarely) {
  Sources sources;
  sources.link("a", readable_snapshot(3));
  sources.run(100ms);
  BOOST_REQUIRE(sources.follower.changes().position() == 3u);
  sources.asked.clear();
  sources.link("a", unreadable_snapshot(9));
  for (const auto* name : {"b", "c"}) sources.link(name, unreadable_snapshot(9));
  sources.run(60s);
  for (const auto* name : {"a", "b", "c"}) {
    BOOST_TEST(sources.asked[name] >= 3u, name);
    BOOST_TEST(sources.asked[name] <= 6u, name);
  }
  // The last good copy stays, and the operators are told.
  BOOST_TEST(sources.follower.changes().state().version() == 3u);
  BOOST_TEST(sources.follower.changes().configuration()->version == 3u);
  const auto tells = [](const std::string& line) { return line.find("can't read the state of") == 0; };
  const auto lines = std::ranges::count_if(sources.log_messages, tells);
  BOOST_TEST(lines >= 5);
  BOOST_TEST(lines <= 15);
}

BOOST_AUTO_TEST_CASE(given_one_source_with_a_readable_snapshot_when_others_have_none_then_it_gets_its_turn) {
  for (const std::string readable : {"a", "b", "c"}) {
    Sources sources;
    for (const std::string name : {"a", "b", "c"}) sources.link(name, unreadable_snapshot(9));
    sources.run(2s);
    BOOST_REQUIRE(sources.follower.changes().position() == 0u);
    sources.link(readable, readable_snapshot(9));
    sources.run(100ms);  // a source that connects is asked at once
    BOOST_TEST(sources.follower.changes().position() == 9u, readable);
  }
}

// A source that was mended in place is asked again within the longest pause and its turn.
BOOST_AUTO_TEST_CASE(given_unreadable_snapshots_when_one_source_is_mended_then_the_copy_catches_up) {
  Sources sources;
  for (const std::string name : {"a", "b", "c"}) sources.link(name, unreadable_snapshot(9));
  sources.run(20s);
  sources.mend("b", readable_snapshot(9));
  sources.run(3 * transfer::RetryPause::kLongest + kCheckInterval);
  BOOST_TEST(sources.follower.changes().position() == 9u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
