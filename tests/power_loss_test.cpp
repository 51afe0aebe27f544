// All processes of a fleet lose their power at once: they are killed, and of their disks what was never synced is taken away. docs/design/recovery.md.
#include "fleet_fixture.hpp"

#include <cstdio>
#include <fstream>

namespace docklift::faults {
namespace {

struct PowerLoss : FleetProcesses {
  std::string stage(std::size_t i) { return part(i, "stage").value("name", ""); }
  bool all(const std::string& name) {
    for (std::size_t i = 0; i < fleet->size(); ++i)
      if (fleet->up(i) && stage(i) != name) return false;
    return true;
  }
  std::uint64_t of_counts(std::size_t i, const char* figure) { return part(i, "counts").value(figure, std::uint64_t{0}); }
  void power_cut(bool store_too) {
    for (const auto& l : loads) l->node_is(false), l->killed();
    fleet->power_cut(store_too);
  }
  void power_back(const std::vector<std::size_t>& who) {
    for (const auto i : who) {
      fleet->start(i);
      if (i < loads.size()) loads[i]->node_is(true);
    }
  }
  // Premium members have been served by all, and their counts are open.
  void serve_members() {
    ASSERT_TRUE(until([&] { return all("full"); })) << states();
    for (std::size_t i = 0; i < fleet->size(); ++i) load(i, 60, kPremium);
    ASSERT_TRUE(until([&] { return figures.served > 150; })) << states();
  }
};

TEST_F(PowerLoss, AllComeBackWithCopiesAndNoStartIsUsedTwice) {
  begin({.nodes = 4, .disks = true}, 4);
  serve_members();
  std::vector<std::uint64_t> starts;
  for (std::size_t i = 0; i < 4; ++i) starts.push_back(fleet->fleet(i)["self"]["start"]);
  power_cut(false);
  for (std::size_t i = 0; i < 4; ++i) fleet->process(i).shift_clock(-3'600'000);  // their clocks have lost an hour, too
  power_back({0, 1, 2, 3});
  EXPECT_TRUE(until([&] { return all("full") && fleet->converged(); })) << states();
  for (std::size_t i = 0; i < 4; ++i) {
    EXPECT_GT(fleet->fleet(i)["self"]["start"].get<std::uint64_t>(), starts[i]);
    EXPECT_EQ(of_counts(i, "fallen_back"), 0U) << states();  // what was passed is known to all
  }
  const auto served = figures.served;
  EXPECT_TRUE(until([&] { return figures.served > served + 150; })) << states();
  EXPECT_TRUE(end_loads());
  EXPECT_EQ(figures.unanswered, 0U) << (figures.faults.empty() ? "" : figures.faults[0]);
}

// Nobody is left who has added anything: only the disks know what the store should have.
TEST_F(PowerLoss, AStoreThatComesBackEmptyIsFoundOutByWhatTheDisksKnow) {
  begin({.nodes = 3, .disks = true}, 3);
  serve_members();
  power_cut(true);
  power_back({0, 1, 2});
  EXPECT_TRUE(until([&] { return all("full"); })) << states();
  EXPECT_TRUE(until([&] {
    std::size_t seen = 0;
    for (std::size_t i = 0; i < 3; ++i) seen += of_counts(i, "epoch") >= 1 ? 1 : 0;
    return seen == 3;
  })) << states();
  const auto served = figures.served;
  EXPECT_TRUE(until([&] { return figures.served > served + 150; })) << states();
  EXPECT_TRUE(end_loads());
  EXPECT_EQ(figures.unanswered, 0U);
}

// Its list never says it again: the drain is on the disks alone.
TEST_F(PowerLoss, ADrainThatWasHeardBeforeIsHeldAfterwards) {
  begin({.nodes = 3, .disks = true}, 3);
  ASSERT_TRUE(until([&] { return all("full") && fleet->ready(0) && fleet->ready(1) && fleet->ready(2); })) << states();
  for (std::size_t i = 1; i < 3; ++i) fleet->discovery(i).silence(true);
  fleet->platform().drain(1);
  ASSERT_TRUE(until([&] { return part(1, "drains").value("held", 0) == 1 && part(2, "drains").value("held", 0) == 1; })) << states();
  const auto digest = [&](std::size_t i) { return fleet->fleet(i)["stage"]["durable"].get<bool>(); };
  ASSERT_TRUE(until([&] { return digest(1) && digest(2); })) << states();
  power_cut(false);
  power_back({1, 2});  // the one whose list had said so stays away
  ASSERT_TRUE(until([&] { return fleet->ready(1) && fleet->ready(2); })) << states();
  const auto before = fleet->platform().came_to(1);
  for (std::size_t i = 1; i < 3; ++i) {
    EXPECT_EQ(part(i, "drains").value("held", 0), 1) << states();
    load(i, 60);
  }
  EXPECT_TRUE(until([&] { return figures.served > 150; })) << states();
  EXPECT_EQ(fleet->platform().came_to(1), before);
  EXPECT_TRUE(end_loads());
}

// What it passed nobody else can know for sure: windows that had begun stay shut, and then all is as usual.
TEST_F(PowerLoss, OneThatNeverReturnsHoldsUpTheOthersForAStatedTimeOnly) {
  begin({.nodes = 4, .disks = true, .state = "verify_limit = \"500ms\"\n"}, 4);
  serve_members();
  power_cut(true);
  power_back({0, 1, 2});
  EXPECT_TRUE(until([&] { return all("full"); })) << states();
  for (std::size_t i = 0; i < 3; ++i) EXPECT_GE(of_counts(i, "fallen_back"), 1U) << states();
  const auto served = figures.served;
  EXPECT_TRUE(until([&] { return figures.served > served + 100; })) << states();
  EXPECT_TRUE(end_loads());
  EXPECT_EQ(figures.unanswered, 0U);
}

TEST_F(PowerLoss, PowerThatGoesAgainInTheMiddleBeginsAnew) {
  begin({.nodes = 3, .disks = true, .state = "verify_limit = \"20s\"\n"}, 3);
  serve_members();
  power_cut(true);
  for (int n = 0; n < 3; ++n) {
    power_back({0, 1});  // without the third they wait
    ASSERT_TRUE(until([&] { return stage(0) == "unmetered" && stage(1) == "unmetered"; })) << states();
    power_cut(false);
  }
  power_back({0, 1, 2});
  EXPECT_TRUE(until([&] { return all("full") && fleet->converged(); })) << states();
  for (std::size_t i = 0; i < 3; ++i) EXPECT_EQ(of_counts(i, "fallen_back"), 0U) << states();
  const auto served = figures.served;
  EXPECT_TRUE(until([&] { return figures.served > served + 100; })) << states();
  EXPECT_TRUE(end_loads());
}

std::pair<int, std::string> command(const std::string& words) {
  const auto line = std::string(DOCKLIFT) + " " + words + " 2>&1";
  FILE* out = ::popen(line.c_str(), "r");
  std::string text;
  std::array<char, 4096> space{};
  for (std::size_t n = 0; (n = ::fread(space.data(), 1, space.size(), out)) > 0;) text.append(space.data(), n);
  const int status = ::pclose(out);
  return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, text};
}

TEST_F(PowerLoss, WhatADiskSaysCanBeLookedAtAndDamageIsNamed) {
  begin({.nodes = 3, .disks = true}, 3);
  serve_members();
  const auto life = fleet->fleet(1)["self"]["start"].get<std::uint64_t>();
  power_cut(false);
  const auto folder = fleet->process(1).state_folder();
  const auto [good, text] = command("state verify " + folder.string());
  EXPECT_EQ(good, 0) << text;
  EXPECT_NE(text.find("node     n1, last start " + std::to_string(life)), std::string::npos) << text;
  EXPECT_NE(text.find("1 of them without a last word"), std::string::npos) << text;
  EXPECT_EQ(command("state show --node n2 " + folder.string()).first, 66);
  const auto newest = fleet->process(1).damage_state();
  ASSERT_FALSE(newest.empty());
  const auto [bad, named] = command("state verify " + folder.string());
  EXPECT_EQ(bad, 1) << named;
  EXPECT_NE(named.find("DAMAGE   " + newest.filename().string()), std::string::npos) << named;
  // A node with such a disk serves; what it passed nobody vouches for.
  power_back({0, 1, 2});
  EXPECT_TRUE(until([&] { return all("full") && fleet->converged(); })) << states();
  EXPECT_GE(of_counts(1, "fallen_back"), 1U) << states();
  EXPECT_TRUE(end_loads());
}

TEST_F(PowerLoss, ADiskOfAnotherNodeIsNoMemory) {
  begin({.nodes = 3, .disks = true, .state = "verify_limit = \"500ms\"\n"}, 3);
  ASSERT_TRUE(until([&] { return all("full"); })) << states();
  power_cut(false);
  const auto spare = fleet->process(0).state_folder().string() + ".spare";
  std::filesystem::rename(fleet->process(0).state_folder(), spare);
  std::filesystem::rename(fleet->process(1).state_folder(), fleet->process(0).state_folder());
  std::filesystem::rename(spare, fleet->process(1).state_folder());
  power_back({0, 1, 2});
  EXPECT_TRUE(until([&] { return all("full") && fleet->converged(); })) << states();
  EXPECT_NE(fleet->process(0).log().find("the disk knows nothing of this node"), std::string::npos) << states();
  // Both went on as names that nobody could vouch for.
  EXPECT_GE(of_counts(2, "fallen_back"), 1U) << states();
}

TEST_F(PowerLoss, ANodeWhoseDiskRefusesServesAndSaysSo) {
  fleet = std::make_unique<ProcessFleet>(loop.io, FleetOptions{.nodes = 3, .disks = true});
  std::ofstream(fleet->process(0).state_folder()) << "no folder";
  for (std::size_t i = 0; i < 3; ++i) fleet->start(i);
  EXPECT_TRUE(until([&] { return all("full") && fleet->converged(); })) << states();
  EXPECT_EQ(part(0, "stage").value("disk", ""), "refuses");
  EXPECT_EQ(part(1, "stage").value("disk", ""), "good");
  load(0, 60, kPremium);
  EXPECT_TRUE(until([&] { return figures.served > 100; })) << states();
  EXPECT_LE(part(0, "stage").value("waiting", 1000), 1) << states();  // nothing piles up for a disk that takes nothing
  EXPECT_TRUE(end_loads());
}

// The successor takes up the disk when its predecessor has left it.
TEST_F(PowerLoss, AnUpgradeHandsTheDiskOver) {
  begin({.nodes = 3, .disks = true}, 3);
  serve_members();
  const auto first = fleet->fleet(2)["self"]["life"].get<std::string>();
  EXPECT_TRUE(fleet->upgrade(2, 20s)) << states();
  EXPECT_TRUE(until([&] { return stage(2) == "full" && fleet->converged(); })) << states();
  EXPECT_NE(fleet->fleet(2)["self"]["life"].get<std::string>(), first);
  EXPECT_EQ(of_counts(2, "fallen_back"), 0U) << states();
  const auto served = figures.served;
  EXPECT_TRUE(until([&] { return figures.served > served + 100; })) << states();
  EXPECT_TRUE(end_loads());
  EXPECT_EQ(figures.unanswered, 0U);
}

}  // namespace
}  // namespace docklift::faults
