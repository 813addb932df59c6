#pragma once

#include "Control/leader_state.h"

namespace mango {

// Throttles or evicts batch tasks on workers whose services are slowed down, and ends the
// throttling when the slowdown is over. Call it once per window.
void mitigateInterference(leader_state &leader);

// Stops, with a checkpoint, the tasks on workers that are leaving or whose failure domain is out of
// service.
void evacuateDomains(leader_state &leader);

// Requests that a task be stopped with a checkpoint; does nothing when that was requested before.
// `reason` labels the metric and the timeline event.
void stopRun(leader_state &leader, worker_state &worker, const task_id &id, const char *reason);

// Returns the tasks of a worker that may be evicted: confirmed as started and not being stopped.
std::vector<eviction_candidate> evictionCandidates(const leader_state &leader,
                                                   const worker_state &worker);

// Preempts a task of a lower priority class for an urgent task that fits on no worker, and reserves
// the worker for the urgent task for a limited time. Does nothing for tasks that are not urgent.
void preemptFor(leader_state &leader, const task_id &id, const job_record &job);

} // namespace mango
