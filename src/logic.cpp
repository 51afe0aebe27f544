// Every decision of snowknot. The interface is include/snowknot/gateway.hpp.
//
// Sections, as a request meets them: 1 settings (window, limit), 2 lease book (units, calls, who waits),
// 3 server table, 4 choice, 5 attempts (sends, final answers), 6 timers (alarms, sweep, probes).
// Time comes with each event, random numbers from the seed alone. Where order reaches an action, containers
// are ordered; hash tables are for look-up only.
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

// ---- Tuned values: each with its unit and reason --------------------------------------------------
constexpr Duration kLongestCount = 60s;  // the counter keeps no name for longer
constexpr double kQuantumRequests = 4;   // "a few requests' units" in one lease
constexpr Duration kAheadSpan = 10s;     // how far ahead reserves are leased: outlasts most outages
constexpr std::int64_t kAheadMost = 16;  // windows ahead at most: bounds the table and the calls
constexpr double kAheadPart = 1.25;      // of the customer's pace: some more, as arrivals are uneven
constexpr double kAheadStep = 0.5;       // part of the quantum that must be missing before a call is made
constexpr double kAheadPace = 0.4;       // requests a window here from which a customer counts as steady
constexpr double kFirstCall = 0.05;  // part of the counter's time-out that a call takes, before one was seen
constexpr double kSlowCall = 0.3;    // part of the counter's time-out past which an answer shows a line there
constexpr double kSlowCallWide = 0.2;  // the same in a wide fleet: more join the line before one is seen
constexpr double kCallRise = 0.2;  // of the fair rate, added for each quick answer while calls are held back
constexpr double kCallCut = 0.3;   // part of the rate taken off for a call that failed; less for a slow one
constexpr double kCallLeast = 0.25;  // of the fair rate, however bad: the fleet together then leaves it room
constexpr double kCallsSaved = 3;    // calls that can be saved up at least
constexpr Duration kCallSpan = 100ms;   // and the span over which more are
constexpr int kCounterStrikes = 3;      // failed calls in a row before the counter is held to be down
constexpr Duration kCalm = 500ms;       // without a call turned away or overdue, before reserves are leased
constexpr Duration kRestarted = 500ms;  // an outage as long may have been a restart: counts may be gone
constexpr double kCounterRetry = 2;     // trial calls to a counter that is down: one in so many time-outs
constexpr Duration kUseMemory = 20s;    // over which a customer's own tries here, and its use, are remembered
constexpr double kShutLeast = 0.05;  // part of a window in which a spent store is not asked again
constexpr double kUnitSlop = 1e-6;   // totals come rounded to seven digits
constexpr double kCountSlop = 2e-3;  // or to thousandths: less than that is missing from no count
constexpr double kLatencyGain = 0.07;       // EWMA gain per answer: about the last 14, as work varies a lot
constexpr double kHealthGain = 0.2;         // EWMA gain of success per outcome: five failures show clearly
constexpr double kWideHealthGain = 0.4;     // the same in a wide fleet: as two do, where each sees few
constexpr double kSickBelow = 0.4;          // success EWMA under which a server is ejected
constexpr Duration kFirstEjection = 400ms;  // first time out of the choice; doubles while it goes on failing
constexpr Duration
    kWideEjection = 2s;  // the same in a wide fleet: each sends a server one request in so long
constexpr Duration kLongestEjection = 5s;  // longer would waste a server that came back
constexpr Duration kRateMemory = 4s;       // over which own answers a second are averaged
constexpr double kFirstPerServer = 5;      // in flight per server, fleet-wide, before anything is learned
constexpr double kLeastBound = 0.1;  // own requests in flight: fewer would never show that servers recovered
constexpr double kLateShare = 0.6;  // an answer past this part of its aim says that the servers hold too many
constexpr double kBoundCut = 0.1;   // part of the bound taken off for each such answer: halved in about 7
constexpr double kBoundRise = 0.15;  // requests added for each answer in good time at a used bound
constexpr double kBoundUsed = 0.8;   // "nearly used"
constexpr double
    kBoundBack = 0.02;  // part added for each other answer, up to the first bound: a sixth may be late
constexpr std::uint32_t
    kWideFleet = 15;                    // gateways past which each has a part of the servers, met by so many
constexpr std::size_t kNearLeast = 12;  // servers in a part at least
constexpr double kWideWindow = 0.5;     // wide fleet: a window, of the time in which an empty store fills
constexpr double kWideStart = 0.5;      // of the limit, what the store is thought to hold where one begins,
constexpr double kWideStartMore = 0.5;  // with so much of a request, as what is left over of one serves none
constexpr double kWideInflow = 0.4;     // of the rate, how fast it is thought to fill in it
constexpr double kColdPush = 1.2;  // wide fleet: a cold server's share, against its warmth times a warm one's
constexpr Duration kSteadyMemory = 30s;  // and for how long what a warm one was sent is remembered
constexpr double kColdFirst = 0.3;       // wide fleet: of its cost, for a cold server that has earned a send
constexpr Duration
    kOwnSpan = 4s;  // wide fleet: own sends that are remembered, to go round the servers evenly
constexpr double kWideGain = 0.15;  // and the gain per answer there, as they come seldom
constexpr Duration
    kSlowMemory = 10s;  // and over which a server that is not sent to is held for as good as others
constexpr double kParkShare = 0.3;  // part of the aim that a request may wait for a place; later is too late
constexpr double kRetryEarn = 0.1;  // further attempts earned per request: keeps retries under a tenth
constexpr double kRetryMost = 10;   // and how many can be saved up
constexpr double kZoneWeight = 20;  // how strongly the price of crossing zones weighs in the choice
constexpr Duration kLogGap = 10s;   // a server that comes and goes is told of once in so long
constexpr Duration kSweep = 250ms;  // period of the housekeeping

// A count of events that forgets: each weighs e^-1 after `span`.
struct Recent {
  double sum = 0;
  Time at{};
  double count(Time now, Duration span) const { return sum * std::exp(-seconds(now - at) / seconds(span)); }
  double rate(Time now, Duration span) const { return count(now, span) / seconds(span); }
  void add(Time now, Duration span) { sum = count(now, span) + 1, at = now; }
};

// ---- 1 Settings -----------------------------------------------------------------------------------

// What follows from a plan. Its store holds `limit` units and fills within a `window`, so what it held at a
// window's start and what flowed in since may be leased in it: up to twice the limit, never over `most`. A
// span that touches k+1 windows can admit (k+1) times `most` and lasts at least k-1 windows. A ceiling allows
// ceiling_burst + ceiling_rate * span, so it holds for every k when 2 * most <= ceiling_burst and most <=
// ceiling_rate * window. ceiling_slack stays as a margin.
// In a wide fleet few gateways know what a window before left over, and who is refused seldom calls again in
// time to hand its units back. Stores thought to begin full would give twice the rate to who asks a little
// more than it, and counts that refused units fill starve who asks much more. So windows are short there, all
// begin with the same part of the limit and add a part of the rate: what can be had of one is little more
// than flows in, and most of that at once. Who was idle gets less of a burst than it may.
struct Terms {
  bool metered = false, ceiling = false;
  double limit = 0, most = 0;
  double rate = 0;    // units a second that flow into a window
  double start = -1;  // what the store holds as a window begins, whatever was seen; below 0: goes by that
  Duration window{}, fill{};  // `fill`: an empty store is full after it
};

Terms terms_of(const Plan& p, bool wide = false, double request = 0) {
  Terms t;
  t.ceiling = p.ceiling_rate > 0;
  double rate = p.rate;
  t.limit = p.rate > 0 ? p.burst : std::numeric_limits<double>::infinity();
  if (t.ceiling) {
    rate = rate > 0 ? std::min(rate, p.ceiling_rate) : p.ceiling_rate;
    t.limit = std::min(t.limit, p.ceiling_burst / 2);
  }
  t.metered = rate > 0;
  if (!t.metered) return t;
  t.limit = std::min(t.limit, rate * seconds(kLongestCount - 1s));
  t.window = t.fill = std::max(from_seconds(t.limit / rate), Duration(1ms));
  t.rate = t.limit / seconds(t.fill);
  if (wide) t.window = std::max(scaled(t.fill, kWideWindow), Duration(1ms));
  if (wide && t.ceiling)  // the largest request must fit into one
    t.window = std::max(t.window, std::min(from_seconds(request / p.ceiling_rate), t.fill));
  if (wide) t.start = std::min(t.limit, kWideStart * t.limit + kWideStartMore * request);
  if (wide) t.rate *= kWideInflow;
  t.most = (wide ? t.start : t.limit) + t.rate * seconds(t.window);
  if (t.ceiling) t.most = std::min({t.most, p.ceiling_burst / 2, p.ceiling_rate * seconds(t.window)});
  return t;
}

