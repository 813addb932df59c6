#pragma once

#include "Dispatch/dispatch_state.h"

namespace mango {

// Records that the worker was heard when its response, if it contained a time, arrived at `now`.
void recordClock(tracked_worker &worker, const std::optional<worker_time> &workerTime,
                 steady_time now);

// Updates the runs of a worker from its report: those that are running, those that have ended, and
// those that a complete report does not contain.
void processReport(const dispatch_handle &state, const tracked_worker_handle &worker,
                   const worker_report &report);

} // namespace mango
