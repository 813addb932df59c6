#pragma once

#include "Control/leader_state.h"

namespace mango {

// Dedicates as many workers of each pool to services as its requests need, spread over two or more
// failure domains where the pool has them. Entries prefer these workers, and batch tasks run on the
// others. This avoids interference also where it cannot be detected because all workers are equally
// slow. Call it once per window.
void chooseServiceWorkers(leader_state &leader);

// Returns the number of workers of a pool to dedicate to services, at most half of them, for a mean
// number of requests in progress.
std::size_t neededServiceWorkers(double requestsInProgress, std::uint32_t slotsPerWorker,
                                 std::size_t workers, std::size_t domains,
                                 pool_weighting weighting);

} // namespace mango
