#include "system/transfer/change_feed.hpp"

namespace docklift::transfer {

void ChangeFeed::on_follow(Follower& follower, std::uint64_t position) const {
  follower.follows = true;
  follower.asks = false;
  follower.position = position;
}

bool ChangeFeed::next(Time now, Follower& follower, const fleet::ChangeSource& source, fleet::Outgoing& out) {
  const auto newest = source.state().position;
  if (!follower.follows || follower.asks || follower.position >= newest) return false;
  // Who has nothing lacks also what no change has brought: the voters of the first start.
  if (follower.position == 0 || !source.covers(follower.position)) {
    const auto part = snapshots_.offer(now, source, follower.position);
    put(out.frame().initSnapshotPart(), part);
    follower.asks = true;
    return true;
  }
  const auto entries = source.entries_after(follower.position, kBatchBytes);
  auto batch = out.frame().initChanges();
  batch.setNewest(newest);
  batch.setDigestBefore(source.digest_at(follower.position));
  auto list = batch.initEntries(static_cast<unsigned>(entries.size()));
  for (unsigned i = 0; i < list.size(); ++i) fleet::put(list[i], entries[i]);
  follower.position = entries.back().position;
  follower.asks = follower.position < newest;
  return true;
}

void ChangeFeed::offer(Time now, std::uint64_t place, const fleet::ChangeSource& source,
                       fleet::Outgoing& out) {
  put(out.frame().initSnapshotPart(), snapshots_.offer(now, source, place));
}

void ChangeFeed::answer(Time now, wire::SnapshotPartRequest::Reader request,
                        const fleet::ChangeSource& source, fleet::Outgoing& out) {
  put(out.frame().initSnapshotPart(), snapshots_.answer(now, get(request), source));
}

}  // namespace docklift::transfer
