// The clients' side: the listener and the HTTP sessions. What a request means is read here; what becomes of it
// is the node's business.
#pragma once

#include <array>
#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "net/net.hpp"
#include "snowknot/gateway.hpp"
#include "framing/framing.hpp"
#include "tally.hpp"

namespace snowknot {

namespace http = boost::beast::http;

struct Answer;

struct Errand;

// Who carries the attempts of a request whose body does not lie ready.
class Carrier {
 public:
  virtual ~Carrier() = default;
  // Begins an attempt, and tells the node of its end by Node::carried(), later and exactly once.
  virtual void send(const Errand& errand, const Tcp::endpoint& to) = 0;
  virtual void cancel(std::uint32_t attempt) = 0;
};

// A request as it came: what the module is told of it and what goes on to a server.
struct ClientRequest {
  Arrival arrival;  // its number is the node's to give
  Time deadline{};
  http::verb method{};
  std::string target, id, key, content_type, body;
  bool safe = false;  // though its method is not GET
  // What a 200 answer shows to have been used, in units; none: nothing is settled afterwards. 0: it can't be told.
  std::function<double(const Answer&)> true_units{};
  bool streamed = false;  // by its carrier; if that has ended, nothing is sent any more
  std::weak_ptr<Carrier> carrier{};
  bool repeatable() const { return safe || method == http::verb::get || !key.empty(); }
};

struct Answer {
  http::status status{};
  std::string body, content_type;
  Duration retry_after{};
  std::optional<double> units_charged{};  // X-Units-Charged of an app server, where it is asked for
};

// Gives the rest of an answer that is passed on as it comes, a piece when it is wanted.
class AnswerSource {
 public:
  virtual ~AnswerSource() = default;
  virtual void want() = 0;  // one piece more
  virtual void drop() = 0;  // nobody takes it any more
};
struct LongHead {
  std::string content_type;
  std::optional<std::uint64_t> length;  // bytes of the body; none: not known before its end
};

// Whoever waits for the one final answer of a request.
class Asker {
 public:
  virtual ~Asker() = default;
  virtual void answer(const Answer& answer) = 0;
  // In place of that: an answer begins, in pieces, each after a want(). False: it is not taken so. After the last piece answer()
  // is still told, or cut() if the rest can't be had.
  virtual bool begin(const LongHead&, std::shared_ptr<AnswerSource>) { return false; }
  virtual void piece(std::string_view, bool /*last*/) {}
  virtual void cut() {}
};

class ClientSession;

// Requests of one path that another protocol is spoken on: who asks stands in the same header fields as for others, but
// class and units are the front's to find out.
struct FrontRequest {
  PlanIndex plan{};
  CustomerId customer{};
  std::uint32_t gateways = 1;
  bool is_retry = false, dry_run = false;
  Time began{}, deadline{};
  http::verb method{};
  std::string target, id, key, content_type, accept, body;
};
class Front {
 public:
  virtual ~Front() = default;
  virtual bool serves(std::string_view path) const = 0;  // without a query
  // Answers the session, now or later. The number given is the session's way to say that its client has gone; 0: it has
  // its answer.
  virtual std::uint64_t request(FrontRequest request, std::shared_ptr<ClientSession> session) = 0;
  virtual void gone(std::uint64_t number) = 0;
  // The node answers now what is open: nothing more may be asked of it, what has not begun is refused.
  virtual void stop(Duration retry_after) = 0;
};

// A request whose head has come and whose body is to be passed on as it comes.
struct StreamHead {
  ClientRequest request;  // without its body; its units are known
  docklift::stream::BodyKind body;
  double units_told = 1;  // by X-Quota
  bool keep_alive = true, expects_continue = false;
  std::optional<Duration> patience;  // of its client, from the request's last byte to the answer's first; none: until the deadline
  bool old_client = false;  // speaks HTTP/1.0: no chunks, and the connection ends with the answer
};
// Takes connections over at such a head, and gives them back with Clients::give_back() or says that they are lost().
class Streams {
 public:
  virtual ~Streams() = default;
  virtual bool takes(std::string_view class_name) const = 0;
  virtual bool takes_long() const { return false; }  // what is longer than is held whole, of any class
  virtual Duration allowance(const std::optional<std::uint64_t>& /*length*/) const { return {}; }  // for such a one to come whole
  virtual Duration longest() const = 0;  // for a request and its answer whole
  virtual std::uint64_t most_request() const = 0;
  virtual bool requires_length() const = 0;
  virtual std::optional<Duration> no_room() const = 0;  // how long to stay away, if there is none
  virtual double units_of(double told, const std::optional<std::uint64_t>& length) const = 0;
  virtual void take(Socket socket, StreamHead head, std::string rest) = 0;
  virtual std::size_t current() const { return 0; }  // requests that have come whole
  virtual void end_all() = 0;  // what is open is answered for, or cut, now
};

class Clients;

// One connection. It reads on while a request is out, so that a client that goes away is seen.
class ClientSession : public Asker, public std::enable_shared_from_this<ClientSession> {
 public:
  ClientSession(Clients& clients, Socket socket);

