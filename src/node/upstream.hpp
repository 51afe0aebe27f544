// The app servers' side: a pool of connections for each, attempts and probes on them. Every attempt ends in
// exactly one outcome, and no request is ever written twice by itself.
#pragma once

#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <unordered_map>
#include <vector>

#include "clients.hpp"
#include "facts.hpp"
#include "net/net.hpp"

namespace snowknot {

// What is to be done on one connection: an attempt of a request, or a probe if there is no message.
struct Errand {
  RequestId request{};
  std::uint32_t attempt = 0;
  ServerId server{};
  Time began{}, deadline{};
  std::shared_ptr<const ClientRequest> message;
  std::optional<Duration> took{};  // by who carried it: the server's part of the time
  bool last = false;               // it can't be sent again: its body has been let go
};

// How connections fared that were used again, by how long they had idled: servers close those that idle, sooner
// than they say and not always so that it shows. What is written to such a one is lost, and may not be sent
// again for every class.
class ReuseRecord {
 public:
  bool trusts(Time now, Duration idled, bool may_repeat) const;
  void learn(Time now, Duration idled, bool broke);

 private:
  struct Span {
    double fine = 0, broke = 0;
    Time at{};
  };
  static std::size_t span_of(Duration idled);
  static double kept(const Span& span, Time now);
  static double broken_part(const Span& span, Time now);
  std::array<Span, facts::kReuseSpans> spans_;
};

class Upstream;

// An attempt whose answer is long passes it on in pieces, and reads no more than one ahead of whoever takes it.
class ServerConnection : public AnswerSource, public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(Upstream& upstream, asio::io_context& io, ServerId server);

  void open(const Tcp::endpoint& to, Errand errand);
  void take(Errand errand);     // on a connection that idles
  void close(Outcome outcome);  // ends what it is busy with
  // Nothing lies in the socket unread: what does was not asked for, and would be taken for the next answer.
  bool quiet();
  Time since() const { return since_; }
  ServerId server() const { return server_; }
  const std::optional<Errand>& errand() const { return errand_; }
  void want() override;
  void drop() override {
    if (stage_ == Stage::relaying) close(Outcome::cancelled);  // else it is another errand's by now
  }

 private:
  enum class Stage { connecting, writing, waiting, relaying, idle, closed };

  void start();
  void expect_answer();
  bool is_long();
  void relay();
  void deliver();
  void limit_pause();
  void read();
  void on_read(const error_code& failed, std::size_t bytes);
  void parse();
  bool beyond_doubt() const;
  void broke();
  void finish();
  void end(Outcome outcome, Answer answer);

  Upstream& upstream_;
  Socket socket_;
  ServerId server_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  http::request<http::span_body<const char>> request_;
  std::optional<Errand> errand_;
  Timers::Handle limit_;
  Stage stage_ = Stage::connecting;
  bool broken_ = false;            // the other side has gone or answered while a request was being written
  std::optional<Duration> idled_;  // before the request that is out
  int interim_ = 0;                // interim answers to the request that is out
  Timers::Handle hold_;            // until an answer in chunks is passed on though it is not whole
  std::optional<std::uint64_t> left_;  // relaying: bytes that are still to come, where that was told
  bool wanted_ = false, reads_ = false, delivers_ = false;
  bool parked_ = false;  // bytes of an answer have come while the request was being written
  Time since_{};
};

class Upstream {
 public:
  struct Owner {
    virtual bool still_wanted(RequestId request) const = 0;  // its client still waits
    virtual void attempt_ended(const Errand& errand, Outcome outcome, Answer answer) = 0;
    virtual void attempt_written() {}  // whole
    // A long answer begins; false: nobody takes it so. Then its pieces; cut: the rest can't be had. The attempt's end comes as ever.
    virtual bool answer_begins(const Errand&, const LongHead&, std::shared_ptr<AnswerSource>) { return false; }
    virtual void answer_piece(const Errand&, std::string_view, bool /*last*/) {}
    virtual void answer_cut(const Errand&) {}
    virtual void probe_ended(const Errand& errand, Outcome outcome) = 0;

   protected:
    ~Owner() = default;
  };

  Upstream(asio::io_context& io, Timers& timers, Duration connect_timeout, Duration keep_alive,
           std::size_t most_connections, Owner& owner);

  // What discovery says of a server. One that takes nothing new loses its idle connections.
  void update(ServerId server, const Tcp::endpoint& address, bool takes_work);
  // A whole list: a server that it does not hold is gone.
  void retain(const std::vector<ServerInfo>& listed);

  void send(Errand errand);
  void probe(ServerId server);
  void cancel(RequestId request, std::uint32_t attempt);
  std::size_t size() const { return connections_; }
  void pass_on_long_answers() { relays_ = true; }
  void set_most(std::size_t connections);  // of those beyond it the ones that idle go now
  void drop_all_idle();
  // An attempt that a carrier has begun has ended.
  void carried(const Errand& errand, Outcome outcome);
  bool may_start(const Errand& errand) const;

 private:
  friend class ServerConnection;
  using Connection = std::shared_ptr<ServerConnection>;
  struct Pool {
    Tcp::endpoint address;
    bool takes_work = false;
    std::vector<Connection> idle;  // the one used last at the back
    std::vector<Connection> busy;
  };

  void run(Errand errand);
  void report(const Errand& errand, Outcome outcome, Answer answer);
  void rest(const Connection& c);    // it has become idle
  void forget(const Connection& c);  // it has ended
  void drop_idle(ServerId server);
  bool make_room();
  void sweep();

  asio::io_context& io_;
  Timers& timers_;
  Duration connect_timeout_, keep_alive_;
  std::size_t most_connections_, connections_ = 0;
  Owner& owner_;
  std::unordered_map<ServerId, Pool> pools_;
  ReuseRecord reuse_;
  bool relays_ = false;
};

}  // namespace snowknot