// ---- 2 Lease book ---------------------------------------------------------------------------------
// Invariants: units are spent in the window they were leased in, or without a ceiling in the next; at most
// one call out per name; what all gateways lease of one window never passes `most` while the counter keeps
// count, and its reserve, which has a count of its own, never the limit. Under a ceiling a reserve is spent
// only in windows in which nothing else could be leased.

struct Units {
  double held = 0;
  double added = 0;     // own net amount known to be in the count
  double owed = 0;      // of timed-out adds: taken off at the next call; below 0: to be added then
  bool credit = false;  // a request has passed before its units were leased
  double doubt = 0;     // what adds without an answer would have added since the last total
  double seen = 0;      // that total, with what is known to have been added since
  Time seen_at{};       // when it came
  bool empty = false;   // a reserve of which no units are left
  Time shut{};          // until then nothing can be had of the present window
  double lacked = 0;    // units of the request that the last answer had no room for; 0: it had room
};

struct Lease {
  PlanIndex plan{};
  std::int64_t window = std::numeric_limits<std::int64_t>::min();
  Units now;                               // of the present window
  std::map<std::int64_t, Units> reserves;  // of it and of windows to come, for an outage of the counter
  double store = -1;                       // units that the store held at its start; below 0: taken for full
  double total = -1;                       // of its count, at the last answer; below 0: none came
  double level = -1;                       // what the store then held, by all that was seen; below 0: full
  Time level_at{};
  double units = 1;            // of its last request
  std::uint32_t gateways = 1;  // that it comes through
  double asked = 0;            // units asked for here in this window
  double pace = 0;             // EWMA of that over windows
  double queued = -1;          // what the call that waits its turn is worth; below 0: none waits
  bool call_out = false;       // for the present window's name
  Recent tries;                // here
  double over = 0;             // what was asked of the last window called for, times its limit
  Time called_at{};
  std::uint32_t open = 0;  // requests here that hold a place under their plan's cap
  std::deque<RequestId> waiting;
};

struct Call {
  CustomerId customer{};
  std::int64_t window = 0;
  double quantum = 0;  // units wanted; 0: only hands back
  double amount = 0;   // what was added, owed units taken off
  bool reserve = false;
};

// How many calls this gateway makes. Invariant: of all that wait, the one worth most is made first. No
// gateway sees the others: each keeps to a rate of its own, which falls with slow and failed calls and rises
// with quick ones, from its fair part of a counter that takes one call at a time. Guards against a line at
// the counter in which calls time out and are worked on for nobody: a large fleet, a surge, a slow counter,
// one that is down. It can hurt when single answers are slow without a line.
struct CounterPace {
  Duration timeout{};
  double fleet = 1, slow = kSlowCall, fastest = 0;  // seconds: the quickest answer so far
  double rate = 0, saved = 0;                       // calls a second; calls that may be made now
  Time saved_at{}, cut_at{}, struck_at{}, crowded_at{}, down_since{};
  std::set<std::pair<double, CustomerId>> waiting;  // by what the call is worth, 0 to 1
  int strikes = 0;

  CounterPace(Duration limit, double gateways)
      : timeout(std::max(limit, Duration(1))),
        fleet(gateways),
        slow(gateways > kWideFleet ? kSlowCallWide : kSlowCall),
        fastest(seconds(timeout) * kFirstCall) {
    rate = fair();
    saved = std::min(most(), 1 + rate * seconds(timeout));
  }
  bool down() const { return strikes >= kCounterStrikes; }
  double fair() const { return 1 / std::max(1e-9, fleet * fastest); }
  double most() const { return std::max(kCallsSaved, rate * seconds(kCallSpan)); }
  // What must be saved up for a call: the less it is worth, the more is left for others.
  double needed(double value) const { return 1 + (1 - value) * (most() - 1) / 2; }
  bool may_call(double value) const { return saved >= needed(down() ? 1 : value); }
  bool spare() const { return waiting.empty() && may_call(0); }
  Duration wait_for(double value) const { return from_seconds(std::max(0.0, needed(value) - saved) / rate); }
  // A call would be waited for longer than a healthy counter takes to answer.
  bool short_of_calls(double value = 0) const { return wait_for(value) > scaled(timeout, kCounterRetry); }

  void save(Time now) {
    const auto since = std::exchange(saved_at, now);
    if (since != Time{}) saved = std::min(most(), saved + rate * seconds(now - since));
  }

  void learn(Time now, CountOutcome o, Duration took) {
    const bool ok = o == CountOutcome::ok || o == CountOutcome::added;
    if (ok) fastest = std::clamp(seconds(took), 1e-5, fastest);
    if (ok && down()) rate = std::max(rate, fair());
    // Calls that were out together when a connection broke are one strike: only one made since tells more.
    if (ok) strikes = 0;
    if (!ok && now - took >= struck_at) {
      struck_at = now;
      if (++strikes == kCounterStrikes) down_since = now;
    }
    const double part = ok ? seconds(took) / seconds(timeout) : 1.0;
    if (o == CountOutcome::refused || took >= timeout) crowded_at = now;
    if (part < slow) {
      if (!spare()) rate += kCallRise * fair();
    } else if (now - took >= cut_at) {  // one cut for all calls made before the last one
      rate *= 1 - kCallCut * std::min(1.0, (part - slow) / (1 - slow));
      cut_at = now;
    }
    rate = std::max(rate, kCallLeast * fair());
    if (!down()) return;
    rate = std::min(fair(), 1 / (kCounterRetry * seconds(timeout)));  // for trials
    saved = std::min(saved, 0.0);
  }
};

struct LeaseBook {
  explicit LeaseBook(const Settings& s) : pace(s.counter_timeout, s.fleet_size) {
    const bool wide = s.counter && s.fleet_size > kWideFleet;
    for (const auto& p : s.plans) terms.push_back(terms_of(p, wide, s.max_units));
    on_credit.assign(s.plans.size(), 0.0);
  }
  std::vector<Terms> terms;
  std::vector<double> on_credit;  // by plan: units passed before they were leased, not yet in any count
  std::map<CustomerId, Lease> leases;
  std::map<CountName, Call> calls;
  CounterPace pace;
  Time lost_at = Time::min();  // when the counter was last seen to have lost counts

