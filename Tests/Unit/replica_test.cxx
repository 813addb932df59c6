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

// P10: what was accepted is there after every process was killed at once.
TEST(replica, keepsAcceptedChangesWhenAllProcessesAreKilled)
{
    replica_group group(3);
    for (std::uint64_t version = 0; version < 5; ++version) {
        ASSERT_TRUE(group.put(version));
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
    EXPECT_TRUE(group.put(5));
}

// P10: a resend with the same change id gets the first verdict, also from the next leader.
TEST(replica, givesAResendItsFirstVerdict)
{
    replica_group group(3);
    const auto first = static_cast<std::size_t>(group.leader());
    const auto made = group.propose(first, replica_group::putRoutes(0, "once"));
    group.run(milliseconds(200));
    ASSERT_TRUE(replica_group::accepted(made));
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

// P10: two operators with the same version number; one is accepted, the other refused.
TEST(replica, acceptsOneOfTwoChangesWithTheSameVersion)
{
    replica_group group(3);
    const auto leads = static_cast<std::size_t>(group.leader());
    const auto one = group.propose(leads, replica_group::putRoutes(0, "one"));
    const auto other = group.propose(leads, replica_group::putRoutes(0, "other"));
    group.run(milliseconds(200));
    EXPECT_NE(replica_group::accepted(one), replica_group::accepted(other));
}

// P10: a record cut short by a crash is dropped; the accepted ones before it stay.
TEST(replica, dropsARecordThatACrashCutShort)
{
    for (const long bytes : {0L, 1L, 7L, 8L, 20L, 40L}) {
        replica_group group(1);
        ASSERT_TRUE(group.put(0));
        group.disks[0]->tearNextAppend = bytes;
        const auto torn = group.propose(0, replica_group::putRoutes(1, "torn"));
        group.run(milliseconds(100));
        EXPECT_FALSE(replica_group::accepted(torn));
        group.crash(0);
        group.restart(0);
        group.run(seconds(3));
        ASSERT_EQ(group.leader(), 0) << bytes;
        EXPECT_EQ(group.version(0), 1U) << bytes;
        EXPECT_TRUE(group.put(1)) << bytes;
    }
}

// A record damaged in the middle of the log is not taken for a cut tail.
TEST(replica, refusesToStartOnADamagedLog)
{
    replica_group group(1);
    for (std::uint64_t version = 0; version < 4; ++version) {
        ASSERT_TRUE(group.put(version));
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

// P10: a leader whose disk is full accepts nothing more, another takes over, nothing is lost.
TEST(replica, handsOverWhenItsDiskIsFull)
{
    replica_group group(3);
    ASSERT_TRUE(group.put(0));
    const auto leads = static_cast<std::size_t>(group.leader());
    group.disks[leads]->full = true;
    ASSERT_TRUE(group.put(1));
    EXPECT_NE(group.leader(), static_cast<int>(leads));
    group.disks[leads]->full = false;
    group.run(seconds(3));
    EXPECT_EQ(group.version(leads), 2U);
}

// A disk that stays full after a half-written record never gives that record back as accepted.
TEST(replica, doesNotKeepHalfOfAFailedAppend)
{
    replica_group group(1);
    ASSERT_TRUE(group.put(0));
    group.disks[0]->full = true;
    const auto made = group.propose(0, replica_group::putRoutes(1, "full"));
    group.run(seconds(6));
    EXPECT_FALSE(replica_group::accepted(made));
    group.crash(0);
    group.disks[0]->full = false;
    group.restart(0);
    group.run(seconds(3));
    ASSERT_EQ(group.leader(), 0);
    EXPECT_EQ(group.version(0), 1U);
}

// P10: a replica cut off for hundreds of changes catches up by a snapshot and does not revert.
TEST(replica, catchesUpAfterHundredsOfChanges)
{
    replica_group group(3);
    group.options.entriesPerSnapshot = 50;
    for (std::size_t number = 0; number < 3; ++number) {
        group.crash(number);
        group.restart(number);
    }
    group.run(seconds(4));
    const auto away = static_cast<std::size_t>((group.leader() + 1) % 3);
    group.isolate(away);
    for (std::uint64_t version = 0; version < 400; ++version) {
        ASSERT_TRUE(group.put(version));
    }
    EXPECT_LT(group.version(away), 400U);
    group.heal();
    group.run(seconds(5));
    EXPECT_EQ(group.version(away), 400U);
    EXPECT_EQ(group.leaders(), 1U);
    const std::uint64_t lag = group.nodes[away]->agreement->status().commitIndex;
    EXPECT_GT(lag, 400U);
}

// P10: an emptied replica has a new identity and cannot vote away what was accepted without it.
TEST(replica, emptiedReplicaCannotVoteAwayAcceptedChanges)
{
    replica_group group(3);
    ASSERT_TRUE(group.put(0));
    const auto keeper = static_cast<std::size_t>(group.leader());
    const std::size_t behind = (keeper + 1) % 3;
    const std::size_t emptied = (keeper + 2) % 3;
    group.isolate(behind);
    ASSERT_TRUE(group.put(1));
    // The one other replica that has the change loses its disk, and the leader goes away.
    group.wipe(emptied);
    group.crash(keeper);
    group.heal();
    group.restart(emptied);
    group.run(seconds(20));
    EXPECT_EQ(group.leaders(), 0U) << "a majority without the accepted change formed";
    group.restart(keeper);
    group.run(seconds(20));
    ASSERT_GE(group.leader(), 0);
    EXPECT_EQ(group.version(static_cast<std::size_t>(group.leader())), 2U);
    EXPECT_TRUE(group.put(2));
}

// P10: an emptied replica is taken in again, and a second one may be lost right after.
TEST(replica, survivesASecondLossRightAfterARepair)
{
    replica_group group(3);
    for (std::uint64_t version = 0; version < 3; ++version) {
        ASSERT_TRUE(group.put(version));
    }
    const auto leads = static_cast<std::size_t>(group.leader());
    const std::size_t emptied = (leads + 1) % 3;
    group.wipe(emptied);
    group.restart(emptied);
    group.run(seconds(10));
    const auto &members = group.nodes[leads]->agreement->status().group;
    EXPECT_TRUE(std::all_of(members.begin(), members.end(), [](const member &one) {
        return one.voter;
    }));
    group.wipe((leads + 2) % 3);
    EXPECT_TRUE(group.put(3));
    group.crash(leads);
    group.restart(leads);
    group.run(seconds(5));
    ASSERT_GE(group.leader(), 0);
    EXPECT_EQ(group.version(static_cast<std::size_t>(group.leader())), 4U);
}

// P10: once the status shows the vote of a repaired replica, the leader may be lost at that moment.
TEST(replica, showsAVoteOnlyOnceItCounts)
{
    replica_group group(3);
    ASSERT_TRUE(group.put(0));
    const auto leads = static_cast<std::size_t>(group.leader());
    group.wipe((leads + 1) % 3);
    group.restart((leads + 1) % 3);
    const auto allVote = [&] {
        const auto members = group.nodes[leads]->agreement->status().group;
        return std::all_of(members.begin(), members.end(), [](const member &one) {
            return one.voter;
        });
    };
    // Until the emptied one is taken in, its earlier identity is shown as a voter.
    for (int wait = 0; wait < 20'000 && allVote(); ++wait) {
        group.run(milliseconds(1));
    }
    for (int wait = 0; wait < 20'000 && !allVote(); ++wait) {
        group.run(milliseconds(1));
    }
    ASSERT_TRUE(allVote());
    group.wipe(leads);
    group.run(seconds(10));
    ASSERT_GE(group.leader(), 0);
    EXPECT_EQ(group.version(static_cast<std::size_t>(group.leader())), 1U);
}

// P4, P10: a leader cut off in silence stops counting as one before another can lead.
TEST(replica, cutOffLeaderLosesItsLeaseFirst)
{
    replica_group group(3);
    const auto old = static_cast<std::size_t>(group.leader());
    group.isolate(old);
    for (int step = 0; step < 400; ++step) {
        group.run(milliseconds(10));
        ASSERT_LE(group.leaders(), 1U) << "two leaders at step " << step;
    }
    EXPECT_NE(group.leader(), static_cast<int>(old));
    const auto late = group.propose(old, replica_group::putRoutes(0, "late"));
    group.run(seconds(7));
    EXPECT_FALSE(replica_group::accepted(late));
    group.heal();
    group.run(seconds(3));
    EXPECT_EQ(group.leaders(), 1U);
}

// A replica that comes back from being cut off does not unseat the leader (pre-vote).
TEST(replica, returningReplicaDoesNotDisturbTheLeader)
{
    replica_group group(3);
    const int leads = group.leader();
    const auto away = static_cast<std::size_t>((leads + 1) % 3);
    const std::uint64_t term = group.nodes[static_cast<std::size_t>(leads)]->agreement->term();
    group.isolate(away);
    group.run(seconds(30));
    group.heal();
    group.run(seconds(5));
    EXPECT_EQ(group.leader(), leads);
    EXPECT_EQ(group.nodes[static_cast<std::size_t>(leads)]->agreement->term(), term);
}

// P9: a planned stop of the leader hands over in well under an election timeout.
TEST(replica, plannedStopHandsLeadershipOver)
{
    replica_group group(3);
    const auto leads = static_cast<std::size_t>(group.leader());
    boost::asio::co_spawn(*group.context, group.nodes[leads]->agreement->stop(),
                          boost::asio::detached);
    group.run(milliseconds(400));
    EXPECT_GE(group.leader(), 0);
    EXPECT_NE(group.leader(), static_cast<int>(leads));
}

// Messages that arrive twice change nothing.
TEST(replica, toleratesDuplicatedMessages)
{
    replica_group group(3);
    group.links->duplicate = true;
    for (std::uint64_t version = 0; version < 20; ++version) {
        ASSERT_TRUE(group.put(version));
    }
    EXPECT_EQ(group.leaders(), 1U);
}

// P10 under random kills, cuts, wipes of at most one disk and races: accepted versions never go
// back and never fork.
TEST(replica, randomFaultsNeverRevertAnAcceptedChange)
{
    // By hand, MANGO_FIRST_SEED gives other seeds than the fixed ones of CI.
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
                group.cut(one, (one + 1) % 3);
                break;
            case 4:
                group.heal();
                break;
            default:
                if (group.leader() >= 0) {
                    const auto leads = static_cast<std::size_t>(group.leader());
                    open.push_back(group.propose(
                            leads, replica_group::putRoutes(group.version(leads),
                                                            "s" + std::to_string(step))));
                }
            }
            group.run(milliseconds(100 + choose.below(900)));
            ASSERT_LE(group.leaders(), 1U);
            for (const auto &made : open) {
                if (replica_group::accepted(made)) {
                    accepted =
                            std::max(accepted, std::get<change_accepted>(valueOf(**made)).version);
                }
            }
            if (group.leader() >= 0) {
                ASSERT_GE(group.version(static_cast<std::size_t>(group.leader())), accepted)
                        << "reverted at step " << step;
            }
        }
        group.heal();
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
