// One store's replica of the log of changes: acceptor, proposer and learner of single-decree Paxos, run for
// one log slot after another. There is no standing leader: a replica with a change to propose runs a ballot
// for the next slot. The class does no I/O: time, a random seed and messages go in, actions come out.
// Source: Lamport, "Paxos Made Simple"; voters, lost disks and zones: docs/design/control-safety.md.
//
// Invariants: a promise or acceptance is sent only once it is durable; a ballot is started only for the slot
// after the last decided one, so that the proposer knows that slot's voters; a reply counts only for a voter
// with this address and this disk; a change is decided here only when its acceptors lie in two zones, or no
// voter of another zone is alive.
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
  std::string self, zone;  // IP address and zone of this store
  // IP addresses of the first voters; also whom to ask while no others are known.
  std::vector<std::string> seeds;
  bool bootstrap = false;              // the first start of the whole system
  bool can_vote = true;                // may become a voter
  std::size_t tolerated_failures = 1;  // machines that may be lost at once
  // IP addresses of voters that the operators declare lost together with their disks.
  std::vector<std::string> lost_voters{};
  std::uint64_t random_seed = 1;
  std::uint64_t new_disk = 2;  // the identity given to an empty disk; never kBootstrapDisk
  Duration ballot_timeout = std::chrono::milliseconds(500);     // a ballot without an outcome is retried
  Duration proposal_timeout = std::chrono::milliseconds(5000);  // a proposal without an outcome gets 503
  Duration barrier_interval = std::chrono::milliseconds(500);
  // A voter from which nothing was received for this long counts as lost.
  Duration unresponsive_after = std::chrono::milliseconds(2500);
  // After this long a lost voter may be replaced by a learner of any zone.
  Duration presumed_dead_after = std::chrono::seconds(20);
  // How long a leaving store waits for a successor.
  Duration handover_timeout = std::chrono::milliseconds(2500);
};

struct Send {
  std::string to;  // IP address; may be this store itself
  Envelope envelope;
};

// Another store needs a snapshot of a state beyond `after`; the caller sends it in chunks.
struct SnapshotRequest {
  std::string to;           // IP address
  std::uint64_t after = 0;  // the position that it holds
};

// The outcome of a proposal or read barrier.
struct Completion {
  std::uint64_t id = 0;
  int status = 200;  // 200, 400, 404, 412; 503: no majority in time
  std::string why;
};

// What the caller carries out, in this order: `immediate_sends` at once; `write`; then `sends` and
// `completions`, once every durable write up to and including this one is on the disk.
struct Actions {
  std::vector<Send> immediate_sends;  // remain true after a power loss
  Write write;
  std::vector<Send> sends;
  std::vector<Completion> completions;
  std::vector<SnapshotRequest> snapshot_requests;  // to be carried out together with `sends`
  std::vector<LogEntry> chosen;                    // newly in force, in order
  bool snapshot_installed = false;                 // the state was replaced by a snapshot
  std::vector<std::string> log_lines;              // for the process's log
};

class Replica {
 public:
  Replica(Options options, DurableState stored);

  Actions start(Time now);
  Actions receive(Time now, const std::string& from, const Envelope& envelope);
  // Takes a complete snapshot of another store's state; ignored if it is not newer than the state held here.
  Actions receive_snapshot(Time now, const State& snapshot);
  // `id` is the caller's and is returned in Completion. `nothing` is a read barrier: it completes when the
  // state is known to hold every change acknowledged before the call, and does not queue behind changes.
  Actions propose(Time now, std::uint64_t id, ChangeKind kind, std::string text);
  Actions tick(Time now);  // to be called at least every 50 ms
  // Begins a shutdown of the store: its vote is handed over first if a learner can take it.
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
  // The latest changes; a peer that lags further needs a snapshot.
  const fleet::RecentChanges<LogEntry>& recent() const { return log_; }
  const configuration::LogDigests& digests() const { return digests_; }

 private:
  struct Proposal {
    std::uint64_t id = 0;
    ChangeKind kind{};
    std::string text;
    Time received_at{};
    bool confirmed = false;  // a read barrier has completed since it was received
  };
  struct Read {
    std::uint64_t id = 0;
    Time received_at{};
  };
  struct Peer {  // another store, by address; known from its link or its status
    std::string zone;
    bool linked = false;
    bool has_status = false;  // a status was received from it since this process started
    std::uint64_t disk = 0;
    std::optional<Time> has_state_since;  // reported for that disk, and in contact without a gap since
    Status status;
    std::optional<std::uint64_t> diverged_disk;  // the disk whose log holds other changes than this one
    Time last_received{};
  };
  enum class Phase { idle, preparing, accepting, backing_off };

  // Proposer (replica.cpp).
  void advance_queue(Time now);
  bool try_complete_first(Time now);
  void begin_ballot(Time now);
  void begin_accept(Time now);
  void try_decide(Time now);
  void resend_accept();
  void back_off(Time now, Duration max_delay);
  void back_off_after_conflict(Time now);
  void complete_first(int status, std::string why);
  void expire_overdue(Time now);
  bool ballot_runs() const { return phase_ == Phase::preparing || phase_ == Phase::accepting; }
  bool has_undecided_target() const {
    return barrier_running_ && barrier_target_ && *barrier_target_ > state_.position;
  }

