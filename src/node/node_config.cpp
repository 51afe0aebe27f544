#include "node_config.hpp"

#include <cstdlib>
#include <fstream>

#include "facts.hpp"

namespace snowknot {

using namespace reading;

namespace {

Tcp::endpoint address(const std::string& value, const char* name) {
  const auto at = endpoint_of(value);
  if (!at) wrong(name, "an address and a port");
  return *at;
}

}  // namespace

std::string platform_file() {
  const char* value = std::getenv("GW_CONFIG");
  if (value == nullptr || *value == '\0') throw FieldError("variable GW_CONFIG is not set");
  return value;
}

NodeConfig read_node_config(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw FieldError("variable GW_CONFIG: can't read " + path);
  const auto config = json::parse(file, nullptr, false);
  if (config.is_discarded()) throw FieldError("variable GW_CONFIG: " + path + " is not JSON");
  object_of(config, "config");
  NodeConfig c;
  c.name = text(config, "name");
  c.listen = address(text(config, "listen"), "listen");
  c.discovery_host = text(config, "discovery");
  c.discovery = address(c.discovery_host, "discovery");
  const auto& limits = object_of(field(config, "limits"), "limits");
  c.descriptors = small(limits, "sockets");
  c.memory = static_cast<std::size_t>(small(limits, "memory_mb")) * facts::kMegabyte;
  if (config.contains("admin")) c.admin = address(text(config, "admin"), "admin");
  c.seed = hex(config, "seed");
  c.known = object_of(field(config, "known"), "known");
  const auto& settings = object_of(field(config, "settings"), "settings");
  c.named = read_settings(settings);
  c.keep_alive = nanos(object_of(field(settings, "ceilings"), "ceilings"), "keepalive-ns");
  if (c.named.settings.counter) c.counter = address(text(config, "counter"), "counter");
  validate(c.named.settings);
  return c;
}

}  // namespace snowknot
