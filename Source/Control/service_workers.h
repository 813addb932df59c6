#pragma once

#include "Control/leader_state.h"

namespace mango {

// Keeps as many workers of each pool free of batch work as its requests need, in two failure
// domains where there are two, and tells entries to prefer them; called once a window. Batch work
// fills the others, so that services are quiet without a signal of interference, which is missing
// where every worker is equally slow.
void chooseServiceWorkers(leader_state &leader);

// The number of workers to keep, for a mean number of requests in progress.
std::size_t neededServiceWorkers(double requestsInProgress, std::uint32_t slotsPerWorker,
                                 std::size_t workers, std::size_t domains,
                                 pool_weighting weighting);

} // namespace mango
