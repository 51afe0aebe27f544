// What the three programs have in common: command line, settings, logs, signals, ends.
// Exit codes: 0 ended as asked, 1 could not go on, 2 a mistake in the command line or the settings.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <string>
#include <vector>

#include "system/base/log.hpp"
#include "system/base/settings.hpp"

namespace docklift {

// An option of one program's own; it may be given more than once.
struct ListOption {
  std::string name, what;                      // for --help
  std::vector<std::string>* values = nullptr;  // what was given; not owned
};

struct Program {
  std::string name, what;  // for --help
  std::vector<ListOption> options{};
};

// Reads command line and settings, and calls `run`; returns the exit code. `check` (--check) ends after the
// settings are read.
int run_program(const Program& program, int argc, char** argv,
                const std::function<int(boost::asio::io_context&, const SystemSettings&)>& run);

// SIGTERM and SIGINT: `stop`; SIGHUP: `reload` with the settings as they are now (only if they can be read).
class Signals {
 public:
  Signals(boost::asio::io_context& io, std::function<void()> stop,
          std::function<void(const SystemSettings&)> reload);

 private:
  void wait();
  boost::asio::signal_set set_;
  std::function<void()> stop_;
  std::function<void(const SystemSettings&)> reload_;
  Log log_;
};

// A number that no other process has drawn; wall-clock nanoseconds, so that a later start draws a higher one.
std::uint64_t new_incarnation();

}  // namespace docklift
