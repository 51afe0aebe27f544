// What becomes of a datagram between two nodes while faults are on. Asked by the virtual network and by the relay on sockets alike.
#pragma once

#include <functional>
#include <vector>

#include "members/random.hpp"
#include "schedule.hpp"

namespace docklift::faults {

struct Noise {
  double loss = 0, repeats = 0;  // parts, at all times
};

// Seconds after which it comes, each time that it does; none: it is lost. `now`: seconds of the play.
inline std::vector<double> ways(const std::vector<Fault>& faults, double now, std::size_t from, std::size_t to, const Noise& noise,
                                Random& random) {
  const auto names = [](const Fault& f, std::size_t i) {
    for (const auto w : f.whom)
      if (w == i) return true;
    return false;
  };
  double loss = noise.loss, twice = noise.repeats, takes = 0;
  for (const auto& f : faults) {
    if (now < f.at || now >= f.end()) continue;
    const bool a = names(f, from), b = names(f, to);
    if (f.kind == Kind::cut && a != b) return {};
    if (f.kind == Kind::deaf && !a && b) return {};
    if (!a && !b) continue;
    if (f.kind == Kind::loss && f.amount > loss) loss = f.amount;
    if (f.kind == Kind::repeat && f.amount > twice) twice = f.amount;
    if (f.kind == Kind::delay) takes += random.fraction() * f.amount / 1000;
  }
  if (random.chance(loss)) return {};
  std::vector<double> all{takes};
  if (random.chance(twice)) all.push_back(takes + random.fraction() * 3);
  return all;
}

}  // namespace docklift::faults
