// The edge node as its operators see it.
#pragma once

#include <functional>
#include <utility>

#include "admin/door.hpp"
#include "node.hpp"

namespace docklift::admin {

class NodeProcess : public Process {
 public:
  // `accepts`: clients are let in, or will be by nobody else.
  explicit NodeProcess(snowknot::Node& node, std::function<bool()> accepts = {}, std::function<std::string()> fleet = {})
      : node_(node), accepts_(std::move(accepts)), fleet_(std::move(fleet)) {}

  bool serves() const override { return node_.is_ready() && (!accepts_ || accepts_()); }
  Figures figures() const override;
  std::string fleet() const override { return fleet_ ? fleet_() : std::string(); }
  void set_aside(bool aside) override { node_.set_aside(aside); }

 private:
  snowknot::Node& node_;
  std::function<bool()> accepts_;
  std::function<std::string()> fleet_;
};

}  // namespace docklift::admin
