// Memory for the bodies of client requests that one proxy holds, bounded in sum. Performs no I/O; used by one
// thread.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace docklift::proxy {

// Bodies up to this length are not counted: the number of connections bounds their sum.
inline constexpr std::size_t kUncountedBodyBytes = std::size_t{16} * 1024;

// The sum of what all bodies of a proxy may take.
class BodyBudget {
 public:
  explicit BodyBudget(std::size_t capacity) : capacity_(capacity) {}
  // Changes a reservation of `from` bytes to one of `to`. False, and without effect, if there is too little.
  [[nodiscard]] bool change(std::size_t from, std::size_t to);

 private:
  std::size_t capacity_;
  std::size_t reserved_ = 0;
};

// A body as it is received. What it takes returns to the budget when the object is destroyed.
class RequestBody {
 public:
  explicit RequestBody(std::shared_ptr<BodyBudget> budget) : budget_(std::move(budget)) {}
  RequestBody(const RequestBody&) = delete;
  RequestBody& operator=(const RequestBody&) = delete;
  ~RequestBody();

  // Makes room for a body of this length. False if the budget does not hold it.
  [[nodiscard]] bool expect(std::size_t length);
  // False, and nothing is appended, if the budget does not hold the longer body.
  [[nodiscard]] bool append(std::string_view data);
  const std::string& bytes() const { return bytes_; }

 private:
  bool change_reservation(std::size_t bytes);

  std::shared_ptr<BodyBudget> budget_;
  std::size_t reserved_ = 0;
  std::string bytes_;
};

}  // namespace docklift::proxy
