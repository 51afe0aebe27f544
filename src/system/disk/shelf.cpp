#include "system/disk/shelf.hpp"

#include <leveldb/db.h>

namespace docklift {

Result<std::unique_ptr<Shelf>> Shelf::open(const std::string& folder) {
  leveldb::Options options;
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
  if (!status.ok()) return Failure{"open the shelf", folder, status.ToString()};
  return std::unique_ptr<Shelf>(new Shelf(std::unique_ptr<leveldb::DB>(db)));
}

Shelf::Shelf(std::unique_ptr<leveldb::DB> db) : db_(std::move(db)), thread_([this] { run(); }) {}

Shelf::~Shelf() {
  {
    const std::lock_guard held(lock_);
    ends_ = true;
  }
  news_.notify_one();
  thread_.join();
}

std::optional<std::string> Shelf::get(const std::string& name) const {
  std::string text;
  if (!db_->Get({}, name, &text).ok()) return std::nullopt;
  return text;
}

void Shelf::put(const std::string& name, std::string text) {
  {
    const std::lock_guard held(lock_);
    waiting_[name] = std::move(text);
  }
  news_.notify_one();
}

void Shelf::run() {
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
