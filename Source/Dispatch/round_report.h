#pragma once

#include "Dispatch/task_placement.h"

namespace mango {

// Logs that a task of the step has found no worker, with the number of workers by obstacle, the
// largest free resources of the given offers and the number of starts that this round decided
// before. One line per step and interval, only once the step has waited for a while, and at
// most ten in an interval, since each costs a look at all offers.
void recordUnplaced(dispatch_state &state, const round_offers &round,
                    const std::vector<worker_offer> &offers, const ready_step &ready,
                    const placement_request &request, std::size_t startedBefore);

// Counts a finished scheduling round. Once per second it logs and exports how long rounds take,
// which workers are considered, how many tasks wait for how long, and how many runs have an end or
// a start that is not confirmed.
void recordRound(dispatch_state &state, const round_offers &round, steady_time begin);

} // namespace mango
