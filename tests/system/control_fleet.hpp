// A core in memory for plays of faults: replicas with disks that take their time, links that are cut one way
// or both, lose, repeat and delay messages, and processes that are frozen between any two of their steps.
// Virtual time; by seed.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "store_files.hpp"
#include "system/agreement/replica.hpp"
#include "system/transfer/snapshot.hpp"

namespace docklift::test {

using MemberIndex = std::size_t;

// How a play's disks are made.
enum class DiskKind {
  records,         // in memory
  files,           // a store's own code over simulated files
  unsynced_files,  // the same, and no folder is ever synced: a planted fault
};

// What a replica has on its disk. Writes are handled one after another in the order of submission; a durable
// one makes all before it durable, on files each one.
class SimulatedDisk {
 public:
  explicit SimulatedDisk(DiskKind kind = DiskKind::records);

  struct Submitted {
    agreement::Write write;
    bool wants_completion = false;
  };

  void submit(agreement::Write write, bool wants_completion);
  // Handles the first submitted write. True: its completion is wanted.
  bool complete_first();
  const Submitted& first() const { return submitted_.front(); }
  std::size_t waiting() const { return submitted_.size(); }

  // The process ends: of what was submitted, a part from the front has reached the file, and is durable once
  // that is opened again.
  void kill(std::mt19937_64& random);
  // Of what was not made durable, a part from the front is kept.
  void lose_power(std::mt19937_64& random);
  void wipe();
  // A failure: it lacks something that it had made durable.
  Result<agreement::DurableState> open(std::mt19937_64& random);

 private:
  std::size_t draw_handed_over(std::mt19937_64& random) const;
  void hand_over(std::size_t count);
  void apply(const agreement::Write& write);

  DiskKind kind_;
  std::unique_ptr<StoreFiles> files_;      // none: the records below are what it holds
  std::deque<Submitted> submitted_;        // not yet in the file
  std::vector<agreement::Write> written_;  // in the file, not durable
  agreement::DurableState kept_;
  std::map<std::uint64_t, agreement::AcceptedChange> accepted_;
  std::map<std::uint64_t, agreement::LogEntry> log_;
};

struct FleetOptions {
  std::vector<std::string> zones;  // of the first members, in order
  std::size_t tolerated = 1;       // machines that may be lost at once
  std::uint64_t seed = 1;
  double loss = 0;       // share of the messages that are lost
  double duplicate = 0;  // share of the messages that come twice
  Duration least_delay = std::chrono::milliseconds(1);
  Duration most_delay = std::chrono::milliseconds(3);
  Duration sync_time = std::chrono::milliseconds(1);
  bool trace_messages = false;
  DiskKind disks = DiskKind::records;
};

// A message between two members, as a planted fault sees it.
struct Packet {
  MemberIndex from = 0, to = 0;
  agreement::Envelope envelope;
  bool drop = false;
  std::shared_ptr<const transfer::Snapshot>
      snapshot{};  // set: this is what is sent, in place of the envelope
};

class ControlFleet {
 public:
  struct Member {
    std::string address, zone;
    SimulatedDisk disk;
    std::unique_ptr<agreement::Replica> replica;  // null: down
    std::uint64_t incarnation = 0;                // rises with each start and end
    bool frozen = false;
    bool removed = false;  // for good
    bool leaving = false;
    std::size_t writes_out = 0;               // writes whose completion is waited for
    std::deque<agreement::Actions> releases;  // what waits for them, in their order
    std::vector<std::function<void()>> held;  // inputs that came while it was frozen
    std::set<std::string> known;              // addresses that it dials
    std::vector<std::string> seeds;           // of its settings
    Time disk_stalled_until{};
    Duration sync_time{};
    bool disk_busy = false;
  };
  using Settle = std::function<void(int status, const configuration::State& state)>;

  explicit ControlFleet(FleetOptions options);
  ControlFleet(const ControlFleet&) = delete;
  ControlFleet& operator=(const ControlFleet&) = delete;

  Time now() const { return now_; }
  std::mt19937_64& random() { return random_; }
  void run(Duration span);
  bool run_until(const std::function<bool()>& done, Duration limit);
  void later(Duration delay, std::function<void()> action);
  std::uint64_t drawn(std::uint64_t below) { return random_() % below; }
  Duration drawn(Duration least, Duration most);
  bool chance(double share) { return static_cast<double>(drawn(1000000)) < share * 1e6; }

  // False: nobody listens there. `settle` is called when the member answers; never, if it ends before.
  bool propose(MemberIndex at, configuration::ChangeKind kind, const std::string& text, Settle settle);

