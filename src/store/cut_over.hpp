// Migrates the counts of a serving fleet from one store to another, without I/O. From the start until some time after
// the cut-over every amount is added to both stores; the old one's total is the answer before the cut-over, the new
// one's after it. So no window is split: at the cut-over the new store has everything added since the last node began
// to add to both. See docs/design/store.md for the bound.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "snowknot/gateway.hpp"

namespace docklift::store {

// Parses "2026-12-24T02:30:00Z", optionally with fractions of a second; accepts no other format.
std::optional<snowknot::Time> time_of(std::string_view text);

enum class Side { before, after };

// Decides which store gets an add and whose answer counts.
class CutOver {
 public:
  struct Add {
    Side side{};
    snowknot::CountName name{};
    double amount = 0;
    snowknot::Duration lifetime{};
  };
  struct Out {
    std::vector<Add> adds;
    std::vector<snowknot::CountAnswer> answers;
    std::optional<snowknot::CountsLost> lost;
  };

  // `overlap`: at least the longest window of a count.
  CutOver(snowknot::Time start, snowknot::Time cut_over, snowknot::Duration overlap)
      : start_(start), at_(cut_over), overlap_(overlap) {}

  Out add(snowknot::Time now, snowknot::CountName name, double amount, snowknot::Duration lifetime);
  // Each store answers the calls of one name in order.
  Out answered(snowknot::Time now, Side side, const snowknot::CountAnswer& answer);
  Out lost(snowknot::Time now, Side side, const snowknot::CountsLost& lost);

  bool decides_after(snowknot::Time now) const { return now >= at_; }
  bool both(snowknot::Time now) const { return now < at_ + overlap_; }

 private:
  struct Call {
    bool deciding = false;  // its answer is passed on
    double amount = 0;
  };
  // The calls of one name in flight to one store, and the amounts that this store has not got yet.
  struct Ledger {
    std::deque<Call> out;
    double missing = 0;
    bool uncertain = false;  // whether a call was added is not known
    snowknot::Time until{};
  };
  using Ledgers = std::unordered_map<snowknot::CountName, Ledger>;

  Ledgers& ledgers(Side side) { return side == Side::before ? before_ : after_; }
  void sweep(snowknot::Time now);
  void report_switch(snowknot::Time now, Out& out);

  snowknot::Time start_, at_;
  snowknot::Duration overlap_;
  Ledgers before_, after_;
  // In the new store, windows that began before this time lack amounts of this node.
  std::optional<snowknot::Time> incomplete_until_;
  snowknot::Time swept_{};
  bool switched_ = false;
};

}  // namespace docklift::store
