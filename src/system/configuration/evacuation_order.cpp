#include "system/configuration/evacuation_order.hpp"

#include <charconv>

namespace docklift::configuration {

std::string encode(const EvacuationCommand& command) {
  return std::to_string(command.base) + " " + command.zone;
}

std::optional<EvacuationCommand> decode_evacuation(std::string_view text) {
  const auto space = text.find(' ');
  if (space == std::string_view::npos || space + 1 == text.size()) return std::nullopt;
  EvacuationCommand command;
  const char* const end = text.data() + space;
  const auto read = std::from_chars(text.data(), end, command.base);
  if (read.ec != std::errc{} || read.ptr != end) return std::nullopt;
  command.zone = text.substr(space + 1);
  return command;
}

}  // namespace docklift::configuration
