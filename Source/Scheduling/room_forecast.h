#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <vector>

#include "Scheduling/run_placement.h"
#include "Scheduling/run_progress.h"

namespace mango {

// Resources that a run is expected to release.
struct expected_release
{
    std::chrono::milliseconds in{0};
    resource_amounts resources;
};

// Returns how much longer a run is expected to take. A run that has exceeded its estimate is
// expected to take half as long again as it has taken, since estimates are rough; one that the
// scheduler throttles goes on at its average speed.
std::chrono::milliseconds expectedRemainingTime(const run_progress &run);

// Returns the time until the worker has the resources, if nothing else is placed there; nothing
// when the releases do not suffice. The releases are in the order of their times.
std::optional<std::chrono::milliseconds>
timeUntilFree(const worker_offer &offer, const std::vector<expected_release> &releases,
              const resource_amounts &needed);

// Returns the expected releases of the worker at an index of the offers, in the order of their
// times.
using release_source = std::function<const std::vector<expected_release> &(std::size_t)>;

// Returns the index of the offer on which a task that fits nowhere is expected to fit soonest, if
// nothing else is placed there; -1 when there is none. With more than 512 workers it looks only at
// the 64 that lack the least.
int chooseOfferToHold(const std::vector<worker_offer> &offers, const release_source &releasesOf,
                      const placement_request &request);

} // namespace mango
