#include <gtest/gtest.h>

#include "Common/event_log.h"
#include "Scheduling/worker_soundness.h"
#include "Unit/fleet_group.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Twenty workers with room for three tasks each, and jobs of six tasks of one second.
struct loaded_fleet : fleet_group
{
    loaded_fleet()
        : fleet_group(3)
    {
        for (int number = 0; number < 20; ++number) {
            workers.add(nameOf(number));
        }
        configure();
        fleet_configuration wanted = configuration(2);
        wanted.routes[0].stretch = 1.5;
        wanted.routes[0].targetLatency = milliseconds(250);
        call(configure_call{wanted});
        for (int number = 0; number < 20; ++number) {
            announce(nameOf(number));
        }
        run(milliseconds(1500));
        workers.runDuration = seconds(1);
        captureEvents([this](const std::string &line) {
            late += line.find("event=job-late") != std::string::npos ? 1 : 0;
        });
        submitFor(seconds(4));
    }
    ~loaded_fleet()
    {
        captureEvents({});
    }
    loaded_fleet(const loaded_fleet &) = delete;
    loaded_fleet &operator=(const loaded_fleet &) = delete;

    static std::string nameOf(int number)
    {
        return "w" + std::to_string(100 + number);
    }

    // Submits a job every 250 ms.
    void submitFor(milliseconds span)
    {
        job_graph graph = oneStep(6, 9'800);
        graph.steps[0].estimate = seconds(1);
        for (milliseconds passed{0}; passed < span; passed += milliseconds(250)) {
            submit(nextJob++, graph);
            const auto spent =
                    std::chrono::duration_cast<milliseconds>(clock.now().time_since_epoch());
            run(milliseconds(250) - spent % milliseconds(250));
        }
    }

    // The jobs from `first` on that are in the phase.
    int countJobs(std::uint64_t first, job_phase wanted)
    {
        int count = 0;
        for (std::uint64_t job = first; job < nextJob; ++job) {
            count += phase(job) == wanted ? 1 : 0;
        }
        return count;
    }

    std::uint64_t nextJob = 100;
    int late = 0;
};

} // namespace

// Guards against sound tasks whose attempts are used up by workers that fail every run at once, and
// that therefore have the most room.
TEST(worker_soundness, failingWorkersDoNotUseUpTheAttemptsOfSoundTasks)
{
    loaded_fleet group;
    ASSERT_EQ(group.late, 0);
    const std::uint64_t first = group.nextJob;
    for (int number = 0; number < 20; number += 3) {
        group.workers.at(loaded_fleet::nameOf(number)).failsEveryRun = true;
        group.workers.at(loaded_fleet::nameOf(number)).failsAfter = milliseconds(30);
    }
    group.submitFor(seconds(12));
    group.run(seconds(4));
    EXPECT_EQ(group.countJobs(first, job_phase::failed), 0);
    // The jobs in progress when the workers begin to fail.
    EXPECT_LE(group.late, 4);
}

// Guards against workers that are never used again after they were slow or failed for a while.
TEST(worker_soundness, workersAreUsedAgainOnceTheyAreSound)
{
    loaded_fleet group;
    fake_worker &failing = group.workers.at(loaded_fleet::nameOf(0));
    fake_worker &slow = group.workers.at(loaded_fleet::nameOf(1));
    failing.failsEveryRun = true;
    slow.slowness = 6.7;
    group.submitFor(seconds(8));
    failing.failsEveryRun = false;
    slow.slowness = 1;
    group.submitFor(seconds(12));
    job_graph graph = fleet_group::oneStep(60, 9'800);
    graph.steps[0].estimate = seconds(1);
    group.run(seconds(2));
    group.workers.starts.clear();
    group.submit(1, graph);
    group.run(seconds(4));
    std::set<std::string> used;
    for (const recorded_start &start : group.workers.starts) {
        used.insert(start.worker);
    }
    EXPECT_TRUE(used.contains(loaded_fleet::nameOf(0)));
    EXPECT_TRUE(used.contains(loaded_fleet::nameOf(1)));
    EXPECT_EQ(group.phase(1), job_phase::completed);
}

TEST(worker_soundness, aFailingWorkerGetsOneProbeAtATime)
{
    const steady_time now(seconds(100));
    worker_soundness worker;
    worker.streak.consecutiveFailures = 2;
    worker.failedAt = now - seconds(5);
    worker.backoffUntil = now + seconds(1);
    EXPECT_TRUE(doubtOf(worker, now).rests);
    worker.backoffUntil = now - seconds(1);
    EXPECT_FALSE(doubtOf(worker, now).rests);
    EXPECT_TRUE(doubtOf(worker, now).oneAtATime);
    EXPECT_GT(doubtOf(worker, now).urgentCost, 0);
    EXPECT_EQ(doubtOf(worker, now).otherCost, 0);
    EXPECT_EQ(doubtOf(worker, now + seconds(3)).urgentCost, 0);
    worker.hasProbe = true;
    EXPECT_TRUE(doubtOf(worker, now).rests);
    EXPECT_FALSE(doubtOf({}, now).oneAtATime);
    EXPECT_EQ(doubtOf({}, now).urgentCost, 0);
}

} // namespace mango::test
