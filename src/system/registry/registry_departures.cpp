// How a registry acknowledges that servers drain or leave: it requests receipts of the records from the other
// registries and gives them in turn.
#include <algorithm>

#include "system/registry/registry.hpp"

namespace docklift {
namespace {

using namespace std::chrono_literals;
constexpr Duration kReceiptBatchDelay = 5ms;  // departures reported within it share one round
constexpr Duration kReceiptTimeout = 700ms;   // a server that has no answer for 1 s calls the next node

const std::string kDepartureKey = "departure/";  // in the record cache, followed by the server's id

}  // namespace

using fleet::MergeResult;

void Registry::on_departure(const fleet::Server& server, std::function<void(bool)> done) {
  const auto merged = servers_.merge(server);
  const auto& known = *servers_.find(server.id);
  if (merged == MergeResult::changed) queue_server_updates({known});
  const auto call = ++last_departure_call_;
  departure_calls_[call] = std::move(done);
  // Without a majority the call fails at once, so that the server tries the next node; the next flush then
  // sends the record, as it does the beats of a server that drains on.
  const bool has_majority = reaches_majority();
  if (merged == MergeResult::refreshed || (merged == MergeResult::changed && !has_majority))
    refreshed_servers_.insert_or_assign(known.id, known);
  const Time now = clock_.now();
  receipts_.await(call, {known.id, known.phase}, has_majority ? now + kReceiptTimeout : now);
  answer_departures(now);
  schedule_receipt_round();
}

void Registry::schedule_receipt_round() {
  if (std::exchange(receipt_round_scheduled_, true)) return;
  receipt_timer_.expires_after(kReceiptBatchDelay);
  receipt_timer_.async_wait(lifetime_.bind([this](boost::system::error_code failed_wait) {
    receipt_round_scheduled_ = false;
    if (!failed_wait) begin_receipt_round();
  }));
}

void Registry::begin_receipt_round() {
  const auto round = receipts_.begin_round();
  if (!round) return;
  to_registries([&](wire::Frame::Builder& frame) { put_receipt_request(frame.initGossip(), *round); });
  confirm_own(*round);
}

void Registry::repeat_receipt_round(Link& link) {
  const auto round = receipts_.repeat_round();
  if (!round) return;
  fleet::Outgoing out;
  put_receipt_request(out.frame().initGossip(), *round);
  link.send(out.message());
  confirm_own(*round);
}

void Registry::confirm_own(const fleet::ReceiptRound& round) {
  persist_departures(round.servers, [this, number = round.number](bool durable) {
    if (durable) on_receipt(settings_.bind_ip, number);
  });
}

void Registry::put_receipt_request(wire::Gossip::Builder to, const fleet::ReceiptRound& round) {
  const Time now = clock_.now();
  std::vector<const fleet::Server*> departed;
  for (const auto& id : round.servers)
    if (const auto* server = servers_.find(id)) departed.push_back(server);
  to.setReceipt(round.number);
  auto servers = to.initServers(static_cast<unsigned>(departed.size()));
  for (unsigned i = 0; i < servers.size(); ++i) fleet::put(servers[i], *departed[i], now);
}

// The records of the request have been merged.
void Registry::answer_receipt_request(wire::Gossip::Reader request, const std::shared_ptr<Link>& answer_on) {
  std::vector<std::string> servers;
  for (const auto server : request.getServers()) servers.emplace_back(server.getId().cStr());
  persist_departures(servers, [round = request.getReceipt(), answer_on](bool durable) {
    if (!durable) return;
    fleet::Outgoing out;
    out.frame().setReceipt(round);
    answer_on->send(out.message());
  });
}

void Registry::on_receipt(const std::string& registry, std::uint64_t round) {
  receipts_.on_receipt(round, registry);
  answer_departures(clock_.now());
}

// A registry may be cut off from the one that a server called, but not from this one: the next flush passes
// the departure on to it.
void Registry::relay_departures(const std::vector<fleet::Server>& changed) {
  std::vector<std::string> departed;
  for (const auto& server : changed) {
    if (server.phase == fleet::Phase::READY) continue;
    refreshed_servers_.insert_or_assign(server.id, server);
    departed.push_back(server.id);
  }
  persist_departures(departed, [](bool) {});
}

void Registry::persist_departures(const std::vector<std::string>& servers, std::function<void(bool)> done) {
  if (!record_cache_) return done(settings_.data_dir.empty());
  RecordCache::Values values;
  std::map<std::string, fleet::Phase> written;
  for (const auto& id : servers) {
    const auto* server = servers_.find(id);
    if (!server || server->phase == fleet::Phase::READY) continue;
    const auto durable = durable_departures_.find(id);
    if (durable != durable_departures_.end() && durable->second >= server->phase) continue;
    values[kDepartureKey + id] = encode_records({server});
    written[id] = server->phase;
  }
  if (values.empty()) return done(true);
  auto on_written = lifetime_.bind(
      [this, written = std::move(written), done = std::move(done)](bool durable) {
        if (durable)
          for (const auto& [id, phase] : written) {
            auto& known = durable_departures_.try_emplace(id, phase).first->second;
            known = std::max(known, phase);
          }
        done(durable);
      });
  record_cache_->write(std::move(values), [&io = io_, on_written = std::move(on_written)](bool durable) {
    boost::asio::post(io, [on_written, durable]() mutable { on_written(durable); });
  });
}

// Departures are final, so that unlike other cached records they are as good as received ones. To be called
// before the others are loaded.
void Registry::load_departures() {
  if (!record_cache_) return;
  for (const auto& text : record_cache_->get_all(kDepartureKey))
    for (auto& server : decode_records(text)) {
      server.received_at = clock_.now();
      servers_.merge(server);
      durable_departures_[server.id] = server.phase;
    }
}

// Removes from the disk what is no longer known.
void Registry::forget_departures() {
  const auto is_known = [this](const std::string& id) { return servers_.find(id) != nullptr; };
  receipts_.keep_known(is_known);
  RecordCache::Values values;
  std::erase_if(durable_departures_, [&](const auto& departure) {
    if (is_known(departure.first)) return false;
    values[kDepartureKey + departure.first] = std::nullopt;
    return true;
  });
  if (!values.empty()) record_cache_->write(std::move(values), nullptr);
}

void Registry::answer_departures(Time now) {
  for (const auto& verdict : receipts_.take_verdicts(now, voter_ips()))
    if (const auto call = departure_calls_.extract(verdict.call)) call.mapped()(verdict.acknowledged);
}

}  // namespace docklift
