#include <gtest/gtest.h>

#include "Common/random_source.h"
#include "Dispatch/dispatch_state.h"
#include "Scheduling/run_times.h"

namespace mango::test {

namespace {

using std::chrono::milliseconds;

constexpr auto year = milliseconds(std::chrono::hours(24 * 365));
constexpr auto greatestEstimate = milliseconds(1LL << 50U);

job_graph randomGraph(random_source &random, std::uint32_t steps)
{
    job_graph graph;
    for (std::uint32_t number = 0; number < steps; ++number) {
        job_step step;
        step.estimate = milliseconds(random.below(1000));
        for (std::uint64_t count = number == 0 ? 0 : random.below(4); count > 0; --count) {
            step.dependsOn.push_back(static_cast<std::uint32_t>(random.below(number)));
        }
        graph.steps.push_back(step);
    }
    return graph;
}

// The longest chain among the steps from `from` on, by definition.
milliseconds longestChain(const job_graph &graph, std::uint32_t from)
{
    std::vector<milliseconds> ends(graph.steps.size());
    milliseconds longest{0};
    for (std::uint32_t at = from; at < graph.steps.size(); ++at) {
        milliseconds begin{0};
        for (const std::uint32_t earlier : graph.steps[at].dependsOn) {
            begin = earlier >= from ? std::max(begin, ends[earlier]) : begin;
        }
        ends[at] = begin + graph.steps[at].estimate;
        longest = std::max(longest, ends[at]);
    }
    return longest;
}

} // namespace

// The paths of all steps are computed in one pass; they were computed anew for each step.
TEST(run_times, giveThePathOfEachStepInOnePass)
{
    seeded_random random(5);
    for (const std::uint32_t steps : {1U, 2U, 7U, 60U}) {
        const job_graph graph = randomGraph(random, steps);
        const auto paths = expectedCriticalPaths({}, graph);
        ASSERT_EQ(paths.size(), steps);
        for (std::uint32_t from = 0; from < steps; ++from) {
            EXPECT_EQ(paths[from], longestChain(graph, from)) << steps << " " << from;
        }
    }
}

// Sums of the greatest estimates exceed the range of a time: the job would count as late from the
// begin, or never.
TEST(run_times, stayInRangeForTheGreatestEstimates)
{
    job_graph graph;
    for (std::uint32_t number = 0; number < 20'000; ++number) {
        job_step step;
        step.estimate = greatestEstimate;
        if (number > 0) {
            step.dependsOn.push_back(number - 1);
        }
        graph.steps.push_back(step);
    }
    const auto paths = expectedCriticalPaths({}, graph);
    EXPECT_EQ(paths.front(), year);
    EXPECT_EQ(paths.back(), year);
    queue_parameters queue;
    queue.stretch = 1e300;
    queue.targetLatency = greatestEstimate;
    EXPECT_EQ(completionObjective(queue, paths.front()), 2 * year);
    queue.stretch = 2;
    queue.targetLatency = milliseconds(5);
    EXPECT_EQ(completionObjective(queue, milliseconds(100)), milliseconds(205));
}

} // namespace mango::test
