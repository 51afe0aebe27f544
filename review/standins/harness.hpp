// What the scripts of this review share: the project's programs as processes, stand-ins for servers, clients,
// the operator and the network between machines, and the record. Blocking sockets, one thread each; loopback
// addresses only. Needs a C++20 compiler and nothing else.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

extern "C" char** environ;

namespace review {

using Clock = std::chrono::steady_clock;
inline Clock::time_point& origin() {
  static Clock::time_point at = Clock::now();
  return at;
}
// Seconds since the start of the script, on the machine's steady clock.
inline double now_s() { return std::chrono::duration<double>(Clock::now() - origin()).count(); }
inline void sleep_s(double s) {
  if (s > 0) std::this_thread::sleep_for(std::chrono::duration<double>(s));
}
inline void sleep_until_s(double at) { sleep_s(at - now_s()); }
inline bool with_trouble() {
  const char* set = std::getenv("TROUBLE");
  return set == nullptr || std::string(set) != "0";
}

// ---- record ----------------------------------------------------------------------------------------

class Record {
 public:
  void open(const std::string& path) { out_ = std::fopen(path.c_str(), "w"); }
  __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
    char text[2000];
    va_list list;
    va_start(list, format);
    std::vsnprintf(text, sizeof text, format, list);
    va_end(list);
    const std::lock_guard guard(mutex_);
    if (out_ == nullptr) return;
    std::fprintf(out_, "%9.3f  %s\n", now_s(), text);
    std::fflush(out_);
  }

 private:
  std::mutex mutex_;
  std::FILE* out_ = nullptr;
};
inline Record& record() {
  static Record one;
  return one;
}

// ---- sockets ---------------------------------------------------------------------------------------

inline sockaddr_in address_of(const std::string& ip, int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
  return a;
}
inline int listen_at(const std::string& ip, int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto a = address_of(ip, port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0 || ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}
inline int connect_to(const std::string& ip, int port, double limit_s) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const auto a = address_of(ip, port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0 && errno != EINPROGRESS) {
    ::close(fd);
    return -1;
  }
  pollfd p{fd, POLLOUT, 0};
  int error = 0;
  socklen_t size = sizeof error;
  if (::poll(&p, 1, static_cast<int>(limit_s * 1000)) <= 0 ||
      ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}
// Sends all of it; false on an error or after the limit.
inline bool send_all(int fd, const std::string& bytes, double until_s) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n > 0) {
      sent += static_cast<std::size_t>(n);
      continue;
    }
    if (n < 0 && errno != EAGAIN && errno != EINTR) return false;
    const double left = until_s - now_s();
    if (left <= 0) return false;
    pollfd p{fd, POLLOUT, 0};
    ::poll(&p, 1, static_cast<int>(left * 1000) + 1);
  }
  return true;
}

// ---- HTTP/1.1, as far as the stand-ins need it -----------------------------------------------------

struct Message {
  std::string start, head, body;  // first line; all of the head; body
  std::string field(const std::string& name) const {
    std::size_t at = head.find("\r\n");
    while (at != std::string::npos && at + 2 < head.size()) {
      const auto end = head.find("\r\n", at + 2);
      const auto line = head.substr(at + 2, end == std::string::npos ? end : end - at - 2);
      const auto colon = line.find(':');
      if (colon == name.size() && ::strncasecmp(line.c_str(), name.c_str(), colon) == 0) {
        const auto from = line.find_first_not_of(' ', colon + 1);
        return from == std::string::npos ? "" : line.substr(from);
      }
      at = end;
    }
    return "";
  }
  int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
};
enum class Read { whole, closed, late };
// Reads one message with a Content-Length (none: no body). `input` keeps what follows it.
inline Read read_message(int fd, std::string& input, Message& m, double until_s) {
  char chunk[65536];
  while (true) {
    const auto end = input.find("\r\n\r\n");
    if (end != std::string::npos) {
      m.head = input.substr(0, end + 2);
      m.start = m.head.substr(0, m.head.find("\r\n"));
      const auto length = std::strtoull(m.field("Content-Length").c_str(), nullptr, 10);
      if (input.size() >= end + 4 + length) {
        m.body = input.substr(end + 4, length);
        input.erase(0, end + 4 + length);
        return Read::whole;
      }
    }
    const double left = until_s - now_s();
    if (left <= 0) return Read::late;
    pollfd p{fd, POLLIN, 0};
    if (::poll(&p, 1, static_cast<int>(left * 1000) + 1) <= 0) continue;
    const auto n = ::recv(fd, chunk, sizeof chunk, MSG_DONTWAIT);
    if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) return Read::closed;
    if (n > 0) input.append(chunk, static_cast<std::size_t>(n));
  }
}

