// Makes every decision of a gateway. The interface is include/snowknot/gateway.hpp.
//
// Sections, in the order in which a request passes them: 1 settings (windows, limits), 2 lease book (units,
// counter calls, waiting requests), 3 server table, 4 server choice, 5 attempts (sends, final answers), 6
// timers (timeouts, housekeeping, probes). Time comes with each event, random numbers only from the seed.
// Where iteration order affects actions, containers are ordered; hash tables serve look-ups only.
#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>

#include "helpers.hpp"
#include "snowknot/gateway.hpp"

namespace snowknot {
namespace {

using namespace std::chrono_literals;

// ---- Constants ---------------------------------------------------------------------------------------
constexpr Duration kMaxCountLifetime = 60s;      // the counter keeps no count for longer
constexpr double kLeaseRequests = 4;             // requests' worth of units in one lease
constexpr Duration kReserveHorizon = 10s;        // how far ahead reserves are leased: outlasts most outages
constexpr std::int64_t kMaxReserveWindows = 16;  // bounds the tables and the calls
constexpr double kReserveFactor = 1.25;          // of the customer's demand: headroom, as arrivals are uneven
constexpr double kReserveStep = 0.5;             // fraction of the quantum that must be missing before a call
constexpr double kSteadyRequestRate = 0.4;       // requests a window here from which a customer is steady
constexpr double kInitialCallFraction = 0.05;    // of the counter's timeout: a call, before one was seen
constexpr double kSlowCallFraction = 0.3;      // of the counter's timeout: a later answer shows a queue there
constexpr double kWideSlowCallFraction = 0.2;  // in a wide fleet, where more join before it shows
constexpr double kCallRateIncrease = 0.2;      // of the fair rate, per quick answer while calls are held back
constexpr double kCallRateDecrease = 0.3;      // of the rate, per failed call; less for a slow one
constexpr double kMinCallRate = 0.25;          // of the fair rate: the whole fleet then leaves it headroom
constexpr double kMinCallBurst = 3;            // calls that can be saved up at least
constexpr Duration kCallBurstSpan = 100ms;     // span over which more are saved up
constexpr int kCounterDownFailures = 3;        // consecutive failed calls: the counter is down
constexpr Duration kReserveQuiet = 500ms;      // without refused or overdue calls before reserves are leased
constexpr Duration kMinRestartOutage = 500ms;  // an outage as long may be a restart that lost counts
constexpr double kCounterRetryEvery = 2;       // timeouts per trial call to a counter that is down
constexpr Duration kCustomerMemory = 20s;      // how long a customer's requests and demand are remembered
constexpr double kMinEmptyFraction = 0.05;     // of a window in which an empty bucket is not asked again
constexpr double kUnitEpsilon = 1e-6;          // totals are rounded to seven digits
constexpr double kCountEpsilon = 2e-3;         // or to thousandths: a smaller difference is no lost count
constexpr double kLatencyGain = 0.07;         // EWMA gain per answer: about the last 14, as work varies a lot
constexpr double kSuccessGain = 0.2;          // EWMA gain per outcome: five failures show clearly
constexpr double kWideSuccessGain = 0.4;      // in a wide fleet two do, as each gateway sees few
constexpr double kEjectBelowSuccess = 0.4;    // success rate under which a server is ejected
constexpr Duration kInitialEjection = 400ms;  // doubles while the server goes on failing
constexpr Duration kWideInitialEjection = 2s;  // in a wide fleet a server gets one request of each in so long
constexpr Duration kMaxEjection = 5s;          // longer would waste a recovered server
constexpr Duration kRateSpan = 4s;             // averaging span of answers and arrivals a second
constexpr double kInitialPerServer = 5;        // in flight per server, fleet-wide, before answers are known
constexpr double kMinInFlightLimit = 0.1;      // own requests: fewer would never show that servers recovered
constexpr double kLateFraction = 0.6;          // of the aim: a later answer shows overloaded servers
constexpr double kLimitDecrease = 0.1;         // of the limit, per late answer: halved in about 7
constexpr double kLimitIncrease = 0.15;        // requests, per answer in time while the limit is used
constexpr double kLimitUsedFraction = 0.8;     // of the limit from which it counts as used
constexpr double kLimitRecovery = 0.02;      // per other answer, up to the initial limit: a sixth may be late
constexpr std::uint32_t kWideFleet = 15;     // above it a gateway uses a subset of servers, used by so many
constexpr std::size_t kMinSubsetSize = 12;   // servers
constexpr double kWideWindowFraction = 0.5;  // wide fleet: a window, of the time to fill an empty bucket
constexpr double kWideStartFraction = 0.5;   // of the limit, assumed in the bucket as one begins, plus
constexpr double kWideStartRequests = 0.5;   // so much of the largest request, as less than one serves none
constexpr double kWideRefillFraction = 0.4;  // of the rate, assumed to flow in during a window
constexpr double kColdShareFactor = 1.2;     // wide fleet: on the warm-up share of a cold server
constexpr Duration kSteadyRateSpan = 30s;    // how long the rate of a warm server is remembered
constexpr double kColdCostFactor = 0.3;      // wide fleet: on the cost of a cold server with credit
constexpr Duration kSendSpan = 4s;           // wide fleet: sends remembered to use all servers evenly
constexpr double kWideGain = 0.15;           // in a wide fleet, where answers are few
constexpr Duration kSlownessSpan = 10s;      // wide fleet: in which the slowness of an unused server decays
constexpr double kQueueFraction = 0.3;       // of the aim that a request may wait; a later send is too late
constexpr double kRetryTokenRate = 0.1;      // retries earned per request: keeps them under a tenth
constexpr double kMaxRetryTokens = 10;       // retries that can be saved up
constexpr double kCrossZoneWeight = 20;      // weight of the price of crossing zones in the choice
constexpr Duration kEjectionLogInterval = 10s;  // a flapping server is logged once in so long
constexpr Duration kSweepInterval = 250ms;      // period of the housekeeping

// Counts events with exponential decay: the weight of each falls to e^-1 after `span`.
struct DecayingCount {
  double sum = 0;
  Time last{};
  double count(Time now, Duration span) const { return sum * std::exp(-seconds(now - last) / seconds(span)); }
  double rate(Time now, Duration span) const { return count(now, span) / seconds(span); }
  void add(Time now, Duration span) { sum = count(now, span) + 1, last = now; }
};

// ---- 1 Settings -----------------------------------------------------------------------------------

// Limits that follow from a plan, a token bucket of `limit` units that fills within a `window`. What it held
// at a window's start and what flowed in since may be leased in it: up to twice the limit, never over
// `max_leased`. A span that touches k+1 windows can admit (k+1) * max_leased and lasts at least k-1 windows.
// A ceiling allows ceiling_burst + ceiling_rate * span, so it holds for every k when 2 * max_leased <=
// ceiling_burst and max_leased <= ceiling_rate * window; ceiling_slack stays as a margin.
// In a wide fleet few gateways know what the last window left over, and a refused customer seldom calls again
// in time to return its units. Assuming full buckets would grant twice the rate to a customer that asks for
// slightly more than it, and counts full of refused units would starve one that asks for much more. So
// windows are short there, all start at the same fraction of the limit and add a fraction of the rate: each
// grants little more than flows in, most of it at once. An idle customer gets less than its burst.
struct Quota {
  bool metered = false, ceiling = false;
  double limit = 0, max_leased = 0;
  double rate = 0;                 // units a second that flow into a window
  double start = -1;               // assumed bucket level as a window begins; below 0: the observed one
  Duration window{}, fill_time{};  // `fill_time`: of an empty bucket
};

Quota make_quota(const Plan& p, bool wide = false, double request = 0) {
  Quota q;
  q.ceiling = p.ceiling_rate > 0;
  double rate = p.rate;
  q.limit = p.rate > 0 ? p.burst : std::numeric_limits<double>::infinity();
  if (q.ceiling) {
    rate = rate > 0 ? std::min(rate, p.ceiling_rate) : p.ceiling_rate;
    q.limit = std::min(q.limit, p.ceiling_burst / 2);
  }
  q.metered = rate > 0;
  if (!q.metered) return q;
  q.limit = std::min(q.limit, rate * seconds(kMaxCountLifetime - 1s));
  q.window = q.fill_time = std::max(from_seconds(q.limit / rate), Duration(1ms));
  q.rate = q.limit / seconds(q.fill_time);
  if (wide) q.window = std::max(scaled(q.fill_time, kWideWindowFraction), Duration(1ms));
  if (wide && q.ceiling)  // the largest request must fit into one
    q.window = std::max(q.window, std::min(from_seconds(request / p.ceiling_rate), q.fill_time));
  if (wide) q.start = std::min(q.limit, kWideStartFraction * q.limit + kWideStartRequests * request);
  if (wide) q.rate *= kWideRefillFraction;
  q.max_leased = (wide ? q.start : q.limit) + q.rate * seconds(q.window);
  if (q.ceiling)
    q.max_leased = std::min({q.max_leased, p.ceiling_burst / 2, p.ceiling_rate * seconds(q.window)});
  return q;
}

// ---- 2 Lease book ---------------------------------------------------------------------------------
// Invariants: units are spent in the window they were leased in or, without a ceiling, in the next; at most
// one call per count is in flight; what all gateways lease of a window never exceeds `max_leased` while the
// counter keeps its counts, and its reserve, which has a count of its own, never the limit. Under a ceiling a
// reserve is spent only in windows of which nothing else could be leased.

struct WindowUnits {
  double held = 0;
  double added = 0;          // own net amount known to be in the count
  double owed = 0;           // excess: taken off the count at the next call; below 0: added
  bool credit_used = false;  // a request was admitted before its units were leased
  double unconfirmed = 0;    // unanswered adds since the last total
  double known_total = 0;    // the last total, with what is known to be added since
  Time total_at{};           // when it came
  bool empty = false;        // a reserve without units left
  Time empty_until{};        // nothing can be leased of the window until then
  double rejected = 0;       // units of the request that the last answer had no room for; 0: none
};

struct Lease {
  PlanIndex plan{};
  std::int64_t window = std::numeric_limits<std::int64_t>::min();
  WindowUnits units;                             // of the current window
  std::map<std::int64_t, WindowUnits> reserves;  // of it and later windows, for a counter outage
  double start_level = -1;                       // bucket level at its start; below 0: assumed full
  double total = -1;                             // of its count, at the last answer; below 0: none
  double level = -1;                             // bucket level, as of seen_at; below 0: full
  Time seen_at{};
  double last_units = 1;       // of its last request
  std::uint32_t gateways = 1;  // that the customer comes through
  double demand = 0;           // units requested here in this window
  double mean_demand = 0;      // EWMA of that over windows
  double queued_value = -1;    // of the waiting call; below 0: none waits
  bool calling = false;        // a call for the current window's count is in flight
  DecayingCount requests;      // here
  double demand_ratio = 0;     // demand in the last window called for, relative to its limit
  Time demand_at{};
  std::uint32_t open = 0;  // requests here that hold a slot of their plan's cap
  std::deque<RequestId> waiting;
};

struct CounterCall {
  CustomerId customer{};
  std::int64_t window = 0;
  double quantum = 0;  // units wanted; 0: only returns units
  double amount = 0;   // what was added, less owed units
  bool reserve = false;
};

// Limits the rate of counter calls; the waiting call of the highest value goes first. Gateways do not see
// each other's calls, so each adapts a rate of its own: it falls with slow and failed calls, rises with quick
// ones and starts at the fair share of a counter that takes one call at a time. Prevents a queue at the
// counter in which calls time out and are processed for nobody: in a large fleet or a surge, with a slow or
// failed counter. It costs throughput when single answers are slow without a queue.
struct CallPacer {
  Duration timeout{};
  double fleet_size = 1, slow_fraction = kSlowCallFraction, fastest = 0;  // seconds
  double rate = 0, tokens = 0;  // calls a second; calls that may be made now
  Time refilled_at{}, decreased_at{}, failed_at{}, overloaded_at{}, down_since{};
  std::set<std::pair<double, CustomerId>> waiting;  // by value, 0 to 1
  int failures = 0;

