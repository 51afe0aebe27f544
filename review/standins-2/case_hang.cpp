// Case: a few clients that read slowly stop a proxy for all its clients.
#include "unread_answers.hpp"

using namespace review;

namespace {

constexpr int kReaders = 6, kPacksEach = 11, kNotesEach = 12;
constexpr std::size_t kStepBytes = 65536;
constexpr int kStepsBefore = 7;  // without a PUT
constexpr long kReaderDeadlineMs = 12000, kTimeoutMs = 3000;  // as of ladder-read and archive-read of the small site
constexpr long kGoesOnAfterMs = 9000;

struct Sample {
  std::string id;
  long sent_ms = 0, answered_ms = -1;  // since its sending; -1: never within 10 s
  int status = 0;
};

// Reads no more than `wanted` bytes.
std::size_t read_bytes(Connection& from, std::size_t wanted, long limit_ms) {
  const auto began_at = Clock::now();
  std::vector<char> buffer(65536);
  std::size_t got = 0;
  while (got < wanted && from.ready(POLLIN, limit_ms - ms_since(began_at))) {
    const auto n = ::recv(from.fd(), buffer.data(), std::min(buffer.size(), wanted - got), 0);
    if (n <= 0) break;
    got += static_cast<std::size_t>(n);
  }
  return got;
}

// Sends GET requests on one connection and reads slowly: with trouble nothing for 1.5 s, then 1.2 MB of the answers in steps,
// then nothing for some seconds. After each of the later steps, and without trouble once it has read all, it sends an idempotent PUT
// that waits for the go-ahead, 30 ms at most.
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
  const auto send_note_head = [&](int note) {
    (void)to.send(request_head("PUT", "/notes/" + name, name + "-note" + std::to_string(note), kReaderDeadlineMs,
                               "Expect: 100-continue\r\nContent-Length: 3\r\n") + "\r\n", 1000);
  };
  if (trouble()) {
    pause_ms(1500);
    std::size_t got = 0;
    for (int step = 0; step < kStepsBefore + kNotesEach; ++step) {
      got += read_bytes(to, kStepBytes, 500);
      pause_ms(10);
      if (step < kStepsBefore) continue;
      send_note_head(step - kStepsBefore);
      record.line(name + ": has read " + std::to_string(got) + " bytes and sent the head of a PUT");
      pause_ms(30);
      (void)to.send("abc", 1000);
    }
    pause_ms(kGoesOnAfterMs - ms_since(sent_at));
    got += read_bytes(to, 20000000, 1000);
    record.line(name + ": has read " + std::to_string(got) + " bytes in all");
    return;
  }
  Message answer;
  int whole = 0, noted = 0;
  while (whole < kPacksEach && read_message(to, answer, kReaderDeadlineMs - ms_since(sent_at))) ++whole;
  for (int note = 0; note < kNotesEach; ++note) {
    send_note_head(note);
    pause_ms(30);
    if (to.send("abc", 1000) && read_message(to, answer, 2000)) ++noted;
  }
  record.line(name + ": " + std::to_string(whole) + " answers to GET, " + std::to_string(noted) + " to PUT");
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
        pause_ms(500L * i);
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
