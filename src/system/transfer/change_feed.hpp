// What a follower of the log of changes is to be sent next: a batch of entries, or the first part of a
// snapshot. The follower asks for all that comes after. Pure; the same at stores and registries.
#pragma once

#include "system/fleet/frames.hpp"
#include "system/transfer/snapshot_sender.hpp"

namespace docklift::transfer {

inline constexpr std::size_t kBatchBytes = 64u << 10;  // of entries in one frame; one entry may be larger

class ChangeFeed {
 public:
  struct Follower {
    bool follows = false;
    bool asks = false;           // the next word is the follower's: it has been sent a part of what it lacks
    std::uint64_t position = 0;  // up to which it has been sent everything
  };

  void on_follow(Follower& follower, std::uint64_t position) const;
  // Fills a frame with what the follower is to have now. False: nothing.
  bool next(Time now, Follower& follower, const fleet::ChangeSource& source, fleet::Outgoing& out);
  // The first part of a snapshot for who holds less than can be sent as entries.
  void offer(Time now, std::uint64_t place, const fleet::ChangeSource& source, fleet::Outgoing& out);
  void answer(Time now, wire::SnapshotPartRequest::Reader request, const fleet::ChangeSource& source,
              fleet::Outgoing& out);
  void expire(Time now) { snapshots_.expire(now); }

 private:
  SnapshotSender snapshots_;
};

}  // namespace docklift::transfer
