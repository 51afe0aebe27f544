#include "redis/sections.hpp"

#include <fstream>
#include <stdexcept>

#include "config/options.hpp"
#include "counter.hpp"
#include "discovery.hpp"
#include "redis/redis_store.hpp"
#include "store/cut_over.hpp"
#include "store/moving_store.hpp"

namespace docklift::redis {
namespace {

using namespace options;

}  // namespace

Section store_section() {
  Section s{.name = "store", .doc = "Where the counts are kept that all nodes share."};
  s.options = {{.key = "kind",
                .type = Type::choice,
                .fallback = std::string("platform"),
                .doc = "`platform`: the platform's counter; `redis`: the server in `[redis]`. All nodes of a "
                       "fleet must "
                       "name the same.",
                .reloadable = false,
                .choices = {"platform", "redis"}}};
  s.options.push_back(
      text("move_from", Type::choice, "none",
           "A fleet that moves: counts are kept in that store too, and it decides until `cut_over`."));
  s.options.back().choices = {"none", "platform", "redis"};
  s.options.push_back(text("cut_over", Type::text, "",
                           "From when on `kind` decides: `2026-12-24T02:30:00Z`. The same at all nodes."));
  s.options.push_back(
      span("overlap", kMinute, 1 * kS, 60 * kMinute,
           "Both stores count for so long after the cut-over, and must have for so long before: no window "
           "is longer."));
  s.check = [](const Config& c, const Section::Wrong& wrong) {
    const auto& kind = c.text("store.kind");
    const auto& from = c.text("store.move_from");
    if (kind == "redis" || from == "redis") {
      const bool single = c.text("redis.mode") == "single";
      if (single && c.text("redis.address").empty()) wrong("kind", "needs redis.address");
      if (!single && c.list("redis.seeds").empty()) wrong("kind", "needs redis.seeds");
    }
    if (from == kind) wrong("move_from", "is the store that is moved to");
    if ((from == "none") != c.text("store.cut_over").empty()) wrong("cut_over", "goes with move_from");
    if (!c.text("store.cut_over").empty() && !store::time_of(c.text("store.cut_over")))
      wrong("cut_over", "is not a time of the form 2026-12-24T02:30:00Z");
  };
  return s;
}

Section redis_section() {
  Section s{
      .name = "redis",
      .doc = "The Redis server (6 or later, or what speaks its protocol) for `store.kind = \"redis\"`."};
  s.options = {
      {.key = "mode",
       .type = Type::choice,
       .fallback = std::string("single"),
       .doc = "`single`: the server at `address`; `cluster`: those that `seeds` tell of; `sentinel`: the "
              "master `master` of "
              "the Sentinels in `seeds`.",
       .reloadable = false,
       .choices = {"single", "cluster", "sentinel"}},
      text("address", Type::address, "", "Where it listens: an IP address and a port."),
      {.key = "seeds",
       .type = Type::addresses,
       .fallback = std::vector<std::string>(),
       .doc = "Some of the cluster's servers, or the Sentinels. Asked in turn; what they tell must be IP "
              "addresses.",
       .reloadable = false},
      text("master", Type::text, "mymaster", "Its name at the Sentinels."),
      text("user", Type::text, "", "ACL user; empty: the default one."),
      text("password_file", Type::path, "", "A file whose first line is the password; empty: none is sent."),
      text("client_name", Type::text, "docklift", "For CLIENT SETNAME; empty: none."),
      text("prefix", Type::text, "docklift:", "What the names of all counts begin with."),
      number("database", 0, 0, 1'000, "For SELECT."),
      number("connections", 4, 1, 64, "To the server, from each node. A name keeps to one."),
      number("most_calls", 1'024, 1, 1'000'000,
             "Calls on one connection that wait for a reply; further ones count as refused at once."),
      {.key = "resp3",
       .type = Type::boolean,
       .fallback = true,
       .doc = "Ask for version 3 of the protocol; falls back to 2 where the server doesn't know it.",
       .reloadable = false},
      span("connect_limit", 1 * kS, 10 * kMs, kMinute, "For a connection to come up."),
      span("call_limit", 0, 0, kMinute, "For a call; 0: as the platform's settings have it for the counter."),
      span("idle_limit", 10 * kS, 100 * kMs, 60 * kMinute,
           "A connection that idles so long is kept alive by a PING."),
      span("refresh_least", 200 * kMs, 10 * kMs, kMinute,
           "Between two questions after the topology, whatever happens."),
      span("refresh_every", 30 * kS, 100 * kMs, 60 * kMinute,
           "The topology is asked for again after so long."),
      number("most_redirects", 5, 1, 64, "Of one call in a cluster."),
      span("epoch_interval", 1 * kS, 0, kMinute,
           "Between two looks at whether a server still has its counts; 0: only the totals tell."),
      span("epoch_life", 600 * kS, 10 * kS, 24 * 60 * kMinute,
           "How long the key for that outlives the last look."),
      span("first_back_off", 50 * kMs, 1 * kMs, kMinute,
           "Before a lost connection is made again; doubles, with jitter."),
      span("longest_back_off", 1 * kS, 1 * kMs, 10 * kMinute, "The longest of those."),
  };
  s.check = [](const Config& c, const Section::Wrong& wrong) {
    if (c.duration("redis.first_back_off") > c.duration("redis.longest_back_off"))
      wrong("first_back_off", "is longer than longest_back_off");
    if (!c.text("redis.user").empty() && c.text("redis.password_file").empty())
      wrong("user", "needs password_file");
    if (c.text("redis.client_name").find_first_of(" \r\n\t") != std::string::npos)
      wrong("client_name", "holds white space, which the server refuses");
    const bool cluster = c.text("redis.mode") == "cluster";
    if (cluster && c.whole("redis.database") != 0) wrong("database", "a cluster has no other than 0");
    if (c.text("redis.mode") == "sentinel" &&
        c.text("redis.master").find_first_of(" \r\n\t") != std::string::npos)
      wrong("master", "holds white space");
    if (c.duration("redis.refresh_every") < c.duration("redis.refresh_least"))
      wrong("refresh_every", "is shorter than refresh_least");
    if (c.duration("redis.epoch_life") < 2 * c.duration("redis.epoch_interval"))
      wrong("epoch_life", "is shorter than two of epoch_interval");
    if (c.text("redis.prefix").find_first_of("{}") != std::string::npos)
      wrong("prefix", "holds a brace, which would change the slots of names");
  };
  return s;
}

namespace {

std::vector<Endpoint> seeds_of(const Config& c) {
  std::vector<Endpoint> all;
  const auto read = [&](const std::string& text, const char* key) {
    const auto at = snowknot::endpoint_of(text);
    if (!at) throw std::runtime_error(std::string(key) + ": is not an address and a port: " + text);
    all.push_back(*at);
  };
  if (c.text("redis.mode") == "single")
    read(c.text("redis.address"), "redis.address");
  else
    for (const auto& text : c.list("redis.seeds")) read(text, "redis.seeds");
  return all;
}

snowknot::StoreFactory redis_factory(const Config& c, std::uint64_t seed) {
  ClientOptions o;
  o.seeds = seeds_of(c);
  const auto& mode = c.text("redis.mode");
  o.mode = mode == "cluster" ? Mode::cluster : mode == "sentinel" ? Mode::sentinel : Mode::single;
  o.master = c.text("redis.master");
  o.session.user = c.text("redis.user");
  if (const auto& file = c.text("redis.password_file"); !file.empty()) {
    std::ifstream in(file);
    if (!std::getline(in, o.session.password) || o.session.password.empty())
      throw std::runtime_error("redis.password_file: no password can be read from " + file);
  }
  o.session.client_name = c.text("redis.client_name");
  o.session.prefix = c.text("redis.prefix");
  o.session.database = c.whole("redis.database");
  o.session.resp3 = c.boolean("redis.resp3");
  o.session.idle_limit = c.duration("redis.idle_limit");
  o.session.most_calls = static_cast<std::size_t>(c.whole("redis.most_calls"));
  o.lanes = static_cast<std::size_t>(c.whole("redis.connections"));
  o.refresh_least = c.duration("redis.refresh_least");
  o.refresh_every = c.duration("redis.refresh_every");
  o.epoch_interval = c.duration("redis.epoch_interval");
  o.epoch_life = c.duration("redis.epoch_life");
  o.most_hops = static_cast<int>(c.whole("redis.most_redirects"));
  o.connect_limit = c.duration("redis.connect_limit");
  o.first_back_off = c.duration("redis.first_back_off");
  o.longest_back_off = c.duration("redis.longest_back_off");
  o.seed = seed;
  return [o, own = c.duration("redis.call_limit")](
             snowknot::asio::io_context& io, snowknot::Timers& timers, snowknot::Duration limit,
             snowknot::CountStore::Told told,
             snowknot::CountStore::Lost lost) -> std::unique_ptr<snowknot::CountStore> {
    return std::make_unique<RedisStore>(io, timers, o, own == snowknot::Duration{} ? limit : own,
                                        std::move(told), std::move(lost));
  };
}

}  // namespace

snowknot::StoreFactory store_factory(const Config& c, std::uint64_t seed,
                                     const std::optional<snowknot::Tcp::endpoint>& counter) {
  const auto& from = c.text("store.move_from");
  const auto factory = [&](const std::string& kind) -> snowknot::StoreFactory {
    if (kind == "redis") return redis_factory(c, seed);
    if (!counter) throw std::runtime_error("store.kind: the platform's configuration names no counter");
    return [at = *counter](snowknot::asio::io_context& io, snowknot::Timers& timers, snowknot::Duration limit,
                           snowknot::CountStore::Told told, const snowknot::CountStore::Lost&) {
      return std::make_unique<snowknot::Counter>(io, timers, at, limit, std::move(told));
    };
  };
  if (from != "none")
    return store::moving(factory(from), factory(c.text("store.kind")),
                         *store::time_of(c.text("store.cut_over")), c.duration("store.overlap"));
  return c.text("store.kind") == "redis" ? redis_factory(c, seed) : snowknot::StoreFactory{};
}

}  // namespace docklift::redis
