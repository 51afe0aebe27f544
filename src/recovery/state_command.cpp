#include "recovery/state_command.hpp"

#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>

#include "journal/disk.hpp"
#include "recovery/memory.hpp"
#include "replica/values.hpp"

namespace docklift::recovery {
namespace {

constexpr int kNoInput = 66;  // EX_NOINPUT

// The first record of a file names its node, but its checksum is salted with that name: the bytes are read without verifying them.
std::string node_of(const std::map<std::string, std::string>& files) {
  constexpr std::size_t kKeyLength = journal::kHead + 1;
  for (auto it = files.rbegin(); it != files.rend(); ++it) {
    const auto& bytes = it->second;
    if (bytes.size() < kKeyLength + 2 || bytes[journal::kHead] != static_cast<char>(journal::Kind::header)) continue;
    const auto size = static_cast<std::size_t>(static_cast<unsigned char>(bytes[kKeyLength]) << 8U | static_cast<unsigned char>(bytes[kKeyLength + 1]));
    if (bytes.size() >= kKeyLength + 2 + size) return bytes.substr(kKeyLength + 2, size);
  }
  return {};
}

const char* name_of(replica::Kind k) {
  using enum replica::Kind;
  switch (k) {
    case server_health: return "seen";
    case node: return "node";
    case server_status: return "drains and leaving servers";
    case use: return "use of counts";
    case epoch: return "epoch of the store";
    case epoch_ended: return "epochs that were ended";
    case restore_started: return "tellings that were begun";
    case restore_done: return "tellings that were done";
    case incarnation_closed: return "lives that were closed";
    case windows_closed: return "windows that were shut";
  }
  return "?";
}

}  // namespace

int state_command(const std::string& folder, const std::string& node, bool as_json, bool verify) {
  using nlohmann::json;
  const auto files = journal::read_files(folder);
  const auto name = node.empty() ? node_of(files) : node;
  const auto found = journal::recover(files, name);
  if (found.read == 0) {
    std::cerr << folder << ": no journal" << (name.empty() ? "" : " of node " + name) << " can be read here\n";
    for (const auto& d : found.damage) std::cerr << folder << '/' << d.file << " at " << d.offset << ": " << d.what << '\n';
    return kNoInput;
  }
  const auto r = restore_state(found, name);
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  json damage = json::array(), lives = json::array(), kinds = json::object();
  for (const auto& d : found.damage) damage.push_back({{"file", d.file}, {"offset", d.offset}, {"what", d.what}});
  std::size_t open = 0, drains = 0;
  for (const auto& p : r.pages) {
    lives.push_back({{"name", p.origin.name}, {"life", p.origin.life}, {"number", p.upto}, {"records", p.records.size()},
                     {"whole", p.upto >= p.goal}});
    for (const auto& x : p.records) {
      auto& n = kinds[name_of(x.kind)];
      n = n.is_null() ? 1 : n.get<int>() + 1;
      open += x.kind == replica::Kind::use && x.ends > now ? 1 : 0;
      drains += x.kind == replica::Kind::server_status ? 1 : 0;
    }
  }
  json former = json::array();
  for (const auto& f : r.former) former.push_back({{"life", f.life}, {"number", f.number}, {"left", f.left}});
  const json all{{"node", name}, {"file", journal::file_name(found.read)}, {"last_record", found.number}, {"start", r.start}, {"epoch", r.epoch},
                 {"longest_count_ms", r.longest.count() / 1'000'000}, {"open_counts", open}, {"lives", lives}, {"own_lives", former},
                 {"records", kinds}, {"missing", found.missing}, {"older_file", found.older}, {"damage", damage}};
  if (as_json) {
    std::cout << all.dump(2) << '\n';
  } else {
    std::cout << "node     " << name << ", last start " << r.start << ", epoch " << r.epoch << '\n'
              << "file     " << journal::file_name(found.read) << ", last record " << found.number << (found.older ? "; a NEWER one is not whole" : "") << '\n';
    std::size_t not_left = 0;
    for (const auto& f : r.former) not_left += f.left ? 0 : 1;
    std::cout << "lives    " << r.pages.size() << ", of this name " << r.former.size() << ", " << not_left << " of them without a last word\n"
              << "records  " << drains << " words on servers, " << open << " uses of counts that are open\n";
    if (found.missing > 0) std::cout << "MISSING  " << found.missing << " records in the middle\n";
    for (const auto& d : found.damage) std::cout << "DAMAGE   " << d.file << " at " << d.offset << ": " << d.what << '\n';
  }
  return verify && (found.missing > 0 || found.older || !found.damage.empty()) ? 1 : 0;
}

}  // namespace docklift::recovery
