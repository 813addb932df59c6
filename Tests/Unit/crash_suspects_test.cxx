#include <gtest/gtest.h>

#include <cmath>
#include <functional>

#include "Common/random_source.h"
#include "Scheduling/crash_suspects.h"

namespace mango::test {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr double usualRate = 1e-4;

crash_evidence atStart(std::uint32_t weight = 670)
{
    return {run_confirmation::confirmed, milliseconds(10), weight, false};
}

crash_evidence later(std::uint32_t weight = 340)
{
    return {run_confirmation::confirmed, seconds(2), weight, false};
}

crash_evidence possible()
{
    return {run_confirmation::unknown, milliseconds(0), 200, false};
}

crash_evidence unanswered()
{
    return {run_confirmation::unanswered, milliseconds(0), 100, false};
}

crash_record recordOf(const std::vector<crash_evidence> &crashes)
{
    crash_record record;
    for (const crash_evidence &crash : crashes) {
        recordCrash(record, crash);
    }
    return record;
}

run_at_crash runAfter(milliseconds lasted, crash_record record = {})
{
    return {lasted, run_confirmation::confirmed, record};
}

std::uint32_t weightAmong(const std::vector<run_at_crash> &runs, double rate = usualRate)
{
    return weighCrash(runs, rate)[0].weight;
}

crash_surroundings calm(std::size_t workers)
{
    crash_surroundings surroundings;
    surroundings.silentSince = steady_time(seconds(100));
    surroundings.workerCount = workers;
    return surroundings;
}

// A number of 0 to 1.
double drawShare(random_source &draw)
{
    return static_cast<double>(draw.below(1'000'000)) / 1e6;
}

milliseconds drawUpTo(random_source &draw, milliseconds most)
{
    return milliseconds(draw.below(static_cast<std::uint32_t>(most.count()) + 1));
}

// Sound tasks beside a run, some of which have just begun.
std::vector<run_at_crash> drawNeighbours(random_source &draw, std::size_t count)
{
    std::vector<run_at_crash> runs;
    for (std::size_t number = 0; number < count; ++number) {
        const bool justBegun = draw.below(10) == 0;
        runs.push_back(runAfter(justBegun ? milliseconds(0) : drawUpTo(draw, seconds(3))));
    }
    return runs;
}

struct culprit_history
{
    int crashes = 0;
    // Neighbours that a crash alone would have proven guilty.
    int soundGivenUp = 0;
};

// Starts a task, which crashes its worker each time, until it is given up or has had 50 crashes.
culprit_history startCulprit(random_source &draw, const std::function<milliseconds()> &crashTime,
                             std::size_t neighbours, double rate)
{
    culprit_history history;
    crash_record record;
    while (!isProvenCulprit(record) && history.crashes < 50) {
        const milliseconds lasted = crashTime();
        // A worker is heard at least once a second.
        const milliseconds unheard = drawUpTo(draw, std::min(lasted, milliseconds(1000)));
        std::vector<run_at_crash> runs = drawNeighbours(draw, neighbours);
        runs.push_back(runAfter(lasted - unheard, record));
        const auto weighed = weighCrash(runs, rate);
        recordCrash(record, weighed.back());
        for (std::size_t at = 0; at < neighbours; ++at) {
            history.soundGivenUp += isProvenCulprit(recordOf({weighed[at]})) ? 1 : 0;
        }
        ++history.crashes;
    }
    return history;
}

} // namespace

