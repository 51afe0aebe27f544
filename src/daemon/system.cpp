#include "daemon/system.hpp"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/file.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <system_error>

extern "C" char** environ;

namespace docklift {
namespace {

[[noreturn]] void failed(const std::string& what, int code = errno) {
  throw std::system_error(code, std::system_category(), what);
}

constexpr std::size_t kMostListeners = 64;
constexpr std::size_t kMostMessage = 8192;

}  // namespace

void Descriptor::reset(int fd) {
  if (fd_ >= 0) ::close(fd_);
  fd_ = fd;
}

// ---- The pid file ---------------------------------------------------------------------------------------

PidFile PidFile::acquire(const std::string& path) {
  // A holder that ends takes the name away: one that locked the file just before holds nothing, and tries again.
  constexpr int kTries = 10;
  for (int i = 0; i < kTries; ++i) {
    Descriptor file(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, 0644));
    if (!file.valid()) failed("pid file " + path);
    if (::flock(file.get(), LOCK_EX | LOCK_NB) != 0) {
      if (errno == EWOULDBLOCK) throw PidFileTaken("pid file " + path + " is held by another instance");
      failed("pid file " + path);
    }
    struct stat held {}, named {};
    if (::fstat(file.get(), &held) == 0 && ::stat(path.c_str(), &named) == 0 && held.st_ino == named.st_ino &&
        held.st_dev == named.st_dev)
      return {path, std::move(file)};
  }
  failed("pid file " + path, EAGAIN);
}

void PidFile::write(pid_t pid) {
  const auto text = std::to_string(pid) + "\n";
  // Written over first and cut after, so that a reader never finds it empty.
  if (::pwrite(file_.get(), text.data(), text.size(), 0) != static_cast<ssize_t>(text.size()) ||
      ::ftruncate(file_.get(), static_cast<off_t>(text.size())) != 0)
    failed("pid file " + path_);
}

void PidFile::remove() {
  struct stat held {}, named {};
  if (::fstat(file_.get(), &held) == 0 && ::stat(path_.c_str(), &named) == 0 && held.st_ino == named.st_ino)
    ::unlink(path_.c_str());
}

// ---- sd_notify ------------------------------------------------------------------------------------------

Notifier::Notifier(const char* address) : address_(address == nullptr ? "" : address) {
  if (address_.empty() || (address_[0] != '/' && address_[0] != '@') ||
      address_.size() >= sizeof(sockaddr_un::sun_path)) {
    address_.clear();
    return;
  }
  socket_.reset(::socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
}

void Notifier::send(std::string_view state) {
  if (address_.empty() || !socket_.valid()) return;
  sockaddr_un to{};
  to.sun_family = AF_UNIX;
  std::memcpy(to.sun_path, address_.data(), address_.size());
  if (address_[0] == '@') to.sun_path[0] = '\0';
  const auto length = static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + address_.size());
  (void)::sendto(socket_.get(), state.data(), state.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr*>(&to),
                 length);
}

// ---- Handing over ---------------------------------------------------------------------------------------

// "docklift-handover 1", then a line for each descriptor in order: "listen ADDRESS", "pid-file" or "copies".
void send_inheritance(int channel, const std::vector<std::pair<std::string, int>>& listeners,
                      std::optional<int> pid_file, std::optional<int> copies) {
  if (listeners.size() > kMostListeners) failed("too many listeners", E2BIG);
  std::string text = "docklift-handover 1\n";
  std::vector<int> all;
  for (const auto& [at, fd] : listeners) text += "listen " + at + "\n", all.push_back(fd);
  if (pid_file) text += "pid-file\n", all.push_back(*pid_file);
  if (copies) text += "copies\n", all.push_back(*copies);
  iovec data{text.data(), text.size()};
  std::vector<char> space(CMSG_SPACE(all.size() * sizeof(int)));
  msghdr message{};
  message.msg_iov = &data, message.msg_iovlen = 1;
  message.msg_control = space.data(), message.msg_controllen = space.size();
  auto* head = CMSG_FIRSTHDR(&message);
  head->cmsg_level = SOL_SOCKET, head->cmsg_type = SCM_RIGHTS;
  head->cmsg_len = CMSG_LEN(all.size() * sizeof(int));
  std::memcpy(CMSG_DATA(head), all.data(), all.size() * sizeof(int));
  if (::sendmsg(channel, &message, MSG_NOSIGNAL | MSG_DONTWAIT) != static_cast<ssize_t>(text.size()))
    failed("the listeners can't be handed over");
}

