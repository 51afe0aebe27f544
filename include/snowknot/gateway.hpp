// The interface of snowknot: settings, events, actions and class Gateway. The decisions are in src/logic.cpp.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace snowknot {

using Duration = std::chrono::nanoseconds;

// The clock that the host passes in. All gateways of a fleet must read the same one, to within the
// counter's timeout, as the window of a customer's count is derived from it. It must not go backwards.
struct FleetClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<FleetClock>;
  static constexpr bool is_steady = true;
};
using Time = FleetClock::time_point;

enum class RequestId : std::uint64_t {};
enum class CustomerId : std::uint64_t {};
enum class ServerId : std::uint32_t {};
enum class CountName : std::uint64_t {};   // below 2^63
enum class TimerId : std::uint64_t {};     // below 2^63
enum class ClassIndex : std::uint32_t {};  // index into Settings::classes
enum class PlanIndex : std::uint32_t {};   // index into Settings::plans
enum class ZoneIndex : std::uint32_t {};   // any numbering that the host uses consistently

// ---- Settings: fixed for the lifetime of a Gateway ----------------------------------------------

enum class Effect { safe, keyed, unsafe };  // may run twice: yes; in a group that drops duplicates; no
enum class Group { all, zone, cell };       // for keyed: which servers drop each other's duplicates

// Properties shared by the requests of one kind.
struct RequestClass {
  std::string name;
  double worth = 1;
  double late_worth = 0;  // fraction of the worth that a late answer earns
  Duration aim{};         // an answer within it earns the full worth
  Duration deadline{};    // total time that a client waits
  Effect effect = Effect::safe;
  Group group = Group::all;
  Duration memory_span{};  // how long the group detects duplicates of a keyed request
  bool streamed = false;
};

// The quotas of a customer: a token bucket, a hard ceiling and a cap on open attempts.
struct Plan {
  std::string name;
  double rate = 0;          // units a second; 0: no bucket
  double burst = 0;         // capacity of the bucket, units
  double ceiling_rate = 0;  // units a second; 0: no ceiling
  double ceiling_burst = 0;
  double ceiling_slack = 0;
  std::uint32_t max_open = 0;  // open attempts over all gateways; 0: no cap
  double price = 1;
  double over_worth = 0;
  double over_cost = 0;
};

struct Settings {
  std::vector<RequestClass> classes;
  std::vector<Plan> plans;
  std::uint32_t fleet_size = 1;  // number of gateways
  std::uint32_t index = 0;       // of this gateway, below fleet_size
  ZoneIndex zone{};
  // limits on attempts and features
  std::uint32_t max_attempts = 1;
  bool second_copies = false;  // accepted, but the module makes none
  bool cancel = false;
  bool probes = false;
  bool retry_after = false;
  Duration max_retry_after{};
  Duration connect_timeout{};
  // the counter service
  bool counter = false;
  Duration counter_timeout{};
  double counter_price = 0;
  double max_units = 1;  // maximum units of one request
  bool settled_after = false;
  // timing and warm-up rules
  Duration answer_slack{};
  Duration drain_grace{};
  double fall_multiple = 1;
  Duration fall_time{};
  double start_capacity = 1;  // minimum fraction of its capacity that a server has after a start
  Duration warm_within{};
  // prices, in points of the result per unit
  double cross_zone_price = 0;
  double probe_price = 0;
  bool discovery_must_ask = false;
  bool weights_known = false;  // ServerInfo::weight is a relative server size
};

// Throws std::invalid_argument, naming the field, for invalid settings.
void validate(const Settings& settings);

// ---- Events: what the host reports -------------------------------------------------------------

enum class Phase { ready, draining, gone };

struct ServerInfo {
  ServerId id{};
  ZoneIndex zone{};
  std::uint32_t cell = 0;
  Phase phase = Phase::ready;
  std::optional<Time> started{};  // last start; none: long ago
  double weight = 1;
};

enum class ListKind { changes, full, cached, failed };

// A change of the server list, or the whole list.
struct ListUpdate {
  ListKind kind = ListKind::full;
  std::vector<ServerInfo> entries;
};

struct Arrival {
  RequestId request{};
  ClassIndex request_class{};
  PlanIndex plan{};
  CustomerId customer{};
  Duration time_left{};  // until the client abandons this try
  double units = 1;
  std::uint32_t gateways = 1;  // number of gateways that this customer may use
  bool is_retry = false;
};

enum class Outcome { ok, error, full, timeout, connect_failed, reset, cancelled, never_sent };

struct LoadReport {
  std::optional<double> in_flight, queue, utilisation, latency_ms;
};

