// Records of all nodes, replicated to every node, without I/O: Scuttlebutt reconciliation (van Renesse, Dumitriu, Gough, Thomas 2008). Each
// record has one writer, its origin, which numbers its changes; a node holds the newest change of each key and, for each origin, the number up
// to which it lacks nothing. What a peer lacks is sent from that state in pages, ordered by number, so no log has to be kept or truncated.
//
// Inputs are names of peers, messages and the time; outputs are messages to peers, changed records and conflicts.
// Times are nanoseconds of the fleet's clock.
#pragma once

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "members/planted.hpp"
#include "members/random.hpp"

namespace docklift::replica {

using Instant = std::chrono::nanoseconds;

// One incarnation (start) of a node.
struct Origin {
  std::string name{};
  std::uint64_t life = 0;
  auto operator<=>(const Origin&) const = default;
};

// In the order in which records are evicted when there are too many; those from server_status on never are. The values are sent to peers and
// written to disk.
enum class Kind : std::uint8_t {
  server_health = 1,
  node = 2,
  server_status = 3,
  use = 4,
  epoch = 5,
  epoch_ended = 6,
  restore_started = 7,
  restore_done = 8,
  incarnation_closed = 9,
  windows_closed = 10,
};
inline constexpr Kind kLastKind = Kind::windows_closed;
constexpr bool may_be_dropped(Kind k) { return k < Kind::server_status; }

struct Record {
  std::uint64_t number = 0;
  Kind kind = Kind::server_health;
  std::string key{}, value{};
  Instant ends{};  // expires then; 0: never
  bool same(const Record& r) const { return kind == r.kind && key == r.key && value == r.value && ends == r.ends; }
};

// All of an origin's records with numbers in (from, upto] that have not been replaced.
struct Page {
  Origin origin{};
  std::uint64_t from = 0, upto = 0;
  bool more = false;  // there are higher numbers, which the receiver should request
  std::vector<Record> records{};
  // The origin's last number when these pages were cut. A key that was changed again after `upto` has a number above it, and its former record no
  // longer exists: until `goal` is reached a copy may lack a key that the origin wrote long ago.
  std::uint64_t goal = 0;
};

// An origin and a number of its changes.
struct Entry {
  Origin origin{};
  std::uint64_t number = 0;
};

inline constexpr std::size_t kRanges = 16;

struct Message {
  enum class Kind : std::uint8_t { sums, vector, want, pages };
  Kind kind = Kind::sums;
  std::vector<std::uint64_t> sums{};  // digests of kRanges ranges of origins
  std::vector<Entry> entries{};       // vector: what the sender has; want: after which numbers it requests
  std::uint16_t ranges = 0;         // vector: ranges (bits) it lists completely; the sender lacks origins in them that it does not list
  std::uint32_t origins = 0;        // vector: how many origins the sender knows
  std::vector<Page> pages{};
};

struct Limits {
  Instant round{std::chrono::milliseconds(200)};   // interval at which new records are sent
  Instant repair{std::chrono::seconds(1)};         // interval at which digests are sent to one peer
  std::size_t fanout = 3;                          // peers that new records are sent to
  std::size_t page_bytes = 900;                    // of keys and values in a message
  std::size_t most_entries = 24;                   // in a message
  std::size_t pages_for_want = 8;                  // messages; the receiver then requests the rest
  std::size_t most_records = 200'000;              // of all origins; above that droppable ones are evicted
  std::size_t most_of_origin = 100'000;            // that can't be dropped; above that an origin is ignored
  std::size_t most_value = 512;                    // bytes of a value or a key
  double bytes_per_s = 4e6;                        // of pages sent
  Instant ask_again{std::chrono::milliseconds(300)};
  Instant keep_empty{std::chrono::minutes(10)};    // an origin of an earlier incarnation, without records
};

// Contradicting records, or records that this node did not write but that carry its origin. Operators see the
// text.
struct Conflict {
  Origin origin{};
  std::string what{};
};

struct Out {
  struct Send {
    std::string to{};
    Message message{};
  };
  std::vector<Send> sends{};
  std::vector<std::pair<Origin, Record>> changed{};  // of other origins
  std::vector<Conflict> conflicts{};                 // new ones
  void add(Out&& other);
};

// This node's copy of all records, and the protocol that reconciles it with the peers' copies.
class Replica {
 public:
  struct Figures {
    std::uint64_t pages_taken = 0, pages_late = 0, gaps = 0, dropped = 0, held_back = 0;
    std::size_t origins = 0, records = 0, conflicts = 0;
  };

  Replica(Origin self, Limits limits, std::uint64_t seed);

  // Writes a record of this node; one equal to the present record changes nothing.
  void put(Kind kind, const std::string& key, std::string value, Instant ends = {});
  // New records are sent at the next call of tick(), without waiting for the next round.
  void send_soon() { send_soon_ = true; }

