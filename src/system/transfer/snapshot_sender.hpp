// The sending side of snapshots: keeps at most two encoded ones, shared by all receivers, and serves parts of
// them as they are asked for. Pure.
#pragma once

#include <memory>
#include <vector>

#include "system/base/time.hpp"
#include "system/fleet/change_log.hpp"
#include "system/transfer/snapshot.hpp"

namespace docklift::transfer {

struct SenderLimits {
  Duration idle = std::chrono::seconds(10);      // a snapshot that nobody asks for is dropped
  Duration longest = std::chrono::seconds(120);  // an older one makes room for a newer one after this
};

class SnapshotSender {
 public:
  explicit SnapshotSender(SenderLimits limits = {}) : limits_(limits) {}

  // The first part of a snapshot beyond `place`: one that is kept, if the changes after it can follow as
  // entries, else the source's present state.
  Part offer(Time now, const fleet::ChangeSource& source, std::uint64_t place);
  // The part that is asked for; the first part of another snapshot, marked `replaces`, if that one is not
  // kept any more.
  Part answer(Time now, const PartRequest& request, const fleet::ChangeSource& source);
  void expire(Time now);
  std::size_t kept() const { return kept_.size(); }

 private:
  struct Kept {
    std::shared_ptr<const Snapshot> snapshot;
    Time since{}, used{};
    std::uint64_t position() const { return snapshot->id.position; }
  };
  Kept& encoded(Time now, const configuration::State& state);
  Kept* find(const SnapshotId& id);
  Kept* usable(const fleet::ChangeSource& source, std::uint64_t place);
  bool in_service(Time now, const Kept& kept) const;
  static Part part_of(const Snapshot& snapshot, std::uint64_t offset, std::size_t length);

  static constexpr std::size_t kMostKept = 2;
  SenderLimits limits_;
  std::vector<Kept> kept_;  // by age, oldest first
};

}  // namespace docklift::transfer
