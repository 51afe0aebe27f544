// The configuration as a follower of the log of changes has it: a state, and the last changes for who follows
// this one. Pure.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>

#include "system/fleet/frames.hpp"

namespace docklift::fleet {

class ChangeLog {
 public:
  enum class News {
    none,
    taken,
    gap
  };  // gap: a change is missing between; ask for what comes after position()

  News take(wire::Snapshot::Reader snapshot);
  News take(capnp::List<wire::Entry>::Reader entries);

  const configuration::State& state() const { return state_; }
  std::uint64_t position() const { return state_.position; }
  // What the state's document means; null: there is none yet.
  const std::shared_ptr<const configuration::Configuration>& configuration() const { return configuration_; }
  // Zones taken back by the last news.
  const std::vector<std::string>& readmitted() const { return readmitted_; }

  // What brings a follower from a place up to date: entries, or a snapshot. False: it is up to date.
  bool frame_after(std::uint64_t place, Outgoing& out) const;

 private:
  void reread();
  configuration::State state_;
  std::shared_ptr<const configuration::Configuration> configuration_;
  std::deque<Entry> last_;
  std::vector<std::string> readmitted_;
};

}  // namespace docklift::fleet
