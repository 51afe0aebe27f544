// One store's replica of the log of changes: acceptor, proposer and learner of single-decree Paxos, one place
// of the log after another. There is no standing leader: who has a change to propose runs a ballot for the
// next place. Pure: time, chance (by seed) and messages go in, what is to be done comes out.
// Source: Lamport, "Paxos Made Simple"; voters, lost disks and zones: docs/design/control-safety.md.
//
// Invariants: a promise or acceptance leaves only when it is durable; only the place after the last decided
// one is begun, so its voters are known to who begins it; an answer counts only for a voter with this address
// and this disk; a change is decided here only when its acceptors lie in two zones, or no voter of another
// zone is alive.
#pragma once

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "system/agreement/membership.hpp"
#include "system/agreement/messages.hpp"
#include "system/agreement/snapshot_policy.hpp"
#include "system/base/time.hpp"
#include "system/fleet/recent_changes.hpp"

namespace docklift::agreement {

struct Options {
  std::string self, zone;              // ip; zone
  std::vector<std::string> seeds;      // ips: the first voters, and who is asked where others are not known
  bool bootstrap = false;              // the very first start of the whole system
  bool can_vote = true;                // may become a voter
  std::size_t tolerated_failures = 1;  // machines that may be lost at once
  std::vector<std::string> lost_voters{};  // ips whose voters' disks are lost, as the operators say
  std::uint64_t random_seed = 1;
  std::uint64_t new_disk = 2;  // the identity that an empty disk is given; never kBootstrapDisk
  Duration round_limit = std::chrono::milliseconds(500);  // a ballot without an outcome is tried anew
  Duration give_up = std::chrono::milliseconds(5000);     // a proposal without an outcome gets 503
  Duration confirm_every = std::chrono::milliseconds(500);
  Duration silence = std::chrono::milliseconds(2500);      // not heard for so long: the voter counts as lost
  Duration gone = std::chrono::seconds(20);                // and may be replaced from any zone
  Duration leave_limit = std::chrono::milliseconds(2500);  // how long a leaving store waits for a successor
};

struct Send {
  std::string to;  // ip; may be the store itself
  Envelope envelope;
};

// Another store needs a snapshot of a state beyond `after`; the caller sends it, in parts.
struct SnapshotRequest {
  std::string to;           // ip
  std::uint64_t after = 0;  // what it holds
};

// The outcome of a proposal or read barrier.
struct Completion {
  std::uint64_t id = 0;
  int status = 200;  // 200, 400, 404, 412; 503: no majority in time
  std::string why;
};

// To be done in this order: `immediate` at once; `write`; then `sends` and `settled`, only when all that was
// to be written durably till now is on the disk.
struct Actions {
  std::vector<Send> immediate_sends;  // says nothing that a loss of power could make untrue
  Write write;
  std::vector<Send> sends;
  std::vector<Completion> completions;
  std::vector<SnapshotRequest> snapshot_requests;  // to be sent, as `sends`
  std::vector<LogEntry> chosen;                    // newly in force, in order
  bool snapshot_installed = false;                 // the state was replaced by a snapshot
  std::vector<std::string> log_lines;              // for the log
};

class Replica {
 public:
  Replica(Options options, DurableState kept);

  Actions start(Time now);
  Actions receive(Time now, const std::string& from, const Envelope& envelope);
  // A whole snapshot of another store's state; passed over if it is not newer than what is held.
  Actions receive_snapshot(Time now, const State& snapshot);
  // `id`: the caller's, told back in Completion. `nothing` is a read barrier: it settles when the state is known
  // to hold all that was acknowledged before the call, and does not wait behind changes.
  Actions propose(Time now, std::uint64_t id, ChangeKind kind, std::string text);
  Actions tick(Time now);  // at least each 50 ms
  // The store is asked to end: its vote is handed over first where a learner can take it.
  Actions leave(Time now);
  bool may_stop(Time now) const;
  void set_seeds(std::vector<std::string> addresses) { options_.seeds = std::move(addresses); }
  void on_link_up(const std::string& address, const std::string& zone);
  void on_link_down(const std::string& address);

  const State& state() const { return state_; }
  // False: the disk was empty and the others' state has not been read yet.
  bool has_state() const { return !state_.voters.empty(); }
  bool votes() const { return has_state() && is_voter({options_.self, disk_}); }
  std::uint64_t disk() const { return disk_; }
  // The last changes; who is behind further needs a snapshot.
  const fleet::RecentChanges<LogEntry>& recent() const { return log_; }
  const configuration::LogDigests& digests() const { return digests_; }

 private:
  struct Proposal {
    std::uint64_t id = 0;
    ChangeKind kind{};
    std::string text;
    Time since{};
    bool sure = false;  // a read barrier has passed since it came
  };
  struct Read {
    std::uint64_t id = 0;
    Time since{};
  };
  struct Peer {  // another store, by address; known from its link or its status
    std::string zone;
    bool linked = false;
    bool told = false;  // a status has come from it in this life
    std::uint64_t disk = 0;
    std::optional<Time> has_state_since;  // told by that disk, and heard without a gap since
    Status status;
    std::optional<std::uint64_t> contradicting_disk;  // whose log holds other changes than this one
    Time heard{};
  };
  enum class Phase { idle, preparing, accepting, pausing };

  // Proposer (replica.cpp).
  void drive(Time now);
  bool settle_first(Time now);
  void begin_ballot(Time now);
  void begin_accept(Time now);
  void try_decide(Time now);
  void resend_accept();
  void pause(Time now, Duration most);
  void pause_after_crossing(Time now);
  void settle(int status, std::string why);
  void give_up_late(Time now);
  bool ballot_runs() const { return phase_ == Phase::preparing || phase_ == Phase::accepting; }
  bool half_decided() const { return confirming_ && target_ && *target_ > state_.position; }

