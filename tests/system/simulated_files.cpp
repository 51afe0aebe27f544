#include "simulated_files.hpp"

#include <algorithm>
#include <utility>

namespace docklift::test {
namespace {

using leveldb::Slice;
using leveldb::Status;

std::string folder_of(const std::string& path) { return path.substr(0, path.rfind('/')); }
std::string name_of(const std::string& path) { return path.substr(path.rfind('/') + 1); }

Status not_found(const std::string& path) { return Status::NotFound(path, "no such file"); }
Status injected_error(const std::string& path) { return Status::IOError(path, "injected I/O error"); }

class SequentialReader : public leveldb::SequentialFile {
 public:
  SequentialReader(SimulatedFiles& files, std::string path, std::string bytes)
      : files_(files), path_(std::move(path)), bytes_(std::move(bytes)) {}
  Status Read(std::size_t size, Slice* result, char* scratch) override {
    if (auto status = files_.begin_read(path_); !status.ok()) return status;
    size = std::min(size, bytes_.size() - at_);
    std::copy_n(bytes_.data() + at_, size, scratch);
    at_ += size;
    *result = Slice(scratch, size);
    return Status::OK();
  }
  Status Skip(std::uint64_t size) override {
    at_ = std::min<std::uint64_t>(bytes_.size(), at_ + size);
    return Status::OK();
  }

 private:
  SimulatedFiles& files_;
  std::string path_;
  std::string bytes_;
  std::size_t at_ = 0;
};

class RandomReader : public leveldb::RandomAccessFile {
 public:
  explicit RandomReader(std::string bytes) : bytes_(std::move(bytes)) {}
  Status Read(std::uint64_t offset, std::size_t size, Slice* result, char* scratch) const override {
    const auto from = std::min<std::uint64_t>(offset, bytes_.size());
    size = std::min<std::size_t>(size, bytes_.size() - from);
    std::copy_n(bytes_.data() + from, size, scratch);
    *result = Slice(scratch, size);
    return Status::OK();
  }

 private:
  std::string bytes_;
};

class Writer : public leveldb::WritableFile {
 public:
  Writer(SimulatedFiles& files, std::string path, SimulatedFilePtr file)
      : files_(files), path_(std::move(path)), file_(std::move(file)) {}
  Status Append(const Slice& data) override {
    buffer_.append(data.data(), data.size());
    return Status::OK();
  }
  Status Close() override { return Flush(); }
  Status Flush() override {
    return buffer_.empty() ? Status::OK() : files_.append(path_, file_, std::exchange(buffer_, {}));
  }
  Status Sync() override {
    const auto status = Flush();
    return status.ok() ? files_.sync(path_, file_) : status;
  }