  // Windows are staggered by customer so that rolls do not crowd the counter.
  Duration offset(CustomerId c, const Terms& t) const {
    return Duration(static_cast<Duration::rep>(mix(static_cast<std::uint64_t>(c)) %
                                               static_cast<std::uint64_t>(t.window.count())));
  }
  std::int64_t window_at(Time now, CustomerId c, const Terms& t) const {
    return (now.time_since_epoch() + offset(c, t)) / t.window;
  }
  Time window_end(CustomerId c, const Terms& t, std::int64_t w) const {
    return Time((w + 1) * t.window - offset(c, t));
  }
  static CountName name_of(CustomerId c, std::int64_t w) {
    return CountName(mix(mix(static_cast<std::uint64_t>(c)) ^ static_cast<std::uint64_t>(w)) >> 1);
  }
  static CountName reserve_of(CustomerId c, std::int64_t w) {
    return CountName(mix(static_cast<std::uint64_t>(name_of(c, w))) >> 1);
  }
  static double store_of(const Lease& l, const Terms& t) {
    return t.start >= 0 ? t.start : l.store < 0 ? t.limit : l.store;
  }
  // What may have been leased of the present window by now.
  double limit_at(Time now, CustomerId c, const Lease& l) const {
    const auto& t = at(terms, l.plan);
    const auto gone = std::clamp(t.window - (window_end(c, t, l.window) - now), Duration{}, t.window);
    return std::min(t.most, store_of(l, t) + flown_in(gone, t));
  }
  static double flown_in(Duration d, const Terms& t) { return t.rate * seconds(d); }
  // What the store holds, as far as was seen here. A count alone doesn't tell: a store that was full and not
  // used for most of a window holds the limit then, not that and what flowed in.
  static double level_of(Time now, const Lease& l, const Terms& t) {
    return l.level < 0 ? t.limit : std::min(t.limit, l.level + flown_in(now - l.level_at, t));
  }
  // With an answer by which others have leased so much since the last one: just now, at a guess, as they look
  // as often; where it is the first of the window, evenly in it.
  double level_after(Time now, CustomerId c, const Lease& l, double others) const {
    const auto& t = at(terms, l.plan);
    if (t.start >= 0) return t.limit;
    const auto since = l.total < 0 ? std::max(window_end(c, t, l.window) - t.window, l.level_at) : now;
    return std::clamp(level_of(since, l, t) + flown_in(now - since, t) - others, 0.0, t.limit);
  }
  void roll(Time now, CustomerId c, Lease& l) const {
    const auto& t = at(terms, l.plan);
    const auto w = window_at(now, c, t);
    if (w == l.window) return;
    const bool next = w == l.window + 1;
    l.pace = next ? (l.pace + l.asked) / 2 : 0;
    // What a window's count left over stays in the store; what was leased there and not spent is spent now.
    const double held = store_of(l, t) + flown_in(t.window, t) - l.total;
    l.store = next && l.total >= 0 ? std::clamp(held, 0.0, t.limit) : -1;
    const double left = next && !t.ceiling ? l.now.held : 0;
    l.asked = 0, l.window = w, l.total = -1;
    l.reserves.erase(l.reserves.begin(), l.reserves.lower_bound(w));
    l.now = Units{};
    l.now.held = left;
    l.call_out = calls.contains(name_of(c, w));
  }
};

// ---- 3 Server table -------------------------------------------------------------------------------
// Invariants: load is the sum of what attempts without outcome added; a server not listed as ready is never
// chosen; one that is cold is sent no more than its warm-up share of what warm ones answer.

struct Server {
  ServerInfo info;
  bool listed = false;
  std::uint32_t in_flight = 0, out = 0;  // own attempts: that it works on, and all
  double load = 0;      // expected seconds of work that own attempts keep there
  double slowness = 1;  // EWMA of latency over what its class takes on average
  Time slow_at{};       // when that was learnt
  double sent_sum = 0;  // of when own attempts that are out there were sent, seconds since `sent_base`
  Time sent_base{};
  Recent own;          // own sends
  double share = 1;    // wide fleet: of what a server gets of each gateway, so that all get the same in all
  double success = 1;  // EWMA of outcomes
  Time cold_since = Time::min();
  double credit = 0;  // sends a cold server may take, as of credit_at
  Time credit_at{}, ejected_until = Time::min();
  Time first_ejected{};  // for the log only
  Duration ejection{};
  int misses = 0;        // connects that failed since the last good answer
  bool probing = false;  // a probe is out

  bool ready() const { return listed && info.phase == Phase::ready; }
};

// ---- 5 Attempts: state of one request -----------------------------------------------------------

struct Attempt {
  ServerId server{};
  Time sent{};
  double work = 0;  // its part of Server::load
  Time since{};     // counted there
  bool counted = false, out = true;
};

enum class Stage { leasing, parked, sent, ended };

struct Request {
  ClassIndex cls{};
  PlanIndex plan{};
  CustomerId customer{};
  double units = 1;
  std::uint32_t gateways = 1;
  Time arrived{}, deadline{};
  Time alarm = Time::max();
  Stage stage = Stage::leasing;
  bool repeat = false;  // its client has asked before
  bool speaks = false;  // its call also adds what its plan has on credit
  double lot = 0;       // 0 to 2: what must be free of the bound, by chance and by worth
  bool may_have_run = false;
  bool unmet = false;       // its last attempt could not connect
  Time first_run{};         // sending of the first attempt that may have run
  ServerInfo ran_at;        // where that was
  std::int64_t window = 0;  // of the units taken
  bool holds_units = false;
  bool holds_place = false;  // of those that its plan's cap leaves this gateway
  std::vector<Attempt> attempts;

  auto out() const { return std::ranges::count(attempts, true, &Attempt::out); }
};

bool proves_not_run(Outcome o) {
  return o == Outcome::full || o == Outcome::connect_failed || o == Outcome::never_sent;
}

}  // namespace

class Gateway::Logic {
 public:
  Logic(Settings s, std::uint64_t seed)
      : set_((validate(s), std::move(s))), rng_(seed), book_(set_), latency_(set_.classes.size(), 0.0) {
    for (const auto& c : set_.classes) most_worth_ = std::max(most_worth_, c.worth * set_.max_units);
  }

  std::vector<Action> handle(Time now, const Event& event) {
    now_ = now;
    out_.clear();
    if (set_.discovery_must_ask && !std::exchange(subscribed_, true)) out_.push_back(Subscribe{});
    book_.pace.save(now_);
    std::visit([this](const auto& e) { on(e); }, event);
    serve_freed();
    serve_calls();
    serve_parked();
    arm();
    return std::move(out_);
  }

  TableSizes sizes() const {
    TableSizes n{requests_.size(), book_.leases.size(), servers_.size(), book_.calls.size(), alarms_.size()};
    for (const auto& [id, s] : servers_)
      n.listed += s.listed, n.avoided += s.listed && (!s.ready() || ejected(s));
    return n;
  }

 private:
  const Terms& terms(const Request& r) const { return at(book_.terms, r.plan); }

  Duration until_roll(CustomerId c, const Lease& l) const {
    const auto& t = at(book_.terms, l.plan);
    return std::max(book_.window_end(c, t, l.window) - now_, Duration(1ms));
  }

  // Takes the request's units and sends it on, lets it wait for a lease, or refuses it.
  void admit(RequestId id, Request& r) {
    const auto& plan = at(set_.plans, r.plan);
    if (!terms(r).metered && plan.max_open == 0) return send_on(id, r);
    auto& l = book_.leases[r.customer];
    l.plan = r.plan;
    if (!terms(r).metered) return take_place(r, l) ? send_on(id, r) : refuse(id, r, back_off());
    book_.roll(now_, r.customer, l);
    l.asked += r.units, l.units = r.units, l.gateways = r.gateways;
    l.tries.add(now_, kUseMemory);
    if (!set_.counter && l.now.added == 0) {  // nothing to lease from: this gateway's part of the limit
      l.now.added = 1;
      l.now.held = std::max(set_.max_units, terms(r).limit / std::max(1u, r.gateways));
      l.now.shut = now_ + until_roll(r.customer, l);
    }
    const bool held = l.waiting.empty() && take(r, l);
    lease_reserves(r.customer, l);
    if (held) return send_on(id, r);
    if (const auto opens = opens_at(r.customer, l, r.units); now_ < opens) return refuse(id, r, opens - now_);
    if (!has_place(r, l)) return wait_for_place(id, r, l);
    if (!l.call_out && book_.pace.down() && !book_.pace.may_call(1)) return refuse(id, r, counter_back_off());
    // One that was refused before is seldom granted. In a wide fleet, where each try costs a call and the
    // counter may not have one for all, it gets one that nothing else wants.
    if (!l.call_out && wide() && r.repeat && !book_.pace.spare()) return refuse(id, r, back_off());
    if (!l.call_out && book_.pace.short_of_calls(call_value(r))) {
      if (may_pass_on_credit(r, l)) {
        l.now.credit = take_place(r, l), at(book_.on_credit, r.plan) += r.units;
        return send_on(id, r);
      }
      if (now_ + book_.pace.wait_for(call_value(r)) >= send_by(r))
        return refuse(id, r, back_off());  // no call could be had in time
    }
    r.speaks = may_pass_on_credit(r, l);
    r.stage = Stage::leasing;
    l.waiting.push_back(id);
    set_alarm(id, r, std::max(now_, send_by(r)));
    if (!l.call_out) lease_more(r.customer, l);
  }

