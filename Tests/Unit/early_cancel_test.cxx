#include <gtest/gtest.h>

#include "Unit/fleet_group.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t job = 0x5c0e7a21d94b36f8;

submit_job submission(std::uint64_t number, std::uint64_t receivedAfter)
{
    return {number, queue_parameters{}, fleet_group::oneStep(1), receivedAfter};
}

// Three control processes with a worker, and calls that have waited in the process that passes them
// on.
struct early_cancel : testing::Test, fleet_group
{
    early_cancel()
        : fleet_group(3)
    {
        configure();
        workers.add("w1");
        announce("w1");
        run(seconds(1));
    }

    std::size_t follower()
    {
        return leader() == 0 ? 1 : 0;
    }
    submit_call submission(std::uint64_t number)
    {
        return {"h.example", "/price/" + formatJobId(number), oneStep(2)};
    }
    fleet_response cancel(std::uint64_t number)
    {
        return call(cancel_call{"h.example", "/price/" + formatJobId(number)});
    }
};

} // namespace

// A submission that had waited in a suspended edge was taken for a new one, and ran after the
// cancel of its job had been answered.
TEST_F(early_cancel, keepsASubmissionFromRunningThatWasHeldUp)
{
    const std::uint64_t mark = nodes[follower()]->server->receiptMark();
    EXPECT_EQ(cancel(job).outcome, fleet_outcome::unknownJob);
    run(seconds(3));
    const fleet_response response = callReceived(follower(), submission(job), mark);
    EXPECT_EQ(response.outcome, fleet_outcome::refused);
    EXPECT_GT(response.retryAfter, milliseconds(0));
    run(seconds(5));
    EXPECT_TRUE(workers.starts.empty());
    EXPECT_FALSE(phase(job));
}

// The cancel is in the log of all: a new leader, and one that has read it from its disk, know it.
TEST_F(early_cancel, isKnownToNewLeadersAndAfterARestartOfAll)
{
    const std::uint64_t mark = nodes[follower()]->server->receiptMark();
    cancel(job);
    crash(static_cast<std::size_t>(leader()));
    run(seconds(5));
    ASSERT_GE(leader(), 0);
    EXPECT_EQ(callReceived(static_cast<std::size_t>(leader()), submission(job), mark).outcome,
              fleet_outcome::refused);
    for (std::size_t number = 0; number < nodes.size(); ++number) {
        if (nodes[number]) {
            crash(number);
        }
        start(number, false);
    }
    run(seconds(5));
    ASSERT_GE(leader(), 0);
    EXPECT_EQ(callReceived(static_cast<std::size_t>(leader()), submission(job), mark).outcome,
              fleet_outcome::refused);
    EXPECT_TRUE(workers.starts.empty());
}

// A job that is submitted after the cancel was answered is another one.
TEST_F(early_cancel, doesNotKeepALaterSubmissionFromRunning)
{
    cancel(job);
    run(seconds(1));
    EXPECT_EQ(call(submission(job)).outcome, fleet_outcome::accepted);
    run(seconds(3));
    EXPECT_EQ(phase(job), job_phase::completed);
    EXPECT_EQ(call(submission(job)).phase, job_phase::completed);
}

// The refusal lasts for as long as the process that has received the submission may not know of the
// cancel, which is within the time that the refusal names.
TEST_F(early_cancel, refusesForNoLongerThanItSays)
{
    cancel(job);
    fleet_response response = call(follower(), submission(job));
    if (response.outcome == fleet_outcome::refused) {
        run(response.retryAfter);
        response = call(follower(), submission(job));
    }
    EXPECT_EQ(response.outcome, fleet_outcome::accepted);
}

// The same race in the log: the submission was proposed before the cancel was applied.
TEST(early_cancels, decideInTheOrderOfTheLog)
{
    fleet_state state;
    apply(state, cancel_job{7});
    EXPECT_EQ(apply(state, submission(7, 0)), fleet_command_result::overtaken);
    EXPECT_FALSE(phaseOf(state, 7));
    EXPECT_EQ(apply(state, submission(7, 1)), fleet_command_result::applied);
    EXPECT_EQ(phaseOf(state, 7), job_phase::queued);
    EXPECT_EQ(apply(state, cancel_job{7}), fleet_command_result::applied);
    EXPECT_EQ(apply(state, submission(7, 99)), fleet_command_result::unchanged);
}

// Each further cancel counts as of its own time.
TEST(early_cancels, countTheLatestOfAJob)
{
    fleet_state state;
    apply(state, cancel_job{7});
    apply(state, cancel_job{8});
    apply(state, cancel_job{7});
    EXPECT_EQ(apply(state, submission(7, 2)), fleet_command_result::overtaken);
    EXPECT_EQ(apply(state, submission(8, 2)), fleet_command_result::applied);
    EXPECT_EQ(apply(state, submission(9, 0)), fleet_command_result::applied);
    EXPECT_EQ(state.earlyCancels.commandByKey.size(), 1U);
    EXPECT_EQ(state.earlyCancels.keyByCommand.size(), 1U);
}

// A flood of cancels does not fill the memory, and makes none of them ineffective.
TEST(early_cancels, areBounded)
{
    fleet_state state;
    constexpr std::uint64_t cancels = 25'000;
    for (std::uint64_t number = 1; number <= cancels; ++number) {
        apply(state, cancel_job{number});
    }
    EXPECT_EQ(state.earlyCancels.commandByKey.size(), 10'000U);
    EXPECT_EQ(state.earlyCancels.keyByCommand.size(), 10'000U);
    EXPECT_EQ(apply(state, submission(1, 0)), fleet_command_result::overtaken);
    EXPECT_EQ(apply(state, submission(cancels, cancels - 1)), fleet_command_result::overtaken);
    EXPECT_EQ(apply(state, submission(1, cancels)), fleet_command_result::applied);
    EXPECT_EQ(apply(state, submission(cancels, cancels)), fleet_command_result::applied);
}

} // namespace mango::test
