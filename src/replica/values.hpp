// What records hold. Fixed widths and big-endian, so that a larger text is the more careful word: a later start, a higher revision, a drain
// before none, more units.
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

// ---- Words on servers: what a list said ---------------------------------------------------------------------

enum class ServerPhase : std::uint8_t { ready = 0, gone = 1, draining = 2 };

struct ServerStatus {
  std::uint64_t start = 0;     // Unix ms of the server's start; 0: long ago
  std::uint64_t revision = 0;  // of the list that said so
  ServerPhase phase = ServerPhase::ready;
  // The newest start, then the highest revision, then the drain.
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

// Units that one life has added to a count in one epoch of the store, and taken off again, in thousandths, as totals are rounded. Of an add
// without an answer nobody knows whether it was carried out: there is a most and a least of each.
struct Use {
  std::uint64_t epoch = 0;
  std::uint64_t taken_most = 0, taken_least = 0, handed_most = 0, handed_least = 0;
  std::int64_t most() const { return static_cast<std::int64_t>(taken_most) - static_cast<std::int64_t>(handed_least); }
  std::int64_t least() const { return static_cast<std::int64_t>(taken_least) - static_cast<std::int64_t>(handed_most); }
};
inline std::uint64_t thousandths(double units) { return units <= 0 ? 0 : static_cast<std::uint64_t>(std::llround(units * 1000)); }
inline double units_of(std::uint64_t thousandths) { return static_cast<double>(thousandths) / 1000; }

inline std::string to_text(const std::vector<Use>& all) {
  std::string s;
  for (const auto& u : all) {
    put_number(s, u.epoch);
    for (const auto n : {u.taken_most, u.taken_least, u.handed_most, u.handed_least}) put_number(s, n);
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

// ---- What was seen of a server ------------------------------------------------------------------------------

// Of one start of a server: tenths of the attempts that went well, or that nothing is said of it any more.
struct ServerHealth {
  std::uint64_t start = 0;  // Unix ms; 0: long ago
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
  const ServerHealth sight{get_number(s, 0), static_cast<std::uint8_t>(s[8])};
  if (sight.tenths > 10 && sight.tenths != ServerHealth::kWithdrawn) return std::nullopt;
  return sight;
}

// An epoch and an amount, or an epoch alone.
inline std::string to_text(std::uint64_t epoch, std::uint64_t amount) { return number_key(epoch) + number_key(amount); }

}  // namespace docklift::replica
