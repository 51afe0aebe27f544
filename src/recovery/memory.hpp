// Maps the fleet's records to journal keys and values, and restores them after a loss of power, without I/O. See docs/design/recovery.md for which
// of the restored data is trusted.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "journal/format.hpp"
#include "replica/replica.hpp"

namespace docklift::recovery {

using Instant = replica::Instant;

// A journal key and its new value; none: the key is erased.
using Change = std::pair<std::string, std::optional<std::string>>;

// The changes of the records since the last call, in an order of which every prefix is consistent: an origin's number comes after the
// records up to it. Kinds that may be dropped are not written, except the states of nodes.
std::vector<Change> changes_of(replica::Replica& records);

// This node's own values: the number of a start, before it is used; the longest lifetime of a count; the largest amount of a call (thousandths).
Change start_of(std::uint64_t start);
Change longest_count(Instant lifetime);
Change largest_add(std::uint64_t thousandths);

// An earlier incarnation of this node.
struct PriorIncarnation {
  std::uint64_t life = 0, number = 0;  // the start's number, and that of its last known change
  bool left = false;                   // it has left the fleet in a planned way
};

// What was found on the disk.
struct RestoredState {
  std::uint64_t start = 0;               // the highest start number this name has used; 0: none known
  std::vector<replica::Page> pages{};    // copies of all incarnations
  std::vector<replica::Record> words{};  // from a damaged disk: drains, of any origin
  std::vector<PriorIncarnation> former{};          // earlier incarnations of this name
  std::uint64_t epoch = 0;
  Instant longest{};                     // lifetime of a count; 0: not known
  std::uint64_t largest = 0;             // largest amount of a call, thousandths
  bool damaged = false;                  // records in the middle are missing: copies of other origins are not considered complete
  bool empty() const { return start == 0 && pages.empty(); }
};

// Restores the state of node `name`. The journal has skipped records that are not this node's.
RestoredState restore_state(const journal::Recovered& found, const std::string& name);

}  // namespace docklift::recovery
