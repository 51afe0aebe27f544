// The edge node as its operators see it.
#pragma once

#include "admin/door.hpp"
#include "node.hpp"

namespace docklift::admin {

class NodeProcess : public Process {
 public:
  explicit NodeProcess(snowknot::Node& node) : node_(node) {}

  bool serves() const override { return node_.is_ready(); }
  Figures figures() const override;
  void set_aside(bool aside) override { node_.set_aside(aside); }

 private:
  snowknot::Node& node_;
};

}  // namespace docklift::admin
