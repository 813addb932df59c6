#pragma once

#include "Dispatch/task_placement.h"

namespace mango {

// What a trial on the worker would put at risk.
trial_candidate trialCandidateOf(const dispatch_state &state, const tracked_worker &worker);

// Returns true when the service can bear one more trial.
bool hasTrialSlot(const dispatch_state &state);

// Puts a run on trial; its worker takes no other new runs meanwhile.
void beginTrial(dispatch_state &state, const tracked_worker_handle &worker, tracked_run &run);

// Lets other workers have trials instead of one that is silent: its trial will not end soon.
void releaseTrialSlots(dispatch_state &state, tracked_worker &worker);

// What became of a task that may have to be started on trial.
enum class trial_outcome : std::uint8_t {
    // The task is started like any other.
    notNeeded,
    placed,
    // The task stays among the waiting ones.
    waits
};

// Starts a task under which workers have crashed on trial. While no worker can have a trial, the
// task waits for a short time, and then shares its worker with any runs. It is started like others
// when nothing has room for it, so that room is held for it, and when the service has too many
// suspects; a task under which several workers have crashed does not count against that limit.
trial_outcome tryIfSuspect(const dispatch_handle &state, round_offers &round,
                           const ready_step &ready, std::uint32_t index, std::uint32_t run,
                           begin_runs &started);

} // namespace mango
