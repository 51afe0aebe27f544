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
constexpr int kMostMachines = 9;
constexpr Duration kOrderLimit = 1s;
constexpr Duration kLoopPiece = 20ms;
constexpr std::size_t kHeadBytes = 65536;
constexpr std::size_t kLogBytes = 2000;

// The third part of the addresses of this process's machines; tests run side by side.
std::string own_part() { return std::to_string(::getpid() % 250 + 1); }
std::string machines_prefix() { return "127.61." + own_part() + "."; }
std::string relays_prefix(int from) { return "127." + std::to_string(70 + from) + "." + own_part() + "."; }

Tcp::endpoint endpoint(const std::string& ip, int port) {
  return {asio::ip::make_address(ip), static_cast<std::uint16_t>(port)};
}

std::vector<char*> pointers(std::vector<std::string>& texts) {
  std::vector<char*> out;
  out.reserve(texts.size() + 1);
  for (auto& text : texts) out.push_back(text.data());
  out.push_back(nullptr);
  return out;
}

}  // namespace

ProcessFleet::ProcessFleet(int core) : first_port_(static_cast<std::uint16_t>(20000 + ::getpid() % 10000)) {
  char name[] = "/tmp/docklift-processes-XXXXXX";
  if (::mkdtemp(name) == nullptr) throw std::runtime_error("no folder under /tmp can be made");
  folder_ = name;
  for (int machine = 1; machine <= core; ++machine)
    machines_[machine] = {"z" + std::to_string(machine), true, true, {}};
}

ProcessFleet::~ProcessFleet() {
  for (const auto& [machine, state] : machines_) kill(machine);
  relays_.clear();
  io_.restart();
  io_.poll();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
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
std::string ProcessFleet::folder(int machine) const { return folder_ / std::to_string(machine); }

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
  if (machine > kMostMachines) throw std::invalid_argument("a fleet has machines 1 to 9");
  std::filesystem::create_directories(folder(machine));
  join_by_relays(machine);
  auto& state = machines_.at(machine);
  const std::vector<std::string> programs = state.core
                                                ? std::vector<std::string>{DOCKLIFT_STORE, DOCKLIFT_REGISTRY}
                                                : std::vector<std::string>{DOCKLIFT_PROXY};
  for (const auto& program : programs) state.running.push_back(spawn(machine, program));
}

// Relays from this machine to each other one, and back, for each port between processes.
void ProcessFleet::join_by_relays(int machine) {
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
  const auto path = folder(machine) + "/settings.conf";
  std::ofstream out(path);
  out << "hostname=m" << machine << "\nbind_ip=" << ip(machine) << "\naz=" << state.zone << "\nrgn=r1\n"
      << "azs.z1=r1\nazs.z2=r1\nazs.z3=r1\nport_range=" << port(0) << "," << port(5) << "\nseeds=" << ctl(1)
      << "," << ctl(2) << "," << ctl(3) << "\nbootstrap=" << (state.bootstrap ? "true" : "false")
      << "\nvoting=" << (state.core ? "true" : "false")
      << "\nhb_ms=1500\ntolerance.nodes=1\ntolerance.azs=1\n"
      << "limits.nofile=1024\n";
  if (state.core) {
    out << "datadir=" << folder(machine) << "\nlisten.ctl=" << ctl(machine) << "\n";
  } else {
    out << "listen.http=" << http(machine) << "\n";
  }
  return path;
}

pid_t ProcessFleet::spawn(int machine, const std::string& program) {
  std::vector<std::string> arguments{program};
  std::vector<std::string> variables;
  for (char** one = environ; *one != nullptr; ++one) variables.emplace_back(*one);
  variables.push_back("DOCKLIFT_SETTINGS=" + write_settings(machine));
  variables.push_back(std::string("LD_PRELOAD=") + RELAYED_CONNECT);
  variables.push_back("RELAYED_MACHINES=" + machines_prefix());
  variables.push_back("RELAYED_TO=" + relays_prefix(machine));
  variables.push_back("RELAYED_SELF=" + ip(machine));
  variables.emplace_back(
      "ASAN_OPTIONS=verify_asan_link_order=0");  // the library above needs no runtime of it
  const auto log_path = folder(machine) + "/log";
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_path.c_str(), O_CREAT | O_WRONLY | O_APPEND,
                                     0600);
  ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  ::posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  pid_t pid = 0;
  const int failed = ::posix_spawn(&pid, program.c_str(), &actions, nullptr, pointers(arguments).data(),
                                   pointers(variables).data());
  ::posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) throw std::runtime_error(program + " can't be started");
  return pid;
}

void ProcessFleet::kill(int machine) {
  auto& running = machines_.at(machine).running;
  for (const auto pid : running) ::kill(pid, SIGKILL);
  for (const auto pid : std::exchange(running, {})) ::waitpid(pid, nullptr, 0);
}

