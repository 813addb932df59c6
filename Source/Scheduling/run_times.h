#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

#include "Jobs/job_graph.h"

namespace mango {

// How long the tasks of one queue were seen to take.
struct run_times
{
    std::chrono::duration<double, std::milli> mean{0};
    std::uint32_t runs = 0;
};

// Learns from a run that was done and not slowed.
void recordRunTime(run_times &seen, std::chrono::milliseconds took);

// What a task with the estimate given is expected to take. Answers callers whose estimates are off
// by up to 90%: what the queue's tasks took counts as much as the estimate, once enough were seen.
std::chrono::milliseconds expectedRunTime(const run_times &seen,
                                          std::chrono::milliseconds estimate);

// The expected time of the longest chain of steps that begins with the given step.
std::chrono::milliseconds expectedCriticalPath(const run_times &seen, const job_graph &graph,
                                               std::uint32_t from);

} // namespace mango
