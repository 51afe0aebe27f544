// What a reload changes, piece by piece. Each subsystem that the operator's file configures is a Part of the
// transaction: all prepare, then all commit, or all revert.
#pragma once

#include <functional>
#include <string>

#include "config/schema.hpp"

namespace docklift {

class Part {
 public:
  // Called once with why it can't be (empty: prepared), from prepare() or later; not after revert() or commit().
  using Done = std::function<void(std::string refused)>;

  virtual ~Part() = default;
  // Everything that can fail: binds, connects, opens, checks. Nothing that a client could notice changes yet.
  virtual void prepare(const Config& next, Done done) = 0;
  // Switches to what was prepared. Can't fail. Work in flight on what is dropped goes on to its end.
  virtual void commit() noexcept = 0;
  // Gives up what was prepared, or is being.
  virtual void revert() noexcept = 0;
};

}  // namespace docklift
