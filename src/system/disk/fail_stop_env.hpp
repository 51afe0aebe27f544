// Files that refuse everything once they have refused one thing. LevelDB passes over some failures when it opens a
// damaged database: a log that can't be read, or not be copied into a table, is put away all the same, and a later
// opening finds an older state without a gap. Where nothing can be put away after the first failure, all is still there
// for the next try. Source: docs/incidents/README.md, issue 48.
#pragma once

#include <leveldb/env.h>

#include <atomic>
#include <string>
#include <vector>

namespace docklift {

class FailStopEnv : public leveldb::EnvWrapper {
 public:
  // `files` is not owned and outlives this.
  explicit FailStopEnv(leveldb::Env& files) : EnvWrapper(&files) {}

  // Something was refused. That a file is not there is no refusal.
  bool has_failed() const { return failed_; }

  leveldb::Status NewSequentialFile(const std::string& path, leveldb::SequentialFile** file) override;
  leveldb::Status NewRandomAccessFile(const std::string& path, leveldb::RandomAccessFile** file) override;
  leveldb::Status NewWritableFile(const std::string& path, leveldb::WritableFile** file) override;
  leveldb::Status NewAppendableFile(const std::string& path, leveldb::WritableFile** file) override;
  leveldb::Status GetChildren(const std::string& folder, std::vector<std::string>* names) override;
  leveldb::Status GetFileSize(const std::string& path, std::uint64_t* size) override;
  leveldb::Status RemoveFile(const std::string& path) override;
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override;

  // For the files that were opened: runs the operation unless one has failed.
  template <class Operation>
  leveldb::Status run(Operation operation) {
    if (failed_) return leveldb::Status::IOError("an earlier operation of the disk failed");
    leveldb::Status status = operation();
    if (!status.ok() && !status.IsNotFound()) failed_ = true;
    return status;
  }

 private:
  std::atomic<bool> failed_ = false;
};

}  // namespace docklift
