#include <cstdlib>
#include <iostream>

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Unit/replica_group.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace

// P10: accepted changes survive when all processes are killed at once.
TEST(replica, keepsAcceptedChangesWhenAllProcessesAreKilled)
{
    replica_group group(3);
    for (std::uint64_t version = 0; version < 5; ++version) {
        ASSERT_TRUE(group.putWithRetry(version));
    }
    for (std::size_t number = 0; number < 3; ++number) {
        group.crash(number);
    }
    for (std::size_t number = 0; number < 3; ++number) {
        group.restart(number);
    }
    group.run(seconds(5));
    ASSERT_GE(group.leader(), 0);
    EXPECT_EQ(group.version(static_cast<std::size_t>(group.leader())), 5U);
    EXPECT_TRUE(group.putWithRetry(5));
}

// P10: a change that is sent again with the same change id gets the result of the first one, also
// from the next leader.
TEST(replica, answersAResentChangeWithTheFirstResult)
{
    replica_group group(3);
    const auto first = static_cast<std::size_t>(group.leader());
    const auto pending = group.propose(first, replica_group::putRoutes(0, "once"));
    group.run(milliseconds(200));
    ASSERT_TRUE(replica_group::accepted(pending));
    group.crash(first);
    group.run(seconds(4));
    ASSERT_GE(group.leader(), 0);
    const auto second = static_cast<std::size_t>(group.leader());
    const auto again = group.propose(second, replica_group::putRoutes(0, "once"));
    const auto other = group.propose(second, replica_group::putRoutes(0, "another"));
    group.run(milliseconds(200));
    EXPECT_TRUE(replica_group::accepted(again));
    ASSERT_TRUE(other->has_value());
    EXPECT_FALSE(replica_group::accepted(other));
    EXPECT_EQ(group.version(second), 1U);
}

// P10: when two operators send changes with the same expected version, exactly one is accepted.
TEST(replica, acceptsOneOfTwoChangesWithTheSameVersion)
{
    replica_group group(3);
    const auto leader = static_cast<std::size_t>(group.leader());
    const auto one = group.propose(leader, replica_group::putRoutes(0, "one"));
    const auto other = group.propose(leader, replica_group::putRoutes(0, "other"));
    group.run(milliseconds(200));
    EXPECT_NE(replica_group::accepted(one), replica_group::accepted(other));
}

// P10: a crash during a write leaves an incomplete record at the end of the log. It is discarded;
// the accepted records before it are kept.
TEST(replica, discardsARecordTruncatedByACrash)
{
    for (const long bytes : {0L, 1L, 7L, 8L, 20L, 40L}) {
        replica_group group(1);
        ASSERT_TRUE(group.putWithRetry(0));
        group.disks[0]->tearNextAppend = bytes;
        const auto truncated = group.propose(0, replica_group::putRoutes(1, "torn"));
        group.run(milliseconds(100));
        EXPECT_FALSE(replica_group::accepted(truncated));
        group.crash(0);
        group.restart(0);
        group.run(seconds(3));
        ASSERT_EQ(group.leader(), 0) << bytes;
        EXPECT_EQ(group.version(0), 1U) << bytes;
        EXPECT_TRUE(group.putWithRetry(1)) << bytes;
    }
}

// A damaged record in the middle of the log is not mistaken for an incomplete last write.
TEST(replica, refusesToStartOnADamagedLog)
{
    replica_group group(1);
    for (std::uint64_t version = 0; version < 4; ++version) {
        ASSERT_TRUE(group.putWithRetry(version));
    }
    group.crash(0);
    for (auto &[name, bytes] : group.disks[0]->files) {
        if (name.starts_with("log-")) {
            bytes[bytes.size() / 2] ^= 0x40;
        }
    }
    group.restart(0);
    group.run(seconds(3));
    EXPECT_FALSE(group.nodes[0]->opened);
}

