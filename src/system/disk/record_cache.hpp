// A small key-value cache in LevelDB for data that speeds up a restart; nothing depends on it for
// correctness. A background thread writes it with syncs, and only the latest value of each name. A failed
// write is not retried until the name is put again.
#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "system/base/result.hpp"

namespace leveldb {
class DB;
}

namespace docklift {

// Named values that survive a restart where possible.
class RecordCache {
 public:
  // A corrupt database is replaced by an empty one.
  static Result<std::unique_ptr<RecordCache>> open(const std::string& folder);
  ~RecordCache();  // drops pending writes
  // The value as last written; none if there is none or it can't be read.
  std::optional<std::string> get(const std::string& name) const;
  // Queues a write. It replaces a pending write of the same name.
  void put(const std::string& name, std::string text);

 private:
  explicit RecordCache(std::unique_ptr<leveldb::DB> db);
  void run();
  std::unique_ptr<leveldb::DB> db_;
  std::mutex mutex_;
  std::condition_variable wake_up_;
  std::map<std::string, std::string> pending_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace docklift
