// A registry's part in the configuration: the changes that stores tell, proposals and read barriers, and what
// proxies have of them.
#include <algorithm>

#include "system/registry/registry.hpp"

namespace docklift {
namespace {
using namespace std::chrono_literals;
constexpr Duration kCallerPatience = 1s;  // of silence; then a caller goes on to another node
constexpr Duration kProposal = 5500ms;    // a change without a verdict
}  // namespace

void Registry::on_store_frame(const std::string& ip, wire::Frame::Reader frame) {
  if (stopped_ && frame.which() != wire::Frame::VERDICT) return;
  switch (frame.which()) {
    case wire::Frame::CHANGES:
    case wire::Frame::SNAPSHOT_PART: after_news(follower_.on_frame(clock_.now(), ip, frame)); break;
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

// A store may have come back with a copy that is old: nothing of it is handed on before a majority's word.
void Registry::bring_up_to_date(Proxy& proxy) {
  if (!confirmed_once()) return;
  fleet::Outgoing out;
  if (feed_.next(clock_.now(), proxy.changes, changes_, out)) proxy.link->send(out.message());
}

void Registry::after_news(fleet::ChangeLog::News news) {
  if (news != fleet::ChangeLog::News::taken) return;
  const bool was_confirmed = confirmed_once();
  confirmation_.advanced(changes_.position());
  if (!was_confirmed && confirmed_once()) {
    on_first_confirmation();
  } else {
    bring_proxies_up_to_date();
  }
  for (const auto& zone : changes_.readmitted())
    for (const auto& [id, s] : servers_.all())
      if (s.zone == zone) retold_.insert(id);
  dial_all();
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (std::get<0>(*it) > changes_.position()) {
      ++it;
      continue;
    }
    const auto done = std::move(std::get<2>(*it));
    it = waiting_.erase(it);
    done(true);
  }
}

// From here on the copy is handed to proxies.
void Registry::on_first_confirmation() {
  log_.info("change " + std::to_string(changes_.position()) + " is confirmed as the newest of the core");
  bring_proxies_up_to_date();
}

void Registry::bring_proxies_up_to_date() {
  for (auto& [link, p] : proxies_) bring_up_to_date(p);
}

void Registry::when_at(std::uint64_t position, std::function<void(bool)> done) {
  if (changes_.position() >= position) return done(true);
  waiting_.emplace_back(position, clock_.now() + 800ms, std::move(done));
}

void Registry::propose(configuration::ChangeKind kind, const std::string& text, Done done,
                       std::shared_ptr<const bool> client_disconnected) {
  const auto call = ++calls_;
  const Time now = clock_.now();
  auto& p = pending_[call] = {
      kind, text, std::move(done), now + kProposal, "", now, std::move(client_disconnected)};
  send_pending(call, p);
}

// A configuration builds on one version and can be taken only once, whenever it is sent. An evacuation order has
// only the position at which it arrived, so it is not sent on behalf of a caller who no longer waits here.
bool Registry::is_abandoned(const Pending& p) const {
  using configuration::ChangeKind;
  if (p.kind != ChangeKind::evacuate && p.kind != ChangeKind::readmit) return false;
  const bool gone = p.client_disconnected && *p.client_disconnected;
  return gone || clock_.now() - p.since > kCallerPatience;
}

// A read barrier at a store: a majority states, after the store has got the question, what it has accepted.
void Registry::begin_read_barrier() {
  const Time begun = clock_.now();
  confirmation_.asked(begun, changes_.position());
  propose(configuration::ChangeKind::nothing, "",
          [this, begun](int status, const std::string&, std::uint64_t position) {
            if (status == 200) end_read_barrier(begun, position);
          });
}

void Registry::end_read_barrier(Time begun, std::uint64_t position) {
  follower_.on_core_at(clock_.now(), position);
  const bool was_confirmed = confirmed_once();
  if (!confirmation_.answered(begun, position, changes_.position()))
    return follower_.on_core_behind(position);
  if (!was_confirmed && confirmed_once()) on_first_confirmation();
  for (auto& [link, p] : proxies_) {
    const auto token = p.confirm_requests.answerable(begun);
    if (!token) continue;
    fleet::Outgoing out;
    auto confirmed = out.frame().initConfirmed();
    confirmed.setToken(*token), confirmed.setPosition(position);
    p.link->send(out.message());
  }
}

// A proxy asks as of when its configuration is the newest: answered by the next read barrier.
void Registry::on_confirm(Proxy& p, std::uint64_t token) {
  p.confirm_requests.received(clock_.now(), token);
  if (!std::exchange(p.asked_to_confirm, true)) begin_read_barrier();
}

// To the store on this machine, or to another one while that is not up.
void Registry::send_pending(std::uint64_t call, Pending& p) {
  if (is_abandoned(p)) {
    p.until = Time{};  // the next tick answers it with 503
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
