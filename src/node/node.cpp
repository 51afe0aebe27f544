#include "node.hpp"

#include <algorithm>

#include "facts.hpp"

namespace snowknot {
namespace {

std::size_t own_descriptors(const NodeConfig& c) {
  return facts::kOwnDescriptors + facts::kCounterLinks + (c.admin ? facts::kAdminDescriptors : 0);
}
std::size_t for_peers(const NodeConfig& c) {
  const auto own = own_descriptors(c);
  return c.descriptors > own ? c.descriptors - own : 1;
}
std::size_t for_clients(const NodeConfig& c) {
  return std::max<std::size_t>(
      1, static_cast<std::size_t>(facts::kClientShare * static_cast<double>(for_peers(c))));
}
// Each connection may hold a whole body. All of them together stay within the part of the memory that is theirs.
std::size_t within_memory(const NodeConfig& c, std::size_t connections) {
  return std::min(connections, std::max<std::size_t>(1, c.memory / facts::kMemoryPart / facts::kMostBody));
}

}  // namespace

Node::Node(asio::io_context& io, NodeConfig config, const StoreFactory& store)
    : config_(std::move(config)),
      timers_(io, clock_),
      gateway_(config_.named.settings, config_.seed),
      upstream_(io, timers_, config_.named.settings.connect_timeout, config_.keep_alive,
                within_memory(config_, for_peers(config_) - for_clients(config_)), *this),
      discovery_(io, timers_, config_.discovery, config_.discovery_host, config_.named.names.zones,
                 [this](ListKind kind, const auto& entries) { list_changed(kind, entries); },
                 CallPause(config_.named.settings.fleet_size, config_.seed,
                           !config_.named.settings.discovery_must_ask)),
      clients_(io, timers_, config_.named.settings, within_memory(config_, for_clients(config_)), *this, tally_) {
  tally_.classes.resize(config_.named.settings.classes.size());
  const auto& settings = config_.named.settings;
  const auto told = [this](const CountAnswer& a) { happened(a); };
  if (settings.counter && store)
    counter_ = store(io, timers_, settings.counter_timeout, told, [this](const CountsLost& e) { happened(e); });
  else if (settings.counter && config_.counter)
    counter_ = std::make_unique<Counter>(io, timers_, *config_.counter, settings.counter_timeout, told);
}

void Node::start() {
  begin();
  clients_.serve(clients_.bind(config_.listen));
}

void Node::begin() {
  discovery_.start(config_.known);
  watch_open();
}

void Node::drain(std::function<void()> done, Duration take_new) {
  drained_ = std::move(done);
  clients_.drain(take_new);
  wait_until_drained();
}

void Node::set_descriptors(std::size_t limit) {
  config_.descriptors = limit;
  clients_.set_most(within_memory(config_, for_clients(config_)));
  upstream_.set_most(within_memory(config_, for_peers(config_) - for_clients(config_)));
}

std::size_t Node::descriptors_held() {
  upstream_.drop_all_idle();
  return own_descriptors(config_) + clients_.size() + upstream_.size() + facts::kSpareDescriptors;
}

void Node::hold_to(std::size_t descriptors) {
  const auto taken = own_descriptors(config_) + clients_.size();
  upstream_.set_most(descriptors > taken ? descriptors - taken : 0);
}

Duration Node::stop_limit() const {
  Duration longest{};
  for (const auto& c : config_.named.settings.classes) longest = std::max(longest, c.deadline);
  return std::min(longest, facts::kLongestKept) + facts::kNewAfterTerm;
}

// To the module it is as if these clients had gone: it gives back what it held for them.
void Node::answer_remaining(Duration retry_after) {
  if (!config_.named.settings.retry_after) retry_after = {};
  if (front_) front_->stop(retry_after);
  std::vector<RequestId> waiting;
  for (const auto& [id, o] : open_)
    if (o.session && !o.relayed) waiting.push_back(id);
  for (const auto id : waiting) {
    const auto it = open_.find(id);
    if (it == open_.end()) continue;
    const auto attempts = it->second.attempts;
    if (attempts == 0)
      finish(id, {http::status::service_unavailable, "stopping\n", "text/plain", retry_after});
    else
      carry_out(Fail{id});
    happened(ClientGone{id});
    for (std::uint32_t n = 0; n < attempts; ++n) upstream_.cancel(id, n);
  }
  clients_.end_unanswered(retry_after);
}

void Node::move_to(const NodeConfig& next) {
  discovery_.move_to(next.discovery, next.discovery_host);
  if (counter_ && next.counter) counter_->move_to(*next.counter);
}

void Node::wait_until_drained() {
  if (open_.empty() && clients_.drained()) return drained_();
  timers_.after(facts::kAcceptPause, [this] { wait_until_drained(); });
}

bool Node::ready() const {
  return knows_servers_ && (!counter_ || counter_->tried()) && (!also_ready_ || also_ready_());
}

// ---- What happens -----------------------------------------------------------------------------------------

// Told one by one, in order: what an action brings about at once waits until the actions before it are done.
void Node::happened(Event event) {
  events_.push_back(std::move(event));
  if (std::exchange(telling_, true)) return;
  while (!events_.empty()) {
    const Event next = std::move(events_.front());
    events_.pop_front();
    try {
      for (const auto& action : gateway_.handle(timers_.now(), next)) perform(action);
    } catch (const std::exception& x) {
      note(std::string("an event failed: ") + x.what());
      if (const auto* a = std::get_if<Arrival>(&next)) carry_out(Fail{a->request});
    }
  }
  telling_ = false;
}

// What fails with one action stays with it: those behind it are carried out all the same.
void Node::perform(const Action& action) {
  try {
    std::visit([this](const auto& a) { carry_out(a); }, action);
  } catch (const std::exception& x) {
    note(std::string("an action failed: ") + x.what());
    if (const auto* s = std::get_if<Send>(&action)) carry_out(Fail{s->request});
  }
}

// No request stays without its answer, whatever went wrong: one whose time is up fails here.
void Node::watch_open() {
  const Time now = timers_.now();
  std::vector<RequestId> late;
  for (const auto& [id, o] : open_)
    if (o.session && !o.relayed && now > o.message->deadline + facts::kSweep) late.push_back(id);
  for (const auto id : late) carry_out(Fail{id});
  timers_.after(facts::kSweep, [this] { watch_open(); });
}

void Node::serve_front(Front* front) {
  front_ = front;
  clients_.set_front(front);
}

std::uint64_t Node::arrived(ClientRequest request, std::shared_ptr<Asker> session) {
  if (!ids_.insert(request.id).second) return 0;
  const RequestId id{++requests_};
  request.arrival.request = id;
  const Arrival arrival = request.arrival;
  open_.emplace(id,
                Open{std::move(session), std::make_shared<const ClientRequest>(std::move(request)), 0, 0});
  happened(arrival);
  return static_cast<std::uint64_t>(id);
}

void Node::client_gone(std::uint64_t request) {
  const RequestId id{request};
  const auto it = open_.find(id);
  if (it == open_.end() && front_) return front_->gone(request);
  if (it == open_.end() || !it->second.session) return;
  it->second.session.reset();
  happened(ClientGone{id});
  forget_if_done(id);
}

bool Node::still_wanted(RequestId request) const {
  const auto it = open_.find(request);
  return it != open_.end() && it->second.session;
}

void Node::attempt_ended(const Errand& errand, Outcome outcome, Answer answer) {
  AttemptEnded e;
  e.request = errand.request;
  e.attempt = errand.attempt;
  e.server = errand.server;
  e.outcome = outcome;
  e.took = errand.took.value_or(timers_.now() - errand.began);
  e.last = errand.last;
  if (outcome == Outcome::ok && errand.message->true_units) e.true_units = errand.message->true_units(answer);
  if (outcome == Outcome::ok) finish(errand.request, answer);
  const auto it = open_.find(errand.request);
  e.finished = it == open_.end() || !it->second.session;
  if (it != open_.end()) --it->second.out;
  forget_if_done(errand.request);
  if (view_) view_->ended(e.server, outcome);
  happened(e);
}

// To the module it waits from now on: its server has done its work, and what is taken of the answer is the client's pace.
bool Node::answer_begins(const Errand& errand, const LongHead& head, std::shared_ptr<AnswerSource> source) {
  const auto it = open_.find(errand.request);
  if (it == open_.end() || !it->second.session) return false;
  const auto session = it->second.session;
  it->second.relayed = true;
  happened(StreamStarted{errand.request, errand.attempt});
  happened(AttemptWaits{errand.request, errand.attempt, true});
  return session->begin(head, std::move(source));
}

void Node::answer_piece(const Errand& errand, std::string_view bytes, bool last) {
  const auto it = open_.find(errand.request);
  if (it == open_.end() || !it->second.session) return;
  const auto session = it->second.session;
  session->piece(bytes, last);
}

// Its client has had its one answer, and can tell that it is not whole.
void Node::answer_cut(const Errand& errand) {
  const auto it = open_.find(errand.request);
  if (it == open_.end()) return;
  if (const auto session = std::exchange(it->second.session, nullptr)) session->cut();
}

void Node::probe_ended(const Errand& errand, Outcome outcome) {
  happened(ProbeEnded{errand.server, outcome, timers_.now() - errand.began, std::nullopt});
}

void Node::list_changed(ListKind kind, const std::vector<Discovery::Entry>& entries) {
  if (!view_) return take_list(kind, entries);
  auto seen = entries;
  view_->listed(kind, discovery_.revision(), seen);
  take_list(kind, seen);
}

void Node::take_list(ListKind kind, const std::vector<Discovery::Entry>& entries) {
  ListUpdate update{kind, {}};
  for (const auto& e : entries) update.entries.push_back(e.info);
  if (kind != ListKind::changes) upstream_.retain(update.entries);
  for (const auto& e : entries) upstream_.update(e.info.id, e.address, e.info.phase == Phase::ready);
  knows_servers_ = knows_servers_ || !entries.empty();
  happened(std::move(update));
}

// ---- What the module decides --------------------------------------------------------------------------------

void Node::carry_out(const Send& s) {
  const auto it = open_.find(s.request);
  if (it == open_.end()) return;
  auto& o = it->second;
  const Time now = timers_.now();
  ++o.out;
  upstream_.send({s.request, o.attempts++, s.server, now, now + s.timeout, o.message});
}

void Node::carry_out(const Refuse& s) {
  finish(s.request, {http::status::too_many_requests, "refused\n", "text/plain", s.retry_after});
}

void Node::carry_out(const Fail& s) {
  finish(s.request, {http::status::bad_gateway, "failed\n", "text/plain", {}});
}

void Node::carry_out(const Cancel& s) {
  const auto it = open_.find(s.request);
  if (it == open_.end() || !it->second.message->streamed) return upstream_.cancel(s.request, s.attempt);
  if (const auto carrier = it->second.message->carrier.lock()) carrier->cancel(s.attempt);
}

void Node::carry_out(const AddToCount& s) {
  if (!counter_) return happened(CountAnswer{s.name, CountOutcome::refused, 0, {}});
  counter_->add(s.name, s.amount, s.lifetime);
}

void Node::carry_out(const SetTimer& s) {
  timers_.after(s.delay, [this, timer = s.timer] { happened(TimerDue{timer}); });
}

void Node::carry_out(const Probe& s) { upstream_.probe(s.server); }

void Node::carry_out(const Log& s) { note(s.text); }

// The final answer, once: after it the session is no longer in the table.
void Node::finish(RequestId request, const Answer& answer) {
  const auto it = open_.find(request);
  if (it == open_.end()) return;
  if (const auto session = std::exchange(it->second.session, nullptr)) session->answer(answer);
  forget_if_done(request);
}

void Node::forget_if_done(RequestId request) {
  const auto it = open_.find(request);
  if (it != open_.end() && !it->second.session && it->second.out == 0) {
    ids_.erase(it->second.message->id);
    open_.erase(it);
  }
}

}  // namespace snowknot
