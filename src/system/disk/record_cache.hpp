// A small key-value store in LevelDB for the registry's records. A background thread writes it with syncs. After
// a failed write the database is opened again with the next one.
#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "system/base/result.hpp"

namespace leveldb {
class DB;
}

namespace docklift {

// Named values that survive a restart.
class RecordCache {
 public:
  using Values = std::map<std::string, std::optional<std::string>>;  // by name; none: removed
  using OnWritten = std::function<void(bool durable)>;

  // A corrupt database is replaced by an empty one.
  static Result<std::unique_ptr<RecordCache>> open(const std::string& folder);
  ~RecordCache();  // drops pending writes, without a call of their OnWritten

  // Reads are to be made before the first write, which may open the database again.
  // The value as last written; none if there is none or it can't be read.
  std::optional<std::string> get(const std::string& name) const;
  // All values whose names begin with `prefix`, in order of their names.
  std::vector<std::string> get_all(const std::string& prefix) const;

  // Queues a write of all values at once; of each name only the latest value is written. `on_written` (may be
  // null) is called on the background thread once they are durable, or could not be written. A failed write is
  // not retried.
  void write(Values values, OnWritten on_written);
  void put(const std::string& name, std::string text) { write({{name, std::move(text)}}, nullptr); }

 private:
  RecordCache(std::string folder, std::unique_ptr<leveldb::DB> db);
  void run();
  bool write_durably(const Values& values);

  std::string folder_;
  std::unique_ptr<leveldb::DB> db_;  // null after a failed write
  std::mutex mutex_;
  std::condition_variable wake_up_;
  Values pending_;
  std::vector<OnWritten> waiting_;  // for the pending values
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace docklift
