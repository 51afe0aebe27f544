// docklift as a service: carries out what Lifecycle decides, around a Node, on one event loop.
#pragma once

#include <string>
#include <vector>

#include "config/schema.hpp"
#include "daemon/lifecycle.hpp"

namespace docklift {

struct DaemonOptions {
  const Schema* schema = nullptr;
  Config config;  // as read at the start
  std::string platform_config;
  std::vector<std::string> arguments;  // for a successor, argv[0] first
  int handover = -1;                   // the channel to a predecessor; -1: none
};

// Runs until the process has to end. Before it is called nothing else may have started a thread; the signals that it
// handles may be blocked, and are let through once they have handlers.
ExitCode run_daemon(DaemonOptions options);

}  // namespace docklift
