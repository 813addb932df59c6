#pragma once

#include "Dispatch/dispatch_state.h"

namespace mango {

// Begins to account for the time of a job.
void beginAccount(const dispatch_state &state, tracked_job &tracked, const job_state &job);

// Counts a run whose start was committed.
void countStartedRun(dispatch_state &state, const run_key &key);

// Adds the end of a run, which is still tracked, to the account of its job. `worker` is null when
// the run is not tracked.
void accountForRun(dispatch_state &state, const end_runs::run_end &end,
                   const tracked_worker_handle &worker);

// Logs how a job ended and where its time went, and counts jobs that were late or failed by cause.
void reportJobEnd(const dispatch_state &state, std::uint64_t number);

} // namespace mango
