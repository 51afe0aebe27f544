// The edge node: owns the Gateway, tells it what happens, and carries out what it decides, in order. It owns the
// table of open requests, and with it that each gets exactly one final answer.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "clients.hpp"
#include "counter.hpp"
#include "discovery.hpp"
#include "facts.hpp"
#include "net/net.hpp"
#include "settings_reader.hpp"
#include "snowknot/gateway.hpp"
#include "upstream.hpp"

namespace snowknot {

struct NodeConfig {
  std::string name;
  Tcp::endpoint listen, discovery;
  std::string discovery_host;
  std::optional<Tcp::endpoint> counter;
  std::optional<Tcp::endpoint> admin;  // the operators' door
  std::size_t descriptors = 0, memory = 0;  // memory: bytes
  std::uint64_t seed = 0;
  Duration keep_alive{};
  nlohmann::json known;
  reading::NamedSettings named;
};

// Looks at each list before the module does, and may change what it says of servers; and at how attempts end.
class ListView {
 public:
  virtual ~ListView() = default;
  virtual void listed(ListKind kind, std::uint64_t revision, std::vector<Discovery::Entry>& entries) = 0;
  virtual void ended(ServerId server, Outcome outcome) = 0;
};

class Node : private Clients::Owner, private Upstream::Owner {
 public:
  // Without a factory the counts are kept at the platform's counter.
  Node(asio::io_context& io, NodeConfig config, const StoreFactory& store = {});

  // Begins to learn of servers and to speak with the counter, and listens.
  void start();
  // The same without a listener: the owner gives `front()` its own.
  void begin();
  // Takes no new sessions for longer than `take_new` and calls `done` when nothing is open any more.
  void drain(std::function<void()> done, Duration take_new = facts::kNewAfterTerm);
  // How long a drain may take before the platform ends the process: then answer_remaining() is due. Requests whose
  // class has a longer deadline may still be open, those of other classes are not.
  Duration stop_limit() const;
  // The one final answer for each request that is open: refused where nothing was sent for it, else failed. What is
  // out for them is cancelled, sessions that wait for nothing are closed.
  void answer_remaining(Duration retry_after);
  // It knows servers, and the counter has been tried.
  bool is_ready() const { return ready(); }
  // Not ready before this says so, too.
  void ready_with(std::function<bool()> also) { also_ready_ = std::move(also); }
  // Not owned.
  void set_list_view(ListView* view) { view_ = view; }
  // Servers of the list otherwise than it has them, or as it has them again.
  void retell(const std::vector<Discovery::Entry>& entries) { take_list(ListKind::changes, entries); }
  // What others see of a server.
  void told_of(const ServerSeen& seen) { happened(seen); }
  Clients& front() { return clients_; }
  // Another protocol on a path of its own, whose requests pass the module by way of ask(). Not owned.
  void serve_front(Front* front);
  // One request that a front has made of one of its own. The number is for abandon(); 0: a request of this id is open.
  std::uint64_t ask(ClientRequest request, std::shared_ptr<Asker> asker) { return arrived(std::move(request), std::move(asker)); }
  void abandon(std::uint64_t request) { client_gone(request); }
  // Requests whose bodies are streamed. Not owned.
  void serve_streams(Streams* streams) { clients_.set_streams(streams); }
  // Answers longer than what is held whole are passed on as they come.
  void pass_on_long_answers() { upstream_.pass_on_long_answers(); }
  // Of a carrier: its attempt's answer has begun; its server waits for bytes; it has ended; and whether its first byte may still be written.
  void stream_started(const Errand& errand) { happened(StreamStarted{errand.request, errand.attempt}); }
  void attempt_waits(const Errand& errand, bool waits) { happened(AttemptWaits{errand.request, errand.attempt, waits}); }
  void carried(const Errand& errand, Outcome outcome) { upstream_.carried(errand, outcome); }
  bool may_start(const Errand& errand) const { return upstream_.may_start(errand); }
  std::uint64_t next_number() { return ++requests_; }
  Timers& timers() { return timers_; }
  const Settings& settings() const { return config_.named.settings; }
  // What a new configuration may change under load: the addresses of discovery and the counter.
  void move_to(const NodeConfig& next);
  Tcp::endpoint listens_at() const { return clients_.listeners().front()->at; }
  // For operators: what became of requests, how many are open, how the servers stand.
  const Tally& tally() const { return tally_; }
  std::size_t current() const { return clients_.current(); }
  TableSizes sizes() const { return gateway_.sizes(); }
  // While set aside the node is not ready for new clients and keeps no connection, but serves all that comes.
  void set_aside(bool aside) { clients_.set_aside(aside); }
  void count_send() { ++tally_.sends; }
  void count_ended(std::size_t cls, int status) { tally_.ended(cls, status); }
  // A new limit of descriptors, shared out as at the start.
  void set_descriptors(std::size_t limit);
  // What is held, and some for what is open; and to keep to that, for one that accepts no more. Connections to servers that idle go.
  std::size_t descriptors_held();
  void hold_to(std::size_t descriptors);
  std::size_t open_requests() const { return open_.size(); }

 private:
  struct Open {
    std::shared_ptr<Asker> session;  // none: it has its final answer, or its client has gone
    std::shared_ptr<const ClientRequest> message;
    std::uint32_t attempts = 0, out = 0;
    bool relayed = false;  // its final answer has begun
  };

  bool ready() const override;
  std::uint64_t arrived(ClientRequest request, std::shared_ptr<Asker> asker) override;
  void client_gone(std::uint64_t request) override;
  bool still_wanted(RequestId request) const override;
  void attempt_ended(const Errand& errand, Outcome outcome, Answer answer) override;
  void attempt_written() override { count_send(); }
  bool answer_begins(const Errand& errand, const LongHead& head, std::shared_ptr<AnswerSource> source) override;
  void answer_piece(const Errand& errand, std::string_view bytes, bool last) override;
  void answer_cut(const Errand& errand) override;
  void probe_ended(const Errand& errand, Outcome outcome) override;
  void list_changed(ListKind kind, const std::vector<Discovery::Entry>& entries);
  void take_list(ListKind kind, const std::vector<Discovery::Entry>& entries);

  void happened(Event event);
  void perform(const Action& action);
  void watch_open();
  void carry_out(const Send& s);
  void carry_out(const Refuse& s);
  void carry_out(const Fail& s);
  void carry_out(const Cancel& s);
  void carry_out(const AddToCount& s);
  void carry_out(const SetTimer& s);
  void carry_out(const Probe& s);
  void carry_out(const Subscribe&) {}  // the watch runs anyway
  void carry_out(const Log& s);
  void finish(RequestId request, const Answer& answer);
  void forget_if_done(RequestId request);
  void wait_until_drained();

  NodeConfig config_;
  Clock clock_;
  Timers timers_;
  Gateway gateway_;
  std::unordered_map<RequestId, Open> open_;
  std::unordered_set<std::string> ids_;  // of the open requests, as their clients named them
  std::uint64_t requests_ = 0;           // the number of the last one
  std::deque<Event> events_;             // that have not been told yet
  bool telling_ = false;
  bool knows_servers_ = false;
  std::function<void()> drained_;
  Front* front_ = nullptr;
  ListView* view_ = nullptr;
  std::function<bool()> also_ready_;
  Tally tally_;
  Upstream upstream_;
  std::unique_ptr<CountStore> counter_;
  Discovery discovery_;
  Clients clients_;
};

}  // namespace snowknot
