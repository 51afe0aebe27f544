// A LevelDB environment that fails every operation after its first I/O error. LevelDB ignores some errors
// while it opens or repairs a damaged database: it discards a log even if the log could not be read or
// converted to a table, and a later opening finds an older state without a gap. Since nothing can be
// discarded after the first error here, the next attempt still finds all files. See docs/incidents/README.md,
// issue 48.
#pragma once

#include <leveldb/env.h>

#include <atomic>
#include <string>
#include <vector>

namespace docklift {

// Wraps an environment and stops at its first I/O error; use a new one for each opening of a database.
class FailStopEnv : public leveldb::EnvWrapper {
 public:
  // `target` is not owned and must outlive this object.
  explicit FailStopEnv(leveldb::Env& target) : EnvWrapper(&target) {}

  // Whether any operation has failed. A missing file (NotFound) doesn't count as a failure.
  bool has_failed() const { return failed_; }

  leveldb::Status NewSequentialFile(const std::string& path, leveldb::SequentialFile** file) override;
  leveldb::Status NewRandomAccessFile(const std::string& path, leveldb::RandomAccessFile** file) override;
  leveldb::Status NewWritableFile(const std::string& path, leveldb::WritableFile** file) override;
  leveldb::Status NewAppendableFile(const std::string& path, leveldb::WritableFile** file) override;
  leveldb::Status GetChildren(const std::string& folder, std::vector<std::string>* names) override;
  leveldb::Status GetFileSize(const std::string& path, std::uint64_t* size) override;
  leveldb::Status RemoveFile(const std::string& path) override;
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override;

  // Runs the operation unless an earlier one has failed. Public for the wrappers of opened files.
  template <class Operation>
  leveldb::Status run(Operation operation) {
    if (failed_) return leveldb::Status::IOError("an earlier disk operation failed");
    leveldb::Status status = operation();
    if (!status.ok() && !status.IsNotFound()) failed_ = true;
    return status;
  }

 private:
  std::atomic<bool> failed_ = false;
};

}  // namespace docklift
