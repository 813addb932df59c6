#include <gtest/gtest.h>

#include "Unit/fleet_group.h"

namespace mango::test {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t workerCount = 60;

} // namespace

// The preparation of a round, which takes longer than its budget, leaves no time to place tasks.
TEST(slow_rounds, placeTasksWhenPreparationTakesLongerThanTheirBudget)
{
    fleet_group group(3);
    group.configure();
    for (std::uint32_t number = 0; number < workerCount; ++number) {
        const std::string id = "w" + std::to_string(number);
        group.workers.add(id);
        group.announce(id);
    }
    group.run(seconds(1));
    group.submit(10, fleet_group::oneStep(20));
    group.run(seconds(2));
    ASSERT_EQ(group.workers.starts.size(), 20U);
    group.clock.readCost = microseconds(400);
    group.submit(11, fleet_group::oneStep(20));
    group.run(seconds(3));
    EXPECT_EQ(group.workers.starts.size(), 40U);
}

TEST(slow_rounds, endForTheirBudgetOnlyAfterOneStep)
{
    round_progress progress{milliseconds(5)};
    progress.placing = milliseconds(16);
    EXPECT_FALSE(endOfRound(progress).has_value());
    progress.stepsTried = 1;
    EXPECT_EQ(endOfRound(progress), round_end::budget);
    progress.prepared = milliseconds(40);
    EXPECT_FALSE(endOfRound(progress).has_value());
    progress.placing = milliseconds(41);
    EXPECT_EQ(endOfRound(progress), round_end::budget);
    progress.placing = milliseconds(0);
    progress.starts = 200;
    EXPECT_EQ(endOfRound(progress), round_end::starts);
}

} // namespace mango::test
