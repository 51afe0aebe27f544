#include "system/disk/record_cache.hpp"

#include <leveldb/db.h>
#include <leveldb/write_batch.h>

#include <utility>

#include "system/disk/durable_env.hpp"

namespace docklift {
namespace {

leveldb::Status open_database(const std::string& folder, std::unique_ptr<leveldb::DB>& db) {
  leveldb::Options options;
  options.env = &durable_env();
  options.create_if_missing = true;
  options.write_buffer_size = 512u << 10;
  options.max_open_files = 32;
  options.compression = leveldb::kNoCompression;
  leveldb::DB* opened = nullptr;
  auto status = leveldb::DB::Open(options, folder, &opened);
  if (status.IsCorruption()) {
    leveldb::DestroyDB(folder, options);
    status = leveldb::DB::Open(options, folder, &opened);
  }
  db.reset(opened);
  return status;
}

}  // namespace

Result<std::unique_ptr<RecordCache>> RecordCache::open(const std::string& folder) {
  std::unique_ptr<leveldb::DB> db;
  const auto status = open_database(folder, db);
  if (!status.ok()) return Failure{"open the record cache", folder, status.ToString()};
  return std::unique_ptr<RecordCache>(new RecordCache(folder, std::move(db)));
}

RecordCache::RecordCache(std::string folder, std::unique_ptr<leveldb::DB> db)
    : folder_(std::move(folder)), db_(std::move(db)), thread_([this] { run(); }) {}

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

std::vector<std::string> RecordCache::get_all(const std::string& prefix) const {
  std::vector<std::string> values;
  const std::unique_ptr<leveldb::Iterator> it(db_->NewIterator({}));
  for (it->Seek(prefix); it->Valid() && it->key().starts_with(prefix); it->Next())
    values.push_back(it->value().ToString());
  return values;
}

void RecordCache::write(Values values, OnWritten on_written) {
  {
    const std::lock_guard guard(mutex_);
    values.merge(pending_);  // keeps the new ones
    pending_ = std::move(values);
    if (on_written) waiting_.push_back(std::move(on_written));
  }
  wake_up_.notify_one();
}

void RecordCache::run() {
  std::unique_lock lock(mutex_);
  while (true) {
    wake_up_.wait(lock, [this] { return stopping_ || !pending_.empty() || !waiting_.empty(); });
    if (stopping_) return;
    const auto values = std::exchange(pending_, {});
    const auto waiting = std::exchange(waiting_, {});
    lock.unlock();
    const bool durable = write_durably(values);
    for (const auto& on_written : waiting) on_written(durable);
    lock.lock();
  }
}

// After an error LevelDB refuses all later writes, so the database is opened again.
bool RecordCache::write_durably(const Values& values) {
  if (!db_ && !open_database(folder_, db_).ok()) return false;
  leveldb::WriteBatch batch;
  for (const auto& [name, text] : values) {
    if (text) {
      batch.Put(name, *text);
    } else {
      batch.Delete(name);
    }
  }
  leveldb::WriteOptions options;
  options.sync = true;
  const bool durable = db_->Write(options, &batch).ok();
  if (!durable) db_.reset();
  return durable;
}

}  // namespace docklift
