// Sending side of snapshot transfers: keeps at most two encoded snapshots, shared by all receivers, and
// serves parts of them on request. Performs no I/O.
#pragma once

#include <memory>
#include <vector>

#include "system/base/time.hpp"
#include "system/fleet/change_log.hpp"
#include "system/transfer/snapshot.hpp"

namespace docklift::transfer {

struct SenderLimits {
  Duration idle = std::chrono::seconds(10);      // an unused snapshot is dropped after this
  Duration max_age = std::chrono::seconds(120);  // after this an older one may be replaced by a newer one
};

// Encodes snapshots on demand and caches them while they are fetched.
class SnapshotSender {
 public:
  explicit SnapshotSender(SenderLimits limits = {}) : limits_(limits) {}

  // The first part of a snapshot newer than `position`: a cached one if the changes after it can be sent as
  // entries, otherwise the source's current state.
  Part offer(Time now, const fleet::ChangeSource& source, std::uint64_t position);
  // The requested part; if that snapshot is no longer cached, the first part of another one, marked
  // `replaces`.
  Part answer(Time now, const PartRequest& request, const fleet::ChangeSource& source);
  // Drops unused snapshots.
  void expire(Time now);
  std::size_t size() const { return cached_.size(); }

 private:
  struct Cached {
    std::shared_ptr<const Snapshot> snapshot;
    Time encoded_at{}, last_used{};
    std::uint64_t position() const { return snapshot->id.position; }
  };
  Cached& encoded(Time now, const configuration::State& state);
  Cached* find(const SnapshotId& id);
  Cached* usable(const fleet::ChangeSource& source, std::uint64_t position);
  bool in_use(Time now, const Cached& cached) const;
  static Part part_of(const Snapshot& snapshot, std::uint64_t offset, std::size_t length);

  static constexpr std::size_t kMaxCached = 2;
  SenderLimits limits_;
  std::vector<Cached> cached_;  // oldest first
};

}  // namespace docklift::transfer