struct Answer {
  int status = 0;  // 0: none
  Read how = Read::late;
  Message message;
};
inline Answer call(const std::string& ip, int port, const std::string& request, double limit_s) {
  Answer a;
  const double until = now_s() + limit_s;
  const int fd = connect_to(ip, port, std::min(1.0, limit_s));
  if (fd < 0) {
    a.how = Read::closed;
    return a;
  }
  std::string input;
  if (send_all(fd, request, until)) a.how = read_message(fd, input, a.message, until);
  if (a.how == Read::whole) a.status = a.message.status();
  ::close(fd);
  return a;
}
inline std::string post(const std::string& path, const std::string& body) {
  return "POST " + path + " HTTP/1.1\r\nHost: ctl\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- the network: a relay that delays and cuts -----------------------------------------------------

// Forwards connections from one address to another. Each direction takes `delay_s`; a cut holds everything
// back, and connections are not made meanwhile.
class Relay {
 public:
  Relay(const std::string& ip, int port, std::string to_ip, int to_port, double delay_s)
      : to_ip_(std::move(to_ip)), to_port_(to_port), delay_s_(delay_s) {
    listener_ = listen_at(ip, port);
    if (listener_ < 0) {
      std::fprintf(stderr, "the relay at %s:%d can't listen\n", ip.c_str(), port);
      std::exit(2);
    }
    std::thread([this] { accept_all(); }).detach();
  }
  void cut(bool on) { cut_ = on; }

 private:
  struct Piece {
    double due;
    std::string bytes;
  };
  void accept_all() {
    while (true) {
      const int from = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (from < 0) continue;
      std::thread([this, from] { carry(from); }).detach();
    }
  }
  void carry(int from) {
    while (cut_) sleep_s(0.01);
    sleep_s(delay_s_);
    const int to = connect_to(to_ip_, to_port_, 1);
    if (to < 0) {
      ::close(from);
      return;
    }
    const int on = 1;
    ::setsockopt(from, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const int ends[2] = {from, to};
    std::deque<Piece> queues[2];
    bool ended[2] = {false, false};
    std::vector<char> chunk(1 << 16);
    while (true) {
      if (cut_) {
        sleep_s(0.005);
        continue;
      }
      pollfd p[2] = {{from, static_cast<short>(ended[0] ? 0 : POLLIN), 0},
                     {to, static_cast<short>(ended[1] ? 0 : POLLIN), 0}};
      ::poll(p, 2, 1);
      for (int i = 0; i < 2; ++i) {
        if (ended[i] || (p[i].revents & (POLLIN | POLLHUP | POLLERR)) == 0) continue;
        const auto n = ::recv(ends[i], chunk.data(), chunk.size(), MSG_DONTWAIT);
        if (n > 0) queues[i].push_back({now_s() + delay_s_, std::string(chunk.data(), static_cast<std::size_t>(n))});
        if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) {
          ended[i] = true;
          queues[i].push_back({now_s() + delay_s_, ""});
        }
      }
      for (int i = 0; i < 2; ++i)
        while (!cut_ && !queues[i].empty() && queues[i].front().due <= now_s()) {
          const auto piece = std::move(queues[i].front());
          queues[i].pop_front();
          if (piece.bytes.empty() || !send_all(ends[1 - i], piece.bytes, now_s() + 20)) {
            ::close(from);
            ::close(to);
            return;
          }
        }
    }
  }
  std::string to_ip_;
  int to_port_, listener_ = -1;
  double delay_s_;
  std::atomic<bool> cut_{false};
};

// ---- the platform: machines and processes ----------------------------------------------------------

struct Machine {
  std::string name, ip, zone, region;
  bool core = false;
  int first_port = 0;
  std::vector<std::string> programs;
  std::vector<pid_t> processes;
};

class Fleet {
 public:
  // `bounds`: further lines of the settings file, the same for all processes.
  Fleet(std::map<std::string, std::string> zones, std::string bounds)
      : zones_(std::move(zones)), bounds_(std::move(bounds)) {
    char name[] = "/tmp/docklift-review-XXXXXX";
    if (::mkdtemp(name) == nullptr) std::exit(2);
    folder_ = name;
    // A stop from outside ends all processes too.
    ::signal(SIGPIPE, SIG_IGN);
    sigset_t stops;
    ::sigemptyset(&stops);
    for (const int number : {SIGTERM, SIGINT}) ::sigaddset(&stops, number);
    ::pthread_sigmask(SIG_BLOCK, &stops, nullptr);
    std::thread([this, stops] {
      int number = 0;
      ::sigwait(&stops, &number);
      finish(2);
    }).detach();
    octet_ = static_cast<int>(::getpid() % 200 + 20);
    base_port_ = 20000 + static_cast<int>(::getpid() % 120) * 100;
  }
  ~Fleet() { end_all(); }
  std::string ip(int n) const { return "127.83." + std::to_string(octet_) + "." + std::to_string(n); }
  int base_port() const { return base_port_; }
  int ctl_port() const { return base_port_ + 90; }
  int dir_port() const { return base_port_ + 91; }
  int http_port() const { return base_port_ + 92; }
  int readyz_port() const { return base_port_ + 93; }
  std::string ctl(int n) const { return ip(n) + ":" + std::to_string(ctl_port()); }

  Machine& add(int n, const std::string& zone, bool core, int first_port) {
    auto& m = machines_[n];
    m.name = "m" + std::to_string(n), m.ip = ip(n), m.zone = zone, m.region = zones_.at(zone), m.core = core;
    m.first_port = first_port;
    m.programs = core ? std::vector<std::string>{"target/docklift-store", "target/docklift-registry"}
                      : std::vector<std::string>{"target/docklift-proxy"};
    return m;
  }
  // The core machines that settings files name from now on; all of them if empty.
  std::vector<int> seeds;
  std::string write_settings(int n, bool bootstrap) {
    auto& m = machines_.at(n);
    const auto directory = folder_ + "/" + m.name;
    std::filesystem::create_directories(directory + "/data");
    const auto path = directory + "/settings.conf";
    std::ofstream out(path);
    out << "hostname=" << m.name << "\nbind_ip=" << m.ip << "\naz=" << m.zone << "\nrgn=" << m.region << "\n";
    for (const auto& [zone, region] : zones_) out << "azs." << zone << "=" << region << "\n";
    out << "port_range=" << m.first_port << "," << m.first_port + 15 << "\nseeds=";
    bool first = true;
    for (const auto& [k, other] : machines_) {
      if (!other.core || (!seeds.empty() && std::ranges::find(seeds, k) == seeds.end())) continue;
      out << (first ? "" : ",") << ctl(k);
      first = false;
    }
    out << "\nbootstrap=" << (bootstrap ? "true" : "false") << "\nvoting=" << (m.core ? "true" : "false")
        << "\nhb_ms=1500\ntolerance.nodes=1\ntolerance.azs=1\ntolerance.rgns=0\n"
        << bounds_;
    if (m.core) {
      out << "limits.mem_mb=256\nlimits.nofile=4096\nlimits.disk_mb=256\ndatadir=" << directory << "/data\nlisten.ctl="
          << ctl(n) << "\nlisten.dir=" << m.ip << ":" << dir_port() << "\n";
    } else {
      out << "limits.mem_mb=260\nlimits.nofile=4100\nlisten.http=" << m.ip << ":" << http_port()
          << "\nlisten.readyz=" << m.ip << ":" << readyz_port() << "\n";
    }
    return path;
  }
  // The machine's disk is lost: what comes back is empty.
  void lose_disk(int n) {
    std::error_code ignored;
    std::filesystem::remove_all(folder_ + "/" + machines_.at(n).name + "/data", ignored);
  }
  void start(int n, bool bootstrap) {
    auto& m = machines_.at(n);
    const auto directory = folder_ + "/" + m.name;
    const auto path = write_settings(n, bootstrap);
    for (const auto& program : m.programs) {
      if (!std::filesystem::exists(program)) {
        std::fprintf(stderr, "%s is missing: the build of the deploy file comes first\n", program.c_str());
        end_all();
        std::exit(2);
      }
      std::vector<std::string> variables{"DOCKLIFT_SETTINGS=" + path};
      for (char** e = environ; *e != nullptr; ++e) variables.emplace_back(*e);
      std::vector<char*> envp;
      for (auto& v : variables) envp.push_back(v.data());
      envp.push_back(nullptr);
      std::string command = program;
      char* argv[] = {command.data(), nullptr};
      posix_spawn_file_actions_t actions;
      ::posix_spawn_file_actions_init(&actions);
      ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, (directory + "/log").c_str(),
                                         O_CREAT | O_WRONLY | O_APPEND, 0600);
      ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
      posix_spawnattr_t attributes;
      sigset_t none;
      ::sigemptyset(&none);
      ::posix_spawnattr_init(&attributes);
      ::posix_spawnattr_setsigmask(&attributes, &none);
      ::posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
      pid_t pid = 0;
      if (::posix_spawn(&pid, program.c_str(), &actions, &attributes, argv, envp.data()) != 0) {
        end_all();
        std::exit(2);
      }
      ::posix_spawn_file_actions_destroy(&actions);
      m.processes.push_back(pid);
    }
  }
  void signal(int n, int number) {
    for (const auto pid : machines_.at(n).processes) ::kill(pid, number);
  }
  // Kills the machine's processes; its files stay.
  void kill(int n) {
    signal(n, SIGKILL);
    for (const auto pid : std::exchange(machines_.at(n).processes, {})) ::waitpid(pid, nullptr, 0);
  }
  // True if one of the machine's processes has ended without having been told to.
  bool any_ended(int n) {
    bool ended = false;
    for (const auto pid : machines_.at(n).processes)
      if (::waitpid(pid, nullptr, WNOHANG) == pid) ended = true;
    return ended;
  }
  Machine& machine(int n) { return machines_.at(n); }
  std::string log(int n) const {
    std::ifstream in(folder_ + "/m" + std::to_string(n) + "/log");
    return {std::istreambuf_iterator<char>(in), {}};
  }
  void end_all() {
    if (folder_.empty()) return;
    for (auto& [n, m] : machines_) {
      for (const auto pid : m.processes) ::kill(pid, SIGCONT), ::kill(pid, SIGKILL);
      for (const auto pid : std::exchange(m.processes, {})) ::waitpid(pid, nullptr, 0);
    }
    std::error_code ignored;
    std::filesystem::remove_all(std::exchange(folder_, ""), ignored);
  }

  // Ends all processes of the fleet, and this one.
  [[noreturn]] void finish(int code) {
    end_all();
    std::fflush(nullptr);
    std::_Exit(code);
  }

  // ---- the operator: the same order again, to the next core machine, until there is a clear answer.
  Answer order(const std::string& path, const std::string& body, double limit_s) {
    const double until = now_s() + limit_s;
    Answer a;
    std::vector<int> cores;
    for (const auto& [n, m] : machines_)
      if (m.core) cores.push_back(n);
    for (std::size_t i = 0; now_s() < until; ++i) {
      const int n = cores[i % cores.size()];
      a = call(ip(n), ctl_port(), post(path, body), 1);
      if (a.status >= 200 && a.status < 500 && a.status != 408 && a.status != 429) return a;
      sleep_s(0.1);
    }
    return a;
  }

 private:
  std::map<std::string, std::string> zones_;
  std::string bounds_, folder_;
  int octet_ = 0, base_port_ = 0;
  std::map<int, Machine> machines_;
};

