// The operator's command to stop sending requests to a zone's servers, or to readmit the zone, as encoded in
// the log of changes. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace docklift::configuration {

// Takes effect only if no other command for the same zone has taken effect since `base` (compare and set): a
// delayed command must not start an evacuation that a later command has already ended.
struct EvacuationCommand {
  std::string zone;
  std::uint64_t base = 0;  // log position at the registry when it received the command
  bool operator==(const EvacuationCommand&) const = default;
};

// The text of the change: base in decimal, a space, the zone.
std::string encode(const EvacuationCommand& command);
// Returns nothing if the text does not have this form.
std::optional<EvacuationCommand> decode_evacuation(std::string_view text);

}  // namespace docklift::configuration
