// Runs every order of a few events: a restorer of a lost count that fails at any moment, and a node's return among rumors of its earlier
// incarnation. (For orders of merging see records_test.)
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <vector>

#include "members/members.hpp"
#include "replica/counts.hpp"

namespace docklift {
namespace {

using namespace std::chrono_literals;
using replica::Counts;
using replica::Instant;
using replica::Kind;
using replica::Origin;
using replica::Replica;
using snowknot::CountAnswer;
using snowknot::CountName;
using snowknot::CountOutcome;

constexpr Instant kNow = 1000s;

// Calls `run` for every order of events 0 to n-1 that keeps the order within each chain. Returns the number
// of orders.
std::size_t each_order(std::size_t n, const std::vector<std::vector<std::size_t>>& chains, const std::function<void(const std::vector<std::size_t>&)>& run) {
  std::vector<std::size_t> before(n, n);  // the event that must come first; n: none
  for (const auto& c : chains)
    for (std::size_t i = 1; i < c.size(); ++i) before[c[i]] = c[i - 1];
  std::vector<bool> done(n);
  std::vector<std::size_t> order;
  std::size_t count = 0;
  const std::function<void()> go = [&] {
    if (order.size() == n) return ++count, run(order);
    for (std::size_t e = 0; e < n; ++e) {
      if (done[e] || (before[e] != n && !done[before[e]])) continue;
      done[e] = true, order.push_back(e);
      go();
      done[e] = false, order.pop_back();
    }
  };
  go();
  return count;
}

// ---- A restorer that fails --------------------------------------------------------------------------------------

const Origin kA{"a", 1}, kB{"b", 2};

// A count that `a` restores.
CountName restored_by_a() {
  for (std::uint64_t n = 1;; ++n)
    if (mixed(n, "a", 1) > mixed(n, "b", 1)) return CountName(n);
}

struct Side : replica::FleetView {
  Side(Origin self, Origin other) : records(self, {}, 1), others{std::move(other)} {}
  std::vector<Origin> alive() const override { return others; }
  bool lost_since(Instant) const override { return others.empty(); }
  bool caught_up() const override { return true; }
  Replica records;
  std::vector<Origin> others;
  Counts counts{records, *this, {}};
};

// Two nodes that have added 10 and 5 units to a count, which the store has then lost.
struct Loss {
  Loss() {
    for (auto* s : {&a, &b}) {
      const double amount = s == &a ? 10 : 5;
      s->counts.add(kNow, name, amount, 10s);
      store += amount;
      s->counts.answered(kNow, {name, CountOutcome::ok, store, {}});
      s->counts.write(kNow);
    }
    pages(a, b), pages(b, a);
    store = 0;
    a.counts.lost(kNow, {});
    b.counts.epoch_received(kNow, 1);
    pages(a, b), pages(b, a);
  }
  static void pages(const Side& from, Side& to) {
    for (const auto& m : from.records.all_pages()) to.records.received(kNow, from.records.self().name, m);
  }
  void carry_out(Side& s, const Counts::Out& out) {
    if (out.lost) shut = true;
    for (const auto& add : out.adds)
      if (add.restores) restores_in_flight[&s] = add.amount;
  }
  Side a{kA, kB}, b{kB, kA};
  CountName name = restored_by_a();
  double store = 0;
  std::map<Side*, double> restores_in_flight{};  // amounts in flight
  bool shut = false;                  // b's module was notified of the loss: it uses no totals
};

TEST(Orderings, RestorerFailingAtAnyMomentMakesNoTotalTooSmall) {
  enum Events : std::size_t { a_ticks, a_restore_applied, a_is_answered, a_pages_received, a_fails, b_adds, b_add_applied, b_is_answered, b_ticks, b_ticks_again, kEvents };
  std::size_t twice = 0, checked = 0;
  std::string wrong;
  const auto orders = each_order(kEvents, {{a_ticks, a_restore_applied, a_is_answered}, {b_adds, b_add_applied, b_is_answered}, {b_ticks, b_ticks_again}},
                                 [&](const std::vector<std::size_t>& order) {
    Loss l;
    bool a_alive = true, a_restored = false, out = false;
    std::size_t restores = 0;
    double total_of_b = -1, restored_of_a = 0;
    for (const auto e : order) {
      switch (e) {
        case a_ticks:
          if (a_alive) l.carry_out(l.a, l.a.counts.tick(kNow));
          break;
        case a_restore_applied:  // also if it has failed since
          if (l.restores_in_flight.contains(&l.a)) restored_of_a = l.restores_in_flight[&l.a], l.store += restored_of_a, a_restored = true, ++restores;
          break;
        case a_is_answered:
          if (a_alive && a_restored) l.a.counts.answered(kNow, {l.name, CountOutcome::ok, l.store, {}});
          break;
        case a_pages_received:
          if (a_alive) Loss::pages(l.a, l.b);
          break;
        case a_fails: a_alive = false, l.b.others.clear(), l.b.counts.members_changed(); break;
        case b_adds: out = !l.b.counts.add(kNow, l.name, 1, 10s).adds.empty(); break;
        case b_add_applied:
          if (out) l.store += 1, total_of_b = l.store;
          break;
        case b_is_answered: {
          if (!out) break;
          const auto answered = l.b.counts.answered(kNow, {l.name, CountOutcome::ok, total_of_b, {}});
          for (const auto& x : answered.answers) {
            if (x.outcome != CountOutcome::ok || l.shut) continue;
            ++checked;
            if (x.total < 16 - 0.01) wrong = "total " + std::to_string(x.total) + " of a count that has had 16";
            if (x.total > 16 + 15 + 0.01)
              wrong = "total " + std::to_string(x.total) + ", restored more than once";
          }
          break;
        }
        case b_ticks:
        case b_ticks_again: {
          const bool knew = l.b.records.find(kA, Kind::restore_started, replica::number_key(static_cast<std::uint64_t>(l.name))) != nullptr;
          l.carry_out(l.b, l.b.counts.tick(kNow + (e == b_ticks ? 1s : 2s)));
          if (const auto it = l.restores_in_flight.find(&l.b); it != l.restores_in_flight.end()) {
            if (knew) wrong = "restored again although a restorer had begun";
            if (out && total_of_b < 0) out = false;  // answers come in order: this one's is not simulated
            l.store += it->second, ++restores;
            l.restores_in_flight.erase(it);
          }
          break;
        }
        default: break;
      }
      if (!wrong.empty()) break;
    }
    twice += restores > 1 ? 1 : 0;
    if (!wrong.empty()) {
      std::string text = wrong + ":";
      for (const auto e : order) text += " " + std::to_string(e);
      FAIL() << text;
    }
  });
  if (HasFatalFailure()) return;
  EXPECT_EQ(orders, 50'400U);
  EXPECT_GT(checked, 1'000U);
  std::cout << orders << " orders, " << checked << " totals checked, restored by both in " << twice << '\n';
}

// ---- A node's return --------------------------------------------------------------------------------------------

TEST(Orderings, ReturningNodeIsAcceptedInEveryOrderOfRumors) {
  using members::Members;
  using members::State;
  const members::Incarnation earlier{"x", 10, 1, "X", ""}, next{"x", 11, 2, "X", ""}, sender{"t", 5, 9, "T", ""};
  const std::vector<members::MemberUpdate> updates{{earlier, 0, State::alive}, {earlier, 0, State::suspect}, {earlier, 1, State::alive}, {earlier, 1, State::dead},
                                             {earlier, 1, State::left},  {next, 0, State::alive},     {next, 0, State::suspect}, {next, 1, State::alive}};
  const auto orders = each_order(updates.size(), {}, [&](const std::vector<std::size_t>& order) {
    Members o({"o", 1, 3, "O", ""}, {}, 1);
    o.begin(kNow, {});
    bool returned = false;
    for (const auto e : order) {
      members::Message m;
      m.kind = members::Message::Kind::ack;
      m.from = {sender, 0, State::alive};
      m.updates = {updates[e]};
      o.received(kNow, m);
      const auto* x = o.find("x");
      returned = returned || (x && x->incarnation.number == next.number);
      ASSERT_TRUE(!returned || x->incarnation.number == next.number);
    }
    ASSERT_NE(o.find("x"), nullptr);
    ASSERT_EQ(o.find("x")->incarnation.number, next.number);
    ASSERT_EQ(o.find("x")->state, State::alive);
  });
  EXPECT_EQ(orders, 40'320U);
}

}  // namespace
}  // namespace docklift
