// A store's disk with the real LevelDB on a simulated file system. Power may be lost during a write or during
// a start.
#pragma once

#include <memory>
#include <random>
#include <string>

#include "simulated_files.hpp"
#include "system/disk/disk.hpp"

namespace docklift::test {

// The disk of one store, which survives restarts and power losses of that store.
class StoreFiles {
 public:
  // `syncs_folders` false omits the folder syncs of DurableEnv, as an injected defect.
  explicit StoreFiles(bool syncs_folders);

  // Opens and reads the disk; an attempt during which power is lost or I/O fails may come first. Fails if the
  // disk can't be read or is incomplete, so that it would be set aside.
  Result<agreement::DurableState> open(std::mt19937_64& random);
  // The write is durable on return. The disk must be open and without scheduled faults.
  void write(const agreement::Write& write);
  // Ends the process without a power loss: all writes remain.
  void close();
  // Schedules a power loss within about `writes` writes; lose_power() is the latest time.
  void lose_power_within(std::size_t writes, std::mt19937_64& random);
  void lose_power(std::mt19937_64& random);

 private:
  Result<agreement::DurableState> open_once();
  void open_with_fault(std::mt19937_64& random);

  SimulatedFiles files_;
  DurableEnv durable_;
  leveldb::Env& env_;  // `durable_` or `files_`
  std::unique_ptr<Disk> disk_;
};

}  // namespace docklift::test
