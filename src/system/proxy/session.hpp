// A client's connection with HTTP/1.1 pipelining: complete requests are handed to the handler in order, and
// their responses are written in that order. A client that closes its sending half counts as disconnected,
// since that can't be distinguished from closing the whole connection. Pipelined requests run concurrently
// while all of them are repeatable. Any other request waits until it is the only one, because a client
// retries every request, of any kind, that follows a response that closes the connection. During a drain each
// request waits until it is the only one, and the next response closes the connection.
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
#include "system/proxy/body_budget.hpp"

namespace docklift::proxy {

// A complete request as parsed from the client.
struct Request {
  std::string method, target, host, attempt_id,
      head;  // `head`: request line and fields for the server, without the fields that the proxy sets itself
  std::optional<std::string> key;           // empty if the client sent several
  std::shared_ptr<const std::string> body;  // null: no body
  bool has_body = false;
  std::optional<double> deadline_ms;
};

// A response that the proxy generates itself.
struct LocalReply {
  int status = 503;
  Duration retry_after{};  // 0: no Retry-After
};

class Session : public std::enable_shared_from_this<Session> {
 public:
  // Handles the requests of a session; outlives it.
  struct Handler {
    virtual ~Handler() = default;
    virtual configuration::Limits limits() const = 0;
    // The reply to a request that violates the local configuration: `status`, or 503 if that may be outdated.
    virtual LocalReply rejection(int status) const = 0;
    virtual bool draining() const = 0;
    virtual void on_request(const std::shared_ptr<Session>& session, std::uint64_t number,
                            Request request) = 0;
    virtual bool is_repeatable(const Request& request) const = 0;
    // For the bodies of all sessions.
    virtual const std::shared_ptr<BodyBudget>& body_budget() const = 0;
    // The reply to a request whose body the budget does not hold.
    virtual LocalReply refuse_body() = 0;
    // The connection is closed. Responses to requests that are still open are discarded.
    virtual void on_closed(const std::shared_ptr<Session>& session) = 0;
  };
  Session(Handler& handler, snowknot::Timers& timers, Socket socket);

  void start();
  // Sends the complete response to a request. `fields_end`: offset of the end of its header fields. Called
  // once for each number.
  void respond(std::uint64_t number, std::string response, std::size_t fields_end);
  void respond(std::uint64_t number, const LocalReply& reply);
  // Closes the connection unless a request, or part of one, has been read.
  void close_if_idle();
  // Reads no more requests, and closes the connection after the last outstanding response.
  void close_after_responses();
  void close();
  bool has_requests() const { return !pipeline_.empty(); }  // open ones
  // Number of responses that wait for responses to earlier requests.
  std::size_t blocked_responses() const;

 private:
  void read();
  void schedule_processing();
  void schedule_close_check();
  void process_input();
  bool read_body();
  void dispatch();
  void note_patience(const Request& request);
  void write_next();
  void write_continue();
  void write_response();
  void write_output(std::function<void(Session&)> on_written);
  void on_response_written(bool last);
  void finish_sending();
  bool read_head();
  void reject(const LocalReply& reply);
  void arm_read_timeout(double ms, bool idle);

  Handler* handler_;
  snowknot::Timers& timers_;
  Socket socket_;
  std::array<char, 4096> read_buffer_;
  std::string input_, output_;
  struct PipelinedRequest {
    std::uint64_t number = 0;
    bool done = false, last = false;  // last: its response closes the connection
    std::string response;
    std::size_t fields_end = 0;
  };
  std::deque<PipelinedRequest> pipeline_;  // open requests, in order
  std::uint64_t last_number_ = 0;
  Time responses_wanted_until_{};  // the latest deadline of a request on this connection
  Request request_;
  bool request_ready_ = false;  // request_ is complete and waits to be dispatched
  stream::BodyDecoder decoder_;
  std::shared_ptr<RequestBody> body_;  // of request_, while it is received
  bool reading_ = false, in_body_ = false, pipeline_repeatable_ = true, keep_alive_ = true, closed_ = false,
       writing_ = false, processing_scheduled_ = false, close_check_scheduled_ = false, rejected_ = false,
       lingering_ = false;
  bool continue_due_ = false;  // the client waits for an interim response before it sends the body
  snowknot::Timers::Handle timeout_, write_timeout_;  // of what is read, and of what is being written
};

}  // namespace docklift::proxy
