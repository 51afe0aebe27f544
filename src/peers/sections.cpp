#include "peers/sections.hpp"

#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>

#include "config/options.hpp"

namespace docklift::peers {
namespace {

using namespace options;

constexpr std::int64_t kKiB = 1024, kMiB = 1024 * kKiB, kGiB = 1024 * kMiB;
constexpr std::size_t kMinKeyBytes = 16;

}  // namespace

Section peers_section() {
  Section s{.name = "peers", .doc = "Other nodes of the fleet, where the installation lets them talk (UDP)."};
  s.options = {
      text("listen", Type::address, "", "Where this node hears the others; empty: it has none."),
      text("advertise", Type::address, "", "What the others are told instead, where they reach it by another address."),
      {.key = "seeds", .type = Type::addresses, .fallback = std::vector<std::string>(),
       .doc = "Some of the others, to be met first. The rest is learnt from them."},
      text("cluster", Type::text, "docklift", "Datagrams of another cluster are passed over."),
      text("key_file", Type::path, "", "Holds the secret that all nodes share, 16 bytes at least."),
      text("zone", Type::text, "", "Told to the others."),
      span("interval", 500 * kMs, 20 * kMs, kMinute, "Between two probes of other nodes."),
      span("round", 200 * kMs, 10 * kMs, 10 * kS, "Between two rounds in which what is new goes out."),
      flag("drains", true, "A server that another node's list calls draining is drained here too."),
      flag("beliefs", true, "A start is told which servers serve the others badly."),
      flag("counts", true, "A store that has lost its counts is mended by what the nodes know."),
      span("warm_limit", kS, 0, kMinute, "For copies from two others at a start; then it is ready without."),
      span("settle_limit", 2 * kS, 100 * kMs, kMinute, "For all nodes to close the books on a store that has lost its counts."),
      span("clocks", 120 * kMs, 0, 10 * kS, "By which the clocks of two nodes may differ."),
      number("tells_per_s", 200, 1, 1'000'000, "Counts that all nodes together tell a store again, each second."),
      number("most_records", 200'000, 1000, 10'000'000, "Copies that are held; past that what is least needed goes."),
      {.key = "bytes_per_s", .type = Type::size, .fallback = std::int64_t{4 * kMiB},
       .doc = "Of copies that this node sends.", .reloadable = false, .least = 16 * kKiB, .most = kGiB},
  };
  s.check = [](const Config& c, const Section::Wrong& wrong) {
    if (c.text("peers.listen").empty()) return;
    if (c.text("peers.key_file").empty()) wrong("listen", "needs peers.key_file");
    if (c.text("peers.cluster").empty() || c.text("peers.cluster").size() > 64) wrong("cluster", "is not a name of 1 to 64 bytes");
    if (c.text("peers.zone").size() > 32) wrong("zone", "has more than 32 bytes");
  };
  return s;
}

Section state_section() {
  Section s{.name = "state", .doc = "What a node keeps on its disk, so that the fleet comes back in order after a loss of power. Needs [peers]."};
  s.options = {
      text("dir", Type::path, "", "A folder of this node alone; empty: nothing is kept."),
      span("commit", 20 * kMs, 0, 10 * kS, "What is new waits so long for company before it is written and synced."),
      number("undurable_units", 20, 1, 1'000'000,
             "Of one count so many units may be passed whose record is not on the disk yet; past that calls to the store are refused at once."),
      span("verify_limit", 3 * kS, 0, kMinute, "For what the lost nodes have passed to be known; then windows that had begun stay shut."),
      {.key = "most_bytes", .type = Type::size, .fallback = std::int64_t{64 * kMiB},
       .doc = "Of one file; there are two.", .reloadable = false, .least = kMiB, .most = kGiB},
  };
  s.check = [](const Config& c, const Section::Wrong& wrong) {
    if (!c.text("state.dir").empty() && c.text("peers.listen").empty()) wrong("dir", "needs peers.listen");
  };
  return s;
}

std::optional<StationOptions> station_options(const Config& c, const snowknot::NodeConfig& platform) {
  const auto listen = snowknot::endpoint_of(c.text("peers.listen"));
  if (!listen) return std::nullopt;
  StationOptions o;
  o.listen = *listen;
  std::stringstream secret;
  const auto& file = c.text("peers.key_file");
  secret << std::ifstream(file, std::ios::binary).rdbuf();
  if (secret.str().size() < kMinKeyBytes)
    throw std::runtime_error("peers.key_file: can't read a secret of at least 16 bytes from " + file);
  std::random_device random;
  const auto number = [&] { return static_cast<std::uint64_t>(random()) << 32U | random(); };
  auto& p = o.peer;
  p.key = key_of(secret.str());
  p.cluster = c.text("peers.cluster");
  const auto& advertise = c.text("peers.advertise");
  const auto unix_ms = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
  p.self = {platform.name, static_cast<std::uint64_t>(unix_ms), number() | 1U,
            advertise.empty() ? c.text("peers.listen") : advertise, c.text("peers.zone")};
  p.seeds = c.list("peers.seeds");
  p.fleet_size = platform.named.settings.fleet_size;
  std::stringstream text;
  text << std::ifstream(c.file(), std::ios::binary).rdbuf();
  std::array<char, 17> version{};
  std::snprintf(version.data(), version.size(), "%016llx", static_cast<unsigned long long>(mixed(1, text.str().data(), text.str().size())));
  p.file_version = version.data();
  p.drains = c.boolean("peers.drains");
  p.counts = c.boolean("peers.counts");
  p.beliefs = c.boolean("peers.beliefs");
  p.warm_limit = c.duration("peers.warm_limit");
  p.members.interval = c.duration("peers.interval");
  p.members.timeout = p.members.interval * 3 / 10;
  p.members.rejoin_interval = p.members.interval * 4;
  p.records.round = c.duration("peers.round");
  p.records.most_records = static_cast<std::size_t>(c.whole("peers.most_records"));
  p.records.bytes_per_s = static_cast<double>(c.whole("peers.bytes_per_s"));
  p.count_limits.settle = c.duration("peers.settle_limit");
  p.count_limits.clocks = c.duration("peers.clocks");
  p.count_limits.tells_per_s = static_cast<double>(c.whole("peers.tells_per_s"));
  if (const auto& dir = c.text("state.dir"); !dir.empty()) {
    recovery::JournalWriterOptions k;
    k.folder = dir;
    k.node = platform.name;
    k.journal.commit = c.duration("state.commit");
    k.journal.most_bytes = static_cast<std::size_t>(c.whole("state.most_bytes"));
    o.disk = std::move(k);
    p.disk = p.count_limits.ahead = true;
    p.count_limits.most_undurable = static_cast<std::uint64_t>(c.whole("state.undurable_units")) * 1000;
    p.stages = {.join = p.warm_limit, .verify = c.duration("state.verify_limit"), .clocks = p.count_limits.clocks};
  }
  return o;
}

}  // namespace docklift::peers
