// The quota counter: pipelined calls on a few connections. One name keeps to one connection, answers come in
// the order of the calls there, and every call ends in exactly one answer.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/net.hpp"
#include "store/count_store.hpp"

namespace snowknot {

class Counter : public CountStore {
 public:
  Counter(asio::io_context& io, Timers& timers, const Tcp::endpoint& at, Duration timeout, Told told);
  ~Counter() override;
  Counter(const Counter&) = delete;
  Counter& operator=(const Counter&) = delete;

  void add(CountName name, double amount, Duration lifetime) override;
  // The counter is at another address from now on. What was written to the old one is answered there; what was
  // not goes to the new one, as soon as a connection to it is up or the old one is of no more use.
  void move_to(const Tcp::endpoint& at) override;
  bool tried() const override;

 private:
  class Link;
  using LinkPtr = std::shared_ptr<Link>;
  struct Lane {
    LinkPtr link, next;  // next: at the new address, while it is not up
  };
  LinkPtr open_link();
  void up(const Link& link);
  void promote(Lane& lane);

  asio::io_context& io_;
  Timers& timers_;
  Tcp::endpoint at_;
  Duration timeout_;
  Told told_;
  std::vector<Lane> lanes_;
  std::vector<LinkPtr> former_;  // wait for the last answers
};

}  // namespace snowknot
