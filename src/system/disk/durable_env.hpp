// LevelDB's files, with the syncs that LevelDB leaves out. Of a file that was made or renamed, the entry in its folder
// is durable only once the folder has been synced. LevelDB relies on that order without a sync: on opening it renames
// its pointer to the new manifest and removes the old logs; where the rename is lost and a removal is not, the old
// manifest leads to logs that are gone and to the new one behind them. Source: docs/incidents/README.md, issue 48.
#pragma once

#include <leveldb/env.h>

#include <functional>
#include <string>

namespace docklift {

// Makes durable which files a folder holds. Waits for the disk.
leveldb::Status sync_folder(const std::string& folder);

class DurableEnv : public leveldb::EnvWrapper {
 public:
  using SyncFolder = std::function<leveldb::Status(const std::string& folder)>;
  // `files` is not owned and outlives this.
  DurableEnv(leveldb::Env& files, SyncFolder sync) : EnvWrapper(&files), sync_folder_(std::move(sync)) {}

  // Each returns once the entry is durable; a failed sync is a failure of the call.
  leveldb::Status NewWritableFile(const std::string& path, leveldb::WritableFile** file) override;
  leveldb::Status NewAppendableFile(const std::string& path, leveldb::WritableFile** file) override;
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
  leveldb::Status CreateDir(const std::string& folder) override;

 private:
  // Closes a file whose entry can't be made durable.
  leveldb::Status with_durable_entry(const std::string& path, leveldb::WritableFile** file);
  SyncFolder sync_folder_;
};

// The machine's files; lives as long as the process.
leveldb::Env& durable_env();

}  // namespace docklift
