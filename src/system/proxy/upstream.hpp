// Connections to servers: pools, one attempt at a time on each, and what an answer must show to be the one to
// this request. Callbacks run on the io_context's thread, never from within start() or cancel().
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/net.hpp"
#include "system/decisions/servers.hpp"
#include "system/http/head.hpp"
#include "system/net/link.hpp"

namespace docklift::proxy {

using decisions::Outcome;
using decisions::ServerHandle;

struct Attempt {
  ServerHandle server = decisions::kNoServer;
  std::string address, method, attempt_id;
  std::string head;                         // up to and without the empty line
  std::shared_ptr<const std::string> body;  // null: none
  Time deadline{};
  Time valid_until = Time::max();  // not a byte of it is written after this: its key may have ended
};

struct Answered {
  Outcome outcome = Outcome::reset;
  Duration took{};
  int status = 0;     // of a whole answer
  std::string reply;  // it, ready for the client: status line, fields, body; without the end of the head
                      // where `body_at` is
  std::size_t body_at = 0;  // where the fields end: Connection may be put in there
};

class Upstream {
  struct Connection;

 public:
  using Done = std::function<void(Answered)>;
  // One attempt, until it has ended.
  struct Handle {
    std::weak_ptr<Connection> connection;
    std::uint64_t number = 0;  // of the attempt: a connection serves one after another
  };
  Upstream(boost::asio::io_context& io, snowknot::Timers& timers);
  ~Upstream();
  Handle start(Attempt attempt, Done done);
  // Ends an attempt and closes its connection; `done` is not called. `unsent_only`: only if not a byte of the request
  // was written. The outcome tells whether any was; none: nothing was ended.
  std::optional<Outcome> cancel(const Handle& attempt, bool unsent_only);
  void forget(ServerHandle server);  // closes its idle connections
  std::size_t connections() const { return open_; }

 private:
  struct Pool {
    std::string address;
    std::vector<std::shared_ptr<Connection>> idle;
  };
  void drop(const std::shared_ptr<Connection>& c);

  boost::asio::io_context& io_;
  snowknot::Timers& timers_;
  std::unordered_map<ServerHandle, Pool> pools_;
  std::set<std::shared_ptr<Connection>> all_;
  std::size_t open_ = 0;
  std::uint64_t attempts_ = 0;
};

}  // namespace docklift::proxy
