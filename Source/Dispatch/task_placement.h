#pragma once

#include "Dispatch/dispatch_state.h"

namespace mango {

// A step with waiting tasks that may start now.
struct ready_step
{
    std::uint64_t job = 0;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    const job_state *agreed = nullptr;
    live_step *live = nullptr;
    step_urgency urgency;
};

// The workers that may get tasks in one scheduling round.
struct round_offers
{
    // Less than half of the cores are in use by tasks that do not fill gaps.
    bool mostlyIdle = false;
    std::vector<worker_offer> offers;
    // In the order of the offers.
    std::vector<live_worker_handle> workers;
};

round_offers collectOffers(const dispatch_state &state);

// Chooses a worker for one waiting task and adds the run to those that begin; false when none has
// room.
bool placeTask(const dispatch_handle &state, round_offers &round, const ready_step &ready,
               std::uint32_t index, std::uint32_t run, begin_runs &begun);

// Places as many of the step's waiting tasks as there is room for; a gang as a whole or not at all.
void placeStep(const dispatch_handle &state, round_offers &round, const ready_step &ready,
               begin_runs &begun);

} // namespace mango
