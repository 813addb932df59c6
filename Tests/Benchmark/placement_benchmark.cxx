#include <benchmark/benchmark.h>

#include "Scheduling/placement.h"

namespace {

// A placement decision among so many workers, each running 34 tasks, beside the other policies.
void choosePlacement(benchmark::State &state, mango::placement_policy policy)
{
    const auto workers = static_cast<std::uint64_t>(state.range(0));
    mango::seeded_random random(1);
    mango::placement_index index;
    for (std::uint64_t number = 0; number < workers; ++number) {
        mango::worker_availability room;
        room.name = "worker-" + std::to_string(number);
        room.rack = "rack-" + std::to_string(number / 8);
        room.failureDomain = "domain-" + std::to_string(number % 7);
        room.totalCores = 32;
        room.free = {double(random.below(32)), random.below(125) << 30U, 0,
                     static_cast<std::uint32_t>(random.below(8))};
        room.tasks = 34;
        index.update(room);
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
