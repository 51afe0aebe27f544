// The retry budget: over all proxies, the attempts of each service beyond the first of each request stay
// below a fraction of its requests. Each proxy enforces its share.
#pragma once

#include <tsl/robin_map.h>

#include <algorithm>
#include <string>

#include "system/base/settings.hpp"

namespace docklift::decisions {

// A token bucket per service that requests fill and retries drain.
class RetryBudget {
 public:
  explicit RetryBudget(const Bounds& bounds) : ratio_(bounds.retry_ratio), extra_(bounds.retry_extra) {}
  void set_proxies(std::size_t n) { proxies_ = static_cast<double>(std::max<std::size_t>(1, n)); }

  // Adds the tokens that a new request earns.
  void on_request(const std::string& service) {
    auto& t = tokens(service);
    t = std::min(capacity(), t + kRatioFraction * ratio_);
  }
  // Takes the token for one retry, if there is one.
  bool take(const std::string& service) {
    auto& t = tokens(service);
    if (t < 1) return false;
    t -= 1;
    return true;
  }

 private:
  static constexpr double kRatioFraction = 0.6;  // of the ratio; some retries are not seen by this proxy
  static constexpr double
      kExtraFraction = 0.5;  // of the extra retries, that all proxies together may save up
  double capacity() const { return std::max(1.0, kExtraFraction * extra_ / proxies_); }
  double& tokens(const std::string& service) {
    return tokens_.try_emplace(service, capacity() / 2).first.value();
  }

  double ratio_, extra_, proxies_ = 1;
  tsl::robin_map<std::string, double> tokens_;
};

}  // namespace docklift::decisions
