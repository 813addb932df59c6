#include "Scheduling/run_times.h"

#include <algorithm>

namespace mango {

namespace {

// With fewer runs the estimate of the caller is more accurate than the mean.
constexpr std::uint32_t minimumRuns = 12;
constexpr double smoothingWeight = 0.03;

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

std::chrono::milliseconds expectedCriticalPath(const run_times &observed, const job_graph &graph,
                                               std::uint32_t from)
{
    std::vector<std::chrono::milliseconds> ends(graph.steps.size(), std::chrono::milliseconds(0));
    std::chrono::milliseconds longest{0};
    for (std::uint32_t at = from; at < graph.steps.size(); ++at) {
        std::chrono::milliseconds begin{0};
        for (const std::uint32_t earlier : graph.steps[at].dependsOn) {
            begin = std::max(begin, earlier >= from ? ends[earlier] : begin);
        }
        ends[at] = begin + expectedRunTime(observed, graph.steps[at].estimate);
        longest = std::max(longest, ends[at]);
    }
    return longest;
}

} // namespace mango
