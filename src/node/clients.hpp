// The clients' side: the listener and the HTTP sessions. What a request means is read here; what becomes of it
// is the node's business.
#pragma once

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <string>
#include <unordered_set>

#include "net.hpp"
#include "snowknot/gateway.hpp"

namespace snowknot {

namespace http = boost::beast::http;

// A request as it came: what the module is told of it and what goes on to a server.
struct ClientRequest {
  Arrival arrival;  // its number is the node's to give
  Time deadline{};
  http::verb method{};
  std::string target, id, key, content_type, body;
};

struct Answer {
  http::status status{};
  std::string body, content_type;
  Duration retry_after{};
};

class Clients;

// One connection. It reads on while a request is out, so that a client that goes away is seen.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
 public:
  ClientSession(Clients& clients, Socket socket);

  void start();
  void answer(const Answer& answer);  // the final answer of the request that is out
  void close();
  // Nothing of a request has come and none is out: it can be closed without loss.
  bool idle() const { return stage_ == Stage::reading && !began_; }
  // What it holds is not taken: nothing, a part of a request, or an answer that was written.
  bool expendable() const { return stage_ == Stage::reading || stage_ == Stage::lingering; }
  bool closed() const { return stage_ == Stage::closed; }
  Time since() const { return since_; }
  void sweep(Time now);

 private:
  enum class Stage { reading, waiting, writing, lingering, closed };
  using Parser = http::request_parser<http::string_body>;

  void read();
  void on_read(const error_code& failed, std::size_t bytes);
  void parse();
  void take_request();
  void reject(http::status status, const std::string& why);  // what can't be parsed ends the session
  void write(const Answer& answer);
  void on_written(const error_code& failed);
  void enter(Stage stage);

  Clients& clients_;
  Socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  http::response<http::string_body> response_;
  Stage stage_ = Stage::reading;
  Time since_{};               // of the stage, or of the first byte of a request that has not come whole
  bool began_ = false;         // a part of a request has come
  bool reads_ = false;         // a read is pending
  bool keep_alive_ = false;    // what the request that is out wants
  std::uint64_t request_ = 0;  // the node's number of it; 0: none
};

class Clients {
 public:
  struct Owner {
    virtual bool ready() const = 0;
    // The number given is the session's way to say later that its client has gone.
    virtual std::uint64_t arrived(ClientRequest request, std::shared_ptr<ClientSession> session) = 0;
    virtual void client_gone(std::uint64_t request) = 0;

   protected:
    ~Owner() = default;
  };

  Clients(asio::io_context& io, Timers& timers, const Settings& settings, std::size_t most_sessions,
          Owner& owner);

  void listen(const Tcp::endpoint& at);
  Tcp::endpoint listens_at() const { return acceptor_.local_endpoint(); }
  // From now on every answer ends its connection, and those without a request are closed.
  void drain();
  bool drained() const;
  std::size_t size() const { return sessions_.size(); }

 private:
  friend class ClientSession;
  using Sessions = std::unordered_set<std::shared_ptr<ClientSession>>;

  void accept();
  void make_room();
  void sweep();
  void forget(const std::shared_ptr<ClientSession>& session);

  asio::io_context& io_;
  Timers& timers_;
  const Settings& settings_;
  std::size_t most_sessions_;
  Owner& owner_;
  asio::basic_socket_acceptor<Tcp, Executor> acceptor_;
  Sessions sessions_;
  bool draining_ = false;
  bool accepts_ = true;  // an accept is pending, or a timer that starts one
  Time last_accept_{};
};

}  // namespace snowknot