// No two crashes end a job, however strong their evidence is.
TEST(crash_record, isProvenByTwoCrashes)
{
    EXPECT_FALSE(isProvenCulprit(recordOf({atStart()})));
    EXPECT_FALSE(isProvenCulprit(recordOf({atStart(), later()})));
    EXPECT_FALSE(isProvenCulprit(recordOf({later(), later()})));
    EXPECT_FALSE(isProvenCulprit(recordOf({atStart(), possible()})));
    EXPECT_FALSE(isProvenCulprit(recordOf({atStart(), possible(), unanswered()})));
    EXPECT_FALSE(isProvenCulprit(recordOf({possible(), possible(), possible()})));
    EXPECT_FALSE(isProvenCulprit(
            recordOf({unanswered(), unanswered(), unanswered(), atStart(250), atStart(250)})));
    EXPECT_FALSE(isProvenCulprit(recordOf({atStart(), atStart()})));
    EXPECT_FALSE(isProvenCulprit(recordOf({atStart(), atStart(), unanswered()})));
    EXPECT_TRUE(isProvenCulprit(recordOf({atStart(), atStart(), later(0)})));
    EXPECT_TRUE(isProvenCulprit(recordOf({later(), later(), later()})));
    EXPECT_TRUE(isProvenCulprit(recordOf({atStart(), atStart(250), possible()})));
}

// Crashes that have other likely causes.
TEST(crash_record, endsASoundTaskForTheCrashesOfOthers)
{
    EXPECT_FALSE(isProvenCulprit(recordOf({atStart(250), atStart(250), atStart(250)})));
    EXPECT_FALSE(isProvenCulprit(recordOf({later(200), later(200), later(200), later(200)})));
    crash_evidence unrelated = atStart();
    unrelated.explained = true;
    EXPECT_EQ(recordOf({unrelated}), crash_record{});
}

// The platform allows three crashes and two more runs, however the crashes come about.
TEST(crash_record, neverReachesItsLimit)
{
    const std::vector<crash_evidence> kinds{later(0), possible(), atStart(0), atStart()};
    for (int mix = 0; mix < 1024; ++mix) {
        crash_record record;
        for (int crash = 0; crash < 5; ++crash) {
            recordCrash(record, kinds[static_cast<std::size_t>(mix >> 2 * crash & 3)]);
        }
        EXPECT_TRUE(isProvenCulprit(record)) << mix;
    }
    EXPECT_TRUE(isProvenCulprit(recordOf(std::vector<crash_evidence>(5, unanswered()))));
}

// A crash 10 s after the start or later reset the record, that crash included.
TEST(crash_record, isResetByACrashLongAfterTheStart)
{
    for (const seconds lasted : {seconds(10), seconds(12), seconds(60), seconds(299)}) {
        crash_record record = recordOf({atStart(), possible()});
        const crash_record before = record;
        recordCrash(record, {run_confirmation::confirmed, lasted, 0, false});
        EXPECT_EQ(record.crashes, before.crashes + 1);
        EXPECT_EQ(record.suspicion, before.suspicion);
        EXPECT_EQ(record.possibleCrashes, before.possibleCrashes);
    }
}

// Each harmless run makes up for one crash, and none for all of them.
TEST(crash_record, isResetByOneHarmlessRun)
{
    crash_record record = recordOf({later(), later(), possible()});
    recordHarmlessRun(record, seconds(5));
    EXPECT_EQ(record, recordOf({later(), later(), possible()}));
    recordHarmlessRun(record, seconds(6));
    EXPECT_EQ(record.crashes, 1U);
    EXPECT_EQ(record.suspicion, 650U);
    for (int run = 0; run < 4; ++run) {
        recordHarmlessRun(record, minutes(6));
    }
    EXPECT_EQ(record.crashes + record.possibleCrashes + record.suspicion, 0U);
}

TEST(crash_suspects, areRunsThatBeganShortlyBefore)
{
    const std::vector<run_at_crash> runs{runAfter(milliseconds(0)),
                                         runAfter(milliseconds(400)),
                                         runAfter(milliseconds(1500)),
                                         runAfter(seconds(30)),
                                         {milliseconds(0), run_confirmation::unknown, {}},
                                         {milliseconds(0), run_confirmation::unanswered, {}}};
    const auto weighed = weighCrash(runs, usualRate);
    EXPECT_GT(weighed[0].weight, weighed[1].weight);
    EXPECT_GE(weighed[1].weight, weighed[2].weight);
    EXPECT_GE(weighed[2].weight, weighed[3].weight);
    EXPECT_LE(weighed[4].weight, 200U);
    EXPECT_LE(weighed[5].weight, 100U);
    for (const crash_evidence &evidence : weighed) {
        EXPECT_FALSE(evidence.explained);
    }
}

