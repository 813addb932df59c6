#pragma once

#include "Dispatch/task_placement.h"

namespace mango {

// Sums up the cores of the workers that take new work, by service, unless the sums are recent.
void countServiceRooms(dispatch_state &state, const round_offers &round);

// Records a shortage of room when a short step with unplaced tasks has waited for a while.
void recordShortage(dispatch_state &state, const ready_step &ready);

} // namespace mango
