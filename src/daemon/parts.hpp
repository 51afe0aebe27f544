// The daemon's own parts of a reload: extra listeners, and the platform's file.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "daemon/part.hpp"
#include "node.hpp"

namespace docklift {

class ListenPart : public Part {
 public:
  ListenPart(snowknot::Clients& front, snowknot::Tcp::endpoint main) : front_(front), main_(main) {}

  void prepare(const Config& next, Done done) override;
  void commit() noexcept override;
  void revert() noexcept override;

 private:
  snowknot::Clients& front_;
  snowknot::Tcp::endpoint main_;
  std::vector<snowknot::Clients::ListenerPtr> added_, dropped_;
};

// The platform's file is read before (see Daemon); this checks that a new discovery or counter can be reached.
class PlatformPart : public Part {
 public:
  PlatformPart(snowknot::asio::io_context& io, snowknot::Node& node, const snowknot::NodeConfig& now)
      : io_(io), node_(node), discovery_(now.discovery), counter_(now.counter) {}

  void set_next(snowknot::NodeConfig next) { next_.emplace(std::move(next)); }

  void prepare(const Config& next, Done done) override;
  void commit() noexcept override;
  void revert() noexcept override;

 private:
  struct Check;
  snowknot::asio::io_context& io_;
  snowknot::Node& node_;
  snowknot::Tcp::endpoint discovery_;
  std::optional<snowknot::Tcp::endpoint> counter_;
  std::optional<snowknot::NodeConfig> next_;
  std::shared_ptr<Check> check_;
};

}  // namespace docklift