// The more others may have done it, the less a crash says of one of them.
TEST(crash_suspects, areBlamedAloneAmongMany)
{
    std::uint32_t before = weightAmong({runAfter(milliseconds(10))});
    EXPECT_EQ(before, 670U);
    for (const std::size_t others : {5U, 20U, 100U}) {
        std::vector<run_at_crash> runs(others + 1, runAfter(milliseconds(10)));
        const std::uint32_t weight = weightAmong(runs);
        EXPECT_LT(weight, before) << others;
        before = weight;
    }
    EXPECT_EQ(weightAmong({runAfter(milliseconds(10)), runAfter(seconds(40))}), 670U);
}

// Sound tasks beside several trials were given up for the crashes of these.
TEST(crash_suspects, areTheRunsBesideAKnownCulprit)
{
    const crash_record known = recordOf({atStart(), possible()});
    const auto weighed = weighCrash(
            {runAfter(milliseconds(5), known), runAfter(seconds(2)), runAfter(seconds(20))},
            usualRate);
    EXPECT_EQ(weighed[0].weight, 670U);
    EXPECT_FALSE(weighed[0].explained);
    for (const std::size_t sound : {1U, 2U}) {
        EXPECT_TRUE(weighed[sound].explained);
        EXPECT_EQ(weighed[sound].weight, 0U);
    }
}