// P10: a leader whose disk is full accepts no more changes; another replica becomes leader, and no
// accepted change is lost.
TEST(replica, losesLeadershipWhenItsDiskIsFull)
{
    replica_group group(3);
    ASSERT_TRUE(group.putWithRetry(0));
    const auto leader = static_cast<std::size_t>(group.leader());
    group.disks[leader]->full = true;
    ASSERT_TRUE(group.putWithRetry(1));
    EXPECT_NE(group.leader(), static_cast<int>(leader));
    group.disks[leader]->full = false;
    group.run(seconds(3));
    EXPECT_EQ(group.version(leader), 2U);
}

// When a full disk leaves half of a record behind and stays full, the record is not accepted,
// neither then nor after a restart.
TEST(replica, discardsAPartiallyWrittenRecord)
{
    replica_group group(1);
    ASSERT_TRUE(group.putWithRetry(0));
    group.disks[0]->full = true;
    const auto pending = group.propose(0, replica_group::putRoutes(1, "full"));
    group.run(seconds(6));
    EXPECT_FALSE(replica_group::accepted(pending));
    group.crash(0);
    group.disks[0]->full = false;
    group.restart(0);
    group.run(seconds(3));
    ASSERT_EQ(group.leader(), 0);
    EXPECT_EQ(group.version(0), 1U);
}

// P10: a replica that was isolated during 400 changes catches up through a snapshot, and no change
// is reverted.
TEST(replica, catchesUpAfterHundredsOfChanges)
{
    replica_group group(3);
    group.options.entriesPerSnapshot = 50;
    for (std::size_t number = 0; number < 3; ++number) {
        group.crash(number);
        group.restart(number);
    }
    group.run(seconds(4));
    const auto isolated = static_cast<std::size_t>((group.leader() + 1) % 3);
    group.isolate(isolated);
    for (std::uint64_t version = 0; version < 400; ++version) {
        ASSERT_TRUE(group.putWithRetry(version));
    }
    EXPECT_LT(group.version(isolated), 400U);
    group.reconnectAll();
    group.run(seconds(5));
    EXPECT_EQ(group.version(isolated), 400U);
    EXPECT_EQ(group.leaderCount(), 1U);
    const std::uint64_t commitIndex = group.nodes[isolated]->consensus->status().commitIndex;
    EXPECT_GT(commitIndex, 400U);
}

// P10: a replica whose disk was emptied comes back with a new identity. It must not form a majority
// with a replica that is behind, since a change that only the crashed leader holds would be lost.
TEST(replica, emptiedReplicaCannotElectALeaderThatLacksAcceptedChanges)
{
    replica_group group(3);
    ASSERT_TRUE(group.putWithRetry(0));
    const auto leader = static_cast<std::size_t>(group.leader());
    const std::size_t behind = (leader + 1) % 3;
    const std::size_t emptied = (leader + 2) % 3;
    group.isolate(behind);
    ASSERT_TRUE(group.putWithRetry(1));
    // The only other replica that has the change loses its disk, and the leader crashes.
    group.wipe(emptied);
    group.crash(leader);
    group.reconnectAll();
    group.restart(emptied);
    group.run(seconds(20));
    EXPECT_EQ(group.leaderCount(), 0U) << "a leader without the accepted change was elected";
    group.restart(leader);
    group.run(seconds(20));
    ASSERT_GE(group.leader(), 0);
    EXPECT_EQ(group.version(static_cast<std::size_t>(group.leader())), 2U);
    EXPECT_TRUE(group.putWithRetry(2));
}

// P10: once an emptied replica is a voter again, a second replica may be lost at once.
TEST(replica, survivesASecondLossRightAfterARepair)
{
    replica_group group(3);
    for (std::uint64_t version = 0; version < 3; ++version) {
        ASSERT_TRUE(group.putWithRetry(version));
    }
    const auto leader = static_cast<std::size_t>(group.leader());
    const std::size_t emptied = (leader + 1) % 3;
    group.wipe(emptied);
    group.restart(emptied);
    group.run(seconds(10));
    const auto &members = group.nodes[leader]->consensus->status().group;
    EXPECT_TRUE(std::all_of(members.begin(), members.end(), [](const member &one) {
        return one.voter;
    }));
    group.wipe((leader + 2) % 3);
    EXPECT_TRUE(group.putWithRetry(3));
    group.crash(leader);
    group.restart(leader);
    group.run(seconds(5));
    ASSERT_GE(group.leader(), 0);
    EXPECT_EQ(group.version(static_cast<std::size_t>(group.leader())), 4U);
}