  CallPacer(Duration limit, double gateways)
      : timeout(std::max(limit, Duration(1))),
        fleet_size(gateways),
        slow_fraction(gateways > kWideFleet ? kWideSlowCallFraction : kSlowCallFraction),
        fastest(seconds(timeout) * kInitialCallFraction) {
    rate = fair_rate();
    tokens = std::min(burst(), 1 + rate * seconds(timeout));
  }
  bool down() const { return failures >= kCounterDownFailures; }
  double fair_rate() const { return 1 / std::max(1e-9, fleet_size * fastest); }
  double burst() const { return std::max(kMinCallBurst, rate * seconds(kCallBurstSpan)); }
  // Tokens that a call needs: the lower its value, the more it leaves for others.
  double needed(double value) const { return 1 + (1 - value) * (burst() - 1) / 2; }
  bool may_call(double value) const { return tokens >= needed(down() ? 1 : value); }
  bool has_spare() const { return waiting.empty() && may_call(0); }
  Duration wait_for(double value) const { return from_seconds(std::max(0.0, needed(value) - tokens) / rate); }
  // Whether a call would wait for longer than a healthy counter takes to answer.
  bool is_short(double value = 0) const { return wait_for(value) > scaled(timeout, kCounterRetryEvery); }

  void refill(Time now) {
    const auto from = std::exchange(refilled_at, now);
    if (from != Time{}) tokens = std::min(burst(), tokens + rate * seconds(now - from));
  }

  void record_answer(Time now, CountOutcome o, Duration took) {
    const bool ok = o == CountOutcome::ok || o == CountOutcome::added;
    if (ok) fastest = std::clamp(seconds(took), 1e-5, fastest);
    if (ok && down()) rate = std::max(rate, fair_rate());
    // Calls in flight together when a connection broke are one failure: only a call made since tells more.
    if (ok) failures = 0;
    if (!ok && now - took >= failed_at) {
      failed_at = now;
      if (++failures == kCounterDownFailures) down_since = now;
    }
    const double fraction = ok ? seconds(took) / seconds(timeout) : 1.0;
    if (o == CountOutcome::refused || took >= timeout) overloaded_at = now;
    if (fraction < slow_fraction) {
      if (!has_spare()) rate += kCallRateIncrease * fair_rate();
    } else if (now - took >= decreased_at) {  // one decrease for all calls made before the last one
      rate *= 1 - kCallRateDecrease * std::min(1.0, (fraction - slow_fraction) / (1 - slow_fraction));
      decreased_at = now;
    }
    rate = std::max(rate, kMinCallRate * fair_rate());
    if (!down()) return;
    rate = std::min(fair_rate(), 1 / (kCounterRetryEvery * seconds(timeout)));  // for trial calls
    tokens = std::min(tokens, 0.0);
  }
};

struct LeaseBook {
  explicit LeaseBook(const Settings& s) : pacer(s.counter_timeout, s.fleet_size) {
    const bool wide = s.counter && s.fleet_size > kWideFleet;
    for (const auto& p : s.plans) quotas.push_back(make_quota(p, wide, s.max_units));
    on_credit.assign(s.plans.size(), 0.0);
  }
  std::vector<Quota> quotas;
  std::vector<double> on_credit;  // by plan: units admitted before they were leased, not yet counted
  std::map<CustomerId, Lease> leases;
  std::map<CountName, CounterCall> calls;
  CallPacer pacer;
  Time lost_at = Time::min();  // when the counter last lost counts

