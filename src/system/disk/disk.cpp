#include "system/disk/disk.hpp"

#include <leveldb/db.h>
#include <leveldb/env.h>
#include <leveldb/write_batch.h>

#include <chrono>
#include <filesystem>

namespace docklift {
namespace {

using namespace std::chrono_literals;

constexpr auto kRetryWrite = 100ms;  // after a write that failed
constexpr auto kRetryOpen = 200ms;   // of the disk after that

const leveldb::Slice kWritePrefix = "write/";
constexpr std::uint64_t kWritesRemembered = 64;  // by number; one that is missing among them is noticed
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

leveldb::ReadOptions verified() {
  leveldb::ReadOptions how;
  how.verify_checksums = true;
  return how;
}

}  // namespace

Disk::Disk(std::string folder, leveldb::Env& env)
    : folder_(std::move(folder)), env_(env), files_(std::make_unique<FailStopEnv>(env)) {}
Disk::~Disk() = default;

leveldb::Status Disk::open_database(bool strict) {
  auto how = options(*files_);
  how.paranoid_checks = strict;
  leveldb::DB* db = nullptr;
  auto status = leveldb::DB::Open(how, folder_, &db);
  db_.reset(db);
  // LevelDB may pass over what was refused, where it is not strict.
  if (!files_->has_failed()) return status;
  db_.reset();
  return status.IsIOError() ? status : leveldb::Status::IOError("refused while it was opened");
}

// A write that was torn by a loss of power is no more than a bad record at a log's end, which LevelDB passes over if it
// is not told to be strict. A torn manifest has to be made anew from what is there. Whether either has lost more than
// the last write shows by the numbers of the writes. What is refused meanwhile ends it, so that the next try finds all
// that was there.
leveldb::Status Disk::open_database() {
  constexpr bool kStrict = true;
  auto status = open_database(kStrict);
  if (status.IsCorruption()) status = open_database(!kStrict);
  if (!status.IsCorruption()) return status;
  status = leveldb::RepairDB(folder_, options(*files_));
  if (files_->has_failed()) return leveldb::Status::IOError("refused while it was mended");
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

// Both names are durable before the new disk is used: else the old one could come back under it.
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

Failure Disk::unreadable(const leveldb::Status& status) {
  damaged_ = status.IsCorruption();
  return {"read the disk", folder_, status.ToString()};
}

Failure Disk::damage(const std::string& what) {
  damaged_ = true;
  return {"read the disk", folder_, what};
}

// Damage is left to read() to tell.
Result<std::monostate> Disk::find_last_write() {
  const std::unique_ptr<leveldb::Iterator> it(db_->NewIterator(verified()));
  for (it->Seek(kWritePrefix); it->Valid() && it->key().starts_with(kWritePrefix); it->Next())
    last_write_ = place_of(it->key(), kWritePrefix.size());
  if (!it->status().ok() && !it->status().IsCorruption()) return unreadable(it->status());
  return std::monostate{};
}

// The last writes are there one after another; older ones may be there as well, where a disk was mended.
Result<std::monostate> Disk::check_writes() {
  auto expected = last_write_ > kWritesRemembered ? last_write_ - kWritesRemembered + 1 : 1;
  const std::unique_ptr<leveldb::Iterator> it(db_->NewIterator(verified()));
  for (it->Seek(key_of(kWritePrefix.data(), expected)); it->Valid() && it->key().starts_with(kWritePrefix);
       it->Next()) {
    const auto number = place_of(it->key(), kWritePrefix.size());
    if (number != expected) return damage("write " + std::to_string(expected) + " is missing");
    ++expected;
  }
  if (!it->status().ok()) return unreadable(it->status());
  return std::monostate{};
}

namespace {

// What a disk lacks that holds the rest; none: nothing. The log follows the state without a gap.
std::optional<std::string> missing_part(const agreement::DurableState& kept) {
  if (kept.has_state && kept.disk == 0) return "the identity is missing";
  if (!kept.has_state && (!kept.log.empty() || !kept.accepted.empty())) return "the state is missing";
  auto position = kept.state.position;
  for (const auto& entry : kept.log) {
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
  agreement::DurableState kept;
  const std::unique_ptr<leveldb::Iterator> it(db_->NewIterator(verified()));
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
      if ((read = state.has_value())) kept.state = std::move(*state), kept.has_state = true;
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
    if (!read) return damage("a record is damaged: " + key.ToString());
  }
  if (!it->status().ok()) return unreadable(it->status());
  if (const auto missing = missing_part(kept)) return damage(*missing);
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
  forget("accepted/", 9, w.trim_accepted_through);
  forget("log/", 4, w.trim_log_through);
  for (const auto& store : w.zones) batch.Put(std::string(kZonePrefix) + store.address, store.zone);
  for (const auto& voter : w.destroyed)
    batch.Put(std::string(kDestroyedPrefix) + voter.address, key_of("", voter.disk));
  if (w.disk) batch.Put("identity", key_of("", *w.disk));
  if (w.state) batch.Put("state", agreement::encode_state(*w.state));
  if (w.promised) batch.Put("promised", agreement::encode_ballot(*w.promised));
  for (const auto& [slot, a] : w.accepted)
    batch.Put(key_of("accepted/", slot), agreement::encode_accepted(a));
  for (const auto& c : w.log) batch.Put(key_of("log/", c.slot), agreement::encode_entry(c));
  const auto number = last_write_ + 1;
  batch.Put(key_of(kWritePrefix.data(), number), {});
  if (number > kWritesRemembered) batch.Delete(key_of(kWritePrefix.data(), number - kWritesRemembered));
  leveldb::WriteOptions how;
  how.sync = true;
  const auto status = db_->Write(how, &batch);
  if (!status.ok()) return Failure{"write", folder_, status.ToString()};
  last_write_ = number;
  return std::monostate{};
}

DiskThread::DiskThread(std::unique_ptr<Disk> disk, Lost lost)
    : disk_(std::move(disk)), lost_(std::move(lost)), thread_([this] { run(); }) {}

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

std::size_t DiskThread::queued_writes() const {
  const std::lock_guard held(lock_);
  return queue_.size();
}

bool DiskThread::ends() const {
  const std::lock_guard held(lock_);
  return ends_;
}

void DiskThread::run() {
  std::unique_lock held(lock_);
  while (true) {
    news_.wait(held, [this] { return ends_ || !queue_.empty(); });
    if (ends_) return;
    auto [w, done] = std::move(queue_.front());
    held.unlock();
    if (!write_until_done(w)) return;
    done();
    held.lock();
    queue_.pop_front();
  }
}

// False: the thread is to end.
bool DiskThread::write_until_done(const agreement::Write& w) {
  while (failed(disk_->write(w))) {
    std::this_thread::sleep_for(kRetryWrite);
    if (ends() || !open_again()) return false;
  }
  return true;
}

// False: the thread is to end.
bool DiskThread::open_again() {
  const auto folder = disk_->folder();
  auto& env = disk_->env();
  const auto last_write = disk_->last_write();
  disk_.reset();
  while (true) {
    auto opened = Disk::open(folder, env);
    if (!failed(opened)) {
      disk_ = std::move(value(opened));
      auto kept = disk_->read();
      if (!failed(kept)) break;
      if (disk_->is_damaged()) return set_aside(failure(kept));
      disk_.reset();
    }
    std::this_thread::sleep_for(kRetryOpen);
    if (ends()) return false;
  }
  if (disk_->last_write() >= last_write) return true;
  return set_aside({"open the disk again", folder, "writes are missing"});
}

// The thread ends with it.
bool DiskThread::set_aside(const Failure& why) {
  const auto folder = disk_->folder();
  disk_.reset();
  Disk::recreate(folder);  // where that fails the next start finds what is missing
  lost_(why);
  return false;
}

}  // namespace docklift
