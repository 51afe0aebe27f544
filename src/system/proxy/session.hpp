// A client's connection: whole requests are read and handed over one by one, in order; answers go out in that order. What is
// behind a request that is under way stays in the socket and the buffer.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>

#include "net/net.hpp"
#include "system/configuration/configuration.hpp"
#include "system/http/head.hpp"
#include "system/net/link.hpp"

namespace docklift::proxy {

struct Request {
  std::string method, target, host, attempt_id, key, head;  // `head`: what goes on to a server, without what is the proxy's to say
  std::shared_ptr<const std::string> body;                  // null: none
  bool has_body = false;
  std::optional<double> deadline_ms;
};

class Session : public std::enable_shared_from_this<Session> {
 public:
  struct Host {
    virtual ~Host() = default;
    virtual configuration::Limits limits() const = 0;
    virtual bool draining() const = 0;
    virtual void on_request(const std::shared_ptr<Session>& session, Request request) = 0;
    virtual void on_ended(const std::shared_ptr<Session>& session) = 0;
  };
  Session(Host& host, snowknot::Timers& timers, Socket socket);

  void start();
  // The answer to the request that is under way: whole, with the place where its fields end.
  void answer(std::string reply, std::size_t body_at);
  // One of the proxy's own.
  void answer(int status, Duration retry_after);
  void drain();  // ends when nothing is under way
  void close();
  bool busy() const { return busy_; }

 private:
  void read();
  void take();
  bool take_body();
  void refuse(int status);  // of a request that can't be read: the connection ends
  void wait_for(double ms, bool idle);
  void write(std::string out, bool then_close);

  Host* host_;
  snowknot::Timers& timers_;
  Socket socket_;
  std::array<char, 4096> chunk_;
  std::string in_, out_;
  Request request_;
  stream::BodyDecoder decoder_;
  std::string body_;
  bool reading_ = false, in_body_ = false, busy_ = false, keep_ = true, closed_ = false, ended_ = false, writing_ = false;
  snowknot::Timers::Handle limit_;
};

}  // namespace docklift::proxy
