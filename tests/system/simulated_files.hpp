// An in-memory LevelDB environment that simulates power loss. Synced file contents survive; each unsynced
// write independently survives, is lost or is torn; each creation, rename or removal of a file without a
// later sync of its folder independently survives or is lost. Folders aren't nested and always exist.
// Thread-safe.
#pragma once

#include <leveldb/env.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace docklift::test {

// The contents of a file: the durable part, and the writes since the last sync.
struct SimulatedFile {
  std::string synced;
  std::vector<std::string> unsynced;
  std::string contents() const;
};
using SimulatedFilePtr = std::shared_ptr<SimulatedFile>;
using FolderEntries = std::map<std::string, SimulatedFilePtr>;  // by path

// The file system. It can lose power, be rolled back and fail reads or writes.
class SimulatedFiles : public leveldb::EnvWrapper {
 public:
  SimulatedFiles() : EnvWrapper(leveldb::Env::Default()) {}

  // Schedules a power loss at modifying operation number `operation` from now: calls `at_loss` and records
  // what survives. Later operations appear to succeed, but are lost at the restart.
  void lose_power_at(std::uint64_t operation, std::uint64_t seed, std::function<void()> at_loss);
  // Loses power now unless that has already happened, and continues with the files that survived.
  void restart(std::uint64_t seed, const std::function<void()>& at_loss);
  bool power_lost() const;
  // Disk faults. copy() and put_back() roll the files back to an earlier state. After `passed` more
  // operations, `count` writes or reads fail. Opening a file for reading counts as a read, and so does each
  // sequential read of a log or manifest.
  FolderEntries copy() const;
  void put_back(FolderEntries entries);
  void fail_writes(std::uint64_t count, std::uint64_t passed = 0);
  void fail_reads(std::uint64_t count, std::uint64_t passed = 0);

  leveldb::Status sync_folder(const std::string& folder);
  leveldb::Status NewSequentialFile(const std::string& path, leveldb::SequentialFile** file) override;
  leveldb::Status NewRandomAccessFile(const std::string& path, leveldb::RandomAccessFile** file) override;
  leveldb::Status NewWritableFile(const std::string& path, leveldb::WritableFile** file) override;
  leveldb::Status NewAppendableFile(const std::string& path, leveldb::WritableFile** file) override;
  bool FileExists(const std::string& path) override;
  leveldb::Status GetChildren(const std::string& folder, std::vector<std::string>* names) override;
  leveldb::Status RemoveFile(const std::string& path) override;
  leveldb::Status CreateDir(const std::string& folder) override;
  leveldb::Status RemoveDir(const std::string& folder) override;
  leveldb::Status GetFileSize(const std::string& path, std::uint64_t* size) override;
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
  leveldb::Status LockFile(const std::string& path, leveldb::FileLock** lock) override;
  leveldb::Status UnlockFile(leveldb::FileLock* lock) override;
  leveldb::Status NewLogger(const std::string& path, leveldb::Logger** logger) override;

  // Used by the opened files.
  leveldb::Status append(const std::string& path, const SimulatedFilePtr& file, std::string bytes);
  leveldb::Status sync(const std::string& path, const SimulatedFilePtr& file);
  leveldb::Status begin_read(const std::string& path);

 private:
  // Scheduled failures of one kind of operation: the next `passed` operations succeed, the `count` after them
  // fail.
  struct FaultSchedule {
    std::uint64_t passed = 0;
    std::uint64_t count = 0;
    bool next_fails();
  };
  // A creation, rename or removal since the last sync of the folder.
  struct EntryChange {
    std::string removed;    // path, or empty
    std::string added;      // path, or empty
    SimulatedFilePtr file;  // the file at `added`
    bool is_in(const std::string& folder) const;
  };
  void begin_operation();
  void change(EntryChange change);
  void sync_entries(const std::string& folder);
  FolderEntries after_power_loss(std::mt19937_64& random) const;

  mutable std::mutex mutex_;
  FolderEntries entries_, synced_entries_;
  std::vector<EntryChange> changes_;
  std::optional<FolderEntries> survivors_;  // set once power is lost, until restart()
  std::uint64_t operations_until_loss_ = 0;
  FaultSchedule write_faults_, read_faults_;
  std::mt19937_64 random_;
  std::function<void()> at_loss_;
};

}  // namespace docklift::test