  // Windows are staggered by customer so that their rollovers do not crowd the counter.
  Duration offset(CustomerId c, const Quota& q) const {
    return Duration(static_cast<Duration::rep>(mix(static_cast<std::uint64_t>(c)) %
                                               static_cast<std::uint64_t>(q.window.count())));
  }
  std::int64_t window_at(Time now, CustomerId c, const Quota& q) const {
    return (now.time_since_epoch() + offset(c, q)) / q.window;
  }
  Time window_end(CustomerId c, const Quota& q, std::int64_t w) const {
    return Time((w + 1) * q.window - offset(c, q));
  }
  static CountName count_name(CustomerId c, std::int64_t w) {
    return CountName(mix(mix(static_cast<std::uint64_t>(c)) ^ static_cast<std::uint64_t>(w)) >> 1);
  }
  static CountName reserve_of(CustomerId c, std::int64_t w) {
    return CountName(mix(static_cast<std::uint64_t>(count_name(c, w))) >> 1);
  }
  static double start_level_of(const Lease& lease, const Quota& q) {
    return q.start >= 0 ? q.start : lease.start_level < 0 ? q.limit : lease.start_level;
  }
  // What may have been leased of the current window by now.
  double allowed_at(Time now, CustomerId c, const Lease& lease) const {
    const auto& q = at(quotas, lease.plan);
    const auto elapsed = std::clamp(q.window - (window_end(c, q, lease.window) - now), Duration{}, q.window);
    return std::min(q.max_leased, start_level_of(lease, q) + refill(elapsed, q));
  }
  static double refill(Duration d, const Quota& q) { return q.rate * seconds(d); }
  // The bucket level as far as this gateway knows. The count alone does not tell: a bucket that was full and
  // unused for most of a window holds the limit then, not the limit and what flowed in.
  static double level_of(Time now, const Lease& lease, const Quota& q) {
    return lease.level < 0 ? q.limit : std::min(q.limit, lease.level + refill(now - lease.seen_at, q));
  }
  // The level after an answer that shows `others` leased elsewhere since the last one: assumed to be just
  // now, as others look as often; at the first answer of a window, spread evenly over it.
  double level_after(Time now, CustomerId c, const Lease& lease, double others) const {
    const auto& q = at(quotas, lease.plan);
    if (q.start >= 0) return q.limit;
    const auto from = lease.total < 0 ? std::max(window_end(c, q, lease.window) - q.window, lease.seen_at)
                                      : now;
    return std::clamp(level_of(from, lease, q) + refill(now - from, q) - others, 0.0, q.limit);
  }
  void roll_window(Time now, CustomerId c, Lease& lease) const {
    const auto& q = at(quotas, lease.plan);
    const auto w = window_at(now, c, q);
    if (w == lease.window) return;
    const bool next = w == lease.window + 1;
    lease.mean_demand = next ? (lease.mean_demand + lease.demand) / 2 : 0;
    // What the count left over stays in the bucket; what was leased and not spent is spent now.
    const double held = start_level_of(lease, q) + refill(q.window, q) - lease.total;
    lease.start_level = next && lease.total >= 0 ? std::clamp(held, 0.0, q.limit) : -1;
    const double left = next && !q.ceiling ? lease.units.held : 0;
    lease.demand = 0, lease.window = w, lease.total = -1;
    lease.reserves.erase(lease.reserves.begin(), lease.reserves.lower_bound(w));
    lease.units = WindowUnits{};
    lease.units.held = left;
    lease.calling = calls.contains(count_name(c, w));
  }
};

// ---- 3 Server table -------------------------------------------------------------------------------
// Invariants: load is the sum of the work of attempts in flight; a server that is not listed as ready is
// never chosen; a cold server is sent no more than its warm-up share of what warm ones answer.

struct Server {
  ServerInfo info;
  bool listed = false;
  std::uint32_t in_flight = 0, open = 0;  // own attempts: counted as load; all that are open
  double load = 0;                        // expected seconds of work of own attempts
  double slowness = 1;                    // EWMA of latency relative to the mean of its class
  Time slow_at{};                         // of the last update
  double sent_time_sum = 0;               // send times of those in flight, seconds since `sent_time_base`
  Time sent_time_base{};
  DecayingCount recent_sends;  // own sends
  double share = 1;            // wide fleet: weight that evens out how many gateways use a server
  double success = 1;          // EWMA of outcomes
  Time cold_since = Time::min();
  double credit = 0;  // sends a cold server may take, as of credit_at
  Time credit_at{}, ejected_until = Time::min();
  Time first_ejected{};  // for the log only
  Duration ejection{};
  int connect_failures = 0;  // failed connects since the last good answer
  bool probing = false;      // a probe is in flight

  bool ready() const { return listed && info.phase == Phase::ready; }
};

// ---- 5 Attempts: state of one request -----------------------------------------------------------

struct Attempt {
  ServerId server{};
  Time sent{};
  double work = 0;       // its share of Server::load
  Time counted_since{};  // counted there
  bool counted = false, open = true;
};

enum class Stage { leasing, queued, sent, ended };

struct Request {
  ClassIndex cls{};
  PlanIndex plan{};
  CustomerId customer{};
  double units = 1;
  std::uint32_t gateways = 1;
  Time arrived{}, deadline{};
  Time alarm = Time::max();
  Stage stage = Stage::leasing;
  bool retry = false;           // by the client
  bool repays = false;          // its call also adds what its plan has on credit
  double admission_margin = 0;  // 0 to 2: headroom needed, random and by worth
  bool may_have_run = false;
  bool not_started = false;  // its last attempt reached no server that took it
  Time first_run_at{};       // when the first attempt that may have run was sent
  ServerInfo ran_on;         // its server
  std::int64_t window = 0;   // of the units taken
  bool holds_units = false;
  bool holds_slot = false;  // of its plan's cap
  std::vector<Attempt> attempts;

  auto open() const { return std::ranges::count(attempts, true, &Attempt::open); }
};

bool proves_not_run(Outcome o) {
  return o == Outcome::full || o == Outcome::connect_failed || o == Outcome::never_sent;
}

}  // namespace

class Gateway::Logic {
 public:
  Logic(Settings s, std::uint64_t seed)
      : settings_((validate(s), std::move(s))),
        rng_(seed),
        book_(settings_),
        latency_(settings_.classes.size(), 0.0) {
    for (const auto& c : settings_.classes) max_worth_ = std::max(max_worth_, c.worth * settings_.max_units);
  }

  std::vector<Action> handle(Time now, const Event& event) {
    now_ = now;
    actions_.clear();
    if (settings_.discovery_must_ask && !std::exchange(subscribed_, true)) actions_.push_back(Subscribe{});
    book_.pacer.refill(now_);
    std::visit([this](const auto& e) { on(e); }, event);
    serve_freed_slots();
    serve_queued_calls();
    serve_queue();
    schedule_timer();
    return std::move(actions_);
  }

  TableSizes sizes() const {
    TableSizes n{requests_.size(), book_.leases.size(), servers_.size(), book_.calls.size(), alarms_.size()};
    for (const auto& [id, s] : servers_)
      n.listed += s.listed, n.avoided += s.listed && (!s.ready() || ejected(s));
    return n;
  }

 private:
  const Quota& quota(const Request& r) const { return at(book_.quotas, r.plan); }

  Duration until_window_end(CustomerId c, const Lease& lease) const {
    const auto& q = at(book_.quotas, lease.plan);
    return std::max(book_.window_end(c, q, lease.window) - now_, Duration(1ms));
  }

  // Takes the request's units and dispatches it, queues it for a lease, or refuses it.
  void admit(RequestId id, Request& r) {
    const auto& plan = at(settings_.plans, r.plan);
    if (!quota(r).metered && plan.max_open == 0) return dispatch(id, r);
    auto& lease = book_.leases[r.customer];
    lease.plan = r.plan;
    if (!quota(r).metered) return take_slot(r, lease) ? dispatch(id, r) : refuse(id, r, back_off());
    book_.roll_window(now_, r.customer, lease);
    lease.demand += r.units, lease.last_units = r.units, lease.gateways = r.gateways;
    lease.requests.add(now_, kCustomerMemory);
    if (!settings_.counter && lease.units.added == 0) {  // no counter: a share of the limit
      lease.units.added = 1;
      lease.units.held = std::max(settings_.max_units, quota(r).limit / std::max(1u, r.gateways));
      lease.units.empty_until = now_ + until_window_end(r.customer, lease);
    }
    const bool held = lease.waiting.empty() && take_units(r, lease);
    lease_reserves(r.customer, lease);
    if (held) return dispatch(id, r);
    if (const auto due = retry_at(r.customer, lease, r.units); now_ < due) return refuse(id, r, due - now_);
    if (!has_slot(r, lease)) return wait_for_slot(id, r, lease);
    if (!lease.calling && book_.pacer.down() && !book_.pacer.may_call(1)) return refuse(id, r, outage_wait());
    // A retry is seldom granted. In a wide fleet each costs a call, so it only gets a spare one.
    if (!lease.calling && wide() && r.retry && !book_.pacer.has_spare()) return refuse(id, r, back_off());
    if (!lease.calling && book_.pacer.is_short(call_value(r))) {
      if (may_admit_on_credit(r, lease)) {
        lease.units.credit_used = take_slot(r, lease), at(book_.on_credit, r.plan) += r.units;
        return dispatch(id, r);
      }
      if (now_ + book_.pacer.wait_for(call_value(r)) >= send_by(r))
        return refuse(id, r, back_off());  // no call in time
    }
    r.repays = may_admit_on_credit(r, lease);
    r.stage = Stage::leasing;
    lease.waiting.push_back(id);
    set_alarm(id, r, std::max(now_, send_by(r)));
    if (!lease.calling) request_lease(r.customer, lease);
  }

