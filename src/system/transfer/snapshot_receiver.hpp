// The receiving side of a snapshot: asks for its parts in order, goes on at another sender where one ends, and
// hands out only a whole one whose digest fits. Pure: time and parts go in, requests come out.
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
  // Parts under way: more while they come quickly, fewer while they are slow, so that the path is used and
  // other frames never wait long behind them.
  std::size_t first_window = 2, most_window = 16;
  Duration quick = std::chrono::milliseconds(300);  // from request to part
  Duration slow = std::chrono::milliseconds(600);
};

class SnapshotReceiver {
 public:
  struct Request {
    std::string source;
    PartRequest part;
  };
  // What is to be done after an event.
  struct Step {
    std::vector<Request> requests;
    std::optional<configuration::State> whole;  // the snapshot is here and fits its digest
    bool failed = false;                        // it was whole and did not fit: no part of it is kept
    std::vector<std::string> notes;             // for the log
  };

  explicit SnapshotReceiver(ReceiverLimits limits = {}) : limits_(limits) {}

  // `least`: the lowest position that is of use; an older snapshot is refused.
  Step on_part(Time now, const std::string& source, const Part& part, std::uint64_t least);
  Step on_source_lost(Time now, const std::string& source);
  // What is held reaches `position` by other means: a fetch of a snapshot that is not newer ends.
  void on_position(std::uint64_t position);

  bool fetching() const { return active_; }
  bool paused() const { return active_ && source_.empty(); }  // no source is left to fetch from
  bool fetching_from(const std::string& source) const { return active_ && source_ == source; }
  const std::string& source() const { return source_; }  // empty: none is left
  std::uint64_t received() const { return bytes_.size(); }

 private:
  void begin(Time now, const std::string& source, const Part& part, Step& step);
  void resume_at(const std::string& source);
  void append(Time now, const Part& part, Step& step);
  void finish(Time now, Step& step);
  void request_more(Time now, Step& step);
  void measure(Time now);
  void reset();

  ReceiverLimits limits_;
  std::map<std::string, SnapshotId> offers_;  // the last one of each source
  bool active_ = false;
  std::string source_;  // empty: none is left; what has come is kept for the next
  SnapshotId id_;
  std::uint64_t total_ = 0;
  std::string bytes_;
  std::uint64_t requested_ = 0;    // up to this offset
  std::deque<Time> requested_at_;  // of parts that are under way
  std::size_t window_ = 0, parts_ = 0;
  Time began_{};
};

}  // namespace docklift::transfer
