// Units: the counts, the lease on them, and proxies that lease. A fleet of proxies and a holder in
// memory, under virtual time; what passes is judged as the operators judge quotas: any span, all proxies
// together.
#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include "system/counts/counts.hpp"
#include "system/decisions/units.hpp"
#include "system/lease/holder_lease.hpp"

namespace docklift::test {
namespace {

using namespace std::chrono_literals;
using decisions::Units;

constexpr counts::Judged kJudged{5, 0.1, 20};

BOOST_AUTO_TEST_SUITE(shares)

BOOST_AUTO_TEST_CASE(given_any_quota_when_every_window_is_spent_then_no_span_is_over) {
  for (const double per_s : {0.5, 3.0, 17.0, 43.0, 120.0, 2000.0})
    for (const double burst : {0.0, 0.3 * per_s, per_s, 4 * per_s}) {
      const auto w = counts::window_of({per_s, burst}, kJudged);
      // The worst span: the end of one window, all those between, the begin of another.
      const double touched = std::ceil(kJudged.span_s / seconds(w.length) - 1e-6) + 1;
      BOOST_TEST(touched * w.limit <= (per_s * 5 + burst) * 1.1 + 20, per_s << ' ' << burst);
      BOOST_TEST(w.limit / seconds(w.length) >= std::min(per_s, 1.0), per_s << ' ' << burst);
    }
}

BOOST_AUTO_TEST_CASE(given_a_window_when_more_is_added_than_its_limit_then_the_excess_is_not_granted) {
  counts::Counts c(kJudged);
  const Time now{1h};
  c.begin(now - 100s, true);
  const counts::Quota q{20, 20};
  const auto w = counts::window_of(q, kJudged);
  double granted = 0;
  for (int i = 0; i < 100; ++i) granted += c.add(now, "t", q, 0, 3).units;
  BOOST_TEST(granted == w.limit);
  BOOST_TEST(c.add(now, "t", q, 0, 1).remaining == 0u);
  // What was granted ahead is missing when that window is the present one.
  const auto ahead = c.add(now, "t", q, 1, 5);
  BOOST_TEST(ahead.units == 5u);
  const auto then = now + ahead.starts + 1ms;
  double more = 0;
  for (int i = 0; i < 100; ++i) more += c.add(then, "t", q, 0, 3).units;
  BOOST_TEST(more == w.limit - 5);
  c.hand_back(then, "t", q, ahead.window, 4);
  BOOST_TEST(c.add(then, "t", q, 0, 100).units == 4u);
}

BOOST_AUTO_TEST_CASE(given_a_new_holder_when_a_window_began_before_it_then_it_grants_nothing_of_it) {
  counts::Counts c(kJudged);
  const counts::Quota q{20, 20};
  const auto length = counts::window_of(q, kJudged).length;
  const Time began(length * 1000);
  c.begin(began + length / 2, false);
  BOOST_TEST(c.add(began + length / 2 + 1ms, "t", q, 0, 5).units == 0u);
  BOOST_TEST(c.add(began + length / 2 + 1ms, "t", q, 1, 5).units == 5u);
  BOOST_TEST(c.add(began + length + 1ms, "t", q, 0, 5).units == 5u);
  counts::Counts first(kJudged);  // nobody held them before: what is left of the window
  first.begin(began + length / 2, true);
  BOOST_TEST(first.add(began + length / 2 + 1ms, "t", q, 0, 1000).units ==
             std::floor(counts::window_of(q, kJudged).limit / 2));
}

// ---- the lease

struct LeaseFleet {
  explicit LeaseFleet(std::size_t n, std::uint64_t seed, bool remembers = true) : random(seed) {
    for (std::size_t i = 0; i < n; ++i) {
      ips.push_back(std::to_string(i));
      leases.push_back(
          std::make_unique<lease::HolderLease>(lease::Terms{}, ips.back(), ++lives, remembers, now));
    }
    cut.assign(n, false);
    voters.assign(n, {1, ips});
  }
  std::vector<std::size_t> holders() const {
    std::vector<std::size_t> h;
    for (std::size_t i = 0; i < leases.size(); ++i)
      if (leases[i] && leases[i]->holds(now)) h.push_back(i);
    return h;
  }
  bool reaches(std::size_t a, std::size_t b) const {
    return !cut[a] && !cut[b] && split.contains(a) == split.contains(b);
  }
  std::vector<std::string> linked(std::size_t i) const {
    std::vector<std::string> all;
    for (std::size_t j = 0; j < ips.size(); ++j) {
      const bool votes = std::ranges::find(voters[i].addresses, ips[j]) != voters[i].addresses.end();
      if (votes && (j == i || (leases[j] && reaches(i, j)))) all.push_back(ips[j]);
    }
    return all;
  }
  void tell(std::size_t from, const lease::Request& request) {
    for (std::size_t to = 0; to < leases.size(); ++to) {
      if (to == from) continue;
      wire.push_back({now + Duration(1ms) * static_cast<int>(random() % 60), [this, from, to, request] {
                        if (!leases[to] || !reaches(from, to)) return;
                        const auto reply = leases[to]->on_request(now, request);
                        wire.push_back(
                            {now + Duration(1ms) * static_cast<int>(random() % 60), [this, from, to, reply] {
                               if (leases[from] && reaches(from, to))
                                 leases[from]->on_reply(now, ips[to], reply);
                             }});
                      }});
    }
  }
  void tick(std::size_t i) {
    leases[i]->observe_voters(now, voters[i], confirmed(i));
    if (const auto request = leases[i]->tick(now, wall, linked(i))) tell(i, *request);
  }
  void run(Duration d) {
    const Time until = now + d;
    for (; now < until; now += 5ms) {
      for (std::size_t i = 0; i < wire.size();) {
        if (wire[i].first > now) {
          ++i;
          continue;
        }
        const auto what = std::move(wire[i].second);
        wire.erase(wire.begin() + static_cast<std::ptrdiff_t>(i));
        what();
      }
      if (now.time_since_epoch() % 100ms == Duration{})
        for (std::size_t i = 0; i < leases.size(); ++i)
          if (leases[i]) tick(i);
      most_holders = std::max(most_holders, holders().size());
      for (const auto h : holders()) highest = std::max(highest, leases[h]->held_term());
    }
  }
  std::mt19937_64 random;
  Time now{1h};
  std::vector<std::string> ips;
  std::vector<std::unique_ptr<lease::HolderLease>> leases;
  std::vector<bool> cut;
  std::vector<lease::Voters> voters;  // as each knows them
  std::set<std::size_t> split;        // these reach each other alone
  std::function<Time(std::size_t)> confirmed = [this](std::size_t) { return now - 400ms; };
  std::deque<std::pair<Time, std::function<void()>>> wire;
  std::size_t most_holders = 0;
  std::uint64_t highest = 0, lives = 0, wall = 1000;
};

BOOST_AUTO_TEST_CASE(
    given_three_registries_that_start_at_once_when_they_claim_then_one_holds_within_a_second) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    LeaseFleet f(3, seed);
    f.run(1s);
    BOOST_TEST(f.holders().size() == 1u, "seed " << seed);
    f.run(5s);
    BOOST_TEST(f.holders().size() == 1u, "seed " << seed);
    BOOST_TEST(f.most_holders == 1u, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(given_a_holder_when_it_is_cut_off_then_another_holds_and_never_two) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    LeaseFleet f(3, seed);
    f.run(2s);
    const auto first = f.holders().at(0);
    const auto term = f.leases[first]->held_term();
    f.cut[first] = true;
    f.run(2500ms);
    BOOST_REQUIRE_MESSAGE(f.holders().size() == 1, "seed " << seed);
    BOOST_TEST(f.holders()[0] != first);
    BOOST_TEST(f.leases[f.holders()[0]]->held_term() > term);
    // What the one that is cut off claims for itself is no lease: nobody is told of it.
    BOOST_TEST(f.leases[first]->holder() == f.ips[first]);
    BOOST_TEST(f.leases[first]->term() == term);
    f.cut[first] = false;
    f.run(4s);
    BOOST_TEST(f.holders().size() == 1u, "seed " << seed);
    BOOST_TEST(f.most_holders == 1u, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(
    given_a_holder_that_ends_in_order_when_it_names_a_successor_then_that_one_holds_at_once) {
  LeaseFleet f(3, 11);
  f.run(2s);
  const auto first = f.holders().at(0), next = (first + 1) % 3;
  f.tell(first, *f.leases[first]->release(f.now, f.ips[next]));
  f.run(400ms);
  BOOST_REQUIRE(f.holders().size() == 1);
  BOOST_TEST(f.holders()[0] == next);
  BOOST_TEST(f.most_holders == 1u);
}

BOOST_AUTO_TEST_CASE(
    given_registries_that_all_restart_when_a_proxy_knows_an_older_term_then_the_next_one_is_higher) {
  LeaseFleet f(3, 12, false);
  f.leases[0]->observe_term(4100), f.leases[1]->observe_term(4100), f.leases[2]->observe_term(4100);
  f.run(4s);
  BOOST_REQUIRE(f.holders().size() == 1);
  BOOST_TEST(f.leases[f.holders()[0]]->held_term() > 4100u);
  BOOST_TEST(!f.leases[f.holders()[0]]->held_first());
  f.leases[f.holders()[0]]->observe_term(9000);
  f.run(4s);
  BOOST_REQUIRE(f.holders().size() == 1);
  BOOST_TEST(f.leases[f.holders()[0]]->held_term() > 9000u);
  BOOST_TEST(f.most_holders == 1u);
}

BOOST_AUTO_TEST_CASE(
    given_registries_that_all_restart_when_all_answer_then_one_holds_before_a_lease_is_over) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    LeaseFleet f(3, seed, false);
    f.run(900ms);
    BOOST_REQUIRE_MESSAGE(f.holders().size() == 1, "seed " << seed);
    const auto term = f.leases[f.holders()[0]]->held_term();
    f.run(4s);
    BOOST_REQUIRE_MESSAGE(f.holders().size() == 1, "seed " << seed);
    BOOST_TEST(f.leases[f.holders()[0]]->held_term() == term,
               "seed " << seed);  // it renews while they are silent
    BOOST_TEST(f.most_holders == 1u, "seed " << seed);
    BOOST_TEST(f.leases[f.holders()[0]]->held_first());
  }
}

BOOST_AUTO_TEST_CASE(given_everything_restarted_twice_when_the_lease_is_claimed_then_the_terms_differ) {
  std::set<std::uint64_t> terms;
  for (int start = 0; start < 3; ++start) {
    LeaseFleet f(3, 5, false);
    f.wall = 1000 + static_cast<std::uint64_t>(start) * 700;
    f.run(1s);
    BOOST_REQUIRE(f.holders().size() == 1);
    terms.insert(f.leases[f.holders()[0]]->held_term());
  }
  BOOST_TEST(terms.size() == 3u);
}

BOOST_AUTO_TEST_CASE(given_a_holder_that_lives_when_the_others_restart_then_no_other_holds_beside_it) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    LeaseFleet f(3, seed);
    f.run(2s);
    const auto first = f.holders().at(0);
    f.cut[first] = true;
    for (std::size_t i = 0; i < 3; ++i)
      if (i != first)
        f.leases[i] = std::make_unique<lease::HolderLease>(lease::Terms{}, f.ips[i], ++f.lives, false, f.now);
    f.run(4s);
    BOOST_TEST(f.most_holders == 1u, "seed " << seed);
    BOOST_TEST(f.holders().size() == 1u, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(
    given_a_holder_that_restarts_within_its_lease_when_it_claims_then_its_term_is_a_new_one) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    LeaseFleet f(3, seed);
    f.run(2s);
    const auto first = f.holders().at(0);
    const auto term = f.leases[first]->held_term();
    f.leases[first].reset();
    f.run(300ms);
    f.leases[first] = std::make_unique<lease::HolderLease>(lease::Terms{}, f.ips[first], ++f.lives, false,
                                                           f.now);
    f.run(3s);
    BOOST_REQUIRE_MESSAGE(f.holders().size() == 1, "seed " << seed);
    BOOST_TEST(f.leases[f.holders()[0]]->held_term() > term, "seed " << seed);
    BOOST_TEST(f.most_holders == 1u);
  }
}

BOOST_AUTO_TEST_CASE(given_registries_that_all_restart_when_they_have_just_met_then_they_hear_members_first) {
  LeaseFleet f(3, 6, false);
  f.run(250ms);
  BOOST_TEST(f.holders().empty());  // proxies come back now, and tell of the term before
  for (auto& d : f.leases) d->observe_term(4100);
  f.run(900ms);
  BOOST_REQUIRE(f.holders().size() == 1);
  BOOST_TEST(!f.leases[f.holders()[0]]->held_first());
}

BOOST_AUTO_TEST_CASE(
    given_a_voter_without_memory_when_it_has_just_started_then_it_grants_nothing_for_a_lease) {
  lease::HolderLease d({}, "a", 1, false, Time{1h});
  d.observe_voters(Time{1h}, {0, {"a", "b", "c"}}, Time{1h});
  const auto b = d.on_request(Time{1h} + 1s, {1, "b", "", false, false, 1});
  BOOST_TEST((!b.granted && b.blank));
  const auto c = d.on_request(Time{1h} + 1100ms, {2, "c", "", false, false, 1});
  BOOST_TEST((!c.granted && !c.blank));  // it is promised to one at a time
  BOOST_TEST(d.on_request(Time{1h} + 1300ms, {3, "b", "", false, false, 1}).granted);
}

// Grants of one voter, by hand.
struct Claimant {
  Claimant(Time now, std::vector<std::string> addresses) : lease(lease::Terms{}, "a", 1, true, now) {
    lease.observe_voters(now, {1, std::move(addresses)}, now);
  }
  lease::Request claim(Time now, const std::vector<std::string>& linked) {
    const auto request = lease.tick(now, 1000, linked);
    BOOST_REQUIRE(request.has_value());
    return *request;
  }
  static lease::Reply granted(const lease::Request& request) {
    return {request.term, true, false, request.holder, request.membership, request.round};
  }
  lease::HolderLease lease;
};

BOOST_AUTO_TEST_CASE(given_a_registry_without_a_vote_when_it_grants_then_that_counts_for_nothing) {
  const Time now{1h};
  Claimant a(now, {"a", "b", "c"});
  const auto request = a.claim(now, {"a", "b"});
  a.lease.on_reply(now + 10ms, "learner", Claimant::granted(request));
  BOOST_TEST(!a.lease.holds(now + 10ms));
  a.lease.on_reply(now + 20ms, "b", Claimant::granted(request));
  BOOST_TEST(a.lease.holds(now + 20ms));
}

BOOST_AUTO_TEST_CASE(given_a_reply_that_was_late_when_a_newer_round_is_out_then_it_counts_from_its_own) {
  const Time now{1h};
  const lease::Terms terms;
  Claimant a(now, {"a", "b", "c"});
  const auto first = a.claim(now, {"a", "b", "c"});
  a.lease.on_reply(now + 10ms, "b", Claimant::granted(first));
  const auto second = a.claim(now + terms.renew, {"a", "b", "c"});
  const auto third = a.claim(now + 2 * terms.renew, {"a", "b", "c"});  // lost, as those after it
  BOOST_TEST(third.term == first.term);
  a.lease.on_reply(now + 3 * terms.renew, "c", Claimant::granted(second));
  const Time until = now + terms.renew + terms.lease - terms.margin;
  BOOST_TEST(a.lease.holds(until - 1ms));
  BOOST_TEST(!a.lease.holds(until));  // when c's promise ends
}

BOOST_AUTO_TEST_CASE(given_a_holder_that_released_when_a_late_grant_comes_then_it_holds_no_more) {
  const Time now{1h};
  Claimant a(now, {"a", "b", "c"});
  const auto request = a.claim(now, {"a", "b", "c"});
  a.lease.on_reply(now + 10ms, "b", Claimant::granted(request));
  BOOST_TEST(a.lease.release(now + 20ms, "b").has_value());
  a.lease.on_reply(now + 30ms, "c", Claimant::granted(request));
  BOOST_TEST(!a.lease.holds(now + 30ms));
}

BOOST_AUTO_TEST_CASE(given_voters_that_change_one_after_another_when_a_holder_is_among_them_then_it_goes_on) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    LeaseFleet f(4, seed);
    const auto set = [&](std::uint64_t number, std::initializer_list<int> machines) {
      lease::Voters v{number, {}};
      for (const int m : machines) v.addresses.push_back(f.ips[static_cast<std::size_t>(m)]);
      return v;
    };
    f.voters.assign(4, set(1, {0, 1, 2}));
    f.run(2s);
    const auto first = f.holders().at(0);
    const auto term = f.leases[first]->held_term();
    const int gone = first == 2 ? 1 : 2;
    for (std::size_t i = 0; i < 4; ++i) {  // they learn of it at different times
      f.voters[i] = gone == 2 ? set(2, {0, 1, 3}) : set(2, {0, 2, 3});
      f.run(Duration(1ms) * static_cast<int>(f.random() % 200));
    }
    f.run(5s);
    BOOST_REQUIRE_MESSAGE(f.holders().size() == 1, "seed " << seed);
    BOOST_TEST(f.leases[first]->held_term() == term, "seed " << seed);
    BOOST_TEST(f.most_holders == 1u, "seed " << seed);
    f.cut[first] = true;
    f.run(6s);
    BOOST_TEST(f.holders().size() == 1u, "seed " << seed);
    BOOST_TEST(f.most_holders == 1u, "seed " << seed);
  }
}

