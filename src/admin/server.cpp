#include "admin/server.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "facts.hpp"

namespace docklift::admin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using snowknot::error_code;
using snowknot::Socket;

class Server::Caller : public std::enable_shared_from_this<Server::Caller> {
 public:
  Caller(Server& server, Socket socket) : server_(server), socket_(std::move(socket)) {
    parser_.header_limit(static_cast<std::uint32_t>(server.limits_.head));
    parser_.body_limit(server.limits_.body);
    parser_.eager(true);
  }

  void start(Callers::iterator place) {
    place_ = place;
    snowknot::set_no_delay(socket_);
    limit_ = server_.timers_.after(server_.limits_.call, [this] {
      limit_.reset();
      answer({408, "the call did not come\n"});
    });
    read();
  }
  void end() {
    if (std::exchange(ended_, true)) return;
    server_.timers_.cancel(limit_);
    snowknot::close_now(socket_);
    const auto self = shared_from_this();
    server_.callers_.erase(place_);
  }
  bool answered() const { return answered_; }

 private:
  void read() {
    if (std::exchange(reads_, true)) return;
    socket_.async_read_some(buffer_.prepare(snowknot::facts::kReadSize),
                            [self = shared_from_this()](const error_code& failed, std::size_t bytes) {
                              self->reads_ = false;
                              if (self->ended_) return;
                              if (failed) return self->end();
                              self->buffer_.commit(bytes);
                              self->answered_ ? self->drop() : self->parse();
                            });
  }
  // Behind a call: read and dropped, so that its answer is not lost with a reset.
  void drop() {
    dropped_ += buffer_.size();
    buffer_.clear();
    dropped_ > server_.limits_.body ? end() : read();
  }
  void parse() {
    error_code failed;
    while (!parser_.is_done() && buffer_.size() > 0) {
      buffer_.consume(parser_.put(buffer_.data(), failed));
      if (failed == http::error::need_more) break;
      if (failed == http::error::header_limit) return answer({431, "the header is too large\n"});
      if (failed == http::error::body_limit) return answer({413, "the body is too large\n"});
      if (failed) return answer({400, failed.message() + "\n"});
    }
    if (!parser_.is_done()) {
      if (buffer_.size() > server_.limits_.head) return answer({431, "the header is too large\n"});
      return read();
    }
    const auto& message = parser_.get();
    if (message.version() != 11 && message.version() != 10) return answer({400, "the version of HTTP\n"});
    const auto method = message.method_string(), target = message.target();
    const auto call = asked({method.data(), method.size()}, {target.data(), target.size()});
    if (call.status == 404) return answer({404, "no such path\n"});
    if (call.status != 0) return answer({call.status, "the method does not go with the path\n"});
    answer(admin::carry_out(call.call, server_.process_));
  }
  void answer(const Reply& reply) {
    answered_ = true;
    server_.timers_.cancel(limit_);
    limit_ = server_.timers_.after(server_.limits_.linger, [this] {
      limit_.reset();
      end();
    });
    const auto why = http::obsolete_reason(static_cast<http::status>(reply.status));
    out_ = "HTTP/1.1 " + std::to_string(reply.status) + " " + std::string(why.data(), why.size()) +
           "\r\nContent-Type: " + reply.type + "\r\nConnection: close\r\nContent-Length: " + std::to_string(reply.body.size()) +
           "\r\n\r\n" + reply.body;
    asio::async_write(socket_, asio::buffer(out_), [self = shared_from_this()](const error_code& failed, std::size_t) {
      if (self->ended_) return;
      if (failed) return self->end();
      error_code ignored;
      self->socket_.shutdown(Socket::shutdown_send, ignored);
      self->drop();
    });
  }

  Server& server_;
  Socket socket_;
  boost::beast::flat_buffer buffer_;
  http::request_parser<http::string_body> parser_;
  std::string out_;
  Callers::iterator place_;
  snowknot::Timers::Handle limit_;
  std::size_t dropped_ = 0;
  bool reads_ = false, answered_ = false, ended_ = false;
};

Server::Server(asio::io_context& io, snowknot::Timers& timers, const snowknot::Tcp::endpoint& at, Process& process,
               ServerLimits limits)
    : io_(io), timers_(timers), process_(process), limits_(limits), acceptor_(io.get_executor()) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen(asio::socket_base::max_listen_connections);
  accept();
}

Server::~Server() {
  timers_.cancel(again_);
  const auto all = callers_;
  for (const auto& c : all) c->end();
}

void Server::accept() {
  acceptor_.async_accept([this](const error_code& failed, Socket socket) {
    if (failed == asio::error::operation_aborted) return;
    if (failed) {  // no descriptor, say
      again_ = timers_.after(snowknot::facts::kAcceptPause, [this] {
        again_.reset();
        accept();
      });
      return;
    }
    if (callers_.size() >= limits_.most_callers) {
      const auto done = std::ranges::find_if(callers_, [](const auto& c) { return c->answered(); });
      const auto first = done != callers_.end() ? *done : callers_.front();
      first->end();
    }
    const auto caller = std::make_shared<Caller>(*this, std::move(socket));
    caller->start(callers_.insert(callers_.end(), caller));
    accept();
  });
}

}  // namespace docklift::admin
