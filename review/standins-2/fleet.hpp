// What the cases of the second review share: a small fleet of the project's programs as processes on loopback addresses,
// and stand-ins for servers, clients and the operator. Plain POSIX and threads; no library of the project is used.
#pragma once

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

inline Clock::time_point began() {
  static const auto at = Clock::now();
  return at;
}
inline long ms_since(Clock::time_point from) {
  return static_cast<long>(std::chrono::duration_cast<Millis>(Clock::now() - from).count());
}
inline void pause_ms(long ms) { std::this_thread::sleep_for(Millis(ms)); }

// What was sent, answered and run, line by line, with the time since the start in ms.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  void line(const std::string& text) {
    const std::lock_guard guard(mutex_);
    char at[24];
    std::snprintf(at, sizeof at, "%7ld ms  ", ms_since(began()));
    out_ << at << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

constexpr int kBroken = 1, kHeld = 0, kCouldNotRun = 2;
struct CouldNotRun {
  std::string why;
};

inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// ---- sockets

inline sockaddr_in address_of(const std::string& ip, int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
  return at;
}

// A blocking connection with time limits; closed with the object.
class Connection {
 public:
  Connection() = default;
  explicit Connection(int fd) : fd_(fd) {}
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  Connection(Connection&& other) noexcept : fd_(std::exchange(other.fd_, -1)), input(std::move(other.input)) {}
  ~Connection() { close(); }

  bool connect(const std::string& ip, int port, long limit_ms, int receive_buffer = 0) {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0) ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const int flags = ::fcntl(fd_, F_GETFL);
    ::fcntl(fd_, F_SETFL, flags | O_NONBLOCK);
    const auto to = address_of(ip, port);
    if (::connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) return true;
    if (errno != EINPROGRESS || !ready(POLLOUT, limit_ms)) return close(), false;
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return close(), false;
    return true;
  }
  bool ready(short events, long limit_ms) const {
    pollfd state{fd_, events, 0};
    return ::poll(&state, 1, static_cast<int>(std::max(0L, limit_ms))) > 0;
  }
  bool send(const std::string& bytes, long limit_ms) {
    const auto from = Clock::now();
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const auto n = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n > 0) {
        sent += static_cast<std::size_t>(n);
      } else if (errno != EAGAIN || !ready(POLLOUT, limit_ms - ms_since(from))) {
        return false;
      }
    }
    return true;
  }
  // Reads what has come, at least a byte; false at the end of the stream, on an error or after the limit.
  bool read_some(long limit_ms) {
    if (!ready(POLLIN, limit_ms)) return false;
    char buffer[65536];
    const auto n = ::recv(fd_, buffer, sizeof buffer, 0);
    if (n <= 0) return false;
    input.append(buffer, static_cast<std::size_t>(n));
    return true;
  }
  bool open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }

 private:
  int fd_ = -1;

 public:
  std::string input;  // read and not used yet
};

// ---- HTTP

struct Message {
  std::string start, head, body;  // start line; whole head
  int status = 0;                 // of an answer; 0: none came
  std::string field(const std::string& name) const {
    std::size_t at = 0;
    while ((at = head.find("\r\n", at)) != std::string::npos) {
      at += 2;
      const auto colon = head.find(':', at), end = head.find("\r\n", at);
      if (colon == std::string::npos || end == std::string::npos || colon > end) continue;
      if (colon - at == name.size() && ::strncasecmp(head.c_str() + at, name.c_str(), name.size()) == 0) {
        auto from = colon + 1;
        while (from < end && head[from] == ' ') ++from;
        return head.substr(from, end - from);
      }
    }
    return {};
  }
};

// Reads one message with a length; interim answers (1xx) are passed over and counted in `interim`.
inline bool read_message(Connection& from, Message& message, long limit_ms, int* interim = nullptr) {
  const auto began_at = Clock::now();
  while (true) {
    std::size_t end;
    while ((end = from.input.find("\r\n\r\n")) == std::string::npos)
      if (!from.read_some(limit_ms - ms_since(began_at))) return false;
    message = {};
    message.head = from.input.substr(0, end + 2);
    message.start = message.head.substr(0, message.head.find("\r\n"));
    from.input.erase(0, end + 4);
    if (message.start.rfind("HTTP/1.1 ", 0) == 0) message.status = std::atoi(message.start.c_str() + 9);
    if (message.status >= 100 && message.status < 200) {
      if (interim != nullptr) ++*interim;
      continue;
    }
    const auto length = static_cast<std::size_t>(std::atol(message.field("Content-Length").c_str()));
    while (from.input.size() < length)
      if (!from.read_some(limit_ms - ms_since(began_at))) return false;
    message.body = from.input.substr(0, length);
    from.input.erase(0, length);
    return true;
  }
}

