// build/standins/graphql --listen 127.0.0.1:PORT: a member's GraphQL server. Faults: see members_server.hpp.
#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>

#include "discovery.hpp"
#include "members_server.hpp"

int main(int argc, char** argv) {
  std::string listen = "127.0.0.1:4000";
  std::uint64_t seed = 1;
  bool schema = false;
  CLI::App app("A stand-in for a member's GraphQL server on 127.0.0.1");
  app.add_option("--listen", listen, "address")->capture_default_str();
  app.add_option("--seed", seed, "for random numbers")->capture_default_str();
  app.add_flag("--schema", schema, "print the schema and end");
  CLI11_PARSE(app, argc, argv);
  if (schema) {
    std::cout << docklift::standins::members_schema();
    return 0;
  }
  try {
    const auto at = snowknot::endpoint_of(listen);
    if (!at || !at->address().is_loopback())
      throw std::invalid_argument("--listen is not a port of 127.0.0.0/8");
    boost::asio::io_context io(1);
    docklift::standins::MembersServer server(io, seed, *at);
    boost::asio::basic_signal_set<snowknot::Executor> signals(io.get_executor(), SIGTERM, SIGINT);
    signals.async_wait([&](const snowknot::error_code&, int) { io.stop(); });
    std::cout << "listening on " << server.at() << std::endl;
    io.run();
    return 0;
  } catch (const std::exception& x) {
    std::cerr << "graphql: " << x.what() << '\n';
    return 1;
  }
}
