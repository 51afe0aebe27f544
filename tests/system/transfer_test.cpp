// Snapshot transfer and catch-up: followers and sources over rate-limited links in virtual time. Nothing here
// sleeps.
#include <capnp/serialize.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include "core_fleet.hpp"
#include "play_settings.hpp"
#include "system/transfer/change_feed.hpp"
#include "system/transfer/change_follower.hpp"

namespace docklift::test {
namespace {

using fleet::Entry;
using transfer::ChangeFeed;
using transfer::ChangeFollower;
using transfer::kPartBytes;
using transfer::Part;
using transfer::PartRequest;
using transfer::SnapshotReceiver;
using transfer::SnapshotSender;

// A configuration with `routes` routes, each of about 1,000 bytes if `wide`.
std::string many_routes(std::uint64_t version, std::uint64_t parent, std::size_t routes, bool wide = false) {
  const std::string padding(wide ? 860 : 1, 'p');
  auto body = nlohmann::json::parse(config_body(version, parent));
  auto& policy = body["listeners"][0]["policy"];
  const auto route = policy[0];
  for (std::size_t i = 1; i < routes; ++i) {
    policy.push_back(route);
    policy.back()["name"] = "r" + std::to_string(i) + padding;
    policy.back()["match"]["pfx"] = "/a/" + std::to_string(i) + "/";
  }
  return body.dump();
}

void push(fleet::ChangeLog& log, wire::Change change, const std::string& text) {
  fleet::Outgoing out;
  auto list = out.frame().initChanges().initEntries(1);
  fleet::put(list[0], Entry{log.position() + 1, change, text});
  BOOST_REQUIRE((log.accept(out.frame().asReader().getChanges()) == fleet::ChangeLog::Outcome::applied));
}

// One follower and several sources, each with its own link, with a rate and a delay in both directions, that
// can be cut and restored.
class Net {
 public:
  struct Source {
    fleet::ChangeLog log;
    ChangeFeed feed;
    ChangeFeed::Follower peer;
    bool linked = false;
    bool drops_requests = false;  // frames sent to it are lost
    std::uint64_t link = 0;       // increases with each cut: frames in flight are lost
    Time up_free_at{}, down_free_at{};
    std::uint64_t bytes_down = 0, frames_up = 0;
    Duration longest_queue{};  // longest wait of a frame behind others on the way down
  };

  explicit Net(std::size_t count, double bits_per_s = 1e9, Duration delay = 1ms)
      : sources(count), bits_per_s_(bits_per_s), delay_(delay) {}

  static std::string name(std::size_t i) { return "s" + std::to_string(i); }

  void link(std::size_t i) {
    if (sources[i].linked) return;
    sources[i].linked = true;
    sources[i].peer = {};
    follower.on_linked(name(i));
  }
  void cut(std::size_t i) {
    if (!sources[i].linked) return;
    sources[i].linked = false;
    ++sources[i].link;
    sources[i].up_free_at = sources[i].down_free_at = now;
    follower.on_source_lost(now, name(i));
  }
  // Adds a change at all sources.
  void change(wire::Change kind, const std::string& text) {
    for (std::size_t i = 0; i < sources.size(); ++i) change_at(i, kind, text);
  }
  void change_at(std::size_t i, wire::Change kind, const std::string& text) {
    push(sources[i].log, kind, text);
    feed(i);
  }
  void feed(std::size_t i) {
    auto& s = sources[i];
    auto out = std::make_shared<fleet::Outgoing>();
    if (s.linked && s.feed.next(now, s.peer, s.log, *out)) send_down(i, out);
  }

  bool run_until(const std::function<bool()>& done, Duration limit = 120s) {
    const Time until = now + limit;
    while (!done()) {
      if (events_.empty() || events_.top().at > until) return false;
      auto event = events_.top();
      events_.pop();
      now = event.at;
      event.what();
    }
    return true;
  }
  void run(Duration for_time) {
    const Time until = now + for_time;
    run_until([&] { return events_.empty() || events_.top().at > until; });
    now = until;
  }
  bool caught_up() const {
    std::uint64_t newest = 0;
    for (const auto& s : sources)
      if (s.linked) newest = std::max(newest, s.log.position());
    return follower.changes().position() >= newest;
  }