// ---- a server of a service ---------------------------------------------------------------------------

struct ServerOptions {
  std::string id, service, zone, ip;
  int port = 0;
  int cap = 6;
  double work_s = 0.02;
};

// Sound: works on `cap` requests at once, answers 503 with Not-Run beyond that, 421 to a request for another
// instance, echoes Attempt-Id and stamps its answers.
class Server {
 public:
  Server(ServerOptions options, std::vector<std::pair<std::string, int>> registries)
      : o_(std::move(options)), registries_(std::move(registries)) {
    listener_ = listen_at(o_.ip, o_.port);
    if (listener_ < 0) {
      std::fprintf(stderr, "the server at %s:%d can't listen\n", o_.ip.c_str(), o_.port);
      std::exit(2);
    }
    std::thread([this] { accept_all(); }).detach();
    std::thread([this] { beat_on(); }).detach();
  }
  // Called for each request that the server begins to work on.
  std::function<void(const Message&)> on_run = [](const Message&) {};
  // Called after each whole answer of a run: bytes that the server sends besides, so many seconds later, as a
  // server in trouble does. They belong to no request. Empty: none.
  std::function<std::pair<double, std::string>(const Message&)> surplus = [](const Message&) {
    return std::pair<double, std::string>{};
  };
  const ServerOptions& options() const { return o_; }
  void stop_beats() { beats_ = false; }

