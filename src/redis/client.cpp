#include "redis/client.hpp"

#include <algorithm>
#include <utility>

namespace docklift::redis {

using snowknot::CountOutcome;
using snowknot::Duration;
using snowknot::shown;
using snowknot::Time;
using namespace std::chrono_literals;

namespace {

constexpr Duration kTryAgain = 5ms;        // TRYAGAIN: keys of a slot are on their way
constexpr int kTagTries = 1'000'000;       // to find an epoch key in a server's slots
constexpr std::size_t kIdPart = 40;        // of a run id, and of a replication id
constexpr std::size_t kLongestNote = 120;  // of what a server says

}  // namespace

struct Client::Link {
  enum class State { idle, connecting, up };
  Link(const SessionOptions& options, Server* of, Endpoint where)
      : server(of), to(std::move(where)), session(options) {}

  Server* server;  // none: the scout
  Endpoint to;
  Session session;
  LinkId id{};
  State state = State::idle;
  Time at{};  // idle: when to connect; connecting: when it is given up
  Duration back_off{};
  bool tried = false, greeted = false, wants_look = false, was_up = false;
  std::string life;
};

struct Client::Server {
  Endpoint at;
  std::vector<std::unique_ptr<Link>> lanes;
  std::string life;            // which was seen last: run id and replication id; empty: not told
  std::optional<Epoch> epoch;  // of that life
  bool looked_at = false;      // its epoch has been
  bool off = false;            // looks are not allowed there
  bool looking = false;        // one at a time
  bool wanted = true;          // by the topology, not only by a redirect
  Time next_look{};
};

Client::Client(ClientOptions options, Time now) : options_(std::move(options)), random_(options_.seed) {
  options_.session.held = true;
  options_.session.redirects = options_.mode == Mode::cluster;
  if (options_.mode == Mode::single) {
    server_at(now, options_.seeds.front());
    return;
  }
  auto scout = options_.session;
  scout.held = scout.redirects = false;
  scout.database = 0;
  if (options_.mode == Mode::sentinel) scout.user.clear(), scout.password.clear();
  scout_ = std::make_unique<Link>(scout, nullptr, options_.seeds.front());
  connect(now, *scout_);
}

Client::~Client() = default;

// ---- Calls ------------------------------------------------------------------------------------------------

const Endpoint* Client::owner_of(snowknot::CountName name) const {
  switch (options_.mode) {
    case Mode::single: return &options_.seeds.front();
    case Mode::sentinel: return master_ ? &*master_ : nullptr;
    default: return slots_.owner(slot_of(key_of(options_.session.prefix, name)));
  }
}

void Client::add(Time now, snowknot::CountName name, double amount, Duration lifetime) {
  CountCall c{.name = name, .parts = 0, .milliseconds = milliseconds_of(lifetime), .began = now};
  const auto parts = to_parts(amount);
  if (!parts) return refuse(now, c);
  c.parts = *parts;
  route(now, std::move(c));
}

void Client::refuse(Time now, const CountCall& c) {
  actions_.emplace_back(snowknot::CountAnswer{c.name, CountOutcome::refused, 0, now - c.began});
}

void Client::route(Time now, CountCall c) {
  if (const auto* at = owner_of(c.name)) return send_to(now, *at, std::move(c));
  if (homeless_.size() >= options_.session.most_calls) return refuse(now, c);
  homeless_.push_back(std::move(c));
  want_refresh(now);
}

void Client::send_to(Time now, const Endpoint& at, CountCall c) {
  auto& lanes = server_at(now, at).lanes;
  auto& link = *lanes[static_cast<std::uint64_t>(c.name) % lanes.size()];  // names are well mixed
  link.session.add(now, std::move(c));
  settle(now, link);
}

void Client::turn(Time now, Link& link, CountCall c, const std::string& error) {
  ++redirects_;
  if (++c.hops > options_.most_hops || now >= c.began + options_.session.call_limit) return refuse(now, c);
  c.asking = false;
  if (error.starts_with("TRYAGAIN")) return void(parked_.emplace_back(now + kTryAgain, std::move(c)));
  want_refresh(now);
  const auto where = redirect_of(error, link.to);
  if (!where) return refuse(now, c);  // CLUSTERDOWN; or to a name, which is not resolved
  if (where->ask)
    c.asking = true;  // this once: the slot is on its way there
  else
    slots_.set(where->slot, where->to);
  send_to(now, where->to, std::move(c));
}

void Client::take_up_homeless(Time now) {
  for (auto& c : std::exchange(homeless_, {})) route(now, std::move(c));
}

// ---- Links --------------------------------------------------------------------------------------------------

Client::Server& Client::server_at(Time now, const Endpoint& at) {
  auto& slot = servers_[at];
  if (!slot) {
    slot = std::make_unique<Server>();
    slot->at = at;
    for (std::size_t i = 0; i < options_.lanes; ++i) {
      slot->lanes.push_back(std::make_unique<Link>(options_.session, slot.get(), at));
      connect(now, *slot->lanes.back());
    }
  }
  return *slot;
}

std::vector<Client::Link*> Client::all_links() const {
  std::vector<Link*> all;
  for (const auto& [at, s] : servers_)
    for (const auto& l : s->lanes) all.push_back(l.get());
  if (scout_) all.push_back(scout_.get());  // last, since what it is told may end others
  return all;
}

Client::Link* Client::find(LinkId id) const {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? nullptr : it->second;
}

void Client::connect(Time now, Link& l) {
  l.id = LinkId(++links_);
  by_id_[l.id] = &l;
  l.state = Link::State::connecting;
  l.at = now + options_.connect_limit;
  actions_.emplace_back(Open{l.id, l.to});
}

void Client::opened(Time now, LinkId id) {
  auto* l = find(id);
  if (!l || l->state != Link::State::connecting) return;
  l->state = Link::State::up;
  l->greeted = l->wants_look = false;
  l->life.clear();
  l->session.connected(now);
  settle(now, *l);
}

void Client::received(Time now, LinkId id, std::string_view bytes) {
  auto* l = find(id);
  if (!l || l->state != Link::State::up) return;
  l->session.received(now, bytes);
  settle(now, *l);
}

void Client::written(Time now, LinkId id, std::size_t bytes) {
  auto* l = find(id);
  if (!l || l->state != Link::State::up) return;
  l->session.written(bytes);
  settle(now, *l);
}

void Client::ended(Time now, LinkId id, const std::string& why) {
  if (auto* l = find(id)) lose(now, *l, why);
}

void Client::lose(Time now, Link& l, const std::string& why) {
  actions_.emplace_back(Close{l.id});
  by_id_.erase(l.id);
  l.state = Link::State::idle;
  l.tried = true;
  l.was_up = l.wants_look = l.greeted = false;
  l.back_off = std::clamp(2 * l.back_off, options_.first_back_off, options_.longest_back_off);
  // Half of it by chance, so that a fleet doesn't come back all at once.
  const double part = std::uniform_real_distribution<>(0.5, 1)(random_);
  const auto pause = Duration(static_cast<Duration::rep>(part * static_cast<double>(l.back_off.count())));
  l.at = now + pause;
  note("redis: " + shown(l.to) + ": " + why.substr(0, kLongestNote) + "; again in " +
       std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(pause).count()) + " ms");
  l.session.lost(now);
  if (!l.server) {  // the scout tries the next one
    refreshing_ = false;
    auto all = options_.seeds;
    if (options_.mode == Mode::cluster) std::ranges::copy(slots_.owners(), std::back_inserter(all));
    l.to = all[++candidate_ % all.size()];
  } else {
    want_refresh(now);
  }
  settle(now, l);
}

