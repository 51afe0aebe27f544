#include "system/transfer/snapshot_sender.hpp"

#include <algorithm>

namespace docklift::transfer {

Part SnapshotSender::part_of(const Snapshot& snapshot, std::uint64_t offset, std::size_t length) {
  Part part;
  part.id = snapshot.id;
  part.total = snapshot.bytes.size();
  part.offset = offset;
  part.bytes = std::string_view(snapshot.bytes).substr(offset, std::min(length, kMaxPartBytes));
  return part;
}

SnapshotSender::Cached* SnapshotSender::find(const SnapshotId& id) {
  const auto found = std::ranges::find_if(cached_,
                                          [&](const Cached& cached) { return cached.snapshot->id == id; });
  return found == cached_.end() ? nullptr : &*found;
}

// The newest cached snapshot after which a follower can continue with entries.
SnapshotSender::Cached* SnapshotSender::usable(const fleet::ChangeSource& source, std::uint64_t position) {
  for (auto cached = cached_.rbegin(); cached != cached_.rend(); ++cached) {
    const auto snapshot_position = cached->position();
    const bool can_continue = snapshot_position == source.state().position ||
                              source.covers(snapshot_position);
    if (snapshot_position > position && can_continue) return &*cached;
  }
  return nullptr;
}

bool SnapshotSender::in_use(Time now, const Cached& cached) const {
  return now - cached.last_used <= limits_.idle && now - cached.encoded_at <= limits_.max_age;
}

// While the older of two snapshots is being fetched, the newer one is replaced instead: a quick succession of
// changes must not keep receivers from ever completing a fetch.
SnapshotSender::Cached& SnapshotSender::encoded(Time now, const configuration::State& state) {
  const auto same = std::ranges::find(cached_, state.position, &Cached::position);
  if (same != cached_.end()) return *same;
  if (cached_.size() == kMaxCached)
    cached_.erase(in_use(now, cached_.front()) ? cached_.end() - 1 : cached_.begin());
  return cached_.emplace_back(encode(state), now, now);
}

Part SnapshotSender::offer(Time now, const fleet::ChangeSource& source, std::uint64_t position) {
  auto* cached = usable(source, position);
  if (!cached) cached = &encoded(now, source.state());
  cached->last_used = now;
  return part_of(*cached->snapshot, 0, kPartBytes);
}

Part SnapshotSender::answer(Time now, const PartRequest& request, const fleet::ChangeSource& source) {
  auto* cached = find(request.id);
  if (!cached && request.id.position == source.state().position) {
    auto& current = encoded(now, source.state());
    if (current.snapshot->id == request.id) cached = &current;
  }
  if (cached && request.offset < cached->snapshot->bytes.size()) {
    cached->last_used = now;
    return part_of(*cached->snapshot, request.offset, request.length);
  }
  auto part = offer(now, source, request.id.position);
  part.replaces = true;
  return part;
}

void SnapshotSender::expire(Time now) {
  std::erase_if(cached_, [&](const Cached& cached) { return now - cached.last_used > limits_.idle; });
}

}  // namespace docklift::transfer
