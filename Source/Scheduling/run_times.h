#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

#include "Jobs/job_graph.h"

namespace mango {

// The observed run times of the tasks of one queue.
struct run_times
{
    std::chrono::duration<double, std::milli> mean{0};
    std::uint32_t runs = 0;
};

// Adds the run time of a completed run that was not slowed down.
void recordRunTime(run_times &observed, std::chrono::milliseconds runTime);

// Returns true when enough runs were seen to tell how long a task of the queue usually takes.
bool isReliable(const run_times &observed);

// Returns the expected run time of a task with the given estimate. The estimates of callers are off
// by up to 90%, so that the observed mean of the queue counts as much as the estimate once enough
// runs were seen.
std::chrono::milliseconds expectedRunTime(const run_times &observed,
                                          std::chrono::milliseconds estimate);

// Returns by step the expected time of the critical path through that step and those after it. The
// cost is in proportion to the number of steps and dependencies.
std::vector<std::chrono::milliseconds> expectedCriticalPaths(const run_times &observed,
                                                             const job_graph &graph);

} // namespace mango