  // A cap on attempts out at once is not part of the escrow: each gateway keeps to its part of it. A request
  // has its place from when it takes its units, not from its sending: else all that wait for one lease would
  // pass the cap together.
  bool is_capped(const Request& r) const { return at(set_.plans, r.plan).max_open > 0; }
  std::uint32_t places(const Request& r) const {
    return std::max(1u, at(set_.plans, r.plan).max_open / r.gateways);
  }
  bool has_place(const Request& r, const Lease& l) const { return !is_capped(r) || l.open < places(r); }
  bool take_place(Request& r, Lease& l) {
    if (!has_place(r, l)) return false;
    if (is_capped(r)) ++l.open, r.holds_place = true;
    return true;
  }
  void give_place(Request& r) {
    if (!std::exchange(r.holds_place, false)) return;
    if (auto* l = find(book_.leases, r.customer); l && l->open > 0) --l->open, freed_.insert(r.customer);
  }

  // Places come free within an answer's time, so as many wait as can have one before it is too late to send.
  void wait_for_place(RequestId id, Request& r, Lease& l) {
    const double in_time = seconds(send_by(r) - now_) / expected(r) * places(r);
    if (static_cast<double>(l.waiting.size()) + 1 > in_time) return refuse(id, r, back_off());
    r.stage = Stage::leasing;
    l.waiting.push_back(id);
    set_alarm(id, r, std::max(now_, send_by(r)));
  }
  void serve_freed() {
    while (!freed_.empty()) {
      const auto c = freed_.extract(freed_.begin()).value();
      auto* l = find(book_.leases, c);
      if (!l || l->waiting.empty()) continue;
      book_.roll(now_, c, *l);
      settle_waiting(c, *l);
    }
  }

  bool take(Request& r, Lease& l) {
    if (!has_place(r, l)) return false;
    auto& held = l.now.held + kUnitSlop < r.units ? reserve(r.customer, l) : l.now.held;
    if (held + kUnitSlop < r.units) return false;
    held -= r.units;
    r.holds_units = take_place(r, l);
    r.window = l.window;
    return true;
  }

  // What may be spent in place of a lease: nothing while the counter answers. The window in which it went
  // down may have been leased whole before: there it is for customers that were inside their quota, and for
  // none under a ceiling. Where one gateway alone is cut off from the counter, its part comes on top of what
  // the others lease: a ceiling gives that much a window, though not both bursts within half of one.
  double& reserve(CustomerId c, Lease& l) {
    const auto& t = at(book_.terms, l.plan);
    const auto found = l.reserves.find(l.window);
    const bool begun_since = book_.window_end(c, t, l.window) - t.window >= book_.pace.down_since;
    if (!book_.pace.down() || found == l.reserves.end() || !(begun_since || (!t.ceiling && l.over <= 1)))
      return l.now.held;
    return found->second.held;
  }

  // Units that a request leaves over, or lacks if below 0, are held again, within their window.
  void put_back(const Request& r, double units) {
    if (auto* l = find(book_.leases, r.customer); l && l->window == r.window) l->now.held += units;
  }

  // What this request is worth, by class and units, against the dearest one there can be.
  double worth_part(const Request& r) const {
    return std::clamp(cls(r).worth * r.units / most_worth_, 0.0, 1.0);
  }
  // What a call for it is worth: under a ceiling nothing passes without one.
  double call_value(const Request& r) const { return (terms(r).ceiling + worth_part(r)) / 2; }

  // While calls are short, though the counter answers, a request may pass on credit, before its units are
  // leased. The next call made for one that might have passed so adds them too: it speaks for all of its
  // plan, and counts stay true on average. One for a customer, window and gateway, none under a ceiling, and
  // only if the customer comes here no more often than to a gateway with an even part of its rate, and was
  // not found over its quota lately. Guards against refusing most of what is inside quotas when the fleet
  // has outgrown its counter. It hurts where one over its quota comes once to each of many gateways.
  bool may_pass_on_credit(const Request& r, const Lease& l) const {
    if (terms(r).ceiling || book_.pace.strikes > 1 || l.now.credit) return false;
    if (now_ < l.called_at + kUseMemory) return l.over <= 1;
    return (l.tries.sum - 1) * r.gateways <= at(set_.plans, r.plan).rate * seconds(kUseMemory);
  }

  // While the counter is down nobody knows for how long: as long again as it has been is the best guess.
  Duration counter_back_off() const {
    return std::max(scaled(set_.counter_timeout, kCounterRetry), now_ - book_.pace.down_since);
  }

  bool begun_before_loss(CustomerId c, const Terms& t, std::int64_t window) const {
    return book_.window_end(c, t, window) - t.window <= book_.lost_at;
  }

  void lease_more(CustomerId c, Lease& l) {
    const auto& t = at(book_.terms, l.plan);
    // After a loss of counts nobody knows what was leased: windows begun before it stay shut for ceilings.
    if (t.ceiling && begun_before_loss(c, t, l.window)) {
      l.now.shut = now_ + until_roll(c, l);
      return settle_waiting(c, l);
    }
    double wanted = 0, largest = 1, gateways = 1, value = 0;
    bool speaks = false;
    for (const auto id : l.waiting) {
      const auto& r = requests_.at(id);
      value = std::min(1.0, value + call_value(r));
      speaks = speaks || r.speaks;
      wanted += r.units;
      largest = std::max(largest, r.units);
      gateways = std::max<double>(gateways, r.gateways);
    }
    auto& pace = book_.pace;
    if (!pace.may_call(value)) {
      pace.waiting.erase({std::exchange(l.queued, value), c});
      return void(pace.waiting.insert({value, c}));
    }
    double few = std::min(kQuantumRequests * largest, t.limit / (2.0 * gateways));
    if (pace.short_of_calls())
      few = std::max(few, std::min(l.pace, t.limit / gateways));  // fewer calls, each for a window's pace
    few = std::floor(few / largest) * largest;  // a part of a request would lie here unspent
    const double quantum = std::min(std::max({few, wanted - l.now.held, largest}), t.limit);
    const double extra = speaks ? std::min(std::exchange(at(book_.on_credit, l.plan), 0.0), t.limit) : 0;
    call(c, l, l.window, quantum, quantum + extra - std::exchange(l.now.owed, 0));
  }

  void serve_calls() {
    auto& p = book_.pace;
    while (!p.waiting.empty() && p.may_call(p.waiting.rbegin()->first)) {
      const auto c = p.waiting.rbegin()->second;
      p.waiting.erase(std::prev(p.waiting.end()));
      auto* l = find(book_.leases, c);
      if (!l) continue;
      l->queued = -1;
      book_.roll(now_, c, *l);
      settle_waiting(c, *l);
    }
  }

  void call(CustomerId c, Lease& l, std::int64_t window, double quantum, double amount,
            bool reserve = false) {
    const auto& t = at(book_.terms, l.plan);
    const auto name = reserve ? book_.reserve_of(c, window) : book_.name_of(c, window);
    book_.calls[name] = Call{c, window, quantum, amount, reserve};
    if (!reserve) l.call_out = true;
    book_.pace.saved -= 1;
    const auto life = book_.window_end(c, t, window) - now_ + set_.counter_timeout;
    out_.push_back(AddToCount{name, amount, std::min(life, kLongestCount)});
  }

  // Leases for windows to come, to be spent only in an outage of the counter: they carry a customer over one
  // that is silent, refusing or lost, from its first seconds here on. A count of their own bounds them by the
  // limit, so that nothing is missing from the window's own count wherever the customer comes; each gateway
  // takes what was asked for here in a window and some more, an even part at most. Not for one of which
  // nothing but one request was ever seen, here or in its count. It costs a call for each window, customer
  // and gateway, so none is made near a sign of a line at the counter, and it may let in twice the limit in a
  // window without a ceiling in which an outage begins or ends.
  void lease_reserves(CustomerId c, Lease& l) {
    const auto& t = at(book_.terms, l.plan);
    const double asked = std::max(l.pace, l.asked);
    const bool known = l.pace > 0 || l.asked > l.units || l.total > l.now.added + kCountSlop;
    const double part = std::floor(t.limit / l.gateways);
    if (!set_.counter || wide() || !known || book_.pace.strikes > 0 || asked < kAheadPace * l.units)
      return;  // in a wide fleet each try needs a call, and there are none to spare for these
    if (part < l.units || !book_.pace.spare() || now_ < book_.pace.crowded_at + kCalm) return;
    const double wanted = std::max(std::ceil(asked * kAheadPart), kQuantumRequests * l.units);
    const double quantum = std::min(wanted, part);
    const auto span = std::min<std::int64_t>(kAheadMost, kAheadSpan / t.window + 1);
    for (auto w = l.window + 1; w <= l.window + span; ++w) {
      auto& u = l.reserves[w];
      const double more = quantum - u.held;
      if (u.empty || more < kAheadStep * quantum || book_.calls.contains(book_.reserve_of(c, w))) continue;
      return call(c, l, w, more, more - std::exchange(u.owed, 0), true);
    }
  }

