#include "system/base/settings.hpp"

#include <algorithm>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <cstdlib>
#include <fstream>
#include <optional>
#include <sstream>

namespace docklift {
namespace {

using Tree = boost::property_tree::ptree;

std::vector<std::string> split_list(const std::string& list) {
  std::vector<std::string> out;
  std::istringstream in(list);
  for (std::string item; std::getline(in, item, ',');)
    if (!item.empty()) out.push_back(item);
  return out;
}

// Reads typed values of a file and collects the errors, one line each.
class Reader {
 public:
  explicit Reader(const Tree& tree) : tree_(tree) {}

  template <class T>
  void read(const char* key, T& out, bool required = false) {
    const auto found = tree_.find(key);
    if (found == tree_.not_found()) {
      if (required) errors_ += std::string(errors_.empty() ? "" : "\n") + key + " is missing";
      return;
    }
    const auto& text = found->second.data();
    if constexpr (std::is_same_v<T, std::string>) {
      out = text;
    } else if constexpr (std::is_same_v<T, bool>) {
      if (text != "true" && text != "false") return add_error(key, text, "true or false");
      out = text == "true";
    } else {
      const auto parsed = found->second.get_value_optional<T>();
      if (!parsed || (!text.empty() && text.front() == '-')) return add_error(key, text, "a number");
      out = *parsed;
    }
  }
  void add_error(const std::string& key, const std::string& text, const std::string& expected) {
    errors_ += (errors_.empty() ? "" : "\n") + key + " is " + text + ", not " + expected;
  }
  const std::string& errors() const { return errors_; }

 private:
  const Tree& tree_;
  std::string errors_;
};

}  // namespace

std::string SystemSettings::region_of(const std::string& zone_name) const {
  const auto it = zones.find(zone_name);
  return it == zones.end() ? std::string() : it->second;
}

std::vector<std::string> SystemSettings::seed_ips() const {
  std::set<std::string> ips;
  for (const auto& s : seeds) ips.insert(s.substr(0, s.rfind(':')));
  return {ips.begin(), ips.end()};
}

std::string settings_path() {
  const char* path = std::getenv("DOCKLIFT_SETTINGS");
  return path && *path ? path : "/etc/docklift/settings.conf";
}

Result<SystemSettings> parse_settings(const std::string& text, const std::string& name) {
  Tree tree;
  try {
    std::istringstream in(text);
    boost::property_tree::read_ini(in, tree);
  } catch (const boost::property_tree::ini_parser_error& x) {
    return Failure{"read settings", name, "line " + std::to_string(x.line()) + ": " + x.message()};
  }
  SystemSettings s;
  Reader r(tree);
  r.read("hostname", s.hostname, true), r.read("role", s.role), r.read("mclass", s.machine_class);
  r.read("bind_ip", s.bind_ip, true), r.read("az", s.zone, true), r.read("rgn", s.region);
  r.read("datadir", s.data_dir), r.read("bootstrap", s.bootstrap), r.read("voting", s.voting);
  r.read("limits.cpu", s.cpu), r.read("limits.mem_mb", s.memory_mb), r.read("limits.nofile", s.descriptors);
  r.read("hb_ms", s.heartbeat_ms), r.read("tolerance.nodes", s.tolerated_node_failures);
  r.read("tolerance.azs", s.tolerated_zone_failures), r.read("tolerance.rgns", s.tolerated_region_failures);
  auto& b = s.bounds;
  r.read("bounds.seed_lag_s", b.seed_lag_s), r.read("bounds.reuse_s", b.reuse_s);
  r.read("bounds.sync_s", b.sync_s), r.read("bounds.grace_s", b.grace_s);
  r.read("bounds.retry_win_s", b.retry_win_s), r.read("bounds.quota_win_s", b.quota_win_s);
  r.read("bounds.recover_s", b.recover_s), r.read("bounds.contact_ms", b.contact_ms);
  r.read("bounds.ack_ms", b.ack_ms), r.read("bounds.drain_ms", b.drain_ms);
  r.read("bounds.lost_slack_ms", b.lost_slack_ms), r.read("bounds.apply_ms", b.apply_ms);
  r.read("bounds.downgrade_ms", b.downgrade_ms), r.read("bounds.skew_ms", b.skew_ms);
  r.read("bounds.revoke_ms", b.revoke_ms), r.read("bounds.evac_ms", b.evac_ms);
  r.read("bounds.retry_ratio", b.retry_ratio), r.read("bounds.retry_extra", b.retry_extra);
  r.read("bounds.quota_excess", b.quota_excess), r.read("bounds.quota_slack", b.quota_slack);
  r.read("bounds.cold_excess", b.cold_excess), r.read("bounds.cold_slack", b.cold_slack);
  r.read("bounds.ttl_max_s", b.ttl_max_s), r.read("bounds.strict_revoke", b.strict_revoke);
  std::string ports;
  std::string seeds;
  std::string invariants;
  r.read("port_range", ports, true), r.read("seeds", seeds, true), r.read("invariants", invariants);
  s.seeds = split_list(seeds);
  for (auto& invariant : split_list(invariants)) s.invariants.insert(invariant);
  const auto range = split_list(ports);
  try {
    if (range.size() != 2) throw std::invalid_argument(ports);
    const auto first = std::stoul(range[0]);
    const auto last = std::stoul(range[1]);
    if (first == 0 || first + kProxyPort > last || last > 65535) throw std::invalid_argument(ports);
    s.first_port = static_cast<std::uint16_t>(first), s.last_port = static_cast<std::uint16_t>(last);
  } catch (const std::exception&) {
    r.add_error("port_range", ports, "FIRST,LAST with at least three ports");
  }
  for (const auto& [key, node] : tree) {
    if (key.starts_with("azs.")) s.zones[key.substr(4)] = node.data();
    if (key.starts_with("listen.")) s.listen[key.substr(7)] = node.data();
  }
  if (s.region.empty()) s.region = s.region_of(s.zone);
  if (!r.errors().empty()) return Failure{"read settings", name, r.errors()};
  return s;
}

Result<SystemSettings> read_settings(const std::string& path) {
  std::ifstream in(path);
  if (!in) return Failure{"read settings", path, "cannot open the file"};
  std::ostringstream text;
  text << in.rdbuf();
  return parse_settings(text.str(), path);
}

}  // namespace docklift
