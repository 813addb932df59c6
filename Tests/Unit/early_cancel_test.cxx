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

bool isClear(fleet_outcome outcome)
{
    return outcome != fleet_outcome::unavailable && outcome != fleet_outcome::uncertain;
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
    // Repeats a call that got no clear answer, as callers do.
    fleet_response callRepeatedly(std::size_t receiver, const fleet_request &request,
                                  std::uint64_t mark)
    {
        fleet_response response = callReceived(receiver, request, mark);
        for (int attempt = 0; attempt < 20 && !isClear(response.outcome); ++attempt) {
            run(milliseconds(200));
            response = callReceived(receiver, request, mark);
        }
        return response;
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
    EXPECT_EQ(response.retryAfter, milliseconds(0));
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

// The network held the submission up until its connection was used again: no process saw it wait.
TEST_F(early_cancel, refusesASubmissionThatOnlyTheNetworkHasHeldUp)
{
    cancel(job);
    run(seconds(5));
    const fleet_response response = call(follower(), submission(job));
    EXPECT_EQ(response.outcome, fleet_outcome::refused);
    EXPECT_EQ(response.retryAfter, milliseconds(0));
    run(seconds(5));
    EXPECT_TRUE(workers.starts.empty());
    EXPECT_FALSE(phase(job));
}

// Submissions that any part of the path may have held up, for any time, across changes of the
// leader: none runs after the cancel of its job was answered.
TEST_F(early_cancel, holdsInAnyOrderOfArrival)
{
    seeded_random draw(7);
    for (std::uint64_t number = 1; number <= 40; ++number) {
        const bool markedBefore = draw.below(2) == 0;
        const auto held = milliseconds(50 + draw.below(12'000));
        const std::uint64_t mark = nodes[follower()]->server->receiptMark();
        const std::size_t canceller = draw.below(2) == 0 ? follower() : leader();
        const cancel_call request{"h.example", "/price/" + formatJobId(number)};
        ASSERT_EQ(callRepeatedly(canceller, request, mark).outcome, fleet_outcome::unknownJob)
                << number;
        if (draw.below(4) == 0) {
            const auto old = static_cast<std::size_t>(leader());
            crash(old);
            run(seconds(5));
            start(old, false);
        }
        run(held);
        ASSERT_GE(leader(), 0);
        const std::size_t receiver = draw.below(2) == 0 ? follower() : leader();
        const std::uint64_t arrival = markedBefore ? mark : nodes[receiver]->server->receiptMark();
        const fleet_response response = callRepeatedly(receiver, submission(number), arrival);
        EXPECT_EQ(response.outcome, fleet_outcome::refused)
                << number << " held " << held.count() << " ms";
    }
    run(seconds(5));
    EXPECT_TRUE(workers.starts.empty());
}

// Another job is not kept from running.
TEST_F(early_cancel, concernsOneJob)
{
    cancel(job);
    EXPECT_EQ(call(submission(job + 1)).outcome, fleet_outcome::accepted);
    run(seconds(3));
    EXPECT_EQ(phase(job + 1), job_phase::completed);
}

// The same race in the log: the submission was proposed before the cancel was applied.
TEST(early_cancels, decideInTheOrderOfTheLog)
{
    fleet_state state;
    apply(state, cancel_job{7});
    EXPECT_EQ(apply(state, submission(7, 0)), fleet_command_result::overtaken);
    EXPECT_FALSE(phaseOf(state, 7));
    EXPECT_EQ(apply(state, submission(7, 99)), fleet_command_result::overtaken);
    EXPECT_FALSE(phaseOf(state, 7));
    EXPECT_EQ(apply(state, submission(8, 0)), fleet_command_result::applied);
    EXPECT_EQ(apply(state, cancel_job{8}), fleet_command_result::applied);
    EXPECT_EQ(apply(state, submission(8, 99)), fleet_command_result::unchanged);
}

// A job that is cancelled again is kept once.
TEST(early_cancels, keepEachJobOnce)
{
    fleet_state state;
    apply(state, cancel_job{7});
    apply(state, cancel_job{8});
    apply(state, cancel_job{7});
    EXPECT_EQ(apply(state, submission(7, 3)), fleet_command_result::overtaken);
    EXPECT_EQ(apply(state, submission(8, 3)), fleet_command_result::overtaken);
    EXPECT_EQ(apply(state, submission(9, 0)), fleet_command_result::applied);
    EXPECT_EQ(state.earlyCancels.commandByKey.size(), 2U);
    EXPECT_EQ(state.earlyCancels.keyByCommand.size(), 2U);
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
    EXPECT_EQ(apply(state, submission(cancels, cancels)), fleet_command_result::overtaken);
}

} // namespace mango::test
