#pragma once

#include "Dispatch/task_placement.h"

namespace mango {

// Starts copies of slow runs on other workers, and moves stalled runs. Adds the new runs to
// `started`. Leaves members of gangs alone, since the end of one member ends the whole gang.
void handleStragglers(const dispatch_handle &state, round_offers &round, begin_runs &started);

} // namespace mango
