#include "process.hpp"

#include <fcntl.h>
#include <netinet/in.h>
#include <arpa/inet.h>
#include <spawn.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>

extern "C" char** environ;

namespace docklift::rigs {

NodeProcess::NodeProcess(std::filesystem::path home, std::string listen, nlohmann::json platform_config)
    : home_(std::move(home)), listen_(std::move(listen)) {
  std::filesystem::create_directories(home_);
  std::ofstream(home_ / "platform.json") << platform_config;
  write_good();
}

void NodeProcess::write_good(const std::string& more) const {
  // Written beside and renamed, as an operator's tools do.
  std::ofstream(home_ / "next.toml") << "[daemon]\nplatform_config = \"" << (home_ / "platform.json").string()
                                     << "\"\npid_file = \"" << (home_ / "pid").string()
                                     << "\"\ndrain_limit = \"4s\"\n" << more;
  std::filesystem::rename(home_ / "next.toml", home_ / "docklift.toml");
}

void NodeProcess::write_bad() const {
  std::ofstream(home_ / "next.toml") << "[daemon]\ndrain_limit = \"4\"\npid_fil = \"x\"\n[lissen]\n";
  std::filesystem::rename(home_ / "next.toml", home_ / "docklift.toml");
}

void NodeProcess::start() { spawn(DOCKLIFT, {"run", "--config", (home_ / "docklift.toml").string()}); }

void NodeProcess::start_plain(const std::string& binary) { spawn(binary, {}); }

void NodeProcess::spawn(const std::string& binary, const std::vector<std::string>& more) {
  const auto pointers = [](std::vector<std::string>& all) {
    std::vector<char*> p;
    for (auto& s : all) p.push_back(s.data());
    p.push_back(nullptr);
    return p;
  };
  std::vector<std::string> words{binary}, variables;
  words.insert(words.end(), more.begin(), more.end());
  for (char** e = environ; *e != nullptr; ++e) variables.emplace_back(*e);
  if (clock_ms_ != 0 || disk_) {
    variables.push_back(std::string("LD_PRELOAD=") + (clock_ms_ != 0 ? SHIFTED_CLOCK : "") + (clock_ms_ != 0 && disk_ ? ":" : "") + (disk_ ? SYNCED_SIZE : ""));
    variables.push_back("SHIFTED_CLOCK_MS=" + std::to_string(clock_ms_));
    variables.emplace_back("ASAN_OPTIONS=verify_asan_link_order=0");  // they need no runtime of theirs
  }
  if (more.empty()) variables.push_back("GW_CONFIG=" + (home_ / "platform.json").string());
  const auto log = (home_ / "log").string();
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 2, log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
  posix_spawn_file_actions_addclosefrom_np(&actions, 3);
  const int failed =
      ::posix_spawn(&pid_, binary.c_str(), &actions, nullptr, pointers(words).data(), pointers(variables).data());
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) throw std::runtime_error(binary + " can't be started");
}

void NodeProcess::lose_unsynced(std::uint64_t seed) const {
  std::mt19937_64 random(seed);
  std::error_code failed;
  for (std::filesystem::directory_iterator it(state_folder(), failed), end; !failed && it != end; it.increment(failed)) {
    const auto path = it->path();
    if (path.extension() == ".synced" || path.filename() == "lock") continue;
    std::uintmax_t synced = 0;
    std::ifstream(path.string() + ".synced") >> synced;
    const auto size = std::filesystem::file_size(path);
    if (size > synced) std::filesystem::resize_file(path, synced + random() % (size - synced + 1));
  }
}

std::filesystem::path NodeProcess::damage_state() const {
  std::filesystem::path newest;
  for (const auto& f : std::filesystem::directory_iterator(state_folder()))
    if (f.path().extension() != ".synced" && f.path().filename() != "lock" && f.path() > newest) newest = f.path();
  if (newest.empty()) return newest;
  std::fstream file(newest, std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(static_cast<std::streamoff>(std::filesystem::file_size(newest) / 2));
  file.put('\x7f').put('\x7e');
  return newest;
}

void NodeProcess::signal(int number) const {
  if (pid_ > 0) ::kill(pid_, number);
}

pid_t NodeProcess::pid_in_file() const {
  pid_t pid = 0;
  std::ifstream(home_ / "pid") >> pid;
  return pid;
}

std::string NodeProcess::log() const {
  std::stringstream text;
  text << std::ifstream(home_ / "log").rdbuf();
  return text.str();
}

std::optional<Held> held_by(pid_t pid) {
  const auto dir = std::filesystem::path("/proc") / std::to_string(pid);
  std::size_t total = 0, resident = 0;
  if (!(std::ifstream(dir / "statm") >> total >> resident)) return std::nullopt;
  std::error_code failed;
  std::size_t count = 0;
  for (std::filesystem::directory_iterator it(dir / "fd", failed), end; !failed && it != end; it.increment(failed))
    ++count;
  if (failed) return std::nullopt;
  // The scheduler's own count, in nanoseconds: the ticks in stat are samples.
  double ran_ns = 0;
  std::ifstream(dir / "schedstat") >> ran_ns;
  return Held{static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1 << 20),
              static_cast<double>(count), ran_ns / 1e9};
}

std::string own_address(std::size_t index) {
  const auto pid = static_cast<unsigned>(::getpid());
  if (index >= 250) throw std::invalid_argument("a process has addresses for 250 nodes");
  const auto host = "127." + std::to_string(pid / 250 % 250 + 2) + "." + std::to_string(pid % 250) + "." + std::to_string(index + 1);
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  ::inet_pton(AF_INET, host.c_str(), &at.sin_addr);
  socklen_t length = sizeof at;
  const bool good = ::bind(fd, reinterpret_cast<sockaddr*>(&at), length) == 0 &&
                    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &length) == 0;
  ::close(fd);
  if (!good) throw std::runtime_error("no port is free on " + host);
  return host + ":" + std::to_string(ntohs(at.sin_port));
}

}  // namespace docklift::rigs