// After each event: what came is taken, what is to be written is, what is of no use ends.
void Client::settle(Time now, Link& l) {
  if (l.state == Link::State::up && l.session.greeted() && !std::exchange(l.greeted, true)) greeted(now, l);
  for (const auto& a : l.session.asked()) answered(now, l, a);
  for (const auto& p : l.session.pushes())
    if (!l.server)
      if (const auto at = switched_master(p, options_.master)) master_is(now, *at);
  for (auto& a : l.session.answers()) actions_.emplace_back(a);
  for (auto& [call, error] : l.session.turned_away()) turn(now, l, std::move(call), error);
  if (l.state != Link::State::up) return;
  if (l.session.broken()) {
    const std::string why = l.session.why();
    return lose(now, l, why);
  }
  if (l.session.up() && !std::exchange(l.was_up, true)) {
    l.tried = true;
    note("redis: " + shown(l.to) + ": connected, protocol " + std::to_string(l.session.protocol()));
  }
  if (l.session.answered()) l.back_off = {};  // only an answer shows that the store is well
  if (auto text = l.session.output(); !text.empty()) actions_.emplace_back(Write{l.id, std::move(text)});
}

void Client::greeted(Time now, Link& l) {
  if (l.server)
    return l.session.ask(now, command({"INFO", "server"}) + command({"INFO", "replication"}), 2, kInfo);
  if (options_.mode == Mode::sentinel && l.session.protocol() == 3)
    l.session.ask(now, command({"SUBSCRIBE", "+switch-master"}), 0, 0);
  l.tried = true;
  refresh(now);
}