// One call on a connection of its own; status 0: no whole answer in time.
inline Message call(const std::string& ip, int port, const std::string& head, const std::string& body,
                    long limit_ms) {
  const auto from = Clock::now();
  Connection to;
  Message answer;
  if (!to.connect(ip, port, limit_ms)) return answer;
  const auto length = body.empty() && head.rfind("POST", 0) != 0
                          ? std::string()
                          : "Content-Length: " + std::to_string(body.size()) + "\r\n";
  if (!to.send(head + length + "\r\n" + body, limit_ms - ms_since(from))) return answer;
  if (!read_message(to, answer, limit_ms - ms_since(from))) answer = {};
  return answer;
}

// ---- the fleet

// What the settings of a small deployment say.
struct Site {
  std::string region, zone, other_zone;  // of the core; two machines of three stand in `zone`
  std::string bounds;
};
inline Site kawa_docklift() {
  return {"nairobi", "nbo-t1a", "nbo-t2",
          "bounds.contact_ms=5000\nbounds.ack_ms=8000\nbounds.drain_ms=2500\nbounds.apply_ms=2500\n"
          "bounds.skew_ms=10000\nbounds.strict_revoke=true\nbounds.retry_extra=56\n"};
}
inline Site tabla_main() {
  return {"hu-east", "deb-a", "deb-b",
          "bounds.contact_ms=5000\nbounds.ack_ms=6000\nbounds.drain_ms=3000\nbounds.apply_ms=3000\n"
          "bounds.skew_ms=10000\nbounds.strict_revoke=false\nbounds.retry_extra=62\n"};
}

class Fleet {
 public:
  // Core machines 1 and 2 in one zone and 3 in another one; proxies from 4 on, in these zones by turns.
  explicit Fleet(Record& record, Site site) : record_(record), site_(std::move(site)) {
    const char* programs = std::getenv("PROGRAMS");
    programs_ = programs != nullptr ? programs : "target";
    if (!std::filesystem::exists(programs_ + "/docklift-proxy")) throw CouldNotRun{"the programs aren't built"};
    char name[] = "/tmp/docklift-review-XXXXXX";
    if (::mkdtemp(name) == nullptr) throw CouldNotRun{"no temporary folder"};
    folder_ = name;
    std::random_device random;
    network_ = "127." + std::to_string(64 + random() % 128) + "." + std::to_string(1 + random() % 250) + ".";
    first_port_ = 20000 + static_cast<int>(random() % 10000);
  }
  ~Fleet() {
    for (const auto& [name, pid] : processes_) ::kill(pid, SIGCONT), ::kill(pid, SIGKILL);
    for (const auto& [name, pid] : processes_) ::waitpid(pid, nullptr, 0);
    if (std::getenv("KEEP") == nullptr) {
      std::error_code ignored;
      std::filesystem::remove_all(folder_, ignored);
    }
  }
  Fleet(const Fleet&) = delete;

  std::string ip(int machine) const { return network_ + std::to_string(machine); }
  int ctl_port() const { return first_port_ + 101; }
  int dir_port() const { return first_port_ + 102; }
  int http_port() const { return first_port_ + 103; }
  int server_port() const { return first_port_ + 104; }
  int ready_port() const { return first_port_ + 105; }