  // A cap on open attempts is not leased: each gateway enforces its share. A request holds its slot from when
  // it takes its units, not from its sending: else all that wait for one lease would exceed the cap together.
  bool is_capped(const Request& r) const { return at(settings_.plans, r.plan).max_open > 0; }
  std::uint32_t slots(const Request& r) const {
    return std::max(1u, at(settings_.plans, r.plan).max_open / r.gateways);
  }
  bool has_slot(const Request& r, const Lease& lease) const { return !is_capped(r) || lease.open < slots(r); }
  bool take_slot(Request& r, Lease& lease) {
    if (!has_slot(r, lease)) return false;
    if (is_capped(r)) ++lease.open, r.holds_slot = true;
    return true;
  }
  void release_slot(Request& r) {
    if (!std::exchange(r.holds_slot, false)) return;
    if (auto* lease = find(book_.leases, r.customer); lease && lease->open > 0)
      --lease->open, released_.insert(r.customer);
  }

  // Slots free up within about an answer's time, so as many wait as can get one while a send is not too late.
  void wait_for_slot(RequestId id, Request& r, Lease& lease) {
    const double in_time = seconds(send_by(r) - now_) / expected(r) * slots(r);
    if (static_cast<double>(lease.waiting.size()) + 1 > in_time) return refuse(id, r, back_off());
    r.stage = Stage::leasing;
    lease.waiting.push_back(id);
    set_alarm(id, r, std::max(now_, send_by(r)));
  }
  void serve_freed_slots() {
    while (!released_.empty()) {
      const auto c = released_.extract(released_.begin()).value();
      auto* lease = find(book_.leases, c);
      if (!lease || lease->waiting.empty()) continue;
      book_.roll_window(now_, c, *lease);
      serve_waiting(c, *lease);
    }
  }

  bool take_units(Request& r, Lease& lease) {
    if (!has_slot(r, lease)) return false;
    auto& held = lease.units.held + kUnitEpsilon < r.units ? spendable_units(r.customer, lease)
                                                           : lease.units.held;
    if (held + kUnitEpsilon < r.units) return false;
    held -= r.units;
    r.holds_units = take_slot(r, lease);
    r.window = lease.window;
    return true;
  }

  // Units that may be spent: the lease or, while the counter is down, the reserve. The window in which it
  // went down may have been fully leased before: its reserve serves only customers inside their quota, and
  // none under a ceiling. Where one gateway alone loses the counter, its share comes on top of what the
  // others lease: a ceiling allows that much a window, though not both bursts within half of one.
  double& spendable_units(CustomerId c, Lease& lease) {
    const auto& q = at(book_.quotas, lease.plan);
    const auto found = lease.reserves.find(lease.window);
    const bool began_during_outage = book_.window_end(c, q, lease.window) - q.window >=
                                     book_.pacer.down_since;
    if (!book_.pacer.down() || found == lease.reserves.end() ||
        !(began_during_outage || (!q.ceiling && lease.demand_ratio <= 1)))
      return lease.units.held;
    return found->second.held;
  }

  // Returns unspent units (if negative, takes missing ones), within their window.
  void return_units(const Request& r, double units) {
    if (auto* lease = find(book_.leases, r.customer); lease && lease->window == r.window)
      lease->units.held += units;
  }

  // Worth of a request by class and units, relative to the most expensive one possible.
  double worth_of(const Request& r) const {
    return std::clamp(cls(r).worth * r.units / max_worth_, 0.0, 1.0);
  }
  // Value of a counter call for a request: under a ceiling nothing is admitted without one.
  double call_value(const Request& r) const { return (quota(r).ceiling + worth_of(r)) / 2; }

  // While calls are short but the counter answers, a request may be admitted on credit, before its units are
  // leased. The next call for a request that could have been adds the credit of its whole plan, so counts
  // stay right on average. At most one per customer, window and gateway, none under a ceiling, and only if
  // the customer comes here no more often than an even share of its rate would, and was not found over its
  // quota lately. Avoids refusing most requests inside quotas when the fleet has outgrown its counter. It
  // admits too much when a customer over its quota comes once to each of many gateways.
  bool may_admit_on_credit(const Request& r, const Lease& lease) const {
    if (quota(r).ceiling || book_.pacer.failures > 1 || lease.units.credit_used) return false;
    if (now_ < lease.demand_at + kCustomerMemory) return lease.demand_ratio <= 1;
    return (lease.requests.sum - 1) * r.gateways <=
           at(settings_.plans, r.plan).rate * seconds(kCustomerMemory);
  }

  // The rest of an outage is unknown: as long again as it has lasted is the best guess.
  Duration outage_wait() const {
    return std::max(scaled(settings_.counter_timeout, kCounterRetryEvery), now_ - book_.pacer.down_since);
  }

  bool began_before_loss(CustomerId c, const Quota& q, std::int64_t window) const {
    return book_.window_end(c, q, window) - q.window <= book_.lost_at;
  }

  void request_lease(CustomerId c, Lease& lease) {
    const auto& q = at(book_.quotas, lease.plan);
    // After a loss of counts leased units are unknown: windows that began before it stay closed for ceilings.
    if (q.ceiling && began_before_loss(c, q, lease.window)) {
      lease.units.empty_until = now_ + until_window_end(c, lease);
      return serve_waiting(c, lease);
    }
    double wanted = 0, largest = 1, gateways = 1, value = 0;
    bool repays = false;
    for (const auto id : lease.waiting) {
      const auto& r = requests_.at(id);
      value = std::min(1.0, value + call_value(r));
      repays = repays || r.repays;
      wanted += r.units;
      largest = std::max(largest, r.units);
      gateways = std::max<double>(gateways, r.gateways);
    }
    auto& pacer = book_.pacer;
    if (!pacer.may_call(value)) {
      pacer.waiting.erase({std::exchange(lease.queued_value, value), c});
      return void(pacer.waiting.insert({value, c}));
    }
    double base = std::min(kLeaseRequests * largest, q.limit / (2.0 * gateways));
    if (pacer.is_short())
      base = std::max(base, std::min(lease.mean_demand, q.limit / gateways));  // fewer calls
    base = std::floor(base / largest) * largest;  // a fraction of a request would stay unspent
    const double quantum = std::min(std::max({base, wanted - lease.units.held, largest}), q.limit);
    const double extra = repays ? std::min(std::exchange(at(book_.on_credit, lease.plan), 0.0), q.limit) : 0;
    call_counter(c, lease, lease.window, quantum, quantum + extra - std::exchange(lease.units.owed, 0));
  }

  void serve_queued_calls() {
    auto& pacer = book_.pacer;
    while (!pacer.waiting.empty() && pacer.may_call(pacer.waiting.rbegin()->first)) {
      const auto c = pacer.waiting.rbegin()->second;
      pacer.waiting.erase(std::prev(pacer.waiting.end()));
      auto* lease = find(book_.leases, c);
      if (!lease) continue;
      lease->queued_value = -1;
      book_.roll_window(now_, c, *lease);
      serve_waiting(c, *lease);
    }
  }

  void call_counter(CustomerId c, Lease& lease, std::int64_t window, double quantum, double amount,
                    bool reserve = false) {
    const auto& q = at(book_.quotas, lease.plan);
    const auto name = reserve ? book_.reserve_of(c, window) : book_.count_name(c, window);
    book_.calls[name] = CounterCall{c, window, quantum, amount, reserve};
    if (!reserve) lease.calling = true;
    book_.pacer.tokens -= 1;
    const auto lifetime = book_.window_end(c, q, window) - now_ + settings_.counter_timeout;
    actions_.push_back(AddToCount{name, amount, std::min(lifetime, kMaxCountLifetime)});
  }

  // Leases reserves for later windows, to be spent only in a counter outage: they carry a customer over a
  // silent, refusing or lost counter from its first seconds here. A separate count bounds them by the limit,
  // so nothing is missing from the window's own count at any gateway; each takes its own demand per window
  // plus headroom, at most an even share. Customers with only one request seen, here or in the count, get
  // none. A reserve costs a call per window, customer and gateway, so none is made near a sign of a queue at
  // the counter; and without a ceiling, a window in which an outage begins or ends may admit twice the limit.
  void lease_reserves(CustomerId c, Lease& lease) {
    const auto& q = at(book_.quotas, lease.plan);
    const double demand = std::max(lease.mean_demand, lease.demand);
    const bool known = lease.mean_demand > 0 || lease.demand > lease.last_units ||
                       lease.total > lease.units.added + kCountEpsilon;
    const double share = std::floor(q.limit / lease.gateways);
    if (!settings_.counter || wide() || !known || book_.pacer.failures > 0 ||
        demand < kSteadyRequestRate * lease.last_units)
      return;  // in a wide fleet each request needs a call, and none are spare
    if (share < lease.last_units || !book_.pacer.has_spare() ||
        now_ < book_.pacer.overloaded_at + kReserveQuiet)
      return;
    const double wanted = std::max(std::ceil(demand * kReserveFactor), kLeaseRequests * lease.last_units);
    const double quantum = std::min(wanted, share);
    const auto span = std::min<std::int64_t>(kMaxReserveWindows, kReserveHorizon / q.window + 1);
    for (auto w = lease.window + 1; w <= lease.window + span; ++w) {
      auto& u = lease.reserves[w];
      const double more = quantum - u.held;
      if (u.empty || more < kReserveStep * quantum || book_.calls.contains(book_.reserve_of(c, w))) continue;
      return call_counter(c, lease, w, more, more - std::exchange(u.owed, 0), true);
    }
  }

