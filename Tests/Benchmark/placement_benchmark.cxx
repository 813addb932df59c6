#include <benchmark/benchmark.h>

#include "Scheduling/placement.h"

namespace {

// Measures one placement decision among the given number of workers with 34 tasks each.
void choosePlacement(benchmark::State &state, mango::placement_policy policy)
{
    const auto workers = static_cast<std::uint64_t>(state.range(0));
    mango::seeded_random random(1);
    mango::placement_index index;
    for (std::uint64_t number = 0; number < workers; ++number) {
        mango::worker_availability worker;
        worker.name = "worker-" + std::to_string(number);
        worker.rack = "rack-" + std::to_string(number / 8);
        worker.failureDomain = "domain-" + std::to_string(number % 7);
        worker.totalCores = 32;
        worker.free = {double(random.below(32)), random.below(125) << 30U, 0,
                       static_cast<std::uint32_t>(random.below(8))};
        worker.tasks = 34;
        index.update(worker);
    }
    std::uint64_t examined = 0;
    for (auto round : state) {
        const auto chosen = index.choose({2, 4ULL << 30U, 0, 1}, {}, policy, random,
                                         [](const mango::worker_availability &) {
                                             return true;
                                         });
        benchmark::DoNotOptimize(chosen);
        examined += index.lastExamined();
    }
    state.counters["examined"] =
            benchmark::Counter(double(examined), benchmark::Counter::kAvgIterations);
}

} // namespace

BENCHMARK_CAPTURE(choosePlacement, scored, mango::placement_policy::scored)
        ->Arg(65)
        ->Arg(140)
        ->Arg(280)
        ->Arg(560)
        ->Arg(1120);
BENCHMARK_CAPTURE(choosePlacement, random, mango::placement_policy::random)->Arg(560);
BENCHMARK_CAPTURE(choosePlacement, leastLoaded, mango::placement_policy::leastLoaded)->Arg(560);

BENCHMARK_MAIN();
