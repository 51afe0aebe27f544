#include "system/transfer/change_feed.hpp"

namespace docklift::transfer {

void ChangeFeed::on_follow(Follower& follower, std::uint64_t position) const {
  follower.following = true;
  follower.awaiting_request = false;
  follower.position = position;
}

bool ChangeFeed::next(Time now, Follower& follower, const fleet::ChangeSource& source, fleet::Outgoing& out) {
  const auto newest = source.state().position;
  if (!follower.following || follower.awaiting_request || follower.position >= newest) return false;
  // An empty follower also lacks what no change carries: the voters of the initial bootstrap.
  if (follower.position == 0 || !source.covers(follower.position)) {
    const auto part = snapshots_.offer(now, source, follower.position);
    put(out.frame().initSnapshotPart(), part);
    follower.awaiting_request = true;
    return true;
  }
  const auto entries = source.entries_after(follower.position, kBatchBytes);
  auto batch = out.frame().initChanges();
  batch.setNewest(newest);
  batch.setDigestBefore(source.digest_at(follower.position));
  auto list = batch.initEntries(static_cast<unsigned>(entries.size()));
  for (unsigned i = 0; i < list.size(); ++i) fleet::put(list[i], entries[i]);
  follower.position = entries.back().position;
  follower.awaiting_request = follower.position < newest;
  return true;
}

void ChangeFeed::offer(Time now, std::uint64_t position, const fleet::ChangeSource& source,
                       fleet::Outgoing& out) {
  put(out.frame().initSnapshotPart(), snapshots_.offer(now, source, position));
}

void ChangeFeed::answer(Time now, wire::SnapshotPartRequest::Reader request,
                        const fleet::ChangeSource& source, fleet::Outgoing& out) {
  put(out.frame().initSnapshotPart(), snapshots_.answer(now, get(request), source));
}

}  // namespace docklift::transfer
