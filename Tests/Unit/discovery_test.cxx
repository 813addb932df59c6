#include <gtest/gtest.h>

#include "Unit/fleet_group.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::size_t votersOf(const fleet_group &group)
{
    const members all = group.leading().replicaStatus().group;
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [](const member &one) {
        return one.voter;
    }));
}

bool isVoter(const fleet_group &group, std::size_t number)
{
    const members all = group.leading().replicaStatus().group;
    return std::any_of(all.begin(), all.end(), [&](const member &one) {
        return one.voter && one.address == fleet_group::addressOf(number);
    });
}

} // namespace

// Five processes discover each other through three seeds, whatever the order in which they start.
TEST(discovery, growsToFiveVotersFromThreeSeeds)
{
    for (const std::vector<std::size_t> &order :
         {std::vector<std::size_t>{0, 1, 2, 3, 4}, {4, 3, 2, 1, 0}, {3, 0, 4, 2, 1}}) {
        fleet_group group(5, 0, 3);
        for (const std::size_t number : order) {
            group.start(number, true);
            group.run(milliseconds(100));
        }
        group.run(seconds(6));
        ASSERT_GE(group.leader(), 0);
        EXPECT_EQ(votersOf(group), 5U);
    }
}

// A seed that never starts does not prevent the others from forming a group.
TEST(discovery, formsAGroupWithoutASeedThatNeverStarts)
{
    for (const std::size_t absent : {0U, 1U, 2U}) {
        fleet_group group(5, 0, 3);
        for (std::size_t number = 0; number < 5; ++number) {
            if (number != absent) {
                group.start(number, true);
            }
        }
        group.run(seconds(12));
        ASSERT_GE(group.leader(), 0) << absent;
        EXPECT_EQ(votersOf(group), 4U) << absent;
    }
}

// Processes with empty disks form no group unless this is the first start of the cluster.
TEST(discovery, emptyProcessesFormNoGroupAfterTheFirstStart)
{
    fleet_group group(3, 0, 3);
    for (std::size_t number = 0; number < 3; ++number) {
        group.start(number, false);
    }
    group.run(seconds(20));
    EXPECT_EQ(group.leader(), -1);
}

// Two processes that lose their disks at the same time are voters again 4 s after their restart,
// within the time that the platform allows, and nothing accepted is lost.
TEST(discovery, readmitsTwoEmptiedProcesses)
{
    fleet_group group(5, 5, 3);
    group.run(seconds(6));
    group.configure();
    group.wipe(1);
    group.wipe(3);
    group.run(seconds(1));
    group.start(1, false);
    group.start(3, false);
    group.run(seconds(4));
    ASSERT_GE(group.leader(), 0);
    EXPECT_TRUE(isVoter(group, 1));
    EXPECT_TRUE(isVoter(group, 3));
    EXPECT_EQ(group.call(read_configuration_call{}).text, "version 1");
    group.crash(0);
    group.crash(2);
    group.run(seconds(3));
    EXPECT_GE(group.leader(), 0) << "the emptied processes do not vote";
    EXPECT_EQ(group.call(read_configuration_call{}).text, "version 1");
}

// Any two processes lose their disks right after a configuration, a job and a crash count were
// accepted, while all others lose power.
TEST(discovery, lossOfTwoDisksAndOfAllPowerForgetsWhatWasAccepted)
{
    for (std::size_t first = 0; first < 5; ++first) {
        for (std::size_t second = first + 1; second < 5; ++second) {
            fleet_group group(5, 5, 3);
            group.run(seconds(6));
            group.workers.add("w1");
            group.configure();
            group.announce("w1");
            group.workers.runDuration = seconds(600);
            group.submit(7, fleet_group::oneStep(1));
            group.run(milliseconds(300));
            group.call(domain_call{"b", true});
            ASSERT_EQ(group.call(configure_call{fleet_group::configuration(9)}).outcome,
                      fleet_outcome::accepted);
            for (std::size_t number = 0; number < 5; ++number) {
                number == first || number == second ? group.wipe(number) : group.crash(number);
            }
            group.run(milliseconds(500));
            for (std::size_t number = 0; number < 5; ++number) {
                group.start(number, false);
            }
            group.run(seconds(10));
            ASSERT_GE(group.leader(), 0) << first << second;
            EXPECT_EQ(group.call(read_configuration_call{}).text, "version 9") << first << second;
            EXPECT_TRUE(group.leading().state().domainsOutOfService.contains("b"));
            EXPECT_EQ(group.phase(7), job_phase::running);
            EXPECT_EQ(votersOf(group), 5U);
        }
    }
}

// A process at a new address replaces one that has failed permanently.
TEST(discovery, replacesALostProcessByAnotherOne)
{
    fleet_group group(6, 5, 3);
    group.run(seconds(6));
    group.configure();
    group.crash(0);
    group.run(seconds(1));
    group.start(5, false);
    group.run(seconds(8));
    ASSERT_GE(group.leader(), 0);
    EXPECT_TRUE(isVoter(group, 5));
    EXPECT_FALSE(isVoter(group, 0));
    EXPECT_EQ(votersOf(group), 5U);
}

// A voter that was isolated and replaced by another process joins again as a member.
TEST(discovery, aReplacedProcessJoinsAgain)
{
    fleet_group group(6, 5, 3);
    group.run(seconds(6));
    group.isolate(4);
    group.start(5, false);
    group.run(seconds(10));
    ASSERT_GE(group.leader(), 0);
    EXPECT_FALSE(isVoter(group, 4));
    group.links->blockedLinks.clear();
    group.run(seconds(8));
    const members all = group.leading().replicaStatus().group;
    EXPECT_TRUE(std::any_of(all.begin(), all.end(), [](const member &one) {
        return one.address == fleet_group::addressOf(4);
    }));
}

} // namespace mango::test
