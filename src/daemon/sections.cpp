#include "daemon/sections.hpp"

#include "config/known_sections.hpp"
#include "config/options.hpp"
#include "graphql/sections.hpp"
#ifdef DOCKLIFT_WITH_PEERS
#include "peers/sections.hpp"
#endif
#include "redis/sections.hpp"
#include "stream/sections.hpp"

namespace docklift {
namespace {

using options::kMinute, options::kMs, options::kS;

Option span(std::string key, std::int64_t fallback, std::int64_t least, std::int64_t most, std::string doc) {
  return options::span(std::move(key), fallback, least, most, std::move(doc), true);
}

}  // namespace

Section daemon_section() {
  Section s{.name = "daemon", .doc = "The process itself: its files, and the limits of its life cycle."};
  s.options = {
      {.key = "platform_config", .type = Type::path, .fallback = std::string(),
       .doc = "The platform's configuration (JSON); empty: the path in `$GW_CONFIG`.", .reloadable = false},
      {.key = "pid_file", .type = Type::path, .fallback = std::string(),
       .doc = "Holds the process' number and, while it runs, its lock. Empty: none.", .reloadable = false},
      span("drain_limit", 5 * kS, 100 * kMs, 60 * kMinute,
           "The longest time from a stop until all that is open has been answered for."),
      span("hurry_limit", 500 * kMs, 0, 60 * kMinute, "The same from a second stop on."),
      span("accept_after_stop", 600 * kMs, 0, kMinute,
           "For so long after a stop new connections are still answered: a front takes a while to notice."),
      span("finish_limit", 1 * kS, 10 * kMs, kMinute,
           "For the last answers to go out after the drain limit; then the process ends."),
      span("retry_after", 1 * kS, 0, kMinute, "Told to those who are refused at the drain limit."),
      span("prepare_limit", 2 * kS, 10 * kMs, kMinute, "For all that a reload prepares; then it is reverted."),
      {.key = "check_upstreams", .type = Type::boolean, .fallback = true,
       .doc = "A reload that moves discovery or the counter is refused unless a connection to the new address comes "
              "up."},
  };
  s.check = [](const Config& c, const Section::Wrong& wrong) {
    if (c.duration("daemon.hurry_limit") > c.duration("daemon.drain_limit"))
      wrong("hurry_limit", "is longer than drain_limit");
    if (c.duration("daemon.accept_after_stop") > c.duration("daemon.drain_limit"))
      wrong("accept_after_stop", "is longer than drain_limit: new connections would only be refused");
  };
  return s;
}

Section listen_section() {
  constexpr std::size_t kMostExtra = 8;  // they come out of the descriptors that the node keeps for itself
  Section s{.name = "listen", .doc = "Where clients connect, beside the platform's own address."};
  s.options = {{.key = "extra", .type = Type::addresses, .fallback = std::vector<std::string>(),
                .doc = "Further addresses, 8 at most. One that is added is bound before a reload is applied; on one that "
                       "is taken out, open connections stay until they end."}};
  s.check = [](const Config& c, const Section::Wrong& wrong) {
    if (c.list("listen.extra").size() > kMostExtra) wrong("extra", "has more than 8 addresses");
  };
  return s;
}

Section admin_section() {
  return {.name = "admin",
          .doc = "The operators' door.",
          .options = {options::text("listen", Type::address, "", "Where it listens; empty: there is none.")}};
}

Section upgrade_section() {
  return {.name = "upgrade",
          .doc = "What SIGUSR2 does: start a successor that takes over the listeners.",
          .options = {{.key = "binary", .type = Type::path, .fallback = std::string(),
                       .doc = "The program to start; empty: the path that this one was started from."},
                      span("ready_limit", 10 * kS, 100 * kMs, 10 * kMinute,
                           "For the successor to get ready, and again to say that it serves; then it is ended and "
                           "this process serves on.")},};
}

LifeLimits life_limits(const Config& c) {
  constexpr int kReadTries = 5;  // as without an operator's file
  LifeLimits l;
  l.prepare = c.duration("daemon.prepare_limit");
  l.drain = c.duration("daemon.drain_limit");
  l.hurry = c.duration("daemon.hurry_limit");
  l.finish = c.duration("daemon.finish_limit");
  l.upgrade = c.duration("upgrade.ready_limit");
  l.read_pause = std::chrono::milliseconds(200);
  l.read_tries = kReadTries;
  return l;
}

const Schema& schema_of_docklift() {
  static const Schema schema = [] {
    Schema s;
    s.add(daemon_section()).add(listen_section()).add(upgrade_section());
    s.add(redis::store_section()).add(redis::redis_section()).add(graphql::graphql_section()).add(stream::stream_section());
    s.add(admin_section());
#ifdef DOCKLIFT_WITH_PEERS
    s.add(peers::peers_section()).add(peers::state_section());
#endif
    return s;
  }();
  return schema;
}

}  // namespace docklift