  // What a connection is at; fresh: no request has come whole on it. In all but `waiting` it has a time limit that is the same for all at that stage.
  enum class Stage { fresh, idle, coming, waiting, writing, lingering, closed };

  void start();
  void answer(const Answer& answer) override;  // the final answer of the request that is out
  bool begin(const LongHead& head, std::shared_ptr<AnswerSource> source) override;
  void piece(std::string_view bytes, bool last) override;
  void cut() override;
  void close();
  // Nothing of a request has come and none is out: it can be closed without loss.
  bool idle() const { return stage_ == Stage::idle || (stage_ == Stage::fresh && !parser_); }
  // Idle, and nothing lies unread in its socket either: closing it would lose that.
  bool quiet() const;
  bool closed() const { return stage_ == Stage::closed; }
  Time since() const { return since_; }
  void overdue();  // the time limit of its stage has passed
  void offer();    // to the heir: goes over as soon as no read is pending

 private:
  friend class Clients;
  using Parser = http::request_parser<http::string_body>;

  bool reading() const { return stage_ <= Stage::coming; }
  void read();
  void on_read(const error_code& failed, std::size_t bytes);
  void parse();
  void drop_rest();
  void pass_to_heir();
  void take_request();
  bool pass_on();
  bool pass_on_late();
  std::string rest() const;  // what has come and is not parsed
  bool pass_to_streams(bool by_platform, std::string rest, bool continued);
  void slim();
  // Answers what can't be parsed, or is no longer taken, and ends the session.
  void reject(http::status status, const std::string& why, Duration retry_after = {});
  void write(const Answer& answer);
  void on_written(const error_code& failed);
  void on_piece_written(const error_code& failed, bool last);
  void finished(int status);
  void enter(Stage stage);

  Clients& clients_;
  Socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::string partial_;  // what the parser has taken of a request that is not whole, where that is kept
  std::size_t head_bytes_ = 0;  // of that, the head
  bool continued_ = false;      // the client was told to send its body
  std::shared_ptr<AnswerSource> source_;  // of the answer that is being passed on
  std::string out_;                       // of it: head, piece and framing
  bool chunked_out_ = false, old_client_ = false;
  http::response<http::string_body> response_;
  Stage stage_ = Stage::closed;
  std::list<std::shared_ptr<ClientSession>>::iterator place_;  // among those at the same stage
  Time since_{};                                               // of the stage
  Time began_{};                                               // when the first byte of the request came
  Time heard_{};                                               // when the last one did, of one that is not whole
  std::size_t dropped_ = 0;                                    // bytes read and passed over while lingering
  bool reads_ = false;                                         // a read is pending
  bool offered_ = false;                                       // to the heir, once that read has ended
  bool keep_alive_ = false;                                    // what the request that is out wants
  std::uint64_t request_ = 0;                                  // the node's number of it; 0: none
  std::optional<ClassIndex> class_;                            // of the request that is being answered
};

class Clients {
 public:
  struct Owner {
    virtual bool ready() const = 0;
    // The number given is the session's way to say later that its client has gone. 0: a request of this id is
    // open, and the new one is not taken.
    virtual std::uint64_t arrived(ClientRequest request, std::shared_ptr<Asker> asker) = 0;
    virtual void client_gone(std::uint64_t request) = 0;

   protected:
    ~Owner() = default;
  };

  Clients(asio::io_context& io, Timers& timers, const Settings& settings, std::size_t most_sessions,
          Owner& owner, Tally& tally);

