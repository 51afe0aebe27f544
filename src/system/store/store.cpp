#include "system/store/store.hpp"

#include <random>
#include <utility>

#include "system/program/program.hpp"

namespace docklift {
namespace {

using namespace std::chrono_literals;
constexpr Duration kTick = 50ms;
constexpr Duration kSendGrace = 100ms;        // for the last messages to be sent
constexpr std::size_t kMaxQueuedWrites = 64;  // behind an unresponsive disk; then input is dropped

std::uint64_t random_u64() { return (std::uint64_t(std::random_device{}()) << 32) | std::random_device{}(); }

agreement::Options options_of(const SystemSettings& s, std::vector<std::string> lost_voters) {
  agreement::Options o;
  o.self = s.bind_ip, o.zone = s.zone;
  o.seeds = s.seed_ips();
  o.bootstrap = s.bootstrap, o.can_vote = s.voting;
  o.tolerated_failures = s.tolerated_node_failures;
  o.lost_voters = std::move(lost_voters);
  o.random_seed = random_u64();
  // Mixed with the time of day, so that no earlier disk of this machine has the same identity.
  o.new_disk = std::max<std::uint64_t>(mix(random_u64() ^ new_incarnation()),
                                       configuration::kBootstrapDisk + 1);
  return o;
}

}  // namespace

std::vector<fleet::Entry> ReplicaChanges::entries_after(std::uint64_t position,
                                                        std::size_t batch_bytes) const {
  std::vector<fleet::Entry> entries;
  for (const auto& chosen : replica_.recent().after(position, batch_bytes))
    entries.push_back({chosen.slot, fleet::change_of(chosen.change.kind), chosen.change.text});
  return entries;
}

Store::Store(boost::asio::io_context& io, const SystemSettings& settings, std::unique_ptr<Disk> disk,
             agreement::DurableState kept, std::vector<std::string> lost_voters)
    : io_(io),
      settings_(settings),
      replica_(options_of(settings, std::move(lost_voters)), std::move(kept)),
      log_("store"),
      timer_(io.get_executor()),
      leave_timer_(io.get_executor()),
      disk_(std::move(disk), [this](const Failure& why) { on_disk_lost(why); }) {}

void Store::start() {
  const auto ip = boost::asio::ip::make_address(settings_.bind_ip);
  const auto port = static_cast<std::uint16_t>(settings_.first_port + kStorePort);
  listener_ = std::make_unique<LinkListener>(io_, Tcp::endpoint(ip, port), LinkLimits{},
                                             [this](const std::shared_ptr<Link>& link) { accepted(link); });
  execute(replica_.start(clock_.now()));
  dial_others();
  tick();
}

Store::~Store() { stop(); }

void Store::stop() {
  if (std::exchange(stopped_, true)) return;
  timer_.cancel();
  leave_timer_.cancel();
  if (listener_) listener_->close();
  for (auto& [ip, dialer] : stores_) dialer->stop();
}

// Ends the process; it restarts as a store that has lost its disk. Called on the disk's thread.
void Store::on_disk_lost(const Failure& why) {
  log_.error(why.to_string() + "; it is set aside");
  boost::asio::post(io_, lifetime_.bind([this] {
    stop();
    io_.stop();
  }));
}

void Store::set_seeds(const std::vector<std::string>& seeds) {
  settings_.seeds = seeds;
  replica_.set_seeds(settings_.seed_ips());
  dial_others();
}

// Every store connects to every other one and sends its messages on that link.
void Store::dial_others() {
  std::set<std::string> needed;
  for (const auto& voter : replica_.state().voters) needed.insert(voter.address);
  for (const auto& ip : settings_.seed_ips()) needed.insert(ip);
  for (const auto& [link, ip] : peers_) needed.insert(ip);
  drop_unreachable(needed);
  needed.erase(settings_.bind_ip);
  for (const auto& ip : needed) {
    if (stores_.contains(ip)) continue;
    const Tcp::endpoint to(boost::asio::ip::make_address(ip),
                           static_cast<std::uint16_t>(settings_.first_port + kStorePort));
    const auto dialer = std::make_shared<Dialer>(
        io_, to, LinkLimits{},
        [this, ip](wire::Frame::Reader frame) {  // responses may arrive on the same link
          if (stopped_) return;
          if (frame.isSnapshotPart()) on_snapshot_part(ip, frame.getSnapshotPart());
          if (!frame.isAgreement()) return;
          if (const auto envelope = agreement::decode(fleet::text_of(frame.getAgreement())))
            execute(replica_.receive(clock_.now(), ip, *envelope));
        },
        [this, ip](const std::shared_ptr<Link>& link) {
          fleet::Outgoing hello;
          auto node = hello.frame().initHello();
          node.setId(settings_.hostname), node.setRole(wire::Role::STORE), node.setZone(settings_.zone);
          node.setAddress(settings_.bind_ip);
          link->send(hello.message());
          if (const auto zone = zones_.find(ip); zone != zones_.end()) replica_.on_link_up(ip, zone->second);
        },
        [this, ip](const Failure& why) {
          replica_.on_link_down(ip);
          execute(receiver_.on_source_lost(clock_.now(), ip));
          log_.debug(why.to_string());
        });
    stores_[ip] = dialer;
    dialer->start();
  }
}

// Stops connecting to machines that were replaced; such a machine connects on its own if it returns.
void Store::drop_unreachable(const std::set<std::string>& needed) {
  for (auto it = stores_.begin(); it != stores_.end();) {
    if (needed.contains(it->first) || it->second->is_connected()) {
      ++it;
      continue;
    }
    it->second->stop();
    it = stores_.erase(it);
  }
}

void Store::accepted(const std::shared_ptr<Link>& link) {
  const std::weak_ptr<Link> weak = link;
  link->start(
      [this, weak](wire::Frame::Reader frame) {
        if (const auto l = weak.lock()) on_frame(l, frame);
      },
      [this, weak](const Failure&) {
        if (const auto l = weak.lock()) on_link_closed(l);
      });
}

void Store::on_link_closed(const std::shared_ptr<Link>& link) {
  peers_.erase(link.get());
  registries_.erase(link.get());
}

void Store::on_frame(const std::shared_ptr<Link>& link, wire::Frame::Reader frame) {
  if (stopped_) return;
  const Time now = clock_.now();
  switch (frame.which()) {
    case wire::Frame::HELLO: {
      const auto node = frame.getHello();
      if (node.getReadsCompressed()) link->compress();
      if (node.getRole() == wire::Role::STORE) {
        const std::string ip = node.getAddress().cStr();
        peers_[link.get()] = ip;
        zones_[ip] = node.getZone().cStr();
        dial_others();
        if (const auto d = stores_.find(ip); d != stores_.end() && d->second->is_connected())
          replica_.on_link_up(ip, zones_[ip]);
      } else {
        registries_[link.get()] = {link, {}};
      }
      break;
    }
    case wire::Frame::AGREEMENT: {
      const auto from = peers_.find(link.get());
      if (from == peers_.end() || disk_.queued_writes() > kMaxQueuedWrites) break;
      if (const auto envelope = agreement::decode(fleet::text_of(frame.getAgreement())))
        execute(replica_.receive(now, from->second, *envelope));
      break;
    }
    case wire::Frame::SNAPSHOT_PART: {
      if (const auto from = peers_.find(link.get()); from != peers_.end())
        on_snapshot_part(from->second, frame.getSnapshotPart());
      break;
    }
    case wire::Frame::FOLLOW: {
      const auto r = registries_.find(link.get());
      if (r == registries_.end()) break;
      feed_.on_follow(r->second.changes, frame.getFollow());
      send_changes(r->second);
      break;
    }
    case wire::Frame::SNAPSHOT_PART_REQUEST: {
      if (!replica_.has_state()) break;
      fleet::Outgoing part;
      feed_.answer(now, frame.getSnapshotPartRequest(), changes_, part);
      link->send(part.message());
      break;
    }
    case wire::Frame::PROPOSAL: {
      const auto p = frame.getProposal();
      const auto id = ++proposals_;
      calls_[id] = {link, p.getCall()};
      execute(replica_.propose(now, id, fleet::kind_of(p.getChange()), fleet::text_of(p.getText())));
      break;
    }
    default: break;
  }
}

// Holds back messages and responses until every durable write issued so far has completed.
void Store::execute(agreement::Actions out) {
  for (const auto& note : out.log_lines) log_.info(note);
  for (const auto& message : std::exchange(out.immediate_sends, {})) send(message.to, message.envelope);
  if (!out.chosen.empty() || out.snapshot_installed) {
    receiver_.on_position(replica_.state().position);
    for (const auto& c : out.chosen)
      log_.info("change " + std::to_string(c.slot) + " is in force, version " +
                configuration::format_version(replica_.state().version()));
    for (auto& [link, r] : registries_) send_changes(r);
    dial_others();
  }
  const bool must_wait = out.write.durable || writes_in_flight_ > 0;
  if (out.write.empty() && !must_wait) return release(out);
  auto write = std::move(out.write);
  out.write = {};
  if (!must_wait) {
    disk_.write(std::move(write), [] {});
    return release(out);
  }
  ++writes_in_flight_;
  const auto held = std::make_shared<agreement::Actions>(std::move(out));
  auto written = lifetime_.bind([this, held] {
    --writes_in_flight_;
    if (!stopped_) release(*held);
  });
  disk_.write(std::move(write),
              [&io = io_, written]() mutable { boost::asio::post(io, std::move(written)); });
}

void Store::release(const agreement::Actions& out) {
  for (const auto& s : out.completions) {
    const auto call = calls_.extract(s.id);
    const auto link = call ? call.mapped().first.lock() : nullptr;
    if (!link || !link->open()) continue;
    fleet::Outgoing answer;
    auto v = answer.frame().initVerdict();
    v.setCall(call.mapped().second), v.setStatus(static_cast<std::uint16_t>(s.status)), v.setWhy(s.why);
    v.setPosition(replica_.state().position);
    link->send(answer.message());
  }
  for (const auto& message : out.sends) send(message.to, message.envelope);
  for (const auto& need : out.snapshot_requests) offer_snapshot(need);
}

void Store::send(const std::string& to, const agreement::Envelope& envelope) {
  if (to == settings_.bind_ip) {  // posted, as calls of the replica must not nest
    boost::asio::post(io_, lifetime_.bind([this, envelope] {
      if (!stopped_) execute(replica_.receive(clock_.now(), settings_.bind_ip, envelope));
    }));
    return;
  }
  const auto it = stores_.find(to);
  if (it == stores_.end() || !it->second->is_connected()) return;
  // The snapshot that is being received makes this fetch unnecessary.
  const bool fetching = receiver_.fetching() && !receiver_.paused();
  const bool must_not_fetch = fetching || retry_pause_.pausing();
  if (must_not_fetch && std::holds_alternative<agreement::Fetch>(envelope.message)) return;
  fleet::Outgoing frame;
  frame.frame().setAgreement(fleet::data_of(agreement::encode(envelope)));
  it->second->link()->send(frame.message());
}

void Store::send_changes(RegistryLink& r) {
  if (!r.link->open() || !replica_.has_state()) return;
  fleet::Outgoing frame;
  if (feed_.next(clock_.now(), r.changes, changes_, frame)) r.link->send(frame.message());
}

// ---- snapshots between stores ----------------------------------------------------------------------

void Store::offer_snapshot(const agreement::SnapshotRequest& need) {
  const auto store = stores_.find(need.to);
  if (store == stores_.end() || !store->second->is_connected()) return;
  fleet::Outgoing frame;
  feed_.offer(clock_.now(), need.after, changes_, frame);
  store->second->link()->send(frame.message());
}

void Store::on_snapshot_part(const std::string& from, wire::SnapshotPart::Reader frame) {
  const auto now = clock_.now();
  const auto least = replica_.has_state() ? replica_.state().position + 1 : 0;
  const auto step = receiver_.on_part(now, from, transfer::get(frame), least);
  execute(step);
  if (step.failed)
    if (const auto pause = retry_pause_.on_failure(now))
      log_.info("can't read the state of " + from + "; asks for none for " + std::to_string(millis(*pause)) +
                " ms");
  if (!step.completed) return;
  retry_pause_.on_success();
  execute(replica_.receive_snapshot(now, *step.completed));
}

void Store::execute(const transfer::SnapshotReceiver::Step& step) {
  for (const auto& note : step.log_messages) log_.info(note);
  for (const auto& request : step.requests) {
    const auto store = stores_.find(request.source);
    if (store == stores_.end() || !store->second->is_connected()) continue;
    fleet::Outgoing frame;
    transfer::put(frame.frame().initSnapshotPartRequest(), request.part);
    store->second->link()->send(frame.message());
  }
}

// Hands the vote over to a learner, if one can take it, then stops.
void Store::leave(std::function<void()> ended) {
  if (std::exchange(leaving_, true)) return;
  log_.info("leaves");
  continue_leaving(std::move(ended));
}

void Store::continue_leaving(std::function<void()> ended) {
  execute(replica_.leave(clock_.now()));
  leave_timer_.expires_after(replica_.may_stop(clock_.now()) ? kSendGrace : kTick);
  const bool ends = replica_.may_stop(clock_.now());
  leave_timer_.async_wait(
      lifetime_.bind([this, ends, ended = std::move(ended)](boost::system::error_code cancelled) mutable {
        if (cancelled) return;
        if (!ends) return continue_leaving(std::move(ended));
        stop();
        ended();
      }));
}

void Store::tick() {
  timer_.expires_after(kTick);
  timer_.async_wait(lifetime_.bind([this](boost::system::error_code failed_wait) {
    if (failed_wait || stopped_) return;
    feed_.expire(clock_.now());
    retry_pause_.ends(clock_.now());
    if (disk_.queued_writes() <= kMaxQueuedWrites) execute(replica_.tick(clock_.now()));
    tick();
  }));
}

}  // namespace docklift