  void on(const CountAnswer& e) {
    const auto node = book_.calls.extract(e.name);
    if (!node) return;
    const CounterCall& done = node.mapped();
    auto& pacer = book_.pacer;
    const bool was_down = pacer.down();
    pacer.record_answer(now_, e.outcome, e.took);
    if (was_down != pacer.down()) log(was_down ? "counter answers again" : "counter held to be down");
    if (was_down && !pacer.down() && now_ > pacer.down_since + kMinRestartOutage) record_count_loss(now_);
    if (!book_.leases.contains(done.customer)) return;
    auto& lease = book_.leases[done.customer];
    book_.roll_window(now_, done.customer, lease);
    if (done.reserve) {
      if (done.window >= lease.window) credit_reserve(done, e, lease);
    } else if (lease.window == done.window) {
      lease.calling = false;
      credit_lease(done, e, lease, lease.units);
    }
    serve_waiting(done.customer, lease);
  }

  // Ceiling windows that began before stay closed; the counts of their reserves are unknown.
  void on(const CountsLost& e) {
    if (e.at <= book_.lost_at || e.at < now_ - kMaxCountLifetime) return;  // or of no open window
    log("counts are lost, says the store");
    record_count_loss(std::min(e.at, now_));
  }

  void record_count_loss(Time from) {
    book_.lost_at = from;
    for (auto& [c, lease] : book_.leases)
      if (at(book_.quotas, lease.plan).ceiling) lease.reserves.clear();
  }

  void credit_reserve(const CounterCall& done, const CountAnswer& e, Lease& lease) {
    const double limit = at(book_.quotas, lease.plan).limit;
    auto& u = lease.reserves[done.window];
    if (e.outcome != CountOutcome::ok) {  // one that timed out may have been added, and is left there
      if (e.outcome != CountOutcome::timeout)
        u.owed = e.outcome == CountOutcome::added ? done.quantum : done.quantum - done.amount;
      return;
    }
    const double excess = std::clamp(e.total - limit, 0.0, done.quantum);
    u.held += done.quantum - excess;
    u.owed += excess;
    u.empty = e.total >= limit - kUnitEpsilon;
  }

  void credit_lease(const CounterCall& done, const CountAnswer& e, Lease& lease, WindowUnits& u) {
    const auto& q = at(book_.quotas, lease.plan);
    if (e.outcome != CountOutcome::ok) {
      // A timed-out add counts as refused and is taken off at the next call. Under a ceiling it is not: if it
      // was never added, taking it off would let the count exceed the limit.
      const bool added = e.outcome == CountOutcome::added;
      if (added) u.added += done.amount, u.known_total += done.amount;
      if (e.outcome == CountOutcome::timeout && !q.ceiling) u.unconfirmed += done.amount;
      const bool maybe_added = added || e.outcome == CountOutcome::timeout;
      if (added || !q.ceiling) u.owed = maybe_added ? done.quantum : done.quantum - done.amount;
      return;
    }
    const double before = u.added;
    u.added += done.amount;
    double total = e.total;
    if (q.ceiling && began_before_loss(done.customer, q, done.window))  // the count may have restarted
      return void(u.empty_until = book_.window_end(done.customer, q, done.window));
    const double tolerance = kUnitEpsilon * std::max(1.0, std::abs(e.total)) + kUnitEpsilon;
    if (total < u.added - tolerance - kCountEpsilon) {  // the counter lost its counts
      // A total seen before a known loss was lost with it and shows no other loss.
      if (u.total_at >= book_.lost_at) {
        if (book_.lost_at < now_ - kSweepInterval) log("counter lost its counts");
        record_count_loss(now_);
      }
      if (q.ceiling) return void(u.empty_until = book_.window_end(done.customer, q, done.window));
      total += before;  // at least what this gateway had leased is used
      u.added = e.total, u.unconfirmed = 0;
    }
    // What the total lacks of unanswered adds was never added but taken off: the next call adds it. Prevents
    // counts that lag behind spending while connections break. If another gateway takes off as much
    // meanwhile, the count runs ahead until the window ends.
    const double missing = std::clamp(u.unconfirmed - std::max(0.0, e.total - u.known_total - done.amount),
                                      0.0, q.limit);
    total += missing;
    u.unconfirmed = 0, u.known_total = e.total;
    u.total_at = now_;
    const double others = total - done.quantum - std::max(0.0, lease.total);  // since the last answer
    const double level = book_.level_after(now_, done.customer, lease, others);
    const double limit = std::min(book_.allowed_at(now_, done.customer, lease), total - done.quantum + level);
    const double wanted = lease.waiting.empty() ? 1 : requests_.at(lease.waiting.front()).units;
    double excess = std::clamp(total - limit, 0.0, done.quantum);
    if (q.start >= 0 && u.held + done.quantum - excess < wanted - tolerance)
      excess = done.quantum;  // of no use
    if (done.quantum > 0) {
      const auto elapsed = seconds(q.window - until_window_end(done.customer, lease));
      lease.demand_ratio = total / q.limit * seconds(q.fill_time) /
                           std::max(elapsed, 0.25 * seconds(q.fill_time));
      lease.demand_at = now_;
    }
    u.held += done.quantum - excess;
    lease.total = total - excess;
    lease.level = q.start >= 0 ? -1 : std::max(0.0, level - (done.quantum - excess)), lease.seen_at = now_;
    lease.units.rejected = lease.total + wanted - limit > kUnitEpsilon ? wanted : 0;
    u.owed -= missing;
    if (excess <= tolerance) return;
    if (excess >= done.quantum - tolerance || book_.pacer.is_short()) return void(u.owed += excess);
    call_counter(done.customer, lease, done.window, 0, -excess - std::exchange(u.owed, 0));
  }

  // When to ask for units: at once or, after one did not fit, when the bucket has filled enough. A smaller
  // one may fit earlier; one as large waits a while, as new units go to the first caller.
  Time retry_at(CustomerId c, const Lease& lease, double units) const {
    const auto& q = at(book_.quotas, lease.plan);
    if (now_ < lease.units.empty_until || lease.units.rejected == 0) return lease.units.empty_until;
    const auto end = book_.window_end(c, q, lease.window);
    if (lease.total + units > q.max_leased + kUnitEpsilon) return end;
    const double allowed = std::min(book_.allowed_at(now_, c, lease) - lease.total,
                                    LeaseBook::level_of(now_, lease, q));
    const double missing = units - allowed;
    auto due = missing > kUnitEpsilon ? now_ + from_seconds(missing / q.rate) + Duration(1ms) : now_;
    if (units >= lease.units.rejected)
      due = std::max(due, lease.units.total_at + scaled(q.window, kMinEmptyFraction));
    return std::min(due, end);
  }

  // After an answer: admits what fits in order of arrival; the rest gets one more call or a refusal.
  void serve_waiting(CustomerId c, Lease& lease) {
    while (!lease.waiting.empty()) {
      const auto id = lease.waiting.front();
      auto& r = requests_.at(id);
      if (!has_slot(r, lease)) return;  // resumes when a slot is free
      if (take_units(r, lease)) {
        lease.waiting.pop_front();
        dispatch(id, r);
      } else if (const auto due = retry_at(c, lease, r.units); now_ < due) {
        lease.waiting.pop_front();
        refuse(id, r, due - now_);
      } else if (lease.calling) {
        return;
      } else if (book_.pacer.down()) {
        lease.waiting.pop_front();
        refuse(id, r, outage_wait());
      } else {
        return request_lease(c, lease);
      }
    }
  }

