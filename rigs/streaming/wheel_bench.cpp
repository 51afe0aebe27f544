// Limits of time that move with every read and write: the timing wheel against an ordered map (as the node's other timers are kept)
// and a heap whose dead entries are passed over. For each of N streams a limit some seconds ahead; per step one moves, and the time
// goes on. build/rigs/wheel_bench [--short]
#include <benchmark/benchmark.h>

#include <cstring>
#include <map>
#include <queue>
#include <random>
#include <vector>

#include "stream/wheel.hpp"

namespace {

constexpr std::uint64_t kAhead = 1000, kStepsPerTick = 64;

struct WheelTimers {
  docklift::stream::Wheel wheel;
  std::uint64_t fired = 0;
  explicit WheelTimers(std::uint32_t) {}
  void set(std::uint32_t id, std::uint64_t when) { wheel.set(id, when); }
  void advance(std::uint64_t to) {
    wheel.advance(to, [&](std::uint32_t) { ++fired; });
  }
};

struct MapTimers {
  std::multimap<std::uint64_t, std::uint32_t> queue;
  std::vector<std::multimap<std::uint64_t, std::uint32_t>::iterator> at;
  std::uint64_t fired = 0;
  explicit MapTimers(std::uint32_t n) : at(n, queue.end()) {}
  void set(std::uint32_t id, std::uint64_t when) {
    if (at[id] != queue.end()) queue.erase(at[id]);
    at[id] = queue.emplace(when, id);
  }
  void advance(std::uint64_t to) {
    while (!queue.empty() && queue.begin()->first <= to) {
      at[queue.begin()->second] = queue.end();
      queue.erase(queue.begin());
      ++fired;
    }
  }
};

struct HeapTimers {
  using Entry = std::pair<std::uint64_t, std::uint32_t>;
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> heap;
  std::vector<std::uint64_t> when;
  std::uint64_t fired = 0;
  explicit HeapTimers(std::uint32_t n) : when(n, 0) {}
  void set(std::uint32_t id, std::uint64_t w) {
    when[id] = w;
    heap.emplace(w, id);
  }
  void advance(std::uint64_t to) {
    while (!heap.empty() && heap.top().first <= to) {
      const auto [w, id] = heap.top();
      heap.pop();
      if (when[id] == w) ++fired, when[id] = 0;
    }
  }
};

template <class Timers>
void moves(benchmark::State& state) {
  const auto n = static_cast<std::uint32_t>(state.range(0));
  Timers timers(n);
  std::mt19937 random(1);
  std::uint64_t now = 1, steps = 0;
  for (std::uint32_t id = 0; id < n; ++id) timers.set(id, now + kAhead + random() % kAhead);
  for (auto _ : state) {
    timers.set(static_cast<std::uint32_t>(random() % n), now + kAhead);
    if (++steps % kStepsPerTick == 0) timers.advance(++now);
  }
  benchmark::DoNotOptimize(timers.fired);
}

BENCHMARK(moves<WheelTimers>)->Arg(100)->Arg(1000)->Arg(100'000);
BENCHMARK(moves<MapTimers>)->Arg(100)->Arg(1000)->Arg(100'000);
BENCHMARK(moves<HeapTimers>)->Arg(100)->Arg(1000)->Arg(100'000);

}  // namespace

int main(int argc, char** argv) {
  std::vector<char*> words(argv, argv + argc);
  char least[] = "--benchmark_min_time=0.05";
  for (auto& w : words)
    if (std::strcmp(w, "--short") == 0) w = least;
  int count = static_cast<int>(words.size());
  benchmark::Initialize(&count, words.data());
  if (benchmark::ReportUnrecognizedArguments(count, words.data())) return 1;
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
