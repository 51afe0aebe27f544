// Moving the counts of a serving fleet from one store to another, without I/O. From the start until some time after the
// cut-over every amount is added to both stores; the old one's total is the answer before the cut-over, the new one's
// after it. So no window is counted in halves: at the cut-over the new store has all that was added since the last node
// began to add to both. Its bound is in docs/design/store.md.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "snowknot/gateway.hpp"

namespace docklift::store {

// "2026-12-24T02:30:00Z", with fractions of a second if need be; nothing else.
std::optional<snowknot::Time> time_of(std::string_view text);

enum class Side { before, after };

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

  // `overlap`: no window of a count is longer.
  CutOver(snowknot::Time start, snowknot::Time cut_over, snowknot::Duration overlap)
      : start_(start), at_(cut_over), overlap_(overlap) {}

  Out add(snowknot::Time now, snowknot::CountName name, double amount, snowknot::Duration lifetime);
  // Calls of one name are answered by each store in their order.
  Out answered(snowknot::Time now, Side side, const snowknot::CountAnswer& answer);
  Out lost(snowknot::Time now, Side side, const snowknot::CountsLost& lost);

  bool decides_after(snowknot::Time now) const { return now >= at_; }
  bool both(snowknot::Time now) const { return now < at_ + overlap_; }

 private:
  struct Call {
    bool deciding = false;  // its answer is the answer
    double amount = 0;
  };
  // One name's calls that are out at one side, and what that side still lacks of the amounts.
  struct Book {
    std::deque<Call> out;
    double lacks = 0;
    bool doubt = false;  // of one nobody knows whether it was added
    snowknot::Time until{};
  };
  using Books = std::unordered_map<snowknot::CountName, Book>;

  Books& books(Side side) { return side == Side::before ? before_ : after_; }
  void sweep(snowknot::Time now);
  void word_of_switch(snowknot::Time now, Out& out);

  snowknot::Time start_, at_;
  snowknot::Duration overlap_;
  Books before_, after_;
  std::optional<snowknot::Time> spoilt_;  // until when the new store's counts lack something of this node's
  snowknot::Time swept_{};
  bool switched_ = false;
};

}  // namespace docklift::store
