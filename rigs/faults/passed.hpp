// What rigs make of the moments at which requests came to a server.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <vector>

namespace docklift::faults {

inline double percentile(std::vector<double> all, double p) {
  if (all.empty()) return -1;
  std::sort(all.begin(), all.end());
  return all[std::min(all.size() - 1, static_cast<std::size_t>(p * static_cast<double>(all.size())))];
}

// Units of a member under a ceiling that passed, by the second in which their requests came to a server.
struct Passed {
  std::map<std::uint64_t, std::vector<double>> of;  // seconds of the play
  std::size_t between(double from, double to) const {
    std::size_t n = 0;
    for (const auto& [member, all] : of)
      n += static_cast<std::size_t>(std::lower_bound(all.begin(), all.end(), to) - std::lower_bound(all.begin(), all.end(), from));
    return n;
  }
  // The most in any span of so many seconds that ends at `since` or later.
  std::size_t most_within(double span, double since = 0) const {
    std::size_t worst = 0;
    for (const auto& [member, all] : of)
      for (std::size_t from = 0, upto = 0; upto < all.size(); ++upto) {
        while (all[upto] - all[from] >= span) ++from;
        if (all[upto] >= since) worst = std::max(worst, upto - from + 1);
      }
    return worst;
  }
  // The most over rate and burst in any span (a token bucket filled at the start).
  double worst_over(double rate, double burst, double slack) const {
    double worst = -1e9;
    for (const auto& [member, all] : of) {
      double level = burst, last = 0;
      for (const double t : all) {
        level = std::min(burst, level + (t - last) * rate);
        last = t;
        level -= 1;
        worst = std::max(worst, -level - slack);
      }
    }
    return worst;
  }
};

}  // namespace docklift::faults
