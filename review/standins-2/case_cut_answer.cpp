// Case: a proxy that ends in order cuts answers of clients that read late and send a further request meanwhile.
#include "unread_answers.hpp"

using namespace review;

namespace {

constexpr int kClients = 20;
constexpr long kSecondAfterMs = 1200, kReadsAfterMs = 1500;

// What came of the first request of a client.
struct Outcome {
  bool whole = false;
  std::string what;
};

Outcome ask_and_read_late(int number, PackFleet& packs, Record& record) {
  const auto first = "c" + std::to_string(number) + "-first", second = "c" + std::to_string(number) + "-second";
  Connection to;
  if (!to.connect(packs.fleet.ip(4), packs.fleet.http_port(), 1000, 32768)) return {false, "can't connect"};
  const auto sent_at = Clock::now();
  if (!to.send(request_head("GET", "/packs/" + first, first, kDeadlineMs) + "\r\n", 1000)) return {false, "can't send"};
  pause_ms(kSecondAfterMs);
  (void)to.send(request_head("GET", "/packs/" + second, second, kDeadlineMs) + "\r\n", 1000);
  pause_ms(kReadsAfterMs - ms_since(sent_at));
  Message answer;
  Outcome outcome;
  if (read_message(to, answer, kDeadlineMs - ms_since(sent_at))) {
    outcome.whole = answer.status != 200 || answer.body == pack_of(first);
    outcome.what = answer.start + ", " + std::to_string(answer.body.size()) + " bytes";
  } else {
    outcome.what = answer.start + ", the connection ended after " + std::to_string(to.input.size()) + " bytes of " +
                   answer.field("Content-Length");
  }
  record.line("client: " + first + ": " + outcome.what);
  return outcome;
}

}  // namespace

int main(int argc, char** argv) {
  return run_case(argc, argv, [](Record& record) {
    PackFleet packs(record, 300);
    pause_ms(5000);  // contact_ms since the start
    std::vector<Outcome> outcomes(kClients);
    std::vector<std::thread> clients;
    for (int i = 0; i < kClients; ++i)
      clients.emplace_back([&, i] { outcomes[static_cast<std::size_t>(i)] = ask_and_read_late(i, packs, record); });
    pause_ms(150);
    if (trouble()) packs.fleet.signal(4, "proxy", SIGTERM);
    for (auto& client : clients) client.join();
    int ran = 0, lost = 0;
    for (int i = 0; i < kClients; ++i) {
      const auto first = "c" + std::to_string(i) + "-first";
      bool has_run = false;
      for (const auto& server : packs.servers)
        for (const auto& id : server->ran()) has_run = has_run || id == first;
      ran += has_run ? 1 : 0;
      lost += has_run && !outcomes[static_cast<std::size_t>(i)].whole ? 1 : 0;
    }
    if (ran == 0) throw CouldNotRun{"no request reached a server"};
    record.line("first requests that servers ran: " + std::to_string(ran) + "; of these without a complete answer: " +
                std::to_string(lost));
    return lost > 0;
  });
}
