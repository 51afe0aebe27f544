// One streamed request, from its head to the end of its one answer: what to read, write, keep, give up and tell. It holds no
// bytes, no sockets and no clock: the host tells what happened and carries out what is returned, in order.
//
// Invariants: one final answer, ours or a server's; each attempt is told to have ended exactly once, and no byte of it is
// written after that; what was dropped of the body is never needed again (an attempt that ends then is told to be the
// last); neither direction holds more than its window.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "snowknot/gateway.hpp"
#include "framing/framing.hpp"

namespace docklift::stream {

struct ExchangeLimits {
  std::size_t window = 256 * 1024;  // bytes held in each direction; reading pauses there,
  std::size_t low = 128 * 1024;     // and goes on at this
  std::size_t prefix = 64 * 1024;   // of a body that is kept whole, to be sent again; at most the window
  std::uint64_t most_request = 1ULL << 30U, most_answer = 1ULL << 30U;  // bytes of a body
  std::uint64_t drain = 1 << 20;    // bytes read and dropped behind an early answer
};

// What happened. Bytes are those of the bodies, without their framing.
enum class Happened {
  client_bytes,   // a read at the client has ended, with n bytes
  client_end,     // the request has come whole
  client_bad,     // its framing is wrong
  client_gone,    // its connection has ended, seen by a read or a write
  send,           // the module starts an attempt
  refuse,         // the node's own final answer: turned away,
  fail,           // or failed
  connected,      // the attempt's connection is up
  connect_failed, // or will never be
  wrote,          // a write to the server has ended: n bytes, or the head, or the end of the body
  write_broke,    // or did not; what the server says may still come
  server_head,    // an answer to be passed on has begun
  server_other,   // an answer that is not, or the attempt was given up: n is the outcome
  server_bytes,   // a read at the server has ended, with n bytes of the answer's body
  server_end,     // the answer has come whole
  server_gone,    // its connection has ended; n: whether part of an answer's head had come
  gave,           // a write to the client has ended: n bytes, or the answer's end, or all of an answer of ours
  pressed,        // there is no memory to read into
  client_slow,    // the client sends too little,
  client_deaf,    // or takes too little
  server_deaf,    // the server takes too little,
  server_slow,    // or sends too little of an answer that has begun
  too_late,       // the client's time is up
};
struct Event {
  Happened what{};
  std::uint64_t n = 0;
};

// What to do. Each read and write ends with one event; at most one of each is out on a socket.
enum class Do {
  read_client,
  go_on,          // tell the client to send its body (100)
  open_server,    // connect, for the attempt that was just started
  write_head,     // of the request
  write_server,   // the next bytes of the body, as many as there are
  finish_server,  // the end of a chunked body
  read_server,
  close_server,   // nothing more of this attempt
  rewind,         // the body is to be sent from its start
  drop_request,   // what was sent of the body is not needed any more
  clear_request,  // nor is all the rest
  answer_head,    // of the answer that has begun
  write_client,
  finish_client,  // the answer's end
  own_answer,     // the final answer is the node's own, with this status
  cut_client,     // so that the client can tell that the answer is not whole
  close_client,   // after the answer: the connection is of no more use
  return_client,  // it waits for the next request
  tell_started,   // the module: the answer has begun,
  tell_waits,     // the server waits for bytes, or has begun to answer,
  tell_works,     // or has the request whole,
  tell_ended,     // the attempt has ended,
  tell_gone,      // nobody waits for the request any more (the client has its answer, or has gone)
};
struct Action {
  Do what{};
  snowknot::Outcome outcome{};
  bool last = false;  // of tell_ended: the body can't be sent again
  int status = 0;     // of own_answer; 0: the one that the node's own word has brought
};

class Exchange {
 public:
  Exchange(ExchangeLimits limits, BodyKind request, bool expects_continue, bool keep_alive);

  std::vector<Action> begin();  // the head has come
  std::vector<Action> handle(const Event& event);

  // What is waited for, for the limits of time.
  bool waits_for_client_bytes() const { return reads_client_ && client_ == Client::sending; }
  bool waits_for_client_to_take() const { return writes_client_; }
  bool waits_for_server_to_take() const { return writes_server_ && server_ == Server::open; }
  bool waits_for_answer_bytes() const { return reads_server_ && answer_ == Answer::passing; }
  bool drains() const { return client_ == Client::draining; }
  bool over() const { return client_ == Client::closed && server_ == Server::none; }
  // The client may have all of it by now: what it sends then is its next request.
  bool answer_is_whole() const { return answer_ == Answer::own || answer_ == Answer::done || reply_.whole; }
  std::size_t held_of_request() const { return static_cast<std::size_t>(request_.end - request_.base); }
  std::size_t held_of_answer() const { return static_cast<std::size_t>(reply_.end - reply_.base); }

 private:
  enum class Client { sending, sent, draining, closed };
  enum class Server { none, opening, open };
  enum class Answer { none, passing, own, done };
  struct Flow {
    std::uint64_t base = 0, sent = 0, end = 0;
    bool whole = false;
    bool paused = false;
  };

  void put(Do what) { out_.push_back({what, {}, false, 0}); }
  void tell_ended(snowknot::Outcome outcome);
  void server_failed(snowknot::Outcome outcome);
  void broke(bool head_began);
  void client_lost();
  void answer_ourselves(int status);
  void answer_given();
  void stop_upload();
  void drop_sent();
  void pump();
  bool may_read(Flow& flow) const;

  ExchangeLimits limits_;
  Coding coding_;
  Client client_;
  Server server_ = Server::none;
  Answer answer_ = Answer::none;
  Flow request_, reply_;
  bool keeps_ = true;  // the body from its start
  bool waits_to_go_on_, keep_alive_;
  bool head_written_ = false, finishing_ = false, finished_ = false, unwritable_ = false;  // of this attempt
  bool ends_answer_ = false, told_waits_ = false;
  bool reads_client_ = false, writes_client_ = false, reads_server_ = false, writes_server_ = false;
  std::uint64_t drained_ = 0;
  std::vector<Action> out_;
};

}  // namespace docklift::stream
