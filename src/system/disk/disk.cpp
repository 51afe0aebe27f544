#include "system/disk/disk.hpp"

#include <leveldb/db.h>
#include <leveldb/write_batch.h>

#include <chrono>
#include <filesystem>

namespace docklift {
namespace {

using namespace std::chrono_literals;

constexpr std::string_view kZonePrefix = "zone/";
constexpr std::string_view kDestroyedPrefix = "destroyed/";  // the last one of an address

// Big endian, so that keys stand in the order of places.
std::string key_of(const char* kind, std::uint64_t place) {
  std::string key = kind;
  for (int shift = 56; shift >= 0; shift -= 8) key.push_back(static_cast<char>((place >> shift) & 0xff));
  return key;
}
std::uint64_t place_of(const leveldb::Slice& key, std::size_t prefix) {
  std::uint64_t place = 0;
  for (std::size_t i = prefix; i < key.size(); ++i) place = place << 8 | static_cast<unsigned char>(key[i]);
  return place;
}

leveldb::Options options() {
  leveldb::Options o;
  o.create_if_missing = true;
  o.paranoid_checks = true;
  o.write_buffer_size = 1u << 20;
  o.max_open_files = 64;
  o.compression = leveldb::kNoCompression;
  return o;
}

}  // namespace

Disk::Disk(std::string folder, std::unique_ptr<leveldb::DB> db)
    : folder_(std::move(folder)), db_(std::move(db)) {}
Disk::~Disk() = default;

Result<std::unique_ptr<Disk>> Disk::open(const std::string& folder) {
  leveldb::DB* db = nullptr;
  auto status = leveldb::DB::Open(options(), folder, &db);
  if (status.IsCorruption()) {
    status = leveldb::RepairDB(folder, options());
    if (status.ok()) status = leveldb::DB::Open(options(), folder, &db);
    if (status.IsCorruption()) return begin_anew(folder);
  }
  if (!status.ok()) return Failure{"open the disk", folder, status.ToString()};
  return std::unique_ptr<Disk>(new Disk(folder, std::unique_ptr<leveldb::DB>(db)));
}

Result<std::unique_ptr<Disk>> Disk::begin_anew(const std::string& folder) {
  std::error_code failed;
  std::filesystem::remove_all(folder + ".damaged", failed);
  std::filesystem::rename(folder, folder + ".damaged", failed);
  if (failed) return Failure{"set a damaged disk aside", folder, failed.message()};
  leveldb::DB* db = nullptr;
  const auto status = leveldb::DB::Open(options(), folder, &db);
  if (!status.ok()) return Failure{"open the disk", folder, status.ToString()};
  return std::unique_ptr<Disk>(new Disk(folder, std::unique_ptr<leveldb::DB>(db)));
}

Result<agreement::Kept> Disk::read() const {
  agreement::Kept kept;
  const std::unique_ptr<leveldb::Iterator> it(db_->NewIterator({}));
  for (it->SeekToFirst(); it->Valid(); it->Next()) {
    const auto key = it->key();
    const std::string_view value(it->value().data(), it->value().size());
    bool read = true;
    if (key == "identity") {
      kept.disk = place_of(it->value(), 0);
      read = it->value().size() == sizeof kept.disk;
    } else if (key.starts_with(leveldb::Slice(kZonePrefix.data(), kZonePrefix.size()))) {
      kept.zones.push_back({key.ToString().substr(kZonePrefix.size()), it->value().ToString()});
    } else if (key.starts_with(leveldb::Slice(kDestroyedPrefix.data(), kDestroyedPrefix.size()))) {
      kept.destroyed.push_back({key.ToString().substr(kDestroyedPrefix.size()), place_of(it->value(), 0)});
    } else if (key == "state") {
      auto state = agreement::decode_state(value);
      if ((read = state.has_value())) kept.state = std::move(*state), kept.any = true;
    } else if (key == "promised") {
      auto promised = agreement::decode_ballot(value);
      if ((read = promised.has_value())) kept.promised = *promised;
    } else if (key.starts_with("accepted/")) {
      auto a = agreement::decode_accepted(value);
      if ((read = a.has_value())) kept.accepted.emplace_back(place_of(key, 9), std::move(*a));
    } else if (key.starts_with("log/")) {
      auto entry = agreement::decode_entry(value);
      if ((read = entry.has_value())) kept.log.push_back(std::move(*entry));
    }
    if (!read) return Failure{"read the disk", folder_, "a record is damaged: " + key.ToString()};
  }
  if (!it->status().ok()) return Failure{"read the disk", folder_, it->status().ToString()};
  return kept;
}

Result<std::monostate> Disk::write(const agreement::Write& w) {
  leveldb::WriteBatch batch;
  const auto forget = [&](const char* kind, std::size_t prefix, std::uint64_t up_to) {
    if (up_to == 0) return;
    const std::unique_ptr<leveldb::Iterator> it(db_->NewIterator({}));
    for (it->Seek(kind); it->Valid() && it->key().starts_with(kind) && place_of(it->key(), prefix) <= up_to;
         it->Next())
      batch.Delete(it->key());
  };
  forget("accepted/", 9, w.forget_accepted);
  forget("log/", 4, w.forget_log);
  for (const auto& store : w.zones) batch.Put(std::string(kZonePrefix) + store.address, store.zone);
  for (const auto& voter : w.destroyed)
    batch.Put(std::string(kDestroyedPrefix) + voter.address, key_of("", voter.disk));
  if (w.disk) batch.Put("identity", key_of("", *w.disk));
  if (w.state) batch.Put("state", agreement::encode_state(*w.state));
  if (w.promised) batch.Put("promised", agreement::encode_ballot(*w.promised));
  for (const auto& [slot, a] : w.accepted)
    batch.Put(key_of("accepted/", slot), agreement::encode_accepted(a));
  for (const auto& c : w.log) batch.Put(key_of("log/", c.slot), agreement::encode_entry(c));
  leveldb::WriteOptions how;
  how.sync = w.durable;
  const auto status = db_->Write(how, &batch);
  if (!status.ok()) return Failure{"write", folder_, status.ToString()};
  return std::monostate{};
}

DiskThread::DiskThread(std::unique_ptr<Disk> disk) : disk_(std::move(disk)), thread_([this] { run(); }) {}

DiskThread::~DiskThread() {
  {
    const std::lock_guard held(lock_);
    ends_ = true;
  }
  news_.notify_one();
  thread_.join();
}

void DiskThread::write(agreement::Write w, std::function<void()> done) {
  {
    const std::lock_guard held(lock_);
    queue_.emplace_back(std::move(w), std::move(done));
  }
  news_.notify_one();
}

std::size_t DiskThread::waiting() const {
  const std::lock_guard held(lock_);
  return queue_.size();
}

void DiskThread::run() {
  std::unique_lock held(lock_);
  while (true) {
    news_.wait(held, [this] { return ends_ || !queue_.empty(); });
    if (ends_) return;
    auto [w, done] = std::move(queue_.front());
    held.unlock();
    auto written = disk_->write(w);
    while (failed(written)) {
      // LevelDB takes no write after one has failed: it is opened anew.
      std::this_thread::sleep_for(100ms);
      {
        const std::lock_guard looked(lock_);
        if (ends_) return;
      }
      const auto folder = failure(written).peer;
      disk_.reset();
      auto opened = Disk::open(folder);
      while (failed(opened)) {
        std::this_thread::sleep_for(200ms);
        opened = Disk::open(folder);
        const std::lock_guard looked(lock_);
        if (ends_) return;
      }
      disk_ = std::move(value(opened));
      written = disk_->write(w);
    }
    done();
    held.lock();
    queue_.pop_front();
  }
}

}  // namespace docklift