// P10: the status shows a repaired replica as a voter only once that change is committed, so that
// the leader may be lost at that moment without losing an accepted change.
TEST(replica, reportsAVoterOnlyOnceItsPromotionIsCommitted)
{
    replica_group group(3);
    ASSERT_TRUE(group.putWithRetry(0));
    const auto leader = static_cast<std::size_t>(group.leader());
    group.wipe((leader + 1) % 3);
    group.restart((leader + 1) % 3);
    const auto allVote = [&] {
        const auto members = group.nodes[leader]->consensus->status().group;
        return std::all_of(members.begin(), members.end(), [](const member &one) {
            return one.voter;
        });
    };
    // Until the emptied replica is added, its previous identity is shown as a voter.
    for (int wait = 0; wait < 20'000 && allVote(); ++wait) {
        group.run(milliseconds(1));
    }
    for (int wait = 0; wait < 20'000 && !allVote(); ++wait) {
        group.run(milliseconds(1));
    }
    ASSERT_TRUE(allVote());
    group.wipe(leader);
    group.run(seconds(10));
    ASSERT_GE(group.leader(), 0);
    EXPECT_EQ(group.version(static_cast<std::size_t>(group.leader())), 1U);
}

// P10: when a promotion is committed the leader may be lost, also while one of the other two
// replicas has not heard of the promotion: they must elect a leader. The link to one of them is cut
// at each of 150 moments around the promotion.
TEST(replica, electsALeaderThoughOneVoterHasNotHeardOfAPromotion)
{
    int committedPromotions = 0;
    for (const std::size_t uninformed : {1U, 2U}) {
        for (int moment = 0; moment < 150; ++moment) {
            replica_group group(3);
            ASSERT_TRUE(group.putWithRetry(0));
            const auto leader = static_cast<std::size_t>(group.leader());
            const std::size_t emptied = (leader + 1) % 3;
            const auto votersOf = [&] {
                const auto members = group.nodes[leader]->consensus->status().group;
                return std::count_if(members.begin(), members.end(), [](const member &one) {
                    return one.voter;
                });
            };
            group.wipe(emptied);
            group.restart(emptied);
            for (int wait = 0; wait < 20'000 && votersOf() == 3; ++wait) {
                group.run(milliseconds(1));
            }
            ASSERT_EQ(votersOf(), 2) << "the emptied replica is a learner";
            group.run(milliseconds(moment));
            group.disconnect(leader, (leader + uninformed) % 3);
            for (int wait = 0; wait < 500 && votersOf() < 3 && group.leader() >= 0; ++wait) {
                group.run(milliseconds(1));
            }
            if (votersOf() < 3) {
                continue;
            }
            ++committedPromotions;
            group.wipe(leader);
            group.reconnectAll();
            group.run(seconds(10));
            ASSERT_GE(group.leader(), 0) << "uninformed " << uninformed << ", moment " << moment;
            EXPECT_EQ(group.version(static_cast<std::size_t>(group.leader())), 1U);
        }
    }
    EXPECT_GT(committedPromotions, 0);
}

// P4, P10: an isolated leader, which sees no connection errors, loses its lease before another
// replica can be elected.
TEST(replica, isolatedLeaderLosesItsLeaseBeforeAnotherIsElected)
{
    replica_group group(3);
    const auto old = static_cast<std::size_t>(group.leader());
    group.isolate(old);
    for (int step = 0; step < 400; ++step) {
        group.run(milliseconds(10));
        ASSERT_LE(group.leaderCount(), 1U) << "two leaders at step " << step;
    }
    EXPECT_NE(group.leader(), static_cast<int>(old));
    const auto late = group.propose(old, replica_group::putRoutes(0, "late"));
    group.run(seconds(7));
    EXPECT_FALSE(replica_group::accepted(late));
    group.reconnectAll();
    group.run(seconds(3));
    EXPECT_EQ(group.leaderCount(), 1U);
}