  // A socket that clients connect to. They wait in its queue until it is served.
  class Listener;
  using ListenerPtr = std::shared_ptr<Listener>;
  // Binds and listens. Throws boost::system::system_error.
  ListenerPtr bind(const Tcp::endpoint& at);
  // Takes over a socket that listens already; owns the descriptor from now on, also if it throws.
  ListenerPtr adopt(int descriptor);
  void serve(const ListenerPtr& listener);  // accepts on it
  void pause(const ListenerPtr& listener);  // accepts no more; who connects waits in the queue
  // From now on listeners are bound so that a second process can bind the same address.
  void share_address() { shares_address_ = true; }
  // Accepts what is in the queue and closes it.
  void end(const ListenerPtr& listener);
  // Closes this process' descriptor only: who waits in the queue is another process' to accept.
  void leave(const ListenerPtr& listener);
  const std::vector<ListenerPtr>& listeners() const { return listeners_; }

  // From now on every answer ends its connection, and those without a request are closed. New ones are expected
  // for so long.
  void drain(Duration take_new);
  bool drained() const;
  // Takes a copy of a client's connection and what was read of a request that is not whole; false: it can't just now.
  using Heir = std::function<bool(int descriptor, std::string_view bytes)>;
  // From now on each connection goes to the heir whenever no whole request is on it; none: they are kept again.
  void set_heir(Heir heir);
  void offer_all();  // those that could not go before
  // A connection that another process has passed on, with what it had read. Owns the descriptor.
  void take_over(int descriptor, std::string bytes);
  // Where it is kept what was read of a request that is not whole: only then can that pass on.
  void keep_partial() { keeps_partial_ = true; }
  void set_most(std::size_t sessions);
  // For as long as it is set: answers end their connections and those that idle are closed soon, but all that comes is served.
  void set_aside(bool aside);
  // Ends what doesn't wait for an answer, at once. Of what something has come is told when to come back.
  void end_unanswered(Duration retry_after);
  std::size_t size() const { return size_; }
  // Requests that have come whole and whose answer's last byte is not written.
  std::size_t current() const { return at(Stage::waiting).size() + at(Stage::writing).size() + (streams_ ? streams_->current() : 0); }
  // Not owned; it has to outlive all sessions.
  void set_front(Front* front) { front_ = front; }
  void set_streams(Streams* streams) { streams_ = streams; }
  // A connection that was taken over for a stream: it goes on with these bytes that were read already, or is of no more use
  // after the answer that was written.
  void give_back(Socket socket, std::string rest, bool keep_alive);
  void lost();

 private:
  friend class ClientSession;
  using Stage = ClientSession::Stage;
  using Sessions = std::list<std::shared_ptr<ClientSession>>;  // that came to a stage first stands first
  static constexpr std::size_t kStages = static_cast<std::size_t>(Stage::closed);

  void accept(const ListenerPtr& listener);
  void took(Socket socket);
  void make_room();
  void sweep();
  Sessions& at(Stage stage) { return stages_[static_cast<std::size_t>(stage)]; }
  const Sessions& at(Stage stage) const { return stages_[static_cast<std::size_t>(stage)]; }
  void move(ClientSession& session, Stage from, Stage to);
  void forget(ClientSession& session, Stage from);
  void one_less();
  void close_idle(Time since_before);

  asio::io_context& io_;
  Timers& timers_;
  const Settings& settings_;
  std::size_t most_sessions_;
  Owner& owner_;
  Tally& tally_;
  Front* front_ = nullptr;
  Streams* streams_ = nullptr;
  std::vector<ListenerPtr> listeners_;
  std::array<Sessions, kStages> stages_;
  std::size_t size_ = 0;
  bool leaving() const { return (draining_ || aside_) && !heir_; }  // no connection is kept
  bool draining_ = false, sweeps_ = false;
  bool waits_ = false;  // some listener goes on when a session ends
  Time last_accept_{};
  Duration take_new_{};  // while draining
  std::optional<Time> aside_;  // since when
  Heir heir_;
  bool shares_address_ = false, keeps_partial_ = false;
};

class Clients::Listener {
 public:
  explicit Listener(asio::basic_socket_acceptor<Tcp, Executor> a)
      : acceptor(std::move(a)), at(acceptor.local_endpoint()) {}

  asio::basic_socket_acceptor<Tcp, Executor> acceptor;
  const Tcp::endpoint at;
  bool serves = false;
  bool pending = false;  // an accept is out, or a timer that starts one
};

}  // namespace snowknot
