// Runs a node's journal on a real disk. Changes are submitted on the event loop, a separate thread carries out the commits, and the owner is notified
// on the loop of what has become durable. The loop waits for the disk only at a planned shutdown.
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
  std::string node{};  // the node whose journal this is
  journal::Limits journal{};
};

// Owns the lock on the journal's folder and the thread that writes to it.
class JournalWriter {
 public:
  struct Owner {
    std::function<void(const journal::Recovered&)> found{};  // called once, when put() may be called
    std::function<void(std::uint64_t number)> durable{};     // all changes up to this put()
    std::function<void()> fails{};                           // writes fail from now on; called at each transition into this state
  };

  // `timers` must outlive the writer.
  JournalWriter(snowknot::asio::io_context& io, snowknot::Timers& timers, JournalWriterOptions options,
                Owner owner);
  ~JournalWriter();  // as close()
  JournalWriter(const JournalWriter&) = delete;
  JournalWriter& operator=(const JournalWriter&) = delete;

  // Reads the disk once no other process holds the lock, such as a predecessor that is handing over.
  void open();
  bool opened() const { return opened_; }
  void put(std::uint64_t number, const std::vector<Change>& changes);
  // Writes all pending changes, waits for them and releases the folder to other processes. The owner is not called any more.
  void close();
  journal::Journal::Figures figures() const { return journal_.figures(); }

 private:
  journal::Instant now() const { return timers_.now().time_since_epoch(); }
  void acquire_lock();
  void fail();
  void commit(std::optional<journal::Commit> c);
  void done(std::uint64_t id, bool ok);
  void notify_durable();
  void arm_timer();
  void run_commits();

  snowknot::asio::io_context& io_;
  snowknot::Timers& timers_;
  JournalWriterOptions options_;
  Owner owner_;
  journal::Journal journal_;
  int lock_ = -1;
  bool opened_ = false, closed_ = false, broken_ = false;
  std::deque<std::pair<std::uint64_t, std::uint64_t>> pending_{};  // journal's number, that of put()
  snowknot::Timers::Handle timer_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  // Shared with the thread.
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<journal::Commit> commits_{};
  bool stop_ = false;
  std::thread thread_;
};

}  // namespace docklift::recovery
