#include "process_fleet.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

#include "system/base/settings.hpp"
#include "system/http/head.hpp"

extern "C" char** environ;

namespace docklift::test {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using boost::system::error_code;

constexpr int kCtlOffset = 10;
constexpr int kHttpOffset = 12;
constexpr int kMaxMachines = 9;
constexpr Duration kRequestTimeout = 1s;
constexpr Duration kPollInterval = 20ms;
constexpr Duration kSignalInterval = 200us;
constexpr std::size_t kMaxHeadBytes = 65536;
constexpr std::size_t kLogBytes = 2000;

// The third octet of the addresses of this process's machines, as test processes run in parallel.
std::string process_octet() { return std::to_string(::getpid() % 250 + 1); }
std::string machines_prefix() { return "127.61." + process_octet() + "."; }
std::string relays_prefix(int from) {
  return "127." + std::to_string(70 + from) + "." + process_octet() + ".";
}

Tcp::endpoint endpoint(const std::string& ip, int port) {
  return {asio::ip::make_address(ip), static_cast<std::uint16_t>(port)};
}

std::vector<char*> to_argv(std::vector<std::string>& strings) {
  std::vector<char*> out;
  out.reserve(strings.size() + 1);
  for (auto& string : strings) out.push_back(string.data());
  out.push_back(nullptr);
  return out;
}

}  // namespace

ProcessFleet::ProcessFleet(int core) : first_port_(static_cast<std::uint16_t>(20000 + ::getpid() % 10000)) {
  char name[] = "/tmp/docklift-processes-XXXXXX";
  if (::mkdtemp(name) == nullptr) throw std::runtime_error("can't create a directory under /tmp");
  directory_ = name;
  for (int machine = 1; machine <= core; ++machine)
    machines_[machine] = {"z" + std::to_string(machine), true, true, {}};
}

ProcessFleet::~ProcessFleet() {
  for (const auto& [machine, state] : machines_) kill(machine);
  relays_.clear();
  io_.restart();
  io_.poll();
  std::error_code ignored;
  std::filesystem::remove_all(directory_, ignored);
}

std::string ProcessFleet::ip(int machine) const { return machines_prefix() + std::to_string(machine); }
std::string ProcessFleet::relay_ip(int from, int to) const {
  return relays_prefix(from) + std::to_string(to);
}
std::string ProcessFleet::ctl(int machine) const {
  return ip(machine) + ":" + std::to_string(first_port_ + kCtlOffset);
}
std::string ProcessFleet::http(int machine) const {
  return ip(machine) + ":" + std::to_string(first_port_ + kHttpOffset);
}
std::string ProcessFleet::directory(int machine) const { return directory_ / std::to_string(machine); }

void ProcessFleet::start_core(int machine) { start(machine); }

void ProcessFleet::start_replacement(int machine, int in_zone_of) {
  machines_[machine] = {machines_.at(in_zone_of).zone, false, true, {}};
  start(machine);
}

void ProcessFleet::start_proxy(int machine) {
  machines_[machine] = {"z1", true, false, {}};
  start(machine);
}

void ProcessFleet::restart(int machine) {
  machines_.at(machine).bootstrap = false;
  start(machine);
}

void ProcessFleet::start(int machine) {
  if (machine > kMaxMachines) throw std::invalid_argument("a fleet has machines 1 to 9");
  std::filesystem::create_directories(directory(machine));
  add_relays(machine);
  auto& state = machines_.at(machine);
  const std::vector<std::string> programs = state.core
                                                ? std::vector<std::string>{DOCKLIFT_STORE, DOCKLIFT_REGISTRY}
                                                : std::vector<std::string>{DOCKLIFT_PROXY};
  for (const auto& program : programs) state.processes.push_back(spawn(machine, program));
}

// Adds relays between this machine and each other one, in both directions, for each port used between
// processes.
void ProcessFleet::add_relays(int machine) {
  for (const auto& [other, state] : machines_) {
    if (other == machine || relays_.contains({machine, other})) continue;
    for (const auto& [from, to] : {std::pair(machine, other), std::pair(other, machine)})
      for (const auto offset : {kStorePort, kRegistryPort, kProxyPort})
        relays_[{from, to}].push_back(std::make_unique<LinkRelay>(
            io_, endpoint(relay_ip(from, to), first_port_ + offset), endpoint(ip(to), first_port_ + offset)));
  }
}