  void on(const ListUpdate& e) {
    if (e.kind == ListKind::failed) return void(subscribed_ = false);  // retried with the next event
    if (e.kind != ListKind::changes)
      for (auto& [id, s] : servers_) s.listed = false;
    for (const auto& entry : e.entries) {
      auto [it, added] = servers_.try_emplace(entry.id);
      auto& s = it->second;
      const bool restarted = entry.started && (added || !s.info.started || *entry.started > *s.info.started);
      s.info = entry;
      s.listed = entry.phase != Phase::gone;
      if (restarted) start_warmup(s, *entry.started);
    }
    std::erase_if(servers_, [](const auto& e2) { return !e2.second.listed && e2.second.open == 0; });
    select_subsets();
  }

  // In a wide fleet each gateway uses a subset of the servers, the first healthy ones by rendezvous hashing,
  // which changes only with servers that come and go. Each computes from the fleet's size how many use a
  // server and sends it the less the more they are. Where crossing zones has a price each zone has its own
  // subset. Prevents connections that grow with gateways times servers, too few answers to learn about each
  // server, and a failure per gateway for each lost one. Load is uneven while lists differ.
  bool wide() const { return settings_.fleet_size > kWideFleet; }
  void select_subsets() {
    subsets_.clear();
    subset_size_ = 0;
    if (!wide()) return;
    std::map<ZoneIndex, std::vector<Server*>> zones;
    for (auto& [id, s] : servers_)
      if (s.ready()) zones[settings_.cross_zone_price > 0 ? s.info.zone : ZoneIndex{}].push_back(&s);
    for (auto& [zone, all] : zones) {
      const auto size = std::max(kMinSubsetSize,
                                 (all.size() * kWideFleet + settings_.fleet_size - 1) / settings_.fleet_size);
      if (size >= all.size()) {
        subsets_.push_back({all.size(), all});
        subset_size_ += static_cast<double>(all.size());
        for (auto* s : all) s->share = 1;
        continue;
      }
      std::vector<std::uint32_t> users(all.size());
      std::vector<std::pair<std::uint64_t, std::size_t>> order(all.size()), own;
      for (std::uint32_t g = 0; g < settings_.fleet_size; ++g) {
        const auto salt = mix(g);
        for (std::size_t i = 0; i < all.size(); ++i)
          order[i] = {mix(salt ^ static_cast<std::uint64_t>(all[i]->info.id)), i};
        std::nth_element(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(size), order.end());
        for (std::size_t i = 0; i < size; ++i) ++users[order[i].second];
        if (g == settings_.index) own = order;
      }
      std::sort(own.begin(), own.end());
      subset_size_ += static_cast<double>(size);
      const double even = static_cast<double>(size) * settings_.fleet_size / static_cast<double>(all.size());
      auto& subset = subsets_.emplace_back(size, std::vector<Server*>{}).second;
      for (const auto& [score, i] : own) {
        all[i]->share = even / std::max(1u, users[i]);
        subset.push_back(all[i]);
      }
    }
  }

  // Slow start after a restart, seen in the list or by a probe. One that was only cut off is underused.
  void start_warmup(Server& s, Time from) {
    if (now_ - from >= settings_.warm_within) return;
    s.cold_since = std::max(s.cold_since, from);
    s.credit = uniform_random(), s.credit_at = now_;
    s.slowness = s.success = 1, s.recent_sends = {};
    s.ejected_until = Time::min(), s.ejection = {}, s.connect_failures = 0;
  }

  bool is_cold(const Server& s) const {
    return s.cold_since != Time::min() && now_ - s.cold_since < settings_.warm_within;
  }

  // Capacity of a cold server relative to a warm one, by the slowest warm-up that the settings allow.
  double warm_fraction(const Server& s) const {
    const double fraction = seconds(now_ - s.cold_since) / std::max(1e-9, seconds(settings_.warm_within));
    return settings_.start_capacity + (1 - settings_.start_capacity) * std::clamp(fraction, 0.0, 1.0);
  }

  // A cold server earns its warm-up share of the answers here per warm server's capacity (with no warm
  // server: of the arrivals per server); over all gateways that is its share of the total. Its initial credit
  // is random, as in a large fleet each gateway sends a server less than one request during its warm-up.
  void earn_send_credit(Server& s, bool any_warm, double capacity) {
    double rate = any_warm ? answers_.rate(now_, kRateSpan) / capacity
                           : arrivals_.rate(now_, kRateSpan) / static_cast<double>(servers_.size());
    if (wide()) rate = kColdShareFactor * std::max(rate, steady_rate(now_));
    s.credit = std::min(1.0, s.credit + seconds(now_ - s.credit_at) * rate * warm_fraction(s) * s.share);
    s.credit_at = now_;
  }

  // Recent best answer rate per warm server: with most gone or cold, the share of cold ones would fall too.
  double steady_rate(Time now) const {
    return steady_ * std::exp(-seconds(now - steady_at_) / seconds(kSteadyRateSpan));
  }

  bool ejected(const Server& s) const { return now_ < s.ejected_until; }

  void eject(Server& s, const char* reason) {
    const auto first = wide() ? kWideInitialEjection : kInitialEjection;
    s.ejection = std::clamp(s.ejection * 2, first, kMaxEjection);
    s.ejected_until = now_ + s.ejection;
    if (s.ejection == first && now_ - std::exchange(s.first_ejected, now_) > kEjectionLogInterval)
      log("server " + std::to_string(static_cast<std::uint32_t>(s.info.id)) + " ejected: " + reason);
  }

  void record_outcome(Server& s, const Request& r, const AttemptEnded& e) {
    const bool good = e.outcome == Outcome::ok;
    if (e.outcome == Outcome::cancelled || e.outcome == Outcome::never_sent) return;
    const bool late = e.outcome == Outcome::timeout;  // a sign of load, not of a failed server
    if (!late) s.success += (wide() ? kWideSuccessGain : kSuccessGain) * ((good ? 1.0 : 0.0) - s.success);
    if (good || late) {
      const double took = seconds(e.took);
      auto& mean = at(latency_, r.cls);
      if (good) mean += (mean == 0 ? 1 : kLatencyGain / 2) * (took - mean);
      const double known = slowness(s);
      if (mean > 0 && (good || took > mean))
        s.slowness = known + (wide() ? kWideGain : kLatencyGain) * (took / mean - known), s.slow_at = now_;
      adjust_limit(r, e);
    }
    if (good) {
      answers_.add(now_, kRateSpan);
      s.ejection = {}, s.connect_failures = 0;
      return;
    }
    // A broken connection or a full server lowers its share by its success rate. Only a failed connect ejects
    // it at once, and two in a row mean a restart. Breaks of a dying server show late.
    if (e.outcome == Outcome::connect_failed) ++s.connect_failures;
    // One gateway of a wide fleet cannot fill a server: one that is full is about to go. An error is as
    // telling: waiting for more would cost one for each gateway.
    const bool failing = wide() && (e.outcome == Outcome::full || e.outcome == Outcome::error);
    if (!ejected(s) && (e.outcome == Outcome::connect_failed || failing || s.success < kEjectBelowSuccess))
      eject(s, "failures");
  }

  // Adapts the limit on own requests in flight to how late answers are, to prevent queues at the servers in
  // surges, stalls, or with fewer or slower servers. Work long by nature leaves capacity unused.
  void adjust_limit(const Request& r, const AttemptEnded& e) {
    if (seconds(e.took) > kLateFraction * seconds(cls(r).aim)) {
      in_flight_limit_ = std::max(kMinInFlightLimit, in_flight_limit_ * (1 - kLimitDecrease));
    } else if (e.outcome == Outcome::ok && in_flight_ + 1 >= in_flight_limit_ * kLimitUsedFraction) {
      in_flight_limit_ += kLimitIncrease * std::min(1.0, in_flight_limit_ / kInitialPerServer);
    } else if (e.outcome == Outcome::ok && wide() && in_flight_limit_ < initial_limit()) {
      in_flight_limit_ = std::min(initial_limit(), in_flight_limit_ * (1 + kLimitRecovery));
    }
  }

  // This gateway's share of a few requests per server, with headroom for random arrivals.
  double initial_limit() const {
    const double share = kInitialPerServer * static_cast<double>(servers_.size()) / settings_.fleet_size;
    return std::max(kMinInFlightLimit, share + 2 * std::sqrt(share));
  }
  double in_flight_limit() {
    if (in_flight_limit_ == 0) in_flight_limit_ = initial_limit();
    return in_flight_limit_;
  }

