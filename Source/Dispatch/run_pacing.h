#pragma once

#include "Dispatch/dispatch_state.h"

namespace mango {

// The latency-critical and the best-effort tasks of one worker.
struct colocated_tasks
{
    std::vector<serving_task> serving;
    std::vector<filling_task> filling;
    // In the order of the best-effort tasks.
    std::vector<run_key> fillingRuns;
};

// Collects the tasks of a worker from its latest listing.
colocated_tasks colocatedTasksOf(const tracked_worker &worker, steady_time now);

// Updates the interference model from the latest listing of a worker, and paces or evicts the
// best-effort runs that would push its latency-critical tasks over their targets.
boost::asio::awaitable<void> adjustPaces(dispatch_handle state, tracked_worker_handle worker);

} // namespace mango
