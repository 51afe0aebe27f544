// The real program with an operators' door, and where it is wanted a second one beside it.
#pragma once

#include "process_fixture.hpp"

namespace snowknot::test {

struct OperatorsTest : ProcessTest {
  OperatorsTest() {
    door = free_port();
    config["admin"] = "127.0.0.1:" + std::to_string(door.port());
  }
  ~OperatorsTest() override {
    if (first > 0) kill(first, SIGKILL), waitpid(first, nullptr, 0);
  }
  void prepare_child() override { setenv("TMPDIR", dir.c_str(), 1); }
  int call(const std::string& line) { return call_at(door, line); }
  // The status of the answer; its text is kept.
  int call_at(const Tcp::endpoint& at, const std::string& line) {
    try {
      const auto w = loop.connect(at);
      w->send(line + " HTTP/1.1\r\nHost: x\r\n\r\n");
      if (!loop.until([&] { return w->ended; }) || w->in.size() < 12) return 0;
      said = w->in;
      return std::stoi(w->in.substr(9, 3));
    } catch (const boost::system::system_error&) {
      return 0;  // it does not listen yet
    }
  }
  bool ready() { return loop.until([&] { return call("GET /_ready") == 200; }); }
  int front() {
    const auto w = loop.connect(listen);
    w->send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    loop.until([&] { return w->in.find("\r\n\r\n") != std::string::npos || w->ended; });
    return w->in.size() > 12 ? std::stoi(w->in.substr(9, 3)) : 0;
  }
  // A second process beside the first, with a door of its own.
  void run_second() {
    first = std::exchange(child, 0);
    door = free_port();
    config["admin"] = "127.0.0.1:" + std::to_string(door.port());
    run();
  }
  int end_first() {
    kill(first, SIGTERM);
    int status = 0;
    if (!loop.until([&] { return waitpid(first, &status, WNOHANG) == first; })) return -1;
    first = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -2;
  }
  bool figure(const std::string& line) { return call("GET /_vars") == 200 && said.find("\n" + line + "\n") != std::string::npos; }

  Tcp::endpoint door;
  std::string said;
  pid_t first = 0;
};

}  // namespace snowknot::test
