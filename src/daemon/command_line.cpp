#include "daemon/command_line.hpp"

#include <CLI/CLI.hpp>
#include <charconv>
#include <cstdlib>
#include <filesystem>
#include <iostream>

#include "config/known_sections.hpp"
#include "daemon/daemon.hpp"
#include "daemon/fleet_command.hpp"
#include "daemon/system.hpp"
#ifdef DOCKLIFT_WITH_PEERS
#include "recovery/state_command.hpp"
#endif

namespace docklift {
namespace {

std::string variable(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

// Good files only; the mistakes go to standard error, a line each.
std::optional<Config> read_or_complain(const std::string& file) {
  auto read = read_config_file(schema_of_docklift(), file);
  for (const auto& m : read.mistakes) std::cerr << m.text() << '\n';
  return std::move(read.config);
}

int run(const std::string& file, const char* program) {
  auto config = read_or_complain(file);
  if (!config) return static_cast<int>(ExitCode::config);
  auto platform = config->text("daemon.platform_config");
  if (platform.empty()) platform = variable("GW_CONFIG");
  if (platform.empty()) {
    std::cerr << file << ": daemon.platform_config: is not set, and neither is variable GW_CONFIG\n";
    return static_cast<int>(ExitCode::config);
  }
  DaemonOptions options{&schema_of_docklift(), std::move(*config), platform, {program, "run", "--config", file}, -1};
  if (const auto fd = variable(kHandoverVariable); !fd.empty()) {
    if (fd != std::to_string(kHandoverDescriptor)) {
      std::cerr << "docklift: variable " << kHandoverVariable << " is not " << kHandoverDescriptor << '\n';
      return static_cast<int>(ExitCode::usage);
    }
    options.handover = kHandoverDescriptor;
    ::unsetenv(kHandoverVariable);
  }
  return static_cast<int>(run_daemon(std::move(options)));
}

}  // namespace

std::optional<int> command_line(int argc, char** argv) {
  std::string file = variable("DOCKLIFT_CONFIG");
  if (argc == 1 && file.empty()) return std::nullopt;

  CLI::App app("docklift: the edge node of the Kenya Airport Wayfinding Association");
  app.set_version_flag("--version", std::string("docklift ") + DOCKLIFT_VERSION);
  const auto add_file = [&](CLI::App* to) {
    to->add_option("-c,--config", file, "the operator's file (default: $DOCKLIFT_CONFIG)");
  };
  add_file(&app);
  app.require_subcommand(0, 1);
  auto* run_command = app.add_subcommand("run", "serve (the default); without an operator's file as $GW_CONFIG says");
  add_file(run_command);
  auto* config = app.add_subcommand("config", "look at an operator's file without serving");
  config->require_subcommand(1);
  auto* check = config->add_subcommand("check", "list all mistakes of a file");
  check->add_option("FILE", file, "the file");
  auto* show = config->add_subcommand("show", "the values in force, and where each comes from");
  show->add_option("FILE", file, "the file");
  auto* reference = config->add_subcommand("reference", "the table of all keys, in Markdown");
  auto* fleet = app.add_subcommand("fleet", "what a node knows of the fleet, from its operators' door");
  std::string door;
  bool as_json = false, watch = false;
  add_file(fleet);
  fleet->add_option("--door", door, "address of the door (default: admin.listen of the file)");
  fleet->add_flag("--json", as_json, "as the door has it");
  fleet->add_flag("--watch", watch, "again each second");
#ifdef DOCKLIFT_WITH_PEERS
  auto* state = app.add_subcommand("state", "look at what a node keeps on its disk ([state] dir), without changing it");
  state->require_subcommand(1);
  auto* state_show = state->add_subcommand("show", "what it says");
  auto* state_verify = state->add_subcommand("verify", "the same, and exit with 1 if anything is damaged or missing");
  std::string folder, whose;
  for (auto* to : {state_show, state_verify}) {
    to->add_option("DIR", folder, "the folder")->required();
    to->add_option("--node", whose, "whose records (default: as the file says)");
    to->add_flag("--json", as_json, "all of it");
  }
#endif
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& x) {
    const int code = app.exit(x);
    return code == 0 ? 0 : static_cast<int>(ExitCode::usage);
  }
  if (reference->parsed()) {
    std::cout << schema_of_docklift().reference();
    return 0;
  }
#ifdef DOCKLIFT_WITH_PEERS
  if (state->parsed()) return recovery::state_command(folder, whose, as_json, state_verify->parsed());
#endif
  if (fleet->parsed()) {
    if (door.empty() && !file.empty()) {
      const auto good = read_or_complain(file);
      if (!good) return static_cast<int>(ExitCode::config);
      door = good->text("admin.listen");
    }
    return fleet_command(door, as_json, watch);
  }
  if (check->parsed() || show->parsed()) {
    if (file.empty() && check->parsed()) {
      std::cerr << "docklift: no file is named, and neither is variable DOCKLIFT_CONFIG\n";
      return static_cast<int>(ExitCode::usage);
    }
    const auto good = file.empty() ? std::optional<Config>(schema_of_docklift()) : read_or_complain(file);
    if (!good) return static_cast<int>(ExitCode::config);
    if (show->parsed()) std::cout << good->show();
    if (check->parsed()) std::cout << file << ": good\n";
    return 0;
  }
  if (file.empty()) return std::nullopt;
  std::error_code failed;
  const auto whole = std::filesystem::absolute(file, failed);
  return run(failed ? file : whole.string(), argv[0]);
}

}  // namespace docklift
