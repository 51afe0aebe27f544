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

void ChangeLog::parse_document() {
  if (state_.document.is_null()) return;
  auto parsed = configuration::read(state_.document);
  if (!failed(parsed)) configuration_ = std::move(value(parsed));
}

ChangeLog::Outcome ChangeLog::accept(configuration::State snapshot) {
  readmitted_.clear();
  if (snapshot.position <= state_.position) return Outcome::unchanged;
  for (const auto& zone : state_.evacuated)
    if (!std::ranges::binary_search(snapshot.evacuated, zone)) readmitted_.push_back(zone);
  state_ = std::move(snapshot);
  digests_.record(state_.position, state_.log_digest);
  recent_.clear();
  parse_document();
  return Outcome::applied;
}

ChangeLog::Outcome ChangeLog::accept(wire::ChangeBatch::Reader batch) {
  const auto entries = batch.getEntries();
  readmitted_.clear();
  if (entries.size() > 0 && digests_.contradicts(entries[0].getPosition() - 1, batch.getDigestBefore()))
    return Outcome::diverged;
  bool any_applied = false;
  bool document_changed = false;
  bool gap = false;
  for (const auto reader : entries) {
    if (reader.getPosition() <= state_.position) continue;
    gap = reader.getPosition() != state_.position + 1;
    if (gap) break;
    auto entry = get(reader);
    const auto evacuated_before = state_.evacuated;
    const bool effect = apply(state_, entry);
    document_changed = document_changed || (effect && (entry.change == wire::Change::REPLACE ||
                                                       entry.change == wire::Change::PATCH));
    std::ranges::set_difference(evacuated_before, state_.evacuated, std::back_inserter(readmitted_));
    any_applied = true;
    digests_.record(state_.position, state_.log_digest);
    recent_.push(entry);
  }
  if (document_changed) parse_document();
  if (gap) return Outcome::gap;
  return any_applied ? Outcome::applied : Outcome::unchanged;
}

}  // namespace docklift::fleet
