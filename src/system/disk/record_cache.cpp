#include "system/disk/record_cache.hpp"

#include <leveldb/db.h>

#include "system/disk/durable_env.hpp"

namespace docklift {

Result<std::unique_ptr<RecordCache>> RecordCache::open(const std::string& folder) {
  leveldb::Options options;
  options.env = &durable_env();
  options.create_if_missing = true;
  options.write_buffer_size = 512u << 10;
  options.max_open_files = 32;
  options.compression = leveldb::kNoCompression;
  leveldb::DB* db = nullptr;
  auto status = leveldb::DB::Open(options, folder, &db);
  if (status.IsCorruption()) {
    leveldb::DestroyDB(folder, options);
    status = leveldb::DB::Open(options, folder, &db);
  }
  if (!status.ok()) return Failure{"open the record cache", folder, status.ToString()};
  return std::unique_ptr<RecordCache>(new RecordCache(std::unique_ptr<leveldb::DB>(db)));
}

RecordCache::RecordCache(std::unique_ptr<leveldb::DB> db) : db_(std::move(db)), thread_([this] { run(); }) {}

RecordCache::~RecordCache() {
  {
    const std::lock_guard guard(mutex_);
    stopping_ = true;
  }
  wake_up_.notify_one();
  thread_.join();
}

std::optional<std::string> RecordCache::get(const std::string& name) const {
  std::string text;
  if (!db_->Get({}, name, &text).ok()) return std::nullopt;
  return text;
}

void RecordCache::put(const std::string& name, std::string text) {
  {
    const std::lock_guard guard(mutex_);
    pending_[name] = std::move(text);
  }
  wake_up_.notify_one();
}

void RecordCache::run() {
  std::unique_lock lock(mutex_);
  while (true) {
    wake_up_.wait(lock, [this] { return stopping_ || !pending_.empty(); });
    if (stopping_) return;
    const auto writes = std::exchange(pending_, {});
    lock.unlock();
    leveldb::WriteOptions durable;
    durable.sync = true;
    for (const auto& [name, text] : writes) db_->Put(durable, name, text);
    lock.lock();
  }
}

}  // namespace docklift
