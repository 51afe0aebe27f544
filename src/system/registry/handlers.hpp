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
  virtual bool handle(const http::Request& call, const http::Server::Respond& respond) = 0;
};

class Instances : public Handler {  // servers' beats and leaves
 public:
  explicit Instances(Registry& registry) : registry_(registry) {}
  bool handle(const http::Request& call, const http::Server::Respond& respond) override;

 private:
  http::Response acknowledge_end() const;
  Registry& registry_;
};

class Configurations : public Handler {  // replace, patch, read
 public:
  explicit Configurations(Registry& registry) : registry_(registry) {}
  bool handle(const http::Request& call, const http::Server::Respond& respond) override;

 private:
  Registry& registry_;
};

class Evacuations : public Handler {
 public:
  explicit Evacuations(Registry& registry) : registry_(registry) {}
  bool handle(const http::Request& call, const http::Server::Respond& respond) override;

 private:
  Registry& registry_;
};

class Directory : public Handler {  // where clients go
 public:
  explicit Directory(Registry& registry) : registry_(registry) {}
  bool handle(const http::Request& call, const http::Server::Respond& respond) override;

 private:
  Registry& registry_;
};

// Every call at a registry that ends: 503, so that the caller goes to another node. Stands ahead of the others.
class EndingNode : public Handler {
 public:
  explicit EndingNode(const Registry& registry) : registry_(registry) {}
  bool handle(const http::Request& call, const http::Server::Respond& respond) override;

 private:
  const Registry& registry_;
};

// Hands a call to the first handler that takes it, 404 otherwise; no handler may throw past it.
http::Server::Handler dispatch(std::vector<std::shared_ptr<Handler>> handlers);

}  // namespace docklift
