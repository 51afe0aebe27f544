// The configuration: what is sent by the operator, checked; and what it means for a request. Pure.
// Source: the operators' protocol page. Documents keep every field that was sent, known here or not.
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

enum class RouteKind { idempotent, mutating, download };

struct SplitTarget {          // of a split
  std::uint32_t service = 0;  // index into Configuration::services
  double weight = 1;
};

struct Route {
  std::string name, host, prefix;
  RouteKind kind = RouteKind::mutating;
  bool is_public = false;
  std::uint32_t priority = 0, tries = 1;
  double target_ms = 0, timeout_ms = 0;
  std::vector<SplitTarget> targets;
  double total_weight = 0;           // their sum
  std::vector<std::string> regions;  // homes; empty: everywhere
};

struct Tenant {
  std::string name;
  std::optional<std::uint32_t> priority;
  double per_s = 0, burst = 0;  // 0: no limit
  std::vector<std::string> regions;
};

struct Service {
  std::string name, health_path;
  std::uint32_t max_conns = 0;
  double warmup_s = 0, cold_per_s = 0;
};

struct Limits {
  std::size_t header_bytes = 16384, body_bytes = 64u << 20;
  double header_ms = 3000, idle_ms = 15000;
};

class Configuration {
 public:
  std::uint64_t version = 0;
  Limits limits;
  std::vector<Route> routes;
  std::vector<Tenant> tenants;
  std::vector<Service> services;

  // The route with the longest prefix of the path among the host's; null: there is none. `host` may carry a
  // port.
  const Route* find_route(std::string_view host, std::string_view target) const;
  const Tenant* find_tenant(std::string_view key) const;
  bool has_tenants() const { return has_tenants_; }

 private:
  friend Result<std::shared_ptr<const Configuration>> read(const nlohmann::json& document);
  tsl::robin_map<std::string, std::vector<std::uint32_t>> by_host_;  // routes, longest prefix first
  tsl::robin_map<std::string, std::uint32_t> by_key_;
  bool has_tenants_ = false;
};

// What a whole document means; a failure names the field.
Result<std::shared_ptr<const Configuration>> read(const nlohmann::json& document);

std::optional<std::uint64_t> parse_version(const nlohmann::json& field);  // eight hexadecimal digits, or 0
std::string format_version(std::uint64_t version);

// A store with a vote: its address together with the identity of its disk. Another disk at the same address is
// another voter.
struct Voter {
  std::string address;     // ip
  std::uint64_t disk = 0;  // drawn when a store first used its disk; kBootstrapDisk for a seed's first disk
  auto operator<=>(const Voter&) const = default;
};
inline constexpr std::uint64_t kBootstrapDisk = 1;

// The whole next set of voters; takes effect only on the membership number that it was made on.
struct MembershipChange {
  std::uint64_t number = 0;
  std::vector<Voter> voters;  // sorted, at least one
};
std::string encode(const MembershipChange& change);
std::optional<MembershipChange> decode_membership(std::string_view text);

// What the changes up to a position have made. The same changes in the same order give the same state
// everywhere.
struct State {
  std::uint64_t position = 0;
  nlohmann::json document;             // null: none yet
  std::vector<std::string> evacuated;  // sorted
  std::vector<Voter> voters;           // sorted
  std::uint64_t membership = 0;        // how often the voters have changed
  VersionHistory history;              // the bodies that were taken
  // Zone -> position of the last order that changed whether it is evacuated.
  std::map<std::string, std::uint64_t> zone_changes;
  std::uint64_t log_digest = kEmptyLogDigest;  // of all changes up to `position`

  std::uint64_t version() const;
};

struct ValidationResult {
  int status = 200;  // 200, 400 or 412; 503 for an order that has no effect and may be given anew
  std::string why;
  bool already_accepted = false;  // 200 for a body that was taken before: final, nothing to agree on
  bool in_force =
      false;  // 200 for a wish that holds in this state; agreed on all the same, against older orders
};
// What a body would be answered on top of a state; on 200 and not `already`, `after` (if not null) is the
// document.
//
// A 400 is final on any store, also on one that is behind: it depends on the body alone (its `gen` is not above
// its own `parent`) or on the document of the version that it builds on, which is the same wherever it is
// current. A 412 depends on which version is current, so it may be given only after a majority was asked.
ValidationResult validate_replace(const State& state, std::string_view body, nlohmann::json* after);
ValidationResult validate_patch(const State& state, std::string_view body, nlohmann::json* after);

enum class ChangeKind : std::uint8_t { replace, patch, evacuate, readmit, membership, nothing };
// What an evacuation order (`kind` evacuate or readmit) would be answered on top of a state. Anything but a 400
// depends on the state: it may be given only after a majority was asked.
ValidationResult validate_evacuation(const State& state, ChangeKind kind, std::string_view text);
// Puts a change at the next place of the log into force. False: it changed nothing that is in force.
bool apply(State& state, ChangeKind kind, const std::string& change);

}  // namespace docklift::configuration
