#pragma once

#include "Dispatch/dispatch_state.h"

namespace mango {

// How this process learned that the process of a worker has ended.
enum class worker_exit_evidence : std::uint8_t {
    // Another process answers at its address.
    replacedAtAddress,
    // A newer incarnation answers or is registered under its id.
    restarted,
    // It was draining and has deregistered.
    deregistered,
    // It has been silent for so long that it was removed.
    removed
};

// Returns the name of the evidence in log lines and metric labels.
const char *toText(worker_exit_evidence evidence);

// Returns the crashes under a task before; none of a task that the replicated state does not have.
crash_record recordOf(const dispatch_state &state, const task_key &key);

// Records that the process of a worker has ended and that no other one will carry out the requests
// for it. Queues the ends of its runs as crashed, or as lost if the worker was draining.
void recordWorkerExit(const dispatch_handle &state, const tracked_worker_handle &worker,
                      worker_exit_evidence evidence);

// Records that the process of a worker has ended and decides which of its runs may be to blame, but
// leaves the ends of its runs to the caller.
void recordWorkerReplaced(const dispatch_handle &state, const tracked_worker_handle &worker,
                          worker_exit_evidence evidence);

// Records that a newer incarnation answers under the worker's id. The runs of the worker remain
// until the newer one has told which of them it has started on late requests.
void recordWorkerRestart(const dispatch_handle &state, const tracked_worker_handle &worker);

// Queues the ends of the remaining runs of a worker that is gone, once its newest incarnation has
// reported all of its own runs to this leader and no report of the worker itself is on its way.
void settleRunsOfFormerWorker(dispatch_state &state, const tracked_worker_handle &worker);

// Does so for all earlier incarnations of a worker.
void settleRunsOfEarlierIncarnations(dispatch_state &state, const tracked_worker_handle &newest);

// Returns the incarnation of the worker that started last, among the known ones.
tracked_worker_handle findNewestIncarnation(const dispatch_state &state,
                                            const tracked_worker_handle &worker);

// Returns how often workers at the address were found to have crashed a short time ago.
std::uint32_t countRecentCrashes(const dispatch_state &state, const host_address &address);

// Queues the ends of all runs of a worker whose lease has certainly expired. Whether the worker has
// crashed is not known yet.
void endRunsOfSilentWorker(dispatch_state &state, const tracked_worker_handle &worker);

// Records that a worker was heard again, so that it had not crashed while it was silent.
void recordWorkerHeardAgain(const dispatch_handle &state, const tracked_worker_handle &worker);

// Lists the runs of a task whose workers may have crashed, as replicated, on their workers.
void adoptUnexplainedRuns(dispatch_state &state, const task_key &key, const task_state &task);

} // namespace mango
