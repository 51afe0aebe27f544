// Case: a change drops an entry of the configuration that it doesn't name.
#include "orders.hpp"

using namespace review;

int main(int argc, char** argv) {
  return run_case(argc, argv, [](Record& record) {
    Fleet fleet(record, tabla_main());
    fleet.start_all({4});
    const std::vector<int> core{1, 2, 3};
    // Two hosts are served; a third one has its entry already and gets its routes later.
    const auto hosts = listener("h.example", {route("r-1", "/a/"), route("r-2", "/b/")}) + "," +
                       listener("later.example", {}) + "," + listener("k.example", {route("r-9", "/a/")});
    if (fleet.order_until_clear(core, "/Config.Replace", whole("00000007", "00000000", hosts), 15000) != 200)
      throw CouldNotRun{"the first configuration wasn't taken"};
    std::string newest = "00000007";
    if (trouble()) {
      // Removes one of two routes of another host.
      if (fleet.order_until_clear(core, "/Config.Patch", patch("00000009", newest, "", "\"routing\":[\"r-2\"]"), 8000) != 200)
        throw CouldNotRun{"the change wasn't taken"};
      newest = "00000009";
    }
    pause_ms(1000);
    Message read;
    const auto from = Clock::now();
    for (int i = 0; gen_of(read) != newest && ms_since(from) < 10000; ++i) {
      read = fleet.order(1 + i % 3, "GET", "/Config.Read", "");
      pause_ms(100);
    }
    record.line("operator: reads " + read.body);
    if (gen_of(read) != newest) return true;
    const auto holds = [&](const std::string& text) { return read.body.find(text) != std::string::npos; };
    record.line(std::string("entry of later.example, which no change named: ") +
                (holds("\"later.example\"") ? "there" : "GONE"));
    return !holds("\"later.example\"") || !holds("\"r-1\"") || !holds("\"r-9\"");
  });
}