struct AttemptEnded {
  RequestId request{};
  std::uint32_t attempt = 0;
  ServerId server{};
  Outcome outcome = Outcome::ok;
  Duration took{};
  bool finished = false;  // the client has received its final answer
  double true_units = 0;  // 0: unknown
  std::optional<LoadReport> load{};
  bool last = false;  // the request can't be sent again: part of its body is no longer buffered
};

struct StreamStarted {
  RequestId request{};
  std::uint32_t attempt = 0;
};

// Whether the server of an attempt waits for more of the request, or has nothing left to do but to forward
// its answer. Otherwise it has the whole request and processes it, which is assumed until this event. Only
// attempts that a server processes count as its load.
struct AttemptWaits {
  RequestId request{};
  std::uint32_t attempt = 0;
  bool waits = true;
};

struct ProbeEnded {
  ServerId server{};
  Outcome outcome = Outcome::ok;
  Duration took{};
  std::optional<LoadReport> load{};
};

struct TimerDue {
  TimerId timer{};
};

struct ClientGone {
  RequestId request{};
};

// refused: nothing was added; timeout: unknown; added: added, but the total could not be read
enum class CountOutcome { ok, refused, timeout, added };

struct CountAnswer {
  CountName name{};
  CountOutcome outcome = CountOutcome::ok;
  double total = 0;  // valid when ok
  Duration took{};
};

// The counter was seen to be empty or to hold older counts: counts of windows that began until `at` are
// unreliable.
struct CountsLost {
  Time at{};
};

// The success rate of other gateways' attempts at a server, where the host knows it. It counts while this
// gateway has seen no failure there itself.
struct ServerSeen {
  ServerId server{};
  double success = 1;
};

struct PeerMessage {  // accepted and ignored: gateways share state only through the counter
  std::uint32_t from = 0;
};

using Event = std::variant<ListUpdate, Arrival, AttemptEnded, StreamStarted, AttemptWaits, ProbeEnded,
                           TimerDue, ClientGone, CountAnswer, CountsLost, ServerSeen, PeerMessage>;

// ---- Actions: what the host must do, in the given order -----------------------------------------

struct Send {  // start the next attempt of a request; attempts are numbered 0, 1, 2 in this order
  RequestId request{};
  ServerId server{};
  Duration timeout{};
};
struct Refuse {  // final answer: rejected, a retry does no harm
  RequestId request{};
  Duration retry_after{};
};
struct Fail {  // final answer: failed; the request may have run
  RequestId request{};
};
struct Cancel {  // stop waiting for one attempt; its AttemptEnded still comes
  RequestId request{};
  std::uint32_t attempt = 0;
};
struct AddToCount {  // add to a count at the counter service; one CountAnswer comes back
  CountName name{};
  double amount = 0;
  Duration lifetime{};  // from the first call for a name
};
struct SetTimer {  // one TimerDue comes back after the delay, never immediately
  TimerId timer{};
  Duration delay{};
};
struct Probe {  // check a server; one ProbeEnded comes back
  ServerId server{};
};
struct Subscribe {};  // subscribe to the server list; only with Settings::discovery_must_ask
struct Log {
  std::string text;
};

using Action = std::variant<Send, Refuse, Fail, Cancel, AddToCount, SetTimer, Probe, Subscribe, Log>;

// The maximum units that one request of a plan can be granted; infinite without a quota. A larger request is
// refused at once, without a time to retry.
double most_units(const Plan& plan);

// Sizes of the tables, for tests and monitoring.
struct TableSizes {
  std::size_t requests = 0, customers = 0, servers = 0, calls = 0, alarms = 0;
  std::size_t listed = 0, avoided = 0;  // servers on the list; those of them that get no requests now
};

// One gateway's decisions. It owns all its state, reads no clock, does no I/O and starts no thread; calls on
// one object must not overlap, separate objects are independent. Events go in one by one in the order in
// which they happened, each with the time at which it is handled; the returned actions take effect at that
// time. The same seed, settings and events give the same actions. After a restart create a new object.
//
// The constructor throws what validate() throws. handle() throws only std::bad_alloc: unknown ids, late
// outcomes and unexpected timers are ignored. A host reports each request id in one Arrival, and exactly one
// AttemptEnded, ProbeEnded, CountAnswer or TimerDue for each Send, Probe, AddToCount or SetTimer, also for a
// cancelled attempt.
class Gateway {
 public:
  Gateway(Settings settings, std::uint64_t seed);
  Gateway(Gateway&&) noexcept;
  Gateway& operator=(Gateway&&) noexcept;
  ~Gateway();

  std::vector<Action> handle(Time now, const Event& event);
  TableSizes sizes() const;

 private:
  class Logic;
  std::unique_ptr<Logic> logic_;
};

}  // namespace snowknot
