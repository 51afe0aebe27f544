// An operator's order to send nothing more to a zone's servers, or to take that back, as it stands in the log
// of changes. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace docklift::configuration {

// Takes effect only if no later order of the same zone has taken effect in between: one that was held up and
// arrives late must not start an evacuation which another order has ended since (compare and set).
struct EvacuationCommand {
  std::string zone;
  std::uint64_t base = 0;  // position of the log at the registry when the order arrived there
  bool operator==(const EvacuationCommand&) const = default;
};

// The text of the change: base in decimal, a space, the zone.
std::string encode(const EvacuationCommand& order);
std::optional<EvacuationCommand> decode_evacuation(std::string_view text);  // none: not of this form

}  // namespace docklift::configuration
