#include <gtest/gtest.h>

#include "Scheduling/observed_capacity.h"
#include "Unit/fleet_group.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto probePause = milliseconds(1500);

steady_time at(milliseconds time)
{
    return steady_time(seconds(100)) + time;
}

// Two workers of 16 cores that refuse starts beyond their real room. All tasks need one core.
struct refusing_fleet : fleet_group
{
    refusing_fleet()
        : fleet_group(3)
    {
        workers.milliCoresOf = [](const run_key &) {
            return 1'000;
        };
        for (const char *id : {"w1", "w2"}) {
            workers.add(id, 16'000);
            setRoom(id, 16'000);
            announce(id);
        }
        configure();
        run(milliseconds(200));
    }

    // The worker has other cores from now on and does not say so.
    void setRoom(const std::string &worker, std::uint32_t milliCores)
    {
        workers.at(worker).roomMilliCores = milliCores;
    }

    void announceRoom(const std::string &worker)
    {
        workers.at(worker).record.capacity.milliCores = *workers.at(worker).roomMilliCores;
        announce(worker);
    }

    [[nodiscard]] std::size_t runningOn(const std::string &worker)
    {
        return workers.at(worker).running.size();
    }
};

} // namespace

// Guards against starts that are refused again and again by a worker that has shrunk silently.
TEST(shrunk_workers, startsAreRefusedAgainAndAgain)
{
    refusing_fleet fleet;
    fleet.setRoom("w1", 4'000);
    fleet.submit(7, fleet_group::oneStep(600));
    fleet.run(milliseconds(500));
    EXPECT_EQ(fleet.workers.roomRefusals.size(), 12U);
    fleet.workers.roomRefusals.clear();
    fleet.run(seconds(9));
    EXPECT_LE(fleet.workers.roomRefusals.size(), 4U);
    EXPECT_TRUE(fleet.workers.duplicateRuns.empty());
}

// Guards against a worker that is left idle for a time after it refused a start.
TEST(shrunk_workers, roomLeftAfterARefusalStaysUnused)
{
    refusing_fleet fleet;
    fleet.setRoom("w1", 4'000);
    fleet.submit(7, fleet_group::oneStep(600));
    for (int round = 0; round < 5; ++round) {
        fleet.run(milliseconds(550));
        EXPECT_GE(fleet.runningOn("w1"), 3U) << round;
    }
}

// Guards against a worker that gets nothing although it has announced its new capacity.
TEST(shrunk_workers, capacityAnnouncedAfterARefusalStaysUnused)
{
    refusing_fleet fleet;
    fleet.setRoom("w1", 2'000);
    fleet.submit(7, fleet_group::oneStep(600));
    fleet.run(milliseconds(100));
    ASSERT_FALSE(fleet.workers.roomRefusals.empty());
    fleet.setRoom("w1", 10'000);
    fleet.announceRoom("w1");
    fleet.workers.roomRefusals.clear();
    fleet.run(milliseconds(100));
    EXPECT_EQ(fleet.runningOn("w1"), 10U);
    EXPECT_TRUE(fleet.workers.roomRefusals.empty());
}

// Guards against room that is never used again after it came back silently.
TEST(shrunk_workers, roomThatIsBackStaysUnused)
{
    refusing_fleet fleet;
    fleet.setRoom("w1", 4'000);
    fleet.submit(7, fleet_group::oneStep(2000));
    fleet.run(seconds(3));
    fleet.setRoom("w1", 16'000);
    fleet.run(seconds(8));
    EXPECT_GE(fleet.runningOn("w1"), 14U);
}

// Guards against tasks that wait for a worker that refused them while others are free.
TEST(shrunk_workers, refusedTasksWaitForTheirWorker)
{
    refusing_fleet fleet;
    fleet.setRoom("w1", 0);
    fleet.submit(7, fleet_group::oneStep(16));
    fleet.run(milliseconds(150));
    EXPECT_EQ(fleet.runningOn("w2"), 16U);
    fleet.run(seconds(1));
    EXPECT_EQ(fleet.phase(7), job_phase::completed);
}

// Guards against the next leader being refused by workers that have announced that they shrank.
TEST(shrunk_workers, nextLeaderIsRefusedAgain)
{
    refusing_fleet fleet;
    fleet.setRoom("w1", 4'000);
    fleet.submit(7, fleet_group::oneStep(2000));
    fleet.run(milliseconds(200));
    fleet.announceRoom("w1");
    fleet.run(milliseconds(500));
    fleet.workers.roomRefusals.clear();
    fleet.crash(static_cast<std::size_t>(fleet.leader()));
    fleet.run(seconds(6));
    EXPECT_TRUE(fleet.workers.roomRefusals.empty());
    EXPECT_GE(fleet.runningOn("w1"), 3U);
}

TEST(observed_capacity, refusalLimitsToTheResourcesInUse)
{
    observed_capacity observed;
    const resource_amounts announced{16'000, 64'000, 2};
    EXPECT_EQ(offeredCapacity(observed, announced, at(milliseconds(0))), announced);
    EXPECT_TRUE(recordRefusedStart(observed, {at(milliseconds(0)), {4'000, 8'000, 0}},
                                   at(milliseconds(5)), probePause));
    EXPECT_EQ(offeredCapacity(observed, announced, at(milliseconds(10))),
              (resource_amounts{4'000, 8'000, 0}));
    EXPECT_EQ(offeredCapacity(observed, announced, at(milliseconds(1505))), announced);
}

// Guards against pauses that grow with the number of starts that were sent at once.
TEST(observed_capacity, refusalsOfStartsSentTogetherCountAsMany)
{
    observed_capacity observed;
    for (int count = 0; count < 5; ++count) {
        recordRefusedStart(observed, {at(milliseconds(0)), {}}, at(milliseconds(5)), probePause);
    }
    EXPECT_EQ(observed.refusals, 1U);
    EXPECT_EQ(observed.probeAt, at(milliseconds(1505)));
    recordRefusedStart(observed, {at(milliseconds(1600)), {}}, at(milliseconds(1605)), probePause);
    EXPECT_EQ(observed.refusals, 2U);
    EXPECT_EQ(observed.probeAt, at(milliseconds(4605)));
}

// Guards against a worker that has less than its runs use being offered what they release.
TEST(observed_capacity, refusedRoomIsOfferedAgainAsRunsEnd)
{
    observed_capacity observed;
    const resource_amounts announced{16'000, 64'000, 2};
    recordRefusedStart(observed, {at(milliseconds(0)), {14'000, 8'000, 0}}, at(milliseconds(5)),
                       probePause);
    recordRefusedStart(observed, {at(milliseconds(100)), {13'000, 8'000, 0}}, at(milliseconds(105)),
                       probePause);
    EXPECT_EQ(offeredCapacity(observed, announced, at(milliseconds(200))), resource_amounts{});
    recordRefusedStart(observed, {at(milliseconds(100)), {12'000, 8'000, 0}}, at(milliseconds(106)),
                       probePause);
    EXPECT_EQ(offeredCapacity(observed, announced, at(milliseconds(200))), resource_amounts{});
}

TEST(observed_capacity, pausesGrowWithoutBound)
{
    observed_capacity observed;
    for (int count = 1; count < 40; ++count) {
        recordRefusedStart(observed, {at(seconds(count)), {}}, at(seconds(count)), probePause);
    }
    EXPECT_EQ(observed.probeAt - observed.refusedAt, probePause * 8);
}

// Guards against a refusal from before an announcement limiting the capacity announced there.
TEST(observed_capacity, refusalOvertakenByAnAnnouncementLimits)
{
    observed_capacity observed;
    recordAnnouncedCapacity(observed, at(milliseconds(3)));
    EXPECT_FALSE(recordRefusedStart(observed, {at(milliseconds(0)), {}}, at(milliseconds(5)),
                                    probePause));
    EXPECT_FALSE(observed.limit);
}

// Guards against a small start that fits in any case being taken for proof of the capacity.
TEST(observed_capacity, startWithinTheLimitEndsTheLimit)
{
    observed_capacity observed;
    recordRefusedStart(observed, {at(milliseconds(0)), {4'000, 8'000, 0}}, at(milliseconds(5)),
                       probePause);
    EXPECT_FALSE(recordAcceptedStart(observed, {at(milliseconds(1600)), {3'000, 6'000, 0}},
                                     at(milliseconds(1605))));
    EXPECT_EQ(observed.refusals, 1U);
    EXPECT_FALSE(recordAcceptedStart(observed, {at(milliseconds(1610)), {5'000, 8'000, 0}},
                                     at(milliseconds(1615))));
    EXPECT_EQ(observed.refusals, 0U);
    EXPECT_EQ(observed.limit, (resource_amounts{5'000, 8'000, 0}));
    EXPECT_TRUE(
            recordAcceptedStart(observed, {at(seconds(16)), {5'000, 8'000, 0}}, at(seconds(16))));
    EXPECT_FALSE(observed.limit);
}

} // namespace mango::test