 private:
  SimulatedFiles& files_;
  std::string path_;
  SimulatedFilePtr file_;
  std::string buffer_;
};

class NoLock : public leveldb::FileLock {};

// Each unsynced write survives, is lost or is torn. A gap before a surviving write reads as zeros.
std::string contents_after_power_loss(const SimulatedFile& file, std::mt19937_64& random) {
  std::string contents = file.synced;
  if (random() % 3 == 0) return contents;  // in some power losses all unsynced writes are lost
  std::string zeros;
  for (const auto& write : file.unsynced) {
    const auto fate = random() % 3;
    if (fate == 0) {
      zeros.append(write.size(), '\0');
      continue;
    }
    contents += std::exchange(zeros, {});
    const std::size_t surviving = fate == 1 ? write.size() : random() % (write.size() + 1);
    contents.append(write, 0, surviving);
    zeros.append(write.size() - surviving, '\0');
    // The file may already have grown to the full length of the write, or only up to what survived.
    if (random() % 2 == 0) contents += std::exchange(zeros, {});
  }
  return contents;
}

}  // namespace

std::string SimulatedFile::contents() const {
  std::string all = synced;
  for (const auto& write : unsynced) all += write;
  return all;
}

bool SimulatedFiles::EntryChange::is_in(const std::string& folder) const {
  return folder_of(added.empty() ? removed : added) == folder;
}

void SimulatedFiles::lose_power_at(std::uint64_t operation, std::uint64_t seed,
                                   std::function<void()> at_loss) {
  const std::lock_guard guard(mutex_);
  operations_until_loss_ = operation;
  random_.seed(seed);
  at_loss_ = std::move(at_loss);
}

void SimulatedFiles::restart(std::uint64_t seed, const std::function<void()>& at_loss) {
  const std::lock_guard guard(mutex_);
  if (!survivors_) {
    random_.seed(seed);
    at_loss();
    survivors_ = after_power_loss(random_);
  }
  entries_ = synced_entries_ = *std::exchange(survivors_, std::nullopt);
  changes_.clear();
  operations_until_loss_ = 0;
}

bool SimulatedFiles::power_lost() const {
  const std::lock_guard guard(mutex_);
  return survivors_.has_value();
}

FolderEntries SimulatedFiles::copy() const {
  const std::lock_guard guard(mutex_);
  FolderEntries copied = entries_;
  for (auto& [path, file] : copied) file = std::make_shared<SimulatedFile>(*file);
  return copied;
}

void SimulatedFiles::put_back(FolderEntries entries) {
  const std::lock_guard guard(mutex_);
  entries_ = synced_entries_ = std::move(entries);
  changes_.clear();
}

void SimulatedFiles::fail_writes(std::uint64_t count, std::uint64_t passed) {
  const std::lock_guard guard(mutex_);
  write_faults_ = {passed, count};
}

void SimulatedFiles::fail_reads(std::uint64_t count, std::uint64_t passed) {
  const std::lock_guard guard(mutex_);
  read_faults_ = {passed, count};
}

bool SimulatedFiles::FaultSchedule::next_fails() {
  if (count == 0) return false;
  if (passed > 0) {
    --passed;
    return false;
  }
  --count;
  return true;
}

Status SimulatedFiles::begin_read(const std::string& path) {
  const std::lock_guard guard(mutex_);
  return read_faults_.next_fails() ? injected_error(path) : Status::OK();
}

void SimulatedFiles::begin_operation() {
  if (operations_until_loss_ == 0 || --operations_until_loss_ > 0) return;
  at_loss_();
  survivors_ = after_power_loss(random_);
}

FolderEntries SimulatedFiles::after_power_loss(std::mt19937_64& random) const {
  FolderEntries survivors = synced_entries_;
  for (const auto& change : changes_) {
    if (random() % 2 == 0) continue;
    if (!change.removed.empty()) survivors.erase(change.removed);
    if (!change.added.empty()) survivors[change.added] = change.file;
  }
  for (auto& [path, file] : survivors)
    file = std::make_shared<SimulatedFile>(SimulatedFile{contents_after_power_loss(*file, random), {}});
  return survivors;
}

void SimulatedFiles::change(EntryChange change) {
  if (!change.removed.empty()) entries_.erase(change.removed);
  if (!change.added.empty()) entries_[change.added] = change.file;
  changes_.push_back(std::move(change));
}

void SimulatedFiles::sync_entries(const std::string& folder) {
  std::erase_if(changes_, [&](const EntryChange& change) {
    if (!change.is_in(folder)) return false;
    if (!change.removed.empty()) synced_entries_.erase(change.removed);
    if (!change.added.empty()) synced_entries_[change.added] = change.file;
    return true;
  });
}

Status SimulatedFiles::sync_folder(const std::string& folder) {
  const std::lock_guard guard(mutex_);
  begin_operation();
  sync_entries(folder);
  return Status::OK();
}

Status SimulatedFiles::append(const std::string& path, const SimulatedFilePtr& file, std::string bytes) {
  const std::lock_guard guard(mutex_);
  begin_operation();
  if (write_faults_.next_fails()) return injected_error(path);
  file->unsynced.push_back(std::move(bytes));
  return Status::OK();
}

// Like LevelDB's own implementation, syncs the folder first if the file is a manifest.
Status SimulatedFiles::sync(const std::string& path, const SimulatedFilePtr& file) {
  const std::lock_guard guard(mutex_);
  begin_operation();
  if (write_faults_.next_fails()) return injected_error(path);
  if (name_of(path).starts_with("MANIFEST")) sync_entries(folder_of(path));
  file->synced = file->contents();
  file->unsynced.clear();
  return Status::OK();
}

Status SimulatedFiles::NewSequentialFile(const std::string& path, leveldb::SequentialFile** file) {
  const std::lock_guard guard(mutex_);
  const auto found = entries_.find(path);
  if (found == entries_.end()) return not_found(path);
  if (read_faults_.next_fails()) return injected_error(path);
  *file = new SequentialReader(*this, path, found->second->contents());
  return Status::OK();
}

Status SimulatedFiles::NewRandomAccessFile(const std::string& path, leveldb::RandomAccessFile** file) {
  const std::lock_guard guard(mutex_);
  const auto found = entries_.find(path);
  if (found == entries_.end()) return not_found(path);
  if (read_faults_.next_fails()) return injected_error(path);
  *file = new RandomReader(found->second->contents());
  return Status::OK();
}

Status SimulatedFiles::NewWritableFile(const std::string& path, leveldb::WritableFile** file) {
  const std::lock_guard guard(mutex_);
  begin_operation();
  if (write_faults_.next_fails()) return injected_error(path);
  const auto created = std::make_shared<SimulatedFile>();
  change({"", path, created});
  *file = new Writer(*this, path, created);
  return Status::OK();
}

Status SimulatedFiles::NewAppendableFile(const std::string& path, leveldb::WritableFile** file) {
  {
    const std::lock_guard guard(mutex_);
    if (const auto found = entries_.find(path); found != entries_.end()) {
      *file = new Writer(*this, path, found->second);
      return Status::OK();
    }
  }
  return NewWritableFile(path, file);
}

bool SimulatedFiles::FileExists(const std::string& path) {
  const std::lock_guard guard(mutex_);
  return entries_.contains(path);
}

Status SimulatedFiles::GetChildren(const std::string& folder, std::vector<std::string>* names) {
  const std::lock_guard guard(mutex_);
  names->clear();
  for (const auto& [path, file] : entries_)
    if (folder_of(path) == folder) names->push_back(name_of(path));
  return Status::OK();
}

Status SimulatedFiles::RemoveFile(const std::string& path) {
  const std::lock_guard guard(mutex_);
  if (!entries_.contains(path)) return not_found(path);
  begin_operation();
  change({path, "", nullptr});
  return Status::OK();
}

Status SimulatedFiles::CreateDir(const std::string&) { return Status::OK(); }
Status SimulatedFiles::RemoveDir(const std::string&) { return Status::OK(); }

Status SimulatedFiles::GetFileSize(const std::string& path, std::uint64_t* size) {
  const std::lock_guard guard(mutex_);
  const auto found = entries_.find(path);
  if (found == entries_.end()) return not_found(path);
  *size = found->second->contents().size();
  return Status::OK();
}

Status SimulatedFiles::RenameFile(const std::string& from, const std::string& to) {
  const std::lock_guard guard(mutex_);
  const auto found = entries_.find(from);
  if (found == entries_.end()) return not_found(from);
  begin_operation();
  if (write_faults_.next_fails()) return injected_error(from);
  change({from, to, found->second});
  return Status::OK();
}

Status SimulatedFiles::LockFile(const std::string&, leveldb::FileLock** lock) {
  *lock = new NoLock;
  return Status::OK();
}

Status SimulatedFiles::UnlockFile(leveldb::FileLock* lock) {
  delete lock;
  return Status::OK();
}

Status SimulatedFiles::NewLogger(const std::string& path, leveldb::Logger**) {
  return Status::NotSupported(path, "no log files");
}

}  // namespace docklift::test
