#include <benchmark/benchmark.h>

#include "Common/log.h"
#include "Scheduling/offer_index.h"
#include "Unit/fleet_group.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using mango::test::fleet_group;

constexpr std::uint32_t workerMilliCores = 8000;

mango::job_graph longRunningJob(std::uint32_t tasks, std::uint32_t milliCores, std::uint32_t image)
{
    mango::job_graph graph = fleet_group::oneStep(tasks, milliCores);
    mango::job_step &step = graph.steps[0];
    step.longRunning = true;
    step.image = "service-" + std::to_string(image);
    step.tailLatencyTarget = milliseconds(200);
    step.perWorkerLimit = 1;
    return graph;
}

mango::job_graph bestEffortJob(std::uint32_t tasks, std::uint32_t milliCores, std::uint32_t image)
{
    mango::job_graph graph = fleet_group::oneStep(tasks, milliCores);
    graph.steps[0].bestEffort = true;
    graph.steps[0].checkpoints = true;
    graph.steps[0].image = "batch-" + std::to_string(image);
    return graph;
}

// Four steps, of which the second and the third run side by side.
mango::job_graph shortJob(std::uint32_t milliCores)
{
    mango::job_graph graph = fleet_group::oneStep(2, milliCores);
    graph.steps.resize(4, graph.steps[0]);
    graph.steps[1].dependsOn = {0};
    graph.steps[2].dependsOn = {0};
    graph.steps[3].dependsOn = {1, 2};
    return graph;
}

// A full service: long-running tasks on all workers, and jobs of all kinds that wait.
struct full_fleet : fleet_group
{
    explicit full_fleet(std::uint32_t workerCount)
        : fleet_group(3)
    {
        configure();
        workers.runDuration = seconds(3600);
        workers.reportedLoad = [](const mango::run_key &key) {
            return static_cast<std::uint32_t>(100 + key.task.index * 7 % 60);
        };
        for (std::uint32_t number = 0; number < workerCount; ++number) {
            const std::string id = "w" + std::to_string(number);
            workers.add(id, workerMilliCores).record.failureDomain = std::to_string(number % 5);
            announce(id);
        }
        run(milliseconds(500));
        std::uint64_t job = 1;
        for (std::uint32_t image = 0; image < 8; ++image) {
            submit(job++, longRunningJob(workerCount / 4, 2500, image));
        }
        run(seconds(2));
        for (std::uint32_t image = 0; image < 8; ++image) {
            submit(job++, bestEffortJob(workerCount / 10, 1500, image));
        }
        run(seconds(2));
        for (std::uint32_t number = 0; number < 100; ++number) {
            submit(job++, longRunningJob(3, 2000 + number % 5 * 400, number % 8));
            submit(job++, bestEffortJob(4, 1000 + number % 5 * 400, number % 8));
            submit(job++, shortJob(1000 + number % 5 * 400));
        }
        run(seconds(2));
    }
};

// Measures one second of simulated time of a full service with the given number of workers. Most of
// it is spent on scheduling rounds and on reports of workers.
void playRounds(benchmark::State &state)
{
    mango::startLogging("error");
    full_fleet fleet(static_cast<std::uint32_t>(state.range(0)));
    for (auto second : state) {
        fleet.run(seconds(1));
    }
    state.counters["starts"] = static_cast<double>(fleet.workers.starts.size());
}

// Measures one second of simulated time in which many short tasks start and end.
void playTurnover(benchmark::State &state)
{
    mango::startLogging("error");
    full_fleet fleet(static_cast<std::uint32_t>(state.range(0)));
    fleet.workers.runDuration = milliseconds(300);
    std::uint64_t job = 10'000;
    for (auto second : state) {
        for (int number = 0; number < 20; ++number) {
            mango::job_graph graph = fleet_group::oneStep(25, 250);
            graph.steps.resize(3, graph.steps[0]);
            graph.steps[1].dependsOn = {0};
            graph.steps[2].dependsOn = {1};
            fleet.submit(job++, graph);
        }
        fleet.run(milliseconds(600));
    }
    state.counters["starts"] = static_cast<double>(fleet.workers.starts.size());
}

// Offers of workers with a long-running task each, without a service around them.
struct plain_fleet
{
    plain_fleet(std::size_t count, bool isFull)
        : records(count)
        , offers(count)
    {
        for (std::size_t at = 0; at < count; ++at) {
            records[at].incarnation.id = "w" + std::to_string(at);
            records[at].service = "desk";
            records[at].capacity = {workerMilliCores, 8000, 0};
            offers[at].record = &records[at];
            const auto inUse = static_cast<std::uint32_t>(isFull ? workerMilliCores - 200
                                                                 : 2500 + at * 37 % 4000);
            offers[at].used = {inUse, 1000, 0};
            offers[at].longRunningMilliCores = 2500;
        }
    }

    std::vector<mango::worker_record> records;
    std::vector<mango::worker_offer> offers;
};

// Measures the choice of a worker for one task that is the only one of its step: from an index, or
// by a look at all offers. On a full service it finds none.
void chooseForOneTask(benchmark::State &state)
{
    plain_fleet fleet(static_cast<std::size_t>(state.range(0)), state.range(1) != 0);
    const bool isIndexed = state.range(2) != 0;
    const std::string service = "desk";
    const mango::interference_model model;
    const std::map<mango::worker_incarnation, std::uint32_t> runsPerWorker;
    const std::map<std::string, std::uint32_t> runsPerDomain;
    mango::job_step step;
    step.resources = {250, 100, 0};
    const mango::placement_request request{
            &step, &service, &runsPerWorker, &runsPerDomain, nullptr, &model, 1};
    mango::offer_index index;
    for (auto task : state) {
        const mango::offer_choice choice =
                isIndexed ? mango::chooseIndexed(index, fleet.offers, request)
                          : mango::chooseOffer(fleet.offers, request);
        benchmark::DoNotOptimize(choice.index);
        if (choice.index >= 0) {
            // A run ends where the task starts, so that the service stays as full as it is.
            const auto at = static_cast<std::size_t>(choice.index);
            std::swap(fleet.offers[at].used, fleet.offers[(at * 7 + 1) % fleet.offers.size()].used);
            mango::noteOfferChange(index, at);
            mango::noteOfferChange(index, (at * 7 + 1) % fleet.offers.size());
        }
    }
}

} // namespace

BENCHMARK(chooseForOneTask)
        ->ArgNames({"workers", "full", "indexed"})
        ->ArgsProduct({{350, 1800, 5000}, {0, 1}, {0, 1}});
BENCHMARK(playTurnover)->Arg(350)->Arg(1800)->Iterations(5)->Unit(benchmark::kMillisecond);
BENCHMARK(playRounds)->Arg(90)->Arg(350)->Iterations(5)->Unit(benchmark::kMillisecond);

BENCHMARK_MAIN();
