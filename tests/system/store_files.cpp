#include "store_files.hpp"

#include <boost/test/unit_test.hpp>

namespace docklift::test {
namespace {

constexpr std::uint64_t kOperationsPerWrite = 2;      // an append and a sync
constexpr std::uint64_t kMaxOperationsPerStart = 24;  // file operations
constexpr std::uint64_t kStartsPerPowerLoss = 4;      // one start in this many loses power, on average
constexpr std::uint64_t kStartsPerFault = 4;          // one start in this many meets an I/O error, on average

void ignore_power_loss() {}

}  // namespace

StoreFiles::StoreFiles(bool syncs_folders)
    : durable_(files_, [this](const std::string& folder) { return files_.sync_folder(folder); }),
      env_(syncs_folders ? static_cast<leveldb::Env&>(durable_) : files_) {}

Result<agreement::DurableState> StoreFiles::open_once() {
  auto opened = Disk::open("/disk", env_);
  if (failed(opened)) return failure(opened);
  disk_ = std::move(value(opened));
  return disk_->read();
}

Result<agreement::DurableState> StoreFiles::open(std::mt19937_64& random) {
  if (random() % kStartsPerPowerLoss == 0) {
    files_.lose_power_at(1 + random() % kMaxOperationsPerStart, random(), ignore_power_loss);
    if (auto stored = open_once(); failed(stored)) return stored;
    lose_power(random);
  }
  if (random() % kStartsPerFault == 0) open_with_fault(random);
  return open_once();
}

// The outcome of this opening doesn't matter, but the next one must find all data.
void StoreFiles::open_with_fault(std::mt19937_64& random) {
  constexpr std::uint64_t kFailures = 1;
  if (random() % 2 == 0) {
    files_.fail_writes(kFailures, random() % kMaxOperationsPerStart);
  } else {
    files_.fail_reads(kFailures, random() % kMaxOperationsPerStart);
  }
  open_once();
  close();
  files_.fail_writes(0), files_.fail_reads(0);
}

void StoreFiles::write(const agreement::Write& write) {
  const auto written = disk_->write(write);
  BOOST_TEST_REQUIRE(!failed(written));
}

void StoreFiles::close() { disk_.reset(); }

void StoreFiles::lose_power_within(std::size_t writes, std::mt19937_64& random) {
  const auto operations = kOperationsPerWrite * writes + 1;
  files_.lose_power_at(1 + random() % operations, random(), ignore_power_loss);
}

void StoreFiles::lose_power(std::mt19937_64& random) {
  close();
  files_.restart(random(), ignore_power_loss);
}

}  // namespace docklift::test