// All but one voter are others now; the holder and a voter of the former set, cut off, don't know it.
BOOST_AUTO_TEST_CASE(
    given_a_set_of_others_when_the_former_holder_is_cut_off_with_its_majority_then_never_two_hold) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    LeaseFleet f(5, seed);
    f.voters.assign(5, {1, {f.ips[0], f.ips[1], f.ips[2]}});
    f.run(2s);
    const auto first = f.holders().at(0);
    BOOST_REQUIRE(first < 3);
    const auto beside = (first + 1) % 3, other = (first + 2) % 3;
    f.split = {first, beside};  // they reach each other, and no others
    const Time agreed = f.now;
    f.confirmed = [&](std::size_t i) { return f.split.contains(i) ? agreed : f.now - 400ms; };
    for (const auto i : {other, std::size_t{3}, std::size_t{4}})
      f.voters[i] = {2, {f.ips[other], f.ips[3], f.ips[4]}};
    f.run(8s);
    BOOST_TEST(f.most_holders == 1u, "seed " << seed);
    BOOST_REQUIRE_MESSAGE(f.holders().size() == 1, "seed " << seed);
    BOOST_TEST(!f.split.contains(f.holders()[0]), "seed " << seed);
  }
}

// ---- proxies that lease

struct UnitsFleet {
  UnitsFleet(std::size_t n, counts::Quota q, std::uint64_t seed) : quota(q), random(seed) {
    holder.begin(now - 100s, true);
    for (std::size_t i = 0; i < n; ++i) {
      proxies.emplace_back(kJudged, seed * 100 + i);
      proxies.back().set_proxies(n);
      proxies.back().set_quota("t", q);
      proxies.back().set_holder(true);
    }
  }
  void settle(std::size_t i) {
    auto& p = proxies[i];
    const auto orders = p.orders(now);
    for (const auto id : p.passed()) pass(id);
    for (const auto& t : p.turned(now)) refused += waiting.erase(t.request);
    if (orders.empty() || !reachable) return;
    ++calls;
    const Duration way = i < near ? Duration(500us) : trip / 2;
    wire.push(
        {now + way, order++, [this, i, orders, way, sent = now, its_term = term] {
           if (its_term != term || !reachable) return;
           std::vector<decisions::UnitGrant> grants;
           for (const auto& a : orders) {
             if (a.returned_window >= 0) {
               holder.hand_back(now, a.tenant, quota, a.returned_window, a.units);
               continue;
             }
             const auto g = holder.add(now, a.tenant, quota, a.ahead, a.units, std::to_string(i), a.demand);
             grants.push_back({a.tenant, g.window, g.units, g.remaining, g.starts, g.ends, g.exhausted_for});
           }
           wire.push({now + way + stalled, order++, [this, i, grants, sent, its_term] {
                        if (its_term != term) return;
                        proxies[i].granted(now, {its_term, sent, grants});
                        settle(i);
                      }});
         }});
  }
  void pass(std::uint64_t id) {
    ++passed;
    if (const auto it = waiting.find(id); it != waiting.end()) {
      ++passed_at[it->second];
      waiting.erase(it);
    }
    times.push_back(now);
    while (times.front() < now - 5s) times.pop_front();
    worst = std::max(worst, times.size());
  }
  // Each proxy gets `per_s` / n requests a second at chance times.
  void run(Duration d, double per_s) {
    const Time until = now + d;
    std::exponential_distribution<double> gap(per_s);
    Time next = now + from_seconds(gap(random));
    Time tick = now;
    while (now < until) {
      Time at = std::min({next, tick, until});
      if (!wire.empty()) at = std::min(at, wire.top().at);
      now = at;
      if (!wire.empty() && wire.top().at <= now) {
        const auto what = wire.top().what;
        wire.pop();
        what();
      } else if (next <= now) {
        next = now + from_seconds(gap(random));
        const auto i = random() % proxies.size();
        const auto id = ++ids;
        Duration retry{};
        bool lost = false;
        ++asked;
        switch (proxies[i].take(now, "t", id, 200ms, retry, lost)) {
          case Units::Take::passed: ++at_once, ++passed_at[i], pass(id); break;
          case Units::Take::waits: waiting.insert({id, i}); break;
          case Units::Take::refused: ++refused; break;
        }
        settle(i);
      } else {
        tick = now + 20ms;
        for (std::size_t i = 0; i < proxies.size(); ++i) settle(i);
      }
    }
  }
  void change_holder(Duration gone) {
    reachable = false, ++term;
    for (auto& p : proxies) p.set_holder(false);
    run(gone, rate);
    reachable = true;
    holder.begin(now, false);
    for (auto& p : proxies) p.new_holder(now, term), p.set_holder(true);
  }

