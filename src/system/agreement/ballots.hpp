// One store's part in agreeing on the log of changes: acceptor, proposer and learner of single-decree
// ballots, one place of the log after another. There is no standing leader: who has a change to propose runs
// a ballot for the next place. Pure: time, chance (by seed) and messages go in, what is to be done comes out.
// Source: Lamport, "Paxos Made Simple"; what a voter does that has lost its disk is ours
// (docs/design/core.md).
//
// Invariants: a promise or vote leaves only when it is durable; a voter without its memory neither promises
// nor votes; the place after the last chosen one is the only one that is decided; the voters of a place
// follow from the changes before it.
#pragma once

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "system/agreement/messages.hpp"
#include "system/base/time.hpp"

namespace docklift::agreement {

struct Options {
  std::string self, zone;          // ip; zone
  std::vector<std::string> seeds;  // ips: the first voters, and who is asked where others are not known
  bool bootstrap = false;
  bool votes = true;  // may join the voters
  std::uint64_t chance = 1;
  Duration round_limit = std::chrono::milliseconds(500);  // a ballot without an outcome is tried anew
  Duration spread_limit = std::chrono::milliseconds(
      1200);  // how long a majority of one zone waits for another zone
  Duration give_up = std::chrono::milliseconds(5000);  // a proposal without an outcome gets 503
  Duration confirm_every = std::chrono::milliseconds(500);
  Duration status_every = std::chrono::milliseconds(200);  // while blank
};

struct Send {
  std::string to;  // ip; may be the store itself
  Message message;
};

struct Settled {
  std::uint64_t id = 0;
  int status = 200;  // 200, 400, 404, 412; 503: no majority in time
  std::string why;
};

// To be done in this order: `write` first; `sends` and `settled` only when all that was to be written durably
// till now is.
struct Out {
  Write write;
  std::vector<Send> sends;
  std::vector<Settled> settled;
  std::vector<Chosen> chosen;      // newly in force, in order
  bool snapshot = false;           // the state was replaced by a snapshot
  bool confirmed = false;          // confirmed() has moved
  std::vector<std::string> notes;  // for the log
};

class Ballots {
 public:
  Ballots(Options options, Kept kept);

  Out start(Time now);
  Out receive(Time now, const std::string& from, const Message& message);
  // `id`: the caller's, told back in Settled. `nothing` settles when the state is known to be the newest.
  Out propose(Time now, std::uint64_t id, ChangeKind kind, std::string text);
  Out tick(Time now);  // at least each 50 ms
  void linked(const std::string& ip, const std::string& zone);
  void unlinked(const std::string& ip);

  const State& state() const { return state_; }
  bool blank() const { return blank_; }
  // The last moment as of which a majority knew of no change beyond confirmed_position().
  Time confirmed_at() const { return confirmed_at_; }
  std::uint64_t confirmed_position() const { return confirmed_position_; }
  // Changes after a place, or none where a snapshot is needed.
  std::optional<std::vector<Chosen>> after(std::uint64_t place) const;

 private:
  struct Proposal {
    std::uint64_t id = 0;
    ChangeKind kind{};
    std::string text;
    Time since{};
    bool sure = false;  // the state has been confirmed since it came
  };
  enum class Phase { idle, asking, offering, spreading, pausing, confirming };

  void drive(Time now);
  void begin_ballot(Time now);
  void offer(Time now);
  void on_vote_won(Time now);
  void pause(Time now);
  void settle(int status, std::string why);
  void begin_confirm(Time now);
  void end_confirm(Time now);
  void choose(Time now, std::uint64_t slot, const Change& change);
  void recover(Time now);
  void on(Time now, const std::string& from, const Ask& m);
  void on(Time now, const std::string& from, const Promise& m);
  void on(Time now, const std::string& from, const Offer& m);
  void on(Time now, const std::string& from, const Vote& m);
  void on(Time now, const std::string& from, const Chosen& m);
  void on(Time now, const std::string& from, const StatusAsk& m);
  void on(Time now, const std::string& from, const Status& m);
  void on(Time now, const std::string& from, const Fetch& m);
  void on(Time now, const std::string& from, const Log& m);
  Status status(std::uint64_t round) const;
  bool is_voter(const std::string& ip) const;
  std::size_t majority() const { return state_.voters.size() / 2 + 1; }
  void to_voters(const Message& m);
  bool spans_zones(const std::set<std::string>& voters) const;
  Duration chance(Duration least, Duration most);

  Options options_;
  State state_;
  std::map<std::uint64_t, Accepted> accepted_;
  Ballot promised_;
  std::deque<Chosen> log_;  // the last changes, for who is behind a little
  std::uint64_t logged_ = 0, snapshot_at_ = 0;
  bool blank_ = false;
  std::map<std::string, std::string> zones_;  // of linked stores
  std::mt19937_64 rng_;
  Out out_;

  std::deque<Proposal> queue_;
  std::uint64_t numbers_ = 0;
  Phase phase_ = Phase::idle;
  Time phase_since_{}, resume_at_{}, spread_since_{};
  std::uint64_t slot_ = 0, round_ = 0;
  Ballot ballot_;
  Change offered_;
  std::optional<Accepted> highest_;
  std::set<std::string> promises_, votes_, refusals_;

  std::uint64_t status_round_ = 0;
  std::optional<std::uint64_t> target_;  // the place that must be chosen here; none: not known yet
  bool confirming_ = false;
  Time confirm_began_{}, confirmed_at_{}, next_confirm_{}, next_status_{}, fetched_at_{};
  std::uint64_t confirmed_position_ = 0;
  std::map<std::string, Status> statuses_;  // of the present round
};

}  // namespace docklift::agreement
