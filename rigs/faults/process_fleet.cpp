#include "process_fleet.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>

namespace docklift::faults {

namespace {

sockaddr_in address_of(const std::string& text) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  const auto colon = text.rfind(':');
  ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &at.sin_addr);
  at.sin_port = htons(static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1))));
  return at;
}

UdpRelay::Udp::endpoint udp(const std::string& text) {
  const auto at = *snowknot::endpoint_of(text);
  return {at.address(), at.port()};
}

}  // namespace

std::string get(const std::string& address, const std::string& path, std::chrono::milliseconds limit, int* status) {
  const auto until = std::chrono::steady_clock::now() + limit;
  const auto left = [&] {
    return static_cast<int>(std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(until - std::chrono::steady_clock::now()).count()));
  };
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  struct Closed {
    int fd;
    ~Closed() { ::close(fd); }
  } const closed{fd};
  const auto at = address_of(address);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 && errno != EINPROGRESS) return {};
  pollfd p{fd, POLLOUT, 0};
  if (::poll(&p, 1, left()) != 1) return {};
  const auto ask = "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  if (::send(fd, ask.data(), ask.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(ask.size())) return {};
  std::string in;
  std::array<char, 16 * 1024> space{};
  for (p.events = POLLIN; ::poll(&p, 1, left()) == 1;) {
    const auto n = ::recv(fd, space.data(), space.size(), 0);
    if (n < 0) return {};
    if (n == 0) {
      const auto body = in.find("\r\n\r\n");
      if (in.size() < 12 || body == std::string::npos) return {};
      if (status) *status = std::stoi(in.substr(9, 3));
      return in.substr(body + 4);
    }
    in.append(space.data(), static_cast<std::size_t>(n));
  }
  return {};
}

ProcessFleet::ProcessFleet(boost::asio::io_context& io, FleetOptions options)
    : io_(io), options_(std::move(options)), platform_(io, options_.platform), random_(options_.seed) {
  ::prctl(PR_SET_CHILD_SUBREAPER, 1);  // successors are ours to wait for when their parents have ended
  auto name = (std::filesystem::temp_directory_path() / "docklift-fleet-XXXXXX").string();
  home_ = ::mkdtemp(name.data());
  secret_ = "a secret of this fleet alone: " + home_.string();
  std::ofstream(home_ / "key") << secret_;
  std::vector<std::string> seeds;
  for (std::size_t s = 0; options_.relays && s < platform_.servers(); ++s) {
    servers_.push_back(std::make_unique<TcpRelay>(io_, *snowknot::endpoint_of(platform_.server_address(s))));
    platform_.show_server_at(s, servers_.back()->address());
  }
  for (std::size_t i = 0; i < options_.nodes; ++i) {
    const auto at = rigs::own_address(i);
    auto config = platform_.node_config(i, options_.nodes, at);
    if (i < options_.names.size()) config["name"] = options_.names[i];
    if (options_.ceiling > 0) config["settings"]["packages"][1]["ceiling-rate"] = options_.ceiling;
    auto discovery = std::make_unique<TcpRelay>(io_, *snowknot::endpoint_of(platform_.discovery_address()));
    auto counter = std::make_unique<TcpRelay>(io_, *snowknot::endpoint_of(platform_.counter_address()));
    config["discovery"] = discovery->address(), config["counter"] = counter->address();
    nodes_.push_back(std::make_unique<Node>(rigs::NodeProcess(home_ / ("n" + std::to_string(i)), at, config)));
    if (i < options_.clocks_ms.size()) nodes_.back()->process.shift_clock(options_.clocks_ms[i]);
    auto& n = *nodes_.back();
    n.discovery = std::move(discovery), n.counter = std::move(counter);
    if (options_.relays) n.clients = std::make_unique<TcpRelay>(io_, *snowknot::endpoint_of(at));
    // Ports of this address that nobody else takes: one beside the listener's, for TCP and for UDP.
    const auto host = at.substr(0, at.rfind(':'));
    const auto port = std::stoul(at.substr(at.rfind(':') + 1));
    n.door = host + ":" + std::to_string(port < 65000 ? port + 1 : port - 1);
    n.peers = host + ":" + std::to_string(port < 65000 ? port + 2 : port - 2);
    by_address_[udp(n.peers)] = i;
    n.relay = std::make_unique<UdpRelay>(io_, udp(n.peers), [this, i](const UdpRelay::Udp::endpoint& from) {
      const auto sender = by_address_.find(from);
      return sender == by_address_.end() ? std::vector<double>{0.0} : ways(faults_, now(), sender->second, i, {}, random_);
    });
    if (i < 3) seeds.push_back(n.relay->address());
  }
  std::string all;
  for (const auto& s : seeds) all += (all.empty() ? "\"" : ", \"") + s + "\"";
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const auto& n = nodes_[i];
    std::string text = options_.more + "\n[admin]\nlisten = \"" + n->door + "\"\n";
    if (options_.peers)
      text += "[peers]\nlisten = \"" + n->peers + "\"\nadvertise = \"" + n->relay->address() + "\"\nseeds = [" + all + "]\nkey_file = \"" +
              (home_ / "key").string() + "\"\ninterval = \"" + options_.interval + "\"\nround = \"50ms\"\n" + (i < options_.more_of.size() ? options_.more_of[i] : "");
    if (options_.disks) {
      text += "[state]\ndir = \"" + n->process.state_folder().string() + "\"\n" + options_.state;
      n->process.know_the_disk();
    }
    n->process.write_good(text);
  }
}