std::string ProcessFleet::write_settings(int machine) const {
  const auto& state = machines_.at(machine);
  const auto port = [&](int offset) { return std::to_string(first_port_ + offset); };
  const auto path = directory(machine) + "/settings.conf";
  std::ofstream out(path);
  out << "hostname=m" << machine << "\nbind_ip=" << ip(machine) << "\naz=" << state.zone << "\nrgn=r1\n"
      << "azs.z1=r1\nazs.z2=r1\nazs.z3=r1\nport_range=" << port(0) << "," << port(5) << "\nseeds=" << ctl(1)
      << "," << ctl(2) << "," << ctl(3) << "\nbootstrap=" << (state.bootstrap ? "true" : "false")
      << "\nvoting=" << (state.core ? "true" : "false")
      << "\nhb_ms=1500\ntolerance.nodes=1\ntolerance.azs=1\n"
      << "limits.nofile=1024\n";
  if (state.core) {
    out << "datadir=" << directory(machine) << "\nlisten.ctl=" << ctl(machine) << "\n";
  } else {
    out << "listen.http=" << http(machine) << "\n";
  }
  return path;
}

pid_t ProcessFleet::spawn(int machine, const std::string& program) {
  std::vector<std::string> arguments{program};
  std::vector<std::string> variables;
  for (char** entry = environ; *entry != nullptr; ++entry) variables.emplace_back(*entry);
  variables.push_back("DOCKLIFT_SETTINGS=" + write_settings(machine));
  variables.push_back(std::string("LD_PRELOAD=") + RELAYED_CONNECT);
  variables.push_back("RELAYED_MACHINES=" + machines_prefix());
  variables.push_back("RELAYED_TO=" + relays_prefix(machine));
  variables.push_back("RELAYED_SELF=" + ip(machine));
  variables.emplace_back(
      "ASAN_OPTIONS=verify_asan_link_order=0");  // the preloaded library doesn't need its runtime
  const auto log_path = directory(machine) + "/log";
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(), O_CREAT | O_WRONLY | O_APPEND,
                                     0600);
  ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  ::posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  pid_t pid = 0;
  const int error = ::posix_spawn(&pid, program.c_str(), &actions, nullptr, to_argv(arguments).data(),
                                  to_argv(variables).data());
  ::posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error(program + " can't be started");
  return pid;
}

void ProcessFleet::kill(int machine) {
  auto& processes = machines_.at(machine).processes;
  for (const auto pid : processes) ::kill(pid, SIGKILL);
  for (const auto pid : std::exchange(processes, {})) ::waitpid(pid, nullptr, 0);
}

std::optional<std::vector<int>> ProcessFleet::terminate(int machine, Duration limit,
                                                        TerminationSignals signals) {
  auto& processes = machines_.at(machine).processes;
  const auto send_signals = [&] {
    for (const auto pid : processes) ::kill(pid, SIGTERM);
  };
  send_signals();
  if (signals == TerminationSignals::twice) send_signals();
  std::vector<int> codes;
  const auto ended = [&](pid_t pid) {
    int status = 0;
    if (::waitpid(pid, &status, WNOHANG) != pid) return false;
    codes.push_back(WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status));
    return true;
  };
  const auto all_ended = [&] {
    std::erase_if(processes, ended);
    return processes.empty();
  };
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (signals == TerminationSignals::until_ended && !all_ended()) {
    if (std::chrono::steady_clock::now() > deadline) return std::nullopt;
    std::this_thread::sleep_for(kSignalInterval);
    send_signals();
    io_.restart();
    io_.poll();
  }
  if (!until(all_ended, limit)) return std::nullopt;
  return codes;
}

void ProcessFleet::cut(int from, int to, bool blocked) {
  // Data from `from` to `to` flows forward on connections opened by `from`, and backward on those opened by
  // `to`.
  for (const auto& relay : relays_.at({from, to})) relay->cut(0, blocked);
  for (const auto& relay : relays_.at({to, from})) relay->cut(1, blocked);
}

