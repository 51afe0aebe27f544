// What operators ask at the second address, and what they are told. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace docklift::admin {

enum class Call { ready, figures, drain, resume, fleet };

struct Reply {
  int status = 200;
  std::string body;  // text/plain, or of `type`
  std::string type = "text/plain";
};

// A call by its method and path, or why it is none: 404 for a path that is not known, 405 for the wrong method.
struct Asked {
  Call call{};
  int status = 0;  // 0: it is a call
};
Asked asked(std::string_view method, std::string_view target);

// The figures of the process, each since its start or as it is now.
struct Figures {
  struct OfClass {
    std::string name;
    std::uint64_t answered = 0, deferred = 0, errored = 0;
  };
  std::vector<OfClass> classes;
  std::uint64_t sends = 0;
  std::size_t current = 0, cluster_size = 0, cluster_unhealthy = 0;
};
// One "app.NAME=VALUE" a line.
std::string shown(const Figures& figures);

// What the door can do with its process.
class Process {
 public:
  virtual ~Process() = default;
  virtual bool serves() const = 0;
  virtual Figures figures() const = 0;
  virtual void set_aside(bool aside) = 0;  // idempotent
  virtual std::string fleet() const { return {}; }  // JSON; empty: this node has no peers
};
Reply carry_out(Call call, Process& process);

}  // namespace docklift::admin
