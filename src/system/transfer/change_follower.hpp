// A follower of the log of changes with links to one or more sources: takes batches and snapshots, asks for
// what is missing, and goes on at another source where a link ends. Until a snapshot is whole, what was held
// before stays in force. The same at registries and proxies. Pure: frames go in and out by calls.
#pragma once

#include <functional>
#include <set>
#include <string>

#include "system/fleet/change_log.hpp"
#include "system/transfer/snapshot_receiver.hpp"

namespace docklift::transfer {

class ChangeFollower {
 public:
  using News = fleet::ChangeLog::News;
  using Send = std::function<void(const std::string& source, fleet::Outgoing& out)>;
  using Note = std::function<void(const std::string& note)>;  // for the log

  ChangeFollower(Send send, Note note) : send_(std::move(send)), note_(std::move(note)) {}

  void on_linked(const std::string& source);
  void on_lost(Time now, const std::string& source);
  // A frame of changes or of a snapshot; other frames are passed over. `taken`: changes() has moved.
  News on_frame(Time now, const std::string& source, wire::Frame::Reader frame);
  // The source has told of changes that have not come from it.
  void on_newer(const std::string& source);

  // The core has told that it stands at `position`, before what is here: this copy is given up for the core's.
  void on_core_behind(std::uint64_t position);

  const fleet::ChangeLog& changes() const { return changes_; }
  // What is under way, as a sentence for the log.
  std::string waits_for() const;

 private:
  News on_batch(const std::string& source, wire::ChangeBatch::Reader batch);
  News on_part(Time now, const std::string& source, wire::SnapshotPart::Reader frame);
  News on_other_history(const std::string& source);
  void give_up(const std::string& why);
  void carry_out(const SnapshotReceiver::Step& step);
  void follow(const std::string& source);
  void follow_all();
  bool catching_up() const { return (receiver_.fetching() && !receiver_.paused()) || !pulled_.empty(); }

  Send send_;
  Note note_;
  fleet::ChangeLog changes_;
  SnapshotReceiver receiver_;
  std::set<std::string> sources_;  // that are linked
  std::string pulled_;             // the source that was asked for more batches; empty: none
};

}  // namespace docklift::transfer
