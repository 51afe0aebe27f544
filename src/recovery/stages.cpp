#include "recovery/stages.hpp"

#include <algorithm>

#include "members/planted.hpp"

namespace docklift::recovery {

const char* name_of(Stage stage) {
  switch (stage) {
    case Stage::reading: return "reading";
    case Stage::joining: return "joining";
    case Stage::unmetered: return "unmetered";
    case Stage::full: return "full";
  }
  return "?";
}

void Stages::enter(Instant now, Stage stage) {
  stage_ = stage;
  entered_ = now;
  waits_for_.clear();
}

std::optional<Stages::Release> Stages::evaluate(Instant now, const Known& known) {
  if (stage_ == Stage::reading) {
    waits_for_ = "its own records";
    if (!known.read) return std::nullopt;
    enter(now, Stage::joining);
  }
  if (stage_ == Stage::joining) {
    const bool late = now - began_ >= limits_.join;
    // The number of a start must never be used twice, so service does not begin on one that a power loss could erase, while the disk may
    // still store it.
    if (!known.durable && !late) return waits_for_ = "its start to be on the disk", std::nullopt;
    if (!known.caught_up && !late) return waits_for_ = "copies of two others", std::nullopt;
    enter(now, Stage::unmetered);
  }
  if (stage_ != Stage::unmetered) return std::nullopt;
  const auto full = [&](std::optional<Instant> shut, std::string why) {
    enter(now, Stage::full);
    if (known.shut > Instant{}) shut = std::max(shut.value_or(Instant{}), known.shut);
    return Release{shut, std::move(why)};
  };
  if (injected(TestFault::released_at_once)) return full({}, "");
  if (known.caught_up && known.nothing_lost) return full({}, "no node failed");
  if (known.caught_up && known.all_accounted_for) return full({}, "all failed nodes are back, with all that they had admitted");
  if (known.caught_up && known.other_serves) return full({}, "another node that knows the counts is serving");
  if (now - entered_ < limits_.verify) return waits_for_ = known.caught_up ? "lives that are over without a last word" : "copies of two others", std::nullopt;
  if (injected(TestFault::time_shuts_nothing)) return full({}, "");
  return full(now + limits_.clocks, "what the failed nodes had admitted is not known in time: windows that had begun stay closed");
}

std::optional<Instant> Stages::due() const {
  if (stage_ == Stage::joining) return began_ + limits_.join;
  if (stage_ == Stage::unmetered) return entered_ + limits_.verify;
  return std::nullopt;
}

}  // namespace docklift::recovery
