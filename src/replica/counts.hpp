// Counts that survive the loss of their store, without I/O. Calls and answers between the decision module and the store pass through this class.
// Normally it only records what this incarnation has added to each count. Once the store has lost counts, the nodes end the epoch
// together; from then on the units added before it are put on top of each total, until one node per count, the restorer, has added
// them to the store again. See docs/design/replication.md for the rule and its bound.
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
  Instant settle{std::chrono::seconds(2)};   // limit for all nodes to end an epoch; after it windows stay closed, as without peers
  double tells_per_s = 200;                  // counts restored per second, by all nodes together in equal shares
  Instant restore_min_lifetime{std::chrono::milliseconds(300)};  // counts that expire sooner are left out
  Instant clocks{std::chrono::milliseconds(120)};      // largest difference between the clocks of two nodes
  Instant margin{std::chrono::milliseconds(300)};      // a count is kept so long after it expires
  std::size_t most_counts = 100'000;
  // With a disk: an add is recorded before the call (write-ahead), and the calls of a count whose answers are not known to be on the disk are
  // limited to most_undurable.
  bool ahead = false;
  std::uint64_t most_undurable = 10'000;  // thousandths; at least the largest call recorded on the disk
};

// What Counts needs to know about the fleet.
class FleetView {
 public:
  virtual ~FleetView() = default;
  // The latest incarnations of the other members that are alive, where known.
  virtual std::vector<Origin> alive() const = 0;
  // Whether a member is suspect, or has failed since `since` without leaving: what it added may not have been replicated.
  virtual bool lost_since(Instant since) const = 0;
  // Copies have been received from other nodes, or there are none.
  virtual bool caught_up() const = 0;
  // This incarnation has ended, as far as is known.
  virtual bool gone(const Origin&) const { return false; }
  // Upper bound, in thousandths, of what incarnations that failed may have added to one count beyond their replicated records: the sum over
  // those that were closed after `since`.
  virtual std::uint64_t raise(Instant) const { return 0; }
};

// Records this node's use of each count and corrects totals after the store has lost counts.
class Counts {
 public:
  struct Add {
    snowknot::CountName name{};
    double amount = 0;
    snowknot::Duration lifetime{};
    bool restores = false;  // adds lost units again, on behalf of all nodes
  };
  struct Out {
    std::vector<Add> adds{};                        // to the store
    std::vector<snowknot::CountAnswer> answers{};   // to the module
    std::optional<snowknot::CountsLost> lost{};     // to the module
    std::vector<std::string> log{};
    bool urgent = false;                           // records were written that other nodes wait for
    std::optional<std::uint64_t> largest{};         // thousandths of a call that was refused because it is larger than any recorded on the disk
    std::optional<Instant> longest{};               // a count has a longer lifetime than any before
  };
  struct Figures {
    std::uint64_t epoch = 0, losses = 0, settled = 0, fallen_back = 0, refused = 0, told = 0, mended = 0;
    std::size_t counts = 0;
    bool settling = false, held = false;
    std::int64_t last_settle_ms = 0;
    std::uint64_t undurable = 0;  // calls refused because too many units were not on the disk yet
  };

  Counts(Replica& records, FleetView& fleet, CountLimits limits) : records_(records), fleet_(fleet), limits_(limits) {}

