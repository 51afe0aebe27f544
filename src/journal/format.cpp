#include "journal/format.hpp"

#include <algorithm>
#include <functional>
#include <array>
#include <cstdio>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace docklift::journal {
namespace {

constexpr std::string_view kMagic = "\xd0\x4a\x6c\x31";

void put(std::string& out, std::uint64_t n, unsigned bytes) {
  for (unsigned i = bytes; i-- > 0;) out.push_back(static_cast<char>(n >> (8 * i) & 0xffU));
}
std::uint64_t get(std::string_view in, std::size_t at, unsigned bytes) {
  std::uint64_t n = 0;
  for (unsigned i = 0; i < bytes; ++i) n = n << 8U | static_cast<unsigned char>(in[at + i]);
  return n;
}
// Covers the number and the bytes after the head.
std::uint64_t checksum(std::uint64_t number, std::string_view body, std::uint64_t salt) {
  return XXH3_64bits_withSeed(body.data(), body.size(), salt ^ number * 0x9e3779b97f4a7c15ULL);
}
constexpr std::size_t kMinBody = 3;  // kind, length of the key

}  // namespace

std::uint64_t salt_of(std::string_view node, std::uint64_t generation) {
  return XXH3_64bits_withSeed(node.data(), node.size(), generation);
}

void append(std::string& out, const Record& r, std::uint64_t salt) {
  std::string body;
  body.push_back(static_cast<char>(r.kind));
  put(body, r.key.size(), 2);
  body += r.key;
  body += r.value;
  out += kMagic;
  put(out, body.size(), 4);
  put(out, r.number, 8);
  put(out, checksum(r.number, body, salt), 8);
  out += body;
}

std::optional<std::pair<Record, std::size_t>> record_at(std::string_view bytes, std::size_t at, std::uint64_t salt) {
  if (at > bytes.size() || bytes.size() - at < kHead + kMinBody || bytes.substr(at, 4) != kMagic) return std::nullopt;
  const auto size = get(bytes, at + 4, 4);
  if (size < kMinBody || size > kMostValue + 65'535 + kMinBody || size > bytes.size() - at - kHead) return std::nullopt;
  Record r;
  r.number = get(bytes, at + 8, 8);
  const auto body = bytes.substr(at + kHead, size);
  if (checksum(r.number, body, salt) != get(bytes, at + 16, 8)) return std::nullopt;
  const auto kind = static_cast<unsigned char>(body[0]);
  const auto key = get(body, 1, 2);
  if (kind < 1 || kind > 4 || key > body.size() - kMinBody) return std::nullopt;
  r.kind = static_cast<Kind>(kind);
  r.key = body.substr(kMinBody, key);
  r.value = body.substr(kMinBody + key);
  return std::pair(std::move(r), at + kHead + size);
}

Scan scan(const std::string& name, std::string_view bytes, std::string_view node, std::uint64_t generation) {
  Scan s;
  const auto salt = salt_of(node, generation);
  std::size_t at = 0;
  bool intact = true;  // no record is missing so far
  while (at < bytes.size()) {
    if (auto found = record_at(bytes, at, salt)) {
      auto& r = found->first;
      const auto last = s.records.empty() ? 0 : s.records.back().number;
      if (s.records.empty() ? r.kind != Kind::header : r.number <= last) {
        s.damage.push_back({name, at, "a record that does not belong here"});
        intact = false;
      } else {
        if (!s.records.empty() && r.number != last + 1) s.missing += r.number - last - 1, intact = false;
        s.whole = s.whole || (intact && r.kind == Kind::end_of_snapshot);
        s.records.push_back(std::move(r));
      }
      at = s.good = found->second;
      continue;
    }
    // Searches for the next valid record. If there is none, the rest is a torn tail of an unfinished write.
    auto next = bytes.find(kMagic, at + 1);
    while (next != std::string_view::npos && !record_at(bytes, next, salt)) next = bytes.find(kMagic, next + 1);
    if (next == std::string_view::npos) break;
    s.damage.push_back({name, at, std::to_string(next - at) + " bytes that are no record"});
    intact = false;
    at = next;
  }
  return s;
}

std::string file_name(std::uint64_t generation) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "journal-%016llx", static_cast<unsigned long long>(generation));
  return text.data();
}

std::optional<std::uint64_t> generation_of(std::string_view name) {
  if (name.size() != 24 || !name.starts_with("journal-")) return std::nullopt;
  std::uint64_t n = 0;
  for (const char c : name.substr(8)) {
    const int digit = c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
    if (digit < 0) return std::nullopt;
    n = n << 4U | static_cast<unsigned>(digit);
  }
  return n == 0 ? std::nullopt : std::optional(n);
}

Recovered recover(const std::map<std::string, std::string>& files, std::string_view node) {
  Recovered r;
  std::map<std::uint64_t, Scan, std::greater<>> scans;
  for (const auto& [name, bytes] : files) {
    const auto g = generation_of(name);
    if (!g) continue;
    r.generation = std::max(r.generation, *g);
    r.files.push_back(*g);
    scans.emplace(*g, scan(name, bytes, node, *g));
  }
  // Reads the newest file with a complete snapshot, and applies the records of newer files, whose snapshots were not finished.
  std::vector<Scan*> from;
  for (auto& [g, s] : scans) {
    from.push_back(&s);
    const auto name = file_name(g);
    if (s.records.empty() && !files.at(name).empty()) r.damage.push_back({name, 0, "no record of this node"});
    r.damage.insert(r.damage.end(), s.damage.begin(), s.damage.end());
    if (!s.records.empty()) r.number = std::max(r.number, s.records.back().number);
    if (!s.whole) continue;
    r.read = g;
    r.missing = s.missing;
    break;
  }
  r.older = r.read != r.generation;
  for (auto it = from.rbegin(); it != from.rend(); ++it)
    for (auto& record : (*it)->records) {
      if (record.kind == Kind::put) r.state[record.key] = std::move(record.value);
      if (record.kind == Kind::erase) r.state.erase(record.key);
    }
  return r;
}

}  // namespace docklift::journal