Inheritance receive_inheritance(int channel) {
  constexpr int kWaitMs = 1000;
  pollfd ready{channel, POLLIN, 0};
  if (::poll(&ready, 1, kWaitMs) != 1) throw std::runtime_error("no listeners came from the predecessor");
  std::array<char, kMostMessage> text{};
  alignas(cmsghdr) std::array<char, CMSG_SPACE((kMostListeners + 2) * sizeof(int))> space{};
  iovec data{text.data(), text.size()};
  msghdr message{};
  message.msg_iov = &data, message.msg_iovlen = 1;
  message.msg_control = space.data(), message.msg_controllen = space.size();
  const auto n = ::recvmsg(channel, &message, MSG_CMSG_CLOEXEC | MSG_DONTWAIT);
  std::vector<Descriptor> descriptors;
  if (n > 0)
    for (auto* h = CMSG_FIRSTHDR(&message); h != nullptr; h = CMSG_NXTHDR(&message, h)) {
      if (h->cmsg_level != SOL_SOCKET || h->cmsg_type != SCM_RIGHTS) continue;
      std::vector<int> all((h->cmsg_len - CMSG_LEN(0)) / sizeof(int));
      std::memcpy(all.data(), CMSG_DATA(h), all.size() * sizeof(int));
      for (const int fd : all) descriptors.emplace_back(fd);
    }
  std::string_view rest(text.data(), n > 0 ? static_cast<std::size_t>(n) : 0);
  const auto line = [&] {
    const auto l = rest.substr(0, rest.find('\n'));
    rest.remove_prefix(std::min(rest.size(), l.size() + 1));
    return l;
  };
  Inheritance all;
  if (line() != "docklift-handover 1" || (message.msg_flags & (MSG_CTRUNC | MSG_TRUNC)) != 0)
    throw std::runtime_error("what came from the predecessor can't be read");
  std::size_t used = 0;
  while (!rest.empty()) {
    const auto l = line();
    if (used == descriptors.size()) throw std::runtime_error("the predecessor gave too few descriptors");
    if (l.starts_with("listen "))
      all.listeners.emplace_back(l.substr(7), std::move(descriptors[used++]));
    else if (l == "pid-file")
      all.pid_file = std::move(descriptors[used++]);
    else if (l == "copies")
      all.copies = std::move(descriptors[used++]);
    else
      throw std::runtime_error("what came from the predecessor can't be read");
  }
  return all;
}

Descriptor file_of(std::string_view bytes) {
  Descriptor file(::memfd_create("docklift-copies", MFD_CLOEXEC));
  if (!file.valid()) failed("memfd_create");
  for (std::size_t at = 0; at < bytes.size();) {
    const auto n = ::pwrite(file.get(), bytes.data() + at, bytes.size() - at, static_cast<off_t>(at));
    if (n <= 0) failed("the copies can't be handed over");
    at += static_cast<std::size_t>(n);
  }
  return file;
}

std::string bytes_of(const Descriptor& file) {
  std::string all;
  std::array<char, 16 * 1024> space{};
  for (ssize_t n = 0; (n = ::pread(file.get(), space.data(), space.size(), static_cast<off_t>(all.size()))) > 0;)
    all.append(space.data(), static_cast<std::size_t>(n));
  return all;
}

pid_t start_successor(const std::string& binary, const std::vector<std::string>& arguments, int channel) {
  std::vector<std::string> variables;
  for (char** e = environ; *e != nullptr; ++e) {
    const std::string_view v(*e);
    if (!v.starts_with(std::string(kHandoverVariable) + "=") && !v.starts_with("WATCHDOG_PID=")) variables.emplace_back(v);
  }
  variables.push_back(std::string(kHandoverVariable) + "=" + std::to_string(kHandoverDescriptor));
  std::vector<std::string> words = arguments;
  const auto pointers = [](std::vector<std::string>& all) {
    std::vector<char*> p;
    for (auto& s : all) p.push_back(s.data());
    p.push_back(nullptr);
    return p;
  };
  struct Actions {
    posix_spawn_file_actions_t a{};
    posix_spawnattr_t attr{};
    Actions() { posix_spawn_file_actions_init(&a), posix_spawnattr_init(&attr); }
    ~Actions() { posix_spawn_file_actions_destroy(&a), posix_spawnattr_destroy(&attr); }
  } how;
  posix_spawn_file_actions_adddup2(&how.a, channel, kHandoverDescriptor);
  posix_spawn_file_actions_addclosefrom_np(&how.a, kHandoverDescriptor + 1);
  sigset_t blocked, usual;
  sigemptyset(&blocked), sigemptyset(&usual);
  for (const int s : {SIGHUP, SIGTERM, SIGINT, SIGUSR2}) sigaddset(&blocked, s), sigaddset(&usual, s);
  sigaddset(&usual, SIGCHLD), sigaddset(&usual, SIGPIPE);
  posix_spawnattr_setsigmask(&how.attr, &blocked);
  posix_spawnattr_setsigdefault(&how.attr, &usual);
  posix_spawnattr_setflags(&how.attr, POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF);
  pid_t pid = 0;
  const int code = ::posix_spawn(&pid, binary.c_str(), &how.a, &how.attr, pointers(words).data(),
                                 pointers(variables).data());
  if (code != 0) failed(binary, code);
  return pid;
}

std::string path_of_this_program() {
  std::array<char, 4096> path{};
  const auto n = ::readlink("/proc/self/exe", path.data(), path.size());
  return n > 0 ? std::string(path.data(), static_cast<std::size_t>(n)) : std::string();
}

}  // namespace docklift
