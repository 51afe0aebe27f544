// The life of one docklift process, as a machine without I/O: what happens goes in with the time, what is to be done
// comes out. It knows no socket, file or process; daemon.cpp carries out its actions.
//
//   starting -> ready <-> handing_over -> draining -> finishing -> stopped
//                  \__________________________/
//
// Rules it keeps, each a property in tests/lifecycle_test.cpp:
// - a reload is read, prepared and then applied whole, or reverted and refused with a reason: for each Prepare one
//   Apply or Revert of the same generation;
// - reloads that come while one runs are one more reload after it, so the newest file wins; one that comes before
//   ready, or during an upgrade, is kept (a successor is told of it);
// - a stop beats a reload and an upgrade, a second stop shortens the drain, never lengthens it;
// - listeners are let go only after the successor has said that it serves; until then every way in which it can fail
//   leaves this process serving;
// - from a stop to Exit never more than drain limit and finish limit pass, and Exit is the last action.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace docklift {

using Instant = std::chrono::nanoseconds;  // on a clock that never goes backwards
using Span = std::chrono::nanoseconds;

enum class LifePhase { starting, ready, handing_over, draining, finishing, stopped };

// Exit codes, those of sysexits.h where they fit.
enum class ExitCode : int {
  ok = 0,            // all that was accepted had its answer
  usage = 64,        // EX_USAGE: the command line
  unavailable = 69,  // EX_UNAVAILABLE: a successor that didn't get ready, or got no listeners
  software = 70,     // EX_SOFTWARE
  os = 71,           // EX_OSERR: a listener, signals, descriptors
  cant_create = 73,  // EX_CANTCREAT: the pid file
  temporary = 75,    // EX_TEMPFAIL: another instance holds the pid file
  cut_short = 76,    // EX_PROTOCOL: the drain limit passed, and what was open was refused or failed
  config = 78,       // EX_CONFIG: the file
};

struct LifeLimits {
  Span prepare{};      // for everything that a reload prepares
  Span drain{};        // from a stop until what is open is answered for
  Span hurry{};        // the same, from a second stop on
  Span finish{};       // for those answers to go out
  Span upgrade{};      // for a successor to get ready, and again to say that it serves
  Span read_pause{};   // before a file that can't be read is read again
  int read_tries = 1;  // of a file, in one reload
};

namespace life {

// ---- Events ---------------------------------------------------------------------------------------------
struct Begin {};                              // once, first
struct ListenersUp {};                        // own ones bound, or the predecessor's taken over
struct ListenersFailed { ExitCode code{}; };  // the driver has told why
struct NodeReady {};                          // knows servers, has met the store
struct HangUp {};
struct Stop {};
struct Upgrade {};
struct FileRead {
  std::uint64_t generation = 0;
  std::string refused;  // why; empty: good
};
struct Prepared {
  std::uint64_t generation = 0;
  std::string refused;
};
struct PeerReady {};    // the successor could serve
struct PeerServing {};  // it does
struct PeerFailed { std::string why; };
struct Yours { bool reload = false; };  // the predecessor gives way
struct PredecessorGone {};              // it ended without a word
struct Drained {};                      // nothing is open any more
struct TimeDue {};

// ---- Actions --------------------------------------------------------------------------------------------
struct OpenListeners {};   // bind or take over, without accepting
struct Accept {};          // on all listeners
struct PauseAccepting {};  // keep them open
struct LeaveListeners {};  // they are the successor's now
struct ReadFile { std::uint64_t generation = 0; };
struct Prepare { std::uint64_t generation = 0; };
struct Apply { std::uint64_t generation = 0; };
struct Revert { std::uint64_t generation = 0; };
struct Spawn {};        // a successor
struct KillPeer {};     // and reap it
struct HandOver { bool reload = false; };  // tell the successor: yours
struct ForwardReload {};    // a hang-up that came here is meant for the successor
struct TellReady {};    // to the predecessor
struct TellServing {};  //
struct WritePid {};
struct StartDrain { bool take_new = false; };  // new connections are still answered for a while
struct AnswerRemaining {};                     // refuse or fail what is open, each once
struct Notify { std::string state; };          // lines of sd_notify
struct Log { std::string text; };
struct Exit { ExitCode code{}; };

using Event = std::variant<Begin, ListenersUp, ListenersFailed, NodeReady, HangUp, Stop, Upgrade, FileRead, Prepared,
                           PeerReady, PeerServing, PeerFailed, Yours, PredecessorGone, Drained, TimeDue>;
using Action = std::variant<OpenListeners, Accept, PauseAccepting, LeaveListeners, ReadFile, Prepare, Apply, Revert,
                            Spawn, KillPeer, HandOver, ForwardReload, TellReady, TellServing, WritePid, StartDrain, AnswerRemaining,
                            Notify, Log, Exit>;

}  // namespace life

// Events that don't fit the state (late answers, a generation that is over) are passed over. After Exit nothing
// comes out any more.
class Lifecycle {
 public:
  // A successor starts on its predecessor's listeners and accepts only when it is told to.
  Lifecycle(LifeLimits limits, bool successor) : limits_(limits), successor_(successor) {}

  std::vector<life::Action> handle(Instant now, const life::Event& event);
  // When the next TimeDue is wanted, if any. Giving one early or late does no harm but delay.
  std::optional<Instant> due() const { return due_; }
  // From an applied file on.
  void set_limits(const LifeLimits& limits) { limits_ = limits; }

  LifePhase phase() const { return phase_; }
  bool reloading() const { return reload_ != Reload::none; }
  std::uint64_t generation() const { return generation_; }

 private:
  enum class Reload { none, reading, pausing, preparing };
  enum class Peer { none, starting, yielded };  // yielded: it was told `yours`, and hasn't said that it serves

  void on(const life::Begin&);
  void on(const life::ListenersUp&);
  void on(const life::ListenersFailed& e);
  void on(const life::NodeReady&);
  void on(const life::HangUp&);
  void on(const life::Stop&);
  void on(const life::Upgrade&);
  void on(const life::FileRead& e);
  void on(const life::Prepared& e);
  void on(const life::PeerReady&);
  void on(const life::PeerServing&);
  void on(const life::PeerFailed& e);
  void on(const life::Yours& e);
  void on(const life::PredecessorGone&);
  void on(const life::Drained&);
  void on(const life::TimeDue&);

  template <class A>
  void out(A action) {
    actions_.emplace_back(std::move(action));
  }
  void log(std::string text) { out(life::Log{std::move(text)}); }
  void became_ready();
  void begin_reload();
  void refuse_reload(const std::string& why);
  void end_reload();
  void next_wish();
  void drop_reload();
  void end_upgrade(const std::string& why);
  void serve_as_successor(bool reload);
  void drain(bool handed_over);
  void exit(ExitCode code);

  LifeLimits limits_;
  bool successor_;
  bool accepts_ = false, listeners_up_ = false, node_ready_ = false;
  LifePhase phase_ = LifePhase::starting;
  Reload reload_ = Reload::none;
  Peer peer_ = Peer::none;
  bool reload_wanted_ = false, upgrade_wanted_ = false, told_ready_ = false, cut_short_ = false, handed_over_ = false;
  std::uint64_t generation_ = 0;
  int tries_ = 0;
  Instant now_{};
  std::optional<Instant> due_;
  std::vector<life::Action> actions_;
};

}  // namespace docklift