void Client::answered(Time now, Link& l, const Asked& a) {
  switch (a.tag) {
    case kInfo: return a.replies.empty() ? void() : identified(now, l, a);
    case kLook: return looked(now, l, a);
    case kSlotsAsked: return slots_came(now, a);
    case kMasterAsked: {
      refreshing_ = false;
      if (a.replies.empty()) return;
      if (const auto at = master_of(a.replies[0])) {
        l.back_off = {};
        return master_is(now, *at);
      }
      return l.session.give_up("knows no address of master " + options_.master);
    }
    default: return;
  }
}

// ---- What the server is ---------------------------------------------------------------------------------------

// A key in one of its slots: all of one name's keys lie together, so its tag may be any that leads there.
void Client::new_epoch(Server& s) {
  s.looked_at = false;
  s.epoch.reset();
  if (options_.epoch_interval == Duration{}) return;
  for (int i = 0; i < kTagTries; ++i) {
    std::string key = options_.session.prefix;
    key.append("{epoch-").append(std::to_string(i)).append("}:").append(s.life);
    if (options_.mode == Mode::cluster) {
      const auto* owner = slots_.owner(slot_of(key));
      if (!owner || *owner != s.at) continue;
    }
    s.epoch.emplace(std::move(key), options_.epoch_life, options_.session.call_limit);
    return;
  }
}

void Client::identified(Time now, Link& l, const Asked& a) {
  auto& s = *l.server;
  const auto who = identity_of(a.replies[0], a.replies[1]);
  if (!who.role.empty() && who.role != "master") {
    want_refresh(now);
    return l.session.give_up("its role is " + who.role);
  }
  // A process that was demoted and takes over again has kept its run id, but not its history.
  l.life = who.run_id.empty() ? std::string()
                              : who.run_id.substr(0, kIdPart) + who.history.substr(0, kIdPart);
  if (l.life != s.life || !s.epoch) {
    const bool another = l.life != s.life;
    s.life = l.life;
    new_epoch(s);
    // What still runs to another life of it leads nowhere, or to a server that is no longer the one.
    for (const auto& other : s.lanes)
      if (another && other.get() != &l && other->greeted && !other->life.empty() && other->life != s.life) {
        other->session.give_up("its server is another one now");
        settle(now, *other);
      }
  }
  if (!s.epoch || s.off || (s.looked_at && !s.life.empty())) return release(now, l);
  l.wants_look = true;
  look(now, s);
}

void Client::release(Time now, Link& l) {
  l.wants_look = false;
  l.session.release(now);
}

