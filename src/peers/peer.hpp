// One node among its peers, without I/O: combines membership, replicated records, drains and counts;
// datagrams are input and output. The socket layer is src/peers/station.*. Times are nanoseconds of the
// fleet's clock, which never goes back within an incarnation.
#pragma once

#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "members/members.hpp"
#include "peers/wire.hpp"
#include "recovery/memory.hpp"
#include "recovery/stages.hpp"
#include "replica/beliefs.hpp"
#include "replica/counts.hpp"
#include "replica/replica.hpp"
#include "replica/words.hpp"
#include "snowknot/gateway.hpp"

namespace docklift::peers {

using Instant = std::chrono::nanoseconds;

enum class NodeState : char { starting = 's', serving = 'v', draining = 'd', left = 'l' };
const char* name_of(NodeState state);

// Settings of one node; see the sections [peers] and [state] of the operator's file.
struct PeerOptions {
  std::string cluster = "docklift";
  Key key{};
  members::Incarnation self{};
  std::vector<std::string> seeds{};
  std::uint32_t fleet_size = 1;  // total number of nodes, as configured on the platform
  std::string file_version{};    // hash of the operator's file
  bool drains = true, counts = true, beliefs = true;
  Instant warm_limit{std::chrono::seconds(1)};  // for copies at a start; then the node serves without them
  members::Limits members{};
  replica::Limits records{};
  replica::CountLimits count_limits{};
  replica::BeliefLimits belief_limits{};
  bool disk = false;  // state is kept on a disk; see remember() and to_disk()
  recovery::StageLimits stages{};
};

// What the caller has to do after an input.
struct Actions {
  struct Datagram {
    std::string to{}, bytes{};
  };
  std::vector<Datagram> datagrams{};
  std::vector<replica::ServerPhases::Override> servers{};
  std::vector<replica::Beliefs::Report> beliefs{};
  std::vector<replica::Counts::Add> adds{};
  std::vector<snowknot::CountAnswer> answers{};
  std::optional<snowknot::CountsLost> lost{};
  struct Line {
    std::string module{}, text{};
  };
  std::vector<Line> log{};
};

// Joins the protocols of one node: feeds them inputs and collects their outputs.
class Peer : private replica::FleetView {
 public:
  struct Figures {
    std::uint64_t datagrams_in = 0, datagrams_out = 0, bytes_in = 0, bytes_out = 0, forged = 0, unreadable = 0, strangers = 0,
                  replays = 0, too_long = 0;
  };

  Peer(PeerOptions options, std::uint64_t seed);

  // All records, for the process that replaces this one in a hot upgrade. The successor calls inherit() with
  // them before begin(): it then has the same state, in particular all drains, and is ready without asking
  // other nodes. Unreadable input is ignored.
  std::string copies() const;
  Actions inherit(Instant now, std::string_view copies);
  // With a disk, call before begin(): restores the state read from it, which is empty if the disk can't be
  // read.
  Actions remember(Instant now, const recovery::RestoredState& found);
  // The changes since the last call, to be written to the disk. Call durable() with `number` once they are
  // synced.
  struct ToDisk {
    std::vector<recovery::Change> changes{};
    std::uint64_t number = 0;
  };
  ToDisk to_disk();
  bool has_for_disk() const { return options_.disk && (records_.changed() || !pending_changes_.empty()); }
  Actions durable(Instant now, std::uint64_t number);
  // The disk has failed: changes are no longer written, and the node goes on without it.
  Actions on_disk_failure(Instant now);
  Actions begin(Instant now);
  // When tick() is due next; it may be called at any time.
  Instant due() const;
  Actions tick(Instant now);
  // Handles a received datagram.
  Actions datagram(Instant now, std::string_view bytes);
  // Publishes the node's own state.
  Actions state(Instant now, NodeState state);
  // Planned shutdown: sends the records that have not been sent yet and announces the departure; sends
  // nothing after.
  Actions leave(Instant now);
  void set_seeds(std::vector<std::string> seeds);

  // The node's own service discovery has reported the list of servers (`complete`) or changes to it.
  Actions listed(Instant now, bool complete, std::uint64_t revision,
                 const std::vector<replica::ServerPhases::Entry>& entries);
  // A request attempt at a server of the list has ended.
  void record_attempt(Instant now, std::uint32_t server, bool good);
  bool drained(std::uint32_t server) const { return words_.held(server); }
  // Calls of the module to the counter store, and the store's answers and losses.
  Actions add(Instant now, snowknot::CountName name, double amount, snowknot::Duration lifetime);
  Actions store_answered(Instant now, const snowknot::CountAnswer& answer);
  Actions store_lost(Instant now, const snowknot::CountsLost& lost);

