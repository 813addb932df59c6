#pragma once

#include "Dispatch/task_placement.h"

namespace mango {

// Gives tasks that lag another run elsewhere, and moves those that stand still. Members of gangs
// are left alone, since the others would end with them.
void handleStragglers(const dispatch_handle &state, round_offers &round, begin_runs &started);

} // namespace mango
