// The settings file of a process: lines of the form a.b=value, with comma-separated lists. Unknown keys are
// ignored. All errors of a file are reported together. The format is defined by the operators' deployment
// page.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "system/base/result.hpp"

namespace docklift {

// The `bounds.*` settings with their defaults; the suffixes _s and _ms name the unit.
struct Bounds {
  double seed_lag_s = 3, reuse_s = 2, sync_s = 4, grace_s = 6, retry_win_s = 10, quota_win_s = 5,
         recover_s = 15;
  double contact_ms = 5000, ack_ms = 8000, drain_ms = 2500, lost_slack_ms = 200, apply_ms = 2500;
  double downgrade_ms = 250, skew_ms = 10000, revoke_ms = 5000, evac_ms = 5000;
  double retry_ratio = 0.2, retry_extra = 50, quota_excess = 0.1, quota_slack = 20;
  double cold_excess = 1.5, cold_slack = 5, ttl_max_s = 5;
  bool strict_revoke = false;
};

// All settings of a process.
struct SystemSettings {
  std::string hostname, role, machine_class, bind_ip, zone, region, data_dir;
  std::map<std::string, std::string> zones;   // zone -> region
  std::map<std::string, std::string> listen;  // "http", "readyz", "ctl", "dir" -> IP:PORT
  std::uint16_t first_port = 0, last_port = 0;
  std::vector<std::string> seeds;  // IP:PORT of the ctl endpoint of each seed
  bool bootstrap = false, voting = false;
  std::uint64_t memory_mb = 256, descriptors = 1024;
  double cpu = 1;
  std::uint32_t heartbeat_ms = 1500;
  std::set<std::string> invariants;
  std::uint32_t tolerated_node_failures = 1, tolerated_zone_failures = 0, tolerated_region_failures = 0;
  Bounds bounds;

  // The region of a zone; empty if the zone is unknown.
  std::string region_of(const std::string& zone_name) const;
  std::vector<std::string> seed_ips() const;  // sorted, without duplicates
};

// Ports for connections between the system's processes, as offsets from `first_port`; the same on every
// machine.
inline constexpr std::uint16_t kStorePort = 0, kRegistryPort = 1, kProxyPort = 2;

Result<SystemSettings> read_settings(const std::string& path);
// `name` is the file's name in errors.
Result<SystemSettings> parse_settings(const std::string& text, const std::string& name);
// The path from $DOCKLIFT_SETTINGS, or the default path.
std::string settings_path();

}  // namespace docklift
