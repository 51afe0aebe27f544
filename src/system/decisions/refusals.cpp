#include "system/decisions/refusals.hpp"

namespace docklift::decisions {

std::string to_string(const RefusalCounts& counts) {
  const auto counted = [&](const char* name, RefusalReason reason) {
    return std::string(name) + " " + std::to_string(counts.of(reason));
  };
  return "refused: " + counted("no configuration", RefusalReason::no_configuration) +
         counted(", no memory", RefusalReason::no_body_memory) +
         counted(", outdated", RefusalReason::outdated) + counted(", draining", RefusalReason::draining) +
         counted(", no server", RefusalReason::no_server) + counted(", no place", RefusalReason::no_slot) +
         counted(", not run", RefusalReason::not_run) +
         counted(", no units in time", RefusalReason::no_units) + counted(", quota", RefusalReason::quota) +
         counted(", overdue", RefusalReason::overdue);
}

}  // namespace docklift::decisions
