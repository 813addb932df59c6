#include "Scheduling/run_times.h"

#include <algorithm>

namespace mango {

namespace {

// Fewer runs tell less than the estimate.
constexpr std::uint32_t enoughRuns = 12;
constexpr double learningRate = 0.03;

} // namespace

void recordRunTime(run_times &seen, std::chrono::milliseconds took)
{
    ++seen.runs;
    // The plain mean of the first runs, then one that follows changes.
    const double rate = std::max(learningRate, 1.0 / seen.runs);
    seen.mean += (std::chrono::duration<double, std::milli>(took) - seen.mean) * rate;
}

std::chrono::milliseconds expectedRunTime(const run_times &seen, std::chrono::milliseconds estimate)
{
    if (seen.runs < enoughRuns) {
        return estimate;
    }
    const auto mean = std::chrono::duration_cast<std::chrono::milliseconds>(seen.mean);
    return (estimate + mean) / 2;
}

std::chrono::milliseconds expectedCriticalPath(const run_times &seen, const job_graph &graph,
                                               std::uint32_t from)
{
    std::vector<std::chrono::milliseconds> ends(graph.steps.size(), std::chrono::milliseconds(0));
    std::chrono::milliseconds longest{0};
    for (std::uint32_t at = from; at < graph.steps.size(); ++at) {
        std::chrono::milliseconds begin{0};
        for (const std::uint32_t earlier : graph.steps[at].dependsOn) {
            begin = std::max(begin, earlier >= from ? ends[earlier] : begin);
        }
        ends[at] = begin + expectedRunTime(seen, graph.steps[at].estimate);
        longest = std::max(longest, ends[at]);
    }
    return longest;
}

} // namespace mango
