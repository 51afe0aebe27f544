#include "load.hpp"

#include <sys/socket.h>

#include <array>
#include <cstdio>

#include "async.hpp"
#include "discovery.hpp"

namespace docklift::rigs {

namespace asio = boost::asio;
using snowknot::error_code;
using async::into;
using async::kAwait;
using async::Steady;
using async::Timer;

namespace {

constexpr std::chrono::milliseconds kPatience{2000}, kMargin{500};
constexpr std::size_t kMostFaults = 8;

// The status of a whole answer at the front of the text, and how long that answer is; 0: not whole.
int whole_answer(const std::string& in) {
  const auto head = in.find("\r\n\r\n");
  if (head == std::string::npos || in.size() < 12) return 0;
  std::size_t length = 0;
  if (const auto at = in.find("Content-Length: "); at != std::string::npos && at < head)
    length = std::stoul(in.substr(at + 16, 12));
  return in.size() >= head + 4 + length ? std::stoi(in.substr(9, 3)) : 0;
}

}  // namespace

Load::Load(asio::io_context& io, const standins::Platform& platform, const std::string& node, Figures& figures,
           std::uint64_t seed, Mix mix)
    : io_(io),
      platform_(platform),
      node_(*snowknot::endpoint_of(node)),
      figures_(figures),
      random_(seed),
      mix_(std::move(mix)),
      seed_(seed) {}

void Load::set_rate(double per_second) { rate_ = per_second; }

void Load::run() { asio::co_spawn(io_.get_executor(), pace(), asio::detached); }

Load::Task<void> Load::pace() {
  Timer timer(io_.get_executor());
  auto at = Steady::now();
  while (running_) {
    const auto gap = std::chrono::nanoseconds(rate_ > 0 ? static_cast<std::int64_t>(1e9 / rate_) : 10'000'000);
    at = std::max(at + gap, Steady::now() - std::chrono::milliseconds(100));
    timer.expires_at(at);
    error_code ignored;
    co_await timer.async_wait(into(ignored));
    if (running_ && up_ && rate_ > 0) asio::co_spawn(io_.get_executor(), ask(next()), asio::detached);
  }
}

Load::Request Load::next() {
  Request r;
  std::array<char, 40> text{};
  std::snprintf(text.data(), text.size(), "%08llx%08llx", static_cast<unsigned long long>(seed_),
                static_cast<unsigned long long>(++number_));
  r.id = text.data();
  const double kind = std::uniform_real_distribution<>(0, 1)(random_);
  const auto customer = std::uniform_int_distribution<std::uint64_t>(
      mix_.first_customer, mix_.first_customer + mix_.customers - 1)(random_);
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(customer));
  r.effect = kind < mix_.safe ? 's' : kind < mix_.safe + mix_.keyed ? 'k' : 'u';
  const auto cls = r.effect == 's' ? "route" : r.effect == 'k' ? "notice-keyed" : "gate-notice";
  const std::string plan = !mix_.plan.empty() ? mix_.plan : customer % 2 == 0 ? "premium" : "basic";
  r.text = std::string(r.effect == 's' ? "GET" : "POST") + " /" + cls + " HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: " +
           r.id + "\r\nX-Priority-Class: " + cls + "\r\nX-Plan: " + plan +
           "\r\nCookie: client=" + text.data() + "\r\nX-Timeout-Ms: " + std::to_string(kPatience.count()) +
           "\r\nX-Quota: units=1,spread=" +
           std::to_string(mix_.spread) + ",first=0\r\n";
  if (mix_.asked) mix_.asked(r.id, customer);
  if (r.effect == 'k') r.text += "Idempotency-Key: k" + r.id + "\r\n";
  r.text += r.effect == 's' ? "\r\n" : "Content-Length: 4\r\n\r\nbody";
  return r;
}

