#include "system/program/program.hpp"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <sstream>

#include "termination_signals.hpp"

#ifndef DOCKLIFT_VERSION
#define DOCKLIFT_VERSION "unknown"
#endif

namespace docklift {

std::uint64_t new_incarnation() {
  return static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() /
                                    std::chrono::nanoseconds(1));
}

int run_program(const Program& program, int argc, char** argv,
                const std::function<int(boost::asio::io_context&, const SystemSettings&)>& run) {
  cxxopts::Options options(program.name, program.description);
  options.add_options()("s,settings", "path of the settings file ($DOCKLIFT_SETTINGS)",
                        cxxopts::value<std::string>())("l,log-level", "debug, info, warn or error",
                                                       cxxopts::value<std::string>()->default_value("info"))(
      "c,check", "validate the settings and exit")("h,help", "show this help")("v,version",
                                                                               "show the version");
  for (const auto& option : program.options)
    options.add_options()(option.name, option.description, cxxopts::value<std::vector<std::string>>());
  std::string path;
  std::string log_level;
  bool check_only = false;
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) return std::cout << options.help(), 0;
    if (arguments.count("version") > 0)
      return std::cout << program.name << ' ' << DOCKLIFT_VERSION << '\n', 0;
    if (!arguments.unmatched().empty()) {
      std::cerr << program.name << ": unknown argument: " << arguments.unmatched().front() << '\n';
      return 2;
    }
    path = arguments.count("settings") > 0 ? arguments["settings"].as<std::string>() : settings_path();
    log_level = arguments["log-level"].as<std::string>();
    check_only = arguments.count("check") > 0;
    for (const auto& option : program.options)
      if (arguments.count(option.name) > 0)
        *option.values = arguments[option.name].as<std::vector<std::string>>();
  } catch (const std::exception& error) {  // the type name differs between versions of cxxopts
    std::cerr << program.name << ": " << error.what() << '\n';
    return 2;
  }
  if (log_level != "debug" && log_level != "info" && log_level != "warn" && log_level != "error") {
    std::cerr << program.name << ": invalid log level: " << log_level << '\n';
    return 2;
  }
  auto settings = read_settings(path);
  if (failed(settings)) {
    const auto& invalid = failure(settings);
    std::istringstream lines(invalid.what);
    for (std::string line; std::getline(lines, line);)
      std::cerr << program.name << ": " << Failure{invalid.step, invalid.peer, line}.to_string() << '\n';
    return 2;
  }
  if (check_only) return 0;
  std::signal(SIGPIPE, SIG_IGN);
  // They stay pending until Signals has its handlers. Threads started meanwhile inherit the mask.
  snowknot::block_termination_signals(true);
  start_logs(log_level);
  const Log log(program.name);
  try {
    boost::asio::io_context io(1);
    log.info("starting on " + value(settings).hostname);
    const int code = run(io, value(settings));
    log.info("exiting with code " + std::to_string(code));
    return code;
  } catch (const std::exception& error) {
    log.error(std::string("ends: ") + error.what());
    return 1;
  }
}

Signals::Signals(boost::asio::io_context& io, std::function<void()> stop,
                 std::function<void(const SystemSettings&)> reload)
    : set_(io, SIGTERM, SIGINT, SIGHUP), stop_(std::move(stop)), reload_(std::move(reload)), log_("signals") {
  wait();
  snowknot::block_termination_signals(false);
}

Signals::~Signals() { snowknot::block_termination_signals(true); }

void Signals::wait() {
  set_.async_wait([this](boost::system::error_code error, int signal) {
    if (error) return;
    if (signal == SIGHUP) {
      auto settings = read_settings(settings_path());
      if (failed(settings)) {
        log_.warn("reload failed, keeping the current settings: " + failure(settings).to_string());
      } else {
        log_.info("settings reloaded");
        reload_(value(settings));
      }
    } else {
      log_.info("stop requested");
      stop_();
    }
    wait();
  });
}

}  // namespace docklift
