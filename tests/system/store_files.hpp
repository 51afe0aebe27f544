// A store's disk as it is deployed, LevelDB and all, over simulated files: power may be lost in the middle of a write
// and in the middle of a start.
#pragma once

#include <memory>
#include <random>
#include <string>

#include "simulated_files.hpp"
#include "system/disk/disk.hpp"

namespace docklift::test {

class StoreFiles {
 public:
  // Without `syncs_folders` LevelDB's files are as it makes them: a planted fault.
  explicit StoreFiles(bool syncs_folders);

  // Power may be lost during this start, or the disk refuse something, and it is made once more. A failure: the disk could not be read, or lacks
  // something, and would be set aside.
  Result<agreement::DurableState> open(std::mt19937_64& random);
  // Durable when it returns. The disk must be open and refuses nothing.
  void write(const agreement::Write& write);
  // The process ends; what was written stays.
  void close();
  // Power will be lost within about so many writes from now; at the latest by lose_power().
  void lose_power_within(std::size_t writes, std::mt19937_64& random);
  void lose_power(std::mt19937_64& random);

 private:
  Result<agreement::DurableState> open_once();
  void open_while_refusing(std::mt19937_64& random);

  SimulatedFiles files_;
  DurableEnv durable_;
  leveldb::Env& env_;  // one of these two
  std::unique_ptr<Disk> disk_;
};

}  // namespace docklift::test
