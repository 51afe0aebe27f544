// A store's memory on its disk, in LevelDB: `identity` (of the disk), `state` (a snapshot), `promised`, `accepted/PLACE`, `log/PLACE`.
// Writes that belong together are one batch. Calls wait for the disk; DiskThread keeps them off the loop.
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

namespace leveldb {
class DB;
}

namespace docklift {

class Disk {
 public:
  // Opens, mends after a torn end, or sets aside (`*.damaged`) what can't be read and begins anew: its store
  // then counts as one whose disk was lost.
  static Result<std::unique_ptr<Disk>> open(const std::string& folder);
  ~Disk();
  // Sets aside (`*.damaged`) what can't be read, and opens an empty one.
  static Result<std::unique_ptr<Disk>> begin_anew(const std::string& folder);
  Result<agreement::Kept> read() const;
  Result<std::monostate> write(const agreement::Write& w);

 private:
  explicit Disk(std::string folder, std::unique_ptr<leveldb::DB> db);
  std::string folder_;
  std::unique_ptr<leveldb::DB> db_;
};

// Writes in order on a thread of its own. A write that fails is tried again until it succeeds: `done` is
// called on that thread.
class DiskThread {
 public:
  explicit DiskThread(std::unique_ptr<Disk> disk);
  ~DiskThread();  // what is queued is dropped, what is being written ends
  void write(agreement::Write w, std::function<void()> done);
  std::size_t waiting() const;

 private:
  void run();
  std::unique_ptr<Disk> disk_;
  mutable std::mutex lock_;
  std::condition_variable news_;
  std::deque<std::pair<agreement::Write, std::function<void()>>> queue_;
  bool ends_ = false;
  std::thread thread_;
};

}  // namespace docklift
