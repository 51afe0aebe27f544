#include "system/configuration/configuration.hpp"

#include <algorithm>
#include <charconv>
#include <limits>
#include <set>
#include <utility>

#include "system/configuration/change_rules.hpp"
#include "system/configuration/document_fields.hpp"
#include "system/configuration/patch.hpp"

namespace docklift::configuration {
namespace {

using Json = nlohmann::json;

// Host names are case-insensitive (RFC 3986, 3.2.2).
std::string lower_case(std::string_view host) {
  constexpr char kToLower = 'a' - 'A';
  std::string lower(host);
  for (auto& letter : lower)
    if (letter >= 'A' && letter <= 'Z') letter = static_cast<char>(letter + kToLower);
  return lower;
}

RouteKind kind_of(const Json& rule) {
  const auto name = required_string(rule, "kind");
  if (name == "idempotent") return RouteKind::idempotent;
  if (name == "mutating") return RouteKind::mutating;
  if (name == "download") return RouteKind::download;
  fail_field("kind", "is not known: " + name);
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
  return document.is_object() ? parse_version(member_or_null(document, "gen")).value_or(0) : 0;
}

Result<std::shared_ptr<const Configuration>> read(const Json& document) {
  auto c = std::make_shared<Configuration>();
  try {
    if (!document.is_object()) fail_field("configuration", "is no object");
    const auto version = parse_version(member_or_null(document, "gen"));
    if (!version) fail_field("gen", "is no version");
    c->version = *version;
    if (const auto& l = member_or_null(document, "limits"); l.is_object()) {
      c->limits.header_bytes = static_cast<std::size_t>(number_or(l, "hdr_bytes", 16384));
      c->limits.body_bytes = static_cast<std::size_t>(number_or(l, "max_body_bytes", 64u << 20));
      c->limits.header_ms = number_or(l, "hdr_ms", 3000), c->limits.idle_ms = number_or(l, "idle_ms", 15000);
    }
    tsl::robin_map<std::string, std::uint32_t> services;
    for (const auto& s : array_or_empty(document, "clusters")) {
      Service one;
      one.name = required_string(s, "name");
      if (member_or_null(s, "hc_path").is_string()) one.health_path = required_string(s, "hc_path");
      one.max_conns = count_or(s, "max_conns", 0);
      one.warmup_s = number_or(s, "warmup_s", 0), one.cold_per_s = number_or(s, "cold_per_s", 0);
      if (!services.emplace(one.name, static_cast<std::uint32_t>(c->services.size())).second)
        fail_field("clusters", one.name + " stands there twice");
      c->services.push_back(std::move(one));
    }
    const auto service = [&](const Json& of) {
      const auto found = services.find(required_string(of, "svc"));
      if (found == services.end()) fail_field("svc", "names no service: " + required_string(of, "svc"));
      return found->second;
    };
    c->requires_keys_ = !member_or_null(document, "accts").is_null();
    for (const auto& t : array_or_empty(document, "accts")) {
      Tenant one;
      one.name = required_string(t, "name");
      if (!member_or_null(t, "prio").is_null()) one.priority = count_or(t, "prio", 0);
      one.per_s = number_or(t, "per_s", 0), one.burst = number_or(t, "burst", 0);
      one.regions = string_array(t, "pin_regions");
      const auto index = static_cast<std::uint32_t>(c->tenants.size());
      for (const auto& key : string_array(t, "apikeys")) {
        const auto [it, fresh] = c->by_key_.emplace(key, index);
        if (!fresh && it->second != index)
          fail_field("apikeys", "a key of " + one.name + " is another's too");
      }
      c->tenants.push_back(std::move(one));
    }
    std::set<std::string> names;
    std::set<std::pair<std::string, std::string>> host_prefixes;
    for (const auto& l : array_or_empty(document, "listeners")) {
      const auto host = lower_case(required_string(l, "vhost"));
      for (const auto& r : array_or_empty(l, "policy")) {
        Route one;
        one.name = required_string(r, "name"), one.host = host, one.kind = kind_of(r);
        if (!names.insert(one.name).second) fail_field("policy", one.name + " stands there twice");
        one.prefix = required_string(member_or_null(r, "match"), "pfx");
        if (one.prefix.front() != '/' || one.prefix.back() != '/')
          fail_field("pfx", "does not begin and end with a slash");
        const auto& open = member_or_null(r, "public");
        if (!open.is_null() && !open.is_boolean()) fail_field("public", "is neither true nor false");
        one.is_public = open.is_boolean() && open.get<bool>();
        one.priority = count_or(r, "prio", 0);
        one.target_ms = number_or(r, "target_ms", 0);
        const auto& action = member_or_null(r, "action");
        if (!action.is_object()) fail_field("action", "is missing for " + one.name);
        one.timeout_ms = number_or(action, "tmo_ms", 0);
        if (one.timeout_ms <= 0) fail_field("tmo_ms", "is missing or 0 for " + one.name);
        one.tries = count_or(action, "tries", 1);
        if (one.tries == 0) fail_field("tries", "is 0 for " + one.name);
        one.regions = string_array(action, "pin_regions");
        if (const auto& split = member_or_null(action, "split"); !split.is_null()) {
          for (const auto& p : array_or_empty(action, "split")) {
            one.targets.push_back({service(p), number_or(p, "wt", 0)});
            one.total_weight += one.targets.back().weight;
          }
          if (one.total_weight <= 0) fail_field("wt", "sums to 0 for " + one.name);
        } else {
          one.targets.push_back({service(action), 1});
          one.total_weight = 1;
        }
        if (!host_prefixes.emplace(host, one.prefix).second)
          fail_field("pfx", "of " + one.name + " is another route's of the same host too");
        c->by_host_[host].push_back(static_cast<std::uint32_t>(c->routes.size()));
        c->routes.push_back(std::move(one));
      }
    }
  } catch (const DocumentError& error) {
    return Failure{"read configuration", error.field, error.what};
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
  if (key.empty()) return nullptr;
  const auto found = by_key_.find(std::string(key));
  return found == by_key_.end() ? nullptr : &tenants[found->second];
}

namespace {

ValidationResult rejected(int status, std::string why) {
  ValidationResult result;
  result.status = status;
  result.why = std::move(why);
  return result;
}

// Checks a body's version and parent against the state: 200 and `already_accepted` for a body that was
// accepted before, plain 200 if it can be accepted now.
ValidationResult validate_version(const State& state, BodyOperation operation, std::string_view bytes,
                                  const Json& body) {
  if (!body.is_object()) return rejected(400, "the body is no object");
  const auto version = parse_version(member_or_null(body, "gen"));
  if (!version) return rejected(400, "gen is no version");
  const auto parent = parse_version(member_or_null(body, "parent"));
  if (!parent) return rejected(400, "parent is no version");
  if (*version <= *parent) return rejected(400, "gen is not above the version that it builds on");
  const auto current = state.version();
  if (*version <= current && state.history.contains(*version, digest_of(operation, bytes)))
    return {200, "", true, false};
  if (*parent != current)
    return rejected(
        412, "parent is " + format_version(*parent) + ", the current version " + format_version(current));
  return {};
}

std::optional<Json> parse_json(std::string_view body) {
  auto json = Json::parse(body, nullptr, false);
  if (json.is_discarded()) return std::nullopt;
  return json;
}

// An order is checked by the rules of this version (change_rules). A change that is in the log keeps the
// effect that it had when it was accepted, so that all versions of this program reach the same state from one
// log.
enum class ChangeOrigin { order, log };

ValidationResult validate_change(const State& state, BodyOperation operation, ChangeOrigin origin,
                                 std::string_view body, Json* after) {
  const bool is_order = origin == ChangeOrigin::order;
  if (is_order && nests_too_deeply(body)) return rejected(400, "the body is nested too deeply");
  auto json = parse_json(body);
  if (!json) return rejected(400, "the body is not whole");
  auto result = validate_version(state, operation, body, *json);
  if (result.status != 200 || result.already_accepted) return result;
  const bool is_patch = operation == BodyOperation::patch;
  if (is_patch && !state.document.is_object()) return rejected(412, "there is no configuration to change");
  const auto version = parse_version(member_or_null(*json, "gen"));
  try {
    if (is_order && is_patch) check_patch_members(state.document, *json);
    if (is_order && !is_patch) check_replace_members(*json);
    auto document = is_patch ? apply_patch(state.document, *json) : std::move(*json);
    auto validated = read(document);
    if (failed(validated)) return rejected(400, failure(validated).peer + " " + failure(validated).what);
    // What is stored must be what was validated.
    if (is_order && value(validated)->version != version)
      return rejected(400, "the configuration would have another version than the order");
    if (after) *after = std::move(document);
    return {};
  } catch (const DocumentError& error) {
    return rejected(400, error.field + " " + error.what);
  } catch (const nlohmann::json::exception& x) {
    return rejected(400, x.what());
  }
}

}  // namespace

ValidationResult validate_replace(const State& state, std::string_view body, Json* after) {
  return validate_change(state, BodyOperation::replace, ChangeOrigin::order, body, after);
}

ValidationResult validate_patch(const State& state, std::string_view body, Json* after) {
  return validate_change(state, BodyOperation::patch, ChangeOrigin::order, body, after);
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
    const auto duplicate_address = std::ranges::adjacent_find(change.voters, {}, &Voter::address);
    if (duplicate_address != change.voters.end()) return std::nullopt;
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
  const auto command = decode_evacuation(text);
  if (!command) return rejected(400, "the order names no zone");
  const bool evacuated = std::ranges::binary_search(state.evacuated, command->zone);
  const bool evacuate = kind == ChangeKind::evacuate;
  if (evacuated == evacuate) return {200, "", false, true};
  const auto changed = state.zone_changes.find(command->zone);
  if (changed != state.zone_changes.end() && changed->second > command->base)
    return rejected(503, "a later order of this zone has taken effect");
  return {};
}

namespace {

// Called once state.position is the command's own. A command whose desired state is already in effect still
// updates zone_changes, so that an older opposite command that is still in flight has no effect after it.
bool apply_evacuation(State& state, ChangeKind kind, const std::string& text) {
  const auto result = validate_evacuation(state, kind, text);
  if (result.status != 200) return false;
  const auto zone = decode_evacuation(text)->zone;
  if (!result.already_in_effect && kind == ChangeKind::evacuate)
    state.evacuated.insert(std::ranges::lower_bound(state.evacuated, zone), zone);
  if (!result.already_in_effect && kind == ChangeKind::readmit) std::erase(state.evacuated, zone);
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
      const auto operation = kind == ChangeKind::replace ? BodyOperation::replace : BodyOperation::patch;
      const auto result = validate_change(state, operation, ChangeOrigin::log, change, &after);
      if (result.status != 200 || result.already_accepted) return false;
      state.document = std::move(after);
      state.history.record(state.version(), digest_of(operation, change));
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
