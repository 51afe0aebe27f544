#include "system/program/program.hpp"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <sstream>

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
  cxxopts::Options options(program.name, program.what);
  options.add_options()("s,settings", "the settings file ($DOCKLIFT_SETTINGS)",
                        cxxopts::value<std::string>())("l,log-level", "debug, info, warn or error",
                                                       cxxopts::value<std::string>()->default_value("info"))(
      "c,check", "read the settings, tell mistakes, end")("h,help", "this text")("v,version", "the version");
  for (const auto& option : program.options)
    options.add_options()(option.name, option.what, cxxopts::value<std::vector<std::string>>());
  std::string path;
  std::string level;
  bool check = false;
  try {
    const auto given = options.parse(argc, argv);
    if (given.count("help") > 0) return std::cout << options.help(), 0;
    if (given.count("version") > 0) return std::cout << program.name << ' ' << DOCKLIFT_VERSION << '\n', 0;
    if (!given.unmatched().empty()) {
      std::cerr << program.name << ": not known: " << given.unmatched().front() << '\n';
      return 2;
    }
    path = given.count("settings") > 0 ? given["settings"].as<std::string>() : settings_path();
    level = given["log-level"].as<std::string>();
    check = given.count("check") > 0;
    for (const auto& option : program.options)
      if (given.count(option.name) > 0) *option.values = given[option.name].as<std::vector<std::string>>();
  } catch (const std::exception& x) {  // cxxopts has changed the name of its own
    std::cerr << program.name << ": " << x.what() << '\n';
    return 2;
  }
  if (level != "debug" && level != "info" && level != "warn" && level != "error") {
    std::cerr << program.name << ": no level of logs: " << level << '\n';
    return 2;
  }
  auto settings = read_settings(path);
  if (failed(settings)) {
    const auto& f = failure(settings);
    std::istringstream lines(f.what);
    for (std::string line; std::getline(lines, line);)
      std::cerr << program.name << ": " << Failure{f.step, f.peer, line}.shown() << '\n';
    return 2;
  }
  if (check) return 0;
  std::signal(SIGPIPE, SIG_IGN);
  start_logs(level);
  const Log log(program.name);
  try {
    boost::asio::io_context io(1);
    log.info("starts on " + value(settings).hostname);
    const int code = run(io, value(settings));
    log.info("ends with " + std::to_string(code));
    return code;
  } catch (const std::exception& x) {
    log.error(std::string("ends: ") + x.what());
    return 1;
  }
}

Signals::Signals(boost::asio::io_context& io, std::function<void()> stop,
                 std::function<void(const SystemSettings&)> reload)
    : set_(io, SIGTERM, SIGINT, SIGHUP), stop_(std::move(stop)), reload_(std::move(reload)), log_("signals") {
  wait();
}

void Signals::wait() {
  set_.async_wait([this](boost::system::error_code failed_wait, int signal) {
    if (failed_wait) return;
    if (signal == SIGHUP) {
      auto settings = read_settings(settings_path());
      if (failed(settings)) {
        log_.warn("settings stay as they were: " + failure(settings).shown());
      } else {
        log_.info("settings are read anew");
        reload_(value(settings));
      }
    } else {
      log_.info("asked to stop");
      stop_();
    }
    wait();
  });
}

}  // namespace docklift
