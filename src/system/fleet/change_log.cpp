#include "system/fleet/change_log.hpp"

#include <algorithm>
#include <iterator>

namespace docklift::fleet {

void ChangeLog::forget() {
  state_ = {};
  digests_ = {};
  configuration_.reset();
  recent_.clear();
  readmitted_.clear();
}

void ChangeLog::reread() {
  if (state_.document.is_null()) return;
  auto read = configuration::read(state_.document);
  if (!failed(read)) configuration_ = std::move(value(read));
}

ChangeLog::Outcome ChangeLog::accept(configuration::State snapshot) {
  readmitted_.clear();
  if (snapshot.position <= state_.position) return Outcome::unchanged;
  for (const auto& zone : state_.evacuated)
    if (!std::ranges::binary_search(snapshot.evacuated, zone)) readmitted_.push_back(zone);
  state_ = std::move(snapshot);
  digests_.note(state_.position, state_.log_digest);
  recent_.clear();
  reread();
  return Outcome::applied;
}

ChangeLog::Outcome ChangeLog::accept(wire::ChangeBatch::Reader batch) {
  const auto entries = batch.getEntries();
  readmitted_.clear();
  if (entries.size() > 0 && digests_.contradicts(entries[0].getPosition() - 1, batch.getDigestBefore()))
    return Outcome::diverged;
  bool taken = false;
  bool document = false;
  bool gap = false;
  for (const auto r : entries) {
    if (r.getPosition() <= state_.position) continue;
    gap = r.getPosition() != state_.position + 1;
    if (gap) break;
    auto e = get(r);
    const auto evacuated_before = state_.evacuated;
    const bool effect = apply(state_, e);
    document = document || (effect && (e.change == wire::Change::REPLACE || e.change == wire::Change::PATCH));
    std::ranges::set_difference(evacuated_before, state_.evacuated, std::back_inserter(readmitted_));
    taken = true;
    digests_.note(state_.position, state_.log_digest);
    recent_.push(e);
  }
  if (document) reread();
  if (gap) return Outcome::gap;
  return taken ? Outcome::applied : Outcome::unchanged;
}

}  // namespace docklift::fleet
