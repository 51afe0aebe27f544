// The journal of a node on a real disk: a thin layer. Changes come in on the event loop, a thread of its own carries commits out, and what is on the disk
// is told on the loop again. The loop never waits for the disk but at a planned end.
#pragma once

#include <condition_variable>
#include <deque>
#include <filesystem>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "journal/journal.hpp"
#include "net/net.hpp"
#include "recovery/memory.hpp"

namespace docklift::recovery {

struct JournalWriterOptions {
  std::filesystem::path folder{};
  std::string node{};  // whose records they are
  journal::Limits journal{};
};

class JournalWriter {
 public:
  struct Owner {
    std::function<void(const journal::Recovered&)> found{};  // once; what follows is put() by then
    std::function<void(std::uint64_t number)> durable{};     // of put(): all until then
    std::function<void()> fails{};                           // nothing new is durable; told each time that it begins
  };

  // `timers` has to outlive it.
  JournalWriter(snowknot::asio::io_context& io, snowknot::Timers& timers, JournalWriterOptions options, Owner owner);
  ~JournalWriter();  // as close()
  JournalWriter(const JournalWriter&) = delete;
  JournalWriter& operator=(const JournalWriter&) = delete;

  // Reads the disk, once no other process has it: a predecessor that hands over, say.
  void open();
  bool opened() const { return opened_; }
  void put(std::uint64_t number, const std::vector<Change>& changes);
  // What was put is written, waited for, and the folder is free for another process. Nothing is told any more.
  void close();
  journal::Journal::Figures figures() const { return journal_.figures(); }

 private:
  journal::Instant now() const { return timers_.now().time_since_epoch(); }
  void lock_again();
  void fail();
  void commit(std::optional<journal::Commit> c);
  void done(std::uint64_t id, bool ok);
  void tell();
  void arm();
  void work();

  snowknot::asio::io_context& io_;
  snowknot::Timers& timers_;
  JournalWriterOptions options_;
  Owner owner_;
  journal::Journal journal_;
  int lock_ = -1;
  bool opened_ = false, closed_ = false, broken_ = false;
  std::deque<std::pair<std::uint64_t, std::uint64_t>> waiting_{};  // the journal's number, and that of put()
  snowknot::Timers::Handle timer_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  // Shared with the thread
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<journal::Commit> commits_{};
  bool stop_ = false;
  std::thread thread_;
};

}  // namespace docklift::recovery
