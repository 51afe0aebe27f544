// Shared by the three programs: command line, settings, logs, signals and exit codes.
// Exit codes: 0 ended on request, 1 fatal error, 2 invalid command line or settings.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <string>
#include <vector>

#include "system/base/log.hpp"
#include "system/base/settings.hpp"

namespace docklift {

// An option that only one program has; it may be repeated.
struct ListOption {
  std::string name, description;               // for --help
  std::vector<std::string>* values = nullptr;  // output: the values given; not owned
};

// Name and options of a program.
struct Program {
  std::string name, description;  // for --help
  std::vector<ListOption> options{};
};

// Reads the command line and the settings, calls `run`, and returns the exit code. With --check it returns
// after reading the settings.
int run_program(const Program& program, int argc, char** argv,
                const std::function<int(boost::asio::io_context&, const SystemSettings&)>& run);

// Calls `stop` on SIGTERM and SIGINT, and `reload` with the reread settings on SIGHUP if they are valid. Before
// its construction and after its destruction these signals stay pending in a program of run_program, so that
// none ends the process without its exit code.
class Signals {
 public:
  Signals(boost::asio::io_context& io, std::function<void()> stop,
          std::function<void(const SystemSettings&)> reload);
  ~Signals();
  Signals(const Signals&) = delete;
  Signals& operator=(const Signals&) = delete;

 private:
  void wait();
  boost::asio::signal_set set_;
  std::function<void()> stop_;
  std::function<void(const SystemSettings&)> reload_;
  Log log_;
};

// A unique number for this start of the process: wall-clock nanoseconds, so that a later start has a higher
// one.
std::uint64_t new_incarnation();

}  // namespace docklift
