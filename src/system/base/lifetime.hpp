// Ends with its owner: a callback that was bound to it does nothing once the owner is destroyed. For callbacks that an
// event loop has already queued, which neither a cancelled timer nor a flag of the owner can stop.
#pragma once

#include <memory>
#include <utility>

namespace docklift {

// A member of the object that its callbacks use. Neither copied nor moved: a callback belongs to one owner. Callbacks
// may be copied on any thread, and are called on the owner's.
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