  void start(int machine, const std::string& program, bool first = true, const std::string& more = "") {
    const std::string zone = machine == 3 || (machine > 3 && machine % 2 == 1) ? site_.other_zone : site_.zone;
    const bool core = machine <= 3;
    const auto folder = folder_ + "/" + std::to_string(machine);
    std::filesystem::create_directories(folder + "/data");
    const auto settings = folder + "/settings.conf";
    {
      std::ofstream out(settings);
      out << "hostname=m" << machine << "\nrole=" << (core ? "core" : "proxy") << "\nmclass="
          << (core ? "core" : "edge") << "\nbind_ip=" << ip(machine) << "\naz=" << zone
          << "\nrgn=" << site_.region << "\nazs." << site_.zone << "=" << site_.region << "\nazs." << site_.other_zone
          << "=" << site_.region << "\nport_range=" << first_port_ << ","
          << first_port_ + 15 << "\nseeds=";
      for (int seed = 1; seed <= 3; ++seed) out << (seed > 1 ? "," : "") << ip(seed) << ":" << ctl_port();
      out << "\nbootstrap=" << (first ? "true" : "false") << "\nvoting=" << (core ? "true" : "false")
          << "\nlimits.cpu=" << (core ? "0.6" : "0.2") << "\nlimits.ncpu=1\nlimits.mem_mb=" << (core ? 256 : 260)
          << "\nlimits.nofile=4096\nlimits.nic_mbps=1000.0\ndiscover=registry\ningress=dir\nhb_ms=1500\n"
             "invariants=base,drain,config,cost,retry,recover,places,tenants,quota\ntolerance.nodes=1\n"
             "tolerance.azs=1\ntolerance.rgns=0\nbounds.seed_lag_s=3\nbounds.reuse_s=2\nbounds.sync_s=4\n"
             "bounds.grace_s=6\nbounds.lost_slack_ms=200\nbounds.downgrade_ms=250\nbounds.revoke_ms=5000\n"
             "bounds.retry_ratio=0.2\nbounds.retry_win_s=10\nbounds.quota_win_s=5\nbounds.quota_excess=0.1\n"
             "bounds.quota_slack=20\nbounds.cold_excess=1.5\nbounds.cold_slack=5\nbounds.evac_ms=5000\n"
             "bounds.recover_s=15\n"
             "bounds.ttl_max_s=5\n"
          << site_.bounds;
      if (core) {
        out << "datadir=" << folder << "/data\nlisten.ctl=" << ip(machine) << ":" << ctl_port()
            << "\nlisten.dir=" << ip(machine) << ":" << dir_port() << "\n";
      } else {
        out << "listen.http=" << ip(machine) << ":" << http_port() << "\nlisten.readyz=" << ip(machine) << ":"
            << ready_port() << "\n";
      }
      out << more;
    }
    const auto log = folder + "/" + program + ".log";
    const auto path = programs_ + "/docklift-" + program;
    const auto pid = ::fork();
    if (pid < 0) throw CouldNotRun{"no process"};
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with this process, however that ends
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1), ::dup2(out, 2);
      ::setenv("DOCKLIFT_SETTINGS", settings.c_str(), 1);
      ::execl(path.c_str(), path.c_str(), static_cast<char*>(nullptr));
      ::_exit(127);
    }
    processes_[name_of(machine, program)] = pid;
    record_.line("starts " + name_of(machine, program) + " on " + ip(machine));
  }
  void signal(int machine, const std::string& program, int number) {
    record_.line("signal " + std::to_string(number) + " to " + name_of(machine, program));
    ::kill(processes_.at(name_of(machine, program)), number);
  }
  void kill(int machine, const std::string& program) {
    signal(machine, program, SIGKILL);
    const auto process = processes_.extract(name_of(machine, program));
    ::waitpid(process.mapped(), nullptr, 0);
  }
  // Whether it has ended by itself.
  bool has_ended(int machine, const std::string& program) {
    return ::waitpid(processes_.at(name_of(machine, program)), nullptr, WNOHANG) != 0;
  }
  pid_t pid(int machine, const std::string& program) const { return processes_.at(name_of(machine, program)); }
  void start_all(const std::vector<int>& proxies) {
    for (int machine = 1; machine <= 3; ++machine) start(machine, "store"), start(machine, "registry");
    for (const int machine : proxies) start(machine, "proxy");
  }
  std::string log(int machine, const std::string& program) const {
    std::ifstream in(folder_ + "/" + std::to_string(machine) + "/" + program + ".log");
    return {std::istreambuf_iterator<char>(in), {}};
  }
  const std::string& folder() const { return folder_; }

  // The operator: one call to a machine with a limit of one second.
  Message order(int machine, const std::string& method, const std::string& path, const std::string& body,
                long limit_ms = 1000) {
    const auto from = Clock::now();
    auto answer = call(ip(machine), ctl_port(),
                       method + " " + path + " HTTP/1.1\r\nHost: ctl\r\nContent-Type: application/json\r\n", body,
                       limit_ms);
    record_.line("operator: " + method + " " + path + " at m" + std::to_string(machine) + ": " +
                 (answer.status == 0 ? "no answer" : std::to_string(answer.status)) + " after " +
                 std::to_string(ms_since(from)) + " ms");
    return answer;
  }
  // The same order to the next machine until there is a clear answer; 0: none in time.
  int order_until_clear(const std::vector<int>& machines, const std::string& path, const std::string& body,
                        long limit_ms) {
    const auto from = Clock::now();
    for (std::size_t i = 0; ms_since(from) < limit_ms; ++i) {
      const int status = order(machines[i % machines.size()], "POST", path, body).status;
      if (status >= 200 && status < 500 && status != 408 && status != 429) return status;
      pause_ms(100 + 50 * static_cast<long>(std::min<std::size_t>(i, 8)));
    }
    return 0;
  }

 private:
  static std::string name_of(int machine, const std::string& program) {
    return "m" + std::to_string(machine) + "/" + program;
  }
  Record& record_;
  Site site_;
  std::string folder_, network_, programs_;
  int first_port_ = 0;
  std::map<std::string, pid_t> processes_;
};

