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
    const std::lock_guard held(lock_);
    ends_ = true;
  }
  news_.notify_one();
  thread_.join();
}

std::optional<std::string> RecordCache::get(const std::string& name) const {
  std::string text;
  if (!db_->Get({}, name, &text).ok()) return std::nullopt;
  return text;
}

void RecordCache::put(const std::string& name, std::string text) {
  {
    const std::lock_guard held(lock_);
    waiting_[name] = std::move(text);
  }
  news_.notify_one();
}

void RecordCache::run() {
  std::unique_lock held(lock_);
  while (true) {
    news_.wait(held, [this] { return ends_ || !waiting_.empty(); });
    if (ends_) return;
    const auto now = std::exchange(waiting_, {});
    held.unlock();
    leveldb::WriteOptions durable;
    durable.sync = true;
    for (const auto& [name, text] : now) db_->Put(durable, name, text);
    held.lock();
  }
}

}  // namespace docklift
