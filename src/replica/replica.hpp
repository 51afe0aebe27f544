// Records of all nodes, copied to all, without I/O: Scuttlebutt reconciliation (van Renesse, Dumitriu, Gough, Thomas 2008). Each record has
// one writer, its origin, which numbers its changes; a node holds the newest change of each key and, for each origin, the number up to which it
// lacks nothing. What a peer lacks is answered from that state in pages, in the order of numbers, so nobody is ever behind a log's end.
//
// Names of peers, messages and the time go in; messages to peers, changed records, conflicts and words for the log come out.
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

// One start of one node.
struct Origin {
  std::string name{};
  std::uint64_t life = 0;
  auto operator<=>(const Origin&) const = default;
};

// In the order in which they are given up where there are too many; from `word` on never.
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
  Instant ends{};  // forgotten then; 0: never
  bool same(const Record& r) const { return kind == r.kind && key == r.key && value == r.value && ends == r.ends; }
};

// All of an origin's records with numbers in (from, upto] that there still are.
struct Page {
  Origin origin{};
  std::uint64_t from = 0, upto = 0;
  bool more = false;  // there are some above, and the receiver is to ask for them
  std::vector<Record> records{};
  // The origin's last number when its state was as these pages have it. A key that was changed again since `upto` stands behind it, and its former
  // record is nowhere: before `goal` is reached a copy may lack what an origin had said long before.
  std::uint64_t goal = 0;
};

struct Entry {
  Origin origin{};
  std::uint64_t number = 0;
};

inline constexpr std::size_t kRanges = 16;

struct Message {
  enum class Kind : std::uint8_t { sums, vector, want, pages };
  Kind kind = Kind::sums;
  std::vector<std::uint64_t> sums{};  // of kRanges ranges of origins
  std::vector<Entry> entries{};       // vector: what the sender has; want: from where on it asks
  std::uint16_t ranges = 0;         // vector: which ranges it has whole (bits); origins there that it does not name it lacks
  std::uint32_t origins = 0;        // vector: how many origins the sender knows
  std::vector<Page> pages{};
};

struct Limits {
  Instant round{std::chrono::milliseconds(200)};   // fresh records go out so often
  Instant repair{std::chrono::seconds(1)};         // sums go to one peer so often
  std::size_t fanout = 3;                          // peers that fresh records go to
  std::size_t page_bytes = 900;                    // of keys and values in a message
  std::size_t most_entries = 24;                   // in a message
  std::size_t pages_for_want = 8;                  // messages; then the receiver asks again
  std::size_t most_records = 200'000;              // of all origins; past that the droppable ones go
  std::size_t most_of_origin = 100'000;            // that can't be dropped; past that an origin is not believed
  std::size_t most_value = 512;                    // bytes of a value or a key
  double bytes_per_s = 4e6;                        // of pages sent
  Instant ask_again{std::chrono::milliseconds(300)};
  Instant keep_empty{std::chrono::minutes(10)};    // an origin of a former life, without records
};

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
  std::vector<std::pair<Origin, Record>> changed{};  // of others
  std::vector<Conflict> conflicts{};                 // new ones
  void add(Out&& other);
};

class Replica {
 public:
  struct Figures {
    std::uint64_t pages_taken = 0, pages_late = 0, gaps = 0, dropped = 0, held_back = 0;
    std::size_t origins = 0, records = 0, conflicts = 0;
  };

  Replica(Origin self, Limits limits, std::uint64_t seed);

  // A record of one's own; one that says what is there already changes nothing.
  void put(Kind kind, const std::string& key, std::string value, Instant ends = {});
  // Fresh records go out at the next call of tick(), whatever the round.
  void send_soon() { send_soon_ = true; }

  Instant due() const;
  // `peers`: names of those that may be spoken to.
  Out tick(Instant now, const std::vector<std::string>& peers);
  // What is fresh of one's own, to twice as many peers as in a round: nobody asks a node that has left.
  Out final_updates(Instant now, std::vector<std::string> peers);
  // All copies, as pages from nothing on: for a successor on this machine.
  std::vector<Message> all_pages() const;
  Out received(Instant now, const std::string& from, const Message& m);
  // Asks a peer for its whole vector, at a start: a `want` of nothing.
  static Message ask() { return {.kind = Message::Kind::want}; }
  // Records past their end, and former lives with nothing left.
  void sweep(Instant now, const std::function<bool(const Origin&)>& lives);
#ifdef DOCKLIFT_PLANTS
  void lose(const std::string& name);  // all records of its lives
#endif