  std::vector<Source> sources;
  Time now{1h};
  std::vector<std::string> log_messages;
  std::size_t updates = 0;
  ChangeFollower follower{[this](const std::string& to, fleet::Outgoing& out) { send_up(to, out); },
                          [this](const std::string& message) { log_messages.push_back(message); }};

 private:
  struct Event {
    Time at{};
    std::uint64_t order = 0;
    std::function<void()> what;
    bool operator<(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  using SerializedFrame = std::shared_ptr<kj::Array<capnp::word>>;
  static SerializedFrame serialize(fleet::Outgoing& out) {
    return std::make_shared<kj::Array<capnp::word>>(capnp::messageToFlatArray(out.message()));
  }
  Duration time_for(std::size_t bytes) const {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(static_cast<double>(bytes) * 8 / bits_per_s_));
  }
  void schedule(Time at, std::function<void()> what) { events_.push({at, ++order_, std::move(what)}); }

  void send_down(std::size_t i, const std::shared_ptr<fleet::Outgoing>& out) {
    auto& s = sources[i];
    const auto frame_words = serialize(*out);
    const auto bytes = frame_words->asBytes().size();
    s.longest_queue = std::max(s.longest_queue, s.down_free_at > now ? s.down_free_at - now : Duration{});
    s.down_free_at = std::max(s.down_free_at, now) + time_for(bytes);
    s.bytes_down += bytes;
    schedule(s.down_free_at + delay_, [this, i, frame_words, link = s.link] {
      if (sources[i].link != link) return;
      capnp::FlatArrayMessageReader reader(frame_words->asPtr());
      const auto taken = follower.on_frame(now, name(i), reader.getRoot<wire::Frame>());
      if (taken == fleet::ChangeLog::Outcome::applied) ++updates;
    });
  }
  void send_up(const std::string& to, fleet::Outgoing& out) {
    for (std::size_t i = 0; i < sources.size(); ++i)
      if (name(i) == to && sources[i].linked) send_up(i, out);
  }
  void send_up(std::size_t i, fleet::Outgoing& out) {
    auto& s = sources[i];
    const auto frame_words = serialize(out);
    ++s.frames_up;
    s.up_free_at = std::max(s.up_free_at, now) + time_for(frame_words->asBytes().size());
    schedule(s.up_free_at + delay_, [this, i, frame_words, link = s.link] {
      if (sources[i].link != link || sources[i].drops_requests) return;
      capnp::FlatArrayMessageReader reader(frame_words->asPtr());
      on_request(i, reader.getRoot<wire::Frame>());
    });
  }
  void on_request(std::size_t i, wire::Frame::Reader frame) {
    auto& s = sources[i];
    if (frame.isFollow()) {
      s.feed.on_follow(s.peer, frame.getFollow());
      return feed(i);
    }
    const auto answer = std::make_shared<fleet::Outgoing>();
    s.feed.answer(now, frame.getSnapshotPartRequest(), s.log, *answer);
    send_down(i, answer);
  }

