// The calls from outside, one handler object for each resource. Source: the operators' protocol page.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "system/http/server.hpp"
#include "system/registry/registry.hpp"

namespace docklift {

class Handler {
 public:
  virtual ~Handler() = default;
  // False: the call is not this resource's.
  virtual bool handle(const http::Call& call, const http::Server::Respond& respond) = 0;
};

class InstanceHandler : public Handler {  // servers' beats and leaves
 public:
  explicit InstanceHandler(Registry& registry) : registry_(registry) {}
  bool handle(const http::Call& call, const http::Server::Respond& respond) override;

 private:
  http::Answer acknowledge_end() const;
  Registry& registry_;
};

class ConfigurationHandler : public Handler {  // replace, patch, read
 public:
  explicit ConfigurationHandler(Registry& registry) : registry_(registry) {}
  bool handle(const http::Call& call, const http::Server::Respond& respond) override;

 private:
  Registry& registry_;
};

class EvacuationHandler : public Handler {
 public:
  explicit EvacuationHandler(Registry& registry) : registry_(registry) {}
  bool handle(const http::Call& call, const http::Server::Respond& respond) override;

 private:
  Registry& registry_;
};

class ResolveHandler : public Handler {  // where clients go
 public:
  explicit ResolveHandler(Registry& registry) : registry_(registry) {}
  bool handle(const http::Call& call, const http::Server::Respond& respond) override;

 private:
  Registry& registry_;
};

// Every call at a registry that ends: 503, so that the caller goes to another node. Stands ahead of the others.
class ShutdownHandler : public Handler {
 public:
  explicit ShutdownHandler(const Registry& registry) : registry_(registry) {}
  bool handle(const http::Call& call, const http::Server::Respond& respond) override;

 private:
  const Registry& registry_;
};

// Hands a call to the first handler that takes it, 404 otherwise; no handler may throw past it.
http::Server::Handle dispatch(std::vector<std::shared_ptr<Handler>> handlers);

}  // namespace docklift
