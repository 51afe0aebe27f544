// A follower's copy of the configuration change log: the current state, and the most recent changes for its
// own followers. Performs no I/O.
#pragma once

#include <algorithm>
#include <memory>

#include "system/fleet/frames.hpp"
#include "system/fleet/recent_changes.hpp"

namespace docklift::fleet {

inline std::uint64_t position_of(const Entry& e) { return e.position; }
inline std::size_t bytes_of(const Entry& e) { return e.text.size() + sizeof(Entry); }

// Source of state and changes for followers: a state and the most recent changes that led to it.
class ChangeSource {
 public:
  virtual ~ChangeSource() = default;
  virtual const configuration::State& state() const = 0;
  // Whether entries_after() has all changes after `position`; false if there are none or a snapshot is
  // needed.
  virtual bool covers(std::uint64_t position) const = 0;
  // The changes after a covered position: a batch of about `batch_bytes`, at least one change.
  virtual std::vector<Entry> entries_after(std::uint64_t position, std::size_t batch_bytes) const = 0;
  // Digest of the log up to `position` (configuration/log_digests).
  virtual std::uint64_t digest_at(std::uint64_t position) const = 0;
};

// Applies batches and snapshots in log order and detects gaps and diverged logs.
class ChangeLog : public ChangeSource {
 public:
  enum class Outcome {
    unchanged,
    applied,
    gap,       // changes are missing in between; request those after position()
    diverged,  // the sender's log holds other changes than this one: committed changes were lost
  };

  Outcome accept(configuration::State snapshot);  // unchanged: not newer than the current state
  Outcome accept(wire::ChangeBatch::Reader batch);
  // Drops everything, so that any snapshot is accepted.
  void forget();

  const configuration::State& state() const override { return state_; }
  std::uint64_t position() const { return state_.position; }
  bool covers(std::uint64_t position) const override { return recent_.covers(position); }
  std::vector<Entry> entries_after(std::uint64_t position, std::size_t batch_bytes) const override {
    return recent_.after(position, batch_bytes);
  }
  std::uint64_t digest_at(std::uint64_t position) const override { return digests_.at(position); }
  // The parsed document of the state; null if there is none yet.
  const std::shared_ptr<const configuration::Configuration>& configuration() const { return configuration_; }
  // Zones readmitted by the last accept().
  const std::vector<std::string>& readmitted() const { return readmitted_; }

 private:
  void parse_document();
  configuration::State state_;
  configuration::LogDigests digests_;
  std::shared_ptr<const configuration::Configuration> configuration_;
  RecentChanges<Entry> recent_;
  std::vector<std::string> readmitted_;
};

}  // namespace docklift::fleet