  struct Event {
    Time at{};
    std::uint64_t order = 0;
    std::function<void()> what;
    bool operator<(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  counts::Quota quota;
  std::mt19937_64 random;
  counts::Counts holder{kJudged};
  Time now{1h};
  Duration trip = 4ms;
  double rate = 0;
  std::deque<Units> proxies;
  std::priority_queue<Event> wire;
  std::map<std::uint64_t, std::size_t> waiting;
  std::deque<Time> times;
  std::uint64_t order = 0, ids = 0, term = 1, asked = 0, passed = 0, at_once = 0, refused = 0, calls = 0;
  std::size_t worst = 0;  // passed in any 5 s
  bool reachable = true;
  Duration stalled{};    // by which answers are late on their way back, or in a proxy that stands still
  std::size_t near = 0;  // the first proxies, that stand beside the holder
  std::map<std::size_t, std::uint64_t> passed_at;
};

BOOST_AUTO_TEST_CASE(
    given_a_tenant_inside_its_quota_when_it_comes_through_many_proxies_then_nearly_all_pass_at_once) {
  for (const auto& [n, per_s] : {std::pair<std::size_t, double>{8, 100}, {11, 17}, {8, 43}}) {
    UnitsFleet f(n, {per_s, per_s}, n);
    f.run(5s, per_s / 1.6);
    f.asked = f.passed = f.at_once = f.refused = f.calls = 0;
    f.trip = 110ms;
    f.run(60s, per_s / 1.6);
    BOOST_TEST(static_cast<double>(f.refused) < 0.02 * static_cast<double>(f.asked),
               n << " proxies, " << f.refused << " of " << f.asked);
    BOOST_TEST(static_cast<double>(f.at_once) > 0.6 * static_cast<double>(f.asked),
               n << " proxies, " << f.at_once << " of " << f.asked);
  }
}

BOOST_AUTO_TEST_CASE(
    given_a_tenant_far_over_its_quota_when_it_floods_then_no_span_is_over_and_most_of_it_is_used) {
  for (const double per_s : {10.0, 43.0, 200.0}) {
    UnitsFleet f(8, {per_s, per_s}, 5);
    f.run(30s, per_s * 8);
    BOOST_TEST(static_cast<double>(f.worst) <= (per_s * 5 + per_s) * 1.1 + 20, per_s);
    BOOST_TEST(static_cast<double>(f.passed) >= 0.93 * per_s * 30, per_s << ": " << f.passed);
  }
}

BOOST_AUTO_TEST_CASE(given_a_flood_at_proxies_near_and_far_when_units_are_short_then_each_has_its_part) {
  UnitsFleet f(8, {80, 80}, 3);
  f.near = 3, f.trip = 110ms;
  f.run(6s, 80 * 6);
  f.passed_at.clear(), f.passed = 0;
  f.run(30s, 80 * 6);
  std::uint64_t near = 0, far = 0;
  for (const auto& [i, n] : f.passed_at) (i < 3 ? near : far) += n;
  const double ratio = (static_cast<double>(far) / 5) / (static_cast<double>(near) / 3);
  BOOST_TEST(ratio > 0.7, "a far proxy passes " << ratio << " of what a near one does");
  BOOST_TEST(static_cast<double>(f.passed) >= 0.93 * 80 * 30);
  BOOST_TEST(static_cast<double>(f.worst) <= (80 * 5 + 80) * 1.1 + 20);
}

BOOST_AUTO_TEST_CASE(
    given_a_holder_that_is_lost_when_another_takes_over_then_leases_bridge_it_and_no_span_is_over) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    UnitsFleet f(8, {60, 60}, seed);
    f.rate = 60 / 1.6;
    f.run(8s, f.rate);
    f.refused = f.asked = 0;
    f.change_holder(1500ms);
    BOOST_TEST(static_cast<double>(f.refused) < 0.45 * static_cast<double>(f.asked),
               "seed " << seed << ": " << f.refused << " of " << f.asked);
    f.run(3s, 60 * 8);
    f.rate = 60 * 8;
    f.change_holder(1500ms);
    f.run(5s, f.rate);
    BOOST_TEST(static_cast<double>(f.worst) <= (60 * 5 + 60) * 1.1 + 20, "seed " << seed << ": " << f.worst);
  }
}

