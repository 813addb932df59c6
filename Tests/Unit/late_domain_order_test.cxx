#include <gtest/gtest.h>

#include "Unit/fleet_group.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Three control processes with a worker in the failure domain "a", and orders that have waited in
// the process that passes them on.
struct late_domain_order : testing::Test, fleet_group
{
    late_domain_order()
        : fleet_group(3)
    {
        configure();
        workers.add("w1").record.failureDomain = "a";
        announce("w1");
        run(seconds(1));
    }

    std::size_t follower()
    {
        return leader() == 0 ? 1 : 0;
    }
    // Sends an order until it is acknowledged, as operators do.
    void order(bool outOfService)
    {
        for (int attempt = 0; attempt < 3; ++attempt) {
            if (call(domain_call{"a", outOfService}).outcome == fleet_outcome::accepted) {
                return;
            }
            run(milliseconds(300));
        }
        ADD_FAILURE() << "the order was not acknowledged";
    }
    std::size_t startsAfterASubmission(std::uint64_t job)
    {
        submit(job, oneStep(1));
        run(seconds(2));
        return workers.starts.size();
    }
};

} // namespace

// An old take-back, which had waited in a suspended core machine, ended an evacuation that was
// ordered and acknowledged after it.
TEST_F(late_domain_order, doesNotEndANewerEvacuation)
{
    order(true);
    run(seconds(1));
    const std::uint64_t mark = nodes[follower()]->server->receiptMark();
    order(false);
    run(seconds(1));
    order(true);
    run(seconds(1));
    EXPECT_EQ(callReceived(follower(), domain_call{"a", false}, mark).outcome,
              fleet_outcome::unavailable);
    run(seconds(1));
    EXPECT_EQ(startsAfterASubmission(7), 0U);
    order(false);
    run(seconds(2));
    EXPECT_EQ(workers.starts.size(), 1U);
}

TEST_F(late_domain_order, doesNotEvacuateADomainThatWasTakenBackSince)
{
    const std::uint64_t mark = nodes[follower()]->server->receiptMark();
    order(true);
    run(seconds(1));
    order(false);
    run(seconds(1));
    EXPECT_EQ(callReceived(follower(), domain_call{"a", true}, mark).outcome,
              fleet_outcome::unavailable);
    EXPECT_EQ(startsAfterASubmission(7), 1U);
}

// An order that was accepted is acknowledged again, however late it is repeated.
TEST_F(late_domain_order, isAcknowledgedWhenItChangesNothing)
{
    const std::uint64_t mark = nodes[follower()]->server->receiptMark();
    order(true);
    run(seconds(1));
    EXPECT_EQ(callReceived(follower(), domain_call{"a", true}, mark).outcome,
              fleet_outcome::accepted);
    EXPECT_EQ(startsAfterASubmission(7), 0U);
}

// The changes are in the log of all processes.
TEST_F(late_domain_order, isRecognisedByANewLeader)
{
    order(true);
    run(seconds(1));
    const std::uint64_t mark = nodes[follower()]->server->receiptMark();
    order(false);
    run(seconds(1));
    order(true);
    run(seconds(1));
    crash(static_cast<std::size_t>(leader()));
    run(seconds(5));
    ASSERT_GE(leader(), 0);
    EXPECT_EQ(
            callReceived(static_cast<std::size_t>(leader()), domain_call{"a", false}, mark).outcome,
            fleet_outcome::unavailable);
    EXPECT_EQ(startsAfterASubmission(7), 0U);
}

// Orders for failure domains of any name, in any number, were replicated for ever.
TEST(failure_domains, areOutOfServiceWithoutLimit)
{
    fleet_group group(3);
    const auto order = [&group](const std::string &domain, bool out) {
        return group.call(domain_call{domain, out});
    };
    const fleet_response tooLong = order(std::string(256, 'z'), true);
    EXPECT_EQ(tooLong.outcome, fleet_outcome::invalid);
    EXPECT_EQ(tooLong.text, "the failure domain has 256 bytes; at most 255 are allowed");
    for (int number = 0; number < 1000; ++number) {
        ASSERT_EQ(order("z-" + std::to_string(number), true).outcome, fleet_outcome::accepted);
    }
    EXPECT_EQ(order("z-1000", true).outcome, fleet_outcome::invalid);
    EXPECT_EQ(order("z-0", true).outcome, fleet_outcome::accepted);
    EXPECT_EQ(order("z-0", false).outcome, fleet_outcome::accepted);
    EXPECT_EQ(order("z-1000", true).outcome, fleet_outcome::accepted);
}

} // namespace mango::test
