#include "system/configuration/configuration.hpp"

#include <algorithm>
#include <charconv>
#include <limits>
#include <set>
#include <utility>

namespace docklift::configuration {
namespace {

using Json = nlohmann::json;

// Thrown inside this file only: the first mistake of a document ends its reading.
struct Mistake {
  std::string field, what;
};

[[noreturn]] void wrong(const std::string& field, const std::string& what) { throw Mistake{field, what}; }

const Json& member(const Json& of, const char* key) {
  static const Json none;
  const auto it = of.find(key);
  return it == of.end() ? none : *it;
}

std::string text(const Json& of, const char* key) {
  const auto& v = member(of, key);
  if (!v.is_string() || v.get_ref<const std::string&>().empty()) wrong(key, "is no text");
  return v.get<std::string>();
}

double amount(const Json& of, const char* key, double otherwise) {
  const auto& v = member(of, key);
  if (v.is_null()) return otherwise;
  if (!v.is_number()) wrong(key, "is no number");
  const double n = v.get<double>();
  if (n < 0) wrong(key, "is below 0");
  return n;
}

std::uint32_t count(const Json& of, const char* key, std::uint32_t otherwise) {
  const double number = amount(of, key, otherwise);
  if (number > std::numeric_limits<std::uint32_t>::max()) wrong(key, "is too large");
  return static_cast<std::uint32_t>(number);
}

const Json& list(const Json& of, const char* key) {
  static const Json empty = Json::array();
  const auto& v = member(of, key);
  if (v.is_null()) return empty;
  if (!v.is_array()) wrong(key, "is no list");
  return v;
}

std::vector<std::string> texts(const Json& of, const char* key) {
  std::vector<std::string> out;
  for (const auto& v : list(of, key)) {
    if (!v.is_string()) wrong(key, "holds what is no text");
    out.push_back(v.get<std::string>());
  }
  return out;
}

// Names of hosts are the same in upper and lower case (RFC 3986, 3.2.2).
std::string lower_case(std::string_view host) {
  constexpr char kToLower = 'a' - 'A';
  std::string lower(host);
  for (auto& letter : lower)
    if (letter >= 'A' && letter <= 'Z') letter = static_cast<char>(letter + kToLower);
  return lower;
}

RouteKind kind_of(const Json& rule) {
  const auto name = text(rule, "kind");
  if (name == "idempotent") return RouteKind::idempotent;
  if (name == "mutating") return RouteKind::mutating;
  if (name == "download") return RouteKind::download;
  wrong("kind", "is not known: " + name);
}

}  // namespace

std::optional<std::uint64_t> parse_version(const Json& field) {
  if (field.is_number_unsigned()) return field.get<std::uint64_t>();
  if (!field.is_string()) return std::nullopt;
  const auto& s = field.get_ref<const std::string&>();
  std::uint64_t n = 0;
  const auto [end, failed] = std::from_chars(s.data(), s.data() + s.size(), n, 16);
  if (s.empty() || s.size() > 16 || failed != std::errc{} || end != s.data() + s.size()) return std::nullopt;
  return n;
}

std::string format_version(std::uint64_t version) {
  char out[17];
  std::snprintf(out, sizeof out, "%08llx", static_cast<unsigned long long>(version));
  return out;
}

std::uint64_t State::version() const {
  return document.is_object() ? parse_version(member(document, "gen")).value_or(0) : 0;
}

Result<std::shared_ptr<const Configuration>> read(const Json& document) {
  auto c = std::make_shared<Configuration>();
  try {
    if (!document.is_object()) wrong("configuration", "is no object");
    const auto version = parse_version(member(document, "gen"));
    if (!version) wrong("gen", "is no version");
    c->version = *version;
    if (const auto& l = member(document, "limits"); l.is_object()) {
      c->limits.header_bytes = static_cast<std::size_t>(amount(l, "hdr_bytes", 16384));
      c->limits.body_bytes = static_cast<std::size_t>(amount(l, "max_body_bytes", 64u << 20));
      c->limits.header_ms = amount(l, "hdr_ms", 3000), c->limits.idle_ms = amount(l, "idle_ms", 15000);
    }
    tsl::robin_map<std::string, std::uint32_t> services;
    for (const auto& s : list(document, "clusters")) {
      Service one;
      one.name = text(s, "name");
      if (member(s, "hc_path").is_string()) one.health_path = text(s, "hc_path");
      one.max_conns = count(s, "max_conns", 0);
      one.warmup_s = amount(s, "warmup_s", 0), one.cold_per_s = amount(s, "cold_per_s", 0);
      if (!services.emplace(one.name, static_cast<std::uint32_t>(c->services.size())).second)
        wrong("clusters", one.name + " stands there twice");
      c->services.push_back(std::move(one));
    }
    const auto service = [&](const Json& of) {
      const auto found = services.find(text(of, "svc"));
      if (found == services.end()) wrong("svc", "names no service: " + text(of, "svc"));
      return found->second;
    };
    c->has_tenants_ = !list(document, "accts").empty();
    for (const auto& t : list(document, "accts")) {
      Tenant one;
      one.name = text(t, "name");
      if (!member(t, "prio").is_null()) one.priority = count(t, "prio", 0);
      one.per_s = amount(t, "per_s", 0), one.burst = amount(t, "burst", 0);
      one.regions = texts(t, "pin_regions");
      const auto index = static_cast<std::uint32_t>(c->tenants.size());
      for (const auto& key : texts(t, "apikeys")) {
        const auto [it, fresh] = c->by_key_.emplace(key, index);
        if (!fresh && it->second != index) wrong("apikeys", "a key of " + one.name + " is another's too");
      }
      c->tenants.push_back(std::move(one));
    }
    std::set<std::string> names;
    std::set<std::pair<std::string, std::string>> places;  // host and prefix
    for (const auto& l : list(document, "listeners")) {
      const auto host = lower_case(text(l, "vhost"));
      for (const auto& r : list(l, "policy")) {
        Route one;
        one.name = text(r, "name"), one.host = host, one.kind = kind_of(r);
        if (!names.insert(one.name).second) wrong("policy", one.name + " stands there twice");
        one.prefix = text(member(r, "match"), "pfx");
        if (one.prefix.front() != '/' || one.prefix.back() != '/')
          wrong("pfx", "does not begin and end with a slash");
        const auto& open = member(r, "public");
        if (!open.is_null() && !open.is_boolean()) wrong("public", "is neither true nor false");
        one.is_public = open.is_boolean() && open.get<bool>();
        one.priority = count(r, "prio", 0);
        one.target_ms = amount(r, "target_ms", 0);
        const auto& action = member(r, "action");
        if (!action.is_object()) wrong("action", "is missing for " + one.name);
        one.timeout_ms = amount(action, "tmo_ms", 0);
        if (one.timeout_ms <= 0) wrong("tmo_ms", "is missing or 0 for " + one.name);
        one.tries = count(action, "tries", 1);
        if (one.tries == 0) wrong("tries", "is 0 for " + one.name);
        one.regions = texts(action, "pin_regions");
        if (const auto& split = member(action, "split"); !split.is_null()) {
          for (const auto& p : list(action, "split")) {
            one.targets.push_back({service(p), amount(p, "wt", 0)});
            one.total_weight += one.targets.back().weight;
          }
          if (one.total_weight <= 0) wrong("wt", "sums to 0 for " + one.name);
        } else {
          one.targets.push_back({service(action), 1});
          one.total_weight = 1;
        }
        if (!places.emplace(host, one.prefix).second)
          wrong("pfx", "of " + one.name + " is another route's of the same host too");
        c->by_host_[host].push_back(static_cast<std::uint32_t>(c->routes.size()));
        c->routes.push_back(std::move(one));
      }
    }
  } catch (const Mistake& m) {
    return Failure{"read configuration", m.field, m.what};
  } catch (const nlohmann::json::exception& x) {
    return Failure{"read configuration", "", x.what()};
  }
  for (auto it = c->by_host_.begin(); it != c->by_host_.end(); ++it)
    std::ranges::stable_sort(it.value(), [&](std::uint32_t a, std::uint32_t b) {
      return c->routes[a].prefix.size() > c->routes[b].prefix.size();
    });
  return std::shared_ptr<const Configuration>(c);
}

const Route* Configuration::find_route(std::string_view host, std::string_view target) const {
  if (const auto colon = host.rfind(':'); colon != std::string_view::npos) host = host.substr(0, colon);
  const auto found = by_host_.find(lower_case(host));
  if (found == by_host_.end()) return nullptr;
  const auto path = target.substr(0, target.find('?'));
  for (const auto i : found->second)
    if (path.starts_with(routes[i].prefix)) return &routes[i];
  return nullptr;
}

const Tenant* Configuration::find_tenant(std::string_view key) const {
  const auto found = by_key_.find(std::string(key));
  return found == by_key_.end() ? nullptr : &tenants[found->second];
}

namespace {

ValidationResult refused(int status, std::string why) {
  ValidationResult judgement;
  judgement.status = status;
  judgement.why = std::move(why);
  return judgement;
}

// The version and base of a body against the state: 200 and `already` for a body that was taken, 200 if it can
// be taken now.
ValidationResult judge_version(const State& state, BodyOperation call, std::string_view bytes,
                               const Json& body) {
  if (!body.is_object()) return refused(400, "the body is no object");
  const auto version = parse_version(member(body, "gen"));
  if (!version) return refused(400, "gen is no version");
  const auto parent = parse_version(member(body, "parent"));
  if (!parent) return refused(400, "parent is no version");
  if (*version <= *parent) return refused(400, "gen is not above the version that it builds on");
  const auto current = state.version();
  if (*version <= current && state.history.contains(*version, digest_of(call, bytes)))
    return {200, "", true, false};
  if (*parent != current)
    return refused(
        412, "parent is " + format_version(*parent) + ", the current version " + format_version(current));
  return {};
}

std::optional<Json> parsed(std::string_view body) {
  auto json = Json::parse(body, nullptr, false);
  if (json.is_discarded()) return std::nullopt;
  return json;
}

bool named(const Json& item, const std::string& name) {
  return item.is_object() && member(item, "name") == name;
}

// Items of a list, added or replaced by name.
void upsert(Json& into, const Json& items) {
  if (!into.is_array()) into = Json::array();
  for (const auto& item : items) {
    const auto name = text(item, "name");
    const auto it = std::ranges::find_if(into, [&](const Json& old) { return named(old, name); });
    if (it != into.end()) {
      *it = item;
    } else {
      into.push_back(item);
    }
  }
}

void drop_route(Json& listeners, const std::string& name) {
  for (auto l = listeners.begin(); l != listeners.end();) {
    auto& rules = (*l)["policy"];
    if (rules.is_array()) {
      const auto gone = std::ranges::find_if(rules, [&](const Json& r) { return named(r, name); });
      if (gone != rules.end()) rules.erase(gone);
    }
    l = rules.empty() ? listeners.erase(l) : std::next(l);
  }
}

void upsert_routes(Json& listeners, const Json& changed) {
  if (!listeners.is_array()) listeners = Json::array();
  for (const auto& l : changed) {
    const auto host = text(l, "vhost");
    for (const auto& rule : list(l, "policy")) {
      const auto name = text(rule, "name");
      auto at = std::ranges::find_if(listeners, [&](const Json& o) { return member(o, "vhost") == host; });
      if (at != listeners.end()) {
        auto& rules = (*at)["policy"];
        const auto old = std::ranges::find_if(rules, [&](const Json& r) { return named(r, name); });
        if (old != rules.end()) {
          *old = rule;
          continue;
        }
      }
      drop_route(listeners, name);  // it stood under another host
      at = std::ranges::find_if(listeners, [&](const Json& o) { return member(o, "vhost") == host; });
      if (at == listeners.end()) {
        auto fresh = l;
        fresh["policy"] = Json::array();
        listeners.push_back(std::move(fresh));
        at = std::prev(listeners.end());
      }
      (*at)["policy"].push_back(rule);
    }
  }
}

Json patched(const Json& old, const Json& patch) {
  Json next = old;
  next["gen"] = patch.at("gen"), next["parent"] = patch.at("parent");
  if (const auto& set = member(patch, "upsert"); set.is_object()) {
    for (const auto& [key, items] : set.items()) {
      if (key == "listeners") {
        upsert_routes(next["listeners"], items);
      } else if (items.is_array()) {
        upsert(next[key == "svcs" ? "clusters" : key], items);
      } else {
        next[key] = items;  // limits
      }
    }
  } else if (!set.is_null()) {
    wrong("upsert", "is no object");
  }
  if (const auto& drop = member(patch, "remove"); drop.is_object()) {
    for (const auto& [key, names] : drop.items()) {
      if (!names.is_array()) wrong("remove", "holds what is no list");
      for (const auto& name : names) {
        if (!name.is_string()) wrong("remove", "holds what is no name");
        if (key == "routing" || key == "listeners") {
          if (next["listeners"].is_array()) drop_route(next["listeners"], name.get<std::string>());
        } else if (auto& all = next[key == "svcs" ? "clusters" : key]; all.is_array()) {
          const auto gone = std::ranges::find_if(
              all, [&](const Json& o) { return named(o, name.get<std::string>()); });
          if (gone != all.end()) all.erase(gone);
        }
      }
    }
  } else if (!drop.is_null()) {
    wrong("remove", "is no object");
  }
  return next;
}

ValidationResult judge_document(Json&& document, Json* after) {
  if (const auto read_back = read(document); failed(read_back))
    return refused(400, failure(read_back).peer + " " + failure(read_back).what);
  if (after) *after = std::move(document);
  return {};
}

}  // namespace

ValidationResult validate_replace(const State& state, std::string_view body, Json* after) {
  auto json = parsed(body);
  if (!json) return refused(400, "the body is not whole");
  auto judged = judge_version(state, BodyOperation::replace, body, *json);
  if (judged.status != 200 || judged.already_accepted) return judged;
  return judge_document(std::move(*json), after);
}

ValidationResult validate_patch(const State& state, std::string_view body, Json* after) {
  const auto json = parsed(body);
  if (!json) return refused(400, "the body is not whole");
  auto judged = judge_version(state, BodyOperation::patch, body, *json);
  if (judged.status != 200 || judged.already_accepted) return judged;
  if (!state.document.is_object()) return refused(412, "there is no configuration to change");
  try {
    return judge_document(patched(state.document, *json), after);
  } catch (const Mistake& m) {
    return refused(400, m.field + " " + m.what);
  } catch (const nlohmann::json::exception& x) {
    return refused(400, x.what());
  }
}

std::string encode(const MembershipChange& change) {
  auto voters = Json::array();
  for (const auto& voter : change.voters)
    voters.push_back({{"address", voter.address}, {"disk", voter.disk}});
  return Json{{"number", change.number}, {"voters", std::move(voters)}}.dump();
}

std::optional<MembershipChange> decode_membership(std::string_view text) {
  const auto json = Json::parse(text, nullptr, false);
  if (json.is_discarded()) return std::nullopt;
  try {
    MembershipChange change;
    change.number = json.at("number").get<std::uint64_t>();
    for (const auto& voter : json.at("voters"))
      change.voters.push_back(
          {voter.at("address").get<std::string>(), voter.at("disk").get<std::uint64_t>()});
    if (change.voters.empty()) return std::nullopt;
    std::ranges::sort(change.voters);
    const auto same_address = std::ranges::adjacent_find(change.voters, {}, &Voter::address);
    if (same_address != change.voters.end()) return std::nullopt;
    return change;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

namespace {

bool apply_membership(State& state, const std::string& text) {
  auto change = decode_membership(text);
  if (!change || change->number != state.membership) return false;
  state.voters = std::move(change->voters);
  ++state.membership;
  return true;
}

}  // namespace

ValidationResult validate_evacuation(const State& state, ChangeKind kind, std::string_view text) {
  const auto order = decode_evacuation(text);
  if (!order) return refused(400, "the order names no zone");
  const bool evacuated = std::ranges::binary_search(state.evacuated, order->zone);
  const bool wanted = kind == ChangeKind::evacuate;
  if (evacuated == wanted) return {200, "", false, true};
  const auto changed = state.zone_changes.find(order->zone);
  if (changed != state.zone_changes.end() && changed->second > order->base)
    return refused(503, "a later order of this zone has taken effect");
  return {};
}

namespace {

// At state.position, which is the order's own already. An order whose wish holds moves the zone on as well: an opposite
// one from before that is still on its way has no effect after it.
bool apply_evacuation(State& state, ChangeKind kind, const std::string& text) {
  const auto judged = validate_evacuation(state, kind, text);
  if (judged.status != 200) return false;
  const auto zone = decode_evacuation(text)->zone;
  if (!judged.in_force && kind == ChangeKind::evacuate)
    state.evacuated.insert(std::ranges::lower_bound(state.evacuated, zone), zone);
  if (!judged.in_force && kind == ChangeKind::readmit) std::erase(state.evacuated, zone);
  state.zone_changes[zone] = state.position;
  return true;
}

}  // namespace

bool apply(State& state, ChangeKind kind, const std::string& change) {
  ++state.position;
  state.log_digest = digest_after(state.log_digest, static_cast<std::uint8_t>(kind), change);
  switch (kind) {
    case ChangeKind::replace:
    case ChangeKind::patch: {
      Json after;
      const auto call = kind == ChangeKind::replace ? BodyOperation::replace : BodyOperation::patch;
      const auto judged = kind == ChangeKind::replace ? validate_replace(state, change, &after)
                                                      : validate_patch(state, change, &after);
      if (judged.status != 200 || judged.already_accepted) return false;
      state.document = std::move(after);
      state.history.record(state.version(), digest_of(call, change));
      return true;
    }
    case ChangeKind::evacuate:
    case ChangeKind::readmit: return apply_evacuation(state, kind, change);
    case ChangeKind::membership: return apply_membership(state, change);
    case ChangeKind::noop: break;
  }
  return false;
}

}  // namespace docklift::configuration
