#include "system/proxy/body_budget.hpp"

#include <algorithm>

namespace docklift::proxy {

bool BodyBudget::change(std::size_t from, std::size_t to) {
  const auto others = reserved_ - from;
  if (to > from && others + to > capacity_) return false;
  reserved_ = others + to;
  return true;
}

RequestBody::~RequestBody() { (void)change_reservation(0); }

bool RequestBody::change_reservation(std::size_t bytes) {
  const auto counted = bytes > kUncountedBodyBytes ? bytes : 0;
  if (!budget_->change(reserved_, counted)) return false;
  reserved_ = counted;
  return true;
}

bool RequestBody::expect(std::size_t length) {
  if (!change_reservation(length)) return false;
  bytes_.reserve(length);
  return true;
}

bool RequestBody::append(std::string_view data) {
  const auto size = bytes_.size() + data.size();
  if (size > bytes_.capacity()) {
    const auto capacity = std::max(size, 2 * bytes_.capacity());
    // Both copies are held while the bytes move.
    if (!change_reservation(bytes_.capacity() + capacity)) return false;
    bytes_.reserve(capacity);
    if (!change_reservation(capacity)) return false;
  }
  bytes_.append(data);
  return true;
}

}  // namespace docklift::proxy
