#include <gtest/gtest.h>

#include "Unit/fleet_group.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t crashingJob = 7;
// The platform allows two starts after the third crash under a task.
constexpr std::size_t startBudget = 5;

// Eight workers of 8 cores, which sound jobs of two tasks keep busy. The only task of one job
// crashes the workers that start it.
struct crash_fleet : fleet_group
{
    explicit crash_fleet(std::uint64_t firstSoundJob = 100)
        : fleet_group(3)
        , nextJob(firstSoundJob)
    {
        for (int number = 0; number < 8; ++number) {
            const std::string id = "w" + std::to_string(number);
            workers.add(id, 8'000);
            announce(id);
        }
        configure();
        run(milliseconds(200));
        workers.crashesWorker = [](const task_key &task) {
            return task.job == crashingJob;
        };
        workers.durationOf = [](const run_key &key) {
            return milliseconds(500 + key.task.job * 97 % 400);
        };
        runBesideSoundJobs(seconds(2));
    }

    // Submits a sound job every 100 ms.
    void runBesideSoundJobs(milliseconds span)
    {
        constexpr auto interval = milliseconds(100);
        for (milliseconds passed{0}; passed < span; passed += interval) {
            submit(nextJob++, oneStep(2));
            run(interval);
        }
    }

    [[nodiscard]] std::size_t startsOf(std::uint64_t job) const
    {
        return static_cast<std::size_t>(std::count_if(workers.starts.begin(), workers.starts.end(),
                                                      [job](const recorded_start &start) {
                                                          return start.key.task.job == job;
                                                      }));
    }

    std::uint64_t nextJob;
};

} // namespace

// A task whose runs all ended with their workers was started again without a limit.
TEST(worker_crashes, crashingTaskTakesDownWorkerAfterWorker)
{
    crash_fleet fleet;
    fleet.submit(crashingJob, fleet_group::oneStep(1));
    fleet.runBesideSoundJobs(seconds(40));
    EXPECT_LE(fleet.startsOf(crashingJob), startBudget);
    EXPECT_EQ(fleet.phase(crashingJob), job_phase::failed);
}

// The same with copies: the workers are silent before they are known to have crashed.
TEST(worker_crashes, copiesOfACrashingTaskTakeDownWorkerAfterWorker)
{
    crash_fleet fleet;
    job_graph graph = fleet_group::oneStep(1);
    graph.steps[0].allowsSpeculativeCopies = true;
    fleet.submit(crashingJob, graph);
    fleet.runBesideSoundJobs(seconds(40));
    EXPECT_LE(fleet.startsOf(crashingJob), startBudget);
    EXPECT_EQ(fleet.phase(crashingJob), job_phase::failed);
}

// The count was to outlive leaders: the leader's process is killed after each crash.
TEST(worker_crashes, newLeadersBeginToCountCrashesAnew)
{
    crash_fleet fleet;
    fleet.submit(crashingJob, fleet_group::oneStep(1));
    std::size_t seen = 0;
    for (int step = 0; step < 60; ++step) {
        fleet.run(seconds(1));
        const int leader = fleet.leader();
        if (fleet.workers.crashes.size() > seen && leader >= 0) {
            seen = fleet.workers.crashes.size();
            fleet.crash(static_cast<std::size_t>(leader));
            fleet.run(milliseconds(500));
            fleet.start(static_cast<std::size_t>(leader), false);
        }
    }
    EXPECT_LE(fleet.startsOf(crashingJob), startBudget);
    EXPECT_EQ(fleet.phase(crashingJob), job_phase::failed);
}

// The same when all processes lose power after each crash.
TEST(worker_crashes, lossOfPowerResetsTheCountOfCrashes)
{
    crash_fleet fleet;
    fleet.submit(crashingJob, fleet_group::oneStep(1));
    std::size_t seen = 0;
    for (int step = 0; step < 60; ++step) {
        fleet.run(seconds(1));
        if (fleet.workers.crashes.size() > seen) {
            seen = fleet.workers.crashes.size();
            for (std::size_t number = 0; number < 3; ++number) {
                fleet.crash(number);
            }
            for (std::size_t number = 0; number < 3; ++number) {
                fleet.start(number, false);
            }
            fleet.run(seconds(2));
        }
    }
    EXPECT_LE(fleet.startsOf(crashingJob), startBudget);
    EXPECT_EQ(fleet.phase(crashingJob), job_phase::failed);
}

// The workers come back only after the leader has given up their runs as silent.
TEST(worker_crashes, crashesThatAreKnownLateCountForNothing)
{
    crash_fleet fleet;
    fleet.workers.downTime = seconds(8);
    fleet.submit(crashingJob, fleet_group::oneStep(1));
    fleet.runBesideSoundJobs(seconds(60));
    EXPECT_LE(fleet.startsOf(crashingJob), startBudget);
    EXPECT_EQ(fleet.phase(crashingJob), job_phase::failed);
}

// A worker that is cut off and comes back as the same process has not crashed.
TEST(worker_crashes, silenceOfWorkersEndsASoundJob)
{
    crash_fleet fleet;
    fleet.workers.durationOf = nullptr;
    fleet.workers.runDuration = seconds(60);
    fleet.submit(8, fleet_group::oneStep(1));
    fleet.run(milliseconds(200));
    for (int time = 0; time < 8; ++time) {
        const std::string worker = fleet.workers.starts.back().worker;
        fleet.workers.at(worker).unreachable = true;
        fleet.run(seconds(7));
        fleet.workers.at(worker).unreachable = false;
        fleet.run(seconds(2));
    }
    EXPECT_GE(fleet.startsOf(8), 8U);
    EXPECT_EQ(fleet.phase(8), job_phase::running);
}

// A draining worker that ends takes its runs with it, as planned.
TEST(worker_crashes, plannedEndsOfWorkersEndASoundJob)
{
    crash_fleet fleet;
    fleet.workers.durationOf = nullptr;
    fleet.workers.runDuration = seconds(60);
    fleet.submit(8, fleet_group::oneStep(1));
    fleet.run(milliseconds(200));
    for (int time = 0; time < 8; ++time) {
        const std::string worker = fleet.workers.starts.back().worker;
        fleet.workers.at(worker).record.draining = true;
        fleet.announce(worker);
        fleet.run(milliseconds(300));
        fleet.workers.crash(worker);
        fleet.workers.at(worker).record.draining = false;
        fleet.run(seconds(4));
    }
    EXPECT_GE(fleet.startsOf(8), 8U);
    EXPECT_EQ(fleet.phase(8), job_phase::running);
}

// Half of the workers crash at the same time, three times.
TEST(worker_crashes, crashesOfManyWorkersEndSoundJobs)
{
    crash_fleet fleet;
    const std::uint64_t first = fleet.nextJob;
    for (int time = 0; time < 3; ++time) {
        fleet.runBesideSoundJobs(seconds(3));
        std::vector<std::string> crashing;
        for (const recorded_start &start : fleet.workers.starts) {
            crashing.push_back(start.worker);
        }
        std::sort(crashing.begin(), crashing.end());
        crashing.erase(std::unique(crashing.begin(), crashing.end()), crashing.end());
        std::erase_if(crashing, [&fleet](const std::string &id) {
            return !fleet.workers.exists(id) || id[1] % 2 == 0;
        });
        for (const std::string &id : crashing) {
            fleet.workers.crash(id);
        }
    }
    fleet.run(seconds(20));
    for (std::uint64_t job = first; job < fleet.nextJob; ++job) {
        EXPECT_EQ(fleet.phase(job), job_phase::completed) << job;
    }
}

} // namespace mango::test
