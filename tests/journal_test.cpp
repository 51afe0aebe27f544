// A journal on a failing disk: power cuts at every byte and between any two steps, unsynced data lost, torn or reordered, failing syncs, a full disk,
// a block of another file, another node's disk.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>

#include "journal/disk.hpp"
#include "journal/journal.hpp"
#include "members/random.hpp"

namespace docklift::journal {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kBlock = 512;

struct PowerCut {};

// Files on a simulated disk: the synced contents, and those in the page cache.
class FaultyDisk {
 public:
  explicit FaultyDisk(std::uint64_t seed) : random(seed) {}

  std::size_t steps_left = SIZE_MAX;  // steps until the power is cut
  double sync_fails = 0;
  std::size_t capacity = SIZE_MAX;  // bytes of all files
  bool read_only = false;
  Random random;

  bool perform(const Commit& c) {
    step();
    if (read_only) return false;
    auto& f = files_[c.file];
    if (c.create != !f.in_memory) return false;
    f.in_memory = true;
    std::size_t all = 0;
    for (const auto& [name, file] : files_) all += file.memory.size();
    for (std::size_t at = 0; at < c.bytes.size(); at += kBlock) {
      step();
      const auto block = c.bytes.substr(at, kBlock);
      if (all + block.size() > capacity) return false;
      all += block.size();
      f.memory += block;
    }
    step();
    if (random.chance(sync_fails)) {
      f.failed_sync_end = f.memory.size();  // the kernel marks the pages clean: no later sync writes them
      return false;
    }
    f.sync();
    step();
    if (c.create) f.on_disk = true;
    for (const auto& name : c.remove) {
      step();
      files_[name].in_memory = false;
    }
    return true;
  }

  // Restores power: synced data is there, of the rest any subset of blocks, the last one torn.
  void lose_power() {
    for (auto it = files_.begin(); it != files_.end();) {
      auto& [name, f] = *it;
      const bool there = f.on_disk ? f.in_memory || random.chance(0.5) : random.chance(0.5);
      if (!there) {
        it = files_.erase(it);
        continue;
      }
      std::string now = f.disk;
      const auto length = f.disk.size() + random.below(f.memory.size() - std::min(f.memory.size(), f.disk.size()) + 1);
      for (std::size_t at = f.disk.size(); at < length; at += kBlock) {
        const auto block = f.memory.substr(at, std::min(kBlock, length - at));
        now += random.chance(0.5) ? block : std::string(block.size(), random.chance(0.5) ? '\0' : '\xd0');
      }
      f = {now, now, true, true, 0};
      ++it;
    }
    steps_left = SIZE_MAX;
  }
  std::map<std::string, std::string> read() const {
    std::map<std::string, std::string> all;
    for (const auto& [name, f] : files_)
      if (f.in_memory) all[name] = f.memory;
    return all;
  }

 private:
  struct File {
    std::string disk{}, memory{};
    bool on_disk = false, in_memory = false;  // of the directory entry
    std::size_t failed_sync_end = 0;
    void sync() {
      if (failed_sync_end == 0) disk = memory;
      else
        disk += std::string(failed_sync_end - std::min(failed_sync_end, disk.size()), '\0') +
                memory.substr(failed_sync_end);
    }
  };
  void step() {
    if (steps_left-- == 0) throw PowerCut();
  }
  std::map<std::string, File> files_;
};

// All values ever written to each key, with their numbers.
struct History {
  std::map<std::string, std::vector<std::pair<std::uint64_t, std::optional<std::string>>>> written;
  void note(const std::string& key, std::uint64_t number, std::optional<std::string> value) { written[key].emplace_back(number, std::move(value)); }
  // Checks that no durable value is missing, and that no value is there that was never written.
  std::string wrong(const std::map<std::string, std::string>& state, std::uint64_t durable) const {
    for (const auto& [key, all] : written) {
      const auto it = state.find(key);
      const auto has = it == state.end() ? std::nullopt : std::optional(it->second);
      std::optional<std::string> last_durable;  // the last durable value
      bool good = false;
      for (const auto& [number, value] : all) {
        if (number <= durable) last_durable = value;
        else good = good || value == has;
      }
      if (!good && last_durable != has) return key + " has " + has.value_or("nothing") + ", durable was " + last_durable.value_or("nothing");
    }
    for (const auto& [key, value] : state)
      if (!written.contains(key)) return key + " is from nowhere";
    return {};
  }
};

struct Scenario {
  explicit Scenario(std::uint64_t seed) : disk(seed), random(seed + 1) {}
  FaultyDisk disk;
  Random random;
  History history;
  Instant now{1s};
  std::uint64_t durable = 0;