// A run that ends with the loss of a rack, or on a worker that crashes again and again, says little
// about its task.
TEST(crash_suspects, areBlamedForTheLossOfARack)
{
    crash_surroundings rack = calm(48);
    rack.othersSilentSince = {steady_time(seconds(92)), steady_time(milliseconds(99'300))};
    for (int number = 0; number < 5; ++number) {
        rack.othersSilentSince.emplace_back(milliseconds(99'500 + number * 150));
    }
    EXPECT_FALSE(isCrashBurst(rack.othersSilentSince, rack.silentSince, 48));
    rack.othersSilentSince.push_back(rack.silentSince + milliseconds(250));
    EXPECT_TRUE(isCrashBurst(rack.othersSilentSince, rack.silentSince, 48));
    EXPECT_FALSE(isCrashBurst(rack.othersSilentSince, rack.silentSince, 400));
    EXPECT_LE(weightAmong({runAfter(milliseconds(5))}, ordinaryCrashRate(rack)), 100U);
    EXPECT_EQ(weightAmong({runAfter(seconds(2))}, ordinaryCrashRate(rack)), 0U);
    crash_surroundings unstable = calm(48);
    unstable.recentCrashesAtAddress = 2;
    EXPECT_EQ(weightAmong({runAfter(seconds(2))}, ordinaryCrashRate(unstable)), 0U);
    EXPECT_LE(ordinaryCrashRate(calm(48)), usualRate);
}

// The platform allows two starts after three crashes, at whatever time after its start the task
// crashes its workers, and beside however many others.
TEST(crash_evidence_table, culpritIsStartedBeyondItsLimit)
{
    seeded_random draw(1);
    int soundGivenUp = 0;
    for (const milliseconds crashTime :
         {milliseconds(50), milliseconds(300), milliseconds(700), milliseconds(2000),
          milliseconds(5000), milliseconds(12'000), milliseconds(30'000), milliseconds(60'000),
          milliseconds(290'000)}) {
        for (const std::size_t neighbours : {0U, 1U, 3U, 8U, 20U}) {
            for (const double rate : {usualRate, 3e-3, 0.05}) {
                for (int history = 0; history < 20; ++history) {
                    const culprit_history seen = startCulprit(
                            draw,
                            [crashTime] {
                                return crashTime;
                            },
                            neighbours, rate);
                    ASSERT_LE(seen.crashes, 5) << crashTime.count() << " ms after the start beside "
                                               << neighbours << ", rate " << rate;
                    soundGivenUp += seen.soundGivenUp;
                }
            }
        }
    }
    EXPECT_EQ(soundGivenUp, 0);
}

// The same when it crashes its workers at another time after each start.
TEST(crash_evidence_table, culpritOfChangingCrashTimesIsStartedBeyondItsLimit)
{
    seeded_random draw(2);
    for (const std::size_t neighbours : {0U, 3U, 20U}) {
        for (int history = 0; history < 300; ++history) {
            const culprit_history seen = startCulprit(
                    draw,
                    [&draw] {
                        return milliseconds(50) + drawUpTo(draw, seconds(60));
                    },
                    neighbours, usualRate);
            ASSERT_LE(seen.crashes, 5) << neighbours;
        }
    }
}

// A calm service: a task that crashes its workers alone is given up early.
TEST(crash_evidence_table, culpritTakesDownAsManyWorkersAsAllowed)
{
    seeded_random draw(3);
    const auto crashesAfter = [&draw](milliseconds time) {
        return startCulprit(
                       draw,
                       [time] {
                           return time;
                       },
                       0, usualRate)
                .crashes;
    };
    EXPECT_EQ(crashesAfter(milliseconds(50)), 3);
    EXPECT_EQ(crashesAfter(seconds(12)), 3);
    EXPECT_LE(crashesAfter(seconds(60)), 4);
}

// Workers crash a hundred times as often as in a fleet of 1,800 workers with one crash a minute.
// Their runs take up to 10 s and are started until they are done.
TEST(crash_evidence_table, soundTaskIsGivenUpForOrdinaryCrashes)
{
    seeded_random draw(4);
    constexpr double rate = 100.0 / 60 / 1800;
    int givenUp = 0;
    int crashes = 0;
    for (int history = 0; history < 10'000; ++history) {
        const milliseconds duration = milliseconds(500) + drawUpTo(draw, milliseconds(9500));
        crash_record record;
        bool isDone = false;
        while (!isDone && !isProvenCulprit(record)) {
            const double untilCrash = -std::log(1 - drawShare(draw)) / rate;
            isDone = untilCrash * 1000 >= static_cast<double>(duration.count());
            if (!isDone) {
                auto runs = drawNeighbours(draw, draw.below(11));
                runs.push_back(runAfter(milliseconds(static_cast<int>(untilCrash * 1000)), record));
                recordCrash(record, weighCrash(runs, rate).back());
                ++crashes;
            }
        }
        givenUp += isProvenCulprit(record) ? 1 : 0;
    }
    EXPECT_EQ(givenUp, 0);
    EXPECT_GT(crashes, 30);
}

// Long-running tasks in a fleet of 1,800 workers with one crash a minute: each loses its worker
// every 30 hours, a hundred times.
TEST(crash_evidence_table, longRunningTaskIsGivenUpForCrashesOverItsLife)
{
    seeded_random draw(5);
    constexpr double meanHours = 30;
    int givenUp = 0;
    for (int history = 0; history < 10'000; ++history) {
        crash_record record;
        for (int crash = 0; crash < 100 && !isProvenCulprit(record); ++crash) {
            const double lasted = -std::log(1 - drawShare(draw)) * meanHours;
            auto runs = drawNeighbours(draw, draw.below(11));
            runs.push_back(
                    runAfter(milliseconds(static_cast<std::int64_t>(lasted * 3.6e6)), record));
            recordCrash(record, weighCrash(runs, usualRate).back());
        }
        givenUp += isProvenCulprit(record) ? 1 : 0;
    }
    EXPECT_EQ(givenUp, 0);
}

} // namespace mango::test
