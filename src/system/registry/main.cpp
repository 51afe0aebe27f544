#include "system/program/program.hpp"
#include "system/registry/handlers.hpp"

namespace docklift {
namespace {

int run(int argc, char** argv) {
  return run_program(
      {"docklift-registry",
       "Tracks servers and nodes, and serves the HTTP API of servers, clients and the operator."},
      argc, argv, [](boost::asio::io_context& io, const SystemSettings& settings) {
        const Log log("registry");
        std::unique_ptr<RecordCache> record_cache;
        if (!settings.data_dir.empty()) {
          auto opened = RecordCache::open(settings.data_dir + "/records");
          if (failed(opened)) {
            log.warn(failure(opened).to_string());
          } else {
            record_cache = std::move(value(opened));
          }
        }
        Registry registry(io, settings, std::move(record_cache));
        registry.start();
        const auto serve = [&](const char* name, std::vector<std::shared_ptr<Handler>> handlers) {
          const auto address = settings.listen.find(name);
          if (address == settings.listen.end()) return std::unique_ptr<http::Server>();
          auto endpoint = parse_endpoint(address->second);
          if (failed(endpoint)) throw std::runtime_error(failure(endpoint).to_string());
          return std::make_unique<http::Server>(io, value(endpoint), http::ServerLimits{},
                                                dispatch(std::move(handlers)));
        };
        const auto ctl = serve(
            "ctl", {std::make_shared<ShutdownHandler>(registry), std::make_shared<InstanceHandler>(registry),
                    std::make_shared<ConfigurationHandler>(registry),
                    std::make_shared<EvacuationHandler>(registry)});
        const auto dir = serve("dir", {std::make_shared<ResolveHandler>(registry)});
        if (!ctl && !dir) return log.error("read settings: neither listen.ctl nor listen.dir is set"), 2;
        const Signals signals(
            io, [&] { registry.stop([&] { io.stop(); }); }, [](const SystemSettings&) {});
        io.run();
        return 0;
      });
}

}  // namespace
}  // namespace docklift

int main(int argc, char** argv) { return docklift::run(argc, argv); }