  // Learner (replica.cpp).
  void apply_chosen(Time now, std::uint64_t slot, const Change& change);
  void reset_log_size();
  void count_logged(const LogEntry& entry);
  void install_snapshot(const State& snapshot);
  void on_log_advanced(Time now);
  void learn_by_digest(Time now, const Sender& sender);
  void fetch_from(Time now, const std::string& address);

  // Read barriers (replica_quorum.cpp).
  void begin_read_barrier(Time now);
  void count_barrier_statuses(Time now);
  void end_read_barrier(Time now);
  Status status(std::uint64_t round) const;
  void announce_status();

  // Divergence and quorums (replica_quorum.cpp).
  bool is_voter(const Voter& voter) const;
  bool is_quorum(const std::set<Voter>& voters) const;
  bool is_destroyed(const Voter& voter) const;
  void compare_history(const std::string& from, const Sender& sender);
  bool has_diverged(const std::string& from, const Sender& sender) const;
  void record_divergence(const std::string& from, std::uint64_t disk, std::uint64_t position);
  void mark_voter_lost(Time now, const std::string& address);
  void mark_destroyed(Time seen_since, const Voter& voter, const std::string& why);
  void detect_destroyed(Time now, const std::string& from, const Sender& sender, const Status& status);
  bool is_survivor_quorum(const std::set<Voter>& voters) const;
  bool can_form_quorum() const;
  bool survives_zone_loss(Time now, const std::set<Voter>& acceptors) const;
  bool unresponsive_for(Time now, const std::string& address, Duration limit) const;
  void update_contact(Time now);
  bool is_in_contact(const Peer& peer) const;
  std::string zone_of(const std::string& address) const;
  void request_statuses();
  void request_missing_status(const std::string& address);

  // Membership changes (replica_membership.cpp).
  void propose_membership(Time now);
  void withdraw_membership();
  bool is_handing_over() const;
  bool waits_for_successors(Time now);
  bool has_successor(const Voter& voter) const;
  bool is_replaceable(const Voter& voter) const;
  std::size_t proposer_rank(Time now) const;
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

  void update_clock(Time now);
  Sender own_sender() const;
  void report_lowered_version();
  std::string position_and_digest() const;  // of this log, as text for log lines
  void send(const std::string& to, Message message);
  void send_immediately(const std::string& to, Message message);
  void send_to_voters(const Message& message);
  Duration random_duration(Duration min, Duration max);

  Options options_;
  std::uint64_t disk_ = 0;
  State state_;
  std::map<std::uint64_t, AcceptedChange> accepted_;
  Ballot promised_;
  configuration::LogDigests digests_;   // of the latest positions
  fleet::RecentChanges<LogEntry> log_;  // for peers that lag a little
  SnapshotPolicy snapshot_policy_;
  LogSinceSnapshot log_since_snapshot_;  // on the disk
  std::uint64_t snapshot_bytes_ = 0;     // approximate size of the last snapshot
  std::mt19937_64 rng_;
  Actions actions_;

  std::deque<Proposal> queue_;
  std::vector<Read> reads_;
  std::uint64_t last_number_ = 0;  // of the changes proposed here
  Phase phase_ = Phase::idle;
  Time phase_since_{}, retry_at_{}, accept_sent_at_{};
  unsigned conflicts_ = 0;  // with other proposers' ballots for the present slot
  std::uint64_t slot_ = 0, round_ = 0;
  Ballot ballot_;
  Change proposed_;
  // The ballot was started for the first proposal, validated at that time.
  bool ballot_for_first_proposal_ = false;
  std::optional<AcceptedChange> highest_accepted_;
  std::set<Voter> promises_, acceptances_, rejections_;

  // Starts at a random number, so that replies to an earlier incarnation are recognized.
  std::uint64_t status_round_ = 0;
  std::optional<std::uint64_t> barrier_target_;  // the slot that must be decided here; none: not known yet
  bool barrier_running_ = false, first_barrier_passed_ = false;
  std::uint64_t barrier_membership_ = 0;
  Time barrier_began_{}, next_barrier_{}, last_fetch_at_{};
  std::map<std::string, Status> statuses_;  // of the present round, from voters

  std::map<std::string, Peer> peers_;  // by address
  Time now_{};                         // of the last call
  Time contact_since_{};               // contact with a majority of the voters has been continuous since
  std::optional<Time> change_needed_since_;
  // Since when a lost disk's successor has been known, under this membership.
  std::optional<Time> successors_seen_since_;
  // Voters whose disks are lost, and since when this process has been in contact with their successors.
  std::map<Voter, Time> destroyed_;
  std::uint64_t highest_seen_membership_ = 0;  // the highest membership number in any message
  bool leaving_ = false;
  Time leaving_since_{};
};

}  // namespace docklift::agreement
