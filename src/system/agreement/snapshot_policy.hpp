// Decides when a store replaces the log on its disk by a snapshot of its state. Does no I/O.
#pragma once

#include <cstdint>

namespace docklift::agreement {

// The size of the log written since the last snapshot.
struct LogSinceSnapshot {
  std::uint64_t changes = 0;
  std::uint64_t bytes = 0;
};

// A snapshot of a large state costs as much as thousands of small changes, so it is normally delayed until
// the log is as large as the state. It is written earlier if replaying the log at a restart would take long,
// or if the log would fill the disk.
struct SnapshotPolicy {
  std::uint64_t min_changes = 32;
  std::uint64_t max_changes = 256;
  std::uint64_t max_replay_bytes = 256u << 20;  // changes times the state's size; replay takes 7 ms per MiB
  std::uint64_t max_log_bytes = 16u << 20;      // of 256 MB of disk; applies below `min_changes` too

  bool is_due(const LogSinceSnapshot& log, std::uint64_t state_bytes) const {
    if (log.bytes >= max_log_bytes) return true;
    if (log.changes < min_changes) return false;
    return log.bytes >= state_bytes || log.changes >= max_changes ||
           log.changes * state_bytes >= max_replay_bytes;
  }
};

}  // namespace docklift::agreement
