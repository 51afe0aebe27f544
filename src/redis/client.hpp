// The client of a Redis, a cluster or a master under Sentinels, without I/O: which connections there are, which call goes
// where, what follows from a redirect, from a topology that changes and from a store that lost its counts. Time, bytes and
// ends of connections go in, actions come out; the layer that carries them out is redis_store.*.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "redis/epoch.hpp"
#include "redis/session.hpp"
#include "redis/topology.hpp"

namespace docklift::redis {

enum class Mode { single, cluster, sentinel };

struct ClientOptions {
  Mode mode = Mode::single;
  std::vector<Endpoint> seeds;  // the server; some of the cluster's; the Sentinels
  std::string master;           // its name at the Sentinels
  SessionOptions session;
  std::size_t lanes = 4;  // connections to each server; a name keeps to one
  snowknot::Duration connect_limit{};
  snowknot::Duration first_back_off{}, longest_back_off{};
  snowknot::Duration refresh_least{};   // between two questions after the topology
  snowknot::Duration refresh_every{};   // asked again after so long, whatever happens
  snowknot::Duration epoch_interval{};  // between two looks at a server's epoch; 0: no looks
  snowknot::Duration epoch_life{};      // of the epoch's key without a look
  int most_hops = 5;                    // redirects of one call
  std::uint64_t seed = 0;               // of the jitter
};

// A connection, and each attempt at one, has its own number.
enum class LinkId : std::uint64_t {};

struct Open {
  LinkId link{};
  Endpoint to;
};
struct Close {
  LinkId link{};
};
struct Write {
  LinkId link{};
  std::string text;
};
struct Note {
  std::string text;
};
using Action = std::variant<Open, Close, Write, Note, snowknot::CountAnswer, snowknot::CountsLost>;

// Exactly one CountAnswer comes of each add, at its limit at the latest. Words about links that are closed or unknown are
// passed over.
class Client {
 public:
  Client(ClientOptions options, snowknot::Time now);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void add(snowknot::Time now, snowknot::CountName name, double amount, snowknot::Duration lifetime);
  void opened(snowknot::Time now, LinkId link);
  void ended(snowknot::Time now, LinkId link, const std::string& why);
  void received(snowknot::Time now, LinkId link, std::string_view bytes);
  void written(snowknot::Time now, LinkId link, std::size_t bytes);  // in all on this link
  void tick(snowknot::Time now);
  std::optional<snowknot::Time> due() const;  // when tick() is wanted at the latest
  std::vector<Action> actions();

  bool tried() const;  // each connection has come up, or has failed once
  std::size_t servers() const { return servers_.size(); }
  std::uint64_t refreshes() const { return refreshes_; }
  std::uint64_t redirects() const { return redirects_; }

 private:
  struct Link;
  struct Server;
  enum Tag : std::uint64_t { kInfo = 1, kLook, kRewrite, kSlotsAsked, kMasterAsked };

  Server& server_at(snowknot::Time now, const Endpoint& at);
  const Endpoint* owner_of(snowknot::CountName name) const;
  void route(snowknot::Time now, CountCall call);
  void send_to(snowknot::Time now, const Endpoint& at, CountCall call);
  void turn(snowknot::Time now, Link& link, CountCall call, const std::string& error);
  void refuse(snowknot::Time now, const CountCall& call);
  void take_up_homeless(snowknot::Time now);

  void connect(snowknot::Time now, Link& link);
  void lose(snowknot::Time now, Link& link, const std::string& why);
  void settle(snowknot::Time now, Link& link);
  void greeted(snowknot::Time now, Link& link);
  void answered(snowknot::Time now, Link& link, const Asked& asked);
  void identified(snowknot::Time now, Link& link, const Asked& asked);
  void looked(snowknot::Time now, Link& link, const Asked& asked);
  void release(snowknot::Time now, Link& link);
  void look(snowknot::Time now, Server& server);
  void new_epoch(Server& server);

  void want_refresh(snowknot::Time now);
  void refresh(snowknot::Time now);
  void slots_came(snowknot::Time now, const Asked& asked);
  void master_is(snowknot::Time now, const Endpoint& at);
  void retire(snowknot::Time now);
  void drop(snowknot::Time now, Server& server);
  std::vector<Link*> all_links() const;
  Link* find(LinkId id) const;
  void note(std::string text);

  ClientOptions options_;
  std::mt19937_64 random_;
  std::map<Endpoint, std::unique_ptr<Server>> servers_;
  std::unique_ptr<Link> scout_;  // asks after the topology
  std::size_t candidate_ = 0;    // of the addresses that the scout tries in turn
  SlotMap slots_;
  std::optional<Endpoint> master_;
  std::deque<CountCall> homeless_;                           // no server is known for them yet
  std::deque<std::pair<snowknot::Time, CountCall>> parked_;  // after TRYAGAIN: when to try again
  std::map<LinkId, Link*> by_id_;
  std::vector<Action> actions_;
  std::uint64_t links_ = 0, refreshes_ = 0, redirects_ = 0;
  snowknot::Time refresh_at_{}, refreshed_at_{};
  bool refreshing_ = false;
};

}  // namespace docklift::redis
