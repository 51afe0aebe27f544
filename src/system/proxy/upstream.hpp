// Pools of connections to servers. Each connection runs one attempt at a time and checks that a response
// belongs to its request. Callbacks run on the io_context's thread, never from within start() or cancel().
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

// One try of a request at one server.
struct Attempt {
  ServerHandle server = decisions::kNoServer;
  std::string address, method, attempt_id;
  std::string head;                         // without the empty line at its end
  std::shared_ptr<const std::string> body;  // null: no body
  Time deadline{};
  Time valid_until = Time::max();  // sending never starts after this: the client's key may have been revoked
};

// How an attempt ended, with the response if there was one.
struct AttemptResult {
  Outcome outcome = Outcome::reset;
  Duration elapsed{};
  int status = 0;              // of a complete response; 0: none
  std::string response;        // status line, fields and body, ready to be sent to the client
  std::size_t fields_end = 0;  // offset of the end of the fields, where a Connection field may be inserted
};

// Runs attempts on pooled connections.
class Upstream {
  struct Connection;

 public:
  using Done = std::function<void(AttemptResult)>;
  // Identifies an attempt until it has ended.
  struct Handle {
    std::weak_ptr<Connection> connection;
    std::uint64_t number = 0;  // of the attempt, as a connection is reused for later ones
  };
  Upstream(boost::asio::io_context& io, snowknot::Timers& timers);
  ~Upstream();
  // Starts an attempt; `on_done` is called once unless the attempt is canceled.
  Handle start(Attempt attempt, Done on_done);
  // Cancels an attempt and closes its connection; its callback is not called. `unsent_only`: only if no byte
  // of the request was written. The outcome says whether any was; nullopt if nothing was canceled.
  std::optional<Outcome> cancel(const Handle& attempt, bool unsent_only);
  void forget(ServerHandle server);  // closes its idle connections and removes its pool
  std::size_t connections() const { return open_; }

 private:
  struct Pool {
    std::string address;
    std::vector<std::shared_ptr<Connection>> idle;
  };
  void drop(const std::shared_ptr<Connection>& connection);

  boost::asio::io_context& io_;
  snowknot::Timers& timers_;
  std::unordered_map<ServerHandle, Pool> pools_;
  std::set<std::shared_ptr<Connection>> all_;
  std::size_t open_ = 0;
  std::uint64_t attempts_ = 0;
};

}  // namespace docklift::proxy
