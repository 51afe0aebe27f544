#include "store_files.hpp"

#include <boost/test/unit_test.hpp>

namespace docklift::test {
namespace {

constexpr std::uint64_t kOperationsOfAWrite = 2;   // an append and a sync
constexpr std::uint64_t kOperationsOfAStart = 24;  // of the files, at most
constexpr std::uint64_t kLossAtAStart = 4;         // one start of so many loses its power
constexpr std::uint64_t kRefusalAtAStart = 4;      // and one of so many meets a disk that refuses something

void nothing_to_note() {}

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
  if (random() % kLossAtAStart == 0) {
    files_.lose_power_at(1 + random() % kOperationsOfAStart, random(), nothing_to_note);
    if (auto kept = open_once(); failed(kept)) return kept;
    lose_power(random);
  }
  if (random() % kRefusalAtAStart == 0) open_while_refusing(random);
  return open_once();
}

// Whatever comes of it; the next opening must find all that was there.
void StoreFiles::open_while_refusing(std::mt19937_64& random) {
  constexpr std::uint64_t kRefused = 1;
  if (random() % 2 == 0) {
    files_.fail_writes(kRefused, random() % kOperationsOfAStart);
  } else {
    files_.fail_reads(kRefused, random() % kOperationsOfAStart);
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
  const auto operations = kOperationsOfAWrite * writes + 1;
  files_.lose_power_at(1 + random() % operations, random(), nothing_to_note);
}

void StoreFiles::lose_power(std::mt19937_64& random) {
  close();
  files_.restart(random(), nothing_to_note);
}

}  // namespace docklift::test
