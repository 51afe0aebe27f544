// The quota counter: pipelined calls on a few connections. One name keeps to one connection, answers come in
// the order of the calls there, and every call ends in exactly one answer.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net.hpp"

namespace snowknot {

class Counter {
 public:
  using Told = std::function<void(const CountAnswer&)>;

  Counter(asio::io_context& io, Timers& timers, const Tcp::endpoint& at, Duration timeout, Told told);
  ~Counter();

  void add(CountName name, double amount, Duration lifetime);
  // Each connection has come up, or has failed once.
  bool tried() const;

 private:
  class Link;
  std::vector<std::shared_ptr<Link>> links_;
};

}  // namespace snowknot
