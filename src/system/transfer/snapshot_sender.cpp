#include "system/transfer/snapshot_sender.hpp"

#include <algorithm>

namespace docklift::transfer {

Part SnapshotSender::part_of(const Snapshot& snapshot, std::uint64_t offset, std::size_t length) {
  Part part;
  part.id = snapshot.id;
  part.total = snapshot.bytes.size();
  part.offset = offset;
  part.bytes = std::string_view(snapshot.bytes).substr(offset, std::min(length, kMostPartBytes));
  return part;
}

SnapshotSender::Kept* SnapshotSender::find(const SnapshotId& id) {
  const auto found = std::ranges::find_if(kept_, [&](const Kept& kept) { return kept.snapshot->id == id; });
  return found == kept_.end() ? nullptr : &*found;
}

// The newest one from which a follower gets on by entries.
SnapshotSender::Kept* SnapshotSender::usable(const fleet::ChangeSource& source, std::uint64_t place) {
  for (auto kept = kept_.rbegin(); kept != kept_.rend(); ++kept) {
    const auto position = kept->position();
    const bool leads_on = position == source.state().position || source.covers(position);
    if (position > place && leads_on) return &*kept;
  }
  return nullptr;
}

bool SnapshotSender::in_service(Time now, const Kept& kept) const {
  return now - kept.used <= limits_.idle && now - kept.since <= limits_.longest;
}

// The older of two stays while it is fetched, so that a quick succession of changes can't keep receivers from
// ever having a whole one; the newer of them makes room.
SnapshotSender::Kept& SnapshotSender::encoded(Time now, const configuration::State& state) {
  const auto same = std::ranges::find(kept_, state.position, &Kept::position);
  if (same != kept_.end()) return *same;
  if (kept_.size() == kMostKept)
    kept_.erase(in_service(now, kept_.front()) ? kept_.end() - 1 : kept_.begin());
  return kept_.emplace_back(encode(state), now, now);
}

Part SnapshotSender::offer(Time now, const fleet::ChangeSource& source, std::uint64_t place) {
  auto* kept = usable(source, place);
  if (!kept) kept = &encoded(now, source.state());
  kept->used = now;
  return part_of(*kept->snapshot, 0, kPartBytes);
}

Part SnapshotSender::answer(Time now, const PartRequest& request, const fleet::ChangeSource& source) {
  auto* kept = find(request.id);
  if (!kept && request.id.position == source.state().position) {
    auto& present = encoded(now, source.state());
    if (present.snapshot->id == request.id) kept = &present;
  }
  if (kept && request.offset < kept->snapshot->bytes.size()) {
    kept->used = now;
    return part_of(*kept->snapshot, request.offset, request.length);
  }
  auto part = offer(now, source, request.id.position);
  part.replaces = true;
  return part;
}

void SnapshotSender::expire(Time now) {
  std::erase_if(kept_, [&](const Kept& kept) { return now - kept.used > limits_.idle; });
}

}  // namespace docklift::transfer