  void on(const CountAnswer& e) {
    const auto node = book_.calls.extract(e.name);
    if (!node) return;
    const Call& done = node.mapped();
    auto& pace = book_.pace;
    const bool was_down = pace.down();
    pace.learn(now_, e.outcome, e.took);
    if (was_down != pace.down()) log(was_down ? "counter answers again" : "counter held to be down");
    if (was_down && !pace.down() && now_ > pace.down_since + kRestarted) lost_counts(now_);
    if (!book_.leases.contains(done.customer)) return;
    auto& l = book_.leases[done.customer];
    book_.roll(now_, done.customer, l);
    if (done.reserve) {
      if (done.window >= l.window) credit_reserve(done, e, l);
    } else if (l.window == done.window) {
      l.call_out = false;
      credit(done, e, l, l.now);
    }
    settle_waiting(done.customer, l);
  }

  // Windows under a ceiling stay shut that began before; of their reserves nobody knows the counts any more.
  void on(const CountsLost& e) {
    if (e.at <= book_.lost_at || e.at < now_ - kLongestCount) return;  // or of no window that may be open
    log("counts are lost, says the store");
    lost_counts(std::min(e.at, now_));
  }

  void lost_counts(Time since) {
    book_.lost_at = since;
    for (auto& [c, l] : book_.leases)
      if (at(book_.terms, l.plan).ceiling) l.reserves.clear();
  }

  void credit_reserve(const Call& done, const CountAnswer& e, Lease& l) {
    const double limit = at(book_.terms, l.plan).limit;
    auto& u = l.reserves[done.window];
    if (e.outcome != CountOutcome::ok) {  // one that timed out may have been added, and is left there
      if (e.outcome != CountOutcome::timeout)
        u.owed = e.outcome == CountOutcome::added ? done.quantum : done.quantum - done.amount;
      return;
    }
    const double excess = std::clamp(e.total - limit, 0.0, done.quantum);
    u.held += done.quantum - excess;
    u.owed += excess;
    u.empty = e.total >= limit - kUnitSlop;
  }

  void credit(const Call& done, const CountAnswer& e, Lease& l, Units& u) {
    const auto& t = at(book_.terms, l.plan);
    if (e.outcome != CountOutcome::ok) {
      // A timed-out add counts as refused and is taken off at the next call. Under a ceiling it is not: were
      // it never added, taking it off would let the count run past the limit.
      const bool added = e.outcome == CountOutcome::added;
      if (added) u.added += done.amount, u.seen += done.amount;
      if (e.outcome == CountOutcome::timeout && !t.ceiling) u.doubt += done.amount;
      const bool maybe_added = added || e.outcome == CountOutcome::timeout;
      if (added || !t.ceiling) u.owed = maybe_added ? done.quantum : done.quantum - done.amount;
      return;
    }
    const double before = u.added;
    u.added += done.amount;
    double total = e.total;
    if (t.ceiling && begun_before_loss(done.customer, t, done.window)) {  // the count may have begun anew
      u.shut = book_.window_end(done.customer, t, done.window);
      return;
    }
    const double slop = kUnitSlop * std::max(1.0, std::abs(e.total)) + kUnitSlop;
    if (total < u.added - slop - kCountSlop) {  // the counter came back without its counts
      // What was last seen before a loss that is known went with it, and tells of no other.
      if (u.seen_at >= book_.lost_at) {
        if (book_.lost_at < now_ - kSweep) log("counter lost its counts");
        lost_counts(now_);
      }
      if (t.ceiling) {
        u.shut = book_.window_end(done.customer, t, done.window);
        return;
      }
      total += before;  // at least what this gateway had leased is used
      u.added = e.total, u.doubt = 0;
    }
    // What the total lacks of adds without an answer was never added, and taken off for nothing: it is added
    // at the next call. Guards against counts that fall behind what is spent while connections break. It can
    // hurt when another gateway takes off as much meanwhile: then the count runs ahead until the window ends.
    const double lacks = std::clamp(u.doubt - std::max(0.0, e.total - u.seen - done.amount), 0.0, t.limit);
    total += lacks;
    u.doubt = 0, u.seen = e.total;
    u.seen_at = now_;
    const double others = total - done.quantum - std::max(0.0, l.total);  // since the last answer
    const double level = book_.level_after(now_, done.customer, l, others);
    const double limit = std::min(book_.limit_at(now_, done.customer, l), total - done.quantum + level);
    const double wanted = l.waiting.empty() ? 1 : requests_.at(l.waiting.front()).units;
    double excess = std::clamp(total - limit, 0.0, done.quantum);
    if (t.start >= 0 && u.held + done.quantum - excess < wanted - slop) excess = done.quantum;  // of no use
    if (done.quantum > 0) {
      const auto gone = seconds(t.window - until_roll(done.customer, l));
      l.over = total / t.limit * seconds(t.fill) / std::max(gone, 0.25 * seconds(t.fill));
      l.called_at = now_;
    }
    u.held += done.quantum - excess;
    l.total = total - excess;
    l.level = t.start >= 0 ? -1 : std::max(0.0, level - (done.quantum - excess)), l.level_at = now_;
    l.now.lacked = l.total + wanted - limit > kUnitSlop ? wanted : 0;
    u.owed -= lacks;
    if (excess <= slop) return;
    if (excess >= done.quantum - slop || book_.pace.short_of_calls()) return void(u.owed += excess);
    call(done.customer, l, done.window, 0, -excess - std::exchange(u.owed, 0));
  }

  // When units may be asked for: at once, or if the last answer had no room for a request, when the store has
  // filled as far as these need. A smaller one than was refused may have room before; one as large is not
  // asked for again at once, as what has flowed in belongs to whoever calls first then.
  Time opens_at(CustomerId c, const Lease& l, double units) const {
    const auto& t = at(book_.terms, l.plan);
    if (now_ < l.now.shut || l.now.lacked == 0) return l.now.shut;
    const auto end = book_.window_end(c, t, l.window);
    if (l.total + units > t.most + kUnitSlop) return end;
    const double room = std::min(book_.limit_at(now_, c, l) - l.total, LeaseBook::level_of(now_, l, t));
    const double lacks = units - room;
    auto opens = lacks > kUnitSlop ? now_ + from_seconds(lacks / t.rate) + Duration(1ms) : now_;
    if (units >= l.now.lacked) opens = std::max(opens, l.now.seen_at + scaled(t.window, kShutLeast));
    return std::min(opens, end);
  }

  // After an answer: whoever fits passes in order of arrival; the others get one more call or a refusal.
  void settle_waiting(CustomerId c, Lease& l) {
    while (!l.waiting.empty()) {
      const auto id = l.waiting.front();
      auto& r = requests_.at(id);
      if (!has_place(r, l)) return;  // goes on when one comes free
      if (take(r, l)) {
        l.waiting.pop_front();
        send_on(id, r);
      } else if (const auto opens = opens_at(c, l, r.units); now_ < opens) {
        l.waiting.pop_front();
        refuse(id, r, opens - now_);
      } else if (l.call_out) {
        return;
      } else if (book_.pace.down()) {
        l.waiting.pop_front();
        refuse(id, r, counter_back_off());
      } else {
        return lease_more(c, l);
      }
    }
  }