  // For a disk: from now on each record that is put, taken or forgotten is noted, and each origin whose number grows.
  void note_changes() { notes_ = true; }
  struct Changes {
    std::set<std::pair<Origin, std::pair<Kind, std::string>>> records{};
    std::set<Origin> origins{};
  };
  Changes take_changes() { return std::exchange(changes_, {}); }
  bool changed() const { return !changes_.records.empty() || !changes_.origins.empty(); }

  const Origin& self() const { return self_; }
  std::uint64_t number() const { return origins_.at(self_).number; }  // of one's own last change
  std::uint64_t number_of(const Origin& o) const {  // up to which no change is missing that stands; 0: it is not known
    const auto it = origins_.find(o);
    return it == origins_.end() ? 0 : it->second.number;
  }
  // At this number the copy had all that its origin had said until then; and the number at which it next will.
  std::uint64_t complete_at(const Origin& o) const {
    const auto it = origins_.find(o);
    return it == origins_.end() ? 0 : o == self_ ? it->second.number : it->second.whole;
  }
  std::uint64_t goal_of(const Origin& o) const {
    const auto it = origins_.find(o);
    return it == origins_.end() ? 0 : std::max(it->second.goal, it->second.number);
  }
  // What all origins say under a key.
  void each(Kind kind, const std::string& key, const std::function<void(const Origin&, const Record&)>& f) const;
  // All keys of a kind that anybody has a record under.
  std::vector<std::string> keys(Kind kind) const;
  const Record* find(const Origin& origin, Kind kind, const std::string& key) const;
  std::map<Origin, std::uint64_t> vector() const;
  bool has(const Origin& origin) const { return origins_.contains(origin); }
  // Equal where copies are equal: the vector, and all records that do not end.
  std::uint64_t digest() const;
  const std::vector<Conflict>& conflicts() const { return conflicts_; }
  Figures figures() const;

 private:
  using Key = std::pair<Kind, std::string>;
  struct State {
    std::uint64_t number = 0;  // up to here no change is missing that stands
    std::uint64_t goal = 0, whole = 0;  // of the state that the last pages were cut from; and the last number that reached it
    std::map<Key, Record> records{};
    std::map<std::uint64_t, Key> by_number{};
    Instant asked{}, quiet_since{};
    bool fenced = false, fresh = false;
  };

  void store(const Origin& origin, State& s, Record r);
  void forget(const Origin& origin, State& s, const Key& key);
  void conflict(const Origin& origin, std::string what, Out& out);
  void take(Instant now, const Page& page, Out& out, std::vector<Entry>& wants);
  void in_my_name(std::uint64_t upto, const Page* page, Out& out);
  // As pages for a peer that has the origin up to `from`.
  bool answer(const Origin& origin, std::uint64_t from, Message& m, std::size_t& bytes) const;
  void tell_vector(const std::string& to, std::uint16_t ranges, Out& out);
  std::vector<Message> pages_above(const std::vector<Entry>& from, std::size_t most) const;
  bool pay(Instant now, const Message& m);
  static std::size_t range_of(const Origin& o);
  std::vector<std::uint64_t> sums() const;
  void make_room();

  Origin self_{};
  Limits limits_;
  Random random_;
  std::map<Origin, State> origins_{};
  std::map<Key, std::set<Origin>> where_{};
  std::size_t records_ = 0;
  std::uint64_t pushed_ = 0;
  bool send_soon_ = false, notes_ = false;
  Changes changes_{};
  Instant next_round_{}, next_repair_{}, paid_{};
  double purse_ = 0;
  std::vector<Conflict> conflicts_{};
  std::set<std::string> named_{};
  mutable Figures figures_;
};

}  // namespace docklift::replica
