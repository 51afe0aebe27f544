#include "stream/budget.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace docklift::stream {

Budget::Budget(std::size_t slabs, std::size_t floor, std::size_t most, std::size_t expected)
    : slabs_(slabs), floor_(floor), most_(most), expected_(expected) {
  if (floor == 0 || most < floor || slabs < floor || slabs / floor < expected) throw std::invalid_argument("the budget holds no stream");
}

bool Budget::admit(PipeId id) {
  if (!room_for(1) || holds_.contains(id)) return false;
  holds_.emplace(id, Hold{});
  promised_ += floor_;
  return true;
}

void Budget::release(PipeId id) {
  const auto it = holds_.find(id);
  if (it == holds_.end()) return;
  promised_ -= promised(it->second);
  granted_ -= it->second.granted;
  if (it->second.in_line) std::erase(line_, id);
  std::erase(turns_, id);
  holds_.erase(it);
  share();
}

SlabPtr Budget::hand_out(Hold& h) {
  if (h.out < floor_) --promised_;
  ++h.out;
  ++out_;
  if (free_.empty()) return std::make_unique<Slab>();
  auto slab = std::move(free_.back());
  free_.pop_back();
  return slab;
}

SlabPtr Budget::take(PipeId id, std::size_t wants) {
  auto& h = holds_.at(id);
  if (h.out < floor_) return hand_out(h);
  if (h.granted > 0) {
    --h.granted;
    --granted_;
    return hand_out(h);
  }
  if (h.out >= most_) return nullptr;
  if (line_.empty() && spare() > 0) return hand_out(h);
  h.wants = std::clamp<std::size_t>(wants, 1, most_ - h.out);
  if (!std::exchange(h.in_line, true)) line_.push_back(id);
  return nullptr;
}

void Budget::give(PipeId id, SlabPtr slab) {
  auto& h = holds_.at(id);
  --h.out;
  --out_;
  if (h.out < floor_) ++promised_;
  free_.push_back(std::move(slab));
  if (h.out < floor_ && std::exchange(h.in_line, false)) {  // its own floor is there to be taken
    std::erase(line_, id);
    turns_.push_back(id);
  }
  share();
}

// Each that stands in line is credited one slab a round and gets what it wants when its credit reaches that.
void Budget::share() {
  while (!line_.empty() && spare() > 0) {
    const auto id = line_.front();
    auto& h = holds_.at(id);
    if (h.deficit < h.wants) ++h.deficit;
    if (h.deficit >= h.wants) {
      const auto n = std::min(h.wants, spare());
      h.granted += n;
      granted_ += n;
      h.deficit = 0;
      h.in_line = false;
      line_.pop_front();
      turns_.push_back(id);
    } else {
      line_.pop_front();
      line_.push_back(id);
    }
  }
}

std::vector<PipeId> Budget::turns() { return std::exchange(turns_, {}); }

void Budget::decline(PipeId id) {
  const auto it = holds_.find(id);
  if (it == holds_.end()) return;
  granted_ -= std::exchange(it->second.granted, 0);
  share();
}

}  // namespace docklift::stream
