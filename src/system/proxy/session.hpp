// A client's connection: whole requests are read and handed over in order; answers go out in that order.
// A client that closes its sending half counts as gone, as its close can't be told from that of the whole connection.
// Repeatable requests that are sent behind each other are under way together; any other one waits until it is
// alone, as a client sends again, whatever its kind, what stands behind an answer that closes the connection. In a drain
// each one waits until it is alone, and the first answer closes the connection.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "net/net.hpp"
#include "system/configuration/configuration.hpp"
#include "system/http/head.hpp"
#include "system/net/link.hpp"

namespace docklift::proxy {

struct Request {
  std::string method, target, host, attempt_id, key,
      head;  // `head`: what goes on to a server, without what is the proxy's to say
  std::shared_ptr<const std::string> body;  // null: none
  bool has_body = false;
  std::optional<double> deadline_ms;
};

// An answer of the proxy's own.
struct OwnAnswer {
  int status = 503;
  Duration retry_after{};  // 0: not told
};

class Session : public std::enable_shared_from_this<Session> {
 public:
  struct Host {
    virtual ~Host() = default;
    virtual configuration::Limits limits() const = 0;
    // What a request gets that the limits here don't allow: `status`, or 503 where they may not be the newest.
    virtual OwnAnswer denial(int status) const = 0;
    virtual bool draining() const = 0;
    virtual void on_request(const std::shared_ptr<Session>& session, std::uint64_t number,
                            Request request) = 0;
    virtual bool is_repeatable(const Request& request) const = 0;
    // The connection has ended; of requests that are still under way nobody takes the answer.
    virtual void on_ended(const std::shared_ptr<Session>& session) = 0;
  };
  Session(Host& host, snowknot::Timers& timers, Socket socket);

  void start();
  // The answer to a request: whole, with the place where its fields end. Once for each number.
  void answer(std::uint64_t number, std::string reply, std::size_t body_at);
  void answer(std::uint64_t number, const OwnAnswer& own);
  // The process is to end. `close_if_idle`: closes unless a request, or a part of one, has been read.
  // `take_no_more`: closes unless answers are owed; behind the last of these.
  void close_if_idle();
  void take_no_more();
  void close();
  bool has_requests() const { return !slots_.empty(); }  // under way
  // Answers that wait until those to the requests before theirs have been written.
  std::size_t answers_held() const;

 private:
  void read();
  void take_in_next_turn();
  void watch_for_close();
  void take();
  bool take_body();
  void begin();
  void write_next();
  void end_sending();
  bool read_head();
  void refuse(const OwnAnswer& why);
  void wait_for(double ms, bool idle);

  Host* host_;
  snowknot::Timers& timers_;
  Socket socket_;
  std::array<char, 4096> chunk_;
  std::string in_, out_;
  struct Slot {
    std::uint64_t number = 0;
    bool done = false, last = false;  // last: the connection ends with it
    std::string reply;
    std::size_t body_at = 0;
  };
  std::deque<Slot> slots_;  // requests under way, in order
  std::uint64_t numbers_ = 0;
  Request request_;
  bool whole_ = false;  // request_ is read, and waits to be alone
  stream::BodyDecoder decoder_;
  std::string body_;
  bool reading_ = false, in_body_ = false, repeatable_ = true, keep_ = true, closed_ = false,
       writing_ = false, taking_ = false, watching_ = false, lingering_ = false;
  snowknot::Timers::Handle limit_;
};

}  // namespace docklift::proxy
