#pragma once

#include "Dispatch/dispatch_state.h"

namespace mango {

// The latency-critical and the best-effort tasks of one worker.
struct colocated_tasks
{
    std::vector<latency_critical_task> latencyCritical;
    std::vector<best_effort_task> bestEffort;
    // In the order of the best-effort tasks.
    std::vector<run_key> bestEffortRuns;
};

// Collects the tasks of a worker from its latest report. The result is empty for a worker without
// latency-critical tasks, where best-effort tasks disturb none.
colocated_tasks colocatedTasksOf(const tracked_worker &worker, steady_time now);

// Updates the interference model from the latest report of a worker, and throttles or evicts the
// best-effort runs that would push its latency-critical tasks over their targets.
boost::asio::awaitable<void> adjustThrottles(dispatch_handle state, tracked_worker_handle worker);

} // namespace mango
