#include "discovery.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <set>

#include "facts.hpp"
#include "settings_reader.hpp"

namespace snowknot {
namespace {

// The same at every node, and the same for ever: FNV-1a.
std::uint32_t hashed(std::string_view text) {
  std::uint32_t n = 2166136261U;
  for (const char c : text) n = (n ^ static_cast<unsigned char>(c)) * 16777619U;
  return n;
}

}  // namespace

using namespace reading;
namespace http = boost::beast::http;

// ---- Reading a list -------------------------------------------------------------------------------------

// Ids hold 8 hex digits after a dash: they are the number, at every node. Another form is hashed; where two
// ids would share a number, the later one takes the next that is free here.
ServerId Discovery::number_of(const std::string& id) {
  if (const auto it = numbers_.find(id); it != numbers_.end()) return it->second;
  const auto digits = std::string_view(id).substr(std::min(id.size(), id.rfind('-') + 1));
  std::uint32_t n = 0;
  const auto [end, failed] = std::from_chars(digits.data(), digits.data() + digits.size(), n, 16);
  if (failed != std::errc{} || end != digits.data() + digits.size()) n = hashed(id);
  while (ids_.contains(ServerId(n))) ++n;
  numbers_.emplace(id, ServerId(n));
  ids_.emplace(ServerId(n), id);
  return ServerId(n);
}

// A server that is gone leaves nothing behind; should it come back, its number follows from its id.
void Discovery::forget(const std::string& id) {
  if (const auto number = numbers_.extract(id)) ids_.erase(number.mapped());
}

// Zones that the settings don't name are told apart by a hash, so that nothing is kept for them.
ZoneIndex Discovery::zone_of(const std::string& name) const {
  const auto it = zones_.find(name);
  return ZoneIndex(it != zones_.end() ? it->second : hashed(name));
}

std::optional<Discovery::Entry> Discovery::entry(const json& e) {
  static constexpr std::array<std::pair<const char*, Phase>, 3> phases{
      {{"SERVING", Phase::ready}, {"DRAINING", Phase::draining}, {"DELETED", Phase::gone}}};
  try {
    object_of(e, "members");
    Entry n;
    const auto& id = text(e, "id");
    n.info.phase = named(e, "phase", phases);
    const auto address = endpoint_of(text(e, "host_port"));
    if (!address) wrong("host_port", "an address and a port");
    n.address = *address;
    n.info.cell = small(e, "cell");
    if (const auto* up = optional_field(e, "up_since_ms"))
      if (const auto ms = integer_of(*up, "up_since_ms"); ms > 0)
        n.info.started = Time(std::chrono::milliseconds(ms));
    if (const auto* size = optional_field(e, "size")) n.info.weight = reading::number_of(*size, "size");
    n.info.zone = zone_of(text(e, "locality"));
    n.info.id = number_of(id);
    return n;
  } catch (const std::exception& x) {
    note(std::string("discovery: an entry is passed over: ") + x.what());
    return std::nullopt;
  }
}

// An entry that can't be read is passed over; the rest of the list still counts. False if nothing can be read.
bool Discovery::take(const json& list, bool cached) {
  try {
    object_of(list, "list");
    const auto revision = natural_of(field(list, "revision"), "revision");
    const bool complete = truth(list, "complete");
    std::vector<Entry> entries;
    for (const auto& e : list_of(field(list, "members"), "members"))
      if (auto n = entry(e)) entries.push_back(std::move(*n));
    // A complete list of which nothing could be read says nothing of the servers that were known.
    if (complete && entries.empty() && !field(list, "members").empty()) return false;
    revision_ = revision;
    std::set<ServerId> left;
    if (complete)
      for (const auto& [number, id] : ids_) left.insert(number);
    for (const auto& e : entries) {
      if (e.info.phase == Phase::gone)
        left.insert(e.info.id);
      else
        left.erase(e.info.id);
    }
    for (const auto number : left) forget(std::string(ids_[number]));
    told_(cached ? ListKind::cached : complete ? ListKind::full : ListKind::changes, entries);
    return true;
  } catch (const std::exception& x) {
    note(std::string("discovery: a list is passed over: ") + x.what());
    return false;
  }
}

// ---- The watch ------------------------------------------------------------------------------------------

// A watch at one address, begun again whenever it ends, until it is stopped.
class Discovery::Watch : public std::enable_shared_from_this<Watch> {
 public:
  Watch(Discovery& owner, const Tcp::endpoint& at, std::string host)
      : owner_(owner),
        timers_(owner.timers_),
        at_(at),
        host_(std::move(host)),
        socket_(owner.io_.get_executor()) {}

  bool up() const { return up_; }

  void connect_after(Duration pause) {
    silence_ = timers_.after(pause, [this] {
      silence_.reset();
      connect();
    });
  }

  void connect() {
    const auto number = ++life_;
    silence_ = timers_.after(facts::kConnectLimit, [this] {
      silence_.reset();
      again();
    });
    socket_.async_connect(at_, [self = shared_from_this(), number](const error_code& failed) {
      if (number == self->life_) self->on_connected(failed);
    });
  }