  Instant due() const;
  // `peers`: names of the peers that may be sent to.
  Out tick(Instant now, const std::vector<std::string>& peers);
  // Sends this node's new records before it leaves, to twice as many peers as in a round, as a departed node
  // can't be asked.
  Out final_updates(Instant now, std::vector<std::string> peers);
  // All records, as pages from the first number on, for a successor process on this machine.
  std::vector<Message> all_pages() const;
  Out received(Instant now, const std::string& from, const Message& m);
  // Requests a peer's whole vector, at a start: an empty `want`.
  static Message ask() { return {.kind = Message::Kind::want}; }
  // Removes expired records, and earlier incarnations without records.
  void sweep(Instant now, const std::function<bool(const Origin&)>& is_alive);
#ifdef DOCKLIFT_PLANTS
  void lose(const std::string& name);  // drops the records of all incarnations of a node
#endif

  // For the journal: from now on each record that is written, received or removed is collected, and each origin whose number grows.
  void note_changes() { collects_changes_ = true; }
  struct Changes {
    std::set<std::pair<Origin, std::pair<Kind, std::string>>> records{};
    std::set<Origin> origins{};
  };
  Changes take_changes() { return std::exchange(changes_, {}); }
  bool changed() const { return !changes_.records.empty() || !changes_.origins.empty(); }

  const Origin& self() const { return self_; }
  std::uint64_t number() const { return origins_.at(self_).number; }  // of this node's last change
  std::uint64_t number_of(const Origin& o) const {  // up to which no current record is missing; 0: unknown origin
    const auto it = origins_.find(o);
    return it == origins_.end() ? 0 : it->second.number;
  }
  // complete_at: the last number at which the copy held everything its origin had written; goal_of: the next number at which it will.
  std::uint64_t complete_at(const Origin& o) const {
    const auto it = origins_.find(o);
    return it == origins_.end() ? 0 : o == self_ ? it->second.number : it->second.whole;
  }
  std::uint64_t goal_of(const Origin& o) const {
    const auto it = origins_.find(o);
    return it == origins_.end() ? 0 : std::max(it->second.goal, it->second.number);
  }
  // Calls `f` for the record of each origin under a key.
  void each(Kind kind, const std::string& key, const std::function<void(const Origin&, const Record&)>& f) const;
  // All keys of a kind under which any origin has a record.
  std::vector<std::string> keys(Kind kind) const;
  const Record* find(const Origin& origin, Kind kind, const std::string& key) const;
  std::map<Origin, std::uint64_t> vector() const;
  bool has(const Origin& origin) const { return origins_.contains(origin); }
  // Equal if copies are equal: covers the vector and all records that do not expire.
  std::uint64_t digest() const;
  const std::vector<Conflict>& conflicts() const { return conflicts_; }
  Figures figures() const;

 private:
  using Key = std::pair<Kind, std::string>;
  struct State {
    std::uint64_t number = 0;  // up to here no current record is missing
    std::uint64_t goal = 0, whole = 0;  // goal: of the state that the last pages were cut from; whole: the last number that reached its goal
    std::map<Key, Record> records{};
    std::map<std::uint64_t, Key> by_number{};
    Instant asked{}, last_page_at{};
    bool fenced = false, changed = false;
  };

  void store(const Origin& origin, State& s, Record r);
  void forget(const Origin& origin, State& s, const Key& key);
  void conflict(const Origin& origin, std::string what, Out& out);
  void apply_page(Instant now, const Page& page, Out& out, std::vector<Entry>& wants);
  void handle_own_origin(std::uint64_t upto, const Page* page, Out& out);
  // Appends records of an origin to a page for a peer that has it up to `from`. False if the message is full.
  bool append_page(const Origin& origin, std::uint64_t from, Message& m, std::size_t& bytes) const;
  void send_vector(const std::string& to, std::uint16_t ranges, Out& out);
  std::vector<Message> pages_above(const std::vector<Entry>& from, std::size_t most) const;
  bool consume_budget(Instant now, const Message& m);
  static std::size_t range_of(const Origin& o);
  std::vector<std::uint64_t> sums() const;
  void evict();

  Origin self_{};
  Limits limits_;
  Random random_;
  std::map<Origin, State> origins_{};
  std::map<Key, std::set<Origin>> origins_by_key_{};
  std::size_t records_ = 0;
  std::uint64_t pushed_ = 0;
  bool send_soon_ = false, collects_changes_ = false;
  Changes changes_{};
  Instant next_round_{}, next_repair_{}, budget_at_{};
  double budget_ = 0;
  std::vector<Conflict> conflicts_{};
  std::set<std::string> reported_{};
  mutable Figures figures_;
};

}  // namespace docklift::replica
