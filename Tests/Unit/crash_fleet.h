#pragma once

#include <gtest/gtest.h>

#include "Unit/fleet_group.h"

namespace mango::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr std::uint64_t crashingJob = 7;
// The platform allows two starts after the third crash under a task.
inline constexpr std::size_t startBudget = 5;

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

    // Submits a sound job of two tasks each time the interval has passed.
    void runBesideSoundJobs(milliseconds span, milliseconds interval = milliseconds(100))
    {
        for (milliseconds passed{0}; passed < span; passed += interval) {
            submit(nextJob++, oneStep(2));
            run(interval);
        }
    }

    // Crashes the worker with this id, or the one that has taken its place.
    void crashWorker(std::string id)
    {
        while (!workers.exists(id)) {
            id += "+";
        }
        workers.crash(id);
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

inline void expectGivenUpWithinBudget(crash_fleet &fleet)
{
    EXPECT_LE(fleet.startsOf(crashingJob), startBudget);
    EXPECT_EQ(fleet.phase(crashingJob), job_phase::failed);
}

// Runs the fleet, and kills the process of the leader after each crash of a worker.
inline void runWithNewLeaders(crash_fleet &fleet, seconds duration)
{
    std::size_t seen = 0;
    for (seconds elapsed(0); elapsed < duration; ++elapsed) {
        fleet.run(seconds(1));
        const int leader = fleet.leader();
        if (fleet.workers.crashes.size() > seen && leader >= 0) {
            seen = fleet.workers.crashes.size();
            fleet.crash(static_cast<std::size_t>(leader));
            fleet.run(milliseconds(500));
            fleet.start(static_cast<std::size_t>(leader), false);
        }
    }
}

} // namespace mango::test