void Client::look(Time now, Server& s) {
  if (s.looking || !s.epoch || s.off) return;
  const auto usable = [](const auto& l) {
    return l->state == Link::State::up && l->greeted && !l->session.broken();
  };
  auto it = std::ranges::find_if(s.lanes, [&](const auto& l) { return usable(l) && l->wants_look; });
  if (it == s.lanes.end())
    it = std::ranges::find_if(
        s.lanes, [&](const auto& l) { return usable(l) && l->session.up() && l->life == s.life; });
  s.next_look = now + options_.epoch_interval;
  if (it == s.lanes.end()) return;
  s.looking = true;
  (*it)->session.ask(now, s.epoch->look(now), Epoch::kReplies, kLook);
  if (auto text = (*it)->session.output(); !text.empty())
    actions_.emplace_back(Write{(*it)->id, std::move(text)});
}

void Client::looked(Time now, Link& l, const Asked& a) {
  auto& s = *l.server;
  s.looking = false;
  if (s.epoch && l.life == s.life && !a.replies.empty()) {
    const auto v = s.epoch->take(a.sent, now, a.replies);
    const auto word = v.error.substr(0, v.error.find(' '));
    if (v.error.empty()) {
      s.looked_at = true;
      if (v.lost) {
        note("redis: " + shown(s.at) + ": " + v.why);
        actions_.emplace_back(snowknot::CountsLost{*v.lost});
      }
      if (!v.write.empty()) l.session.ask(now, v.write, Epoch::kRewriteReplies, kRewrite);
      for (const auto& other : s.lanes)
        if (other->wants_look && (other.get() == &l || (!s.life.empty() && other->life == s.life))) {
          release(now, *other);
          if (other.get() != &l) settle(now, *other);
        }
    } else if (word == "NOPERM" || word == "ERR") {
      s.off = true;
      note("redis: " + shown(s.at) +
           ": lost counts are not recognised there: " + v.error.substr(0, kLongestNote));
    } else if (is_redirect(v.error)) {
      new_epoch(s);  // by the map that is there; the next topology may have a better one
      want_refresh(now);
      if (l.wants_look) release(now, l);
    } else if (l.wants_look) {
      l.session.give_up("epoch: " + v.error);
    }
  }
  if (s.off)
    for (const auto& other : s.lanes)
      if (other->wants_look) {
        release(now, *other);
        if (other.get() != &l) settle(now, *other);
      }
  if (std::ranges::any_of(s.lanes, [](const auto& o) { return o->wants_look; })) look(now, s);
}

// ---- Topology ---------------------------------------------------------------------------------------------------

void Client::want_refresh(Time now) {
  if (!scout_) return;
  const auto at = std::max(now, refreshed_at_ + options_.refresh_least);
  if (refresh_at_ <= refreshed_at_ || at < refresh_at_) refresh_at_ = at;
}

void Client::refresh(Time now) {
  if (refreshing_ || !scout_->greeted || scout_->session.broken()) return;
  refreshing_ = true;
  ++refreshes_;
  refreshed_at_ = now;
  refresh_at_ = now + options_.refresh_every;
  if (options_.mode == Mode::cluster)
    scout_->session.ask(now, command({"CLUSTER", "SLOTS"}), 1, kSlotsAsked);
  else
    scout_->session.ask(now, command({"SENTINEL", "GET-MASTER-ADDR-BY-NAME", options_.master}), 1,
                        kMasterAsked);
}