// A kept connection that the other side hasn't closed, or a new one; null if it can't be made.
Load::Task<Load::LinkPtr> Load::link(bool fresh) {
  while (!fresh && !idle_.empty()) {
    auto l = idle_.back();
    idle_.pop_back();
    char byte = 0;
    const auto n = ::recv(l->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) co_return l;
    snowknot::close_now(l->socket);
  }
  const bool up = up_;
  const auto kills = kills_;
  snowknot::Socket socket(io_.get_executor());
  error_code failed;
  co_await socket.async_connect(node_, into(failed));
  if (failed) {
    if (up && up_ && kills == kills_) {
      ++figures_.refused_connects;
      if (figures_.faults.size() < kMostFaults) figures_.faults.push_back("connect: " + failed.message());
    }
    co_return nullptr;
  }
  snowknot::set_no_delay(socket);
  auto l = std::make_shared<Link>(std::move(socket));
  std::erase_if(all_, [](const auto& w) { return w.expired(); });
  all_.push_back(l);
  co_return l;
}

Load::Task<void> Load::ask(Request request) {
  ++open_;
  struct Count {
    std::size_t& n;
    ~Count() { --n; }
  } const counted{open_};
  const auto began = Steady::now();
  bool taken = false;  // it counts among the accepted
  for (bool again = false;; again = true) {
    const auto l = co_await link(again);
    if (!l) {
      if (taken) --figures_.accepted;  // it crossed a close and found the node away: another node's request now
      co_return;
    }
    const bool reused = std::exchange(l->used, true);
    error_code failed;
    co_await asio::async_write(l->socket, asio::buffer(request.text), into(failed));
    if (failed && !reused) {
      if (taken) --figures_.accepted;
      if (!l->killed) {  // a connection that was made and breaks before it can be used
        ++figures_.refused_connects;
        if (figures_.faults.size() < kMostFaults) figures_.faults.push_back("write: " + failed.message());
      }
      co_return;
    }
    if (!failed && !std::exchange(taken, true)) ++figures_.accepted;
    Timer limit(io_.get_executor(), kPatience + kMargin);
    bool late = false;
    limit.async_wait([&late, l](const error_code& cancelled) {
      if (cancelled) return;
      late = true;
      snowknot::close_now(l->socket);
    });
    std::string in;
    std::array<char, 2048> space{};
    int status = 0;
    while (!failed && (status = whole_answer(in)) == 0) {
      const auto n = co_await l->socket.async_read_some(asio::buffer(space), into(failed));
      in.append(space.data(), n);
    }
    // The timer's handler refers to this frame: let it run out before going on.
    if (!late) {
      limit.cancel();
      co_await asio::post(io_.get_executor(), kAwait);
    }
    if (status > 0) {
      ++figures_.answered;
      const auto now = Steady::now();
      if (figures_.last_answer != Steady::time_point{})
        figures_.longest_gap = std::max<std::chrono::nanoseconds>(figures_.longest_gap, now - figures_.last_answer);
      figures_.last_answer = now;
      if (figures_.keep_waits && status == 200)
        figures_.waits_ms.push_back(std::chrono::duration<double, std::milli>(now - began).count());
      ++(status == 200 ? figures_.served
                       : status == 429 || status == 503 ? figures_.refused
                                                        : status == 502 ? figures_.failed : figures_.other);
      if (in.find("Connection: close") == std::string::npos && !l->killed)
        idle_.push_back(l);
      else
        snowknot::close_now(l->socket);
      co_return;
    }
    const bool killed = l->killed;
    snowknot::close_now(l->socket);
    if (killed) {
      ++figures_.to_kills;
      co_return;
    }
    const auto seen = platform_.ledger().find(request.id);
    // The node may close a connection between requests. One that crosses that, unread, is sent again, once.
    if (reused && !again && !late && in.empty() && seen == platform_.ledger().end()) {
      ++figures_.resent;
      continue;
    }
    ++figures_.unanswered;
    if (figures_.faults.size() < kMostFaults)
      figures_.faults.push_back(request.id + " (" + request.effect + "): " + (late ? "late" : failed.message()) +
                                (reused ? ", reused" : ", new") + (again ? ", sent again" : "") +
                                (seen == platform_.ledger().end() ? ", not seen by a server" : ", seen by a server") +
                                ", " + std::to_string(in.size()) + " bytes back");
    co_return;
  }
}

void Load::killed() {
  ++kills_;
  for (const auto& w : all_)
    if (const auto l = w.lock()) l->killed = true;
  for (const auto& l : std::exchange(idle_, {})) snowknot::close_now(l->socket);
}

}  // namespace docklift::rigs
