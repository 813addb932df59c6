#include "Scheduling/run_times.h"

#include <algorithm>

namespace mango {

namespace {

// With fewer runs the estimate of the caller is more accurate than the mean.
constexpr std::uint32_t minimumRuns = 12;
constexpr double smoothingWeight = 0.03;
// Sums of the estimates of callers may exceed the range of a time. Beyond this they do not matter.
constexpr auto longestPath = std::chrono::milliseconds(std::chrono::hours(24 * 365));

} // namespace

void recordRunTime(run_times &observed, std::chrono::milliseconds runTime)
{
    ++observed.runs;
    // The arithmetic mean of the first runs, then an exponential moving average.
    const double weight = std::max(smoothingWeight, 1.0 / observed.runs);
    observed.mean += (std::chrono::duration<double, std::milli>(runTime) - observed.mean) * weight;
}

bool isReliable(const run_times &observed)
{
    return observed.runs >= minimumRuns;
}

std::chrono::milliseconds expectedRunTime(const run_times &observed,
                                          std::chrono::milliseconds estimate)
{
    if (!isReliable(observed)) {
        return estimate;
    }
    const auto mean = std::chrono::duration_cast<std::chrono::milliseconds>(observed.mean);
    return (estimate + mean) / 2;
}

std::vector<std::chrono::milliseconds> expectedCriticalPaths(const run_times &observed,
                                                             const job_graph &graph)
{
    // By step: the longest chain of steps that begins with it.
    std::vector<std::chrono::milliseconds> chains(graph.steps.size(), std::chrono::milliseconds(0));
    std::vector<std::chrono::milliseconds> paths(graph.steps.size());
    std::chrono::milliseconds longest{0};
    for (std::size_t at = graph.steps.size(); at-- > 0;) {
        // All steps that depend on this one stand after it.
        chains[at] = std::min(chains[at] + expectedRunTime(observed, graph.steps[at].estimate),
                              longestPath);
        for (const std::uint32_t earlier : graph.steps[at].dependsOn) {
            chains[earlier] = std::max(chains[earlier], chains[at]);
        }
        longest = std::max(longest, chains[at]);
        paths[at] = longest;
    }
    return paths;
}

} // namespace mango
