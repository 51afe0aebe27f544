// In which order a node takes up service after a start, without I/O: what is known goes in with the time, the stage and what follows from it come out.
// docs/design/recovery.md has why each condition is safe.
//
//   reading -> joining -> unmetered -> full
//
// Each stage has an end by time, none leads back, and a new start begins anew. Times are nanoseconds of the fleet's clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace docklift::recovery {

using Instant = std::chrono::nanoseconds;

enum class Stage : std::uint8_t {
  reading,    // one's own records; not on the network yet
  joining,    // among the others, not ready: this start is not on the disk yet, or copies are missing
  unmetered,  // ready; nothing is added to a count, and that is said at once: what was passed before is not known yet
  full,
};
const char* name_of(Stage stage);

struct StageLimits {
  Instant join{std::chrono::seconds(1)};    // for the disk and for copies; then ready without
  Instant verify{std::chrono::seconds(3)};  // for what was passed before; then windows that had begun stay shut
  Instant clocks{std::chrono::milliseconds(120)};  // by which those of two nodes may differ
};

// What a node knows at a moment.
struct Known {
  bool read = false;       // one's own records, or that they can't be
  bool durable = false;    // the number of this start is on the disk, or the disk refuses
  bool caught_up = false;  // copies of others were taken, or there is nobody else
  bool all_accounted_for = false;   // all nodes of the fleet are here or have left, and all lives that are over are closed and held
  bool nothing_lost = false;  // no life is known, on the disk or from others, that ended without a last word
  bool other_serves = false;  // one that is through with this: it was not down with this node, or has shut what it had to
  Instant shut{};             // until when any life that is known has had to leave windows shut; 0: none has
};

class Stages {
 public:
  struct Release {
    std::optional<Instant> shut{};  // windows that had begun by then stay shut; none: all is known
    std::string why{};
  };

  // Without a disk there is nothing to wait for.
  Stages(StageLimits limits, bool with_disk) : limits_(limits), stage_(with_disk ? Stage::reading : Stage::full) {}

  void begin(Instant now) { began_ = entered_ = now; }
  // What follows from it: once in a life the counts are released.
  std::optional<Release> evaluate(Instant now, const Known& known);
  // When evaluate() is wanted though nothing happens; at the latest.
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
