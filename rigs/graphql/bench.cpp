// build/rigs/graphql_bench [--short] and Google Benchmark's own flags
//
// Microseconds and allocations from a query's text to its cost (parse, validate, cost), for a small, a usual and a large one,
// of usual shape: nested lists, aliases, variables, fragments. The last line is one JSON object; exit 0 if all were valid.
#include <benchmark/benchmark.h>

#include <cstdlib>
#include <iostream>
#include <map>
#include <new>
#include <nlohmann/json.hpp>

#include "graphql/cost.hpp"
#include "graphql/validate.hpp"
#include "members.hpp"

namespace {
std::uint64_t allocations = 0;  // counted below, by the program's own operator new
}
void* operator new(std::size_t size) {
  ++allocations;
  if (void* at = std::malloc(size == 0 ? 1 : size)) return at;
  throw std::bad_alloc();
}
void operator delete(void* at) noexcept { std::free(at); }
void operator delete(void* at, std::size_t) noexcept { std::free(at); }

namespace {

using namespace docklift::graphql;

// As clients write them: some blocks of fields, each with what hangs below it, and a fragment they share.
std::string query(std::size_t bytes) {
  std::string text = "query Evening($n: Int!) {\n  terminals(first: $n) { ...Short }\n";
  const std::string tail = "}\nfragment Short on Terminal { id name }\n";
  for (int i = 0; text.size() + tail.size() + 80 < bytes; ++i) {
    text += "  hall" + std::to_string(i) + ": terminals(first: 3) {\n    id\n    name\n    gates(first: 4) {\n      name\n      level\n";
    const auto block = text.size() + 330;
    for (int k = 0; text.size() < block && text.size() + tail.size() + 100 < bytes; ++k)
      text += "      to" + std::to_string(k) + ": route(to: \"" + std::to_string(k) +
              "\") { metres steps(first: 5) { text } }\n";
    text += bytes < 1'000 ? "    }\n  }\n" : "    }\n    map { id ...Drawing }\n  }\n";
  }
  std::string plan = "fragment Drawing on Plan { name drawing }\n";
  return text + tail + (text.find("...Drawing") == std::string::npos ? "" : plan);
}

const Schema& schema() {
  static const Schema s = [] {
    std::vector<Error> errors;
    auto read = Schema::read(docklift::standins::members_schema(), errors);
    return std::move(*read);
  }();
  return s;
}

std::string why;  // a query is not valid

void text_to_cost(benchmark::State& state, const std::string& text) {
  const Variables variables{{"n", {ValueKind::integer, "20", {}, {}}}};
  const Limits limits{.aliases = 2'000};
  std::uint64_t used = 0, times = 0;
  for (auto _ : state) {
    const auto before = allocations;
    const auto d = Document::executable(text, limits);
    const auto errors = d.good() ? validate(schema(), d) : d.errors();
    const auto cost = errors.empty() ? cost_of(schema(), d, d.operations()[0], variables) : Cost{0, 0, errors};
    if (!cost.errors.empty()) why = cost.errors[0].message;
    benchmark::DoNotOptimize(cost.type);
    used += allocations - before, ++times;
  }
  state.counters["bytes"] = static_cast<double>(text.size());
  state.counters["allocations"] = static_cast<double>(used) / static_cast<double>(std::max<std::uint64_t>(1, times));
}

class Keeping : public benchmark::ConsoleReporter {
 public:
  Keeping() : ConsoleReporter(OO_Tabular) {}
  void ReportRuns(const std::vector<Run>& runs) override {
    for (const auto& r : runs) {
      auto& one = seen[r.benchmark_name()];
      one["us"] = r.GetAdjustedCPUTime() / 1000;
      for (const auto& [name, n] : r.counters) one[name] = n.value;
    }
    ConsoleReporter::ReportRuns(runs);
  }
  std::map<std::string, nlohmann::json> seen;
};

}  // namespace

int main(int argc, char** argv) {
  std::vector<char*> words;
  std::string quick = "--benchmark_min_time=0.5";
  for (int i = 0; i < argc; ++i) {
    if (std::string(argv[i]) == "--short")
      quick = "--benchmark_min_time=0.1";
    else
      words.push_back(argv[i]);
  }
  words.insert(words.begin() + 1, quick.data());
  int count = static_cast<int>(words.size());
  words.push_back(nullptr);
  for (const auto& [name, bytes] : {std::pair{"small", 200}, {"usual", 2'000}, {"large", 64'000}})
    benchmark::RegisterBenchmark(name, text_to_cost, query(static_cast<std::size_t>(bytes)));
  benchmark::Initialize(&count, words.data());
  Keeping reporter;
  benchmark::RunSpecifiedBenchmarks(&reporter);
  nlohmann::json out(reporter.seen);
  out["valid"] = why.empty();
  if (!why.empty()) out["why"] = why;
  std::cout << out.dump() << std::endl;
  return why.empty() ? 0 : 1;
}