// A replica that was isolated does not depose the leader when it reconnects (pre-vote).
TEST(replica, reconnectingReplicaDoesNotDeposeTheLeader)
{
    replica_group group(3);
    const int leader = group.leader();
    const auto isolated = static_cast<std::size_t>((leader + 1) % 3);
    const std::uint64_t term = group.nodes[static_cast<std::size_t>(leader)]->consensus->term();
    group.isolate(isolated);
    group.run(seconds(30));
    group.reconnectAll();
    group.run(seconds(5));
    EXPECT_EQ(group.leader(), leader);
    EXPECT_EQ(group.nodes[static_cast<std::size_t>(leader)]->consensus->term(), term);
}

// P9: at a planned stop the leader transfers leadership in well under an election timeout.
TEST(replica, plannedStopTransfersLeadership)
{
    replica_group group(3);
    const auto leader = static_cast<std::size_t>(group.leader());
    boost::asio::co_spawn(*group.context, group.nodes[leader]->consensus->stop(),
                          boost::asio::detached);
    group.run(milliseconds(400));
    EXPECT_GE(group.leader(), 0);
    EXPECT_NE(group.leader(), static_cast<int>(leader));
}

// Messages that are delivered twice have no additional effect.
TEST(replica, toleratesDuplicatedMessages)
{
    replica_group group(3);
    group.links->duplicateFrames = true;
    for (std::uint64_t version = 0; version < 20; ++version) {
        ASSERT_TRUE(group.putWithRetry(version));
    }
    EXPECT_EQ(group.leaderCount(), 1U);
}

// P10 under random crashes, restarts, blocked links and concurrent changes: there are never two
// leaders, the accepted version never decreases, and all replicas end with the same version.
TEST(replica, randomFaultsNeverRevertAnAcceptedChange)
{
    // MANGO_FIRST_SEED selects other seeds for manual runs; CI uses the default.
    const char *given = std::getenv("MANGO_FIRST_SEED");
    const std::uint64_t first = given == nullptr ? 1 : std::strtoull(given, nullptr, 10);
    std::cout << "seeds " << first << " to " << first + 11 << "\n";
    for (std::uint64_t seed = first; seed < first + 12; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        replica_group group(3, seed);
        group.options.entriesPerSnapshot = 10;
        seeded_random choose(seed * 77);
        std::uint64_t accepted = 0;
        std::vector<replica_group::outcome> open;
        for (int step = 0; step < 120; ++step) {
            const std::size_t one = choose.below(3);
            switch (choose.below(7)) {
            case 0:
                group.crash(one);
                break;
            case 1:
            case 2:
                if (!group.nodes[one]) {
                    group.restart(one);
                }
                break;
            case 3:
                group.disconnect(one, (one + 1) % 3);
                break;
            case 4:
                group.reconnectAll();
                break;
            default:
                if (group.leader() >= 0) {
                    const auto leader = static_cast<std::size_t>(group.leader());
                    open.push_back(group.propose(
                            leader, replica_group::putRoutes(group.version(leader),
                                                             "s" + std::to_string(step))));
                }
            }
            group.run(milliseconds(100 + choose.below(900)));
            ASSERT_LE(group.leaderCount(), 1U);
            for (const auto &pending : open) {
                if (replica_group::accepted(pending)) {
                    accepted = std::max(accepted,
                                        std::get<change_accepted>(valueOf(**pending)).version);
                }
            }
            if (group.leader() >= 0) {
                ASSERT_GE(group.version(static_cast<std::size_t>(group.leader())), accepted)
                        << "version reverted at step " << step;
            }
        }
        group.reconnectAll();
        for (std::size_t number = 0; number < 3; ++number) {
            if (!group.nodes[number]) {
                group.restart(number);
            }
        }
        group.run(seconds(10));
        ASSERT_GE(group.leader(), 0);
        const std::uint64_t final = group.version(static_cast<std::size_t>(group.leader()));
        EXPECT_GE(final, accepted);
        EXPECT_GT(accepted, 0U);
        for (std::size_t number = 0; number < 3; ++number) {
            EXPECT_EQ(group.version(number), final);
        }
    }
}

} // namespace mango::test