  void on(const ProbeEnded& e) {
    auto* known = find(servers_, e.server);
    if (!known || (known->probing = false, known->connect_failures == 0)) return;
    auto& s = *known;
    if (e.outcome != Outcome::ok) return ++s.connect_failures, eject(s, "no connection");
    s.ejected_until = now_;
    if (std::exchange(s.connect_failures, 0) > 1) start_warmup(s, now_);
  }

  // Reports of other gateways count until the first own ejection or own answers.
  void on(const ServerSeen& e) {
    auto* s = find(servers_, e.server);
    if (!s || s->success < 1 || ejected(*s)) return;
    s->success = std::clamp(e.success, 0.0, 1.0);
    if (s->success < kEjectBelowSuccess) eject(*s, "reported by others");
  }

  // ---- 4 Choice -------------------------------------------------------------------------------------

  enum class Pick { server, wait, none };

  bool is_eligible(const Request& r, const Server& s) const {
    if (!s.ready()) return false;
    if (!r.may_have_run || cls(r).effect != Effect::keyed) return true;
    if (cls(r).group == Group::zone) return s.info.zone == r.ran_on.zone;
    if (cls(r).group == Group::cell) return s.info.cell == r.ran_on.cell;
    return true;
  }

  double expected(const Request& r) const {
    const double mean = at(latency_, r.cls);
    return mean > 0 ? mean : seconds(cls(r).aim) / 8;  // before the first answer
  }

  // Slowness of a server. It decays in a wide fleet: an avoided server gets no answers that show recovery.
  double slowness(const Server& s) const {
    if (!wide()) return s.slowness;
    return 1 + (s.slowness - 1) * std::exp(-seconds(now_ - s.slow_at) / seconds(kSlownessSpan));
  }
  // Expected load of a server. In a wide fleet own load says little, as other gateways add theirs: recent own
  // sends are spread evenly, and an overlong attempt in flight counts with its time so far.
  double expected_load(const Request& r, const Server& s) const {
    if (!wide()) return s.load + expected(r);
    const double total_time = s.in_flight * seconds(now_ - s.sent_time_base) - s.sent_time_sum;
    return std::max(s.load, total_time) + expected(r) * (1 + s.recent_sends.count(now_, kSendSpan) / s.share);
  }

  // Chooses from the subset or, if no server of it is healthy, from all.
  Pick choose_server(const Request& r, ServerId& chosen) {
    auto& candidates = candidates_;
    candidates.clear();
    for (const auto& [size, order] : subsets_) {
      std::size_t healthy = 0;
      for (auto* s : order) {
        if (healthy == size) break;
        if (s->ready() && !ejected(*s)) ++healthy, candidates.push_back(s);
      }
    }
    if (const auto pick = choose_server(r, chosen, candidates); pick != Pick::none) return pick;
    candidates.clear();
    for (auto& [id, s] : servers_) candidates.push_back(&s);
    return choose_server(r, chosen, candidates);
  }

  Pick choose_server(const Request& r, ServerId& chosen, const std::vector<Server*>& candidates) {
    double best = std::numeric_limits<double>::infinity();
    bool eligible = false, healthy = false, any_warm = false;
    double capacity = 0;  // of all healthy servers, in any_warm ones
    const bool has_capacity = in_flight_ + r.admission_margin < in_flight_limit();
    for (const auto* s : candidates) {
      if (!s->ready() || ejected(*s)) continue;
      healthy = healthy || is_eligible(r, *s), any_warm = any_warm || !is_cold(*s);
      capacity += is_cold(*s) ? warm_fraction(*s) : 1;
    }
    // Not while some are missing or cold: recent answers came from more capacity than there is now.
    if (wide() && capacity > 0 && capacity >= subset_size_)
      steady_ = std::max(answers_.rate(now_, kRateSpan) / capacity, steady_rate(now_)), steady_at_ = now_;
    for (auto* p : candidates) {
      auto& s = *p;
      if (!is_eligible(r, s)) continue;
      eligible = true;
      if (!has_capacity) break;
      if (healthy && ejected(s)) continue;  // if all look bad they are used rather than none
      if (is_cold(s)) {
        earn_send_credit(s, any_warm, capacity);
        if (s.credit < 1) continue;
      }
      double cost = slowness(s) * expected_load(r, s) / std::max(0.1, s.success);
      if (is_cold(s) && wide()) cost *= kColdCostFactor;
      if (wide()) cost *= slowness(s);  // few gateways see it, so slowness seen here counts more
      if (settings_.weights_known && s.info.weight > 0) cost /= s.info.weight;
      if (s.info.zone != settings_.zone) cost *= 1 + kCrossZoneWeight * settings_.cross_zone_price;
      for (const auto& a : r.attempts)
        if (a.server == s.info.id) cost *= 4;  // prefer another server
      cost *= 1 + 0.05 * uniform_random();
      if (cost < best) best = cost, chosen = s.info.id;
    }
    return best < std::numeric_limits<double>::infinity() ? Pick::server : eligible ? Pick::wait : Pick::none;
  }

  // ---- 5 Attempts and final answers -----------------------------------------------------------------

  const RequestClass& cls(const Request& r) const { return at(settings_.classes, r.cls); }
  double uniform_random() { return static_cast<double>(rng_() >> 11) * 0x1.0p-53; }

  // Advice after a refusal that is not about quota: about one aim, jittered to spread clients.
  Duration back_off() { return scaled(settings_.classes.front().aim, 0.5 + uniform_random()); }

  void on(const Arrival& e) {
    if (requests_.contains(e.request)) return;
    if (static_cast<std::size_t>(e.request_class) >= settings_.classes.size() ||
        static_cast<std::size_t>(e.plan) >= settings_.plans.size())
      return actions_.push_back(Refuse{e.request, {}});
    if (e.units > at(book_.quotas, e.plan).limit) return actions_.push_back(Refuse{e.request, {}});
    arrivals_.add(now_, kRateSpan);
    auto& r = requests_[e.request];
    r.cls = e.request_class, r.plan = e.plan, r.customer = e.customer;
    r.units = std::max(0.0, e.units);
    r.gateways = std::clamp(e.gateways, 1u, settings_.fleet_size);
    r.retry = e.is_retry;
    r.admission_margin = uniform_random() + 1 - worth_of(r);
    r.arrived = now_, r.deadline = now_ + e.time_left;
    retry_tokens_ = std::min(kMaxRetryTokens, retry_tokens_ + kRetryTokenRate);
    admit(e.request, r);
  }

  // The latest time for a first send: an answer must still fit into the aim.
  Time send_by(const Request& r) const {
    return r.arrived + scaled(std::min(cls(r).aim, r.deadline - r.arrived), kQueueFraction);
  }

  // First send. Units are spent now; those of a window that has ended are leased anew.
  void dispatch(RequestId id, Request& r) {
    if (r.holds_units) {
      auto& lease = book_.leases[r.customer];
      book_.roll_window(now_, r.customer, lease);
      if (lease.window != r.window) return r.holds_units = false, release_slot(r), admit(id, r);
    }
    ServerId server{};
    const auto pick = choose_server(r, server);
    if (pick == Pick::server) return send(id, r, server);
    if (pick == Pick::none || now_ >= send_by(r)) return refuse(id, r, back_off());
    if (r.stage != Stage::queued) queue_.push_back(id);
    r.stage = Stage::queued;
    set_alarm(id, r, send_by(r));
  }

  void send(RequestId id, Request& r, ServerId server) {
    auto& s = servers_.at(server);
    if (!r.attempts.empty() && !r.not_started) retry_tokens_ -= 1;
    r.holds_units = false, r.stage = Stage::sent;
    if (is_cold(s)) s.credit -= 1;
    if (wide()) s.recent_sends.add(now_, kSendSpan);
    ++s.open;
    set_in_flight(r.attempts.emplace_back(Attempt{server, now_, expected(r)}), true);
    // No timeout before the client's and no second copy: with overloaded servers both duplicated work.
    set_alarm(id, r, Time::max());
    actions_.push_back(Send{id, server, std::max(r.deadline - now_, Duration(1))});
  }

  // Counts an attempt as load while its server works on it, not while it waits for more of a long body.
  void set_in_flight(Attempt& a, bool works) {
    if (std::exchange(a.counted, works) == works) return;
    in_flight_ += works ? 1 : -1;
    auto* s = find(servers_, a.server);
    if (!s) return;
    if (works && s->in_flight == 0) s->sent_time_base = now_, s->sent_time_sum = 0;
    if (works) a.counted_since = now_;
    s->in_flight += works ? 1U : -1U;
    s->sent_time_sum += (works ? 1 : -1) * seconds(a.counted_since - s->sent_time_base);
    s->load = s->in_flight == 0 ? 0 : s->load + (works ? a.work : -a.work);
  }

