// build/standins/redis --listen 127.0.0.1:PORT [--cluster SHARDS | --sentinels N] [--replicas N] [--lag MS]: the Redis
// stand-in as a program; the members of a group have the ports that follow. Faults: redis_server.hpp, redis_fleet.hpp.
#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>

#include "discovery.hpp"
#include "redis_fleet.hpp"

int main(int argc, char** argv) {
  std::string listen = "127.0.0.1:6379";
  std::uint64_t seed = 1;
  bool resp2 = false;
  std::size_t shards = 0, sentinels = 0, replicas = 1;
  int lag = 0;
  docklift::standins::DatabaseOptions options;
  CLI::App app("A stand-in for Redis on 127.0.0.1");
  app.add_option("--listen", listen, "address")->capture_default_str();
  app.add_option("--seed", seed, "for random numbers")->capture_default_str();
  app.add_option("--user", options.user, "name of the user that AUTH takes")->capture_default_str();
  app.add_option("--password", options.password, "its password; none: no AUTH is asked for");
  app.add_flag("--resp2", resp2, "know no HELLO, as before version 6");
  app.add_option("--cluster", shards, "a cluster of so many masters");
  app.add_option("--sentinels", sentinels, "a master with replicas, watched by so many Sentinels");
  app.add_option("--replicas", replicas, "of each master of a group")->capture_default_str();
  app.add_option("--lag", lag, "of the replicas, in milliseconds")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  options.resp3 = !resp2;
  try {
    const auto at = snowknot::endpoint_of(listen);
    if (!at || !at->address().is_loopback())
      throw std::invalid_argument("--listen is not a port of 127.0.0.0/8");
    boost::asio::io_context io(1);
    std::optional<docklift::standins::RedisServer> server;
    std::optional<docklift::standins::RedisFleet> fleet;
    if (shards == 0 && sentinels == 0)
      server.emplace(io, options, seed, *at);
    else
      fleet.emplace(io, docklift::standins::RedisFleetOptions{.cluster = shards > 0,
                                                              .shards = std::max<std::size_t>(shards, 1),
                                                              .replicas = replicas,
                                                              .sentinels = sentinels,
                                                              .lag = std::chrono::milliseconds(lag),
                                                              .database = options,
                                                              .seed = seed,
                                                              .host = at->address(),
                                                              .first_port = at->port()});
    boost::asio::basic_signal_set<snowknot::Executor> signals(io.get_executor(), SIGTERM, SIGINT);
    signals.async_wait([&](const snowknot::error_code&, int) { io.stop(); });
    if (server) std::cout << "listening on " << server->at() << std::endl;
    for (std::size_t i = 0; fleet && i < fleet->size(); ++i) {
      const auto& m = fleet->cluster().members()[i];
      std::cout << (m.sentinel ? "sentinel"
                    : m.master ? "replica"
                               : "master")
                << " listening on " << fleet->server(i).at() << std::endl;
    }
    io.run();
    return 0;
  } catch (const std::exception& x) {
    std::cerr << "redis: " << x.what() << '\n';
    return 1;
  }
}
