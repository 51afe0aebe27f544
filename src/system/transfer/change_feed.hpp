// Selects what to send next to a follower of the change log: a batch of entries, or the first part of a
// snapshot. The follower requests everything after that. Used by stores and registries. Performs no I/O.
#pragma once

#include "system/fleet/frames.hpp"
#include "system/transfer/snapshot_sender.hpp"

namespace docklift::transfer {

inline constexpr std::size_t kBatchBytes = 64u << 10;  // of entries per frame; a single entry may be larger

// Feeds the followers of one source; the caller keeps a Follower for each.
class ChangeFeed {
 public:
  // Send state of one follower.
  struct Follower {
    bool following = false;
    bool awaiting_request = false;  // a part of what it lacks was sent; the rest is sent on its request
    std::uint64_t position = 0;     // everything up to this was sent
  };

  void on_follow(Follower& follower, std::uint64_t position) const;
  // Fills a frame with what to send to the follower now. Returns false if there is nothing to send.
  bool next(Time now, Follower& follower, const fleet::ChangeSource& source, fleet::Outgoing& out);
  // Fills a frame with the first part of a snapshot, for a peer at `position` that lags too far behind for
  // entries.
  void offer(Time now, std::uint64_t position, const fleet::ChangeSource& source, fleet::Outgoing& out);
  // Fills a frame with the requested part of a snapshot.
  void answer(Time now, wire::SnapshotPartRequest::Reader request, const fleet::ChangeSource& source,
              fleet::Outgoing& out);
  void expire(Time now) { snapshots_.expire(now); }

 private:
  SnapshotSender snapshots_;
};

}  // namespace docklift::transfer
