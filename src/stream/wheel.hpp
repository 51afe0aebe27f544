// A hierarchical timing wheel (Varghese and Lauck, 1987): setting, moving and dropping a time limit costs the same however many
// there are. Each stream has one limit, which moves with every read and write. No clock: the time is passed in.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace docklift::stream {

// Limits are kept in whole ticks, rounded up: nothing is due too early, and at most one tick late. Ids are small and dense
// (indexes): the wheel keeps an entry for each up to the largest.
class Wheel {
 public:
  static constexpr std::size_t kBits = 6, kSlots = 1 << kBits, kLevels = 4;  // 64 slots; 16,777,216 ticks in all
  static constexpr std::uint32_t kNone = 0xffffffff;

  Wheel() {
    for (auto& level : heads_) level.fill(kNone);
  }

  // In ticks. A limit that has passed is due at the next one; one past the wheel's reach is looked at again there.
  void set(std::uint32_t id, std::uint64_t when) {
    if (id >= entries_.size()) entries_.resize(id + 1);
    drop(id);
    entries_[id].when = when;
    insert(id);
    ++size_;
  }
  void drop(std::uint32_t id) {
    if (id >= entries_.size() || entries_[id].slot == kNone) return;
    unlink(id);
    --size_;
  }
  std::size_t size() const { return size_; }
  std::uint64_t now() const { return now_; }
  bool holds(std::uint32_t id) const { return id < entries_.size() && entries_[id].slot != kNone; }

  // Moves on to a tick and calls `due(id)` for each limit up to it. What is called may set and drop limits.
  template <class Due>
  void advance(std::uint64_t to, Due due) {
    while (now_ < to) {
      if (size_ == 0) {
        now_ = to;
        return;
      }
      ++now_;
      for (std::size_t level = 1; level < kLevels && (now_ & ((1ULL << (kBits * level)) - 1)) == 0; ++level)
        cascade(level, (now_ >> (kBits * level)) & (kSlots - 1));
      auto& head = heads_[0][now_ & (kSlots - 1)];
      while (head != kNone) {
        const auto id = head;
        unlink(id);
        if (entries_[id].when > now_) {  // past the wheel's reach when it was set
          insert(id);
          continue;
        }
        --size_;
        due(id);
      }
    }
  }

 private:
  struct Entry {
    std::uint64_t when = 0;
    std::uint32_t next = kNone, before = kNone, slot = kNone;  // slot: level * kSlots + place
  };

  void insert(std::uint32_t id) {
    auto& e = entries_[id];
    const auto when = e.when > now_ ? e.when : now_ + 1;
    const auto span = when - now_;
    std::size_t level = 0;
    while (level + 1 < kLevels && span >= (1ULL << (kBits * (level + 1)))) ++level;
    constexpr auto reach = (1ULL << (kBits * kLevels)) - 1;
    const auto at = span > reach ? now_ + reach : when;
    const auto place = (at >> (kBits * level)) & (kSlots - 1);
    e.slot = static_cast<std::uint32_t>(level * kSlots + place);
    auto& head = heads_[level][place];
    e.before = kNone;
    e.next = head;
    if (head != kNone) entries_[head].before = id;
    head = id;
  }
  void unlink(std::uint32_t id) {
    auto& e = entries_[id];
    if (e.before != kNone)
      entries_[e.before].next = e.next;
    else
      heads_[e.slot / kSlots][e.slot % kSlots] = e.next;
    if (e.next != kNone) entries_[e.next].before = e.before;
    e.slot = kNone;
  }
  void cascade(std::size_t level, std::size_t place) {
    auto id = heads_[level][place];
    heads_[level][place] = kNone;
    while (id != kNone) {
      const auto next = entries_[id].next;
      entries_[id].slot = kNone;
      if (entries_[id].when <= now_) entries_[id].when = now_;  // due at this very tick
      insert_at_or_now(id);
      id = next;
    }
  }
  // During a cascade the slot of the present tick is still to be emptied.
  void insert_at_or_now(std::uint32_t id) {
    auto& e = entries_[id];
    if (e.when > now_) return insert(id);
    const auto place = now_ & (kSlots - 1);
    e.slot = static_cast<std::uint32_t>(place);
    e.before = kNone;
    e.next = heads_[0][place];
    if (e.next != kNone) entries_[e.next].before = id;
    heads_[0][place] = id;
  }

  std::array<std::array<std::uint32_t, kSlots>, kLevels> heads_{};
  std::vector<Entry> entries_;
  std::uint64_t now_ = 0;
  std::size_t size_ = 0;
};

}  // namespace docklift::stream
