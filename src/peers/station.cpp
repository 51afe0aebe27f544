#include "peers/station.hpp"

#include <algorithm>

namespace docklift::peers {

namespace asio = snowknot::asio;
using snowknot::Discovery;
using snowknot::error_code;
using snowknot::ListKind;
using snowknot::note;
using snowknot::ServerId;

namespace {

constexpr std::chrono::milliseconds kBindRetryInterval{50};
constexpr std::size_t kMaxCachedAddresses = 8192;

replica::ServerPhases::Entry to_list_entry(const snowknot::ServerInfo& info) {
  replica::ServerPhases::Entry e;
  e.id = static_cast<std::uint32_t>(info.id);
  if (info.started)
    e.start = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(info.started->time_since_epoch()).count());
  e.phase = info.phase == snowknot::Phase::ready      ? replica::ServerPhase::ready
            : info.phase == snowknot::Phase::draining ? replica::ServerPhase::draining
                                                      : replica::ServerPhase::gone;
  return e;
}

// Logs a line as a JSON object, so that the logs of several nodes can be merged.
void print(Instant now, const std::string& node, const Actions::Line& l) {
  note(nlohmann::json{{"ms", now.count() / 1'000'000}, {"node", node}, {"room", l.module}, {"text", l.text}}
           .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace

// Routes the module's calls to the counter store, and the store's answers, through the Peer.
class Station::InterceptingStore : public snowknot::CountStore {
 public:
  InterceptingStore(Station& station, Told answer_handler, Lost loss_handler)
      : on_answer(std::move(answer_handler)), on_lost(std::move(loss_handler)), station_(station) {
    station_.store_ = this;
  }
  ~InterceptingStore() override { station_.store_ = nullptr; }
  void add(snowknot::CountName name, double amount, snowknot::Duration lifetime) override {
    station_.carry_out(station_.peer_.add(station_.now(), name, amount, lifetime));
  }
  bool tried() const override { return inner->tried(); }
  void move_to(const snowknot::Tcp::endpoint& at) override { inner->move_to(at); }

  const Told on_answer;
  const Lost on_lost;
  std::unique_ptr<snowknot::CountStore> inner;

 private:
  Station& station_;
};

Station::Station(asio::io_context& io, snowknot::Timers& timers, StationOptions options, std::uint64_t seed)
    : io_(io), timers_(timers), options_(std::move(options)), peer_(options_.peer, seed), socket_(io.get_executor()) {}

Station::~Station() {
  timers_.cancel(tick_timer_);
  timers_.cancel(bind_retry_);
}

snowknot::StoreFactory Station::wrapped(snowknot::StoreFactory inner) {
  return [this, inner = std::move(inner)](asio::io_context& io, snowknot::Timers& timers, snowknot::Duration limit,
                                          snowknot::CountStore::Told on_answer,
                                          snowknot::CountStore::Lost on_lost) {
    auto store = std::make_unique<InterceptingStore>(*this, std::move(on_answer), std::move(on_lost));
    store->inner = inner(
        io, timers, limit, [this](const snowknot::CountAnswer& a) { carry_out(peer_.store_answered(now(), a)); },
        [this](const snowknot::CountsLost& e) { carry_out(peer_.store_lost(now(), e)); });
    return store;
  };
}

// ---- The socket -------------------------------------------------------------------------------------------

void Station::start() {
  if (options_.disk) return open_disk();
  bind();
}

// Reads this node's own records before it sends anything: its start number must be higher than any used
// before.
void Station::open_disk() {
  keeper_ = std::make_unique<recovery::JournalWriter>(
      io_, timers_, *options_.disk,
      recovery::JournalWriter::Owner{.found = [this](const journal::Recovered& found) {
                                carry_out(peer_.remember(now(), recovery::restore_state(found, options_.disk->node)));
                                bind();
                              },
                              .durable = [this](std::uint64_t number) { carry_out(peer_.durable(now(), number)); },
                              .fails = [this] { carry_out(peer_.on_disk_failure(now())); }});
  keeper_->open();
}

void Station::write_to_disk() {
  if (!keeper_ || !keeper_->opened() || !peer_.has_for_disk()) return;
  const auto all = peer_.to_disk();
  keeper_->put(all.number, all.changes);
}

void Station::bind() {
  error_code failed;
  const Udp::endpoint at(options_.listen.address(), options_.listen.port());
  socket_.open(at.protocol(), failed);
  if (!failed) socket_.bind(at, failed);
  if (failed) {
    if (!std::exchange(bind_error_logged_, true))
      note("peers: " + snowknot::shown(options_.listen) + ": " + failed.message() + "; retrying");
    error_code ignored;
    socket_.close(ignored);
    bind_retry_ = timers_.after(kBindRetryInterval, [this] {
      bind_retry_.reset();
      bind();
    });
    return;
  }
  socket_.non_blocking(true, failed);
  bound_ = true;
  receive();
  carry_out(peer_.begin(now()));
}

void Station::receive() {
  socket_.async_receive_from(asio::buffer(receive_buffer_), sender_,
                             [this](const error_code& failed, std::size_t bytes) {
                               if (failed == asio::error::operation_aborted || !bound_) return;
                               if (!failed) carry_out(peer_.datagram(now(), {receive_buffer_.data(), bytes}));
                               if (bound_) receive();
                             });
}

std::optional<Station::Udp::endpoint> Station::endpoint_of(const std::string& address) {
  const auto known = endpoints_.find(address);
  if (known != endpoints_.end()) return known->second;
  const auto at = snowknot::endpoint_of(address);
  if (!at) return std::nullopt;
  if (endpoints_.size() >= kMaxCachedAddresses) endpoints_.clear();
  return endpoints_.emplace(address, Udp::endpoint(at->address(), at->port())).first->second;
}

void Station::leave() {
  if (std::exchange(left_, true)) return;
  timers_.cancel(bind_retry_);
  if (!bound_) return void(keeper_.reset());
  carry_out(peer_.leave(now()));
  keeper_.reset();
  bound_ = false;
  timers_.cancel(tick_timer_);
  error_code ignored;
  socket_.close(ignored);
}

// ---- Actions of the Peer ----------------------------------------------------------------------------------

// Executes actions in order: those that result from executing an action are queued behind the current ones.
void Station::carry_out(Actions out) {
  pending_actions_.push_back(std::move(out));
  if (std::exchange(executing_, true)) return;
  while (!pending_actions_.empty()) {
    auto next = std::move(pending_actions_.front());
    pending_actions_.pop_front();
    execute(next);
  }
  executing_ = false;
  write_to_disk();
  arm();
}

void Station::execute(Actions& out) {
  for (const auto& l : out.log) print(now(), options_.peer.self.name, l);
  for (const auto& d : out.datagrams) {
    const auto to = endpoint_of(d.to);
    error_code ignored;  // a datagram dropped by a full buffer is like one lost on the network
    if (bound_ && to) socket_.send_to(asio::buffer(d.bytes), *to, 0, ignored);
  }
  if (out.lost && store_) store_->on_lost(*out.lost);
  for (const auto& a : out.answers)
    if (store_) store_->on_answer(a);
  for (const auto& a : out.adds)
    if (store_) store_->inner->add(a.name, a.amount, a.lifetime);
  if (node_)
    for (const auto& b : out.beliefs) node_->told_of({ServerId{b.id}, b.success});
  if (out.servers.empty() || !node_) return;
  std::vector<Discovery::Entry> entries;
  for (const auto& t : out.servers) apply_override(t, entries);
  if (!entries.empty()) node_->retell(entries);
}

void Station::arm() {
  if (!bound_ && !tick_timer_) return;
  const auto due = bound_ ? std::optional(peer_.due()) : std::nullopt;
  if (due && armed_for_ == due && tick_timer_) return;
  timers_.cancel(tick_timer_);
  armed_for_ = due;
  if (!due) return;
  tick_timer_ = timers_.at(snowknot::Time(std::max(*due, Instant{})), [this] {
    tick_timer_.reset(), armed_for_.reset();
    if (bound_) carry_out(peer_.tick(now()));
  });
}

// ---- The list of servers ----------------------------------------------------------------------------------

// Applies a drain reported by another node, or its end, to `entries`; a server that isn't among them is
// appended as this node's own list has it.
void Station::apply_override(const replica::ServerPhases::Override& change, std::vector<Discovery::Entry>& entries) {
  const ServerId id{change.id};
  const auto it = std::ranges::find_if(entries, [&](const auto& e) { return e.info.id == id; });
  if (it != entries.end()) {
    if (change.draining) it->info.phase = snowknot::Phase::draining;
    return;
  }
  const auto known = servers_.find(id);
  if (known == servers_.end()) return;
  entries.push_back(known->second);
  if (change.draining) entries.back().info.phase = snowknot::Phase::draining;
}

void Station::ended(ServerId server, snowknot::Outcome outcome) {
  using enum snowknot::Outcome;
  if (outcome != cancelled && outcome != never_sent)
    peer_.record_attempt(now(), static_cast<std::uint32_t>(server), outcome == ok);
}

void Station::listed(ListKind kind, std::uint64_t revision, std::vector<Discovery::Entry>& entries) {
  const bool complete = kind != ListKind::changes;
  if (complete) servers_.clear();
  std::vector<replica::ServerPhases::Entry> entries_for_peer;
  for (const auto& e : entries) {
    entries_for_peer.push_back(to_list_entry(e.info));
    if (e.info.phase == snowknot::Phase::gone) servers_.erase(e.info.id);
    else servers_[e.info.id] = e;
  }
  auto out = peer_.listed(now(), complete, revision, entries_for_peer);
  for (const auto& t : std::exchange(out.servers, {})) apply_override(t, entries);
  carry_out(std::move(out));
}

}  // namespace docklift::peers