  // Learner (replica.cpp).
  void choose(Time now, std::uint64_t slot, const Change& change);
  void begin_log();
  void note_logged(const LogEntry& entry);
  void take_snapshot(const State& snapshot);
  void after_learning(Time now);
  void learn_by_digest(Time now, const Sender& sender);
  void fetch_from(Time now, const std::string& address);

  // Read barriers (replica_quorum.cpp).
  void begin_confirm(Time now);
  void count_statuses(Time now);
  void end_confirm(Time now);
  Status status(std::uint64_t round) const;
  void announce_status();

  // Histories and quorums (replica_quorum.cpp).
  bool is_voter(const Voter& voter) const;
  bool is_quorum(const std::set<Voter>& voters) const;
  bool is_destroyed(const Voter& voter) const;
  void notice_history(const std::string& from, const Sender& sender);
  bool is_contradicting(const std::string& from, const Sender& sender) const;
  void note_contradiction(const std::string& from, std::uint64_t disk, std::uint64_t position);
  void note_lost_voter(Time now, const std::string& address);
  void note_destroyed(Time in_sight_since, const Voter& voter, const std::string& why);
  void notice_destroyed(Time now, const std::string& from, const Sender& sender, const Status& status);
  bool is_survivor_quorum(const std::set<Voter>& voters) const;
  bool may_have_quorum() const;
  bool outlives_a_zone(Time now, const std::set<Voter>& acceptors) const;
  bool lost_for(Time now, const std::string& address, Duration limit) const;
  void watch_contact(Time now);
  bool heard_recently(const Peer& peer) const;
  std::string zone_of(const std::string& address) const;
  void request_statuses();
  void ask_late(const std::string& address);

  // Change of voters (replica_membership.cpp).
  void propose_membership(Time now);
  void withdraw_membership();
  bool hands_over() const;
  bool waits_for_voters(Time now);
  bool has_successor(const Voter& voter) const;
  bool is_replaceable(const Voter& voter) const;
  std::size_t rank(Time now) const;
  VoterHealth health_of(Time now, const Voter& voter) const;
  std::vector<VoterReport> voter_reports(Time now) const;
  std::vector<ReadyLearner> ready_learners() const;

  void on(Time now, const std::string& from, const Sender& sender, const Prepare& m);
  void on(Time now, const std::string& from, const Sender& sender, const Promise& m);
  void on(Time now, const std::string& from, const Sender& sender, const Accept& m);
  void on(Time now, const std::string& from, const Sender& sender, const Accepted& m);
  void on(Time now, const std::string& from, const Sender& sender, const LogEntry& m);
  void on(Time now, const std::string& from, const Sender& sender, const StatusRequest& m);
  void on(Time now, const std::string& from, const Sender& sender, const Status& m);
  void on(Time now, const std::string& from, const Sender& sender, const Fetch& m);
  void on(Time now, const std::string& from, const Sender& sender, const Log& m);

  void notice_time(Time now);
  Sender identity() const;
  std::string place_and_digest() const;  // of the log here, for the process's own log
  void send(const std::string& to, Message message);
  void send_at_once(const std::string& to, Message message);
  void to_voters(const Message& message);
  Duration chance(Duration least, Duration most);

  Options options_;
  std::uint64_t disk_ = 0;
  State state_;
  std::map<std::uint64_t, AcceptedChange> accepted_;
  Ballot promised_;
  configuration::LogDigests digests_;   // of the last places
  fleet::RecentChanges<LogEntry> log_;  // for who is behind a little
  SnapshotPolicy snapshot_policy_;
  LogSinceSnapshot logged_;        // on the disk
  std::uint64_t state_bytes_ = 0;  // of the last snapshot, about
  std::mt19937_64 rng_;
  Actions out_;

  std::deque<Proposal> queue_;
  std::vector<Read> reads_;
  std::uint64_t numbers_ = 0;
  Phase phase_ = Phase::idle;
  Time phase_since_{}, resume_at_{}, accept_sent_at_{};
  unsigned crossings_ = 0;  // of ballots with others' at the present place
  std::uint64_t slot_ = 0, round_ = 0;
  Ballot ballot_;
  Change offered_;
  bool ballot_for_first_ = false;  // the ballot was begun for the first proposal, which was judged then
  std::optional<AcceptedChange> highest_;
  std::set<Voter> promises_, acceptances_, refusals_;

  std::uint64_t status_round_ = 0;       // drawn at the start: an answer to an earlier life has another
  std::optional<std::uint64_t> target_;  // the place that must be decided here; none: not known yet
  bool confirming_ = false, confirmed_once_ = false;
  std::uint64_t confirm_membership_ = 0;
  Time confirm_began_{}, next_confirm_{}, fetched_at_{};
  std::map<std::string, Status> statuses_;  // of the present round, from voters

  std::map<std::string, Peer> peers_;  // by address
  Time now_{};                         // of the last call
  Time contact_since_{};               // a majority of the voters has been heard all the time since
  std::optional<Time> change_needed_since_;
  std::optional<Time> successors_since_;  // a lost disk's successor has been in sight, under this membership
  // Voters whose disks are lost; since when their successors have been in sight in this life.
  std::map<Voter, Time> destroyed_;
  std::uint64_t seen_membership_ = 0;  // the highest number that any message told
  bool leaving_ = false;
  Time leaving_since_{};
};

}  // namespace docklift::agreement
