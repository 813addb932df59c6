#pragma once

#include "Dispatch/worker_offers.h"
#include "Scheduling/crash_trials.h"
#include "Scheduling/offer_ranking.h"

namespace mango {

// A step with waiting tasks whose dependencies are met.
struct ready_step
{
    std::uint64_t job = 0;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    // The replicated state of the job.
    const job_state *committedJob = nullptr;
    tracked_step *tracked = nullptr;
    step_urgency urgency;
};

// The wait of the tasks that a ready step stands for.
unplaced_wait &waitOf(const ready_step &ready);

// Returns true when the task was started before. A start that was refused counts.
bool isRestart(const task_state &task);

// Starts a run of a task on trial on the worker that would lose least, and false when there is
// none. The worker takes no other new runs until the run has survived its start.
bool tryTask(const dispatch_handle &state, round_offers &round, const ready_step &ready,
             std::uint32_t index, std::uint32_t run, trial_company company, begin_runs &started);

// Chooses a worker for one waiting task and adds the run to `started`; false when no worker meets
// the constraints. `ranking` serves all tasks of a step; the first call makes it.
bool placeTask(const dispatch_handle &state, round_offers &round, const ready_step &ready,
               std::uint32_t index, std::uint32_t run, std::optional<offer_ranking> &ranking,
               begin_runs &started);

// Places as many of the step's waiting tasks as free resources allow; a gang as a whole or not at
// all. Of a long-running step it places either the restarts or the others. For restarts that fit
// nowhere, and for gangs that have waited for a while, it holds room for the rest of the round.
void placeStep(const dispatch_handle &state, round_offers &round, const ready_step &ready,
               begin_runs &started);

} // namespace mango
