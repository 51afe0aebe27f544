#include "system/decisions/refusals.hpp"

namespace docklift::decisions {

std::string to_string(const RefusalCounts& counts) {
  const auto part = [&](const char* name, RefusalReason reason) {
    return std::string(name) + " " + std::to_string(counts.of(reason));
  };
  return "refused: " + part("no configuration", RefusalReason::no_configuration) +
         part(", outdated", RefusalReason::outdated) + part(", draining", RefusalReason::draining) +
         part(", no server", RefusalReason::no_server) + part(", no place", RefusalReason::no_place) +
         part(", not run", RefusalReason::not_run) + part(", no units in time", RefusalReason::no_units) +
         part(", quota", RefusalReason::quota);
}

}  // namespace docklift::decisions
