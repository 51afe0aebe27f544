// One memory for the bodies of all streams, in slabs, and who may hold how much of it. No I/O, no clock.
//
// A pipe is one direction of a stream. Invariants: never more slabs are out than the budget has; every pipe that was admitted
// can take its floor at any time, so that none ever waits for another to go on, and none has to be ended for want of
// memory. What is above the floors goes round by deficit round robin (Shreedhar and Varghese, 1995): a pipe that asks for
// much at once gets no more of it than those that ask for little.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace docklift::stream {

inline constexpr std::size_t kSlabBytes = 16 * 1024;
using Slab = std::array<char, kSlabBytes>;
using SlabPtr = std::unique_ptr<Slab>;

enum class PipeId : std::uint64_t {};

class Budget {
 public:
  // `slabs` in all; each pipe is promised `floor` and may hold up to `most`. The floors of `expected` pipes are kept free for
  // them from the start, so that those that came first can't keep them out. Throws std::invalid_argument where there is not as much.
  Budget(std::size_t slabs, std::size_t floor, std::size_t most, std::size_t expected = 0);

  bool admit(PipeId id);  // false: its floor could not be kept
  void release(PipeId id);  // after all its slabs were given back
  // One slab for a pipe, or none: then the pipe stands in line and is named by turns() when it may take one. Asked with
  // `wants`, it stands in line for that many at once.
  SlabPtr take(PipeId id, std::size_t wants = 1);
  void give(PipeId id, SlabPtr slab);
  // Pipes whose turn has come since the last call; what they were granted is kept for them until they take it or `decline`.
  std::vector<PipeId> turns();
  void decline(PipeId id);

  std::size_t pipes() const { return holds_.size(); }
  std::size_t out() const { return out_; }
  std::size_t waiting() const { return line_.size(); }
  std::size_t slabs() const { return slabs_; }
  bool room_for(std::size_t pipes) const { return spare() + to_come() >= pipes * floor_; }

 private:
  struct Hold {
    std::size_t out = 0, granted = 0, wants = 0, deficit = 0;
    bool in_line = false;
  };
  std::size_t promised(const Hold& h) const { return h.out >= floor_ ? 0 : floor_ - h.out; }
  std::size_t to_come() const { return expected_ > holds_.size() ? floor_ * (expected_ - holds_.size()) : 0; }
  std::size_t spare() const { return slabs_ - out_ - promised_ - granted_ - to_come(); }
  SlabPtr hand_out(Hold& h);
  void share();

  std::size_t slabs_, floor_, most_, expected_;
  std::size_t out_ = 0;
  std::size_t promised_ = 0;  // of floors, not taken yet
  std::size_t granted_ = 0;   // to pipes whose turn has come, not taken yet
  std::unordered_map<PipeId, Hold> holds_;
  std::deque<PipeId> line_;
  std::vector<PipeId> turns_;
  std::vector<SlabPtr> free_;  // that were used before
};

}  // namespace docklift::stream