BOOST_AUTO_TEST_CASE(given_units_that_lie_unused_when_little_is_left_at_the_holder_then_they_go_back) {
  for (const std::uint32_t left : {0u, 100u}) {
    Units u(kJudged, 1);
    const counts::Quota q{50, 50};
    const auto length = counts::window_of(q, kJudged).length;
    u.set_quota("t", q);
    Time now{1h};
    u.set_holder(true);
    u.granted(now, {1, now, {{"t", 7, 20, left, Duration{}, length, left == 0 ? length : Duration{}}}});
    u.orders(now + length / 4);
    std::uint32_t back = 0;
    for (const auto& a : u.orders(now + length * 2 / 3)) back += a.returned_window == 7 ? a.units : 0;
    BOOST_TEST(back == (left == 0 ? 20u : 0u));
  }
}

// The first words of a new holder tell where windows lie; when they are late, and later ones are not, units of
// the windows that were seen late are spent beside those of the next ones.
BOOST_AUTO_TEST_CASE(given_answers_that_stall_on_their_way_when_a_tenant_floods_then_no_span_is_over) {
  for (const Duration stalled : {Duration(350ms), Duration(900ms), Duration(2700ms)}) {
    UnitsFleet f(8, {43, 43}, 9);
    f.rate = 43 * 8;
    f.run(5s, f.rate);
    for (int i = 0; i < 6; ++i) {
      f.stalled = stalled;
      f.change_holder(1500ms);
      f.run(3s, f.rate);
      f.stalled = {};
      f.run(5s, f.rate);
    }
    BOOST_TEST(static_cast<double>(f.worst) <= (43 * 5 + 43) * 1.1 + 20, millis(stalled)
                                                                             << " ms: " << f.worst);
  }
}

