// A follower of the change log, connected to one or more sources: applies batches and snapshots, requests
// what is missing, and continues from another source when a connection ends. The previous state stays in
// force until a snapshot is complete. Used by registries and proxies. Performs no I/O: frames are passed in
// and out by calls.
#pragma once

#include <functional>
#include <set>
#include <string>

#include "system/fleet/change_log.hpp"
#include "system/fleet/copy_lag.hpp"
#include "system/transfer/retry_pause.hpp"
#include "system/transfer/snapshot_receiver.hpp"

namespace docklift::transfer {

// Keeps a ChangeLog up to date from its sources and detects when it stops making progress.
class ChangeFollower {
 public:
  using Outcome = fleet::ChangeLog::Outcome;
  using Send = std::function<void(const std::string& source, fleet::Outgoing& out)>;
  using Log = std::function<void(const std::string& message)>;  // receives log messages

  ChangeFollower(Send send, Log log) : send_(std::move(send)), log_(std::move(log)) {}

  void on_linked(const std::string& source);
  void on_source_lost(Time now, const std::string& source);
  // Handles a frame with changes or a part of a snapshot and ignores other frames. `applied`: changes() has
  // advanced.
  Outcome on_frame(Time now, const std::string& source, wire::Frame::Reader frame);
  // The source reported a newer position than it has sent changes for.
  void on_newer_position(const std::string& source);

  // The core reported that it is at `position`, before this copy's: drops the copy and fetches the core's
  // state.
  void on_core_regressed(std::uint64_t position);

  // A majority reported that the core is at `position`.
  void on_core_position(Time now, std::uint64_t position);
  // To be called about every 500 ms. Logs a copy that keeps lagging behind the core's reported position, asks
  // all sources again if nothing arrives any more, and the next source once a pause after an unreadable
  // snapshot is over.
  void check_progress(Time now);
  // Since when the copy has been known to lag; none if it is not known to.
  std::optional<Time> lagging_since(Time now) const { return lag_.lagging_since(now); }

  const fleet::ChangeLog& changes() const { return changes_; }

 private:
  Outcome on_batch(const std::string& source, wire::ChangeBatch::Reader batch);
  Outcome on_part(Time now, const std::string& source, wire::SnapshotPart::Reader frame);
  Outcome on_diverged(const std::string& source);
  void discard_copy(const std::string& reason);
  void execute(const SnapshotReceiver::Step& step);
  void log_lag(Time now, Time since);
  void restart_fetch(Time now);
  void pause_after_unreadable(Time now, const std::string& source);
  void end_pause();
  std::string source_after(const std::string& source) const;
  std::string describe_wait() const;
  void follow(const std::string& source);
  void follow_all();
  bool catching_up() const { return (receiver_.fetching() && !receiver_.paused()) || !pull_source_.empty(); }

  Send send_;
  Log log_;
  fleet::ChangeLog changes_;
  SnapshotReceiver receiver_;
  std::set<std::string> sources_;  // connected
  fleet::CopyLag lag_;
  bool lag_logged_ = false;
  // At the last check_progress(): the copy's position, and the bytes received of a snapshot.
  std::uint64_t last_position_ = 0, last_received_ = 0;
  Time progress_at_{};
  std::string pull_source_;  // the source asked for more batches; empty: none
  RetryPause retry_pause_;
  std::string unreadable_source_;  // of the last snapshot that could not be read
};

}  // namespace docklift::transfer
