#pragma once

#include "Dispatch/dispatch_state.h"

namespace mango {

// The lasting tasks of a worker that have a bound, and the tasks that fill gaps beside them.
struct colocated_tasks
{
    std::vector<serving_task> serving;
    std::vector<filling_task> filling;
    std::vector<run_key> fillingRuns;
};

colocated_tasks colocatedTasksOf(const tracked_worker &worker, steady_time now);

// Learns from the last listing how the lasting tasks of a worker fare, and paces or evicts the
// runs that disturb them.
boost::asio::awaitable<void> adjustPaces(dispatch_handle state, tracked_worker_handle worker);

} // namespace mango