// ---- a server of a service

// A sound server: it works on each request as `work` says, echoes Attempt-Id and seals its answers. It reports
// to the core every 1.5 s. Threads: one for each connection.
class Server {
 public:
  struct Options {
    std::string id, service, zone;
    int cap = 6;
    long work_ms = 60;
  };
  using Body = std::function<std::string(const Message& request)>;
  Server(Fleet& fleet, Record& record, int machine, Options options, Body body)
      : fleet_(fleet), record_(record), ip_(fleet.ip(machine)), options_(std::move(options)), body_(std::move(body)) {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto at = address_of(ip_, fleet.server_port());
    if (::bind(listener_, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || ::listen(listener_, 256) != 0)
      throw CouldNotRun{"can't listen on " + ip_};
    threads_.emplace_back([this] { accept(); });
    threads_.emplace_back([this] { beat(); });
  }
  ~Server() {
    stopping_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    for (auto& thread : threads_) thread.join();
    ::close(listener_);
    while (connections_ > 0) pause_ms(5);
  }
  std::vector<std::string> ran() {
    const std::lock_guard guard(mutex_);
    return ran_;
  }

 private:
  void accept() {
    while (!stopping_) {
      pollfd state{listener_, POLLIN, 0};
      if (::poll(&state, 1, 50) <= 0) continue;
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      ++connections_;
      std::thread([this, fd] {
        serve(Connection(fd));
        --connections_;
      }).detach();
    }
  }
  void serve(Connection connection) {
    while (!stopping_) {
      if (connection.input.empty() && !connection.ready(POLLIN, 50)) continue;
      Message request;
      if (!read_message(connection, request, 5000)) return;
      const auto id = request.field("Attempt-Id"), wanted = request.field("Want-Instance");
      std::string answer;
      if (!wanted.empty() && wanted != options_.id) {
        answer = "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
      } else {
        {
          const std::lock_guard guard(mutex_);
          ran_.push_back(id);
        }
        record_.line("server " + options_.id + " runs " + id + ": " + request.start);
        pause_ms(options_.work_ms);
        const auto body = body_(request);
        answer = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nSeal: s." + id +
                 "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
      }
      if (!connection.send(answer, 10000)) return;
    }
  }
  void beat() {
    for (int calls = 1; !stopping_; ++calls) {
      const auto body = "{\"svc\":\"" + options_.service + "\",\"addr\":\"" + ip_ + ":" +
                        std::to_string(fleet_.server_port()) + "\",\"az\":\"" + options_.zone +
                        "\",\"gen\":\"v1\",\"cap\":" + std::to_string(options_.cap) +
                        ",\"phase\":\"ready\",\"warm_left_ms\":0,\"calls\":" + std::to_string(calls) + "}";
      for (int machine = 1; machine <= 3 && !stopping_; ++machine) {
        const int at = 1 + (machine + calls) % 3;
        const auto answer = call(fleet_.ip(at), fleet_.ctl_port(),
                                 "POST /Instances.Heartbeat/" + options_.id + " HTTP/1.1\r\nHost: ctl\r\n", body, 1000);
        if (answer.status >= 200 && answer.status < 300) break;
        pause_ms(50);
      }
      for (int i = 0; i < 30 && !stopping_; ++i) pause_ms(50);
    }
  }

  Fleet& fleet_;
  Record& record_;
  std::string ip_;
  Options options_;
  Body body_;
  int listener_ = -1;
  std::atomic<bool> stopping_{false};
  std::atomic<int> connections_{0};
  std::mutex mutex_;
  std::vector<std::string> ran_;
  std::vector<std::thread> threads_;
};

// Runs a case and turns what it returns into the exit code.
inline int run_case(int argc, char** argv, const std::function<bool(Record&)>& broken) {
  began();
  std::signal(SIGPIPE, SIG_IGN);
  Record record(argc > 1 ? argv[1] : "record.txt");
  try {
    record.line(std::string("trouble: ") + (trouble() ? "yes" : "no"));
    const bool is_broken = broken(record);
    record.line(is_broken ? "RESULT: the rule was broken" : "RESULT: the rule held");
    return is_broken ? kBroken : kHeld;
  } catch (const CouldNotRun& failed) {
    record.line("RESULT: the case could not run: " + failed.why);
    return kCouldNotRun;
  }
}

}  // namespace review
