#pragma once

#include <optional>
#include <vector>

#include "Dispatch/dispatch_state.h"
#include "Scheduling/room_forecast.h"

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

// The number of workers that get no new work, by the first reason that applies.
struct excluded_workers
{
    // The process has ended or was replaced.
    std::uint32_t gone = 0;
    std::uint32_t draining = 0;
    std::uint32_t domainOutOfService = 0;
    // Not heard by this leader yet.
    std::uint32_t unanswered = 0;
    std::uint32_t silent = 0;
    // Refused a request or could not be reached a short time ago.
    std::uint32_t refusing = 0;
};

// The workers that may get tasks in one scheduling round.
struct round_offers
{
    // Less than half of the cores are in use by runs that are not best-effort.
    bool mostlyIdle = false;
    // The most free cores of a worker when the round began, in thousandths.
    std::int64_t mostFreeMilliCores = 0;
    std::vector<worker_offer> offers;
    // In the order of the offers.
    std::vector<tracked_worker_handle> workers;
    // The requests of this round that no worker meets.
    std::vector<rejected_request> rejected;
    excluded_workers excluded;
    // In the order of the offers: what the runs of a worker are expected to release, once known.
    std::vector<std::optional<std::vector<expected_release>>> releases;
    // The number of long-running tasks for which room is held.
    std::uint32_t held = 0;
};

// Returns true when the task was started before. A start that was refused counts.
bool isRestart(const task_state &task);

// Collects the workers that may get new work now, with their used resources.
round_offers collectOffers(const dispatch_state &state);

// Chooses a worker for one waiting task and adds the run to `started`; false when no worker meets
// the constraints.
bool placeTask(const dispatch_handle &state, round_offers &round, const ready_step &ready,
               std::uint32_t index, std::uint32_t run, begin_runs &started);

// Places as many of the step's waiting tasks as free resources allow; a gang as a whole or not at
// all. Of a long-running step it places either the restarts or the others. For restarts that fit
// nowhere, and for gangs that have waited for a while, it holds room for the rest of the round.
void placeStep(const dispatch_handle &state, round_offers &round, const ready_step &ready,
               begin_runs &started);

} // namespace mango
