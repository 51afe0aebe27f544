// What a node writes down of the fleet's records, and what it makes of that after a loss of power, without I/O: journal keys and values on one side,
// records of lives on the other. docs/design/recovery.md has what is trusted.
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

// A key of the journal, and its new value; none: the key goes.
using Change = std::pair<std::string, std::optional<std::string>>;

// What has changed in the records since the last call, in an order in which each beginning of it can be believed: an origin's number comes
// behind the records up to it. What may be dropped anyway is not written down, but the states of nodes.
std::vector<Change> changes_of(replica::Replica& records);

// One's own: the number of a start, before it is used; the life of the longest-lived count; the largest amount of one call (thousandths).
Change start_of(std::uint64_t start);
Change longest_count(Instant lifetime);
Change largest_add(std::uint64_t thousandths);

struct PriorIncarnation {
  std::uint64_t life = 0, number = 0;  // of a start of this name, and of its last change that is known
  bool left = false;                   // it has said its last word
};

struct RestoredState {
  std::uint64_t start = 0;               // the highest that this name has used; 0: none is known
  std::vector<replica::Page> pages{};    // copies of all lives
  std::vector<replica::Record> words{};  // of a damaged disk: drains, whoever said so
  std::vector<PriorIncarnation> former{};          // lives of this name
  std::uint64_t epoch = 0;
  Instant longest{};                     // life of a count; 0: not known
  std::uint64_t largest = 0;             // amount of one call, thousandths
  bool damaged = false;                  // records in the middle are missing: copies of others are not believed to be whole
  bool empty() const { return start == 0 && pages.empty(); }
};

// Of the disk of `name`. The journal has passed over what is not its own.
RestoredState restore_state(const journal::Recovered& found, const std::string& name);

}  // namespace docklift::recovery
