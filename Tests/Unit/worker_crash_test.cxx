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

} // namespace mango::test