  void on(const AttemptWaits& e) {
    auto* r = find(requests_, e.request);
    if (!r || e.attempt >= r->attempts.size()) return;
    if (auto& a = r->attempts[e.attempt]; a.open) set_in_flight(a, !e.waits);
  }

  void on(const AttemptEnded& e) {
    auto* known = find(requests_, e.request);
    if (!known || e.attempt >= known->attempts.size()) return;
    auto& r = *known;
    auto& a = r.attempts[e.attempt];
    if (!a.open) return;
    a.open = false;
    r.not_started = e.outcome == Outcome::connect_failed || (wide() && e.outcome == Outcome::full);
    set_in_flight(a, false);
    if (auto* s = find(servers_, a.server)) {
      --s->open;
      record_outcome(*s, r, e);
      if (!proves_not_run(e.outcome) && !std::exchange(r.may_have_run, true)) {
        r.first_run_at = a.sent;
        r.ran_on = s->info;
      }
    }
    if (e.true_units > 0 && settings_.settled_after) return_units(r, r.units - e.true_units);
    if (e.finished) finish(e.request, r);
    if (r.stage != Stage::ended && r.open() == 0) retry_or_finish(e.request, r, e.last);
    erase_if_done(e.request);
  }

  // No attempt is open and the client waits: retries where the class allows it, or gives the final answer.
  void retry_or_finish(RequestId id, Request& r, bool last) {
    const auto& c = cls(r);
    // An attempt that was not started was no work: its retry needs no budget.
    bool may_retry = !last && r.attempts.size() < settings_.max_attempts && now_ < r.deadline &&
                     (r.not_started || retry_tokens_ >= 1);
    if (r.may_have_run && c.effect == Effect::unsafe) may_retry = false;
    // The first byte may arrive as late as a connect takes; duplicates are dropped from the first send on.
    const bool forgotten = now_ + settings_.connect_timeout >= r.first_run_at + c.memory_span;
    if (r.may_have_run && c.effect == Effect::keyed && forgotten) may_retry = false;
    if (c.late_worth == 0 && now_ >= r.arrived + c.aim) may_retry = false;
    ServerId server{};
    if (may_retry && choose_server(r, server) == Pick::server) return send(id, r, server);
    const bool safe_to_retry = !r.may_have_run || c.effect == Effect::safe ||
                               (c.effect == Effect::keyed && c.group == Group::all);
    if (safe_to_retry) return refuse(id, r, back_off());
    actions_.push_back(Fail{id});
    finish(id, r);
  }

  void refuse(RequestId id, Request& r, Duration retry_after) {
    actions_.push_back(Refuse{id, retry_after});
    finish(id, r);
    erase_if_done(id);
  }

  void finish(RequestId id, Request& r) {
    if (r.stage == Stage::ended) return;
    if (std::exchange(r.holds_units, false)) return_units(r, r.units);  // it was never sent
    set_alarm(id, r, Time::max());
    release_slot(r);
    if (auto* lease = find(book_.leases, r.customer); lease && r.stage == Stage::leasing)
      std::erase(lease->waiting, id);
    r.stage = Stage::ended;
  }

  void erase_if_done(RequestId id) {
    if (auto* r = find(requests_, id); r && r->stage == Stage::ended && r->open() == 0) requests_.erase(id);
  }

  void on(const StreamStarted& e) {
    if (auto* r = find(requests_, e.request)) set_alarm(e.request, *r, Time::max());
  }

  void on(const ClientGone& e) {
    if (auto* r = find(requests_, e.request)) finish(e.request, *r);
    erase_if_done(e.request);
  }

  void on(const PeerMessage&) {}

  // Dispatches queued requests in order of arrival.
  void serve_queue() {
    for (std::size_t n = queue_.size(); n > 0; --n) {
      const auto id = queue_.front();
      queue_.pop_front();
      auto* r = find(requests_, id);
      if (!r || r->stage != Stage::queued) continue;
      ServerId server{};
      if (choose_server(*r, server) == Pick::wait) return queue_.push_front(id);
      r->stage = Stage::leasing;
      dispatch(id, *r);
    }
  }

  // ---- 6 Timers -------------------------------------------------------------------------------------

  void set_alarm(RequestId id, Request& r, Time at) {
    if (r.alarm != Time::max()) alarms_.erase({r.alarm, id});
    r.alarm = at;
    if (at != Time::max()) alarms_.insert({at, id});
  }

  void on(const TimerDue& e) {
    if (e.timer == TimerId(last_timer_)) timer_due_ = {};  // also if a coarser clock fires it slightly early
    while (!alarms_.empty() && alarms_.begin()->first <= now_) {
      const auto id = alarms_.begin()->second;
      auto& r = requests_.at(id);
      set_alarm(id, r, Time::max());
      refuse(id, r, back_off());  // it waited for a lease, a slot or a server
    }
    if (now_ >= next_sweep_) sweep();
  }

  // Drops leases of past windows, so that customers seen once do not accumulate, and probes lost servers.
  void sweep() {
    next_sweep_ = now_ + kSweepInterval;
    for (auto it = book_.leases.begin(); it != book_.leases.end();) {
      auto& lease = it->second;
      const auto& q = at(book_.quotas, lease.plan);
      const auto w = q.metered ? book_.window_at(now_, it->first, q) : lease.window + 1;
      it = w != lease.window && now_ > lease.requests.last + kCustomerMemory && lease.waiting.empty() &&
                   lease.open == 0
               ? book_.leases.erase(it)
               : std::next(it);
    }
    for (auto& [id, s] : servers_) {
      if (s.connect_failures == 0 || !s.ready() || s.probing || !settings_.probes) continue;
      if (now_ < s.ejected_until - kSweepInterval) continue;
      s.probing = true;
      s.ejected_until = std::max(s.ejected_until, now_ + kInitialEjection);
      actions_.push_back(Probe{id});
    }
  }

  void schedule_timer() {
    const bool busy = !book_.leases.empty() || !servers_.empty();
    Time next = alarms_.empty() ? Time::max() : alarms_.begin()->first;
    if (busy) next = std::min(next, std::max(next_sweep_, now_ + Duration(1)));
    if (const auto& pacer = book_.pacer; !pacer.waiting.empty())
      next = std::min(next, now_ + pacer.wait_for(pacer.waiting.rbegin()->first) + Duration(1));
    if (next == Time::max() || (timer_due_ > now_ && timer_due_ <= next)) return;
    timer_due_ = next;
    actions_.push_back(SetTimer{TimerId(++last_timer_), std::max(next - now_, Duration(1))});
  }

  void log(std::string text) { actions_.push_back(Log{std::move(text)}); }

  Settings settings_;
  std::mt19937_64 rng_;
  Time now_{};
  std::vector<Action> actions_;
  LeaseBook book_;
  std::map<ServerId, Server> servers_;
  std::vector<double> latency_;  // per class: EWMA of good answers, seconds; 0: none yet
  std::unordered_map<RequestId, Request> requests_;
  std::deque<RequestId> queue_;
  std::set<CustomerId> released_;  // whose slots were released in this event
  std::vector<std::pair<std::size_t, std::vector<Server*>>> subsets_;  // per zone: size; servers by rank
  std::vector<Server*> candidates_;                                    // scratch space of choose_server
  double subset_size_ = 0;                                             // sum over zones
  double steady_ = 0;  // answers a second here per warm server
  Time steady_at_{};
  DecayingCount answers_, arrivals_;            // good answers of all servers; requests
  double in_flight_limit_ = 0, in_flight_ = 0;  // own requests at all servers; limit 0: not set yet
  double retry_tokens_ = kMaxRetryTokens;
  double max_worth_ = 1e-9;  // of a request, by class and units
  bool subscribed_ = false;
  std::set<std::pair<Time, RequestId>> alarms_;
  Time next_sweep_{}, timer_due_{};
  std::uint64_t last_timer_ = 0;
};

Gateway::Gateway(Settings settings, std::uint64_t seed)
    : logic_(std::make_unique<Logic>(std::move(settings), seed)) {}
Gateway::Gateway(Gateway&&) noexcept = default;
Gateway& Gateway::operator=(Gateway&&) noexcept = default;
Gateway::~Gateway() = default;
std::vector<Action> Gateway::handle(Time now, const Event& event) { return logic_->handle(now, event); }
TableSizes Gateway::sizes() const { return logic_->sizes(); }

double most_units(const Plan& plan) { return make_quota(plan).limit; }

}  // namespace snowknot