  // Whether the node may start to serve: it has copies from two other nodes (or from all, if there are
  // fewer), or the time limit for them has passed, and recovery from the disk has reached the stage in which
  // it serves.
  bool warm(Instant now) const;
  bool has_copies() const { return caught_up_; }
  // Status for the admin interface: members, version vector, digest, conflicts, counters.
  nlohmann::json fleet(Instant now) const;

  const members::Members& members() const { return members_; }
  const replica::Replica& records() const { return records_; }
  const replica::Counts& counts() const { return counts_; }
  const replica::ServerPhases& words() const { return words_; }
  const replica::Beliefs& beliefs() const { return beliefs_; }
  const Figures& figures() const { return figures_; }
  recovery::Stage stage() const { return stages_.stage(); }
  // A datagram of this node with a valid MAC. Public for tests that forge, repeat and delay datagrams.
  std::string frame(Body body);

 private:
  // A node whose copies are being fetched at a start.
  struct CopySource {
    bool answered = false;
    std::uint32_t origins = 0;
    std::set<replica::Origin> named{};
    std::map<replica::Origin, std::uint64_t> numbers{};
  };

  std::vector<replica::Origin> alive() const override;
  bool lost_since(Instant since) const override;
  bool caught_up() const override { return caught_up_; }
  bool gone(const replica::Origin& o) const override;
  std::uint64_t raise(Instant since) const override {
    std::uint64_t sum = 0;
    for (const auto& [closed, unreported] : unreported_units_) sum += closed > since ? unreported : 0;
    return sum;
  }

  void collect(members::Actions&& from, Actions& out);
  void collect(replica::Out&& from, Actions& out);
  void collect(replica::Counts::Out&& from, Actions& out);
  void collect(std::vector<replica::ServerPhases::Override>&& overrides, Actions& out);
  void on_member_change(const members::Change& c, Actions& out);
  void send(const std::string& address, Body body, Actions& out);
  void on_vector(const replica::Origin& from, const replica::Message& m);
  void check_caught_up(Actions& out);
  void request_copies(Actions& out);
  bool replaced(const replica::Origin& o) const;
  void find_replaced_incarnations();
  std::vector<std::string> reachable() const;
  bool warm_limit_reached() const;
  bool beliefs_due(Instant now) const;
  recovery::Known known() const;
  bool is_closed(const replica::Origin& o) const;
  void update_stage(Actions& out);
  void recompute_unreported_units();
  void confirm_remembered_members(Actions& out);
  void publish_beliefs(Actions& out);

  PeerOptions options_;
  members::Members members_;
  replica::Replica records_;
  replica::Counts counts_;
  replica::ServerPhases words_;
  replica::Beliefs beliefs_;
  std::map<std::uint32_t, std::uint64_t> server_starts_{};  // start times of the listed servers, by id
  ReplayFilter replay_filter_;
  std::uint64_t counter_ = 0;
  Instant now_{}, started_at_{}, next_sweep_{}, next_write_{}, next_request_{};
  bool inherited_ = false, started_ = false, caught_up_ = false, beliefs_published_ = false;
  std::size_t published_beliefs_ = 0;
  std::map<std::string, CopySource> copy_sources_{};
  // Incarnations that a later one of the same name has replaced and that didn't announce a departure, with
  // the time at which that was seen.
  std::map<replica::Origin, Instant> replaced_incarnations_;
  NodeState state_ = NodeState::starting;
  Figures figures_;
  // Used only with a disk
  recovery::Stages stages_;
  std::vector<recovery::Change> pending_changes_{};
  std::uint64_t last_batch_ = 0, durable_batch_ = 0, largest_add_batch_ = 0, largest_add_ = 0;
  std::map<std::uint64_t, std::uint64_t> count_writes_{};  // write numbers of the counts, by batch
  std::set<replica::Origin> known_from_disk_{};            // incarnations found on the disk
  // Incarnations whose version vector names this one, so that they are running now; others may be known only
  // from a delayed datagram.
  std::set<replica::Origin> confirmed_{};
  bool disk_read_ = false, disk_failed_ = false;
  // What closed incarnations may have used without reporting: time of closing, thousandths of a unit.
  std::vector<std::pair<Instant, std::uint64_t>> unreported_units_{};
};

}  // namespace docklift::peers
