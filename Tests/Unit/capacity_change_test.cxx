#include <gtest/gtest.h>

#include "Unit/fleet_group.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Two workers of 16 cores that start whatever they are told to. All tasks need one core, those of
// jobs above 1000 need twelve.
struct changing_fleet : fleet_group
{
    changing_fleet()
        : fleet_group(3)
    {
        for (const char *id : {"w1", "w2"}) {
            workers.add(id, 16'000);
            announce(id);
        }
        configure();
        run(milliseconds(200));
        workers.milliCoresOf = [](const run_key &key) {
            return key.task.job > largeJob ? 12'000 : 1'000;
        };
    }

    // The worker has other cores from now on and says so.
    void resize(const std::string &worker, std::uint32_t milliCores)
    {
        workers.at(worker).record.capacity.milliCores = milliCores;
        announce(worker);
    }

    [[nodiscard]] std::size_t startsOf(std::uint64_t job) const
    {
        return static_cast<std::size_t>(std::count_if(workers.starts.begin(), workers.starts.end(),
                                                      [job](const recorded_start &start) {
                                                          return start.key.task.job == job;
                                                      }));
    }

    static constexpr std::uint64_t largeJob = 1000;
};

} // namespace

// A heartbeat that was sent before a change and arrives late, under the next leader.
TEST(capacity_changes, lateHeartbeatBringsBackAnEarlierCapacity)
{
    changing_fleet fleet;
    const worker_record earlier = fleet.workers.at("w1").record;
    fleet.resize("w1", 4'000);
    fleet.crash(static_cast<std::size_t>(fleet.leader()));
    fleet.run(seconds(4));
    fleet.call(heartbeat_call{{earlier, 2}});
    EXPECT_EQ(fleet.leading().state().workers.at("w1").capacity.milliCores, 4'000U);
    fleet.submit(7, fleet_group::oneStep(40));
    fleet.run(seconds(3));
    EXPECT_TRUE(fleet.workers.overloads.empty()) << fleet.workers.overloads.front();
}

// The same under one leader, while the later heartbeat is being committed.
TEST(capacity_changes, overtakenHeartbeatBringsBackAnEarlierCapacity)
{
    changing_fleet fleet;
    worker_record earlier = fleet.workers.at("w1").record;
    earlier.capacity.milliCores = 12'000;
    worker_record later = earlier;
    later.capacity.milliCores = 4'000;
    fleet.sendHeartbeat({later, 21});
    fleet.sendHeartbeat({earlier, 20});
    fleet.run(seconds(1));
    EXPECT_EQ(fleet.leading().state().workers.at("w1").capacity.milliCores, 4'000U);
}

TEST(capacity_changes, startsExceedACapacityThatHasShrunk)
{
    changing_fleet fleet;
    fleet.submit(7, fleet_group::oneStep(200));
    for (int round = 0; round < 8; ++round) {
        fleet.run(milliseconds(270));
        fleet.resize(round % 2 == 0 ? "w1" : "w2", round % 3 == 0 ? 3'000 : 14'000);
        // The runs of a worker that has shrunk go on.
        fleet.workers.overloads.clear();
        fleet.run(milliseconds(700));
        EXPECT_TRUE(fleet.workers.overloads.empty()) << fleet.workers.overloads.front();
    }
}

TEST(capacity_changes, grownCapacityStaysUnused)
{
    changing_fleet fleet;
    fleet.resize("w1", 1'000);
    fleet.resize("w2", 1'000);
    fleet.submit(7, fleet_group::oneStep(16));
    fleet.run(milliseconds(100));
    EXPECT_EQ(fleet.startsOf(7), 2U);
    fleet.resize("w2", 16'000);
    fleet.run(milliseconds(200));
    EXPECT_GE(fleet.startsOf(7), 16U);
}

TEST(capacity_changes, runsThatAreBeingStoppedCountForNothing)
{
    changing_fleet fleet;
    fleet.workers.runDuration = seconds(600);
    for (const char *id : {"w1", "w2"}) {
        fleet.workers.at(id).stopDuration = milliseconds(800);
    }
    fleet.submit(7, fleet_group::oneStep(32));
    fleet.run(milliseconds(300));
    ASSERT_EQ(fleet.startsOf(7), 32U);
    fleet.call(cancel_call{"h.example", "/price/" + formatJobId(7)});
    fleet.submit(8, fleet_group::oneStep(32));
    fleet.run(milliseconds(500));
    EXPECT_EQ(fleet.startsOf(8), 0U);
    fleet.run(seconds(2));
    EXPECT_EQ(fleet.startsOf(8), 32U);
    EXPECT_TRUE(fleet.workers.overloads.empty()) << fleet.workers.overloads.front();
}

// A task that no worker has room for waits, and does not keep smaller ones from their workers.
TEST(capacity_changes, taskLargerThanAllWorkersBlocksSmallerOnes)
{
    changing_fleet fleet;
    fleet.resize("w1", 8'000);
    fleet.resize("w2", 8'000);
    const std::uint64_t large = changing_fleet::largeJob + 1;
    fleet.submit(large, fleet_group::oneStep(1, 12'000));
    fleet.run(seconds(3));
    fleet.submit(7, fleet_group::oneStep(16));
    fleet.run(milliseconds(200));
    EXPECT_EQ(fleet.startsOf(large), 0U);
    EXPECT_EQ(fleet.startsOf(7), 16U);
    fleet.resize("w1", 16'000);
    fleet.run(seconds(2));
    EXPECT_EQ(fleet.startsOf(large), 1U);
}

// Room is held on a worker that shrinks below what its runs use.
TEST(capacity_changes, heldRoomIsLostWithACapacityThatHasShrunk)
{
    changing_fleet fleet;
    fleet_configuration patient = fleet_group::configuration(2);
    patient.routes[0].stretch = 20;
    fleet.call(configure_call{patient});
    const std::uint64_t large = changing_fleet::largeJob + 1;
    std::uint64_t next = 10;
    const auto runShortJobs = [&](int rounds) {
        for (int round = 0; round < rounds; ++round) {
            fleet.submit(next++, fleet_group::oneStep(8));
            fleet.run(milliseconds(100));
        }
    };
    runShortJobs(10);
    fleet.submit(large, fleet_group::oneStep(1, 12'000));
    runShortJobs(18);
    fleet.resize("w1", 6'000);
    runShortJobs(40);
    EXPECT_EQ(fleet.startsOf(large), 1U);
    fleet.workers.overloads.clear();
    runShortJobs(10);
    EXPECT_TRUE(fleet.workers.overloads.empty()) << fleet.workers.overloads.front();
}

} // namespace mango::test
