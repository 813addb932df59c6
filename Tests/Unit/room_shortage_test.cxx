#include <gtest/gtest.h>

#include "Common/event_log.h"
#include "Scheduling/room_shortage.h"
#include "Unit/fleet_group.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Workers that are nearly full of long-running tasks, which come and go one by one.
struct turnover_fleet : fleet_group
{
    static constexpr std::uint32_t workerCount = 20;
    static constexpr std::uint64_t firstShortJob = 10'000;

    turnover_fleet()
        : fleet_group(3)
    {
        configure();
        fleet_configuration wanted = configuration(2);
        wanted.routes[0].stretch = 1.5;
        wanted.routes[0].targetLatency = milliseconds(250);
        call(configure_call{wanted});
        for (std::uint32_t number = 0; number < workerCount; ++number) {
            const std::string id = "w" + std::to_string(100 + number);
            workers.add(id);
            announce(id);
        }
        workers.durationOf = [](const run_key &key) {
            return key.task.job < firstShortJob ? milliseconds(seconds(600)) : milliseconds(500);
        };
        run(milliseconds(1500));
        // 28.5 of the 32 cores of each worker.
        for (std::uint32_t number = 0; number < 3 * workerCount; ++number) {
            addLongRunning();
        }
        run(seconds(1));
    }

    void addLongRunning()
    {
        job_graph graph = oneStep(1, 9'500);
        graph.steps[0].longRunning = true;
        submit(nextLongRunning++, graph);
    }

    void cancelOldest()
    {
        call(cancel_call{"h.example", "/price/" + formatJobId(oldestLongRunning++)});
    }

    [[nodiscard]] std::uint64_t longRunningStarts() const
    {
        return static_cast<std::uint64_t>(std::count_if(
                workers.starts.begin(), workers.starts.end(), [](const recorded_start &start) {
                    return start.key.task.job < firstShortJob;
                }));
    }

    std::uint64_t nextLongRunning = 1;
    std::uint64_t oldestLongRunning = 1;
    std::uint64_t nextShort = firstShortJob;
};

} // namespace

