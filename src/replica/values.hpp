// Encoding of record values. Fixed widths and big-endian, so that the larger of two texts is the safer value: a later start, a higher
// revision, draining over ready, more units.
#pragma once

#include <bit>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace docklift::replica {

inline void put_number(std::string& out, std::uint64_t n) {
  for (int shift = 56; shift >= 0; shift -= 8) out.push_back(static_cast<char>(n >> static_cast<unsigned>(shift) & 0xffU));
}
inline std::uint64_t get_number(std::string_view in, std::size_t at) {
  std::uint64_t n = 0;
  for (std::size_t i = 0; i < 8; ++i) n = n << 8U | static_cast<unsigned char>(in[at + i]);
  return n;
}
inline std::string number_key(std::uint64_t n) {
  std::string s;
  put_number(s, n);
  return s;
}
inline std::uint64_t number_of_key(std::string_view key) { return key.size() == 8 ? get_number(key, 0) : 0; }

// ---- Server status, as a service list has it ----------------------------------------------------------------

// `gone`: removed from the list.
enum class ServerPhase : std::uint8_t { ready = 0, gone = 1, draining = 2 };

// A server's phase in one revision of a node's list.
struct ServerStatus {
  std::uint64_t start = 0;     // Unix ms of the server's start; 0: not known, long ago
  std::uint64_t revision = 0;  // of the list
  ServerPhase phase = ServerPhase::ready;
  // The latest start wins, then the highest revision, then draining.
  auto operator<=>(const ServerStatus&) const = default;
};
inline std::string to_text(const ServerStatus& w) {
  std::string s;
  put_number(s, w.start);
  put_number(s, w.revision);
  s.push_back(static_cast<char>(w.phase));
  return s;
}
inline std::optional<ServerStatus> parse_server_status(std::string_view s) {
  if (s.size() != 17 || static_cast<unsigned char>(s[16]) > 2) return std::nullopt;
  return ServerStatus{get_number(s, 0), get_number(s, 8), static_cast<ServerPhase>(s[16])};
}

// ---- Use of a count -----------------------------------------------------------------------------------------

// Units that one incarnation has added to a count in one epoch of the store, and removed again, in thousandths, to which totals are
// rounded. Whether an add without an answer was carried out is not known, so each sum has an upper and a
// lower bound.
struct Use {
  std::uint64_t epoch = 0;
  std::uint64_t added_max = 0, added_min = 0, removed_max = 0, removed_min = 0;
  std::int64_t most() const { return static_cast<std::int64_t>(added_max) - static_cast<std::int64_t>(removed_min); }
  std::int64_t least() const { return static_cast<std::int64_t>(added_min) - static_cast<std::int64_t>(removed_max); }
};
inline std::uint64_t thousandths(double units) { return units <= 0 ? 0 : static_cast<std::uint64_t>(std::llround(units * 1000)); }
inline double units_of(std::uint64_t thousandths) { return static_cast<double>(thousandths) / 1000; }

inline std::string to_text(const std::vector<Use>& all) {
  std::string s;
  for (const auto& u : all) {
    put_number(s, u.epoch);
    for (const auto n : {u.added_max, u.added_min, u.removed_max, u.removed_min}) put_number(s, n);
  }
  return s;
}
inline std::vector<Use> parse_uses(std::string_view s) {
  std::vector<Use> all;
  if (s.size() % 40 != 0) return all;
  for (std::size_t at = 0; at < s.size(); at += 40)
    all.push_back({get_number(s, at), get_number(s, at + 8), get_number(s, at + 16), get_number(s, at + 24), get_number(s, at + 32)});
  return all;
}

// ---- Server health ------------------------------------------------------------------------------------------

// A node's report on one start of a server: tenths of the attempts that succeeded, or kWithdrawn.
struct ServerHealth {
  std::uint64_t start = 0;  // Unix ms; 0: not known, long ago
  std::uint8_t tenths = 10;
  static constexpr std::uint8_t kWithdrawn = 255;
  auto operator<=>(const ServerHealth&) const = default;
};
inline std::string to_text(const ServerHealth& s) {
  auto text = number_key(s.start);
  text.push_back(static_cast<char>(s.tenths));
  return text;
}
inline std::optional<ServerHealth> parse_server_health(std::string_view s) {
  if (s.size() != 9) return std::nullopt;
  const ServerHealth health{get_number(s, 0), static_cast<std::uint8_t>(s[8])};
  if (health.tenths > 10 && health.tenths != ServerHealth::kWithdrawn) return std::nullopt;
  return health;
}

// An epoch and an amount.
inline std::string to_text(std::uint64_t epoch, std::uint64_t amount) { return number_key(epoch) + number_key(amount); }

}  // namespace docklift::replica
