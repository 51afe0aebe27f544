// The wire adapter: reads batches of events, hands each to its instance's Gateway, prints the actions.
// It parses, translates and prints; every decision is the Gateway's.
#include <array>
#include <cstdio>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "snowknot/gateway.hpp"

namespace {

using nlohmann::json;
using namespace snowknot;

// ---- Reading values: every mistake names the field ----------------------------------------------

struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

const json* optional_field(const json& o, const char* key) {
  const auto it = o.find(key);
  return it == o.end() || it->is_null() ? nullptr : &*it;
}
const json& field(const json& o, const char* key) {
  if (const auto* v = optional_field(o, key)) return *v;
  throw WireError(std::string("field '") + key + "' is missing");
}
[[noreturn]] void wrong(const char* key, const char* wanted) {
  throw WireError(std::string("field '") + key + "' is not " + wanted);
}
std::int64_t integer_of(const json& v, const char* key) {
  if (v.is_number_unsigned() && v.get<std::uint64_t>() > INT64_MAX) wrong(key, "a whole number below 2^63");
  if (!v.is_number_integer()) wrong(key, "a whole number");
  return v.get<std::int64_t>();
}
std::uint64_t natural_of(const json& v, const char* key) {
  if (!v.is_number_unsigned()) {
    if (!v.is_number_integer() || v.get<std::int64_t>() < 0) wrong(key, "a whole number of 0 or more");
  }
  return v.get<std::uint64_t>();
}
std::uint32_t small_of(const json& v, const char* key) {
  const auto n = natural_of(v, key);
  if (n > UINT32_MAX) wrong(key, "a number below 2^32");
  return static_cast<std::uint32_t>(n);
}
double number_of(const json& v, const char* key) {
  if (!v.is_number()) wrong(key, "a number");
  return v.get<double>();
}
bool truth_of(const json& v, const char* key) {
  if (!v.is_boolean()) wrong(key, "true or false");
  return v.get<bool>();
}
const std::string& text_of(const json& v, const char* key) {
  if (!v.is_string()) wrong(key, "a string");
  return v.get_ref<const std::string&>();
}
const json& list_of(const json& v, const char* key) {
  if (!v.is_array()) wrong(key, "a list");
  return v;
}
const json& object_of(const json& v, const char* key) {
  if (!v.is_object()) wrong(key, "an object");
  return v;
}

std::int64_t integer(const json& o, const char* k) { return integer_of(field(o, k), k); }
std::uint32_t small(const json& o, const char* k) { return small_of(field(o, k), k); }
double number(const json& o, const char* k) { return number_of(field(o, k), k); }
bool truth(const json& o, const char* k) { return truth_of(field(o, k), k); }
const std::string& text(const json& o, const char* k) { return text_of(field(o, k), k); }
Duration nanos(const json& o, const char* k) { return Duration(integer(o, k)); }
double number_or_0(const json& o, const char* k) {
  const auto* v = optional_field(o, k);
  return v ? number_of(*v, k) : 0.0;
}

std::uint64_t hex(const json& o, const char* k) {
  const auto& s = text(o, k);
  if (s.size() != 16) wrong(k, "16 hex digits");
  std::uint64_t n = 0;
  for (const char c : s) {
    if (c >= '0' && c <= '9') {
      n = n * 16 + static_cast<std::uint64_t>(c - '0');
    } else if (c >= 'a' && c <= 'f') {
      n = n * 16 + static_cast<std::uint64_t>(c - 'a' + 10);
    } else {
      wrong(k, "16 hex digits in lower case");
    }
  }
  return n;
}
std::string hex_text(RequestId id) {
  std::array<char, 17> buffer{};
  std::snprintf(buffer.data(), buffer.size(), "%016llx", static_cast<unsigned long long>(id));
  return buffer.data();
}

template <class T, std::size_t N>
T named(const json& o, const char* k, const std::array<std::pair<const char*, T>, N>& words) {
  const auto& word = text(o, k);
  for (const auto& [name, value] : words)
    if (word == name) return value;
  throw WireError(std::string("field '") + k + "' has the unknown value '" + word + "'");
}

Outcome outcome(const json& o) {
  static constexpr std::array<std::pair<const char*, Outcome>, 8> words{
      {{"pass", Outcome::ok},
       {"fault", Outcome::error},
       {"no_room", Outcome::full},
       {"too_slow", Outcome::timeout},
       {"no_route", Outcome::connect_failed},
       {"cut", Outcome::reset},
       {"undone", Outcome::cancelled},
       {"stale_send", Outcome::never_sent}}};
  return named(o, "disposition", words);
}

// ---- Settings -------------------------------------------------------------------------------------

struct Instance {
  Gateway gateway;
  std::map<std::string, std::uint32_t> classes, plans, zones;
};

std::map<std::string, std::uint32_t> numbered(const json& names, const char* key) {
  std::map<std::string, std::uint32_t> index;
  for (const auto& n : list_of(names, key)) index.emplace(text_of(n, key), index.size());
  return index;
}
std::uint32_t index_of(const std::map<std::string, std::uint32_t>& names, const json& o, const char* key) {
  const auto it = names.find(text(o, key));
  if (it == names.end()) throw WireError(std::string("field '") + key + "' names nothing in the settings");
  return it->second;
}

RequestClass request_class(const json& g) {
  static constexpr std::array<std::pair<const char*, Effect>, 3> effects{
      {{"safe", Effect::safe}, {"keyed", Effect::keyed}, {"unsafe", Effect::unsafe}}};
  static constexpr std::array<std::pair<const char*, Group>, 3> groups{
      {{"all", Group::all}, {"zone", Group::zone}, {"cell", Group::cell}}};
  RequestClass c;
  c.name = text(g, "name");
  c.worth = number(g, "gain");
  c.late_worth = number(g, "late-worth");
  c.aim = nanos(g, "on-time-ns");
  c.deadline = nanos(g, "hard-limit-ns");
  c.effect = named(g, "idempotency", effects);
  c.group = named(g, "group", groups);
  c.memory_span = nanos(g, "memory-span-ns");
  c.streamed = truth(g, "streamed");
  return c;
}

Plan plan(const json& p) {
  Plan q;
  q.name = text(p, "name");
  q.rate = number(p, "units-per-s");
  q.burst = number(p, "store-size");
  q.ceiling_rate = number(p, "ceiling-rate");
  q.ceiling_burst = number(p, "cap-depth");
  q.ceiling_slack = number(p, "tolerance");
  q.max_open = small(p, "max-out");
  q.price = number(p, "value-factor");
  q.over_worth = number(p, "over-worth");
  q.over_cost = number(p, "overrun-cost");
  return q;
}

Instance open_instance(const json& e) {
  const auto& f = object_of(field(e, "facts"), "facts");
  const auto& limits = object_of(field(f, "ceilings"), "ceilings");
  const auto& extra = object_of(field(f, "extra"), "extra");
  const auto& safety = object_of(field(f, "safety"), "safety");
  const auto& prices = object_of(field(f, "prices"), "prices");
  std::map<std::string, std::uint32_t> classes, plans, zones = numbered(field(f, "zones"), "zones");
  Settings s;
  for (const auto& g : list_of(field(f, "grades"), "grades")) {
    s.classes.push_back(request_class(object_of(g, "grades")));
    classes.emplace(s.classes.back().name, classes.size());
  }
  for (const auto& p : list_of(field(f, "packages"), "packages")) {
    s.plans.push_back(plan(object_of(p, "packages")));
    plans.emplace(s.plans.back().name, plans.size());
  }
  s.fleet_size = small(f, "fleet-size");
  s.index = small(f, "index");
  s.zone = ZoneIndex(index_of(zones, f, "az"));
  s.max_attempts = small(limits, "max-attempts");
  s.second_copies = truth(limits, "second-copies");
  s.cancel = truth(limits, "cancel");
  s.probes = truth(limits, "probes");
  s.retry_after = truth(limits, "retry-after");
  s.max_retry_after = nanos(limits, "max-retry-after-ns");
  s.connect_timeout = nanos(limits, "connect-timeout-ns");
  s.counter = truth(extra, "counter");
  s.counter_timeout = nanos(extra, "count-limit-ns");
  s.counter_price = number(extra, "counter-price");
  s.max_units = number(extra, "max-units");
  s.settled_after = truth(extra, "trued-up");
  s.answer_slack = nanos(safety, "answer-slack-ns");
  s.drain_grace = nanos(safety, "drain-grace-ns");
  s.fall_multiple = number(safety, "fall-multiple");
  s.fall_time = nanos(safety, "fall-ns");
  s.start_capacity = number(safety, "start-capacity");
  s.warm_within = nanos(safety, "warm-within-ns");
  s.cross_zone_price = number(prices, "cross-zone");
  s.probe_price = number(prices, "probe");
  s.discovery_must_ask = text(f, "discovery") == "ask";
  s.weights_known = text(f, "weights") != "off";
  return {Gateway(std::move(s), natural_of(field(e, "salt"), "salt")), classes, plans, zones};
}

// ---- Events ---------------------------------------------------------------------------------------

struct Line {  // an entry of a registered page; its zone is resolved by the instance that reads it
  ServerInfo info;
  std::string zone;
};
using Page = std::vector<Line>;

Page read_page(const json& e) {
  Page page;
  for (const auto& l : list_of(field(e, "lines"), "lines")) {
    object_of(l, "lines");
    Line line;
    line.info.id = ServerId(small(l, "server"));
    line.info.cell = small(l, "cohort");
    const auto phase = integer(l, "phase");
    if (phase < 0 || phase > 2) wrong("phase", "0, 1 or 2");
    line.info.phase = phase == 1 ? Phase::ready : phase == 2 ? Phase::draining : Phase::gone;
    if (const auto* t = optional_field(l, "last-start-ns"))
      if (const auto at = integer_of(*t, "last-start-ns"); at != 0) line.info.started = Time(Duration(at));
    line.info.weight = number(l, "share");
    line.zone = text(l, "area");
    page.push_back(std::move(line));
  }
  return page;
}

std::optional<LoadReport> report(const json& e) {
  const auto* r = optional_field(e, "report");
  if (!r) return std::nullopt;
  object_of(*r, "report");
  const auto value = [&](const char* key) -> std::optional<double> {
    const auto* v = optional_field(*r, key);
    return v ? std::optional(number_of(*v, key)) : std::nullopt;
  };
  return LoadReport{value("active"), value("waiting"), value("cpu"), value("avg_ms")};
}

ListUpdate membership(const json& e, const Instance& in, const std::map<std::int64_t, Page>& pages) {
  ListUpdate u;
  const auto how = integer(e, "how");
  if (how < 0 || how > 3) wrong("how", "0, 1, 2 or 3");
  u.kind = std::array{ListKind::changes, ListKind::full, ListKind::cached,
                      ListKind::failed}[static_cast<std::size_t>(how)];
  if (u.kind == ListKind::failed) return u;
  const auto page = pages.find(integer(e, "page"));
  if (page == pages.end()) throw WireError("field 'page' names a page that was not registered");
  for (const auto& line : page->second) {
    u.entries.push_back(line.info);
    const auto zone = in.zones.find(line.zone);
    if (zone == in.zones.end()) throw WireError("field 'area' names nothing in the settings");
    u.entries.back().zone = ZoneIndex(zone->second);
  }
  return u;
}

Arrival arrival(const json& e, const Instance& in) {
  Arrival a;
  a.request = RequestId(hex(e, "ticket"));
  a.request_class = ClassIndex(index_of(in.classes, e, "profile"));
  a.plan = PlanIndex(index_of(in.plans, e, "package"));
  a.customer = CustomerId(hex(e, "account"));
  a.time_left = nanos(e, "ttl-ns");
  a.units = number(e, "cost-units");
  a.gateways = small(e, "doors");
  if (const auto* v = optional_field(e, "is-retry")) a.is_retry = truth_of(*v, "is-retry");
  return a;
}

AttemptEnded attempt_ended(const json& e) {
  AttemptEnded a;
  a.request = RequestId(hex(e, "ticket"));
  a.attempt = small(e, "leg");
  a.server = ServerId(small(e, "server"));
  a.outcome = outcome(e);
  a.took = nanos(e, "rtt-ns");
  a.finished = truth(e, "finished");
  a.true_units = number_or_0(e, "final-units");
  a.load = report(e);
  return a;
}

CountAnswer count_answer(const json& e) {
  static constexpr std::array<std::pair<const char*, CountOutcome>, 4> words{
      {{"pass", CountOutcome::ok},
       {"no_room", CountOutcome::refused},
       {"no_route", CountOutcome::refused},
       {"too_slow", CountOutcome::timeout}}};
  CountAnswer a;
  a.name = CountName(natural_of(field(e, "tally-id"), "tally-id"));
  a.outcome = named(e, "disposition", words);
  a.total = a.outcome == CountOutcome::ok ? number(e, "level") : 0;
  a.took = nanos(e, "rtt-ns");
  return a;
}

std::optional<Event> event_of(const std::string& kind, const json& e, const Instance& in,
                              const std::map<std::int64_t, Page>& pages) {
  if (kind == "ask") return arrival(e, in);
  if (kind == "finished") return attempt_ended(e);
  if (kind == "tick-due") return TimerDue{TimerId(natural_of(field(e, "cookie"), "cookie"))};
  if (kind == "ledger-reply") return count_answer(e);
  if (kind == "gone") return ClientGone{RequestId(hex(e, "ticket"))};
  if (kind == "membership") return membership(e, in, pages);
  if (kind == "first") return StreamStarted{RequestId(hex(e, "ticket")), small(e, "leg")};
  if (kind == "checked")
    return ProbeEnded{ServerId(small(e, "server")), outcome(e), nanos(e, "rtt-ns"), report(e)};
  if (kind == "note-from") return PeerMessage{small(e, "author")};
  return std::nullopt;  // an event of a later wire: passed over
}

// ---- Actions --------------------------------------------------------------------------------------

struct Printer {
  json& a;
  void operator()(const Send& s) const {
    a["msg"] = "place";
    a["ticket"] = hex_text(s.request);
    a["server"] = static_cast<std::uint32_t>(s.server);
    a["within-ns"] = s.timeout.count();
  }
  void operator()(const Refuse& s) const {
    a["msg"] = "decline";
    a["ticket"] = hex_text(s.request);
    a["hold-off-ns"] = s.retry_after.count();
  }
  void operator()(const Fail& s) const {
    a["msg"] = "drop-request";
    a["ticket"] = hex_text(s.request);
  }
  void operator()(const Cancel& s) const {
    a["msg"] = "undo-send";
    a["ticket"] = hex_text(s.request);
    a["leg"] = s.attempt;
  }
  void operator()(const AddToCount& s) const {
    a["msg"] = "add-and-get";
    a["tally-id"] = static_cast<std::uint64_t>(s.name);
    a["n"] = s.amount;
    a["ttl-ns"] = s.lifetime.count();
  }
  void operator()(const SetTimer& s) const {
    a["msg"] = "wake-at";
    a["cookie"] = static_cast<std::uint64_t>(s.timer);
    a["delay-ns"] = s.delay.count();
  }
  void operator()(const Probe& s) const {
    a["msg"] = "test";
    a["server"] = static_cast<std::uint32_t>(s.server);
  }
  void operator()(const Subscribe&) const {
    a["msg"] = "subscribe";
    a["active"] = true;
  }
  void operator()(const Log& s) const {
    a["msg"] = "remark";
    a["what"] = s.text;
  }
};

// ---- The process ----------------------------------------------------------------------------------

struct Process {
  std::map<std::string, Instance> instances;
  std::map<std::int64_t, Page> pages;

