// Case: the key of the last account is taken away, and requests with it go on to run, as do those with any other key.
#include "orders.hpp"

using namespace review;

namespace {

std::string account(const std::string& name, const std::string& key) {
  return "{\"name\":\"" + name + "\",\"apikeys\":[\"" + key + "\"],\"prio\":1,\"per_s\":0,\"burst\":0,\"pin_regions\":[]}";
}
// A route that isn't public, and these accounts.
std::string with_accounts(const std::string& gen, const std::string& parent, const std::string& accounts) {
  auto text = whole(gen, parent, listener("h.example", {route("r-1", "/a/")}));
  const auto replace = [&](const std::string& from, const std::string& to) { text.replace(text.find(from), from.size(), to); };
  replace("\"public\":true", "\"public\":false");
  replace("\"accts\":[]", "\"accts\":[" + accounts + "]");
  return text;
}

}  // namespace

int main(int argc, char** argv) {
  return run_case(argc, argv, [](Record& record) {
    Fleet fleet(record, kawa_docklift());
    fleet.start_all({4, 5});
    const std::vector<int> core{1, 2, 3};
    if (fleet.order_until_clear(core, "/Config.Replace",
                                with_accounts("00000001", "00000000", account("t1", "k1") + "," + account("t2", "k2")),
                                15000) != 200)
      throw CouldNotRun{"the first configuration wasn't taken"};
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < 2; ++i)
      servers.push_back(std::make_unique<Server>(fleet, record, 21 + i,
                                                 Server::Options{"i-" + std::to_string(i), "archivum", "nbo-t1a", 6, 20},
                                                 [](const Message& request) { return "a " + request.field("Attempt-Id"); }));
    int number = 0;
    const auto ask = [&](int proxy, const std::string& key) {
      const auto id = key + "-" + std::to_string(++number);
      const auto status = call(fleet.ip(proxy), fleet.http_port(),
                               "GET /a/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id +
                                   "\r\nDeadline: 1200\r\nKey: " + key + "\r\n",
                               "", 1300)
                              .status;
      record.line("client: " + id + " at m" + std::to_string(proxy) + ": " + std::to_string(status));
      return status;
    };
    const auto from = Clock::now();
    for (const int proxy : {4, 5})
      while (ask(proxy, "k1") != 200 || ask(proxy, "k2") != 200) {
        if (ms_since(from) > 20000) throw CouldNotRun{"the proxies don't serve"};
        pause_ms(200);
      }
    pause_ms(1000);
    // The key of one account is taken away.
    if (fleet.order_until_clear(core, "/Config.Replace", with_accounts("00000002", "00000001", account("t1", "k1")), 8000) !=
        200)
      throw CouldNotRun{"the second configuration wasn't taken"};
    std::vector<std::string> revoked{"k2"};
    if (trouble()) {  // and then that of the other one
      pause_ms(1500);
      if (fleet.order_until_clear(core, "/Config.Replace", with_accounts("00000003", "00000002", ""), 8000) != 200)
        throw CouldNotRun{"the third configuration wasn't taken"};
      revoked.push_back("k1");
    }
    record.line("the last acknowledgement has come; revoke_ms is 5000");
    pause_ms(6000);
    revoked.push_back("never");  // a key that no configuration has held
    for (int round = 0; round < 5; ++round)
      for (const int proxy : {4, 5})
        for (const auto& key : revoked) ask(proxy, key);
    pause_ms(200);
    // Which of them ran, by what the servers saw.
    const int first_late = number - 5 * 2 * static_cast<int>(revoked.size());
    int ran = 0;
    for (const auto& server : servers)
      for (const auto& id : server->ran())
        if (std::atoi(id.substr(id.rfind('-') + 1).c_str()) > first_late) ++ran;
    record.line("requests with keys that no configuration in force holds, sent 6 s after the acknowledgement: " +
                std::to_string(number - first_late) + ", of these ran: " + std::to_string(ran));
    return ran > 0;
  });
}
