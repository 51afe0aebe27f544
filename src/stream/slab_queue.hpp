// The bytes of one direction, in slabs: those that were sent may be kept, to be sent again from the start.
#pragma once

#include <algorithm>
#include <deque>
#include <span>
#include <utility>

#include "stream/budget.hpp"

namespace docklift::stream {

// Invariant: base <= sent <= end; the slabs hold the bytes from base on, all but the last one full.
class SlabQueue {
 public:
  std::uint64_t base() const { return base_; }
  std::uint64_t sent() const { return sent_; }
  std::uint64_t end() const { return end_; }
  std::size_t held() const { return static_cast<std::size_t>(end_ - base_); }
  std::size_t unsent() const { return static_cast<std::size_t>(end_ - sent_); }
  std::size_t slabs() const { return slabs_.size(); }

  // Where the next bytes may be put; empty where a slab has to be added first.
  std::span<char> space() {
    const auto used = first_ + held();
    if (slabs_.empty() || used >= slabs_.size() * kSlabBytes) return {};
    const auto at = used % kSlabBytes;
    return std::span(*slabs_.back()).subspan(at);
  }
  void add(SlabPtr slab) { slabs_.push_back(std::move(slab)); }
  void commit(std::size_t n) { end_ += n; }

  // The next bytes to send: one run of them.
  std::span<const char> next() const {
    if (unsent() == 0) return {};
    const auto from = first_ + static_cast<std::size_t>(sent_ - base_);
    const auto& slab = *slabs_[from / kSlabBytes];
    const auto at = from % kSlabBytes;
    return std::span<const char>(slab).subspan(at, std::min(unsent(), kSlabBytes - at));
  }
  void sent(std::size_t n) { sent_ += n; }
  void rewind() { sent_ = base_; }

  // Lets go what was sent. The slabs that are empty now go back to whoever gave them.
  template <class Give>
  void drop_sent(Give give) {
    const auto n = static_cast<std::size_t>(sent_ - base_);
    base_ = sent_;
    first_ += n;
    while (first_ >= kSlabBytes || (held() == 0 && !slabs_.empty())) {
      give(std::move(slabs_.front()));
      slabs_.pop_front();
      first_ -= std::min(first_, kSlabBytes);
      if (held() == 0) first_ = 0;
    }
  }
  template <class Give>
  void clear(Give give) {
    sent_ = end_;
    drop_sent(give);
    for (auto& s : std::exchange(slabs_, {})) give(std::move(s));
    first_ = 0;
  }

 private:
  std::deque<SlabPtr> slabs_;
  std::size_t first_ = 0;  // bytes of the first slab that were let go
  std::uint64_t base_ = 0, sent_ = 0, end_ = 0;
};

}  // namespace docklift::stream