  // Runs one incarnation: recovers, then makes changes until the power is cut. Returns what went wrong.
  std::string run_incarnation(std::size_t changes) {
    const auto found = recover(disk.read(), "n0");
    if (const auto w = history.wrong(found.state, durable); !w.empty()) return w;
    // The recovered values are the reference from now on: a value that was not durable may be lost for good.
    history.written.clear();
    for (const auto& [key, value] : found.state) history.note(key, 0, value);
    Journal j("n0", {.grow = 2, .least_bytes = 2000, .most_bytes = 20'000, .most_waiting = 3000});
    std::uint64_t last = 0;
    try {
      run(j, j.begin(now, found));
      durable = 0;
      for (std::size_t i = 0; i < changes; ++i) {
        now += Instant(random.below(30'000'000));
        const auto key = "k" + std::to_string(random.below(12));
        if (random.chance(0.2)) {
          const auto c = j.erase(now, key);
          if (j.number() != last) history.note(key, j.number(), std::nullopt);
          run(j, c);
        } else {
          std::string value(random.below(300), static_cast<char>('a' + random.below(26)));
          const auto c = j.put(now, key, value);
          history.note(key, j.number(), value);
          run(j, c);
        }
        run(j, j.tick(now));
        last = j.number();
        durable = j.durable();
      }
    } catch (const PowerCut&) {
      durable = j.durable();
    }
    disk.lose_power();  // every incarnation ends with a power cut
    return {};
  }
  void run(Journal& j, std::optional<Commit> c) {
    while (c) c = j.done(now, c->id, disk.perform(*c));
    durable = j.durable();
  }
};

TEST(Journal, DurableDataSurvivesRandomPowerCuts) {
  for (std::uint64_t seed = 1; seed <= 1500; ++seed) {
    Scenario p(seed);
    for (int incarnation = 0; incarnation < 4; ++incarnation) {
      p.disk.steps_left = 1 + p.random.below(150);
      p.disk.sync_fails = seed % 3 == 0 ? 0.1 : 0;
      const auto wrong = p.run_incarnation(60);
      ASSERT_EQ(wrong, "") << "seed " << seed << ", incarnation " << incarnation;
    }
  }
}

TEST(Journal, DurableDataSurvivesAPowerCutAtEachStep) {
  std::size_t cuts = 0;
  for (std::size_t step = 0; step < 120; ++step)
    for (std::uint64_t seed = 1; seed <= 8; ++seed, ++cuts) {
      Scenario p(seed);
      ASSERT_EQ(p.run_incarnation(10), "");
      p.disk.steps_left = step;
      ASSERT_EQ(p.run_incarnation(40), "") << step;
      ASSERT_EQ(p.run_incarnation(1), "") << "seed " << seed << ", cut before step " << step;
    }
  EXPECT_EQ(cuts, 960U);
}

TEST(Journal, TornTailIsNotDamageAtAnyByte) {
  Journal j("n0", {});
  std::string file;
  const auto keep = [&](std::optional<Commit> c) {
    for (; c; c = j.done(1s, c->id, true)) file += c->bytes;
  };
  keep(j.begin(0s, {}));
  const auto snapshot = file.size();
  for (int i = 0; i < 5; ++i) keep(j.put(Instant(i), "k" + std::to_string(i), "value")), keep(j.tick(1s));
  for (std::size_t cut = snapshot; cut <= file.size(); ++cut) {
    const auto r = recover({{file_name(1), file.substr(0, cut)}}, "n0");
    ASSERT_TRUE(r.damage.empty()) << cut;
    ASSERT_EQ(r.read, 1U);
    ASSERT_LE(r.state.size(), 5U);
    ASSERT_EQ(r.missing, 0U);
  }
  EXPECT_EQ(recover({{file_name(1), file}}, "n0").state.size(), 5U);
}

struct Written : ::testing::Test {
  void SetUp() override {
    Journal j("n0", {});
    for (auto c = j.begin(0s, {}); c; c = j.done(0s, c->id, true)) file += c->bytes;
    for (int i = 0; i < 3; ++i) {
      starts.push_back(file.size());
      j.put(0s, "key" + std::to_string(i), "value");
      for (auto c = j.tick(1s); c; c = j.done(1s, c->id, true)) file += c->bytes;
    }
  }
  std::string file;
  std::vector<std::size_t> starts;
};

TEST_F(Written, BadRecordInTheMiddleIsReportedAndTheOthersAreRead) {
  file[starts[1] + 30] ^= 1;
  const auto r = recover({{file_name(1), file}}, "n0");
  EXPECT_EQ(r.state.size(), 2U);
  EXPECT_EQ(r.missing, 1U);
  ASSERT_EQ(r.damage.size(), 1U);
  EXPECT_EQ(r.damage[0], (Damage{file_name(1), starts[1], std::to_string(starts[2] - starts[1]) + " bytes that are no record"}));
}

TEST_F(Written, AnotherNodesDiskIsNotRead) {
  const auto r = recover({{file_name(1), file}}, "n1");
  EXPECT_TRUE(r.state.empty());
  EXPECT_EQ(r.read, 0U);
  EXPECT_EQ(r.generation, 1U);  // and its file is not overwritten
  ASSERT_EQ(r.damage.size(), 1U);
  EXPECT_EQ(r.damage[0].what, "no record of this node");
}

TEST_F(Written, BlocksOfAnotherGenerationAreIgnored) {
  const auto r = recover({{file_name(2), file}}, "n0");
  EXPECT_TRUE(r.state.empty());
  const auto both = recover({{file_name(1), file}, {file_name(2), file.substr(0, 300)}}, "n0");
  EXPECT_EQ(both.state.size(), 3U);
  EXPECT_TRUE(both.older);
}

TEST_F(Written, OtherFilesInTheFolderAreIgnored) {
  const auto r = recover({{"journal-xyz", file}, {"core", "x"}, {file_name(1), file}, {"journal-0000000000000000", file}}, "n0");
  EXPECT_EQ(r.state.size(), 3U);
  EXPECT_EQ(r.generation, 1U);
}

TEST(Journal, FullDiskIsReportedAndRetriedAndNothingIsDurable) {
  FaultyDisk disk(1);
  Journal j("n0", {});
  Instant now{1s};
  const auto run = [&](std::optional<Commit> c) {
    std::size_t n = 0;
    for (; c; ++n) c = j.done(now, c->id, disk.perform(*c));
    return n;
  };
  disk.capacity = 10;
  EXPECT_EQ(run(j.begin(now, {})), 2U);  // retried once at once, then not before `again`
  EXPECT_TRUE(j.figures().broken);
  run(j.put(now, "k", "v"));
  EXPECT_EQ(run(j.tick(now + 4s)), 0U);
  EXPECT_EQ(j.durable(), 0U);
  disk.capacity = SIZE_MAX;
  now += 6s;
  EXPECT_EQ(run(j.tick(now)), 1U);
  EXPECT_FALSE(j.figures().broken);
  EXPECT_EQ(j.durable(), j.number());
  EXPECT_EQ(recover(disk.read(), "n0").state.at("k"), "v");
}

TEST(Journal, FileIsNotWrittenAfterAFailedSync) {
  FaultyDisk disk(1);
  Journal j("n0", {});
  for (auto c = j.begin(0s, {}); c; c = j.done(0s, c->id, disk.perform(*c))) continue;
  j.put(0s, "a", "1");
  auto c = j.tick(1s);
  ASSERT_TRUE(c && !c->create);
  disk.sync_fails = 1;
  const auto failed = c->file;
  c = j.done(1s, c->id, disk.perform(*c));
  ASSERT_TRUE(c && c->create);
  EXPECT_NE(c->file, failed);
  EXPECT_EQ(std::ranges::find(c->remove, failed), c->remove.end());  // it holds the earlier durable data
}

// Changes made during a commit are written together by the next one.
TEST(Journal, ConcurrentChangesAreOneCommit) {
  Journal j("n0", {.least_bytes = 1'000'000});
  auto c = j.begin(0s, {});
  for (int i = 0; i < 100; ++i) EXPECT_FALSE(j.put(Instant(i), "k" + std::to_string(i), "v"));
  EXPECT_FALSE(j.done(0s, c->id, true));
  c = j.tick(20ms);
  ASSERT_TRUE(c);
  EXPECT_FALSE(j.done(20ms, c->id, true));
  EXPECT_EQ(j.durable(), j.number());
  EXPECT_EQ(j.figures().commits, 2U);
}

TEST(Journal, FileSizesStayBoundedUnderEndlessChanges) {
  FaultyDisk disk(1);
  Journal j("n0", {.least_bytes = 4000});
  std::size_t most = 0, names = 0;
  Instant now{};
  const auto run = [&](std::optional<Commit> c) {
    for (; c; c = j.done(now, c->id, disk.perform(*c))) continue;
  };
  run(j.begin(now, {}));
  for (int i = 0; i < 5000; ++i) {
    now += 20ms;
    run(j.put(now, "k" + std::to_string(i % 7), std::to_string(i)));
    run(j.tick(now + 20ms));
    std::size_t bytes = 0;
    const auto files = disk.read();
    for (const auto& [name, text] : files) bytes += text.size();
    most = std::max(most, bytes), names = std::max(names, files.size());
  }
  EXPECT_LE(names, 2U);
  EXPECT_LT(most, 10'000U);
}

// ---- Real files -------------------------------------------------------------------------------------------------

struct RealDisk : ::testing::Test {
  void SetUp() override {
    auto name = (std::filesystem::temp_directory_path() / "docklift-journal-XXXXXX").string();
    folder = ::mkdtemp(name.data());
  }
  void TearDown() override { std::filesystem::remove_all(folder); }
  std::filesystem::path folder;
};

TEST_F(RealDisk, StateIsRecoveredByTheNextIncarnation) {
  for (int incarnation = 0; incarnation < 5; ++incarnation) {
    const auto found = recover(read_files(folder), "n0");
    ASSERT_TRUE(found.damage.empty());
    EXPECT_EQ(found.state.size(), incarnation == 0 ? 0U : 1U);
    EXPECT_TRUE(incarnation == 0 || found.state.at("life") == std::to_string(incarnation - 1));
    Journal j("n0", {});
    for (auto c = j.begin(0s, found); c; c = j.done(0s, c->id, perform(folder, *c))) continue;
    j.put(0s, "life", std::to_string(incarnation));
    for (auto c = j.tick(1s); c; c = j.done(1s, c->id, perform(folder, *c))) continue;
    EXPECT_EQ(j.durable(), j.number());
    EXPECT_LE(read_files(folder).size(), 2U);
  }
}

TEST_F(RealDisk, MissingFolderIsAnError) {
  Journal j("n0", {});
  const auto c = j.begin(0s, recover(read_files(folder / "none"), "n0"));
  ASSERT_TRUE(c);
  EXPECT_FALSE(perform(folder / "none", *c));
}

TEST_F(RealDisk, ExistingFileIsNotOverwritten) {
  std::ofstream(folder / file_name(1)) << "somebody's";
  EXPECT_FALSE(perform(folder, {.id = 1, .file = file_name(1), .create = true, .bytes = "x", .remove = {}}));
  EXPECT_EQ(read_files(folder).at(file_name(1)), "somebody's");
}

}  // namespace
}  // namespace docklift::journal