  double bits_per_s_;
  Duration delay_;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
};

std::string bytes_of_state(const fleet::ChangeLog& log) { return transfer::encode(log.state())->bytes; }

BOOST_AUTO_TEST_SUITE(transfer_suite)

// ---- the encoding

BOOST_AUTO_TEST_CASE(given_one_position_reached_in_two_ways_when_it_is_encoded_then_the_bytes_are_equal) {
  fleet::ChangeLog applied;
  push(applied, wire::Change::REPLACE, many_routes(3, 0, 20));
  push(applied, wire::Change::EVACUATE, "z2");
  push(applied, wire::Change::EVACUATE, "z1");
  auto decoded = transfer::decode(bytes_of_state(applied));
  BOOST_REQUIRE(decoded.has_value());
  fleet::ChangeLog from_snapshot;
  BOOST_REQUIRE((from_snapshot.accept(std::move(*decoded)) == fleet::ChangeLog::Outcome::applied));
  BOOST_TEST(bytes_of_state(applied) == bytes_of_state(from_snapshot));
  // Unsorted names, and numbers in several notations.
  const std::string patch =
      R"({"parent":"00000003","gen":"00000009","upsert":{"accts":[{"per_s":1e1,"name":"t0","burst":2.50,)"
      R"("apikeys":["b","a"]}],"limits":{"idle_ms":-0,"hdr_ms":3000.0}}})";
  push(applied, wire::Change::PATCH, patch);
  push(from_snapshot, wire::Change::PATCH, patch);
  BOOST_TEST(applied.state().version() == 9u);
  BOOST_TEST(bytes_of_state(applied) == bytes_of_state(from_snapshot));
  BOOST_TEST((transfer::encode(applied.state())->id == transfer::encode(from_snapshot.state())->id));
}

// ---- initial transfer

BOOST_AUTO_TEST_CASE(given_a_small_configuration_when_a_follower_joins_then_it_has_it_after_one_round_trip) {
  Net net(1, 1e9, 10ms);
  net.change(wire::Change::REPLACE, config_body(3, 0));
  const auto begin = net.now;
  net.link(0);
  BOOST_TEST(net.run_until([&] { return net.caught_up(); }));
  BOOST_TEST(millis(net.now - begin) == 20u);
  BOOST_TEST(net.log_messages.empty());
}

BOOST_AUTO_TEST_CASE(given_a_slightly_lagging_follower_when_it_connects_then_it_is_sent_entries_in_batches) {
  Net net(1);
  net.change(wire::Change::REPLACE, many_routes(3, 0, 3000));
  net.link(0);
  BOOST_REQUIRE(net.run_until([&] { return net.caught_up(); }));
  net.cut(0);
  for (int i = 0; i < 300; ++i)
    net.change(wire::Change::EVACUATE, std::string(1000, 'z') + std::to_string(i));
  const auto before = net.sources[0].bytes_down;
  net.updates = 0;
  net.link(0);
  BOOST_REQUIRE(net.run_until([&] { return net.caught_up(); }));
  BOOST_TEST(net.updates >= 300 * 1000 / transfer::kBatchBytes);  // batches of entries, no snapshot
  BOOST_TEST(net.sources[0].bytes_down - before < 400'000u);
  BOOST_TEST(bytes_of_state(net.follower.changes()) == bytes_of_state(net.sources[0].log));
}

BOOST_AUTO_TEST_CASE(
    given_a_follower_when_more_changes_arrive_than_are_kept_or_a_large_one_then_it_is_sent_a_snapshot) {
  fleet::RecentChanges<Entry> kept({4, 1000, 400});
  for (std::uint64_t i = 1; i <= 6; ++i) kept.push({i, wire::Change::EVACUATE, "z"});
  BOOST_TEST(!kept.covers(1));
  BOOST_TEST(kept.covers(2));
  BOOST_TEST(!kept.covers(6));
  BOOST_TEST(kept.after(3, 1).size() == 1u);
  BOOST_TEST(kept.after(3, 1)[0].position == 4u);
  kept.push({7, wire::Change::EVACUATE, std::string(300, 'z')});
  kept.push({8, wire::Change::EVACUATE, std::string(300, 'z')});
  kept.push({9, wire::Change::EVACUATE, std::string(300, 'z')});
  BOOST_TEST(!kept.covers(5));  // limited by the 1,000 bytes
  kept.push({10, wire::Change::EVACUATE, std::string(500, 'z')});
  BOOST_TEST(!kept.covers(9));  // larger than the largest change that is kept

  Net net(1);
  net.change(wire::Change::REPLACE, config_body(3, 0));
  net.link(0);
  BOOST_REQUIRE(net.run_until([&] { return net.caught_up(); }));
  net.change(wire::Change::REPLACE, many_routes(4, 3, 2000));
  net.change(wire::Change::EVACUATE, "z1");
  BOOST_REQUIRE(net.run_until([&] { return net.caught_up(); }));
  BOOST_TEST(net.follower.changes().configuration()->routes.size() == 2000u);
  BOOST_TEST(net.log_messages.size() == 2u);  // started, complete
}

BOOST_AUTO_TEST_CASE(
    given_a_slow_path_when_a_follower_5_mb_behind_catches_up_then_other_frames_are_not_delayed) {
  constexpr double kSlow = 2e6;
  Net net(1, kSlow, 5ms);
  net.change(wire::Change::REPLACE, many_routes(3, 0, 5100, true));
  const auto size = bytes_of_state(net.sources[0].log).size();
  const auto begin = net.now;
  net.link(0);
  for (int i = 0; i < 300; ++i) {  // changes continue meanwhile
    net.run(50ms);
    net.change(i % 2 == 0 ? wire::Change::EVACUATE : wire::Change::READMIT, "z1");
  }
  BOOST_REQUIRE(net.run_until([&] { return net.caught_up(); }));
  const auto took = seconds(net.now - begin);
  const auto floor = static_cast<double>(size) * 8 / kSlow;
  BOOST_TEST_MESSAGE("catch-up over 2 Mbit/s of " << size << " bytes and 300 changes: " << took
                                                  << " s, floor " << floor << " s, longest queue "
                                                  << millis(net.sources[0].longest_queue) << " ms, frames up "
                                                  << net.sources[0].frames_up);
  for (const auto& message : net.log_messages) BOOST_TEST_MESSAGE(message);
  BOOST_TEST(size > 5'000'000u);
  BOOST_TEST(took < 1.05 * floor);
  BOOST_TEST(millis(net.sources[0].longest_queue) < 600u);
  BOOST_TEST(net.sources[0].log.position() == 301u);
  BOOST_TEST(bytes_of_state(net.follower.changes()) == bytes_of_state(net.sources[0].log));
}

BOOST_AUTO_TEST_CASE(
    given_a_path_of_high_latency_and_bandwidth_when_a_snapshot_is_fetched_then_more_parts_are_in_flight) {
  Net net(1, 1e9, 55ms);
  net.change(wire::Change::REPLACE, many_routes(3, 0, 5100, true));
  const auto begin = net.now;
  net.link(0);
  BOOST_REQUIRE(net.run_until([&] { return net.caught_up(); }));
  BOOST_TEST_MESSAGE("catch-up over 55 ms one way: " << seconds(net.now - begin) << " s");
  BOOST_TEST(seconds(net.now - begin) < 2.0);
}

// ---- disconnections

BOOST_AUTO_TEST_CASE(given_a_fetch_when_its_link_is_cut_then_it_resumes_where_it_stopped) {
  for (const bool other : {false, true}) {
    Net net(2, 2e6, 5ms);
    net.change(wire::Change::REPLACE, many_routes(3, 0, 2000, true));
    const auto size = bytes_of_state(net.sources[0].log).size();
    net.link(0);
    if (other) net.link(1);
    net.run(std::chrono::milliseconds(size * 8 / 2000 / 2));
    BOOST_TEST(net.follower.changes().position() == 0u);
    net.cut(0);
    net.run(2s);
    if (!other) net.link(0);
    BOOST_REQUIRE(net.run_until([&] { return net.caught_up() && net.follower.changes().position() > 0; }));
    const auto sent = net.sources[0].bytes_down + net.sources[1].bytes_down;
    BOOST_TEST(sent < size + 10 * kPartBytes, "sent " << sent << " for " << size);
    BOOST_TEST((net.sources[1].bytes_down > size / 3) == other);
  }
}

BOOST_AUTO_TEST_CASE(
    given_an_older_configuration_when_a_newer_one_is_fetched_then_it_stays_until_that_is_complete) {
  Net net(1, 2e6, 5ms);
  net.change(wire::Change::REPLACE, config_body(3, 0));
  net.link(0);
  BOOST_REQUIRE(net.run_until([&] { return net.caught_up(); }));
  net.change(wire::Change::REPLACE, many_routes(4, 3, 1000, true));
  net.run(2s);
  BOOST_TEST(net.follower.changes().configuration()->version == 3u);
  net.cut(0);
  BOOST_TEST(net.follower.changes().configuration()->version == 3u);
  net.link(0);
  BOOST_REQUIRE(net.run_until([&] { return net.caught_up(); }));
  BOOST_TEST(net.follower.changes().configuration()->version == 4u);
}

BOOST_AUTO_TEST_CASE(
    given_large_changes_in_quick_succession_when_a_follower_fetches_then_it_completes_snapshots) {
  Net net(1, 2e6, 5ms);
  std::uint64_t version = 1;
  net.change(wire::Change::REPLACE, many_routes(version, 0, 500, true));
  net.link(0);
  for (int i = 0; i < 60; ++i) {  // a fetch takes 2 s, a change arrives every 0.5 s
    net.run(500ms);
    net.change(wire::Change::REPLACE, many_routes(version + 1, version, 500, true));
    ++version;
  }
  BOOST_TEST(net.updates >= 8u);
  BOOST_REQUIRE(net.run_until([&] { return net.caught_up(); }));
  BOOST_TEST(net.follower.changes().configuration()->version == version);
}

// ---- diverged logs, and the sender and the receiver in isolation

// The core has lost changes that a follower has, and committed others at their positions.
BOOST_AUTO_TEST_CASE(
    given_a_follower_of_a_diverged_log_when_the_core_commits_changes_then_it_adopts_the_cores_log) {
  Net net(2);
  net.link(0);
  net.change_at(0, wire::Change::REPLACE, config_body(1, 0));
  net.change_at(0, wire::Change::REPLACE, config_body(2, 1, "lost"));
  net.run(1s);
  BOOST_TEST(net.follower.changes().state().version() == 2u);
  net.cut(0);
  net.change_at(1, wire::Change::REPLACE, config_body(1, 0));
  net.change_at(1, wire::Change::REPLACE, config_body(3, 1, "anew"));
  net.link(1);
  net.run(1s);
  BOOST_TEST(net.follower.changes().state().version() == 2u);  // no position beyond its own yet
  net.change_at(1, wire::Change::EVACUATE, zone_command("z", 2));
  net.run(1s);
  BOOST_TEST(net.follower.changes().state().version() == 3u);
  BOOST_TEST(bytes_of_state(net.follower.changes()) == bytes_of_state(net.sources[1].log));
  BOOST_REQUIRE(net.log_messages.size() >= 1);
  BOOST_TEST(net.log_messages.front().find("holds other changes") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(given_a_follower_ahead_of_the_core_when_it_is_notified_then_it_adopts_the_cores_state) {
  Net net(1);
  net.change_at(0, wire::Change::REPLACE, config_body(1, 0));
  fleet::ChangeLog ahead;
  push(ahead, wire::Change::REPLACE, config_body(1, 0));
  push(ahead, wire::Change::REPLACE, config_body(2, 1, "lost"));
  const auto core = net.sources[0].log;
  net.sources[0].log = ahead;
  net.link(0);
  net.run(1s);
  net.sources[0].log = core;
  net.sources[0].peer = {};
  BOOST_TEST(net.follower.changes().state().version() == 2u);
  net.follower.on_core_regressed(core.position());
  net.run(1s);
  BOOST_TEST(net.follower.changes().state().version() == 1u);
  BOOST_TEST(bytes_of_state(net.follower.changes()) == bytes_of_state(core));
  BOOST_REQUIRE(!net.log_messages.empty());
  BOOST_TEST(net.log_messages.front().find("stands at change 1, before the 2 here") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(given_a_sender_when_the_state_advances_then_it_keeps_two_snapshots_and_drops_idle_ones) {
  SnapshotSender sender;
  fleet::ChangeLog log;
  Time now{1h};
  push(log, wire::Change::REPLACE, many_routes(1, 0, 2000));
  const auto first = sender.offer(now, log, 0).id;
  std::vector<transfer::SnapshotId> later;
  for (std::uint64_t version = 2; version <= 5; ++version) {
    now += 1s;
    push(log, wire::Change::REPLACE, many_routes(version, version - 1, 2000));
    later.push_back(sender.offer(now, log, log.position() - 1).id);
    BOOST_TEST(!sender.answer(now, {first, kPartBytes}, log).replaces);  // still served
    BOOST_TEST(sender.size() == 2u);
  }
  BOOST_TEST(sender.answer(now, {later[1], kPartBytes}, log).replaces);
  BOOST_TEST(!sender.answer(now, {later[3], kPartBytes}, log).replaces);
  // An older snapshot that is fetched for too long is replaced.
  for (int i = 0; i < 121; ++i) {
    now += 1s;
    sender.answer(now, {first, kPartBytes}, log);
  }
  push(log, wire::Change::REPLACE, many_routes(6, 5, 2000));
  sender.offer(now, log, log.position() - 1);
  BOOST_TEST(sender.answer(now, {first, kPartBytes}, log).replaces);
  now += 11s;
  sender.expire(now);
  BOOST_TEST(sender.size() == 0u);
  // A dropped snapshot is encoded again, with the same bytes.
  const auto again = sender.offer(now, log, 0).id;
  now += 11s;
  sender.expire(now);
  BOOST_TEST(!sender.answer(now, {again, kPartBytes}, log).replaces);
}

BOOST_AUTO_TEST_CASE(given_a_sender_when_entries_can_follow_a_kept_snapshot_then_it_is_offered_again) {
  SnapshotSender sender;
  fleet::ChangeLog log;
  push(log, wire::Change::REPLACE, config_body(1, 0));
  const auto first = sender.offer(Time{1h}, log, 0).id;
  push(log, wire::Change::EVACUATE, "z1");
  BOOST_TEST((sender.offer(Time{1h}, log, 0).id == first));
  BOOST_TEST(sender.offer(Time{1h}, log, 1).id.position == 2u);  // newer than the first snapshot
}

// A snapshot of several parts.
struct Parts {
  explicit Parts(std::uint64_t version) {
    push(log, wire::Change::REPLACE, many_routes(version, 0, 2000));
    snapshot = transfer::encode(log.state());
  }
  Part at(std::uint64_t offset) const {
    return {snapshot->id, snapshot->bytes.size(), offset,
            std::string_view(snapshot->bytes).substr(offset, kPartBytes), false};
  }
  fleet::ChangeLog log;
  std::shared_ptr<const transfer::Snapshot> snapshot;
};

BOOST_AUTO_TEST_CASE(given_a_fetch_when_parts_of_another_digest_or_offset_arrive_then_they_are_ignored) {
  const Parts good(3), other(4);
  SnapshotReceiver receiver;
  const Time now{1h};
  BOOST_TEST(receiver.on_part(now, "a", good.at(0), 1).requests.size() == 2u);
  for (const auto& part : {other.at(kPartBytes), good.at(0), good.at(2 * kPartBytes), other.at(0)})
    BOOST_TEST(receiver.on_part(now, "b", part, 1).requests.empty());
  BOOST_TEST(receiver.received() == kPartBytes);
  auto cut_short = good.at(kPartBytes);
  cut_short.total = kPartBytes;  // a part beyond the total size
  receiver.on_part(now, "a", cut_short, 1);
  BOOST_TEST(receiver.received() == kPartBytes);
  std::optional<configuration::State> completed;
  for (std::uint64_t offset = kPartBytes; offset < good.snapshot->bytes.size(); offset += kPartBytes) {
    BOOST_TEST(!completed.has_value());
    completed = receiver.on_part(now, "a", good.at(offset), 1).completed;
  }
  BOOST_REQUIRE(completed.has_value());
  BOOST_TEST(completed->version() == 3u);
}

BOOST_AUTO_TEST_CASE(
    given_two_sources_of_one_snapshot_when_one_disconnects_then_the_other_is_asked_for_the_rest) {
  const Parts good(3), other(4);
  SnapshotReceiver receiver;
  const Time now{1h};
  receiver.on_part(now, "a", good.at(0), 1);
  receiver.on_part(now, "b", other.at(0), 1);
  receiver.on_part(now, "c", good.at(0), 1);
  receiver.on_part(now, "a", good.at(kPartBytes), 1);
  const auto at_c = receiver.on_source_lost(now, "a").requests;
  BOOST_REQUIRE(at_c.size() == 2u);
  BOOST_TEST(at_c[0].source == "c");
  BOOST_TEST((at_c[0].part.id == good.snapshot->id));
  BOOST_TEST(at_c[0].part.offset == 2 * kPartBytes);
  // A source that offers another snapshot may still hold this one.
  const auto at_b = receiver.on_source_lost(now, "c").requests;
  BOOST_REQUIRE(at_b.size() == 2u);
  BOOST_TEST(at_b[0].source == "b");
  BOOST_TEST((at_b[0].part.id == good.snapshot->id));
  auto replacement = other.at(0);
  replacement.replaces = true;
  const auto restarted = receiver.on_part(now, "b", replacement, 1).requests;
  BOOST_REQUIRE(restarted.size() == 2u);
  BOOST_TEST((restarted[0].part.id == other.snapshot->id));
  BOOST_TEST(restarted[0].part.offset == kPartBytes);
  receiver.on_source_lost(now, "b");
  BOOST_TEST(receiver.paused());
}

BOOST_AUTO_TEST_CASE(given_a_snapshot_when_it_is_older_or_does_not_match_its_digest_then_it_is_rejected) {
  const Parts good(3);
  const Time now{1h};
  SnapshotReceiver receiver;
  receiver.on_part(now, "a", good.at(0), 2);  // only change 2 or later is useful
  BOOST_TEST(!receiver.fetching());
  auto bytes = good.snapshot->bytes;
  bytes[bytes.size() - 1] = static_cast<char>(bytes[bytes.size() - 1] ^ 1);
  SnapshotReceiver::Step step;
  for (std::uint64_t offset = 0; offset < bytes.size(); offset += kPartBytes) {
    auto part = good.at(offset);
    part.bytes = std::string_view(bytes).substr(offset, kPartBytes);
    step = receiver.on_part(now, "a", part, 1);
    BOOST_TEST(!step.completed.has_value());
  }
  BOOST_TEST(step.failed);
  BOOST_TEST(!receiver.fetching());
  fleet::ChangeLog log;
  push(log, wire::Change::REPLACE, config_body(1, 0));
  const auto old = log.state();
  push(log, wire::Change::EVACUATE, "z1");
  BOOST_TEST((log.accept(old) == fleet::ChangeLog::Outcome::unchanged));
  BOOST_TEST(log.position() == 2u);
}

// ---- random orders of events

BOOST_AUTO_TEST_CASE(given_random_cuts_and_changes_when_they_end_then_the_follower_has_all) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 random(seed);
    Net net(3, 20e6, 5ms);
    std::vector<std::pair<wire::Change, std::string>> history;
    std::uint64_t version = 0, last = 0;
    const auto learn = [&](std::size_t i) {  // each source learns the same changes, at its own pace
      const auto at = net.sources[i].log.position();
      if (at < history.size()) net.change_at(i, history[at].first, history[at].second);
    };
    for (int step = 0; step < 150; ++step) {
      const auto i = random() % 3;
      switch (random() % 8) {
        case 0: net.cut(i); break;
        case 1:
        case 2: net.link(i); break;
        case 3:
          ++version;
          history.emplace_back(wire::Change::REPLACE,
                               many_routes(version, version - 1, random() % 2 == 0 ? 3 : 400));
          break;
        case 4: history.emplace_back(wire::Change::EVACUATE, "z" + std::to_string(step)); break;
        default: learn(i);
      }
      net.run(std::chrono::milliseconds(random() % 120));
      BOOST_REQUIRE(net.follower.changes().position() >= last);
      last = net.follower.changes().position();
      for (auto& s : net.sources) s.feed.expire(net.now);
    }
    for (std::size_t i = 0; i < 3; ++i) net.link(i);
    for (std::size_t n = 0; n < 3 * history.size(); ++n) learn(n % 3);
    BOOST_TEST(net.run_until([&] { return net.caught_up(); }), "seed " << seed << " stands at "
                                                                       << net.follower.changes().position()
                                                                       << " of " << history.size());
    if (!history.empty())
      BOOST_TEST(bytes_of_state(net.follower.changes()) == bytes_of_state(net.sources[0].log));
    // A later change reaches it through any one of them.
    net.run(1s);
    const auto single_source = random() % 3;
    net.change_at(single_source, wire::Change::EVACUATE, "last");
    BOOST_TEST(net.run_until([&] { return net.caught_up(); }), "seed " << seed << " misses the last");
  }
}

BOOST_AUTO_TEST_CASE(given_a_lagging_copy_when_nothing_arrives_then_all_sources_are_asked_again) {
  for (const std::size_t routes : {3, 400}) {  // one part, many parts
    Net net(2);
    net.change(wire::Change::REPLACE, many_routes(1, 0, routes));
    net.link(0);
    if (routes > 3) net.run_until([&] { return net.sources[0].bytes_down > 0; });
    net.sources[0].drops_requests = true;
    net.run(1s);
    BOOST_TEST(net.follower.changes().position() == 0u);  // its request was lost, or that for further parts
    const auto watched = [&](Duration time) {
      for (const Time until = net.now + time; net.now < until; net.run(500ms)) {
        net.follower.on_core_position(net.now, 1);
        net.follower.check_progress(net.now);
      }
    };
    net.sources[0].drops_requests = false;
    watched(1s);
    BOOST_TEST(net.follower.changes().position() == 0u);  // not yet: a distant source may be slow
    BOOST_TEST(net.follower.lagging_since(net.now).has_value());
    watched(2s);
    BOOST_TEST(net.follower.changes().position() == 1u);
    BOOST_TEST(!net.follower.lagging_since(net.now).has_value());
    BOOST_TEST(net.log_messages.size() >= 3u);  // lagging, asked again, caught up
  }
}

// Everything starts at once: sources learn the core's changes at their own pace, a follower without a copy
// connects to them, and links are cut at any frame. Nothing is committed meanwhile, so that no later push
// hides a lost one.
BOOST_AUTO_TEST_CASE(
    given_a_start_of_everything_when_links_are_cut_at_any_frame_then_the_copy_completes_without_new_changes) {
  for (std::uint64_t seed = 1; seed <= last_seed(100); ++seed) {
    std::mt19937_64 random(seed);
    Net net(3, random() % 2 == 0 ? 2e6 : 1e9, random() % 2 == 0 ? 1ms : 55ms);
    std::vector<std::pair<wire::Change, std::string>> history;
    const auto changes = 1 + random() % 12;
    for (std::uint64_t version = 1; version <= changes; ++version)
      history.emplace_back(wire::Change::REPLACE,
                           many_routes(version, version - 1, random() % 3 == 0 ? 300 : 3));
    const auto learn = [&](std::size_t i) {
      const auto at = net.sources[i].log.position();
      if (at < history.size()) net.change_at(i, history[at].first, history[at].second);
    };
    for (std::size_t i = 0; i < 3; ++i)
      for (auto known = random() % (history.size() + 1); known > 0; --known) learn(i);
    for (int event = 0; event < 120; ++event) {
      const auto i = random() % 3;
      if (random() % 12 == 0) net.cut(i);
      if (random() % 6 == 0) net.link(i);
      if (random() % 4 == 0) learn(i);
      net.run(std::chrono::milliseconds(random() % 4));
    }
    // From here on no link is cut; all links are restored, and at least one source has everything.
    for (std::size_t n = 0; n < history.size(); ++n) learn(0);
    for (std::size_t i = 0; i < 3; ++i) {
      net.run(std::chrono::milliseconds(random() % 30));
      net.link(i);
    }
    BOOST_TEST(
        net.run_until([&] { return net.caught_up(); }, 10s),
        "seed " << seed << " stands at " << net.follower.changes().position() << " of " << history.size());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
