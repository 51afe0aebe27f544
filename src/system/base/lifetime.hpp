// Guards callbacks against use after the destruction of their owner. Meant for callbacks that an event loop
// has already queued: canceling the timer no longer stops those, and they can't check a flag in an owner that
// is gone.
#pragma once

#include <memory>
#include <utility>

namespace docklift {

// Declare it as a member of the object that the callbacks use. A bound callback does nothing once that object
// is destroyed. Not copyable or movable, since a callback belongs to one owner. Callbacks may be copied on
// any thread but must be called on the owner's thread.
class Lifetime {
 public:
  Lifetime() = default;
  Lifetime(const Lifetime&) = delete;
  Lifetime& operator=(const Lifetime&) = delete;

  template <typename Callback>
  auto bind(Callback callback) const {
    return [owner = std::weak_ptr<const char>(token_),
            callback = std::move(callback)](auto&&... arguments) mutable {
      if (owner.expired()) return;
      callback(std::forward<decltype(arguments)>(arguments)...);
    };
  }

 private:
  std::shared_ptr<const char> token_ = std::make_shared<const char>();
};

}  // namespace docklift
