// What stores say to each other, and what one must have on disk. Pure values.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "system/configuration/configuration.hpp"

namespace docklift::agreement {

using configuration::State;

// Ordered by round; two proposers never share a ballot.
struct Ballot {
  std::uint64_t round = 0;
  std::string by;  // ip of the proposer
  auto operator<=>(const Ballot&) const = default;
};

using configuration::ChangeKind;

// What a place in the log of changes holds. `author` and `number` tell a proposer its own.
struct Change {
  ChangeKind kind = ChangeKind::nothing;
  std::string text, author;
  std::uint64_t number = 0;
  bool operator==(const Change&) const = default;
};

struct Accepted {
  Ballot ballot;
  Change change;
};

struct Ask {  // phase 1
  std::uint64_t slot = 0;
  Ballot ballot;
};
struct Promise {
  std::uint64_t slot = 0;
  Ballot ballot;    // that was asked with
  Ballot promised;  // granted if it is the one asked with
  std::optional<Accepted> accepted;
};
struct Offer {  // phase 2
  std::uint64_t slot = 0;
  Ballot ballot;
  Change change;
};
struct Vote {
  std::uint64_t slot = 0;
  Ballot ballot, promised;
};
struct Chosen {
  std::uint64_t slot = 0;
  Change change;
};
struct StatusAsk {
  std::uint64_t round = 0;
};
struct Status {
  std::uint64_t round = 0, chosen = 0;
  bool blank = false;  // its disk was lost and it has not caught up: it has no say
  Ballot promised;
  std::vector<std::pair<std::uint64_t, Accepted>> accepted;  // of places beyond `chosen`
};
struct Fetch {
  std::uint64_t after = 0;
};
struct Log {
  std::optional<State> snapshot;
  std::vector<Chosen> entries;
};

using Message = std::variant<Ask, Promise, Offer, Vote, Chosen, StatusAsk, Status, Fetch, Log>;

std::string encode(const Message& m);
std::optional<Message> decode(std::string_view bytes);  // none: not of ours

// What is on disk.
struct Kept {
  bool any = false;  // the disk holds a voter's memory
  State state;       // a snapshot, with `log` applied on top by who reads it
  Ballot promised;
  std::vector<std::pair<std::uint64_t, Accepted>> accepted;
  std::vector<Chosen> log;  // after state.position, in order
};

// Records to write together; `durable`: what follows waits until they are on the disk.
struct Write {
  std::optional<State> state;
  std::optional<Ballot> promised;
  std::vector<std::pair<std::uint64_t, Accepted>> accepted;
  std::vector<Chosen> log;
  std::uint64_t forget_accepted = 0, forget_log = 0;  // places up to here
  bool durable = false;
  bool empty() const {
    return !state && !promised && accepted.empty() && log.empty() && forget_accepted == 0 && forget_log == 0;
  }
};

std::string encode_state(const State& s);
std::optional<State> decode_state(std::string_view bytes);
std::string encode_accepted(const Accepted& a);
std::optional<Accepted> decode_accepted(std::string_view bytes);
std::string encode_ballot(const Ballot& b);
std::optional<Ballot> decode_ballot(std::string_view bytes);

}  // namespace docklift::agreement
