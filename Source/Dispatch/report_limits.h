#pragma once

#include <cstddef>

#include "Fleet/worker_client.h"

namespace mango {

// The largest checkpoint of a run that is kept. Checkpoints are replicated with the tasks.
inline constexpr std::size_t maximumCheckpointBytes = 1024;
// How many runs that the leader does not know are stopped for one report of a worker. Later reports
// list the others again.
inline constexpr std::size_t maximumStrayStops = 100;

// Removes the checkpoints that are too large to be kept from the report, and returns their number.
// The tasks keep their earlier checkpoints.
std::size_t dropLargeCheckpoints(worker_report &report);

} // namespace mango
