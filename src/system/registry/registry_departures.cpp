// How a registry acknowledges that servers drain or leave: it requests receipts of the records from the other
// registries and gives them in turn.
#include "system/registry/registry.hpp"

namespace docklift {
namespace {

using namespace std::chrono_literals;
constexpr Duration kReceiptBatchDelay = 5ms;  // departures reported within it share one round
constexpr Duration kReceiptTimeout = 700ms;   // a server that has no answer for 1 s calls the next node

}  // namespace

using fleet::MergeResult;

void Registry::on_departure(const fleet::Server& server, std::function<void(bool)> done) {
  const auto merged = servers_.merge(server);
  const auto& known = *servers_.find(server.id);
  if (merged != MergeResult::unchanged) refreshed_servers_.insert_or_assign(known.id, known);
  if (merged == MergeResult::changed) queue_server_updates({known});
  const auto call = ++last_departure_call_;
  departure_calls_[call] = std::move(done);
  // Without a majority the call fails at once, so that the server tries the next node.
  const Time now = clock_.now();
  receipts_.await(call, {known.id, known.phase}, reaches_majority() ? now + kReceiptTimeout : now);
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
  on_receipt(settings_.bind_ip, round->number);
}

void Registry::repeat_receipt_round(Link& link) {
  const auto round = receipts_.repeat_round();
  if (!round) return;
  fleet::Outgoing out;
  put_receipt_request(out.frame().initGossip(), *round);
  link.send(out.message());
  on_receipt(settings_.bind_ip, round->number);
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
void Registry::on_receipt_request(std::uint64_t round, const std::shared_ptr<Link>& answer_on) {
  if (round == 0 || !answer_on) return;
  fleet::Outgoing out;
  out.frame().setReceipt(round);
  answer_on->send(out.message());
}

void Registry::on_receipt(const std::string& registry, std::uint64_t round) {
  receipts_.on_receipt(round, registry);
  answer_departures(clock_.now());
}

// A registry may be cut off from the one that a server called, but not from this one: the next flush passes
// the departure on to it.
void Registry::relay_departures(const std::vector<fleet::Server>& changed) {
  for (const auto& server : changed)
    if (server.phase != fleet::Phase::READY) refreshed_servers_.insert_or_assign(server.id, server);
}

void Registry::answer_departures(Time now) {
  for (const auto& verdict : receipts_.take_verdicts(now, voter_ips()))
    if (const auto call = departure_calls_.extract(verdict.call)) call.mapped()(verdict.acknowledged);
}

}  // namespace docklift
