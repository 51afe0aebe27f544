#include "stream/exchange.hpp"

#include <algorithm>
#include <utility>

namespace docklift::stream {

using snowknot::Outcome;

namespace {
constexpr int kBadRequest = 400, kTimeout = 408, kTooLarge = 413;
}

Exchange::Exchange(ExchangeLimits limits, BodyKind request, bool expects_continue, bool keep_alive)
    : limits_(limits),
      coding_(request.coding),
      client_(request.coding == Coding::none || (request.coding == Coding::length && request.length == 0)
                  ? Client::sent
                  : Client::sending),
      waits_to_go_on_(expects_continue && client_ == Client::sending),
      keep_alive_(keep_alive) {
  request_.whole = client_ == Client::sent;
}

std::vector<Action> Exchange::begin() {
  pump();
  return std::exchange(out_, {});
}

std::vector<Action> Exchange::handle(const Event& e) {
  switch (e.what) {
    case Happened::client_bytes:
      reads_client_ = false;
      if (client_ == Client::draining) {
        drained_ += e.n;
        if (drained_ > limits_.drain) {
          keep_alive_ = false;
          client_ = Client::sent;  // nothing more is read of it; closed when the answer is out
          if (answer_ == Answer::done) answer_given();
        }
      } else if (client_ == Client::sending) {
        request_.end += e.n;
        if (request_.end > limits_.most_request) answer_ourselves(kTooLarge);
      }
      break;
    case Happened::client_end:
      if (client_ == Client::sending) request_.whole = true, client_ = Client::sent;
      if (client_ == Client::draining) {
        client_ = Client::sent;
        if (answer_ == Answer::done) answer_given();
      }
      break;
    case Happened::client_bad:
      keep_alive_ = false;
      if (client_ == Client::sending) answer_ourselves(kBadRequest);
      if (client_ == Client::draining) {
        client_ = Client::sent;
        if (answer_ == Answer::done) answer_given();
      }
      break;
    case Happened::client_gone: client_lost(); break;
    case Happened::send:
      if (server_ != Server::none) break;
      if (answer_ != Answer::none) {  // given in the meantime
        out_.push_back({Do::tell_ended, Outcome::never_sent, true, 0});
        break;
      }
      server_ = Server::opening;
      head_written_ = finishing_ = finished_ = unwritable_ = false;
      if (request_.sent > 0) {
        request_.sent = 0;
        put(Do::rewind);
      }
      if (std::exchange(waits_to_go_on_, false)) put(Do::go_on);
      put(Do::open_server);
      break;
    case Happened::refuse:
    case Happened::fail:
      if (answer_ == Answer::passing) {
        if (server_ != Server::none) tell_ended(Outcome::cancelled);
        client_lost();
      } else if (answer_ == Answer::none) {
        answer_ourselves(0);
      }
      break;
    case Happened::connected:
      if (server_ != Server::opening) break;
      server_ = Server::open;
      writes_server_ = true;
      put(Do::write_head);
      break;
    case Happened::connect_failed:
      if (server_ == Server::opening) server_failed(Outcome::connect_failed);
      break;
    case Happened::wrote:
      writes_server_ = false;
      if (server_ != Server::open) break;
      if (!head_written_) {
        head_written_ = true;
      } else if (finishing_) {
        finished_ = true;
      } else {
        request_.sent = std::min(request_.sent + e.n, request_.end);  // less where the rest was let go meanwhile
      }
      drop_sent();
      break;
    case Happened::write_broke:
      writes_server_ = false;
      if (server_ != Server::open) break;
      unwritable_ = true;  // an answer, or the connection's end, is still to be read
      if (answer_ != Answer::none) stop_upload();
      break;
    case Happened::server_head:
      if (server_ != Server::open || answer_ != Answer::none) break;
      if (!head_written_) {  // answered before it was asked
        broke(true);
        break;
      }
      answer_ = Answer::passing;
      reads_server_ = false;
      keeps_ = false;
      put(Do::tell_started);
      put(Do::answer_head);
      drop_sent();
      if (unwritable_) stop_upload();
      break;
    case Happened::server_other:
      if (server_ != Server::none && answer_ == Answer::none) server_failed(static_cast<Outcome>(e.n));
      break;
    case Happened::server_bytes:
      reads_server_ = false;
      if (server_ != Server::open || answer_ != Answer::passing) break;
      reply_.end += e.n;
      if (reply_.end > limits_.most_answer) server_failed(Outcome::error);
      break;
    case Happened::server_end:
      if (server_ != Server::open || answer_ != Answer::passing) break;
      reply_.whole = true;
      tell_ended(Outcome::ok);
      stop_upload();
      break;
    case Happened::server_gone:
      if (server_ == Server::open) broke(e.n != 0);
      break;
    case Happened::gave:
      writes_client_ = false;
      if (client_ == Client::closed) break;
      if (answer_ == Answer::own || ends_answer_) {
        answer_ = Answer::done;
        answer_given();
      } else {
        reply_.sent += e.n;
        reply_.base = reply_.sent;
      }
      break;
    case Happened::pressed:
      keeps_ = false;  // what is sent from now on is let go,
      // and what was. Not between two attempts: then the module has been told that the body is held.
      if (server_ == Server::open) drop_sent();
      break;
    case Happened::client_slow:
      if (client_ == Client::sending) {
        if (answer_ == Answer::none) {
          keep_alive_ = false;
          answer_ourselves(kTimeout);
        } else {
          // The answer goes on, but the rest of the body will not come: the server can't be kept waiting for it.
          client_lost();
        }
      } else if (client_ == Client::draining) {
        keep_alive_ = false;
        client_ = Client::sent;
        if (answer_ == Answer::done) answer_given();
      }
      break;
    case Happened::client_deaf: client_lost(); break;
    case Happened::server_deaf:
      // Ended by us before its last byte was written, it has not run.
      if (server_ == Server::open && answer_ == Answer::passing) {
        unwritable_ = true;  // it answers all the same
        stop_upload();
      } else if (server_ == Server::open) {
        server_failed(finished_ ? Outcome::timeout : Outcome::connect_failed);
      }
      break;
    case Happened::server_slow:
      if (server_ == Server::open) server_failed(Outcome::timeout);
      break;
    case Happened::too_late:
      if (answer_ == Answer::passing) {
        client_lost();
      } else if (server_ == Server::opening) {
        server_failed(Outcome::never_sent);
      } else if (server_ == Server::open) {
        server_failed(finished_ ? Outcome::timeout : Outcome::connect_failed);
      }
      break;
  }
  pump();
  return std::exchange(out_, {});
}

// The connection goes first and the outcome after it, so that two attempts are never out at once.
void Exchange::tell_ended(Outcome outcome) {
  put(Do::close_server);
  server_ = Server::none;
  writes_server_ = reads_server_ = false;
  out_.push_back({Do::tell_ended, outcome, request_.base > 0, 0});
}

void Exchange::broke(bool head_began) {
  server_failed(finished_ || head_began ? Outcome::reset : Outcome::connect_failed);
}

// Where the answer has begun, the client learns by the cut that it is not whole, and the module that it is over: nothing is to
// be tried again for it.
void Exchange::server_failed(Outcome outcome) {
  if (answer_ == Answer::passing) {
    put(Do::tell_gone);
    tell_ended(outcome);
    return client_lost();
  }
  tell_ended(outcome);
}

void Exchange::client_lost() {
  if (client_ == Client::closed) return;
  const bool open = answer_ == Answer::none || server_ != Server::none;
  if (open) put(Do::tell_gone);
  if (server_ != Server::none) tell_ended(Outcome::cancelled);
  client_ = Client::closed;
  answer_ = Answer::done;
  reads_client_ = writes_client_ = false;
  put(Do::clear_request);
  put(Do::cut_client);
}

// With status 0 it is the node's word, and the module knows; else the client's fault, which the module has to be told.
void Exchange::answer_ourselves(int status) {
  if (answer_ != Answer::none) return;
  answer_ = Answer::own;
  if (status != 0) put(Do::tell_gone);
  if (server_ != Server::none) tell_ended(Outcome::cancelled);
  stop_upload();
  if (status == kBadRequest) client_ = Client::sent;  // where the next request begins can't be told
  if (waits_to_go_on_ && client_ == Client::draining) {
    client_ = Client::sent;  // a body that was not asked for; whether it comes all the same is not known
    keep_alive_ = false;
  }
  writes_client_ = true;
  out_.push_back({Do::own_answer, {}, false, status});
}

// What is held of the body and what comes yet is of no more use.
void Exchange::stop_upload() {
  if (client_ == Client::sending) client_ = Client::draining;
  finished_ = finished_ || server_ != Server::none;  // nothing more is written
  request_.base = request_.sent = request_.end;
  put(Do::clear_request);
}

void Exchange::answer_given() {
  if (client_ == Client::sending || client_ == Client::draining) return;  // its body is read to its end first
  put(keep_alive_ ? Do::return_client : Do::close_client);
  client_ = Client::closed;
}

void Exchange::drop_sent() {
  if (keeps_ && request_.end > limits_.prefix) keeps_ = false;
  if (keeps_ || request_.sent == request_.base) return;
  request_.base = request_.sent;
  put(Do::drop_request);
}

bool Exchange::may_read(Flow& flow) const {
  const auto held = flow.end - flow.base;
  if (held >= limits_.window) flow.paused = true;
  if (held <= limits_.low) flow.paused = false;
  return !flow.paused;
}

void Exchange::pump() {
  if (client_ != Client::closed && !reads_client_) {
    const bool more = client_ == Client::sending ? may_read(request_) && !waits_to_go_on_ : client_ == Client::draining;
    // One whose request has come is read on, so that its going away is seen.
    const bool watch = client_ == Client::sent && answer_ != Answer::done;
    if (more || watch) {
      reads_client_ = true;
      put(Do::read_client);
    }
  }
  if (server_ == Server::open && head_written_ && !writes_server_ && !unwritable_ && !finished_) {
    if (coding_ != Coding::chunked && request_.whole && request_.sent == request_.end) {
      finished_ = true;
    } else if (request_.sent < request_.end) {
      writes_server_ = true;
      put(Do::write_server);
    } else if (request_.whole && coding_ == Coding::chunked) {
      writes_server_ = finishing_ = true;
      put(Do::finish_server);
    }
  }
  if (server_ == Server::open && !reads_server_ && (answer_ == Answer::none || may_read(reply_))) {
    reads_server_ = true;
    put(Do::read_server);
  }
  if (const bool waits = server_ == Server::open && (!finished_ || answer_ != Answer::none); waits != told_waits_) {
    told_waits_ = waits;
    if (server_ == Server::open) put(waits ? Do::tell_waits : Do::tell_works);
  }
  if (client_ != Client::closed && answer_ == Answer::passing && !writes_client_) {
    if (reply_.sent < reply_.end) {
      writes_client_ = true;
      put(Do::write_client);
    } else if (reply_.whole && !ends_answer_) {
      writes_client_ = ends_answer_ = true;
      put(Do::finish_client);
    }
  }
}

}  // namespace docklift::stream
