#include "daemon/lifecycle.hpp"

#include <algorithm>
#include <utility>

namespace docklift {

using namespace life;

std::vector<Action> Lifecycle::handle(Instant now, const Event& event) {
  now_ = now;
  actions_.clear();
  if (phase_ != LifePhase::stopped) std::visit([this](const auto& e) { on(e); }, event);
  return std::exchange(actions_, {});
}

// ---- Starting -------------------------------------------------------------------------------------------

void Lifecycle::on(const Begin&) {
  if (successor_) due_ = now_ + limits_.upgrade;
  out(OpenListeners{});
}

void Lifecycle::on(const ListenersUp&) {
  if (phase_ != LifePhase::starting || listeners_up_) return;
  listeners_up_ = true;
  if (!successor_) {
    // As ever, clients are answered from the start on, and /-/ready tells when all is well.
    accepts_ = true;
    out(Accept{});
    out(WritePid{});
  }
  if (node_ready_) became_ready();
}

void Lifecycle::on(const ListenersFailed& e) {
  if (phase_ == LifePhase::starting) exit(e.code);
}

void Lifecycle::on(const NodeReady&) {
  if (std::exchange(node_ready_, true) || phase_ != LifePhase::starting || !listeners_up_) return;
  became_ready();
}

void Lifecycle::became_ready() {
  if (!accepts_) {  // a successor waits to be told
    if (!std::exchange(told_ready_, true)) out(TellReady{});
    return;
  }
  phase_ = LifePhase::ready;
  due_.reset();
  out(Notify{"READY=1\nSTATUS=serving\n"});
  next_wish();
}

void Lifecycle::on(const Yours& e) {
  if (phase_ == LifePhase::starting && successor_ && !accepts_ && told_ready_) serve_as_successor(e.reload);
}

void Lifecycle::on(const PredecessorGone&) {
  if (phase_ != LifePhase::starting || !successor_ || accepts_) return;
  if (!listeners_up_) {
    log("the predecessor ended before it gave its listeners");
    return exit(ExitCode::unavailable);
  }
  // Nobody else accepts on them now: those who wait in the queue are taken, ready or not.
  log("the predecessor ended; serving in its place");
  serve_as_successor(false);
}

void Lifecycle::serve_as_successor(bool reload) {
  accepts_ = true;
  due_.reset();
  reload_wanted_ = reload_wanted_ || reload;
  out(Accept{});
  out(TellServing{});
  out(WritePid{});
  if (node_ready_) became_ready();
}

// ---- Reload ---------------------------------------------------------------------------------------------

void Lifecycle::on(const HangUp&) {
  if (phase_ >= LifePhase::draining) {
    if (handed_over_) out(ForwardReload{});
    return;
  }
  if (phase_ != LifePhase::ready || reloading()) {
    reload_wanted_ = true;
    return;
  }
  begin_reload();
}

void Lifecycle::begin_reload() {
  reload_ = Reload::reading;
  tries_ = limits_.read_tries;
  due_.reset();
  out(Notify{"RELOADING=1\n"});
  out(ReadFile{++generation_});
}

void Lifecycle::on(const FileRead& e) {
  if (reload_ != Reload::reading || e.generation != generation_) return;
  if (e.refused.empty()) {
    reload_ = Reload::preparing;
    due_ = now_ + limits_.prepare;
    out(Prepare{generation_});
    return;
  }
  // The file may be half written. A new signal says that there is something newer: then no waiting.
  if (--tries_ > 0 && !reload_wanted_) {
    reload_ = Reload::pausing;
    due_ = now_ + limits_.read_pause;
    return;
  }
  refuse_reload(e.refused);
}

void Lifecycle::on(const Prepared& e) {
  if (reload_ != Reload::preparing || e.generation != generation_) return;
  if (!e.refused.empty()) {
    out(Revert{generation_});
    return refuse_reload(e.refused);
  }
  out(Apply{generation_});
  log("configuration read anew");
  end_reload();
}

void Lifecycle::refuse_reload(const std::string& why) {
  log("the new configuration is passed over: " + why);
  end_reload();
}

void Lifecycle::end_reload() {
  reload_ = Reload::none;
  due_.reset();
  out(Notify{"READY=1\nSTATUS=serving\n"});
  next_wish();
}

// What was asked for while something else ran. Reloads go first: a successor reads its file itself.
void Lifecycle::next_wish() {
  if (phase_ != LifePhase::ready || reloading()) return;
  if (std::exchange(reload_wanted_, false)) return begin_reload();
  if (std::exchange(upgrade_wanted_, false)) on(Upgrade{});
}

void Lifecycle::drop_reload() {
  if (reload_ == Reload::preparing) out(Revert{generation_});
  if (reloading()) log("a reload is dropped: the process stops");
  reload_ = Reload::none;
  reload_wanted_ = upgrade_wanted_ = false;
}

// ---- Upgrade --------------------------------------------------------------------------------------------

void Lifecycle::on(const Upgrade&) {
  if (phase_ == LifePhase::starting) return log("an upgrade is passed over: not ready yet");
  if (phase_ == LifePhase::handing_over) return log("an upgrade is passed over: one is running");
  if (phase_ != LifePhase::ready) return;
  if (reloading()) {
    upgrade_wanted_ = true;
    return;
  }
  phase_ = LifePhase::handing_over;
  peer_ = Peer::starting;
  due_ = now_ + limits_.upgrade;
  log("a successor is started");
  out(Spawn{});
}

void Lifecycle::on(const PeerReady&) {
  if (peer_ != Peer::starting) return;
  peer_ = Peer::yielded;
  due_ = now_ + limits_.upgrade;
  out(PauseAccepting{});
  out(HandOver{std::exchange(reload_wanted_, false)});
}

void Lifecycle::on(const PeerServing&) {
  if (peer_ != Peer::yielded) return;
  peer_ = Peer::none;
  log("the successor serves");
  out(LeaveListeners{});
  if (std::exchange(reload_wanted_, false)) out(ForwardReload{});
  drain(true);
}

void Lifecycle::on(const PeerFailed& e) {
  if (peer_ != Peer::none) end_upgrade(e.why);
}

void Lifecycle::end_upgrade(const std::string& why) {
  const bool yielded = std::exchange(peer_, Peer::none) == Peer::yielded;
  log("the upgrade failed, serving goes on: " + why);
  out(KillPeer{});
  if (yielded) out(Accept{});
  phase_ = LifePhase::ready;
  due_.reset();
  // It may have written the file's lock or the supervisor's main process: say again who serves.
  if (yielded) out(WritePid{});
  out(Notify{"READY=1\nSTATUS=serving\n"});
  next_wish();
}

// ---- Stop -----------------------------------------------------------------------------------------------

void Lifecycle::on(const Stop&) {
  switch (phase_) {
    case LifePhase::starting:
      if (successor_ && !accepts_) {  // nothing is its own yet
        log("told to stop before it served");
        return exit(ExitCode::ok);
      }
      [[fallthrough]];
    case LifePhase::ready:
    case LifePhase::handing_over: return drain(false);
    case LifePhase::draining: due_ = std::min(due_.value_or(now_ + limits_.hurry), now_ + limits_.hurry); return;
    default: return;
  }
}

void Lifecycle::drain(bool handed_over) {
  drop_reload();
  if (std::exchange(peer_, Peer::none) != Peer::none) {
    log("the successor is dropped: the process stops");
    out(KillPeer{});
    out(Accept{});
  }
  phase_ = LifePhase::draining;
  handed_over_ = handed_over;
  due_ = now_ + limits_.drain;
  // After a handover the service goes on: only a stop is told to the supervisor as one.
  if (!handed_over) out(Notify{"STOPPING=1\nSTATUS=draining\n"});
  out(StartDrain{!handed_over});
}

void Lifecycle::on(const Drained&) {
  if (phase_ == LifePhase::draining || phase_ == LifePhase::finishing)
    exit(cut_short_ ? ExitCode::cut_short : ExitCode::ok);
}

void Lifecycle::exit(ExitCode code) {
  phase_ = LifePhase::stopped;
  due_.reset();
  out(Exit{code});
}

// ---- Time -----------------------------------------------------------------------------------------------

void Lifecycle::on(const TimeDue&) {
  if (!due_ || now_ < *due_) return;
  due_.reset();
  if (phase_ == LifePhase::draining) {
    phase_ = LifePhase::finishing;
    cut_short_ = true;
    due_ = now_ + limits_.finish;
    log("the drain limit has passed: what is open is answered now");
    return out(AnswerRemaining{});
  }
  if (phase_ == LifePhase::finishing) return exit(ExitCode::cut_short);
  if (phase_ == LifePhase::starting && successor_) {
    log("not ready within the limit for an upgrade");
    return exit(ExitCode::unavailable);
  }
  if (peer_ != Peer::none) return end_upgrade("the successor did not get ready in time");
  if (reload_ == Reload::pausing) {
    reload_ = Reload::reading;
    return out(ReadFile{++generation_});
  }
  if (reload_ == Reload::preparing) {
    out(Revert{generation_});
    return refuse_reload("it was not prepared within the limit");
  }
}

}  // namespace docklift
