// Reads the settings as they come in JSON, for the wire adapter and for the edge node. Every mistake names the
// field.
#pragma once

#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>

#include "snowknot/gateway.hpp"

namespace snowknot::reading {

using nlohmann::json;

// ---- Reading values: every mistake names the field ----------------------------------------------

struct FieldError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline const json* optional_field(const json& o, const char* key) {
  const auto it = o.find(key);
  return it == o.end() || it->is_null() ? nullptr : &*it;
}
inline const json& field(const json& o, const char* key) {
  if (const auto* v = optional_field(o, key)) return *v;
  throw FieldError(std::string("field '") + key + "' is missing");
}
[[noreturn]] inline void wrong(const char* key, const char* wanted) {
  throw FieldError(std::string("field '") + key + "' is not " + wanted);
}
inline std::int64_t integer_of(const json& v, const char* key) {
  if (v.is_number_unsigned() && v.get<std::uint64_t>() > INT64_MAX) wrong(key, "a whole number below 2^63");
  if (!v.is_number_integer()) wrong(key, "a whole number");
  return v.get<std::int64_t>();
}
inline std::uint64_t natural_of(const json& v, const char* key) {
  if (!v.is_number_unsigned()) {
    if (!v.is_number_integer() || v.get<std::int64_t>() < 0) wrong(key, "a whole number of 0 or more");
  }
  return v.get<std::uint64_t>();
}
inline std::uint32_t small_of(const json& v, const char* key) {
  const auto n = natural_of(v, key);
  if (n > UINT32_MAX) wrong(key, "a number below 2^32");
  return static_cast<std::uint32_t>(n);
}
inline double number_of(const json& v, const char* key) {
  if (!v.is_number()) wrong(key, "a number");
  return v.get<double>();
}
inline bool truth_of(const json& v, const char* key) {
  if (!v.is_boolean()) wrong(key, "true or false");
  return v.get<bool>();
}
inline const std::string& text_of(const json& v, const char* key) {
  if (!v.is_string()) wrong(key, "a string");
  return v.get_ref<const std::string&>();
}
inline const json& list_of(const json& v, const char* key) {
  if (!v.is_array()) wrong(key, "a list");
  return v;
}
inline const json& object_of(const json& v, const char* key) {
  if (!v.is_object()) wrong(key, "an object");
  return v;
}

inline std::int64_t integer(const json& o, const char* k) { return integer_of(field(o, k), k); }
inline std::uint32_t small(const json& o, const char* k) { return small_of(field(o, k), k); }
inline double number(const json& o, const char* k) { return number_of(field(o, k), k); }
inline bool truth(const json& o, const char* k) { return truth_of(field(o, k), k); }
inline const std::string& text(const json& o, const char* k) { return text_of(field(o, k), k); }
inline Duration nanos(const json& o, const char* k) { return Duration(integer(o, k)); }
inline double number_or_0(const json& o, const char* k) {
  const auto* v = optional_field(o, k);
  return v ? number_of(*v, k) : 0.0;
}

inline std::uint64_t hex(const json& o, const char* k) {
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

template <class T, std::size_t N>
T named(const json& o, const char* k, const std::array<std::pair<const char*, T>, N>& words) {
  const auto& word = text(o, k);
  for (const auto& [name, value] : words)
    if (word == name) return value;
  throw FieldError(std::string("field '") + k + "' has the unknown value '" + word + "'");
}

// ---- Settings -------------------------------------------------------------------------------------

struct Names {  // of what the settings number
  std::map<std::string, std::uint32_t> classes, plans, zones;
};
struct NamedSettings {
  Settings settings;
  Names names;
};

inline std::map<std::string, std::uint32_t> numbered(const json& names, const char* key) {
  std::map<std::string, std::uint32_t> index;
  for (const auto& n : list_of(names, key)) index.emplace(text_of(n, key), index.size());
  return index;
}
inline std::uint32_t index_of(const std::map<std::string, std::uint32_t>& names, const json& o,
                              const char* key) {
  const auto it = names.find(text(o, key));
  if (it == names.end()) throw FieldError(std::string("field '") + key + "' names nothing in the settings");
  return it->second;
}

inline RequestClass request_class(const json& g) {
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

inline Plan plan(const json& p) {
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

inline NamedSettings read_settings(const json& f) {
  const auto& limits = object_of(field(f, "ceilings"), "ceilings");
  const auto& extra = object_of(field(f, "extra"), "extra");
  const auto& safety = object_of(field(f, "safety"), "safety");
  const auto& prices = object_of(field(f, "prices"), "prices");
  NamedSettings named_settings;
  auto& s = named_settings.settings;
  auto& [classes, plans, zones] = named_settings.names;
  zones = numbered(field(f, "zones"), "zones");
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
  return named_settings;
}

}  // namespace snowknot::reading
