#pragma once

#include "Dispatch/task_placement.h"

namespace mango {

// Returns the progress of a run whose expected run time is given.
run_progress progressOf(const tracked_worker &worker, const tracked_run &run,
                        std::chrono::milliseconds expected, steady_time now);

// Starts copies of slow runs on other workers, and moves stalled runs. Adds the new runs to
// `started`. Leaves members of gangs alone, since the end of one member ends the whole gang.
void handleStragglers(const dispatch_handle &state, round_offers &round, begin_runs &started);

} // namespace mango
