#include <cstdlib>
#include <numeric>

#include "Common/random_source.h"
#include "Unit/crash_fleet.h"

namespace mango::test {

// A crash 10 s after the start or later reset what was known of its task, which was then started
// for ever.
TEST(worker_crashes, taskThatCrashesWorkersLateIsStartedForEver)
{
    for (const milliseconds delay :
         {milliseconds(700), milliseconds(3000), milliseconds(12'000), milliseconds(60'000)}) {
        crash_fleet fleet;
        fleet.workers.crashDelay = delay;
        fleet.workers.durationOf = [delay](const run_key &key) {
            return key.task.job == crashingJob ? delay + seconds(2)
                                               : milliseconds(500 + key.task.job * 97 % 400);
        };
        fleet.submit(crashingJob, fleet_group::oneStep(1));
        const std::uint64_t firstBeside = fleet.nextJob;
        fleet.runBesideSoundJobs(6 * (delay + seconds(5)), seconds(1));
        expectGivenUpWithinBudget(fleet);
        fleet.run(seconds(5));
        for (std::uint64_t job = firstBeside; job < fleet.nextJob; ++job) {
            EXPECT_EQ(fleet.phase(job), job_phase::completed) << delay.count() << " job " << job;
        }
    }
}

// The same beside leaders that change after each crash.
TEST(worker_crashes, newLeadersForgetLateCrashes)
{
    crash_fleet fleet;
    fleet.workers.crashDelay = seconds(12);
    fleet.workers.durationOf = [](const run_key &key) {
        return key.task.job == crashingJob ? milliseconds(14'000) : milliseconds(700);
    };
    fleet.submit(crashingJob, fleet_group::oneStep(1));
    runWithNewLeaders(fleet, seconds(120));
    expectGivenUpWithinBudget(fleet);
}

// One worker crashes under a task. The next one is cut off, completes the run behind the cut, and
// crashes then: only one worker has crashed under the task, and its job failed.
TEST(worker_crashes, crashAfterTheEndOfARunEndsItsJob)
{
    crash_fleet fleet;
    constexpr std::uint64_t soundJob = 8;
    fleet.workers.crashesWorker = nullptr;
    fleet.workers.durationOf = [](const run_key &) {
        return milliseconds(1500);
    };
    fleet.submit(soundJob, fleet_group::oneStep(1));
    fleet.run(milliseconds(100));
    fleet.workers.crash(fleet.workers.starts.back().worker);
    while (fleet.startsOf(soundJob) < 2) {
        fleet.run(milliseconds(10));
    }
    const std::string second = fleet.workers.starts.back().worker;
    fleet.run(milliseconds(30));
    fleet.workers.at(second).unreachable = true;
    fleet.run(seconds(3));
    EXPECT_TRUE(fleet.workers.at(second).running.empty());
    fleet.workers.downTime = milliseconds(500);
    fleet.workers.crash(second);
    EXPECT_TRUE(fleet.workers.crashes.back().runs.empty());
    fleet.run(seconds(15));
    EXPECT_EQ(fleet.phase(soundJob), job_phase::completed);
}

// A task that crashes its workers at a drawn time after each start, beside sound jobs, ordinary
// crashes and changes of the leader.
TEST(worker_crashes, randomOrdersOfCrashesAndLeadersBreakTheBudget)
{
    // With 274 a sixth run was started while it was not known yet whether the fifth one had ended
    // with its worker; with 449 each trial of a sound task was on the worker of the other one.
    std::vector<std::uint64_t> seeds{1, 2, 274, 449};
    // MANGO_FIRST_SEED selects other seeds for manual runs.
    if (const char *given = std::getenv("MANGO_FIRST_SEED"); given != nullptr) {
        std::iota(seeds.begin(), seeds.end(), std::strtoull(given, nullptr, 10));
    }
    for (const std::uint64_t seed : seeds) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        seeded_random draw(seed);
        const milliseconds delay(50U << draw.below(11));
        crash_fleet fleet;
        fleet.workers.crashDelay = delay;
        fleet.workers.durationOf = [delay](const run_key &key) {
            return key.task.job == crashingJob ? delay + seconds(2)
                                               : milliseconds(500 + key.task.job * 97 % 400);
        };
        fleet.submit(crashingJob, fleet_group::oneStep(1));
        std::vector<std::uint64_t> accepted;
        const milliseconds interval(100 + draw.below(900));
        const milliseconds span = 6 * (delay + seconds(6));
        for (milliseconds passed(0); passed < span; passed += interval) {
            if (fleet.submit(fleet.nextJob, fleet_group::oneStep(2)).outcome
                == fleet_outcome::accepted) {
                accepted.push_back(fleet.nextJob);
            }
            ++fleet.nextJob;
            fleet.run(interval);
            const int leader = fleet.leader();
            if (draw.below(40) == 0 && leader >= 0) {
                fleet.crash(static_cast<std::size_t>(leader));
                fleet.run(milliseconds(100 + draw.below(1000)));
                fleet.start(static_cast<std::size_t>(leader), false);
            } else if (draw.below(100) == 0) {
                fleet.crashWorker("w" + std::to_string(draw.below(8)));
            }
        }
        fleet.run(seconds(20));
        expectGivenUpWithinBudget(fleet);
        for (const std::uint64_t job : accepted) {
            EXPECT_EQ(fleet.phase(job), job_phase::completed) << "job " << job;
        }
    }
}

} // namespace mango::test
