// How a count is kept in Redis: names, fixed point, the commands of one call and what their replies mean. No I/O.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "redis/resp.hpp"
#include "snowknot/gateway.hpp"

namespace docklift::redis {

// Amounts are kept as whole millionths, so that adding is exact and seven digits of a total are kept up to 1e12.
inline constexpr double kParts = 1e6;
std::optional<std::int64_t> to_parts(double amount);  // none: not finite, or beyond 1e9
double from_parts(std::int64_t parts);

// PREFIX{NAME in 16 hex digits}: what is in braces decides the slot, so all keys of a name are in one.
std::string key_of(std::string_view prefix, snowknot::CountName name);

// The slot of a key in a cluster: CRC16 (XMODEM) of its hash tag, or of all of it, modulo 16384.
std::uint16_t slot_of(std::string_view key);

// Adds, with the lifetime from the first call on, and gives the total: one round trip, atomic, no script.
//   MULTI; SET key 0 NX PX ms; INCRBY key parts; EXEC
std::string add_command(std::string_view key, std::int64_t parts, std::int64_t milliseconds);
inline constexpr std::size_t kRepliesOfAdd = 4;

std::int64_t milliseconds_of(snowknot::Duration lifetime);  // rounded up, 1 at least

// A cluster's words for "not here, not now": MOVED, ASK, TRYAGAIN, CLUSTERDOWN.
bool is_redirect(std::string_view error);

// What an error says of the call that it answers. Those in the table are told before anything runs.
enum class Added { no, maybe };
Added added_after(std::string_view error);

// Collects the replies of one call.
class AddReplies {
 public:
  // True if that was the last one.
  bool take(const Reply& reply);
  // refused: nothing was added; ok with the total; added: it was, but the total can't be read; timeout: not known.
  snowknot::CountOutcome outcome() const { return outcome_; }
  double total() const { return total_; }
  const std::string& error() const { return error_; }  // the first one that came

 private:
  void read_total(const Reply& reply);

  std::size_t came_ = 0;
  bool queued_ = true;  // it runs within MULTI
  std::string error_;
  snowknot::CountOutcome outcome_ = snowknot::CountOutcome::timeout;
  double total_ = 0;
};

}  // namespace docklift::redis
