// A library for LD_PRELOAD: what a process of ours connects to on another machine of the test goes to a relay instead, which can hold it up.
// RELAYED_MACHINES and RELAYED_TO are the first three parts of addresses ("127.61.5."): of the machines, and of the relays of this process.
// RELAYED_SELF, the process's own address, is left alone.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <string>

namespace {

std::string variable(const char* name) {
  const char* text = std::getenv(name);
  return text != nullptr ? text : "";
}

}  // namespace

extern "C" int connect(int descriptor, const sockaddr* address, socklen_t length) {
  static const std::string machines = variable("RELAYED_MACHINES");
  static const std::string relays = variable("RELAYED_TO");
  static const std::string self = variable("RELAYED_SELF");
  sockaddr_in relayed{};
  if (!machines.empty() && address->sa_family == AF_INET && length >= sizeof relayed) {
    std::memcpy(&relayed, address, sizeof relayed);
    char text[INET_ADDRSTRLEN] = {};
    ::inet_ntop(AF_INET, &relayed.sin_addr, text, sizeof text);
    const std::string to = text;
    if (to != self && to.compare(0, machines.size(), machines) == 0) {
      ::inet_pton(AF_INET, (relays + to.substr(machines.size())).c_str(), &relayed.sin_addr);
      address = reinterpret_cast<const sockaddr*>(&relayed);
      length = sizeof relayed;
    }
  }
  return static_cast<int>(::syscall(SYS_connect, descriptor, address, length));
}
