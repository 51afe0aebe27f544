#include "system/disk/disk.hpp"

#include <leveldb/db.h>
#include <leveldb/env.h>
#include <leveldb/write_batch.h>

#include <chrono>
#include <filesystem>

namespace docklift {
namespace {

using namespace std::chrono_literals;

constexpr auto kWriteRetryDelay = 100ms;
constexpr auto kReopenRetryDelay = 200ms;

const leveldb::Slice kWritePrefix = "write/";
constexpr std::uint64_t kRetainedWriteNumbers = 64;  // a gap among them is detected
constexpr std::string_view kZonePrefix = "zone/";
constexpr std::string_view kDestroyedPrefix = "destroyed/";  // the disk destroyed last at an address

// Numbers in keys are big endian, so that keys sort in numerical order.
std::string make_key(const char* kind, std::uint64_t number) {
  std::string key = kind;
  for (int shift = 56; shift >= 0; shift -= 8) key.push_back(static_cast<char>((number >> shift) & 0xff));
  return key;
}
std::uint64_t decode_number(const leveldb::Slice& key, std::size_t prefix) {
  std::uint64_t number = 0;
  for (std::size_t i = prefix; i < key.size(); ++i) number = number << 8 | static_cast<unsigned char>(key[i]);
  return number;
}

leveldb::Options options(leveldb::Env& env) {
  leveldb::Options o;
  o.env = &env;
  o.create_if_missing = true;
  o.paranoid_checks = true;
  o.write_buffer_size = 1u << 20;
  o.max_open_files = 64;
  o.compression = leveldb::kNoCompression;
  return o;
}

leveldb::ReadOptions checksummed_reads() {
  leveldb::ReadOptions o;
  o.verify_checksums = true;
  return o;
}

}  // namespace

Disk::Disk(std::string folder, leveldb::Env& env)
    : folder_(std::move(folder)), env_(env), fail_stop_env_(std::make_unique<FailStopEnv>(env)) {}
Disk::~Disk() = default;

leveldb::Status Disk::open_database(bool strict) {
  auto open_options = options(*fail_stop_env_);
  open_options.paranoid_checks = strict;
  leveldb::DB* db = nullptr;
  auto status = leveldb::DB::Open(open_options, folder_, &db);
  db_.reset(db);
  // A non-strict opening may succeed in spite of I/O errors.
  if (!fail_stop_env_->has_failed()) return status;
  db_.reset();
  return status.IsIOError() ? status : leveldb::Status::IOError("refused while it was opened");
}

// A write torn by a power loss leaves a bad record at the end of a log, which a non-strict opening skips. A
// torn manifest has to be rebuilt from the remaining files. The write numbers show whether either has lost
// more than the last write. Any I/O error on the way aborts the opening, so that the next attempt still finds
// all files.
leveldb::Status Disk::open_database() {
  constexpr bool kStrict = true;
  auto status = open_database(kStrict);
  if (status.IsCorruption()) status = open_database(!kStrict);
  if (!status.IsCorruption()) return status;
  status = leveldb::RepairDB(folder_, options(*fail_stop_env_));
  if (fail_stop_env_->has_failed()) return leveldb::Status::IOError("refused while it was mended");
  return status.ok() ? open_database(kStrict) : status;
}

Result<std::unique_ptr<Disk>> Disk::open(const std::string& folder, leveldb::Env& env) {
  std::unique_ptr<Disk> disk(new Disk(folder, env));
  const auto status = disk->open_database();
  if (status.IsCorruption()) {
    disk.reset();
    return recreate(folder);
  }
  if (!status.ok()) return Failure{"open the disk", folder, status.ToString()};
  if (auto found = disk->find_last_write(); failed(found)) return failure(found);
  return disk;
}

// The rename is synced before the new database is used; otherwise a power loss could bring the old one back
// under this name.
Result<std::unique_ptr<Disk>> Disk::recreate(const std::string& folder) {
  const auto damaged = folder + ".damaged";
  std::error_code error;
  std::filesystem::remove_all(damaged, error);
  std::filesystem::rename(folder, damaged, error);
  if (error) return Failure{"set a damaged disk aside", folder, error.message()};
  const auto parent = std::filesystem::path(folder).parent_path().string();
  auto status = sync_folder(parent.empty() ? "." : parent);
  if (!status.ok()) return Failure{"set a damaged disk aside", folder, status.ToString()};
  std::unique_ptr<Disk> disk(new Disk(folder, durable_env()));
  status = disk->open_database();
  if (!status.ok()) return Failure{"open the disk", folder, status.ToString()};
  return disk;
}

Failure Disk::read_failure(const leveldb::Status& status) {
  damaged_ = status.IsCorruption();
  return {"read the disk", folder_, status.ToString()};
}

Failure Disk::damage_failure(const std::string& what) {
  damaged_ = true;
  return {"read the disk", folder_, what};
}

// Ignores corruption, which read() reports.
Result<std::monostate> Disk::find_last_write() {
  const std::unique_ptr<leveldb::Iterator> it(db_->NewIterator(checksummed_reads()));
  for (it->Seek(kWritePrefix); it->Valid() && it->key().starts_with(kWritePrefix); it->Next())
    last_write_ = decode_number(it->key(), kWritePrefix.size());
  if (!it->status().ok() && !it->status().IsCorruption()) return read_failure(it->status());
  return std::monostate{};
}

// The numbers of the most recent writes must have no gap. A repaired database may hold older ones as well.
Result<std::monostate> Disk::check_writes() {
  auto expected = last_write_ > kRetainedWriteNumbers ? last_write_ - kRetainedWriteNumbers + 1 : 1;
  const std::unique_ptr<leveldb::Iterator> it(db_->NewIterator(checksummed_reads()));
  for (it->Seek(make_key(kWritePrefix.data(), expected)); it->Valid() && it->key().starts_with(kWritePrefix);
       it->Next()) {
    const auto number = decode_number(it->key(), kWritePrefix.size());
    if (number != expected) return damage_failure("write " + std::to_string(expected) + " is missing");
    ++expected;
  }
  if (!it->status().ok()) return read_failure(it->status());
  return std::monostate{};
}

namespace {

// Describes the first record that is missing although others depend on it; none if the state is complete. The
// log must follow the snapshot without a gap.
std::optional<std::string> find_missing_record(const agreement::DurableState& stored) {
  if (stored.has_state && stored.disk == 0) return "the identity is missing";
  if (!stored.has_state && (!stored.log.empty() || !stored.accepted.empty())) return "the state is missing";
  auto position = stored.state.position;
  for (const auto& entry : stored.log) {
    if (entry.slot <= position) continue;
    if (entry.slot != position + 1) return "change " + std::to_string(position + 1) + " is missing";
    position = entry.slot;
  }
  return std::nullopt;
}

}  // namespace

Result<agreement::DurableState> Disk::read() {
  damaged_ = false;
  if (auto checked = check_writes(); failed(checked)) return failure(checked);
  agreement::DurableState stored;
  const std::unique_ptr<leveldb::Iterator> it(db_->NewIterator(checksummed_reads()));
  for (it->SeekToFirst(); it->Valid(); it->Next()) {
    const auto key = it->key();
    const std::string_view value(it->value().data(), it->value().size());
    bool read = true;
    if (key == "identity") {
      stored.disk = decode_number(it->value(), 0);
      read = it->value().size() == sizeof stored.disk;
    } else if (key.starts_with(leveldb::Slice(kZonePrefix.data(), kZonePrefix.size()))) {
      stored.zones.push_back({key.ToString().substr(kZonePrefix.size()), it->value().ToString()});
    } else if (key.starts_with(leveldb::Slice(kDestroyedPrefix.data(), kDestroyedPrefix.size()))) {
      stored.destroyed.push_back(
          {key.ToString().substr(kDestroyedPrefix.size()), decode_number(it->value(), 0)});
    } else if (key == "state") {
      auto state = agreement::decode_state(value);
      if ((read = state.has_value())) stored.state = std::move(*state), stored.has_state = true;
    } else if (key == "promised") {
      auto promised = agreement::decode_ballot(value);
      if ((read = promised.has_value())) stored.promised = *promised;
    } else if (key.starts_with("accepted/")) {
      auto a = agreement::decode_accepted(value);
      if ((read = a.has_value())) stored.accepted.emplace_back(decode_number(key, 9), std::move(*a));
    } else if (key.starts_with("log/")) {
      auto entry = agreement::decode_entry(value);
      if ((read = entry.has_value())) stored.log.push_back(std::move(*entry));
    }
    if (!read) return damage_failure("corrupt record: " + key.ToString());
  }
  if (!it->status().ok()) return read_failure(it->status());
  if (const auto missing = find_missing_record(stored)) return damage_failure(*missing);
  return stored;
}

Result<std::monostate> Disk::write(const agreement::Write& w) {
  leveldb::WriteBatch batch;
  const auto trim = [&](const char* kind, std::size_t prefix, std::uint64_t up_to) {
    if (up_to == 0) return;
    const std::unique_ptr<leveldb::Iterator> it(db_->NewIterator({}));
    for (it->Seek(kind);
         it->Valid() && it->key().starts_with(kind) && decode_number(it->key(), prefix) <= up_to; it->Next())
      batch.Delete(it->key());
  };
  trim("accepted/", 9, w.trim_accepted_through);
  trim("log/", 4, w.trim_log_through);
  for (const auto& store : w.zones) batch.Put(std::string(kZonePrefix) + store.address, store.zone);
  for (const auto& voter : w.destroyed)
    batch.Put(std::string(kDestroyedPrefix) + voter.address, make_key("", voter.disk));
  if (w.disk) batch.Put("identity", make_key("", *w.disk));
  if (w.state) batch.Put("state", agreement::encode_state(*w.state));
  if (w.promised) batch.Put("promised", agreement::encode_ballot(*w.promised));
  for (const auto& [slot, a] : w.accepted)
    batch.Put(make_key("accepted/", slot), agreement::encode_accepted(a));
  for (const auto& c : w.log) batch.Put(make_key("log/", c.slot), agreement::encode_entry(c));
  const auto number = last_write_ + 1;
  batch.Put(make_key(kWritePrefix.data(), number), {});
  if (number > kRetainedWriteNumbers)
    batch.Delete(make_key(kWritePrefix.data(), number - kRetainedWriteNumbers));
  leveldb::WriteOptions durable;
  durable.sync = true;
  const auto status = db_->Write(durable, &batch);
  if (!status.ok()) return Failure{"write", folder_, status.ToString()};
  last_write_ = number;
  return std::monostate{};
}

DiskThread::DiskThread(std::unique_ptr<Disk> disk, OnLost on_lost)
    : disk_(std::move(disk)), on_lost_(std::move(on_lost)), thread_([this] { run(); }) {}

DiskThread::~DiskThread() {
  {
    const std::lock_guard guard(mutex_);
    stopping_ = true;
  }
  wake_up_.notify_one();
  thread_.join();
}

void DiskThread::write(agreement::Write w, std::function<void()> done) {
  {
    const std::lock_guard guard(mutex_);
    queue_.emplace_back(std::move(w), std::move(done));
  }
  wake_up_.notify_one();
}

std::size_t DiskThread::queued_writes() const {
  const std::lock_guard guard(mutex_);
  return queue_.size();
}

bool DiskThread::is_stopping() const {
  const std::lock_guard guard(mutex_);
  return stopping_;
}

void DiskThread::run() {
  std::unique_lock lock(mutex_);
  while (true) {
    wake_up_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
    if (stopping_) return;
    auto [w, done] = std::move(queue_.front());
    lock.unlock();
    if (!write_until_done(w)) return;
    done();
    lock.lock();
    queue_.pop_front();
  }
}

// Returns false if the thread must end.
bool DiskThread::write_until_done(const agreement::Write& w) {
  while (failed(disk_->write(w))) {
    std::this_thread::sleep_for(kWriteRetryDelay);
    if (is_stopping() || !reopen()) return false;
  }
  return true;
}

// Returns false if the thread must end.
bool DiskThread::reopen() {
  const auto folder = disk_->folder();
  auto& env = disk_->env();
  const auto last_write = disk_->last_write();
  disk_.reset();
  while (true) {
    auto opened = Disk::open(folder, env);
    if (!failed(opened)) {
      disk_ = std::move(value(opened));
      auto stored = disk_->read();
      if (!failed(stored)) break;
      if (disk_->is_damaged()) return set_aside(failure(stored));
      disk_.reset();
    }
    std::this_thread::sleep_for(kReopenRetryDelay);
    if (is_stopping()) return false;
  }
  if (disk_->last_write() >= last_write) return true;
  return set_aside({"reopen the disk", folder, "writes are missing"});
}

// Always returns false: the thread ends afterwards.
bool DiskThread::set_aside(const Failure& why) {
  const auto folder = disk_->folder();
  disk_.reset();
  Disk::recreate(folder);  // if this fails, the next start detects the missing writes
  on_lost_(why);
  return false;
}

}  // namespace docklift