 private:
  void accept_all() {
    while (true) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) std::thread([this, fd] { serve(fd); }).detach();
    }
  }
  // Closed when the last who may still write to it has ended.
  struct Socket {
    explicit Socket(int number) : fd(number) {}
    ~Socket() { ::close(fd); }
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;
    int fd;
    std::mutex writing;
  };
  void serve(int fd) {
    const auto socket = std::make_shared<Socket>(fd);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::string input;
    Message m;
    while (read_message(fd, input, m, now_s() + 60) == Read::whole) {
      const auto answer = [&](const std::string& status, const std::string& fields, const std::string& body) {
        const std::lock_guard guard(socket->writing);
        return send_all(fd,
                        "HTTP/1.1 " + status + "\r\nAttempt-Id: " + m.field("Attempt-Id") + "\r\n" + fields +
                            "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
                        now_s() + 10);
      };
      if (m.start.find(" /healthz ") != std::string::npos) {
        if (!answer("200 OK", "Instance: " + o_.id + "\r\n", "")) break;
        continue;
      }
      if (!m.field("Want-Instance").empty() && m.field("Want-Instance") != o_.id) {
        if (!answer("421 Misdirected Request", "Not-Run: 1\r\n", "")) break;
        continue;
      }
      if (++working_ > o_.cap) {
        --working_;
        if (!answer("503 Service Unavailable", "Not-Run: 1\r\n", "")) break;
        continue;
      }
      on_run(m);
      sleep_s(o_.work_s);
      --working_;
      if (!answer("200 OK", "Seal: " + o_.id + "\r\n", "done")) break;
      auto more = surplus(m);
      if (more.second.empty()) continue;
      std::thread([socket, more = std::move(more)] {
        sleep_s(more.first);
        const std::lock_guard guard(socket->writing);
        send_all(socket->fd, more.second, now_s() + 1);
      }).detach();
    }
    ::shutdown(fd, SHUT_RDWR);
  }
  void beat_on() {
    std::size_t next = 0;
    for (std::uint64_t calls = 1; beats_; ++calls) {
      const auto body = "{\"svc\":\"" + o_.service + "\",\"addr\":\"" + o_.ip + ":" + std::to_string(o_.port) +
                        "\",\"az\":\"" + o_.zone + "\",\"gen\":\"v1\",\"cap\":" + std::to_string(o_.cap) +
                        ",\"phase\":\"ready\",\"warm_left_ms\":0,\"calls\":" + std::to_string(calls) + "}";
      bool taken = false;
      for (std::size_t i = 0; i < registries_.size() && !taken; ++i) {
        const auto& [ip, port] = registries_[next % registries_.size()];
        const int status = call(ip, port, post("/Instances.Heartbeat/" + o_.id, body), 1).status;
        taken = status >= 200 && status < 300;
        if (!taken) ++next;
      }
      sleep_s(taken ? 1.5 : 0.2);
    }
  }
  ServerOptions o_;
  std::vector<std::pair<std::string, int>> registries_;
  int listener_ = -1;
  std::atomic<int> working_{0};
  std::atomic<bool> beats_{true};
};

}  // namespace review
