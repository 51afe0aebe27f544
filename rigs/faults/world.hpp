// A fleet in virtual time: the program's own Peer of each node, with real datagrams, on a network, a store of counts and lists of ours that
// fail by a schedule. The checker stands beside it: it keeps the truth itself (what the store carried out, which life lives, what was drained) and
// holds what the nodes say against it. The same schedule gives the same play on any machine.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "peers/peer.hpp"
#include "schedule.hpp"

namespace docklift::faults {

struct WorldOptions {
  std::size_t members = 4;       // of which counts are kept
  double calls_per_s = 20;       // to the store, of each node
  double window = 3;             // seconds of a count
  double quiet = 14;             // seconds after the last fault until all has to be equal
  std::size_t servers = 4;
  bool noise = true;             // a little loss, and late repeats, at all times
  double repeats = 0.01;         // part of the datagrams that come twice then
  bool disks = false;            // each node has one, which syncs in 1 to 6 ms and loses what it had not synced
  bool timed = false;            // how long each call into a Peer takes, by the real clock
  std::function<void(double seconds, const std::string& line)> log{};  // what nodes say
  peers::PeerOptions peer{};       // name, start, seeds and fleet size are set by the world
};

struct Verdict {
  std::vector<std::string> broken{};  // properties, in words; empty: all hold
  // What was seen
  std::uint64_t datagrams = 0, bytes = 0, calls = 0, answers = 0, refused = 0, fallen_back = 0, settled = 0, told = 0, mended = 0,
                false_deaths = 0, deaths = 0, gap_answers = 0, starts = 0, warm_starts = 0;
  std::uint64_t power_losses = 0, shut_starts = 0, whole_starts = 0;  // starts with a disk: released with windows shut, or with all known
  std::vector<double> full_s{};  // from such a start to full service
  double worst_unknown_units = 0;  // that were missing in an answer after a loss of power: adds without an answer, or not on the disk yet
  double worst_gap_units = 0, worst_over_units = 0;
  std::vector<double> detect_s{}, drain_spread_s{}, settle_s{}, catch_up_s{};
  double converged_s = -1;       // after the last fault
  std::vector<float> call_us{};  // with `timed`
  double virtual_s = 0;
  std::uint64_t fingerprint = 0; // of all that was sent and said
  bool good() const { return broken.empty(); }
};

Verdict play(const Schedule& schedule, const WorldOptions& options = {});

}  // namespace docklift::faults
