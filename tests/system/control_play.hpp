// One play: operators who send orders to random members of a core while faults come by seed; at the end all
// heals, and what the operators were told is checked.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "control_fleet.hpp"
#include "history_checker.hpp"

namespace docklift::test {

enum class Fault {
  kill,
  power_loss,
  disk_loss,
  freeze,
  cut_off,
  cut_one_way,  // between two members, in one direction
  cut_pair,     // between two members, both ways
  core_split,   // the members of a zone from the others
  zone_power_loss,
  zone_disk_loss,
  kill_all,
  power_loss_all,
  disk_loss_and_power_loss,  // as many disks as may be lost, while all others lose power
  replace,                   // a machine is gone for good with its disk; another one starts
  replace_planned,           // the other one starts first, then the old one is asked to leave
  learner,                   // a machine more, which goes again
  disk_stall,
  disk_slow,
  link_reset,
  // One machine is cut off and misses changes; then one of the others loses its disk, the rest are dark for seconds,
  // and the cut heals. One disk is lost, whatever else is; not among the faults of a play that names none.
  left_behind,
};
const char* name_of(Fault fault);

struct PlayOptions {
  std::uint64_t seed = 1;
  std::vector<std::string> zones{"a", "a", "b"};
  std::size_t tolerated = 1;
  std::size_t operators = 3;
  std::size_t changes = 40;                     // configurations acknowledged, then the play closes
  Duration longest = std::chrono::seconds(40);  // of virtual time before it closes anyway
  // Faults without a lost disk come whether they can be borne or not.
  bool beyond_tolerance = false;
  // A cut between two members that both reach most others counts as a loss of both.
  bool partial_cuts_count = true;
  // Disks of the zone of a machine that is gone for good may be lost before its successor counts.
  bool disks_beside_replacement = false;
  bool zone_orders = true;    // operators start and end evacuations
  std::vector<Fault> faults;  // empty: all
  Duration least_pause = std::chrono::milliseconds(100),
           most_pause = std::chrono::milliseconds(1500);  // between faults
  std::function<void(ControlFleet&)> plant;               // a planted fault
  std::function<void(const std::string&)> trace;
  bool trace_messages = false;
  DiskKind disks = DiskKind::records;
};

struct PlayResult {
  std::vector<std::string> violations;
  std::size_t acknowledged = 0;
  // From a loss to the next acknowledged change, where no other fault came between.
  std::map<Fault, std::vector<Duration>> recoveries;
  std::map<Fault, std::size_t> faults;
  Duration last_recovery{};  // from the healing at the end
};

PlayResult play(const PlayOptions& options);

}  // namespace docklift::test
