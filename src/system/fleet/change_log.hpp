// The configuration as a follower of the log of changes has it: a state, and the last changes for who follows
// this one. Pure.
#pragma once

#include <algorithm>
#include <memory>

#include "system/fleet/frames.hpp"
#include "system/fleet/recent_changes.hpp"

namespace docklift::fleet {

inline std::uint64_t position_of(const Entry& e) { return e.position; }
inline std::size_t bytes_of(const Entry& e) { return e.text.size() + sizeof(Entry); }

// What followers are fed from: a state and the changes that led to it last.
class ChangeSource {
 public:
  virtual ~ChangeSource() = default;
  virtual const configuration::State& state() const = 0;
  // Whether entries_after() has all changes after a place; false where there are none or a snapshot is needed.
  virtual bool covers(std::uint64_t place) const = 0;
  // Changes after a place that is covered: a batch of about so many bytes, one change at least.
  virtual std::vector<Entry> entries_after(std::uint64_t place, std::size_t batch_bytes) const = 0;
  // Of the log up to a place (configuration/log_digests).
  virtual std::uint64_t digest_at(std::uint64_t place) const = 0;
};

class ChangeLog : public ChangeSource {
 public:
  enum class Outcome {
    unchanged,
    applied,
    gap,       // a change is missing between; ask for what comes after position()
    diverged,  // the sender's log holds other changes than this one: something that was agreed is lost
  };

  Outcome accept(configuration::State snapshot);  // none: it is not newer than what is held
  Outcome accept(wire::ChangeBatch::Reader batch);
  // Holds nothing any more, so that any snapshot is taken.
  void forget();

  const configuration::State& state() const override { return state_; }
  std::uint64_t position() const { return state_.position; }
  bool covers(std::uint64_t place) const override { return recent_.covers(place); }
  std::vector<Entry> entries_after(std::uint64_t place, std::size_t batch_bytes) const override {
    return recent_.after(place, batch_bytes);
  }
  std::uint64_t digest_at(std::uint64_t place) const override { return digests_.at(place); }
  // What the state's document means; null: there is none yet.
  const std::shared_ptr<const configuration::Configuration>& configuration() const { return configuration_; }
  // Zones taken back by the last news.
  const std::vector<std::string>& readmitted() const { return readmitted_; }

 private:
  void reread();
  configuration::State state_;
  configuration::LogDigests digests_;
  std::shared_ptr<const configuration::Configuration> configuration_;
  RecentChanges<Entry> recent_;
  std::vector<std::string> readmitted_;
};

}  // namespace docklift::fleet
