// Small pieces of the operating system that the daemon needs: a descriptor, the locked pid file, sd_notify, and the
// channel between a process and its successor. Each call does one thing and doesn't block.
#pragma once

#include <sys/types.h>

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace docklift {

class Descriptor {
 public:
  explicit Descriptor(int fd = -1) : fd_(fd) {}
  Descriptor(Descriptor&& o) noexcept : fd_(o.release()) {}
  Descriptor& operator=(Descriptor&& o) noexcept {
    if (this != &o) reset(o.release());
    return *this;
  }
  ~Descriptor() { reset(); }
  int get() const { return fd_; }
  bool valid() const { return fd_ >= 0; }
  int release() { return std::exchange(fd_, -1); }
  void reset(int fd = -1);

 private:
  int fd_;
};

struct PidFileTaken : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The lock says whether the owner lives; the number in the file is only for people and tools, so one left behind by a
// dead process never stands in the way, whoever has that number now. The lock belongs to the open file: passed to a
// successor it is never free in between.
class PidFile {
 public:
  // Throws PidFileTaken if another process holds it, std::system_error if it can't be made.
  static PidFile acquire(const std::string& path);
  // The open, locked file of a predecessor.
  PidFile(std::string path, Descriptor locked) : path_(std::move(path)), file_(std::move(locked)) {}

  void write(pid_t pid);  // throws std::system_error
  void remove();          // only if the name still leads to this file
  int descriptor() const { return file_.get(); }

 private:
  std::string path_;
  Descriptor file_;
};

// The datagram protocol of sd_notify(3), to the socket that $NOTIFY_SOCKET names: a path, or an abstract name after
// '@'. Does nothing without it. What can't be sent at once is dropped: a supervisor is never waited for.
class Notifier {
 public:
  explicit Notifier(const char* address);
  void send(std::string_view state);

 private:
  std::string address_;
  Descriptor socket_;
};

// What a predecessor gives: its listeners by the addresses that they were bound to, and its pid file.
struct Inheritance {
  std::vector<std::pair<std::string, Descriptor>> listeners;
  std::optional<Descriptor> pid_file;
  std::optional<Descriptor> copies;  // of the fleet's records, where nodes talk
};

inline constexpr int kHandoverDescriptor = 3;  // of the successor
inline constexpr const char* kHandoverVariable = "DOCKLIFT_HANDOVER_FD";

// Sends the descriptors (which stay the caller's) as one message over a Unix socket. Throws std::system_error.
void send_inheritance(int channel, const std::vector<std::pair<std::string, int>>& listeners,
                      std::optional<int> pid_file, std::optional<int> copies = {});
// Takes that message; waits 1 s for it at most. Throws std::runtime_error if it is none.
Inheritance receive_inheritance(int channel);

// Starts a program as a successor, with one end of the channel as its descriptor 3 and no other descriptor beyond the
// standard ones. Signals are blocked in it until it has its handlers. Throws std::system_error.
// Bytes for a successor, in a file without a name that is read from its start. Throws std::system_error.
Descriptor file_of(std::string_view bytes);
std::string bytes_of(const Descriptor& file);

pid_t start_successor(const std::string& binary, const std::vector<std::string>& arguments, int channel);

std::string path_of_this_program();

}  // namespace docklift
