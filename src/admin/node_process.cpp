#include "admin/node_process.hpp"

namespace docklift::admin {

Figures NodeProcess::figures() const {
  Figures f;
  const auto& tally = node_.tally();
  const auto& classes = node_.settings().classes;
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const auto& c = tally.classes[i];
    f.classes.push_back({classes[i].name, c.answered, c.deferred, c.errored});
  }
  f.sends = tally.sends;
  f.current = node_.current();
  const auto sizes = node_.sizes();
  f.cluster_size = sizes.listed;
  f.cluster_unhealthy = sizes.avoided;
  return f;
}

}  // namespace docklift::admin
