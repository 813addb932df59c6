#include <gtest/gtest.h>

#include "Scheduling/crash_suspects.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

crash_record recordOf(const std::vector<crash_blame> &blames)
{
    crash_record record;
    for (const crash_blame blame : blames) {
        recordCrash(record, blame);
    }
    return record;
}

steady_time at(milliseconds time)
{
    return steady_time(time);
}

} // namespace

TEST(crash_record, isProvenByASecondCrashWithoutAnotherCause)
{
    EXPECT_FALSE(isProvenCulprit(recordOf({crash_blame::shared})));
    EXPECT_FALSE(isProvenCulprit(recordOf({crash_blame::sole})));
    EXPECT_FALSE(isProvenCulprit(recordOf({crash_blame::bystander, crash_blame::sole})));
    EXPECT_FALSE(isProvenCulprit(recordOf({crash_blame::shared, crash_blame::likely})));
    EXPECT_FALSE(isProvenCulprit(recordOf({crash_blame::shared, crash_blame::sole})));
    EXPECT_TRUE(isProvenCulprit(recordOf({crash_blame::immediate, crash_blame::sole})));
    EXPECT_TRUE(isProvenCulprit(
            recordOf({crash_blame::shared, crash_blame::likely, crash_blame::likely})));
}

TEST(crash_record, endsASoundTaskForTheCrashesOfOthers)
{
    EXPECT_FALSE(isProvenCulprit(
            recordOf({crash_blame::shared, crash_blame::shared, crash_blame::shared})));
    EXPECT_FALSE(isProvenCulprit(recordOf({crash_blame::bystander, crash_blame::bystander,
                                           crash_blame::bystander, crash_blame::bystander})));
}

// The platform lets a job fail when two workers have crashed under one of its tasks.
TEST(crash_record, givesUpATaskThatMayNotHaveRun)
{
    EXPECT_FALSE(isProvenCulprit(recordOf({crash_blame::possible, crash_blame::sole})));
    EXPECT_FALSE(isProvenCulprit(
            recordOf({crash_blame::possible, crash_blame::possible, crash_blame::possible})));
    EXPECT_FALSE(isProvenCulprit(
            recordOf({crash_blame::unanswered, crash_blame::unanswered, crash_blame::unanswered,
                      crash_blame::shared, crash_blame::shared})));
    EXPECT_TRUE(isProvenCulprit(
            recordOf({crash_blame::possible, crash_blame::immediate, crash_blame::sole})));
}

// The platform allows three crashes and two more runs, however the crashes come about.
TEST(crash_record, neverReachesItsLimit)
{
    const std::vector<crash_blame> kinds{crash_blame::bystander, crash_blame::possible,
                                         crash_blame::shared, crash_blame::likely};
    for (int mix = 0; mix < 1024; ++mix) {
        crash_record record;
        for (int crash = 0; crash < 5; ++crash) {
            recordCrash(record, kinds[static_cast<std::size_t>(mix >> 2 * crash & 3)]);
        }
        EXPECT_TRUE(isProvenCulprit(record)) << mix;
    }
    EXPECT_TRUE(isProvenCulprit(recordOf(std::vector<crash_blame>(5, crash_blame::unanswered))));
}

TEST(crash_record, keepsSuspicionsAfterALongRun)
{
    const crash_record record =
            recordOf({crash_blame::shared, crash_blame::possible, crash_blame::cleared});
    EXPECT_EQ(record, crash_record{});
    EXPECT_FALSE(isSuspect(record));
}

TEST(crash_suspects, areTheRunsThatBeganShortlyBefore)
{
    const auto blames = assignBlame({{milliseconds(0)},
                                     {milliseconds(400)},
                                     {milliseconds(1500)},
                                     {seconds(30)},
                                     {milliseconds(0), false, run_confirmation::unknown},
                                     {milliseconds(0), false, run_confirmation::unanswered}},
                                    false);
    const std::vector<crash_blame> expected{crash_blame::immediate, crash_blame::shared,
                                            crash_blame::bystander, crash_blame::cleared,
                                            crash_blame::possible,  crash_blame::unanswered};
    EXPECT_EQ(blames, expected);
}

TEST(crash_suspects, areBlamedAloneOnlyOnTrial)
{
    EXPECT_EQ(assignBlame({{milliseconds(5), true}, {seconds(2)}}, false)[0], crash_blame::sole);
    EXPECT_EQ(assignBlame({{milliseconds(300), true}, {seconds(2)}}, false)[0],
              crash_blame::likely);
    EXPECT_EQ(assignBlame({{milliseconds(5)}, {seconds(2)}}, false)[0], crash_blame::immediate);
    EXPECT_EQ(assignBlame({{milliseconds(300)}, {seconds(2)}}, false)[0], crash_blame::shared);
    EXPECT_EQ(assignBlame({{milliseconds(5), true}, {milliseconds(5)}}, false)[0],
              crash_blame::immediate);
    EXPECT_EQ(assignBlame({{milliseconds(5), true}}, true)[0], crash_blame::likely);
}

// Sound tasks beside several trials were given up for the crashes of these.
TEST(crash_suspects, areTheRunsBesideATrial)
{
    const auto blames = assignBlame({{milliseconds(5), true}, {seconds(2)}, {seconds(20)}}, false);
    const std::vector<crash_blame> expected{crash_blame::sole, crash_blame::unrelated,
                                            crash_blame::cleared};
    EXPECT_EQ(blames, expected);
    EXPECT_EQ(recordOf({crash_blame::unrelated}), crash_record{});
}

// A trial that ends with the loss of a rack says nothing about its task.
TEST(crash_suspects, areBlamedForTheLossOfARack)
{
    const steady_time crash = at(seconds(10));
    std::vector<steady_time> others{at(seconds(2)), at(milliseconds(9'300))};
    for (int number = 0; number < 5; ++number) {
        others.push_back(at(milliseconds(9'500 + number * 150)));
    }
    EXPECT_FALSE(isCrashBurst(others, crash, 48));
    others.push_back(crash + milliseconds(250));
    EXPECT_TRUE(isCrashBurst(others, crash, 48));
    EXPECT_FALSE(isCrashBurst(others, crash, 400));
}

} // namespace mango::test
