// The edge node's process: configuration, signals, wiring.
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>

#include "facts.hpp"
#include "node.hpp"

namespace {

using namespace snowknot;
using namespace snowknot::reading;

std::string variable(const char* name) {
  const char* value = std::getenv(name);
  if (value == nullptr || *value == '\0') throw FieldError(std::string("variable ") + name + " is not set");
  return value;
}

Tcp::endpoint address(const std::string& value, const char* name) {
  const auto at = endpoint_of(value);
  if (!at) wrong(name, "an address and a port");
  return *at;
}

NodeConfig read_config() {
  const auto path = variable("GW_CONFIG");
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
  c.seed = hex(config, "seed");
  c.known = object_of(field(config, "known"), "known");
  const auto& settings = object_of(field(config, "settings"), "settings");
  c.named = read_settings(settings);
  c.keep_alive = nanos(object_of(field(settings, "ceilings"), "ceilings"), "keepalive-ns");
  if (c.named.settings.counter) c.counter = address(text(config, "counter"), "counter");
  validate(c.named.settings);
  return c;
}

// Reads the configuration anew. One that can't be read changes nothing; the file may be half written or there may
// be no descriptor for it just now, so it is tried some more times.
class Reload {
 public:
  Reload(asio::io_context& io, Node& node) : hangup_(io, SIGHUP), again_(io.get_executor()), node_(node) {
    wait();
  }

 private:
  void wait() {
    hangup_.async_wait([this](const error_code& failed, int) {
      if (failed) return;
      tries_ = facts::kReloadTries;
      read();
      wait();
    });
  }
  void read() {
    again_.cancel();
    try {
      node_.move_to(read_config());
      note("configuration read anew");
    } catch (const std::exception& x) {
      note(std::string("the new configuration is passed over: ") + x.what());
      if (--tries_ <= 0) return;
      again_.expires_after(facts::kReloadPause);
      again_.async_wait([this](const error_code& failed) {
        if (!failed) read();
      });
    }
  }

  asio::signal_set hangup_;
  asio::basic_waitable_timer<Clock::Steady, asio::wait_traits<Clock::Steady>, Executor> again_;
  Node& node_;
  int tries_ = 0;
};

// Nothing that goes wrong with one event ends the process.
void serve(asio::io_context& io) {
  for (;;) {
    try {
      io.run();
      return;
    } catch (const std::exception& x) {
      note(std::string("a handler failed: ") + x.what());
    }
  }
}

}  // namespace

int main() {
  try {
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context io(1);
    Node node(io, read_config());
    Reload reload(io, node);
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const error_code& failed, int) {
      if (!failed) node.drain([&io] { io.stop(); });
    });
    try {
      node.start();
    } catch (const boost::system::system_error& x) {
      throw FieldError(std::string("field 'listen': ") + x.code().message());
    }
    serve(io);
    return EXIT_SUCCESS;
  } catch (const std::exception& x) {
    std::cerr << "docklift: " << x.what() << '\n';
    return EXIT_FAILURE;
  }
}