  void kill(MemberIndex member);
  void lose_power(MemberIndex member);
  void lose_disk(MemberIndex member);
  void start(MemberIndex member);
  void freeze(MemberIndex member);
  void thaw(MemberIndex member);
  // From one to the other; what is on its way waits for a while, as in a connection, and is lost then.
  void cut(MemberIndex from, MemberIndex to);
  void cut_off(MemberIndex member);
  void join(MemberIndex member);  // ends all cuts of this member
  void join_all();
  void reset_link(MemberIndex from, MemberIndex to);
  void stall_disk(MemberIndex member, Duration span);
  void slow_disk(MemberIndex member, Duration sync_time);
  // A new machine with an empty disk.
  MemberIndex add(const std::string& zone);
  // SIGTERM: the member hands over its vote and ends; it is removed for good.
  void leave(MemberIndex member);
  void remove(MemberIndex member);

  bool is_up(MemberIndex member) const { return members_[member].replica != nullptr; }
  bool is_cut(MemberIndex member) const;
  bool has_cuts() const { return !cuts_.empty(); }
  const std::set<std::pair<MemberIndex, MemberIndex>>& cuts() const { return cuts_; }
  const Member& member(MemberIndex index) const { return members_[index]; }
  std::size_t size() const { return members_.size(); }
  const agreement::Replica& replica(MemberIndex index) const { return *members_[index].replica; }

  // Places of the log as any member has told, and what contradicts.
  const std::map<std::uint64_t, agreement::Change>& log() const { return log_; }
  const std::vector<std::string>& contradictions() const { return contradictions_; }

  // For planted faults; each may be empty.
  std::function<void(Packet&)> on_packet;
  std::function<void(MemberIndex, agreement::Write&)> on_write;
  std::function<void(MemberIndex, agreement::DurableState&)> on_read_disk;
  std::function<void(MemberIndex, agreement::Options&)> on_options;
  std::function<void(MemberIndex, configuration::ChangeKind, const std::string&)> on_proposal;
  // Lines of what happens; for the trace of one seed.
  std::function<void(const std::string&)> on_trace;
  void trace(const std::string& line) const;

 private:
  struct Event {
    Time at{};
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  struct Link {
    bool up = false;
    bool changing = false;  // an event that makes or ends it is under way
  };

  // Runs an input of this incarnation of a member; while it is frozen the input waits.
  void at_member(MemberIndex member, std::uint64_t incarnation, std::function<void()> input);
  void end(MemberIndex member);
  void boot(MemberIndex member, bool bootstrap);
  agreement::DurableState read_disk(MemberIndex member);
  void tick(MemberIndex member, std::uint64_t incarnation);
  void carry_out(MemberIndex member, agreement::Actions out);
  void release(MemberIndex member, agreement::Actions out);
  void note_log(MemberIndex member, const agreement::Actions& out);
  void work_disk(MemberIndex member);
  void send(MemberIndex from, const agreement::Send& send);
  void send_snapshot(MemberIndex from, const agreement::SnapshotRequest& need);
  void transmit_to_peer(const Packet& packet, std::uint64_t incarnation);
  void transmit(const Packet& packet, std::uint64_t from_incarnation, Duration delay, Time waits_until);
  void update_links();
  void change_link(MemberIndex from, MemberIndex to, bool up, Duration delay);
  void set_link(MemberIndex from, MemberIndex to, bool up);
  void watch_links();
  void watch_leave(MemberIndex member, std::uint64_t incarnation);
  bool reaches(MemberIndex from, MemberIndex to) const { return !cuts_.contains({from, to}); }
  std::optional<MemberIndex> index_of(const std::string& address) const;

  FleetOptions options_;
  std::mt19937_64 random_;
  Time now_{std::chrono::hours(1)};
  std::deque<Member> members_;
  std::priority_queue<Event> events_;
  std::uint64_t event_order_ = 0;
  std::set<std::pair<MemberIndex, MemberIndex>> cuts_;
  std::map<std::pair<MemberIndex, MemberIndex>, Link> links_;
  std::map<std::uint64_t, Settle> calls_;
  std::uint64_t next_call_ = 0;
  std::map<std::uint64_t, agreement::Change> log_;
  std::vector<std::string> contradictions_;
};

// A configuration with one service; `service` makes two of the same version differ.
std::string configuration_body(std::uint64_t version, std::uint64_t parent, const std::string& service);

}  // namespace docklift::test