std::optional<std::vector<int>> ProcessFleet::terminate(int machine, Duration limit, bool again) {
  auto& running = machines_.at(machine).running;
  for (const auto pid : running) ::kill(pid, SIGTERM);
  if (again)
    for (const auto pid : running) ::kill(pid, SIGTERM);
  std::vector<int> codes;
  const auto ended = [&](pid_t pid) {
    int status = 0;
    if (::waitpid(pid, &status, WNOHANG) != pid) return false;
    codes.push_back(WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status));
    return true;
  };
  const auto all_ended = [&] {
    std::erase_if(running, ended);
    return running.empty();
  };
  if (!until(all_ended, limit)) return std::nullopt;
  return codes;
}

void ProcessFleet::cut(int from, int to, bool on) {
  // What `from` sends goes along the connections that it made, and back along those that `to` made.
  for (const auto& relay : relays_.at({from, to})) relay->cut(0, on);
  for (const auto& relay : relays_.at({to, from})) relay->cut(1, on);
}

void ProcessFleet::cut_off(int machine, bool on) {
  for (const auto& [other, state] : machines_) {
    if (other == machine) continue;
    cut(machine, other, on);
    cut(other, machine, on);
  }
}

bool ProcessFleet::until(const std::function<bool()>& done, Duration limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!done()) {
    if (std::chrono::steady_clock::now() > end) return false;
    io_.restart();
    io_.run_one_for(kLoopPiece);
  }
  return true;
}

HttpAnswer ProcessFleet::call(const std::string& address, const std::string& method, const std::string& path,
                              const std::string& body, Duration limit, const std::string& fields) {
  struct Exchange {
    explicit Exchange(asio::io_context& io) : socket(io.get_executor()) {}
    Socket socket;
    std::string request, in;
    std::array<char, 16384> piece{};
    HttpAnswer answer;
    bool ended = false;
  };
  const auto exchange = std::make_shared<Exchange>(io_);
  exchange->request = method + " " + path + " HTTP/1.1\r\nHost: h.example\r\n" + fields +
                      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  const auto read = [exchange](const auto& again) -> void {
    exchange->socket.async_read_some(
        asio::buffer(exchange->piece), [exchange, again](const error_code& failed, std::size_t bytes) {
          exchange->in.append(exchange->piece.data(), bytes);
          http::Head head;
          const auto got = http::parse_response_head(exchange->in, kHeadBytes, head);
          const auto length = got.status == http::ParseStatus::complete
                                  ? http::number(head.only("Content-Length").value_or("0")).value_or(0)
                                  : 0;
          if (got.status == http::ParseStatus::complete && exchange->in.size() >= got.used + length) {
            exchange->answer = {head.status, exchange->in.substr(got.used, length)};
            exchange->ended = true;
            return;
          }
          if (failed) {
            exchange->ended = true;
            return;
          }
          again(again);
        });
  };
  exchange->socket.async_connect(*snowknot::endpoint_of(address), [exchange, read](const error_code& failed) {
    if (failed) {
      exchange->ended = true;
      return;
    }
    asio::async_write(exchange->socket, asio::buffer(exchange->request),
                      [exchange, read](const error_code&, std::size_t) { read(read); });
  });
  until([&] { return exchange->ended; }, limit);
  snowknot::close_now(exchange->socket);
  return exchange->answer;
}

HttpAnswer ProcessFleet::order(int machine, const std::string& path, const std::string& body) {
  return call(ctl(machine), "POST", path, body, kOrderLimit);
}

HttpAnswer ProcessFleet::order_until_clear(const std::vector<int>& machines, const std::string& path,
                                           const std::string& body, Duration limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  for (std::size_t tries = 0; std::chrono::steady_clock::now() < end; ++tries) {
    const auto answer = order(machines[tries % machines.size()], path, body);
    if (answer.status != 0 && answer.status < 500) return answer;
    io_.restart();
    io_.run_one_for(kLoopPiece);
  }
  return {};
}

HttpAnswer ProcessFleet::ask(int proxy, const std::string& path) {
  const std::string fields = "Attempt-Id: id" + std::to_string(++requests_) +
                             "\r\nDeadline: 900\r\nKey: k1\r\n";
  return call(http(proxy), "GET", path, "", kOrderLimit, fields);
}

std::uint64_t ProcessFleet::version_at(int machine) {
  const auto answer = call(ctl(machine), "GET", "/Config.Read", "", kOrderLimit);
  if (answer.status != 200) return 0;
  const auto document = nlohmann::json::parse(answer.body, nullptr, false);
  if (!document.is_object()) return 0;
  const auto shown = document.value("gen", std::string());
  std::uint64_t version = 0;
  std::from_chars(shown.data(), shown.data() + shown.size(), version, 16);
  return version;
}

std::string ProcessFleet::log(int machine) const {
  std::ifstream in(folder(machine) + "/log");
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  return text.substr(text.size() - std::min(text.size(), kLogBytes));
}

}  // namespace docklift::test
