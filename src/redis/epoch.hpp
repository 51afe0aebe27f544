// Tells whether a server's counts are still those that the fleet has added to: a key with a lifetime of its own that all
// nodes count up. No I/O. docs/design/redis.md has the cases and their error rates.
//
// The key is named after the server's life (its run id and replication id), so that a server that starts again, or a replica that takes over,
// has none yet, whatever data it came with. Its value is the time in milliseconds at which the epoch began, shifted by 21
// bits, plus the number of looks since. So a node that is new to the fleet learns of a loss just before it came, and one
// that sees what nobody else could (older data in the same life, a clock that was set) makes an epoch of its own for all.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "redis/resp.hpp"
#include "snowknot/gateway.hpp"

namespace docklift::redis {

class Epoch {
 public:
  struct Verdict {
    std::optional<snowknot::Time> lost;  // counts of before are not to be relied on
    std::string why;
    std::string write;  // to be sent, its replies (kRewriteReplies) passed over: the epoch that begins here
    std::string error;  // the look itself failed, and says nothing
  };
  static constexpr std::size_t kReplies = 6, kRewriteReplies = 1;

  // `key` as it stands in the server. `step`: a clock that was set forward by more lets names end too early.
  Epoch(std::string key, snowknot::Duration life, snowknot::Duration step)
      : key_(std::move(key)), life_(life), step_(step) {}

  // One look: MULTI; SET key now NX PX life; INCRBY key 1; PEXPIRE key life; TIME; EXEC. One at a time.
  std::string look(snowknot::Time now) const;
  Verdict take(snowknot::Time sent, snowknot::Time now, const std::vector<Reply>& replies);
  const std::string& key() const { return key_; }

 private:
  Verdict begin_anew(snowknot::Time now, std::string why);

  std::string key_;
  snowknot::Duration life_, step_;
  std::optional<std::int64_t> last_;  // value at the last look
  std::optional<std::pair<std::int64_t, std::int64_t>>
      ahead_;  // the store's clock before ours by, in ms: between
};

}  // namespace docklift::redis
