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

std::vector<std::string> parts(const std::string& list) {
  std::vector<std::string> out;
  std::istringstream in(list);
  for (std::string one; std::getline(in, one, ',');)
    if (!one.empty()) out.push_back(one);
  return out;
}

class Reader {
 public:
  explicit Reader(const Tree& tree) : tree_(tree) {}

  template <class T>
  void take(const char* key, T& into, bool needed = false) {
    const auto found = tree_.find(key);
    if (found == tree_.not_found()) {
      if (needed) mistakes_ += std::string(mistakes_.empty() ? "" : "\n") + key + " is missing";
      return;
    }
    const auto& text = found->second.data();
    if constexpr (std::is_same_v<T, std::string>) {
      into = text;
    } else if constexpr (std::is_same_v<T, bool>) {
      if (text != "true" && text != "false") return wrong(key, text, "true or false");
      into = text == "true";
    } else {
      const auto read = found->second.get_value_optional<T>();
      if (!read || (!text.empty() && text.front() == '-')) return wrong(key, text, "a number");
      into = *read;
    }
  }
  void wrong(const std::string& key, const std::string& text, const std::string& wanted) {
    mistakes_ += (mistakes_.empty() ? "" : "\n") + key + " is " + text + ", not " + wanted;
  }
  const std::string& mistakes() const { return mistakes_; }

 private:
  const Tree& tree_;
  std::string mistakes_;
};

}  // namespace

std::string SystemSettings::region_of(const std::string& a_zone) const {
  const auto it = zones.find(a_zone);
  return it == zones.end() ? std::string() : it->second;
}

std::vector<std::string> SystemSettings::seed_ips() const {
  std::set<std::string> ips;
  for (const auto& s : seeds) ips.insert(s.substr(0, s.rfind(':')));
  return {ips.begin(), ips.end()};
}

std::string settings_path() {
  const char* named = std::getenv("DOCKLIFT_SETTINGS");
  return named && *named ? named : "/etc/docklift/settings.conf";
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
  r.take("hostname", s.hostname, true), r.take("role", s.role), r.take("mclass", s.machine_class);
  r.take("bind_ip", s.bind_ip, true), r.take("az", s.zone, true), r.take("rgn", s.region);
  r.take("datadir", s.data_dir), r.take("bootstrap", s.bootstrap), r.take("voting", s.voting);
  r.take("limits.cpu", s.cpu), r.take("limits.mem_mb", s.memory_mb), r.take("limits.nofile", s.descriptors);
  r.take("hb_ms", s.heartbeat_ms), r.take("tolerance.nodes", s.tolerated_node_failures);
  r.take("tolerance.azs", s.tolerated_zone_failures), r.take("tolerance.rgns", s.tolerated_region_failures);
  auto& b = s.bounds;
  r.take("bounds.seed_lag_s", b.seed_lag_s), r.take("bounds.reuse_s", b.reuse_s);
  r.take("bounds.sync_s", b.sync_s), r.take("bounds.grace_s", b.grace_s);
  r.take("bounds.retry_win_s", b.retry_win_s), r.take("bounds.quota_win_s", b.quota_win_s);
  r.take("bounds.recover_s", b.recover_s), r.take("bounds.contact_ms", b.contact_ms);
  r.take("bounds.ack_ms", b.ack_ms), r.take("bounds.drain_ms", b.drain_ms);
  r.take("bounds.lost_slack_ms", b.lost_slack_ms), r.take("bounds.apply_ms", b.apply_ms);
  r.take("bounds.downgrade_ms", b.downgrade_ms), r.take("bounds.skew_ms", b.skew_ms);
  r.take("bounds.revoke_ms", b.revoke_ms), r.take("bounds.evac_ms", b.evac_ms);
  r.take("bounds.retry_ratio", b.retry_ratio), r.take("bounds.retry_extra", b.retry_extra);
  r.take("bounds.quota_excess", b.quota_excess), r.take("bounds.quota_slack", b.quota_slack);
  r.take("bounds.cold_excess", b.cold_excess), r.take("bounds.cold_slack", b.cold_slack);
  r.take("bounds.ttl_max_s", b.ttl_max_s), r.take("bounds.strict_revoke", b.strict_revoke);
  std::string ports;
  std::string seeds;
  std::string invariants;
  r.take("port_range", ports, true), r.take("seeds", seeds, true), r.take("invariants", invariants);
  s.seeds = parts(seeds);
  for (auto& c : parts(invariants)) s.invariants.insert(c);
  const auto range = parts(ports);
  try {
    if (range.size() != 2) throw std::invalid_argument(ports);
    const auto first = std::stoul(range[0]);
    const auto last = std::stoul(range[1]);
    if (first == 0 || first + kProxyPort > last || last > 65535) throw std::invalid_argument(ports);
    s.first_port = static_cast<std::uint16_t>(first), s.last_port = static_cast<std::uint16_t>(last);
  } catch (const std::exception&) {
    r.wrong("port_range", ports, "two ports with three between them");
  }
  for (const auto& [key, node] : tree) {
    if (key.starts_with("azs.")) s.zones[key.substr(4)] = node.data();
    if (key.starts_with("listen.")) s.listen[key.substr(7)] = node.data();
  }
  if (s.region.empty()) s.region = s.region_of(s.zone);
  if (!r.mistakes().empty()) return Failure{"read settings", name, r.mistakes()};
  return s;
}

Result<SystemSettings> read_settings(const std::string& path) {
  std::ifstream in(path);
  if (!in) return Failure{"read settings", path, "the file can't be opened"};
  std::ostringstream text;
  text << in.rdbuf();
  return parse_settings(text.str(), path);
}

}  // namespace docklift
