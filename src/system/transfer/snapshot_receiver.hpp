// Receiving side of a snapshot transfer: requests the parts in order, resumes from another source when one
// disconnects, and returns only a complete snapshot whose digest matches. Performs no I/O: time and parts go
// in, requests come out.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "system/base/time.hpp"
#include "system/transfer/snapshot.hpp"

namespace docklift::transfer {

struct ReceiverLimits {
  // Number of parts in flight: grows while they arrive quickly, shrinks while they are slow, so that the path
  // is used and other frames never wait long behind them.
  std::size_t first_window = 2, max_window = 16;
  Duration quick = std::chrono::milliseconds(300);  // from request to arrival
  Duration slow = std::chrono::milliseconds(600);
};

// Fetches one snapshot at a time.
class SnapshotReceiver {
 public:
  struct Request {
    std::string source;
    PartRequest part;
  };
  // What the caller has to do after an event.
  struct Step {
    std::vector<Request> requests;
    std::optional<configuration::State> completed;  // with a matching digest
    bool failed = false;                            // complete, but unreadable: all of it was dropped
    std::vector<std::string> log_messages;
  };

  explicit SnapshotReceiver(ReceiverLimits limits = {}) : limits_(limits) {}

  // `min_position`: the lowest useful position; an older snapshot is rejected.
  Step on_part(Time now, const std::string& source, const Part& part, std::uint64_t min_position);
  Step on_source_lost(Time now, const std::string& source);
  // The copy has reached `position` by other means: cancels the fetch of a snapshot that is not newer.
  void on_position(std::uint64_t position);

  bool fetching() const { return fetching_; }
  bool paused() const { return fetching_ && source_.empty(); }  // no source is left to fetch from
  bool fetching_from(const std::string& source) const { return fetching_ && source_ == source; }
  const std::string& source() const { return source_; }  // empty: none is left
  std::uint64_t received() const { return bytes_.size(); }

 private:
  void start(Time now, const std::string& source, const Part& part, Step& step);
  void resume_at(const std::string& source);
  void append(Time now, const Part& part, Step& step);
  void finish(Time now, Step& step);
  void request_more(Time now, Step& step);
  void adjust_window(Time now);
  void reset();

  ReceiverLimits limits_;
  std::map<std::string, SnapshotId> offers_;  // the last offer of each source
  bool fetching_ = false;
  std::string source_;  // empty: none is left; the bytes received are kept for the next one
  SnapshotId id_;
  std::uint64_t total_ = 0;
  std::string bytes_;
  std::uint64_t requested_ = 0;    // bytes requested so far, as an offset
  std::deque<Time> requested_at_;  // of the parts in flight
  std::size_t window_ = 0, parts_ = 0;
  Time started_at_{};
};

}  // namespace docklift::transfer