  Out add(Instant now, snowknot::CountName name, double amount, snowknot::Duration lifetime);
  Out answered(Instant now, const snowknot::CountAnswer& answer);
  // The store has reported that it lost counts.
  Out lost(Instant now, const snowknot::CountsLost& lost);
  // An epoch record of another node was received.
  Out epoch_received(Instant now, std::uint64_t epoch);
  // A member that may have been a restorer failed or left: another node restores the counts that it had not
  // begun.
  void members_changed() { restoring_ = restoring_ || corrected_epoch_ != 0; }
  // The current epoch when this incarnation starts; it has added nothing before.
  void epoch_known(std::uint64_t epoch) { epoch_ = std::max(epoch_, epoch); }
  // After a loss of power adds are refused at once until it is known what was added before. `shut`: this will never be known completely, and
  // windows that began before that time stay closed.
  void hold() { held_ = true; }
  Out release(Instant now, std::optional<Instant> shut);
  // What the disk has: all writes up to the given value of `writes()`, and the largest call.
  std::uint64_t writes() const { return writes_; }
  void durable(std::uint64_t writes) { durable_ = std::max(durable_, writes); }
  // The disk accepts no writes any more: continues without it.
  void without_disk() { limits_.most_undurable = ~0ULL; }
  void largest_is(std::uint64_t thousandths) { largest_ = std::max(largest_, thousandths); }
  void longest_was(Instant lifetime) { longest_ = std::max(longest_, lifetime); }
  Instant longest() const { return longest_; }
  std::uint64_t most_undurable() const { return std::max(limits_.most_undurable, largest_); }
  Out tick(Instant now);
  Instant due() const;
  // Writes what this incarnation has added since the last call to its records.
  void write(Instant now);
  Figures figures() const;
  // Sums of the records of a count, in thousandths.
  struct Sums {
    std::int64_t before = 0;  // upper bound of what was added in earlier epochs
    std::int64_t since = 0;   // lower bound of what was added in the current epoch
    std::int64_t restored = 0;  // added again in the current epoch
    std::int64_t doubt = 0;   // possibly removed from it by calls in flight when the previous epoch ended
  };
  Sums sums(snowknot::CountName name) const;

 private:
  struct Call {
    double amount = 0;
    std::uint64_t epoch = 0;
    bool restores = false;
    std::int64_t restored = 0;  // known as restored when the call was sent, and so contained in its total
  };
  struct Ledger {
    Instant ends{}, began{};         // began: lower bound, as the lifetime starts at the first call
    std::vector<Use> uses{};         // by epoch
    std::deque<Call> out{};
    std::int64_t restored = 0;     // thousandths restored by this node in the current epoch
    bool dirty = false, restoring = false;  // restoring: this incarnation restores the count, and has begun
    std::deque<std::pair<std::uint64_t, std::uint64_t>> undurable{};  // with `ahead`: the write of the answer of a call, and its thousandths
  };

  Use& use_of(Ledger& b, std::uint64_t epoch);
  void begin_epoch(Instant now, std::uint64_t epoch, const char* why, Out& out);
  bool has_open_counts_of_earlier_epochs(Instant now) const;
  void check_settled(Instant now, Out& out);
  void restore_next(Instant now, Out& out);
  std::int64_t corrected_total(const Call& call, snowknot::CountName name, std::int64_t total) const;
  double remove_units(Ledger& b, double amount);
  bool has_calls_of_earlier_epoch() const;
  bool fits_undurable_limit(Ledger& b, std::uint64_t units);
  std::int64_t added_min_of_ended(snowknot::CountName name) const;
  void write_one(Instant now, snowknot::CountName name, Ledger& b);

  Replica& records_;
  FleetView& fleet_;
  CountLimits limits_;
  std::unordered_map<snowknot::CountName, Ledger> ledgers_;
  std::uint64_t epoch_ = 0;
  std::optional<Instant> settling_{};       // since when
  bool epoch_end_published_ = true, copies_complete_ = true;
  std::uint64_t corrected_epoch_ = 0;     // the epoch from which on totals are corrected; 0: none
  Instant longest_{};                     // longest lifetime of a count so far
  Instant overflowed_{Instant::min()};    // last time a count was not recorded because of most_counts
  Instant next_sweep_{}, next_restore_{};
  bool restoring_ = false, held_ = false;
  std::uint64_t writes_ = 0, durable_ = 0, largest_ = 0;
  Figures figures_;
};

}  // namespace docklift::replica
