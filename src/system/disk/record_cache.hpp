// A few named texts on a disk, in LevelDB, for what is of use after a restart and no promise to anybody.
// Writes are on a thread of their own: only the last text of a name is written, durably; one that fails is
// tried again with the next.
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

class RecordCache {
 public:
  // What can't be read is begun anew: nobody counts on it.
  static Result<std::unique_ptr<RecordCache>> open(const std::string& folder);
  ~RecordCache();  // what waits is dropped
  std::optional<std::string> get(const std::string& name) const;
  void put(const std::string& name, std::string text);

 private:
  explicit RecordCache(std::unique_ptr<leveldb::DB> db);
  void run();
  std::unique_ptr<leveldb::DB> db_;
  std::mutex lock_;
  std::condition_variable news_;
  std::map<std::string, std::string> waiting_;
  bool ends_ = false;
  std::thread thread_;
};

}  // namespace docklift
