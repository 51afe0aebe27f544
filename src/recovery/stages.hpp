// The startup stages of a node, without I/O: inputs are the time and what is known, outputs the stage and its consequences.
// See docs/design/recovery.md for why each condition is safe.
//
//   reading -> joining -> unmetered -> full
//
// Each stage has a time limit, and none leads back; a new start begins with the first. Times are nanoseconds of the fleet's clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace docklift::recovery {

using Instant = std::chrono::nanoseconds;

enum class Stage : std::uint8_t {
  reading,    // reads its own records; not on the network yet
  joining,    // a member, but not ready: this start is not on the disk yet, or copies are missing
  unmetered,  // ready, but adds to counts are refused at once: what was admitted before is not known yet
  full,
};
const char* name_of(Stage stage);

struct StageLimits {
  Instant join{std::chrono::seconds(1)};    // for the disk and the copies; then ready without them
  Instant verify{std::chrono::seconds(3)};  // for what was admitted before; then windows that had begun stay closed
  Instant clocks{std::chrono::milliseconds(120)};  // largest difference between the clocks of two nodes
};

// What a node knows at a given time.
struct Known {
  bool read = false;       // its own records were read, or can't be
  bool durable = false;    // the number of this start is on the disk, or the disk fails
  bool caught_up = false;  // copies of other nodes were received, or there are no others
  bool all_accounted_for = false;   // all nodes of the fleet are alive or have left, and all ended incarnations are closed and copied
  bool nothing_lost = false;  // no incarnation is known, from disk or peers, that failed without leaving
  bool other_serves = false;  // a node that has completed this: it did not fail together with this node, or has closed its windows
  Instant shut{};             // until when known incarnations had to keep windows closed; 0: none has
};

// The state machine of the stages.
class Stages {
 public:
  struct Release {
    std::optional<Instant> shut{};  // windows that had begun by then stay closed; none: everything is known
    std::string why{};
  };

  // Without a disk the only stage is `full`.
  Stages(StageLimits limits, bool with_disk) : limits_(limits), stage_(with_disk ? Stage::reading : Stage::full) {}

  void begin(Instant now) { began_ = entered_ = now; }
  // Advances the stage; returns a value once per incarnation, when the counts are released.
  std::optional<Release> evaluate(Instant now, const Known& known);
  // The latest time at which evaluate() has to be called if nothing happens.
  std::optional<Instant> due() const;

  Stage stage() const { return stage_; }
  bool ready() const { return stage_ >= Stage::unmetered; }
  // What it waits for, for operators; empty when full.
  const std::string& waits_for() const { return waits_for_; }
  Instant since() const { return entered_; }

 private:
  void enter(Instant now, Stage stage);

  StageLimits limits_;
  Stage stage_;
  Instant began_{}, entered_{};
  std::string waits_for_{};
};

}  // namespace docklift::recovery