// Guards against long-running tasks that wait for as long as short tasks come, though most of the
// service is free of them, and against room that is left unused.
TEST(room_shortage, longRunningTasksWaitWithoutNeed)
{
    const steady_time now{seconds(100)};
    service_room room{100'000, 70'000, now, {}};
    EXPECT_TRUE(admitsLongRunning(room, 10'000, now));
    EXPECT_FALSE(admitsLongRunning(room, 20'000, now));
    EXPECT_FALSE(admitsLongRunning(room, 20'000, now + seconds(2)));
    EXPECT_TRUE(admitsLongRunning(room, 20'000, now + seconds(4)));
    room.shortageAt.reset();
    EXPECT_TRUE(admitsLongRunning(room, 20'000, now));
}

// A long-running job has nothing running for as long as short tasks lack room.
TEST(room_shortage, longRunningJobsWaitForAsLongAsTheShortageLasts)
{
    const steady_time now{seconds(100)};
    EXPECT_FALSE(isDueDespiteShortage({std::nullopt, std::nullopt}, now));
    EXPECT_FALSE(isDueDespiteShortage({now - milliseconds(1900), std::nullopt}, now));
    EXPECT_TRUE(isDueDespiteShortage({now - milliseconds(2100), std::nullopt}, now));
    EXPECT_FALSE(isDueDespiteShortage({now - seconds(9), now - milliseconds(900)}, now));
    EXPECT_TRUE(isDueDespiteShortage({now - seconds(9), now - seconds(1)}, now));
    turnover_fleet fleet;
    // Each worker has 3.5 cores left, and short tasks of 5 cores wait for more.
    for (int round = 0; round < 30; ++round) {
        fleet.submit(fleet.nextShort++, fleet_group::oneStep(4, 5'000));
        fleet.run(milliseconds(100));
    }
    const std::uint64_t before = fleet.longRunningStarts();
    job_graph graph = fleet_group::oneStep(1, 3'000);
    graph.steps[0].longRunning = true;
    fleet.submit(fleet.nextLongRunning++, graph);
    for (int round = 0; round < 30; ++round) {
        fleet.submit(fleet.nextShort++, fleet_group::oneStep(4, 5'000));
        fleet.run(milliseconds(100));
    }
    EXPECT_EQ(fleet.longRunningStarts(), before + 1);
}

TEST(room_shortage, restartsWaitForAShorterTime)
{
    const steady_time now{seconds(100)};
    EXPECT_FALSE(areRestartsDueDespiteShortage(std::nullopt, now));
    EXPECT_FALSE(areRestartsDueDespiteShortage(now - milliseconds(4900), now));
    EXPECT_TRUE(areRestartsDueDespiteShortage(now - milliseconds(5100), now));
}

// Workers are lost on a service that is nearly full, and short tasks lack room. The restarts of
// long-running tasks took all room that became free, at once; but they must not wait for as long as
// the shortage lasts either.
TEST(room_shortage, restartsTakeTheRoomOfShortTasksAtOnce)
{
    turnover_fleet fleet;
    for (int job = 0; job < 3; ++job) {
        fleet.cancelOldest();
    }
    // For long enough to show the shortage, and then until the restarts have waited for longest.
    for (int round = 0; round < 180; ++round) {
        if (round == 20) {
            fleet.workers.leave("w119");
        }
        fleet.submit(fleet.nextShort++, fleet_group::oneStep(12, 6'000));
        fleet.run(milliseconds(100));
    }
    std::vector<steady_time> restarts;
    for (const recorded_start &start : fleet.workers.starts) {
        if (start.key.task.job < turnover_fleet::firstShortJob && start.key.run > 1) {
            restarts.push_back(start.at);
        }
    }
    // The first ones are within the share that is always open to such tasks.
    ASSERT_EQ(restarts.size(), 3U);
    EXPECT_GT(restarts.back() - restarts.front(), milliseconds(1500));
    EXPECT_LT(restarts.back() - restarts.front(), seconds(6));
}

// Tasks that no worker can hold show no shortage.
TEST(room_shortage, hopelessTasksKeepLongRunningOnesWaiting)
{
    const service_room room{100'000, 90'000, std::nullopt, {32'000, 64'000, 0}};
    EXPECT_TRUE(canHold(room, {32'000, 64'000, 0}));
    EXPECT_FALSE(canHold(room, {33'000, 1'000, 0}));
    EXPECT_FALSE(canHold(room, {1'000, 65'000, 0}));
    EXPECT_FALSE(canHold(room, {1'000, 1'000, 1}));
}

// Guards against new long-running tasks that take all room that becomes free, so that short tasks
// wait for as long as these run.
TEST(room_shortage, shortTasksStarveBesideNewLongRunningTasks)
{
    int late = 0;
    turnover_fleet fleet;
    captureEvents([&late](const std::string &line) {
        late += line.find("event=job-late") != std::string::npos ? 1 : 0;
    });
    constexpr int rounds = 500;
    constexpr int settledAfter = 250;
    int lateBefore = 0;
    for (int round = 0; round < rounds; ++round) {
        if (round == settledAfter) {
            lateBefore = late;
        }
        // About 75 short tasks run at a time, and at first there is room for 60.
        fleet.submit(fleet.nextShort++, fleet_group::oneStep(11, 1'000));
        if (round % 25 == 24) {
            fleet.cancelOldest();
            fleet.addLongRunning();
        }
        fleet.run(milliseconds(60));
    }
    captureEvents({});
    EXPECT_LT(late - lateBefore, (rounds - settledAfter) / 5);
    EXPECT_GE(fleet.longRunningStarts(), 3 * turnover_fleet::workerCount + 15);
}

} // namespace mango::test
