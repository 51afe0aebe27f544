// Entry point of docklift-proxy.
#include "system/program/program.hpp"
#include "system/proxy/proxy.hpp"

namespace docklift {
namespace {

int run(int argc, char** argv) {
  return run_program({"docklift-proxy", "Routes clients' requests to the servers that can answer them."},
                     argc, argv, [](boost::asio::io_context& io, const SystemSettings& settings) {
                       const Log log("proxy");
                       proxy::Proxy proxy(io, settings);
                       if (const auto started = proxy.start(); failed(started))
                         return log.error(failure(started).to_string()), 2;
                       const Signals signals(
                           io, [&] { proxy.drain([&] { io.stop(); }); }, [](const SystemSettings&) {});
                       io.run();
                       return 0;
                     });
}

}  // namespace
}  // namespace docklift

int main(int argc, char** argv) { return docklift::run(argc, argv); }
