// Case: a change whose version is not above the current one is acknowledged, and the configuration is lost with the
// next restart of the core.
#include "orders.hpp"

using namespace review;

int main(int argc, char** argv) {
  return run_case(argc, argv, [](Record& record) {
    Fleet fleet(record, tabla_main());
    fleet.start_all({4});
    const std::vector<int> core{1, 2, 3};
    const auto hosts = listener("h.example", {route("r-1", "/a/"), route("r-2", "/b/")});
    if (fleet.order_until_clear(core, "/Config.Replace", whole("00000007", "00000000", hosts), 15000) != 200)
      throw CouldNotRun{"the first configuration wasn't taken"};
    const auto added = [](const std::string& name, const std::string& prefix) {
      return "\"listeners\":[" + listener("h.example", {route(name, prefix)}) + "]";
    };
    if (fleet.order_until_clear(core, "/Config.Patch", patch("00000009", "00000007", added("r-3", "/c/"), ""), 8000) != 200)
      throw CouldNotRun{"a proper change wasn't taken"};
    bool invalid_acknowledged = false;
    if (trouble()) {
      const int status = fleet.order_until_clear(
          core, "/Config.Patch", patch("0000000b", "00000009", "\"gen\":\"00000003\"", ""), 8000);
      record.line("operator: the invalid change, which sets the version 00000003 over 00000009, got " +
                  std::to_string(status));
      invalid_acknowledged = status == 200;
    }
    // The operator goes on from what it reads.
    std::string current;
    for (int i = 0; current.empty() && i < 20; ++i) current = gen_of(fleet.order(1 + i % 3, "GET", "/Config.Read", ""));
    record.line("operator: reads version " + current);
    if (fleet.order_until_clear(core, "/Config.Patch", patch("0000000d", current, added("r-4", "/d/"), ""), 8000) != 200)
      throw CouldNotRun{"the last change wasn't taken"};
    record.line("operator: version 0000000d is acknowledged");
    pause_ms(1000);
    // All processes of the core are killed at once and are back within a second; their disks are kept.
    for (const int machine : core) fleet.kill(machine, "registry"), fleet.kill(machine, "store");
    pause_ms(300);
    for (const int machine : core) fleet.start(machine, "store", false), fleet.start(machine, "registry", false);
    // Read back for 15 s; contact_ms is 5 s.
    std::string read;
    const auto from = Clock::now();
    for (int i = 0; read.empty() && ms_since(from) < 15000; ++i) {
      read = gen_of(fleet.order(1 + i % 3, "GET", "/Config.Read", ""));
      pause_ms(100);
    }
    record.line("operator: after the restart of the core reads " + (read.empty() ? "nothing in 15 s" : "version " + read));
    return invalid_acknowledged || read != "0000000d";
  });
}
