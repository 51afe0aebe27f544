// The registry's HTTP API, with one handler for each resource.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "system/http/server.hpp"
#include "system/registry/registry.hpp"

namespace docklift {

// Handles the requests to one resource.
class Handler {
 public:
  virtual ~Handler() = default;
  // Returns false if the request is for another resource.
  virtual bool handle(const http::Request& call, const http::Server::Respond& respond) = 0;
};

// Heartbeats and departures of servers.
class InstanceHandler : public Handler {
 public:
  explicit InstanceHandler(Registry& registry) : registry_(registry) {}
  bool handle(const http::Request& call, const http::Server::Respond& respond) override;

 private:
  void report_departure(const fleet::Server& server, const http::Server::Respond& respond);
  Registry& registry_;
};

// Replaces, patches and reads the configuration.
class ConfigurationHandler : public Handler {
 public:
  explicit ConfigurationHandler(Registry& registry) : registry_(registry) {}
  bool handle(const http::Request& call, const http::Server::Respond& respond) override;

 private:
  Registry& registry_;
};

// Starts and stops evacuations of zones.
class EvacuationHandler : public Handler {
 public:
  explicit EvacuationHandler(Registry& registry) : registry_(registry) {}
  bool handle(const http::Request& call, const http::Server::Respond& respond) override;

 private:
  Registry& registry_;
};

// Tells clients which proxies to use.
class ResolveHandler : public Handler {
 public:
  explicit ResolveHandler(Registry& registry) : registry_(registry) {}
  bool handle(const http::Request& call, const http::Server::Respond& respond) override;

 private:
  Registry& registry_;
};

// Answers every request with 503 while the registry is stopping, so that the caller retries at another node.
// Must precede the other handlers.
class ShutdownHandler : public Handler {
 public:
  explicit ShutdownHandler(const Registry& registry) : registry_(registry) {}
  bool handle(const http::Request& call, const http::Server::Respond& respond) override;

 private:
  const Registry& registry_;
};

// Passes a request to the first handler that accepts it; 404 if none does, 500 if a handler throws.
http::Server::Handler dispatch(std::vector<std::shared_ptr<Handler>> handlers);

}  // namespace docklift
