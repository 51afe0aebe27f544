// Counts that survive a loss of their store, without I/O. It stands between the module and the store: calls and answers pass through
// it. While all is well it only notes what this life has added to each count. Once the store is seen to have lost counts, the nodes end an
// epoch together; from then on each total is answered with what all had added before put on top, and one teller for each count
// adds it again. docs/design/replication.md has the rule and its bound.
//
// Times are nanoseconds of the fleet's clock, amounts units.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "replica/replica.hpp"
#include "replica/values.hpp"
#include "snowknot/gateway.hpp"

namespace docklift::replica {

struct CountLimits {
  Instant settle{std::chrono::seconds(2)};   // for all to have ended an epoch; then windows stay shut, as without peers
  double tells_per_s = 200;                  // of all nodes together: one's share is this by the number of nodes
  Instant tell_least{std::chrono::milliseconds(300)};  // a count that ends sooner is not told again
  Instant clocks{std::chrono::milliseconds(120)};      // by which those of two nodes may differ
  Instant margin{std::chrono::milliseconds(300)};      // a count is kept so long past its end
  std::size_t most_counts = 100'000;
  // With a disk: what is added is written down ahead of the call, and of calls of which the disk is not known to have the answer too a count has
  // so much at most.
  bool ahead = false;
  std::uint64_t most_undurable = 10'000;  // thousandths; as large as the largest call that is on the disk, where that is more
};

// What the guard asks of the fleet.
class FleetView {
 public:
  virtual ~FleetView() = default;
  // Names of the other members that are alive and whose latest life is known, with that life's origin.
  virtual std::vector<Origin> alive() const = 0;
  // Whether some member is in doubt, or was lost without a word since `since`: what it added may not have been told.
  virtual bool lost_since(Instant since) const = 0;
  // Copies have been taken from others, or there is nobody else.
  virtual bool caught_up() const = 0;
  // No member lives this life, as far as is known.
  virtual bool gone(const Origin&) const { return false; }
  // Thousandths that lives which ended without a last word may have added to one count beside what they told, all together that were closed
  // later than `since`.
  virtual std::uint64_t raise(Instant) const { return 0; }
};

class Counts {
 public:
  struct Add {
    snowknot::CountName name{};
    double amount = 0;
    snowknot::Duration lifetime{};
    bool restores = false;  // again, for all
  };
  struct Out {
    std::vector<Add> adds{};                        // to the store
    std::vector<snowknot::CountAnswer> answers{};   // to the module
    std::optional<snowknot::CountsLost> lost{};     // to the module
    std::vector<std::string> log{};
    bool urgent = false;                           // records that others wait for were written
    std::optional<std::uint64_t> largest{};         // thousandths of a call that is larger than any on the disk: not made
    std::optional<Instant> longest{};               // a count lives longer than any before
  };
  struct Figures {
    std::uint64_t epoch = 0, losses = 0, settled = 0, fallen_back = 0, refused = 0, told = 0, mended = 0;
    std::size_t counts = 0;
    bool settling = false, held = false;
    std::int64_t last_settle_ms = 0;
    std::uint64_t undurable = 0;  // calls that were not made as too much was not on the disk yet
  };

  Counts(Replica& records, FleetView& fellows, CountLimits limits) : records_(records), fellows_(fellows), limits_(limits) {}

  Out add(Instant now, snowknot::CountName name, double amount, snowknot::Duration lifetime);
  Out answered(Instant now, const snowknot::CountAnswer& answer);
  // The store says itself that it has lost counts.
  Out lost(Instant now, const snowknot::CountsLost& lost);
  // Another's record of an epoch has come.
  Out epoch_received(Instant now, std::uint64_t epoch);
  // The epoch in force when this life begins: nothing was added by it before.
  // Somebody has died or left who may have been a teller: what it has not begun is another's to tell.
  void members_changed() { telling_ = telling_ || mends_ != 0; }
  void epoch_known(std::uint64_t epoch) { epoch_ = std::max(epoch_, epoch); }
  // After a loss of power nothing is added, and that is said at once, until it is known what was added before; `shut`: not all of it ever
  // will be, and windows that had begun by then stay shut.
  void hold() { held_ = true; }
  Out release(Instant now, std::optional<Instant> shut);
  // What the disk has: all that was written until `writes()` was so much, and the largest call.
  std::uint64_t writes() const { return writes_; }
  void durable(std::uint64_t writes) { durable_ = std::max(durable_, writes); }
  // Nothing can be written down any more: it goes on without.
  void without_disk() { limits_.most_undurable = ~0ULL; }
  void largest_is(std::uint64_t thousandths) { largest_ = std::max(largest_, thousandths); }
  void longest_was(Instant lifetime) { longest_ = std::max(longest_, lifetime); }
  Instant longest() const { return longest_; }
  std::uint64_t most_undurable() const { return std::max(limits_.most_undurable, largest_); }
  Out tick(Instant now);
  Instant due() const;
  // What this life has added since the last call goes into its records.
  void write(Instant now);
  Figures figures() const;
  // What the records say of a count, in thousandths.
  struct Sums {
    std::int64_t before = 0;  // added by all before the epoch in force, at most
    std::int64_t since = 0;   // surely added in it
    std::int64_t told = 0;    // and told again in it
    std::int64_t doubt = 0;   // taken off it, maybe, by calls that were out when the epoch before ended
  };
  Sums sums(snowknot::CountName name) const;

 private:
  struct Call {
    double amount = 0;
    std::uint64_t epoch = 0;
    bool telling = false;
    std::int64_t told = 0;  // what was known as told again when it was sent: that is surely in its total
  };
  struct Book {
    Instant ends{}, began{};         // began: not before this, by the life that it has from its first call on
    std::vector<Use> uses{};         // by epoch
    std::deque<Call> out{};
    std::int64_t told = 0;         // thousandths, in the epoch in force
    bool dirty = false, said = false;  // said: this life is its teller, and has begun
    std::deque<std::pair<std::uint64_t, std::uint64_t>> undurable{};  // with `ahead`: the write of its answer, and thousandths of a call
  };

  Use& use_of(Book& b, std::uint64_t epoch);
  void begin_epoch(Instant now, std::uint64_t epoch, const char* why, Out& out);
  bool open_before_epoch(Instant now) const;
  void look_whether_settled(Instant now, Out& out);
  void tell_again(Instant now, Out& out);
  std::int64_t mend(const Call& call, snowknot::CountName name, std::int64_t total) const;
  double hand_back(Book& b, double amount);
  bool calls_of_former_epoch() const;
  bool has_room(Book& b, std::uint64_t units);
  std::int64_t least_of_the_gone(snowknot::CountName name) const;
  void write_one(Instant now, snowknot::CountName name, Book& b);

  Replica& records_;
  FleetView& fellows_;
  CountLimits limits_;
  std::unordered_map<snowknot::CountName, Book> books_;
  std::uint64_t epoch_ = 0;
  std::optional<Instant> settling_{};       // since when
  bool ended_said_ = true, copies_whole_ = true;
  std::uint64_t mends_ = 0;               // the epoch from which on totals are mended; 0: none
  Instant longest_{};                     // life of a count seen so far
  Instant overflowed_{Instant::min()};    // last time that a count had no room here
  Instant next_sweep_{}, next_tell_{};
  bool telling_ = false, held_ = false;
  std::uint64_t writes_ = 0, durable_ = 0, largest_ = 0;
  Figures figures_;
};

}  // namespace docklift::replica