ProcessFleet::~ProcessFleet() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) kill(i);
  std::filesystem::remove_all(home_);
}

void ProcessFleet::start(std::size_t i) {
  auto& n = *nodes_.at(i);
  if (n.up) return;
  n.process.start();
  n.up = true, n.paused = false;
}

void ProcessFleet::kill(std::size_t i) {
  auto& n = *nodes_.at(i);
  if (!n.up) return;
  n.process.signal(SIGKILL);
  ::waitpid(n.process.pid(), nullptr, 0);
  n.up = false, n.paused = false;
}

void ProcessFleet::power_cut(bool store_too) {
  for (const auto& n : nodes_)
    if (n->up) n->process.signal(SIGKILL);
  if (store_too) platform_.restart_counter();
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!nodes_[i]->up) continue;
    kill(i);
    nodes_[i]->process.lose_unsynced(random_.bits());
  }
}

void ProcessFleet::pause(std::size_t i, bool on) {
  auto& n = *nodes_.at(i);
  if (!n.up) return;
  n.process.signal(on ? SIGSTOP : SIGCONT);
  n.paused = on;
}

void ProcessFleet::stop(std::size_t i) {
  auto& n = *nodes_.at(i);
  if (!n.up) return;
  n.process.signal(SIGTERM);
  // Its links are ours: they have to run while it ends.
  for (int status = 0; ::waitpid(n.process.pid(), &status, WNOHANG) == 0;) {
    io_.restart();
    io_.run_for(std::chrono::milliseconds(10));
  }
  n.up = false;
}

bool ProcessFleet::upgrade(std::size_t i, std::chrono::milliseconds limit) {
  auto& n = *nodes_.at(i);
  const auto before = n.process.pid();
  n.process.signal(SIGUSR2);
  const auto until = std::chrono::steady_clock::now() + limit;
  bool ended = false, over = false;
  while (!(ended && over) && std::chrono::steady_clock::now() < until) {
    io_.restart();
    io_.run_for(std::chrono::milliseconds(10));
    over = n.process.pid_in_file() != before && n.process.pid_in_file() != 0;
    ended = ended || ::waitpid(before, nullptr, WNOHANG) == before;
  }
  if (over) n.process.set_pid(n.process.pid_in_file());
  return over && ended;
}

std::string ProcessFleet::door(std::size_t i, const std::string& path) const {
  const auto& n = *nodes_.at(i);
  if (!n.up || n.paused) return {};
  return get(n.door, path, std::chrono::milliseconds(500));
}

nlohmann::json ProcessFleet::fleet(std::size_t i) const {
  auto j = nlohmann::json::parse(door(i, "/_fleet"), nullptr, false);
  return j.is_discarded() ? nlohmann::json() : j;
}

bool ProcessFleet::ready(std::size_t i) const {
  int status = 0;
  if (!nodes_.at(i)->up) return false;
  get(listen(i), "/-/ready", std::chrono::milliseconds(500), &status);
  return status == 200;
}

double ProcessFleet::now() const { return std::chrono::duration<double>(std::chrono::steady_clock::now() - began_).count(); }

bool ProcessFleet::sees(std::size_t who, std::size_t whom, const std::string& state) const {
  const auto j = fleet(who);
  if (!j.contains("members")) return false;
  for (const auto& m : j["members"])
    if (m["name"] == "n" + std::to_string(whom)) return m["state"] == state;
  return state == "unknown";
}

bool ProcessFleet::converged() const {
  std::string digest;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!nodes_[i]->up || nodes_[i]->paused) continue;
    const auto j = fleet(i);
    if (!j.contains("members")) return false;
    std::size_t alive = 0;
    for (const auto& m : j["members"]) {
      const auto other = std::stoul(m["name"].get<std::string>().substr(1));
      const bool lives = m["state"] == "alive";
      if (lives != (other < nodes_.size() && nodes_[other]->up)) return false;
      alive += lives ? 1 : 0;
    }
    std::size_t up = 0;
    for (const auto& n : nodes_) up += n->up ? 1 : 0;
    if (alive + 1 != up) return false;
    const auto its = j["digest"].get<std::string>();
    if (!digest.empty() && digest != its) return false;
    digest = its;
  }
  return true;
}

}  // namespace docklift::faults