void ProcessFleet::isolate(int machine, bool blocked) {
  for (const auto& [other, state] : machines_) {
    if (other == machine) continue;
    cut(machine, other, blocked);
    cut(other, machine, blocked);
  }
}

bool ProcessFleet::until(const std::function<bool()>& done, Duration limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!done()) {
    if (std::chrono::steady_clock::now() > end) return false;
    io_.restart();
    io_.run_one_for(kPollInterval);
  }
  return true;
}

HttpResponse ProcessFleet::exchange(const std::string& address, const std::string& method,
                                    const std::string& path, const std::string& body, Duration limit,
                                    const std::string& fields) {
  struct Exchange {
    explicit Exchange(asio::io_context& io) : socket(io.get_executor()) {}
    Socket socket;
    std::string request, input;
    std::array<char, 16384> read_buffer{};
    HttpResponse response;
    bool ended = false;
  };
  const auto exchange = std::make_shared<Exchange>(io_);
  exchange->request = method + " " + path + " HTTP/1.1\r\nHost: h.example\r\n" + fields +
                      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  const auto read = [exchange](const auto& read_more) -> void {
    exchange->socket.async_read_some(asio::buffer(exchange->read_buffer), [exchange, read_more](
                                                                              const error_code& error,
                                                                              std::size_t bytes) {
      exchange->input.append(exchange->read_buffer.data(), bytes);
      http::Head head;
      const auto parsed = http::parse_response_head(exchange->input, kMaxHeadBytes, head);
      const auto length = parsed.status == http::ParseStatus::complete
                              ? http::parse_decimal(head.unique("Content-Length").value_or("0")).value_or(0)
                              : 0;
      if (parsed.status == http::ParseStatus::complete &&
          exchange->input.size() >= parsed.consumed + length) {
        exchange->response = {head.status, exchange->input.substr(parsed.consumed, length)};
        exchange->ended = true;
        return;
      }
      if (error) {
        exchange->ended = true;
        return;
      }
      read_more(read_more);
    });
  };
  exchange->socket.async_connect(*snowknot::endpoint_of(address), [exchange, read](const error_code& error) {
    if (error) {
      exchange->ended = true;
      return;
    }
    asio::async_write(exchange->socket, asio::buffer(exchange->request),
                      [exchange, read](const error_code&, std::size_t) { read(read); });
  });
  until([&] { return exchange->ended; }, limit);
  snowknot::close_now(exchange->socket);
  return exchange->response;
}

HttpResponse ProcessFleet::send_command(int machine, const std::string& path, const std::string& body) {
  return exchange(ctl(machine), "POST", path, body, kRequestTimeout);
}

HttpResponse ProcessFleet::send_command_until_definite(const std::vector<int>& machines,
                                                       const std::string& path, const std::string& body,
                                                       Duration limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  for (std::size_t attempts = 0; std::chrono::steady_clock::now() < end; ++attempts) {
    const auto response = send_command(machines[attempts % machines.size()], path, body);
    if (response.status != 0 && response.status < 500) return response;
    io_.restart();
    io_.run_one_for(kPollInterval);
  }
  return {};
}

HttpResponse ProcessFleet::send_request(int proxy, const std::string& path) {
  const std::string fields = "Attempt-Id: id" + std::to_string(++last_attempt_id_) +
                             "\r\nDeadline: 900\r\nKey: k1\r\n";
  return exchange(http(proxy), "GET", path, "", kRequestTimeout, fields);
}

std::uint64_t ProcessFleet::version_at(int machine) {
  const auto response = exchange(ctl(machine), "GET", "/Config.Read", "", kRequestTimeout);
  if (response.status != 200) return 0;
  const auto document = nlohmann::json::parse(response.body, nullptr, false);
  if (!document.is_object()) return 0;
  const auto hex_version = document.value("gen", std::string());
  std::uint64_t version = 0;
  std::from_chars(hex_version.data(), hex_version.data() + hex_version.size(), version, 16);
  return version;
}

std::string ProcessFleet::log(int machine) const {
  std::ifstream in(directory(machine) + "/log");
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  return text.substr(text.size() - std::min(text.size(), kLogBytes));
}

}  // namespace docklift::test
