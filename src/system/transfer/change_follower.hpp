// A follower of the log of changes with links to one or more sources: takes batches and snapshots, asks for
// what is missing, and goes on at another source where a link ends. Until a snapshot is whole, what was held
// before stays in force. The same at registries and proxies. Pure: frames go in and out by calls.
#pragma once

#include <functional>
#include <set>
#include <string>

#include "system/fleet/change_log.hpp"
#include "system/fleet/copy_lag.hpp"
#include "system/transfer/snapshot_receiver.hpp"

namespace docklift::transfer {

class ChangeFollower {
 public:
  using Outcome = fleet::ChangeLog::Outcome;
  using Send = std::function<void(const std::string& source, fleet::Outgoing& out)>;
  using Note = std::function<void(const std::string& note)>;  // for the log

  ChangeFollower(Send send, Note note) : send_(std::move(send)), note_(std::move(note)) {}

  void on_linked(const std::string& source);
  void on_source_lost(Time now, const std::string& source);
  // A frame of changes or of a snapshot; other frames are passed over. `taken`: changes() has moved.
  Outcome on_frame(Time now, const std::string& source, wire::Frame::Reader frame);
  // The source has told of changes that have not come from it.
  void on_newer_position(const std::string& source);

  // The core has told that it stands at `position`, before what is here: this copy is given up for the core's.
  void on_core_regressed(std::uint64_t position);

  // A majority has told that the core stands at `position`.
  void on_core_position(Time now, std::uint64_t position);
  // To be called about each half second: a copy that stays behind what the core has told is noted, and where nothing
  // comes any more all sources are asked anew.
  void check_progress(Time now);
  // Since when the copy has been known to lack something; none: it is not known to.
  std::optional<Time> lagging_since(Time now) const { return lag_.lagging_since(now); }

  const fleet::ChangeLog& changes() const { return changes_; }

 private:
  Outcome on_batch(const std::string& source, wire::ChangeBatch::Reader batch);
  Outcome on_part(Time now, const std::string& source, wire::SnapshotPart::Reader frame);
  Outcome on_other_history(const std::string& source);
  void give_up(const std::string& why);
  void carry_out(const SnapshotReceiver::Step& step);
  void note_lag(Time now, Time since);
  void ask_anew(Time now);
  std::string waits_for() const;
  void follow(const std::string& source);
  void follow_all();
  bool catching_up() const { return (receiver_.fetching() && !receiver_.paused()) || !pulled_.empty(); }

  Send send_;
  Note note_;
  fleet::ChangeLog changes_;
  SnapshotReceiver receiver_;
  std::set<std::string> sources_;  // that are linked
  fleet::CopyLag lag_;
  bool lag_noted_ = false;
  std::uint64_t seen_position_ = 0, seen_bytes_ = 0;  // at the last watch, of the copy and of a snapshot
  Time progress_at_{};
  std::string pulled_;  // the source that was asked for more batches; empty: none
};

}  // namespace docklift::transfer
