// Case: a few clients that read slowly stop a proxy for all its clients.
#include "unread_answers.hpp"

using namespace review;

namespace {

constexpr int kReaders = 10, kPacksEach = 15;
constexpr long kReaderDeadlineMs = 12000, kTimeoutMs = 3000;  // as of ladder-read and archive-read of the small site
constexpr long kGoesOnAfterMs = 9000;

struct Sample {
  std::string id;
  long sent_ms = 0, answered_ms = -1;  // since its sending; -1: never within 10 s
  int status = 0;
};

std::size_t read_bytes(Connection& from, std::size_t wanted, long limit_ms) {
  const auto began_at = Clock::now();
  std::size_t got = 0;
  while (got < wanted) {
    from.input.clear();
    if (!from.read_some(limit_ms - ms_since(began_at))) break;
    got += from.input.size();
  }
  return got;
}

// Sends GET requests on one connection and reads slowly: with trouble nothing for 1.5 s, then a part of the answers,
// then nothing for some seconds. Meanwhile, and without trouble once it has read all, it sends an idempotent PUT that
// waits for the go-ahead.
void read_slowly(int number, PackFleet& packs, Record& record) {
  Connection to;
  const auto name = "reader" + std::to_string(number);
  if (!to.connect(packs.fleet.ip(4), packs.fleet.http_port(), 1000)) return;
  for (int i = 0; i < kPacksEach; ++i) {
    const auto id = name + "-" + std::to_string(i);
    if (!to.send(request_head("GET", "/packs/" + id, id, kReaderDeadlineMs) + "\r\n", 1000)) return;
    if (i == 0) pause_ms(300);
  }
  const auto sent_at = Clock::now();
  record.line(name + ": has sent " + std::to_string(kPacksEach) + " GET requests on one connection");
  std::size_t got = 0;
  int whole = 0;
  if (trouble()) {
    pause_ms(1500);
    got = read_bytes(to, 1000000 + 100000 * static_cast<std::size_t>(number % 5), 500);
    pause_ms(500);
  } else {
    Message answer;
    while (whole < kPacksEach && read_message(to, answer, kReaderDeadlineMs - ms_since(sent_at))) {
      ++whole;
      got += answer.body.size();
    }
    if (ms_since(sent_at) < 2000) pause_ms(2000 - ms_since(sent_at));
  }
  (void)to.send(request_head("PUT", "/notes/" + name, name + "-note", kReaderDeadlineMs,
                             "Expect: 100-continue\r\nContent-Length: 3\r\n") + "\r\n", 1000);
  record.line(name + ": sent the head of a PUT, has read " + std::to_string(got) + " bytes, after " +
              std::to_string(ms_since(sent_at)) + " ms");
  if (trouble()) {
    pause_ms(kGoesOnAfterMs - ms_since(sent_at));
    got += read_bytes(to, 20000000, 1000);
    record.line(name + ": has read " + std::to_string(got) + " bytes in all");
  } else {
    Message answer;
    const bool came = to.send("abc", 1000) && read_message(to, answer, 2000);
    record.line(name + ": " + std::to_string(whole) + " whole answers; answer to the PUT: " +
                (came ? answer.start : std::string("none")));
  }
}

}  // namespace

int main(int argc, char** argv) {
  return run_case(argc, argv, [](Record& record) {
    PackFleet packs(record);
    pause_ms(5000);  // contact_ms since the start
    std::vector<Sample> samples(140);
    std::vector<std::thread> clients, readers;
    const auto from = Clock::now();
    for (int i = 0; i < kReaders; ++i) readers.emplace_back([&, i] {
        pause_ms(400L * i);
        read_slowly(i, packs, record);
      });
    // Ten requests a second, each on a connection of its own. For the rule each is watched beyond its deadline.
    for (std::size_t i = 0; i < samples.size(); ++i) {
      samples[i].id = "game" + std::to_string(i);
      samples[i].sent_ms = ms_since(from);
      clients.emplace_back([&, i] {
        auto& sample = samples[i];
        const auto at = Clock::now();
        const auto answer = call(packs.fleet.ip(4), packs.fleet.http_port(),
                                 request_head("GET", "/games/" + sample.id, sample.id, kTimeoutMs), "", 10000);
        sample.status = answer.status;
        if (answer.status != 0) sample.answered_ms = ms_since(at);
      });
      pause_ms(100);
    }
    for (auto& client : clients) client.join();
    for (auto& reader : readers) reader.join();
    int unanswered = 0, unanswered_later = 0;
    for (const auto& sample : samples) {
      record.line("client: " + sample.id + " sent at " + std::to_string(sample.sent_ms) + " ms: " +
                  (sample.answered_ms < 0 ? std::string("no answer")
                                          : std::to_string(sample.status) + " after " +
                                                std::to_string(sample.answered_ms) + " ms"));
      const bool at_timeout = sample.answered_ms < 0 || sample.answered_ms > kTimeoutMs;
      const bool half_a_second_later = sample.answered_ms < 0 || sample.answered_ms > kTimeoutMs + 500;
      unanswered += at_timeout ? 1 : 0;
      unanswered_later += at_timeout && half_a_second_later ? 1 : 0;
    }
    record.line("requests still unanswered at their route's tmo_ms: " + std::to_string(unanswered) +
                "; of these without an answer half a second later: " + std::to_string(unanswered_later));
    return unanswered >= 10 && unanswered_later * 2 > unanswered;
  });
}
