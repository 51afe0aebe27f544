// One node among its peers, without I/O: membership, records, drains and counts joined together, datagrams in and out. The thin
// layer on sockets is src/peers/station.*. Times are nanoseconds of the fleet's clock, which never goes back within a life.
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

struct PeerOptions {
  std::string cluster = "docklift";
  Key key{};
  members::Incarnation self{};
  std::vector<std::string> seeds{};
  std::uint32_t fleet_size = 1;  // nodes in all, as the platform tells it
  std::string file_version{};      // of the operator's file
  bool drains = true, counts = true, beliefs = true;
  Instant warm_limit{std::chrono::seconds(1)};  // a start waits so long for copies, then begins without
  members::Limits members{};
  replica::Limits records{};
  replica::CountLimits count_limits{};
  replica::BeliefLimits belief_limits{};
  bool disk = false;  // what is known is written down: see remember() and to_disk()
  recovery::StageLimits stages{};
};

struct Actions {
  struct Datagram {
    std::string to{}, bytes{};
  };
  std::vector<Datagram> datagrams{};
  std::vector<replica::Words::Told> servers{};
  std::vector<replica::Beliefs::Told> beliefs{};
  std::vector<replica::Counts::Add> adds{};
  std::vector<snowknot::CountAnswer> answers{};
  std::optional<snowknot::CountsLost> lost{};
  struct Line {
    std::string room{}, text{};
  };
  std::vector<Line> log{};
};

class Peer : private replica::Fellows {
 public:
  struct Figures {
    std::uint64_t datagrams_in = 0, datagrams_out = 0, bytes_in = 0, bytes_out = 0, forged = 0, unreadable = 0, strangers = 0,
                  replays = 0, too_long = 0;
  };

  Peer(PeerOptions options, std::uint64_t seed);

  // Copies for a process that takes this one's place, and what that one does with them before it begins: it knows then what was known here,
  // drains above all, and is ready without having asked anybody. What can't be read is passed over.
  std::string copies() const;
  Actions inherit(Instant now, std::string_view copies);
  // With a disk, before begin(): what it had, or nothing where it can't be read.
  Actions remember(Instant now, const recovery::Remembered& found);
  // What is to be written down since the last call. Once all of it is on the disk: durable() with `number`.
  struct ToDisk {
    std::vector<recovery::Change> changes{};
    std::uint64_t number = 0;
  };
  ToDisk to_disk();
  bool has_for_disk() const { return options_.disk && (records_.changed() || !disk_.empty()); }
  Actions durable(Instant now, std::uint64_t number);
  // It refuses: what is new is not written down, and the node serves without.
  Actions disk_fails(Instant now);
  Actions begin(Instant now);
  Instant due() const;
  Actions tick(Instant now);
  Actions datagram(Instant now, std::string_view bytes);
  Actions state(Instant now, NodeState state);
  // The last word: what is not told yet goes out, then nothing more.
  Actions leave(Instant now);
  void set_seeds(std::vector<std::string> seeds);

  Actions listed(Instant now, bool whole, std::uint64_t revision, const std::vector<replica::Words::Entry>& entries);
  // An attempt at a server of the list has ended.
  void record_attempt(Instant now, std::uint32_t server, bool good);
  bool drained(std::uint32_t server) const { return words_.held(server); }
  Actions add(Instant now, snowknot::CountName name, double amount, snowknot::Duration lifetime);
  Actions store_answered(Instant now, const snowknot::CountAnswer& answer);
  Actions store_lost(Instant now, const snowknot::CountsLost& lost);

  // Copies were taken from two others (or all there are), or the time for it is over.
  bool warm(Instant now) const;
  bool has_copies() const { return caught_up_; }
  // For the door: members, vector, digest, conflicts, figures.
  nlohmann::json fleet(Instant now) const;

  const members::Members& members() const { return members_; }
  const replica::Replica& records() const { return records_; }
  const replica::Counts& counts() const { return counts_; }
  const replica::Words& words() const { return words_; }
  const replica::Beliefs& beliefs() const { return beliefs_; }
  const Figures& figures() const { return figures_; }
  recovery::Stage stage() const { return stages_.stage(); }
  // Frames with a right mark that this node would send: for tests that forge, repeat and delay.
  std::string frame(Body body);

 private:
  struct Asked {
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
    for (const auto& [closed, beside] : raises_) sum += closed > since ? beside : 0;
    return sum;
  }

  void take(members::Actions&& from, Actions& out);
  void take(replica::Out&& from, Actions& out);
  void take(replica::Counts::Out&& from, Actions& out);
  void take(std::vector<replica::Words::Told>&& told, Actions& out);
  void changed(const members::Change& c, Actions& out);
  void send(const std::string& address, Body body, Actions& out);
  void learn_vector(const replica::Origin& from, const replica::Message& m);
  void look_whether_caught_up(Actions& out);
  void ask_some(Actions& out);
  bool ended(const replica::Origin& o) const;
  void look_for_ended_lives();
  std::vector<std::string> reachable() const;
  bool warm_time_over() const;
  bool beliefs_due(Instant now) const;
  recovery::Known known() const;
  bool is_closed(const replica::Origin& o) const;
  void look_at_stage(Actions& out);
  void sum_raises();
  void ask_whether_they_live(Actions& out);
  void tell_beliefs(Actions& out);

  PeerOptions options_;
  members::Members members_;
  replica::Replica records_;
  replica::Counts counts_;
  replica::Words words_;
  replica::Beliefs beliefs_;
  std::map<std::uint32_t, std::uint64_t> starts_{};  // of the servers of the list
  ReplayFilter replay_filter_;
  std::uint64_t counter_ = 0;
  Instant now_{}, begun_at_{}, next_sweep_{}, next_write_{}, next_ask_{};
  bool heir_ = false, begun_ = false, caught_up_ = false, beliefs_told_ = false;
  std::size_t believed_ = 0;
  std::map<std::string, Asked> asked_{};
  std::map<replica::Origin, Instant> ended_lives_;  // that others have taken the place of, without a last word: since when
  NodeState state_ = NodeState::starting;
  Figures figures_;
  // With a disk
  recovery::Stages stages_;
  std::vector<recovery::Change> disk_{};
  std::uint64_t disk_number_ = 0, durable_ = 0, largest_number_ = 0, largest_ = 0;
  std::map<std::uint64_t, std::uint64_t> writes_at_{};  // of the counts, by the number of what was to be written down
  std::set<replica::Origin> met_before_{};               // lives that the disk knew
  std::set<replica::Origin> met_now_{};                  // lives that have named this one: they are no late word of the past
  bool remembers_ = false, disk_fails_ = false;
  std::vector<std::pair<Instant, std::uint64_t>> raises_{};  // of lives that are closed: when, and thousandths
};

}  // namespace docklift::peers
