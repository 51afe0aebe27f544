// The budget of further tries at servers: each service's arrivals beyond the first of each request stay below
// a part of its requests, over all proxies. Each proxy keeps to its part. Pure.
#pragma once

#include <tsl/robin_map.h>

#include <algorithm>
#include <string>

#include "system/base/settings.hpp"

namespace docklift::decisions {

class Repeats {
 public:
  explicit Repeats(const Bounds& bounds) : ratio_(bounds.retry_ratio), extra_(bounds.retry_extra) {}
  void set_proxies(std::size_t n) { proxies_ = static_cast<double>(std::max<std::size_t>(1, n)); }

  void request(const std::string& service) {
    auto& t = tokens(service);
    t = std::min(most(), t + kPart * ratio_);
  }
  // Takes one further try, if there is one.
  bool take(const std::string& service) {
    auto& t = tokens(service);
    if (t < 1) return false;
    t -= 1;
    return true;
  }

 private:
  static constexpr double kPart = 0.6;   // of the ratio that is earned: some repeats are not seen here
  static constexpr double kExtra = 0.5;  // of the extra that all proxies together may have saved up
  double most() const { return std::max(1.0, kExtra * extra_ / proxies_); }
  double& tokens(const std::string& service) {
    return tokens_.try_emplace(service, most() / 2).first.value();
  }

  double ratio_, extra_, proxies_ = 1;
  tsl::robin_map<std::string, double> tokens_;
};

}  // namespace docklift::decisions
