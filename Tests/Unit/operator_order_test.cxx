#include <gtest/gtest.h>

#include "Unit/fleet_group.h"

namespace mango::test {

namespace {

struct operator_order : testing::Test, fleet_group
{
    operator_order()
        : fleet_group(3)
    {
        EXPECT_EQ(call(configure_call{configuration(5)}).outcome, fleet_outcome::accepted);
        run(std::chrono::seconds(1));
        follower = leader() == 0 ? 1 : 0;
        crash(static_cast<std::size_t>(leader()));
    }

    std::size_t follower = 0;
};

} // namespace

// The acknowledgement of a configuration was lost, and no replica acknowledged it again before a
// new leader was elected.
TEST_F(operator_order, isAcknowledgedAgainWithoutALeader)
{
    const steady_time sentAt = clock.now();
    EXPECT_EQ(call(follower, configure_call{configuration(5)}).outcome, fleet_outcome::accepted);
    EXPECT_EQ(call(follower, configure_call{configuration(4)}).outcome, fleet_outcome::accepted);
    EXPECT_LT(clock.now() - sentAt, std::chrono::milliseconds(50));
}

// Nothing that is not in force is acknowledged without a leader.
TEST_F(operator_order, isNotAcknowledgedBeforeItIsInForce)
{
    EXPECT_NE(call(follower, configure_call{configuration(6)}).outcome, fleet_outcome::accepted);
    EXPECT_NE(call(follower, domain_call{"a", true}).outcome, fleet_outcome::accepted);
    run(std::chrono::seconds(3));
    EXPECT_EQ(call(configure_call{configuration(6)}).outcome, fleet_outcome::accepted);
}

} // namespace mango::test
