// The edge node's process: configuration, signals, wiring.
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "admin/node_process.hpp"
#include "admin/server.hpp"
#include "facts.hpp"
#include "node_config.hpp"
#include "stream/front.hpp"
#include "succession/replacement.hpp"
#include "termination_signals.hpp"
#ifdef DOCKLIFT_WITH_DAEMON
#include "daemon/command_line.hpp"
#endif

namespace {

using namespace snowknot;
using namespace snowknot::reading;

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
      node_.move_to(read_node_config(platform_file()));
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

int main(int argc, char** argv) {
#ifdef DOCKLIFT_WITH_DAEMON
  if (const auto code = docklift::command_line(argc, argv)) return *code;
#else
  const char* file = std::getenv("DOCKLIFT_CONFIG");
  if (argc > 1 || (file != nullptr && *file != '\0')) {
    std::cerr << "docklift: " << argv[0] << " was built without the operator's file (toml++ or CLI11 was missing)\n";
    return EXIT_FAILURE;
  }
#endif
  try {
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context io(1);
    const auto config = read_node_config(platform_file());
    Node node(io, config);
    Reload reload(io, node);
    std::optional<docklift::succession::Replacement> replacement;
    if (config.admin)
      replacement.emplace(io, node, config.listen, config.descriptors, docklift::succession::meeting_place(config.listen));
    asio::signal_set signals(io, SIGTERM, SIGINT);
    asio::basic_waitable_timer<Clock::Steady, asio::wait_traits<Clock::Steady>, Executor> last(io.get_executor());
    signals.async_wait([&](const error_code& failed, int) {
      if (failed) return;
      node.drain([&io] { io.stop(); });
      last.expires_after(node.stop_limit());
      last.async_wait([&node](const error_code& stopped) {
        if (!stopped) node.answer_remaining(facts::kAfterStop);
      });
    });
    std::optional<docklift::stream::StreamFront> streams;
    if (config.admin) {
      node.pass_on_long_answers();
      streams.emplace(io, node, docklift::stream::platform_options(config.memory));
      node.serve_streams(&*streams);
    }
    docklift::admin::NodeProcess process(node, [&] { return !replacement || replacement->serves(); });
    std::optional<docklift::admin::Server> door;
    try {
      if (config.admin) door.emplace(io, node.timers(), *config.admin, process);
    } catch (const boost::system::system_error& x) {
      throw FieldError(std::string("field 'admin': ") + x.code().message());
    }
    try {
      replacement ? replacement->start() : node.start();
    } catch (const boost::system::system_error& x) {
      throw FieldError(std::string("field 'listen': ") + x.code().message());
    }
    serve(io);
    snowknot::block_termination_signals(true);  // the handlers are about to be destroyed
    return EXIT_SUCCESS;
  } catch (const std::exception& x) {
    std::cerr << "docklift: " << x.what() << '\n';
    return EXIT_FAILURE;
  }
}
