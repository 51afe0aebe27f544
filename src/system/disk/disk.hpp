// The durable state of a store's replica, in LevelDB. Keys: `identity` (of the disk), `state` (a snapshot),
// `promised`, `accepted/SLOT`, `log/SLOT`, `zone/ADDRESS`, `destroyed/ADDRESS` and `write/NUMBER` (the most
// recent writes, with empty values). Related changes are written as one batch. Calls block on I/O; DiskThread
// keeps them off the event loop.
//
// Each batch is synced before the next one starts, so a power loss can lose only the last batch, which has
// not been acknowledged yet. If any other batch is missing the disk is damaged and read() fails, because a
// lost batch may hold a promise that the replica has already given.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "system/agreement/messages.hpp"
#include "system/base/result.hpp"
#include "system/disk/durable_env.hpp"
#include "system/disk/fail_stop_env.hpp"

namespace leveldb {
class DB;
class Status;
}  // namespace leveldb

namespace docklift {

// A replica's database in one folder. Not thread-safe.
class Disk {
 public:
  // Opens the database and repairs a torn tail. A database that stays unreadable is moved to `FOLDER.damaged`
  // and replaced by an empty one; its store then counts as one that lost its disk. `env` is not owned and
  // must outlive the disk.
  static Result<std::unique_ptr<Disk>> open(const std::string& folder, leveldb::Env& env = durable_env());
  ~Disk();
  // Moves the folder to `FOLDER.damaged` and opens an empty database. Always uses durable_env().
  static Result<std::unique_ptr<Disk>> recreate(const std::string& folder);
  // Fails on an I/O error or on damage; is_damaged() distinguishes the two.
  Result<agreement::DurableState> read();
  // Whether the last read() found a corrupt record or a gap. I/O errors are not damage: a later read may
  // succeed.
  bool is_damaged() const { return damaged_; }
  Result<std::monostate> write(const agreement::Write& w);
  std::uint64_t last_write() const { return last_write_; }  // number of the last write; 0 if none
  const std::string& folder() const { return folder_; }
  leveldb::Env& env() const { return env_; }

 private:
  using Database = std::unique_ptr<leveldb::DB>;

  Disk(std::string folder, leveldb::Env& env);
  leveldb::Status open_database();
  leveldb::Status open_database(bool strict);
  Result<std::monostate> find_last_write();
  Result<std::monostate> check_writes();
  Failure read_failure(const leveldb::Status& status);
  Failure damage_failure(const std::string& what);
  std::string folder_;
  leveldb::Env& env_;
  std::unique_ptr<FailStopEnv> fail_stop_env_;  // wraps `env_`; one per opening
  Database db_;
  std::uint64_t last_write_ = 0;
  bool damaged_ = false;
};

// Executes writes in order on its own thread, which also calls `done` after each of them. A failed write is
// retried until it succeeds. LevelDB rejects all writes after a failed one, so the disk is reopened before
// the retry; if earlier writes are missing then, the disk is set aside, nothing more is written, and
// `on_lost` is called on that thread.
class DiskThread {
 public:
  using OnLost = std::function<void(const Failure& why)>;
  DiskThread(std::unique_ptr<Disk> disk, OnLost on_lost);
  ~DiskThread();  // drops queued writes and waits for the write in progress
  void write(agreement::Write w, std::function<void()> done);
  std::size_t queued_writes() const;

 private:
  void run();
  bool write_until_done(const agreement::Write& w);
  bool reopen();
  bool set_aside(const Failure& why);
  bool is_stopping() const;
  std::unique_ptr<Disk> disk_;
  OnLost on_lost_;
  mutable std::mutex mutex_;
  std::condition_variable wake_up_;
  std::deque<std::pair<agreement::Write, std::function<void()>>> queue_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace docklift