void Client::slots_came(Time now, const Asked& a) {
  refreshing_ = false;
  if (a.replies.empty()) return;
  const auto& r = a.replies[0];
  const auto unread = slots_.unread();
  if (r.is_error()) return scout_->session.give_up("CLUSTER SLOTS: " + r.text);
  if (!slots_.read(r, scout_->to)) return scout_->session.give_up("what CLUSTER SLOTS gave can't be read");
  if (slots_.unread() > unread) note("redis: servers of the cluster without an IP address are passed over");
  scout_->back_off = {};
  const auto owners = slots_.owners();
  for (auto& [at, s] : servers_) s->wanted = owners.contains(at);
  for (const auto& at : owners) server_at(now, at);
  for (auto& [at, s] : servers_) {  // an epoch key whose slot has gone elsewhere
    if (!s->wanted || !s->epoch) continue;
    const auto* owner = slots_.owner(slot_of(s->epoch->key()));
    if ((!owner || *owner != at) && !s->looking) new_epoch(*s);
  }
  retire(now);
  take_up_homeless(now);
}

void Client::master_is(Time now, const Endpoint& at) {
  if (master_ == at) return;
  note("redis: the master is " + shown(at));
  if (master_)
    if (const auto it = servers_.find(*master_); it != servers_.end()) drop(now, *it->second);
  master_ = at;
  server_at(now, at);
  take_up_homeless(now);
}

// Servers that own nothing any more go when nothing is out there.
void Client::retire(Time now) {
  std::vector<Server*> idle;
  for (const auto& [at, s] : servers_)
    if (!s->wanted && std::ranges::all_of(s->lanes, [](const auto& l) { return l->session.calls() == 0; }))
      idle.push_back(s.get());
  for (auto* s : idle) drop(now, *s);
}

void Client::drop(Time now, Server& s) {
  for (const auto& l : s.lanes) {
    if (by_id_.erase(l->id) > 0) actions_.emplace_back(Close{l->id});
    l->state = Link::State::idle;
    l->session.lost(now);
    for (auto& a : l->session.answers()) actions_.emplace_back(a);
  }
  servers_.erase(s.at);
}

// ---- Time ---------------------------------------------------------------------------------------------------------

void Client::tick(Time now) {
  for (auto* l : all_links()) {
    if (l->state == Link::State::idle && now >= l->at) {
      connect(now, *l);
    } else if (l->state == Link::State::connecting && now >= l->at) {
      lose(now, *l, "no connection came up");
    }
    l->session.tick(now);
    settle(now, *l);
  }
  const auto over = [&](const CountCall& c) { return now >= c.began + options_.session.call_limit; };
  for (; !homeless_.empty() && over(homeless_.front()); homeless_.pop_front()) refuse(now, homeless_.front());
  while (!parked_.empty() && now >= parked_.front().first) {
    auto c = std::move(parked_.front().second);
    parked_.pop_front();
    if (over(c))
      refuse(now, c);
    else
      route(now, std::move(c));
  }
  if (scout_ && now >= refresh_at_) {
    refresh(now);
    settle(now, *scout_);
  }
  retire(now);
  for (const auto& [at, s] : servers_)
    if (s->looked_at && now >= s->next_look) look(now, *s);
}

std::optional<Time> Client::due() const {
  std::optional<Time> at;
  const auto wanted = [&](Time t) { at = at ? std::min(*at, t) : t; };
  const auto of_link = [&](const Link& l) {
    if (l.state != Link::State::up) wanted(l.at);
    if (const auto t = l.session.due()) wanted(*t);
  };
  if (scout_) {
    of_link(*scout_);
    if (scout_->greeted && !refreshing_) wanted(refresh_at_);
  }
  for (const auto& [where, s] : servers_) {
    for (const auto& l : s->lanes) of_link(*l);
    if (s->looked_at && s->epoch && !s->looking && !s->off) wanted(s->next_look);
  }
  if (!homeless_.empty()) wanted(homeless_.front().began + options_.session.call_limit);
  if (!parked_.empty()) wanted(parked_.front().first);
  return at;
}

std::vector<Action> Client::actions() { return std::exchange(actions_, {}); }

bool Client::tried() const {
  const auto all = all_links();
  return std::ranges::all_of(all, [](const Link* l) { return l->tried; });
}

void Client::note(std::string text) { actions_.emplace_back(Note{std::move(text)}); }

}  // namespace docklift::redis
