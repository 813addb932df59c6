#include "Scheduling/crash_trials.h"
#include "Unit/crash_fleet.h"

namespace mango::test {

// A task whose runs all ended with their workers was started again without a limit.
TEST(worker_crashes, crashingTaskTakesDownWorkerAfterWorker)
{
    crash_fleet fleet;
    fleet.submit(crashingJob, fleet_group::oneStep(1));
    fleet.runBesideSoundJobs(seconds(40));
    expectGivenUpWithinBudget(fleet);
}

TEST(worker_crashes, callerIsNotToldWhyAJobWasGivenUp)
{
    crash_fleet fleet;
    fleet.submit(crashingJob, fleet_group::oneStep(1));
    fleet.runBesideSoundJobs(seconds(20));
    const fleet_response response =
            fleet.call(query_call{"h.example", "/price/" + formatJobId(crashingJob)});
    EXPECT_EQ(response.phase, job_phase::failed);
    EXPECT_EQ(response.text, "3 workers crashed under task 0000000000000007.0.0.0");
}

// The same with copies: the workers are silent before they are known to have crashed.
TEST(worker_crashes, copiesOfACrashingTaskTakeDownWorkerAfterWorker)
{
    crash_fleet fleet;
    job_graph graph = fleet_group::oneStep(1);
    graph.steps[0].allowsSpeculativeCopies = true;
    fleet.submit(crashingJob, graph);
    fleet.runBesideSoundJobs(seconds(40));
    expectGivenUpWithinBudget(fleet);
}

// The count was to outlive leaders: the leader's process is killed after each crash.
TEST(worker_crashes, newLeadersBeginToCountCrashesAnew)
{
    crash_fleet fleet;
    fleet.submit(crashingJob, fleet_group::oneStep(1));
    runWithNewLeaders(fleet, seconds(60));
    expectGivenUpWithinBudget(fleet);
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
    expectGivenUpWithinBudget(fleet);
}

// The workers come back only after the leader has given up their runs as silent.
TEST(worker_crashes, crashesThatAreKnownLateCountForNothing)
{
    crash_fleet fleet;
    fleet.workers.downTime = seconds(8);
    fleet.submit(crashingJob, fleet_group::oneStep(1));
    fleet.runBesideSoundJobs(seconds(60));
    expectGivenUpWithinBudget(fleet);
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

// A task that has lost its runs to silent workers waits for what became of them, but not for ever.
TEST(worker_crashes, taskWaitsForWorkersThatNeverComeBack)
{
    crash_fleet fleet;
    fleet.workers.durationOf = nullptr;
    fleet.workers.runDuration = seconds(60);
    fleet.submit(8, fleet_group::oneStep(1));
    fleet.run(milliseconds(200));
    for (int time = 0; time < 5; ++time) {
        fleet.workers.at(fleet.workers.starts.back().worker).unreachable = true;
        // The platform expects a long-running task to run again within 9 s.
        fleet.run(seconds(9));
    }
    EXPECT_GE(fleet.startsOf(8), 6U);
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

// A suspect was started beside sound tasks again, on any worker, and beside other suspects.
TEST(worker_crashes, soundTasksAreLostToTheLaterCrashesOfATask)
{
    crash_fleet fleet;
    fleet.submit(crashingJob, fleet_group::oneStep(1));
    // Some workers are idle at any time.
    fleet.runBesideSoundJobs(seconds(20), milliseconds(500));
    ASSERT_EQ(fleet.workers.crashes.size(), 3U);
    EXPECT_EQ(fleet.workers.crashes[1].runs.size(), 1U);
    EXPECT_EQ(fleet.workers.crashes[2].runs.size(), 1U);
    EXPECT_EQ(fleet.phase(crashingJob), job_phase::failed);
}

// The worker is not known to have crashed when the copy starts.
TEST(worker_crashes, soundTasksAreLostToTheCopyOfACrashingTask)
{
    crash_fleet fleet;
    job_graph graph = fleet_group::oneStep(1);
    graph.steps[0].allowsSpeculativeCopies = true;
    fleet.submit(crashingJob, graph);
    // Some workers are idle at any time.
    fleet.runBesideSoundJobs(seconds(20), milliseconds(500));
    ASSERT_LE(fleet.workers.crashes.size(), 3U);
    for (std::size_t crash = 1; crash < fleet.workers.crashes.size(); ++crash) {
        EXPECT_EQ(fleet.workers.crashes[crash].runs.size(), 1U);
    }
    EXPECT_EQ(fleet.phase(crashingJob), job_phase::failed);
}

// A worker with a run on trial took other tasks, which were lost with it.
TEST(worker_crashes, tasksAreStartedBesideARunOnTrial)
{
    crash_fleet fleet;
    fleet.workers.crashDelay = milliseconds(400);
    fleet.submit(crashingJob, fleet_group::oneStep(1));
    // Some workers are idle at any time.
    fleet.runBesideSoundJobs(seconds(20), milliseconds(500));
    ASSERT_GE(fleet.workers.crashes.size(), 2U);
    EXPECT_LE(fleet.workers.crashes.size(), 3U);
    for (std::size_t crash = 1; crash < fleet.workers.crashes.size(); ++crash) {
        EXPECT_EQ(fleet.workers.crashes[crash].runs.size(), 1U);
    }
}

// More suspects than the service can try apart must not wait for each other.
TEST(worker_crashes, manySuspectsDelaySoundWork)
{
    crash_fleet fleet;
    fleet.workers.durationOf = nullptr;
    fleet.workers.runDuration = seconds(2);
    const std::uint64_t job = fleet.nextJob++;
    fleet.submit(job, fleet_group::oneStep(40));
    fleet.run(milliseconds(100));
    for (const char *id : {"w0", "w1", "w2", "w3"}) {
        fleet.workers.crash(id);
    }
    // The crashes are known after 3 s, and tasks wait up to 0.5 s for a trial.
    fleet.run(seconds(3) + milliseconds(1300));
    EXPECT_GE(fleet.startsOf(job), 40U + 20U);
    fleet.run(seconds(2) + milliseconds(300));
    EXPECT_EQ(fleet.phase(job), job_phase::completed);
}

// Suspects that had once been started without a trial did not wait for the next one: all of them
// were on trial at once, each with a worker for itself.
TEST(worker_crashes, trialsCloseTheServiceAfterASecondCrash)
{
    crash_fleet fleet;
    fleet.workers.durationOf = nullptr;
    fleet.workers.runDuration = seconds(2);
    const std::uint64_t job = fleet.nextJob++;
    fleet.submit(job, fleet_group::oneStep(40));
    fleet.run(milliseconds(100));
    for (const char *id : {"w0", "w1", "w2", "w3"}) {
        fleet.workers.crash(id);
    }
    for (int step = 0; step < 500 && fleet.startsOf(job) < 60; ++step) {
        fleet.run(milliseconds(10));
    }
    fleet.run(milliseconds(50));
    for (const char *id : {"w4", "w5", "w6", "w7"}) {
        fleet.workers.crash(id);
    }
    for (int step = 0; step < 600 && fleet.startsOf(job) == 60; ++step) {
        fleet.run(milliseconds(10));
    }
    fleet.run(milliseconds(300));
    EXPECT_LE(fleet.startsOf(job), 60U + maximumTrials(8));
    fleet.run(seconds(20));
    EXPECT_EQ(fleet.phase(job), job_phase::completed);
}

// The members of a gang start together, so that none of them is tried apart.
TEST(worker_crashes, gangTakesDownWorkerAfterWorker)
{
    crash_fleet fleet;
    fleet.workers.crashesWorker = [](const task_key &task) {
        return task.job == crashingJob && task.index == 1;
    };
    job_graph graph = fleet_group::oneStep(3);
    graph.steps[0].gang = true;
    fleet.workers.gangs.insert(crashingJob);
    // A gang is done only when none of its members has ended before.
    fleet.workers.durationOf = [](const run_key &key) {
        return key.task.job == crashingJob ? seconds(600) : milliseconds(700);
    };
    fleet.submit(crashingJob, graph);
    fleet.runBesideSoundJobs(seconds(60));
    const auto starts =
            std::count_if(fleet.workers.starts.begin(), fleet.workers.starts.end(),
                          [](const recorded_start &start) {
                              return start.key.task.job == crashingJob && start.key.task.index == 1;
                          });
    EXPECT_LE(static_cast<std::size_t>(starts), startBudget);
    EXPECT_EQ(fleet.phase(crashingJob), job_phase::failed);
}

TEST(worker_crashes, longRunningTaskTakesDownWorkerAfterWorker)
{
    crash_fleet fleet;
    job_graph graph = fleet_group::oneStep(1);
    graph.steps[0].longRunning = true;
    fleet.submit(crashingJob, graph);
    fleet.runBesideSoundJobs(seconds(40));
    expectGivenUpWithinBudget(fleet);
}

// A long-running task that lost its workers to other causes, each time after another while, is not
// given up. Before, its runs were 12 s long each, as those of a task that crashes its workers.
TEST(worker_crashes, ordinaryCrashesEndALongRunningJob)
{
    crash_fleet fleet;
    fleet.workers.durationOf = nullptr;
    fleet.workers.runDuration = seconds(3600);
    job_graph graph = fleet_group::oneStep(1);
    graph.steps[0].longRunning = true;
    fleet.submit(8, graph);
    for (const int lasted : {12, 310, 40, 500, 120, 305, 30, 400}) {
        fleet.run(seconds(lasted));
        fleet.workers.crash(fleet.workers.starts.back().worker);
        fleet.run(seconds(4));
    }
    EXPECT_GE(fleet.startsOf(8), 9U);
    EXPECT_EQ(fleet.phase(8), job_phase::running);
}

// The last of the starts is carried out late, and its answer is lost.
TEST(worker_crashes, startsWithoutAnAnswerCountForNothing)
{
    crash_fleet fleet;
    for (int number = 0; number < 8; ++number) {
        fleet.workers.at("w" + std::to_string(number)).startDelay = milliseconds(300);
    }
    fleet.submit(crashingJob, fleet_group::oneStep(1));
    fleet.run(seconds(60));
    expectGivenUpWithinBudget(fleet);
}

// A new leader took all runs of a worker that had crashed under the one before for suspects.
TEST(worker_crashes, newLeadersSuspectTheRunsThatHadSurvived)
{
    crash_fleet fleet;
    fleet.workers.durationOf = [](const run_key &key) {
        return key.task.job == 9 ? seconds(8) : milliseconds(300);
    };
    fleet.submit(9, fleet_group::oneStep(16));
    fleet.runBesideSoundJobs(seconds(3));
    fleet.submit(crashingJob, fleet_group::oneStep(1));
    fleet.run(milliseconds(100));
    ASSERT_EQ(fleet.workers.crashes.size(), 1U);
    const recorded_crash crash = fleet.workers.crashes[0];
    fleet.crash(static_cast<std::size_t>(fleet.leader()));
    fleet.run(seconds(6));
    const auto survivor =
            std::find_if(crash.runs.begin(), crash.runs.end(), [](const run_key &run) {
                return run.task.job == 9;
            });
    ASSERT_NE(survivor, crash.runs.end());
    const auto &jobs = fleet.leading().state().jobs;
    EXPECT_EQ(findTask(jobs.at(9), survivor->task)->crashRecord.crashes, 1U);
    EXPECT_GT(findTask(jobs.at(9), survivor->task)->crashRecord.longestRun, milliseconds(500));
    EXPECT_FALSE(isSuspect(findTask(jobs.at(9), survivor->task)->crashRecord));
    EXPECT_TRUE(isSuspect(findTask(jobs.at(crashingJob), {crashingJob, 0, 0, 0})->crashRecord));
}

// Tasks that crash their workers are random among sound ones, and leaders change.
TEST(worker_crashes, manyCrashingTasksUseUpMoreThanTheirBudgets)
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        crash_fleet fleet;
        seeded_random draw(seed);
        fleet.workers.crashesWorker = [seed](const task_key &task) {
            return task.job % 17 == seed;
        };
        std::vector<std::uint64_t> accepted;
        for (int round = 0; round < 100; ++round) {
            job_graph graph = fleet_group::oneStep(2);
            graph.steps[0].allowsSpeculativeCopies = draw.below(2) == 0;
            const std::uint64_t job = fleet.nextJob++;
            if (fleet.submit(job, graph).outcome == fleet_outcome::accepted) {
                accepted.push_back(job);
            }
            fleet.run(milliseconds(50 + draw.below(100)));
            if (round == 40 || round == 60) {
                const auto leader = static_cast<std::size_t>(std::max(0, fleet.leader()));
                fleet.crash(leader);
                fleet.run(milliseconds(300));
                fleet.start(leader, false);
            }
        }
        fleet.run(seconds(60));
        std::map<task_key, std::size_t> starts;
        for (const recorded_start &start : fleet.workers.starts) {
            ++starts[start.key.task];
        }
        for (const std::uint64_t job : accepted) {
            const bool isCulprit = job % 17 == seed;
            EXPECT_EQ(fleet.phase(job), isCulprit ? job_phase::failed : job_phase::completed)
                    << "seed " << seed << " job " << job;
            for (std::uint32_t index = 0; isCulprit && index < 2; ++index) {
                EXPECT_LE((starts[{job, 0, 0, index}]), startBudget) << "seed " << seed;
            }
        }
    }
}

} // namespace mango::test
