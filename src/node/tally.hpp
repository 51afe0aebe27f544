// Counts since the start of the process, of what became of requests: made where an answer's last byte is written.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace snowknot {

struct Tally {
  struct OfClass {
    std::uint64_t answered = 0, deferred = 0, errored = 0;  // served, refused, failed
  };
  std::vector<OfClass> classes;  // by ClassIndex
  std::uint64_t sends = 0;       // attempts written whole to app servers

  // An answer of that status has been given.
  void ended(std::size_t cls, int status) {
    if (cls >= classes.size()) return;
    auto& c = classes[cls];
    ++(status == 200 ? c.answered : status == 429 || status == 503 ? c.deferred : c.errored);
  }
};

}  // namespace snowknot
