// Cluster membership by gossip, without I/O: SWIM (Das, Gupta, Motivala 2002) with suspicion, refutation and
// a shuffled round-robin probe order, and Lifeguard (Dadgar, Phillips, Currey 2017): a node that is slow
// itself waits longer before it suspects others. Messages and the time are the input; messages to send,
// membership changes and log lines are the output. The same seed and the same input give the same output.
//
// An incarnation is one start of a node: its name, a start number that grows from one start to the next, and
// a random number. `refutations` is what SWIM calls the incarnation number; it counts within one start. Times
// are nanoseconds of the node's own steady clock and are never compared with those of another node.
#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "members/planted.hpp"
#include "members/random.hpp"

namespace docklift::members {

using Instant = std::chrono::nanoseconds;

// One start of a node.
struct Incarnation {
  std::string name{};
  std::uint64_t start = 0;   // grows with each start of the name
  std::uint64_t number = 0;  // random
  std::string address{};     // where it receives datagrams
  std::string zone{};
  bool same(const Incarnation& other) const { return name == other.name && number == other.number; }
};

enum class State : std::uint8_t { alive, suspect, dead, left };
const char* name_of(State state);

// What a node knows of one member, as gossip carries it.
struct MemberUpdate {
  Incarnation who{};
  std::uint32_t refutations = 0;
  State state = State::alive;
};

struct Message {
  // `table` answers `join` with the members that the sender knows.
  enum class Kind : std::uint8_t { ping, ack, ping_req, nack, join, table };
  Kind kind = Kind::ping;
  std::uint32_t number = 0;         // of the probe
  MemberUpdate from{};              // the sender's own state
  std::string to{};                 // name of the recipient; empty: any node at that address
  std::string target{}, address{};  // ping_req: the member to be probed
  std::vector<MemberUpdate> updates{};
};

struct Limits {
  Instant interval{std::chrono::milliseconds(500)};  // between two probes
  Instant timeout{std::chrono::milliseconds(150)};   // for an ack, before indirect probes are requested
  std::size_t helpers = 3;                           // members asked for an indirect probe
  // Minimum suspicion timeout, in intervals per power of ten of the cluster's size.
  double suspicion_factor = 4;
  // Maximum suspicion timeout as a multiple of the minimum; each further suspecter shortens it.
  double suspicion_max_multiple = 6;
  double retransmit_factor = 4;  // transmissions of an update per power of ten of the cluster's size
  std::size_t max_updates = 8;   // in one message
  unsigned max_slowness = 8;     // probe intervals and timeouts are multiplied by up to 1 + this
  Instant rejoin_interval{std::chrono::seconds(3)};  // between joins sent to dead members and unknown seeds
  Instant dead_retention{std::chrono::hours(24)};
  std::size_t max_members = 4096;  // further ones are ignored
};

// A change of a member's state.
struct Change {
  std::string name{};
  State state = State::alive;
  bool new_incarnation = false;
};

// What the caller has to do after an input.
struct Actions {
  struct Send {
    std::string address{};
    Message message{};
  };
  std::vector<Send> sends{};
  std::vector<Change> changes{};
  std::vector<std::string> log{};
};

// The members of the cluster, as this node sees them.
class Members {
 public:
  struct Member {
    Incarnation incarnation{};
    std::uint32_t refutations = 0;
    State state = State::alive;
    Instant since{};  // when it entered this state
    std::uint64_t
        conflicting_incarnation = 0;  // number of a second process that sends under this name; 0: none
    // While suspect
    Instant deadline{};
    std::set<std::string> suspected_by{};
  };

  // `self.start` is the wall clock in ms; it is raised when a peer reports an equal or higher start of this
  // name.
  Members(Incarnation self, Limits limits, std::uint64_t seed);

  // Call before begin(): makes this start higher than `start`, which the name has used before.
  void raise_start_above(std::uint64_t start) {
    self_.start = start >= self_.start ? start + 1 : self_.start;
  }
  Actions begin(Instant now, std::vector<std::string> seeds);
  // When tick() is due next; it may be called at any time.
  Instant due() const;
  Actions tick(Instant now);
  Actions received(Instant now, const Message& message);
  // Planned shutdown: announces the departure to a bounded number of members.
  Actions leave();
  void set_seeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }

  const Incarnation& self() const { return self_; }
  std::uint32_t refutations() const { return refutations_; }
  const std::map<std::string, Member>& all() const { return members_; }  // without this node
  const Member* find(const std::string& name) const;
  std::vector<const Member*> with(State state) const;
  std::size_t alive() const { return alive_; }  // alive or suspect, without this node
  bool joined() const { return joined_; }       // some peer has answered
  // Lifeguard's local health score: 0 is healthy; probe intervals and timeouts are multiplied by 1 + this.
  unsigned slowness() const { return slowness_; }
  // Whether another process is running under this node's name.
  bool duplicate() const { return duplicate_ != 0; }
  MemberUpdate self_update() const { return {self_, refutations_, leaving_ ? State::left : State::alive}; }

 private:
  struct Probe {
    std::string name{};
    std::uint32_t number = 0;
    Instant sent_at{}, ends_at{};
    bool indirect = false, acked = false;  // indirect: helpers have been asked
    std::size_t helpers_asked = 0, nacks = 0;
  };
  // A probe on behalf of another member (ping_req).
  struct RelayedProbe {
    std::string requester_address{};
    std::uint32_t requester_number = 0;
    Instant nack_at{};
    bool nack_sent = false;
  };

  Message message(Message::Kind kind, std::uint32_t number = 0) const;
  void send(Actions& out, const std::string& address, Message m);
  void piggyback_updates(Message& m);
  void queue_update(const std::string& name);
  void apply(Instant now, const MemberUpdate& r, const std::string& reporter, Actions& out);
  void handle_self_update(const MemberUpdate& r, bool direct, Actions& out);
  void set_state(Instant now, Member& m, State state, Actions& out);
  void suspect(Instant now, Member& m, const std::string& by, Actions& out);
  Instant suspicion_timeout(std::size_t suspecters) const;
  Instant scaled(Instant t) const { return t * (1 + slowness_); }
  void adjust_slowness(int by);
  std::optional<std::string> next_probe_target();
  void start_probe(Instant now, Actions& out);
  void end_probe(Instant now, Actions& out);
  void rejoin_lost_members(Instant now, Actions& out);
  unsigned retransmit_limit() const;
  std::string address_of(const std::string& name) const;

  Incarnation self_{};
  Limits limits_;
  Random random_;
  std::uint32_t refutations_ = 0, number_ = 0;
  bool leaving_ = false, joined_ = false, started_ = false;
  unsigned slowness_ = 0;
  std::vector<std::string> seeds_{};
  std::map<std::string, Member> members_{};
  std::size_t alive_ = 0;  // alive or suspect
  std::vector<std::string> probe_order_{};
  std::size_t probe_index_ = 0;
  std::optional<Probe> probe_{};
  std::map<std::uint32_t, RelayedProbe> relayed_probes_{};
  std::map<std::string, unsigned> pending_updates_{};  // transmissions so far, by member name
  Instant next_probe_{}, next_rejoin_{}, last_tick_{};
  // How often this start was raised, by the number of the other incarnation.
  std::map<std::uint64_t, unsigned> start_raises_{};
  std::uint64_t duplicate_ = 0;
};

}  // namespace docklift::members
