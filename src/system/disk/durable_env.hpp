// A LevelDB environment that adds the directory syncs which LevelDB omits. The directory entry of a created
// or renamed file is durable only after an fsync of its folder. LevelDB assumes that order without syncing:
// when it opens a database it renames the CURRENT file to point to the new manifest and then removes the old
// logs. If a power loss reverts the rename but not a removal, the old manifest refers to logs that no longer
// exist, and only the newer log is replayed after the gap. See docs/incidents/README.md, issue 48.
#pragma once

#include <leveldb/env.h>

#include <functional>
#include <string>

namespace docklift {

// Syncs a folder, which makes its entries durable. Blocks on I/O.
leveldb::Status sync_folder(const std::string& folder);

// Syncs the containing folder after each operation that adds or renames an entry.
class DurableEnv : public leveldb::EnvWrapper {
 public:
  using SyncFolder = std::function<leveldb::Status(const std::string& folder)>;
  // `target` is not owned and must outlive this object.
  DurableEnv(leveldb::Env& target, SyncFolder sync) : EnvWrapper(&target), sync_folder_(std::move(sync)) {}

  // These return once the directory entry is durable, and fail if the sync fails.
  leveldb::Status NewWritableFile(const std::string& path, leveldb::WritableFile** file) override;
  leveldb::Status NewAppendableFile(const std::string& path, leveldb::WritableFile** file) override;
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
  leveldb::Status CreateDir(const std::string& folder) override;

 private:
  // Syncs the folder of a file that was just opened; closes the file if that fails.
  leveldb::Status sync_new_entry(const std::string& path, leveldb::WritableFile** file);
  SyncFolder sync_folder_;
};

// The DurableEnv over the machine's file system; never destroyed.
leveldb::Env& durable_env();

}  // namespace docklift
