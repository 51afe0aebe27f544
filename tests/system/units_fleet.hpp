// Proxies and one holder of the counts that exchange units over a simulated network, under virtual time. Admitted
// requests are counted as operators evaluate quotas: in any span, over all proxies together.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "system/counts/counts.hpp"
#include "system/decisions/units.hpp"

namespace docklift::test {

using namespace std::chrono_literals;
using decisions::Units;

constexpr counts::QuotaTolerance kTolerance{5, 0.1, 20};

struct UnitsFleet {
  UnitsFleet(std::size_t n, counts::Quota q, std::uint64_t seed) : quota(q), random(seed) {
    holder.begin(now - 100s, true);
    for (std::size_t i = 0; i < n; ++i) {
      proxies.emplace_back(kTolerance, seed * 100 + i);
      proxies.back().set_proxies(n);
      proxies.back().set_quota(now, "t", q);
      proxies.back().set_holder_reachable(true);
    }
  }
  void exchange(std::size_t i) {
    auto& p = proxies[i];
    const auto requests = p.take_requests(now);
    for (const auto id : p.take_admitted()) count_admitted(id);
    for (const auto& t : p.take_rejected(now)) rejected += waiting.erase(t.request);
    if (requests.empty() || !reachable) return;
    ++calls;
    const Duration one_way = i < local_proxies ? Duration(500us) : round_trip / 2;
    in_transit.push(
        {now + one_way, next_event++, [this, i, requests, one_way, sent = now, sent_term = term] {
           if (sent_term != term || !reachable) return;
           std::vector<decisions::UnitGrant> grants;
           for (const auto& a : requests) {
             if (a.returned_window >= 0) {
               holder.hand_back(now, a.tenant, quota, a.returned_window, a.units);
               continue;
             }
             const auto g = holder.add(now, a.tenant, quota, a.ahead, a.units, std::to_string(i), a.demand);
             grants.push_back({a.tenant, g.window, g.units, g.remaining, g.starts, g.ends, g.exhausted_for});
           }
           in_transit.push({now + one_way + response_delay, next_event++, [this, i, grants, sent, sent_term] {
                              if (sent_term != term) return;
                              proxies[i].on_grants(now, {sent_term, sent, grants});
                              exchange(i);
                            }});
         }});
  }
  void count_admitted(std::uint64_t id) {
    ++admitted;
    if (const auto it = waiting.find(id); it != waiting.end()) {
      ++admitted_by_proxy[it->second];
      waiting.erase(it);
    }
    times.push_back(now);
    while (times.front() < now - 5s) times.pop_front();
    max_in_span = std::max(max_in_span, times.size());
  }
  // Each proxy gets `per_s` / n requests a second at random times.
  void run(Duration d, double per_s) {
    const Time until = now + d;
    std::exponential_distribution<double> gap(per_s);
    Time next = now + from_seconds(gap(random));
    Time tick = now;
    while (now < until) {
      Time at = std::min({next, tick, until});
      if (!in_transit.empty()) at = std::min(at, in_transit.top().at);
      now = at;
      if (!in_transit.empty() && in_transit.top().at <= now) {
        const auto deliver = in_transit.top().deliver;
        in_transit.pop();
        deliver();
      } else if (next <= now) {
        next = now + from_seconds(gap(random));
        const auto i = random() % proxies.size();
        const auto id = ++ids;
        Duration retry{};
        bool unreachable = false;
        ++requested;
        switch (proxies[i].acquire(now, "t", id, 200ms, retry, unreachable)) {
          case Units::Admission::admitted:
            ++admitted_at_once, ++admitted_by_proxy[i], count_admitted(id);
            break;
          case Units::Admission::queued: waiting.insert({id, i}); break;
          case Units::Admission::rejected: ++rejected; break;
        }
        exchange(i);
      } else {
        tick = now + 20ms;
        for (std::size_t i = 0; i < proxies.size(); ++i) exchange(i);
      }
    }
  }
  // The holder and each proxy learn of another quota within `max_delay`.
  void change_quota(const counts::Quota& changed, Duration max_delay) {
    const auto delay = [&] { return Duration(random() % static_cast<std::uint64_t>(max_delay.count())); };
    in_transit.push({now + delay(), next_event++, [this, changed] { quota = changed; }});
    for (auto& proxy : proxies)
      in_transit.push(
          {now + delay(), next_event++, [this, &proxy, changed] { proxy.set_quota(now, "t", changed); }});
  }
  void change_holder(Duration outage) {
    reachable = false, ++term;
    for (auto& p : proxies) p.set_holder_reachable(false);
    run(outage, rate);
    reachable = true;
    holder.begin(now, false);
    for (auto& p : proxies) p.on_new_holder(now, term), p.set_holder_reachable(true);
  }

  struct Event {
    Time at{};
    std::uint64_t order = 0;
    std::function<void()> deliver;
    bool operator<(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  counts::Quota quota;
  std::mt19937_64 random;
  counts::Counts holder{kTolerance};
  Time now{1h};
  Duration round_trip = 4ms;
  double rate = 0;
  std::deque<Units> proxies;
  std::priority_queue<Event> in_transit;
  std::map<std::uint64_t, std::size_t> waiting;
  std::deque<Time> times;
  std::uint64_t next_event = 0, ids = 0, term = 1, requested = 0, admitted = 0, admitted_at_once = 0,
                rejected = 0, calls = 0;
  std::size_t max_in_span = 0;  // the most requests admitted in any 5 s
  bool reachable = true;
  Duration response_delay{};      // of responses, in the network or at a suspended proxy
  std::size_t local_proxies = 0;  // the first proxies, in the holder's zone
  std::map<std::size_t, std::uint64_t> admitted_by_proxy;
};

}  // namespace docklift::test