// One tenant's units at one proxy, with a request that waits and a call that is out.
struct WaitingRequest {
  WaitingRequest() : units(kJudged, 1), length(counts::window_of({50, 50}, kJudged).length) {
    units.set_quota("t", {50, 50});
    units.set_holder(true);
    Duration retry{};
    bool lost = false;
    units.take(sent, "t", 1, 3s, retry, lost);
    units.orders(sent);
  }
  void answer(Time now, std::uint64_t term, Time call_sent) {
    units.granted(now, {term, call_sent, {{"t", 7, 5, 100, Duration{}, length, Duration{}}}});
  }
  Units units;
  Duration length;
  Time sent{1h};
};

BOOST_AUTO_TEST_CASE(given_an_answer_after_the_bound_when_it_comes_then_it_brings_nothing_and_is_asked_anew) {
  WaitingRequest late, in_time;
  in_time.answer(in_time.sent + counts::kLatestGrant, 1, in_time.sent);
  BOOST_TEST(in_time.units.passed().size() == 1u);
  const Time now = late.sent + counts::kLatestGrant + 1ms;
  late.answer(now, 1, late.sent);
  BOOST_TEST(late.units.passed().empty());
  BOOST_TEST(late.units.orders(now).size() == 1u);
  late.answer(now + 5ms, 1, now);
  BOOST_TEST(late.units.passed().size() == 1u);
}

