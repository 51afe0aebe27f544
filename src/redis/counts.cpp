#include "redis/counts.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace docklift::redis {

using snowknot::CountOutcome;

namespace {

constexpr double kMostAmount = 1e9;
constexpr std::uint16_t kSlots = 16384;

// Words of the documentation that are said before a command runs, so that nothing was added.
constexpr std::array<std::string_view, 19> kNotAdded{
    "LOADING",   "READONLY",    "OOM",       "NOAUTH",  "NOPERM",     "MOVED",   "ASK",
    "TRYAGAIN",  "CLUSTERDOWN", "CROSSSLOT", "BUSY",    "MASTERDOWN", "MISCONF", "NOREPLICAS",
    "EXECABORT", "WRONGPASS",   "WRONGTYPE", "NOPROTO", "DENIED"};

}  // namespace

std::optional<std::int64_t> to_parts(double amount) {
  if (!std::isfinite(amount) || std::abs(amount) > kMostAmount) return std::nullopt;
  return std::llround(amount * kParts);
}

double from_parts(std::int64_t parts) { return static_cast<double>(parts) / kParts; }

std::string key_of(std::string_view prefix, snowknot::CountName name) {
  std::array<char, 20> text{};
  std::snprintf(text.data(), text.size(), "{%016llx}", static_cast<unsigned long long>(name));
  return std::string(prefix) + text.data();
}

std::uint16_t slot_of(std::string_view key) {
  if (const auto open = key.find('{'); open != std::string_view::npos)
    if (const auto close = key.find('}', open + 1); close != std::string_view::npos && close > open + 1)
      key = key.substr(open + 1, close - open - 1);
  std::uint16_t crc = 0;
  for (const char c : key) {
    crc = static_cast<std::uint16_t>(crc ^ (static_cast<unsigned char>(c) << 8U));
    for (int i = 0; i < 8; ++i)
      crc = static_cast<std::uint16_t>((crc & 0x8000U) != 0 ? (crc << 1U) ^ 0x1021U : crc << 1U);
  }
  return crc % kSlots;
}

std::string add_command(std::string_view key, std::int64_t parts, std::int64_t milliseconds) {
  return command({"MULTI"}) + command({"SET", key, "0", "NX", "PX", std::to_string(milliseconds)}) +
         command({"INCRBY", key, std::to_string(parts)}) + command({"EXEC"});
}

std::int64_t milliseconds_of(snowknot::Duration lifetime) {
  return std::max<std::int64_t>(std::chrono::ceil<std::chrono::milliseconds>(lifetime).count(), 1);
}

bool is_redirect(std::string_view error) {
  const auto word = error.substr(0, error.find(' '));
  return word == "MOVED" || word == "ASK" || word == "TRYAGAIN" || word == "CLUSTERDOWN";
}

Added added_after(std::string_view error) {
  const auto word = error.substr(0, error.find(' '));
  return std::ranges::find(kNotAdded, word) != kNotAdded.end() ? Added::no : Added::maybe;
}

void AddReplies::read_total(const Reply& r) {
  if (r.kind == Reply::Kind::integer) {
    outcome_ = CountOutcome::ok, total_ = from_parts(r.integer);
  } else if (r.is_error()) {
    if (error_.empty()) error_ = r.text;
    outcome_ = added_after(r.text) == Added::no ? CountOutcome::refused : CountOutcome::timeout;
  } else {
    outcome_ = CountOutcome::added;  // it ran, whatever this is
  }
}

// A MULTI that is turned away leaves the commands behind it to run by themselves, or to be turned away one by one: only
// the reply to INCRBY itself tells then.
bool AddReplies::take(const Reply& r) {
  const auto which = came_++;
  if (r.is_error() && error_.empty()) error_ = r.text;
  switch (which) {
    case 0: queued_ = !r.is_error(); break;
    case 1: break;
    case 2:
      if (!queued_) read_total(r);
      break;
    default:
      if (!queued_) break;
      if (r.kind == Reply::Kind::array && r.items.size() == 2 && r.items[1].is_error())
        outcome_ = CountOutcome::refused,
        error_ = r.items[1].text;  // a command of it that fails does nothing
      else if (r.kind == Reply::Kind::array && r.items.size() == 2)
        read_total(r.items[1]);
      else if (r.kind == Reply::Kind::null)
        outcome_ = CountOutcome::refused;  // the transaction did not run
      else if (r.is_error())
        outcome_ = added_after(r.text) == Added::no ? CountOutcome::refused : CountOutcome::timeout;
  }
  return came_ == kRepliesOfAdd;
}

}  // namespace docklift::redis
