// The operator's configuration: validating documents and changes to them, and looking up what applies to a
// request. Pure: no I/O and no clock. Documents keep every field that was sent, including fields unknown to
// this version.
#pragma once

#include <tsl/robin_map.h>

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "system/base/result.hpp"
#include "system/configuration/evacuation_order.hpp"
#include "system/configuration/log_digests.hpp"
#include "system/configuration/version_history.hpp"

namespace docklift::configuration {

// A mutating request is not retried once it may have run; the other kinds are.
enum class RouteKind { idempotent, mutating, download };

// One of the services among which a route splits its requests.
struct SplitTarget {
  std::uint32_t service = 0;  // index into Configuration::services
  double weight = 1;
};

// How requests to one path prefix of a host are handled.
struct Route {
  std::string name, host, prefix;
  RouteKind kind = RouteKind::mutating;
  bool is_public = false;  // needs no API key
  std::uint32_t priority = 0, tries = 1;
  double target_ms = 0, timeout_ms = 0;
  std::vector<SplitTarget> targets;
  double total_weight = 0;           // of all targets
  std::vector<std::string> regions;  // pinned regions; empty: any region
};

// A customer, identified by API keys, with its quota.
struct Tenant {
  std::string name;
  std::optional<std::uint32_t> priority;
  double per_s = 0, burst = 0;       // in units; per_s 0: no limit
  std::vector<std::string> regions;  // pinned regions; empty: any region
};

// A group of servers that requests are sent to.
struct Service {
  std::string name, health_path;
  std::uint32_t max_conns = 0;  // at each server, of all proxies together; 0: no limit
  double warmup_s = 0, cold_per_s = 0;
};

// Limits on what clients may send and how long they may take.
struct Limits {
  std::size_t header_bytes = 16384, body_bytes = 64u << 20;
  double header_ms = 3000, idle_ms = 15000;
};

// A validated configuration document, indexed for lookups.
class Configuration {
 public:
  std::uint64_t version = 0;
  Limits limits;
  std::vector<Route> routes;
  std::vector<Tenant> tenants;
  std::vector<Service> services;

  // The host's route with the longest prefix that matches the path; null if there is none. `host` may include
  // a port.
  const Route* find_route(std::string_view host, std::string_view target) const;
  // The tenant that owns an API key; null if there is none. No tenant owns the empty key.
  const Tenant* find_tenant(std::string_view key) const;
  // Whether requests to routes that are not public need a key: the document has a list of tenants, even an
  // empty one.
  bool requires_keys() const { return requires_keys_; }

 private:
  friend Result<std::shared_ptr<const Configuration>> read(const nlohmann::json& document);
  tsl::robin_map<std::string, std::vector<std::uint32_t>> by_host_;  // routes, longest prefix first
  tsl::robin_map<std::string, std::uint32_t> by_key_;
  bool requires_keys_ = false;
};

// Validates a whole document; a failure names the field.
Result<std::shared_ptr<const Configuration>> read(const nlohmann::json& document);

// A version is an unsigned number or a string of up to 16 hexadecimal digits.
std::optional<std::uint64_t> parse_version(const nlohmann::json& field);
// At least eight hexadecimal digits.
std::string format_version(std::uint64_t version);

// A store with a vote, identified by its address and its disk. A different disk at the same address is a
// different voter.
struct Voter {
  std::string address;     // ip
  std::uint64_t disk = 0;  // chosen at random on first use; kBootstrapDisk for the first disk of a seed
  auto operator<=>(const Voter&) const = default;
};
inline constexpr std::uint64_t kBootstrapDisk = 1;

// The complete next set of voters. Takes effect only if the membership number is still the one it was based
// on.
struct MembershipChange {
  std::uint64_t number = 0;
  std::vector<Voter> voters;  // sorted, at least one
};
std::string encode(const MembershipChange& change);
std::optional<MembershipChange> decode_membership(std::string_view text);

// The replicated state: the result of all changes up to a log position. Deterministic: the same changes in
// the same order lead to the same state on every node.
struct State {
  std::uint64_t position = 0;
  nlohmann::json document;             // null: no configuration yet
  std::vector<std::string> evacuated;  // zones, sorted
  std::vector<Voter> voters;           // sorted
  std::uint64_t membership = 0;        // number of voter changes so far
  VersionHistory history;              // accepted configuration bodies
  // Zone -> position of the last evacuation or readmission that took effect.
  std::map<std::string, std::uint64_t> zone_changes;
  std::uint64_t log_digest = kEmptyLogDigest;  // of all changes up to `position`

  std::uint64_t version() const;
};

// The outcome of validating a proposed change against a state.
struct ValidationResult {
  int status = 200;  // 200, 400 or 412; 503 for a command that has no effect and may be repeated
  std::string why;
  bool already_accepted = false;  // with 200: this body was accepted before; final, needs no agreement
  // With 200: the desired state is already in effect. The command is replicated nevertheless, to invalidate
  // older commands.
  bool already_in_effect = false;
};
// Validate an order's body against a state, by the rules of change_rules too. On 200 without
// `already_accepted`, `after` (if not null) receives the resulting document.
//
// A 400 is final on any store, even a lagging one: it depends only on the body (`gen` not above its `parent`)
// or on the document of the parent version, which is the same wherever that version is current. A 412 depends
// on which version is current, so it may be returned only after a majority was asked.
ValidationResult validate_replace(const State& state, std::string_view body, nlohmann::json* after);
ValidationResult validate_patch(const State& state, std::string_view body, nlohmann::json* after);

enum class ChangeKind : std::uint8_t { replace, patch, evacuate, readmit, membership, noop };
// Validates an evacuation command (`kind` is evacuate or readmit) against a state. Any result other than 400
// depends on the state, so it may be returned only after a majority was asked.
ValidationResult validate_evacuation(const State& state, ChangeKind kind, std::string_view text);
// Applies the change at the next log position. Returns false if it had no effect. Changes that an earlier
// version of this program accepted have the effect that they had there, even if an order could no longer have
// it.
bool apply(State& state, ChangeKind kind, const std::string& change);

}  // namespace docklift::configuration