  // It is of no more use: what comes of its last operations is passed over.
  void stop() {
    ++life_;
    up_ = false;
    timers_.cancel(silence_);
    close_now(socket_);
  }

  // Nothing new is to be had at its address: when it ends it is not begun again.
  void make_last() { last_ = true; }

 private:
  void on_connected(const error_code& failed) {
    if (failed) return again();
    set_no_delay(socket_);
    request_ = {http::verb::get, "/api/targets?watch=1&from=" + std::to_string(owner_.revision_), 11};
    request_.set(http::field::host, host_);
    buffer_.clear();
    parser_.emplace();
    parser_->body_limit(boost::none);
    parser_->eager(true);
    expect_line();
    http::async_write(socket_, request_,
                      [self = shared_from_this(), number = life_](const error_code& broken, std::size_t) {
                        if (number == self->life_ && broken) self->again();
                      });
    read();
  }

  // While all is well a line comes every 2 s, if only an empty one. A connection on which two in a row are
  // missing is given up in time for the next to learn what happened before it counts as told.
  void expect_line() {
    timers_.cancel(silence_);
    silence_ = timers_.after(2 * facts::kWatchLine + facts::kWatchLine / 4, [this] {
      silence_.reset();
      note("discovery: silent");
      const bool ended = up_;
      stop();
      if (!last_) connect_after(owner_.pause_.after_silence(ended));
    });
  }

  void read() {
    socket_.async_read_some(
        buffer_.prepare(facts::kReadSize),
        [self = shared_from_this(), number = life_](const error_code& failed, std::size_t bytes) {
          if (number == self->life_) self->on_read(failed, bytes);
        });
  }

  void on_read(const error_code& failed, std::size_t bytes) {
    if (failed) return again();
    buffer_.commit(bytes);
    expect_line();
    const auto number = life_;
    const bool good = take_bytes();
    if (number != life_) return;  // what was told has stopped it
    if (!good) return again();
    read();
  }

  // False if the watch has ended or can't be read on.
  bool take_bytes() {
    error_code wrong;
    while (!parser_->is_done() && buffer_.size() > 0) {
      buffer_.consume(parser_->put(buffer_.data(), wrong));
      if (wrong == http::error::need_more) break;
      if (wrong) return false;
    }
    if (!parser_->is_header_done()) return true;
    if (parser_->get().result() != http::status::ok) return false;
    if (!std::exchange(up_, true)) owner_.begun(*this);
    auto& body = parser_->get().body();
    std::size_t begin = 0;
    for (auto end = body.find('\n'); end != std::string::npos; end = body.find('\n', begin)) {
      std::string_view line(body.data() + begin, end - begin);
      begin = end + 1;
      if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
      if (line.empty()) continue;
      const auto list = json::parse(line, nullptr, false);
      // What was in it is not known: the watch is begun again from the last version that could be read.
      if (list.is_discarded() || !owner_.take(list, false)) return false;
      owner_.pause_.worked();
    }
    body.erase(0, begin);
    return !parser_->is_done() && body.size() <= facts::kMostList;
  }

  void again() {
    const bool ended = up_;
    stop();
    if (!last_) connect_after(ended ? owner_.pause_.after_end() : owner_.pause_.after_failure());
  }

  Discovery& owner_;
  Timers& timers_;
  Tcp::endpoint at_;
  std::string host_;
  Socket socket_;
  std::uint64_t life_ = 0;  // number of the connection
  bool up_ = false, last_ = false;
  boost::beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  std::optional<http::response_parser<http::string_body>> parser_;
  Timers::Handle silence_;
};

Discovery::Discovery(asio::io_context& io, Timers& timers, const Tcp::endpoint& at, std::string host,
                     std::map<std::string, std::uint32_t> zones, Told told, CallPause pause)
    : io_(io),
      timers_(timers),
      at_(at),
      host_(std::move(host)),
      zones_(std::move(zones)),
      told_(std::move(told)),
      pause_(std::move(pause)) {}

Discovery::~Discovery() {
  for (const auto& w : {watch_, former_})
    if (w) w->stop();
}

void Discovery::start(const json& known) {
  take(known, true);
  watch_ = std::make_shared<Watch>(*this, at_, host_);
  watch_->connect();
}

void Discovery::move_to(const Tcp::endpoint& at, const std::string& host) {
  if (at == at_) return;
  at_ = at, host_ = host;
  if (!watch_) return;
  if (watch_->up()) {
    if (former_) former_->stop();
    former_ = std::move(watch_);
    former_->make_last();
  } else {
    watch_->stop();  // one that never began, or that had ended, at an address that is no longer right
  }
  watch_ = std::make_shared<Watch>(*this, at_, host_);
  watch_->connect();
}

// The new watch holds all that the one before it might still tell.
void Discovery::begun(const Watch& watch) {
  if (&watch != watch_.get()) return;
  if (const auto former = std::exchange(former_, nullptr)) former->stop();
}

}  // namespace snowknot