  void on(const ListUpdate& e) {
    if (e.kind == ListKind::failed) return void(subscribed_ = false);  // asked for again with the next event
    if (e.kind != ListKind::changes)
      for (auto& [id, s] : servers_) s.listed = false;
    for (const auto& entry : e.entries) {
      auto [it, fresh] = servers_.try_emplace(entry.id);
      auto& s = it->second;
      const bool restarted = entry.started && (fresh || !s.info.started || *entry.started > *s.info.started);
      s.info = entry;
      s.listed = entry.phase != Phase::gone;
      if (restarted) start_cold(s, *entry.started);
    }
    std::erase_if(servers_, [](const auto& e2) { return !e2.second.listed && e2.second.out == 0; });
    pick_near();
  }

  // In a wide fleet each gateway keeps to a part of the servers, the first sound ones in an order of its own,
  // by rendezvous hashing: it changes with the servers that come and go alone. All know the fleet's size, so
  // each knows by how many gateways a server is met, and sends it the less the more they are. Where crossing
  // zones has a price every zone has a part of its own. Guards against connections that grow with gateways
  // times servers, against learning of each server by too few answers, and of each that is gone by a failure
  // at every gateway. It hurts while gateways go by different lists.
  bool wide() const { return set_.fleet_size > kWideFleet; }
  void pick_near() {
    near_.clear();
    near_size_ = 0;
    if (!wide()) return;
    std::map<ZoneIndex, std::vector<Server*>> zones;
    for (auto& [id, s] : servers_)
      if (s.ready()) zones[set_.cross_zone_price > 0 ? s.info.zone : ZoneIndex{}].push_back(&s);
    for (auto& [zone, all] : zones) {
      const auto part = std::max(kNearLeast,
                                 (all.size() * kWideFleet + set_.fleet_size - 1) / set_.fleet_size);
      if (part >= all.size()) {
        near_.push_back({all.size(), all});
        near_size_ += static_cast<double>(all.size());
        for (auto* s : all) s->share = 1;
        continue;
      }
      std::vector<std::uint32_t> met(all.size());
      std::vector<std::pair<std::uint64_t, std::size_t>> order(all.size()), own;
      for (std::uint32_t g = 0; g < set_.fleet_size; ++g) {
        const auto salt = mix(g);
        for (std::size_t i = 0; i < all.size(); ++i)
          order[i] = {mix(salt ^ static_cast<std::uint64_t>(all[i]->info.id)), i};
        std::nth_element(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(part), order.end());
        for (std::size_t i = 0; i < part; ++i) ++met[order[i].second];
        if (g == set_.index) own = order;
      }
      std::sort(own.begin(), own.end());
      near_size_ += static_cast<double>(part);
      const double even = static_cast<double>(part) * set_.fleet_size / static_cast<double>(all.size());
      auto& mine = near_.emplace_back(part, std::vector<Server*>{}).second;
      for (const auto& [score, i] : own) {
        all[i]->share = even / std::max(1u, met[i]);
        mine.push_back(all[i]);
      }
    }
  }

  // Slow start. Guards a server that began anew, as the list says or a probe after failed connects. It hurts
  // where a server was only cut off: it is used too little for a while.
  void start_cold(Server& s, Time since) {
    if (now_ - since >= set_.warm_within) return;
    s.cold_since = std::max(s.cold_since, since);
    s.credit = unit_random(), s.credit_at = now_;
    s.slowness = s.success = 1, s.own = {};
    s.ejected_until = Time::min(), s.ejection = {}, s.misses = 0;
  }

  bool is_cold(const Server& s) const {
    return s.cold_since != Time::min() && now_ - s.cold_since < set_.warm_within;
  }

  // What a cold server can do against a warm one, by the slowest warm-up that the settings allow.
  double warmth(const Server& s) const {
    const double part = seconds(now_ - s.cold_since) / std::max(1e-9, seconds(set_.warm_within));
    return set_.start_capacity + (1 - set_.start_capacity) * std::clamp(part, 0.0, 1.0);
  }

  // A cold server earns its warm-up share of what this gateway is answered for each server's worth of
  // capacity (with no warm server: of what comes in for each server); over all gateways that is its share in
  // all. Its first part is drawn by lot, as in a large fleet each sends a server less than one request in
  // its warm-up.
  void earn_credit(Server& s, bool any_warm, double capacity) {
    double each = any_warm ? answers_.rate(now_, kRateMemory) / capacity
                           : arrivals_.rate(now_, kRateMemory) / static_cast<double>(servers_.size());
    if (wide()) each = kColdPush * std::max(each, steady(now_));
    s.credit = std::min(1.0, s.credit + seconds(now_ - s.credit_at) * each * warmth(s) * s.share);
    s.credit_at = now_;
  }

  // What a warm server answered this gateway in its better times: when most are gone or cold, what is
  // answered falls, and the cold ones' share would fall with it.
  double steady(Time now) const {
    return steady_ * std::exp(-seconds(now - steady_at_) / seconds(kSteadyMemory));
  }

  bool ejected(const Server& s) const { return now_ < s.ejected_until; }

  void eject(Server& s, const char* why) {
    const auto first = wide() ? kWideEjection : kFirstEjection;
    s.ejection = std::clamp(s.ejection * 2, first, kLongestEjection);
    s.ejected_until = now_ + s.ejection;
    if (s.ejection == first && now_ - std::exchange(s.first_ejected, now_) > kLogGap)
      log("server " + std::to_string(static_cast<std::uint32_t>(s.info.id)) + " ejected: " + why);
  }

  void learn(Server& s, const Request& r, const AttemptEnded& e) {
    const bool good = e.outcome == Outcome::ok;
    if (e.outcome == Outcome::cancelled || e.outcome == Outcome::never_sent) return;
    const bool late = e.outcome == Outcome::timeout;  // a sign of load, not of ill health
    if (!late) s.success += (wide() ? kWideHealthGain : kHealthGain) * ((good ? 1.0 : 0.0) - s.success);
    if (good || late) {
      const double took = seconds(e.took);
      auto& usual = at(latency_, r.cls);
      if (good) usual += (usual == 0 ? 1 : kLatencyGain / 2) * (took - usual);
      const double known = slowness(s);
      if (usual > 0 && (good || took > usual))
        s.slowness = known + (wide() ? kWideGain : kLatencyGain) * (took / usual - known), s.slow_at = now_;
      bound_by(r, e);
    }
    if (good) {
      answers_.add(now_, kRateMemory);
      s.ejection = {};
      s.misses = 0;
      return;
    }
    // A broken connection or a full server, from whatever cause, lowers its share by its success. Only a
    // failed connect takes it out at once, and two in a row mean a restart. It hurts when connections break
    // as it dies.
    if (e.outcome == Outcome::connect_failed) ++s.misses;
    // Of a wide fleet each keeps too little at a server to fill it: one that turns it away is about to go.
    // An error there is as telling: waiting for more of them would be one for each gateway.
    const bool tells = wide() && (e.outcome == Outcome::full || e.outcome == Outcome::error);
    if (!ejected(s) && (e.outcome == Outcome::connect_failed || tells || s.success < kSickBelow))
      eject(s, "failures");
  }

  // The bound on what this gateway keeps at the servers, learned from how answers stand against their aims.
  // Guards against queues there that make all late: surge, fewer or slower servers, stalls. It can hurt when
  // work is long by nature: then a part of the capacity stays unused.
  void bound_by(const Request& r, const AttemptEnded& e) {
    if (seconds(e.took) > kLateShare * seconds(cls(r).aim)) {
      bound_ = std::max(kLeastBound, bound_ * (1 - kBoundCut));
    } else if (e.outcome == Outcome::ok && in_flight_ + 1 >= bound_ * kBoundUsed) {
      bound_ += kBoundRise * std::min(1.0, bound_ / kFirstPerServer);
    } else if (e.outcome == Outcome::ok && wide() && bound_ < first_bound()) {
      bound_ = std::min(first_bound(), bound_ * (1 + kBoundBack));
    }
  }

  // At first this gateway's part of a few for each server, and room for the chance of arrivals about that.
  double first_bound() const {
    const double part = kFirstPerServer * static_cast<double>(servers_.size()) / set_.fleet_size;
    return std::max(kLeastBound, part + 2 * std::sqrt(part));
  }
  double bound() {
    if (bound_ == 0) bound_ = first_bound();
    return bound_;
  }

