// A store's memory on its disk, in LevelDB: `identity` (of the disk), `state` (a snapshot), `promised`, `accepted/PLACE`,
// `log/PLACE`, `write/NUMBER` (of the last writes, empty). Writes that belong together are one batch. Calls wait for
// the disk; DiskThread keeps them off the loop.
//
// Each batch is synced before the next one begins. So a loss of power can take the last one alone, of which nothing
// was said yet; where any other is missing the disk is damaged, and read() says so: what it lacks may be a promise.
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

class Disk {
 public:
  // Opens, mends after a torn end, or sets aside (`*.damaged`) what can't be read and begins anew: its store
  // then counts as one whose disk was lost. `env` is not owned and outlives the disk.
  static Result<std::unique_ptr<Disk>> open(const std::string& folder, leveldb::Env& env = durable_env());
  ~Disk();
  // Sets aside (`*.damaged`) what can't be read, and opens an empty one. Of the machine's files only.
  static Result<std::unique_ptr<Disk>> recreate(const std::string& folder);
  // A failure: the disk refused to be read, or it is_damaged().
  Result<agreement::DurableState> read();
  // The last read() found a record that can't be understood, or writes missing among others. A disk that only refuses
  // is not damaged: it may be read later.
  bool is_damaged() const { return damaged_; }
  Result<std::monostate> write(const agreement::Write& w);
  std::uint64_t last_write() const { return last_write_; }  // its number; 0: none
  const std::string& folder() const { return folder_; }
  leveldb::Env& env() const { return env_; }

 private:
  using Database = std::unique_ptr<leveldb::DB>;

  Disk(std::string folder, leveldb::Env& env);
  leveldb::Status open_database();
  leveldb::Status open_database(bool strict);
  Result<std::monostate> find_last_write();
  Result<std::monostate> check_writes();
  Failure unreadable(const leveldb::Status& status);
  Failure damage(const std::string& what);
  std::string folder_;
  leveldb::Env& env_;
  std::unique_ptr<FailStopEnv> files_;  // of this opening, over `env_`
  Database db_;
  std::uint64_t last_write_ = 0;
  bool damaged_ = false;
};

// Writes in order on a thread of its own. A write that fails is tried again until it succeeds: `done` is
// called on that thread. LevelDB takes no write after one has failed, so that the disk is opened anew; where it then
// lacks what had been written it is set aside, nothing more is written, and `lost` is called on that thread.
class DiskThread {
 public:
  using Lost = std::function<void(const Failure& why)>;
  DiskThread(std::unique_ptr<Disk> disk, Lost lost);
  ~DiskThread();  // what is queued is dropped, what is being written ends
  void write(agreement::Write w, std::function<void()> done);
  std::size_t queued_writes() const;

 private:
  void run();
  bool write_until_done(const agreement::Write& w);
  bool open_again();
  bool set_aside(const Failure& why);
  bool ends() const;
  std::unique_ptr<Disk> disk_;
  Lost lost_;
  mutable std::mutex lock_;
  std::condition_variable news_;
  std::deque<std::pair<agreement::Write, std::function<void()>>> queue_;
  bool ends_ = false;
  std::thread thread_;
};

}  // namespace docklift
