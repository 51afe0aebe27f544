// Who is in the fleet, without I/O: SWIM (Das, Gupta, Motivala 2002) with suspicion, refutation by incarnation and a random order of probes
// that covers all, and Lifeguard (Dadgar, Phillips, Currey 2017): who is slow itself waits longer before it doubts others. Messages
// and the time go in; messages, changes and words for the log come out. The same seed and the same input give the same output.
//
// A life is one start of a node: its name, a number of its start that grows from start to start, and a random number. `refutes` is
// SWIM's incarnation within a life. Times are nanoseconds on the node's own steady clock, which no other node's is compared with.
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

struct Incarnation {
  std::string name{};
  std::uint64_t start = 0;  // grows with each start of the name
  std::uint64_t number = 0; // random
  std::string address{};      // where it hears
  std::string zone{};
  bool same(const Incarnation& other) const { return name == other.name && number == other.number; }
};

enum class State : std::uint8_t { alive, suspect, dead, left };
const char* name_of(State state);

struct MemberUpdate {
  Incarnation who{};
  std::uint32_t refutes = 0;
  State state = State::alive;
};

struct Message {
  enum class Kind : std::uint8_t { ping, ack, ping_for, nack, join, table };
  Kind kind = Kind::ping;
  std::uint32_t number = 0;      // of the probe
  MemberUpdate from{};                   // the sender, as it sees itself
  std::string to{};                // name of who is meant; empty: whoever hears there
  std::string target{}, address{};   // of ping_for: who is to be probed
  std::vector<MemberUpdate> updates{};
};

struct Limits {
  Instant interval{std::chrono::milliseconds(500)};  // between two probes
  Instant timeout{std::chrono::milliseconds(150)};   // for an ack, before others are asked to probe
  std::size_t helpers = 3;                           // asked to probe for one
  double suspicion = 4;      // least time under suspicion: so many intervals for each power of ten of the fleet's size
  double suspicion_most = 6; // the longest is so many times the least; each other node that suspects too shortens it
  double repeats = 4;        // a rumour is sent so often for each power of ten of the fleet's size
  std::size_t most_rumours = 8;                     // in one message
  unsigned most_slowness = 8;                       // of one's own: probes and time-outs are stretched by 1 + this
  Instant rejoin{std::chrono::seconds(3)};          // one that is held for dead, or a seed, is pinged so often
  Instant keep_dead{std::chrono::hours(24)};
  std::size_t most_members = 4096;                  // more are passed over
};

struct Change {
  std::string name{};
  State state = State::alive;
  bool new_life = false;
};

struct Actions {
  struct Send {
    std::string address{};
    Message message{};
  };
  std::vector<Send> sends{};
  std::vector<Change> changes{};
  std::vector<std::string> log{};
};

class Members {
 public:
  struct Member {
    Incarnation incarnation{};
    std::uint32_t refutes = 0;
    State state = State::alive;
    Instant since{};                  // of the state
    std::uint64_t conflicting_incarnation = 0;     // a second life under this name that speaks too; 0: none
    // Under suspicion
    Instant deadline{};
    std::set<std::string> doubted_by{};
  };

  // `self.start`: by the clock, in ms; it is raised where a peer knows of one as high.
  Members(Incarnation self, Limits limits, std::uint64_t seed);

  // Before begin(): a start that this name has used.
  void raise_start_above(std::uint64_t start) { self_.start = start >= self_.start ? start + 1 : self_.start; }
  Actions begin(Instant now, std::vector<std::string> seeds);
  // When tick() is wanted next; it may be called at any time.
  Instant due() const;
  Actions tick(Instant now);
  Actions received(Instant now, const Message& message);
  // A planned stop: the others are told, as many as `interval` lets.
  Actions leave();
  void set_seeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }

  const Incarnation& self() const { return self_; }
  std::uint32_t refutes() const { return refutes_; }
  const std::map<std::string, Member>& all() const { return members_; }  // without oneself
  const Member* find(const std::string& name) const;
  std::vector<const Member*> with(State state) const;
  std::size_t alive() const { return alive_; }  // of the others
  bool joined() const { return joined_; }       // some peer has answered
  unsigned slowness() const { return slowness_; }
  bool duplicate() const { return duplicate_ != 0; }
  MemberUpdate me() const { return {self_, refutes_, leaving_ ? State::left : State::alive}; }

 private:
  struct Probe {
    std::string name{};
    std::uint32_t number = 0;
    Instant asked_at{}, ends{};
    bool helped = false, acked = false;
    std::size_t asked = 0, nacks = 0;
  };
  struct Favour {  // a probe on behalf of another
    std::string for_address{};
    std::uint32_t their_number = 0;
    Instant nack_at{};
    bool nacked = false;
  };

  Message message(Message::Kind kind, std::uint32_t number = 0) const;
  void send(Actions& out, const std::string& address, Message m);
  void fill(Message& m);
  void spread(const std::string& name);
  void apply(Instant now, const MemberUpdate& r, const std::string& told_by, Actions& out);
  void about_me(const MemberUpdate& r, bool direct, Actions& out);
  void set_state(Instant now, Member& m, State state, Actions& out);
  void suspect(Instant now, Member& m, const std::string& by, Actions& out);
  Instant suspicion_of(std::size_t doubters) const;
  Instant stretched(Instant t) const { return t * (1 + slowness_); }
  void slower(int by);
  std::optional<std::string> next_to_probe();
  void start_probe(Instant now, Actions& out);
  void end_probe(Instant now, Actions& out);
  void look_for_the_lost(Instant now, Actions& out);
  unsigned repeats() const;
  std::string address_of(const std::string& name) const;

  Incarnation self_{};
  Limits limits_;
  Random random_;
  std::uint32_t refutes_ = 0, number_ = 0;
  bool leaving_ = false, joined_ = false, begun_ = false;
  unsigned slowness_ = 0;
  std::vector<std::string> seeds_{};
  std::map<std::string, Member> members_{};
  std::size_t alive_ = 0;  // alive or suspect
  std::vector<std::string> order_{};
  std::size_t at_ = 0;
  std::optional<Probe> probe_{};
  std::map<std::uint32_t, Favour> favours_{};
  std::map<std::string, unsigned> pending_updates_{};  // about whom, and how often it was sent
  Instant next_probe_{}, next_rejoin_{}, last_tick_{};
  std::map<std::uint64_t, unsigned> raised_against_{};  // other lives under my name, and how often I went above one
  std::uint64_t duplicate_ = 0;
};

}  // namespace docklift::members