  void on(const ProbeEnded& e) {
    auto* known = find(servers_, e.server);
    if (!known || (known->probing = false, known->misses == 0)) return;
    auto& s = *known;
    if (e.outcome != Outcome::ok) return ++s.misses, eject(s, "no connection");
    s.ejected_until = now_;
    if (std::exchange(s.misses, 0) > 1) start_cold(s, now_);
  }

  // Hearsay for a start: it ends with the first ejection, or with own answers.
  void on(const ServerSeen& e) {
    auto* s = find(servers_, e.server);
    if (!s || s->success < 1 || ejected(*s)) return;
    s->success = std::clamp(e.success, 0.0, 1.0);
    if (s->success < kSickBelow) eject(*s, "others say so");
  }

  // ---- 4 Choice -------------------------------------------------------------------------------------

  enum class Pick { server, wait, none };

  bool may_go_to(const Request& r, const Server& s) const {
    if (!s.ready()) return false;
    if (!r.may_have_run || cls(r).effect != Effect::keyed) return true;
    if (cls(r).group == Group::zone) return s.info.zone == r.ran_at.zone;
    if (cls(r).group == Group::cell) return s.info.cell == r.ran_at.cell;
    return true;
  }

  double expected(const Request& r) const {
    const double l = at(latency_, r.cls);
    return l > 0 ? l : seconds(cls(r).aim) / 8;  // before the first answer
  }

  // How slow a server is held to be. In a wide fleet one that is avoided gets no answers to show that it is
  // well.
  double slowness(const Server& s) const {
    if (!wide()) return s.slowness;
    return 1 + (s.slowness - 1) * std::exp(-seconds(now_ - s.slow_at) / seconds(kSlowMemory));
  }
  // In a wide fleet the own load says little, as others have theirs there too: own sends of the last seconds
  // are spread evenly, and what is out for longer than usual counts with its time, before it has ended.
  double burden(const Request& r, const Server& s) const {
    if (!wide()) return s.load + expected(r);
    const double out_for = s.in_flight * seconds(now_ - s.sent_base) - s.sent_sum;
    return std::max(s.load, out_for) + expected(r) * (1 + s.own.count(now_, kOwnSpan) / s.share);
  }

  // Among the near servers, or among all where none of them is sound.
  Pick choose(const Request& r, ServerId& chosen) {
    auto& some = among_;
    some.clear();
    for (const auto& [part, order] : near_) {
      std::size_t sound = 0;
      for (auto* s : order) {
        if (sound == part) break;
        if (s->ready() && !ejected(*s)) ++sound, some.push_back(s);
      }
    }
    if (const auto pick = choose(r, chosen, some); pick != Pick::none) return pick;
    some.clear();
    for (auto& [id, s] : servers_) some.push_back(&s);
    return choose(r, chosen, some);
  }

  Pick choose(const Request& r, ServerId& chosen, const std::vector<Server*>& among) {
    double best = std::numeric_limits<double>::infinity();
    bool any = false, sound = false, warm = false;
    double capacity = 0;  // of all that is sound, in warm servers
    const bool room = in_flight_ + r.lot < bound();
    for (const auto* s : among) {
      if (!s->ready() || ejected(*s)) continue;
      sound = sound || may_go_to(r, *s), warm = warm || !is_cold(*s);
      capacity += is_cold(*s) ? warmth(*s) : 1;
    }
    // Not while some are missing or cold: the answers of the last seconds came from more than there are now.
    if (wide() && capacity > 0 && capacity >= near_size_)
      steady_ = std::max(answers_.rate(now_, kRateMemory) / capacity, steady(now_)), steady_at_ = now_;
    for (auto* p : among) {
      auto& s = *p;
      if (!may_go_to(r, s)) continue;
      any = true;
      if (!room) break;
      if (sound && ejected(s)) continue;  // when all look bad, they are used rather than none
      if (is_cold(s)) {
        earn_credit(s, warm, capacity);
        if (s.credit < 1) continue;
      }
      double cost = slowness(s) * burden(r, s) / std::max(0.1, s.success);
      if (is_cold(s) && wide()) cost *= kColdFirst;
      if (wide()) cost *= slowness(s);  // few see it: what one has seen there counts the more
      if (set_.weights_known && s.info.weight > 0) cost /= s.info.weight;
      if (s.info.zone != set_.zone) cost *= 1 + kZoneWeight * set_.cross_zone_price;
      for (const auto& a : r.attempts)
        if (a.server == s.info.id) cost *= 4;  // somewhere else, if there is such a place
      cost *= 1 + 0.05 * unit_random();
      if (cost < best) best = cost, chosen = s.info.id;
    }
    return best < std::numeric_limits<double>::infinity() ? Pick::server : any ? Pick::wait : Pick::none;
  }

  // ---- 5 Attempts and final answers -----------------------------------------------------------------

  const RequestClass& cls(const Request& r) const { return at(set_.classes, r.cls); }
  double unit_random() { return static_cast<double>(rng_() >> 11) * 0x1.0p-53; }

  // Advice after a refusal that is not about quota: about one aim, so that clients do not come in step.
  Duration back_off() { return scaled(set_.classes.front().aim, 0.5 + unit_random()); }

  void on(const Arrival& e) {
    if (requests_.contains(e.request)) return;
    if (static_cast<std::size_t>(e.request_class) >= set_.classes.size() ||
        static_cast<std::size_t>(e.plan) >= set_.plans.size())
      return out_.push_back(Refuse{e.request, {}});
    if (e.units > at(book_.terms, e.plan).limit) return out_.push_back(Refuse{e.request, {}});  // never had
    arrivals_.add(now_, kRateMemory);
    auto& r = requests_[e.request];
    r.cls = e.request_class, r.plan = e.plan, r.customer = e.customer;
    r.units = std::max(0.0, e.units);
    r.gateways = std::clamp(e.gateways, 1u, set_.fleet_size);
    r.repeat = e.is_retry;
    r.lot = unit_random() + 1 - worth_part(r);
    r.arrived = now_, r.deadline = now_ + e.time_left;
    retry_tokens_ = std::min(kRetryMost, retry_tokens_ + kRetryEarn);
    admit(e.request, r);
  }

  // The latest moment at which a first send still makes sense: an answer must fit into the aim.
  Time send_by(const Request& r) const {
    return r.arrived + scaled(std::min(cls(r).aim, r.deadline - r.arrived), kParkShare);
  }

  // First send. Units are spent now: those of a window that has rolled since are leased anew.
  void send_on(RequestId id, Request& r) {
    if (r.holds_units) {
      auto& l = book_.leases[r.customer];
      book_.roll(now_, r.customer, l);
      if (l.window != r.window) return r.holds_units = false, give_place(r), admit(id, r);
    }
    ServerId server{};
    const auto pick = choose(r, server);
    if (pick == Pick::server) return send(id, r, server);
    if (pick == Pick::none || now_ >= send_by(r)) return refuse(id, r, back_off());
    if (r.stage != Stage::parked) parked_.push_back(id);
    r.stage = Stage::parked;
    set_alarm(id, r, send_by(r));
  }

  void send(RequestId id, Request& r, ServerId server) {
    auto& s = servers_.at(server);
    if (!r.attempts.empty() && !r.unmet) retry_tokens_ -= 1;
    r.holds_units = false, r.stage = Stage::sent;
    if (is_cold(s)) s.credit -= 1;
    if (wide()) s.own.add(now_, kOwnSpan);
    ++s.out;
    count(r.attempts.emplace_back(Attempt{server, now_, expected(r)}), true);
    // No time-out before the client's, and no second copy: on pressed servers both were work done twice.
    set_alarm(id, r, Time::max());
    out_.push_back(Send{id, server, std::max(r.deadline - now_, Duration(1))});
  }

  // Its server works on an attempt, or it waits for bytes of a long body and has room for others.
  void count(Attempt& a, bool works) {
    if (std::exchange(a.counted, works) == works) return;
    in_flight_ += works ? 1 : -1;
    auto* s = find(servers_, a.server);
    if (!s) return;
    if (works && s->in_flight == 0) s->sent_base = now_, s->sent_sum = 0;
    if (works) a.since = now_;
    s->in_flight += works ? 1U : -1U;
    s->sent_sum += (works ? 1 : -1) * seconds(a.since - s->sent_base);
    s->load = s->in_flight == 0 ? 0 : s->load + (works ? a.work : -a.work);
  }