  void handle(Time now, const json& e, json& out) {
    object_of(e, "happened");
    const auto& kind = text(e, "msg");
    if (kind == "register") {
      pages[integer(e, "page")] = read_page(e);
      return;
    }
    const auto& id = text(e, "node-id");
    if (kind == "open-instance") {
      instances.insert_or_assign(id, open_instance(e));
      return;
    }
    if (kind == "detach") {
      instances.erase(id);
      return;
    }
    const auto it = instances.find(id);
    if (it == instances.end()) throw WireError("field 'node-id' names an instance that was not opened");
    const auto event = event_of(kind, e, it->second, pages);
    if (!event) return;
    for (const auto& action : it->second.gateway.handle(now, *event)) {
      json a = {{"node-id", id}};
      std::visit(Printer{a}, action);
      out.push_back(std::move(a));
    }
  }

  std::string reply(const std::string& line) {
    const json batch = json::parse(line);
    object_of(batch, "batch");
    const Time now{Duration(integer(batch, "wall-ns"))};
    json out = json::array();
    std::size_t n = 0;
    for (const auto& e : list_of(field(batch, "happened"), "happened")) {
      ++n;
      try {
        handle(now, e, out);
      } catch (const std::exception& x) {
        const auto* kind = e.is_object() ? optional_field(e, "msg") : nullptr;
        throw WireError("event " + std::to_string(n) + (kind ? " " + kind->dump() : "") + ": " + x.what());
      }
    }
    return json{{"batch", field(batch, "batch")}, {"out", std::move(out)}}.dump();
  }
};

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  Process process;
  std::string line;
  for (std::size_t number = 1; std::getline(std::cin, line); ++number) {
    try {
      std::cout << process.reply(line) << '\n' << std::flush;
    } catch (const std::exception& x) {
      std::cerr << "snowknot_benchlink: line " << number << ": " << x.what() << '\n';
      return 1;
    }
  }
  return 0;
}
