// How a registry handles the configuration: following the stores' changes, forwarding proposals, read
// barriers, and feeding the proxies.
#include <algorithm>

#include "system/registry/registry.hpp"

namespace docklift {
namespace {
using namespace std::chrono_literals;
constexpr Duration kCallerTimeout = 1s;        // a caller without an answer then retries at another node
constexpr Duration kProposalTimeout = 5500ms;  // for a change without a verdict
}  // namespace

void Registry::on_store_frame(const std::string& ip, wire::Frame::Reader frame) {
  if (stopped_ && frame.which() != wire::Frame::VERDICT) return;
  switch (frame.which()) {
    case wire::Frame::CHANGES:
    case wire::Frame::SNAPSHOT_PART: on_update_applied(follower_.on_frame(clock_.now(), ip, frame)); break;
    case wire::Frame::VERDICT: {
      const auto v = frame.getVerdict();
      auto call = pending_.extract(v.getCall());
      if (call) call.mapped().done(v.getStatus(), v.getWhy().cStr(), v.getPosition());
      break;
    }
    default: break;
  }
}

void Registry::send_to_store(const std::string& ip, fleet::Outgoing& out) {
  const auto store = stores_.find(ip);
  if (store != stores_.end() && store->second->is_connected()) store->second->link()->send(out.message());
}

// A store may have restarted with a stale copy: nothing is forwarded before a majority has confirmed it.
void Registry::send_changes(Proxy& proxy) {
  if (!confirmed_once()) return;
  fleet::Outgoing out;
  if (feed_.next(clock_.now(), proxy.changes, changes_, out)) proxy.link->send(out.message());
}

void Registry::on_update_applied(fleet::ChangeLog::Outcome update) {
  if (update != fleet::ChangeLog::Outcome::applied) return;
  const bool was_confirmed = confirmed_once();
  confirmation_.advanced(changes_.position());
  if (!was_confirmed && confirmed_once()) {
    on_first_confirmation();
  } else {
    send_changes_to_proxies();
  }
  for (const auto& zone : changes_.readmitted())
    for (const auto& [id, s] : servers_.all())
      if (s.zone == zone) resend_on_heartbeat_.insert(id);
  dial_all();
  for (auto it = position_waiters_.begin(); it != position_waiters_.end();) {
    if (std::get<0>(*it) > changes_.position()) {
      ++it;
      continue;
    }
    const auto done = std::move(std::get<2>(*it));
    it = position_waiters_.erase(it);
    done(true);
  }
}

// From here on the copy is sent to proxies.
void Registry::on_first_confirmation() {
  log_.info("change " + std::to_string(changes_.position()) + " is confirmed as the newest of the core");
  send_changes_to_proxies();
}

void Registry::send_changes_to_proxies() {
  for (auto& [link, p] : proxies_) send_changes(p);
}

void Registry::when_applied(std::uint64_t position, std::function<void(bool)> done) {
  if (changes_.position() >= position) return done(true);
  position_waiters_.emplace_back(position, clock_.now() + 800ms, std::move(done));
}

void Registry::propose(configuration::ChangeKind kind, const std::string& text, Done done,
                       std::shared_ptr<const bool> client_disconnected) {
  const auto call = ++last_call_;
  const Time now = clock_.now();
  auto& p = pending_[call] = {
      kind, text, std::move(done), now + kProposalTimeout, "", now, std::move(client_disconnected)};
  send_pending(call, p);
}

// A configuration names its parent version and can be accepted only once, no matter when it is sent. An
// evacuation command carries only the position at which it arrived, so it is not sent for a caller that no
// longer waits here.
bool Registry::is_abandoned(const PendingProposal& p) const {
  using configuration::ChangeKind;
  if (p.kind != ChangeKind::evacuate && p.kind != ChangeKind::readmit) return false;
  const bool disconnected = p.client_disconnected && *p.client_disconnected;
  return disconnected || clock_.now() - p.received_at > kCallerTimeout;
}

// A read barrier at a store: after the store receives the request, a majority reports what it has accepted.
void Registry::begin_read_barrier() {
  const Time started = clock_.now();
  confirmation_.asked(started, changes_.position());
  propose(configuration::ChangeKind::noop, "",
          [this, started](int status, const std::string&, std::uint64_t position) {
            if (status == 200) end_read_barrier(started, position);
          });
}

void Registry::end_read_barrier(Time started, std::uint64_t position) {
  follower_.on_core_position(clock_.now(), position);
  const bool was_confirmed = confirmed_once();
  if (!confirmation_.answered(started, position, changes_.position()))
    return follower_.on_core_regressed(position);
  if (!was_confirmed && confirmed_once()) on_first_confirmation();
  for (auto& [link, p] : proxies_) {
    const auto token = p.confirm_requests.answerable(started);
    if (!token) continue;
    fleet::Outgoing out;
    auto confirmed = out.frame().initConfirmed();
    confirmed.setToken(*token), confirmed.setPosition(position);
    p.link->send(out.message());
  }
}

// A proxy asks as of which moment its configuration is the newest; the next read barrier answers.
void Registry::on_confirm(Proxy& p, std::uint64_t token) {
  p.confirm_requests.received(clock_.now(), token);
  if (!std::exchange(p.confirm_requested, true)) begin_read_barrier();
}

// Sends to the store on this node, or to another one while that is not connected.
void Registry::send_pending(std::uint64_t call, PendingProposal& p) {
  if (is_abandoned(p)) {
    p.deadline = Time{};  // the next tick responds with 503
    return;
  }
  auto to = stores_.find(settings_.bind_ip);
  if (to == stores_.end() || !to->second->is_connected())
    to = std::ranges::find_if(stores_, [](const auto& s) { return s.second->is_connected(); });
  if (to == stores_.end()) return;
  fleet::Outgoing out;
  auto proposal = out.frame().initProposal();
  proposal.setCall(call), proposal.setChange(fleet::change_of(p.kind)),
      proposal.setText(fleet::data_of(p.text));
  p.store = to->first;
  to->second->link()->send(out.message());
}

}  // namespace docklift
