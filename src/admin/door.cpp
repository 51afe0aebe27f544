#include "admin/door.hpp"

#include <array>

namespace docklift::admin {
namespace {

struct Path {
  std::string_view path, method;
  Call call;
};
constexpr std::array<Path, 5> kPaths{{{"/_ready", "GET", Call::ready},
                                      {"/_vars", "GET", Call::figures},
                                      {"/_fleet", "GET", Call::fleet},
                                      {"/_lameduck/on", "POST", Call::drain},
                                      {"/_lameduck/off", "POST", Call::resume}}};

void line(std::string& out, std::string_view name, std::uint64_t value) {
  out += "app.";
  out += name;
  out += '=';
  out += std::to_string(value);
  out += '\n';
}

}  // namespace

Asked asked(std::string_view method, std::string_view target) {
  const auto path = target.substr(0, target.find('?'));
  for (const auto& p : kPaths)
    if (p.path == path) return {p.call, p.method == method ? 0 : 405};
  return {Call::ready, 404};
}

std::string shown(const Figures& f) {
  std::string out;
  for (const auto& c : f.classes) {
    line(out, "answered." + c.name, c.answered);
    line(out, "deferred." + c.name, c.deferred);
    line(out, "errored." + c.name, c.errored);
  }
  line(out, "sends", f.sends);
  line(out, "current", f.current);
  line(out, "cluster_size", f.cluster_size);
  line(out, "cluster_unhealthy", f.cluster_unhealthy);
  return out;
}

Reply carry_out(Call call, Process& process) {
  switch (call) {
    case Call::ready: return process.serves() ? Reply{200, "ready\n"} : Reply{503, "not ready\n"};
    case Call::figures: return {200, shown(process.figures())};
    case Call::fleet: {
      auto all = process.fleet();
      return all.empty() ? Reply{404, "this node has no peers\n"} : Reply{200, std::move(all), "application/json"};
    }
    case Call::drain: process.set_aside(true); return {200, "draining\n"};
    case Call::resume: process.set_aside(false); return {200, "serving\n"};
  }
  return {500, "no such call\n"};
}

}  // namespace docklift::admin
