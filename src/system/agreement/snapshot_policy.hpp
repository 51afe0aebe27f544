// When a store writes its state to the disk as a snapshot, in place of the log since the last one. Pure.
#pragma once

#include <cstdint>

namespace docklift::agreement {

// What has been logged since the last snapshot.
struct LogSinceSnapshot {
  std::uint64_t changes = 0;
  std::uint64_t bytes = 0;
};

// A snapshot of a large state costs as much as thousands of small changes, so that it waits until the log is as
// large; it doesn't wait where a restart would apply the log for long, or where the log fills the disk.
struct SnapshotPolicy {
  std::uint64_t least_changes = 32;
  std::uint64_t most_changes = 256;
  std::uint64_t most_replay_bytes = 256u << 20;  // changes times the state's size; measured: 7 ms each MiB
  std::uint64_t most_log_bytes = 16u << 20;      // of 256 MB of disk; before `least_changes` too

  bool is_due(const LogSinceSnapshot& log, std::uint64_t state_bytes) const {
    if (log.bytes >= most_log_bytes) return true;
    if (log.changes < least_changes) return false;
    return log.bytes >= state_bytes || log.changes >= most_changes ||
           log.changes * state_bytes >= most_replay_bytes;
  }
};

}  // namespace docklift::agreement
