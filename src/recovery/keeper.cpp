#include "recovery/keeper.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <boost/asio/post.hpp>
#include <csignal>

#include "journal/disk.hpp"

namespace docklift::recovery {

namespace {
constexpr std::chrono::milliseconds kLockRetryInterval{20};
}

JournalWriter::JournalWriter(snowknot::asio::io_context& io, snowknot::Timers& timers,
                             JournalWriterOptions options, Owner owner)
    : io_(io), timers_(timers), options_(std::move(options)), owner_(std::move(owner)), journal_(options_.node, options_.journal) {}

JournalWriter::~JournalWriter() {
  close();
  *alive_ = false;
}

void JournalWriter::open() { acquire_lock(); }

void JournalWriter::fail() {
  if (!std::exchange(broken_, true)) owner_.fails();
}

void JournalWriter::acquire_lock() {
  if (closed_) return;
  std::error_code ignored;
  std::filesystem::create_directories(options_.folder, ignored);
  if (lock_ < 0) lock_ = ::open((options_.folder / "lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (lock_ < 0) {  // read-only or missing: what is there is read, and nothing is written
    const auto found = journal::recover(journal::read_files(options_.folder), options_.node);
    opened_ = true;
    fail();
    owner_.found(found);
    return;
  }
  if (::flock(lock_, LOCK_EX | LOCK_NB) != 0) {
    timer_ = timers_.after(kLockRetryInterval, [this] {
      timer_.reset();
      acquire_lock();
    });
    return;
  }
  const auto found = journal::recover(journal::read_files(options_.folder), options_.node);
  for (const auto& d : found.damage) snowknot::note("state: " + (options_.folder / d.file).string() + " at " + std::to_string(d.offset) + ": " + d.what);
  // Signals are handled by the event loop's thread only.
  sigset_t all, before;
  sigfillset(&all);
  pthread_sigmask(SIG_BLOCK, &all, &before);
  thread_ = std::thread([this] { run_commits(); });
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
  opened_ = true;
  auto first = journal_.begin(now(), found);
  owner_.found(found);
  commit(std::move(first));
  arm_timer();
}

void JournalWriter::put(std::uint64_t number, const std::vector<Change>& changes) {
  if (!opened_ || closed_ || lock_ < 0) return;
  for (const auto& [key, value] : changes) commit(value ? journal_.put(now(), key, *value) : journal_.erase(now(), key));
  if (broken_ && !pending_.empty()) pending_.pop_back();  // the newest entry covers those before it
  pending_.emplace_back(journal_.number(), number);
  notify_durable();
  arm_timer();
}

void JournalWriter::commit(std::optional<journal::Commit> c) {
  if (!c) return;
  const std::lock_guard<std::mutex> held(mutex_);
  commits_.push_back(std::move(*c));
  wake_.notify_one();
}

void JournalWriter::run_commits() {
  std::unique_lock<std::mutex> held(mutex_);
  for (;;) {
    wake_.wait(held, [this] { return stop_ || !commits_.empty(); });
    if (commits_.empty()) return;
    const auto c = std::move(commits_.front());
    commits_.pop_front();
    held.unlock();
    const bool ok = journal::perform(options_.folder, c);
    boost::asio::post(io_, [this, alive = alive_, id = c.id, ok] {
      if (*alive && !closed_) done(id, ok);
    });
    held.lock();
  }
}

void JournalWriter::done(std::uint64_t id, bool ok) {
  commit(journal_.done(now(), id, ok));
  if (!ok && journal_.figures().broken) fail();
  if (ok) broken_ = false;
  notify_durable();
  arm_timer();
}

void JournalWriter::notify_durable() {
  std::uint64_t upto = 0;
  while (!pending_.empty() && pending_.front().first <= journal_.durable()) {
    upto = pending_.front().second;
    pending_.pop_front();
  }
  if (upto != 0) owner_.durable(upto);
}

void JournalWriter::arm_timer() {
  timers_.cancel(timer_);
  const auto due = journal_.due();
  if (!due || closed_) return;
  timer_ = timers_.at(snowknot::Time(std::max(*due, now())), [this] {
    timer_.reset();
    commit(journal_.tick(now()));
    arm_timer();
  });
}

void JournalWriter::close() {
  if (std::exchange(closed_, true)) return;
  timers_.cancel(timer_);
  if (thread_.joinable()) {
    {
      const std::lock_guard<std::mutex> held(mutex_);
      stop_ = true;
      wake_.notify_one();
    }
    thread_.join();  // waits for the commits in progress
    if (auto last = journal_.last()) (void)journal::perform(options_.folder, *last);
  }
  if (lock_ >= 0) ::close(lock_);
  lock_ = -1;
}

}  // namespace docklift::recovery
