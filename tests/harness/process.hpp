// One docklift process of the fleet as an operator would run it: its files, its signals, its end.
#pragma once

#include <sys/types.h>

#include <filesystem>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace docklift::rigs {

class NodeProcess {
 public:
  // `listen`: ADDRESS:PORT; the node's files are kept under `home`.
  NodeProcess(std::filesystem::path home, std::string listen, nlohmann::json platform_config);

  void start();
  // Without an operator's file, as the platform does; `binary` may be another build.
  void start_plain(const std::string& binary);
  // From the next start on it is known what of its state is on the disk; and after its end, what a loss of power would leave is left.
  void know_the_disk() { disk_ = true; }
  void lose_unsynced(std::uint64_t seed) const;
  // Two bytes in the middle of its newest file are changed. Which file; empty: there is none.
  std::filesystem::path damage_state() const;
  std::filesystem::path state_folder() const { return home_ / "state"; }
  // From the next start on its wall clock is off by so much.
  void shift_clock(int ms) { clock_ms_ = ms; }
  void signal(int number) const;
  // The process that holds the pid file; 0: none.
  pid_t pid_in_file() const;
  pid_t pid() const { return pid_; }
  void set_pid(pid_t pid) { pid_ = pid; }
  const std::string& listen() const { return listen_; }

  // The operator's file: lines to add, or text that can't be read.
  void write_good(const std::string& more = {}) const;
  void write_bad() const;
  std::string log() const;

 private:
  void spawn(const std::string& binary, const std::vector<std::string>& more);

  std::filesystem::path home_;
  std::string listen_;
  pid_t pid_ = 0;
  int clock_ms_ = 0;
  bool disk_ = false;
};

// What a process holds, from /proc; none if it has ended.
struct Held {
  double rss_mb = 0;
  double descriptors = 0;
  double cpu_seconds = 0;  // used so far, user and system mode together
};
std::optional<Held> held_by(pid_t pid);

// An address of this process's own (127.x.y.1 to 250, x and y by its id), with a port that is free there: neither a connection of anybody
// else starts from it nor does another rig or test beside this one listen there, so the port, and those next to it, stay free while the node is down.
std::string own_address(std::size_t index);

}  // namespace docklift::rigs
