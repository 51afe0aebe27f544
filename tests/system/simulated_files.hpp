// Files in memory under LevelDB, with what a loss of power does to them: of each file what its last sync covered is
// kept, and each later write is kept, missing or torn by itself; each file that was made, renamed or removed without a
// sync of its folder is kept or lost by itself. Folders are flat and always there. Safe for several threads.
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

// What a file holds: what is durable, and the writes after it.
struct SimulatedFile {
  std::string synced;
  std::vector<std::string> unsynced;
  std::string contents() const;
};
using SimulatedFilePtr = std::shared_ptr<SimulatedFile>;
using FolderEntries = std::map<std::string, SimulatedFilePtr>;  // by path

class SimulatedFiles : public leveldb::EnvWrapper {
 public:
  SimulatedFiles() : EnvWrapper(leveldb::Env::Default()) {}

  // Calls `at_loss` and takes what a loss of power would leave, at the n-th operation from now that changes
  // something. What goes on after it changes nothing of that.
  void lose_power_at(std::uint64_t operation, std::uint64_t seed, std::function<void()> at_loss);
  // Loses the power now, unless that has happened; then the files are what was left.
  void restart(std::uint64_t seed, const std::function<void()>& at_loss);
  bool power_lost() const;
  // Faults of the disk itself: its files are put back to what they were, and so many writes or reads fail after
  // `passed` that don't. A file that is opened to be read is one read, each read of a log or manifest another.
  FolderEntries copy() const;
  void put_back(FolderEntries entries);
  void fail_writes(std::uint64_t how_many, std::uint64_t passed = 0);
  void fail_reads(std::uint64_t how_many, std::uint64_t passed = 0);

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

  // For the files that were opened.
  leveldb::Status append(const std::string& path, const SimulatedFilePtr& file, std::string bytes);
  leveldb::Status sync(const std::string& path, const SimulatedFilePtr& file);
  leveldb::Status begin_read(const std::string& path);

 private:
  // Operations of one sort that fail after some that don't.
  struct Refusals {
    std::uint64_t passed = 0;
    std::uint64_t how_many = 0;
    bool refuses_next();
  };
  // A file that was made, renamed or removed since the last sync of its folder.
  struct EntryChange {
    std::string removed;    // path; empty: none
    std::string added;      // path; empty: none
    SimulatedFilePtr file;  // that is at `added`
    bool is_in(const std::string& folder) const;
  };
  void begin_operation();
  void change(EntryChange change);
  void sync_entries(const std::string& folder);
  FolderEntries after_power_loss(std::mt19937_64& random) const;

  mutable std::mutex lock_;
  FolderEntries entries_, synced_entries_;
  std::vector<EntryChange> changes_;
  std::optional<FolderEntries> left_;  // by a loss of power
  std::uint64_t operations_to_loss_ = 0;
  Refusals write_refusals_, read_refusals_;
  std::mt19937_64 random_;
  std::function<void()> at_loss_;
};

}  // namespace docklift::test