  void on(const AttemptWaits& e) {
    auto* r = find(requests_, e.request);
    if (!r || e.attempt >= r->attempts.size()) return;
    if (auto& a = r->attempts[e.attempt]; a.out) count(a, !e.waits);
  }

  void on(const AttemptEnded& e) {
    auto* known = find(requests_, e.request);
    if (!known || e.attempt >= known->attempts.size()) return;
    auto& r = *known;
    auto& a = r.attempts[e.attempt];
    if (!a.out) return;
    a.out = false;
    r.unmet = e.outcome == Outcome::connect_failed || (wide() && e.outcome == Outcome::full);
    count(a, false);
    if (auto* s = find(servers_, a.server)) {
      --s->out;
      learn(*s, r, e);
      if (!proves_not_run(e.outcome) && !std::exchange(r.may_have_run, true)) {
        r.first_run = a.sent;
        r.ran_at = s->info;
      }
    }
    if (e.true_units > 0 && set_.settled_after) put_back(r, r.units - e.true_units);
    if (e.finished) end(e.request, r);
    if (r.stage != Stage::ended && r.out() == 0) further(e.request, r, e.last);
    forget_if_done(e.request);
  }

  // No attempt is out and the client waits: another one where the class allows it, or the final answer.
  void further(RequestId id, Request& r, bool last) {
    const auto& c = cls(r);
    // One that found nobody there was no work: it needs none of the budget.
    bool allowed = !last && r.attempts.size() < set_.max_attempts && now_ < r.deadline &&
                   (r.unmet || retry_tokens_ >= 1);
    if (r.may_have_run && c.effect == Effect::unsafe) allowed = false;
    // Its first byte may come as late as a connection does: repeats are dropped from the first sending on.
    const bool forgotten = now_ + set_.connect_timeout >= r.first_run + c.memory_span;
    if (r.may_have_run && c.effect == Effect::keyed && forgotten) allowed = false;
    if (c.late_worth == 0 && now_ >= r.arrived + c.aim) allowed = false;
    ServerId server{};
    if (allowed && choose(r, server) == Pick::server) return send(id, r, server);
    const bool harmless = !r.may_have_run || c.effect == Effect::safe ||
                          (c.effect == Effect::keyed && c.group == Group::all);
    if (harmless) return refuse(id, r, back_off());
    out_.push_back(Fail{id});
    end(id, r);
  }

  void refuse(RequestId id, Request& r, Duration retry_after) {
    out_.push_back(Refuse{id, retry_after});
    end(id, r);
    forget_if_done(id);
  }

  void end(RequestId id, Request& r) {
    if (r.stage == Stage::ended) return;
    if (std::exchange(r.holds_units, false)) put_back(r, r.units);  // it was never sent on
    set_alarm(id, r, Time::max());
    give_place(r);
    if (auto* l = find(book_.leases, r.customer); l && r.stage == Stage::leasing) std::erase(l->waiting, id);
    r.stage = Stage::ended;
  }

  void forget_if_done(RequestId id) {
    if (auto* r = find(requests_, id); r && r->stage == Stage::ended && r->out() == 0) requests_.erase(id);
  }

  void on(const StreamStarted& e) {
    if (auto* r = find(requests_, e.request)) set_alarm(e.request, *r, Time::max());
  }

  void on(const ClientGone& e) {
    if (auto* r = find(requests_, e.request)) end(e.request, *r);
    forget_if_done(e.request);
  }

  void on(const PeerMessage&) {}

  // Requests that wait for a place go first come, first served.
  void serve_parked() {
    for (std::size_t n = parked_.size(); n > 0; --n) {
      const auto id = parked_.front();
      parked_.pop_front();
      auto* r = find(requests_, id);
      if (!r || r->stage != Stage::parked) continue;
      ServerId server{};
      if (choose(*r, server) == Pick::wait) return parked_.push_front(id);
      r->stage = Stage::leasing;
      send_on(id, *r);
    }
  }

  // ---- 6 Timers -------------------------------------------------------------------------------------

  void set_alarm(RequestId id, Request& r, Time at) {
    if (r.alarm != Time::max()) alarms_.erase({r.alarm, id});
    r.alarm = at;
    if (at != Time::max()) alarms_.insert({at, id});
  }

  void on(const TimerDue& e) {
    if (e.timer == TimerId(timers_)) armed_ = {};  // also when a coarser clock brings it a hair early
    while (!alarms_.empty() && alarms_.begin()->first <= now_) {
      const auto id = alarms_.begin()->second;
      auto& r = requests_.at(id);
      set_alarm(id, r, Time::max());
      refuse(id, r, back_off());  // it waited for a lease or a place
    }
    if (now_ >= next_sweep_) sweep();
  }

  // Drops leases of past windows, so that customers seen once do not accumulate, and probes lost servers.
  void sweep() {
    next_sweep_ = now_ + kSweep;
    for (auto it = book_.leases.begin(); it != book_.leases.end();) {
      auto& l = it->second;
      const auto& t = at(book_.terms, l.plan);
      const auto w = t.metered ? book_.window_at(now_, it->first, t) : l.window + 1;
      it = w != l.window && now_ > l.tries.at + kUseMemory && l.waiting.empty() && l.open == 0
               ? book_.leases.erase(it)
               : std::next(it);
    }
    for (auto& [id, s] : servers_) {
      if (s.misses == 0 || !s.ready() || s.probing || !set_.probes) continue;
      if (now_ < s.ejected_until - kSweep) continue;
      s.probing = true;
      s.ejected_until = std::max(s.ejected_until, now_ + kFirstEjection);
      out_.push_back(Probe{id});
    }
  }

  void arm() {
    const bool busy = !book_.leases.empty() || !servers_.empty();
    Time next = alarms_.empty() ? Time::max() : alarms_.begin()->first;
    if (busy) next = std::min(next, std::max(next_sweep_, now_ + Duration(1)));
    if (const auto& p = book_.pace; !p.waiting.empty())
      next = std::min(next, now_ + p.wait_for(p.waiting.rbegin()->first) + Duration(1));
    if (next == Time::max() || (armed_ > now_ && armed_ <= next)) return;
    armed_ = next;
    out_.push_back(SetTimer{TimerId(++timers_), std::max(next - now_, Duration(1))});
  }

  void log(std::string text) { out_.push_back(Log{std::move(text)}); }

  Settings set_;
  std::mt19937_64 rng_;
  Time now_{};
  std::vector<Action> out_;
  LeaseBook book_;
  std::map<ServerId, Server> servers_;
  std::vector<double> latency_;  // per class: EWMA of good answers, seconds; 0: none yet
  std::unordered_map<RequestId, Request> requests_;
  std::deque<RequestId> parked_;
  std::set<CustomerId> freed_;                                      // whose places came free with this event
  std::vector<std::pair<std::size_t, std::vector<Server*>>> near_;  // wide fleet, by zone: how many, by rank
  std::vector<Server*> among_;  // of the last choice, kept for its memory
  double near_size_ = 0;        // servers in a whole part, of all zones
  double steady_ = 0;  // answers a second for each warm server, here
  Time steady_at_{};
  Recent answers_, arrivals_;         // good answers of all servers; requests
  double bound_ = 0, in_flight_ = 0;  // own requests at all servers; bound 0: nothing sent yet
  double retry_tokens_ = kRetryMost;
  double most_worth_ = 1e-9;  // of a request, by class and units
  bool subscribed_ = false;
  std::set<std::pair<Time, RequestId>> alarms_;
  Time next_sweep_{}, armed_{};
  std::uint64_t timers_ = 0;
};

Gateway::Gateway(Settings settings, std::uint64_t seed)
    : logic_(std::make_unique<Logic>(std::move(settings), seed)) {}
Gateway::Gateway(Gateway&&) noexcept = default;
Gateway& Gateway::operator=(Gateway&&) noexcept = default;
Gateway::~Gateway() = default;
std::vector<Action> Gateway::handle(Time now, const Event& event) { return logic_->handle(now, event); }
TableSizes Gateway::sizes() const { return logic_->sizes(); }

double most_units(const Plan& plan) { return terms_of(plan).limit; }

}  // namespace snowknot