BOOST_AUTO_TEST_CASE(given_a_new_holder_when_the_former_one_still_answers_then_it_changes_nothing) {
  WaitingRequest w;
  w.units.new_holder(w.sent, 9);
  w.answer(w.sent + 5ms, 8, w.sent);
  BOOST_TEST(w.units.passed().empty());
  w.answer(w.sent + 6ms, 9, w.sent);
  BOOST_TEST(w.units.passed().size() == 1u);
}

BOOST_AUTO_TEST_CASE(given_a_proxy_that_stood_still_when_it_goes_on_then_units_of_past_windows_are_gone) {
  WaitingRequest w;
  w.answer(w.sent + 5ms, 1, w.sent);
  w.units.passed();
  const Time thawed = w.sent + 3 * w.length;
  Duration retry{};
  bool lost = false;
  BOOST_TEST((w.units.take(thawed, "t", 2, 200ms, retry, lost) == Units::Take::waits));
  w.units.give_back(thawed, "t", w.sent + 5ms);  // taken of a window that is over
  w.units.orders(thawed);
  BOOST_TEST(w.units.passed().empty());
}

BOOST_AUTO_TEST_CASE(given_no_holder_when_a_request_needs_a_unit_then_it_is_refused_at_once) {
  Units u(kJudged, 1);
  u.set_quota("t", {10, 10});
  Duration retry{};
  bool lost = false;
  BOOST_TEST((u.take(Time{1h}, "t", 1, 200ms, retry, lost) == Units::Take::refused));
  BOOST_TEST(lost);
  BOOST_TEST(retry.count() > 0);
  BOOST_TEST((u.take(Time{1h}, "other", 2, 200ms, retry, lost) == Units::Take::passed));  // no quota, no unit
}

BOOST_AUTO_TEST_CASE(given_a_request_that_waits_when_the_call_is_never_answered_then_it_is_refused_in_time) {
  Units u(kJudged, 1);
  u.set_quota("t", {10, 10});
  Time now{1h};
  u.set_holder(true);
  Duration retry{};
  bool lost = false;
  BOOST_TEST((u.take(now, "t", 1, 200ms, retry, lost) == Units::Take::waits));
  BOOST_TEST(u.orders(now).size() == 1u);
  u.orders(now + 210ms);
  const auto turned = u.turned(now + 210ms);
  BOOST_REQUIRE(turned.size() == 1);
  BOOST_TEST(turned[0].request == 1u);
  BOOST_TEST(turned[0].holder_lost);  // not for its quota
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace docklift::test
